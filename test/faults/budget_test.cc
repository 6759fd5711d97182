// Promises 1 and 2: no overspend, and each request is billed once.

#include "fleet.h"

#include <catch2/catch.hpp>
#include <csignal>

namespace lycheestand::faults {

namespace {

// Compares what callers were told with control's books; nothing may be left
// in grants. Tokens of requests whose callers left or got an error count at
// control only.
void
CheckBooks(Fleet& aFleet, const Crowd& aCrowd)
{
  bool isSettled = aFleet.WaitUntilSettled();
  Budget budget = aFleet.ReadBudget();
  std::int64_t told = aCrowd.Told();
  int whole = aCrowd.Count(Ending::Whole);
  aFleet.Figure("whole", whole);
  aFleet.Figure("paid", budget.paid);
  aFleet.Figure("told", told);
  aFleet.Figure("spent", budget.spent);
  aFleet.Figure("unreported", budget.unreported);
  aFleet.Figure("stranded", budget.granted);
  aFleet.Figure("overspend", std::max<std::int64_t>(0, told - budget.paid));
  aFleet.Figure("false_refusals", aCrowd.FalseRefusals());
  REQUIRE(whole > 0);
  REQUIRE(isSettled);
  REQUIRE(told <= budget.paid);
  REQUIRE(budget.spent + budget.unreported <= budget.paid);
}

// Lets callers go on until the budget is used up and two seconds longer, in
// which an overspend would show.
void
UseUp(Fleet& aFleet, Crowd& aCrowd)
{
  constexpr std::int64_t kRest = 1000;
  WaitFor(60s, [&] {
    Budget budget = aFleet.ReadBudget();
    return budget.spent + budget.unreported >= budget.paid - kRest;
  });
  std::this_thread::sleep_for(2s);
  aCrowd.Stop();
}

} // namespace

// Guards against spending beyond the budget or losing tokens when a router is
// cut off from control while the budget is used up and topped up.
TEST_CASE("budget holds while a router is cut off and topped up",
          "[budget-partition]")
{
  FleetOptions options;
  options.paid = 12000;
  Fleet fleet("budget-partition", 11, options);
  Crowd crowd(fleet, {});
  std::this_thread::sleep_for(1s);
  fleet.FaultRouter(0, "block");
  std::this_thread::sleep_for(1500ms);
  fleet.TopUp(8000);
  std::this_thread::sleep_for(6s);
  fleet.FaultRouter(0, "heal");
  UseUp(fleet, crowd);
  CheckBooks(fleet, crowd);
  Budget budget = fleet.ReadBudget();
  REQUIRE(budget.paid == 20000);
  REQUIRE(budget.spent == crowd.Told());
  REQUIRE(budget.unreported == 0);
  REQUIRE(budget.requests == crowd.Count(Ending::Whole));
  REQUIRE(crowd.Count(Ending::Wrong) == 0);
}

// Guards against tokens that are billed twice or never when a router dies with
// streams open and its callers retry at another one.
TEST_CASE("budget holds when a router dies with open streams",
          "[budget-killed]")
{
  FleetOptions options;
  options.paid = 20000;
  Fleet fleet("budget-killed", 12, options);
  Crowd crowd(fleet, {});
  for (int i = 0; i < 3; ++i) {
    std::this_thread::sleep_for(1s);
    fleet.Router(0).Kill();
    std::this_thread::sleep_for(700ms);
    fleet.Router(0).Start();
    REQUIRE(fleet.WaitUntilReady(0));
  }
  UseUp(fleet, crowd);
  CheckBooks(fleet, crowd);
  Budget budget = fleet.ReadBudget();
  // What the dead sessions served and had not reported is in their unreported
  // part, so what callers were told is at most the sum.
  REQUIRE(budget.spent <= crowd.Told());
  REQUIRE(crowd.Told() <= budget.spent + budget.unreported);
  REQUIRE(budget.requests <= crowd.Count(Ending::Whole));
  REQUIRE(crowd.Count(Ending::Wrong) == 0);
}

// Guards against a frozen router that spends tokens twice after it goes on, or
// keeps what it held.
TEST_CASE("budget holds when a router is frozen for longer than its limits",
          "[budget-frozen]")
{
  FleetOptions options;
  options.paid = 20000;
  Fleet fleet("budget-frozen", 13, options);
  CrowdOptions callers;
  callers.limit = 2s;
  Crowd crowd(fleet, callers);
  std::this_thread::sleep_for(1s);
  fleet.Router(0).Signal(SIGSTOP);
  std::this_thread::sleep_for(8s);
  fleet.TopUp(5000);
  fleet.Router(0).Signal(SIGCONT);
  UseUp(fleet, crowd);
  CheckBooks(fleet, crowd);
  Budget budget = fleet.ReadBudget();
  int abandoned = crowd.Count(Ending::Timeout) + crowd.Count(Ending::Broken) +
                  crowd.Count(Ending::NoAnswer);
  fleet.Figure("abandoned", abandoned);
  REQUIRE(budget.unreported == 0);
  REQUIRE(budget.spent >= crowd.Told());
  // Bound of one of the crowd's requests.
  REQUIRE(budget.spent - crowd.Told() <= abandoned * 500);
  REQUIRE(crowd.Count(Ending::Wrong) == 0);
}

} // namespace lycheestand::faults
