#include <algorithm>
#include <lycheestand/state.h>

namespace lycheestand::state {

namespace {

// A grant takes at most this part of what is free, so that the first router to
// ask does not take a small budget whole and leave others to recall it.
constexpr std::int64_t kLargestShare = 4;

// A grant that no request waits for takes at most this part of what is free
// beyond the reserve, a part of what is paid.
constexpr std::int64_t kAheadShare = 8;
constexpr std::int64_t kReserveShare = 16;

// Part of a budget from which on little is left.
constexpr std::int64_t kLowShare = 2;

// If little is left, what one session holds ahead is at most this part of what
// it holds and what is free: a router that is killed takes along what it holds.
constexpr std::int64_t kHeldShare = 4;

// A session holds most of a budget if it holds this many times what all others
// hold together.
constexpr std::int64_t kMostFactor = 2;

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
  if (aTokens <= Tokens(0) || aTokens > kMostPaid - found->second.paid) {
    return Rejected{ Rejection::InvalidAmount };
  }
  found->second.paid += aTokens;
  return BudgetToppedUp{ found->second.paid };
}

void
BudgetLedger::RaiseTo(const WorkspaceId& aWorkspace, Tokens aPaid)
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

// Returns how much of a budget a grant may take; 0 if it has too little room.
Tokens
SizeGrant(const Budget& aBudget, const GrantTokens& aCommand)
{
  std::int64_t own = HeldBy(aBudget, aCommand.session).Get();
  std::int64_t free = aBudget.Free().Get();
  if (!aCommand.isAhead) {
    Tokens share(free / kLargestShare);
    return free >= aCommand.minimum.Get()
             ? std::max(aCommand.minimum, std::min(aCommand.wanted, share))
             : Tokens(0);
  }
  std::int64_t room = free - aBudget.paid.Get() / kReserveShare;
  std::int64_t most = room / kAheadShare;
  if (room + own < aBudget.paid.Get() / kLowShare) {
    most = std::min(most, (room + own) / kHeldShare - own);
  }
  Tokens share(std::max<std::int64_t>(0, most));
  Tokens size = std::min(aCommand.wanted, share);
  return size >= aCommand.minimum ? size : Tokens(0);
}

} // namespace

// A router repeats a request with the same number until it gets the reply, so a
// lost reply strands nothing. A request older than the last one was delayed on
// an earlier link; its router waits for no reply and would never use a grant.
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
  // What other sessions hold might come back.
  Tokens others;
  for (const auto& [session, tokens] : budget.outstanding) {
    bool mayReturn = session != aCommand.session && aIsOpen(session);
    others += mayReturn ? tokens : Tokens(0);
  }
  Tokens own = HeldBy(budget, aCommand.session);
  reply.holdsMost = own > Tokens(0) && own.Get() >= kMostFactor * others.Get();
  if (reply.tokens == Tokens(0)) {
    reply.exhausted = budget.Free() + others < aCommand.minimum;
  }
  this->lastGrants.insert_or_assign(key, LastGrant{ aCommand.request, reply });
  return reply;
}

// Subtracts each amount from what is held, so that no sum can overflow.
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
BudgetLedger::Count(const ReportUsage& aCommand)
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
