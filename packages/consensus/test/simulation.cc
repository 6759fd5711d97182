#include "simulation.h"

#include <algorithm>
#include <sstream>

namespace lycheestand::consensus {

namespace {

constexpr Milliseconds kStepTime{ 10 };

// Applies a write to a simulated disk.
void
ApplyWrite(RecoveredState& aDisk, const Write& aWrite)
{
  if (aWrite.state) {
    aDisk.state = *aWrite.state;
  }
  if (aWrite.discardLog) {
    aDisk.entries.clear();
  }
  if (aWrite.snapshot) {
    aDisk.snapshot = aWrite.snapshot;
    std::erase_if(aDisk.entries, [&](const Entry& aEntry) {
      return aEntry.index <= aWrite.snapshot->index;
    });
  }
  for (const auto& entry : aWrite.entries) {
    std::erase_if(aDisk.entries,
                  [&](const Entry& aOld) { return aOld.index >= entry.index; });
    aDisk.entries.push_back(entry);
  }
}

std::string
JoinLines(const std::vector<std::string>& aLines)
{
  std::string out;
  for (const auto& line : aLines) {
    out += line + "\n";
  }
  return out;
}

bool
HasCommittedMembers(const Node& aNode)
{
  const Log& log = aNode.Entries();
  for (auto index = log.Last(); index > aNode.CommitIndex();
       index = LogIndex(index.Get() - 1)) {
    if (std::holds_alternative<Configuration>(log.At(index).body)) {
      return false;
    }
  }
  return true;
}

std::vector<std::string>
SplitLines(const std::string& aText)
{
  std::istringstream in(aText);
  std::vector<std::string> out;
  for (std::string line; std::getline(in, line);) {
    out.push_back(line);
  }
  return out;
}

} // namespace

Simulation::Simulation(std::size_t aCount, unsigned aSeed)
  : Simulation(aCount, aSeed, { aCount, aCount, 1 })
{
}

Simulation::Simulation(std::size_t aCount, unsigned aSeed, Size aSize)
  : size(aSize)
  , random(aSeed)
{
  for (std::size_t i = 0; i < aCount; ++i) {
    this->AddHost();
    this->hosts[i].disk.state.mayBootstrap = true;
  }
  for (std::size_t i = 0; i < aCount; ++i) {
    this->Start(i);
  }
}

std::size_t
Simulation::AddHost()
{
  std::size_t index = this->hosts.size();
  Host host;
  host.instance = InstanceId("c" + std::to_string(index));
  host.disk.state.disk = DiskId(this->nextDisk++);
  this->hosts.push_back(std::move(host));
  return index;
}

// Opens connections between an instance and all other running ones.
void
Simulation::ConnectAll(std::size_t aHost)
{
  for (auto& other : this->hosts) {
    if (other.node && other.instance != this->hosts[aHost].instance) {
      other.node->HandleConnect(this->hosts[aHost].instance);
      this->hosts[aHost].node->HandleConnect(other.instance);
    }
  }
}

std::uint64_t
Simulation::Random(std::uint64_t aBound)
{
  return this->random() % aBound;
}

std::size_t
Simulation::IndexOf(const InstanceId& aInstance) const
{
  return std::stoul(aInstance.Get().substr(1));
}

void
Simulation::Start(std::size_t aHost)
{
  Host& host = this->hosts[aHost];
  Options options;
  options.self = host.instance;
  options.location = { { "h", 1 },
                       ZoneId("z" + std::to_string(aHost % this->size.zones)) };
  options.maxVoters = this->size.maxVoters;
  options.trailingEntries = 20;
  options.snapshotChunkBytes = 100;
  for (std::size_t i = 0; i < this->size.founders; ++i) {
    options.founders.push_back(this->hosts[i].instance);
  }
  host.applied.clear();
  if (host.disk.snapshot) {
    host.applied = SplitLines(*host.disk.snapshot->data);
  }
  host.node.emplace(
    options,
    host.disk,
    [this](std::uint64_t aBound) { return this->Random(aBound); },
    this->now);
  this->ConnectAll(aHost);
}

void
Simulation::Crash(std::size_t aHost)
{
  Host& host = this->hosts[aHost];
  host.node.reset();
  for (auto kept = this->Random(host.unsynced.size() + 1); kept > 0; --kept) {
    ApplyWrite(host.disk, host.unsynced.front());
    host.unsynced.pop_front();
  }
  host.unsynced.clear();
}

void
Simulation::LoseDisk(std::size_t aHost)
{
  this->hosts[aHost].disk = {};
  this->hosts[aHost].disk.state.disk = DiskId(this->nextDisk++);
}

void
Simulation::CloseConnections(std::size_t aHost)
{
  for (std::size_t i = 0; i < this->hosts.size(); ++i) {
    if (i != aHost && this->hosts[i].node) {
      this->HandleEffects(i,
                          this->hosts[i].node->HandleDisconnect(
                            this->now, this->hosts[aHost].instance));
    }
  }
}

void
Simulation::Isolate(std::size_t aHost)
{
  for (std::size_t i = 0; i < this->hosts.size(); ++i) {
    this->network.blockedLinks.insert({ aHost, i });
    this->network.blockedLinks.insert({ i, aHost });
  }
}

// One sync makes all pending writes durable, as a group commit does.
void
Simulation::Sync(std::size_t aHost)
{
  Host& host = this->hosts[aHost];
  if (!host.node || host.unsynced.empty()) {
    return;
  }
  std::uint64_t number = host.unsynced.back().number;
  for (const auto& write : host.unsynced) {
    ApplyWrite(host.disk, write);
  }
  host.unsynced.clear();
  this->HandleEffects(aHost, host.node->CompleteWrites(number));
}

void
Simulation::Run(Milliseconds aTime)
{
  for (Milliseconds passed{ 0 }; passed < aTime; passed += kStepTime) {
    this->now += kStepTime;
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
      if (this->hosts[i].node) {
        this->HandleEffects(i, this->hosts[i].node->Tick(this->now));
      }
      if (!this->hosts[i].isDiskStalled &&
          this->Random(this->stepsPerSync) == 0) {
        this->Sync(i);
      }
    }
    this->Deliver();
  }
}

