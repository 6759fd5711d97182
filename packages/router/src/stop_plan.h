#ifndef LYCHEESTAND_ROUTER_SRC_STOP_PLAN_H
#define LYCHEESTAND_ROUTER_SRC_STOP_PLAN_H

// What a router still does after it was told to stop.

#include <lycheestand/settings.h>

namespace lycheestand::router {

struct StopPlan
{
  // Callers may still come, since they keep entry answers.
  Duration serve{};
  // Longest wait for requests in flight after that.
  Duration finish = std::chrono::minutes(10);
  // Longest wait for control to count what was spent; after that it stays
  // charged to the session as unreported.
  Duration report = std::chrono::seconds(60);
};

StopPlan
MakeStopPlan(const settings::ProcessSettings& aSettings);

// Returns whether a request that may take this long can begin at a time after
// the order to stop.
bool
MayBegin(const StopPlan& aPlan, Duration aSinceStop, Duration aPatience);

} // namespace lycheestand::router

#endif
