// Pairs of concurrent faults, selected by fixed seeds.

#include "fleet.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <random>

namespace lycheestand::faults {

namespace {

// A fault: its name in the report, how it is injected and how it is ended.
struct FaultKind
{
  const char* name;
  std::function<void(Fleet&)> begin;
  std::function<void(Fleet&)> end;
};

std::vector<FaultKind>
MakeFaultKinds()
{
  return {
    { "router_dies",
      [](Fleet& aFleet) { aFleet.Router(0).Kill(); },
      [](Fleet& aFleet) { aFleet.Router(0).Start(); } },
    { "router_freezes",
      [](Fleet& aFleet) { aFleet.Router(1).Signal(SIGSTOP); },
      [](Fleet& aFleet) { aFleet.Router(1).Signal(SIGCONT); } },
    { "router_cut_off",
      [](Fleet& aFleet) { aFleet.SetRouterFault(1, "block"); },
      [](Fleet& aFleet) { aFleet.SetRouterFault(1, "heal"); } },
    { "router_hears_nothing",
      [](Fleet& aFleet) { aFleet.SetRouterFault(2, "drop_backward"); },
      [](Fleet& aFleet) { aFleet.SetRouterFault(2, "heal"); } },
    { "engine_dies",
      [](Fleet& aFleet) { aFleet.Engine(0).Kill(); },
      [](Fleet& aFleet) { aFleet.Engine(0).Start(); } },
    { "engine_freezes",
      [](Fleet& aFleet) { aFleet.Engine(0).Signal(SIGSTOP); },
      [](Fleet& aFleet) { aFleet.Engine(0).Signal(SIGCONT); } },
    { "engine_breaks_off",
      [](Fleet& aFleet) {
        aFleet.SetFault(
          "e1", "close_after", { { "bytes", 900 }, { "times", 50 } });
      },
      [](Fleet& aFleet) { aFleet.SetFault("e1", "heal"); } },
    { "link_delayed",
      [](Fleet& aFleet) {
        aFleet.SetFault("r2-c0", "delay", { { "ms", 400 } });
      },
      [](Fleet& aFleet) { aFleet.SetFault("r2-c0", "heal"); } },
  };
}

void
CheckFaultPair(const std::string& aName, unsigned aSeed)
{
  std::mt19937 random(aSeed);
  auto kinds = MakeFaultKinds();
  std::shuffle(kinds.begin(), kinds.end(), random);
  const auto& first = kinds[0];
  const auto& second = kinds[1];
  FleetOptions options;
  options.routers = 3;
  options.paid = 60000;
  Fleet fleet(aName, aSeed, options);
  fleet.AddReportValue(first.name, 1);
  fleet.AddReportValue(second.name, 1);
  LoadGeneratorOptions callers;
  callers.timeout = 15s;
  LoadGenerator load(fleet, callers);
  std::this_thread::sleep_for(1s);
  first.begin(fleet);
  std::this_thread::sleep_for(std::chrono::milliseconds(random() % 400));
  second.begin(fleet);
  fleet.TopUp(5000);
  std::this_thread::sleep_for(8s);
  first.end(fleet);
  second.end(fleet);
  for (int i = 0; i < options.routers; ++i) {
    REQUIRE(fleet.WaitUntilReady(i));
  }
  std::this_thread::sleep_for(1s);
  load.Stop();
  bool isSettled = fleet.WaitUntilSettled();
  Budget budget = fleet.ReadBudget();
  int falseNotRun = load.CountFalseNotRun();
  fleet.AddReportValue("whole", load.Count(ChatOutcome::Complete));
  fleet.AddReportValue("errors", load.Count(ChatOutcome::Error));
  fleet.AddReportValue("broken", load.Count(ChatOutcome::Truncated));
  fleet.AddReportValue("timeouts", load.Count(ChatOutcome::Timeout));
  fleet.AddReportValue("told", load.CompletedTokens());
  fleet.AddReportValue("spent", budget.spent);
  fleet.AddReportValue("unreported", budget.unreported);
  fleet.AddReportValue("stranded", budget.granted);
  fleet.AddReportValue("false_not_run", falseNotRun);
  fleet.AddReportValue("false_refusals", load.CountFalseRefusals());
  REQUIRE(load.Count(ChatOutcome::Complete) > 0);
  REQUIRE(load.Count(ChatOutcome::WrongContent) == 0);
  REQUIRE(falseNotRun == 0);
  REQUIRE(isSettled);
  REQUIRE(budget.spent + budget.unreported <= budget.paid);
  REQUIRE(load.CompletedTokens() <= budget.spent + budget.unreported);
}

} // namespace

// Each case guards against recovery from one fault that works only in the
// absence of the other.
TEST_CASE("guarantees hold when a router is killed and another is suspended",
          "[pair-85]")
{
  CheckFaultPair("pair-85", 85);
}

TEST_CASE("guarantees hold when a router is killed and another is partitioned",
          "[pair-88]")
{
  CheckFaultPair("pair-88", 88);
}

TEST_CASE("guarantees hold when a link is slow and an engine disconnects",
          "[pair-90]")
{
  CheckFaultPair("pair-90", 90);
}

TEST_CASE(
  "guarantees hold when a router receives nothing and an engine is killed",
  "[pair-100]")
{
  CheckFaultPair("pair-100", 100);
}

TEST_CASE("guarantees hold when a router and an engine are suspended",
          "[pair-110]")
{
  CheckFaultPair("pair-110", 110);
}

TEST_CASE(
  "guarantees hold when a router is partitioned and an engine disconnects",
  "[pair-118]")
{
  CheckFaultPair("pair-118", 118);
}

} // namespace lycheestand::faults
