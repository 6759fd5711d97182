#include "exchange.h"

#include <array>
#include <catch2/catch.hpp>

using namespace lycheestand;
using namespace lycheestand::budget;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kRouters = 4;

// One request being served, and the tokens it turns out to use.
struct Work
{
  Ticket ticket;
  Tokens use;
};

// Drives the exchange with random load and faults, and counts what routers
// really serve.
class ExchangeFixture
{
public:
  void Start(std::uint64_t aSeed)
  {
    this->random.seed(aSeed);
    NetworkFaults faults{ 1ms, 400ms, 10, 10 };
    this->paid = Tokens(60000);
    this->exchange.emplace(kRouters, this->paid, faults, aSeed);
  }

  std::uint64_t Pick(std::uint64_t aBound) { return this->random() % aBound; }

  void Claim()
  {
    std::size_t router = this->Pick(kRouters);
    if (this->exchange->IsFrozen(router)) {
      return;
    }
    auto bound = static_cast<std::int64_t>(50 + this->Pick(900));
    this->exchange->Reserve(router,
                            { Ticket(this->nextTicket++),
                              this->exchange->Workspace(),
                              Tokens(bound / 2 + 1),
                              Tokens(bound) });
  }

  // Serves part of the reservation, so that both ends of a request show up.
  void Finish(std::size_t aRouter, const Work& aWork)
  {
    this->served += aWork.use;
    ++this->settled;
    this->exchange->Settle(aRouter, aWork.ticket, aWork.use);
  }

  void Fault()
  {
    std::size_t router = this->Pick(kRouters);
    switch (this->Pick(8)) {
      case 0:
      case 1:
        this->exchange->Cut(router, this->Pick(2) == 0, this->Pick(2) == 0);
        break;
      case 2:
        this->exchange->Freeze(router, true);
        break;
      case 3:
        this->exchange->Freeze(router, false);
        break;
      case 4:
        this->Die(router);
        break;
      case 5:
        this->paid += Tokens(3000);
        this->exchange->TopUp(Tokens(3000));
        break;
      default:
        this->exchange->Cut(router, false, false);
    }
  }

  // A router that dies has served any part of what it reserved.
  void Die(std::size_t aRouter)
  {
    for (const auto& work : this->open[aRouter]) {
      this->served += work.use;
    }
    this->open[aRouter].clear();
    this->exchange->Restart(aRouter);
    ++this->deaths;
  }

  void Step(bool aHasLoad)
  {
    if (aHasLoad && this->Pick(3) == 0) {
      this->Claim();
    }
    for (const auto& [router, decision] : this->exchange->Step(20ms)) {
      this->granted += decision.refusal ? 0 : 1;
      this->refused += decision.refusal ? 1 : 0;
      if (!decision.refusal) {
        auto bound = static_cast<std::uint64_t>(decision.tokens.Get());
        Tokens use(static_cast<std::int64_t>(this->Pick(bound + 1)));
        this->open[router].push_back({ decision.ticket, use });
      }
    }
    for (std::size_t router = 0; router < kRouters; ++router) {
      auto& works = this->open[router];
      if (!works.empty() && !this->exchange->IsFrozen(router) &&
          (this->Pick(10) == 0 || !aHasLoad)) {
        this->Finish(router, works.back());
        works.pop_back();
      }
    }
    this->Check();
  }

  void Check() const
  {
    const state::Budget& ledger = this->exchange->Ledger();
    REQUIRE(ledger.paid == this->paid);
    REQUIRE(ledger.spent + ledger.Outstanding() <= this->paid);
    REQUIRE(ledger.spent <= this->served);
    REQUIRE(ledger.requests <= this->settled);
    Tokens inUse;
    for (const auto& works : this->open) {
      for (const auto& work : works) {
        inUse += work.use;
      }
    }
    REQUIRE(this->served + inUse <= this->paid);
  }

  void Heal()
  {
    for (std::size_t router = 0; router < kRouters; ++router) {
      this->exchange->Cut(router, false, false);
      this->exchange->Freeze(router, false);
    }
    // Lost messages are sent again every second.
    for (int step = 0; step < 3000; ++step) {
      this->Step(false);
    }
  }

  std::mt19937_64 random;
  std::optional<Exchange> exchange;
  std::array<std::vector<Work>, kRouters> open;
  Tokens paid;
  Tokens served;
  std::uint64_t nextTicket = 1;
  std::uint64_t settled = 0;
  std::uint64_t granted = 0;
  std::uint64_t refused = 0;
  std::uint64_t deaths = 0;
};

} // namespace

// Guards against overspend, usage counted twice or lost, and tokens stranded at
// a live router, under cuts, loss, repeats, freezes, deaths and top-ups.
TEST_CASE("A budget holds under every fault between purses and control")
{
  std::uint64_t granted = 0;
  std::uint64_t refused = 0;
  std::uint64_t deaths = 0;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    ExchangeFixture model;
    model.Start(seed);
    for (int step = 0; step < 3000; ++step) {
      if (model.Pick(60) == 0) {
        model.Fault();
      }
      model.Step(true);
    }
    model.Heal();
    const state::Budget& ledger = model.exchange->Ledger();
    CAPTURE(seed);
    for (std::size_t router = 0; router < kRouters; ++router) {
      REQUIRE(model.exchange->IsEmpty(router));
      REQUIRE_FALSE(
        ledger.outstanding.contains(model.exchange->SessionOf(router)));
    }
    // What dead routers served and had not reported is still charged.
    REQUIRE(model.served <= ledger.spent + ledger.Outstanding());
    granted += model.granted;
    refused += model.refused;
    deaths += model.deaths;
  }
  REQUIRE(granted > 5000);
  REQUIRE(refused > 100);
  REQUIRE(deaths > 100);
}

// Guards against a settled request that is billed twice or never; without
// deaths every one must be in the bill.
TEST_CASE("Every settled request is billed once after the faults")
{
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    ExchangeFixture model;
    model.Start(seed);
    for (int step = 0; step < 2000; ++step) {
      std::size_t router = model.Pick(kRouters);
      if (model.Pick(60) == 0) {
        model.exchange->Cut(router, model.Pick(2) == 0, model.Pick(2) == 0);
        model.exchange->Freeze(router, model.Pick(4) == 0);
      }
      model.Step(true);
    }
    model.Heal();
    CAPTURE(seed);
    REQUIRE(model.exchange->Ledger().requests == model.settled);
    REQUIRE(model.exchange->Ledger().spent == model.served);
    REQUIRE(model.exchange->Ledger().outstanding.empty());
  }
}
