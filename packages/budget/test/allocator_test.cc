#include "zone_simulation.h"

#include <catch2/catch.hpp>

using namespace lycheestand;
using namespace lycheestand::budget;
using namespace std::chrono_literals;

namespace {

// Requests of very different sizes at all routers of a fleet, as a workspace
// sends them.
class FleetLoad
{
public:
  FleetLoad(ZoneFleet aFleet, double aRequestsPerSecond)
    : simulation(aFleet)
    , random(aFleet.seed + 1)
    , gap(std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(1 / aRequestsPerSecond)))
  {
  }

  // Sends requests for a time; each reserves a fifth more than it spends, which
  // is between 250 and 20,000 tokens.
  void Send(Duration aTime)
  {
    for (Duration done{}; done < aTime; done += this->gap) {
      std::lognormal_distribution<double> size(8, 1);
      auto spent = std::clamp(size(this->random), 250.0, 20000.0);
      Tokens tokens(static_cast<std::int64_t>(spent));
      this->simulation.Request(this->random() % this->simulation.Routers(),
                               tokens + Tokens(tokens.Get() / 5),
                               tokens,
                               500ms);
      this->simulation.Advance(this->gap);
    }
  }

  double RefusedShare() const
  {
    const auto& counts = this->simulation.Counts();
    return static_cast<double>(counts.unavailable + counts.exhausted) /
           static_cast<double>(counts.Total());
  }

  ZoneSimulation simulation;
  std::mt19937_64 random;
  Duration gap;
};

} // namespace

// Guards against a budget that is split a hundred ways: while all routers were
// cut off from control, most requests were refused although the routers held
// twelve seconds of the demand together, since no router held enough.
TEST_CASE("A hundred routers serve through a cut from what allocators hold")
{
  for (std::uint64_t seed : { 1, 2, 3 }) {
    FleetLoad load({ .zones = 5,
                     .routersPerZone = 20,
                     .paid = Tokens(4000000),
                     .seed = seed },
                   20);
    load.Send(15s);
    load.simulation.ResetCounts();
    load.simulation.CutControl(true);
    load.Send(8s);
    CHECK(load.RefusedShare() < 0.05);
  }
}

// Guards against allocators that keep what others could spend: without faults,
// a budget is handed out to the last request that fits.
TEST_CASE("A budget is spent to its end without being stranded")
{
  FleetLoad load({ .zones = 3, .routersPerZone = 4, .paid = Tokens(1000000) },
                 20);
  load.Send(25s);
  load.simulation.Advance(2s);
  Tokens left = load.simulation.Ledger().paid - load.simulation.Ledger().spent;
  CHECK(left < Tokens(20000));
  CHECK(load.simulation.Counts().exhausted > 0);
}

// Guards against tokens that are spent twice around lost messages, cuts and
// processes that end.
TEST_CASE("Loans never exceed the budget under random faults")
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    FleetLoad load({ .zones = 3,
                     .routersPerZone = 3,
                     .paid = Tokens(600000),
                     .lostPercent = 3,
                     .seed = seed },
                   20);
    for (int round = 0; round < 12; ++round) {
      load.simulation.CutControl(load.random() % 4 == 0);
      std::size_t router = load.random() % load.simulation.Routers();
      if (load.random() % 2 == 0) {
        load.simulation.Restart(router);
      } else {
        load.simulation.CutRouter(router, load.random() % 2 == 0);
      }
      load.Send(1s);
      const auto& ledger = load.simulation.Ledger();
      REQUIRE(load.simulation.Spent() <= ledger.paid);
      REQUIRE(ledger.spent + ledger.Outstanding() <= ledger.paid);
    }
    CHECK(load.simulation.Counts().covered > 20);
  }
}

namespace {

// One router's budget with one allocator, driven message by message.
class RouterBudgetFixture
{
public:
  RouterBudgetFixture()
    : budget({ LocalBudgetOptions{}, this->Borrowed(), [this] {
                return Ticket(this->nextTicket++);
              } })
  {
    this->budget.SetLending(
      { [this](const WorkspaceId&) { return this->plan; }, {}, {} });
    this->budget.SetOnline(false, this->now);
    this->budget.ConnectAllocator(this->allocator, SessionId(7));
  }

