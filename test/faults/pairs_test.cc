// Two faults at once, drawn with fixed seeds.

#include "fleet.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <random>

namespace lycheestand::faults {

namespace {

// A fault and how it ends.
struct FaultKind
{
  const char* name;
  std::function<void(Fleet&)> begin;
  std::function<void(Fleet&)> end;
};

std::vector<FaultKind>
MakeKinds()
{
  return {
    { "router_dies",
      [](Fleet& aFleet) { aFleet.Router(0).Kill(); },
      [](Fleet& aFleet) { aFleet.Router(0).Start(); } },
    { "router_freezes",
      [](Fleet& aFleet) { aFleet.Router(1).Signal(SIGSTOP); },
      [](Fleet& aFleet) { aFleet.Router(1).Signal(SIGCONT); } },
    { "router_cut_off",
      [](Fleet& aFleet) { aFleet.FaultRouter(1, "block"); },
      [](Fleet& aFleet) { aFleet.FaultRouter(1, "heal"); } },
    { "router_hears_nothing",
      [](Fleet& aFleet) { aFleet.FaultRouter(2, "drop_backward"); },
      [](Fleet& aFleet) { aFleet.FaultRouter(2, "heal"); } },
    { "engine_dies",
      [](Fleet& aFleet) { aFleet.Engine(0).Kill(); },
      [](Fleet& aFleet) { aFleet.Engine(0).Start(); } },
    { "engine_freezes",
      [](Fleet& aFleet) { aFleet.Engine(0).Signal(SIGSTOP); },
      [](Fleet& aFleet) { aFleet.Engine(0).Signal(SIGCONT); } },
    { "engine_breaks_off",
      [](Fleet& aFleet) {
        aFleet.Fault(
          "e1", "close_after", { { "bytes", 900 }, { "times", 50 } });
      },
      [](Fleet& aFleet) { aFleet.Fault("e1", "heal"); } },
    { "link_delayed",
      [](Fleet& aFleet) {
        aFleet.Fault("r2-c0", "delay", { { "ms", 400 } });
      },
      [](Fleet& aFleet) { aFleet.Fault("r2-c0", "heal"); } },
  };
}

void
CheckPair(const std::string& aName, unsigned aSeed)
{
  std::mt19937 random(aSeed);
  auto kinds = MakeKinds();
  std::shuffle(kinds.begin(), kinds.end(), random);
  const auto& first = kinds[0];
  const auto& second = kinds[1];
  FleetOptions options;
  options.routers = 3;
  options.paid = 60000;
  Fleet fleet(aName, aSeed, options);
  fleet.Figure(first.name, 1);
  fleet.Figure(second.name, 1);
  CrowdOptions callers;
  callers.limit = 15s;
  Crowd crowd(fleet, callers);
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
  crowd.Stop();
  bool isSettled = fleet.WaitUntilSettled();
  Budget budget = fleet.ReadBudget();
  int falseNotRun = crowd.CountFalseNotRun();
  fleet.Figure("whole", crowd.Count(Ending::Whole));
  fleet.Figure("errors", crowd.Count(Ending::Error));
  fleet.Figure("broken", crowd.Count(Ending::Broken));
  fleet.Figure("timeouts", crowd.Count(Ending::Timeout));
  fleet.Figure("told", crowd.Told());
  fleet.Figure("spent", budget.spent);
  fleet.Figure("unreported", budget.unreported);
  fleet.Figure("stranded", budget.granted);
  fleet.Figure("false_not_run", falseNotRun);
  fleet.Figure("false_refusals", crowd.FalseRefusals());
  REQUIRE(crowd.Count(Ending::Whole) > 0);
  REQUIRE(crowd.Count(Ending::Wrong) == 0);
  REQUIRE(falseNotRun == 0);
  REQUIRE(isSettled);
  REQUIRE(budget.spent + budget.unreported <= budget.paid);
  REQUIRE(crowd.Told() <= budget.spent + budget.unreported);
}

} // namespace

// Each guards against a repair of one fault that relies on the other not
// being there.
TEST_CASE("promises hold when a router dies and another freezes", "[pair-85]")
{
  CheckPair("pair-85", 85);
}

TEST_CASE("promises hold when a router dies and another is cut off",
          "[pair-88]")
{
  CheckPair("pair-88", 88);
}

TEST_CASE("promises hold when a link is slow and an engine breaks off",
          "[pair-90]")
{
  CheckPair("pair-90", 90);
}

TEST_CASE("promises hold when a router hears nothing and an engine dies",
          "[pair-100]")
{
  CheckPair("pair-100", 100);
}

TEST_CASE("promises hold when a router and an engine freeze", "[pair-110]")
{
  CheckPair("pair-110", 110);
}

TEST_CASE("promises hold when a router is cut off and an engine breaks off",
          "[pair-118]")
{
  CheckPair("pair-118", 118);
}

} // namespace lycheestand::faults
