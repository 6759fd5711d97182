#include "controllers.h"
#include "filter_chain.h"
#include "stop_plan.h"

#include <boost/json.hpp>
#include <caf/send.hpp>
#include <lycheestand/router.h>

namespace lycheestand::router {

namespace {

constexpr Duration kDrainPollInterval = std::chrono::milliseconds(50);

// Longest wait for a controller's reply.
constexpr Duration kControllerReplyTimeout = std::chrono::seconds(1);

// Prompt tokens per second that an engine is assumed to process until it is
// measured: the lowest rate among the engines in the sites' settings.
constexpr double kPromptTokensPerSecond = 70000;

// Fraction of the allowed retries per request that is used. The margin is
// needed since a retry may be counted in another window than its request.
constexpr double kUsedRetryFraction = 0.8;

EndpointOptions
MakeEndpointOptions(const settings::ProcessSettings& aSettings)
{
  EndpointOptions options;
  options.table.zone = aSettings.zone;
  if (!aSettings.routes) {
    options.policy = routing::MakeCostPolicy();
    return options;
  }
  const auto& routes = *aSettings.routes;
  options.table.promptTokensPerSecond = kPromptTokensPerSecond;
  routing::CostOptions cost;
  cost.promptTokensPerSecond = kPromptTokensPerSecond;
  cost.temperatureSeconds = 0.005;
  options.policy = routing::MakeRendezvousPolicy(cost);
  options.pollsEndpoints = false;
  options.retriesPerRequest = routes.retriesPerRequest * kUsedRetryFraction;
  options.retryBurst = routes.fleetRetryBurst;
  options.isBurstShared = true;
  options.delaysRetries = false;
  return options;
}

std::vector<Filter>
MakeFilters(const std::shared_ptr<const RouteProtocol>& aProtocol,
            const settings::ProcessSettings& aSettings,
            std::function<bool()> aAccepts,
            std::function<bool(Duration, bool)> aMayAccept)
{
  if (aProtocol) {
    auto routes = aSettings.routes.value_or(settings::RouteSettings());
    return {
      MakeReadCall(aProtocol),
      MakeShedLoad(std::move(aAccepts)),
      MakeMatchRoute(routes.changeApplyTime, std::move(aMayAccept)),
      MakeCheckQuarantine(),
      MakeFindStream(),
      MakeReserve(),
      MakeRecheck(),
      MakeForward(),
    };
  }
  return { MakeShedLoad(std::move(aAccepts)),
           MakeAuthenticate(),
           MakeParseCall(),
           MakeCheckQuarantine(),
           MakeAdmit(),
           MakeRecordOperation(),
           MakeReserve(),
           MakeRecheck(),
           MakeForward() };
}

// Delay of the process's tasks at which it accepts no request: one passes about
// ten tasks, and would be answered too late. It is longer than the pauses of a
// process that may use the processor only for a part of each 100 ms.
constexpr Duration kMaxTaskDelay = std::chrono::milliseconds(250);

// Stops a router gracefully: removes it from the entry addresses, waits for
// requests in flight, then returns its grants.
class DrainTask : public net::IoTask
{
public:
  DrainTask(caf::actor_config& aConfig,
            net::Runtime aRuntime,
            Controllers aControllers,
            caf::actor aServer,
            StopPlan aPlan,
            std::function<void()> aStopped)
    : net::IoTask(aConfig, aRuntime)
    , controllers(std::move(aControllers))
    , server(std::move(aServer))
    , plan(aPlan)
    , stopped(std::move(aStopped))
  {
  }

protected:
  // Callers may use cached entry addresses until these expire, so the router
  // serves for that long after it has told control that it is leaving.
  void Start() override
  {
    net::Log(net::LogLevel::Info,
             "stopping: asking control to remove this router from the entry "
             "addresses",
             { { "event", "leaving" } });
    this->send(this->controllers.link, SetLeaving{});
    this->send(this->controllers.budget,
               SetBudgetHorizon{ this->plan.serveTime });
    this->send(this->server, net::CloseAfterResponses{});
    this->After(this->plan.serveTime, [this] {
      net::Log(net::LogLevel::Info,
               "stopping: finishing the requests in flight",
               { { "event", "finishing" } });
      // The server calls back in its own task; the rest must run in this one.
      auto executor = this->Executor();
      net::StopServer(
        this->GetRuntime(),
        this->server,
        this->plan.finishTime,
        [this, executor] {
          executor.Post(std::make_shared<std::function<void()>>([this] {
            this->deadline =
              net::Now(this->GetRuntime()) + this->plan.reportTime;
            this->WaitForOperations();
          }));
        });
    });
  }

private:
  void WaitForOperations()
  {
    this->request(this->controllers.operation, caf::infinite, IsIdle{})
      .then([this](bool aIdle) {
        if (aIdle || this->IsOverdue()) {
          this->WaitForGrants();
        } else {
          this->After(kDrainPollInterval,
                      [this] { this->WaitForOperations(); });
        }
      });
  }

