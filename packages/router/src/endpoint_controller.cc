#include "controllers.h"
#include "endpoint_reports.h"

#include <boost/json.hpp>
#include <caf/typed_response_promise.hpp>
#include <cmath>

namespace lycheestand::router {

namespace {

// Interval at which due endpoints are polled for reports and the capacity is
// sent to admission.
constexpr Duration kTickInterval = std::chrono::milliseconds(100);

// Interval at which the estimated speeds are published as metrics and their
// changes logged, and the number of endpoints with metrics.
constexpr Duration kCapacityInterval = std::chrono::seconds(1);
constexpr std::size_t kMaxEndpointMetrics = 128;

constexpr const char* kSpeedMetric = "lycheestand_endpoint_speed_percent";
constexpr const char* kLimitMetric = "lycheestand_endpoint_limit";

// Shortest interval between two reports of an endpoint.
constexpr Duration kMinReportInterval = std::chrono::milliseconds(500);

// Interval after which an endpoint that did not report is polled again.
constexpr Duration kNoReportInterval = std::chrono::seconds(10);

// Longest wait for a report; an older one would be too stale to use.
constexpr Duration kReportTimeout = std::chrono::seconds(1);

// Limit of reports per second that a router polls for, regardless of the number
// of endpoints. A report takes about 500 bytes with its headers.
constexpr std::int64_t kMaxReportsPerSecond = 16;

// Number of routers that is assumed at least, since the view of the fleet may
// not be known yet.
constexpr std::size_t kMinRouters = 8;

// Longest wait for control's reply to a request for permits. Requests must not
// be held for endpoints of which it is not known when they take more.
constexpr Duration kPermitTimeout = std::chrono::milliseconds(150);

// Time for which an endpoint is left alone if there was no such reply, or if
// this router has no permit of its own while control is out of contact.
constexpr Duration kNoPermitTime = std::chrono::milliseconds(200);

// Starts per router that are assumed within one window when a shared retry
// burst is divided: a restarted router gets its part of the burst again, and up
// to half of the routers may restart.
constexpr double kStartsPerRouter = 1.5;

using FetchResult = Result<net::HttpResponse, net::CallFailure>;

std::vector<routing::Endpoint>
ToEndpoints(const std::vector<membership::Endpoint>& aEntries)
{
  std::vector<routing::Endpoint> out;
  out.reserve(aEntries.size());
  for (const auto& entry : aEntries) {
    out.push_back({ entry.endpoint,
                    entry.zone,
                    entry.address,
                    entry.serves,
                    entry.isService,
                    entry.leaving,
                    entry.startTime,
                    entry.isCold,
                    entry.version });
  }
  return out;
}

limits::Limits
ToLimits(const std::vector<wire::EndpointLimit>& aEntries)
{
  limits::Limits out;
  for (const auto& entry : aEntries) {
    out[entry.endpoint] = entry.rate;
  }
  return out;
}

const char*
ToText(routing::CircuitBreaker::State aState)
{
  switch (aState) {
    case routing::CircuitBreaker::State::Closed:
      return "closed";
    case routing::CircuitBreaker::State::Open:
      return "open";
    case routing::CircuitBreaker::State::HalfOpen:
      break;
  }
  return "half-open";
}

// Owns the endpoint table: chooses an endpoint for each request, and polls the
// endpoints for their load and cache events.
class EndpointController : public net::IoTask
{
public:
  EndpointController(caf::actor_config& aConfig,
                     net::Runtime aRuntime,
                     caf::actor aPool,
                     EndpointOptions aOptions,
                     caf::actor aAdmission)
    : net::IoTask(aConfig, aRuntime, std::move(aPool))
    , options(std::move(aOptions))
    , admission(std::move(aAdmission))
    , random(net::MakeRandomSource())
    , table(this->options.table, this->options.policy, net::MakeRandomSource())
    , permits(net::MakeRandomSource())
  {
  }

protected:
  void Start() override { this->Tick(); }

