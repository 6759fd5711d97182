#include <catch2/catch.hpp>
#include <lycheestand/routing.h>
#include <random>

using namespace lycheestand;
using namespace lycheestand::routing;
using namespace std::chrono_literals;

namespace {

// A table with four endpoints of one model, and a seeded random source.
class TableFixture
{
public:
  TableFixture()
  {
    for (const char* name : { "a", "b", "c", "d" }) {
      this->list.push_back({ EndpointId(name), ZoneId("z1"), {}, "m" });
    }
    this->table.SetEndpoints(this->list);
  }

  static RandomSource Seeded()
  {
    return [engine = std::mt19937_64(7)](std::uint64_t aBound) mutable {
      return aBound == 0 ? engine() : engine() % aBound;
    };
  }

  Query MakeQuery(std::uint64_t aPrefix = 1) const
  {
    Query query;
    query.serves = "m";
    query.prefix = { { PrefixHash(aPrefix), Tokens(2000) } };
    query.promptTokens = Tokens(2100);
    return query;
  }

  std::string Choose(std::uint64_t aRequest, const Query& aQuery)
  {
    auto choice =
      this->table.Choose(RequestNumber(aRequest), aQuery, this->now);
    return choice ? choice->endpoint.Get() : "";
  }

  void Report(const char* aEndpoint, LoadReport aReport)
  {
    aReport.slots = 8;
    aReport.measuredAt = this->now;
    this->table.UpdateLoadReport(EndpointId(aEndpoint), aReport);
  }

  TimePoint now = TimePoint(1000s);
  std::vector<Endpoint> list;
  EndpointTable table{ TableOptions{ .zone = ZoneId("z1") },
                       MakeCostPolicy(),
                       Seeded() };
};

} // namespace

// Guards against routing that ignores prefix caches, so that every endpoint
// processes the same prefix again.
TEST_CASE_METHOD(TableFixture,
                 "Requests go to the endpoint that has cached their prefix")
{
  std::string first = this->Choose(1, this->MakeQuery());
  this->table.Finish(RequestNumber(1), Outcome::Succeeded, this->now += 1s);
  for (std::uint64_t i = 2; i < 20; ++i) {
    REQUIRE(this->Choose(i, this->MakeQuery()) == first);
    this->table.Finish(RequestNumber(i), Outcome::Succeeded, this->now += 1s);
  }
}

// Guards against cache affinity that overloads the endpoint of a popular
// prefix.
TEST_CASE_METHOD(TableFixture, "A long queue outweighs a cached prefix")
{
  std::string first = this->Choose(1, this->MakeQuery());
  for (const char* name : { "a", "b", "c", "d" }) {
    this->Report(name, { .running = 4 });
  }
  this->Report(first.c_str(), { .running = 8, .queued = 40 });
  REQUIRE(this->Choose(2, this->MakeQuery()) != first);
}

// Guards against new requests to a draining endpoint, whether its load report,
// the endpoint list, its removal from the list or a response shows it.
TEST_CASE_METHOD(TableFixture, "A draining endpoint gets no new requests")
{
  this->Report("a", { .leaving = true });
  this->list[1].leaving = true;
  this->list.pop_back();
  this->table.SetEndpoints(this->list);
  REQUIRE(this->Choose(1, this->MakeQuery()) == "c");
  this->table.SetLeaving(EndpointId("c"));
  REQUIRE(this->Choose(2, this->MakeQuery()).empty());
}

// Guards against requests to an endpoint that wants none for a while, also when
// there is no other.
TEST_CASE_METHOD(TableFixture, "A blocked endpoint gets no requests")
{
  for (const char* name : { "a", "b", "c" }) {
    this->table.Block(EndpointId(name), this->now + 3s);
  }
  REQUIRE(this->Choose(1, this->MakeQuery()) == "d");
  CHECK(this->table.RemainingBlock(this->MakeQuery(), this->now) == 3s);
  this->table.Block(EndpointId("d"), this->now + 2s);
  REQUIRE(this->Choose(2, this->MakeQuery()).empty());
  this->now += 1s;
  CHECK(this->table.RemainingBlock(this->MakeQuery(), this->now) == 1s);
  // A shorter time does not end a longer one.
  this->table.Block(EndpointId("a"), this->now);
  this->now += 1s;
  CHECK(this->Choose(3, this->MakeQuery()) == "d");
  this->now += 1s;
  CHECK(this->table.RemainingBlock(this->MakeQuery(), this->now) ==
        Duration(0));
}

// Guards against herding: routers with the same old report all choose the
// endpoint that it shows as slightly less loaded.
TEST_CASE_METHOD(TableFixture,
                 "Routers with the same old report spread their requests")
{
  for (const char* name : { "a", "b", "c" }) {
    this->Report(name, { .running = 4 });
  }
  this->Report("d", { .running = 3 });
  this->now += 5s;
  std::map<std::string, int> chosen;
  for (std::uint64_t i = 0; i < 400; ++i) {
    Query query = this->MakeQuery(1000 + i);
    ++chosen[this->Choose(i, query)];
    this->table.Finish(RequestNumber(i), Outcome::Abandoned, this->now);
    this->now += 1ms;
  }
  REQUIRE(chosen.size() == 4);
  REQUIRE(chosen["d"] < 200);
}

