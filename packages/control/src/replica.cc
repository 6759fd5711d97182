#include "disk_codec.h"
#include "peer_network.h"
#include "replica_state.h"
#include "replication_codec.h"
#include "storage_task.h"
#include "tasks.h"

#include <cstdlib>

namespace lycheestand::control {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(50);

constexpr int kStorageFailureExitCode = 4;

// Time without a leader after which a warning is logged, and the interval at
// which it is repeated. An election normally takes less than two seconds.
constexpr Duration kNoLeaderWarningInterval = std::chrono::seconds(3);

// A write, with its sync, normally takes some milliseconds.
constexpr Duration kStalledWriteTime = std::chrono::seconds(1);

std::string
JoinInstances(const std::set<consensus::Member>& aMembers)
{
  std::string out;
  for (const auto& member : aMembers) {
    out += (out.empty() ? "" : " ") + member.instance.Get();
  }
  return out;
}

std::string
JoinInstances(const std::map<InstanceId, Address>& aAddresses)
{
  std::string out;
  for (const auto& [instance, address] : aAddresses) {
    out += (out.empty() ? "" : " ") + instance.Get();
  }
  return out;
}

// Owns the consensus node and the state machine. Passes inputs to the node and
// carries out the effects that it returns.
class Replica : public net::IoTask
{
public:
  Replica(caf::actor_config& aConfig,
          net::Runtime aRuntime,
          settings::ProcessSettings aSettings,
          consensus::Options aOptions,
          consensus::RecoveredState aRecovered,
          ReplicaState aState,
          caf::actor aStorage,
          caf::actor aDialer)
    : net::IoTask(aConfig, aRuntime)
    , settings(std::move(aSettings))
    , network(*this, this->settings, std::move(aDialer))
    , node(std::move(aOptions),
           std::move(aRecovered),
           net::MakeRandomSource(),
           net::Now(aRuntime))
    , state(std::move(aState))
    , storage(std::move(aStorage))
  {
  }

protected:
  void Start() override
  {
    net::ReportEvacuatedZones({}, this->evacuatedZones);
    this->TickPeriodically();
    this->SendKeepAlives();
  }

  caf::message_handler Handlers() override
  {
    return {
      [this](caf::actor& aFleet) {
        this->fleet = aFleet;
        this->send(this->fleet, GroupChanged{ this->network.Group() });
      },
      [this](Propose& aPropose) { return this->HandlePropose(aPropose); },
      [this](ConfirmLeadership) { return this->HandleConfirm(); },
      [this](Query& aQuery) { return this->HandleQuery(aQuery); },
      [this](FindTokenHolders& aFind) {
        return this->state.FindTokenHolders(aFind.workspace);
      },
      [this](GetOrders) { return this->HandleGetOrders(); },
      [this](GetRoutes) { return this->HandleGetRoutes(); },
      [this](FindStream& aFind) { return this->HandleFindStream(aFind); },
      [this](PeerLink& aLink) { this->HandleLink(aLink); },
      [this](PeerMessage& aMessage) { this->HandleMessage(aMessage); },
      [this](SetPeers& aSet) { this->network.SetConfigured(aSet.control); },
      [this](LogBudgets) { LogLargestBudgets(this->state.Machine()); },
      [this](DumpState) {
        return FormatReplicaStatus(
          this->node, this->state, this->network.LinkCount());
      },
    };
  }

private:
  using ProposalPromise = caf::typed_response_promise<ProposalResult>;

  struct Proposal
  {
    Term term;
    ProposalPromise promise;
    TimePoint proposedAt;
  };

  void TickPeriodically()
  {
    this->ProcessEffects(this->node.Tick(net::Now(this->GetRuntime())));
    this->network.OpenLinks();
    this->WarnIfNoLeader();
    this->WarnIfDiskStalls();
    this->ReportLostVoters();
    this->After(kTickInterval, [this] { this->TickPeriodically(); });
  }

  void SendKeepAlives()
  {
    this->network.SendKeepAlives(this->LeaderId());
    this->After(this->settings.heartbeatInterval,
                [this] { this->SendKeepAlives(); });
  }

  // ------------------------------------------------------------ inputs

  ProposalPromise HandlePropose(const Propose& aPropose)
  {
    auto promise = this->make_response_promise<ProposalResult>();
    auto [index, effects] =
      this->node.Propose(journal::EncodeCommand(aPropose.command));
    if (index) {
      this->proposals[*index] = { this->node.CurrentTerm(),
                                  promise,
                                  net::Now(this->GetRuntime()) };
    } else {
      promise.deliver(ProposalResult{ std::nullopt, this->LeaderId(), false });
    }
    this->ProcessEffects(std::move(effects));
    return promise;
  }

