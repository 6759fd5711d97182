#ifndef LYCHEESTAND_ROUTING_H
#define LYCHEESTAND_ROUTING_H

// Request admission, endpoint selection and retry limits. Nothing here does I/O
// or reads a clock: callers pass the current time and the random source.

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

// Identifies a request; unique within the process.
using RequestNumber = StrongType<struct RequestNumberTag, std::uint64_t>;

// Hash of a prompt prefix.
using PrefixHash = StrongType<struct PrefixHashTag, std::uint64_t>;

// ------------------------------------------------------------ circuit breaker

// Thresholds of a circuit breaker.
struct BreakerOptions
{
  // Consecutive failures that open a closed breaker.
  unsigned failuresToOpen = 5;
  // Consecutive successful probes that close a half-open breaker.
  unsigned successesToClose = 3;
  // Concurrent probes allowed while half-open.
  unsigned maxProbes = 1;
  // Time for which a closed breaker opens. Each failed probe opens it again for
  // twice as long, up to maxOpenTime.
  Duration firstOpenTime = std::chrono::seconds(1);
  Duration maxOpenTime = std::chrono::seconds(30);
};

// Stops sending requests to a failing endpoint. Opening takes several failures
// and closing several successes, so that the breaker does not flap.
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

  // Returns whether a request may be sent at aNow.
  bool Allows(TimePoint aNow) const;

  // Report the start of each request with Begin, and its end with exactly one
  // of the others. An abandoned request counts neither as a success nor as a
  // failure.
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

// Token bucket that limits retries to a fraction of requests, so that they do
// not multiply the load of endpoints that already fail.
class RetryBudget
{
public:
  // aBurst is the most retries that can accumulate, and the initial amount.
  explicit RetryBudget(double aRetriesPerRequest = 0.1, double aBurst = 10)
    : retriesPerRequest(aRetriesPerRequest)
    , burst(aBurst)
    , tokens(aBurst)
  {
  }

  // Adds the retry allowance of one request. Call it once for each request,
  // not for its retries.
  void RecordRequest();

  // Consumes one retry and returns true, or returns false if none is left.
  bool TryAcquireRetry();

  // Gives back a retry that was acquired but not made.
  void ReturnRetry();

private:
  double retriesPerRequest;
  double burst;
  double tokens;
};

// Returns the delay before retry number aRetry, counted from 1: exponential
// backoff with random jitter between half of the delay and all of it.
Duration
Backoff(unsigned aRetry, const RandomSource& aRandom);

// ------------------------------------------------------------ prefix cache

// A prefix of a prompt. A list of prefixes is ordered by length, and each
// contains the ones before it.
struct PromptPrefix
{
  PrefixHash hash;
  // Length of the prefix: the prompt tokens that need no processing if it is
  // cached.
  Tokens tokens;
};

// An insertion into an endpoint's prefix cache or a removal from it, as read
// from the endpoint's event feed.
struct CacheEvent
{
  std::uint64_t sequence = 0;
  PrefixHash prefix;
  bool added = false;
};

// Estimates the contents of one endpoint's prefix cache from the requests sent
// to it and the events received. Holds a limited number of prefixes and evicts
// the least recently used one, as engines do.
class PrefixCacheModel
{
public:
  explicit PrefixCacheModel(std::size_t aCapacity = 4096)
    : capacity(aCapacity)
  {
  }

  // Records that a request with these prefixes was sent to the endpoint.
  void RecordRequest(const std::vector<PromptPrefix>& aPrefixes);

  // Applies an event. A gap in the sequence numbers counts as lost events;
  // events that were applied before are ignored.
  void ApplyEvent(const CacheEvent& aEvent);

  // Sets the sequence number of the endpoint's next event. Call it after each
  // batch, so that events lost at the end of the batch are counted too.
  void AdvanceSequence(std::uint64_t aNext);

  // Discards all state. Call it when the endpoint has restarted, which empties
  // its cache and resets its sequence numbers.
  void Clear();

  // Returns the expected number of prompt tokens that the cache holds.
  double ExpectedCachedTokens(const std::vector<PromptPrefix>& aPrefixes) const;

