#include <catch2/catch.hpp>
#include <lycheestand/membership.h>

using namespace lycheestand;
using namespace lycheestand::membership;
using namespace std::chrono_literals;

namespace {

// A detector, its clock, and one instance.
class DetectorFixture
{
public:
  void SendHeartbeats(int aTimes)
  {
    for (int i = 0; i < aTimes; ++i) {
      this->now += 1s;
      this->detector.Heartbeat(this->id, this->now);
    }
  }

  Health GetHealth() const
  {
    return this->detector.GetHealth(this->id, this->now);
  }

  InstanceId id{ "r1" };
  TimePoint now = TimePoint(1000s);
  FailureDetector detector;
};

Instance
MakeInstance(const char* aName, std::uint32_t aInFlight = 0)
{
  return { InstanceId(aName), ZoneId("z1"), { aName, 80 },
           aInFlight,         false,        true };
}

} // namespace

// Guards against an instance that is suspected after one lost heartbeat, or
// that stays alive or known long after its last heartbeat.
TEST_CASE_METHOD(DetectorFixture, "Three missed heartbeats raise a suspicion")
{
  this->SendHeartbeats(3);
  this->now += 3s;
  REQUIRE(this->GetHealth() == Health::Alive);
  this->now += 500ms;
  REQUIRE(this->GetHealth() == Health::Suspect);
  REQUIRE(this->detector.RemoveExpired(this->now).empty());
  this->now += 10min;
  REQUIRE(this->detector.RemoveExpired(this->now).size() == 1);
  REQUIRE(this->GetHealth() == Health::Gone);
}

// Guards against health that flaps because of a lossy link.
TEST_CASE_METHOD(DetectorFixture, "A false suspicion extends the timeout")
{
  this->SendHeartbeats(1);
  this->now += 4s;
  REQUIRE(this->GetHealth() == Health::Suspect);
  this->detector.Heartbeat(this->id, this->now);
  REQUIRE(this->GetHealth() == Health::Suspect);
  this->SendHeartbeats(1);
  REQUIRE(this->GetHealth() == Health::Alive);
  this->now += 4s;
  REQUIRE(this->GetHealth() == Health::Alive);
  this->SendHeartbeats(400);
  this->now += 4s;
  REQUIRE(this->GetHealth() == Health::Suspect);
}

// Guards against a restarted instance that gets no callers because it is still
// suspected.
TEST_CASE_METHOD(DetectorFixture, "A new connection clears a suspicion")
{
  this->SendHeartbeats(1);
  this->now += 4s;
  this->detector.Join(this->id, this->now);
  REQUIRE(this->GetHealth() == Health::Alive);
}

// Guards against a receiver whose view differs from the sender's.
TEST_CASE("A receiver that applies deltas has the sender's view")
{
  View sender;
  View receiver;
  sender.Update({ MakeInstance("a"), MakeInstance("b") }, {});
  REQUIRE(receiver.Apply(sender.DeltaSince(receiver.Version())));
  sender.Update({ MakeInstance("a", 5), MakeInstance("b") }, {});
  REQUIRE(sender.DeltaSince(receiver.Version()).instances.size() == 1);
  sender.Update({ MakeInstance("a", 5) },
                { { EndpointId("e"), ZoneId("z"), {}, "m" } });
  auto delta = sender.DeltaSince(receiver.Version());
  REQUIRE(delta.base == receiver.Version());
  REQUIRE(delta.removedInstances.size() == 1);
  REQUIRE(receiver.Apply(delta));
  REQUIRE(receiver.Instances() == sender.Instances());
  REQUIRE(receiver.Endpoints() == sender.Endpoints());
  REQUIRE_FALSE(sender.Update(sender.Instances(), sender.Endpoints()));
}

// Guards against a delta that is applied to a view with another version, for
// example after a change of leader.
TEST_CASE("A delta for another version is not applied")
{
  View sender;
  sender.Update({ MakeInstance("a") }, {});
  sender.Update({ MakeInstance("a", 5) }, {});
  View receiver;
  REQUIRE_FALSE(receiver.Apply(sender.DeltaSince(ViewVersion(1))));
  REQUIRE_FALSE(sender.DeltaSince(ViewVersion(9)).base);
}

// Guards against a delta for every small change in load.
TEST_CASE("A published load changes in steps with a margin")
{
  REQUIRE(QuantizeLoad(3, 0) == 3);
  REQUIRE(QuantizeLoad(110, 100) == 100);
  REQUIRE(QuantizeLoad(80, 100) == 100);
  REQUIRE(QuantizeLoad(130, 100) == 130);
  REQUIRE(QuantizeLoad(2, 100) == 2);
}

// Guards against callers that are sent to instances that cannot serve them.
TEST_CASE("Entry weights prefer the zone and idle instances")
{
  auto otherZone = MakeInstance("far");
  otherZone.zone = ZoneId("z2");
  auto notAlive = MakeInstance("dead");
  notAlive.alive = false;
  auto entries = ComputeEntryWeights(
    { MakeInstance("idle"), MakeInstance("busy", 32), otherZone, notAlive },
    ZoneId("z1"));
  REQUIRE(entries.size() == 3);
  REQUIRE(entries[0].weight == 100);
  REQUIRE(entries[1].weight == 50);
  REQUIRE(entries[2].weight == 50);
}

namespace {

// Five routers in each of two zones.
std::vector<Instance>
MakeTwoZones()
{
  std::vector<Instance> out;
  for (const char* zone : { "a", "b" }) {
    for (int i = 1; i <= 5; ++i) {
      Instance entry;
      entry.instance = InstanceId(std::string(zone) + std::to_string(i));
      entry.zone = ZoneId(zone);
      entry.callerAddress = { entry.instance.Get(), 80 };
      entry.alive = true;
      out.push_back(entry);
    }
  }
  return out;
}

} // namespace

// Guards against callers that are sent to a router which already gets more than
// it can serve.
TEST_CASE("entry addresses leave overloaded routers out while there are others")
{
  auto routers = MakeTwoZones();
  routers[0].overloaded = true;
  auto selected = SelectEntryInstances(routers, ZoneId("a"), {});
  CHECK(selected.size() == 4);
  CHECK(ComputeEntryWeights(routers, ZoneId("a")).size() == 9);
  for (std::size_t i = 1; i < 4; ++i) {
    routers[i].overloaded = true;
  }
  // One router is too few; callers get those of all zones.
  CHECK(SelectEntryInstances(routers, ZoneId("a"), {}).size() == 6);
  for (auto& router : routers) {
    router.overloaded = true;
  }
  CHECK(SelectEntryInstances(routers, ZoneId("a"), {}).size() == 5);
}

// Guards against routers that turn callers away together, which adds to the
// load of the rest.
TEST_CASE("a router may rest while most others of its zone are not overloaded")
{
  auto routers = MakeTwoZones();
  CHECK(CanRest(routers, InstanceId("a1")));
  routers[1].overloaded = true;
  CHECK(CanRest(routers, InstanceId("a1")));
  routers[2].overloaded = true;
  CHECK_FALSE(CanRest(routers, InstanceId("a1")));
  CHECK(CanRest(routers, InstanceId("b1")));
  CHECK_FALSE(CanRest(routers, InstanceId("unknown")));
  routers.resize(1);
  CHECK_FALSE(CanRest(routers, InstanceId("a1")));
}