  caf::typed_response_promise<LeadershipConfirmation> HandleConfirm()
  {
    auto promise = this->make_response_promise<LeadershipConfirmation>();
    this->ReadWhenConfirmed([this, promise](bool aIsConfirmed) mutable {
      promise.deliver(
        LeadershipConfirmation{ aIsConfirmed,
                                this->LeaderId(),
                                this->state.Machine().CurrentRevision() });
    });
    return promise;
  }

  caf::typed_response_promise<QueryResult> HandleQuery(const Query& aQuery)
  {
    auto promise = this->make_response_promise<QueryResult>();
    this->ReadWhenConfirmed(
      [this, promise, read = aQuery.read](bool aIsConfirmed) mutable {
        QueryResult result{ std::nullopt, this->LeaderId() };
        if (aIsConfirmed) {
          result.text = read(this->state.Machine());
        }
        promise.deliver(std::move(result));
      });
    return promise;
  }

  caf::typed_response_promise<OrdersResult> HandleGetOrders()
  {
    auto promise = this->make_response_promise<OrdersResult>();
    this->ReadWhenConfirmed([this, promise](bool aIsConfirmed) mutable {
      OrdersResult found;
      if (aIsConfirmed) {
        found.byEndpoint = this->state.Machine().Orders().ByEndpoint();
      }
      promise.deliver(std::move(found));
    });
    return promise;
  }

  caf::typed_response_promise<RoutesResult> HandleGetRoutes()
  {
    auto promise = this->make_response_promise<RoutesResult>();
    this->ReadWhenConfirmed([this, promise](bool aIsConfirmed) mutable {
      RoutesResult found{ std::nullopt, this->LeaderId() };
      if (aIsConfirmed) {
        found.routes = this->state.Machine().Routes();
      }
      promise.deliver(std::move(found));
    });
    return promise;
  }

  caf::typed_response_promise<FoundStream> HandleFindStream(
    const FindStream& aFind)
  {
    auto promise = this->make_response_promise<FoundStream>();
    this->ReadWhenConfirmed([this, promise, aFind](bool aIsConfirmed) mutable {
      FoundStream found{ aIsConfirmed, std::nullopt };
      if (aIsConfirmed) {
        found.version =
          this->state.Machine().Streams().Find(aFind.service, aFind.stream);
      }
      promise.deliver(std::move(found));
    });
    return promise;
  }

  void ReadWhenConfirmed(std::function<void(bool)> aDone)
  {
    consensus::ReadId read(this->nextRead++);
    this->reads.emplace(read, std::move(aDone));
    this->ProcessEffects(this->node.Read(read));
  }

  void HandleLink(const PeerLink& aLink)
  {
    auto change = this->network.HandleLink(aLink);
    if (change == PeerNetwork::Change::Connected) {
      this->node.HandleConnect(aLink.instance);
    } else if (change == PeerNetwork::Change::Disconnected) {
      this->ProcessEffects(this->node.HandleDisconnect(
        net::Now(this->GetRuntime()), aLink.instance));
    }
  }

  // The peer has proved that it holds the fleet key, and may send messages only
  // in the name of the instance that it gave in its Hello.
  void HandleMessage(const PeerMessage& aMessage)
  {
    this->network.HandleMessage(aMessage.instance, aMessage.message);
    auto message = FromWire(aMessage.message, this->settings.instance);
    if (message && message->from.instance == aMessage.instance) {
      this->LogJoin(*message);
      this->ProcessEffects(
        this->node.Receive(net::Now(this->GetRuntime()), *message));
    }
  }

  // Logs the first request to join the group that each disk sends.
  void LogJoin(const consensus::Message& aMessage)
  {
    if (!std::holds_alternative<consensus::JoinRequest>(aMessage.body)) {
      return;
    }
    auto& logged = this->loggedJoins[aMessage.from.instance];
    if (logged != aMessage.from.disk) {
      logged = aMessage.from.disk;
      net::Log(net::LogLevel::Info,
               "a control instance asks to join the group",
               { { "event", "join_requested" },
                 { "from", aMessage.from.instance.Get() },
                 { "leader", this->LeaderId().Get() } });
    }
  }

