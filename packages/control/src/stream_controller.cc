#include "tasks.h"
#include "version_gate.h"

#include <lycheestand/streams.h>

namespace lycheestand::control {

namespace {

// Reports of this time are combined into one command.
constexpr Duration kMergeTime = std::chrono::milliseconds(50);

// Bounds the size of a command to about 36 KB.
constexpr std::size_t kMaxStreamsPerCommand = 4096;

// A record lives for one to two intervals.
constexpr Duration kAgeInterval = std::chrono::seconds(60);

constexpr Duration kCheckInterval = std::chrono::milliseconds(500);

using ServiceVersion = std::pair<ServiceName, SoftwareVersion>;

std::set<ServiceVersion>
ToSet(const streams::Versions& aVersions)
{
  std::set<ServiceVersion> out;
  for (const auto& [service, versions] : aVersions) {
    for (const auto& version : versions) {
      out.emplace(service, version);
    }
  }
  return out;
}

void
LogVersion(const char* aEvent,
           const char* aText,
           const ServiceVersion& aVersion,
           net::LogLevel aLevel = net::LogLevel::Info)
{
  net::Log(aLevel,
           aText,
           { { "event", aEvent },
             { "service", aVersion.first.Get() },
             { "version", aVersion.second.Get() } });
}

// Logs how the versions of the replicated state have changed.
void
LogChanges(const streams::Versions& aBefore, const streams::Versions& aAfter)
{
  auto before = ToSet(aBefore);
  auto after = ToSet(aAfter);
  for (const auto& version : after) {
    if (!before.contains(version)) {
      LogVersion(
        "version_admitted", "a version of software may serve", version);
    }
  }
  for (const auto& version : before) {
    if (!after.contains(version)) {
      LogVersion(
        "version_retired", "a version of software no longer serves", version);
    }
  }
}

std::vector<membership::Endpoint>
RemoveVersions(std::vector<membership::Endpoint> aEndpoints)
{
  for (auto& endpoint : aEndpoints) {
    endpoint.version = SoftwareVersion();
  }
  return aEndpoints;
}

state::RecordStreams
ToCommand(std::vector<streams::StreamBatch> aBatches)
{
  state::RecordStreams command;
  for (auto& batch : aBatches) {
    command.batches.push_back({ std::move(batch.service),
                                std::move(batch.version),
                                std::move(batch.streams) });
  }
  return command;
}

// Keeps the versions of software and the records of streams in the replicated
// state up to date while this instance is the leader, and passes on only
// endpoints whose versions are in it.
class StreamController : public net::IoTask
{
public:
  StreamController(caf::actor_config& aConfig,
                   net::Runtime aRuntime,
                   caf::actor aReplica,
                   caf::actor aFleet)
    : net::IoTask(aConfig, aRuntime)
    , replica(std::move(aReplica))
    , fleet(std::move(aFleet))
  {
  }

protected:
  void Start() override { this->CheckPeriodically(); }

  caf::message_handler Handlers() override
  {
    return {
      [this](LeadershipChanged& aChanged) {
        this->HandleLeadershipChanged(aChanged.isLeader);
      },
      [this](StreamVersionsChanged& aChanged) {
        this->HandleVersions(aChanged);
      },
      [this](EndpointsChecked& aChecked) { this->HandleEndpoints(aChecked); },
      [this](wire::StreamReport& aReport) { this->HandleReport(aReport); },
      [this](QueryStream& aQuery) { this->HandleQuery(aQuery); },
    };
  }

private:
  TimePoint Time() const { return net::Now(this->GetRuntime()); }

  void HandleLeadershipChanged(bool aIsLeader)
  {
    ++this->leadership;
    this->isLeader = aIsLeader;
    this->gate.Reset(this->Time());
    this->tracker.Clear();
    this->hasVersions = false;
    this->hasRead = false;
    this->excluded.clear();
    this->proposed.clear();
    this->log.Clear();
    this->recorded.clear();
    this->reports.Clear();
    this->isRecording = false;
    this->isMerging = false;
    this->agedAt = this->Time();
    this->SetRecordCount(0);
  }

  // ---------------------------------------------------------- versions

  // Routers get to know the services with several versions before the
  // endpoints, so that they report the first stream of a new version too.
  void HandleVersions(StreamVersionsChanged& aChanged)
  {
    if (!this->isLeader) {
      return;
    }
    if (this->hasVersions) {
      LogChanges(this->tracker.Admitted(), aChanged.versions);
    }
    this->hasVersions = true;
    this->tracker.SetAdmitted(std::move(aChanged.versions));
    this->SetSupport(aChanged.support);
    this->SetRecordCount(aChanged.records);
    this->UpdateRecorded();
    if (this->hasRead) {
      this->UpdateVersions();
    } else {
      // What this instance read when it led before may name versions that were
      // retired since.
      this->SendEndpoints(this->gate.IsOpen());
    }
  }

