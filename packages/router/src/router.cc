#include "controllers.h"
#include "filter_chain.h"

#include <boost/json.hpp>
#include <caf/send.hpp>
#include <lycheestand/router.h>

namespace lycheestand::router {

namespace {

constexpr Duration kDrainPollInterval = std::chrono::milliseconds(50);

// Longest wait for requests in flight.
constexpr Duration kDrainLimit = std::chrono::minutes(10);

// Longest wait for control to count what was spent; after that it stays charged
// to the session as unreported.
constexpr Duration kReportLimit = std::chrono::seconds(60);

// Stops a router: first it drops out of entry answers, then it finishes.
class DrainTask : public net::IoTask
{
public:
  DrainTask(caf::actor_config& aConfig,
            net::Runtime aRuntime,
            Controllers aControllers,
            caf::actor aServer,
            Duration aKeepTime,
            std::function<void()> aStopped)
    : net::IoTask(aConfig, aRuntime)
    , controllers(std::move(aControllers))
    , server(std::move(aServer))
    , keepTime(aKeepTime)
    , stopped(std::move(aStopped))
  {
  }

protected:
  // Callers may use a kept answer until it has run out, so the router serves
  // for that long after it has told control that it is leaving. One second
  // more covers the time in which other routers learn it.
  void Start() override
  {
    net::Log(net::LogLevel::Info, "leaving: no longer in entry answers");
    this->send(this->controllers.link, SetLeaving{});
    this->After(this->keepTime + std::chrono::seconds(1), [this] {
      net::Log(net::LogLevel::Info, "leaving: finishing requests in flight");
      // The stop runs in a task of its own; what follows runs in this one.
      auto executor = this->Executor();
      net::StopServer(
        this->GetRuntime(), this->server, kDrainLimit, [this, executor] {
          executor.Post(std::make_shared<std::function<void()>>([this] {
            this->deadline = net::Now(this->GetRuntime()) + kReportLimit;
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
          net::Log(net::LogLevel::Info, "left");
          this->stopped();
          this->quit();
        } else {
          this->After(kDrainPollInterval, [this] { this->WaitForGrants(); });
        }
      });
  }

  bool IsOverdue() const
  {
    return net::Now(this->GetRuntime()) >= this->deadline;
  }

  Controllers controllers;
  caf::actor server;
  Duration keepTime;
  std::function<void()> stopped;
  TimePoint deadline{};
};

class RunningRouter : public Router
{
public:
  RunningRouter(const net::Runtime& aRuntime,
                const settings::ProcessSettings& aSettings)
    : runtime(aRuntime)
    , settings(aSettings)
    , chain({ MakeAuthenticate(),
              MakeDescribe(),
              MakeAdmit(),
              MakeOperation(),
              MakeReserve(),
              MakeRecheck(),
              MakeForward() })
  {
  }

  Result<void, std::string> Start(const caf::actor& aPool,
                                  const net::FleetKey& aKey)
  {
    Controllers& all = this->controllers;
    all.configuration = SpawnConfigurationController(
      this->runtime, this->settings.confirmationLimit);
    all.budget = SpawnBudgetController(this->runtime);
    all.operation = SpawnOperationController(this->runtime, aPool);
    all.admission = SpawnAdmissionController(this->runtime);
    all.endpoint = SpawnEndpointController(
      this->runtime, aPool, this->settings.zone, all.admission);
    all.membership = SpawnMembershipController(this->runtime, this->settings);
    auto server = net::SpawnHttpServer(
      this->runtime,
      aPool,
      this->settings.callerAddress,
      this->ServerOptions(),
      [this](net::ExchangePtr aExchange) { this->Handle(aExchange); });
    if (server.has_error()) {
      return server.error();
    }
    this->server = server.value();
    all.link =
      SpawnControlLink(this->runtime, this->settings, aKey, all, [this] {
        this->Drain(this->onDrained);
      });
    caf::anon_send(all.budget, all.link);
    caf::anon_send(all.operation, all.link);
    return boost::outcome_v2::success();
  }

  void Drain(std::function<void()> aStopped) override
  {
    if (this->isDraining.exchange(true)) {
      return;
    }
    this->runtime.system->spawn<DrainTask>(this->runtime,
                                           this->controllers,
                                           this->server,
                                           this->settings.entryKeepTime,
                                           std::move(aStopped));
  }

  void OnDrainRequest(std::function<void()> aStopped) override
  {
    this->onDrained = std::move(aStopped);
  }

  void Dump(net::IoTask& aTask, std::function<void(std::string)> aDone) override
  {
    auto out = std::make_shared<std::string>("{");
    auto left = std::make_shared<int>(0);
    const std::vector<std::pair<const char*, caf::actor>> parts{
      { "link", this->controllers.link },
      { "configuration", this->controllers.configuration },
      { "budget", this->controllers.budget },
      { "operation", this->controllers.operation },
      { "endpoint", this->controllers.endpoint },
      { "admission", this->controllers.admission },
      { "membership", this->controllers.membership },
    };
    *left = static_cast<int>(parts.size());
    for (const auto& [name, controller] : parts) {
      aTask.request(controller, std::chrono::seconds(2), DumpState{})
        .then([out, left, name = std::string(name), aDone](
                const std::string& aState) {
          *out += (out->size() > 1 ? ",\"" : "\"") + name + "\":" + aState;
          if (--*left == 0) {
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
    options.maxConnections = this->settings.maxConnections;
    options.requestTimeout = this->settings.requestTimeout;
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
    net::Metrics().GetGauge("lycheestand_requests_in_flight").Add(1);
    net::Metrics().GetCounter("lycheestand_requests_total").Add();
    // The hook is dropped when the answer is complete or the caller has left.
    aExchange->OnDisconnect([request] { FinishRequest(request); });
    this->chain.Run(request);
  }

  net::Runtime runtime;
  settings::ProcessSettings settings;
  FilterChain chain;
  RandomSource random = net::MakeRandomSource();
  Controllers controllers;
  caf::actor server;
  std::atomic<bool> isDraining{ false };
  std::function<void()> onDrained = [] {};
};

} // namespace

Result<std::unique_ptr<Router>, std::string>
StartRouter(const net::Runtime& aRuntime,
            caf::actor aPool,
            const settings::ProcessSettings& aSettings,
            const net::FleetKey& aKey)
{
  auto router = std::make_unique<RunningRouter>(aRuntime, aSettings);
  auto started = router->Start(aPool, aKey);
  if (started.has_error()) {
    return Result<std::unique_ptr<Router>, std::string>(
      boost::outcome_v2::in_place_type<std::string>, started.error());
  }
  return Result<std::unique_ptr<Router>, std::string>(std::move(router));
}

} // namespace lycheestand::router
