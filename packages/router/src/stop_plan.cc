#include "stop_plan.h"

namespace lycheestand::router {

namespace {

// Added to the cache time of entry addresses: the time until other routers are
// told that this one is leaving.
constexpr Duration kLeaveNoticeTime = std::chrono::seconds(1);

// Fractions of the grace period after which a stopping process is killed.
// During the first one requests are still accepted; by the second one all must
// have ended; the third one is for reporting usage to control. The rest is a
// margin.
constexpr double kServeFraction = 0.55;
constexpr double kFinishFraction = 0.86;
constexpr double kReportFraction = 0.08;

// Repeatable requests that arrive within this time after the stop was requested
// are accepted regardless of their timeout: nearly all finish in time, and the
// others can be continued at another router.
constexpr Duration kAcceptAllTime = std::chrono::milliseconds(2500);

} // namespace

StopPlan
MakeStopPlan(const settings::ProcessSettings& aSettings)
{
  if (!aSettings.routes) {
    return { aSettings.entryCacheTime + kLeaveNoticeTime };
  }
  auto fractionOfGracePeriod = [&](double aFraction) {
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(aSettings.routes->stopGracePeriod) *
      aFraction);
  };
  StopPlan plan{ fractionOfGracePeriod(kServeFraction) };
  plan.reportTime = fractionOfGracePeriod(kReportFraction);
  plan.finishTime = fractionOfGracePeriod(kFinishFraction - kServeFraction);
  return plan;
}

// A request that can't finish would be cut after an endpoint has worked on it,
// while another router can still serve it from the start.
bool
MayAccept(const StopPlan& aPlan,
          Duration aSinceStop,
          Duration aTimeout,
          bool aIsRepeatable)
{
  bool canFinish = aSinceStop + aTimeout <= aPlan.serveTime + aPlan.finishTime;
  return canFinish || (aIsRepeatable && aSinceStop <= kAcceptAllTime);
}

} // namespace lycheestand::router
