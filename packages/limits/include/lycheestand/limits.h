#ifndef LYCHEESTAND_LIMITS_H
#define LYCHEESTAND_LIMITS_H

// Rate limits that endpoints name for the whole fleet. The leader of control
// gives out a permit for each request to a limited endpoint; a router sends
// none without. Nothing here does I/O or reads a clock.

#include <deque>
#include <lycheestand/core.h>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lycheestand::limits {

// The endpoints that name a limit, with the requests a second that each takes
// from all routers together.
using Limits = std::map<EndpointId, RequestRate>;

// ---------------------------------------------------------------- control

// The leader's answer to a request for permits.
struct PermitGrant
{
  unsigned granted = 0;
  // If fewer were granted than wanted: the time until the next permit.
  Duration wait{};
};

// Gives out permits so that no endpoint gets more requests than its limit. A
// new ledger begins without permits, so those of an earlier leader are not
// given out twice.
class PermitLedger
{
public:
  // Sets the limit of an endpoint, or removes it. Returns whether it changed.
  bool Set(const EndpointId& aEndpoint,
           std::optional<RequestRate> aLimit,
           TimePoint aNow);

  // Adds a limit that is known from an earlier leader, unless the endpoint has
  // one. Returns whether it was added.
  bool AddKnown(const EndpointId& aEndpoint,
                RequestRate aLimit,
                TimePoint aNow);

  // Takes up to aWanted permits. An endpoint without a limit grants all.
  PermitGrant Take(const EndpointId& aEndpoint,
                   unsigned aWanted,
                   TimePoint aNow);

  // Removes the limits of endpoints for which nothing was asked for a long
  // time. Returns whether there were any.
  bool RemoveUnused(TimePoint aNow);

  Limits CurrentLimits() const;

private:
  struct Account
  {
    RequestRate rate;
    // Permits that can be taken now, as of updatedAt.
    double permits = 0;
    TimePoint updatedAt{};
    TimePoint usedAt{};
  };

  std::map<EndpointId, Account> accounts;
};

// ---------------------------------------------------------------- router

// Identifies a request that waits for a permit; unique within the process.
using WaitingRequest = StrongType<struct WaitingRequestTag, std::uint64_t>;

// Where a router gets permits.
enum class PermitSource
{
  Control,
  // Control is out of contact. The router goes on with a part of what it was
  // granted before.
  Local,
  // Control is of an earlier version, which knows no limits.
  Unlimited
};

// Requests whose wait has ended.
struct PermitDecision
{
  std::vector<WaitingRequest> granted;
  std::vector<WaitingRequest> denied;
  // Permits to request from control now.
  unsigned wanted = 0;
};

// A router's side of the limits: which endpoints are limited, and the requests
// that wait for permits.
class PermitQueue
{
public:
  void SetLimits(const Limits& aLimits, TimePoint aNow);

  // Returns the requests that waited for control.
  std::vector<WaitingRequest> SetSource(PermitSource aSource, TimePoint aNow);

  // Notes the limit that an answer names, or that it names none. aSentAt is
  // when its request was sent. Returns true if control must be told.
  bool Observe(const EndpointId& aEndpoint,
               std::optional<RequestRate> aLimit,
               TimePoint aSentAt,
               TimePoint aNow);

  // Returns the limits that this router knows.
  Limits KnownLimits(TimePoint aNow) const;
  std::optional<RequestRate> FindLimit(const EndpointId& aEndpoint,
                                       TimePoint aNow) const;

  // Returns whether a request to the endpoint needs a permit.
  bool NeedsPermit(const EndpointId& aEndpoint, TimePoint aNow) const;
  PermitSource Source() const { return this->source; }

  // Takes a permit of this router's own, while control is out of contact.
  bool TakeLocal(const EndpointId& aEndpoint, TimePoint aNow);

  // Adds a request that waits for control. Returns the permits to request now.
  unsigned Add(const EndpointId& aEndpoint, WaitingRequest aRequest);

  // Decides on control's reply to the last request for permits.
  PermitDecision HandleReply(const EndpointId& aEndpoint,
                             unsigned aGranted,
                             TimePoint aNow);

  // Removes a request that no longer waits. Returns whether it did.
  bool Remove(const EndpointId& aEndpoint, WaitingRequest aRequest);

private:
  // An observation that control has not confirmed yet.
  struct Observation
  {
    std::optional<RequestRate> limit;
    TimePoint time{};
  };

  struct Queue
  {
    std::deque<WaitingRequest> waiting;
    // Permits that were requested and not replied to.
    unsigned requested = 0;
  };

  // Permits of this router's own while control is out of contact.
  struct LocalAccount
  {
    double ratePerSecond = 0;
    double permits = 0;
    TimePoint updatedAt{};
  };

  void StartLocalAccounts(TimePoint aNow);

  PermitSource source = PermitSource::Local;
  Limits limits;
  std::map<EndpointId, Observation> observations;
  // Since when a router has known of a limit.
  std::map<EndpointId, TimePoint> knownSince;
  std::map<EndpointId, Queue> queues;
  // Times of the latest grants.
  std::map<EndpointId, std::deque<TimePoint>> grants;
  std::map<EndpointId, LocalAccount> local;
};

} // namespace lycheestand::limits

#endif
