#include "budget_simulation.h"

#include <algorithm>

namespace lycheestand::budget {

namespace {

using namespace std::chrono_literals;

// The usage report interval of the router's BudgetController.
constexpr Duration kReportInterval = 200ms;
constexpr Duration kResendInterval = 1s;

} // namespace

BudgetSimulation::BudgetSimulation(std::size_t aRouters,
                                   Tokens aPaid,
                                   NetworkFaults aFaults,
                                   std::uint64_t aSeed)
  : faults(aFaults)
  , random(aSeed)
  , routers(aRouters)
{
  this->machine.Apply(
    state::CreateWorkspace{ ChangeId("create"), this->workspace });
  this->TopUp(aPaid);
  for (std::size_t router = 0; router < aRouters; ++router) {
    this->Register(router);
  }
}

void
BudgetSimulation::Register(std::size_t aRouter)
{
  this->routers[aRouter].session = SessionId(this->nextSession++);
  this->machine.Apply(
    state::RegisterSession{ InstanceId("r" + std::to_string(aRouter)),
                            this->routers[aRouter].session });
}

void
BudgetSimulation::Send(std::size_t aRouter,
                       bool aToControl,
                       std::function<void()> aDeliver)
{
  const Router& router = this->routers[aRouter];
  ++this->messages;
  for (int copy = 0; copy < 2; ++copy) {
    if (this->random() % 100 < this->faults.lostPercent) {
      continue;
    }
    Duration spread = this->faults.longestDelay - this->faults.shortestDelay;
    Duration delay =
      this->faults.shortestDelay +
      Duration(static_cast<Duration::rep>(
        this->random() % static_cast<std::uint64_t>(spread.count() + 1)));
    this->inFlight.emplace(
      this->now + delay,
      Message{ aRouter, router.session, aToControl, aDeliver });
    if (this->random() % 100 >= this->faults.repeatedPercent) {
      break;
    }
  }
}

// Messages in flight to a router that was replaced are lost with its
// connection.
void
BudgetSimulation::Deliver(TimePoint aDue, Message aMessage)
{
  const Router& router = this->routers[aMessage.router];
  bool isCut =
    aMessage.toControl ? router.isCutToControl : router.isCutFromControl;
  bool isConnectionClosed =
    !aMessage.toControl && aMessage.session != router.session;
  if (isCut || isConnectionClosed) {
    return;
  }
  if (router.isSuspended && !aMessage.toControl) {
    this->inFlight.emplace(aDue + 100ms, std::move(aMessage));
    return;
  }
  aMessage.deliver();
}

std::vector<RouterDecision>
BudgetSimulation::Step(Duration aStep)
{
  this->now += aStep;
  while (!this->inFlight.empty() &&
         this->inFlight.begin()->first <= this->now) {
    auto node = this->inFlight.extract(this->inFlight.begin());
    this->Deliver(this->now, std::move(node.mapped()));
  }
  std::vector<RouterDecision> decisions;
  for (std::size_t index = 0; index < this->routers.size(); ++index) {
    if (this->routers[index].isSuspended) {
      continue;
    }
    this->Advance(index);
    for (auto& decision : this->routers[index].decided) {
      decisions.push_back({ index, decision });
    }
    this->routers[index].decided.clear();
  }
  return decisions;
}

void
BudgetSimulation::Advance(std::size_t aRouter)
{
  Router& router = this->routers[aRouter];
  for (const auto& decision : router.localBudget.Poll(this->now)) {
    router.decided.push_back(decision);
  }
  for (const auto& grantRequest :
       router.localBudget.TakeGrantRequests(this->now)) {
    this->SendGrantRequest(aRouter, grantRequest);
  }
  if (this->now >= router.reportAt) {
    router.reportAt = this->now + kReportInterval;
    if (auto batch = router.localBudget.TakeBatch(this->now)) {
      this->SendBatch(aRouter, *batch);
    }
  }
  if (this->now >= router.resendAt) {
    router.resendAt = this->now + kResendInterval;
    if (const auto& batch = router.localBudget.UnacknowledgedBatch()) {
      this->SendBatch(aRouter, *batch);
    }
    for (const auto& grantRequest :
         router.localBudget.UnansweredGrantRequests()) {
      this->SendGrantRequest(aRouter, grantRequest);
    }
  }
}

void
BudgetSimulation::SendGrantRequest(std::size_t aRouter,
                                   const GrantRequest& aGrantRequest)
{
  SessionId session = this->routers[aRouter].session;
  this->Send(aRouter, true, [this, aRouter, session, aGrantRequest] {
    auto outcome =
      this->machine.Apply(state::GrantTokens{ session,
                                              aGrantRequest.request,
                                              aGrantRequest.workspace,
                                              aGrantRequest.minimum,
                                              aGrantRequest.wanted });
    GrantReply reply{
      aGrantRequest.request, aGrantRequest.workspace, Tokens(0), true
    };
    if (const auto* granted = std::get_if<state::TokensGranted>(&outcome)) {
      reply.tokens = granted->tokens;
      reply.exhausted = granted->exhausted;
    }
    if (session != this->routers[aRouter].session) {
      return;
    }
    this->Send(aRouter, false, [this, aRouter, reply] {
      this->routers[aRouter].localBudget.AddGrant(reply, this->now);
    });
    if (reply.tokens == Tokens(0) && !reply.exhausted) {
      this->Recall(aRouter, aGrantRequest.wanted);
    }
  });
}

void
BudgetSimulation::Recall(std::size_t aRequester, Tokens aTokens)
{
  for (std::size_t other = 0; other < this->routers.size(); ++other) {
    SessionId session = this->routers[other].session;
    if (other == aRequester || !this->Ledger().outstanding.contains(session)) {
      continue;
    }
    this->Send(other, false, [this, other, aTokens] {
      Router& router = this->routers[other];
      router.localBudget.Recall(this->workspace, aTokens);
      if (auto batch = router.localBudget.TakeBatch(this->now)) {
        this->SendBatch(other, *batch);
      }
    });
  }
}

void
BudgetSimulation::SendBatch(std::size_t aRouter, const UsageBatch& aBatch)
{
  SessionId session = this->routers[aRouter].session;
  state::ReportUsage report{ session, aBatch.number, {} };
  for (const auto& usage : aBatch.entries) {
    report.entries.push_back(
      { usage.workspace, usage.spent, usage.returned, usage.requests });
  }
  this->Send(aRouter, true, [this, aRouter, session, report] {
    auto outcome = this->machine.Apply(report);
    if (session == this->routers[aRouter].session &&
        std::holds_alternative<state::Done>(outcome)) {
      this->Send(aRouter, false, [this, aRouter, number = report.batch] {
        this->routers[aRouter].localBudget.Acknowledge(number);
      });
    }
  });
}

void
BudgetSimulation::Reserve(std::size_t aRouter, const Claim& aClaim)
{
  Router& router = this->routers[aRouter];
  if (auto decision = router.localBudget.Reserve(aClaim, this->now)) {
    router.decided.push_back(*decision);
  }
}

void
BudgetSimulation::Settle(std::size_t aRouter, Ticket aTicket, Tokens aSpent)
{
  this->routers[aRouter].localBudget.Settle(aTicket, aSpent, this->now);
}

void
BudgetSimulation::Cut(std::size_t aRouter, bool aToControl, bool aFromControl)
{
  this->routers[aRouter].isCutToControl = aToControl;
  this->routers[aRouter].isCutFromControl = aFromControl;
}

void
BudgetSimulation::SetSuspended(std::size_t aRouter, bool aIsSuspended)
{
  this->routers[aRouter].isSuspended = aIsSuspended;
}

bool
BudgetSimulation::IsSuspended(std::size_t aRouter) const
{
  return this->routers[aRouter].isSuspended;
}

// The new session registers at once, which closes the old one. A real process
// registers when it has connected; until then it gets no grants, and control
// counts the old session as open.
void
BudgetSimulation::Restart(std::size_t aRouter)
{
  this->routers[aRouter] = Router{};
  this->Register(aRouter);
}

void
BudgetSimulation::TopUp(Tokens aTokens)
{
  state::TopUpBudget change{ ChangeId(std::to_string(this->nextChange++)),
                             this->workspace,
                             aTokens };
  this->machine.Apply(change);
  this->machine.Apply(change);
}

Tokens
BudgetSimulation::AvailableTokens(std::size_t aRouter) const
{
  auto holdings = this->routers[aRouter].localBudget.Holdings();
  return holdings[this->workspace].available;
}

bool
BudgetSimulation::IsEmpty(std::size_t aRouter) const
{
  return this->routers[aRouter].localBudget.IsEmpty();
}

SessionId
BudgetSimulation::SessionOf(std::size_t aRouter) const
{
  return this->routers[aRouter].session;
}

const state::Budget&
BudgetSimulation::Ledger() const
{
  return *this->machine.Budgets().Find(this->workspace);
}

} // namespace lycheestand::budget
