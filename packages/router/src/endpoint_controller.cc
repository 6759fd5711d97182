#include "controllers.h"
#include "endpoint_reports.h"

#include <boost/json.hpp>
#include <caf/typed_response_promise.hpp>

namespace lycheestand::router {

namespace {

// Pace at which endpoints that are due are asked for reports, and admission
// learns the capacity.
constexpr Duration kTickInterval = std::chrono::milliseconds(100);

// Time between two ticks from which the process counts as stalled.
constexpr Duration kStallTime = std::chrono::seconds(1);

// Least time between two reports of one endpoint.
constexpr Duration kReportInterval = std::chrono::milliseconds(500);

// An endpoint that does not report is asked again after this time.
constexpr Duration kNoReportInterval = std::chrono::seconds(10);

// Longest wait for a report; an older one would be of little use.
constexpr Duration kReportTimeout = std::chrono::seconds(1);

// Reports per second that one router asks for, whatever the number of
// endpoints: each costs about 500 bytes with its headers.
constexpr std::int64_t kMostReportsPerSecond = 16;

// Routers that are assumed before the fleet's view is known.
constexpr std::size_t kLeastRouters = 8;

// A router that restarts has its part of a shared burst anew; this leaves room
// for half of them doing so within one window.
constexpr double kRestartMargin = 1.5;

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
                    entry.leaving });
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

// Carries the endpoint table: chooses an endpoint for each request, and asks
// the endpoints for their load and cache events.
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
  {
  }

protected:
  void Start() override { this->Tick(); }

  caf::message_handler Handlers() override
  {
    return {
      [this](ViewChanged& aChanged) { this->Update(*aChanged.view); },
      [this](ChooseEndpoint& aChoose) { return this->HandleChoose(aChoose); },
      [this](CallFinished& aFinished) { this->Finish(aFinished); },
      [this](LoadLearnt& aLearnt) {
        aLearnt.report.measuredAt = this->Time();
        this->table.UpdateLoadReport(aLearnt.endpoint,
                                     std::move(aLearnt.report));
      },
      [this](DumpState) { return this->Dump(); },
    };
  }

