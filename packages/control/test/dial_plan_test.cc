#include "dial_plan.h"

#include <catch2/catch.hpp>

using namespace lycheestand;
using namespace lycheestand::control;

namespace {

// The plan of instance "b", which wants links with "a" and "c".
class DialPlanFixture
{
public:
  DialPlanFixture()
  {
    this->plan.SetTargets({ { InstanceId("a"), { "10.0.0.1", 1 } },
                            { InstanceId("b"), { "10.0.0.2", 1 } },
                            { InstanceId("c"), { "10.0.0.3", 1 } } });
  }

  // Returns the ids of the due instances, in order.
  std::string Due(bool aIsMember = true)
  {
    std::string out;
    for (const auto& [instance, address] :
         this->plan.TakeDue(this->now, aIsMember)) {
      out += instance.Get();
    }
    return out;
  }

  DialPlan plan{ InstanceId("b") };
  TimePoint now{ std::chrono::seconds(1000) };
};

} // namespace

// Guards against two links for each pair of members.
TEST_CASE_METHOD(DialPlanFixture, "the member with the lower id opens the link")
{
  CHECK(this->Due() == "c");
  CHECK(this->Due() == "");
}

// Guards against a pair that stays without a link because the member with the
// lower id does not know the address of the other one.
TEST_CASE_METHOD(DialPlanFixture, "the other member takes over after a while")
{
  CHECK(this->Due() == "c");
  this->now += std::chrono::milliseconds(900);
  CHECK(this->Due() == "a");
}

// Guards against a new instance that waits for members which do not know it.
TEST_CASE_METHOD(DialPlanFixture, "a non-member opens all links at once")
{
  CHECK(this->Due(false) == "ac");
}

// Guards against attempts without a pause, and against none after a failure.
TEST_CASE_METHOD(DialPlanFixture, "a failed attempt is repeated after a delay")
{
  CHECK(this->Due() == "c");
  this->plan.DialEnded(InstanceId("c"), this->now);
  CHECK(this->Due() == "");
  this->now += std::chrono::milliseconds(100);
  CHECK(this->Due() == "c");
}

// Guards against a second link while there is one, and against none after the
// last one has closed.
TEST_CASE_METHOD(DialPlanFixture, "a link is opened only if there is none")
{
  this->plan.LinkUp(InstanceId("c"));
  this->plan.LinkUp(InstanceId("c"));
  this->plan.LinkDown(InstanceId("c"), this->now);
  this->now += std::chrono::milliseconds(500);
  CHECK(this->Due() == "");
  this->plan.LinkDown(InstanceId("c"), this->now);
  this->now += std::chrono::milliseconds(100);
  CHECK(this->Due() == "c");
}
