#include "request_timeline.h"

#include <catch2/catch.hpp>
#include <sstream>

using namespace lycheestand::client;

namespace {

// Log lines of two processes about one request that was refused.
const char* const kLog =
  R"(12.1 r1 {"time":"2026-01-27T05:53:29.514Z","level":"warning","instance":"r1","message":"lost the link to control","event":"control_lost","reason":"the peer is silent"}
{"time":"2026-01-27T05:53:30.000Z","level":"info","instance":"c1","message":"budget","event":"budget","workspace":"w","paid":"10","spent":"4"}
{"time":"2026-01-27T05:53:30.000Z","level":"info","instance":"c1","message":"budget","event":"budget","workspace":"other","paid":"10"}
not a log line {
{"time":"2026-01-27T05:53:32.242Z","level":"info","instance":"r1","message":"refused","event":"refused","request":"id1","workspace":"w","code":"budget_unavailable"}
{"time":"2026-01-27T05:53:33.000Z","level":"info","instance":"r1","message":"connected to control"}
)";

} // namespace

// Guards against an on-call engineer who sees the refusal and not its cause.
TEST_CASE("A request's story names what its router knew")
{
  std::istringstream input(kLog);
  auto story = TellStory(ReadLogLines(input), "id1");
  REQUIRE(story.size() == 3);
  CHECK(story[0].find("[router] lost the link to control") !=
        std::string::npos);
  CHECK(story[1].find("[budget] budget event=budget workspace=w paid=10") !=
        std::string::npos);
  CHECK(story[2].find("code=budget_unavailable") != std::string::npos);
}

// Guards against a story of nothing for an id that was mistyped.
TEST_CASE("An unknown request has no story")
{
  std::istringstream input(kLog);
  CHECK(TellStory(ReadLogLines(input), "id2").empty());
}
