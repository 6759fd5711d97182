#include "request_timeline.h"

#include <catch2/catch.hpp>
#include <sstream>

using namespace lycheestand::client;

namespace {

// Log lines of a router and a control instance around a refused request.
const char* const kLogLines =
  R"(12.1 r1 {"time":"2026-01-27T05:53:29.514Z","level":"warning","instance":"r1","message":"lost the link to control","event":"control_lost","reason":"the peer is silent"}
{"time":"2026-01-27T05:53:30.000Z","level":"info","instance":"c1","message":"budget","event":"budget","workspace":"w","paid":"10","spent":"4"}
{"time":"2026-01-27T05:53:30.000Z","level":"info","instance":"c1","message":"budget","event":"budget","workspace":"other","paid":"10"}
not a log line {
{"time":"2026-01-27T05:53:32.242Z","level":"info","instance":"r1","message":"refused","event":"refused","request":"id1","workspace":"w","code":"budget_unavailable"}
{"time":"2026-01-27T05:53:33.000Z","level":"info","instance":"r1","message":"connected to control"}
)";

} // namespace

// Guards against a timeline that has the refusal without its cause, here the
// lost link to control.
TEST_CASE("A request's timeline includes the events of its router")
{
  std::istringstream input(kLogLines);
  auto timeline = BuildRequestTimeline(ReadLogLines(input), "id1");
  REQUIRE(timeline.size() == 3);
  CHECK(timeline[0].find("[router] lost the link to control") !=
        std::string::npos);
  CHECK(timeline[1].find("[budget] budget event=budget workspace=w paid=10") !=
        std::string::npos);
  CHECK(timeline[2].find("code=budget_unavailable") != std::string::npos);
}

// Guards against a timeline of unrelated lines for a mistyped id.
TEST_CASE("The timeline of an unknown request is empty")
{
  std::istringstream input(kLogLines);
  CHECK(BuildRequestTimeline(ReadLogLines(input), "id2").empty());
}

// Guards against a late answer whose cause, a slow endpoint, is not shown.
TEST_CASE("A request's timeline names changes of its endpoint's speed")
{
  std::istringstream input(
    R"({"time":"2026-10-15T19:15:40.000Z","instance":"r","message":"m",)"
    R"("event":"endpoint_capacity","endpoint":"e","speed_percent":"40"})"
    "\n"
    R"({"time":"2026-10-15T19:15:40.100Z","instance":"r","message":"m",)"
    R"("event":"endpoint_capacity","endpoint":"f","speed_percent":"50"})"
    "\n"
    R"({"time":"2026-10-15T19:15:41.000Z","instance":"r","message":"m",)"
    R"("event":"request","request":"id1","endpoint":"e","ms":"900"})"
    "\n");
  auto timeline = BuildRequestTimeline(ReadLogLines(input), "id1");
  REQUIRE(timeline.size() == 2);
  CHECK(timeline[0].find("[endpoint] m event=endpoint_capacity endpoint=e") !=
        std::string::npos);
}

// Guards against a lost answer that is shown as the caller's decision, or
// without what made the router close the connection.
TEST_CASE("A request's timeline tells why its router closed the connection")
{
  std::istringstream input(
    R"({"time":"2026-12-06T15:40:40.000Z","instance":"r","message":"m",)"
    R"("event":"response_dropped","peer":"192.0.2.1"})"
    "\n"
    R"({"time":"2026-12-06T15:40:40.000Z","instance":"q","message":"m",)"
    R"("event":"response_dropped","peer":"192.0.2.2"})"
    "\n"
    R"({"time":"2026-12-06T15:40:40.001Z","instance":"r","message":"m",)"
    R"("event":"request_cut","request":"id1","reason":"no_memory",)"
    R"("state":"answering","endpoint":"e","ms":"900"})"
    "\n"
    R"({"time":"2026-12-06T15:40:40.002Z","instance":"r","message":"m",)"
    R"("event":"request","request":"id1","outcome":"cut","endpoint":"e"})"
    "\n");
  auto timeline = BuildRequestTimeline(ReadLogLines(input), "id1");
  REQUIRE(timeline.size() == 3);
  CHECK(timeline[0].find(" r [router] m event=response_dropped") !=
        std::string::npos);
  CHECK(timeline[1].find("[cut] m event=request_cut") != std::string::npos);
  CHECK(timeline[1].find("reason=no_memory state=answering") !=
        std::string::npos);
}

// Guards against a refusal whose cause, the crashes of earlier requests with
// the same content, is not shown.
TEST_CASE("A refused request's timeline names its quarantine")
{
  std::istringstream input(
    R"({"time":"2026-12-06T15:45:08.639Z","instance":"r2","message":"m",)"
    R"("event":"attempt","request":"id0","endpoint":"e","digest":"00ab"})"
    "\n"
    R"({"time":"2026-12-06T15:45:08.700Z","instance":"c1","message":"m",)"
    R"("event":"request_quarantined","digest":"00ab","crashes":"3"})"
    "\n"
    R"({"time":"2026-12-06T15:45:08.800Z","instance":"c1","message":"m",)"
    R"("event":"request_held","digest":"00cd","crashes":"2"})"
    "\n"
    R"({"time":"2026-12-06T15:45:09.000Z","instance":"r1","message":"m",)"
    R"("event":"refused","request":"id1","code":"request_quarantined",)"
    R"("digest":"00ab"})"
    "\n");
  auto timeline = BuildRequestTimeline(ReadLogLines(input), "id1");
  REQUIRE(timeline.size() == 3);
  CHECK(timeline[0].find("[same content] m") != std::string::npos);
  CHECK(timeline[0].find("request=id0") != std::string::npos);
  CHECK(timeline[1].find("[quarantine] m") != std::string::npos);
  CHECK(timeline[1].find("crashes=3") != std::string::npos);
}

// Guards against a stream that was not taken up and of which the timeline does
// not tell at which version it began.
TEST_CASE("A request's timeline has the request that began its stream")
{
  std::istringstream input(
    R"({"time":"2026-12-06T15:45:08.000Z","instance":"r2","message":"m",)"
    R"("event":"request","request":"id0","endpoint":"e","version":"v1"})"
    "\n"
    R"({"time":"2026-12-06T15:45:08.100Z","instance":"r2","message":"m",)"
    R"("event":"request","request":"id2","endpoint":"e","version":"v1"})"
    "\n"
    R"({"time":"2026-12-06T15:45:09.000Z","instance":"r1","message":"m",)"
    R"("event":"stream_not_resumed","request":"id1","resumes":"id0"})"
    "\n"
    R"({"time":"2026-12-06T15:45:09.100Z","instance":"r1","message":"m",)"
    R"("event":"request","request":"id1","endpoint":"f","version":"v2"})"
    "\n");
  auto timeline = BuildRequestTimeline(ReadLogLines(input), "id1");
  REQUIRE(timeline.size() == 3);
  CHECK(timeline[0].find("[stream] m event=request request=id0") !=
        std::string::npos);
  CHECK(timeline[0].find("version=v1") != std::string::npos);
  CHECK(timeline[2].find("version=v2") != std::string::npos);
}