  std::size_t Size() const { return this->entries.size(); }

private:
  struct Entry
  {
    PrefixHash hash;
    // Value of lostEvents when the prefix was last added or used.
    std::uint64_t lostEventsAtUse = 0;
  };

  double Confidence(const Entry& aEntry) const;
  void Touch(PrefixHash aHash);
  void Remove(PrefixHash aHash);

  std::size_t capacity;
  // Most recently used first.
  std::list<Entry> entries;
  std::unordered_map<PrefixHash, std::list<Entry>::iterator> byHash;
  std::uint64_t nextSequence = 0;
  std::uint64_t lostEvents = 0;
};

// ------------------------------------------------------------ capacity
// estimate

// What a measured time of a request covers.
enum class TimedPart
{
  // From sending the request to its answer, or to a stream's first event.
  Answer,
  // Mean time between events of a stream.
  Gap
};

// A measured time of a request, and what it depends on.
struct TimeSample
{
  TimedPart part = TimedPart::Answer;
  double seconds = 0;
  // Prompt tokens that the endpoint had to process before the answer.
  double promptTokens = 0;
  // Requests running and queued at the endpoint, per slot; 0 if unknown.
  double runningPerSlot = 0;
  double queuedPerSlot = 0;
  // The request ended without an answer after this time.
  bool isLowerBound = false;
};

// A measured deviation of an endpoint from its service, as the logarithm of the
// ratio of times.
struct DeviationSample
{
  double deviation = 0;
  // Variance that is not due to the endpoint.
  double variance = 0;
  // A larger error than this, in standard deviations, counts as this one.
  double maxErrorDeviations = 2;
  // Samples within this time are caused by the same events.
  double correlationSeconds = 0;
};

// Estimates how slow one endpoint is in comparison with its service, as the
// logarithm of the ratio of times. It has a lasting and a momentary part, and
// both return to 0 with time.
class EndpointCapacity
{
public:
  // Adds a measured deviation. aMemory is the time after which the lasting part
  // is forgotten.
  void Observe(const DeviationSample& aSample,
               Duration aMemory,
               TimePoint aNow);

  // The endpoint has reported how long work takes there at this moment; 1 is
  // the usual time.
  void ObservePace(double aPace, TimePoint aNow);

  // Returns the estimate, and its variance due to what is unknown.
  double Deviation(TimePoint aNow) const;
  double Variance(TimePoint aNow) const;

  // Returns the speed; 1 is the mean of the service. An estimate that may be
  // due to noise counts as 1.
  double Speed(TimePoint aNow) const;

  // Returns the speed without the pace, which changes many times a second.
  double MeasuredSpeed(TimePoint aNow) const;

private:
  struct Covariance
  {
    double lasting = 0;
    double both = 0;
    double momentary = 0;
  };
  struct Decay
  {
    double lasting = 1;
    double momentary = 1;
  };

  Decay DecayUntil(TimePoint aNow) const;
  void Predict(TimePoint aNow);
  double PaceRatio(TimePoint aNow) const;

  double lasting = 0;
  double momentary = 0;
  // Uncertainty of the estimate, and its variance if the endpoint is as fast as
  // the mean.
  Covariance uncertainty;
  Covariance noise;
  Duration memory{};
  TimePoint updatedAt{};
  bool isMeasured = false;
  double pace = 1;
  double meanPace = 1;
  TimePoint paceAt{};
  bool hasPace = false;
};

// Returns the requests in flight that an endpoint of this speed takes well.
double
InFlightLimit(double aSlots, double aSpeed);

// Learns the usual time of one part of a request over all endpoints of a
// service: a linear regression over one variable.
class TimeModel
{
public:
  // aPriorSlope is the expected increase of the time, in seconds, for each unit
  // of the variable.
  explicit TimeModel(double aPriorSlope = 0)
    : priorSlope(aPriorSlope)
  {
  }

  // Returns the logarithm of the ratio of a time to the usual one.
  double Deviation(double aSeconds, double aVariable) const;

  // Adds a time.
  void Add(double aSeconds, double aVariable);

  // Adds how far a deviation was from what the endpoint's estimate predicted,
  // whose variance was aVariance.
  void AddError(double aError, double aVariance);

  // Returns the usual time if the variable is 0.
  double BaseSeconds() const;

