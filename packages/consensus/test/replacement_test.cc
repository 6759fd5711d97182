#include "simulation.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace lycheestand;
using namespace lycheestand::consensus;

namespace {

// A group of five voters and a learner, in three availability zones, that was
// formed by three of the instances. It has to bear the loss of two.
class ReplacementFixture
{
public:
  ReplacementFixture()
    : simulation(6, 11, { 3, 5, 3 })
  {
    REQUIRE(this->simulation.Commit("first"));
    REQUIRE(this->WaitForFullGroup());
  }

  ~ReplacementFixture() { CHECK(this->simulation.violations.empty()); }

  Simulation::Host& Host(std::size_t aHost)
  {
    return this->simulation.hosts[aHost];
  }

  const Configuration& Members()
  {
    return this->Host(*this->simulation.Leader()).node->Members();
  }

  Member MemberOf(std::size_t aHost)
  {
    return { this->Host(aHost).instance, this->Host(aHost).disk.state.disk };
  }

  bool IsVoter(std::size_t aHost)
  {
    return this->simulation.Leader() &&
           this->Members().voters.contains(this->MemberOf(aHost));
  }

  bool WaitForFullGroup()
  {
    return this->simulation.RunUntil(
      [this] { return this->simulation.HasFullGroup(); });
  }

  // Returns a voter that does not lead.
  std::size_t AnyFollower()
  {
    std::size_t host = 0;
    while (host == this->simulation.Leader() || !this->IsVoter(host)) {
      ++host;
    }
    return host;
  }

  std::size_t Standby()
  {
    std::size_t host = 0;
    while (this->IsVoter(host)) {
      ++host;
    }
    return host;
  }

  Simulation simulation;
};

} // namespace

// Guards against a group that stays as small as its founders and so loses its
// quorum with two of them.
TEST_CASE_METHOD(ReplacementFixture,
                 "the group grows to its number of voters over all zones")
{
  CHECK(this->Members().voters.size() == 5);
  CHECK(this->Members().learners.size() == 1);
  std::map<ZoneId, int> votersByZone;
  for (const auto& voter : this->Members().voters) {
    ++votersByZone[this->Members().locations.at(voter.instance).zone];
  }
  for (const auto& [zone, count] : votersByZone) {
    CHECK(count <= 2);
  }
}

// Guards against the loss of an acknowledged entry, and of the quorum, when all
// instances lose power and two of them their disks.
TEST_CASE_METHOD(ReplacementFixture, "two lost disks lose nothing")
{
  for (unsigned round = 0; round < 20; ++round) {
    std::string command = "c" + std::to_string(round);
    REQUIRE(this->simulation.Commit(command));
    std::size_t leader = *this->simulation.Leader();
    std::size_t other = this->AnyFollower();
    for (std::size_t host = 0; host < 6; ++host) {
      this->simulation.Crash(host);
    }
    this->simulation.LoseDisk(leader);
    this->simulation.LoseDisk(other);
    for (std::size_t host = 0; host < 6; ++host) {
      this->simulation.Start(host);
    }
    REQUIRE(this->WaitForFullGroup());
    REQUIRE(this->simulation.RunUntil(
      [this] { return this->simulation.HasConverged(); }));
    CHECK(this->Host(leader).applied.back() == command);
  }
}

// Guards against a voter that is gone for good and still counts towards the
// quorum: after two more losses the group would stand still.
TEST_CASE_METHOD(ReplacementFixture, "a learner replaces a voter that is gone")
{
  std::size_t lost = this->AnyFollower();
  std::size_t standby = this->Standby();
  this->simulation.Crash(lost);
  REQUIRE(this->simulation.RunUntil(
    [this, standby, lost] {
      return this->IsVoter(standby) && !this->IsVoter(lost);
    },
    Milliseconds(6000)));
  CHECK(this->simulation.Commit("after"));

  this->simulation.Start(lost);
  REQUIRE(this->simulation.RunUntil([this, lost] {
    return this->Members().learners.contains(this->MemberOf(lost));
  }));
  CHECK(this->simulation.RunUntil(
    [this] { return this->simulation.HasConverged(); }));
}

// Guards against a group that counts a voter which is gone and that nothing can
// replace, without an operator being able to see it.
TEST_CASE_METHOD(ReplacementFixture,
                 "the leader names the voters that are lost")
{
  auto lostVoters = [this](std::size_t aHost) {
    return this->Host(aHost).node->LostVoters();
  };
  std::size_t lost = this->AnyFollower();
  CHECK(lostVoters(*this->simulation.Leader()).empty());
  this->simulation.Crash(this->Standby());
  this->simulation.Crash(lost);
  REQUIRE(this->simulation.RunUntil([&] {
    return lostVoters(*this->simulation.Leader()) ==
           std::set<Member>{ this->MemberOf(lost) };
  }));
  CHECK(this->IsVoter(lost));

  this->simulation.Start(lost);
  CHECK(this->simulation.RunUntil(
    [&] { return lostVoters(*this->simulation.Leader()).empty(); }));
}

// Guards against a group in which only the first instances can be members, so
// that each machine that is replaced makes it smaller for good.
TEST_CASE_METHOD(ReplacementFixture,
                 "new instances take the place of lost ones")
{
  for (int round = 0; round < 4; ++round) {
    std::size_t lost = this->AnyFollower();
    this->simulation.Crash(lost);
    std::size_t added = this->simulation.AddHost();
    this->simulation.Start(added);
    REQUIRE(this->WaitForFullGroup());
    CHECK(this->simulation.Commit("round " + std::to_string(round)));
  }
  std::size_t lost = this->AnyFollower();
  this->simulation.Crash(lost);
  this->simulation.Crash(this->AnyFollower());
  CHECK(this->simulation.Commit("after two more losses"));
}

