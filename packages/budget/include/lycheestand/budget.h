#ifndef LYCHEESTAND_BUDGET_H
#define LYCHEESTAND_BUDGET_H

// A router's part in prepaid token budgets. Control grants tokens of a
// workspace's budget to routers; a router reserves tokens for each request from
// its grants and reports usage. Nothing here does I/O or reads a clock: callers
// pass the current time and exchange the messages with control.

#include <cstdint>
#include <deque>
#include <lycheestand/core.h>
#include <map>
#include <optional>
#include <vector>

namespace lycheestand::budget {

// Returns an upper bound on a prompt's tokens, before an engine has counted
// them. aTextBytes is the total size of its messages.
Tokens
MaxPromptTokens(std::size_t aTextBytes, std::size_t aMessages);

// How a caller closed its connection before its answer was complete.
struct CallerExit
{
  // Time since the request was read.
  Duration after{};
  // Time that was left until the caller's deadline.
  Duration timeLeft{};
  // Shortest time for which the caller waits for the next event.
  Duration patience{};
};

// Returns the tokens that a workspace is charged for an answer to this prompt,
// of which the caller got this output. A caller that has given up is charged
// for the output only. It has given up if it closed its connection before it
// can have lost patience with a late answer; aExit is empty if it did not close
// its connection.
Tokens
ChargedTokens(Tokens aPrompt,
              Tokens aOutput,
              const std::optional<CallerExit>& aExit);

// Identifies a claim, which a request makes on a budget; unique within the
// process.
using Ticket = StrongType<struct TicketTag, std::uint64_t>;

// Tokens that must be reserved before a request may be forwarded.
struct Claim
{
  Ticket ticket;
  WorkspaceId workspace;
  // Smallest useful reservation, and the most that the request can use.
  Tokens minimum;
  Tokens wanted;
};

// Why a claim was refused.
enum class Refusal
{
  // The remaining budget does not cover the claim.
  Exhausted,
  // The budget may have tokens left, but control can't be reached,
  Offline,
  // has not replied in time,
  NoReply,
  // or had none to grant in time: other routers hold them.
  NoFreeTokens
};

// Result of a claim.
struct Decision
{
  Ticket ticket;
  // Tokens reserved; zero if refused.
  Tokens tokens;
  std::optional<Refusal> refusal;
};

// A request for a grant, to be sent to control.
struct GrantRequest
{
  // Identifies the request; unique for this router's session.
  std::uint64_t request = 0;
  WorkspaceId workspace;
  Tokens minimum;
  Tokens wanted;
  // No claim waits for the grant: it covers expected demand, so control need
  // not recall tokens from other routers for it.
  bool isPrefetch = false;
};

// Control's reply to a GrantRequest.
struct GrantReply
{
  std::uint64_t request = 0;
  WorkspaceId workspace;
  Tokens tokens;
  // The minimum could not be granted even if other routers returned their
  // unused tokens.
  bool exhausted = false;
  // This router holds at least twice as many of the granted tokens as all other
  // routers with an open session together.
  bool holdsTokenMajority = false;
};

// One workspace's usage in a batch.
struct WorkspaceUsage
{
  WorkspaceId workspace;
  Tokens spent;
  // Unused tokens given back to control.
  Tokens returned;
  // Number of settled requests.
  std::uint32_t requests = 0;
};

// A usage report, sent to control again until control acknowledges its number.
struct UsageBatch
{
  BatchNumber number;
  std::vector<WorkspaceUsage> entries;
};

// Settings of a LocalBudget.
struct LocalBudgetOptions
{
  // Longest time that a claim waits for a grant.
  Duration claimTimeout = std::chrono::seconds(2);
  // Delay before the next grant request after one that was granted nothing. It
  // doubles with each further one, up to maxRetryDelay: the routers of a budget
  // that is nearly used up would otherwise keep control busy.
  Duration retryDelay = std::chrono::milliseconds(100);
  Duration maxRetryDelay = std::chrono::milliseconds(100);
  // Time whose expected demand a grant should cover.
  Duration grantHorizon = std::chrono::seconds(2);
  // A grant is requested in advance when the available tokens cover less than
  // this time of expected demand. Zero to request grants only for waiting
  // claims.
  Duration prefetchThreshold{};
  // Multiplies the expected demand for a budget of which this router holds the
  // majority: its callers use no other router, even while this one cannot reach
  // control.
  double majorityDemandFactor = 1;
  // Most tokens that a router with demand keeps, as a multiple of the tokens
  // that it would request, so that it does not return tokens only to request
  // them again within a second.
  double surplusFactor = 2;
  // Weight of the newest window in the moving average of the demand.
  double rateWeight = 0.5;
  // Time without a claim after which all unused tokens are returned.
  Duration idleReturnDelay = std::chrono::seconds(3);
  // Returns the size of a grant for a demand and a time. By default, the
  // product of the two.
  std::function<Tokens(double aTokensPerSecond, Duration aHorizon)> sizeGrant;
};

// Tokens of one workspace at this router, for diagnostics and tests.
struct Holding
{
  Tokens available;
  Tokens reserved;
  // Spent or returned, but not yet in a usage batch.
  Tokens unreported;
};

// A router's local part of the prepaid budgets. Reserves granted tokens before
// a request is forwarded, and reports the tokens that the request has spent.
// Each granted token is in exactly one place: available, reserved, or counted
// as spent or returned in the unacknowledged batch or the next one.
class LocalBudget
{
public:
  explicit LocalBudget(LocalBudgetOptions aOptions);