  // Variance of a deviation that is not due to the endpoint.
  double Noise() const { return this->noise; }

  // Returns whether the variable has ever been above 0.
  bool HasVariable() const { return this->meanVariable > 0; }

  // Returns whether there are enough times to compare others with.
  bool IsReady() const;

private:
  double Gain() const;
  double Slope() const;

  double priorSlope;
  unsigned count = 0;
  double meanSeconds = 0;
  double meanVariable = 0;
  double variance = 0;
  double covariance = 0;
  double meanDeviation = 0;
  // Assumed until it is measured: single times vary by about a factor of 1.6.
  double noise = 0.25;
};

// Compares the times of requests at the endpoints of one service.
class ServiceTimes
{
public:
  explicit ServiceTimes(double aPromptTokensPerSecond = 8000);

  // Adds a time to the estimate of its endpoint, one of aEndpoints.
  void Record(EndpointCapacity& aCapacity,
              const TimeSample& aSample,
              std::size_t aEndpoints,
              TimePoint aNow);

  // Returns the usual time from sending a request without a prompt to its
  // answer; 0 while it is not known.
  double UsualSeconds() const;

private:
  Duration Memory(std::size_t aEndpoints) const;

  TimeModel answer;
  TimeModel gap;
  // Mean time between two samples, and the time of the last one.
  double intervalSeconds = 1;
  TimePoint lastSampleAt{};
};

// ------------------------------------------------------------ endpoint choice

// An endpoint from the fleet's endpoint list.
struct Endpoint
{
  EndpointId endpoint;
  ZoneId zone;
  Address address;
  // Name of the model, or of the service if isService is set.
  std::string serves;
  bool isService = false;
  // Set while the endpoint is draining: it takes no new requests.
  bool leaving = false;
  StartTime startTime;
  // It is slower than others until it has warmed up.
  bool isCold = false;
  SoftwareVersion version;
};

// Load of an endpoint as reported by the endpoint itself.
struct LoadReport
{
  // Requests running and queued.
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  // Requests that can run at once; 0 if unknown.
  std::uint32_t slots = 0;
  // Prompt tokens in the prefix cache.
  Tokens cacheTokens;
  bool leaving = false;
  // Loaded models, adapters and versions; empty if not reported.
  std::set<std::string> models;
  // False for a decode-only engine, which continues prompts that another engine
  // has processed.
  bool runsPrefill = true;
  // How long work takes at this moment; 1 is the usual time.
  std::optional<double> pace;
  // Time of the measurement on the router's clock.
  TimePoint measuredAt{};
};

// Requirements of a request on its endpoint.
struct Query
{
  // Model or service, as in Endpoint.
  std::string serves;
  bool isService = false;
  // Prefixes of the prompt, shortest first.
  std::vector<PromptPrefix> prefix;
  Tokens promptTokens;
  // Endpoints that must not be chosen.
  std::set<EndpointId> excluded;
  // Only endpoints of this version may be chosen, if it is set.
  std::optional<SoftwareVersion> version;
};

// Inputs to a policy about one endpoint that can serve the request.
struct Candidate
{
  const EndpointId* endpoint = nullptr;
  bool hasReport = false;
  double reportAgeSeconds = 0;
  // Requests running and queued according to the last report.
  double reportedRequests = 0;
  double slots = 1;
  // Requests of this router in flight, and the change of that number since the
  // report was measured.
  double ownInFlight = 0;
  double ownChangeSinceReport = 0;
  // Estimated uncached prompt tokens of this router's requests that the
  // endpoint has not processed yet.
  double ownPendingPromptTokens = 0;
  double cachedTokens = 0;
  bool isSameZone = false;
  bool isLoaded = true;
  // It recently rejected a request because it was busy.
  bool isBusy = false;
  // Mean service time of a request.
  double serviceSeconds = 1;
  bool isCold = false;
  // Estimated speed; 1 is the mean of the service.
  double speed = 1;
  // Usual time until the answer to a request without a prompt; 0 if unknown.
  double usualSeconds = 0;
};

using Candidates = std::span<const Candidate>;

// Returns the index of the candidate to use. There is at least one candidate.
using ChoicePolicy =
  std::function<std::size_t(const Query&, Candidates, const RandomSource&)>;

