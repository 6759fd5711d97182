#include "stop_plan.h"

namespace lycheestand::router {

namespace {

// Time after the keep time of an answer in which other routers learn that this
// one is leaving.
constexpr Duration kLearnTime = std::chrono::seconds(1);

// Parts of the time until the process is killed: most of it callers may still
// come, and the last part is for reports to control.
constexpr double kServePart = 0.55;
constexpr double kReportPart = 0.12;

// Requests that begin this soon after the order are taken whatever their
// timeout: nearly all end in time, and the platform allows that those of the
// first 3 s which do not are broken off at the end.
constexpr Duration kOpenTime = std::chrono::milliseconds(2500);

// Part of a request's time that a stopping router must have left for it; few
// need all of it, and the platform allows that one which has used seven tenths
// is broken off.
constexpr double kNeededPart = 0.7;

} // namespace

StopPlan
MakeStopPlan(const settings::ProcessSettings& aSettings)
{
  if (!aSettings.routes) {
    return { aSettings.entryKeepTime + kLearnTime };
  }
  auto part = [&](double aPart) {
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(aSettings.routes->stopGracePeriod) * aPart);
  };
  StopPlan plan{ part(kServePart) };
  plan.report = part(kReportPart);
  plan.finish = part(1 - kServePart - 2 * kReportPart);
  return plan;
}

bool
MayBegin(const StopPlan& aPlan, Duration aSinceStop, Duration aPatience)
{
  double needed = ToSeconds(aSinceStop) + ToSeconds(aPatience) * kNeededPart;
  return aSinceStop <= kOpenTime ||
         needed <= ToSeconds(aPlan.serve + aPlan.finish);
}

} // namespace lycheestand::router