// Guards against a voter that was replaced while it was partitioned and then
// never becomes a member again, or deposes the leader with its old log.
TEST_CASE_METHOD(ReplacementFixture,
                 "a voter that was replaced during a partition joins again")
{
  std::size_t isolated = this->AnyFollower();
  this->simulation.Isolate(isolated);
  REQUIRE(this->simulation.RunUntil(
    [this, isolated] { return !this->IsVoter(isolated); }));
  REQUIRE(this->WaitForFullGroup() == false);
  std::size_t leader = *this->simulation.Leader();
  Term term = this->Host(leader).node->CurrentTerm();
  this->simulation.network.blockedLinks.clear();
  REQUIRE(this->simulation.RunUntil([this, isolated] {
    return this->Members().Contains(this->MemberOf(isolated)) &&
           this->simulation.HasConverged();
  }));
  CHECK(this->simulation.Leader() == leader);
  CHECK(this->Host(leader).node->CurrentTerm() == term);
}

// Guards against the loss of the quorum for good when voters are partitioned
// and others lose their disks meanwhile: after the partition all that is left
// must still form a quorum.
TEST_CASE_METHOD(ReplacementFixture,
                 "two disks lost during a partition of others lose nothing")
{
  REQUIRE(this->simulation.Commit("before"));
  std::vector<std::size_t> followers;
  for (std::size_t host = 0; host < 6; ++host) {
    if (this->IsVoter(host) && host != this->simulation.Leader()) {
      followers.push_back(host);
    }
  }
  this->simulation.Isolate(followers[0]);
  this->simulation.Isolate(followers[1]);
  for (int step = 0; step < 50; ++step) {
    this->simulation.Run(Milliseconds(100));
    this->simulation.Propose(*this->simulation.Leader(), "x");
  }
  for (std::size_t host : { followers[2], followers[3] }) {
    this->simulation.Crash(host);
    this->simulation.LoseDisk(host);
    this->simulation.Start(host);
  }
  this->simulation.Run(Milliseconds(3000));
  this->simulation.network.blockedLinks.clear();
  REQUIRE(this->WaitForFullGroup());
  CHECK(this->simulation.Commit("after"));
  CHECK(this->simulation.RunUntil(
    [this] { return this->simulation.HasConverged(); }));
}

// Guards against a list of members that grows with every machine that joined
// and left.
TEST_CASE_METHOD(ReplacementFixture, "a learner that is gone is removed")
{
  std::size_t standby = this->Standby();
  Member member = this->MemberOf(standby);
  this->simulation.Crash(standby);
  CHECK(this->simulation.RunUntil(
    [this, member] { return !this->Members().Contains(member); }));
  CHECK(this->Members().locations.size() == 5);
}

// Guards against a group whose voters gather in one availability zone, which
// then can't be lost.
TEST_CASE("voters move back to a zone that has too few of them")
{
  Simulation simulation(9, 5, { 3, 5, 3 });
  REQUIRE(simulation.RunUntil([&] { return simulation.HasFullGroup(); }));
  // Hosts 0, 3 and 6 are in one zone.
  for (std::size_t host : { 0, 3, 6 }) {
    simulation.Crash(host);
  }
  REQUIRE(simulation.RunUntil([&] { return simulation.HasFullGroup(); }));
  for (std::size_t host : { 0, 3, 6 }) {
    simulation.Start(host);
  }
  CHECK(simulation.RunUntil([&] {
    auto leader = simulation.Leader();
    if (!leader) {
      return false;
    }
    const auto& members = simulation.hosts[*leader].node->Members();
    std::map<ZoneId, int> votersByZone;
    for (const auto& voter : members.voters) {
      ++votersByZone[members.locations.at(voter.instance).zone];
    }
    return members.voters.size() == 5 && votersByZone.size() == 3 &&
           std::all_of(votersByZone.begin(),
                       votersByZone.end(),
                       [](const auto& aZone) { return aZone.second <= 2; });
  }));
  CHECK(simulation.violations.empty());
}

// Guards against a group of five voters in three zones that stands still, or
// loses what it acknowledged, when the machines of one zone are gone at once.
TEST_CASE("the loss of any one of three zones leaves a working group")
{
  constexpr std::size_t kHosts = 5;
  constexpr std::size_t kZones = 3;
  // An election and the first commit fit well into the time for a recovery.
  constexpr Milliseconds kMaxOutage{ 5000 };
  for (unsigned seed : { 1, 2, 3, 4, 5 }) {
    Simulation simulation(kHosts, seed, { 3, kHosts, kZones });
    REQUIRE(simulation.RunUntil([&] { return simulation.HasFullGroup(); }));
    for (std::size_t lostZone = 0; lostZone < kZones; ++lostZone) {
      CAPTURE(seed, lostZone);
      std::string before = "before " + std::to_string(lostZone);
      std::string after = "after " + std::to_string(lostZone);
      REQUIRE(simulation.Commit(before));
      for (std::size_t host = lostZone; host < kHosts; host += kZones) {
        simulation.Crash(host);
      }
      REQUIRE(simulation.RunUntil(
        [&] {
          auto leader = simulation.Leader();
          return leader && simulation.hosts[*leader].node->IsReady();
        },
        kMaxOutage));
      CHECK(simulation.Commit(after));
      for (std::size_t host = lostZone; host < kHosts; host += kZones) {
        simulation.Start(host);
      }
      REQUIRE(simulation.RunUntil([&] {
        return simulation.HasConverged() && simulation.HasFullGroup();
      }));
      const auto& applied = simulation.hosts[lostZone].applied;
      CHECK(std::find(applied.begin(), applied.end(), before) != applied.end());
      CHECK(applied.back() == after);
    }
    CHECK(simulation.violations.empty());
  }
}