  caf::message_handler Handlers() override
  {
    return {
      [this](ViewChanged& aChanged) { this->Update(*aChanged.view); },
      [this](ChooseEndpoint& aChoose) { return this->HandleChoose(aChoose); },
      [this](LacksVersion& aLacks) {
        return this->table.LacksVersion(aLacks.query);
      },
      [this](CallFinished& aFinished) { this->Finish(aFinished); },
      [this](CallTimed& aTimed) {
        this->table.RecordTime(ToRequestNumber(aTimed.ticket),
                               aTimed.part,
                               aTimed.time,
                               this->Time());
      },
      [this](EndpointLeaving& aLeaving) {
        this->table.SetLeaving(aLeaving.endpoint);
      },
      [this](EndpointBlocked& aBlocked) {
        this->table.Block(aBlocked.endpoint, this->Time() + aBlocked.time);
      },
      [this](SetEvacuatedZones& aSet) {
        this->EvacuateZones(std::move(aSet.zones));
      },
      [this](EndpointAnswered& aAnswered) { this->ObserveLimit(aAnswered); },
      [this](EndpointCold& aCold) { this->ObserveCold(aCold); },
      [this](PermitSourceChanged& aChanged) {
        this->ChangePermitSource(aChanged.source);
      },
      [this](FromControl& aMessage) { this->Handle(aMessage.message); },
      [this](caf::actor& aLink) { this->link = aLink; },
      [this](LoadReported& aReported) {
        aReported.report.measuredAt = this->Time();
        this->table.UpdateLoadReport(aReported.endpoint,
                                     std::move(aReported.report));
      },
      [this](DumpState) { return this->Dump(); },
    };
  }

private:
  using Promise = caf::typed_response_promise<ChooseEndpointReply>;

  struct PolledEndpoint
  {
    routing::Endpoint endpoint;
    TimePoint nextLoadPoll{};
    TimePoint nextEventsPoll{};
    bool isRequestPending = false;
  };

  struct EndpointGauges
  {
    net::Gauge speed;
    net::Gauge limit;
  };

  // A choice that waits for the end of a backoff.
  struct PendingRetry
  {
    ChooseEndpoint choose;
    Promise promise;
  };

  // A choice that waits for a permit for the endpoint.
  struct PendingPermit
  {
    ChooseEndpoint choose;
    Promise promise;
    routing::Choice choice;
  };

  TimePoint Time() const { return net::Now(this->GetRuntime()); }

  void Update(const membership::View& aView)
  {
    auto endpoints = ToEndpoints(aView.Endpoints());
    auto instances = aView.Instances();
    this->table.SetEndpoints(endpoints);
    this->routerCount = static_cast<std::size_t>(
      std::count_if(instances.begin(), instances.end(), [](const auto& aEntry) {
        return aEntry.alive && !aEntry.leaving;
      }));
    std::map<EndpointId, PolledEndpoint> next;
    for (const auto& endpoint : endpoints) {
      PolledEndpoint& polled = next[endpoint.endpoint];
      auto found = this->polled.find(endpoint.endpoint);
      if (found != this->polled.end() &&
          found->second.endpoint.address == endpoint.address &&
          found->second.endpoint.startTime == endpoint.startTime &&
          found->second.endpoint.version == endpoint.version) {
        polled = found->second;
      }
      polled.endpoint = endpoint;
    }
    this->polled = std::move(next);
    this->PublishCapacity();
  }

  caf::result<ChooseEndpointReply> HandleChoose(ChooseEndpoint& aChoose)
  {
    this->table.SetMaxInFlight(aChoose.maxInFlight);
    auto& budget = this->RetryBudgetOf(aChoose.query.serves);
    if (aChoose.query.excluded.empty()) {
      budget.RecordRequest();
    }
    auto promise = this->make_response_promise<ChooseEndpointReply>();
    if (aChoose.attempts == 0) {
      this->Choose(std::move(aChoose), promise);
      return promise;
    }
    if (!budget.TryAcquireRetry()) {
      net::Metrics().GetCounter("lycheestand_retries_denied_total").Add();
      promise.deliver(ChooseEndpointReply{});
      return promise;
    }
    net::Metrics().GetCounter("lycheestand_retries_total").Add();
    if (!this->options.delaysRetries) {
      this->Choose(std::move(aChoose), promise);
      return promise;
    }
    const unsigned tries = aChoose.attempts;
    const Ticket ticket = aChoose.ticket;
    this->retries.insert_or_assign(ticket,
                                   PendingRetry{ std::move(aChoose), promise });
    this->After(routing::Backoff(tries, this->random),
                [this, ticket] { this->MakeRetry(ticket); });
    return promise;
  }

  // Gives back the retry of a choice that led to no attempt.
  void ReturnRetry(const ChooseEndpoint& aChoose)
  {
    if (aChoose.attempts > 0) {
      this->RetryBudgetOf(aChoose.query.serves).ReturnRetry();
    }
  }