  // Records the kept streams of services that have got a second version, and
  // those of versions that are no longer admitted.
  void UpdateRecorded()
  {
    if (!this->gate.IsOpen()) {
      this->recorded.clear();
      return;
    }
    const auto& admitted = this->tracker.Admitted();
    for (const auto& [service, versions] : admitted) {
      for (const auto& kept : this->log.Collect(service, this->Time())) {
        if (streams::NeedsRecord(admitted, service, kept.version) &&
            !streams::NeedsRecord(this->recorded, service, kept.version)) {
          this->CountDropped(this->reports.Add(kept));
        }
      }
    }
    this->recorded = admitted;
    this->MergeReports();
    this->send(
      this->fleet,
      StreamServicesChanged{ { streams::FindMixedServices(admitted) } });
  }

  void SetSupport(StreamSupport aSupport)
  {
    if (aSupport == StreamSupport::Missing && this->support != aSupport) {
      net::Log(net::LogLevel::Warning,
               "a control instance of an earlier build does not know versions "
               "of software",
               { { "event", "versions_unsupported" } });
    }
    this->support = aSupport;
    this->gate.Update(aSupport, !this->tracker.Admitted().empty());
  }

  void HandleEndpoints(EndpointsChecked& aChecked)
  {
    this->endpoints = std::move(aChecked.endpoints);
    if (!this->isLeader) {
      return;
    }
    this->hasRead = true;
    if (this->hasVersions) {
      this->UpdateVersions();
    }
  }

  void UpdateVersions()
  {
    auto changes = this->tracker.Read(this->endpoints, this->Time());
    if (this->gate.IsOpen()) {
      this->ProposeChanges(changes);
      this->LogExcluded(changes.excluded);
    }
    this->isAwaitingAdmission = !changes.toAdmit.empty();
    this->DeliverEndpoints();
  }

  void ProposeChanges(const streams::VersionChanges& aChanges)
  {
    for (const auto& version : ToSet(aChanges.toAdmit)) {
      this->ProposeVersion(
        version, state::AdmitVersion{ version.first, version.second });
    }
    for (const auto& version : ToSet(aChanges.toRetire)) {
      this->tracker.BeginRetirement(version.first, version.second);
      this->ProposeVersion(
        version, state::RetireVersion{ version.first, version.second });
    }
  }

  // A proposal that has failed is repeated with the next reading of the list.
  void ProposeVersion(const ServiceVersion& aVersion, state::Command aCommand)
  {
    if (this->proposed.insert(aVersion).second) {
      this->ProposeCommand(
        std::move(aCommand),
        [this, aVersion](const std::optional<state::Outcome>&) {
          this->proposed.erase(aVersion);
        });
    }
  }

  void LogExcluded(const streams::Versions& aExcluded)
  {
    auto current = ToSet(aExcluded);
    for (const auto& version : current) {
      if (!this->excluded.contains(version)) {
        LogVersion("too_many_versions",
                   "a service has too many versions of software; endpoints of "
                   "this one get no requests",
                   version,
                   net::LogLevel::Warning);
      }
    }
    this->excluded = std::move(current);
  }

  // Routers keep the endpoints that they got from an earlier leader until the
  // first list of a new one is complete.
  void DeliverEndpoints()
  {
    auto delivery = this->gate.Decide(this->isAwaitingAdmission, this->Time());
    if (delivery != Delivery::Wait) {
      this->SendEndpoints(delivery == Delivery::Versioned);
    }
  }

  void SendEndpoints(bool aIsVersioned)
  {
    this->send(this->fleet,
               EndpointsAdmitted{
                 aIsVersioned ? this->tracker.SelectAdmitted(this->endpoints)
                              : RemoveVersions(this->endpoints),
                 this->hasRead });
  }

  // ---------------------------------------------------------- records

  void HandleReport(wire::StreamReport& aReport)
  {
    if (!this->isLeader) {
      return;
    }
    if (streams::NeedsRecord(
          this->recorded, aReport.service, aReport.version)) {
      this->CountDropped(this->reports.Add({ std::move(aReport.service),
                                             std::move(aReport.version),
                                             std::move(aReport.streams) }));
      this->MergeReports();
      return;
    }
    for (StreamId stream : aReport.streams) {
      this->log.Begin(aReport.service, stream, aReport.version, this->Time());
    }
  }

  void MergeReports()
  {
    if (this->isMerging || this->isRecording || this->reports.IsEmpty()) {
      return;
    }
    this->isMerging = true;
    this->After(kMergeTime, [this, at = this->leadership] {
      if (at == this->leadership) {
        this->isMerging = false;
        this->RecordReports();
      }
    });
  }

  // One command at a time: if commits are slow, the next command has more
  // reports.
  void RecordReports()
  {
    if (!this->gate.IsOpen()) {
      this->reports.Clear();
    }
    auto batches = this->reports.Take(kMaxStreamsPerCommand);
    if (batches.empty()) {
      return;
    }
    this->isRecording = true;
    bool hasMore = !this->reports.IsEmpty();
    this->ProposeCommand(
      ToCommand(std::move(batches)),
      [this, hasMore](const std::optional<state::Outcome>& aOutcome) {
        this->isRecording = false;
        this->CountRecorded(aOutcome);
        if (hasMore) {
          this->RecordReports();
        } else {
          this->MergeReports();
        }
      });
  }

