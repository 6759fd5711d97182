#include "stop_plan.h"

namespace lycheestand::router {

namespace {

// Added to the cache time of entry addresses: the time until other routers are
// told that this one is leaving.
constexpr Duration kLeaveNoticeTime = std::chrono::seconds(1);

// Fractions of the grace period after which a stopping process is killed.
// During the first one requests are still accepted; the second one is for
// reporting usage to control, and as much again is left as a margin.
constexpr double kServeFraction = 0.55;
constexpr double kReportFraction = 0.12;

// Requests that arrive within this time after the stop was requested are
// accepted regardless of their timeout. Nearly all finish in time, and the
// platform allows that those from the first 3 s that don't are aborted at the
// end.
constexpr Duration kAcceptAllTime = std::chrono::milliseconds(2500);

// Fraction of a request's timeout that a stopping router must have left to
// accept it. Few requests need the full timeout, and the platform allows that a
// request is aborted after 70% of it.
constexpr double kRequiredTimeFraction = 0.7;

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
  plan.finishTime =
    fractionOfGracePeriod(1 - kServeFraction - 2 * kReportFraction);
  return plan;
}

bool
MayAccept(const StopPlan& aPlan, Duration aSinceStop, Duration aTimeout)
{
  double needed =
    ToSeconds(aSinceStop) + ToSeconds(aTimeout) * kRequiredTimeFraction;
  return aSinceStop <= kAcceptAllTime ||
         needed <= ToSeconds(aPlan.serveTime + aPlan.finishTime);
}

} // namespace lycheestand::router
