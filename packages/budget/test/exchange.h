#ifndef LYCHEESTAND_BUDGET_EXCHANGE_H
#define LYCHEESTAND_BUDGET_EXCHANGE_H

// Purses and the replicated state joined by a faulty network, in model time.

#include <functional>
#include <lycheestand/budget.h>
#include <lycheestand/state.h>
#include <random>
#include <vector>

namespace lycheestand::budget {

// How the network treats each message.
struct NetworkFaults
{
  Duration shortestDelay = std::chrono::milliseconds(1);
  Duration longestDelay = std::chrono::milliseconds(2);
  // Of a hundred messages, how many are lost and how many arrive twice.
  unsigned lostPercent = 0;
  unsigned repeatedPercent = 0;
};

// A decision of one router's purse.
struct RouterDecision
{
  std::size_t router = 0;
  Decision decision;
};

// Several routers' purses, one state machine, and the messages between them.
// Resending stands for what a router does when its link is made anew.
class Exchange
{
public:
  Exchange(std::size_t aRouters,
           Tokens aPaid,
           NetworkFaults aFaults,
           std::uint64_t aSeed);

  // Advances the time, delivers what is due and returns what was decided.
  std::vector<RouterDecision> Step(Duration aStep);

  void Reserve(std::size_t aRouter, const Claim& aClaim);
  void Settle(std::size_t aRouter, Ticket aTicket, Tokens aSpent);

  // Drops messages to and from control; one direction alone may be cut.
  void Cut(std::size_t aRouter, bool aToControl, bool aFromControl);

  // A frozen router does nothing; messages to it wait.
  void Freeze(std::size_t aRouter, bool aIsFrozen);
  bool IsFrozen(std::size_t aRouter) const;

  // Replaces the process; the purse is lost, and a new session registers.
  void Restart(std::size_t aRouter);

  // Sends each top-up twice with one change id, as an operator who lost the
  // answer does.
  void TopUp(Tokens aTokens);

  // Returns the tokens that no request of this router uses, and no other router
  // can use.
  Tokens HeldUnused(std::size_t aRouter) const;

  bool IsEmpty(std::size_t aRouter) const;
  SessionId SessionOf(std::size_t aRouter) const;
  const state::Budget& Ledger() const;
  TimePoint Now() const { return this->now; }
  std::size_t Routers() const { return this->routers.size(); }
  const WorkspaceId& Workspace() const { return this->workspace; }
  // Messages between routers and control so far.
  std::uint64_t Messages() const { return this->messages; }

private:
  struct Router
  {
    SessionId session;
    Purse purse{ PurseOptions{} };
    bool cutsSending = false;
    bool cutsReceiving = false;
    bool isFrozen = false;
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

  void Send(std::size_t aRouter, bool aToControl, std::function<void()> aAct);
  void Deliver(TimePoint aDue, Message aMessage);
  void Register(std::size_t aRouter);
  void Advance(std::size_t aRouter);
  void SendNeed(std::size_t aRouter, const GrantNeed& aNeed);
  void SendBatch(std::size_t aRouter, const UsageBatch& aBatch);
  void Recall(std::size_t aAsking, Tokens aTokens);

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
