// Guarantees 1 and 2 (docs/design.md, section 1): no overspend, and each
// request is billed once.

#include "fleet.h"

#include <catch2/catch.hpp>
#include <csignal>

namespace lycheestand::faults {

namespace {

// Compares the usage that callers received with control's accounting, and
// checks that no grants remain outstanding. Tokens of requests that were
// abandoned or ended in an error are counted by control only.
void
CheckAccounting(Fleet& aFleet, const LoadGenerator& aLoad)
{
  bool isSettled = aFleet.WaitUntilSettled();
  Budget budget = aFleet.ReadBudget();
  std::int64_t completedTokens = aLoad.CompletedTokens();
  int completeAnswers = aLoad.Count(ChatOutcome::Complete);
  aFleet.AddReportValue("whole", completeAnswers);
  aFleet.AddReportValue("paid", budget.paid);
  aFleet.AddReportValue("told", completedTokens);
  aFleet.AddReportValue("spent", budget.spent);
  aFleet.AddReportValue("unreported", budget.unreported);
  aFleet.AddReportValue("stranded", budget.granted);
  aFleet.AddReportValue(
    "overspend", std::max<std::int64_t>(0, completedTokens - budget.paid));
  aFleet.AddReportValue("false_refusals", aLoad.CountFalseRefusals());
  REQUIRE(completeAnswers > 0);
  REQUIRE(isSettled);
  REQUIRE(completedTokens <= budget.paid);
  REQUIRE(budget.spent + budget.unreported <= budget.paid);
}

// Lets callers continue until the budget is exhausted and then for two more
// seconds, in which an overspend would become visible.
void
ExhaustBudget(Fleet& aFleet, LoadGenerator& aLoad)
{
  constexpr std::int64_t kMaxRemainingTokens = 1000;
  WaitFor(60s, [&] {
    Budget budget = aFleet.ReadBudget();
    return budget.spent + budget.unreported >=
           budget.paid - kMaxRemainingTokens;
  });
  std::this_thread::sleep_for(2s);
  aLoad.Stop();
}

} // namespace

// Guards against overspend and lost tokens when a router is partitioned from
// control while the budget is exhausted and topped up.
TEST_CASE("budget holds while a router is partitioned during a top-up",
          "[budget-partition]")
{
  FleetOptions options;
  options.paid = 12000;
  Fleet fleet("budget-partition", 11, options);
  LoadGenerator load(fleet, {});
  std::this_thread::sleep_for(1s);
  fleet.SetRouterFault(0, "block");
  std::this_thread::sleep_for(1500ms);
  fleet.TopUp(8000);
  std::this_thread::sleep_for(6s);
  fleet.SetRouterFault(0, "heal");
  ExhaustBudget(fleet, load);
  CheckAccounting(fleet, load);
  Budget budget = fleet.ReadBudget();
  REQUIRE(budget.paid == 20000);
  REQUIRE(budget.spent == load.CompletedTokens());
  REQUIRE(budget.unreported == 0);
  REQUIRE(budget.requests == load.Count(ChatOutcome::Complete));
  REQUIRE(load.Count(ChatOutcome::WrongContent) == 0);
}

// Guards against tokens that are billed twice or never when a router is killed
// with open streams and its callers retry at another router.
TEST_CASE("budget holds when a router is killed with open streams",
          "[budget-killed]")
{
  FleetOptions options;
  options.paid = 20000;
  Fleet fleet("budget-killed", 12, options);
  LoadGenerator load(fleet, {});
  for (int i = 0; i < 3; ++i) {
    std::this_thread::sleep_for(1s);
    fleet.Router(0).Kill();
    std::this_thread::sleep_for(700ms);
    fleet.Router(0).Start();
    REQUIRE(fleet.WaitUntilReady(0));
  }
  ExhaustBudget(fleet, load);
  CheckAccounting(fleet, load);
  Budget budget = fleet.ReadBudget();
  // Tokens that a killed session used but did not report are counted as
  // unreported, so the usage that callers received is at most the sum.
  REQUIRE(budget.spent <= load.CompletedTokens());
  REQUIRE(load.CompletedTokens() <= budget.spent + budget.unreported);
  REQUIRE(budget.requests <= load.Count(ChatOutcome::Complete));
  REQUIRE(load.Count(ChatOutcome::WrongContent) == 0);
}

// Guards against a router that, after it was suspended, spends tokens that were
// granted again meanwhile, or never returns the tokens that it held.
TEST_CASE(
  "budget holds when a router is suspended for longer than its time limits",
  "[budget-frozen]")
{
  FleetOptions options;
  options.paid = 20000;
  Fleet fleet("budget-frozen", 13, options);
  LoadGeneratorOptions callers;
  callers.timeout = 2s;
  LoadGenerator load(fleet, callers);
  std::this_thread::sleep_for(1s);
  fleet.Router(0).Signal(SIGSTOP);
  std::this_thread::sleep_for(8s);
  fleet.TopUp(5000);
  fleet.Router(0).Signal(SIGCONT);
  ExhaustBudget(fleet, load);
  CheckAccounting(fleet, load);
  Budget budget = fleet.ReadBudget();
  int abandoned = load.Count(ChatOutcome::Timeout) +
                  load.Count(ChatOutcome::Truncated) +
                  load.Count(ChatOutcome::NoResponse);
  fleet.AddReportValue("abandoned", abandoned);
  REQUIRE(budget.unreported == 0);
  REQUIRE(budget.spent >= load.CompletedTokens());
  // 500 is an upper bound of the tokens of one request.
  REQUIRE(budget.spent - load.CompletedTokens() <= abandoned * 500);
  REQUIRE(load.Count(ChatOutcome::WrongContent) == 0);
}

} // namespace lycheestand::faults
