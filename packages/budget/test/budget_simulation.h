#ifndef LYCHEESTAND_BUDGET_TEST_BUDGET_SIMULATION_H
#define LYCHEESTAND_BUDGET_TEST_BUDGET_SIMULATION_H

// Simulates routers' budgets and the replicated state, connected by a faulty
// network, in simulated time.

#include <functional>
#include <lycheestand/budget.h>
#include <lycheestand/state.h>
#include <random>
#include <vector>

namespace lycheestand::budget {

// Faults that the network applies to each message.
struct NetworkFaults
{
  Duration shortestDelay = std::chrono::milliseconds(1);
  Duration longestDelay = std::chrono::milliseconds(2);
  // Percentages of transmissions that are lost, and of messages that are sent
  // twice. A message whose first transmission is lost is always sent twice.
  unsigned lostPercent = 0;
  unsigned repeatedPercent = 0;
};

// A decision on a claim at one router.
struct RouterDecision
{
  std::size_t router = 0;
  Decision decision;
};

// Several routers' budgets, one state machine and the messages between them.
// Unanswered messages are sent again periodically, which stands for what a
// router does when it reconnects.
class BudgetSimulation
{
public:
  BudgetSimulation(std::size_t aRouters,
                   Tokens aPaid,
                   NetworkFaults aFaults,
                   std::uint64_t aSeed);

  // Advances the time by aStep, delivers the messages due by then and returns
  // the decisions on claims.
  std::vector<RouterDecision> Step(Duration aStep);

  void Reserve(std::size_t aRouter, const Claim& aClaim);
  void Settle(std::size_t aRouter, Ticket aTicket, Tokens aSpent);

  // Sets which messages are dropped: those from the router to control, and
  // those from control to the router.
  void Cut(std::size_t aRouter, bool aToControl, bool aFromControl);

  // Suspends or resumes a router's process. Messages to it are delayed
  // meanwhile.
  void SetSuspended(std::size_t aRouter, bool aIsSuspended);
  bool IsSuspended(std::size_t aRouter) const;

  // Replaces the router's process: its state is lost and a new session
  // registers.
  void Restart(std::size_t aRouter);

  // Applies a top-up twice with the same change id, as an operator does who got
  // no response to the first attempt.
  void TopUp(Tokens aTokens);

  // Returns the router's available tokens: granted to it but not reserved for a
  // request.
  Tokens AvailableTokens(std::size_t aRouter) const;

  bool IsEmpty(std::size_t aRouter) const;
  SessionId SessionOf(std::size_t aRouter) const;
  const state::Budget& Ledger() const;
  TimePoint Now() const { return this->now; }
  std::size_t Routers() const { return this->routers.size(); }
  const WorkspaceId& Workspace() const { return this->workspace; }
  // Returns the number of messages sent between routers and control.
  std::uint64_t Messages() const { return this->messages; }

private:
  struct Router
  {
    SessionId session;
    LocalBudget localBudget{ LocalBudgetOptions{} };
    bool isCutToControl = false;
    bool isCutFromControl = false;
    bool isSuspended = false;
    TimePoint reportAt{};
    TimePoint resendAt{};
    std::vector<Decision> decided;
  };

  struct Message
  {
    std::size_t router = 0;
    SessionId session;
    bool toControl = false;
    std::function<void()> deliver;
  };

  void Send(std::size_t aRouter,
            bool aToControl,
            std::function<void()> aDeliver);
  void Deliver(TimePoint aDue, Message aMessage);
  void Register(std::size_t aRouter);
  void Advance(std::size_t aRouter);
  void SendGrantRequest(std::size_t aRouter, const GrantRequest& aGrantRequest);
  void SendBatch(std::size_t aRouter, const UsageBatch& aBatch);
  void Recall(std::size_t aRequester, Tokens aTokens);

  WorkspaceId workspace{ "kalkki" };
  NetworkFaults faults;
  std::mt19937_64 random;
  TimePoint now{ std::chrono::seconds(1000) };
  std::vector<Router> routers;
  state::StateMachine machine;
  std::multimap<TimePoint, Message> inFlight;
  std::uint64_t nextSession = 1;
  std::uint64_t nextChange = 1;
  std::uint64_t messages = 0;
};

} // namespace lycheestand::budget

#endif
