#ifndef LYCHEESTAND_ROUTER_SRC_CONTROLLERS_H
#define LYCHEESTAND_ROUTER_SRC_CONTROLLERS_H

// Functions that start the tasks that own a router's state.

#include "messages.h"

namespace lycheestand::router {

// Starts the task that owns the link to the control leader and this process's
// session. aDrainRequested runs when control asks this router to stop.
caf::actor
SpawnControlLink(const net::Runtime& aRuntime,
                 const settings::ProcessSettings& aSettings,
                 const net::FleetKey& aKey,
                 const Controllers& aControllers,
                 std::function<void()> aDrainRequested);

// Parses a route table as the operator sent it. Empty if the router serves no
// route table.
using RouteTableReader =
  std::function<Result<routes::RouteTable, std::string>(const std::string&)>;

// Starts the task that owns the configuration. It serves the configuration for
// aConfirmationLimit after control last confirmed that it is current. Evacuated
// zones are sent to aEndpoint.
caf::actor
SpawnConfigurationController(const net::Runtime& aRuntime,
                             Duration aConfirmationLimit,
                             RouteTableReader aReadTable,
                             caf::actor aEndpoint);

// Starts the task that owns the tokens that this router holds, and its loans to
// and from other routers.
caf::actor
SpawnBudgetController(const net::Runtime& aRuntime,
                      const settings::ProcessSettings& aSettings);

// Starts the task that owns the links to the routers that lend tokens to this
// one and to those that borrow from it. Returns a message if it can't listen on
// the router's peer address.
Result<caf::actor, std::string>
SpawnPeerLinks(const net::Runtime& aRuntime,
               const settings::ProcessSettings& aSettings,
               const net::FleetKey& aKey,
               caf::actor aBudget);

// Starts the task that owns the operations whose steps control has not
// acknowledged, and that runs their calls.
caf::actor
SpawnOperationController(const net::Runtime& aRuntime, caf::actor aPool);

// Options of the endpoint controller.
struct EndpointOptions
{
  routing::TableOptions table;
  routing::ChoicePolicy policy;
  // Polls endpoints for their load and cache events. Otherwise load is known
  // only from their answers to requests.
  bool pollsEndpoints = true;
  // Retry budget: the retries allowed per request to a service, and the number
  // allowed beyond that.
  double retriesPerRequest = 0.1;
  double retryBurst = 10;
  // retryBurst applies to all routers together.
  bool isBurstShared = false;
  // Delays each retry by a backoff.
  bool delaysRetries = true;
};

// Starts the task that owns the endpoint table. It sends the endpoints'
// capacity to aAdmission.
caf::actor
SpawnEndpointController(const net::Runtime& aRuntime,
                        caf::actor aPool,
                        EndpointOptions aOptions,
                        caf::actor aAdmission);

// Starts the task that admits requests within the capacity of their pools.
caf::actor
SpawnAdmissionController(const net::Runtime& aRuntime);

// What a router accepts now.
struct Acceptance
{
  // A part of the new connections is refused.
  bool refusesConnections = false;
  routing::Readiness readiness;
  // Whether connections are accepted until the next decision.
  bool acceptsConnections = true;
};

// Starts the task that owns the decision what this router accepts. It gets
// ConnectTime, TaskDelay and ViewChanged, and calls aPublish inside the task
// after each TaskDelay.
caf::actor
SpawnOverloadController(const net::Runtime& aRuntime,
                        const InstanceId& aInstance,
                        std::function<void(const Acceptance&)> aPublish);

// Starts the task that reports crashes of endpoints, and successes of what is
// suspected, to control, and knows the requests and parts that are quarantined.
caf::actor
SpawnQuarantineController(const net::Runtime& aRuntime);

// Starts the task that owns the streams that this router has begun, reports
// them to control, and finds out which version of software has begun a stream.
caf::actor
SpawnStreamController(const net::Runtime& aRuntime);

// Starts the task that owns the view of the fleet's instances.
caf::actor
SpawnMembershipController(const net::Runtime& aRuntime,
                          const settings::ProcessSettings& aSettings);

} // namespace lycheestand::router

#endif
