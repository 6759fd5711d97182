#include "chat_protocol.h"
#include "endpoint_reports.h"

#include <catch2/catch.hpp>

using namespace lycheestand;
using namespace lycheestand::router;
using namespace std::chrono_literals;

// Guards against a stale load report being treated as new: the endpoint
// measured it some time before it answered.
TEST_CASE("A load report has the age that the endpoint gives")
{
  TimePoint askedAt(1000s);
  auto report = ParseLoadReport(
    R"({"running":3,"queued":2,"slots":8,"cache_tokens":9,"leaving":true,)"
    R"("models":["m","m:a"],"age_ms":700})",
    askedAt);
  REQUIRE(report);
  REQUIRE(report->running == 3);
  REQUIRE(report->queued == 2);
  REQUIRE(report->slots == 8);
  REQUIRE(report->leaving);
  REQUIRE(report->models.contains("m:a"));
  REQUIRE(report->runsPrefill);
  REQUIRE(report->measuredAt == askedAt - 700ms);
}

// Guards against a malformed report being read as that of an idle endpoint.
TEST_CASE("A malformed load report is rejected")
{
  for (const char* body :
       { "", "[]", "{}", R"({"running":-1,"queued":0,"slots":1})" }) {
    REQUIRE_FALSE(ParseLoadReport(body, {}));
  }
}

// Guards against one malformed event that makes the router drop the whole
// batch, and against prefix hashes that differ between router and engine.
TEST_CASE("Events are parsed with their prefix hashes, without malformed ones")
{
  auto batch = ParseEvents(
    R"({"next":9,"events":[{"seq":7,"prefix":"00000000000000ff","added":true},)"
    R"({"seq":8,"prefix":"x","added":true}]})");
  REQUIRE(batch);
  REQUIRE(batch->next == 9);
  REQUIRE(batch->events.size() == 1);
  REQUIRE(batch->events[0].prefix == routing::PrefixHash(255));
  REQUIRE_FALSE(ParseEvents(R"({"events":[]})"));
}

// Guards against a hash over the whole prompt, with which prompts that share a
// prefix would not share cache entries.
TEST_CASE("Prompts that begin with the same text have the same prefix hashes")
{
  auto parse = [](const std::string& aEnd) {
    std::string text(3000, 'x');
    return ParseChatCall(
             R"({"model":"m","messages":[{"role":"user","content":")" + text +
             aEnd + "\"}]}")
      .value()
      .prefix;
  };
  auto one = parse(std::string(8000, 'a'));
  auto other = parse(std::string(8000, 'b'));
  REQUIRE(one.size() == 3);
  REQUIRE(one[1].hash == other[1].hash);
  REQUIRE(one[2].hash != other[2].hash);
}

// Guards against a missing priority, without which the engine can't tell which
// requests may wait.
TEST_CASE("The engine's request contains the priority")
{
  auto call =
    ParseChatCall(R"({"model":"m","messages":[{"role":"u","content":"x"}]})")
      .value();
  call.priority = routing::Priority::Batch;
  auto body = FormatEngineRequest(call, Tokens(5), "");
  REQUIRE(body.find(R"("priority":1)") != std::string::npos);
}
