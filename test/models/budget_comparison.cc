#include "budget_simulation.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <memory>

// Simulates the project's budgets and three simpler schemes under the same
// seeded load and faults, and prints false refusals, stranded tokens and
// overspend. The fault affects router 0, from second 20 to second 40 of 60.

using namespace lycheestand;
using namespace lycheestand::budget;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kRouters = 6;
constexpr Duration kStep = 10ms;
constexpr Duration kRoundTrip = 4ms;
constexpr Duration kClaimTimeout = 2s;
constexpr int kFaultStartStep = 2000;
constexpr int kFaultEndStep = 4000;
constexpr int kLoadSteps = 6000;
constexpr int kDrainSteps = 1000;

enum class Fault
{
  None,
  Partition,
  Crash,
  Suspension
};

// A scheme that enforces a budget shared by several routers.
class BudgetPolicy
{
public:
  virtual ~BudgetPolicy() = default;
  virtual void Claim(std::size_t aRouter, const budget::Claim& aClaim) = 0;
  virtual void Settle(std::size_t aRouter, Ticket aTicket, Tokens aSpent) = 0;
  virtual std::vector<RouterDecision> Step() = 0;
  virtual void Cut(bool aIsCut) = 0;
  virtual void SetSuspended(bool aIsSuspended) = 0;
  virtual void Restart() = 0;
  // Returns the tokens that no live router connected to control can use.
  virtual Tokens Stranded() const = 0;
  virtual std::uint64_t Messages() const = 0;
};

// The project's scheme: control grants tokens to the local budgets of routers.
class Escrow : public BudgetPolicy
{
public:
  explicit Escrow(Tokens aPaid)
    : simulation(kRouters, aPaid, { kRoundTrip / 2, kRoundTrip / 2, 0, 0 }, 1)
  {
  }
  void Claim(std::size_t aRouter, const budget::Claim& aClaim) override
  {
    this->simulation.Reserve(aRouter, aClaim);
  }
  void Settle(std::size_t aRouter, Ticket aTicket, Tokens aSpent) override
  {
    this->simulation.Settle(aRouter, aTicket, aSpent);
  }
  std::vector<RouterDecision> Step() override
  {
    return this->simulation.Step(kStep);
  }
  void Cut(bool aIsCut) override
  {
    this->isUnreachable = aIsCut;
    this->simulation.Cut(0, aIsCut, aIsCut);
  }
  void SetSuspended(bool aIsSuspended) override
  {
    this->isUnreachable = aIsSuspended;
    this->simulation.SetSuspended(0, aIsSuspended);
  }
  void Restart() override { this->simulation.Restart(0); }
  Tokens Stranded() const override
  {
    Tokens sum =
      this->isUnreachable ? this->simulation.AvailableTokens(0) : Tokens(0);
    const auto& ledger = this->simulation.Ledger();
    for (const auto& [session, tokens] : ledger.outstanding) {
      bool isLive = false;
      for (std::size_t router = 0; router < kRouters; ++router) {
        isLive = isLive || this->simulation.SessionOf(router) == session;
      }
      sum += isLive ? Tokens(0) : tokens;
    }
    return sum;
  }
  std::uint64_t Messages() const override
  {
    return this->simulation.Messages();
  }

private:
  BudgetSimulation simulation;
  bool isUnreachable = false;
};

// One check at control per request. Control compares the prepaid tokens with
// the tokens charged, and usage is reported when the request ends. With a hold,
// control also reserves the upper bound of the request until then.
class CentralCheck : public BudgetPolicy
{
public:
  CentralCheck(Tokens aPaid, bool aHasHold)
    : freeTokens(aPaid)
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
    std::erase_if(this->queue, [&](const WaitingClaim& aWaiting) {
      auto decision = this->Decide(aWaiting);
      if (decision) {
        out.push_back({ aWaiting.router, *decision });
      }
      return decision.has_value();
    });
    return out;
  }
  void Cut(bool aIsCut) override { this->isUnreachable = aIsCut; }
  void SetSuspended(bool aIsSuspended) override
  {
    this->isUnreachable = aIsSuspended;
  }
  void Restart() override
  {
    std::erase_if(this->reports,
                  [](const Report& aEntry) { return aEntry.router == 0; });
    std::erase_if(this->queue, [](const WaitingClaim& aEntry) {
      return aEntry.router == 0;
    });
    for (const auto& [ticket, hold] : this->holds) {
      this->lostTokens += hold.first == 0 ? hold.second : Tokens(0);
    }
    std::erase_if(this->holds,
                  [](const auto& aHold) { return aHold.second.first == 0; });
  }
  Tokens Stranded() const override { return this->lostTokens; }
  std::uint64_t Messages() const override { return this->messages; }

