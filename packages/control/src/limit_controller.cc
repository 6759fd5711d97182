#include "tasks.h"

#include <lycheestand/limits.h>

namespace lycheestand::control {

namespace {

// Interval at which changed limits are sent to routers, and at which unused
// ones are removed.
constexpr Duration kPublishInterval = std::chrono::milliseconds(100);
constexpr Duration kCleanUpInterval = std::chrono::seconds(10);

// Time that a new leader gives routers to tell it the limits that they know.
// Until then they keep to these, and it sends none.
constexpr Duration kReportTime = std::chrono::seconds(1);

// Time for which a new leader gives out no permits for cold endpoints. An
// earlier one that is cut off steps down at most two election timeouts after
// its last contact with a quorum, and a new one is elected after one of 1 s.
constexpr Duration kColdPause = std::chrono::seconds(1);

// Time for which an endpoint is taken to be cold after a router has told a new
// leader that it was, if the list can't be read.
constexpr Duration kKnownColdTime = std::chrono::seconds(10);

std::vector<wire::EndpointLimit>
ToEntries(const limits::Limits& aLimits)
{
  std::vector<wire::EndpointLimit> out;
  for (const auto& [endpoint, rate] : aLimits) {
    out.push_back({ endpoint, rate });
  }
  return out;
}

// Owns the limits that endpoints have named and those of cold endpoints, and
// gives out permits, while this instance is the leader. Nothing of it is
// replicated: routers tell each new leader the limits that they know.
class LimitController : public net::IoTask
{
public:
  using ReadColdRules =
    std::function<limits::ColdRules(const std::string& aDocument)>;

  LimitController(caf::actor_config& aConfig,
                  net::Runtime aRuntime,
                  caf::actor aFleet,
                  ReadColdRules aReadColdRules)
    : net::IoTask(aConfig, aRuntime)
    , fleet(std::move(aFleet))
    , readColdRules(std::move(aReadColdRules))
  {
  }

protected:
  void Start() override
  {
    this->PublishPeriodically();
    this->CleanUpPeriodically();
  }

  caf::message_handler Handlers() override
  {
    return {
      [this](LeadershipChanged& aChanged) {
        this->isLeader = aChanged.isLeader;
        this->coldEndpoints.Set(0);
        this->ledger = limits::PermitLedger(this->Time() + kColdPause);
        this->cold.Clear();
        this->endpoints.clear();
        this->hasEndpoints = false;
        this->hasColdChanges = false;
        this->isNewlyChanged = false;
        this->isChanged = aChanged.isLeader;
        this->publishFrom = this->Time() + kReportTime;
      },
      [this](RevisionChanged& aChanged) {
        this->UpdateRules(aChanged);
        this->send(this->fleet, RevisionChecked{ std::move(aChanged) });
      },
      [this](discovery::ListUpdate& aList) { this->Handle(aList); },
      [this](wire::LimitReport& aReport) {
        if (aReport.isCold) {
          this->HandleCold(aReport);
        } else {
          this->Handle(aReport);
        }
      },
      [this](RequestPermits& aRequest) { this->Handle(aRequest); },
    };
  }

private:
  TimePoint Time() const { return net::Now(this->GetRuntime()); }

  void UpdateRules(const RevisionChanged& aChanged)
  {
    if (!this->readColdRules) {
      return;
    }
    auto snapshot = settings::ParseFleetSnapshot(*aChanged.document);
    if (snapshot.has_error() || snapshot.value().routes == this->routes) {
      return;
    }
    this->routes = std::move(snapshot.value().routes);
    this->cold.SetRules(this->readColdRules(this->routes));
    this->ApplyCold({});
    this->Publish();
  }

  // The limits are on their way to the fleet controller, and so to routers,
  // before the endpoints that they belong to.
  void Handle(discovery::ListUpdate& aList)
  {
    if (!this->isLeader) {
      return;
    }
    std::vector<limits::ListedEndpoint> listed;
    for (const auto& entry : aList.endpoints) {
      auto found = aList.coldRemaining.find(entry.endpoint);
      listed.push_back(
        { entry.endpoint,
          entry.serves,
          entry.startTime,
          found == aList.coldRemaining.end() ? Duration{} : found->second });
    }
    this->endpoints = std::move(aList.endpoints);
    this->hasEndpoints = true;
    this->ApplyCold(this->cold.Read(listed, this->Time()));
    this->Publish();
    this->SendEndpoints();
  }

  // Once the list has been read, it knows more than a router that was out of
  // contact.
  void HandleCold(const wire::LimitReport& aReport)
  {
    bool isOutdated = !aReport.isObserved && this->hasEndpoints;
    if (!aReport.limit || isOutdated) {
      return;
    }
    Duration remaining =
      aReport.isObserved ? Duration(aReport.coldRemaining) : kKnownColdTime;
    this->UpdateCold(this->cold.Report(
      aReport.endpoint, *aReport.limit, remaining, this->Time()));
  }

  // Applies changes that no reading of the list has caused. They are published
  // soon, together with others: each router tells a new leader what it knows.
  void UpdateCold(const limits::ColdChanges& aChanges)
  {
    this->ApplyCold(aChanges);
    this->hasColdChanges |= !aChanges.cold.empty() || !aChanges.warm.empty();
  }