  void CountRecorded(const std::optional<state::Outcome>& aOutcome)
  {
    const auto* recorded =
      aOutcome ? std::get_if<state::StreamsRecorded>(&*aOutcome) : nullptr;
    if (recorded != nullptr) {
      this->added.Add(recorded->added);
      this->CountDropped(recorded->dropped);
      this->SetRecordCount(recorded->total);
    }
  }

  void CountDropped(std::size_t aStreams)
  {
    this->dropped.Add(aStreams);
    this->droppedSinceLog += aStreams;
  }

  void SetRecordCount(std::size_t aCount)
  {
    this->recordCount = aCount;
    this->records.Set(static_cast<std::int64_t>(aCount));
  }

  void HandleQuery(const QueryStream& aQuery)
  {
    const auto& query = aQuery.query;
    this
      ->request(
        this->replica, caf::infinite, FindStream{ query.service, query.stream })
      .then([this, link = aQuery.link, number = query.query](
              const FoundStream& aFound) {
        // The router asks the next leader.
        if (!aFound.isLeader) {
          return;
        }
        (aFound.version ? this->known : this->unknown).Add(1);
        this->send(
          this->fleet,
          SendToRouter{ link, wire::StreamReply{ number, aFound.version } });
      });
  }

  // ---------------------------------------------------------- periodic

  void CheckPeriodically()
  {
    if (this->isLeader) {
      this->AgeRecords();
      if (this->hasRead && this->hasVersions && !this->gate.HasDelivered()) {
        this->DeliverEndpoints();
      }
    }
    this->LogDropped();
    this->After(kCheckInterval, [this] { this->CheckPeriodically(); });
  }

  void AgeRecords()
  {
    bool isDue = this->Time() - this->agedAt >= kAgeInterval;
    if (this->recordCount == 0 || !isDue || !this->gate.IsOpen()) {
      return;
    }
    this->agedAt = this->Time();
    this->ProposeCommand(state::AgeStreams{},
                         [this](const std::optional<state::Outcome>& aOutcome) {
                           this->CountRecorded(aOutcome);
                         });
  }

  void LogDropped()
  {
    if (this->droppedSinceLog == 0) {
      return;
    }
    net::Log(net::LogLevel::Warning,
             "too many streams are recorded; later ones can only be taken up "
             "at the router that began them",
             { { "event", "stream_records_dropped" },
               { "streams", std::to_string(this->droppedSinceLog) } });
    this->droppedSinceLog = 0;
  }

  // Calls aDone with the outcome, or with nothing if the command may have
  // failed, unless leadership has changed since.
  void ProposeCommand(
    state::Command aCommand,
    std::function<void(const std::optional<state::Outcome>&)> aDone)
  {
    this->request(this->replica, caf::infinite, Propose{ std::move(aCommand) })
      .then([this, at = this->leadership, done = std::move(aDone)](
              const ProposalResult& aResult) {
        if (at == this->leadership) {
          done(aResult.outcome);
        }
      });
  }

  caf::actor replica;
  caf::actor fleet;
  bool isLeader = false;
  // Counts the changes of leadership.
  std::uint64_t leadership = 0;
  VersionGate gate;
  StreamSupport support = StreamSupport::Unknown;
  streams::VersionTracker tracker{ state::StreamRegister::kMaxVersions };
  // Whether the versions are known since then.
  bool hasVersions = false;
  // The endpoints of the last reading of the list, and whether it was since
  // then.
  std::vector<membership::Endpoint> endpoints;
  bool hasRead = false;
  bool isAwaitingAdmission = false;
  // Versions that have a proposal on the way.
  std::set<ServiceVersion> proposed;
  // Versions in the list of services that have too many.
  std::set<ServiceVersion> excluded;
  // Reported streams that need no record yet.
  streams::StreamLog log{ { .maxStreams =
                              state::StreamRegister::kMaxRecords } };
  // The versions by which reports are committed or kept; none while nothing may
  // be committed.
  streams::Versions recorded;
  streams::ReportQueue reports{ state::StreamRegister::kMaxRecords };
  bool isMerging = false;
  bool isRecording = false;
  TimePoint agedAt{};
  std::size_t recordCount = 0;
  std::size_t droppedSinceLog = 0;
  net::Gauge records = net::Metrics().GetGauge("lycheestand_stream_records");
  net::Counter added =
    net::Metrics().GetCounter("lycheestand_stream_records_total");
  net::Counter dropped =
    net::Metrics().GetCounter("lycheestand_stream_records_dropped_total");
  net::Counter known =
    net::Metrics().GetCounter("lycheestand_stream_queries_total",
                              R"(result="known")");
  net::Counter unknown =
    net::Metrics().GetCounter("lycheestand_stream_queries_total",
                              R"(result="unknown")");
};

} // namespace

caf::actor
SpawnStreamController(const net::Runtime& aRuntime,
                      caf::actor aReplica,
                      caf::actor aFleet)
{
  return aRuntime.system->spawn<StreamController>(
    aRuntime, std::move(aReplica), std::move(aFleet));
}

} // namespace lycheestand::control
