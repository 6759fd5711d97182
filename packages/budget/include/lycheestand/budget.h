#ifndef LYCHEESTAND_BUDGET_H
#define LYCHEESTAND_BUDGET_H

// A router's part in prepaid token budgets. Control grants tokens of a
// workspace's budget to routers; a router reserves tokens for each request from
// its grants and reports usage. In each availability zone some routers are
// allocators: they hold tokens for the zone and lend them to its other routers.
// Nothing here does I/O or reads a clock: callers pass the current time and
// exchange the messages with control and with other routers.

#include <cstdint>
#include <deque>
#include <functional>
#include <lycheestand/core.h>
#include <map>
#include <optional>
#include <set>
#include <variant>
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
  // If refused: the time after which tokens may be available. By the default,
  // callers have fetched the entry addresses again and use other routers.
  Duration retryAfter = std::chrono::seconds(1);
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
  // This router serves nearly all claims on the budget, or those of its zone.
  bool isMainUser = false;
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
  // routers with an open session together; from an allocator, that nearly all
  // loans go to this router.
  bool holdsTokenMajority = false;
  // The reply is from an allocator that has no contact with control, so other
  // routers may have tokens.
  bool isLenderOffline = false;
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
  // that is nearly used up would otherwise keep control busy. For waiting
  // claims it is at most half of claimTimeout, so that control is asked about
  // each.
  Duration retryDelay = std::chrono::milliseconds(100);
  Duration maxRetryDelay = std::chrono::milliseconds(100);
  // Time whose expected demand a grant should cover.
  Duration grantHorizon = std::chrono::seconds(2);
  // A grant is requested in advance when the available tokens cover less than
  // this time of expected demand. Zero to request grants only for waiting
  // claims.
  Duration prefetchThreshold{};
  // Multiplies the expected demand for a budget of which this router holds the
  // majority or is its zone's main user: its callers use no other router, even
  // while this one cannot reach control.
  double majorityDemandFactor = 1;
  // Most tokens that a router with demand keeps, as a multiple of the tokens
  // that it would request, so that it does not return tokens only to request
  // them again within a second.
  double surplusFactor = 2;
  // Weight of the newest window in the moving average of the demand.
  double rateWeight = 0.5;
  // Multiplies the expected demand for a budget of which this router holds
  // tokens for its zone.
  double zoneDemandFactor = 1;
  // Time without a claim after which all unused tokens are returned.
  Duration idleReturnDelay = std::chrono::seconds(3);
  // Requests only the tokens of waiting claims, keeps none for later ones, and
  // refuses a claim at once when its request is granted nothing.
  bool isOnDemand = false;
  // Returns the size of a grant for a demand and a time. By default, the
  // product of the two.
  std::function<Tokens(double aTokensPerSecond, Duration aHorizon)> sizeGrant;
};

// Tokens of one workspace at this router, for diagnostics and tests.
struct Holding
{
  Tokens available;
  Tokens reserved;
  // Lent to other routers, which have not reported them yet.
  Tokens lent;
  // Spent or returned, but not yet in a usage batch.
  Tokens unreported;
};

// For whom a router holds tokens of a workspace.
enum class Purpose
{
  // For its own callers.
  Callers,
  // For its own callers, which are nearly all of its zone.
  MainUser,
  // For all routers of its zone.
  Zone,
  // For claims that its allocator does not cover: none are kept.
  None
};