  void HandleStorageResult(std::uint64_t aNumber, const std::string& aError)
  {
    if (!aError.empty()) {
      this->ExitProcess(aError);
    }
    this->isWriting = false;
    this->SetDiskStalled(false);
    this->ProcessEffects(this->node.CompleteWrites(aNumber));
    this->StartNextWrite();
  }

  // ------------------------------------------------------------ effects

  void ProcessEffects(consensus::Effects aEffects)
  {
    if (aEffects.write) {
      this->writes.push_back(std::move(*aEffects.write));
    }
    if (aEffects.snapshotToInstall &&
        !this->state.Install(*aEffects.snapshotToInstall)) {
      this->ExitProcess("the snapshot from the leader can't be decoded");
    }
    for (const auto& entry : aEffects.committed) {
      this->Apply(entry);
    }
    for (const auto& message : aEffects.messages) {
      this->network.Send(message.to.instance, ToWire(message));
    }
    if (aEffects.roleChanged && !this->node.IsReady()) {
      this->FailProposals();
    }
    this->PublishLeadership();
    this->PublishRevision();
    this->PublishStreamVersions();
    this->PublishEvacuations();
    this->UpdateMembers();
    this->CompleteReads(aEffects.confirmedReads, true);
    this->CompleteReads(aEffects.failedReads, false);
    this->CompactIfNeeded();
    this->StartNextWrite();
  }

  void Apply(const consensus::Entry& aEntry)
  {
    auto outcome = this->state.Apply(aEntry);
    if (outcome.has_error()) {
      this->ExitProcess(outcome.error());
    }
    auto found = this->proposals.find(aEntry.index);
    if (found == this->proposals.end()) {
      return;
    }
    this->commitTime.Record(net::Now(this->GetRuntime()) -
                            found->second.proposedAt);
    // If the terms differ, another leader's entry has replaced the proposal,
    // which will not be applied.
    bool isOwn = found->second.term == aEntry.term;
    found->second.promise.deliver(ProposalResult{
      isOwn ? outcome.value() : std::nullopt, this->LeaderId(), false });
    this->proposals.erase(found);
  }

  // Completes the pending proposals after a loss of leadership. Their outcome
  // is unknown, because the next leader may still commit them.
  void FailProposals()
  {
    if (this->node.CurrentRole() == consensus::Role::Leader) {
      return;
    }
    for (auto& [index, proposal] : this->proposals) {
      proposal.promise.deliver(
        ProposalResult{ std::nullopt, this->LeaderId(), true });
    }
    this->proposals.clear();
  }

  void CompleteReads(const std::vector<consensus::ReadId>& aReads,
                     bool aIsConfirmed)
  {
    for (auto read : aReads) {
      auto done = this->reads.extract(read);
      done.mapped()(aIsConfirmed);
    }
  }

  // A new leader is reported only once the node is ready, that is, once the
  // state has all entries that earlier leaders committed. The fleet controller
  // serves routers from then on.
  void PublishLeadership()
  {
    LeadershipChanged current{ this->node.IsReady(), this->LeaderId() };
    if (!this->fleet ||
        (current.isLeader == this->publishedLeadership.isLeader &&
         current.leader == this->publishedLeadership.leader)) {
      return;
    }
    if (current.isLeader != this->publishedLeadership.isLeader) {
      net::Log(net::LogLevel::Info,
               current.isLeader ? "leads" : "no longer leads",
               { { "term", std::to_string(this->node.CurrentTerm().Get()) } });
    }
    this->publishedLeadership = current;
    net::Metrics().GetGauge("lycheestand_leads").Set(current.isLeader ? 1 : 0);
    net::Metrics()
      .GetGauge("lycheestand_term")
      .Set(static_cast<std::int64_t>(this->node.CurrentTerm().Get()));
    this->send(this->fleet, current);
  }

  // Only the leader sends fleet snapshots to routers, so other instances don't
  // format them.
  void PublishRevision()
  {
    Revision current = this->state.Machine().CurrentRevision();
    if (this->publishedLeadership.isLeader &&
        this->publishedRevision != current) {
      this->publishedRevision = current;
      this->send(this->fleet,
                 RevisionChanged{ current,
                                  std::make_shared<const std::string>(
                                    this->state.FormatFleetSnapshot()) });
    }
  }

  // Each new leader needs the versions, also if they have not changed.
  void PublishStreamVersions()
  {
    if (!this->publishedLeadership.isLeader) {
      this->publishedVersions.reset();
      return;
    }
    const auto& streams = this->state.Machine().Streams();
    auto support = this->network.FindStreamSupport(this->node.Members());
    std::pair current(streams.VersionChanges(), support);
    if (this->publishedVersions != current) {
      this->publishedVersions = current;
      this->send(this->fleet,
                 StreamVersionsChanged{
                   streams.AllVersions(), streams.RecordCount(), support });
    }
  }

