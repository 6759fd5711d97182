#include "simulation.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace lycheestand;
using namespace lycheestand::consensus;

namespace {

// Runs a group under random faults, then checks that it recovers and has lost
// no entry.
class RandomFaultRun
{
public:
  RandomFaultRun(std::size_t aCount, unsigned aSeed)
    : RandomFaultRun(aCount, aSeed, { aCount, aCount, 1 })
  {
  }

  RandomFaultRun(std::size_t aCount, unsigned aSeed, Simulation::Size aSize)
    : simulation(aCount, aSeed, aSize)
    , toleratedLosses((aSize.maxVoters - 1) / 2)
  {
    this->simulation.stepsPerSync = 1 + aSeed % 12;
  }

  void Run()
  {
    for (int step = 0; step < 400; ++step) {
      this->InjectFault();
      this->ProposeAndRead(step);
      this->simulation.Run(Milliseconds(10 + 10 * this->simulation.Random(20)));
    }
    this->RecoverAndCheck();
  }

  std::size_t CommittedEntries() const
  {
    return this->simulation.committed.size();
  }
  std::size_t LostDisks() const { return this->lostDisks; }

private:
  void InjectFault()
  {
    auto& network = this->simulation.network;
    std::size_t count = this->simulation.hosts.size();
    std::size_t host = this->simulation.Random(count);
    switch (this->simulation.Random(40)) {
      case 0:
        network.lossPerMille =
          static_cast<unsigned>(this->simulation.Random(300));
        break;
      case 1:
        network.maxDelay = Milliseconds(1 + this->simulation.Random(400));
        break;
      case 2:
        network.blockedLinks.insert({ host, this->simulation.Random(count) });
        break;
      case 3:
        this->simulation.Isolate(host);
        break;
      case 4:
      case 5:
      case 14:
      case 15:
        network = {};
        this->StartAll();
        break;
      case 6:
      case 7:
        this->ToggleRunning(host);
        break;
      case 8:
        this->simulation.hosts[host].isDiskStalled ^= true;
        break;
      case 9:
        if (this->simulation.hosts[host].node) {
          this->simulation.Compact(host);
        }
        break;
      case 10:
      case 11:
      case 12:
      case 13:
        this->LoseDisks(host);
        break;
      default:
        break;
    }
  }

  void ToggleRunning(std::size_t aHost)
  {
    if (this->simulation.hosts[aHost].node) {
      this->simulation.Crash(aHost);
    } else {
      this->simulation.Start(aHost);
    }
  }

  // Loses as many disks as the group bears, and only while it has all voters:
  // the log can't survive the loss of a majority. Every other time all other
  // instances lose power at that moment.
  void LoseDisks(std::size_t aFirst)
  {
    if (!this->simulation.HasFullGroup()) {
      return;
    }
    std::size_t count = this->simulation.hosts.size();
    bool isPowerLost = this->simulation.Random(2) == 0;
    for (std::size_t host = 0; host < count && isPowerLost; ++host) {
      if (this->simulation.hosts[host].node) {
        this->simulation.Crash(host);
      }
    }
    for (std::size_t i = 0; i < this->toleratedLosses; ++i) {
      std::size_t host = (aFirst + i) % count;
      if (this->simulation.hosts[host].node) {
        this->simulation.Crash(host);
      }
      this->simulation.LoseDisk(host);
      this->simulation.Start(host);
      ++this->lostDisks;
    }
    if (isPowerLost) {
      this->StartAll();
    }
  }

  void ProposeAndRead(int aStep)
  {
    for (auto& host : this->simulation.hosts) {
      if (host.node && host.node->CurrentRole() == Role::Leader) {
        std::size_t index =
          static_cast<std::size_t>(&host - this->simulation.hosts.data());
        this->simulation.Propose(index, "x" + std::to_string(aStep));
        this->CheckReads(host, index);
      }
    }
  }

  // A confirmed read must see every entry that was committed before the read
  // was requested.
  void CheckReads(Simulation::Host& aHost, std::size_t aIndex)
  {
    LogIndex known = this->simulation.committed.empty()
                       ? LogIndex(0)
                       : this->simulation.committed.rbegin()->first;
    ReadId read(++this->reads);
    auto before = aHost.confirmedReads.size();
    this->simulation.Read(aIndex, read);
    this->simulation.Run(Milliseconds(20));
    if (aHost.node && aHost.confirmedReads.size() > before) {
      CHECK(aHost.node->CommitIndex() >= known);
    }
  }

  void StartAll()
  {
    for (std::size_t i = 0; i < this->simulation.hosts.size(); ++i) {
      this->simulation.hosts[i].isDiskStalled = false;
      if (!this->simulation.hosts[i].node) {
        this->simulation.Start(i);
      }
    }
  }

  void RecoverAndCheck()
  {
    this->simulation.network = {};
    this->StartAll();
    // A leader that was partitioned until now steps down within this time.
    this->simulation.Run(Milliseconds(3000));
    CHECK(this->simulation.RunUntil(
      [this] { return this->simulation.HasFullGroup(); }));
    CHECK(this->simulation.Commit("healed"));
    CHECK(this->simulation.RunUntil(
      [this] { return this->simulation.HasConverged(); }));
    CHECK(this->simulation.violations.empty());
    this->CheckNothingLost();
  }

  // Every entry that any instance has applied must be in the final state
  // exactly once.
  void CheckNothingLost()
  {
    std::vector<std::string> expected;
    for (const auto& [index, entry] : this->simulation.committed) {
      if (const auto* command = std::get_if<CommandBytes>(&entry.body)) {
        expected.push_back(command->bytes);
      }
    }
    bool isComplete = this->simulation.hosts.front().applied == expected;
    CHECK(isComplete);
  }

  Simulation simulation;
  std::size_t toleratedLosses;
  std::size_t lostDisks = 0;
  std::uint64_t reads = 0;
};

} // namespace

// Guards against lost, changed or diverging entries, and against two leaders in
// a term, under message loss, delay and reordering, one-way partitions,
// restarts, stalled and lost disks, and membership changes.
TEST_CASE("groups under random faults agree and lose nothing")
{
  std::size_t committedEntries = 0;
  std::size_t lost = 0;
  for (unsigned seed = 1; seed <= 240; ++seed) {
    INFO("seed " << seed);
    RandomFaultRun run(seed % 3 == 0 ? 5 : 3, seed);
    run.Run();
    committedEntries += run.CommittedEntries();
    lost += run.LostDisks();
  }
  // Without enough commits and disk losses the runs would check little.
  INFO("entries " << committedEntries << ", disks " << lost);
  CHECK(committedEntries > 20000);
  CHECK(lost > 300);
}

// Guards against the same faults while instances join a group, replace lost
// voters and are replaced.
TEST_CASE("groups with standby instances agree and lose nothing")
{
  std::size_t committedEntries = 0;
  std::size_t lost = 0;
  for (unsigned seed = 1; seed <= 160; ++seed) {
    INFO("seed " << seed);
    Simulation::Size size{ 3, seed % 2 == 0 ? 5U : 3U, 1 + seed % 3 };
    RandomFaultRun run(size.maxVoters + 1 + seed % 3, seed, size);
    run.Run();
    committedEntries += run.CommittedEntries();
    lost += run.LostDisks();
  }
  INFO("entries " << committedEntries << ", disks " << lost);
  CHECK(committedEntries > 10000);
  CHECK(lost > 150);
}