// A router's local part of the prepaid budgets. Reserves granted tokens before
// a request is forwarded, and reports the tokens that the request has spent.
// Each granted token is in exactly one place: available, reserved, lent, or
// counted as spent or returned in the unacknowledged batch or the next one.
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

  // Moves the tokens of a reservation to those that are lent.
  void Lend(Ticket aTicket);

  // Counts lent tokens as spent, and makes returned ones available. Returns
  // false, and changes nothing, if fewer are lent.
  bool TakeBack(const WorkspaceUsage& aUsage);

  // Sets for whom this router holds tokens of the workspace.
  void SetPurpose(const WorkspaceId& aWorkspace, Purpose aPurpose);

  // Returns whether the last reply said that this router holds the majority.
  bool HoldsMajority(const WorkspaceId& aWorkspace) const;
  void ForgetMajority(const WorkspaceId& aWorkspace);

  // This part of the demand so far will not come here any more.
  void RemoveDemand(const WorkspaceId& aWorkspace, double aPart);

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

  // Returns whether no tokens are available, reserved or lent, all usage is
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
    Tokens lent;
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
    // Tokens beyond the available ones that could not be granted, by the last
    // reply that refused a grant as exhausted. Known until claimRetry is due.
    std::optional<Tokens> exhaustedMinimum;
    // Whether the last reply had no tokens for the claim at the head.
    bool isUnfilled = false;
    // GrantReply::isLenderOffline of the last reply.
    bool isLenderOffline = false;
    // GrantReply::holdsTokenMajority of the last reply.
    bool holdsTokenMajority = false;
    Purpose purpose = Purpose::Callers;
    // Moving average of the demand.
    double tokensPerSecond = 0;
    // Part of their reservations that requests spend, a moving average.
    double spentPart = 1;
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
  void UpdateRetry(RetryTime& aRetry,
                   Duration aMaxDelay,
                   bool aIsGranted,
                   TimePoint aNow) const;
  bool IsKnownExhausted(const Account& aAccount,
                        const Claim& aClaim,
                        TimePoint aNow) const;
  Refusal RefusalAtDeadline(const Account& aAccount) const;
  void ReserveForSmallerClaims(Account& aAccount,
                               std::vector<Decision>& aDecisions);
  void UpdateRate(Account& aAccount, TimePoint aNow) const;
  static void UpdateSpentPart(Account& aAccount,
                              Tokens aSpent,
                              Tokens aReserved);
  static bool IsMainUser(const Account& aAccount);
  void ReturnSurplus(Account& aAccount, TimePoint aNow) const;
  const Account* Find(const WorkspaceId& aWorkspace) const;
  static void Return(Account& aAccount, Tokens aTokens);
  bool KeepsTokens(const Account& aAccount) const;
  Tokens LowWatermark(const Account& aAccount) const;
  Tokens ExpectedDemand(const Account& aAccount, Duration aTime) const;
  Tokens PotentialTokens(const WorkspaceId& aWorkspace,
                         const Account& aAccount) const;

  LocalBudgetOptions options;
  // Longest time of expected demand that is requested or kept.
  Duration horizonLimit = Duration::max();
  std::map<WorkspaceId, Account> accounts;
  std::map<Ticket, Reservation> reservations;
  bool isOnline = true;
  bool isClosing = false;
  std::optional<UsageBatch> unacknowledgedBatch;
  std::uint64_t nextRequest = 1;
  std::uint64_t nextBatch = 1;
};

// A reply to the grant request of another router.
struct LoanReply
{
  SessionId borrower;
  GrantReply reply;
};

// Lends tokens of a LocalBudget to other routers, which speak to it as they do
// to control. What a router that has ended did not report stays lent: it may
// have been spent.
class Lender
{
public:
  // aNextTicket returns tickets that are unique in the process.
  Lender(LocalBudget& aBudget, std::function<Ticket()> aNextTicket);

  // Decides a request of another router's session, or queues it and returns
  // nothing; Decide then returns the reply. Repeated requests get their first
  // reply again. A reply says that the session holds the majority if nearly all
  // recent loans of the workspace's tokens went to it; its demand is expected
  // at control from then on.
  std::optional<LoanReply> Request(SessionId aBorrower,
                                   const GrantRequest& aRequest,
                                   TimePoint aNow);

  // Returns the reply that a decision of the budget is about; nothing if the
  // decision is on another claim.
  std::optional<LoanReply> Decide(const Decision& aDecision);

  // Counts a batch unless it was counted before. Returns whether to acknowledge
  // it: false if it reports more tokens than the session was lent.
  bool Report(SessionId aBorrower, const UsageBatch& aBatch);

