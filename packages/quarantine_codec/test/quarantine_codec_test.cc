#include <catch2/catch.hpp>
#include <lycheestand/quarantine_codec.h>

using namespace lycheestand;
using namespace lycheestand::quarantine;
using namespace lycheestand::quarantine_codec;
using namespace std::chrono_literals;

// Guards against a router that refuses for another time than control says.
TEST_CASE("Lists are equal after conversion at another clock")
{
  const TimePoint now(1h);
  const TimePoint otherNow(5h);
  RequestLists lists;
  lists.suspects = { RequestDigest(1) };
  lists.entries = {
    { RequestDigest(2), RequestState::OnTrial, 2, now + 59s, 0s },
    { RequestDigest(3), RequestState::Quarantined, 3, now + 10min, 10min }
  };
  wire::QuarantineState state;
  WriteLists(lists, now, state);
  auto read = ReadLists(state, otherNow);
  CHECK(read.suspects == lists.suspects);
  REQUIRE(read.entries.size() == 2);
  CHECK(read.entries[0].state == RequestState::OnTrial);
  CHECK(read.entries[1].end == otherNow + 10min);
  CHECK(read.entries[1].length == 10min);
  // A router that connects 4 minutes later.
  auto late = ReadLists(WithAge(state, 4min), otherNow);
  CHECK(late.entries[0].end == otherNow);
  CHECK(late.entries[1].end == otherNow + 6min);
}

// Guards against a newer process whose states mean something else.
TEST_CASE("Records with an unknown state are left out")
{
  wire::QuarantineState state;
  state.requests = { { RequestDigest(1), 200, 3, 1s, 1s } };
  CHECK(ReadLists(state, TimePoint(1h)).entries.empty());
}
