#include <catch2/catch.hpp>
#include <lycheestand/budget.h>

using namespace lycheestand;
using namespace lycheestand::budget;
using namespace std::chrono_literals;

namespace {

// A purse that asks for tokens ahead of demand, and its clock.
class AheadFixture
{
public:
  static PurseOptions MakeOptions()
  {
    PurseOptions options;
    options.grantHorizon = 10s;
    options.askBelow = 8s;
    options.surplusFactor = 1.3;
    options.idleReturn = 20s;
    return options;
  }

  // Serves one claim of 100 tokens each 100 ms for some time.
  void ServeFor(Duration aTime)
  {
    for (auto end = this->now + aTime; this->now < end; this->now += 100ms) {
      Claim claim{
        Ticket(++this->lastTicket), this->workspace, Tokens(100), Tokens(100)
      };
      bool isDecided = this->purse.Reserve(claim, this->now).has_value();
      this->AnswerNeeds(Tokens(1000000));
      REQUIRE((isDecided || this->purse.Poll(this->now).size() == 1));
      this->purse.Settle(claim.ticket, Tokens(100), this->now);
      this->Report();
    }
  }

  std::size_t AnswerNeeds(Tokens aMost)
  {
    auto needs = this->purse.TakeNeeds(this->now);
    for (const auto& need : needs) {
      this->purse.AddGrant(
        { need.request, need.workspace, std::min(need.wanted, aMost), false },
        this->now);
    }
    return needs.size();
  }

  void Report()
  {
    if (auto batch = this->purse.TakeBatch(this->now)) {
      this->purse.Acknowledge(batch->number);
    }
  }

  Tokens Available()
  {
    return this->purse.Holdings()[this->workspace].available;
  }

  WorkspaceId workspace{ "kalkki" };
  TimePoint now = TimePoint(1000s);
  std::uint64_t lastTicket = 0;
  Purse purse{ MakeOptions() };
};

} // namespace

// Guards against refusals a moment after a router is cut off: it held only what
// its last claims had asked for.
TEST_CASE_METHOD(AheadFixture, "A busy purse holds tokens for the time ahead")
{
  this->ServeFor(3s);
  // The demand is 1,000 tokens/s.
  CHECK(this->Available() >= Tokens(7000));
  CHECK(this->Available() <= Tokens(14000));
}

// Guards against a claim that waits for an answer that can't come.
TEST_CASE_METHOD(AheadFixture, "A claim without control is refused at once")
{
  this->purse.SetOnline(false);
  auto decision = this->purse.Reserve(
    { Ticket(1), this->workspace, Tokens(10), Tokens(10) }, this->now);
  REQUIRE(decision);
  CHECK(decision->refusal == Refusal::NoGrant);
}

// Guards against a router that leaves and asks for what it has just returned,
// so that its tokens are lost to everybody when it ends.
TEST_CASE_METHOD(AheadFixture,
                 "A purse that returns all asks for nothing ahead")
{
  this->ServeFor(3s);
  this->purse.ReturnAll();
  this->Report();
  this->now += 1s;
  CHECK(this->AnswerNeeds(Tokens(1000)) == 0);
  CHECK(this->purse.IsEmpty());
}

// Guards against a router that keeps tokens for longer than it will serve.
TEST_CASE_METHOD(AheadFixture, "A shorter horizon makes a purse return tokens")
{
  this->ServeFor(3s);
  this->purse.SetHorizon(2s);
  this->Report();
  CHECK(this->Available() <= Tokens(3000));
}

// Guards against a budget that counts as used up after a top-up, because the
// answer to a request made ahead of demand said so before it.
TEST_CASE_METHOD(AheadFixture, "An answer to a request ahead exhausts nothing")
{
  this->ServeFor(3s);
  this->now += 7s;
  this->purse.Reserve(
    { Ticket(9000), this->workspace, Tokens(9000), Tokens(9000) }, this->now);
  auto needs = this->purse.TakeNeeds(this->now);
  for (const auto& need : needs) {
    this->purse.AddGrant({ need.request, need.workspace, Tokens(0), true },
                         this->now);
  }
  this->purse.Poll(this->now);
  this->now += 1s;
  REQUIRE_FALSE(this->purse.Reserve(
    { Ticket(9001), this->workspace, Tokens(20000), Tokens(20000) },
    this->now));
  // It is asked for before it is refused.
  CHECK(this->purse.Poll(this->now).empty());
  CHECK(this->purse.TakeNeeds(this->now).size() == 1);
}
