#ifndef LYCHEESTAND_CONTROL_SRC_TASKS_H
#define LYCHEESTAND_CONTROL_SRC_TASKS_H

// Functions that start the tasks of a control instance.

#include "messages.h"

#include <functional>
#include <lycheestand/limits.h>

namespace lycheestand::control {

// Starts the task that owns the replicated log and the state machine, and the
// links to its peers. Returns an error message on failure.
Result<caf::actor, std::string>
SpawnReplica(const net::Runtime& aRuntime,
             const settings::ProcessSettings& aSettings,
             const net::FleetKey& aKey);

// Starts the task that takes the replica's place on an instance without a disk.
caf::actor
SpawnGateway(const net::Runtime& aRuntime,
             const settings::ProcessSettings& aSettings,
             const net::FleetKey& aKey);

// Starts the task that opens links to other control instances when it gets
// DialPeer. It sends PeerLink and PeerMessage to the sender.
caf::actor
SpawnPeerLinks(const net::Runtime& aRuntime,
               const settings::ProcessSettings& aSettings,
               const net::FleetKey& aKey);

// Starts the task that owns the links with routers and the view of the fleet.
caf::actor
SpawnFleetController(const net::Runtime& aRuntime,
                     const settings::ProcessSettings& aSettings,
                     caf::actor aReplica);

// Starts the task that finds the requests and prompt parts that crash
// endpoints, from what routers observe. It gets LeadershipChanged and the
// routers' messages from the fleet controller, and sends QuarantineChanged to
// it.
caf::actor
SpawnQuarantineController(const net::Runtime& aRuntime, caf::actor aFleet);

// Starts the task that gives out permits for endpoints that name a limit or are
// cold. It gets LeadershipChanged, RevisionChanged, each reading of the
// endpoint list, and the routers' messages from the fleet controller, and sends
// LimitsChanged, EndpointsChecked, RevisionChecked and SendToRouter to it.
caf::actor
SpawnLimitController(
  const net::Runtime& aRuntime,
  caf::actor aFleet,
  std::function<limits::ColdRules(const std::string&)> aReadColdRules);

// Starts the task that keeps streams at the version of software that began
// them. It gets LeadershipChanged, StreamVersionsChanged, EndpointsChecked and
// the routers' messages from the fleet controller, and sends
// StreamServicesChanged, EndpointsAdmitted and SendToRouter to it.
caf::actor
SpawnStreamController(const net::Runtime& aRuntime,
                      caf::actor aReplica,
                      caf::actor aFleet);

// Starts the task that sends orders to engines while this instance is the
// leader.
caf::actor
SpawnOrderSender(const net::Runtime& aRuntime,
                 caf::actor aPool,
                 caf::actor aReplica,
                 caf::actor aFleet);

// Returns the HTTP handler of the operators' interface.
net::HttpHandler
MakeOperatorHandler(caf::actor aReplica,
                    caf::actor aFleet,
                    caf::actor aQuarantine);

} // namespace lycheestand::control

#endif
