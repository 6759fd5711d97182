// The control group on the users' platform: it bears the losses that the
// deployment asks for, and its members change as machines come and go.

#include "platform_fleet.h"

#include <catch2/catch.hpp>

namespace lycheestand::faults {

namespace {

// Time within which a control instance that has started counts as a member
// again, and within which the service recovers ("catchUpS" and "recoveryS").
constexpr Duration kCatchUpTime = 6s;
constexpr Duration kRecoveryTime = 15s;

// Six machines with disks, two in each availability zone, and three seeds. Two
// machines may be lost at once.
class GroupFixture
{
public:
  MachineOptions Options(bool aIsFirstStart) const
  {
    MachineOptions options;
    options.seeds = { 1, 2, 3 };
    options.bootstrap = aIsFirstStart;
    options.toleratedLosses = 2;
    return options;
  }

  void StartAll(bool aIsFirstStart)
  {
    for (int machine = 1; machine <= 6; ++machine) {
      this->fleet.StartControl(machine, this->Options(aIsFirstStart));
    }
  }

  // Starts the fleet and commits a configuration.
  void Form()
  {
    this->StartAll(true);
    REQUIRE(WaitFor(kRecoveryTime, [this] {
      return this->fleet.PutConfiguration(1, 3) == 200;
    }));
    CHECK(WaitFor(kCatchUpTime, [this] { return this->HasVoters(1, 5); }));
  }

  bool HasVoters(int aMachine, int aCount)
  {
    return this->fleet.CountVoters(aMachine) >= aCount;
  }

  bool ReadsVersion(std::int64_t aVersion, int aMachine)
  {
    return WaitFor(kRecoveryTime, [this, aVersion, aMachine] {
      return this->fleet.ReadVersion(aMachine) == aVersion;
    });
  }

  int FindLeader()
  {
    for (int machine = 1; machine <= 7; ++machine) {
      if (this->fleet.IsLeader(machine)) {
        return machine;
      }
    }
    return -1;
  }

  PlatformFleet fleet{ "group" };
};

} // namespace

// Guards against a group that is too small for the tolerated losses: with three
// members, the loss of two disks leaves no quorum, and the acknowledged
// configuration is gone for good.
TEST_CASE_METHOD(GroupFixture,
                 "the configuration survives the loss of two disks",
                 "[group-two-disks]")
{
  this->Form();
  int leader = this->FindLeader();
  REQUIRE(leader > 0);
  int other = leader == 1 ? 2 : 1;
  REQUIRE(this->fleet.PutConfiguration(leader, 5) == 200);
  this->fleet.KillAll();
  this->fleet.LoseDisk(leader);
  this->fleet.LoseDisk(other);
  this->StartAll(false);
  CHECK(this->ReadsVersion(5, 3));
  REQUIRE(WaitFor(kRecoveryTime, [this] {
    return this->fleet.PutConfiguration(3, 8) == 200;
  }));
  CHECK(this->ReadsVersion(8, leader));
}

} // namespace lycheestand::faults
