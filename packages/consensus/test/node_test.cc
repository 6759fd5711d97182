#include "simulation.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace lycheestand;
using namespace lycheestand::consensus;

namespace {

// Three formatted instances that have formed a group and have a leader.
class GroupFixture
{
public:
  GroupFixture()
    : simulation(3, 7)
  {
    REQUIRE(this->simulation.Commit("first"));
    REQUIRE(this->simulation.RunUntil([this] {
      return this->simulation.IsWhole() && this->simulation.IsEqual();
    }));
    this->leader = *this->simulation.Leader();
    this->other = (this->leader + 1) % 3;
    this->third = (this->leader + 2) % 3;
  }

  ~GroupFixture() { CHECK(this->simulation.violations.empty()); }

  Simulation::Host& Host(std::size_t aHost)
  {
    return this->simulation.hosts[aHost];
  }

  void ReplaceDisk(std::size_t aHost)
  {
    this->simulation.Crash(aHost);
    this->simulation.LoseDisk(aHost);
    this->simulation.Start(aHost);
  }

  bool Settle()
  {
    return this->simulation.RunUntil([this] {
      return this->simulation.IsWhole() && this->simulation.IsEqual();
    });
  }

  Simulation simulation;
  std::size_t leader = 0;
  std::size_t other = 0;
  std::size_t third = 0;
};

} // namespace

// Guards against acknowledging what a power loss would take.
TEST_CASE_METHOD(GroupFixture, "an entry commits only once a quorum synced it")
{
  this->Host(this->other).isDiskStalled = true;
  this->Host(this->third).isDiskStalled = true;
  CHECK_FALSE(this->simulation.Commit("unsynced"));
  this->Host(this->other).isDiskStalled = false;
  CHECK(this->simulation.Commit("synced"));
}

// Guards against a leader that counts its own entry before its sync.
TEST_CASE_METHOD(GroupFixture, "a leader counts itself only after its sync")
{
  this->Host(this->leader).isDiskStalled = true;
  this->simulation.Isolate(this->third);
  CHECK_FALSE(this->simulation.Commit("unsynced"));
}

// Guards against an empty disk that votes or acknowledges as the lost one.
TEST_CASE_METHOD(GroupFixture, "a lost disk does not count as the old member")
{
  this->simulation.Isolate(this->other);
  this->ReplaceDisk(this->third);
  this->simulation.Propose(this->leader, "alone");
  this->simulation.Run(Milliseconds(5000));
  CHECK_FALSE(this->simulation.Leader().has_value());
  CHECK(this->Host(this->leader).applied ==
        std::vector<std::string>{ "first" });
  CHECK(this->Host(this->third).applied.empty());
  this->simulation.network.cuts.clear();
  REQUIRE(this->Settle());
  CHECK(this->simulation.Commit("whole again"));
}

// Guards against a replacement that counts before it holds the log.
TEST_CASE_METHOD(GroupFixture, "a second loss after a repair loses nothing")
{
  for (int i = 0; i < 60; ++i) {
    REQUIRE(this->simulation.Commit("a" + std::to_string(i)));
  }
  this->ReplaceDisk(this->third);
  REQUIRE(this->simulation.RunUntil([this] {
    const auto& members = this->Host(this->leader).node->Members();
    return members.voters.contains(this->Host(this->third).node->Self());
  }));
  this->ReplaceDisk(this->leader);
  REQUIRE(this->Settle());
  const auto& applied = this->Host(this->leader).applied;
  CHECK(applied.size() == 61);
  CHECK(applied.back() == "a59");
}

// Guards against a voter whose empty log a quorum would depend on.
TEST_CASE_METHOD(GroupFixture, "a learner counts only once it has caught up")
{
  for (int i = 0; i < 600; ++i) {
    REQUIRE(this->simulation.Propose(this->leader, "c" + std::to_string(i)));
  }
  this->Host(this->third).isDiskStalled = true;
  this->ReplaceDisk(this->third);
  auto joined = this->Host(this->third).node->Self();
  const auto& members = this->Host(this->leader).node->Members();
  this->simulation.Run(Milliseconds(5000));
  CHECK(members.learners.contains(joined));
  CHECK_FALSE(members.voters.contains(joined));
  this->Host(this->third).isDiskStalled = false;
  CHECK(this->Settle());
}

