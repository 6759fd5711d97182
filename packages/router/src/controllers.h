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

// Reads a table of routes as its operator sent it; none if there is none.
using RouteTableReader =
  std::function<Result<routes::RouteTable, std::string>(const std::string&)>;

// Owns the configuration and the time of its last confirmation.
caf::actor
SpawnConfigurationController(const net::Runtime& aRuntime,
                             Duration aConfirmationLimit,
                             RouteTableReader aReadTable);

// Owns the grants that this router holds.
caf::actor
SpawnBudgetController(const net::Runtime& aRuntime,
                      budget::LocalBudgetOptions aOptions);

// Owns the calls whose steps control has not answered yet.
caf::actor
SpawnOperationController(const net::Runtime& aRuntime, caf::actor aPool);

// How an endpoint controller works.
struct EndpointOptions
{
  routing::TableOptions table;
  routing::ChoicePolicy policy;
  // Endpoints are asked for their load and cache events. Otherwise only what
  // their answers say is known.
  bool asksEndpoints = true;
  // Retries as a share of the requests of a service, and beyond that.
  double retryShare = 0.1;
  double retryBurst = 10;
  // The burst is that of all routers together.
  bool sharesBurst = false;
  // A retry waits before it is made.
  bool pausesRetries = true;
};

// Owns what is known about endpoints, and tells aAdmission what they take.
caf::actor
SpawnEndpointController(const net::Runtime& aRuntime,
                        caf::actor aPool,
                        EndpointOptions aOptions,
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
