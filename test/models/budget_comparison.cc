#include "budget_simulation.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <memory>

// Prints false refusals, stranded tokens and overspend of the project's budgets
// and of two simpler ways, under equal seeded load and faults. The router that
// fails is router 0, from second 20 to second 40 of 60.

using namespace lycheestand;
using namespace lycheestand::budget;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kRouters = 6;
constexpr Duration kStep = 10ms;
constexpr Duration kRoundTrip = 4ms;
constexpr Duration kClaimTimeout = 2s;
constexpr int kFaultFrom = 2000;
constexpr int kFaultUntil = 4000;
constexpr int kLoadSteps = 6000;
constexpr int kDrainSteps = 1000;

enum class Fault
{
  None,
  Partition,
  Death,
  Freeze
};

// One way of guarding a budget that several routers share.
class Guard
{
public:
  virtual ~Guard() = default;
  virtual void Claim(std::size_t aRouter, const budget::Claim& aClaim) = 0;
  virtual void Settle(std::size_t aRouter, Ticket aTicket, Tokens aSpent) = 0;
  virtual std::vector<RouterDecision> Step() = 0;
  virtual void Cut(bool aIsCut) = 0;
  virtual void Freeze(bool aIsFrozen) = 0;
  virtual void Restart() = 0;
  // Returns what no live router that can reach control could use.
  virtual Tokens Stranded() const = 0;
  virtual std::uint64_t Messages() const = 0;
};

// Purses and grants, as the project has them.
class Escrow : public Guard
{
public:
  explicit Escrow(Tokens aPaid)
    : exchange(kRouters, aPaid, { kRoundTrip / 2, kRoundTrip / 2, 0, 0 }, 1)
  {
  }
  void Claim(std::size_t aRouter, const budget::Claim& aClaim) override
  {
    this->exchange.Reserve(aRouter, aClaim);
  }
  void Settle(std::size_t aRouter, Ticket aTicket, Tokens aSpent) override
  {
    this->exchange.Settle(aRouter, aTicket, aSpent);
  }
  std::vector<RouterDecision> Step() override
  {
    return this->exchange.Step(kStep);
  }
  void Cut(bool aIsCut) override
  {
    this->isApart = aIsCut;
    this->exchange.Cut(0, aIsCut, aIsCut);
  }
  void Freeze(bool aIsFrozen) override
  {
    this->isApart = aIsFrozen;
    this->exchange.Freeze(0, aIsFrozen);
  }
  void Restart() override { this->exchange.Restart(0); }
  Tokens Stranded() const override
  {
    Tokens sum = this->isApart ? this->exchange.AvailableTokens(0) : Tokens(0);
    const auto& ledger = this->exchange.Ledger();
    for (const auto& [session, tokens] : ledger.outstanding) {
      bool isLive = false;
      for (std::size_t router = 0; router < kRouters; ++router) {
        isLive = isLive || this->exchange.SessionOf(router) == session;
      }
      sum += isLive ? Tokens(0) : tokens;
    }
    return sum;
  }
  std::uint64_t Messages() const override { return this->exchange.Messages(); }

private:
  BudgetSimulation exchange;
  bool isApart = false;
};

