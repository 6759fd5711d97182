#ifndef LYCHEESTAND_LIMITS_H
#define LYCHEESTAND_LIMITS_H

// Rate limits of endpoints for the whole fleet: those that endpoints name
// themselves, and those of endpoints that are cold. The leader of control gives
// out a permit for each request to a limited endpoint; a router sends none
// without. Nothing here does I/O or reads a clock.

#include <deque>
#include <lycheestand/core.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lycheestand::limits {

// Endpoints with a limit, with the requests a second that each takes from all
// routers together.
using Limits = std::map<EndpointId, RequestRate>;

// ---------------------------------------------------------------- control

// What the configuration says about a service's endpoints that are cold: they
// have started, or idled, and take few requests until they have warmed up.
struct ColdRule
{
  // Requests a second that a cold endpoint takes from all routers together; 0
  // if they are not bounded.
  RequestRate rate;
};

// By the name of the service.
using ColdRules = std::map<std::string, ColdRule>;

// An endpoint in a reading of the platform's list.
struct ListedEndpoint
{
  EndpointId endpoint;
  std::string serves;
  StartTime startTime;
  // Time for which the endpoint stays cold; zero if it is warm.
  Duration coldRemaining{};
};

// The endpoints that have become cold or warm, or have been started anew, since
// the last call.
struct ColdChanges
{
  std::vector<EndpointId> cold;
  std::vector<EndpointId> warm;
  std::vector<EndpointId> restarted;
};

// Determines which endpoints are cold, from the platform's list and from what
// routers report.
class ColdTracker
{
public:
  void SetRules(ColdRules aRules) { this->rules = std::move(aRules); }

  // Handles a reading of the list.
  ColdChanges Read(const std::vector<ListedEndpoint>& aEndpoints,
                   TimePoint aNow);

  // Handles a router's report that an endpoint is cold for a time. The rate
  // counts while neither the list nor a rule of the service is known.
  ColdChanges Report(const EndpointId& aEndpoint,
                     RequestRate aRate,
                     Duration aRemaining,
                     TimePoint aNow);

  // Ends the states that are over, if the list has not been read lately. While
  // it is read, they end with a reading, so that endpoints that become warm at
  // about the same time cause one update of the routers.
  ColdChanges Expire(TimePoint aNow);

  bool IsCold(const EndpointId& aEndpoint) const;
  std::size_t CountCold() const;

  // Returns the limits of the cold endpoints that have one.
  Limits CurrentLimits() const;

  // Forgets the endpoints. The rules stay.
  void Clear();

private:
  struct Entry
  {
    std::string serves;
    StartTime startTime;
    bool isListed = false;
    // End of the cold state according to the list, and to a router.
    TimePoint listedUntil{};
    TimePoint reportedUntil{};
    TimePoint reportedAt{};
    RequestRate reportedRate;
    bool isCold = false;
  };

  void Update(TimePoint aNow, ColdChanges& aChanges);

  ColdRules rules;
  std::map<EndpointId, Entry> entries;
  TimePoint lastReading{};
};

// The leader's answer to a request for permits.
struct PermitGrant
{
  unsigned granted = 0;
  // If fewer were granted than wanted: the time until the next permit.
  Duration wait{};
};

// Gives out permits so that no endpoint gets more requests than its limit. If
// an endpoint both names a limit and is cold, the lower limit counts. A new
// ledger begins without permits, so those of an earlier leader are not given
// out twice.
class PermitLedger
{
public:
  // Permits for cold endpoints accumulate from aColdFrom. Until then an earlier
  // leader may still give out some.
  explicit PermitLedger(TimePoint aColdFrom = {})
    : coldFrom(aColdFrom)
  {
  }

  // Sets the limit that an endpoint names, or removes it. Returns whether it
  // changed.
  bool Set(const EndpointId& aEndpoint,
           std::optional<RequestRate> aLimit,
           TimePoint aNow);

  // Adds a limit that is known from an earlier leader, unless the endpoint has
  // one. Returns whether it was added.
  bool AddKnown(const EndpointId& aEndpoint,
                RequestRate aLimit,
                TimePoint aNow);

