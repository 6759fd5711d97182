#include <algorithm>
#include <lycheestand/budget.h>

namespace lycheestand::budget {

namespace {

// Tokens that a chat template adds to each message and to the prompt.
constexpr std::int64_t kTokensPerMessage = 16;
constexpr std::int64_t kTokensPerPrompt = 32;

// Tokens per second below which nothing is asked for ahead.
constexpr double kLeastRate = 1;

constexpr Duration kRateWindow = std::chrono::milliseconds(500);

Tokens
SizeByDemand(double aTokensPerSecond, Duration aHorizon)
{
  double seconds = ToSeconds(aHorizon);
  return Tokens(static_cast<std::int64_t>(aTokensPerSecond * seconds));
}

} // namespace

// A byte-level tokenizer makes at most one token of a byte.
Tokens
BoundPrompt(std::size_t aTextBytes, std::size_t aMessages)
{
  return Tokens(static_cast<std::int64_t>(aTextBytes) +
                static_cast<std::int64_t>(aMessages) * kTokensPerMessage +
                kTokensPerPrompt);
}

Purse::Purse(PurseOptions aOptions)
  : options(std::move(aOptions))
{
  if (!this->options.sizeGrant) {
    this->options.sizeGrant = SizeByDemand;
  }
}

std::optional<Decision>
Purse::Reserve(const Claim& aClaim, TimePoint aNow)
{
  Account& account = this->accounts[aClaim.workspace];
  this->UpdateRate(account, aNow);
  account.lastClaim = aNow;
  account.lastWanted = aClaim.wanted;
  account.recentTokens += static_cast<double>(aClaim.wanted.Get());
  if (account.available >= aClaim.minimum) {
    return this->Grant(
      account, aClaim, std::min(account.available, aClaim.wanted));
  }
  if (!this->isOnline) {
    return Decision{ aClaim.ticket, Tokens(0), Refusal::NoGrant };
  }
  account.queue.push_back({ aClaim, aNow + this->options.claimTimeout });
  return std::nullopt;
}

Decision
Purse::Grant(Account& aAccount, const Claim& aClaim, Tokens aTokens)
{
  aAccount.available -= aTokens;
  aAccount.reserved += aTokens;
  this->reservations[aClaim.ticket] = { aClaim.workspace, aTokens };
  return { aClaim.ticket, aTokens, std::nullopt };
}

void
Purse::Settle(Ticket aTicket, Tokens aSpent, TimePoint aNow)
{
  auto found = this->reservations.find(aTicket);
  if (found == this->reservations.end()) {
    for (auto& [workspace, account] : this->accounts) {
      std::erase_if(account.queue, [&](const Waiting& aWaiting) {
        return aWaiting.claim.ticket == aTicket;
      });
    }
    return;
  }
  Reservation reservation = found->second;
  this->reservations.erase(found);
  Account& account = this->accounts[reservation.workspace];
  Tokens spent = std::clamp(aSpent, Tokens(0), reservation.tokens);
  account.reserved -= reservation.tokens;
  account.available += reservation.tokens - spent;
  account.unreported.spent += spent;
  account.unreported.requests += 1;
  this->UpdateRate(account, aNow);
}

std::vector<Decision>
Purse::Poll(TimePoint aNow)
{
  std::vector<Decision> decisions;
  for (auto& [workspace, account] : this->accounts) {
    this->Serve(account, aNow, decisions);
  }
  return decisions;
}

// A claim is refused as exhausted only when what this router has reserved,
// which may settle for less, and what it is returning can't make room either.
void
Purse::Serve(Account& aAccount,
             TimePoint aNow,
             std::vector<Decision>& aDecisions)
{
  while (!aAccount.queue.empty()) {
    const Waiting& head = aAccount.queue.front();
    const Claim& claim = head.claim;
    if (aAccount.available >= claim.minimum) {
      aDecisions.push_back(this->Grant(
        aAccount, claim, std::min(aAccount.available, claim.wanted)));
    } else if (aAccount.exhausted &&
               this->Prospect(claim.workspace, aAccount) < claim.minimum) {
      aDecisions.push_back({ claim.ticket, Tokens(0), Refusal::Exhausted });
    } else if (head.deadline <= aNow) {
      auto refusal = aAccount.exhausted ? Refusal::Exhausted : Refusal::NoGrant;
      aDecisions.push_back({ claim.ticket, Tokens(0), refusal });
    } else {
      this->ServeSmaller(aAccount, aDecisions);
      return;
    }
    aAccount.queue.pop_front();
    // The next claim may need less; control has to say so again.
    aAccount.exhausted = false;
  }
}

// Claims that fit pass an earlier one that does not. The earlier one waits no
// longer than its deadline either way, and in the model of docs/budgets.md
// fewer claims are refused in all.
void
Purse::ServeSmaller(Account& aAccount, std::vector<Decision>& aDecisions)
{
  std::erase_if(aAccount.queue, [&](const Waiting& aWaiting) {
    const Claim& claim = aWaiting.claim;
    if (aAccount.available < claim.minimum) {
      return false;
    }
    aDecisions.push_back(
      this->Grant(aAccount, claim, std::min(aAccount.available, claim.wanted)));
    return true;
  });
}

std::vector<GrantNeed>
Purse::TakeNeeds(TimePoint aNow)
{
  std::vector<GrantNeed> needs;
  for (auto& [workspace, account] : this->accounts) {
    Tokens low = this->LowMark(account);
    bool isLow = account.queue.empty() && account.available < low;
    if (account.asked || aNow < account.askAgain ||
        (account.queue.empty() && !isLow)) {
      continue;
    }
    Tokens queued;
    for (const auto& waiting : account.queue) {
      queued += waiting.claim.wanted;
    }
    Tokens minimum =
      isLow ? Tokens(1)
            : account.queue.front().claim.minimum - account.available;
    Tokens ahead = this->isClosing
                     ? Tokens(0)
                     : this->DemandOf(account, this->options.grantHorizon);
    GrantNeed need;
    need.request = this->nextRequest++;
    need.workspace = workspace;
    need.isPrefetch = isLow;
    need.minimum = std::max(minimum, Tokens(1));
    Tokens target = std::max(ahead, low);
    need.wanted = std::max(queued + target - account.available, need.minimum);
    account.asked = need;
    needs.push_back(need);
  }
  return needs;
}

// Returns what must be available so that nothing is asked for ahead: the demand
// of some time, and at least one request like the last one.
Tokens
Purse::LowMark(const Account& aAccount) const
{
  if (this->options.askBelow == Duration(0) || this->isClosing ||
      aAccount.tokensPerSecond < kLeastRate) {
    return Tokens(0);
  }
  return std::max(this->DemandOf(aAccount, this->options.askBelow),
                  aAccount.lastWanted);
}

Tokens
Purse::DemandOf(const Account& aAccount, Duration aTime) const
{
  double factor = aAccount.holdsMost ? this->options.mostHeldFactor : 1;
  return this->options.sizeGrant(aAccount.tokensPerSecond * factor, aTime);
}

std::vector<GrantNeed>
Purse::Unanswered() const
{
  std::vector<GrantNeed> needs;
  for (const auto& [workspace, account] : this->accounts) {
    if (account.asked) {
      needs.push_back(*account.asked);
    }
  }
  return needs;
}

void
Purse::AddGrant(const GrantAnswer& aAnswer, TimePoint aNow)
{
  Account& account = this->accounts[aAnswer.workspace];
  // An answer that arrives again on a new link has been counted.
  if (!account.asked || account.asked->request != aAnswer.request) {
    return;
  }
  account.asked.reset();
  account.available += aAnswer.tokens;
  account.holdsMost = aAnswer.holdsMost;
  // An answer to a request made ahead says nothing about claims that come after
  // it: more may have been paid by then.
  account.exhausted =
    aAnswer.tokens == Tokens(0) && aAnswer.exhausted && !account.queue.empty();
  if (aAnswer.tokens == Tokens(0)) {
    account.askAgain = aNow + this->options.retryPause;
  }
}

// A router whose own claims wait gives up what does not cover them, too: if
// several routers keep parts that are too small, nobody is served, while
// control can put the parts together for one of them.
void
Purse::Recall(const WorkspaceId& aWorkspace, Tokens aTokens)
{
  auto found = this->accounts.find(aWorkspace);
  if (found == this->accounts.end()) {
    return;
  }
  Return(found->second, std::min(aTokens, found->second.available));
}

void
Purse::Return(Account& aAccount, Tokens aTokens)
{
  aAccount.available -= aTokens;
  aAccount.unreported.returned += aTokens;
}

// Returns what may still become available to this router without a grant.
Tokens
Purse::Prospect(const WorkspaceId& aWorkspace, const Account& aAccount) const
{
  Tokens sum = aAccount.available + aAccount.reserved;
  if (this->inTransit) {
    for (const auto& part : this->inTransit->parts) {
      sum += part.workspace == aWorkspace ? part.returned : Tokens(0);
    }
  }
  return sum;
}

void
Purse::ReturnSurplus(Account& aAccount, TimePoint aNow) const
{
  if (!aAccount.queue.empty() || aAccount.available == Tokens(0)) {
    return;
  }
  if (aNow - aAccount.lastClaim >= this->options.idleReturn) {
    Return(aAccount, aAccount.available);
    return;
  }
  Tokens keep = this->DemandOf(aAccount, this->options.grantHorizon);
  keep = std::max(keep, this->LowMark(aAccount));
  Tokens limit(static_cast<std::int64_t>(static_cast<double>(keep.Get()) *
                                         this->options.surplusFactor) +
               1);
  if (aAccount.tokensPerSecond > 0 && aAccount.available > limit) {
    Return(aAccount, aAccount.available - limit);
  }
}

std::optional<UsageBatch>
Purse::TakeBatch(TimePoint aNow)
{
  if (this->inTransit) {
    return std::nullopt;
  }
  UsageBatch batch;
  for (auto& [workspace, account] : this->accounts) {
    this->UpdateRate(account, aNow);
    this->ReturnSurplus(account, aNow);
    UsagePart& part = account.unreported;
    if (part.spent == Tokens(0) && part.returned == Tokens(0) &&
        part.requests == 0) {
      continue;
    }
    part.workspace = workspace;
    batch.parts.push_back(part);
    part = {};
  }
  if (batch.parts.empty()) {
    return std::nullopt;
  }
  batch.number = BatchNumber(this->nextBatch++);
  this->inTransit = batch;
  return batch;
}

void
Purse::Acknowledge(BatchNumber aNumber)
{
  if (this->inTransit && this->inTransit->number == aNumber) {
    this->inTransit.reset();
  }
}

void
Purse::ReturnAll()
{
  this->isClosing = true;
  for (auto& [workspace, account] : this->accounts) {
    Return(account, account.available);
  }
}

void
Purse::SetHorizon(Duration aTime)
{
  this->options.grantHorizon = std::min(this->options.grantHorizon, aTime);
  this->options.askBelow = std::min(this->options.askBelow, aTime / 2);
}

bool
Purse::IsEmpty() const
{
  if (this->inTransit || !this->reservations.empty()) {
    return false;
  }
  return std::all_of(
    this->accounts.begin(), this->accounts.end(), [](const auto& aEntry) {
      const Account& account = aEntry.second;
      return account.available == Tokens(0) && !account.asked &&
             account.unreported.requests == 0 &&
             account.unreported.spent == Tokens(0) &&
             account.unreported.returned == Tokens(0);
    });
}

std::map<WorkspaceId, Holding>
Purse::Holdings() const
{
  std::map<WorkspaceId, Holding> holdings;
  for (const auto& [workspace, account] : this->accounts) {
    holdings[workspace] = { account.available,
                            account.reserved,
                            account.unreported.spent +
                              account.unreported.returned };
  }
  return holdings;
}

void
Purse::UpdateRate(Account& aAccount, TimePoint aNow) const
{
  Duration elapsed = aNow - aAccount.rateSince;
  if (elapsed < kRateWindow) {
    return;
  }
  double rate = aAccount.recentTokens / ToSeconds(elapsed);
  // The first windows count alike, so that the rate is known early.
  double weight =
    std::max(this->options.rateWeight, 1.0 / ++aAccount.rateWindows);
  aAccount.tokensPerSecond =
    weight * rate + (1 - weight) * aAccount.tokensPerSecond;
  aAccount.recentTokens = 0;
  aAccount.rateSince = aNow;
}

} // namespace lycheestand::budget
