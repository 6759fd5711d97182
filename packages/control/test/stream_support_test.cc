#include "stream_support.h"

#include <catch2/catch.hpp>

using namespace lycheestand;
using namespace lycheestand::control;
using namespace std::chrono_literals;

namespace {

// The tracker of an instance that has just started, in a group with a voter and
// a learner.
class StreamSupportFixture
{
public:
  StreamSupportFixture()
  {
    this->members.voters = { { this->self, DiskId(1) },
                             { this->voter, DiskId(2) } };
    this->members.learners = { { this->learner, DiskId(3) } };
  }

  void Connect(const InstanceId& aInstance, bool aIsSupported)
  {
    this->tracker.LinkUp(aInstance);
    this->tracker.Record(aInstance, aIsSupported);
  }

  StreamSupport Find(Duration aTime = 0s) const
  {
    return this->tracker.Find(this->members, this->start + aTime);
  }

  const InstanceId self{ "c1" };
  const InstanceId voter{ "c2" };
  const InstanceId learner{ "c3" };
  const TimePoint start{ 100s };
  consensus::Configuration members;
  StreamSupportTracker tracker{ this->self, this->start };
};

} // namespace

// Guards against a group of one instance that waits for others.
TEST_CASE_METHOD(StreamSupportFixture,
                 "An instance alone needs no news of others")
{
  this->members = {};
  this->members.voters = { { this->self, DiskId(1) } };
  CHECK(this->Find() == StreamSupport::Complete);
}

// Guards against commands that stop a member of an earlier build, voter or
// learner.
TEST_CASE_METHOD(StreamSupportFixture,
                 "Support is complete once all members in contact have told it")
{
  CHECK(this->Find() == StreamSupport::Unknown);
  this->Connect(this->voter, true);
  this->tracker.LinkUp(this->learner);
  CHECK(this->Find() == StreamSupport::Unknown);
  CHECK(this->Find(1h) == StreamSupport::Unknown);
  this->tracker.Record(this->learner, false);
  CHECK(this->Find() == StreamSupport::Missing);
  this->tracker.Record(this->learner, true);
  CHECK(this->Find() == StreamSupport::Complete);
  this->tracker.Record(this->voter, false);
  CHECK(this->Find() == StreamSupport::Missing);
}

// Guards against versions that are never told apart because of a machine that
// is gone, and against a member that is taken for one before it can connect.
TEST_CASE_METHOD(StreamSupportFixture,
                 "A member out of contact does not count after a second")
{
  this->Connect(this->voter, true);
  CHECK(this->Find(999ms) == StreamSupport::Unknown);
  CHECK(this->Find(1s) == StreamSupport::Complete);
  this->Connect(this->learner, false);
  CHECK(this->Find(10s) == StreamSupport::Missing);
  this->tracker.ContactLost(this->learner, this->start + 10s);
  CHECK(this->Find(10999ms) == StreamSupport::Unknown);
  CHECK(this->Find(11s) == StreamSupport::Complete);
}

// Guards against the belief that an instance whose process was replaced by one
// of an earlier build still applies the commands.
TEST_CASE_METHOD(StreamSupportFixture, "A new link has to tell the support")
{
  this->Connect(this->voter, true);
  this->Connect(this->learner, true);
  this->tracker.LinkUp(this->voter);
  CHECK(this->Find() == StreamSupport::Unknown);
  this->tracker.Record(this->voter, false);
  CHECK(this->Find() == StreamSupport::Missing);
}

// Guards against an instance outside the group, which applies no commands, that
// holds the group up.
TEST_CASE_METHOD(StreamSupportFixture,
                 "Instances outside the group don't count")
{
  this->Connect(this->voter, true);
  this->Connect(this->learner, true);
  this->Connect(InstanceId("c4"), false);
  CHECK(this->Find() == StreamSupport::Complete);
}