  static LocalBudgetOptions Borrowed()
  {
    LocalBudgetOptions options;
    options.retryDelay = Duration(0);
    options.maxRetryDelay = Duration(0);
    options.isOnDemand = true;
    return options;
  }

  Claim MakeClaim(std::uint64_t aTicket, std::int64_t aTokens) const
  {
    return {
      Ticket(aTicket), this->workspace, Tokens(aTokens), Tokens(aTokens)
    };
  }

  GrantRequest TakeRequest()
  {
    auto messages = this->budget.TakeRequests(this->now);
    REQUIRE(messages.size() == 1);
    return std::get<GrantRequest>(messages[0].body);
  }

  std::uint64_t nextTicket = 1000;
  WorkspaceId workspace{ "kalkki" };
  InstanceId allocator{ "a" };
  LendingPlan plan{ { this->allocator }, false, false };
  TimePoint now = TimePoint(1000s);
  RouterBudget budget;
};

} // namespace

// Guards against a caller that waits for ever because the allocator's process
// ended while its claim was queued there.
TEST_CASE_METHOD(RouterBudgetFixture,
                 "A claim is decided if its allocator is replaced meanwhile")
{
  REQUIRE_FALSE(this->budget.Reserve(this->MakeClaim(1, 100), this->now));
  this->TakeRequest();
  this->budget.ConnectAllocator(this->allocator, SessionId(8));
  auto decisions = this->budget.Poll(this->now);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].refusal == Refusal::Offline);
}

// Guards against a claim that waits although the allocator has said that it has
// no tokens and no contact with control.
TEST_CASE_METHOD(RouterBudgetFixture,
                 "A claim goes to the next source at once when one refuses it")
{
  InstanceId other("b");
  this->plan.allocators.push_back(other);
  this->budget.ConnectAllocator(other, SessionId(9));
  REQUIRE_FALSE(this->budget.Reserve(this->MakeClaim(1, 100), this->now));
  GrantReply refusal{ this->TakeRequest().request, this->workspace };
  refusal.isLenderOffline = true;
  this->budget.AddGrant({ this->allocator }, refusal, this->now);
  REQUIRE(this->budget.Poll(this->now).empty());
  GrantReply reply{ this->TakeRequest().request, this->workspace, Tokens(100) };
  this->budget.AddGrant({ other }, reply, this->now);
  auto decisions = this->budget.Poll(this->now);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].tokens == Tokens(100));
}

// Guards against a refusal that says that other routers hold tokens when the
// allocator knows that the budget is used up.
TEST_CASE_METHOD(RouterBudgetFixture,
                 "A claim is refused as exhausted if the allocator says so")
{
  REQUIRE_FALSE(this->budget.Reserve(this->MakeClaim(1, 100), this->now));
  GrantReply reply{ this->TakeRequest().request, this->workspace };
  reply.exhausted = true;
  this->budget.AddGrant({ this->allocator }, reply, this->now);
  auto decisions = this->budget.Poll(this->now);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].refusal == Refusal::Exhausted);
}

// Guards against a loan that a router reports to a process that did not lend
// it.
TEST_CASE_METHOD(RouterBudgetFixture,
                 "What an ended process has lent is not reported to the next")
{
  REQUIRE_FALSE(this->budget.Reserve(this->MakeClaim(1, 100), this->now));
  GrantReply reply{ this->TakeRequest().request, this->workspace, Tokens(100) };
  this->budget.AddGrant({ this->allocator }, reply, this->now);
  REQUIRE(this->budget.Poll(this->now).size() == 1);
  this->budget.ConnectAllocator(this->allocator, SessionId(8));
  this->budget.Settle(Ticket(1), Tokens(60), this->now);
  CHECK(this->budget.TakeReports(this->now).empty());
  CHECK(this->budget.IsEmpty());
}

