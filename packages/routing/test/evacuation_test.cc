#include <catch2/catch.hpp>
#include <lycheestand/routing.h>
#include <random>

using namespace lycheestand;
using namespace lycheestand::routing;
using namespace std::chrono_literals;

namespace {

// A router in the zone z1, and two endpoints in each of the zones z1 and z2.
class EvacuationFixture
{
public:
  EvacuationFixture()
  {
    for (const char* name : { "a1", "b1", "a2", "b2" }) {
      this->list.push_back({ EndpointId(name),
                             ZoneId(std::string("z") + name[1]),
                             {},
                             "s",
                             true });
    }
    this->table.SetEndpoints(this->list);
  }

  Query MakeQuery(std::set<EndpointId> aExcluded = {}) const
  {
    Query query;
    query.serves = "s";
    query.isService = true;
    query.excluded = std::move(aExcluded);
    return query;
  }

  std::string Choose(std::uint64_t aRequest, const Query& aQuery)
  {
    auto choice =
      this->table.Choose(RequestNumber(aRequest), aQuery, this->now);
    return choice ? choice->endpoint.Get() : "";
  }

  std::optional<unsigned> Capacity() const
  {
    return this->table.Capacity("s", true, 1, this->now);
  }

  TimePoint now = TimePoint(1000s);
  std::vector<Endpoint> list;
  EndpointTable table{ TableOptions{ .zone = ZoneId("z1"), .maxInFlight = 50 },
                       MakeCostPolicy(),
                       [engine =
                          std::mt19937_64(7)](std::uint64_t aBound) mutable {
                         return aBound == 0 ? engine() : engine() % aBound;
                       } };
};

} // namespace

// Guards against requests to an evacuated zone: first attempts, although the
// zone is the router's own, and retries and resumes, for which the endpoints of
// the other zone are excluded or fail.
TEST_CASE_METHOD(EvacuationFixture,
                 "The endpoints of an evacuated zone get no requests")
{
  this->table.SetEvacuatedZones({ ZoneId("z1") });
  CHECK(this->table.IsEvacuated(EndpointId("a1")));
  CHECK_FALSE(this->table.IsEvacuated(EndpointId("a2")));
  CHECK_FALSE(this->table.IsEvacuated(EndpointId("none")));
  for (std::uint64_t i = 0; i < 50; ++i) {
    std::string chosen = this->Choose(i, this->MakeQuery());
    REQUIRE((chosen == "a2" || chosen == "b2"));
    this->table.Finish(RequestNumber(i), Outcome::Failed, this->now);
  }
  std::set<EndpointId> excluded{ EndpointId("a2") };
  CHECK(this->Choose(60, this->MakeQuery(excluded)) == "b2");
  excluded.insert(EndpointId("b2"));
  CHECK(this->Choose(61, this->MakeQuery(excluded)).empty());
  // An endpoint that the list names later is in the zone as well.
  this->list.push_back({ EndpointId("c1"), ZoneId("z1"), {}, "s", true });
  this->table.SetEndpoints(this->list);
  CHECK(this->Choose(62, this->MakeQuery(excluded)).empty());
}

// Guards against a Retry-After for an endpoint that gets no requests, and
// against requests that wait for the capacity of an evacuated zone.
TEST_CASE_METHOD(EvacuationFixture, "An evacuated zone has no capacity")
{
  auto all = this->Capacity();
  REQUIRE(all);
  this->table.SetEvacuatedZones({ ZoneId("z1") });
  CHECK(this->Capacity() == *all / 2);
  this->table.Block(EndpointId("a1"), this->now + 3s);
  CHECK(this->table.RemainingBlock(this->MakeQuery(), this->now) ==
        Duration(0));
  this->table.SetEvacuatedZones({ ZoneId("z1"), ZoneId("z2") });
  CHECK_FALSE(this->Capacity());
  CHECK(this->Choose(1, this->MakeQuery()).empty());
}

// Guards against an evacuation that loses the state of endpoints: their
// requests in flight end as usual, and they serve again once the zone is
// restored.
TEST_CASE_METHOD(EvacuationFixture, "A restored zone gets requests again")
{
  const Query ownZone = this->MakeQuery({ EndpointId("a2"), EndpointId("b2") });
  std::string first = this->Choose(1, ownZone);
  REQUIRE_FALSE(first.empty());
  this->table.SetEvacuatedZones({ ZoneId("z1") });
  for (const auto& status : this->table.Status(this->now)) {
    bool isFirst = status.endpoint.endpoint.Get() == first;
    CHECK(status.inFlight == (isFirst ? 1 : 0));
    CHECK(status.evacuated == (status.endpoint.zone == ZoneId("z1")));
  }
  this->table.Finish(RequestNumber(1), Outcome::Succeeded, this->now);
  CHECK(this->Choose(2, ownZone).empty());
  this->table.SetEvacuatedZones({});
  CHECK_FALSE(this->Choose(3, ownZone).empty());
}
