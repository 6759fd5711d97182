// The control group on the users' platform: it bears the losses that the
// deployment asks for, and its members change as machines come and go.

#include "platform_fleet.h"

#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

namespace lycheestand::faults {

namespace {

// Time within which a control instance that has started counts as a member
// again, and within which the service recovers ("catchUpS" and "recoveryS").
constexpr Duration kCatchUpTime = 6s;
constexpr Duration kRecoveryTime = 15s;

// Time after a loss from which a router that can reach a quorum of control
// counts as in contact with it ("contactWindowMs").
constexpr Duration kContactTime = 4s;

std::size_t
CountMatches(const std::string& aText, std::string_view aPart)
{
  std::size_t count = 0;
  for (auto at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + aPart.size())) {
    ++count;
  }
  return count;
}

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

// Guards against a group whose members are those of the first start for ever:
// with each machine that is replaced by one at another address, it would bear
// one loss less.
TEST_CASE_METHOD(GroupFixture,
                 "a machine at a new address takes the place of a lost one",
                 "[group-replaced]")
{
  this->Form();
  this->fleet.Machine(2).Kill();
  this->fleet.LoseDisk(2);
  MachineOptions options = this->Options(false);
  options.seeds = { 1, 3, 4 };
  this->fleet.StartControl(7, options);
  // The lost machine counts as one of the two that may be lost until then.
  std::this_thread::sleep_for(kCatchUpTime);
  int leader = this->FindLeader();
  REQUIRE(leader > 0);
  REQUIRE(this->fleet.PutConfiguration(leader, 5) == 200);
  int other = leader == 3 ? 4 : 3;
  this->fleet.KillAll();
  this->fleet.LoseDisk(leader);
  this->fleet.LoseDisk(other);
  for (int machine : { 1, 3, 4, 5, 6, 7 }) {
    this->fleet.StartControl(machine, options);
  }
  CHECK(this->ReadsVersion(5, 7));
}

// Guards against a router that only knows the instances in its settings: when
// none of them leads, it would never get a configuration.
TEST_CASE_METHOD(GroupFixture,
                 "a router finds a leader that its settings do not name",
                 "[group-seeds]")
{
  this->Form();
  int leader = this->FindLeader();
  REQUIRE(leader > 0);
  MachineOptions options = this->Options(false);
  options.seeds = { leader == 1 ? 2 : 1 };
  this->fleet.StartRouter(10, options);
  CHECK(WaitFor(kRecoveryTime, [this] { return this->fleet.IsReady(10); }));

  // The router's next leader is not in its settings either.
  this->fleet.Machine(leader).Kill();
  CHECK(WaitFor(kRecoveryTime,
                [this] { return this->fleet.PutConfiguration(4, 5) == 200; }));
  CHECK(WaitFor(kRecoveryTime, [this] {
    return this->fleet.ReadMetric(10, false, "lycheestand_routes_version") == 5;
  }));
}

// Guards against a control instance that ends, or refuses operators, because
// its machine has no disk.
TEST_CASE_METHOD(GroupFixture,
                 "a control instance without a disk redirects operators",
                 "[group-no-disk]")
{
  MachineOptions options = this->Options(true);
  options.toleratedLosses = 1;
  for (int machine = 1; machine <= 3; ++machine) {
    this->fleet.StartControl(machine, options);
  }
  options.hasDisk = false;
  this->fleet.StartControl(4, options);
  REQUIRE(WaitFor(kRecoveryTime, [this] {
    return this->fleet.PutConfiguration(4, 3) == 200;
  }));
  CHECK(this->ReadsVersion(3, 4));
  CHECK(this->fleet.CountVoters(1) == 3);
  int leader = this->FindLeader();
  REQUIRE(leader > 0);
  this->fleet.Machine(leader).Kill();
  CHECK(this->ReadsVersion(3, 4));
}

// Guards against a router that keeps an old configuration for seconds after it
// has lost the leader: it tried the control instances one after the other, and
// waited for each of those that don't answer.
TEST_CASE_METHOD(GroupFixture,
                 "a router finds the leader although others don't answer",
                 "[leader-search]")
{
  constexpr int kRouter = 10;
  constexpr std::array kSilentSeeds{ 8, 9 };
  this->Form();
  int leader = this->FindLeader();
  REQUIRE(leader > 0);
  for (int machine : kSilentSeeds) {
    MachineOptions gateway = this->Options(false);
    gateway.hasDisk = false;
    this->fleet.StartControl(machine, gateway);
    REQUIRE(this->ReadsVersion(3, machine));
    this->fleet.Machine(machine).Signal(SIGSTOP);
  }
  MachineOptions options = this->Options(false);
  options.seeds = { leader, kSilentSeeds[0], kSilentSeeds[1] };
  this->fleet.StartRouter(kRouter, options);
  REQUIRE(
    WaitFor(kRecoveryTime, [this] { return this->fleet.IsReady(kRouter); }));
  auto connections = [this] {
    return CountMatches(this->fleet.Machine(kRouter).Log(),
                        "\"event\":\"control_connected\"");
  };
  REQUIRE(WaitFor(kRecoveryTime, [&] { return connections() == 1; }));
  int other = leader == 1 ? 2 : 1;
  this->fleet.Machine(leader).Signal(SIGSTOP);
  this->fleet.Machine(other).Signal(SIGSTOP);
  CHECK(WaitFor(kContactTime, [&] { return connections() == 2; }));
  for (int machine : { leader, other, kSilentSeeds[0], kSilentSeeds[1] }) {
    this->fleet.Machine(machine).Signal(SIGCONT);
  }
}

namespace {

// Three machines with disks that form the group, and three without.
class GatewayFixture : public GroupFixture
{
public:
  static constexpr std::array kMembers{ 1, 2, 3 };
  static constexpr std::array kGateways{ 4, 5, 6 };