// Weights of the cost policy, whose cost is the expected time to the first
// token. docs/routing.md has the reasons for the defaults.
struct CostOptions
{
  double promptTokensPerSecond = 8000;
  // Report age at which the report and the mean of all reports weigh the same.
  double reportHalfLifeSeconds = 1;
  // Extra cost of a full batch over an empty one, as a fraction of the service
  // time.
  double fullBatchSlowdown = 0.05;
  double otherZoneSeconds = 0.001;
  double notLoadedSeconds = 30;
  double busySeconds = 1;
  // A cold endpoint has this multiple of the cost of a warm one, and this cost
  // in addition, so that an idle one gets requests only when warm ones are
  // nearly full.
  double coldSlowdown = 2;
  double coldSeconds = 0.05;
  // Exponent of the speed in the probability of a choice among nearly equal
  // costs.
  double speedExponent = 2;
  // An endpoint that is slower than the mean by more than this factor costs the
  // extra time of a usual request.
  double slownessTolerance = 1.25;
  // Cost of an endpoint of a plain service whose slots are full, in multiples
  // of the temperature.
  double fullTemperatures = 10;
  // Softmax temperature of the random choice: an endpoint whose cost is higher
  // by this much is e times less likely to be chosen.
  double temperatureSeconds = 0.02;
};

// Returns a policy that minimizes the expected time to the first token and
// chooses at random among endpoints with nearly equal cost.
ChoicePolicy
MakeCostPolicy(CostOptions aOptions = {});

// Returns the cost policy for prompts with shared prefixes. It assumes that a
// shared prefix is cached at the endpoint that rendezvous hashing of the prefix
// selects, which is the same one at all routers.
ChoicePolicy
MakeRendezvousPolicy(CostOptions aOptions = {});

// Baseline policies for comparison in benchmarks.
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

// Returns a policy that assigns ranges of prefix hashes to endpoints. It splits
// a range that receives too many requests, and gives a range of a single hash
// an additional endpoint.
ChoicePolicy
MakePrefixRangesPolicy();

// How a request to an endpoint ended.
enum class Outcome
{
  Succeeded,
  // No response, or a broken one.
  Failed,
  // The endpoint rejected the request because it was at capacity.
  Busy,
  // The caller cancelled it; the outcome says nothing about the endpoint.
  Abandoned
};

// Settings of an endpoint table.
struct TableOptions
{
  // Availability zone of this router.
  ZoneId zone;
  // Capacity of each endpoint's PrefixCacheModel.
  std::size_t prefixesPerEndpoint = 4096;
  // Most requests of this router in flight at one endpoint.
  unsigned maxInFlight = 64;
  // Age above which a report no longer limits capacity.
  Duration reportLifetime = std::chrono::seconds(5);
  // Time for which an endpoint counts as busy after it rejected a request.
  Duration busyTime = std::chrono::milliseconds(200);
  // Prompt tokens that an endpoint processes in a second.
  double promptTokensPerSecond = 8000;
  BreakerOptions breaker;
};

// Data behind an endpoint choice, for logs.
struct ChoiceBasis
{
  std::size_t candidates = 0;
  // Requests of this router in flight at the endpoint, and requests according
  // to its last report.
  double ownInFlight = 0;
  bool hasReport = false;
  double reportedRequests = 0;
  double reportAgeSeconds = 0;
  // Prompt tokens that the endpoint is expected to have cached.
  double cachedTokens = 0;
  // Estimated speed, and the requests in flight that the endpoint takes well; 0
  // if unknown.
  double speed = 1;
  double limit = 0;
};

// The chosen endpoint.
struct Choice
{
  EndpointId endpoint;
  Address address;
  ChoiceBasis basis;
  SoftwareVersion version;
};

// State of one endpoint for diagnostics.
struct EndpointStatus
{
  Endpoint endpoint;
  std::uint32_t inFlight = 0;
  bool leaving = false;
  bool evacuated = false;
  CircuitBreaker::State breaker = CircuitBreaker::State::Closed;
  std::size_t prefixes = 0;
  std::optional<LoadReport> report;
  // Estimated speed, and the requests in flight that it takes well; 0 if
  // unknown.
  double speed = 1;
  double limit = 0;
};