// Guards against stale reads, and against a return that forces an election.
TEST_CASE_METHOD(GroupFixture, "an isolated leader confirms nothing")
{
  this->simulation.Isolate(this->leader);
  this->simulation.Read(this->leader, ReadId(1));
  REQUIRE(this->simulation.RunUntil([this] {
    auto found = this->simulation.Leader();
    return found && *found != this->leader;
  }));
  REQUIRE(this->simulation.Commit("second"));
  this->simulation.Read(this->leader, ReadId(2));
  this->simulation.Run(Milliseconds(10000));
  CHECK(this->Host(this->leader).confirmed.empty());
  CHECK(this->Host(this->leader).node->CurrentRole() != Role::Leader);

  std::size_t newLeader = *this->simulation.Leader();
  Term term = this->Host(newLeader).node->CurrentTerm();
  this->simulation.network.cuts.clear();
  this->simulation.Run(Milliseconds(5000));
  CHECK(this->Host(newLeader).node->CurrentTerm() == term);
  CHECK(this->simulation.Leader() == newLeader);
  CHECK(this->simulation.IsEqual());
}

// Guards against elections by a member that hears nobody but is heard.
TEST_CASE_METHOD(GroupFixture, "a one-way cut does not unseat the leader")
{
  Term term = this->Host(this->leader).node->CurrentTerm();
  this->simulation.network.cuts = { { this->leader, this->third } };
  this->simulation.Run(Milliseconds(10000));
  CHECK(this->simulation.Leader() == this->leader);
  CHECK(this->Host(this->leader).node->CurrentTerm() == term);
}

// Guards against a quorum round for each read.
TEST_CASE_METHOD(GroupFixture, "many reads share a round")
{
  std::size_t before = this->simulation.heartbeats;
  for (std::uint64_t i = 0; i < 500; ++i) {
    this->simulation.Read(this->leader, ReadId(i));
  }
  REQUIRE(this->simulation.RunUntil(
    [this] { return this->Host(this->leader).confirmed.size() == 500; },
    Milliseconds(200)));
  CHECK(this->simulation.heartbeats - before <= 8);
}

// Guards against a log that grows without bound, and against followers that
// stay behind once the entries they need are gone.
TEST_CASE_METHOD(GroupFixture, "a member far behind receives a snapshot")
{
  this->simulation.Crash(this->third);
  for (int i = 0; i < 300; ++i) {
    REQUIRE(this->simulation.Propose(this->leader, "b" + std::to_string(i)));
  }
  REQUIRE(this->simulation.Commit("last"));
  this->simulation.Compact(this->leader);
  const auto& log = this->Host(this->leader).node->Entries();
  CHECK(log.Last().Get() - log.First().Get() < 21);
  this->simulation.Start(this->third);
  REQUIRE(this->Settle());
  CHECK(this->Host(this->third).installs == 1);
  this->simulation.Crash(this->third);
  this->simulation.Start(this->third);
  REQUIRE(this->simulation.Commit("after"));
  CHECK(this->Settle());
}

// Guards against a service that stays away for two election timeouts after all
// processes were killed, though no leader is to be waited for.
TEST_CASE_METHOD(GroupFixture, "a group that starts anew elects at once")
{
  for (std::size_t host = 0; host < 3; ++host) {
    this->simulation.Crash(host);
  }
  for (std::size_t host = 0; host < 3; ++host) {
    this->simulation.Start(host);
  }
  CHECK(this->simulation.RunUntil(
    [this] { return this->simulation.Leader().has_value(); },
    Milliseconds(800)));
}

// Guards against followers that wait for a leader whose process has ended and
// whose links they have seen close.
TEST_CASE_METHOD(GroupFixture, "followers of an ended leader elect at once")
{
  this->simulation.Crash(this->leader);
  this->simulation.CloseLinks(this->leader);
  CHECK(this->simulation.RunUntil(
    [this] { return this->simulation.Leader().has_value(); },
    Milliseconds(800)));
}

// Guards against links that were reset and unseat a leader that is heard again.
TEST_CASE_METHOD(GroupFixture, "links that were reset do not unseat a leader")
{
  for (int i = 0; i < 20; ++i) {
    this->simulation.CloseLinks(this->leader);
    this->simulation.Run(Milliseconds(300));
  }
  CHECK(this->simulation.Leader() == this->leader);
}