// One check at control for each request: control compares what is paid with
// what has been charged, and is told of the use afterwards. With a hold it also
// sets the request's bound aside until then.
class CentralCheck : public Guard
{
public:
  CentralCheck(Tokens aPaid, bool aHasHold)
    : free(aPaid)
    , hasHold(aHasHold)
  {
  }
  void Claim(std::size_t aRouter, const budget::Claim& aClaim) override
  {
    this->queue.push_back({ aRouter, aClaim, this->now });
  }
  void Settle(std::size_t aRouter, Ticket aTicket, Tokens aSpent) override
  {
    this->reports.push_back({ aRouter, aTicket, aSpent });
  }
  std::vector<RouterDecision> Step() override
  {
    this->now += kStep;
    std::erase_if(this->reports, [this](const Report& aReport) {
      return this->IsReachable(aReport.router) && this->Count(aReport);
    });
    std::vector<RouterDecision> out;
    std::erase_if(this->queue, [&](const Waiting& aWaiting) {
      auto decision = this->Decide(aWaiting);
      if (decision) {
        out.push_back({ aWaiting.router, *decision });
      }
      return decision.has_value();
    });
    return out;
  }
  void Cut(bool aIsCut) override { this->isApart = aIsCut; }
  void Freeze(bool aIsFrozen) override { this->isApart = aIsFrozen; }
  void Restart() override
  {
    std::erase_if(this->reports,
                  [](const Report& aEntry) { return aEntry.router == 0; });
    std::erase_if(this->queue,
                  [](const Waiting& aEntry) { return aEntry.router == 0; });
    for (const auto& [ticket, hold] : this->holds) {
      this->lost += hold.first == 0 ? hold.second : Tokens(0);
    }
    std::erase_if(this->holds,
                  [](const auto& aHold) { return aHold.second.first == 0; });
  }
  Tokens Stranded() const override { return this->lost; }
  std::uint64_t Messages() const override { return this->messages; }

private:
  struct Waiting
  {
    std::size_t router;
    budget::Claim claim;
    TimePoint since;
  };
  struct Report
  {
    std::size_t router;
    Ticket ticket;
    Tokens spent;
  };

  bool IsReachable(std::size_t aRouter) const
  {
    return aRouter != 0 || !this->isApart;
  }
  bool Count(const Report& aReport)
  {
    this->messages += 2;
    auto hold = this->holds.find(aReport.ticket);
    if (hold != this->holds.end()) {
      this->free += hold->second.second;
      this->holds.erase(hold);
    }
    this->free -= aReport.spent;
    return true;
  }
  std::optional<Decision> Decide(const Waiting& aWaiting)
  {
    const auto& claim = aWaiting.claim;
    if (!this->IsReachable(aWaiting.router)) {
      bool isLate = this->now - aWaiting.since >= kClaimTimeout;
      return isLate ? std::optional(
                        Decision{ claim.ticket, Tokens(0), Refusal::NoGrant })
                    : std::nullopt;
    }
    this->messages += 2;
    if (this->free < claim.minimum) {
      return Decision{ claim.ticket, Tokens(0), Refusal::Exhausted };
    }
    Tokens tokens = std::min(this->free, claim.wanted);
    if (this->hasHold) {
      this->free -= tokens;
      this->holds[claim.ticket] = { aWaiting.router, tokens };
    }
    return Decision{ claim.ticket, tokens, std::nullopt };
  }

  Tokens free;
  Tokens lost;
  bool hasHold;
  bool isApart = false;
  TimePoint now{};
  std::vector<Waiting> queue;
  std::vector<Report> reports;
  std::map<Ticket, std::pair<std::size_t, Tokens>> holds;
  std::uint64_t messages = 0;
};

// Each router has an equal part of the budget, which never moves.
class FixedShares : public Guard
{
public:
  explicit FixedShares(Tokens aPaid)
  {
    this->free.fill(Tokens(aPaid.Get() / std::int64_t(kRouters)));
  }
  void Claim(std::size_t aRouter, const budget::Claim& aClaim) override
  {
    Tokens& share = this->free[aRouter];
    Decision decision{ aClaim.ticket, Tokens(0), Refusal::Exhausted };
    if (share >= aClaim.minimum) {
      decision = { aClaim.ticket, std::min(share, aClaim.wanted), {} };
      share -= decision.tokens;
      this->reserved[aClaim.ticket] = { aRouter, decision.tokens };
    }
    this->decided.push_back({ aRouter, decision });
  }
  void Settle(std::size_t aRouter, Ticket aTicket, Tokens aSpent) override
  {
    this->free[aRouter] += this->reserved[aTicket].second - aSpent;
    this->reserved.erase(aTicket);
  }
  std::vector<RouterDecision> Step() override
  {
    return std::exchange(this->decided, {});
  }
  void Cut(bool) override {}
  void Freeze(bool aIsFrozen) override { this->isFrozen = aIsFrozen; }
  // A new process can't know what the old one had used of the share.
  void Restart() override
  {
    for (const auto& [ticket, reservation] : this->reserved) {
      this->lost += reservation.first == 0 ? reservation.second : Tokens(0);
    }
    this->lost += this->free[0];
    this->free[0] = Tokens(0);
  }
  Tokens Stranded() const override
  {
    return this->lost + (this->isFrozen ? this->free[0] : Tokens(0));
  }
  std::uint64_t Messages() const override { return 0; }

private:
  std::array<Tokens, kRouters> free;
  Tokens lost;
  bool isFrozen = false;
  std::map<Ticket, std::pair<std::size_t, Tokens>> reserved;
  std::vector<RouterDecision> decided;
};