// An endpoint's estimated speed and the requests in flight that it takes well;
// 0 if unknown.
struct CapacityStatus
{
  EndpointId endpoint;
  std::string serves;
  double speed = 1;
  double limit = 0;
  // Speed that was last returned by TakeCapacityChanges.
  double previousSpeed = 1;
};

// Tracks the state of all endpoints and chooses one for each request.
class EndpointTable
{
public:
  EndpointTable(TableOptions aOptions,
                ChoicePolicy aPolicy,
                RandomSource aRandom);

  // Replaces the list of endpoints. Removed endpoints get no new requests.
  void SetEndpoints(const std::vector<Endpoint>& aEndpoints);

  // Replaces the set of evacuated availability zones. Their endpoints get no
  // new requests; requests in flight there are not affected.
  void SetEvacuatedZones(std::set<ZoneId> aZones)
  {
    this->evacuatedZones = std::move(aZones);
  }

  // Returns whether the endpoint is in an evacuated zone; false if it is
  // unknown.
  bool IsEvacuated(const EndpointId& aEndpoint) const;

  void SetMaxInFlight(unsigned aLimit) { this->options.maxInFlight = aLimit; }

  // Chooses an endpoint and counts the request as in flight there until Finish
  // is called. Returns nothing if no endpoint can serve the request.
  std::optional<Choice> Choose(RequestNumber aRequest,
                               const Query& aQuery,
                               TimePoint aNow);

  // Returns whether none of the listed endpoints for the query that are not
  // leaving has its version. Whether one can be chosen now does not matter.
  bool LacksVersion(const Query& aQuery) const;

  // Ends a request. Does nothing for a request without a chosen endpoint.
  void Finish(RequestNumber aRequest, Outcome aOutcome, TimePoint aNow);

  // Takes back the choice for a request that has not been sent.
  void Withdraw(RequestNumber aRequest, TimePoint aNow);

  // Adds a measured time of a request in flight: until the answer, if it was a
  // success, or the mean gap between events of its stream.
  void RecordTime(RequestNumber aRequest,
                  TimedPart aPart,
                  Duration aTime,
                  TimePoint aNow);

  // A response of the endpoint has announced that it is draining. It gets no
  // new requests.
  void SetLeaving(const EndpointId& aEndpoint);

  // The endpoint wants no requests of this router until then.
  void Block(const EndpointId& aEndpoint, TimePoint aUntil);

  // Returns the time until the first of the blocked endpoints that can serve
  // the query takes requests again; zero if none is blocked.
  Duration RemainingBlock(const Query& aQuery, TimePoint aNow) const;

  // Stores an endpoint's load report. Ignores reports older than the stored one
  // and reports of unknown endpoints.
  void UpdateLoadReport(const EndpointId& aEndpoint, LoadReport aReport);

  // Applies a batch from an endpoint's cache event feed. aNext is the sequence
  // number at which the next batch begins; a lower number than before means
  // that the endpoint has restarted.
  void ApplyCacheEvents(const EndpointId& aEndpoint,
                        const std::vector<CacheEvent>& aEvents,
                        std::uint64_t aNext);

  // Returns the sequence number from which to request an endpoint's next
  // events.
  std::uint64_t NextEventSequence(const EndpointId& aEndpoint) const;

  // Returns how many requests this router, one of aRouters, may have in flight
  // at all endpoints that serve a model or service together. Returns nothing if
  // no available endpoint serves it.
  std::optional<unsigned> Capacity(const std::string& aServes,
                                   bool aIsService,
                                   std::size_t aRouters,
                                   TimePoint aNow) const;

  std::vector<EndpointStatus> Status(TimePoint aNow) const;

  // Returns the estimates of the first aMaxCount endpoints.
  std::vector<CapacityStatus> Capacities(std::size_t aMaxCount,
                                         TimePoint aNow) const;

