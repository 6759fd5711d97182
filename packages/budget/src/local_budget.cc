#include <algorithm>
#include <lycheestand/budget.h>

namespace lycheestand::budget {

namespace {

// Upper bounds on the tokens that a chat template adds to each message and to
// the prompt.
constexpr std::int64_t kTokensPerMessage = 16;
constexpr std::int64_t kTokensPerPrompt = 32;

// Demand below which no grants are requested in advance.
constexpr double kMinPrefetchTokensPerSecond = 1;

// Longest time that a caller's request may have been under way before it was
// read. A caller that closes its connection after less than its patience, minus
// this time, has given up on its own account.
constexpr Duration kMaxRequestDelay = std::chrono::milliseconds(1200);

// A caller that closes its connection with less time than this until its
// deadline may have reached the deadline.
constexpr Duration kMinDeadlineMargin = std::chrono::milliseconds(500);

constexpr Duration kRateWindow = std::chrono::milliseconds(500);

// Weight of a request as large as kSpentPartTokens in the average of spentPart:
// the average covers about 20 requests of a common size.
constexpr double kSpentPartTokens = 80000;

Tokens
SizeGrantByDemand(double aTokensPerSecond, Duration aHorizon)
{
  double seconds = ToSeconds(aHorizon);
  return Tokens(static_cast<std::int64_t>(aTokensPerSecond * seconds));
}

} // namespace

// A byte-level tokenizer produces at most one token per byte.
Tokens
MaxPromptTokens(std::size_t aTextBytes, std::size_t aMessages)
{
  return Tokens(static_cast<std::int64_t>(aTextBytes) +
                static_cast<std::int64_t>(aMessages) * kTokensPerMessage +
                kTokensPerPrompt);
}

Tokens
ChargedTokens(Tokens aPrompt,
              Tokens aOutput,
              const std::optional<CallerExit>& aExit)
{
  bool hasGivenUp = aExit &&
                    aExit->after + kMaxRequestDelay < aExit->patience &&
                    aExit->timeLeft > kMinDeadlineMargin;
  return hasGivenUp ? aOutput : aPrompt + aOutput;
}

LocalBudget::LocalBudget(LocalBudgetOptions aOptions)
  : options(std::move(aOptions))
{
  if (!this->options.sizeGrant) {
    this->options.sizeGrant = SizeGrantByDemand;
  }
}

std::optional<Decision>
LocalBudget::Reserve(const Claim& aClaim, TimePoint aNow)
{
  Account& account = this->accounts[aClaim.workspace];
  this->UpdateRate(account, aNow);
  account.lastClaimAt = aNow;
  account.lastWanted = aClaim.wanted;
  account.windowTokens += static_cast<double>(aClaim.wanted.Get());
  if (account.available >= aClaim.minimum) {
    return this->MakeReservation(
      account, aClaim, std::min(account.available, aClaim.wanted));
  }
  if (!this->isOnline) {
    return Decision{ aClaim.ticket, Tokens(0), Refusal::Offline };
  }
  if (this->IsKnownExhausted(account, aClaim, aNow)) {
    return Decision{ aClaim.ticket, Tokens(0), Refusal::Exhausted };
  }
  account.queue.push_back({ aClaim, aNow + this->options.claimTimeout });
  return std::nullopt;
}

Decision
LocalBudget::MakeReservation(Account& aAccount,
                             const Claim& aClaim,
                             Tokens aTokens)
{
  aAccount.available -= aTokens;
  aAccount.reserved += aTokens;
  this->reservations[aClaim.ticket] = { aClaim.workspace, aTokens };
  return { aClaim.ticket, aTokens, std::nullopt };
}

void
LocalBudget::Settle(Ticket aTicket, Tokens aSpent, TimePoint aNow)
{
  auto found = this->reservations.find(aTicket);
  if (found == this->reservations.end()) {
    for (auto& [workspace, account] : this->accounts) {
      std::erase_if(account.queue, [&](const QueuedClaim& aQueued) {
        return aQueued.claim.ticket == aTicket;
      });
    }
    return;
  }
  Reservation reservation = found->second;
  this->reservations.erase(found);
  Account& account = this->accounts[reservation.workspace];
  Tokens spent = std::clamp(aSpent, Tokens(0), reservation.tokens);
  UpdateSpentPart(account, spent, reservation.tokens);
  account.reserved -= reservation.tokens;
  account.available += reservation.tokens - spent;
  account.unreported.spent += spent;
  account.unreported.requests += 1;
  this->UpdateRate(account, aNow);
}

void
LocalBudget::Lend(Ticket aTicket)
{
  auto found = this->reservations.find(aTicket);
  if (found == this->reservations.end()) {
    return;
  }
  Account& account = this->accounts[found->second.workspace];
  account.reserved -= found->second.tokens;
  account.lent += found->second.tokens;
  this->reservations.erase(found);
}

bool
LocalBudget::TakeBack(const WorkspaceUsage& aUsage)
{
  Account& account = this->accounts[aUsage.workspace];
  if (aUsage.spent < Tokens(0) || aUsage.returned < Tokens(0) ||
      aUsage.spent > account.lent ||
      aUsage.returned > account.lent - aUsage.spent) {
    return false;
  }
  UpdateSpentPart(account, aUsage.spent, aUsage.spent + aUsage.returned);
  account.lent -= aUsage.spent + aUsage.returned;
  account.available += aUsage.returned;
  account.unreported.spent += aUsage.spent;
  account.unreported.requests += aUsage.requests;
  return true;
}

void
LocalBudget::SetPurpose(const WorkspaceId& aWorkspace, Purpose aPurpose)
{
  this->accounts[aWorkspace].purpose = aPurpose;
}

const LocalBudget::Account*
LocalBudget::Find(const WorkspaceId& aWorkspace) const
{
  auto found = this->accounts.find(aWorkspace);
  return found == this->accounts.end() ? nullptr : &found->second;
}

bool
LocalBudget::HoldsMajority(const WorkspaceId& aWorkspace) const
{
  const Account* account = this->Find(aWorkspace);
  return account != nullptr && account->holdsTokenMajority;
}

std::vector<Decision>
LocalBudget::Poll(TimePoint aNow)
{
  std::vector<Decision> decisions;
  for (auto& [workspace, account] : this->accounts) {
    this->DecideQueued(account, aNow, decisions);
  }
  return decisions;
}

// Before its deadline, a claim is refused as exhausted only if it could not be
// covered even by the tokens that this router has reserved, which may not all
// be spent, and those that it is returning.
void
LocalBudget::DecideQueued(Account& aAccount,
                          TimePoint aNow,
                          std::vector<Decision>& aDecisions)
{
  while (!aAccount.queue.empty()) {
    const QueuedClaim& head = aAccount.queue.front();
    const Claim& claim = head.claim;
    if (aAccount.available >= claim.minimum) {
      aDecisions.push_back(this->MakeReservation(
        aAccount, claim, std::min(aAccount.available, claim.wanted)));
    } else if (aAccount.exhausted &&
               this->PotentialTokens(claim.workspace, aAccount) <
                 claim.minimum) {
      aDecisions.push_back({ claim.ticket, Tokens(0), Refusal::Exhausted });
    } else if (head.deadline <= aNow ||
               (this->options.isOnDemand && aAccount.isUnfilled)) {
      aDecisions.push_back(
        { claim.ticket, Tokens(0), this->RefusalAtDeadline(aAccount) });
    } else {
      this->ReserveForSmallerClaims(aAccount, aDecisions);
      return;
    }
    aAccount.queue.pop_front();
    // The next claim may need fewer tokens; then it needs a reply of its own.
    aAccount.exhausted =
      !aAccount.queue.empty() &&
      this->IsKnownExhausted(aAccount, aAccount.queue.front().claim, aNow);
    aAccount.isUnfilled = false;
  }
}

// Returns whether control has said a short time ago that it could not grant
// what the claim needs. A later reply may differ, as budgets are topped up.
bool
LocalBudget::IsKnownExhausted(const Account& aAccount,
                              const Claim& aClaim,
                              TimePoint aNow) const
{
  return aAccount.exhaustedMinimum && aNow < aAccount.claimRetry.due &&
         aClaim.minimum - aAccount.available >= *aAccount.exhaustedMinimum &&
         this->PotentialTokens(aClaim.workspace, aAccount) < aClaim.minimum;
}

Refusal
LocalBudget::RefusalAtDeadline(const Account& aAccount) const
{
  if (aAccount.exhausted) {
    return Refusal::Exhausted;
  }
  if (!this->isOnline || aAccount.isLenderOffline) {
    return Refusal::Offline;
  }
  return aAccount.pendingGrant ? Refusal::NoReply : Refusal::NoFreeTokens;
}

// Reserves tokens for claims that the available tokens cover, even if earlier
// claims are too large. An earlier claim never waits beyond its deadline, and
// in the model of docs/budgets.md fewer claims are refused in total.
void
LocalBudget::ReserveForSmallerClaims(Account& aAccount,
                                     std::vector<Decision>& aDecisions)
{
  std::erase_if(aAccount.queue, [&](const QueuedClaim& aQueued) {
    const Claim& claim = aQueued.claim;
    if (aAccount.available < claim.minimum) {
      return false;
    }
    aDecisions.push_back(this->MakeReservation(
      aAccount, claim, std::min(aAccount.available, claim.wanted)));
    return true;
  });
}

std::vector<GrantRequest>
LocalBudget::TakeGrantRequests(TimePoint aNow)
{
  std::vector<GrantRequest> grantRequests;
  for (auto& [workspace, account] : this->accounts) {
    Tokens lowWatermark = this->LowWatermark(account);
    bool isPrefetch = account.queue.empty() && account.available < lowWatermark;
    const auto& retry = isPrefetch ? account.prefetchRetry : account.claimRetry;
    if (account.pendingGrant || aNow < retry.due ||
        (account.queue.empty() && !isPrefetch)) {
      continue;
    }
    Tokens queuedDemand;
    for (const auto& queued : account.queue) {
      queuedDemand += queued.claim.wanted;
    }
    Tokens minimum =
      isPrefetch ? Tokens(1)
                 : account.queue.front().claim.minimum - account.available;
    Tokens expectedDemand =
      this->isClosing
        ? Tokens(0)
        : this->ExpectedDemand(account, this->options.grantHorizon);
    GrantRequest grantRequest;
    grantRequest.request = this->nextRequest++;
    grantRequest.workspace = workspace;
    grantRequest.isPrefetch = isPrefetch;
    grantRequest.isMainUser = IsMainUser(account);
    grantRequest.minimum = std::max(minimum, Tokens(1));
    Tokens target = std::max(expectedDemand, lowWatermark);
    grantRequest.wanted =
      std::max(queuedDemand + target - account.available, grantRequest.minimum);
    account.pendingGrant = grantRequest;
    grantRequests.push_back(grantRequest);
  }
  return grantRequests;
}

// Returns the number of available tokens below which a grant is requested in
// advance: the demand expected within the configured time, and at least the
// tokens of one request like the last one.
Tokens
LocalBudget::LowWatermark(const Account& aAccount) const
{
  if (!this->KeepsTokens(aAccount) ||
      this->options.prefetchThreshold == Duration(0) || this->isClosing ||
      aAccount.tokensPerSecond < kMinPrefetchTokensPerSecond) {
    return Tokens(0);
  }
  return std::max(
    this->ExpectedDemand(aAccount, this->options.prefetchThreshold),
    aAccount.lastWanted);
}

// Returns whether tokens are held for claims to come.
bool
LocalBudget::KeepsTokens(const Account& aAccount) const
{
  return !this->options.isOnDemand && aAccount.purpose != Purpose::None;
}

// A router that is cut off from control must serve its callers from what it
// holds if they use no other router.
bool
LocalBudget::IsMainUser(const Account& aAccount)
{
  return aAccount.holdsTokenMajority || aAccount.purpose == Purpose::MainUser;
}

void
LocalBudget::ForgetMajority(const WorkspaceId& aWorkspace)
{
  this->accounts[aWorkspace].holdsTokenMajority = false;
}

void
LocalBudget::RemoveDemand(const WorkspaceId& aWorkspace, double aPart)
{
  Account& account = this->accounts[aWorkspace];
  account.tokensPerSecond *= 1 - aPart;
  account.windowTokens *= 1 - aPart;
}

void
LocalBudget::UpdateSpentPart(Account& aAccount, Tokens aSpent, Tokens aReserved)
{
  if (aReserved <= Tokens(0)) {
    return;
  }
  auto reserved = static_cast<double>(aReserved.Get());
  double part = static_cast<double>(aSpent.Get()) / reserved;
  double weight = reserved / (reserved + kSpentPartTokens);
  aAccount.spentPart += weight * (part - aAccount.spentPart);
}

// Returns the demand expected within aTime. For a time without control, which
// is longer than most requests take, it is what requests spend: what they
// reserve beyond that becomes available again.
Tokens
LocalBudget::ExpectedDemand(const Account& aAccount, Duration aTime) const
{
  if (!this->KeepsTokens(aAccount)) {
    return Tokens(0);
  }
  double factor = 1;
  if (IsMainUser(aAccount)) {
    factor = this->options.majorityDemandFactor;
  } else if (aAccount.purpose == Purpose::Zone) {
    factor = this->options.zoneDemandFactor;
  }
  factor = std::max(1.0, factor * aAccount.spentPart);
  double limit =
    ToSeconds(this->horizonLimit) / ToSeconds(this->options.grantHorizon);
  return this->options.sizeGrant(
    aAccount.tokensPerSecond * std::min(factor, limit), aTime);
}

std::vector<GrantRequest>
LocalBudget::UnansweredGrantRequests() const
{
  std::vector<GrantRequest> grantRequests;
  for (const auto& [workspace, account] : this->accounts) {
    if (account.pendingGrant) {
      grantRequests.push_back(*account.pendingGrant);
    }
  }
  return grantRequests;
}

void
LocalBudget::AddGrant(const GrantReply& aReply, TimePoint aNow)
{
  Account& account = this->accounts[aReply.workspace];
  // A reply that arrives again on a new connection was counted before.
  if (!account.pendingGrant ||
      account.pendingGrant->request != aReply.request) {
    return;
  }
  GrantRequest request = *account.pendingGrant;
  account.pendingGrant.reset();
  account.available += aReply.tokens;
  account.holdsTokenMajority = aReply.holdsTokenMajority;
  account.isUnfilled = aReply.tokens == Tokens(0) && !account.queue.empty();
  account.isLenderOffline = aReply.isLenderOffline;
  // The reply to a request made in advance says nothing about claims that
  // arrive later: the budget may have been topped up by then.
  account.exhausted =
    aReply.tokens == Tokens(0) && aReply.exhausted && !account.queue.empty();
  bool isGranted = aReply.tokens > Tokens(0);
  if (request.isPrefetch) {
    this->UpdateRetry(
      account.prefetchRetry, this->options.maxRetryDelay, isGranted, aNow);
    return;
  }
  account.exhaustedMinimum.reset();
  if (aReply.exhausted && !isGranted) {
    account.exhaustedMinimum = request.minimum;
  }
  this->UpdateRetry(
    account.claimRetry,
    std::min(this->options.maxRetryDelay, this->options.claimTimeout / 2),
    isGranted,
    aNow);
}

void
LocalBudget::UpdateRetry(RetryTime& aRetry,
                         Duration aMaxDelay,
                         bool aIsGranted,
                         TimePoint aNow) const
{
  if (aIsGranted) {
    aRetry = {};
    return;
  }
  aRetry.delay =
    std::min(std::max(aRetry.delay * 2, this->options.retryDelay), aMaxDelay);
  aRetry.due = aNow + aRetry.delay;
}

// A router with waiting claims also returns tokens that do not cover them. If
// several routers each kept an amount that is too small, none could serve a
// request, while control can combine the amounts for one of them.
void
LocalBudget::Recall(const WorkspaceId& aWorkspace, Tokens aTokens)
{
  auto found = this->accounts.find(aWorkspace);
  if (found == this->accounts.end()) {
    return;
  }
  Return(found->second, std::min(aTokens, found->second.available));
}

void
LocalBudget::Return(Account& aAccount, Tokens aTokens)
{
  aAccount.available -= aTokens;
  aAccount.unreported.returned += aTokens;
}

// Returns the tokens that may still become available to this router without
// other routers returning any.
Tokens
LocalBudget::PotentialTokens(const WorkspaceId& aWorkspace,
                             const Account& aAccount) const
{
  Tokens sum = aAccount.available + aAccount.reserved + aAccount.lent;
  if (this->unacknowledgedBatch) {
    for (const auto& usage : this->unacknowledgedBatch->entries) {
      sum += usage.workspace == aWorkspace ? usage.returned : Tokens(0);
    }
  }
  return sum;
}

void
LocalBudget::ReturnSurplus(Account& aAccount, TimePoint aNow) const
{
  if (!aAccount.queue.empty() || aAccount.available == Tokens(0)) {
    return;
  }
  if (!this->KeepsTokens(aAccount) ||
      aNow - aAccount.lastClaimAt >= this->options.idleReturnDelay) {
    Return(aAccount, aAccount.available);
    return;
  }
  Tokens keep = this->ExpectedDemand(aAccount, this->options.grantHorizon);
  keep = std::max(keep, this->LowWatermark(aAccount));
  Tokens maxKept(static_cast<std::int64_t>(static_cast<double>(keep.Get()) *
                                           this->options.surplusFactor) +
                 1);
  if (aAccount.tokensPerSecond > 0 && aAccount.available > maxKept) {
    Return(aAccount, aAccount.available - maxKept);
  }
}

std::optional<UsageBatch>
LocalBudget::TakeBatch(TimePoint aNow)
{
  if (this->unacknowledgedBatch) {
    return std::nullopt;
  }
  UsageBatch batch;
  for (auto& [workspace, account] : this->accounts) {
    this->UpdateRate(account, aNow);
    this->ReturnSurplus(account, aNow);
    WorkspaceUsage& usage = account.unreported;
    if (usage.spent == Tokens(0) && usage.returned == Tokens(0) &&
        usage.requests == 0) {
      continue;
    }
    usage.workspace = workspace;
    batch.entries.push_back(usage);
    usage = {};
  }
  if (batch.entries.empty()) {
    return std::nullopt;
  }
  batch.number = BatchNumber(this->nextBatch++);
  this->unacknowledgedBatch = batch;
  return batch;
}

void
LocalBudget::Acknowledge(BatchNumber aNumber)
{
  if (this->unacknowledgedBatch &&
      this->unacknowledgedBatch->number == aNumber) {
    this->unacknowledgedBatch.reset();
  }
}

void
LocalBudget::ReturnAll()
{
  this->isClosing = true;
  for (auto& [workspace, account] : this->accounts) {
    Return(account, account.available);
  }
}

void
LocalBudget::SetHorizon(Duration aTime)
{
  this->horizonLimit = std::min(this->horizonLimit, aTime);
}

bool
LocalBudget::IsEmpty() const
{
  if (this->unacknowledgedBatch || !this->reservations.empty()) {
    return false;
  }
  return std::all_of(
    this->accounts.begin(), this->accounts.end(), [](const auto& aEntry) {
      const Account& account = aEntry.second;
      return account.available == Tokens(0) && account.lent == Tokens(0) &&
             !account.pendingGrant && account.unreported.requests == 0 &&
             account.unreported.spent == Tokens(0) &&
             account.unreported.returned == Tokens(0);
    });
}

std::map<WorkspaceId, Holding>
LocalBudget::Holdings() const
{
  std::map<WorkspaceId, Holding> holdings;
  for (const auto& [workspace, account] : this->accounts) {
    holdings[workspace] = { account.available,
                            account.reserved,
                            account.lent,
                            account.unreported.spent +
                              account.unreported.returned };
  }
  return holdings;
}

void
LocalBudget::UpdateRate(Account& aAccount, TimePoint aNow) const
{
  Duration elapsed = aNow - aAccount.rateWindowStart;
  if (elapsed < kRateWindow) {
    return;
  }
  double rate = aAccount.windowTokens / ToSeconds(elapsed);
  // The first windows have equal weights, so that the average adapts quickly.
  double weight =
    std::max(this->options.rateWeight, 1.0 / ++aAccount.rateWindowCount);
  aAccount.tokensPerSecond =
    weight * rate + (1 - weight) * aAccount.tokensPerSecond;
  aAccount.windowTokens = 0;
  aAccount.rateWindowStart = aNow;
}

} // namespace lycheestand::budget
