#include "controllers.h"
#include "endpoint_reports.h"

#include <boost/json.hpp>
#include <caf/typed_response_promise.hpp>

namespace lycheestand::router {

namespace {

// Interval at which due endpoints are polled for reports and the capacity is
// sent to admission.
constexpr Duration kTickInterval = std::chrono::milliseconds(100);

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
      [this](EndpointLeaving& aLeaving) {
        this->table.SetLeaving(aLeaving.endpoint);
      },
      [this](EndpointBlocked& aBlocked) {
        this->table.Block(aBlocked.endpoint, this->Time() + aBlocked.time);
      },
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

  struct PendingRetry
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
    this->routerCount = static_cast<std::size_t>(
      std::count_if(instances.begin(), instances.end(), [](const auto& aEntry) {
        return aEntry.alive && !aEntry.leaving;
      }));
    std::map<EndpointId, PolledEndpoint> next;
    for (const auto& endpoint : endpoints) {
      PolledEndpoint& polled = next[endpoint.endpoint];
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

  caf::result<ChooseEndpointReply> HandleChoose(ChooseEndpoint& aChoose)
  {
    this->table.SetMaxInFlight(aChoose.maxInFlight);
    auto& budget = this->RetryBudgetOf(aChoose.query.serves);
    if (aChoose.query.excluded.empty()) {
      budget.RecordRequest();
    }
    if (aChoose.attempts == 0) {
      return this->Choose(aChoose);
    }
    if (!budget.TryAcquireRetry()) {
      net::Metrics().GetCounter("lycheestand_retries_denied_total").Add();
      return ChooseEndpointReply{};
    }
    net::Metrics().GetCounter("lycheestand_retries_total").Add();
    if (!this->options.delaysRetries) {
      return this->Choose(aChoose);
    }
    const unsigned tries = aChoose.attempts;
    auto promise = this->make_response_promise<ChooseEndpointReply>();
    const Ticket ticket = aChoose.ticket;
    this->retries.insert_or_assign(ticket,
                                   PendingRetry{ std::move(aChoose), promise });
    this->After(routing::Backoff(tries, this->random),
                [this, ticket] { this->MakeRetry(ticket); });
    return promise;
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

  ChooseEndpointReply Choose(const ChooseEndpoint& aChoose)
  {
    auto choice = this->table.Choose(
      ToRequestNumber(aChoose.ticket), aChoose.query, this->Time());
    if (!choice) {
      return ChooseEndpointReply{
        std::nullopt, this->table.RemainingBlock(aChoose.query, this->Time())
      };
    }
    return ChooseEndpointReply{
      choice->endpoint, Duration{}, choice->address, choice->basis
    };
  }

  void MakeRetry(Ticket aTicket)
  {
    auto found = this->retries.find(aTicket);
    if (found != this->retries.end()) {
      PendingRetry retry = std::move(found->second);
      this->retries.erase(found);
      retry.promise.deliver(this->Choose(retry.choose));
    }
  }

  void Finish(const CallFinished& aFinished)
  {
    auto retry = this->retries.find(aFinished.ticket);
    if (retry != this->retries.end()) {
      retry->second.promise.deliver(ChooseEndpointReply{});
      this->retries.erase(retry);
    }
    this->table.Finish(
      ToRequestNumber(aFinished.ticket), aFinished.outcome, this->Time());
  }

  void Tick()
  {
    auto now = this->Time();
    for (auto& [id, polled] : this->polled) {
      if (polled.isRequestPending || !this->options.pollsEndpoints) {
        continue;
      }
      if (now >= polled.nextLoadPoll) {
        this->PollLoad(id, polled);
      } else if (now >= polled.nextEventsPoll && !polled.endpoint.isService) {
        this->PollEvents(id, polled);
      }
    }
    this->PublishCapacity();
    this->After(kTickInterval, [this] { this->Tick(); });
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
  std::map<Ticket, PendingRetry> retries;
  std::map<EndpointId, PolledEndpoint> polled;
  std::map<std::string, unsigned> publishedPools;
  std::size_t routerCount = 1;
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