  // Returns the estimates that have changed much, of a few endpoints, and of
  // each endpoint rarely.
  std::vector<CapacityStatus> TakeCapacityChanges(TimePoint aNow);

private:
  struct TrackedEndpoint
  {
    Endpoint endpoint;
    // Counts the processes that had this id.
    std::uint64_t process = 0;
    bool isListed = true;
    bool announcedLeaving = false;
    std::uint32_t inFlight = 0;
    // Requests of this router started (1) and ended (-1) since the last report.
    std::deque<std::pair<TimePoint, int>> inFlightChanges;
    int inFlightChangeSinceReport = 0;
    // Uncached prompt tokens that were unprocessed at pendingPromptTokensAt.
    double pendingPromptTokens = 0;
    TimePoint pendingPromptTokensAt{};
    TimePoint busyUntil{};
    TimePoint blockedUntil{};
    CircuitBreaker breaker;
    PrefixCacheModel prefixes;
    // Sequence number of the endpoint's next cache event.
    std::uint64_t nextEvent = 0;
    std::optional<LoadReport> report;
    EndpointCapacity capacity;
    // Speed at speedAt; computed again when it is due.
    double speed = 1;
    TimePoint speedAt{};
    // Speed that TakeCapacityChanges has returned, and when.
    double returnedSpeed = 1;
    TimePoint returnedAt{};

    bool IsLeaving() const;
    double Slots() const;
    CapacityStatus ToCapacityStatus(TimePoint aNow) const;
  };

  struct Assignment
  {
    EndpointId endpoint;
    TimePoint since{};
    // TrackedEndpoint::process at the start of the request.
    std::uint64_t process = 0;
    // Prompt tokens that the endpoint has to process before its answer: its own
    // that are not cached, and those of earlier requests of this router.
    double promptTokens = 0;
    // The time until its answer is known.
    bool isTimed = false;
  };

  // A service's times, and the number of its endpoints.
  struct TrackedService
  {
    ServiceTimes times;
    std::size_t endpoints = 0;
  };
  // Name as in Endpoint::serves, and whether it is a service.
  using ServiceKey = std::pair<std::string, bool>;

  void UpdateServices();
  void Record(TrackedEndpoint& aTracked, TimeSample aSample, TimePoint aNow);
  void RecordLowerBound(TrackedEndpoint& aTracked,
                        const Assignment& aRequest,
                        TimePoint aNow);
  static double CurrentSpeed(TrackedEndpoint& aTracked, TimePoint aNow);

  static bool Serves(const TrackedEndpoint& aTracked, const Query& aQuery);
  bool IsEvacuated(const TrackedEndpoint& aTracked) const
  {
    return this->evacuatedZones.contains(aTracked.endpoint.zone);
  }
  bool CanServe(const TrackedEndpoint& aTracked, const Query& aQuery) const;
  double RemainingPromptTokens(const TrackedEndpoint& aTracked,
                               TimePoint aNow) const;
  Candidate MakeCandidate(TrackedEndpoint& aTracked,
                          const Query& aQuery,
                          TimePoint aNow) const;
  std::vector<TrackedEndpoint*> FindCandidates(const Query& aQuery,
                                               TimePoint aNow);
  void Assign(RequestNumber aRequest,
              TrackedEndpoint& aTracked,
              const Query& aQuery,
              double aUncachedTokens,
              TimePoint aNow);
  unsigned EndpointCapacity(const TrackedEndpoint& aTracked,
                            std::size_t aRouters,
                            TimePoint aNow) const;

  TableOptions options;
  ChoicePolicy policy;
  RandomSource random;
  std::map<EndpointId, TrackedEndpoint> endpoints;
  std::set<ZoneId> evacuatedZones;
  std::map<RequestNumber, Assignment> assignments;
  std::map<ServiceKey, TrackedService> services;
  // Moving average over all endpoints.
  double serviceSeconds = 1;
};

// ------------------------------------------------------------ overload

// Settings of a LoadShedder.
struct ShedderOptions
{
  // A process is overloaded if its tasks wait at least this long for their turn
  // throughout a window. A request waits for about ten turns.
  Duration targetDelay = std::chrono::milliseconds(15);
  // Its network link is overloaded if each of at least minConnects connections
  // to endpoints takes this long to open. The latency between regions is less.
  Duration targetConnectTime = std::chrono::milliseconds(150);
  unsigned minConnects = 4;
  // Samples in a window. A process that may use the processor only for a part
  // of each 100 ms waits at times, but not throughout a window.
  unsigned samplesPerWindow = 4;
  // A single sample of this delay is an overload without waiting for the end of
  // the window: such samples arrive late themselves.
  Duration severeDelay = std::chrono::milliseconds(250);
  // Factor of the accepted fraction after a window with overload, and after a
  // severe delay, and what is added to it after a window without overload.
  double decreaseFactor = 0.7;
  double severeDecreaseFactor = 0.5;
  double increaseStep = 0.03;
  // Fraction that is always accepted, so that the effect of accepting more can
  // be measured.
  double minFraction = 0.05;
};