  void WaitForGrants()
  {
    this->request(this->controllers.budget, caf::infinite, ReturnGrants{})
      .then([this](bool aEmpty) {
        if (aEmpty || this->IsOverdue()) {
          this->LogStopped(aEmpty);
          this->After(kDrainPollInterval, [this] {
            this->send(this->server, net::CloseConnections{});
            this->stopped();
            this->quit();
          });
        } else {
          this->After(kDrainPollInterval, [this] { this->WaitForGrants(); });
        }
      });
  }

  // Grants that were not returned stay charged to this session.
  void LogStopped(bool aEmpty)
  {
    if (aEmpty) {
      net::Log(net::LogLevel::Info, "left", { { "event", "left" } });
      return;
    }
    this
      ->request(this->controllers.budget, kControllerReplyTimeout, DumpState{})
      .then([](const std::string& aState) {
        net::Log(net::LogLevel::Warning,
                 "stopped with grants that were not returned",
                 { { "event", "left" }, { "budgets", aState } });
      });
  }

  bool IsOverdue() const
  {
    return net::Now(this->GetRuntime()) >= this->deadline;
  }

  Controllers controllers;
  caf::actor server;
  StopPlan plan;
  std::function<void()> stopped;
  TimePoint deadline{};
};

class RunningRouter : public Router
{
public:
  RunningRouter(const net::Runtime& aRuntime,
                const settings::ProcessSettings& aSettings,
                caf::actor aBuffers,
                std::optional<RouteProtocol> aProtocol)
    : runtime(aRuntime)
    , settings(aSettings)
    , buffers(std::move(aBuffers))
    , protocol(aProtocol ? std::make_shared<const RouteProtocol>(*aProtocol)
                         : nullptr)
    , plan(MakeStopPlan(aSettings))
    , chain(MakeFilters(
        this->protocol,
        aSettings,
        [this] { return this->AcceptsRequest(); },
        [this](Duration aTimeout, bool aIsRepeatable) {
          return !this->IsStopping() ||
                 this->CanFinish(aTimeout, aIsRepeatable);
        }))
  {
  }

  Result<void, std::string> Start(const net::FleetKey& aKey)
  {
    auto overload = SpawnOverloadController(
      this->runtime, this->settings.instance, [this](const Acceptance& aNow) {
        this->SetAcceptance(aNow);
      });
    auto pool =
      net::SpawnConnectionPool(this->runtime, [overload](Duration aTime) {
        caf::anon_send(overload, ConnectTime{ aTime });
      });
    Controllers& all = this->controllers;
    all.budget = SpawnBudgetController(this->runtime, this->settings);
    all.operation = SpawnOperationController(this->runtime, pool);
    all.admission = SpawnAdmissionController(this->runtime);
    all.endpoint = SpawnEndpointController(
      this->runtime, pool, MakeEndpointOptions(this->settings), all.admission);
    all.configuration = SpawnConfigurationController(
      this->runtime,
      this->settings.confirmationLimit,
      this->protocol ? this->protocol->readTable : RouteTableReader(),
      all.endpoint);
    all.membership = SpawnMembershipController(this->runtime, this->settings);
    all.quarantine = SpawnQuarantineController(this->runtime);
    all.stream = SpawnStreamController(this->runtime);
    all.overload = overload;
    all.link =
      SpawnControlLink(this->runtime, this->settings, aKey, all, [this] {
        this->Drain(this->onDrained);
      });
    auto peerLinks =
      SpawnPeerLinks(this->runtime, this->settings, aKey, all.budget);
    if (peerLinks.has_error()) {
      return peerLinks.error();
    }
    caf::anon_send(all.budget, all.link);
    caf::anon_send(all.budget, SetPeerLinks{ peerLinks.value() });
    caf::anon_send(all.operation, all.link);
    caf::anon_send(all.quarantine, all.link);
    caf::anon_send(all.stream, all.link);
    caf::anon_send(all.endpoint, all.link);
    auto server = net::SpawnHttpServer(
      this->runtime,
      pool,
      this->settings.callerAddress,
      this->ServerOptions(),
      [this](net::ExchangePtr aExchange) { this->Handle(aExchange); });
    if (server.has_error()) {
      return server.error();
    }
    this->server = server.value();
    this->delayProbe =
      net::StartDelayProbe(this->runtime, [overload](Duration aDelay) {
        caf::anon_send(overload, TaskDelay{ aDelay });
      });
    this->isProbing = true;
    return boost::outcome_v2::success();
  }