private:
  using Promise = caf::typed_response_promise<EndpointChosen>;

  struct Polled
  {
    routing::Endpoint endpoint;
    TimePoint nextLoad{};
    TimePoint nextEvents{};
    bool isAsked = false;
  };

  struct Retry
  {
    ChooseEndpoint choose;
    Promise promise;
  };

  TimePoint Time() const { return net::Now(this->GetRuntime()); }

  void Update(const membership::View& aView)
  {
    auto endpoints = ToEndpoints(aView.Endpoints());
    auto instances = aView.Instances();
    this->table.SetEndpoints(endpoints);
    this->routers = static_cast<std::size_t>(
      std::count_if(instances.begin(), instances.end(), [](const auto& aEntry) {
        return aEntry.alive && !aEntry.leaving;
      }));
    std::map<EndpointId, Polled> next;
    for (const auto& endpoint : endpoints) {
      Polled& polled = next[endpoint.endpoint];
      auto found = this->polled.find(endpoint.endpoint);
      if (found != this->polled.end() &&
          found->second.endpoint.address == endpoint.address) {
        polled = found->second;
      }
      polled.endpoint = endpoint;
    }
    this->polled = std::move(next);
    this->PublishCapacity();
  }

  caf::result<EndpointChosen> HandleChoose(ChooseEndpoint& aChoose)
  {
    this->table.SetMaxInFlight(aChoose.maxInFlight);
    auto& budget = this->RetryBudgetOf(aChoose.query.serves);
    if (aChoose.query.excluded.empty()) {
      budget.RecordRequest();
    }
    if (aChoose.arrivals == 0) {
      return this->Choose(aChoose);
    }
    if (!budget.TryAcquireRetry()) {
      net::Metrics().GetCounter("lycheestand_retries_denied_total").Add();
      return EndpointChosen{};
    }
    net::Metrics().GetCounter("lycheestand_retries_total").Add();
    if (!this->options.pausesRetries) {
      return this->Choose(aChoose);
    }
    const unsigned tries = aChoose.arrivals;
    auto promise = this->make_response_promise<EndpointChosen>();
    const Ticket ticket = aChoose.ticket;
    this->retries.insert_or_assign(ticket,
                                   Retry{ std::move(aChoose), promise });
    this->After(routing::Backoff(tries, this->random),
                [this, ticket] { this->MakeRetry(ticket); });
    return promise;
  }

  // A burst that all routers share is divided among those that may have been
  // there in the window, so that together they stay below it.
  routing::RetryBudget& RetryBudgetOf(const std::string& aServes)
  {
    auto found = this->retryBudgets.find(aServes);
    if (found != this->retryBudgets.end()) {
      return found->second;
    }
    double burst = this->options.retryBurst;
    if (this->options.sharesBurst) {
      burst /= kRestartMargin *
               static_cast<double>(std::max(kLeastRouters, this->routers));
    }
    return this->retryBudgets
      .emplace(aServes, routing::RetryBudget(this->options.retryShare, burst))
      .first->second;
  }

  EndpointChosen Choose(const ChooseEndpoint& aChoose)
  {
    auto choice =
      this->table.Choose(ToNumber(aChoose.ticket), aChoose.query, this->Time());
    return choice ? EndpointChosen{ choice->endpoint,
                                    choice->address,
                                    choice->basis }
                  : EndpointChosen{};
  }

  void MakeRetry(Ticket aTicket)
  {
    auto found = this->retries.find(aTicket);
    if (found != this->retries.end()) {
      Retry retry = std::move(found->second);
      this->retries.erase(found);
      retry.promise.deliver(this->Choose(retry.choose));
    }
  }

  void Finish(const CallFinished& aFinished)
  {
    auto retry = this->retries.find(aFinished.ticket);
    if (retry != this->retries.end()) {
      retry->second.promise.deliver(EndpointChosen{});
      this->retries.erase(retry);
    }
    this->table.Finish(ToNumber(aFinished.ticket),
                       aFinished.outcome,
                       aFinished.leaving,
                       this->Time());
  }

  void Tick()
  {
    auto now = this->Time();
    this->NoteStall(now);
    for (auto& [id, polled] : this->polled) {
      if (polled.isAsked || !this->options.asksEndpoints) {
        continue;
      }
      if (now >= polled.nextLoad) {
        this->AskLoad(id, polled);
      } else if (now >= polled.nextEvents && !polled.endpoint.isService) {
        this->AskEvents(id, polled);
      }
    }
    this->PublishCapacity();
    this->After(kTickInterval, [this] { this->Tick(); });
  }

  // A machine that stood still shows only as silence in its log otherwise.
  void NoteStall(TimePoint aNow)
  {
    if (this->lastTick != TimePoint{} && aNow - this->lastTick >= kStallTime) {
      auto stalled =
        std::chrono::duration_cast<Milliseconds>(aNow - this->lastTick);
      net::Log(
        net::LogLevel::Warning,
        "this process did not run for a while",
        { { "event", "stalled" }, { "ms", std::to_string(stalled.count()) } });
    }
    this->lastTick = aNow;
  }

  // Each endpoint is asked for its load and its events once per interval.
  Duration Interval() const
  {
    auto count = static_cast<std::int64_t>(this->polled.size());
    return std::max<Duration>(kReportInterval,
                              std::chrono::seconds(1) * 2 * count /
                                kMostReportsPerSecond);
  }

  void AskLoad(const EndpointId& aId, Polled& aPolled)
  {
    auto askedAt = this->Time();
    this->Ask(aId,
              aPolled,
              "/load",
              [this, aId, askedAt](Polled& aAsked, const std::string* aBody) {
                auto report =
                  aBody ? ParseLoadReport(*aBody, askedAt) : std::nullopt;
                aAsked.nextLoad =
                  askedAt + (report ? this->Interval() : kNoReportInterval);
                if (report) {
                  this->table.UpdateLoadReport(aId, std::move(*report));
                }
              });
  }

  void AskEvents(const EndpointId& aId, Polled& aPolled)
  {
    auto askedAt = this->Time();
    auto after = std::to_string(this->table.NextEventSequence(aId));
    this->Ask(aId,
              aPolled,
              "/events?after=" + after,
              [this, aId, askedAt](Polled& aAsked, const std::string* aBody) {
                auto batch = aBody ? ParseEvents(*aBody) : std::nullopt;
                aAsked.nextEvents =
                  askedAt + (batch ? this->Interval() : kNoReportInterval);
                if (batch) {
                  this->table.ApplyCacheEvents(aId, batch->events, batch->next);
                }
              });
  }

  // Passes on the body of a good answer, or null. An answer for an endpoint
  // that has meanwhile left the view is dropped.
  void Ask(const EndpointId& aId,
           Polled& aPolled,
           const std::string& aTarget,
           std::function<void(Polled&, const std::string*)> aDone)
  {
    aPolled.isAsked = true;
    net::CallOptions options;
    options.connectTimeout = kReportTimeout;
    options.idleTimeout = kReportTimeout;
    this->Fetch(aPolled.endpoint.address,
                { "GET", aTarget, {}, "" },
                options,
                [this, aId, done = std::move(aDone)](FetchResult aResult) {
                  auto found = this->polled.find(aId);
                  if (found == this->polled.end()) {
                    return;
                  }
                  found->second.isAsked = false;
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
        endpoint.serves, endpoint.isService, this->routers, now);
      if (capacity) {
        pool->second = *capacity;
      } else {
        changed.pools.erase(pool);
      }
    }
    if (changed.pools != this->published) {
      this->published = changed.pools;
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
                                 { "in_flight", status.inFlight },
                                 { "leaving", status.leaving },
                                 { "breaker", ToText(status.breaker) },
                                 { "prefixes", status.prefixes } };
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
  std::map<Ticket, Retry> retries;
  std::map<EndpointId, Polled> polled;
  std::map<std::string, unsigned> published;
  std::size_t routers = 1;
  TimePoint lastTick{};
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
