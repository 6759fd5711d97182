#include "budget_simulation.h"

#include <array>
#include <catch2/catch.hpp>

using namespace lycheestand;
using namespace lycheestand::budget;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kRouters = 4;

// A request that is being served, and the tokens that it will have used.
struct ActiveRequest
{
  Ticket ticket;
  Tokens usedTokens;
};

// Runs the simulation with random load and faults, and counts the tokens that
// the routers serve.
class FaultFixture
{
public:
  void Start(std::uint64_t aSeed)
  {
    this->random.seed(aSeed);
    NetworkFaults faults{ 1ms, 400ms, 10, 10 };
    this->paid = Tokens(60000);
    this->simulation.emplace(kRouters, this->paid, faults, aSeed);
  }

  std::uint64_t Draw(std::uint64_t aBound) { return this->random() % aBound; }

  void Claim()
  {
    std::size_t router = this->Draw(kRouters);
    if (this->simulation->IsSuspended(router)) {
      return;
    }
    auto bound = static_cast<std::int64_t>(50 + this->Draw(900));
    this->simulation->Reserve(router,
                              { Ticket(this->nextTicket++),
                                this->simulation->Workspace(),
                                Tokens(bound / 2 + 1),
                                Tokens(bound) });
  }

  // Ends a request, which has used all or part of its reservation.
  void Finish(std::size_t aRouter, const ActiveRequest& aRequest)
  {
    this->served += aRequest.usedTokens;
    ++this->settled;
    this->simulation->Settle(aRouter, aRequest.ticket, aRequest.usedTokens);
  }

  void InjectFault()
  {
    std::size_t router = this->Draw(kRouters);
    switch (this->Draw(8)) {
      case 0:
      case 1:
        this->simulation->Cut(router, this->Draw(2) == 0, this->Draw(2) == 0);
        break;
      case 2:
        this->simulation->SetSuspended(router, true);
        break;
      case 3:
        this->simulation->SetSuspended(router, false);
        break;
      case 4:
        this->Crash(router);
        break;
      case 5:
        this->paid += Tokens(3000);
        this->simulation->TopUp(Tokens(3000));
        break;
      default:
        this->simulation->Cut(router, false, false);
    }
  }

  // Restarts a router. Its requests have used their tokens, but are not
  // settled.
  void Crash(std::size_t aRouter)
  {
    for (const auto& request : this->activeRequests[aRouter]) {
      this->served += request.usedTokens;
    }
    this->activeRequests[aRouter].clear();
    this->simulation->Restart(aRouter);
    ++this->crashes;
  }

  void Step(bool aHasLoad)
  {
    if (aHasLoad && this->Draw(3) == 0) {
      this->Claim();
    }
    for (const auto& [router, decision] : this->simulation->Step(20ms)) {
      this->granted += decision.refusal ? 0 : 1;
      this->refused += decision.refusal ? 1 : 0;
      if (!decision.refusal) {
        auto bound = static_cast<std::uint64_t>(decision.tokens.Get());
        Tokens usedTokens(static_cast<std::int64_t>(this->Draw(bound + 1)));
        this->activeRequests[router].push_back({ decision.ticket, usedTokens });
      }
    }
    for (std::size_t router = 0; router < kRouters; ++router) {
      auto& requests = this->activeRequests[router];
      if (!requests.empty() && !this->simulation->IsSuspended(router) &&
          (this->Draw(10) == 0 || !aHasLoad)) {
        this->Finish(router, requests.back());
        requests.pop_back();
      }
    }
    this->Check();
  }

  void Check() const
  {
    const state::Budget& ledger = this->simulation->Ledger();
    REQUIRE(ledger.paid == this->paid);
    REQUIRE(ledger.spent + ledger.Outstanding() <= this->paid);
    REQUIRE(ledger.spent <= this->served);
    REQUIRE(ledger.requests <= this->settled);
    Tokens inUse;
    for (const auto& requests : this->activeRequests) {
      for (const auto& request : requests) {
        inUse += request.usedTokens;
      }
    }
    REQUIRE(this->served + inUse <= this->paid);
  }

  void RepairFaults()
  {
    for (std::size_t router = 0; router < kRouters; ++router) {
      this->simulation->Cut(router, false, false);
      this->simulation->SetSuspended(router, false);
    }
    // Covers 60 s; lost messages are sent again every second.
    for (int step = 0; step < 3000; ++step) {
      this->Step(false);
    }
  }

  std::mt19937_64 random;
  std::optional<BudgetSimulation> simulation;
  std::array<std::vector<ActiveRequest>, kRouters> activeRequests;
  Tokens paid;
  Tokens served;
  std::uint64_t nextTicket = 1;
  std::uint64_t settled = 0;
  std::uint64_t granted = 0;
  std::uint64_t refused = 0;
  std::uint64_t crashes = 0;
};

} // namespace

// Guards against spending beyond the budget, usage counted twice or lost, and
// unused tokens left at a running router, under network partitions, lost and
// repeated messages, suspended and crashed routers, and top-ups.
TEST_CASE("A budget is never exceeded under faults between routers and control")
{
  std::uint64_t granted = 0;
  std::uint64_t refused = 0;
  std::uint64_t crashes = 0;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    FaultFixture fixture;
    fixture.Start(seed);
    for (int step = 0; step < 3000; ++step) {
      if (fixture.Draw(60) == 0) {
        fixture.InjectFault();
      }
      fixture.Step(true);
    }
    fixture.RepairFaults();
    const state::Budget& ledger = fixture.simulation->Ledger();
    CAPTURE(seed);
    for (std::size_t router = 0; router < kRouters; ++router) {
      REQUIRE(fixture.simulation->IsEmpty(router));
      REQUIRE_FALSE(
        ledger.outstanding.contains(fixture.simulation->SessionOf(router)));
    }
    // Usage that crashed routers did not report is still charged.
    REQUIRE(fixture.served <= ledger.spent + ledger.Outstanding());
    granted += fixture.granted;
    refused += fixture.refused;
    crashes += fixture.crashes;
  }
  REQUIRE(granted > 5000);
  REQUIRE(refused > 100);
  REQUIRE(crashes > 100);
}

// Guards against a settled request that is charged twice or never. Without
// crashes, every settled request must be charged.
TEST_CASE("Every settled request is charged once after the faults")
{
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    FaultFixture fixture;
    fixture.Start(seed);
    for (int step = 0; step < 2000; ++step) {
      std::size_t router = fixture.Draw(kRouters);
      if (fixture.Draw(60) == 0) {
        fixture.simulation->Cut(
          router, fixture.Draw(2) == 0, fixture.Draw(2) == 0);
        fixture.simulation->SetSuspended(router, fixture.Draw(4) == 0);
      }
      fixture.Step(true);
    }
    fixture.RepairFaults();
    CAPTURE(seed);
    REQUIRE(fixture.simulation->Ledger().requests == fixture.settled);
    REQUIRE(fixture.simulation->Ledger().spent == fixture.served);
    REQUIRE(fixture.simulation->Ledger().outstanding.empty());
  }
}