  void SetControl(std::vector<settings::ControlMember> aMembers) override
  {
    caf::anon_send(this->controllers.link, SetMembers{ std::move(aMembers) });
  }

  void Drain(std::function<void()> aStopped) override
  {
    Duration::rep notStopping = 0;
    auto now = net::Now(this->runtime).time_since_epoch().count();
    if (!this->stopRequestedAt.compare_exchange_strong(notStopping, now)) {
      return;
    }
    this->runtime.system->spawn<DrainTask>(this->runtime,
                                           this->controllers,
                                           this->server,
                                           this->plan,
                                           std::move(aStopped));
  }

  void OnDrainRequest(std::function<void()> aStopped) override
  {
    this->onDrained = std::move(aStopped);
  }

  // A router without a confirmed configuration refuses all requests.
  void CheckReadiness(net::IoTask& aTask,
                      std::function<void(bool)> aDone) override
  {
    aTask
      .request(this->controllers.configuration,
               kControllerReplyTimeout,
               GetConfiguration{})
      .then(
        [this, aDone](const ActiveConfiguration& aReply) {
          bool isSet = this->protocol ? aReply.table != nullptr
                                      : aReply.snapshot != nullptr;
          aDone(isSet && !this->IsStopping() && this->isReady);
        },
        [aDone](const caf::error&) { aDone(false); });
  }

  void FindEntryAddresses(
    net::IoTask& aTask,
    const ZoneId& aZone,
    std::function<void(const EntryAddresses&)> aDone) override
  {
    aTask
      .request(this->controllers.membership,
               kControllerReplyTimeout,
               GetEntryAddresses{ aZone })
      .then([aDone](const EntryAddresses& aEntries) { aDone(aEntries); },
            [aDone](const caf::error&) { aDone({}); });
  }

  void Dump(net::IoTask& aTask, std::function<void(std::string)> aDone) override
  {
    auto out = std::make_shared<std::string>("{");
    auto pendingReplies = std::make_shared<int>(0);
    const std::vector<std::pair<const char*, caf::actor>> namedControllers{
      { "link", this->controllers.link },
      { "configuration", this->controllers.configuration },
      { "budget", this->controllers.budget },
      { "operation", this->controllers.operation },
      { "endpoint", this->controllers.endpoint },
      { "admission", this->controllers.admission },
      { "membership", this->controllers.membership },
      { "quarantine", this->controllers.quarantine },
      { "stream", this->controllers.stream },
    };
    *pendingReplies = static_cast<int>(namedControllers.size());
    for (const auto& [name, controller] : namedControllers) {
      aTask.request(controller, std::chrono::seconds(2), DumpState{})
        .then([out, pendingReplies, name = std::string(name), aDone](
                const std::string& aState) {
          *out += (out->size() > 1 ? ",\"" : "\"") + name + "\":" + aState;
          if (--*pendingReplies == 0) {
            aDone(*out + "}");
          }
        });
    }
  }

private:
  net::HttpServerOptions ServerOptions() const
  {
    net::HttpServerOptions options;
    options.maxHeaderBytes = this->settings.maxHeaderBytes;
    options.maxBodyBytes = this->settings.maxBodyBytes;
    options.buffers = this->buffers;
    options.maxConnections = this->settings.maxConnections;
    options.headerTimeout = this->settings.headerTimeout;
    options.requestTimeout = this->settings.requestTimeout;
    options.servesNewConnection = [this] { return this->AcceptsRequest(); };
    options.keepsConnections = [this] { return !this->refusesConnections; };
    return options;
  }