// What one run shows.
struct Figures
{
  std::uint64_t asked = 0;
  std::uint64_t falseRefusals = 0;
  std::uint64_t trueRefusals = 0;
  Tokens strandedAtEndOfFault;
  Tokens strandedAtEnd;
  Tokens overspend;
  std::uint64_t messages = 0;
};

// Seeded load over one guard. A refusal is false if what is paid, less what was
// served and what running requests may still use, covers the request.
class Run
{
public:
  Run(Guard& aGuard, Tokens aPaid, Fault aFault, std::uint64_t aSeed)
    : guard(aGuard)
    , paid(aPaid)
    , fault(aFault)
    , random(aSeed)
  {
  }

  Figures Do()
  {
    for (this->step = 0; this->step < kLoadSteps + kDrainSteps; ++this->step) {
      this->SetFault();
      if (this->step < kLoadSteps) {
        this->Arrive();
      }
      for (const auto& decided : this->guard.Step()) {
        this->Count(decided);
      }
      this->Finish();
    }
    this->figures.strandedAtEnd = this->guard.Stranded();
    this->figures.overspend = std::max(Tokens(0), this->served - this->paid);
    this->figures.messages = this->guard.Messages();
    return this->figures;
  }

private:
  struct Work
  {
    std::size_t router;
    Tokens bound;
    Tokens use;
    int ends;
  };

  bool IsApart() const
  {
    return this->step >= kFaultFrom && this->step < kFaultUntil;
  }

  void SetFault()
  {
    if (this->step != kFaultFrom && this->step != kFaultUntil) {
      return;
    }
    bool isStart = this->step == kFaultFrom;
    if (!isStart) {
      this->figures.strandedAtEndOfFault = this->guard.Stranded();
    }
    if (this->fault == Fault::Partition) {
      this->guard.Cut(isStart);
    } else if (this->fault == Fault::Freeze) {
      this->guard.Freeze(isStart);
    } else if (this->fault == Fault::Death && isStart) {
      this->Die();
    }
  }

  // What the dead router had served when it died is half of the use.
  void Die()
  {
    std::erase_if(this->open, [this](const auto& aEntry) {
      if (aEntry.second.router != 0) {
        return false;
      }
      this->served += Tokens(aEntry.second.use.Get() / 2);
      this->running -= aEntry.second.bound;
      return true;
    });
    this->guard.Restart();
  }

  // Half of the load is at one router, which changes every ten seconds. All
  // numbers are drawn before any choice, so that every guard sees equal load.
  void Arrive()
  {
    bool arrives = this->random() % 100 < 40;
    std::size_t busy = static_cast<std::size_t>(this->step / 1000) % kRouters;
    std::size_t any = this->random() % kRouters;
    std::size_t router = this->random() % 2 == 0 ? busy : any;
    auto prompt = static_cast<std::int64_t>(200 + this->random() % 1800);
    auto output = static_cast<std::int64_t>(16 + this->random() % 497);
    int length = 20 + static_cast<int>(this->random() % 500);
    // Callers leave a frozen router and reach another one.
    if (this->fault == Fault::Freeze && this->IsApart() && router == 0) {
      router = 1 + any % (kRouters - 1);
    }
    if (!arrives) {
      return;
    }
    ++this->figures.asked;
    Ticket ticket(this->nextTicket++);
    budget::Claim claim{
      ticket, WorkspaceId("kalkki"), Tokens(prompt + 16), Tokens(prompt + 512)
    };
    // A prompt has about one token to three bytes.
    this->wanted[ticket] = { claim,
                             Tokens(prompt / 3 + output),
                             this->step + length };
    this->guard.Claim(router, claim);
  }

  struct Wanted
  {
    budget::Claim claim;
    Tokens use;
    int ends;
  };

