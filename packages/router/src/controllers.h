#ifndef LYCHEESTAND_ROUTER_SRC_CONTROLLERS_H
#define LYCHEESTAND_ROUTER_SRC_CONTROLLERS_H

// Starts the tasks that own a router's state.

#include "messages.h"

namespace lycheestand::router {

// Owns the link to the control leader and this process's session.
caf::actor
SpawnControlLink(const net::Runtime& aRuntime,
                 const settings::ProcessSettings& aSettings,
                 const net::FleetKey& aKey,
                 const Controllers& aControllers,
                 std::function<void()> aDrainRequested);

// Owns the configuration and the time of its last confirmation.
caf::actor
SpawnConfigurationController(const net::Runtime& aRuntime,
                             Duration aConfirmationLimit);

// Owns the grants that this router holds.
caf::actor
SpawnBudgetController(const net::Runtime& aRuntime);

// Owns the calls whose steps control has not answered yet.
caf::actor
SpawnOperationController(const net::Runtime& aRuntime, caf::actor aPool);

// Owns what is known about endpoints, and tells aAdmission what they take.
caf::actor
SpawnEndpointController(const net::Runtime& aRuntime,
                        caf::actor aPool,
                        const ZoneId& aZone,
                        caf::actor aAdmission);

// Owns the turns of requests.
caf::actor
SpawnAdmissionController(const net::Runtime& aRuntime);

// Owns the view of the fleet's instances.
caf::actor
SpawnMembershipController(const net::Runtime& aRuntime,
                          const settings::ProcessSettings& aSettings);

} // namespace lycheestand::router

#endif