// Guards against a router that is lent the same tokens twice because it sent
// its request again.
TEST_CASE("A repeated request for a loan gets its first reply")
{
  LocalBudget tokens{ LocalBudgetOptions{} };
  TimePoint now(1000s);
  WorkspaceId workspace("kalkki");
  std::uint64_t next = 1;
  Lender lender(tokens, [&] { return Ticket(next++); });
  GrantRequest request{ 1, workspace, Tokens(100), Tokens(100), false };
  REQUIRE_FALSE(lender.Request(SessionId(5), request, now));
  auto asked = tokens.TakeGrantRequests(now);
  REQUIRE(asked.size() == 1);
  tokens.AddGrant({ asked[0].request, workspace, Tokens(300) }, now);
  auto decisions = tokens.Poll(now);
  REQUIRE(decisions.size() == 1);
  auto first = lender.Decide(decisions[0]);
  REQUIRE(first);
  CHECK(first->reply.tokens == Tokens(100));
  auto again = lender.Request(SessionId(5), request, now);
  REQUIRE(again);
  CHECK(again->reply.tokens == Tokens(100));
  CHECK(tokens.Holdings()[workspace].lent == Tokens(100));
}

// Guards against a router that gives back more than it was lent, so that the
// difference would be spent twice.
TEST_CASE("A report beyond the loan changes nothing")
{
  LocalBudget tokens{ LocalBudgetOptions{} };
  TimePoint now(1000s);
  WorkspaceId workspace("kalkki");
  std::uint64_t next = 1;
  Lender lender(tokens, [&] { return Ticket(next++); });
  lender.Request(
    SessionId(5), { 1, workspace, Tokens(100), Tokens(100), false }, now);
  auto asked = tokens.TakeGrantRequests(now);
  tokens.AddGrant({ asked[0].request, workspace, Tokens(100) }, now);
  for (const auto& decision : tokens.Poll(now)) {
    lender.Decide(decision);
  }
  UsageBatch tooMuch{ BatchNumber(1),
                      { { workspace, Tokens(60), Tokens(60), 1 } } };
  CHECK_FALSE(lender.Report(SessionId(5), tooMuch));
  CHECK(tokens.Holdings()[workspace].lent == Tokens(100));
  UsageBatch right{ BatchNumber(1),
                    { { workspace, Tokens(60), Tokens(40), 1 } } };
  CHECK(lender.Report(SessionId(5), right));
  CHECK(lender.Report(SessionId(5), right));
  CHECK(tokens.Holdings()[workspace].lent == Tokens(0));
  CHECK(tokens.Holdings()[workspace].available == Tokens(40));
}

// Guards against a Retry-After within an outage of all routers, and against a
// long one when only this router has lost contact.
TEST_CASE_METHOD(RouterBudgetFixture,
                 "Retry-After covers an outage that the allocator confirms")
{
  this->now += 1s;
  this->budget.DisconnectAllocator(this->allocator);
  auto alone = this->budget.Reserve(this->MakeClaim(1, 100), this->now);
  REQUIRE(alone);
  CHECK(alone->retryAfter == 1s);
  this->budget.ConnectAllocator(this->allocator, SessionId(7));
  REQUIRE_FALSE(this->budget.Reserve(this->MakeClaim(2, 100), this->now));
  GrantReply reply{ this->TakeRequest().request, this->workspace };
  reply.isLenderOffline = true;
  this->budget.AddGrant({ this->allocator }, reply, this->now);
  auto decisions = this->budget.Poll(this->now);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].retryAfter == 8s);
}

// Guards against a main user of a budget that is named after a single loan, and
// against none when other zones use the budget as much.
TEST_CASE("The borrower of nearly all loans is named the main user")
{
  LocalBudget tokens{ LocalBudgetOptions{} };
  TimePoint now(1000s);
  WorkspaceId workspace("kalkki");
  std::uint64_t next = 1;
  Lender lender(tokens, [&] { return Ticket(next++); });
  lender.Request(
    SessionId(4), { 1, workspace, Tokens(100), Tokens(100), false }, now);
  auto asked = tokens.TakeGrantRequests(now);
  REQUIRE(asked.size() == 1);
  tokens.AddGrant({ asked[0].request, workspace, Tokens(10000) }, now);
  for (const auto& decision : tokens.Poll(now)) {
    auto first = lender.Decide(decision);
    REQUIRE(first);
    CHECK_FALSE(first->reply.holdsTokenMajority);
  }
  std::optional<LoanReply> loan;
  for (std::uint64_t request = 1; request <= 6; ++request) {
    loan = lender.Request(
      SessionId(5), { request, workspace, Tokens(100), Tokens(100) }, now);
    REQUIRE(loan);
    CHECK((request > 3 || !loan->reply.holdsTokenMajority));
  }
  CHECK(loan->reply.holdsTokenMajority);
}