// Guards against more requests of a router in flight at one endpoint than its
// limit.
TEST_CASE_METHOD(TableFixture, "The limit of requests per endpoint is enforced")
{
  this->table.SetMaxInFlight(2);
  for (std::uint64_t i = 0; i < 8; ++i) {
    REQUIRE_FALSE(this->Choose(i, this->MakeQuery()).empty());
  }
  REQUIRE(this->Choose(8, this->MakeQuery()).empty());
}

// Guards against several routers that each count on all free slots.
TEST_CASE_METHOD(TableFixture, "Free slots are divided among routers")
{
  for (const char* name : { "a", "b", "c", "d" }) {
    this->Report(name, {});
  }
  REQUIRE(this->table.Capacity("m", false, 1, this->now) == 40);
  REQUIRE(this->table.Capacity("m", false, 5, this->now) == 8);
  REQUIRE_FALSE(this->table.Capacity("other", false, 1, this->now));
}

// Guards against a cache estimate that stays certain although events were lost.
TEST_CASE("Lost events lower the expected number of cached tokens")
{
  PrefixCacheModel model(4);
  std::vector<PromptPrefix> prefixes{ { PrefixHash(1), Tokens(100) } };
  model.ApplyEvent({ 1, PrefixHash(1), true });
  REQUIRE(model.ExpectedCachedTokens(prefixes) == Approx(100));
  model.AdvanceSequence(6);
  REQUIRE(model.ExpectedCachedTokens(prefixes) < 50);
  model.ApplyEvent({ 3, PrefixHash(1), false });
  REQUIRE(model.ExpectedCachedTokens(prefixes) > 0);
  model.ApplyEvent({ 6, PrefixHash(1), true });
  REQUIRE(model.ExpectedCachedTokens(prefixes) == Approx(100));
  model.ApplyEvent({ 7, PrefixHash(1), false });
  REQUIRE(model.ExpectedCachedTokens(prefixes) == 0);
}

// Guards against memory that grows with the number of prompts.
TEST_CASE("The prefix cache model evicts the least recently used prefix")
{
  PrefixCacheModel model(2);
  for (std::uint64_t hash : { 1, 2, 1, 3 }) {
    model.RecordRequest({ { PrefixHash(hash), Tokens(10) } });
  }
  REQUIRE(model.Size() == 2);
  REQUIRE(model.ExpectedCachedTokens({ { PrefixHash(2), Tokens(10) } }) == 0);
  REQUIRE(model.ExpectedCachedTokens({ { PrefixHash(1), Tokens(10) } }) == 10);
}

// Guards against an overloaded range that stays with one endpoint.
TEST_CASE_METHOD(TableFixture,
                 "A range with one frequent prefix gets more endpoints")
{
  EndpointTable ranges({}, MakePrefixRangesPolicy(), Seeded());
  ranges.SetEndpoints(this->list);
  std::set<EndpointId> lastChosen;
  for (std::uint64_t i = 0; i < 2000; ++i) {
    auto choice = ranges.Choose(RequestNumber(i), this->MakeQuery(), this->now);
    ranges.Finish(RequestNumber(i), Outcome::Succeeded, this->now);
    if (i >= 1800) {
      lastChosen.insert(choice->endpoint);
    }
  }
  REQUIRE(lastChosen.size() > 1);
}

// Guards against relying on the cache that an engine had before a restart, and
// against reading its event feed from the old position.
TEST_CASE_METHOD(TableFixture, "A lower event sequence number means a restart")
{
  const EndpointId id("a");
  this->table.ApplyCacheEvents(id, { { 7, PrefixHash(1), true } }, 7);
  REQUIRE(this->table.NextEventSequence(id) == 7);
  this->table.ApplyCacheEvents(id, {}, 7);
  REQUIRE(this->table.Status(this->now)[0].prefixes == 1);
  this->table.ApplyCacheEvents(id, { { 1, PrefixHash(2), true } }, 1);
  REQUIRE(this->table.NextEventSequence(id) == 1);
  REQUIRE(this->table.Status(this->now)[0].prefixes == 1);
  REQUIRE(this->Choose(1, this->MakeQuery(2)) == "a");
}