  // What was known of an endpoint's last process does not hold for the new one.
  void ApplyCold(const limits::ColdChanges& aChanges)
  {
    for (const auto& endpoint : aChanges.restarted) {
      this->MarkChanged(this->ledger.Set(endpoint, std::nullopt, this->Time()));
      this->LogEndpoint("endpoint_restarted", endpoint);
    }
    for (const auto& endpoint : aChanges.cold) {
      this->LogEndpoint("endpoint_cold", endpoint);
    }
    for (const auto& endpoint : aChanges.warm) {
      this->LogEndpoint("endpoint_warm", endpoint);
    }
    this->MarkChanged(
      this->ledger.SetCold(this->cold.CurrentLimits(), this->Time()));
    this->coldEndpoints.Set(static_cast<std::int64_t>(this->cold.CountCold()));
  }

  void LogEndpoint(const char* aEvent, const EndpointId& aEndpoint)
  {
    net::Log(net::LogLevel::Info,
             "the state of an endpoint has changed",
             { { "event", aEvent }, { "endpoint", aEndpoint.Get() } });
  }

  void SendEndpoints()
  {
    this->hasColdChanges = false;
    EndpointsChecked checked{ this->endpoints };
    for (auto& endpoint : checked.endpoints) {
      endpoint.isCold = this->cold.IsCold(endpoint.endpoint);
    }
    this->send(this->fleet, std::move(checked));
  }

  void Handle(const wire::LimitReport& aReport)
  {
    bool isNews =
      aReport.isObserved
        ? this->ledger.Set(aReport.endpoint, aReport.limit, this->Time())
        : aReport.limit && this->ledger.AddKnown(
                             aReport.endpoint, *aReport.limit, this->Time());
    if (isNews) {
      net::Log(
        net::LogLevel::Info,
        "the limit of an endpoint has changed",
        { { "event", "limit_changed" },
          { "endpoint", aReport.endpoint.Get() },
          { "per_second",
            aReport.limit ? std::to_string(aReport.limit->Get()) : "" } });
    }
    this->MarkChanged(isNews);
  }

  void Handle(const RequestPermits& aRequest)
  {
    const auto& request = aRequest.request;
    auto grant =
      this->ledger.Take(request.endpoint, request.count, this->Time());
    this->granted.Add(grant.granted);
    this->denied.Add(request.count - grant.granted);
    this->send(this->fleet,
               SendToRouter{ aRequest.link,
                             wire::PermitReply{
                               request.endpoint,
                               grant.granted,
                               std::chrono::ceil<Milliseconds>(grant.wait) } });
  }

  void MarkChanged(bool aIsChanged)
  {
    this->isChanged |= aIsChanged;
    this->isNewlyChanged |= aIsChanged;
  }

  void PublishPeriodically()
  {
    if (this->isLeader) {
      this->UpdateCold(this->cold.Expire(this->Time()));
      this->Publish();
    }
    if (this->hasColdChanges && this->hasEndpoints) {
      this->SendEndpoints();
    }
    this->After(kPublishInterval, [this] { this->PublishPeriodically(); });
  }

  // While routers may still tell limits that they know, only those of cold
  // endpoints are sent, which routers add to theirs.
  void Publish()
  {
    bool isComplete = this->Time() >= this->publishFrom;
    if (!this->isLeader ||
        !(isComplete ? this->isChanged : this->isNewlyChanged)) {
      return;
    }
    this->isNewlyChanged = false;
    this->isChanged &= !isComplete;
    wire::LimitState state;
    state.isPartial = !isComplete;
    state.coldLimits = ToEntries(this->ledger.ColdLimits());
    if (isComplete) {
      state.limits = ToEntries(this->ledger.CurrentLimits());
      net::Metrics()
        .GetGauge("lycheestand_limited_endpoints")
        .Set(static_cast<std::int64_t>(state.limits.size()));
    }
    this->send(this->fleet, LimitsChanged{ std::move(state) });
  }

  void CleanUpPeriodically()
  {
    this->MarkChanged(this->ledger.RemoveUnused(this->Time()));
    this->After(kCleanUpInterval, [this] { this->CleanUpPeriodically(); });
  }

  caf::actor fleet;
  bool isLeader = false;
  TimePoint publishFrom{};
  ReadColdRules readColdRules;
  // The route document that the rules were read from.
  std::string routes;
  limits::PermitLedger ledger;
  limits::ColdTracker cold;
  // The endpoints of the last reading of the list.
  std::vector<membership::Endpoint> endpoints;
  bool hasEndpoints = false;
  // Endpoints have become cold or warm since they were last sent.
  bool hasColdChanges = false;
  // The limits differ from those that were last sent to routers.
  bool isChanged = false;
  // The same, where partial ones are counted as sent.
  bool isNewlyChanged = false;
  net::Gauge coldEndpoints =
    net::Metrics().GetGauge("lycheestand_cold_endpoints");
  net::Counter granted =
    net::Metrics().GetCounter("lycheestand_permits_granted_total");
  net::Counter denied =
    net::Metrics().GetCounter("lycheestand_permits_denied_total");
};

} // namespace

caf::actor
SpawnLimitController(
  const net::Runtime& aRuntime,
  caf::actor aFleet,
  std::function<limits::ColdRules(const std::string&)> aReadColdRules)
{
  return aRuntime.system->spawn<LimitController>(
    aRuntime, std::move(aFleet), std::move(aReadColdRules));
}

} // namespace lycheestand::control