bool
Simulation::RunUntil(const std::function<bool()>& aDone, Milliseconds aLimit)
{
  for (Milliseconds passed{ 0 }; passed < aLimit; passed += kStepTime) {
    if (aDone()) {
      return true;
    }
    this->Run(kStepTime);
  }
  return aDone();
}

void
Simulation::Deliver()
{
  auto ready = std::move(this->inFlight);
  this->inFlight.clear();
  for (auto& item : ready) {
    if (item.due > this->now) {
      this->inFlight.push_back(std::move(item));
      continue;
    }
    std::size_t to = this->IndexOf(item.message.to.instance);
    if (this->hosts[to].node) {
      this->HandleEffects(
        to, this->hosts[to].node->Receive(this->now, item.message));
    }
  }
}

void
Simulation::SendAll(std::size_t aHost, std::vector<Message>& aMessages)
{
  for (auto& message : aMessages) {
    this->heartbeats +=
      std::holds_alternative<HeartbeatRequest>(message.body) ? 1 : 0;
    this->appends +=
      std::holds_alternative<AppendRequest>(message.body) ? 1 : 0;
    std::size_t to = this->IndexOf(message.to.instance);
    if (this->Random(1000) < this->network.lossPerMille ||
        this->network.blockedLinks.contains({ aHost, to })) {
      continue;
    }
    auto delay = Milliseconds(1 + this->Random(static_cast<std::uint64_t>(
                                    this->network.maxDelay.count())));
    this->inFlight.push_back({ this->now + delay, std::move(message) });
  }
}

