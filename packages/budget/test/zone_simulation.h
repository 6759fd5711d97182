#ifndef LYCHEESTAND_BUDGET_TEST_ZONE_SIMULATION_H
#define LYCHEESTAND_BUDGET_TEST_ZONE_SIMULATION_H

// Simulates a fleet whose routers share a workspace's budget by allocators, in
// simulated time: the routers' budgets, the replicated state and the messages
// between them.

#include <functional>
#include <lycheestand/budget.h>
#include <lycheestand/state.h>
#include <memory>
#include <random>
#include <vector>

namespace lycheestand::budget {

// Size and faults of a simulated fleet.
struct ZoneFleet
{
  std::size_t zones = 3;
  std::size_t routersPerZone = 3;
  // Allocators in each zone; 0 if all tokens come from control.
  std::size_t allocatorsPerZone = 1;
  // By how many routers the last zone is smaller than the others.
  std::size_t missingRouters = 0;
  Tokens paid;
  // Whether a refused claim is made once more after its retryAfter, unless the
  // budget is exhausted.
  bool isRetried = false;
  // Percentage of messages that are lost. The link that loses one is opened
  // again 300 ms later, and unanswered messages are sent again.
  unsigned lostPercent = 0;
  std::uint64_t seed = 1;
};

// What became of the claims.
struct ClaimCounts
{
  std::size_t covered = 0;
  std::size_t exhausted = 0;
  std::size_t unavailable = 0;
  // Parts of the unavailable ones: tokens are elsewhere, or no contact.
  std::size_t noFreeTokens = 0;
  std::size_t offline = 0;
  // Refused although what is paid, less what is spent and what running requests
  // may use, covers the claim.
  std::size_t refusedFalsely = 0;
  // Claims made once more, not counted elsewhere, and those covered then.
  std::size_t retried = 0;
  std::size_t retriesCovered = 0;
  // Sum of the times until a claim was refused.
  Duration refusalWait{};

  std::size_t Total() const
  {
    return this->covered + this->exhausted + this->unavailable;
  }

  ClaimCounts& operator+=(const ClaimCounts& aOther);
};

// Routers with requests that take a while, in a fleet with allocators.
class ZoneSimulation
{
public:
  explicit ZoneSimulation(ZoneFleet aFleet);

  // Makes a request at a router that reserves this many tokens, and spends
  // aSpent of them after aTime.
  void Request(std::size_t aRouter,
               Tokens aReserved,
               Tokens aSpent,
               Duration aTime);

  void Advance(Duration aTime);

  // Sets whether all routers are cut off from control.
  void CutControl(bool aIsCut);

  // Sets whether a router is cut off from the other routers.
  void CutRouter(std::size_t aRouter, bool aIsCut);

  // Replaces a router's process; its requests end without being settled.
  void Restart(std::size_t aRouter);

  std::size_t Routers() const { return this->routers.size(); }
  const ClaimCounts& Counts() const { return this->counts; }
  void ResetCounts() { this->counts = {}; }
  // Returns the tokens that all requests have spent, also at routers that have
  // ended.
  Tokens Spent() const { return this->spent; }
  const state::Budget& Ledger() const;
  // Returns the tokens at all routers that requests have not spent: these are
  // lost to the workspace if all processes are killed.
  Tokens HeldUnspent() const;
  // Returns the tokens that this router holds and no request has reserved.
  Tokens AvailableAt(std::size_t aRouter) const;
  // Returns the messages to and from control.
  std::uint64_t ControlMessages() const { return this->controlMessages; }

private:
  struct Router
  {
    SessionId session;
    std::unique_ptr<RouterBudget> budget;
    bool isCut = false;
    // Whether something happened since the last time it was pumped.
    bool isDirty = true;
    TimePoint pollAt{};
    TimePoint reportAt{};
    // When links to allocators were lost; they are up again after a while.
    std::map<InstanceId, TimePoint> lostLinks;
    std::set<InstanceId> links;
  };

  struct Running
  {
    std::size_t router = 0;
    Ticket ticket;
    Tokens reserved;
    Tokens spent;
    Duration time{};
    TimePoint since{};
    bool isReserved = false;
    bool isRetry = false;
  };

  struct Event
  {
    std::size_t router = 0;
    SessionId session;
    std::function<void()> run;
  };

  void Start(std::size_t aRouter);
  LendingPlan PlanFor(std::size_t aRouter) const;
  Lending LendingFor(std::size_t aRouter) const;
  bool IsAllocator(std::size_t aRouter) const;
  std::size_t IndexOf(const InstanceId& aInstance) const;
  std::optional<std::size_t> IndexOf(SessionId aSession) const;
  // Runs a function at a router after a delay, unless its process is replaced.
  void At(std::size_t aRouter, Duration aDelay, std::function<void()> aRun);
  bool IsLost();
  void Step();
  void Pump(std::size_t aRouter);
  void Connect(std::size_t aRouter);
  void LoseLink(std::size_t aRouter, const InstanceId& aAllocator);
  void Send(std::size_t aRouter, const SourceMessage& aMessage);
  void SendToControl(std::size_t aRouter, const SourceMessage& aMessage);
  void SendToAllocator(std::size_t aRouter, const SourceMessage& aMessage);
  void SendLoan(std::size_t aAllocator, const LoanReply& aLoan);
  void Recall(std::size_t aRequester, Tokens aMinimum);
  void Decide(std::size_t aRouter, const Decision& aDecision);
  void MakeClaim(const Running& aRequest);
  void CountRefusal(const Running& aRequest, Refusal aRefusal);

  ZoneFleet fleet;
  std::mt19937_64 random;
  WorkspaceId workspace{ "w" };
  TimePoint now{ std::chrono::seconds(1000) };
  state::StateMachine machine;
  std::vector<Router> routers;
  std::multimap<TimePoint, Event> events;
  // Requests that wait for tokens, or run, by ticket.
  std::map<Ticket, Running> running;
  ClaimCounts counts;
  Tokens spent;
  // Reserved by the requests that run.
  Tokens inUse;
  std::uint64_t controlMessages = 0;
  std::uint64_t nextTicket = 1;
  std::uint64_t nextSession = 1;
  bool isControlCut = false;
};

} // namespace lycheestand::budget

#endif
