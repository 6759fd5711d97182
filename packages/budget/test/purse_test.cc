#include <catch2/catch.hpp>
#include <lycheestand/budget.h>

using namespace lycheestand;
using namespace lycheestand::budget;
using namespace std::chrono_literals;

namespace {

// A purse and its clock.
class PurseFixture
{
public:
  Claim MakeClaim(std::uint64_t aTicket, std::int64_t aTokens) const
  {
    return {
      Ticket(aTicket), this->workspace, Tokens(aTokens), Tokens(aTokens)
    };
  }

  void AnswerNeed(Tokens aTokens, bool aExhausted = false)
  {
    auto needs = this->purse.TakeNeeds(this->now);
    REQUIRE(needs.size() == 1);
    this->purse.AddGrant(
      { needs[0].request, this->workspace, aTokens, aExhausted }, this->now);
  }

  WorkspaceId workspace{ "kalkki" };
  TimePoint now = TimePoint(1000s);
  Purse purse{ PurseOptions{} };
};

} // namespace

// Guards against spending tokens that no grant covers.
TEST_CASE_METHOD(PurseFixture, "A claim waits until a grant covers it")
{
  REQUIRE_FALSE(this->purse.Reserve(this->MakeClaim(1, 100), this->now));
  REQUIRE(this->purse.Poll(this->now).empty());
  this->AnswerNeed(Tokens(150));
  auto decisions = this->purse.Poll(this->now);
  REQUIRE(decisions.size() == 1);
  REQUIRE(decisions[0].tokens == Tokens(100));
  REQUIRE_FALSE(decisions[0].refusal);
}

// Guards against a refusal while a reservation that may settle for less, or
// another router's return, could still make room.
TEST_CASE_METHOD(PurseFixture, "A claim is refused at once only if exhausted")
{
  this->purse.Reserve(this->MakeClaim(1, 100), this->now);
  this->AnswerNeed(Tokens(0), false);
  REQUIRE(this->purse.Poll(this->now).empty());
  this->now += 100ms;
  this->AnswerNeed(Tokens(0), true);
  auto decisions = this->purse.Poll(this->now);
  REQUIRE(decisions.size() == 1);
  REQUIRE(decisions[0].refusal == Refusal::Exhausted);
}

// Guards against usage that is lost or counted twice when a link breaks.
TEST_CASE_METHOD(PurseFixture, "A batch is kept until it is acknowledged")
{
  this->purse.Reserve(this->MakeClaim(1, 100), this->now);
  this->AnswerNeed(Tokens(100));
  this->purse.Poll(this->now);
  this->purse.Settle(Ticket(1), Tokens(60), this->now);
  auto batch = this->purse.TakeBatch(this->now);
  REQUIRE(batch);
  REQUIRE(batch->parts[0].spent == Tokens(60));
  REQUIRE(batch->parts[0].requests == 1);
  REQUIRE_FALSE(this->purse.TakeBatch(this->now));
  REQUIRE(this->purse.UnacknowledgedBatch()->number == batch->number);
  this->purse.Acknowledge(batch->number);
  REQUIRE_FALSE(this->purse.UnacknowledgedBatch());
}

// Guards against tokens stranded at a router that no longer needs them.
TEST_CASE_METHOD(PurseFixture, "An idle router returns what it holds")
{
  this->purse.Reserve(this->MakeClaim(1, 100), this->now);
  this->AnswerNeed(Tokens(500));
  this->purse.Poll(this->now);
  this->purse.Settle(Ticket(1), Tokens(100), this->now);
  this->now += 3s;
  auto batch = this->purse.TakeBatch(this->now);
  REQUIRE(batch);
  REQUIRE(batch->parts[0].returned == Tokens(400));
  this->purse.Acknowledge(batch->number);
  REQUIRE(this->purse.IsEmpty());
}

// Guards against a caller who leaves while its claim waits.
TEST_CASE_METHOD(PurseFixture, "A withdrawn claim takes nothing")
{
  this->purse.Reserve(this->MakeClaim(1, 100), this->now);
  this->purse.Settle(Ticket(1), Tokens(0), this->now);
  REQUIRE(this->purse.TakeNeeds(this->now).empty());
}

// Guards against a small request that is refused because a large one, which can
// be covered only later, came first.
TEST_CASE_METHOD(PurseFixture, "A small claim passes a large one that waits")
{
  this->purse.Reserve(this->MakeClaim(1, 1000), this->now);
  this->AnswerNeed(Tokens(0));
  this->purse.Reserve(this->MakeClaim(2, 50), this->now);
  this->now += 100ms;
  this->AnswerNeed(Tokens(60));
  auto decisions = this->purse.Poll(this->now);
  REQUIRE(decisions.size() == 1);
  REQUIRE(decisions[0].ticket == Ticket(2));
  REQUIRE(this->purse.Reserve(this->MakeClaim(3, 10), this->now));
  this->now += 2s;
  decisions = this->purse.Poll(this->now);
  REQUIRE(decisions.size() == 1);
  REQUIRE(decisions[0].ticket == Ticket(1));
  REQUIRE(decisions[0].refusal == Refusal::NoGrant);
}

// Guards against routers that each keep a part too small for their own claim.
TEST_CASE_METHOD(PurseFixture, "A waiting router gives up too small a part")
{
  this->purse.Reserve(this->MakeClaim(1, 1000), this->now);
  this->AnswerNeed(Tokens(400));
  REQUIRE(this->purse.Poll(this->now).empty());
  this->purse.Recall(this->workspace, Tokens(900));
  auto batch = this->purse.TakeBatch(this->now);
  REQUIRE(batch);
  REQUIRE(batch->parts[0].returned == Tokens(400));
}

// Guards against "used up" while control has not counted this router's own
// return yet.
TEST_CASE_METHOD(PurseFixture, "A return on its way counts as room")
{
  this->purse.Reserve(this->MakeClaim(1, 100), this->now);
  this->AnswerNeed(Tokens(400));
  this->purse.Poll(this->now);
  this->purse.Settle(Ticket(1), Tokens(100), this->now);
  this->purse.Recall(this->workspace, Tokens(300));
  auto batch = this->purse.TakeBatch(this->now);
  REQUIRE(batch);
  this->purse.Reserve(this->MakeClaim(2, 300), this->now);
  this->AnswerNeed(Tokens(0), true);
  REQUIRE(this->purse.Poll(this->now).empty());
  this->purse.Acknowledge(batch->number);
  REQUIRE(this->purse.Poll(this->now).size() == 1);
}
