// Promises 3 and 4: each caller gets its own whole answer or an explicit
// error, and what is said not to have run has not.

#include "fleet.h"

#include <catch2/catch.hpp>

namespace lycheestand::faults {

namespace {

void
CheckAnswers(Fleet& aFleet, const Crowd& aCrowd)
{
  const std::pair<const char*, Ending> endings[] = {
    { "whole", Ending::Whole },        { "errors", Ending::Error },
    { "left", Ending::Left },          { "no_answer", Ending::NoAnswer },
    { "cut_streams", Ending::Broken }, { "timeouts", Ending::Timeout },
    { "wrong", Ending::Wrong }
  };
  for (const auto& [figure, ending] : endings) {
    aFleet.Figure(figure, aCrowd.Count(ending));
  }
  int refused = 0;
  std::map<std::string, int> codes;
  for (const auto& answer : aCrowd.Answers()) {
    refused += answer.ran == "not_run" ? 1 : 0;
    if (!answer.code.empty()) {
      ++codes[answer.code];
    }
  }
  for (const auto& [code, count] : codes) {
    aFleet.Figure("code_" + code, count);
  }
  int falseNotRun = aCrowd.CountFalseNotRun();
  aFleet.Figure("not_run", refused);
  aFleet.Figure("false_not_run", falseNotRun);
  REQUIRE(aCrowd.Count(Ending::Whole) > 0);
  REQUIRE(aCrowd.Count(Ending::Wrong) == 0);
  REQUIRE(aCrowd.Count(Ending::Broken) == 0);
  REQUIRE(aCrowd.Count(Ending::Timeout) == 0);
  REQUIRE(falseNotRun == 0);
}

} // namespace

// Guards against answers that are mixed up, shortened or left open when
// engines die in mid-stream and callers disconnect.
TEST_CASE("answers are whole while engines die and callers leave",
          "[answers-killed]")
{
  FleetOptions options;
  options.engines = 3;
  Fleet fleet("answers-killed", 21, options);
  CrowdOptions callers;
  callers.threads = 16;
  callers.left = 20;
  Crowd crowd(fleet, callers);
  for (int i = 0; i < 6; ++i) {
    std::this_thread::sleep_for(700ms);
    fleet.Engine(i % 3).Kill();
    std::this_thread::sleep_for(300ms);
    fleet.Engine(i % 3).Start();
  }
  std::this_thread::sleep_for(500ms);
  crowd.Stop();
  CheckAnswers(fleet, crowd);
}

// Guards against a refusal that says not_run of a request that an engine had
// begun, and against a stream left open: every engine breaks off, so that no
// other one can take over.
TEST_CASE("answers end in an explicit error when every engine breaks off",
          "[answers-broken]")
{
  FleetOptions options;
  Fleet fleet("answers-broken", 22, options);
  CrowdOptions callers;
  callers.threads = 8;
  callers.limit = 10s;
  Crowd crowd(fleet, callers);
  std::this_thread::sleep_for(500ms);
  for (int i = 0; i < 2; ++i) {
    fleet.Fault("e" + std::to_string(i),
                "close_after",
                { { "bytes", 700 }, { "times", 1000 } });
  }
  std::this_thread::sleep_for(2s);
  fleet.Fault("e0", "heal");
  fleet.Fault("e1", "cut");
  std::this_thread::sleep_for(1s);
  crowd.Stop();
  CheckAnswers(fleet, crowd);
}

// Guards against a refusal that says not_run of a request that ran, when
// engines are full, leaving or unreachable and the budget runs out.
TEST_CASE("a refusal that says not_run is true under load and faults",
          "[not-run]")
{
  FleetOptions options;
  options.engines = 3;
  options.paid = 12000;
  options.engineArguments = { "--slots", "4" };
  Fleet fleet("not-run", 23, options);
  CrowdOptions callers;
  callers.threads = 16;
  callers.left = 10;
  Crowd crowd(fleet, callers);
  std::this_thread::sleep_for(1s);
  fleet.AskEngine(0, "/leave", "POST");
  std::this_thread::sleep_for(500ms);
  fleet.Engine(1).Kill();
  std::this_thread::sleep_for(500ms);
  fleet.Fault("e2", "cut");
  std::this_thread::sleep_for(1s);
  fleet.Fault("e2", "heal");
  fleet.FaultRouter(1, "block");
  std::this_thread::sleep_for(6s);
  fleet.FaultRouter(1, "heal");
  std::this_thread::sleep_for(1s);
  crowd.Stop();
  CheckAnswers(fleet, crowd);
  int refused = 0;
  for (const auto& answer : crowd.Answers()) {
    refused += answer.ran == "not_run" ? 1 : 0;
  }
  REQUIRE(refused > 0);
}

} // namespace lycheestand::faults
