#include "leader_search.h"

#include <catch2/catch.hpp>

using namespace lycheestand;
using namespace lycheestand::router;

namespace {

// Three control instances; the search begins with the second one.
class LeaderSearchFixture
{
public:
  static settings::ControlMember MakeMember(const char* aInstance)
  {
    return { InstanceId(aInstance), { aInstance, 1 }, {} };
  }

  // Returns the instance that is dialed next, or an empty id.
  InstanceId Next()
  {
    const auto* member = this->search.Next();
    return member == nullptr ? InstanceId() : member->instance;
  }

  LeaderSearch search{ { MakeMember("a"), MakeMember("b"), MakeMember("c") },
                       1 };
};

} // namespace

// Guards against instances that are dialed only after a silent one has timed
// out.
TEST_CASE_METHOD(LeaderSearchFixture,
                 "each instance is dialed without waiting for the others")
{
  CHECK(this->Next() == InstanceId("b"));
  CHECK(this->Next() == InstanceId("c"));
  CHECK(this->Next() == InstanceId("a"));
  CHECK(this->Next() == InstanceId());
}

// Guards against two links to one instance, which would both be accepted.
TEST_CASE_METHOD(LeaderSearchFixture,
                 "an instance is dialed again only after its attempt has ended")
{
  this->Next();
  this->Next();
  this->Next();
  this->search.AttemptEnded(InstanceId("c"));
  CHECK(this->Next() == InstanceId("c"));
  CHECK(this->Next() == InstanceId());
}

// Guards against a walk through all instances although one has named the
// leader.
TEST_CASE_METHOD(LeaderSearchFixture,
                 "the leader that was named is dialed next")
{
  this->Next();
  this->search.SetHint(InstanceId("a"));
  CHECK(this->Next() == InstanceId("a"));
  CHECK(this->Next() == InstanceId("c"));
}

// Guards against a search that stops at a leader that can't be dialed.
TEST_CASE_METHOD(LeaderSearchFixture,
                 "a hint to an unknown or dialed instance is ignored")
{
  this->Next();
  this->search.SetHint(InstanceId("b"));
  CHECK(this->Next() == InstanceId("c"));
  this->search.SetHint(InstanceId("x"));
  CHECK(this->Next() == InstanceId("a"));
}

// Guards against an index outside the list when the instances change.
TEST_CASE_METHOD(LeaderSearchFixture,
                 "the search continues with the new instances")
{
  this->Next();
  this->search.SetMembers({ MakeMember("d"), MakeMember("c") });
  CHECK(this->Next() == InstanceId("c"));
  CHECK(this->Next() == InstanceId("d"));
  this->search.AttemptEnded(InstanceId("d"));
  this->search.SetMembers({ MakeMember("d") });
  CHECK(this->Next() == InstanceId("d"));
}