// What a process measured since the last sample.
struct LoadSample
{
  // How long its tasks wait before they run.
  Duration taskDelay{};
  // Connections to endpoints that were opened or failed, and the shortest time
  // until then.
  unsigned connects = 0;
  Duration shortestConnect = Duration::max();
};

// Determines which fraction of new connections a process accepts. A process
// that takes up more than it can serve would answer all of it late.
class LoadShedder
{
public:
  explicit LoadShedder(ShedderOptions aOptions = {});

  // Adds a sample; returns the fraction of new connections to accept, from 0 to
  // 1.
  double Update(const LoadSample& aSample);

  // Returns whether to accept connections until the next sample: for that
  // fraction of the time.
  bool AcceptsConnections();

private:
  bool IsOverloaded() const;
  void Decrease(double aFactor);
  void StartWindow();

  ShedderOptions options;
  double fraction = 1;
  unsigned samples = 0;
  // Of the current window.
  LoadSample window;
  // Time that connections were accepted less than they should have been, in
  // samples.
  double acceptCredit = 0;
};

// Settings of a ReadinessGate.
struct ReadinessOptions
{
  // Accepted fraction below which a process is overloaded.
  double minFraction = 0.75;
  // How long it counts as overloaded after it was last below that.
  Duration recoveryTime = std::chrono::seconds(4);
  // How long it stays not ready after it was last overloaded. It is longer than
  // the recovery time, since the callers that caused the overload come back all
  // at once. It doubles, up to maxRestTime, if they cause one again within
  // resetTime.
  Duration firstRestTime = std::chrono::seconds(30);
  Duration maxRestTime = std::chrono::minutes(4);
  Duration resetTime = std::chrono::minutes(2);
};

// What a process tells others about its load.
struct Readiness
{
  // It takes no new callers from the entry addresses.
  bool isOverloaded = false;
  // It takes callers that keep to the first ready process of a fixed order.
  bool isReady = true;

  friend bool operator==(const Readiness&, const Readiness&) = default;
};

// Determines whether a process takes more callers. Callers that choose anew for
// each connection spread over all processes, so an overloaded one gets them
// again soon. Callers of a workspace that all keep to the first ready process
// move on together when it is not ready, until they reach one that can serve
// them all.
class ReadinessGate
{
public:
  explicit ReadinessGate(ReadinessOptions aOptions = {})
    : options(aOptions)
  {
  }

  // Adds the fraction of connections that is accepted now. aCanRest tells
  // whether other processes can take this one's callers; if not, it stays
  // ready.
  Readiness Update(double aFraction, bool aCanRest, TimePoint aNow);

private:
  ReadinessOptions options;
  bool isReady = true;
  std::optional<TimePoint> lastOverload;
  std::optional<TimePoint> readyAgainAt;
  Duration restTime{};
};

// ------------------------------------------------------------ admission

enum class Priority : std::uint8_t
{
  // A user waits for the response: short fault explanations, streamed chat.
  Interactive = 0,
  // Long summaries.
  Batch = 1
};

// Why a request was not admitted. It was not sent to any endpoint.
enum class AdmissionRefusal
{
  // The workspace or site has reached its limit of concurrent requests.
  WorkspaceLimit,
  // The queue is full, or the request waited in it for too long.
  Overloaded,
  // The response can no longer start before the request's deadline.
  Deadline
};

// A request for admission.
struct AdmissionRequest
{
  RequestNumber request;
  WorkspaceId workspace;
  SiteId site;
  // Name of the model or service, whose endpoints form the pool.
  std::string pool;
  Priority priority = Priority::Interactive;
  // Weight of the workspace in the fair division of capacity.
  unsigned weight = 1;
  // Most requests of the workspace, or of the site, in flight or queued.
  unsigned workspaceLimit = 256;
  std::optional<unsigned> siteLimit;
  // Time by which the response must start.
  std::optional<TimePoint> deadline;
};