  MachineOptions Options(const std::vector<int>& aSeeds, bool aHasDisk) const
  {
    MachineOptions options;
    options.seeds = aSeeds;
    options.hasDisk = aHasDisk;
    return options;
  }

  void Form()
  {
    for (int machine : kMembers) {
      MachineOptions options = this->Options({ 1, 2, 3 }, true);
      options.bootstrap = true;
      this->fleet.StartControl(machine, options);
    }
    for (int machine : kGateways) {
      this->fleet.StartControl(machine, this->Options({ 1, 2, 3 }, false));
    }
    REQUIRE(WaitFor(kRecoveryTime, [this] {
      return this->fleet.PutConfiguration(4, 3) == 200;
    }));
  }

  void ExchangeSeeds()
  {
    for (int machine : kMembers) {
      this->fleet.Reload(machine, this->Options({ 4, 5, 6 }, true));
    }
    for (int machine : kGateways) {
      this->fleet.Reload(machine, this->Options({ 4, 5, 6 }, false));
    }
  }
};

} // namespace

// Guards against a new instance that never joins the group because its seeds
// have no disk: the group would then count the lost machine for ever, and the
// next lost disk would take the configuration with it.
TEST_CASE_METHOD(GatewayFixture,
                 "a new machine joins although its seeds are not members",
                 "[group-seeds-exchanged]")
{
  this->Form();
  this->ExchangeSeeds();
  this->fleet.Machine(3).Kill();
  this->fleet.StartControl(9, this->Options({ 4, 5, 6 }, true));
  // The lost machine counts as the one that may be lost until then.
  std::this_thread::sleep_for(kCatchUpTime);
  int leader = this->FindLeader();
  REQUIRE(leader > 0);
  CHECK(this->fleet.ReadMetric(
          leader, true, "lycheestand_control_voters_lost") == 0);
  REQUIRE(this->fleet.PutConfiguration(4, 5) == 200);

  this->fleet.Machine(1).Kill();
  this->fleet.LoseDisk(1);
  this->fleet.StartControl(1, this->Options({ 4, 5, 6 }, true));
  CHECK(this->ReadsVersion(5, 4));
  CHECK(WaitFor(kRecoveryTime,
                [this] { return this->fleet.PutConfiguration(5, 8) == 200; }));
}

// Guards against instances without a disk that never find the group after all
// of them were restarted: their seeds only name each other, so the members have
// to use the exchanged seeds.
TEST_CASE_METHOD(GatewayFixture,
                 "restarted machines without a disk find the group",
                 "[group-gateways-restarted]")
{
  this->Form();
  this->ExchangeSeeds();
  for (int machine : kGateways) {
    this->fleet.Machine(machine).Kill();
  }
  for (int machine : kGateways) {
    this->fleet.StartControl(machine, this->Options({ 4, 5, 6 }, false));
  }
  for (int machine : kGateways) {
    CHECK(this->ReadsVersion(3, machine));
  }
}

} // namespace lycheestand::faults
