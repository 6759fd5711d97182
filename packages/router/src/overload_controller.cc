#include "controllers.h"

namespace lycheestand::router {

namespace {

// Owns the decision which fraction of new connections this router accepts.
class OverloadController : public net::IoTask
{
public:
  OverloadController(caf::actor_config& aConfig,
                     net::Runtime aRuntime,
                     std::function<void(const Acceptance&)> aPublish)
    : net::IoTask(aConfig, aRuntime)
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
    this->publish({ fraction < 1, this->shedder.AcceptsConnections() });
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

  std::function<void(const Acceptance&)> publish;
  routing::LoadShedder shedder;
  routing::LoadSample sample;
  double fraction = 1;
};

} // namespace

caf::actor
SpawnOverloadController(const net::Runtime& aRuntime,
                        std::function<void(const Acceptance&)> aPublish)
{
  return aRuntime.system->spawn<OverloadController>(aRuntime,
                                                    std::move(aPublish));
}

} // namespace lycheestand::router
