// Promises 6 and 7: no new work for an endpoint that leaves, and no request
// cut off by a planned stop.

#include "fleet.h"

#include <catch2/catch.hpp>
#include <csignal>

namespace lycheestand::faults {

namespace {

std::int64_t
CountRefused(Fleet& aFleet, int aEngine)
{
  json::error_code error;
  auto counts = json::parse(aFleet.AskEngine(aEngine, "/counts").body, error);
  return counts.at("refused").to_number<std::int64_t>();
}

} // namespace

// Guards against requests that are still sent to an engine seconds after it
// has said that it leaves, because the platform's list does not say so yet.
TEST_CASE("a leaving engine gets no new work although the list lags",
          "[leaving]")
{
  FleetOptions options;
  options.platformLagMs = 100;
  Fleet fleet("leaving", 41, options);
  Crowd crowd(fleet, {});
  std::this_thread::sleep_for(1s);
  fleet.AskEngine(0, "/leave", "POST");
  std::this_thread::sleep_for(4s);
  std::int64_t before = CountRefused(fleet, 0);
  std::this_thread::sleep_for(4s);
  std::int64_t after = CountRefused(fleet, 0);
  crowd.Stop();
  fleet.Figure("sent_within_4s", before);
  fleet.Figure("sent_later", after - before);
  fleet.Figure("whole", crowd.Count(Ending::Whole));
  fleet.Figure("errors", crowd.Count(Ending::Error));
  REQUIRE(after == before);
  REQUIRE(crowd.Count(Ending::Whole) > 0);
  REQUIRE(crowd.Count(Ending::Error) == 0);
}

// Guards against streams that a planned stop cuts off, callers refused while
// their entry answer is still valid, and usage that is never reported.
TEST_CASE("a planned stop cuts off no stream and reports all tokens",
          "[planned-stop]")
{
  FleetOptions options;
  options.entryKeepMs = 2000;
  options.engineArguments = { "--per-token-us", "60000" };
  Fleet fleet("planned-stop", 42, options);
  CrowdOptions onlyFirst;
  onlyFirst.routers = { 0 };
  onlyFirst.streamed = 70;
  Crowd crowd(fleet, onlyFirst);
  std::this_thread::sleep_for(1s);
  auto toldAt = Clock::now();
  fleet.Router(0).Signal(SIGTERM);
  // A caller that asked just before keeps its answer for the time that it was
  // told, and starts no new call after that.
  std::this_thread::sleep_until(toldAt + 2s);
  crowd.Stop();
  int code = fleet.Router(0).WaitForExit(20s);
  bool isSettled = fleet.WaitUntilSettled();
  Budget budget = fleet.ReadBudget();
  fleet.Figure("whole", crowd.Count(Ending::Whole));
  fleet.Figure("cut_streams", crowd.Count(Ending::Broken));
  fleet.Figure("no_answer", crowd.Count(Ending::NoAnswer));
  fleet.Figure("told", crowd.Told());
  fleet.Figure("spent", budget.spent);
  fleet.Figure("stranded", budget.granted + budget.unreported);
  REQUIRE(code == 0);
  REQUIRE(crowd.Count(Ending::Whole) ==
          static_cast<int>(crowd.Answers().size()));
  REQUIRE(isSettled);
  REQUIRE(budget.unreported == 0);
  REQUIRE(budget.spent == crowd.Told());
}

} // namespace lycheestand::faults
