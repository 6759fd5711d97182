#include "tasks.h"

#include <caf/send.hpp>
#include <lycheestand/control.h>

namespace lycheestand::control {

namespace {

class RunningControl : public Control
{
public:
  RunningControl(caf::actor aReplica, caf::actor aFleet)
    : replica(std::move(aReplica))
    , fleet(std::move(aFleet))
  {
  }

  net::HttpHandler OperatorHandler() override
  {
    return MakeOperatorHandler(this->replica, this->fleet);
  }

  void Dump(net::IoTask& aTask, std::function<void(std::string)> aDone) override
  {
    auto askFleet = [&task = aTask, fleetTask = this->fleet, aDone](
                      const std::string& aReplica) {
      task.request(fleetTask, std::chrono::seconds(2), DumpState{})
        .then([aReplica, aDone](const std::string& aFleet) {
          aDone("{\"replica\":" + aReplica + ",\"fleet\":" + aFleet + "}");
        });
    };
    aTask.request(this->replica, std::chrono::seconds(2), DumpState{})
      .then(askFleet);
  }

private:
  caf::actor replica;
  caf::actor fleet;
};

} // namespace

Result<std::unique_ptr<Control>, std::string>
StartControl(const net::Runtime& aRuntime,
             caf::actor aPool,
             const settings::ProcessSettings& aSettings,
             const net::FleetKey& aKey)
{
  using R = Result<std::unique_ptr<Control>, std::string>;
  auto spawned = SpawnReplica(aRuntime, aSettings, aKey);
  if (spawned.has_error()) {
    return R(boost::outcome_v2::in_place_type<std::string>, spawned.error());
  }
  auto replica = spawned.value();
  auto fleet = SpawnFleetController(aRuntime, aSettings, replica);
  caf::anon_send(replica, fleet);
  auto server =
    net::SpawnLinkServer(aRuntime, aKey, aSettings.peerAddress, {}, fleet);
  if (server.has_error()) {
    return R(boost::outcome_v2::in_place_type<std::string>, server.error());
  }
  if (aSettings.platformList) {
    SpawnPlatformPoller(
      aRuntime, std::move(aPool), *aSettings.platformList, fleet);
  }
  return R(std::make_unique<RunningControl>(replica, fleet));
}

} // namespace lycheestand::control
