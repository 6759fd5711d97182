#include "disk_codec.h"
#include "replica_state.h"
#include "replication_codec.h"
#include "storage_task.h"
#include "tasks.h"

#include <cstdlib>

namespace lycheestand::control {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(50);

constexpr int kExitStorage = 4;

// Carries the replicated log and the state machine: gives the node its inputs
// and carries out its effects.
class Replica : public net::IoTask
{
public:
  Replica(caf::actor_config& aConfig,
          net::Runtime aRuntime,
          settings::ProcessSettings aSettings,
          consensus::Options aOptions,
          consensus::Restored aRestored,
          ReplicaState aState,
          caf::actor aStorage)
    : net::IoTask(aConfig, aRuntime)
    , settings(std::move(aSettings))
    , node(std::move(aOptions),
           std::move(aRestored),
           net::MakeRandomSource(),
           net::Now(aRuntime))
    , state(std::move(aState))
    , storage(std::move(aStorage))
  {
  }

protected:
  void Start() override
  {
    this->TickPeriodically();
    this->KeepLinksAlive();
  }

  caf::message_handler Handlers() override
  {
    return {
      [this](caf::actor& aFleet) { this->fleet = aFleet; },
      [this](Propose& aPropose) { return this->HandlePropose(aPropose); },
      [this](ConfirmLeadership) { return this->HandleConfirm(); },
      [this](Query& aQuery) { return this->HandleQuery(aQuery); },
      [this](FindHolders& aFind) {
        return this->state.FindHolders(aFind.workspace);
      },
      [this](FindOrders) { return this->HandleFindOrders(); },
      [this](FindRoutes) { return this->HandleFindRoutes(); },
      [this](PeerLink& aLink) { this->HandleLink(aLink); },
      [this](PeerMessage& aMessage) { this->HandleMessage(aMessage); },
      [this](LogBudgets) { LogLargestBudgets(this->state.Machine()); },
      [this](DumpState) {
        return FormatReplica(this->node, this->state, this->links.size());
      },
    };
  }

private:
  using ProposalPromise = caf::typed_response_promise<ProposalResult>;

  struct Proposal
  {
    Term term;
    ProposalPromise promise;
  };

  void TickPeriodically()
  {
    this->Run(this->node.Tick(net::Now(this->GetRuntime())));
    this->After(kTickInterval, [this] { this->TickPeriodically(); });
  }

  void KeepLinksAlive()
  {
    std::string body = wire::Encode(MakeKeepAlive(this->settings.instance));
    for (const auto& [instance, task] : this->links) {
      this->send(task, net::LinkSend{ body });
    }
    this->After(this->settings.heartbeatInterval,
                [this] { this->KeepLinksAlive(); });
  }

  // ------------------------------------------------------------ inputs

  ProposalPromise HandlePropose(const Propose& aPropose)
  {
    auto promise = this->make_response_promise<ProposalResult>();
    auto [index, effects] =
      this->node.Propose(journal::EncodeCommand(aPropose.command));
    if (index) {
      this->proposals[*index] = { this->node.CurrentTerm(), promise };
    } else {
      promise.deliver(ProposalResult{ std::nullopt, this->LeaderId(), false });
    }
    this->Run(std::move(effects));
    return promise;
  }

  caf::typed_response_promise<Confirmation> HandleConfirm()
  {
    auto promise = this->make_response_promise<Confirmation>();
    this->ReadThen([this, promise](bool aIsConfirmed) mutable {
      promise.deliver(Confirmation{ aIsConfirmed,
                                    this->LeaderId(),
                                    this->state.Machine().CurrentRevision() });
    });
    return promise;
  }

  caf::typed_response_promise<QueryResult> HandleQuery(const Query& aQuery)
  {
    auto promise = this->make_response_promise<QueryResult>();
    this->ReadThen(
      [this, promise, read = aQuery.read](bool aIsConfirmed) mutable {
        QueryResult result{ std::nullopt, this->LeaderId() };
        if (aIsConfirmed) {
          result.text = read(this->state.Machine());
        }
        promise.deliver(std::move(result));
      });
    return promise;
  }