  // All control instances show which zones are evacuated.
  void PublishEvacuations()
  {
    Revision current = this->state.Machine().CurrentRevision();
    if (this->evacuationsRevision == current) {
      return;
    }
    this->evacuationsRevision = current;
    auto zones = this->state.Machine().Evacuations().Zones();
    if (zones != this->evacuatedZones) {
      net::ReportEvacuatedZones(this->evacuatedZones, zones);
      this->evacuatedZones = std::move(zones);
    }
  }

  void UpdateMembers()
  {
    const auto& members = this->node.Members();
    if (members == this->knownMembers) {
      return;
    }
    this->knownMembers = members;
    this->network.SetMembers(members);
    if (this->fleet) {
      this->send(this->fleet, GroupChanged{ this->network.Group() });
    }
    auto voters = members.voters.size();
    net::Metrics()
      .GetGauge("lycheestand_control_voters")
      .Set(static_cast<std::int64_t>(voters));
    net::Log(net::LogLevel::Info,
             "the members of the control group have changed",
             { { "event", "control_members" },
               { "voters", JoinInstances(members.voters) },
               { "learners", JoinInstances(members.learners) },
               { "tolerated_losses",
                 std::to_string(voters == 0 ? 0 : (voters - 1) / 2) } });
  }

  void WarnIfDiskStalls()
  {
    if (this->isWriting && this->WriteTime() >= kStalledWriteTime) {
      this->SetDiskStalled(true);
    }
  }

  Duration WriteTime() const
  {
    return net::Now(this->GetRuntime()) - this->writeStartedAt;
  }

  // While the disk of a majority is stalled, nothing can be committed.
  void SetDiskStalled(bool aIsStalled)
  {
    if (aIsStalled == this->isDiskStalled) {
      return;
    }
    this->isDiskStalled = aIsStalled;
    auto time = std::chrono::duration_cast<Milliseconds>(this->WriteTime());
    net::Log(aIsStalled ? net::LogLevel::Warning : net::LogLevel::Info,
             aIsStalled ? "the disk does not complete a write"
                        : "the disk has completed a write",
             { { "event", aIsStalled ? "disk_stalled" : "disk_answers" },
               { "ms", std::to_string(time.count()) } });
    net::Metrics().GetGauge("lycheestand_disk_stalled").Set(aIsStalled ? 1 : 0);
  }

  void WarnIfNoLeader()
  {
    auto now = net::Now(this->GetRuntime());
    if (this->node.Leader() || this->noLeaderSince == TimePoint()) {
      this->noLeaderSince = now;
      return;
    }
    if (now - this->noLeaderSince < kNoLeaderWarningInterval) {
      return;
    }
    this->noLeaderSince = now;
    net::Log(
      net::LogLevel::Warning,
      "the control group has no leader",
      { { "event", "no_leader" },
        { "voters", JoinInstances(this->node.Members().voters) },
        { "linked", std::to_string(this->network.LinkCount()) },
        { "known", JoinInstances(this->network.Known()) },
        { "term", std::to_string(this->node.CurrentTerm().Get()) },
        { "last_index", std::to_string(this->node.LastIndex().Get()) } });
  }

  // A group that still counts voters that are gone bears fewer losses.
  void ReportLostVoters()
  {
    auto lost = this->node.LostVoters();
    if (lost == this->lostVoters) {
      return;
    }
    this->lostVoters = lost;
    net::Metrics()
      .GetGauge("lycheestand_control_voters_lost")
      .Set(static_cast<std::int64_t>(lost.size()));
    if (!this->node.IsReady()) {
      return;
    }
    auto tolerated = (this->node.Members().voters.size() - 1) / 2;
    net::Log(lost.empty() ? net::LogLevel::Info : net::LogLevel::Warning,
             lost.empty() ? "all voters of the control group are in contact"
                          : "voters of the control group are out of contact",
             { { "event", "control_voters_lost" },
               { "lost", JoinInstances(lost) },
               { "tolerated_losses",
                 std::to_string(tolerated - std::min(tolerated, lost.size())) },
               { "linked", std::to_string(this->network.LinkCount()) } });
  }

  void CompactIfNeeded()
  {
    if (this->state.ShouldCompact(this->node.SnapshotIndex())) {
      this->ProcessEffects(this->node.Compact(this->state.MakeSnapshot()));
    }
  }

