#include "event_stream.h"

#include <catch2/catch.hpp>

using namespace lycheestand::router;

// Guards against lost or duplicated bytes when events are divided between
// chunks.
TEST_CASE("Events are passed on byte for byte for all chunk sizes")
{
  const std::string text =
    "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\n\n";
  for (std::size_t size = 1; size <= text.size(); ++size) {
    EventSplitter splitter;
    std::string joined;
    std::vector<std::uint64_t> ids;
    for (std::size_t at = 0; at < text.size(); at += size) {
      for (const auto& event : splitter.Feed(text.substr(at, size))) {
        joined += event.bytes;
        REQUIRE(event.id);
        ids.push_back(*event.id);
      }
    }
    CHECK(joined == text);
    CHECK(ids == std::vector<std::uint64_t>{ 1, 2, 3 });
    CHECK(splitter.Remainder().empty());
  }
}

// Guards against a caller that gets a part of an event and then, after the
// stream is resumed at another endpoint, the whole event.
TEST_CASE("An incomplete event is held back")
{
  EventSplitter splitter;
  CHECK(splitter.Feed("id: 1\ndata: x\n\nid: 2\nda").size() == 1);
  CHECK(splitter.Remainder() == "id: 2\nda");
}

// Guards against a broken stream that is taken for a complete one.
TEST_CASE("A stream that ends inside an event is recognized")
{
  EventSplitter splitter;
  CHECK_FALSE(splitter.IsInsideEvent());
  splitter.Feed("id: 1\ndata: x\n");
  CHECK(splitter.IsInsideEvent());
  splitter.Feed("\n");
  CHECK_FALSE(splitter.IsInsideEvent());
  splitter.Feed("\r\n");
  CHECK_FALSE(splitter.IsInsideEvent());
}

// Guards against missing or duplicate events in a resumed stream.
TEST_CASE("A resumed stream continues after the last delivered event")
{
  RawEvent event{ "id: 5\n\n", 5 };
  CHECK(CheckOrder(std::nullopt, event) == EventAction::Deliver);
  CHECK(CheckOrder(4, event) == EventAction::Deliver);
  CHECK(CheckOrder(5, event) == EventAction::Skip);
  CHECK(CheckOrder(3, event) == EventAction::Gap);
  CHECK(CheckOrder(3, { ": comment\n\n", std::nullopt }) ==
        EventAction::Deliver);
}

// Guards against gaps of a slow caller that are taken for those of its
// endpoint.
TEST_CASE("Gaps are measured over a second and without the caller's delays")
{
  using namespace std::chrono_literals;
  GapMeter gaps;
  TimePoint now(1000s);
  CHECK_FALSE(gaps.Add(1, now));
  CHECK_FALSE(gaps.Add(3, now += 600ms));
  CHECK(gaps.Add(3, now += 600ms) == 200ms);
  CHECK_FALSE(gaps.Add(1, now += 3s));
  gaps.Discard();
  CHECK_FALSE(gaps.Add(5, now += 3s));
  CHECK(gaps.Add(10, now += 1s) == 100ms);
}
