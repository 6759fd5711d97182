#ifndef LYCHEESTAND_BUDGET_H
#define LYCHEESTAND_BUDGET_H

// The router's side of prepaid budgets: what it holds, reserves and reports.
// Pure: time is a value.

#include <cstdint>
#include <deque>
#include <lycheestand/core.h>
#include <map>
#include <optional>
#include <vector>

namespace lycheestand::budget {

// Returns an upper bound of a prompt's tokens before an engine counts them.
Tokens
BoundPrompt(std::size_t aTextBytes, std::size_t aMessages);

// One request's claim on a budget; unique in the process.
using Ticket = Strong<struct TicketTag, std::uint64_t>;

// What a request needs before it may be forwarded.
struct Claim
{
  Ticket ticket;
  WorkspaceId workspace;
  // Least that makes forwarding useful, and what it would use at most.
  Tokens minimum;
  Tokens wanted;
};

// Why a claim was refused.
enum class Refusal
{
  // What was paid does not cover the claim.
  Exhausted,
  // No grant came in time; the budget itself may have room.
  NoGrant
};

// The end of a claim's wait.
struct Decision
{
  Ticket ticket;
  // Tokens reserved, or none with the refusal.
  Tokens tokens;
  std::optional<Refusal> refusal;
};

// A request for tokens to send to control.
struct GrantNeed
{
  std::uint64_t request = 0;
  WorkspaceId workspace;
  Tokens minimum;
  Tokens wanted;
  // No claim waits for it, so others need not give up theirs.
  bool isPrefetch = false;
};

// Control's answer to a GrantNeed.
struct GrantAnswer
{
  std::uint64_t request = 0;
  WorkspaceId workspace;
  Tokens tokens;
  bool exhausted = false;
  // This router holds most of what routers hold of the budget.
  bool holdsMost = false;
};

// One workspace's part of a usage batch.
struct UsagePart
{
  WorkspaceId workspace;
  Tokens spent;
  Tokens returned;
  std::uint32_t requests = 0;
};

// A numbered batch of usage to send to control until it is acknowledged.
struct UsageBatch
{
  BatchNumber number;
  std::vector<UsagePart> parts;
};

// Settings of a purse.
struct PurseOptions
{
  // Longest wait of a claim for a grant.
  Duration claimTimeout = std::chrono::seconds(2);
  // Pause before control is asked again when nothing was free.
  Duration retryPause = std::chrono::milliseconds(100);
  // Demand that a grant should cover.
  Duration grantHorizon = std::chrono::seconds(2);
  // More is asked for when what is available covers less of the demand than
  // this; zero to ask only when a claim waits.
  Duration askBelow{};
  // Multiplies both times for a budget of which this router holds most: its
  // callers come to no other router, also while this one is cut off.
  double mostHeldFactor = 1;
  // What a busy router keeps, as a multiple of what it would ask for, so that
  // it does not return tokens and ask for them again in the same second.
  double surplusFactor = 2;
  // Weight of the newest window in the smoothed rate of demand.
  double rateWeight = 0.5;
  // Time without a claim after which everything unused is returned.
  Duration idleReturn = std::chrono::seconds(3);
  // Varies the size of a grant request: recent tokens per second to tokens.
  std::function<Tokens(double aTokensPerSecond, Duration aHorizon)> sizeGrant;
};

// State of one workspace for dumps and tests.
struct Holding
{
  Tokens available;
  Tokens reserved;
  Tokens unreported;
};

// Holds grants, reserves upper bounds from them, and reports what was spent.
// Tokens are in exactly one place: available, reserved, or in a usage batch.
class Purse
{
public:
  explicit Purse(PurseOptions aOptions);

  // Reserves now or queues the claim; a queued one is decided by Poll.
  std::optional<Decision> Reserve(const Claim& aClaim, TimePoint aNow);

  // Sets whether control can be asked; if not, a claim that is not covered is
  // refused at once.
  void SetOnline(bool aIsOnline) { this->isOnline = aIsOnline; }

  // Ends a reservation with what was spent, or withdraws a queued claim. More
  // spent than reserved can't be covered and is cut to the reservation.
  void Settle(Ticket aTicket, Tokens aSpent, TimePoint aNow);

  // Returns the queued claims that are decided by now.
  std::vector<Decision> Poll(TimePoint aNow);

  // Returns requests that must be sent now; none while one is unanswered.
  std::vector<GrantNeed> TakeNeeds(TimePoint aNow);

  // Returns all unanswered requests, to send again on a new link.
  std::vector<GrantNeed> Unanswered() const;

  void AddGrant(const GrantAnswer& aAnswer, TimePoint aNow);

  // Control asks for unused tokens; they go into the next batch.
  void Recall(const WorkspaceId& aWorkspace, Tokens aTokens);

  // Returns the batch to send, if there is something to report. The same batch
  // is returned until it is acknowledged.
  std::optional<UsageBatch> TakeBatch(TimePoint aNow);

  // Returns the unacknowledged batch, to send again on a new link.
  const std::optional<UsageBatch>& UnacknowledgedBatch() const
  {
    return this->inTransit;
  }

  void Acknowledge(BatchNumber aNumber);

  // Makes the next batch return everything that is not reserved; from then on
  // nothing is asked for ahead.
  void ReturnAll();

  // Sets the time for which claims will still come; more than that is neither
  // kept nor asked for.
  void SetHorizon(Duration aTime);

  // Returns whether nothing is held, reserved or unreported.
  bool IsEmpty() const;

  std::map<WorkspaceId, Holding> Holdings() const;

private:
  struct Waiting
  {
    Claim claim;
    TimePoint deadline;
  };

  struct Account
  {
    Tokens available;
    Tokens reserved;
    UsagePart unreported;
    std::deque<Waiting> queue;
    std::optional<GrantNeed> asked;
    TimePoint askAgain{};
    TimePoint lastClaim{};
    // Set when the last answer said that the budget itself is used up.
    bool exhausted = false;
    // By the last answer, this router holds most of the budget's grants.
    bool holdsMost = false;
    // Tokens reserved in the current second, and the smoothed rate.
    double tokensPerSecond = 0;
    double recentTokens = 0;
    TimePoint rateSince{};
    unsigned rateWindows = 0;
    // What the last claim wanted.
    Tokens lastWanted;
  };

  struct Reservation
  {
    WorkspaceId workspace;
    Tokens tokens;
  };

  Decision Grant(Account& aAccount, const Claim& aClaim, Tokens aTokens);
  void Serve(Account& aAccount,
             TimePoint aNow,
             std::vector<Decision>& aDecisions);
  void ServeSmaller(Account& aAccount, std::vector<Decision>& aDecisions);
  void UpdateRate(Account& aAccount, TimePoint aNow) const;
  void ReturnSurplus(Account& aAccount, TimePoint aNow) const;
  static void Return(Account& aAccount, Tokens aTokens);
  Tokens LowMark(const Account& aAccount) const;
  // Returns the demand of a time, longer for a budget that is mostly held here.
  Tokens DemandOf(const Account& aAccount, Duration aTime) const;
  // Returns what may become available to this router without a grant.
  Tokens Prospect(const WorkspaceId& aWorkspace, const Account& aAccount) const;

  PurseOptions options;
  std::map<WorkspaceId, Account> accounts;
  std::map<Ticket, Reservation> reservations;
  bool isOnline = true;
  bool isClosing = false;
  std::optional<UsageBatch> inTransit;
  std::uint64_t nextRequest = 1;
  std::uint64_t nextBatch = 1;
};

} // namespace lycheestand::budget

#endif
