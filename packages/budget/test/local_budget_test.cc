#include <catch2/catch.hpp>
#include <lycheestand/budget.h>

using namespace lycheestand;
using namespace lycheestand::budget;
using namespace std::chrono_literals;

namespace {

// A LocalBudget and its clock.
class LocalBudgetFixture
{
public:
  Claim MakeClaim(std::uint64_t aTicket, std::int64_t aTokens) const
  {
    return {
      Ticket(aTicket), this->workspace, Tokens(aTokens), Tokens(aTokens)
    };
  }

  void ReplyToGrantRequest(Tokens aTokens, bool aExhausted = false)
  {
    auto grantRequests = this->localBudget.TakeGrantRequests(this->now);
    REQUIRE(grantRequests.size() == 1);
    this->localBudget.AddGrant(
      { grantRequests[0].request, this->workspace, aTokens, aExhausted },
      this->now);
  }

  WorkspaceId workspace{ "kalkki" };
  TimePoint now = TimePoint(1000s);
  LocalBudget localBudget{ LocalBudgetOptions{} };
};

} // namespace

// Guards against forwarding a request whose tokens no grant covers.
TEST_CASE_METHOD(LocalBudgetFixture, "A claim waits until a grant covers it")
{
  REQUIRE_FALSE(this->localBudget.Reserve(this->MakeClaim(1, 100), this->now));
  REQUIRE(this->localBudget.Poll(this->now).empty());
  this->ReplyToGrantRequest(Tokens(150));
  auto decisions = this->localBudget.Poll(this->now);
  REQUIRE(decisions.size() == 1);
  REQUIRE(decisions[0].tokens == Tokens(100));
  REQUIRE_FALSE(decisions[0].refusal);
}

// Guards against a refusal while unspent reservations, or tokens that other
// routers return, could still cover the claim.
TEST_CASE_METHOD(LocalBudgetFixture,
                 "A claim is refused at once only if the budget is exhausted")
{
  this->localBudget.Reserve(this->MakeClaim(1, 100), this->now);
  this->ReplyToGrantRequest(Tokens(0), false);
  REQUIRE(this->localBudget.Poll(this->now).empty());
  this->now += 100ms;
  this->ReplyToGrantRequest(Tokens(0), true);
  auto decisions = this->localBudget.Poll(this->now);
  REQUIRE(decisions.size() == 1);
  REQUIRE(decisions[0].refusal == Refusal::Exhausted);
}

// Guards against usage that is lost or counted twice when the connection to
// control breaks.
TEST_CASE_METHOD(LocalBudgetFixture, "A batch is kept until it is acknowledged")
{
  this->localBudget.Reserve(this->MakeClaim(1, 100), this->now);
  this->ReplyToGrantRequest(Tokens(100));
  this->localBudget.Poll(this->now);
  this->localBudget.Settle(Ticket(1), Tokens(60), this->now);
  auto batch = this->localBudget.TakeBatch(this->now);
  REQUIRE(batch);
  REQUIRE(batch->entries[0].spent == Tokens(60));
  REQUIRE(batch->entries[0].requests == 1);
  REQUIRE_FALSE(this->localBudget.TakeBatch(this->now));
  REQUIRE(this->localBudget.UnacknowledgedBatch()->number == batch->number);
  this->localBudget.Acknowledge(batch->number);
  REQUIRE_FALSE(this->localBudget.UnacknowledgedBatch());
}

// Guards against tokens that stay unused at a router that no longer needs them.
TEST_CASE_METHOD(LocalBudgetFixture, "An idle router returns its unused tokens")
{
  this->localBudget.Reserve(this->MakeClaim(1, 100), this->now);
  this->ReplyToGrantRequest(Tokens(500));
  this->localBudget.Poll(this->now);
  this->localBudget.Settle(Ticket(1), Tokens(100), this->now);
  this->now += 3s;
  auto batch = this->localBudget.TakeBatch(this->now);
  REQUIRE(batch);
  REQUIRE(batch->entries[0].returned == Tokens(400));
  this->localBudget.Acknowledge(batch->number);
  REQUIRE(this->localBudget.IsEmpty());
}

// Guards against a grant request for a claim that was withdrawn while it
// waited, as when its caller disconnects.
TEST_CASE_METHOD(LocalBudgetFixture, "A withdrawn claim requests no grant")
{
  this->localBudget.Reserve(this->MakeClaim(1, 100), this->now);
  this->localBudget.Settle(Ticket(1), Tokens(0), this->now);
  REQUIRE(this->localBudget.TakeGrantRequests(this->now).empty());
}

// Guards against a small claim that is refused because an earlier, larger one
// is not covered yet.
TEST_CASE_METHOD(LocalBudgetFixture,
                 "A small claim is decided before a large one that waits")
{
  this->localBudget.Reserve(this->MakeClaim(1, 1000), this->now);
  this->ReplyToGrantRequest(Tokens(0));
  this->localBudget.Reserve(this->MakeClaim(2, 50), this->now);
  this->now += 100ms;
  this->ReplyToGrantRequest(Tokens(60));
  auto decisions = this->localBudget.Poll(this->now);
  REQUIRE(decisions.size() == 1);
  REQUIRE(decisions[0].ticket == Ticket(2));
  REQUIRE(this->localBudget.Reserve(this->MakeClaim(3, 10), this->now));
  this->now += 2s;
  decisions = this->localBudget.Poll(this->now);
  REQUIRE(decisions.size() == 1);
  REQUIRE(decisions[0].ticket == Ticket(1));
  REQUIRE(decisions[0].refusal == Refusal::NoFreeTokens);
}

// Guards against several routers that each keep an amount too small for their
// own claim, so that none of them can serve a request.
TEST_CASE_METHOD(LocalBudgetFixture,
                 "A router returns tokens that do not cover its waiting claim")
{
  this->localBudget.Reserve(this->MakeClaim(1, 1000), this->now);
  this->ReplyToGrantRequest(Tokens(400));
  REQUIRE(this->localBudget.Poll(this->now).empty());
  this->localBudget.Recall(this->workspace, Tokens(900));
  auto batch = this->localBudget.TakeBatch(this->now);
  REQUIRE(batch);
  REQUIRE(batch->entries[0].returned == Tokens(400));
}

// Guards against a refusal as exhausted while control has not yet counted the
// tokens that this router is returning.
TEST_CASE_METHOD(LocalBudgetFixture,
                 "Tokens being returned count as available to later claims")
{
  this->localBudget.Reserve(this->MakeClaim(1, 100), this->now);
  this->ReplyToGrantRequest(Tokens(400));
  this->localBudget.Poll(this->now);
  this->localBudget.Settle(Ticket(1), Tokens(100), this->now);
  this->localBudget.Recall(this->workspace, Tokens(300));
  auto batch = this->localBudget.TakeBatch(this->now);
  REQUIRE(batch);
  this->localBudget.Reserve(this->MakeClaim(2, 300), this->now);
  this->ReplyToGrantRequest(Tokens(0), true);
  REQUIRE(this->localBudget.Poll(this->now).empty());
  this->localBudget.Acknowledge(batch->number);
  REQUIRE(this->localBudget.Poll(this->now).size() == 1);
}
