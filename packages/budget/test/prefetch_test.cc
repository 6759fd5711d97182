#include <catch2/catch.hpp>
#include <lycheestand/budget.h>

using namespace lycheestand;
using namespace lycheestand::budget;
using namespace std::chrono_literals;

namespace {

// A LocalBudget that requests grants in advance, and its clock.
class PrefetchFixture
{
public:
  static LocalBudgetOptions MakeOptions()
  {
    LocalBudgetOptions options;
    options.grantHorizon = 10s;
    options.prefetchThreshold = 8s;
    options.surplusFactor = 1.3;
    options.idleReturnDelay = 20s;
    options.retryDelay = 15ms;
    options.maxRetryDelay = 1s;
    return options;
  }

  // Serves one claim of 100 tokens every 100 ms for aTime: 1,000 tokens/s.
  void ServeClaimsFor(Duration aTime)
  {
    for (auto end = this->now + aTime; this->now < end; this->now += 100ms) {
      Claim claim{
        Ticket(++this->lastTicket), this->workspace, Tokens(100), Tokens(100)
      };
      bool isDecided = this->localBudget.Reserve(claim, this->now).has_value();
      this->ReplyToGrantRequests(Tokens(1000000));
      REQUIRE((isDecided || this->localBudget.Poll(this->now).size() == 1));
      this->localBudget.Settle(claim.ticket, Tokens(100), this->now);
      this->Report();
    }
  }

  std::size_t ReplyToGrantRequests(Tokens aMaxTokens)
  {
    auto grantRequests = this->localBudget.TakeGrantRequests(this->now);
    for (const auto& grantRequest : grantRequests) {
      this->localBudget.AddGrant({ grantRequest.request,
                                   grantRequest.workspace,
                                   std::min(grantRequest.wanted, aMaxTokens),
                                   false },
                                 this->now);
    }
    return grantRequests.size();
  }

  void Report()
  {
    if (auto batch = this->localBudget.TakeBatch(this->now)) {
      this->localBudget.Acknowledge(batch->number);
    }
  }

  Tokens Available()
  {
    return this->localBudget.Holdings()[this->workspace].available;
  }

  WorkspaceId workspace{ "kalkki" };
  TimePoint now = TimePoint(1000s);
  std::uint64_t lastTicket = 0;
  LocalBudget localBudget{ MakeOptions() };
};

} // namespace

// Guards against refusals as soon as a router loses the connection to control,
// because it holds only the tokens of its last claims.
TEST_CASE_METHOD(PrefetchFixture,
                 "A router holds tokens for the demand expected next")
{
  this->ServeClaimsFor(3s);
  CHECK(this->Available() >= Tokens(7000));
  CHECK(this->Available() <= Tokens(14000));
}

// Guards against routers that keep control busy with requests for tokens of a
// budget that is nearly used up, so that it replies late to all others.
TEST_CASE_METHOD(PrefetchFixture,
                 "Requests that are granted nothing are repeated ever later")
{
  this->ServeClaimsFor(1s);
  std::size_t requests = 0;
  for (auto end = this->now + 10s; this->now < end; this->now += 10ms) {
    Claim claim{
      Ticket(++this->lastTicket), this->workspace, Tokens(100), Tokens(100)
    };
    this->localBudget.Reserve(claim, this->now);
    requests += this->ReplyToGrantRequests(Tokens(0));
    this->localBudget.Poll(this->now);
    this->localBudget.Settle(claim.ticket, Tokens(100), this->now);
  }
  // Ten at the largest delay, and seven until it is reached, both for claims
  // and in advance.
  CHECK(requests <= 34);
  // A grant ends the delays.
  this->now += 1s;
  this->localBudget.Reserve(
    { Ticket(++this->lastTicket), this->workspace, Tokens(100), Tokens(100) },
    this->now);
  CHECK(this->ReplyToGrantRequests(Tokens(100)) == 1);
  CHECK(this->localBudget.Poll(this->now).size() == 1);
  CHECK(this->ReplyToGrantRequests(Tokens(100)) == 1);
}

// Guards against a claim that waits for a grant that cannot arrive.
TEST_CASE_METHOD(PrefetchFixture,
                 "An uncovered claim is refused at once without control")
{
  this->localBudget.SetOnline(false);
  auto decision = this->localBudget.Reserve(
    { Ticket(1), this->workspace, Tokens(10), Tokens(10) }, this->now);
  REQUIRE(decision);
  CHECK(decision->refusal == Refusal::Offline);
}