  // A retry burst that all routers share is divided by the number of routers
  // that may have run during the window, so that together they stay below it.
  routing::RetryBudget& RetryBudgetOf(const std::string& aServes)
  {
    auto found = this->retryBudgets.find(aServes);
    if (found != this->retryBudgets.end()) {
      return found->second;
    }
    double burst = this->options.retryBurst;
    if (this->options.isBurstShared) {
      burst /= kStartsPerRouter *
               static_cast<double>(std::max(kMinRouters, this->routerCount));
    }
    return this->retryBudgets
      .emplace(aServes,
               routing::RetryBudget(this->options.retriesPerRequest, burst))
      .first->second;
  }

  // Chooses until an endpoint needs no permit, has one, or may get one from
  // control. Each endpoint without a permit is left alone for a while, so the
  // loop ends.
  void Choose(ChooseEndpoint aChoose, Promise aPromise)
  {
    while (true) {
      auto choice = this->table.Choose(
        ToRequestNumber(aChoose.ticket), aChoose.query, this->Time());
      if (!choice) {
        this->ReturnRetry(aChoose);
        this->DeliverNone(aChoose.query, aPromise);
        return;
      }
      if (!this->permits.NeedsPermit(choice->endpoint, this->Time())) {
        Deliver(aPromise, *choice, false);
        return;
      }
      if (this->permits.Source() == limits::PermitSource::Control) {
        this->WaitForPermit(
          { std::move(aChoose), std::move(aPromise), std::move(*choice) });
        return;
      }
      if (this->permits.TakeLocal(choice->endpoint, this->Time())) {
        Deliver(aPromise, *choice, true);
        return;
      }
      this->Undo(aChoose.ticket);
      this->table.Block(choice->endpoint, this->Time() + kNoPermitTime);
    }
  }

  void DeliverNone(const routing::Query& aQuery, Promise& aPromise) const
  {
    ChooseEndpointReply reply;
    reply.freeAfter = this->table.RemainingBlock(aQuery, this->Time());
    reply.lacksVersion = aQuery.version && this->table.LacksVersion(aQuery);
    aPromise.deliver(std::move(reply));
  }

  static void Deliver(Promise& aPromise,
                      const routing::Choice& aChoice,
                      bool aIsLimited)
  {
    aPromise.deliver(ChooseEndpointReply{ aChoice.endpoint,
                                          Duration{},
                                          aChoice.address,
                                          aChoice.basis,
                                          aIsLimited,
                                          aChoice.version });
  }

  // Takes back a choice that is not used.
  void Undo(Ticket aTicket)
  {
    this->table.Withdraw(ToRequestNumber(aTicket), this->Time());
  }

  static limits::WaitingRequest ToWaitingRequest(Ticket aTicket)
  {
    return limits::WaitingRequest(aTicket.Get());
  }

  void WaitForPermit(PendingPermit aPending)
  {
    auto request = ToWaitingRequest(aPending.choose.ticket);
    EndpointId endpoint = aPending.choice.endpoint;
    this->waiting.insert_or_assign(request, std::move(aPending));
    this->RequestPermits(endpoint, this->permits.Add(endpoint, request));
    this->After(kPermitTimeout, [this, request, endpoint] {
      if (this->permits.Remove(endpoint, request)) {
        this->DenyPermit(request, kNoPermitTime);
      }
    });
  }

  void RequestPermits(const EndpointId& aEndpoint, unsigned aCount)
  {
    if (aCount > 0) {
      this->send(this->link,
                 ToControl{ wire::PermitRequest{ aEndpoint, aCount } });
    }
  }

  std::optional<PendingPermit> TakeWaiting(limits::WaitingRequest aRequest)
  {
    auto found = this->waiting.extract(aRequest);
    if (found.empty()) {
      return std::nullopt;
    }
    this->permits.Remove(found.mapped().choice.endpoint, aRequest);
    return std::move(found.mapped());
  }

  void GrantPermit(limits::WaitingRequest aRequest)
  {
    if (auto pending = this->TakeWaiting(aRequest)) {
      Deliver(pending->promise, pending->choice, true);
    }
  }

  // Sends the request to another endpoint, or refuses it.
  void DenyPermit(limits::WaitingRequest aRequest, Duration aWait)
  {
    auto found = this->waiting.find(aRequest);
    if (found != this->waiting.end()) {
      this->permitsDenied.Add();
      this->table.Block(found->second.choice.endpoint, this->Time() + aWait);
      this->ChooseAgain(aRequest);
    }
  }