  void Handle(const net::ExchangePtr& aExchange)
  {
    auto request = std::make_shared<Request>();
    request->exchange = aExchange;
    request->controllers = this->controllers;
    request->ticket = NextTicket();
    request->id = RequestId(this->settings.instance.Get() + "-" +
                            std::to_string(request->ticket.Get()) + "-" +
                            std::to_string(this->random(0)));
    request->startedAt = net::Now(this->runtime);
    request->suspendedAtStart = net::SuspendedTime();
    net::Metrics().GetGauge("lycheestand_requests_in_flight").Add(1);
    net::Metrics().GetCounter("lycheestand_requests_total").Add();
    // The exchange releases this function, and with it the request, when the
    // answer is complete or the caller has disconnected.
    aExchange->OnDisconnect(
      [request](net::Disconnect aHow) { EndDisconnected(request, aHow); });
    aExchange->OnNoReply([request] { RefuseWithoutReply(request); });
    this->chain.Run(request);
  }

  // Runs in the task of the overload controller.
  void SetAcceptance(const Acceptance& aAcceptance)
  {
    this->refusesConnections = aAcceptance.refusesConnections;
    this->isReady = aAcceptance.readiness.isReady;
    if (aAcceptance.readiness.isOverloaded != this->isOverloaded) {
      this->isOverloaded = aAcceptance.readiness.isOverloaded;
      caf::anon_send(this->controllers.link,
                     SetOverloaded{ this->isOverloaded });
    }
    if (aAcceptance.acceptsConnections != this->isListening) {
      this->isListening = aAcceptance.acceptsConnections;
      caf::anon_send(this->server, net::SetListening{ this->isListening });
    }
  }

  // Returns whether a new request is accepted; runs in the connections' tasks.
  bool AcceptsRequest() const
  {
    return !this->isProbing || this->delayProbe.delay() < kMaxTaskDelay;
  }

  bool IsStopping() const { return this->stopRequestedAt != 0; }

  // Returns whether this stopping router accepts a request with this timeout.
  bool CanFinish(Duration aTimeout, bool aIsRepeatable) const
  {
    auto now = net::Now(this->runtime).time_since_epoch();
    return MayAccept(this->plan,
                     now - Duration(this->stopRequestedAt),
                     aTimeout,
                     aIsRepeatable);
  }

  net::Runtime runtime;
  settings::ProcessSettings settings;
  caf::actor buffers;
  std::shared_ptr<const RouteProtocol> protocol;
  StopPlan plan;
  FilterChain chain;
  RandomSource random = net::MakeRandomSource();
  Controllers controllers;
  caf::actor server;
  net::DelayProbe delayProbe;
  // Set once delayProbe is; read by the connections' tasks.
  std::atomic<bool> isProbing{ false };
  // Used by the overload controller's task only.
  bool isListening = true;
  bool isOverloaded = false;
  // Written by the overload controller's task, read by those of the
  // connections.
  std::atomic<bool> refusesConnections{ false };
  std::atomic<bool> isReady{ true };
  // Time at which the stop was requested, or 0; read by the connections' tasks.
  std::atomic<Duration::rep> stopRequestedAt{ 0 };
  std::function<void()> onDrained = [] {};
};

} // namespace

Result<std::unique_ptr<Router>, std::string>
StartRouter(const net::Runtime& aRuntime,
            const settings::ProcessSettings& aSettings,
            const net::FleetKey& aKey,
            caf::actor aBuffers,
            std::optional<RouteProtocol> aProtocol)
{
  auto router = std::make_unique<RunningRouter>(
    aRuntime, aSettings, std::move(aBuffers), std::move(aProtocol));
  auto started = router->Start(aKey);
  if (started.has_error()) {
    return Result<std::unique_ptr<Router>, std::string>(
      boost::outcome_v2::in_place_type<std::string>, started.error());
  }
  return Result<std::unique_ptr<Router>, std::string>(std::move(router));
}

} // namespace lycheestand::router