void
Simulation::HandleEffects(std::size_t aHost, Effects aEffects)
{
  Host& host = this->hosts[aHost];
  if (aEffects.write) {
    host.unsynced.push_back(std::move(*aEffects.write));
  }
  if (aEffects.snapshotToInstall) {
    host.applied = SplitLines(*aEffects.snapshotToInstall->data);
    ++host.snapshotInstalls;
  }
  for (const auto& entry : aEffects.committed) {
    this->Apply(host, entry);
  }
  host.confirmedReads.insert(host.confirmedReads.end(),
                             aEffects.confirmedReads.begin(),
                             aEffects.confirmedReads.end());
  if (host.node->CurrentRole() == Role::Leader) {
    auto [known, isNew] =
      this->leaders.emplace(host.node->CurrentTerm(), host.instance);
    if (known->second != host.instance) {
      this->violations.push_back("two leaders in one term");
    }
  }
  this->SendAll(aHost, aEffects.messages);
}

void
Simulation::Apply(Host& aHost, const Entry& aEntry)
{
  auto [known, isNew] = this->committed.emplace(aEntry.index, aEntry);
  if (!(known->second == aEntry)) {
    this->violations.push_back("a committed entry has changed");
  }
  if (const auto* command = std::get_if<CommandBytes>(&aEntry.body)) {
    aHost.applied.push_back(command->bytes);
  }
}

std::optional<std::size_t>
Simulation::Leader() const
{
  std::optional<std::size_t> found;
  for (std::size_t i = 0; i < this->hosts.size(); ++i) {
    const auto& node = this->hosts[i].node;
    if (node && node->CurrentRole() == Role::Leader &&
        (!found ||
         node->CurrentTerm() > this->hosts[*found].node->CurrentTerm())) {
      found = i;
    }
  }
  return found;
}

bool
Simulation::Propose(std::size_t aHost, const std::string& aCommand)
{
  auto [index, effects] = this->hosts[aHost].node->Propose(aCommand);
  this->HandleEffects(aHost, std::move(effects));
  return index.has_value();
}

bool
Simulation::Commit(const std::string& aCommand)
{
  if (!this->RunUntil([this] { return this->Leader().has_value(); })) {
    return false;
  }
  std::size_t leader = *this->Leader();
  const auto& applied = this->hosts[leader].applied;
  return this->Propose(leader, aCommand) &&
         this->RunUntil(
           [&] {
             return std::find(applied.begin(), applied.end(), aCommand) !=
                    applied.end();
           },
           Milliseconds(5000));
}

void
Simulation::Read(std::size_t aHost, ReadId aRead)
{
  this->HandleEffects(aHost, this->hosts[aHost].node->Read(aRead));
}

void
Simulation::Compact(std::size_t aHost)
{
  Host& host = this->hosts[aHost];
  this->HandleEffects(aHost, host.node->Compact(JoinLines(host.applied)));
}

bool
Simulation::HasAllVoters() const
{
  std::set<Member> all;
  for (const auto& host : this->hosts) {
    all.insert({ host.instance, host.disk.state.disk });
  }
  return std::all_of(
    this->hosts.begin(), this->hosts.end(), [&](const Host& aHost) {
      return aHost.node && aHost.node->Members().voters == all;
    });
}

bool
Simulation::HasFullGroup() const
{
  auto leader = this->Leader();
  if (!leader) {
    return false;
  }
  const Node& node = *this->hosts[*leader].node;
  const auto& members = node.Members();
  if (!HasCommittedMembers(node)) {
    return false;
  }
  std::size_t liveVoters = 0;
  for (const auto& host : this->hosts) {
    Member current{ host.instance, host.disk.state.disk };
    if (!host.node) {
      continue;
    }
    if (!members.Contains(current) || host.node->Members() != members) {
      return false;
    }
    liveVoters += members.voters.contains(current) ? 1 : 0;
  }
  return liveVoters == this->size.maxVoters &&
         members.voters.size() == this->size.maxVoters;
}

bool
Simulation::HasConverged() const
{
  return std::all_of(
    this->hosts.begin(), this->hosts.end(), [&](const Host& aHost) {
      return aHost.applied == this->hosts.front().applied;
    });
}

} // namespace lycheestand::consensus