  // Writes that arrive during a sync are combined into the next one.
  void StartNextWrite()
  {
    if (this->isWriting || this->writes.empty()) {
      return;
    }
    this->isWriting = true;
    this->writeStartedAt = net::Now(this->GetRuntime());
    std::uint64_t first = this->writes.front().number;
    std::size_t before = this->writes.size();
    auto batch =
      std::make_shared<const storage::Batch>(TakeBatch(this->writes));
    std::uint64_t last = first + (before - this->writes.size()) - 1;
    this->request(this->storage, caf::infinite, StorageWrite{ batch })
      .then([this, last](const StorageResult& aDone) {
        this->HandleStorageResult(last, aDone.errorMessage);
      });
  }

  // Ends the process after a failed write or on data that can't be decoded: the
  // state on disk or in memory is not known then, and must not be used.
  [[noreturn]] void ExitProcess(const std::string& aReason)
  {
    net::Log(net::LogLevel::Error,
             "the replicated log stops this instance",
             { { "reason", aReason } });
    net::FlushLog();
    std::_Exit(kStorageFailureExitCode);
  }

  InstanceId LeaderId() const
  {
    auto leader = this->node.Leader();
    return leader ? leader->instance : this->network.AnnouncedLeader();
  }

  settings::ProcessSettings settings;
  PeerNetwork network;
  consensus::Node node;
  ReplicaState state;
  caf::actor storage;
  caf::actor fleet;
  std::map<LogIndex, Proposal> proposals;
  std::uint64_t nextRead = 1;
  std::map<consensus::ReadId, std::function<void(bool)>> reads;
  std::deque<consensus::Write> writes;
  bool isWriting = false;
  TimePoint writeStartedAt{};
  bool isDiskStalled = false;
  LeadershipChanged publishedLeadership;
  Revision publishedRevision;
  std::optional<std::pair<std::uint64_t, StreamSupport>> publishedVersions;
  // Evacuated zones that were last published, and the revision of that time.
  Revision evacuationsRevision;
  std::set<ZoneId> evacuatedZones;
  consensus::Configuration knownMembers;
  std::set<consensus::Member> lostVoters;
  // The disk of each instance whose request to join has been logged.
  std::map<InstanceId, DiskId> loggedJoins;
  net::DurationHistogram commitTime =
    net::Metrics().GetHistogram("lycheestand_commit_seconds");
  // Start of the current period without a leader; while there is one, the
  // current time.
  TimePoint noLeaderSince{};
};

consensus::Options
MakeOptions(const settings::ProcessSettings& aSettings)
{
  consensus::Options options;
  options.self = aSettings.instance;
  options.location = { aSettings.peerAddress, aSettings.zone };
  options.electionTimeout = aSettings.electionTimeout;
  options.maxVoters = aSettings.controlVoters;
  for (const auto& member : aSettings.control) {
    options.founders.push_back(member.instance);
  }
  return options;
}

} // namespace

Result<caf::actor, std::string>
SpawnReplica(const net::Runtime& aRuntime,
             const settings::ProcessSettings& aSettings,
             const net::FleetKey& aKey)
{
  using R = Result<caf::actor, std::string>;
  auto fail = [](const std::string& aError) {
    return R(boost::outcome_v2::in_place_type<std::string>, aError);
  };
  auto store = OpenDataFolder(aSettings.dataFolder, net::MakeRandomSource());
  if (store.has_error()) {
    return fail(store.error());
  }
  auto contents = store.value()->TakeContents();
  net::Log(net::LogLevel::Info,
           "loaded the replicated log",
           { { "records", std::to_string(contents.recordsRead) },
             { "bytes_cut", std::to_string(contents.bytesTruncated) } });
  auto recovered = ToRecoveredState(std::move(contents));
  ReplicaState state;
  if (!recovered ||
      (recovered->snapshot && !state.Install(*recovered->snapshot))) {
    return fail(aSettings.dataFolder +
                ": the replicated log or its snapshot can't be decoded");
  }
  auto storage = SpawnStorageTask(aRuntime, store.value());
  auto replica =
    aRuntime.system->spawn<Replica>(aRuntime,
                                    aSettings,
                                    MakeOptions(aSettings),
                                    std::move(*recovered),
                                    std::move(state),
                                    storage,
                                    SpawnPeerLinks(aRuntime, aSettings, aKey));
  return replica;
}

} // namespace lycheestand::control