  // Refuses all further requests.
  void Close() { this->isClosed = true; }

  // Returns whether requests are queued.
  bool IsWaiting() const { return !this->queued.empty(); }

private:
  struct Loan
  {
    Tokens outstanding;
    // Moving sums of the tokens lent and of the loans.
    double recentTokens = 0;
    double recentLoans = 0;
    std::uint64_t lastRequest = 0;
    // Empty while the last request is queued.
    std::optional<GrantReply> lastReply;
  };

  struct Session
  {
    std::map<WorkspaceId, Loan> loans;
    BatchNumber lastBatch;
  };

  struct QueuedRequest
  {
    SessionId borrower;
    std::uint64_t request = 0;
    WorkspaceId workspace;
  };

  LoanReply Finish(const QueuedRequest& aQueued, const Decision& aDecision);
  // Counts a loan and returns the borrower's part of the recent loans.
  double CountLoan(const QueuedRequest& aQueued, Tokens aLent);
  static bool IsCovered(const Session& aSession, const UsageBatch& aBatch);

  LocalBudget& budget;
  std::function<Ticket()> nextTicket;
  bool isClosed = false;
  std::map<SessionId, Session> sessions;
  std::map<Ticket, QueuedRequest> queued;
};

// Where a router gets tokens from: an allocator, or control if the id is empty.
struct TokenSource
{
  InstanceId allocator;

  bool IsControl() const { return this->allocator.Get().empty(); }

  friend auto operator<=>(const TokenSource&, const TokenSource&) = default;
};

// The allocators from which a router may borrow tokens of a workspace, the
// preferred one first; without any, control is asked.
struct LendingPlan
{
  std::vector<InstanceId> allocators;
  // This router is the allocator of its zone.
  bool isOwnAllocator = false;
  // Control is asked before the allocators.
  bool prefersControl = false;
};

// The allocators of a fleet, as one router sees them.
struct Lending
{
  // Returns the allocators for a workspace; empty if there are none.
  std::function<LendingPlan(const WorkspaceId&)> plan;
  // Those of the router's own zone, and all others.
  std::vector<InstanceId> own;
  std::vector<InstanceId> others;
};

// A message to the source of tokens.
struct SourceMessage
{
  TokenSource to;
  std::variant<GrantRequest, UsageBatch> body;
};

// Settings of a RouterBudget.
struct RouterBudgetOptions
{
  // For the tokens that control grants.
  LocalBudgetOptions granted;
  // For those that allocators lend.
  LocalBudgetOptions borrowed;
  std::function<Ticket()> nextTicket;
};

// Returns the settings of routers that serve by a route table, and of others,
// without nextTicket.
RouterBudgetOptions
MakeRoutedOptions();
RouterBudgetOptions
MakeUnroutedOptions();

// All budgets of a router: the tokens that control grants to it and those that
// allocators lend to it, and its loans to other routers.
class RouterBudget
{
public:
  explicit RouterBudget(RouterBudgetOptions aOptions);
  RouterBudget(const RouterBudget&) = delete;
  RouterBudget& operator=(const RouterBudget&) = delete;

  // Sets the allocators, after the fleet has changed.
  void SetLending(Lending aLending);

  // As for LocalBudget. A claim that one source can't cover goes to the next.
  std::optional<Decision> Reserve(const Claim& aClaim, TimePoint aNow);
  void Settle(Ticket aTicket, Tokens aSpent, TimePoint aNow);
  std::vector<Decision> Poll(TimePoint aNow);

  // Sets whether control is reachable.
  void SetOnline(bool aIsOnline, TimePoint aNow);

  // A link to an allocator's process is up or down. What was borrowed from an
  // earlier process of the allocator is forgotten.
  void ConnectAllocator(const InstanceId& aAllocator, SessionId aSession);
  void DisconnectAllocator(const InstanceId& aAllocator);

  // Returns the allocators to which links are needed: those of the own zone,
  // all others while control is not reachable, and those whose tokens are here.
  std::set<InstanceId> NeededAllocators() const;