// Result of a request for admission; admitted if there is no refusal.
struct AdmissionDecision
{
  RequestNumber request;
  std::optional<AdmissionRefusal> refusal;
};

// Settings of an Admission.
struct AdmissionOptions
{
  // Longest time in the queue.
  Duration maxWait = std::chrono::seconds(2);
  // Most requests queued for one pool.
  std::size_t maxQueued = 512;
  // While both priorities are queued, every batchTurnInterval-th admission goes
  // to a batch request, so that batch requests are slowed but not starved.
  unsigned batchTurnInterval = 8;
};

// Admits requests up to each pool's capacity. A workspace may use idle capacity
// beyond its fair share. When requests are queued, the next admission goes to
// the workspace with the fewest requests in flight relative to its weight.
class Admission
{
public:
  explicit Admission(AdmissionOptions aOptions = {});

  void SetOptions(AdmissionOptions aOptions) { this->options = aOptions; }

  // Sets a pool's limit of concurrent requests; without a value it has none.
  void SetCapacity(const std::string& aPool, std::optional<unsigned> aCapacity);

  // Admits or refuses a request at once, or queues it and returns nothing; Poll
  // then returns the decision.
  std::optional<AdmissionDecision> Admit(const AdmissionRequest& aRequest,
                                         TimePoint aNow);

  // Ends an admitted request or removes a queued one. Call it for every request
  // that was not refused.
  void Release(RequestNumber aRequest, TimePoint aNow);

  // Returns decisions on queued requests, due to free capacity or timeouts.
  std::vector<AdmissionDecision> Poll(TimePoint aNow);

  // Returns how many requests of a workspace are in flight or queued.
  std::size_t InFlightOrQueued(const WorkspaceId& aWorkspace) const;
  // Returns how many requests are queued for all pools together.
  std::size_t Queued() const;

private:
  struct QueuedRequest
  {
    AdmissionRequest admissionRequest;
    TimePoint expiresAt;
  };

  struct AdmittedRequest
  {
    std::string pool;
    WorkspaceId workspace;
    SiteId site;
    TimePoint since{};
  };

  // Non-empty queues of one priority, by workspace.
  using Queues = std::map<WorkspaceId, std::deque<QueuedRequest>>;

  struct Pool
  {
    std::optional<unsigned> capacity;
    unsigned inFlight = 0;
    std::map<WorkspaceId, unsigned> inFlightByWorkspace;
    std::array<Queues, 2> queues;
    std::array<std::size_t, 2> queued{};
    // Admissions decided while both priorities were queued.
    unsigned contendedTurns = 0;
    // Moving average of the time from admission to release.
    double meanOccupancySeconds = 0;

    bool HasCapacity() const;
    std::size_t Queued() const { return this->queued[0] + this->queued[1]; }
  };

  bool IsOverLimit(const AdmissionRequest& aRequest) const;
  bool MissesDeadline(const Pool& aPool,
                      const AdmissionRequest& aRequest,
                      TimePoint aNow) const;
  void AdjustCounts(const AdmissionRequest& aRequest, int aChange);
  void MarkAdmitted(Pool& aPool,
                    const AdmissionRequest& aRequest,
                    TimePoint aNow);
  bool EvictBatchRequest(Pool& aPool);
  QueuedRequest PopNext(Pool& aPool);
  void Expire(Pool& aPool, TimePoint aNow);
  bool RemoveQueued(RequestNumber aRequest);

  AdmissionOptions options;
  std::map<std::string, Pool> pools;
  std::map<RequestNumber, AdmittedRequest> admitted;
  std::map<RequestNumber, std::pair<std::string, Priority>> queuedRequests;
  // Requests in flight or queued, compared with the limits.
  std::map<WorkspaceId, unsigned> workspaceCounts;
  std::map<std::pair<WorkspaceId, SiteId>, unsigned> siteCounts;
  std::vector<AdmissionDecision> decisions;
};

} // namespace lycheestand::routing

#endif
