#ifndef LYCHEESTAND_ROUTING_H
#define LYCHEESTAND_ROUTING_H

// Decisions about requests: which endpoint takes one, when it is admitted, and
// whether it is retried. Pure: time and randomness are values.

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <lycheestand/core.h>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace lycheestand::routing {

// Identifies a request in this package; unique in the process.
using RequestNumber = StrongType<struct RequestNumberTag, std::uint64_t>;

// Hash of a prompt's beginning.
using PrefixHash = StrongType<struct PrefixHashTag, std::uint64_t>;

// ------------------------------------------------------------ circuit breaker

// Limits of a circuit breaker.
struct BreakerOptions
{
  // Failures in a row that open it.
  unsigned failuresToOpen = 5;
  // Successful probes in a row that close it again.
  unsigned successesToClose = 3;
  // Probes that may be in flight while it is half-open.
  unsigned maxProbes = 1;
  // Time for which it first stays open; doubled by each failed probe.
  Duration firstOpenTime = std::chrono::seconds(1);
  Duration maxOpenTime = std::chrono::seconds(30);
};

// Keeps requests away from an endpoint that fails. Opening takes several
// failures and closing several successes, so that it does not flap.
class CircuitBreaker
{
public:
  enum class State
  {
    Closed,
    Open,
    HalfOpen
  };

  CircuitBreaker() = default;
  explicit CircuitBreaker(BreakerOptions aOptions)
    : options(aOptions)
  {
  }

  State GetState(TimePoint aNow) const;

  // Returns whether a request may be sent now.
  bool Allows(TimePoint aNow) const;

  // A request that Allows has let through starts or ends. One that is
  // abandoned says nothing about the endpoint.
  void Begin(TimePoint aNow);
  void Succeed(TimePoint aNow);
  void Fail(TimePoint aNow);
  void Abandon();

private:
  void Open(TimePoint aNow);

  BreakerOptions options;
  bool isTripped = false;
  unsigned failures = 0;
  unsigned successes = 0;
  unsigned probes = 0;
  TimePoint openUntil{};
  Duration openTime{};
};

// ------------------------------------------------------------ retries

// Limits retries to a share of requests, so that they do not multiply the load
// of endpoints that already fail.
class RetryBudget
{
public:
  explicit RetryBudget(double aShare = 0.1, double aBurst = 10)
    : share(aShare)
    , burst(aBurst)
    , tokens(aBurst)
  {
  }

  // Counts a first attempt, which earns its share of a retry.
  void NoteRequest();

  // Returns whether a retry may be made, and takes it from the budget.
  bool TakeRetry();

private:
  double share;
  double burst;
  double tokens;
};

// Returns the pause before a retry (1 for the first): a random part, at least
// half, of a time that doubles with each retry.
Duration
Backoff(unsigned aRetry, const RandomSource& aRandom);

// ------------------------------------------------------------ prefix cache

// A beginning of a prompt; longer ones include shorter ones.
struct PrefixPart
{
  PrefixHash hash;
  // Tokens of the prompt that a cached copy of this part saves.
  Tokens tokens;
};

// A change of an endpoint's prefix cache, from its event feed.
struct CacheEvent
{
  std::uint64_t sequence = 0;
  PrefixHash prefix;
  bool added = false;
};

// What one endpoint's prefix cache is believed to hold. Bounded: the prefix
// that was used least recently is forgotten first, as engines do.
class PrefixMap
{
public:
  explicit PrefixMap(std::size_t aCapacity = 4096)
    : capacity(aCapacity)
  {
  }

  // A request with these parts was sent to the endpoint.
  void LearnRequest(const std::vector<PrefixPart>& aParts);

  // Takes an event; numbers that are missing count as lost events. Events that
  // were seen before have no effect.
  void LearnEvent(const CacheEvent& aEvent);

  // The endpoint's next event number is known to be this, so that events lost
  // at the end of a batch count too.
  void LearnNext(std::uint64_t aNext);

  // The endpoint restarted: its cache and its numbering begin anew.
  void Clear();

  // Returns the tokens that are expected to be served from the cache.
  double ExpectTokens(const std::vector<PrefixPart>& aParts) const;

  std::size_t Size() const { return this->entries.size(); }

private:
  struct Entry
  {
    PrefixHash hash;
    std::uint64_t lostBefore = 0;
  };

  double Confidence(const Entry& aEntry) const;
  void Touch(PrefixHash aHash);
  void Forget(PrefixHash aHash);

  std::size_t capacity;
  // Most recently used first.
  std::list<Entry> entries;
  std::unordered_map<PrefixHash, std::list<Entry>::iterator> byHash;
  std::uint64_t nextSequence = 0;
  std::uint64_t lost = 0;
};

// ------------------------------------------------------------ endpoint choice

// An endpoint of the fleet's view.
struct Endpoint
{
  EndpointId endpoint;
  ZoneId zone;
  Address address;
  std::string serves;
  bool isService = false;
  bool leaving = false;
};

// An endpoint's own report of its load.
struct LoadReport
{
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint32_t slots = 0;
  Tokens cacheTokens;
  bool leaving = false;
  // Models, adapters and versions that are loaded; empty if not reported.
  std::set<std::string> models;
  // False for an engine whose role is only to continue prompts that another
  // engine has processed.
  bool takesPrompts = true;
  // When the endpoint measured it, on the router's clock.
  TimePoint takenAt{};
};

// What a request needs of an endpoint.
struct Query
{
  std::string serves;
  bool isService = false;
  std::vector<PrefixPart> prefix;
  Tokens promptTokens;
  std::set<EndpointId> excluded;
};

// What is known of an endpoint that can take the request.
struct Candidate
{
  const EndpointId* endpoint = nullptr;
  bool hasReport = false;
  double ageSeconds = 0;
  // Requests running and queued at the time of the report.
  double reported = 0;
  double slots = 1;
  // The router's own requests in flight, and their change since the report.
  double ownInFlight = 0;
  double ownSinceReport = 0;
  // Prompt tokens of own requests that the endpoint was not expected to have
  // cached and can't have processed yet.
  double ownWorkTokens = 0;
  double cachedTokens = 0;
  bool isSameZone = false;
  bool isLoaded = true;
  // It refused a request as busy a moment ago.
  bool isBusy = false;
  // Mean time for which a request occupies the endpoint.
  double serviceSeconds = 1;
};

using Candidates = std::span<const Candidate>;

// Chooses one of at least one candidates by its index.
using ChoicePolicy =
  std::function<std::size_t(const Query&, Candidates, const RandomSource&)>;

// Weights of the project's policy, in seconds until the first token. The values
// are those that did best in bench/policy; docs/routing.md has the figures.
struct CostOptions
{
  double promptTokensPerSecond = 8000;
  // Report age at which a report counts half against the mean of all.
  double reportHalfLifeSeconds = 1;
  // Cost of a full batch against an empty one, as a share of the service time.
  double batchShare = 0.05;
  double otherZoneSeconds = 0.001;
  double notLoadedSeconds = 30;
  double busySeconds = 1;
  // Costs this far apart count as nearly equal.
  double nearSeconds = 0.02;
};

// Returns the project's policy: least expected time to the first token, and
// random among nearly equal ones.
ChoicePolicy
MakeCostPolicy(CostOptions aOptions = {});

// Returns the project's policy for requests whose prompts share beginnings: the
// cost policy, which expects the shared beginning to be cached at one endpoint
// that all routers find alike by the beginning's hash.
ChoicePolicy
MakeHomePolicy(CostOptions aOptions = {});

// Baselines to compare with.
ChoicePolicy
MakeRandomPolicy();
ChoicePolicy
MakeRoundRobinPolicy();
ChoicePolicy
MakeLeastLoadedPolicy();
ChoicePolicy
MakeTwoChoicesPolicy();
ChoicePolicy
MakeAffinityPolicy();

// Binds ranges of prefix hashes to endpoints; a range that runs hot is split,
// and one that can't be split further gets a second endpoint.
ChoicePolicy
MakePrefixRangesPolicy();

// How a request at an endpoint ended.
enum class Outcome
{
  Succeeded,
  // No answer, or a broken one.
  Failed,
  // It answered that it can't take more now.
  Busy,
  // The caller left; nothing is known about the endpoint.
  Abandoned
};

// Settings of an endpoint table.
struct TableOptions
{
  ZoneId zone;
  std::size_t prefixesPerEndpoint = 4096;
  // Requests of this router in flight at one endpoint.
  unsigned maxInFlight = 64;
  // Age from which a report no longer limits capacity.
  Duration reportLifetime = std::chrono::seconds(5);
  Duration busyTime = std::chrono::milliseconds(200);
  // Prompt tokens that an endpoint processes in a second.
  double promptTokensPerSecond = 8000;
  BreakerOptions breaker;
};

// What was known of an endpoint when it was chosen, for logs.
struct ChoiceBasis
{
  std::size_t candidates = 0;
  // Requests of this router there, and those by the last report with its age.
  double ownInFlight = 0;
  bool hasReport = false;
  double reported = 0;
  double reportAgeSeconds = 0;
  // Prompt tokens that this router's earlier requests left there.
  double cachedTokens = 0;
};

// The chosen endpoint.
struct Choice
{
  EndpointId endpoint;
  Address address;
  ChoiceBasis basis;
};

// State of one endpoint for dumps.
struct EndpointStatus
{
  Endpoint endpoint;
  std::uint32_t inFlight = 0;
  bool leaving = false;
  CircuitBreaker::State breaker = CircuitBreaker::State::Closed;
  std::size_t prefixes = 0;
  std::optional<LoadReport> report;
};

// Keeps what a router knows about endpoints and chooses among them.
class EndpointTable
{
public:
  EndpointTable(TableOptions aOptions,
                ChoicePolicy aPolicy,
                RandomSource aRandom);

  // Takes the fleet's newest list of endpoints.
  void SetEndpoints(const std::vector<Endpoint>& aEndpoints);

  void SetMaxInFlight(unsigned aLimit) { this->options.maxInFlight = aLimit; }

  // Chooses an endpoint and counts the request there until Finish.
  std::optional<Choice> Choose(RequestNumber aRequest,
                               const Query& aQuery,
                               TimePoint aNow);

  // Ends a request; aLeaving is set if the endpoint said that it is leaving.
  // Does nothing for a request that was not chosen for.
  void Finish(RequestNumber aRequest,
              Outcome aOutcome,
              bool aLeaving,
              TimePoint aNow);

  void LearnReport(const EndpointId& aEndpoint, LoadReport aReport);
  void LearnEvents(const EndpointId& aEndpoint,
                   const std::vector<CacheEvent>& aEvents,
                   std::uint64_t aNext);

  // Returns what an endpoint's last answer named as the place to go on from.
  std::uint64_t NextEvent(const EndpointId& aEndpoint) const;

  // Returns how many requests this router, one of aRouters, should have in
  // flight at all endpoints that serve a name; none if nothing serves it.
  std::optional<unsigned> Capacity(const std::string& aServes,
                                   bool aIsService,
                                   std::size_t aRouters,
                                   TimePoint aNow) const;

  std::vector<EndpointStatus> Status(TimePoint aNow) const;

private:
  struct Known
  {
    Endpoint endpoint;
    bool isListed = true;
    bool saidLeaving = false;
    std::uint32_t inFlight = 0;
    // Own requests begun (1) and ended (-1) since the report was taken.
    std::deque<std::pair<TimePoint, int>> changes;
    int changeSum = 0;
    double workTokens = 0;
    TimePoint workAt{};
    TimePoint busyUntil{};
    CircuitBreaker breaker;
    PrefixMap prefixes;
    // Where the endpoint said that its next events begin.
    std::uint64_t nextEvent = 0;
    std::optional<LoadReport> report;

    bool IsLeaving() const;
  };

  struct Assigned
  {
    EndpointId endpoint;
    TimePoint since{};
  };

  bool CanServe(const Known& aKnown, const Query& aQuery) const;
  double WorkLeft(const Known& aKnown, TimePoint aNow) const;
  Candidate Describe(const Known& aKnown,
                     const Query& aQuery,
                     TimePoint aNow) const;
  std::vector<Known*> FindCandidates(const Query& aQuery, TimePoint aNow);
  void Assign(RequestNumber aRequest,
              Known& aKnown,
              const Query& aQuery,
              double aWorkTokens,
              TimePoint aNow);
  unsigned CapacityOf(const Known& aKnown,
                      std::size_t aRouters,
                      TimePoint aNow) const;

  TableOptions options;
  ChoicePolicy policy;
  RandomSource random;
  std::map<EndpointId, Known> endpoints;
  std::map<RequestNumber, Assigned> assigned;
  double serviceSeconds = 1;
};

// ------------------------------------------------------------ admission

enum class Priority : std::uint8_t
{
  // Short fault explanations and streamed chat: a person waits.
  Interactive = 0,
  // Long summaries.
  Batch = 1
};

// Why a request is not admitted. It has not run.
enum class AdmissionRefusal
{
  // The workspace's or site's own limit of requests in flight.
  WorkspaceLimit,
  // The queue is full, or the turn did not come in time.
  Overloaded,
  // The answer can no longer begin before the request's deadline.
  Deadline
};

// A request that asks to be admitted.
struct Ask
{
  RequestNumber request;
  WorkspaceId workspace;
  SiteId site;
  // The endpoints that it needs: a model's or service's name.
  std::string pool;
  Priority priority = Priority::Interactive;
  unsigned weight = 1;
  unsigned workspaceLimit = 256;
  std::optional<unsigned> siteLimit;
  // Time by which the answer must begin.
  std::optional<TimePoint> deadline;
};

// The end of an ask; admitted if there is no refusal.
struct AdmissionDecision
{
  RequestNumber request;
  std::optional<AdmissionRefusal> refusal;
};

// Settings of an admission.
struct AdmissionOptions
{
  // Longest wait for a turn.
  Duration maxWait = std::chrono::seconds(2);
  // Requests that may wait for one pool.
  std::size_t maxQueued = 512;
  // One turn in this many goes to batch requests while both classes wait, so
  // that they are slowed but not starved.
  unsigned batchTurn = 8;
};

// Admits requests up to each pool's capacity. A workspace may use idle
// capacity beyond its share; when requests wait, the next turn goes to the
// workspace with the least in flight for its weight.
class Admission
{
public:
  explicit Admission(AdmissionOptions aOptions = {});

  void SetOptions(AdmissionOptions aOptions) { this->options = aOptions; }

  // Sets how many requests a pool takes; without a capacity it takes all.
  void SetCapacity(const std::string& aPool, std::optional<unsigned> aCapacity);

  // Decides now or queues the ask; a queued one is decided by Poll.
  std::optional<AdmissionDecision> Admit(const Ask& aAsk, TimePoint aNow);

  // Ends an admitted request or withdraws a queued one.
  void Release(RequestNumber aRequest, TimePoint aNow);

  // Returns the queued asks that are decided by now.
  std::vector<AdmissionDecision> Poll(TimePoint aNow);

  std::size_t InFlight(const WorkspaceId& aWorkspace) const;
  std::size_t Queued() const;

private:
  struct Waiting
  {
    Ask ask;
    TimePoint giveUp;
  };

  struct Held
  {
    std::string pool;
    WorkspaceId workspace;
    SiteId site;
    TimePoint since{};
  };

  // Queues of the workspaces with waiting requests in one priority class.
  using Queues = std::map<WorkspaceId, std::deque<Waiting>>;

  struct Pool
  {
    std::optional<unsigned> capacity;
    unsigned inFlight = 0;
    std::map<WorkspaceId, unsigned> inFlightOf;
    std::array<Queues, 2> queues;
    std::array<std::size_t, 2> queued{};
    unsigned turn = 0;
    double holdSeconds = 0;

    bool HasRoom() const;
    std::size_t Queued() const { return this->queued[0] + this->queued[1]; }
  };

  bool IsOverLimit(const Ask& aAsk) const;
  bool IsTooLate(const Pool& aPool, const Ask& aAsk, TimePoint aNow) const;
  void Count(const Ask& aAsk, int aChange);
  void Enter(Pool& aPool, const Ask& aAsk, TimePoint aNow);
  bool DisplaceBatch(Pool& aPool);
  Waiting TakeNext(Pool& aPool);
  void Expire(Pool& aPool, TimePoint aNow);
  bool Withdraw(RequestNumber aRequest);

  AdmissionOptions options;
  std::map<std::string, Pool> pools;
  std::map<RequestNumber, Held> held;
  std::map<RequestNumber, std::pair<std::string, Priority>> waiting;
  // Requests in flight or queued, for the limits.
  std::map<WorkspaceId, unsigned> ofWorkspace;
  std::map<std::pair<WorkspaceId, SiteId>, unsigned> ofSite;
  std::vector<AdmissionDecision> decided;
};

} // namespace lycheestand::routing

#endif