  // Returns the allocators that have not replied to a claim since the last call
  // and count as disconnected.
  std::vector<InstanceId> TakeSilentAllocators();

  // Returns whether claims, or requests of other routers, wait for a decision.
  bool IsWaiting() const
  {
    return !this->pending.empty() || this->lender.IsWaiting();
  }

  // Returns grant requests to send now.
  std::vector<SourceMessage> TakeRequests(TimePoint aNow);

  // Returns usage batches to send now.
  std::vector<SourceMessage> TakeReports(TimePoint aNow);

  // Returns all messages to a source that it has not answered, to be sent again
  // on a new link.
  std::vector<SourceMessage> UnansweredMessages(
    const TokenSource& aSource) const;

  // Apply replies of a source. aSession is that of an allocator's process.
  void AddGrant(const TokenSource& aSource,
                const GrantReply& aReply,
                TimePoint aNow);
  void Acknowledge(const TokenSource& aSource, BatchNumber aNumber);

  // As for LocalBudget, for the tokens that control has granted.
  void Recall(const WorkspaceId& aWorkspace, Tokens aTokens);

  // Handle messages of other routers, as for Lender. Replies to queued requests
  // are returned by TakeLoanReplies after Poll.
  std::optional<LoanReply> Request(SessionId aBorrower,
                                   const GrantRequest& aRequest,
                                   TimePoint aNow);
  bool Report(SessionId aBorrower, const UsageBatch& aBatch);
  std::vector<LoanReply> TakeLoanReplies();

  // As for LocalBudget.
  void ReturnAll();
  void SetHorizon(Duration aTime) { this->granted.SetHorizon(aTime); }
  bool IsEmpty() const;

  // Returns what control has granted, and the sum of what is borrowed.
  std::map<WorkspaceId, Holding> Holdings() const
  {
    return this->granted.Holdings();
  }
  std::map<WorkspaceId, Holding> BorrowedHoldings() const;

  // Returns the unacknowledged batch for control.
  const std::optional<UsageBatch>& UnacknowledgedBatch() const
  {
    return this->granted.UnacknowledgedBatch();
  }

private:
  struct Borrowing
  {
    SessionId session;
    LocalBudget budget;
    bool isConnected = true;
  };

  // A claim that is decided by one source after the other.
  struct PendingClaim
  {
    Claim claim;
    // Sources that are tried if the current one refuses.
    std::deque<TokenSource> next;
  };

  bool IsMainUser(const WorkspaceId& aWorkspace,
                  const LendingPlan& aPlan,
                  TimePoint aNow);
  std::deque<TokenSource> SourcesFor(const WorkspaceId& aWorkspace,
                                     TimePoint aNow);
  std::optional<Decision> TryNext(PendingClaim& aPending,
                                  Refusal aRefusal,
                                  TimePoint aNow);
  std::optional<Decision> Continue(const Decision& aDecision, TimePoint aNow);
  Duration RetryAfterOffline(TimePoint aNow) const;
  LocalBudget* Find(const TokenSource& aSource);
  bool IsConnected(const TokenSource& aSource) const;
  void Forget(const InstanceId& aAllocator);
  template<class Function>
  void ForEachBudget(Function aFunction);

  RouterBudgetOptions options;
  Lending lending;
  LocalBudget granted;
  Lender lender;
  std::map<InstanceId, Borrowing> borrowings;
  std::map<Ticket, PendingClaim> pending;
  // Source of each reservation.
  std::map<Ticket, TokenSource> reserved;
  // When the last claim was made on each budget of which this router is the
  // main user in its zone.
  std::map<WorkspaceId, TimePoint> mainUses;
  std::vector<LoanReply> loanReplies;
  std::vector<InstanceId> silent;
  // Claims that waited for a process of an allocator that has ended.
  std::vector<Decision> dropped;
  bool isOnline = true;
  // When contact with control was lost, and when an allocator last replied that
  // it has none either.
  TimePoint offlineSince{};
  std::optional<TimePoint> lenderOfflineAt;
};

} // namespace lycheestand::budget

#endif
