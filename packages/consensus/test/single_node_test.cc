#include <catch2/catch.hpp>
#include <lycheestand/consensus.h>

using namespace lycheestand;
using namespace lycheestand::consensus;

namespace {

// One node of a group of three voters. The test delivers its messages and
// completes its writes.
class NodeFixture
{
public:
  NodeFixture()
  {
    Options options;
    options.self = this->self.instance;
    options.founders = { this->self.instance,
                         this->second.instance,
                         this->third.instance };
    RecoveredState recovered;
    recovered.state.disk = this->self.disk;
    recovered.state.term = Term(1);
    Configuration members{ { this->self, this->second, this->third }, {} };
    recovered.entries = { { Term(1), LogIndex(1), members } };
    this->node.emplace(
      options, recovered, [](std::uint64_t) { return 0; }, this->start);
  }

  Effects Receive(const Member& aFrom,
                  const Member& aTo,
                  Term aTerm,
                  MessageBody aBody)
  {
    return this->node->Receive(this->start,
                               { GroupId(0), aFrom, aTo, aTerm, aBody });
  }

  // Makes the node the leader of term 2. Its first entry is not yet durable.
  Effects Elect()
  {
    this->node->Tick(this->start + std::chrono::seconds(2));
    auto effects =
      this->Receive(this->second, this->self, Term(2), VoteReply{ true, true });
    this->Receive(this->second, this->self, Term(2), VoteReply{ false, true });
    return this->node->CompleteWrites(effects.write->number);
  }

  VoteRequest RequestVote() const { return { false, LogIndex(1), Term(1) }; }

  AppendRequest AppendSecond(Term aTerm) const
  {
    return { LogIndex(1),
             Term(1),
             LogIndex(0),
             { { aTerm, LogIndex(2), CommandBytes{ "x" } } } };
  }

  Member self{ InstanceId("a"), DiskId(1) };
  Member second{ InstanceId("b"), DiskId(2) };
  Member third{ InstanceId("c"), DiskId(3) };
  TimePoint start{ std::chrono::seconds(1000) };
  std::optional<Node> node;
};

} // namespace

// A vote that is sent before it is durable can be followed by a restart and a
// second vote in the same term.
TEST_CASE_METHOD(NodeFixture, "a vote is sent only once it is durable")
{
  auto effects =
    this->Receive(this->second, this->self, Term(2), this->RequestVote());
  CHECK(effects.messages.empty());
  REQUIRE(effects.write);
  CHECK(effects.write->state->vote == this->second);
  auto later = this->node->CompleteWrites(effects.write->number);
  REQUIRE(later.messages.size() == 1);
  CHECK(std::get<VoteReply>(later.messages[0].body).granted);
  auto refused =
    this->Receive(this->third, this->self, Term(2), this->RequestVote());
  REQUIRE(refused.messages.size() == 1);
  CHECK_FALSE(std::get<VoteReply>(refused.messages[0].body).granted);
}

// Guards against a candidate that loses its own vote in a restart and then
// votes for another candidate in the same term.
TEST_CASE_METHOD(NodeFixture,
                 "a candidate requests votes once its own is durable")
{
  this->node->Tick(this->start + std::chrono::seconds(2));
  auto effects =
    this->Receive(this->second, this->self, Term(2), VoteReply{ true, true });
  CHECK(this->node->CurrentRole() == Role::Candidate);
  CHECK(effects.messages.empty());
  REQUIRE(effects.write);
  this->Receive(this->second, this->self, Term(2), VoteReply{ false, true });
  CHECK(this->node->CurrentRole() == Role::Candidate);
  auto later = this->node->CompleteWrites(effects.write->number);
  CHECK(this->node->CurrentRole() == Role::Leader);
  CHECK_FALSE(later.messages.empty());
}

// Guards against an acknowledgement of entries that a new leader has replaced.
TEST_CASE_METHOD(NodeFixture, "a newer term discards deferred acknowledgements")
{
  this->Receive(this->second, this->self, Term(2), this->AppendSecond(Term(2)));
  auto replaced = this->Receive(
    this->third, this->self, Term(3), this->AppendSecond(Term(3)));
  REQUIRE(replaced.write);
  auto later = this->node->CompleteWrites(replaced.write->number);
  REQUIRE(later.messages.size() == 1);
  CHECK(later.messages[0].to == this->third);
  CHECK(later.messages[0].term == Term(3));
}

// Guards against replies on behalf of a disk that was replaced.
TEST_CASE_METHOD(NodeFixture, "messages for another disk are ignored")
{
  Member old{ this->self.instance, DiskId(9) };
  auto effects = this->Receive(this->second, old, Term(5), this->RequestVote());
  CHECK(effects.messages.empty());
  CHECK_FALSE(effects.write);
  CHECK(this->node->CurrentTerm() == Term(1));
}

// Guards against votes by a disk that replaced a member's disk.
TEST_CASE_METHOD(NodeFixture, "replies from another disk are not counted")
{
  this->node->Tick(this->start + std::chrono::seconds(2));
  Member replaced{ this->second.instance, DiskId(9) };
  this->Receive(replaced, this->self, Term(2), VoteReply{ true, true });
  CHECK(this->node->CurrentRole() == Role::PreCandidate);
}

// An entry of an earlier term may be durable on a quorum and still be replaced
// by a later leader, so it must not be committed on its own.
TEST_CASE_METHOD(NodeFixture,
                 "an entry of an earlier term commits with a newer entry")
{
  auto elected = this->Elect();
  REQUIRE(this->node->IsReady() == false);
  this->node->CompleteWrites(elected.write->number);
  this->Receive(
    this->second, this->self, Term(2), AppendReply{ true, LogIndex(1) });
  CHECK(this->node->CommitIndex() == LogIndex(0));
  this->Receive(
    this->second, this->self, Term(2), AppendReply{ true, LogIndex(2) });
  CHECK(this->node->CommitIndex() == LogIndex(2));
}

// Guards against a read that is confirmed by replies to heartbeats that were
// sent before the read arrived.
TEST_CASE_METHOD(NodeFixture, "a read waits for a round that starts after it")
{
  this->node->CompleteWrites(this->Elect().write->number);
  this->Receive(
    this->second, this->self, Term(2), AppendReply{ true, LogIndex(2) });
  REQUIRE(this->node->IsReady());
  this->node->Read(ReadId(1));
  this->node->Read(ReadId(2));
  auto first =
    this->Receive(this->second, this->self, Term(2), HeartbeatReply{ 1 });
  CHECK(first.confirmedReads == std::vector{ ReadId(1) });
  auto second =
    this->Receive(this->second, this->self, Term(2), HeartbeatReply{ 2 });
  CHECK(second.confirmedReads == std::vector{ ReadId(2) });
}