  caf::typed_response_promise<OrdersFound> HandleFindOrders()
  {
    auto promise = this->make_response_promise<OrdersFound>();
    this->ReadThen([this, promise](bool aIsConfirmed) mutable {
      OrdersFound found;
      if (aIsConfirmed) {
        found.byEndpoint = this->state.Machine().Orders().ByEndpoint();
      }
      promise.deliver(std::move(found));
    });
    return promise;
  }

  caf::typed_response_promise<RoutesFound> HandleFindRoutes()
  {
    auto promise = this->make_response_promise<RoutesFound>();
    this->ReadThen([this, promise](bool aIsConfirmed) mutable {
      RoutesFound found{ std::nullopt, this->LeaderId() };
      if (aIsConfirmed) {
        found.routes = this->state.Machine().Routes();
      }
      promise.deliver(std::move(found));
    });
    return promise;
  }

  void ReadThen(std::function<void(bool)> aDone)
  {
    consensus::ReadId read(this->nextRead++);
    this->reads.emplace(read, std::move(aDone));
    this->Run(this->node.Read(read));
  }

  void HandleLink(const PeerLink& aLink)
  {
    if (aLink.task) {
      this->links[aLink.instance] = aLink.task;
    } else {
      this->links.erase(aLink.instance);
      this->Run(
        this->node.LosePeer(net::Now(this->GetRuntime()), aLink.instance));
    }
  }

  // The link's peer has proved the fleet key; it speaks only for the instance
  // that it named.
  void HandleMessage(const PeerMessage& aMessage)
  {
    auto message = FromWire(aMessage.message, this->settings.instance);
    if (message && message->from.instance == aMessage.instance) {
      this->Run(this->node.Receive(net::Now(this->GetRuntime()), *message));
    }
  }

  void HandleWritten(std::uint64_t aNumber, const std::string& aProblem)
  {
    if (!aProblem.empty()) {
      this->Stop(aProblem);
    }
    this->isWriting = false;
    this->Run(this->node.Persisted(aNumber));
    this->WriteNext();
  }

  // ------------------------------------------------------------ effects

  void Run(consensus::Effects aEffects)
  {
    if (aEffects.write) {
      this->writes.push_back(std::move(*aEffects.write));
    }
    if (aEffects.install && !this->state.Install(*aEffects.install)) {
      this->Stop("the leader's snapshot is malformed");
    }
    for (const auto& entry : aEffects.committed) {
      this->Apply(entry);
    }
    for (const auto& message : aEffects.messages) {
      this->SendToPeer(message);
    }
    if (aEffects.roleChanged && !this->node.IsReady()) {
      this->FailProposals();
    }
    this->PublishLeadership();
    this->PublishRevision();
    this->FinishReads(aEffects.confirmed, true);
    this->FinishReads(aEffects.failed, false);
    this->CompactWhenLong();
    this->WriteNext();
  }

  void Apply(const consensus::Entry& aEntry)
  {
    auto outcome = this->state.Apply(aEntry);
    if (outcome.has_error()) {
      this->Stop(outcome.error());
    }
    auto found = this->proposals.find(aEntry.index);
    if (found == this->proposals.end()) {
      return;
    }
    // An entry of another term has replaced the proposal, which did not run.
    bool isOwn = found->second.term == aEntry.term;
    found->second.promise.deliver(ProposalResult{
      isOwn ? outcome.value() : std::nullopt, this->LeaderId(), false });
    this->proposals.erase(found);
  }

  void SendToPeer(const consensus::Message& aMessage)
  {
    auto link = this->links.find(aMessage.to.instance);
    if (link != this->links.end()) {
      this->send(link->second, net::LinkSend{ wire::Encode(ToWire(aMessage)) });
    }
  }

  // What this instance proposed may still be committed by the next leader.
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

  void FinishReads(const std::vector<consensus::ReadId>& aReads,
                   bool aIsConfirmed)
  {
    for (auto read : aReads) {
      auto done = this->reads.extract(read);
      done.mapped()(aIsConfirmed);
    }
  }