// Guards against an endpoint that has been started anew at its address and
// stays without requests because of the failures of the process before.
TEST_CASE_METHOD(TableFixture,
                 "A new start clears what is known of an endpoint")
{
  this->list.resize(1);
  this->list[0].startTime = StartTime(1000);
  this->table.SetEndpoints(this->list);
  for (std::uint64_t i = 1; i <= 6; ++i) {
    this->Choose(i, this->MakeQuery());
  }
  for (std::uint64_t i = 1; i <= 5; ++i) {
    this->table.Finish(RequestNumber(i), Outcome::Failed, this->now);
  }
  this->Report("a", { .running = 8 });
  auto status = [this] { return this->table.Status(this->now).at(0); };
  // A list that lacks the start time says nothing.
  this->list[0].startTime = StartTime();
  this->table.SetEndpoints(this->list);
  CHECK(status().breaker == CircuitBreaker::State::Open);
  CHECK(status().report);
  this->list[0].startTime = StartTime(2000);
  this->table.SetEndpoints(this->list);
  CHECK(status().breaker == CircuitBreaker::State::Closed);
  CHECK_FALSE(status().report);
  CHECK(status().prefixes == 0);
  CHECK(status().inFlight == 1);
  // The last request to the process before does not count.
  for (std::uint64_t i = 7; i <= 10; ++i) {
    this->Choose(i, this->MakeQuery());
    this->table.Finish(RequestNumber(i), Outcome::Failed, this->now);
  }
  this->table.Finish(RequestNumber(6), Outcome::Failed, this->now);
  CHECK(status().breaker == CircuitBreaker::State::Closed);
  CHECK(status().inFlight == 0);
}

// Guards against a cold endpoint that attracts requests because it is idle.
TEST_CASE_METHOD(TableFixture, "A cold endpoint gets fewer requests")
{
  auto share = [this](std::uint32_t aRunning) {
    this->list.resize(2);
    this->list[0].isCold = true;
    this->table.SetEndpoints(this->list);
    int cold = 0;
    for (std::uint64_t i = 0; i < 400; ++i) {
      this->now += 10s;
      this->Report("a", {});
      this->Report("b", { .running = aRunning });
      Query query;
      query.serves = "m";
      cold += this->Choose(i, query) == "a" ? 1 : 0;
      this->table.Finish(RequestNumber(i), Outcome::Abandoned, this->now);
    }
    return cold;
  };
  CHECK(share(0) < 60);
  // It takes a part of the load when the warm one is full.
  CHECK(share(12) > 200);
}

// Guards against a stream that goes on at another version of software than the
// one that began it.
TEST_CASE_METHOD(TableFixture, "A query with a version gets no other endpoint")
{
  this->list[1].version = SoftwareVersion("v2");
  this->list[2].version = SoftwareVersion("v2");
  this->table.SetEndpoints(this->list);
  Query query = this->MakeQuery();
  query.version = SoftwareVersion("v2");
  std::set<std::string> chosen;
  for (std::uint64_t i = 1; i <= 40; ++i) {
    auto choice = this->table.Choose(RequestNumber(i), query, this->now);
    REQUIRE(choice);
    CHECK(choice->version == SoftwareVersion("v2"));
    chosen.insert(choice->endpoint.Get());
  }
  CHECK(chosen == std::set<std::string>{ "b", "c" });
  // Endpoints that name no version are of one version.
  query.version = SoftwareVersion();
  query.excluded = { EndpointId("a") };
  CHECK(this->Choose(100, query) == "d");
  query.version = SoftwareVersion("v3");
  CHECK(this->Choose(101, query) == "");
}

// Guards against a stream that is given up although its version may have room
// again, and against one that waits for a version that has left.
TEST_CASE_METHOD(TableFixture, "A version is there until its endpoints leave")
{
  this->list[0].version = SoftwareVersion("v2");
  this->table.SetEndpoints(this->list);
  Query query = this->MakeQuery();
  query.version = SoftwareVersion("v2");
  query.excluded = { EndpointId("a") };
  this->table.Block(EndpointId("a"), this->now + 1s);
  CHECK_FALSE(this->table.LacksVersion(query));
  SECTION("its endpoint drains")
  {
    this->list[0].leaving = true;
  }
  SECTION("its endpoint is listed no more")
  {
    this->list.erase(this->list.begin());
  }
  SECTION("another version takes over its id and address")
  {
    this->list[0].version = SoftwareVersion("v3");
  }
  SECTION("its endpoint serves something else")
  {
    this->list[0].serves = "n";
  }
  this->table.SetEndpoints(this->list);
  CHECK(this->table.LacksVersion(query));
}

// Guards against a caller that is told that its version has left by a router
// that does not have the list yet.
TEST_CASE_METHOD(TableFixture,
                 "An empty table does not tell which versions left")
{
  Query query = this->MakeQuery();
  query.version = SoftwareVersion("v2");
  this->table.SetEndpoints(this->list);
  CHECK(this->table.LacksVersion(query));
  this->table.SetEndpoints({});
  CHECK_FALSE(this->table.LacksVersion(query));
}

// Guards against an endpoint of a new version that stays without requests
// because of the failures of the process before.
TEST_CASE_METHOD(TableFixture,
                 "Another version at an endpoint's address is another process")
{
  this->list.resize(1);
  this->list[0].version = SoftwareVersion("v1");
  this->table.SetEndpoints(this->list);
  this->Report("a", { .running = 8 });
  auto hasReport = [this] {
    return this->table.Status(this->now).at(0).report.has_value();
  };
  this->table.SetEndpoints(this->list);
  CHECK(hasReport());
  this->list[0].version = SoftwareVersion("v2");
  this->table.SetEndpoints(this->list);
  CHECK_FALSE(hasReport());
}
