#include <lycheestand/budget.h>

namespace lycheestand::budget {

namespace {

// By how much longer a claim waits for an allocator than the allocator's own
// claim for control.
constexpr Duration kLoanMargin = std::chrono::milliseconds(150);

// Options of grants for routed requests. A router may be disconnected from
// control for 7 to 9 s, and the tokens that a router holds are lost if it is
// killed. docs/budgets.md and docs/design/concentrated-demand.md have the
// figures behind the times and factors.
constexpr Duration kRoutedGrantHorizon = std::chrono::seconds(1);
constexpr Duration kRoutedPrefetchThreshold = std::chrono::milliseconds(700);
// Covers a disconnection of 8 s for callers that use only this router.
constexpr double kRoutedMajorityDemandFactor = 11;
constexpr double kRoutedSurplusFactor = 1.2;
// Smooths the demand over about 5 s: ten windows of 0.5 s.
constexpr double kRoutedRateWeight = 0.1;
// Longer than a disconnection, so that an idle router keeps the tokens it may
// need during one.
constexpr Duration kRoutedIdleReturnDelay = std::chrono::seconds(20);
// Small against 300 ms, the shortest latency target for a first event.
constexpr Duration kRoutedClaimTimeout = std::chrono::milliseconds(100);
// Longer than a round trip to control with a disk write, which takes a few
// milliseconds.
constexpr Duration kRoutedRetryDelay = std::chrono::milliseconds(15);
// The Retry-After of a caller that is refused for want of tokens.
constexpr Duration kRoutedMaxRetryDelay = std::chrono::seconds(1);

// An allocator serves its zone while control is cut off from all routers.
constexpr double kRoutedZoneDemandFactor = 10;

RouterBudgetOptions
WithLoans(LocalBudgetOptions aGranted)
{
  RouterBudgetOptions options;
  options.granted = std::move(aGranted);
  options.borrowed.claimTimeout = options.granted.claimTimeout + kLoanMargin;
  options.borrowed.retryDelay = Duration(0);
  options.borrowed.maxRetryDelay = Duration(0);
  options.borrowed.isOnDemand = true;
  return options;
}

} // namespace

RouterBudgetOptions
MakeRoutedOptions()
{
  LocalBudgetOptions options;
  options.claimTimeout = kRoutedClaimTimeout;
  options.grantHorizon = kRoutedGrantHorizon;
  options.prefetchThreshold = kRoutedPrefetchThreshold;
  options.surplusFactor = kRoutedSurplusFactor;
  options.majorityDemandFactor = kRoutedMajorityDemandFactor;
  options.zoneDemandFactor = kRoutedZoneDemandFactor;
  options.idleReturnDelay = kRoutedIdleReturnDelay;
  options.retryDelay = kRoutedRetryDelay;
  options.maxRetryDelay = kRoutedMaxRetryDelay;
  options.rateWeight = kRoutedRateWeight;
  return WithLoans(options);
}

RouterBudgetOptions
MakeUnroutedOptions()
{
  return WithLoans({});
}

} // namespace lycheestand::budget