  // Decides the claim at once, or queues it and returns nothing; Poll then
  // returns the decision.
  std::optional<Decision> Reserve(const Claim& aClaim, TimePoint aNow);

  // Sets whether control is reachable. If not, a claim that the available
  // tokens do not cover is refused at once.
  void SetOnline(bool aIsOnline) { this->isOnline = aIsOnline; }

  // Ends a reservation with the tokens spent, or withdraws a queued claim.
  // Spent tokens beyond the reservation are not counted, as no grant covers
  // them.
  void Settle(Ticket aTicket, Tokens aSpent, TimePoint aNow);

  // Returns decisions on queued claims, due to grants or timeouts.
  std::vector<Decision> Poll(TimePoint aNow);

  // Returns the grant requests to send now. A workspace has at most one
  // unanswered request.
  std::vector<GrantRequest> TakeGrantRequests(TimePoint aNow);

  // Returns all unanswered grant requests, to be sent again on a new
  // connection.
  std::vector<GrantRequest> UnansweredGrantRequests() const;

  // Applies control's reply. Replies to requests that have been answered are
  // ignored.
  void AddGrant(const GrantReply& aReply, TimePoint aNow);

  // Returns up to aTokens available tokens to control with the next usage
  // batch.
  void Recall(const WorkspaceId& aWorkspace, Tokens aTokens);

  // Returns a new batch to send. Returns nothing if there is nothing to report,
  // or while a batch is unacknowledged.
  std::optional<UsageBatch> TakeBatch(TimePoint aNow);

  // Returns the unacknowledged batch, to be sent again on a new connection.
  const std::optional<UsageBatch>& UnacknowledgedBatch() const
  {
    return this->unacknowledgedBatch;
  }

  // Control has recorded the batch with this number.
  void Acknowledge(BatchNumber aNumber);

  // Returns all available tokens with the next batch, and stops requesting
  // grants in advance. Call it again for tokens that become available later.
  void ReturnAll();

  // Limits grants and kept tokens to the demand expected within aTime, after
  // which no more claims will arrive.
  void SetHorizon(Duration aTime);

  // Returns whether no tokens are available or reserved, all usage is
  // acknowledged and no grant request is unanswered.
  bool IsEmpty() const;

  std::map<WorkspaceId, Holding> Holdings() const;

private:
  struct QueuedClaim
  {
    Claim claim;
    TimePoint deadline;
  };

  // When a request that was granted nothing may be repeated.
  struct RetryTime
  {
    TimePoint due{};
    // Delay of the last one; zero after a grant.
    Duration delay{};
  };

  struct Account
  {
    Tokens available;
    Tokens reserved;
    WorkspaceUsage unreported;
    std::deque<QueuedClaim> queue;
    std::optional<GrantRequest> pendingGrant;
    // When grants may be requested again for waiting claims, and in advance.
    RetryTime claimRetry;
    RetryTime prefetchRetry;
    TimePoint lastClaimAt{};
    // Whether the last reply refused a grant as exhausted while claims were
    // queued. Reset with each claim that is decided at the head of the queue.
    bool exhausted = false;
    // GrantReply::holdsTokenMajority of the last reply.
    bool holdsTokenMajority = false;
    // Moving average of the demand.
    double tokensPerSecond = 0;
    // Tokens wanted by the claims of the current window.
    double windowTokens = 0;
    TimePoint rateWindowStart{};
    unsigned rateWindowCount = 0;
    // Tokens wanted by the last claim.
    Tokens lastWanted;
  };

  struct Reservation
  {
    WorkspaceId workspace;
    Tokens tokens;
  };

  Decision MakeReservation(Account& aAccount,
                           const Claim& aClaim,
                           Tokens aTokens);
  void DecideQueued(Account& aAccount,
                    TimePoint aNow,
                    std::vector<Decision>& aDecisions);
  void UpdateRetry(RetryTime& aRetry, bool aIsGranted, TimePoint aNow) const;
  Refusal RefusalAtDeadline(const Account& aAccount) const;
  void ReserveForSmallerClaims(Account& aAccount,
                               std::vector<Decision>& aDecisions);
  void UpdateRate(Account& aAccount, TimePoint aNow) const;
  void ReturnSurplus(Account& aAccount, TimePoint aNow) const;
  static void Return(Account& aAccount, Tokens aTokens);
  Tokens LowWatermark(const Account& aAccount) const;
  Tokens ExpectedDemand(const Account& aAccount, Duration aTime) const;
  Tokens PotentialTokens(const WorkspaceId& aWorkspace,
                         const Account& aAccount) const;

  LocalBudgetOptions options;
  std::map<WorkspaceId, Account> accounts;
  std::map<Ticket, Reservation> reservations;
  bool isOnline = true;
  bool isClosing = false;
  std::optional<UsageBatch> unacknowledgedBatch;
  std::uint64_t nextRequest = 1;
  std::uint64_t nextBatch = 1;
};

} // namespace lycheestand::budget

#endif
