#ifndef LYCHEESTAND_CONTROL_SRC_TASKS_H
#define LYCHEESTAND_CONTROL_SRC_TASKS_H

// Starts the tasks of a control instance.

#include "messages.h"

namespace lycheestand::control {

// Owns the replicated log and state; returns why it can't start.
Result<caf::actor, std::string>
SpawnReplica(const net::Runtime& aRuntime,
             const settings::ProcessSettings& aSettings,
             const net::FleetKey& aKey);

// Opens the links to other control instances.
caf::actor
SpawnPeerLinks(const net::Runtime& aRuntime,
               const settings::ProcessSettings& aSettings,
               const net::FleetKey& aKey,
               caf::actor aReplica);

// Owns the links with routers and the view of the fleet.
caf::actor
SpawnFleetController(const net::Runtime& aRuntime,
                     const settings::ProcessSettings& aSettings,
                     caf::actor aReplica);

// Sends orders to engines while this instance leads.
caf::actor
SpawnOrderSender(const net::Runtime& aRuntime,
                 caf::actor aPool,
                 caf::actor aReplica,
                 caf::actor aFleet);

// Returns the handler of the operators' interface.
net::HttpHandler
MakeOperatorHandler(caf::actor aReplica, caf::actor aFleet);

} // namespace lycheestand::control

#endif
