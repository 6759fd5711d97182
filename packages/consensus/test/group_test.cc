#include "simulation.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace lycheestand;
using namespace lycheestand::consensus;

namespace {

// A bootstrapped group of three instances with a leader.
class GroupFixture
{
public:
  GroupFixture()
    : simulation(3, 7)
  {
    REQUIRE(this->simulation.Commit("first"));
    REQUIRE(this->simulation.RunUntil([this] {
      return this->simulation.HasAllVoters() && this->simulation.HasConverged();
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

  bool WaitForConvergence()
  {
    return this->simulation.RunUntil([this] {
      return this->simulation.HasAllVoters() && this->simulation.HasConverged();
    });
  }

  Simulation simulation;
  std::size_t leader = 0;
  std::size_t other = 0;
  std::size_t third = 0;
};

} // namespace

// Guards against the commitment of an entry that a power loss could remove.
TEST_CASE_METHOD(GroupFixture, "an entry commits only once a quorum synced it")
{
  this->Host(this->other).isDiskStalled = true;
  this->Host(this->third).isDiskStalled = true;
  CHECK_FALSE(this->simulation.Commit("unsynced"));
  this->Host(this->other).isDiskStalled = false;
  CHECK(this->simulation.Commit("synced"));
}

// Guards against a leader that counts its own entry towards the quorum before
// it has synced it.
TEST_CASE_METHOD(GroupFixture, "a leader counts itself only after its sync")
{
  this->Host(this->leader).isDiskStalled = true;
  this->simulation.Isolate(this->third);
  CHECK_FALSE(this->simulation.Commit("unsynced"));
}

// Guards against a new, empty disk that votes or acknowledges in place of the
// lost one.
TEST_CASE_METHOD(GroupFixture, "a new disk does not count as the old member")
{
  this->simulation.Isolate(this->other);
  this->ReplaceDisk(this->third);
  this->simulation.Propose(this->leader, "alone");
  this->simulation.Run(Milliseconds(5000));
  CHECK_FALSE(this->simulation.Leader().has_value());
  CHECK(this->Host(this->leader).applied ==
        std::vector<std::string>{ "first" });
  CHECK(this->Host(this->third).applied.empty());
  this->simulation.network.blockedLinks.clear();
  REQUIRE(this->WaitForConvergence());
  CHECK(this->simulation.Commit("after repair"));
}

// Guards against a replacement that becomes a voter before it has the log: the
// loss of a second disk would then lose entries.
TEST_CASE_METHOD(GroupFixture,
                 "a second disk loss after a repair loses nothing")
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
  REQUIRE(this->WaitForConvergence());
  const auto& applied = this->Host(this->leader).applied;
  CHECK(applied.size() == 61);
  CHECK(applied.back() == "a59");
}

// Guards against a voter with an empty log that a quorum depends on.
TEST_CASE_METHOD(GroupFixture,
                 "a learner becomes a voter only once it has caught up")
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
  CHECK(this->WaitForConvergence());
}

// Guards against stale reads by an isolated leader, and against an election
// when it is connected again.
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
  CHECK(this->Host(this->leader).confirmedReads.empty());
  CHECK(this->Host(this->leader).node->CurrentRole() != Role::Leader);

  std::size_t newLeader = *this->simulation.Leader();
  Term term = this->Host(newLeader).node->CurrentTerm();
  this->simulation.network.blockedLinks.clear();
  this->simulation.Run(Milliseconds(5000));
  CHECK(this->Host(newLeader).node->CurrentTerm() == term);
  CHECK(this->simulation.Leader() == newLeader);
  CHECK(this->simulation.HasConverged());
}

// A member that can send but receives nothing from the leader must not force an
// election.
TEST_CASE_METHOD(GroupFixture, "a one-way partition does not depose the leader")
{
  Term term = this->Host(this->leader).node->CurrentTerm();
  this->simulation.network.blockedLinks = { { this->leader, this->third } };
  this->simulation.Run(Milliseconds(10000));
  CHECK(this->simulation.Leader() == this->leader);
  CHECK(this->Host(this->leader).node->CurrentTerm() == term);
}

// Guards against a heartbeat round for each single read.
TEST_CASE_METHOD(GroupFixture, "many reads share a round")
{
  std::size_t before = this->simulation.heartbeats;
  for (std::uint64_t i = 0; i < 500; ++i) {
    this->simulation.Read(this->leader, ReadId(i));
  }
  REQUIRE(this->simulation.RunUntil(
    [this] { return this->Host(this->leader).confirmedReads.size() == 500; },
    Milliseconds(200)));
  CHECK(this->simulation.heartbeats - before <= 8);
}

// Guards against a leader that sends each entry to each member on its own, and
// so commits late when many are proposed.
TEST_CASE_METHOD(GroupFixture, "many entries share an append")
{
  std::size_t before = this->simulation.appends;
  for (int i = 0; i < 500; ++i) {
    REQUIRE(this->simulation.Propose(this->leader, "c" + std::to_string(i)));
  }
  REQUIRE(this->simulation.RunUntil(
    [this] { return this->Host(this->leader).applied.size() == 501; },
    Milliseconds(200)));
  CHECK(this->simulation.appends - before <= 8);
}

// Guards against a log that grows without bound, and against followers that
// never catch up because the entries they need have been compacted.
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
  REQUIRE(this->WaitForConvergence());
  CHECK(this->Host(this->third).snapshotInstalls == 1);
  this->simulation.Crash(this->third);
  this->simulation.Start(this->third);
  REQUIRE(this->simulation.Commit("after"));
  CHECK(this->WaitForConvergence());
}

// After all processes were killed there is no leader to wait for. Guards
// against an outage of up to two full election timeouts.
TEST_CASE_METHOD(GroupFixture, "a restarted group elects a leader early")
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

// Guards against followers that wait a full election timeout although the
// leader's process has ended and its connections have closed.
TEST_CASE_METHOD(GroupFixture,
                 "followers elect early when the leader's connections close")
{
  this->simulation.Crash(this->leader);
  this->simulation.CloseConnections(this->leader);
  CHECK(this->simulation.RunUntil(
    [this] { return this->simulation.Leader().has_value(); },
    Milliseconds(800)));
}

// Guards against an election when connections to the leader are reset and
// heartbeats arrive again.
TEST_CASE_METHOD(GroupFixture, "connection resets do not depose a leader")
{
  for (int i = 0; i < 20; ++i) {
    this->simulation.CloseConnections(this->leader);
    this->simulation.Run(Milliseconds(300));
  }
  CHECK(this->simulation.Leader() == this->leader);
}
