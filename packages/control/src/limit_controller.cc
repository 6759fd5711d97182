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

// Owns the limits that endpoints have named, and gives out permits, while this
// instance is the leader. Nothing of it is replicated: routers tell each new
// leader the limits that they know.
class LimitController : public net::IoTask
{
public:
  LimitController(caf::actor_config& aConfig,
                  net::Runtime aRuntime,
                  caf::actor aFleet)
    : net::IoTask(aConfig, aRuntime)
    , fleet(std::move(aFleet))
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
        this->ledger = limits::PermitLedger();
        this->isChanged = aChanged.isLeader;
        this->publishFrom = this->Time() + kReportTime;
      },
      [this](wire::LimitReport& aReport) { this->Handle(aReport); },
      [this](RequestPermits& aRequest) { this->Handle(aRequest); },
    };
  }

private:
  TimePoint Time() const { return net::Now(this->GetRuntime()); }

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
    this->isChanged |= isNews;
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

  void PublishPeriodically()
  {
    if (this->isLeader && this->isChanged &&
        this->Time() >= this->publishFrom) {
      this->isChanged = false;
      wire::LimitState state;
      for (const auto& [endpoint, rate] : this->ledger.CurrentLimits()) {
        state.limits.push_back({ endpoint, rate });
      }
      net::Metrics()
        .GetGauge("lycheestand_limited_endpoints")
        .Set(static_cast<std::int64_t>(state.limits.size()));
      this->send(this->fleet, LimitsChanged{ std::move(state) });
    }
    this->After(kPublishInterval, [this] { this->PublishPeriodically(); });
  }

  void CleanUpPeriodically()
  {
    this->isChanged |= this->ledger.RemoveUnused(this->Time());
    this->After(kCleanUpInterval, [this] { this->CleanUpPeriodically(); });
  }

  caf::actor fleet;
  bool isLeader = false;
  TimePoint publishFrom{};
  limits::PermitLedger ledger;
  // The limits differ from those that were last sent to routers.
  bool isChanged = false;
  net::Counter granted =
    net::Metrics().GetCounter("lycheestand_permits_granted_total");
  net::Counter denied =
    net::Metrics().GetCounter("lycheestand_permits_denied_total");
};

} // namespace

caf::actor
SpawnLimitController(const net::Runtime& aRuntime, caf::actor aFleet)
{
  return aRuntime.system->spawn<LimitController>(aRuntime, std::move(aFleet));
}

} // namespace lycheestand::control
