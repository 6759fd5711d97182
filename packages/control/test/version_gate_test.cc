#include "version_gate.h"

#include <catch2/catch.hpp>

using namespace lycheestand;
using namespace lycheestand::control;
using namespace std::chrono_literals;

namespace {

// The gate of an instance that has just become the leader.
class VersionGateFixture
{
public:
  VersionGateFixture() { this->gate.Reset(this->start); }

  Delivery Decide(Duration aTime = 0s, bool aIsIncomplete = true)
  {
    return this->gate.Decide(aIsIncomplete, this->start + aTime);
  }

  const TimePoint start{ 100s };
  VersionGate gate;
};

} // namespace

// Guards against commands that stop members of an earlier build, and against a
// group that stops to commit them once it has begun.
TEST_CASE_METHOD(VersionGateFixture,
                 "Commands need full support or versions in the state")
{
  CHECK_FALSE(this->gate.IsOpen());
  this->gate.Update(StreamSupport::Missing, false);
  CHECK_FALSE(this->gate.IsOpen());
  this->gate.Update(StreamSupport::Complete, false);
  CHECK(this->gate.IsOpen());
  this->gate.Update(StreamSupport::Missing, true);
  CHECK(this->gate.IsOpen());
  this->gate.Update(StreamSupport::Unknown, true);
  CHECK(this->gate.IsOpen());
}

// Guards against a fleet whose first streams begin without a version because a
// member has not told yet that it knows them.
TEST_CASE_METHOD(VersionGateFixture,
                 "The first list waits while the support is unknown")
{
  this->gate.Update(StreamSupport::Unknown, false);
  CHECK(this->Decide() == Delivery::Wait);
  CHECK(this->Decide(3999ms) == Delivery::Wait);
  CHECK(this->Decide(4s) == Delivery::Unversioned);
}

// Guards against routers without endpoints during an upgrade of control.
TEST_CASE_METHOD(VersionGateFixture,
                 "A list is passed on at once while support is missing")
{
  this->gate.Update(StreamSupport::Missing, false);
  CHECK(this->Decide() == Delivery::Unversioned);
}

// Guards against a list without versions that waits for members.
TEST_CASE_METHOD(VersionGateFixture, "A list with nothing to admit never waits")
{
  this->gate.Update(StreamSupport::Unknown, false);
  CHECK(this->Decide(0s, false) == Delivery::Versioned);
}

// Guards against routers that lose all endpoints between the end of an upgrade
// and the commits of their versions, and against endpoints without versions for
// good.
TEST_CASE_METHOD(VersionGateFixture,
                 "Endpoints stay without versions until all are admitted")
{
  this->gate.Update(StreamSupport::Missing, false);
  CHECK(this->Decide(0s) == Delivery::Unversioned);
  this->gate.Update(StreamSupport::Unknown, false);
  CHECK(this->Decide(10s) == Delivery::Unversioned);
  this->gate.Update(StreamSupport::Complete, false);
  CHECK(this->Decide(20s) == Delivery::Unversioned);
  this->gate.Update(StreamSupport::Complete, true);
  CHECK(this->Decide(23s) == Delivery::Unversioned);
  SECTION("all are admitted")
  {
    CHECK(this->Decide(23s, false) == Delivery::Versioned);
    CHECK(this->Decide(23s) == Delivery::Versioned);
  }
  SECTION("one is not admitted in time")
  {
    CHECK(this->Decide(24s) == Delivery::Versioned);
  }
}