  // Replaces the limits of cold endpoints. Returns whether any changed.
  bool SetCold(const Limits& aCold, TimePoint aNow);

  // Takes up to aWanted permits. An endpoint without a limit grants all.
  PermitGrant Take(const EndpointId& aEndpoint,
                   unsigned aWanted,
                   TimePoint aNow);

  // Removes the limits that endpoints have named and for which nothing was
  // asked for a long time. Returns whether there were any.
  bool RemoveUnused(TimePoint aNow);

  // Returns the limits that endpoints name, and those of cold endpoints.
  Limits CurrentLimits() const;
  Limits ColdLimits() const;

private:
  struct Account
  {
    std::optional<RequestRate> named;
    std::optional<RequestRate> cold;
    // Permits that can be taken now, as of updatedAt.
    double permits = 0;
    TimePoint updatedAt{};
    TimePoint usedAt{};
    // Time that the last denied router of a cold endpoint was told.
    TimePoint lastTurn{};

    double Rate() const;
    double Burst() const;
    void Accumulate(TimePoint aNow, TimePoint aColdFrom);
    Duration Queue(Duration aWait, TimePoint aNow);
  };

  Account& FindOrAdd(const EndpointId& aEndpoint, TimePoint aNow);

  TimePoint coldFrom;
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
  // aRandom spreads the requests that routers without control send to cold
  // endpoints, which may be null in tests of a single router.
  explicit PermitQueue(RandomSource aRandom = nullptr)
    : random(std::move(aRandom))
  {
  }

  // Replaces the limits that endpoints name.
  void SetLimits(const Limits& aLimits, TimePoint aNow);
  // Replaces the limits of cold endpoints. Call it before SetLimits.
  void SetColdLimits(const Limits& aLimits);
  // Adds limits of cold endpoints to those that are known.
  void AddColdLimits(const Limits& aLimits);

  // Returns the requests that waited for control.
  std::vector<WaitingRequest> SetSource(PermitSource aSource, TimePoint aNow);

  // Notes the limit that an answer names, or that it names none. aSentAt is
  // when its request was sent. Returns true if control must be told.
  bool Observe(const EndpointId& aEndpoint,
               std::optional<RequestRate> aLimit,
               TimePoint aSentAt,
               TimePoint aNow);

  // Notes that an answer of an endpoint says that it is cold for a time, and
  // the limit that its service has then. Returns true if control must be told.
  bool ObserveCold(const EndpointId& aEndpoint,
                   RequestRate aLimit,
                   Duration aRemaining,
                   TimePoint aNow);

  // Returns the limits that this router knows: those that endpoints name, and
  // those of cold endpoints.
  Limits KnownLimits(TimePoint aNow) const;
  Limits KnownColdLimits(TimePoint aNow) const;

  // Returns the lower one of the two limits of an endpoint.
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

  // A limit of an endpoint that said that it is cold.
  struct ColdObservation
  {
    RequestRate limit;
    TimePoint time{};
    TimePoint until{};
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
    // Next time at which a request may be sent while the endpoint is cold.
    TimePoint nextColdSend{};
  };

  void StartLocalAccounts(TimePoint aNow);
  TimePoint FirstColdSend(std::ptrdiff_t aGrants, TimePoint aNow) const;
  static bool TakeLocalCold(LocalAccount& aAccount, TimePoint aNow);
  std::optional<RequestRate> FindNamed(const EndpointId& aEndpoint,
                                       TimePoint aNow) const;
  std::optional<RequestRate> FindCold(const EndpointId& aEndpoint,
                                      TimePoint aNow) const;

  RandomSource random;
  PermitSource source = PermitSource::Local;
  Limits limits;
  Limits coldLimits;
  std::map<EndpointId, Observation> observations;
  std::map<EndpointId, ColdObservation> coldObservations;
  // Since when a router has known of a limit.
  std::map<EndpointId, TimePoint> knownSince;
  std::map<EndpointId, Queue> queues;
  // Times of the latest grants.
  std::map<EndpointId, std::deque<TimePoint>> grants;
  std::map<EndpointId, LocalAccount> local;
};

} // namespace lycheestand::limits

#endif