  // The fleet controller serves routers only once the state is known to hold
  // all that earlier leaders committed.
  void PublishLeadership()
  {
    LeadershipChanged current{ this->node.IsReady(), this->LeaderId() };
    if (!this->fleet || (current.isLeader == this->published.isLeader &&
                         current.leader == this->published.leader)) {
      return;
    }
    if (current.isLeader != this->published.isLeader) {
      net::Log(net::LogLevel::Info,
               current.isLeader ? "leads" : "no longer leads",
               { { "term", std::to_string(this->node.CurrentTerm().Get()) } });
    }
    this->published = current;
    net::Metrics().GetGauge("lycheestand_leads").Set(current.isLeader ? 1 : 0);
    net::Metrics()
      .GetGauge("lycheestand_term")
      .Set(static_cast<std::int64_t>(this->node.CurrentTerm().Get()));
    this->send(this->fleet, current);
  }

  // Only a leader's routers are sent the state, so only it is formatted.
  void PublishRevision()
  {
    Revision current = this->state.Machine().CurrentRevision();
    if (this->published.isLeader && this->publishedRevision != current) {
      this->publishedRevision = current;
      this->send(this->fleet,
                 RevisionChanged{ current,
                                  std::make_shared<const std::string>(
                                    this->state.FormatFleet()) });
    }
  }

  void CompactWhenLong()
  {
    if (this->state.IsLogLong(this->node.SnapshotIndex())) {
      this->Run(this->node.Compact(this->state.MakeSnapshot()));
    }
  }

  // Writes that arrive during a sync share the next one.
  void WriteNext()
  {
    if (this->isWriting || this->writes.empty()) {
      return;
    }
    this->isWriting = true;
    std::uint64_t first = this->writes.front().number;
    std::size_t before = this->writes.size();
    auto batch =
      std::make_shared<const storage::Batch>(TakeBatch(this->writes));
    std::uint64_t last = first + (before - this->writes.size()) - 1;
    this->request(this->storage, caf::infinite, StorageWrite{ batch })
      .then([this, last](const StorageDone& aDone) {
        this->HandleWritten(last, aDone.problem);
      });
  }

  // After a failed write the state on disk is not known, so the instance must
  // not go on.
  [[noreturn]] void Stop(const std::string& aReason)
  {
    net::Log(net::LogLevel::Error,
             "the replicated log stops this instance",
             { { "reason", aReason } });
    net::FlushLog();
    std::_Exit(kExitStorage);
  }

  InstanceId LeaderId() const
  {
    auto leader = this->node.Leader();
    return leader ? leader->instance : InstanceId();
  }

  settings::ProcessSettings settings;
  consensus::Node node;
  ReplicaState state;
  caf::actor storage;
  caf::actor fleet;
  std::map<InstanceId, caf::actor> links;
  std::map<LogIndex, Proposal> proposals;
  std::uint64_t nextRead = 1;
  std::map<consensus::ReadId, std::function<void(bool)>> reads;
  std::deque<consensus::Write> writes;
  bool isWriting = false;
  LeadershipChanged published;
  Revision publishedRevision;
};

consensus::Options
MakeOptions(const settings::ProcessSettings& aSettings)
{
  consensus::Options options;
  options.self = aSettings.instance;
  options.electionTimeout = aSettings.electionTimeout;
  for (const auto& member : aSettings.control) {
    options.instances.push_back(member.instance);
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
  auto fail = [](const std::string& aProblem) {
    return R(boost::outcome_v2::in_place_type<std::string>, aProblem);
  };
  auto store = OpenDataFolder(aSettings.dataFolder, net::MakeRandomSource());
  if (store.has_error()) {
    return fail(store.error());
  }
  auto contents = store.value()->TakeContents();
  net::Log(net::LogLevel::Info,
           "the log was read",
           { { "records", std::to_string(contents.recordsRead) },
             { "bytes_cut", std::to_string(contents.bytesTruncated) } });
  auto restored = ToRestored(std::move(contents));
  ReplicaState state;
  if (!restored ||
      (restored->snapshot && !state.Install(*restored->snapshot))) {
    return fail(aSettings.dataFolder +
                ": the log or the snapshot can't be decoded");
  }
  auto storage = SpawnStorageTask(aRuntime, store.value());
  auto replica = aRuntime.system->spawn<Replica>(aRuntime,
                                                 aSettings,
                                                 MakeOptions(aSettings),
                                                 std::move(*restored),
                                                 std::move(state),
                                                 storage);
  SpawnPeerLinks(aRuntime, aSettings, aKey, replica);
  return replica;
}

} // namespace lycheestand::control