  // Takes back the choice of a request that waits for a permit, and makes
  // another.
  void ChooseAgain(limits::WaitingRequest aRequest)
  {
    if (auto pending = this->TakeWaiting(aRequest)) {
      this->Undo(pending->choose.ticket);
      this->Choose(std::move(pending->choose), std::move(pending->promise));
    }
  }

  void Handle(const wire::Message& aMessage)
  {
    if (const auto* state = std::get_if<wire::LimitState>(&aMessage)) {
      this->UpdateLimits(*state);
    } else if (const auto* reply = std::get_if<wire::PermitReply>(&aMessage)) {
      auto decision = this->permits.HandleReply(
        reply->endpoint, reply->granted, this->Time());
      for (auto request : decision.granted) {
        this->GrantPermit(request);
      }
      for (auto request : decision.denied) {
        this->DenyPermit(request, reply->wait);
      }
      this->RequestPermits(reply->endpoint, decision.wanted);
    }
  }

  void UpdateLimits(const wire::LimitState& aState)
  {
    if (aState.isPartial) {
      this->permits.AddColdLimits(ToLimits(aState.coldLimits));
      return;
    }
    this->permits.SetColdLimits(ToLimits(aState.coldLimits));
    this->permits.SetLimits(ToLimits(aState.limits), this->Time());
  }

  void ObserveLimit(const EndpointAnswered& aAnswered)
  {
    bool isNews = this->permits.Observe(
      aAnswered.endpoint, aAnswered.limit, aAnswered.sentAt, this->Time());
    if (!isNews) {
      return;
    }
    net::Log(
      net::LogLevel::Info,
      aAnswered.limit ? "an endpoint names a limit of requests"
                      : "an endpoint names no limit any more",
      { { "event", "endpoint_limit" },
        { "endpoint", aAnswered.endpoint.Get() },
        { "per_second",
          aAnswered.limit ? std::to_string(aAnswered.limit->Get()) : "" } });
    this->send(this->link,
               ToControl{ wire::LimitReport{
                 aAnswered.endpoint, aAnswered.limit, true } });
  }

  // The leader's next reading of the endpoint list may be two seconds away. The
  // limit holds at this router at once, and the report is on the link before
  // the first request for a permit.
  void ObserveCold(const EndpointCold& aCold)
  {
    if (this->permits.ObserveCold(
          aCold.endpoint, aCold.limit, aCold.remaining, this->Time())) {
      this->send(this->link,
                 ToControl{ wire::LimitReport{
                   aCold.endpoint,
                   aCold.limit,
                   true,
                   true,
                   std::chrono::ceil<Milliseconds>(aCold.remaining) } });
    }
  }

  // A new leader does not know the limits. Requests that wait for the last one
  // are chosen for again.
  void ChangePermitSource(limits::PermitSource aSource)
  {
    auto requests = this->permits.SetSource(aSource, this->Time());
    if (aSource == limits::PermitSource::Control) {
      for (const auto& [endpoint, rate] :
           this->permits.KnownLimits(this->Time())) {
        this->send(this->link,
                   ToControl{ wire::LimitReport{ endpoint, rate, false } });
      }
      for (const auto& [endpoint, rate] :
           this->permits.KnownColdLimits(this->Time())) {
        this->send(
          this->link,
          ToControl{ wire::LimitReport{ endpoint, rate, false, true } });
      }
    }
    for (auto request : requests) {
      this->DenyPermit(request, Duration(0));
    }
  }

  // Requests that wait for a permit of an endpoint that is evacuated now are
  // chosen for again, so a permit that is granted later sends nothing there.
  void EvacuateZones(std::set<ZoneId> aZones)
  {
    this->table.SetEvacuatedZones(std::move(aZones));
    std::vector<limits::WaitingRequest> evacuated;
    for (const auto& [request, pending] : this->waiting) {
      if (this->table.IsEvacuated(pending.choice.endpoint)) {
        evacuated.push_back(request);
      }
    }
    for (auto request : evacuated) {
      this->ChooseAgain(request);
    }
    this->PublishCapacity();
  }

  void MakeRetry(Ticket aTicket)
  {
    auto found = this->retries.find(aTicket);
    if (found != this->retries.end()) {
      PendingRetry retry = std::move(found->second);
      this->retries.erase(found);
      this->Choose(std::move(retry.choose), std::move(retry.promise));
    }
  }

