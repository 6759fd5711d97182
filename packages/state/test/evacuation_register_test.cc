#include <catch2/catch.hpp>
#include <lycheestand/state.h>

using namespace lycheestand;
using namespace lycheestand::state;

namespace {

// A state machine of a fleet with endpoints in the zones a, b and c.
class EvacuationFixture
{
public:
  Outcome Set(const char* aChange,
              const char* aZone,
              bool aIsEvacuated,
              bool aIsKnown = true)
  {
    return this->machine.Apply(SetZoneEvacuation{ ChangeId(aChange),
                                                  ZoneId(aZone),
                                                  aIsEvacuated,
                                                  aIsKnown,
                                                  this->zonesWithEndpoints });
  }

  std::set<ZoneId> Zones() const { return this->machine.Evacuations().Zones(); }

  std::uint64_t RevisionNumber() const
  {
    return this->machine.CurrentRevision().Get();
  }

  std::set<ZoneId> zonesWithEndpoints{ ZoneId("a"), ZoneId("b"), ZoneId("c") };
  const Outcome done = Done{};
  const Outcome unknownZone = Rejected{ Rejection::UnknownZone };
  const Outcome lastZone = Rejected{ Rejection::LastZone };
  StateMachine machine;
};

} // namespace

// Guards against an order that routers never get because the revision stays,
// and against pushes to all routers for an order that changes nothing.
TEST_CASE_METHOD(EvacuationFixture,
                 "Only an evacuation that changes something has a new revision")
{
  CHECK(this->Set("", "a", true) == this->done);
  CHECK(this->RevisionNumber() == 1);
  CHECK(this->Zones() == std::set<ZoneId>{ ZoneId("a") });
  CHECK(this->Set("", "a", true) == this->done);
  CHECK(this->Set("other", "a", true) == this->done);
  CHECK(this->Set("", "b", false) == this->done);
  CHECK(this->RevisionNumber() == 1);
  const auto& evacuation =
    this->machine.Evacuations().Evacuations().at(ZoneId("a"));
  CHECK(evacuation == Evacuation{ Revision(1), ChangeId() });
  CHECK(this->Set("", "a", false) == this->done);
  CHECK(this->RevisionNumber() == 2);
  CHECK(this->Zones().empty());
  // The platform's orders have no change id, so the same order works again.
  CHECK(this->Set("", "a", true) == this->done);
  CHECK(this->Zones().size() == 1);
}

// Guards against a delayed, resent order that evacuates a zone again after an
// operator has restored it.
TEST_CASE_METHOD(EvacuationFixture, "A resent evacuation has no second effect")
{
  CHECK(this->Set("c1", "a", true) == this->done);
  CHECK(this->Set("c2", "a", false) == this->done);
  // The leader that gets the resent order knows other zones.
  this->zonesWithEndpoints = { ZoneId("a") };
  CHECK(this->Set("c1", "a", true, false) == this->done);
  CHECK(this->Zones().empty());
  CHECK(this->RevisionNumber() == 2);
  CHECK(this->Set("c1", "b", true) ==
        Outcome(Rejected{ Rejection::ChangeIdReused }));
}

// Guards against the evacuation of all endpoints, also by two orders that were
// proposed before either was applied.
TEST_CASE_METHOD(EvacuationFixture, "The last zone with endpoints is kept")
{
  CHECK(this->Set("", "a", true) == this->done);
  CHECK(this->Set("", "b", true) == this->done);
  CHECK(this->Set("", "c", true) == this->lastZone);
  CHECK(this->Zones().size() == 2);
  // A zone without endpoints is not the last one, and a view without endpoints
  // is no reason to refuse.
  CHECK(this->Set("", "d", true) == this->done);
  this->zonesWithEndpoints.clear();
  CHECK(this->Set("", "c", true) == this->done);
  CHECK(this->Set("", "c", true) == this->done);
}

// Guards against a misspelt zone that is acknowledged, and against an
// evacuation that can't be revoked once nothing names the zone any more.
TEST_CASE_METHOD(EvacuationFixture, "An unknown zone is rejected")
{
  CHECK(this->Set("", "aa", true, false) == this->unknownZone);
  CHECK(this->Set("", "aa", false, false) == this->unknownZone);
  CHECK(this->RevisionNumber() == 0);
  CHECK(this->Set("", "a", true) == this->done);
  CHECK(this->Set("", "a", false, false) == this->done);
  CHECK(this->Zones().empty());
}
