#include "zone_simulation.h"

#include <algorithm>

namespace lycheestand::budget {

namespace {

using namespace std::chrono_literals;

constexpr Duration kStep = 1ms;
constexpr Duration kUsageInterval = 200ms;
constexpr Duration kPollInterval = 10ms;
constexpr Duration kDelayToControl = 4ms;
constexpr Duration kDelayToPeer = 1ms;
constexpr Duration kReconnectTime = 300ms;

} // namespace

ClaimCounts&
ClaimCounts::operator+=(const ClaimCounts& aOther)
{
  this->covered += aOther.covered;
  this->exhausted += aOther.exhausted;
  this->unavailable += aOther.unavailable;
  this->noFreeTokens += aOther.noFreeTokens;
  this->offline += aOther.offline;
  this->refusedFalsely += aOther.refusedFalsely;
  this->refusalWait += aOther.refusalWait;
  this->retried += aOther.retried;
  this->retriesCovered += aOther.retriesCovered;
  return *this;
}

ZoneSimulation::ZoneSimulation(ZoneFleet aFleet)
  : fleet(aFleet)
  , random(aFleet.seed)
  , routers(aFleet.zones * aFleet.routersPerZone - aFleet.missingRouters)
{
  this->machine.Apply(
    state::CreateWorkspace{ ChangeId("create"), this->workspace });
  this->machine.Apply(
    state::TopUpBudget{ ChangeId("pay"), this->workspace, aFleet.paid });
  for (std::size_t router = 0; router < this->routers.size(); ++router) {
    this->Start(router);
  }
}

void
ZoneSimulation::Start(std::size_t aRouter)
{
  Router& router = this->routers[aRouter];
  bool isCut = router.isCut;
  router = {};
  router.isCut = isCut;
  router.session = SessionId(this->nextSession++);
  auto options = MakeRoutedOptions();
  options.nextTicket = [this] { return Ticket(this->nextTicket++); };
  router.budget = std::make_unique<RouterBudget>(std::move(options));
  router.budget->SetLending(this->LendingFor(aRouter));
  this->machine.Apply(state::RegisterSession{
    InstanceId(std::to_string(aRouter)), router.session });
}

bool
ZoneSimulation::IsAllocator(std::size_t aRouter) const
{
  return aRouter % this->fleet.routersPerZone < this->fleet.allocatorsPerZone;
}

std::size_t
ZoneSimulation::IndexOf(const InstanceId& aInstance) const
{
  return std::stoul(aInstance.Get());
}

LendingPlan
ZoneSimulation::PlanFor(std::size_t aRouter) const
{
  LendingPlan plan;
  if (this->fleet.allocatorsPerZone == 0) {
    return plan;
  }
  std::size_t ownZone = aRouter / this->fleet.routersPerZone;
  for (std::size_t i = 0; i < this->fleet.zones; ++i) {
    std::size_t zone = (ownZone + i) % this->fleet.zones;
    std::size_t allocator = zone * this->fleet.routersPerZone;
    if (allocator == aRouter) {
      plan.isOwnAllocator = true;
    } else {
      plan.allocators.emplace_back(std::to_string(allocator));
    }
  }
  return plan;
}

Lending
ZoneSimulation::LendingFor(std::size_t aRouter) const
{
  Lending lending;
  lending.plan = [this, aRouter](const WorkspaceId&) {
    return this->PlanFor(aRouter);
  };
  for (const auto& allocator : this->PlanFor(aRouter).allocators) {
    bool isOwn = this->IndexOf(allocator) / this->fleet.routersPerZone ==
                 aRouter / this->fleet.routersPerZone;
    (isOwn ? lending.own : lending.others).push_back(allocator);
  }
  return lending;
}

void
ZoneSimulation::At(std::size_t aRouter,
                   Duration aDelay,
                   std::function<void()> aRun)
{
  this->events.emplace(
    this->now + aDelay,
    Event{ aRouter, this->routers[aRouter].session, std::move(aRun) });
}

bool
ZoneSimulation::IsLost()
{
  return this->random() % 100 < this->fleet.lostPercent;
}

void
ZoneSimulation::Request(std::size_t aRouter,
                        Tokens aReserved,
                        Tokens aSpent,
                        Duration aTime)
{
  this->MakeClaim({ aRouter, {}, aReserved, aSpent, aTime, this->now });
}

void
ZoneSimulation::MakeClaim(const Running& aRequest)
{
  Ticket ticket(this->nextTicket++);
  Running& request = this->running[ticket];
  request = aRequest;
  request.ticket = ticket;
  this->routers[aRequest.router].isDirty = true;
  auto decision = this->routers[aRequest.router].budget->Reserve(
    { ticket, this->workspace, aRequest.reserved, aRequest.reserved },
    this->now);
  if (decision) {
    this->Decide(aRequest.router, *decision);
  }
}

void
ZoneSimulation::Decide(std::size_t aRouter, const Decision& aDecision)
{
  Running request = this->running.at(aDecision.ticket);
  if (aDecision.refusal) {
    this->running.erase(aDecision.ticket);
    if (request.isRetry) {
      return;
    }
    this->CountRefusal(request, *aDecision.refusal);
    if (this->fleet.isRetried && aDecision.refusal != Refusal::Exhausted) {
      ++this->counts.retried;
      request.isRetry = true;
      this->At(aRouter, aDecision.retryAfter, [this, request] {
        this->MakeClaim(request);
      });
    }
    return;
  }
  ++(request.isRetry ? this->counts.retriesCovered : this->counts.covered);
  this->inUse += request.reserved;
  this->running.at(aDecision.ticket).isReserved = true;
  this->At(aRouter, request.time, [this, request] {
    this->spent += request.spent;
    this->inUse -= request.reserved;
    this->running.erase(request.ticket);
    this->routers[request.router].budget->Settle(
      request.ticket, request.spent, this->now);
  });
}

void
ZoneSimulation::CountRefusal(const Running& aRequest, Refusal aRefusal)
{
  bool isExhausted = aRefusal == Refusal::Exhausted;
  ++(isExhausted ? this->counts.exhausted : this->counts.unavailable);
  this->counts.noFreeTokens += aRefusal == Refusal::NoFreeTokens ? 1 : 0;
  this->counts.offline += aRefusal == Refusal::Offline ? 1 : 0;
  this->counts.refusalWait += this->now - aRequest.since;
  Tokens left = this->Ledger().paid - this->spent - this->inUse;
  this->counts.refusedFalsely += left >= aRequest.reserved ? 1 : 0;
}

Tokens
ZoneSimulation::HeldUnspent() const
{
  return this->Ledger().spent + this->Ledger().Outstanding() - this->spent;
}

Tokens
ZoneSimulation::AvailableAt(std::size_t aRouter) const
{
  Tokens sum;
  const RouterBudget& budget = *this->routers[aRouter].budget;
  for (const auto& holdings :
       { budget.Holdings(), budget.BorrowedHoldings() }) {
    auto found = holdings.find(this->workspace);
    sum += found != holdings.end() ? found->second.available : Tokens(0);
  }
  return sum;
}

void
ZoneSimulation::CutControl(bool aIsCut)
{
  this->isControlCut = aIsCut;
  for (auto& router : this->routers) {
    router.isDirty = true;
  }
}

void
ZoneSimulation::CutRouter(std::size_t aRouter, bool aIsCut)
{
  this->routers[aRouter].isCut = aIsCut;
}

void
ZoneSimulation::Restart(std::size_t aRouter)
{
  // What the requests have used so far counts as spent.
  std::erase_if(this->running, [&](const auto& aEntry) {
    bool isHere = aEntry.second.router == aRouter;
    bool isRunning = isHere && aEntry.second.isReserved;
    this->spent += isRunning ? aEntry.second.spent : Tokens(0);
    this->inUse -= isRunning ? aEntry.second.reserved : Tokens(0);
    return isHere;
  });
  InstanceId instance(std::to_string(aRouter));
  for (std::size_t other = 0; other < this->routers.size(); ++other) {
    this->LoseLink(other, instance);
  }
  this->Start(aRouter);
}

void
ZoneSimulation::Advance(Duration aTime)
{
  for (Duration done{}; done < aTime; done += kStep) {
    this->Step();
  }
}

void
ZoneSimulation::Step()
{
  this->now += kStep;
  while (!this->events.empty() && this->events.begin()->first <= this->now) {
    auto event = this->events.extract(this->events.begin()).mapped();
    if (this->routers[event.router].session == event.session) {
      event.run();
      this->routers[event.router].isDirty = true;
    }
  }
  for (std::size_t router = 0; router < this->routers.size(); ++router) {
    const Router& entry = this->routers[router];
    if (entry.isDirty || this->now >= entry.pollAt) {
      this->Pump(router);
    }
  }
}

void
ZoneSimulation::Pump(std::size_t aRouter)
{
  Router& router = this->routers[aRouter];
  router.isDirty = false;
  router.pollAt = this->now + kPollInterval;
  router.budget->SetOnline(!this->isControlCut, this->now);
  this->Connect(aRouter);
  for (const auto& decision : router.budget->Poll(this->now)) {
    this->Decide(aRouter, decision);
  }
  for (const auto& loan : router.budget->TakeLoanReplies()) {
    this->SendLoan(aRouter, loan);
  }
  for (const auto& message : router.budget->TakeRequests(this->now)) {
    this->Send(aRouter, message);
  }
  if (this->now < router.reportAt) {
    return;
  }
  router.reportAt = this->now + kUsageInterval;
  for (const auto& message : router.budget->TakeReports(this->now)) {
    this->Send(aRouter, message);
  }
  // Stands for the resending when the link to control is opened again.
  for (const auto& message : router.budget->UnansweredMessages({})) {
    this->Send(aRouter, message);
  }
}

void
ZoneSimulation::Connect(std::size_t aRouter)
{
  Router& router = this->routers[aRouter];
  for (const auto& allocator : router.budget->TakeSilentAllocators()) {
    this->LoseLink(aRouter, allocator);
  }
  for (const auto& allocator : router.budget->NeededAllocators()) {
    if (!router.links.contains(allocator)) {
      router.lostLinks.try_emplace(allocator, this->now);
    }
  }
  for (auto lost = router.lostLinks.begin(); lost != router.lostLinks.end();) {
    const Router& allocator = this->routers[this->IndexOf(lost->first)];
    if (this->now < lost->second || router.isCut || allocator.isCut) {
      ++lost;
      continue;
    }
    router.links.insert(lost->first);
    router.budget->ConnectAllocator(lost->first, allocator.session);
    TokenSource source{ lost->first };
    lost = router.lostLinks.erase(lost);
    for (const auto& message : router.budget->UnansweredMessages(source)) {
      this->Send(aRouter, message);
    }
  }
}

void
ZoneSimulation::LoseLink(std::size_t aRouter, const InstanceId& aAllocator)
{
  Router& router = this->routers[aRouter];
  if (router.links.erase(aAllocator) > 0) {
    router.budget->DisconnectAllocator(aAllocator);
    router.lostLinks[aAllocator] = this->now + kReconnectTime;
  }
}

void
ZoneSimulation::Send(std::size_t aRouter, const SourceMessage& aMessage)
{
  if (aMessage.to.IsControl()) {
    this->SendToControl(aRouter, aMessage);
  } else {
    this->SendToAllocator(aRouter, aMessage);
  }
}

void
ZoneSimulation::SendToControl(std::size_t aRouter,
                              const SourceMessage& aMessage)
{
  if (this->isControlCut || this->IsLost()) {
    return;
  }
  this->controlMessages += 2;
  SessionId session = this->routers[aRouter].session;
  if (const auto* request = std::get_if<GrantRequest>(&aMessage.body)) {
    auto outcome =
      this->machine.Apply(state::GrantTokens{ session,
                                              request->request,
                                              request->workspace,
                                              request->minimum,
                                              request->wanted,
                                              request->isPrefetch,
                                              request->isMainUser });
    GrantReply reply{ request->request, request->workspace, Tokens(0), true };
    if (const auto* granted = std::get_if<state::TokensGranted>(&outcome)) {
      reply.tokens = granted->tokens;
      reply.exhausted = granted->exhausted;
      reply.holdsTokenMajority = granted->holdsTokenMajority;
    }
    if (!this->IsLost()) {
      this->At(aRouter, kDelayToControl, [this, aRouter, reply] {
        this->routers[aRouter].budget->AddGrant({}, reply, this->now);
      });
    }
    if (reply.tokens == Tokens(0) && !reply.exhausted && !request->isPrefetch) {
      this->Recall(aRouter, request->minimum);
    }
    return;
  }
  const auto& batch = std::get<UsageBatch>(aMessage.body);
  state::ReportUsage report{ session, batch.number, {} };
  for (const auto& usage : batch.entries) {
    report.entries.push_back(
      { usage.workspace, usage.spent, usage.returned, usage.requests });
  }
  auto outcome = this->machine.Apply(report);
  if (std::holds_alternative<state::Done>(outcome) && !this->IsLost()) {
    this->At(aRouter, kDelayToControl, [this, aRouter, number = batch.number] {
      this->routers[aRouter].budget->Acknowledge({}, number);
    });
  }
}

void
ZoneSimulation::Recall(std::size_t aRequester, Tokens aMinimum)
{
  std::vector<state::TokenHolder> holders;
  for (const auto& [session, tokens] : this->Ledger().outstanding) {
    if (session != this->routers[aRequester].session) {
      holders.push_back({ session, tokens });
    }
  }
  std::erase_if(holders, [this](const state::TokenHolder& aHolder) {
    return !this->IndexOf(aHolder.session);
  });
  for (const auto& recall : state::PlanRecall(std::move(holders), aMinimum)) {
    std::size_t holder = *this->IndexOf(recall.session);
    this->At(holder, kDelayToControl, [this, holder, amount = recall.tokens] {
      Router& router = this->routers[holder];
      router.budget->Recall(this->workspace, amount);
      router.reportAt = this->now;
    });
  }
}

std::optional<std::size_t>
ZoneSimulation::IndexOf(SessionId aSession) const
{
  auto found = std::find_if(
    this->routers.begin(), this->routers.end(), [&](const Router& aRouter) {
      return aRouter.session == aSession;
    });
  if (found == this->routers.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(found - this->routers.begin());
}

void
ZoneSimulation::SendToAllocator(std::size_t aRouter,
                                const SourceMessage& aMessage)
{
  const InstanceId& instance = aMessage.to.allocator;
  std::size_t allocator = this->IndexOf(instance);
  if (this->routers[aRouter].isCut || this->routers[allocator].isCut ||
      this->IsLost()) {
    this->LoseLink(aRouter, instance);
    return;
  }
  SessionId borrower = this->routers[aRouter].session;
  this->At(allocator,
           kDelayToPeer,
           [this, aRouter, allocator, borrower, message = aMessage] {
             auto& budget = *this->routers[allocator].budget;
             if (const auto* request =
                   std::get_if<GrantRequest>(&message.body)) {
               if (auto loan = budget.Request(borrower, *request, this->now)) {
                 this->SendLoan(allocator, *loan);
               }
               return;
             }
             const auto& batch = std::get<UsageBatch>(message.body);
             if (budget.Report(borrower, batch) &&
                 this->routers[aRouter].session == borrower) {
               this->At(aRouter,
                        kDelayToPeer,
                        [this, aRouter, to = message.to, n = batch.number] {
                          this->routers[aRouter].budget->Acknowledge(to, n);
                        });
             }
           });
}

void
ZoneSimulation::SendLoan(std::size_t aAllocator, const LoanReply& aLoan)
{
  InstanceId instance(std::to_string(aAllocator));
  for (std::size_t router = 0; router < this->routers.size(); ++router) {
    if (this->routers[router].session != aLoan.borrower) {
      continue;
    }
    if (this->routers[router].isCut || this->IsLost()) {
      this->LoseLink(router, instance);
      return;
    }
    this->At(
      router, kDelayToPeer, [this, router, instance, reply = aLoan.reply] {
        this->routers[router].budget->AddGrant({ instance }, reply, this->now);
      });
  }
}

const state::Budget&
ZoneSimulation::Ledger() const
{
  return *this->machine.Budgets().Find(this->workspace);
}

} // namespace lycheestand::budget