  void Finish(const CallFinished& aFinished)
  {
    auto retry = this->retries.find(aFinished.ticket);
    if (retry != this->retries.end()) {
      this->ReturnRetry(retry->second.choose);
      retry->second.promise.deliver(ChooseEndpointReply{});
      this->retries.erase(retry);
    }
    if (auto waiting = this->TakeWaiting(ToWaitingRequest(aFinished.ticket))) {
      this->ReturnRetry(waiting->choose);
      waiting->promise.deliver(ChooseEndpointReply{});
      this->Undo(aFinished.ticket);
    }
    this->table.Finish(
      ToRequestNumber(aFinished.ticket), aFinished.outcome, this->Time());
  }

  void Tick()
  {
    auto now = this->Time();
    for (auto& [id, polled] : this->polled) {
      if (polled.isRequestPending || !this->options.pollsEndpoints ||
          this->table.IsEvacuated(id)) {
        continue;
      }
      if (now >= polled.nextLoadPoll) {
        this->PollLoad(id, polled);
      } else if (now >= polled.nextEventsPoll && !polled.endpoint.isService) {
        this->PollEvents(id, polled);
      }
    }
    this->PublishCapacity();
    if (now >= this->nextCapacityReport) {
      this->nextCapacityReport = now + kCapacityInterval;
      this->LogCapacityChanges(now);
      this->UpdateCapacityMetrics(now);
    }
    this->After(kTickInterval, [this] { this->Tick(); });
  }

  void LogCapacityChanges(TimePoint aNow)
  {
    for (const auto& change : this->table.TakeCapacityChanges(aNow)) {
      net::Log(net::LogLevel::Info,
               "the estimated speed of an endpoint has changed",
               { { "event", "endpoint_capacity" },
                 { "endpoint", change.endpoint.Get() },
                 { "service", change.serves },
                 { "speed_percent", FormatPercent(change.speed) },
                 { "previous_percent", FormatPercent(change.previousSpeed) },
                 { "limit", std::to_string(std::llround(change.limit)) } });
    }
  }

  static std::string FormatPercent(double aFraction)
  {
    return std::to_string(std::llround(aFraction * 100));
  }

  void UpdateCapacityMetrics(TimePoint aNow)
  {
    std::map<EndpointId, EndpointGauges> next;
    for (const auto& status :
         this->table.Capacities(kMaxEndpointMetrics, aNow)) {
      auto old = this->gauges.extract(status.endpoint);
      auto labels = EndpointLabel(status.endpoint);
      EndpointGauges gauges =
        old ? old.mapped()
            : EndpointGauges{ net::Metrics().GetGauge(kSpeedMetric, labels),
                              net::Metrics().GetGauge(kLimitMetric, labels) };
      gauges.speed.Set(std::llround(status.speed * 100));
      gauges.limit.Set(std::llround(status.limit));
      next.emplace(status.endpoint, std::move(gauges));
    }
    for (const auto& [id, gauges] : this->gauges) {
      net::Metrics().RemoveGauge(kSpeedMetric, EndpointLabel(id));
      net::Metrics().RemoveGauge(kLimitMetric, EndpointLabel(id));
    }
    this->gauges = std::move(next);
  }

  static std::string EndpointLabel(const EndpointId& aEndpoint)
  {
    return "endpoint=\"" + aEndpoint.Get() + "\"";
  }

  // Returns the interval at which each endpoint is polled once for its load and
  // once for its events.
  Duration PollInterval() const
  {
    auto count = static_cast<std::int64_t>(this->polled.size());
    return std::max<Duration>(kMinReportInterval,
                              std::chrono::seconds(1) * 2 * count /
                                kMaxReportsPerSecond);
  }

  void PollLoad(const EndpointId& aId, PolledEndpoint& aPolled)
  {
    auto askedAt = this->Time();
    this->Poll(
      aId,
      aPolled,
      "/load",
      [this, aId, askedAt](PolledEndpoint& aEndpoint,
                           const std::string* aBody) {
        auto report = aBody ? ParseLoadReport(*aBody, askedAt) : std::nullopt;
        aEndpoint.nextLoadPoll =
          askedAt + (report ? this->PollInterval() : kNoReportInterval);
        if (report) {
          this->table.UpdateLoadReport(aId, std::move(*report));
        }
      });
  }

