// Guarantees 3 and 4 (docs/design.md, section 1): each caller gets the complete
// answer to its own request or an explicit error, and a request refused as
// not_run has not run.

#include "fleet.h"

#include <catch2/catch.hpp>

namespace lycheestand::faults {

namespace {

void
CheckAnswers(Fleet& aFleet, const LoadGenerator& aLoad)
{
  const std::pair<const char*, ChatOutcome> outcomes[] = {
    { "whole", ChatOutcome::Complete },
    { "errors", ChatOutcome::Error },
    { "left", ChatOutcome::Disconnected },
    { "no_answer", ChatOutcome::NoResponse },
    { "cut_streams", ChatOutcome::Truncated },
    { "timeouts", ChatOutcome::Timeout },
    { "wrong", ChatOutcome::WrongContent }
  };
  for (const auto& [key, outcome] : outcomes) {
    aFleet.AddReportValue(key, aLoad.Count(outcome));
  }
  int notRunCount = 0;
  std::map<std::string, int> codes;
  for (const auto& answer : aLoad.Answers()) {
    notRunCount += answer.executionState == "not_run" ? 1 : 0;
    if (!answer.errorCode.empty()) {
      ++codes[answer.errorCode];
    }
  }
  for (const auto& [code, count] : codes) {
    aFleet.AddReportValue("code_" + code, count);
  }
  int falseNotRun = aLoad.CountFalseNotRun();
  aFleet.AddReportValue("not_run", notRunCount);
  aFleet.AddReportValue("false_not_run", falseNotRun);
  REQUIRE(aLoad.Count(ChatOutcome::Complete) > 0);
  REQUIRE(aLoad.Count(ChatOutcome::WrongContent) == 0);
  REQUIRE(aLoad.Count(ChatOutcome::Truncated) == 0);
  REQUIRE(aLoad.Count(ChatOutcome::Timeout) == 0);
  REQUIRE(falseNotRun == 0);
}

} // namespace

// Guards against answers that are swapped between callers, truncated or never
// ended when engines are killed during streams and callers disconnect.
TEST_CASE(
  "answers are complete while engines are killed and callers disconnect",
  "[answers-killed]")
{
  FleetOptions options;
  options.engines = 3;
  Fleet fleet("answers-killed", 21, options);
  LoadGeneratorOptions callers;
  callers.threads = 16;
  callers.disconnectedPercent = 20;
  LoadGenerator load(fleet, callers);
  for (int i = 0; i < 6; ++i) {
    std::this_thread::sleep_for(700ms);
    fleet.Engine(i % 3).Kill();
    std::this_thread::sleep_for(300ms);
    fleet.Engine(i % 3).Start();
  }
  std::this_thread::sleep_for(500ms);
  load.Stop();
  CheckAnswers(fleet, load);
}

// Guards against a refusal that states not_run for a request that an engine had
// begun, and against a stream that never ends. All engines close their
// connections in mid-stream, so that none can resume the stream of another.
TEST_CASE("answers end in an explicit error when every engine disconnects",
          "[answers-broken]")
{
  FleetOptions options;
  Fleet fleet("answers-broken", 22, options);
  LoadGeneratorOptions callers;
  callers.threads = 8;
  callers.timeout = 10s;
  LoadGenerator load(fleet, callers);
  std::this_thread::sleep_for(500ms);
  for (int i = 0; i < 2; ++i) {
    fleet.SetFault("e" + std::to_string(i),
                   "close_after",
                   { { "bytes", 700 }, { "times", 1000 } });
  }
  std::this_thread::sleep_for(2s);
  fleet.SetFault("e0", "heal");
  fleet.SetFault("e1", "cut");
  std::this_thread::sleep_for(1s);
  load.Stop();
  CheckAnswers(fleet, load);
}

// Guards against a refusal that states not_run for a request that ran, while
// engines are full, leaving or unreachable and the budget is exhausted.
TEST_CASE("a request refused as not_run has not run under load and faults",
          "[not-run]")
{
  FleetOptions options;
  options.engines = 3;
  options.paid = 12000;
  options.engineArguments = { "--slots", "4" };
  Fleet fleet("not-run", 23, options);
  LoadGeneratorOptions callers;
  callers.threads = 16;
  callers.disconnectedPercent = 10;
  LoadGenerator load(fleet, callers);
  std::this_thread::sleep_for(1s);
  fleet.SendToEngine(0, "/leave", "POST");
  std::this_thread::sleep_for(500ms);
  fleet.Engine(1).Kill();
  std::this_thread::sleep_for(500ms);
  fleet.SetFault("e2", "cut");
  std::this_thread::sleep_for(1s);
  fleet.SetFault("e2", "heal");
  fleet.SetRouterFault(1, "block");
  std::this_thread::sleep_for(6s);
  fleet.SetRouterFault(1, "heal");
  std::this_thread::sleep_for(1s);
  load.Stop();
  CheckAnswers(fleet, load);
  int notRunCount = 0;
  for (const auto& answer : load.Answers()) {
    notRunCount += answer.executionState == "not_run" ? 1 : 0;
  }
  REQUIRE(notRunCount > 0);
}

} // namespace lycheestand::faults
