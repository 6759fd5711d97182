#ifndef LYCHEESTAND_ROUTER_SRC_STOP_PLAN_H
#define LYCHEESTAND_ROUTER_SRC_STOP_PLAN_H

// Time limits for the phases of a router's graceful stop.

#include <lycheestand/settings.h>

namespace lycheestand::router {

struct StopPlan
{
  // The router still accepts requests, since callers cache entry addresses.
  Duration serveTime{};
  // Longest wait after that for requests in flight.
  Duration finishTime = std::chrono::minutes(10);
  // Longest wait for control to acknowledge the reported usage; after that it
  // stays charged to the session as unreported.
  Duration reportTime = std::chrono::seconds(60);
};

StopPlan
MakeStopPlan(const settings::ProcessSettings& aSettings);

// Returns whether a request with this timeout may be accepted when this much
// time has passed since the stop was requested.
bool
MayAccept(const StopPlan& aPlan,
          Duration aSinceStop,
          Duration aTimeout,
          bool aIsRepeatable);

} // namespace lycheestand::router

#endif