  void PollEvents(const EndpointId& aId, PolledEndpoint& aPolled)
  {
    auto askedAt = this->Time();
    auto after = std::to_string(this->table.NextEventSequence(aId));
    this->Poll(aId,
               aPolled,
               "/events?after=" + after,
               [this, aId, askedAt](PolledEndpoint& aEndpoint,
                                    const std::string* aBody) {
                 auto batch = aBody ? ParseEvents(*aBody) : std::nullopt;
                 aEndpoint.nextEventsPoll =
                   askedAt + (batch ? this->PollInterval() : kNoReportInterval);
                 if (batch) {
                   this->table.ApplyCacheEvents(
                     aId, batch->events, batch->next);
                 }
               });
  }

  // Requests a report and calls aDone with the body, or with null if the answer
  // is not a 200. An answer from an endpoint that has since left the view is
  // dropped.
  void Poll(const EndpointId& aId,
            PolledEndpoint& aPolled,
            const std::string& aTarget,
            std::function<void(PolledEndpoint&, const std::string*)> aDone)
  {
    aPolled.isRequestPending = true;
    net::CallOptions options;
    options.connectTimeout = kReportTimeout;
    options.idleTimeout = kReportTimeout;
    options.totalTimeout = kReportTimeout;
    this->Fetch(aPolled.endpoint.address,
                { "GET", aTarget, {}, "" },
                options,
                [this, aId, done = std::move(aDone)](FetchResult aResult) {
                  auto found = this->polled.find(aId);
                  if (found == this->polled.end()) {
                    return;
                  }
                  found->second.isRequestPending = false;
                  bool isGood =
                    aResult.has_value() && aResult.value().status == 200;
                  done(found->second, isGood ? &aResult.value().body : nullptr);
                });
  }

  void PublishCapacity()
  {
    auto now = this->Time();
    CapacityChanged changed;
    for (const auto& [id, polled] : this->polled) {
      const auto& endpoint = polled.endpoint;
      auto [pool, isNew] = changed.pools.try_emplace(
        PoolName(endpoint.serves, endpoint.isService), 0);
      if (!isNew) {
        continue;
      }
      auto capacity = this->table.Capacity(
        endpoint.serves, endpoint.isService, this->routerCount, now);
      if (capacity) {
        pool->second = *capacity;
      } else {
        changed.pools.erase(pool);
      }
    }
    if (changed.pools != this->publishedPools) {
      this->publishedPools = changed.pools;
      this->send(this->admission, std::move(changed));
    }
  }

  std::string Dump() const
  {
    boost::json::array out;
    auto now = this->Time();
    for (const auto& status : this->table.Status(now)) {
      boost::json::object entry{ { "endpoint", status.endpoint.endpoint.Get() },
                                 { "serves", status.endpoint.serves },
                                 { "zone", status.endpoint.zone.Get() },
                                 { "version", status.endpoint.version.Get() },
                                 { "in_flight", status.inFlight },
                                 { "leaving", status.leaving },
                                 { "evacuated", status.evacuated },
                                 { "breaker", ToText(status.breaker) },
                                 { "prefixes", status.prefixes },
                                 { "speed", status.speed },
                                 { "limit", status.limit } };
      if (status.report) {
        entry["running"] = status.report->running;
        entry["queued"] = status.report->queued;
        entry["report_age_ms"] = std::chrono::duration_cast<Milliseconds>(
                                   now - status.report->measuredAt)
                                   .count();
      }
      out.push_back(std::move(entry));
    }
    return boost::json::serialize(out);
  }

  EndpointOptions options;
  caf::actor admission;
  RandomSource random;
  routing::EndpointTable table;
  std::map<std::string, routing::RetryBudget> retryBudgets;
  std::map<Ticket, PendingRetry> retries;
  caf::actor link;
  limits::PermitQueue permits;
  std::map<limits::WaitingRequest, PendingPermit> waiting;
  net::Counter permitsDenied =
    net::Metrics().GetCounter("lycheestand_permits_denied_total");
  std::map<EndpointId, PolledEndpoint> polled;
  std::map<std::string, unsigned> publishedPools;
  std::size_t routerCount = 1;
  TimePoint nextCapacityReport{};
  std::map<EndpointId, EndpointGauges> gauges;
};

} // namespace

caf::actor
SpawnEndpointController(const net::Runtime& aRuntime,
                        caf::actor aPool,
                        EndpointOptions aOptions,
                        caf::actor aAdmission)
{
  return aRuntime.system->spawn<EndpointController>(
    aRuntime, std::move(aPool), std::move(aOptions), std::move(aAdmission));
}

} // namespace lycheestand::router
