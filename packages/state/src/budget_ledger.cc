#include <algorithm>
#include <lycheestand/state.h>

namespace lycheestand::state {

namespace {

// A grant takes at most the free tokens divided by this. Otherwise the first
// router to ask would take all of a small budget, and the others would have to
// recall tokens from it.
constexpr std::int64_t kGrantDivisor = 4;

// A prefetch, which no request waits for, takes at most the free tokens beyond
// a reserve, divided by kPrefetchDivisor. The reserve is the paid tokens
// divided by kReserveDivisor.
constexpr std::int64_t kPrefetchDivisor = 8;
constexpr std::int64_t kMainUserPrefetchDivisor = 2;
constexpr std::int64_t kReserveDivisor = 16;

// A budget is low if less than the paid tokens divided by this is left to a
// session: what it holds and what is free beyond the reserve.
constexpr std::int64_t kLowBudgetDivisor = 2;

// From a low budget, a session may prefetch until it holds what is left to it
// divided by this. A larger amount would be lost to the workspace when the
// router is killed.
constexpr std::int64_t kLowBudgetHoldingDivisor = 4;

// As kLowBudgetHoldingDivisor, for a session that serves nearly all requests.
constexpr std::int64_t kMainUserHoldingDivisor = 2;

// A session holds most of a budget if it holds at least this many times what
// all other open sessions hold together.
constexpr std::int64_t kTokenMajorityRatio = 2;

} // namespace

Tokens
Budget::Outstanding() const
{
  Tokens sum;
  for (const auto& [session, tokens] : this->outstanding) {
    sum += tokens;
  }
  return sum;
}

Tokens
Budget::Free() const
{
  return this->paid - this->spent - this->Outstanding();
}

void
BudgetLedger::Open(const WorkspaceId& aWorkspace)
{
  this->budgets.try_emplace(aWorkspace);
}

Outcome
BudgetLedger::TopUp(const WorkspaceId& aWorkspace, Tokens aTokens)
{
  auto found = this->budgets.find(aWorkspace);
  if (found == this->budgets.end()) {
    return Rejected{ Rejection::UnknownWorkspace };
  }
  if (aTokens <= Tokens(0) || aTokens > kMaxPaid - found->second.paid) {
    return Rejected{ Rejection::InvalidAmount };
  }
  found->second.paid += aTokens;
  return BudgetToppedUp{ found->second.paid };
}

void
BudgetLedger::RaisePaidTo(const WorkspaceId& aWorkspace, Tokens aPaid)
{
  Budget& budget = this->budgets[aWorkspace];
  budget.paid = std::max(budget.paid, aPaid);
}

namespace {

Tokens
HeldBy(const Budget& aBudget, SessionId aSession)
{
  auto found = aBudget.outstanding.find(aSession);
  return found != aBudget.outstanding.end() ? found->second : Tokens(0);
}

// Returns how many tokens of a budget to grant; 0 if that would be less than
// the minimum.
Tokens
SizeGrant(const Budget& aBudget, const GrantTokens& aCommand)
{
  std::int64_t held = HeldBy(aBudget, aCommand.session).Get();
  std::int64_t free = aBudget.Free().Get();
  if (!aCommand.isPrefetch) {
    Tokens share(free / kGrantDivisor);
    return free >= aCommand.minimum.Get()
             ? std::max(aCommand.minimum, std::min(aCommand.wanted, share))
             : Tokens(0);
  }
  std::int64_t available = free - aBudget.paid.Get() / kReserveDivisor;
  std::int64_t limit =
    available /
    (aCommand.isMainUser ? kMainUserPrefetchDivisor : kPrefetchDivisor);
  std::int64_t holdingDivisor =
    aCommand.isMainUser ? kMainUserHoldingDivisor : kLowBudgetHoldingDivisor;
  if (available + held < aBudget.paid.Get() / kLowBudgetDivisor) {
    limit = std::min(limit, (available + held) / holdingDivisor - held);
  }
  Tokens share(std::max<std::int64_t>(0, limit));
  Tokens size = std::min(aCommand.wanted, share);
  return size >= aCommand.minimum ? size : Tokens(0);
}

} // namespace

// A router repeats a request with the same number until it gets the reply, so
// no granted tokens are lost with a reply. A request older than the last one
// was delayed on an earlier connection; its router no longer waits for the
// reply and would never use or return the tokens.
Outcome
BudgetLedger::Grant(const GrantTokens& aCommand,
                    const std::function<bool(SessionId)>& aIsOpen)
{
  auto found = this->budgets.find(aCommand.workspace);
  if (found == this->budgets.end()) {
    return Rejected{ Rejection::UnknownWorkspace };
  }
  if (aCommand.minimum <= Tokens(0) || aCommand.wanted < aCommand.minimum) {
    return Rejected{ Rejection::InvalidAmount };
  }
  std::pair key(aCommand.session, aCommand.workspace);
  auto last = this->lastGrants.find(key);
  if (last != this->lastGrants.end() &&
      aCommand.request <= last->second.request) {
    return aCommand.request == last->second.request ? last->second.reply
                                                    : TokensGranted{};
  }
  Budget& budget = found->second;
  TokensGranted reply;
  reply.tokens = SizeGrant(budget, aCommand);
  if (reply.tokens > Tokens(0)) {
    reply.grant = GrantId(this->nextGrant++);
    budget.outstanding[aCommand.session] += reply.tokens;
  }
  // Tokens that other sessions may still return.
  Tokens others;
  for (const auto& [session, tokens] : budget.outstanding) {
    bool mayReturn = session != aCommand.session && aIsOpen(session);
    others += mayReturn ? tokens : Tokens(0);
  }
  Tokens held = HeldBy(budget, aCommand.session);
  reply.holdsTokenMajority =
    held > Tokens(0) && held.Get() >= kTokenMajorityRatio * others.Get();
  if (reply.tokens == Tokens(0)) {
    reply.exhausted = budget.Free() + others < aCommand.minimum;
  }
  this->lastGrants.insert_or_assign(key, LastGrant{ aCommand.request, reply });
  return reply;
}

// Subtracts each amount from the held tokens instead of adding the amounts up,
// so that no sum can overflow.
bool
BudgetLedger::IsCovered(const ReportUsage& aCommand) const
{
  std::map<WorkspaceId, Tokens> left;
  for (const auto& entry : aCommand.entries) {
    const Budget* budget = this->Find(entry.workspace);
    if (budget == nullptr) {
      return false;
    }
    Tokens& rest =
      left.try_emplace(entry.workspace, HeldBy(*budget, aCommand.session))
        .first->second;
    for (Tokens amount : { entry.spent, entry.returned }) {
      if (amount < Tokens(0) || amount > rest) {
        return false;
      }
      rest -= amount;
    }
  }
  return true;
}

void
BudgetLedger::ApplyUsage(const ReportUsage& aCommand)
{
  for (const auto& entry : aCommand.entries) {
    Budget& budget = this->budgets[entry.workspace];
    Tokens& held = budget.outstanding[aCommand.session];
    held -= entry.spent + entry.returned;
    budget.spent += entry.spent;
    budget.requests += entry.requests;
    if (held == Tokens(0)) {
      budget.outstanding.erase(aCommand.session);
    }
  }
}

void
BudgetLedger::CloseSession(SessionId aSession)
{
  auto first = this->lastGrants.lower_bound({ aSession, WorkspaceId() });
  auto end = first;
  while (end != this->lastGrants.end() && end->first.first == aSession) {
    ++end;
  }
  this->lastGrants.erase(first, end);
}

const Budget*
BudgetLedger::Find(const WorkspaceId& aWorkspace) const
{
  auto found = this->budgets.find(aWorkspace);
  return found == this->budgets.end() ? nullptr : &found->second;
}

} // namespace lycheestand::state