private:
  struct WaitingClaim
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
    return aRouter != 0 || !this->isUnreachable;
  }
  bool Count(const Report& aReport)
  {
    this->messages += 2;
    auto hold = this->holds.find(aReport.ticket);
    if (hold != this->holds.end()) {
      this->freeTokens += hold->second.second;
      this->holds.erase(hold);
    }
    this->freeTokens -= aReport.spent;
    return true;
  }
  std::optional<Decision> Decide(const WaitingClaim& aWaiting)
  {
    const auto& claim = aWaiting.claim;
    if (!this->IsReachable(aWaiting.router)) {
      bool isLate = this->now - aWaiting.since >= kClaimTimeout;
      return isLate ? std::optional(
                        Decision{ claim.ticket, Tokens(0), Refusal::Offline })
                    : std::nullopt;
    }
    this->messages += 2;
    if (this->freeTokens < claim.minimum) {
      return Decision{ claim.ticket, Tokens(0), Refusal::Exhausted };
    }
    Tokens tokens = std::min(this->freeTokens, claim.wanted);
    if (this->hasHold) {
      this->freeTokens -= tokens;
      this->holds[claim.ticket] = { aWaiting.router, tokens };
    }
    return Decision{ claim.ticket, tokens, std::nullopt };
  }

  Tokens freeTokens;
  Tokens lostTokens;
  bool hasHold;
  bool isUnreachable = false;
  TimePoint now{};
  std::vector<WaitingClaim> queue;
  std::vector<Report> reports;
  std::map<Ticket, std::pair<std::size_t, Tokens>> holds;
  std::uint64_t messages = 0;
};

// Each router has a fixed equal share of the budget.
class FixedShares : public BudgetPolicy
{
public:
  explicit FixedShares(Tokens aPaid)
  {
    this->freeTokens.fill(Tokens(aPaid.Get() / std::int64_t(kRouters)));
  }
  void Claim(std::size_t aRouter, const budget::Claim& aClaim) override
  {
    Tokens& share = this->freeTokens[aRouter];
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
    this->freeTokens[aRouter] += this->reserved[aTicket].second - aSpent;
    this->reserved.erase(aTicket);
  }
  std::vector<RouterDecision> Step() override
  {
    return std::exchange(this->decided, {});
  }
  void Cut(bool) override {}
  void SetSuspended(bool aIsSuspended) override
  {
    this->isSuspended = aIsSuspended;
  }
  // A new process can't know how much of the share the old one had used.
  void Restart() override
  {
    for (const auto& [ticket, reservation] : this->reserved) {
      this->lostTokens +=
        reservation.first == 0 ? reservation.second : Tokens(0);
    }
    this->lostTokens += this->freeTokens[0];
    this->freeTokens[0] = Tokens(0);
  }
  Tokens Stranded() const override
  {
    return this->lostTokens +
           (this->isSuspended ? this->freeTokens[0] : Tokens(0));
  }
  std::uint64_t Messages() const override { return 0; }

private:
  std::array<Tokens, kRouters> freeTokens;
  Tokens lostTokens;
  bool isSuspended = false;
  std::map<Ticket, std::pair<std::size_t, Tokens>> reserved;
  std::vector<RouterDecision> decided;
};

// Results of one simulation run.
struct RunResult
{
  std::uint64_t requests = 0;
  std::uint64_t falseRefusals = 0;
  std::uint64_t trueRefusals = 0;
  Tokens strandedAtEndOfFault;
  Tokens strandedAtEnd;
  Tokens overspend;
  std::uint64_t messages = 0;
};

// Runs a seeded load against one policy. A refusal is false if the prepaid
// tokens, less those served and those reserved by running requests, cover the
// request.
class LoadRun
{
public:
  LoadRun(BudgetPolicy& aPolicy,
          Tokens aPaid,
          Fault aFault,
          std::uint64_t aSeed)
    : policy(aPolicy)
    , paid(aPaid)
    , fault(aFault)
    , random(aSeed)
  {
  }

  RunResult Execute()
  {
    for (this->step = 0; this->step < kLoadSteps + kDrainSteps; ++this->step) {
      this->SetFault();
      if (this->step < kLoadSteps) {
        this->GenerateRequest();
      }
      for (const auto& decided : this->policy.Step()) {
        this->Count(decided);
      }
      this->Finish();
    }
    this->result.strandedAtEnd = this->policy.Stranded();
    this->result.overspend =
      std::max(Tokens(0), this->servedTokens - this->paid);
    this->result.messages = this->policy.Messages();
    return this->result;
  }

private:
  struct RunningRequest
  {
    std::size_t router;
    Tokens bound;
    Tokens use;
    int endStep;
  };

  bool IsFaultActive() const
  {
    return this->step >= kFaultStartStep && this->step < kFaultEndStep;
  }

  void SetFault()
  {
    if (this->step != kFaultStartStep && this->step != kFaultEndStep) {
      return;
    }
    bool isStart = this->step == kFaultStartStep;
    if (!isStart) {
      this->result.strandedAtEndOfFault = this->policy.Stranded();
    }
    if (this->fault == Fault::Partition) {
      this->policy.Cut(isStart);
    } else if (this->fault == Fault::Suspension) {
      this->policy.SetSuspended(isStart);
    } else if (this->fault == Fault::Crash && isStart) {
      this->CrashRouter();
    }
  }

