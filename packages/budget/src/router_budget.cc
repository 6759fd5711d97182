#include <algorithm>
#include <lycheestand/budget.h>
#include <utility>

namespace lycheestand::budget {

namespace {

// Time without a claim after which a router is no longer the main user of a
// budget in its zone.
constexpr Duration kMainUserIdleTime = std::chrono::seconds(10);

// Disconnections from control last 7 to 9 s.
constexpr Duration kUsualOutage = std::chrono::seconds(9);
constexpr Duration kMinOfflineRetry = std::chrono::seconds(1);

} // namespace

RouterBudget::RouterBudget(RouterBudgetOptions aOptions)
  : options(std::move(aOptions))
  , granted(this->options.granted)
  , lender(this->granted, this->options.nextTicket)
{
}

void
RouterBudget::SetLending(Lending aLending)
{
  this->lending = std::move(aLending);
}

// A router that callers of its zone use alone gets its tokens from control. It
// remains the main user while it has demand: once it no longer borrows, the
// allocator can't tell.
bool
RouterBudget::IsMainUser(const WorkspaceId& aWorkspace,
                         const LendingPlan& aPlan,
                         TimePoint aNow)
{
  if (aPlan.allocators.empty()) {
    return false;
  }
  auto found = this->borrowings.find(aPlan.allocators.front());
  LocalBudget* borrowed =
    found == this->borrowings.end() ? nullptr : &found->second.budget;
  auto last = this->mainUses.find(aWorkspace);
  if (last != this->mainUses.end()) {
    if (aNow - last->second < kMainUserIdleTime) {
      last->second = aNow;
      return true;
    }
    this->mainUses.erase(last);
    if (borrowed != nullptr) {
      borrowed->ForgetMajority(aWorkspace);
    }
  }
  if (borrowed == nullptr || !borrowed->HoldsMajority(aWorkspace)) {
    return false;
  }
  this->mainUses[aWorkspace] = aNow;
  return true;
}

std::deque<TokenSource>
RouterBudget::SourcesFor(const WorkspaceId& aWorkspace, TimePoint aNow)
{
  LendingPlan plan;
  if (this->lending.plan) {
    plan = this->lending.plan(aWorkspace);
  }
  bool isMainUser =
    !plan.isOwnAllocator && this->IsMainUser(aWorkspace, plan, aNow);
  bool isDirect = plan.isOwnAllocator || plan.prefersControl || isMainUser ||
                  plan.allocators.empty() ||
                  this->granted.HoldsMajority(aWorkspace);
  Purpose purpose = isDirect ? Purpose::Callers : Purpose::None;
  if (plan.isOwnAllocator) {
    purpose = Purpose::Zone;
  } else if (isMainUser) {
    purpose = Purpose::MainUser;
  }
  this->granted.SetPurpose(aWorkspace, purpose);
  std::deque<TokenSource> sources{ TokenSource{} };
  for (std::size_t i = 0; i < plan.allocators.size(); ++i) {
    TokenSource source{ plan.allocators[i] };
    // The preferred allocator goes before control.
    if (i == 0 && !isDirect) {
      sources.push_front(source);
    } else {
      sources.push_back(source);
    }
  }
  return sources;
}

LocalBudget*
RouterBudget::Find(const TokenSource& aSource)
{
  if (aSource.IsControl()) {
    return &this->granted;
  }
  auto found = this->borrowings.find(aSource.allocator);
  return found == this->borrowings.end() ? nullptr : &found->second.budget;
}

bool
RouterBudget::IsConnected(const TokenSource& aSource) const
{
  auto found = this->borrowings.find(aSource.allocator);
  return aSource.IsControl() ||
         (found != this->borrowings.end() && found->second.isConnected);
}

std::optional<Decision>
RouterBudget::Reserve(const Claim& aClaim, TimePoint aNow)
{
  PendingClaim pendingClaim{ aClaim, this->SourcesFor(aClaim.workspace, aNow) };
  auto decision = this->TryNext(pendingClaim, Refusal::Offline, aNow);
  if (!decision) {
    this->pending.emplace(aClaim.ticket, std::move(pendingClaim));
  }
  return decision;
}

// Tries the next sources until one decides or queues the claim; aRefusal is the
// decision if there is none.
std::optional<Decision>
RouterBudget::TryNext(PendingClaim& aPending, Refusal aRefusal, TimePoint aNow)
{
  while (!aPending.next.empty()) {
    TokenSource source = aPending.next.front();
    aPending.next.pop_front();
    if (!this->IsConnected(source)) {
      continue;
    }
    LocalBudget* budget = this->Find(source);
    auto decision = budget->Reserve(aPending.claim, aNow);
    if (!decision || !decision->refusal) {
      this->reserved[aPending.claim.ticket] = source;
      return decision;
    }
    aRefusal = *decision->refusal;
  }
  return Decision{
    aPending.claim.ticket, Tokens(0), aRefusal, this->RetryAfterOffline(aNow)
  };
}

// If an allocator has no contact with control either, the other routers of the
// zone have none, and no tokens move before the outage ends. Otherwise callers
// find a router that has contact at the next entry addresses.
Duration
RouterBudget::RetryAfterOffline(TimePoint aNow) const
{
  bool areOthersOffline =
    this->lenderOfflineAt && *this->lenderOfflineAt >= this->offlineSince;
  if (this->isOnline || !areOthersOffline) {
    return kMinOfflineRetry;
  }
  return std::max(kMinOfflineRetry, kUsualOutage - (aNow - this->offlineSince));
}

// A source that says that the budget is exhausted, or that other routers hold
// it, has asked control, so the other sources have no tokens either.
std::optional<Decision>
RouterBudget::Continue(const Decision& aDecision, TimePoint aNow)
{
  auto found = this->pending.find(aDecision.ticket);
  if (found == this->pending.end()) {
    return std::nullopt;
  }
  auto refusal = aDecision.refusal;
  auto source = this->reserved.find(aDecision.ticket);
  if (refusal == Refusal::NoReply && source != this->reserved.end() &&
      this->IsConnected(source->second) && !source->second.IsControl()) {
    this->silent.push_back(source->second.allocator);
    this->DisconnectAllocator(source->second.allocator);
  }
  if (refusal == Refusal::Offline || refusal == Refusal::NoReply) {
    this->reserved.erase(aDecision.ticket);
    auto next = this->TryNext(found->second, *refusal, aNow);
    if (!next) {
      return std::nullopt;
    }
    this->pending.erase(found);
    return next;
  }
  if (refusal) {
    this->reserved.erase(aDecision.ticket);
  }
  this->pending.erase(found);
  return aDecision;
}

void
RouterBudget::Settle(Ticket aTicket, Tokens aSpent, TimePoint aNow)
{
  this->pending.erase(aTicket);
  auto found = this->reserved.extract(aTicket);
  if (found.empty()) {
    return;
  }
  if (LocalBudget* budget = this->Find(found.mapped())) {
    budget->Settle(aTicket, aSpent, aNow);
  }
}

std::vector<Decision>
RouterBudget::Poll(TimePoint aNow)
{
  std::vector<Decision> decided = std::exchange(this->dropped, {});
  for (const auto& decision : this->granted.Poll(aNow)) {
    decided.push_back(decision);
  }
  for (auto& [allocator, borrowing] : this->borrowings) {
    for (const auto& decision : borrowing.budget.Poll(aNow)) {
      decided.push_back(decision);
    }
  }
  std::vector<Decision> out;
  for (const auto& decision : decided) {
    if (auto loan = this->lender.Decide(decision)) {
      this->loanReplies.push_back(*loan);
    } else if (auto final = this->Continue(decision, aNow)) {
      out.push_back(*final);
    }
  }
  return out;
}

void
RouterBudget::SetOnline(bool aIsOnline, TimePoint aNow)
{
  if (this->isOnline && !aIsOnline) {
    this->offlineSince = aNow;
  }
  this->isOnline = aIsOnline;
  this->granted.SetOnline(aIsOnline);
}

// An earlier process of the allocator took what it had lent with it, so there
// is nobody to report to. Requests that run go on: control counts their tokens
// as held by that process.
void
RouterBudget::Forget(const InstanceId& aAllocator)
{
  std::erase_if(this->reserved, [&](const auto& aEntry) {
    if (aEntry.second.allocator != aAllocator) {
      return false;
    }
    if (this->pending.contains(aEntry.first)) {
      this->dropped.push_back({ aEntry.first, Tokens(0), Refusal::Offline });
    }
    return true;
  });
  this->borrowings.erase(aAllocator);
}

void
RouterBudget::ConnectAllocator(const InstanceId& aAllocator, SessionId aSession)
{
  auto found = this->borrowings.find(aAllocator);
  if (found != this->borrowings.end() && found->second.session != aSession) {
    this->Forget(aAllocator);
  }
  Borrowing& borrowing =
    this->borrowings
      .try_emplace(aAllocator,
                   Borrowing{ aSession, LocalBudget(this->options.borrowed) })
      .first->second;
  borrowing.isConnected = true;
  borrowing.budget.SetOnline(true);
}

void
RouterBudget::DisconnectAllocator(const InstanceId& aAllocator)
{
  auto found = this->borrowings.find(aAllocator);
  if (found != this->borrowings.end()) {
    found->second.isConnected = false;
    found->second.budget.SetOnline(false);
  }
}

// A claim does not wait for a link, so the links are opened ahead.
std::set<InstanceId>
RouterBudget::NeededAllocators() const
{
  std::set<InstanceId> out(this->lending.own.begin(), this->lending.own.end());
  if (!this->isOnline) {
    out.insert(this->lending.others.begin(), this->lending.others.end());
  }
  for (const auto& [allocator, borrowing] : this->borrowings) {
    if (!borrowing.budget.IsEmpty()) {
      out.insert(allocator);
    }
  }
  return out;
}

std::vector<InstanceId>
RouterBudget::TakeSilentAllocators()
{
  return std::exchange(this->silent, {});
}

template<class Function>
void
RouterBudget::ForEachBudget(Function aFunction)
{
  aFunction(TokenSource{}, this->granted);
  for (auto& [allocator, borrowing] : this->borrowings) {
    aFunction(TokenSource{ allocator }, borrowing.budget);
  }
}

std::vector<SourceMessage>
RouterBudget::TakeRequests(TimePoint aNow)
{
  std::vector<SourceMessage> out;
  this->ForEachBudget([&](const TokenSource& aSource, LocalBudget& aBudget) {
    for (const auto& request : aBudget.TakeGrantRequests(aNow)) {
      out.push_back({ aSource, request });
    }
  });
  return out;
}

std::vector<SourceMessage>
RouterBudget::TakeReports(TimePoint aNow)
{
  std::vector<SourceMessage> out;
  this->ForEachBudget([&](const TokenSource& aSource, LocalBudget& aBudget) {
    if (auto batch = aBudget.TakeBatch(aNow)) {
      out.push_back({ aSource, *batch });
    }
  });
  return out;
}

std::vector<SourceMessage>
RouterBudget::UnansweredMessages(const TokenSource& aSource) const
{
  const LocalBudget* budget = &this->granted;
  if (!aSource.IsControl()) {
    auto found = this->borrowings.find(aSource.allocator);
    if (found == this->borrowings.end()) {
      return {};
    }
    budget = &found->second.budget;
  }
  std::vector<SourceMessage> out;
  if (const auto& batch = budget->UnacknowledgedBatch()) {
    out.push_back({ aSource, *batch });
  }
  for (const auto& request : budget->UnansweredGrantRequests()) {
    out.push_back({ aSource, request });
  }
  return out;
}

void
RouterBudget::AddGrant(const TokenSource& aSource,
                       const GrantReply& aReply,
                       TimePoint aNow)
{
  if (aReply.isLenderOffline) {
    this->lenderOfflineAt = aNow;
  }
  if (LocalBudget* budget = this->Find(aSource)) {
    budget->AddGrant(aReply, aNow);
  }
}

void
RouterBudget::Acknowledge(const TokenSource& aSource, BatchNumber aNumber)
{
  if (LocalBudget* budget = this->Find(aSource)) {
    budget->Acknowledge(aNumber);
  }
}

void
RouterBudget::Recall(const WorkspaceId& aWorkspace, Tokens aTokens)
{
  this->granted.Recall(aWorkspace, aTokens);
}

std::optional<LoanReply>
RouterBudget::Request(SessionId aBorrower,
                      const GrantRequest& aRequest,
                      TimePoint aNow)
{
  this->granted.SetPurpose(aRequest.workspace, Purpose::Zone);
  return this->lender.Request(aBorrower, aRequest, aNow);
}

bool
RouterBudget::Report(SessionId aBorrower, const UsageBatch& aBatch)
{
  return this->lender.Report(aBorrower, aBatch);
}

std::vector<LoanReply>
RouterBudget::TakeLoanReplies()
{
  return std::exchange(this->loanReplies, {});
}

void
RouterBudget::ReturnAll()
{
  this->lender.Close();
  this->ForEachBudget(
    [](const TokenSource&, LocalBudget& aBudget) { aBudget.ReturnAll(); });
}

// What was borrowed from an allocator that is not connected can't be returned.
bool
RouterBudget::IsEmpty() const
{
  bool isEmpty = this->granted.IsEmpty();
  for (const auto& [allocator, borrowing] : this->borrowings) {
    isEmpty = isEmpty && (!borrowing.isConnected || borrowing.budget.IsEmpty());
  }
  return isEmpty;
}

std::map<WorkspaceId, Holding>
RouterBudget::BorrowedHoldings() const
{
  std::map<WorkspaceId, Holding> out;
  for (const auto& [allocator, borrowing] : this->borrowings) {
    for (const auto& [workspace, holding] : borrowing.budget.Holdings()) {
      Holding& sum = out[workspace];
      sum.available += holding.available;
      sum.reserved += holding.reserved;
      sum.unreported += holding.unreported;
    }
  }
  return out;
}

} // namespace lycheestand::budget
