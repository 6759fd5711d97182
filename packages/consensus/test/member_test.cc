#include <catch2/catch.hpp>
#include <lycheestand/consensus.h>

using namespace lycheestand;
using namespace lycheestand::consensus;

namespace {

// One voter of three, whose messages and writes the test handles.
class MemberFixture
{
public:
  MemberFixture()
  {
    Options options;
    options.self = this->self.instance;
    options.instances = { this->self.instance,
                          this->second.instance,
                          this->third.instance };
    Restored restored;
    restored.state.disk = this->self.disk;
    restored.state.term = Term(1);
    Configuration members{ { this->self, this->second, this->third }, {} };
    restored.entries = { { Term(1), LogIndex(1), members } };
    this->node.emplace(
      options, restored, [](std::uint64_t) { return 0; }, this->start);
  }

  Effects Receive(const Member& aFrom,
                  const Member& aTo,
                  Term aTerm,
                  MessageBody aBody)
  {
    return this->node->Receive(this->start,
                               { GroupId(0), aFrom, aTo, aTerm, aBody });
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

// Guards against a second vote in a term after a restart.
TEST_CASE_METHOD(MemberFixture, "a vote leaves only once it is durable")
{
  auto effects =
    this->Receive(this->second, this->self, Term(2), this->RequestVote());
  CHECK(effects.messages.empty());
  REQUIRE(effects.write);
  CHECK(effects.write->state->vote == this->second);
  auto later = this->node->Persisted(effects.write->number);
  REQUIRE(later.messages.size() == 1);
  CHECK(std::get<VoteReply>(later.messages[0].body).granted);
  auto refused =
    this->Receive(this->third, this->self, Term(2), this->RequestVote());
  REQUIRE(refused.messages.size() == 1);
  CHECK_FALSE(std::get<VoteReply>(refused.messages[0].body).granted);
}

// Guards against a candidate that forgets its own vote and votes for another.
TEST_CASE_METHOD(MemberFixture, "a candidate asks once its vote is durable")
{
  this->node->Tick(this->start + std::chrono::seconds(2));
  auto effects =
    this->Receive(this->second, this->self, Term(2), VoteReply{ true, true });
  CHECK(this->node->CurrentRole() == Role::Candidate);
  CHECK(effects.messages.empty());
  REQUIRE(effects.write);
  this->Receive(this->second, this->self, Term(2), VoteReply{ false, true });
  CHECK(this->node->CurrentRole() == Role::Candidate);
  auto later = this->node->Persisted(effects.write->number);
  CHECK(this->node->CurrentRole() == Role::Leader);
  CHECK_FALSE(later.messages.empty());
}

// Guards against an acknowledgement of entries that a new leader has replaced.
TEST_CASE_METHOD(MemberFixture, "a newer term drops acknowledgements")
{
  this->Receive(this->second, this->self, Term(2), this->AppendSecond(Term(2)));
  auto replaced = this->Receive(
    this->third, this->self, Term(3), this->AppendSecond(Term(3)));
  REQUIRE(replaced.write);
  auto later = this->node->Persisted(replaced.write->number);
  REQUIRE(later.messages.size() == 1);
  CHECK(later.messages[0].to == this->third);
  CHECK(later.messages[0].term == Term(3));
}

// Guards against answers on behalf of a disk that is gone.
TEST_CASE_METHOD(MemberFixture, "messages for another disk are ignored")
{
  Member old{ this->self.instance, DiskId(9) };
  auto effects = this->Receive(this->second, old, Term(5), this->RequestVote());
  CHECK(effects.messages.empty());
  CHECK_FALSE(effects.write);
  CHECK(this->node->CurrentTerm() == Term(1));
}

// Guards against votes of a disk that took the place of a member's.
TEST_CASE_METHOD(MemberFixture, "answers of another disk are not counted")
{
  this->node->Tick(this->start + std::chrono::seconds(2));
  Member replaced{ this->second.instance, DiskId(9) };
  this->Receive(replaced, this->self, Term(2), VoteReply{ true, true });
  CHECK(this->node->CurrentRole() == Role::PreCandidate);
}

// Guards against committing an earlier term's entry that a quorum holds but
// that a leader of a later term may still replace.
TEST_CASE_METHOD(MemberFixture, "an earlier term's entry commits with a newer")
{
  this->node->Tick(this->start + std::chrono::seconds(2));
  auto effects =
    this->Receive(this->second, this->self, Term(2), VoteReply{ true, true });
  this->Receive(this->second, this->self, Term(2), VoteReply{ false, true });
  auto elected = this->node->Persisted(effects.write->number);
  REQUIRE(this->node->IsReady() == false);
  this->node->Persisted(elected.write->number);
  this->Receive(
    this->second, this->self, Term(2), AppendReply{ true, LogIndex(1) });
  CHECK(this->node->CommitIndex() == LogIndex(0));
  this->Receive(
    this->second, this->self, Term(2), AppendReply{ true, LogIndex(2) });
  CHECK(this->node->CommitIndex() == LogIndex(2));
}