  // Assumes that each request of the router had used half of its tokens.
  void CrashRouter()
  {
    std::erase_if(this->open, [this](const auto& aEntry) {
      if (aEntry.second.router != 0) {
        return false;
      }
      this->servedTokens += Tokens(aEntry.second.use.Get() / 2);
      this->reservedTokens -= aEntry.second.bound;
      return true;
    });
    this->policy.Restart();
  }

  // Half of the load goes to one router, which changes every ten seconds. All
  // random numbers are drawn before any branch, so that every policy sees the
  // same load.
  void GenerateRequest()
  {
    bool hasArrival = this->random() % 100 < 40;
    std::size_t busy = static_cast<std::size_t>(this->step / 1000) % kRouters;
    std::size_t any = this->random() % kRouters;
    std::size_t router = this->random() % 2 == 0 ? busy : any;
    auto prompt = static_cast<std::int64_t>(200 + this->random() % 1800);
    auto output = static_cast<std::int64_t>(16 + this->random() % 497);
    int length = 20 + static_cast<int>(this->random() % 500);
    // Callers of a suspended router use another one instead.
    if (this->fault == Fault::Suspension && this->IsFaultActive() &&
        router == 0) {
      router = 1 + any % (kRouters - 1);
    }
    if (!hasArrival) {
      return;
    }
    ++this->result.requests;
    Ticket ticket(this->nextTicket++);
    budget::Claim claim{
      ticket, WorkspaceId("kalkki"), Tokens(prompt + 16), Tokens(prompt + 512)
    };
    // A prompt has about one token per three bytes.
    this->wanted[ticket] = { claim,
                             Tokens(prompt / 3 + output),
                             this->step + length };
    this->policy.Claim(router, claim);
  }

  struct PendingRequest
  {
    budget::Claim claim;
    Tokens use;
    int endStep;
  };

  void Count(const RouterDecision& aDecided)
  {
    const Decision& decision = aDecided.decision;
    PendingRequest want = this->wanted[decision.ticket];
    if (decision.refusal) {
      bool hasRoom = this->paid - this->servedTokens - this->reservedTokens >=
                     want.claim.minimum;
      ++(hasRoom ? this->result.falseRefusals : this->result.trueRefusals);
      return;
    }
    Tokens use = std::min(want.use, decision.tokens);
    this->reservedTokens += decision.tokens;
    this->open[decision.ticket] = {
      aDecided.router, decision.tokens, use, want.endStep
    };
  }

  void Finish()
  {
    bool isSuspended =
      this->fault == Fault::Suspension && this->IsFaultActive();
    std::erase_if(this->open, [&](const auto& aEntry) {
      const RunningRequest& request = aEntry.second;
      if (request.endStep > this->step ||
          (isSuspended && request.router == 0)) {
        return false;
      }
      this->servedTokens += request.use;
      this->reservedTokens -= request.bound;
      this->policy.Settle(request.router, aEntry.first, request.use);
      return true;
    });
  }

  BudgetPolicy& policy;
  Tokens paid;
  Fault fault;
  std::mt19937_64 random;
  RunResult result;
  std::map<Ticket, PendingRequest> wanted;
  std::map<Ticket, RunningRequest> open;
  Tokens servedTokens;
  Tokens reservedTokens;
  std::uint64_t nextTicket = 1;
  int step = 0;
};

using MakePolicy = std::function<std::unique_ptr<BudgetPolicy>(Tokens)>;

RunResult
RunAllSeeds(const MakePolicy& aMake, Tokens aPaid, Fault aFault)
{
  RunResult sum;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    auto policy = aMake(aPaid);
    RunResult one = LoadRun(*policy, aPaid, aFault, seed).Execute();
    sum.requests += one.requests;
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
  const std::pair<const char*, MakePolicy> policies[] = {
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
    { "death", Fault::Crash },
    { "freeze", Fault::Suspension },
  };
  std::printf("\nbudget %s: %lld tokens; sums of 10 seeds\n\n",
              aName,
              static_cast<long long>(aPaid.Get()));
  std::printf("| fault | guard | requests | false refusals | true refusals | "
              "stranded at the fault's end | stranded at the end | overspend | "
              "messages |\n|---|---|--:|--:|--:|--:|--:|--:|--:|\n");
  for (const auto& [faultName, fault] : faults) {
    for (const auto& [policyName, make] : policies) {
      RunResult result = RunAllSeeds(make, aPaid, fault);
      std::printf("| %s | %s | %llu | %llu | %llu | %lld | %lld | %lld | "
                  "%llu |\n",
                  faultName,
                  policyName,
                  static_cast<unsigned long long>(result.requests),
                  static_cast<unsigned long long>(result.falseRefusals),
                  static_cast<unsigned long long>(result.trueRefusals),
                  static_cast<long long>(result.strandedAtEndOfFault.Get()),
                  static_cast<long long>(result.strandedAtEnd.Get()),
                  static_cast<long long>(result.overspend.Get()),
                  static_cast<unsigned long long>(result.messages));
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
