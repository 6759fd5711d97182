#include "controllers.h"

#include <lycheestand/membership.h>

namespace lycheestand::router {

namespace {

// Owns the decisions which fraction of new connections this router accepts, and
// whether it is ready for more callers.
class OverloadController : public net::IoTask
{
public:
  OverloadController(caf::actor_config& aConfig,
                     net::Runtime aRuntime,
                     InstanceId aInstance,
                     std::function<void(const Acceptance&)> aPublish)
    : net::IoTask(aConfig, aRuntime)
    , instance(std::move(aInstance))
    , publish(std::move(aPublish))
  {
  }

protected:
  caf::message_handler Handlers() override
  {
    return {
      [this](ConnectTime aConnect) {
        ++this->sample.connects;
        this->sample.shortestConnect =
          std::min(this->sample.shortestConnect, aConnect.time);
      },
      [this](TaskDelay aDelay) { this->Update(aDelay.delay); },
      [this](ViewChanged& aChanged) {
        this->canRest =
          membership::CanRest(aChanged.view->Instances(), this->instance);
      },
    };
  }

private:
  void Update(Duration aDelay)
  {
    this->sample.taskDelay = aDelay;
    double fraction = this->shedder.Update(this->sample);
    if ((fraction < 1) != (this->fraction < 1)) {
      this->LogChange(fraction < 1);
    }
    this->sample = {};
    this->fraction = fraction;
    auto readiness =
      this->gate.Update(fraction, this->canRest, net::Now(this->GetRuntime()));
    if (readiness.isReady != this->readiness.isReady) {
      this->LogReadiness(readiness.isReady);
    }
    this->readiness = readiness;
    this->publish(
      { fraction < 1, readiness, this->shedder.AcceptsConnections() });
  }

  void LogReadiness(bool aIsReady)
  {
    this->readyGauge.Set(aIsReady ? 1 : 0);
    net::Log(net::LogLevel::Warning,
             aIsReady ? "ready for more callers"
                      : "overloaded: not ready for more callers",
             { { "event", aIsReady ? "ready" : "not_ready" },
               { "accepted_fraction", std::to_string(this->fraction) } });
  }

  void LogChange(bool aIsOverloaded) const
  {
    net::Log(
      net::LogLevel::Warning,
      aIsOverloaded ? "overloaded: refusing a part of the connections"
                    : "no longer overloaded",
      { { "event", aIsOverloaded ? "overloaded" : "not_overloaded" },
        { "task_delay_ms", net::FormatMilliseconds(this->sample.taskDelay) },
        { "connects", std::to_string(this->sample.connects) },
        { "shortest_connect_ms",
          this->sample.connects == 0
            ? ""
            : net::FormatMilliseconds(this->sample.shortestConnect) } });
  }

  InstanceId instance;
  std::function<void(const Acceptance&)> publish;
  routing::LoadShedder shedder;
  routing::LoadSample sample;
  double fraction = 1;
  routing::ReadinessGate gate;
  routing::Readiness readiness;
  // Whether other routers of the zone can take this one's callers.
  bool canRest = false;
  net::Gauge readyGauge = net::Metrics().GetGauge("lycheestand_takes_callers");
};

} // namespace

caf::actor
SpawnOverloadController(const net::Runtime& aRuntime,
                        const InstanceId& aInstance,
                        std::function<void(const Acceptance&)> aPublish)
{
  return aRuntime.system->spawn<OverloadController>(
    aRuntime, aInstance, std::move(aPublish));
}

} // namespace lycheestand::router
