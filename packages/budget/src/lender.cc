#include <lycheestand/budget.h>

namespace lycheestand::budget {

namespace {

// Of the tokens that were lent recently, those lent earlier count less by this
// factor with each further loan.
constexpr double kRecentLoanFactor = 0.95;

// Part of the recent loans that a main borrower has, and their number: one of
// few loans says nothing about where callers go.
constexpr double kMainBorrowerShare = 0.7;
constexpr double kMainBorrowerLoans = 4;

} // namespace

Lender::Lender(LocalBudget& aBudget, std::function<Ticket()> aNextTicket)
  : budget(aBudget)
  , nextTicket(std::move(aNextTicket))
{
}

std::optional<LoanReply>
Lender::Request(SessionId aBorrower,
                const GrantRequest& aRequest,
                TimePoint aNow)
{
  Loan& loan = this->sessions[aBorrower].loans[aRequest.workspace];
  if (aRequest.request == loan.lastRequest && loan.lastReply) {
    return LoanReply{ aBorrower, *loan.lastReply };
  }
  // An older request was delayed on an earlier link.
  if (aRequest.request <= loan.lastRequest) {
    return std::nullopt;
  }
  loan.lastRequest = aRequest.request;
  loan.lastReply.reset();
  QueuedRequest queuedRequest{ aBorrower,
                               aRequest.request,
                               aRequest.workspace };
  Ticket ticket = this->nextTicket();
  if (this->isClosed || aRequest.minimum <= Tokens(0) ||
      aRequest.wanted < aRequest.minimum) {
    return this->Finish(queuedRequest,
                        { ticket, Tokens(0), Refusal::NoFreeTokens });
  }
  auto decision = this->budget.Reserve(
    { ticket, aRequest.workspace, aRequest.minimum, aRequest.wanted }, aNow);
  if (decision) {
    return this->Finish(queuedRequest, *decision);
  }
  this->queued.emplace(ticket, queuedRequest);
  return std::nullopt;
}

std::optional<LoanReply>
Lender::Decide(const Decision& aDecision)
{
  auto found = this->queued.extract(aDecision.ticket);
  if (found.empty()) {
    return std::nullopt;
  }
  return this->Finish(found.mapped(), aDecision);
}

LoanReply
Lender::Finish(const QueuedRequest& aQueued, const Decision& aDecision)
{
  GrantReply reply;
  reply.request = aQueued.request;
  reply.workspace = aQueued.workspace;
  reply.tokens = aDecision.tokens;
  reply.exhausted = aDecision.refusal == Refusal::Exhausted;
  reply.isLenderOffline = aDecision.refusal == Refusal::Offline ||
                          aDecision.refusal == Refusal::NoReply;
  double share = this->CountLoan(aQueued, aDecision.tokens);
  this->budget.Lend(aDecision.ticket);
  Loan& loan = this->sessions[aQueued.borrower].loans[aQueued.workspace];
  // A router that uses nearly all that this one lends of a workspace gets its
  // tokens from control, without the way over this router.
  if (share > kMainBorrowerShare && loan.recentLoans >= kMainBorrowerLoans) {
    reply.holdsTokenMajority = true;
    this->budget.RemoveDemand(aQueued.workspace, share);
  }
  loan.outstanding += aDecision.tokens;
  if (loan.lastRequest == aQueued.request) {
    loan.lastReply = reply;
  }
  return { aQueued.borrower, reply };
}

double
Lender::CountLoan(const QueuedRequest& aQueued, Tokens aLent)
{
  double sum = 0;
  double share = 0;
  for (auto& [borrower, session] : this->sessions) {
    auto loan = session.loans.find(aQueued.workspace);
    if (loan == session.loans.end()) {
      continue;
    }
    double& recent = loan->second.recentTokens;
    double& loans = loan->second.recentLoans;
    recent *= kRecentLoanFactor;
    loans *= kRecentLoanFactor;
    if (borrower == aQueued.borrower) {
      recent += static_cast<double>(aLent.Get());
      loans += 1;
      share = recent;
    }
    sum += recent;
  }
  return sum > 0 ? share / sum : 0;
}

bool
Lender::IsCovered(const Session& aSession, const UsageBatch& aBatch)
{
  std::map<WorkspaceId, Tokens> left;
  for (const auto& entry : aBatch.entries) {
    auto loan = aSession.loans.find(entry.workspace);
    if (loan == aSession.loans.end()) {
      return false;
    }
    Tokens& rest =
      left.try_emplace(entry.workspace, loan->second.outstanding).first->second;
    for (Tokens amount : { entry.spent, entry.returned }) {
      if (amount < Tokens(0) || amount > rest) {
        return false;
      }
      rest -= amount;
    }
  }
  return true;
}

bool
Lender::Report(SessionId aBorrower, const UsageBatch& aBatch)
{
  Session& session = this->sessions[aBorrower];
  if (aBatch.number <= session.lastBatch) {
    return true;
  }
  if (!IsCovered(session, aBatch)) {
    return false;
  }
  session.lastBatch = aBatch.number;
  for (const auto& entry : aBatch.entries) {
    session.loans[entry.workspace].outstanding -= entry.spent + entry.returned;
    this->budget.TakeBack(entry);
  }
  return true;
}

} // namespace lycheestand::budget