  void Count(const RouterDecision& aDecided)
  {
    const Decision& decision = aDecided.decision;
    Wanted want = this->wanted[decision.ticket];
    if (decision.refusal) {
      bool hasRoom =
        this->paid - this->served - this->running >= want.claim.minimum;
      ++(hasRoom ? this->figures.falseRefusals : this->figures.trueRefusals);
      return;
    }
    Tokens use = std::min(want.use, decision.tokens);
    this->running += decision.tokens;
    this->open[decision.ticket] = {
      aDecided.router, decision.tokens, use, want.ends
    };
  }

  void Finish()
  {
    bool isFrozen = this->fault == Fault::Freeze && this->IsApart();
    std::erase_if(this->open, [&](const auto& aEntry) {
      const Work& work = aEntry.second;
      if (work.ends > this->step || (isFrozen && work.router == 0)) {
        return false;
      }
      this->served += work.use;
      this->running -= work.bound;
      this->guard.Settle(work.router, aEntry.first, work.use);
      return true;
    });
  }

  Guard& guard;
  Tokens paid;
  Fault fault;
  std::mt19937_64 random;
  Figures figures;
  std::map<Ticket, Wanted> wanted;
  std::map<Ticket, Work> open;
  Tokens served;
  Tokens running;
  std::uint64_t nextTicket = 1;
  int step = 0;
};

using MakeGuard = std::function<std::unique_ptr<Guard>(Tokens)>;

Figures
Sum(const MakeGuard& aMake, Tokens aPaid, Fault aFault)
{
  Figures sum;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    auto guard = aMake(aPaid);
    Figures one = Run(*guard, aPaid, aFault, seed).Do();
    sum.asked += one.asked;
    sum.falseRefusals += one.falseRefusals;
    sum.trueRefusals += one.trueRefusals;
    sum.strandedAtEndOfFault += one.strandedAtEndOfFault;
    sum.strandedAtEnd += one.strandedAtEnd;
    sum.overspend += one.overspend;
    sum.messages += one.messages;
  }
  return sum;
}

void
PrintBudget(const char* aName, Tokens aPaid)
{
  const std::pair<const char*, MakeGuard> guards[] = {
    { "escrow", [](Tokens aPaid) { return std::make_unique<Escrow>(aPaid); } },
    { "central check",
      [](Tokens aPaid) {
        return std::make_unique<CentralCheck>(aPaid, false);
      } },
    { "central check with hold",
      [](Tokens aPaid) {
        return std::make_unique<CentralCheck>(aPaid, true);
      } },
    { "fixed equal shares",
      [](Tokens aPaid) { return std::make_unique<FixedShares>(aPaid); } },
  };
  const std::pair<const char*, Fault> faults[] = {
    { "none", Fault::None },
    { "partition", Fault::Partition },
    { "death", Fault::Death },
    { "freeze", Fault::Freeze },
  };
  std::printf("\nbudget %s: %lld tokens; sums of 10 seeds\n\n",
              aName,
              static_cast<long long>(aPaid.Get()));
  std::printf("| fault | guard | requests | false refusals | true refusals | "
              "stranded at the fault's end | stranded at the end | overspend | "
              "messages |\n|---|---|--:|--:|--:|--:|--:|--:|--:|\n");
  for (const auto& [faultName, fault] : faults) {
    for (const auto& [guardName, make] : guards) {
      Figures f = Sum(make, aPaid, fault);
      std::printf("| %s | %s | %llu | %llu | %llu | %lld | %lld | %lld | "
                  "%llu |\n",
                  faultName,
                  guardName,
                  static_cast<unsigned long long>(f.asked),
                  static_cast<unsigned long long>(f.falseRefusals),
                  static_cast<unsigned long long>(f.trueRefusals),
                  static_cast<long long>(f.strandedAtEndOfFault.Get()),
                  static_cast<long long>(f.strandedAtEnd.Get()),
                  static_cast<long long>(f.overspend.Get()),
                  static_cast<unsigned long long>(f.messages));
    }
  }
}

} // namespace

int
main()
{
  PrintBudget("ample", Tokens(2000000));
  PrintBudget("nearly used up", Tokens(1500000));
  PrintBudget("small", Tokens(60000));
  return 0;
}