// Guards against a stopping router that requests the tokens that it has just
// returned, so that nobody can use them after it has stopped.
TEST_CASE_METHOD(PrefetchFixture,
                 "A router that returns all tokens requests none in advance")
{
  this->ServeClaimsFor(3s);
  this->localBudget.ReturnAll();
  this->Report();
  this->now += 1s;
  CHECK(this->ReplyToGrantRequests(Tokens(1000)) == 0);
  CHECK(this->localBudget.IsEmpty());
}

// Guards against a router that keeps tokens for a time in which it will serve
// no more requests.
TEST_CASE_METHOD(PrefetchFixture,
                 "A shorter horizon makes a router return tokens")
{
  this->ServeClaimsFor(3s);
  this->localBudget.SetHorizon(2s);
  this->Report();
  CHECK(this->Available() <= Tokens(3000));
}

// Guards against a claim that is refused after a top-up because the reply to an
// earlier request, made in advance, said that the budget was exhausted.
TEST_CASE_METHOD(PrefetchFixture,
                 "A reply to a request in advance does not refuse later claims")
{
  this->ServeClaimsFor(3s);
  this->now += 7s;
  this->localBudget.Reserve(
    { Ticket(9000), this->workspace, Tokens(9000), Tokens(9000) }, this->now);
  auto grantRequests = this->localBudget.TakeGrantRequests(this->now);
  for (const auto& grantRequest : grantRequests) {
    this->localBudget.AddGrant(
      { grantRequest.request, grantRequest.workspace, Tokens(0), true },
      this->now);
  }
  this->localBudget.Poll(this->now);
  this->now += 1s;
  REQUIRE_FALSE(this->localBudget.Reserve(
    { Ticket(9001), this->workspace, Tokens(20000), Tokens(20000) },
    this->now));
  // A grant is requested before the claim is refused.
  CHECK(this->localBudget.Poll(this->now).empty());
  CHECK(this->localBudget.TakeGrantRequests(this->now).size() == 1);
}

// Guards against a claim that is refused without a request to control, because
// earlier requests were granted nothing: others may have returned tokens since.
TEST_CASE("Control is asked about each claim after requests without a grant")
{
  LocalBudgetOptions options = PrefetchFixture::MakeOptions();
  options.claimTimeout = 100ms;
  LocalBudget localBudget{ options };
  WorkspaceId workspace("kalkki");
  TimePoint now(1000s);
  for (std::uint64_t ticket = 1; ticket <= 30; ++ticket) {
    std::size_t requests = 0;
    std::size_t decisions = 0;
    REQUIRE_FALSE(localBudget.Reserve(
      { Ticket(ticket), workspace, Tokens(100), Tokens(100) }, now));
    for (; decisions == 0; now += 10ms) {
      for (const auto& request : localBudget.TakeGrantRequests(now)) {
        requests += request.isPrefetch ? 0 : 1;
        localBudget.AddGrant({ request.request, workspace }, now);
      }
      decisions += localBudget.Poll(now).size();
    }
    CHECK(requests >= 1);
  }
}

// Guards against claims of a budget that is used up which wait to their
// deadline, and are then told that other routers hold tokens.
TEST_CASE("A claim that control could not cover just now is refused at once")
{
  LocalBudgetOptions options = PrefetchFixture::MakeOptions();
  options.claimTimeout = 100ms;
  LocalBudget localBudget{ options };
  WorkspaceId workspace("kalkki");
  TimePoint now(1000s);
  auto claim = [&](std::uint64_t aTicket, std::int64_t aTokens) {
    Tokens tokens(aTokens);
    return localBudget.Reserve({ Ticket(aTicket), workspace, tokens, tokens },
                               now);
  };
  REQUIRE_FALSE(claim(1, 100));
  REQUIRE_FALSE(claim(2, 100));
  auto requests = localBudget.TakeGrantRequests(now);
  REQUIRE(requests.size() == 1);
  GrantReply reply{ requests[0].request, workspace, Tokens(0), true };
  localBudget.AddGrant(reply, now);
  auto decisions = localBudget.Poll(now);
  REQUIRE(decisions.size() == 2);
  CHECK(decisions[1].refusal == Refusal::Exhausted);
  auto decision = claim(3, 100);
  REQUIRE(decision);
  CHECK(decision->refusal == Refusal::Exhausted);
  // A smaller claim may still be covered, and any claim after a top-up.
  CHECK_FALSE(claim(4, 99));
  now += 200ms;
  CHECK_FALSE(claim(5, 100));
}
