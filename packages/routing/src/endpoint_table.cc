#include <algorithm>
#include <lycheestand/routing.h>

namespace lycheestand::routing {

namespace {

// Weight of the newest request in the moving average of the service time.
constexpr double kServiceTimeSmoothing = 0.05;

// Bounds the memory for an endpoint that sends no reports.
constexpr std::size_t kMaxInFlightChanges = 4096;

// Requests queued at an endpoint beyond its slots, as a fraction of the slots,
// so that a freed slot is refilled without a round trip to the router.
constexpr double kQueuedPerSlot = 0.25;

// Interval at which an endpoint's speed is computed again. The exponentials
// would otherwise be a large part of the cost of a choice.
constexpr Duration kSpeedInterval = std::chrono::milliseconds(100);

// A speed that differs from the last returned one by this factor is a change.
// An endpoint's changes are returned at most once in the interval, and those of
// so many endpoints at a time, which bounds the log.
constexpr double kSpeedChange = 1.5;
constexpr Duration kSpeedChangeInterval = std::chrono::seconds(10);
constexpr std::size_t kMaxSpeedChanges = 4;

void
RecordInFlightChange(std::deque<std::pair<TimePoint, int>>& aChanges,
                     int& aSum,
                     int aChange,
                     TimePoint aNow)
{
  aChanges.emplace_back(aNow, aChange);
  aSum += aChange;
  if (aChanges.size() > kMaxInFlightChanges) {
    aSum -= aChanges.front().second;
    aChanges.pop_front();
  }
}

// Returns whether another process has taken over an endpoint's id: its address
// has changed, or the time of its start or its version has.
bool
IsOtherProcess(const Endpoint& aKnown, const Endpoint& aListed)
{
  const StartTime unknown;
  const SoftwareVersion unnamed;
  return aKnown.address != aListed.address ||
         (aKnown.startTime != unknown && aListed.startTime != unknown &&
          aKnown.startTime != aListed.startTime) ||
         (aKnown.version != unnamed && aListed.version != unnamed &&
          aKnown.version != aListed.version);
}

} // namespace

EndpointTable::EndpointTable(TableOptions aOptions,
                             ChoicePolicy aPolicy,
                             RandomSource aRandom)
  : options(std::move(aOptions))
  , policy(std::move(aPolicy))
  , random(std::move(aRandom))
{
}

bool
EndpointTable::TrackedEndpoint::IsLeaving() const
{
  return !this->isListed || this->endpoint.leaving || this->announcedLeaving ||
         (this->report && this->report->leaving);
}

// Returns 0 if the slots are unknown.
double
EndpointTable::TrackedEndpoint::Slots() const
{
  return this->report ? this->report->slots : 0;
}

CapacityStatus
EndpointTable::TrackedEndpoint::ToCapacityStatus(TimePoint aNow) const
{
  double speed = this->capacity.MeasuredSpeed(aNow);
  return { this->endpoint.endpoint,
           this->endpoint.serves,
           speed,
           this->Slots() > 0 ? InFlightLimit(this->Slots(), speed) : 0,
           this->returnedSpeed };
}

void
EndpointTable::SetEndpoints(const std::vector<Endpoint>& aEndpoints)
{
  for (auto& [id, tracked] : this->endpoints) {
    tracked.isListed = false;
  }
  for (const auto& endpoint : aEndpoints) {
    auto [found, isNew] = this->endpoints.try_emplace(endpoint.endpoint);
    TrackedEndpoint& tracked = found->second;
    if (isNew || IsOtherProcess(tracked.endpoint, endpoint)) {
      ++tracked.process;
      tracked.announcedLeaving = false;
      tracked.blockedUntil = {};
      tracked.busyUntil = {};
      tracked.pendingPromptTokens = 0;
      tracked.report.reset();
      tracked.breaker = CircuitBreaker(this->options.breaker);
      tracked.prefixes = PrefixCacheModel(this->options.prefixesPerEndpoint);
      tracked.nextEvent = 0;
      tracked.capacity = {};
      tracked.speedAt = {};
    }
    StartTime startTime = endpoint.startTime == StartTime()
                            ? tracked.endpoint.startTime
                            : endpoint.startTime;
    tracked.endpoint = endpoint;
    tracked.endpoint.startTime = startTime;
    tracked.isListed = true;
  }
  std::erase_if(this->endpoints, [](const auto& aTracked) {
    return !aTracked.second.isListed && aTracked.second.inFlight == 0;
  });
  this->UpdateServices();
}

// Forgets services without endpoints, so that the number of services is bounded
// by that of endpoints.
void
EndpointTable::UpdateServices()
{
  for (auto& [key, service] : this->services) {
    service.endpoints = 0;
  }
  for (const auto& [id, tracked] : this->endpoints) {
    ServiceKey key(tracked.endpoint.serves, tracked.endpoint.isService);
    auto found =
      this->services
        .try_emplace(std::move(key),
                     TrackedService{
                       ServiceTimes(this->options.promptTokensPerSecond), 0 })
        .first;
    ++found->second.endpoints;
  }
  std::erase_if(this->services, [](const auto& aService) {
    return aService.second.endpoints == 0;
  });
}

double
EndpointTable::CurrentSpeed(TrackedEndpoint& aTracked, TimePoint aNow)
{
  if (aNow - aTracked.speedAt >= kSpeedInterval ||
      aTracked.speedAt == TimePoint{}) {
    aTracked.speed = aTracked.capacity.Speed(aNow);
    aTracked.speedAt = aNow;
  }
  return aTracked.speed;
}

void
EndpointTable::Record(TrackedEndpoint& aTracked,
                      TimeSample aSample,
                      TimePoint aNow)
{
  auto service = this->services.find(
    { aTracked.endpoint.serves, aTracked.endpoint.isService });
  if (service == this->services.end()) {
    return;
  }
  if (aTracked.Slots() > 0 &&
      aNow - aTracked.report->measuredAt <= this->options.reportLifetime) {
    aSample.runningPerSlot = aTracked.report->running / aTracked.Slots();
    aSample.queuedPerSlot = aTracked.report->queued / aTracked.Slots();
  }
  service->second.times.Record(
    aTracked.capacity, aSample, service->second.endpoints, aNow);
  aTracked.speedAt = {};
}

void
EndpointTable::RecordTime(RequestNumber aRequest,
                          TimedPart aPart,
                          Duration aTime,
                          TimePoint aNow)
{
  auto found = this->assignments.find(aRequest);
  if (found == this->assignments.end()) {
    return;
  }
  auto endpoint = this->endpoints.find(found->second.endpoint);
  if (endpoint == this->endpoints.end()) {
    return;
  }
  found->second.isTimed = true;
  this->Record(endpoint->second,
               { .part = aPart,
                 .seconds = ToSeconds(aTime),
                 .promptTokens = found->second.promptTokens },
               aNow);
}

// A request that has ended without an answer would have taken at least as long
// as it waited.
void
EndpointTable::RecordLowerBound(TrackedEndpoint& aTracked,
                                const Assignment& aRequest,
                                TimePoint aNow)
{
  if (!aRequest.isTimed) {
    this->Record(aTracked,
                 { .seconds = ToSeconds(aNow - aRequest.since),
                   .promptTokens = aRequest.promptTokens,
                   .isLowerBound = true },
                 aNow);
  }
}

bool
EndpointTable::IsEvacuated(const EndpointId& aEndpoint) const
{
  auto found = this->endpoints.find(aEndpoint);
  return found != this->endpoints.end() && this->IsEvacuated(found->second);
}

// An endpoint serves the model in the endpoint list and every model that it
// reports as loaded.
bool
EndpointTable::Serves(const TrackedEndpoint& aTracked, const Query& aQuery)
{
  const auto& endpoint = aTracked.endpoint;
  bool servesModel =
    endpoint.serves == aQuery.serves ||
    (aTracked.report && aTracked.report->models.contains(aQuery.serves));
  bool hasVersion = !aQuery.version || endpoint.version == *aQuery.version;
  return servesModel && endpoint.isService == aQuery.isService && hasVersion &&
         !aTracked.IsLeaving();
}

// Without any endpoint of the service, the list may not have been received yet.
bool
EndpointTable::LacksVersion(const Query& aQuery) const
{
  Query anyVersion = aQuery;
  anyVersion.version.reset();
  bool hasEndpoint = false;
  for (const auto& [id, tracked] : this->endpoints) {
    if (Serves(tracked, aQuery)) {
      return false;
    }
    hasEndpoint |= Serves(tracked, anyVersion);
  }
  return hasEndpoint;
}

bool
EndpointTable::CanServe(const TrackedEndpoint& aTracked,
                        const Query& aQuery) const
{
  bool runsPrefill = !aTracked.report || aTracked.report->runsPrefill;
  return Serves(aTracked, aQuery) && runsPrefill &&
         !this->IsEvacuated(aTracked) &&
         aTracked.inFlight < this->options.maxInFlight &&
         !aQuery.excluded.contains(aTracked.endpoint.endpoint);
}

double
EndpointTable::RemainingPromptTokens(const TrackedEndpoint& aTracked,
                                     TimePoint aNow) const
{
  double done = ToSeconds(aNow - aTracked.pendingPromptTokensAt) *
                this->options.promptTokensPerSecond;
  return std::max(0.0, aTracked.pendingPromptTokens - done);
}

Candidate
EndpointTable::MakeCandidate(TrackedEndpoint& aTracked,
                             const Query& aQuery,
                             TimePoint aNow) const
{
  Candidate out;
  out.endpoint = &aTracked.endpoint.endpoint;
  out.ownInFlight = aTracked.inFlight;
  out.ownChangeSinceReport = aTracked.inFlightChangeSinceReport;
  out.ownPendingPromptTokens = this->RemainingPromptTokens(aTracked, aNow);
  out.cachedTokens = aTracked.prefixes.ExpectedCachedTokens(aQuery.prefix);
  out.isSameZone = aTracked.endpoint.zone == this->options.zone;
  out.isBusy = aNow < aTracked.busyUntil;
  out.serviceSeconds = this->serviceSeconds;
  out.isCold = aTracked.endpoint.isCold;
  out.speed = CurrentSpeed(aTracked, aNow);
  if (aTracked.report) {
    const auto& report = *aTracked.report;
    out.hasReport = true;
    out.reportAgeSeconds = std::max(0.0, ToSeconds(aNow - report.measuredAt));
    out.reportedRequests = static_cast<double>(report.running) + report.queued;
    out.slots = std::max(1U, report.slots);
    out.isLoaded =
      report.models.empty() || report.models.contains(aQuery.serves);
  }
  return out;
}

// Ignores the circuit breakers if they block every endpoint: a request that may
// fail is better than a certain refusal.
std::vector<EndpointTable::TrackedEndpoint*>
EndpointTable::FindCandidates(const Query& aQuery, TimePoint aNow)
{
  std::vector<TrackedEndpoint*> allowed;
  std::vector<TrackedEndpoint*> blocked;
  for (auto& [id, tracked] : this->endpoints) {
    if (this->CanServe(tracked, aQuery) && tracked.blockedUntil <= aNow) {
      (tracked.breaker.Allows(aNow) ? allowed : blocked).push_back(&tracked);
    }
  }
  return allowed.empty() ? blocked : allowed;
}

std::optional<Choice>
EndpointTable::Choose(RequestNumber aRequest,
                      const Query& aQuery,
                      TimePoint aNow)
{
  auto available = this->FindCandidates(aQuery, aNow);
  if (available.empty()) {
    return std::nullopt;
  }
  auto service = this->services.find({ aQuery.serves, aQuery.isService });
  double usualSeconds =
    service == this->services.end() ? 0 : service->second.times.UsualSeconds();
  std::vector<Candidate> candidates;
  candidates.reserve(available.size());
  for (auto* tracked : available) {
    candidates.push_back(this->MakeCandidate(*tracked, aQuery, aNow));
    candidates.back().usualSeconds = usualSeconds;
  }
  std::size_t index = this->policy(aQuery, candidates, this->random);
  double uncachedTokens = static_cast<double>(aQuery.promptTokens.Get()) -
                          candidates[index].cachedTokens;
  this->Assign(aRequest, *available[index], aQuery, uncachedTokens, aNow);
  const auto& chosen = available[index]->endpoint;
  const Candidate& best = candidates[index];
  return Choice{ chosen.endpoint,
                 chosen.address,
                 { candidates.size(),
                   best.ownInFlight,
                   best.hasReport,
                   best.reportedRequests,
                   best.reportAgeSeconds,
                   best.cachedTokens,
                   best.speed,
                   best.hasReport ? InFlightLimit(best.slots, best.speed) : 0 },
                 chosen.version };
}

void
EndpointTable::Assign(RequestNumber aRequest,
                      TrackedEndpoint& aTracked,
                      const Query& aQuery,
                      double aUncachedTokens,
                      TimePoint aNow)
{
  aTracked.pendingPromptTokens = this->RemainingPromptTokens(aTracked, aNow) +
                                 std::max(0.0, aUncachedTokens);
  aTracked.pendingPromptTokensAt = aNow;
  ++aTracked.inFlight;
  RecordInFlightChange(
    aTracked.inFlightChanges, aTracked.inFlightChangeSinceReport, 1, aNow);
  aTracked.breaker.Begin(aNow);
  aTracked.prefixes.RecordRequest(aQuery.prefix);
  this->assignments[aRequest] = { aTracked.endpoint.endpoint,
                                  aNow,
                                  aTracked.process,
                                  aTracked.pendingPromptTokens };
}

void
EndpointTable::Finish(RequestNumber aRequest, Outcome aOutcome, TimePoint aNow)
{
  auto found = this->assignments.find(aRequest);
  if (found == this->assignments.end()) {
    return;
  }
  Assignment request = std::move(found->second);
  this->assignments.erase(found);
  auto endpoint = this->endpoints.find(request.endpoint);
  if (endpoint == this->endpoints.end()) {
    return;
  }
  TrackedEndpoint& tracked = endpoint->second;
  --tracked.inFlight;
  RecordInFlightChange(
    tracked.inFlightChanges, tracked.inFlightChangeSinceReport, -1, aNow);
  // The end of a request to an earlier process says nothing about this one.
  if (request.process != tracked.process) {
    return;
  }
  switch (aOutcome) {
    case Outcome::Succeeded:
      tracked.breaker.Succeed(aNow);
      this->serviceSeconds +=
        kServiceTimeSmoothing *
        (ToSeconds(aNow - request.since) - this->serviceSeconds);
      break;
    case Outcome::Failed:
      tracked.breaker.Fail(aNow);
      this->RecordLowerBound(tracked, request, aNow);
      break;
    case Outcome::Busy:
      tracked.busyUntil = aNow + this->options.busyTime;
      tracked.breaker.Abandon();
      break;
    case Outcome::Abandoned:
      tracked.breaker.Abandon();
      this->RecordLowerBound(tracked, request, aNow);
      break;
  }
}

// The time until now was not spent at the endpoint.
void
EndpointTable::Withdraw(RequestNumber aRequest, TimePoint aNow)
{
  auto found = this->assignments.find(aRequest);
  if (found != this->assignments.end()) {
    found->second.isTimed = true;
    this->Finish(aRequest, Outcome::Abandoned, aNow);
  }
}

void
EndpointTable::SetLeaving(const EndpointId& aEndpoint)
{
  auto found = this->endpoints.find(aEndpoint);
  if (found != this->endpoints.end()) {
    found->second.announcedLeaving = true;
  }
}

void
EndpointTable::Block(const EndpointId& aEndpoint, TimePoint aUntil)
{
  auto found = this->endpoints.find(aEndpoint);
  if (found != this->endpoints.end()) {
    TimePoint& until = found->second.blockedUntil;
    until = std::max(until, aUntil);
  }
}

Duration
EndpointTable::RemainingBlock(const Query& aQuery, TimePoint aNow) const
{
  Duration remaining{};
  for (const auto& [id, tracked] : this->endpoints) {
    Duration left = tracked.blockedUntil - aNow;
    if (left > Duration(0) && this->CanServe(tracked, aQuery)) {
      remaining = remaining == Duration(0) ? left : std::min(remaining, left);
    }
  }
  return remaining;
}

void
EndpointTable::UpdateLoadReport(const EndpointId& aEndpoint, LoadReport aReport)
{
  auto found = this->endpoints.find(aEndpoint);
  if (found == this->endpoints.end()) {
    return;
  }
  TrackedEndpoint& tracked = found->second;
  // Reports may arrive out of order.
  if (tracked.report && aReport.measuredAt < tracked.report->measuredAt) {
    return;
  }
  while (!tracked.inFlightChanges.empty() &&
         tracked.inFlightChanges.front().first <= aReport.measuredAt) {
    tracked.inFlightChangeSinceReport -= tracked.inFlightChanges.front().second;
    tracked.inFlightChanges.pop_front();
  }
  if (aReport.pace) {
    tracked.capacity.ObservePace(*aReport.pace, aReport.measuredAt);
    tracked.speedAt = {};
  }
  tracked.report = std::move(aReport);
}

void
EndpointTable::ApplyCacheEvents(const EndpointId& aEndpoint,
                                const std::vector<CacheEvent>& aEvents,
                                std::uint64_t aNext)
{
  auto found = this->endpoints.find(aEndpoint);
  if (found == this->endpoints.end()) {
    return;
  }
  PrefixCacheModel& prefixes = found->second.prefixes;
  // A lower sequence number means that the endpoint has restarted.
  if (aNext < found->second.nextEvent) {
    prefixes.Clear();
  }
  found->second.nextEvent = aNext;
  for (const auto& event : aEvents) {
    prefixes.ApplyEvent(event);
  }
  prefixes.AdvanceSequence(aNext);
}

std::uint64_t
EndpointTable::NextEventSequence(const EndpointId& aEndpoint) const
{
  auto found = this->endpoints.find(aEndpoint);
  return found == this->endpoints.end() ? 0 : found->second.nextEvent;
}

// Free slots are divided evenly among the routers, in addition to the requests
// that each router already has in flight. Without a recent report, only the
// configured limit applies.
unsigned
EndpointTable::EndpointCapacity(const TrackedEndpoint& aTracked,
                                std::size_t aRouters,
                                TimePoint aNow) const
{
  if (!aTracked.report || aTracked.report->slots == 0 ||
      aNow - aTracked.report->measuredAt > this->options.reportLifetime) {
    return this->options.maxInFlight;
  }
  const auto& report = *aTracked.report;
  // Requests that wait at a slow endpoint wait longer, so fewer may.
  double limit = InFlightLimit(report.slots, aTracked.capacity.Speed(aNow));
  double freeCapacity = report.slots + limit * kQueuedPerSlot - report.running -
                        report.queued - aTracked.inFlightChangeSinceReport;
  double share =
    freeCapacity / static_cast<double>(std::max<std::size_t>(1, aRouters));
  double capacity =
    aTracked.inFlight + (freeCapacity > 0 ? std::max(1.0, share) : share);
  return static_cast<unsigned>(
    std::clamp(capacity, 1.0, static_cast<double>(this->options.maxInFlight)));
}

std::optional<unsigned>
EndpointTable::Capacity(const std::string& aServes,
                        bool aIsService,
                        std::size_t aRouters,
                        TimePoint aNow) const
{
  std::optional<unsigned> sum;
  for (const auto& [id, tracked] : this->endpoints) {
    if (tracked.endpoint.serves == aServes &&
        tracked.endpoint.isService == aIsService && !tracked.IsLeaving() &&
        !this->IsEvacuated(tracked) &&
        tracked.breaker.GetState(aNow) != CircuitBreaker::State::Open) {
      sum = sum.value_or(0) + this->EndpointCapacity(tracked, aRouters, aNow);
    }
  }
  return sum;
}

std::vector<CapacityStatus>
EndpointTable::Capacities(std::size_t aMaxCount, TimePoint aNow) const
{
  std::vector<CapacityStatus> out;
  for (const auto& [id, tracked] : this->endpoints) {
    if (out.size() == aMaxCount) {
      break;
    }
    out.push_back(tracked.ToCapacityStatus(aNow));
  }
  return out;
}

std::vector<CapacityStatus>
EndpointTable::TakeCapacityChanges(TimePoint aNow)
{
  std::vector<CapacityStatus> out;
  for (auto& [id, tracked] : this->endpoints) {
    if (out.size() == kMaxSpeedChanges) {
      break;
    }
    if (aNow - tracked.returnedAt < kSpeedChangeInterval) {
      continue;
    }
    double change =
      tracked.capacity.MeasuredSpeed(aNow) / tracked.returnedSpeed;
    if (change >= kSpeedChange || change <= 1 / kSpeedChange) {
      out.push_back(tracked.ToCapacityStatus(aNow));
      tracked.returnedSpeed = out.back().speed;
      tracked.returnedAt = aNow;
    }
  }
  return out;
}

std::vector<EndpointStatus>
EndpointTable::Status(TimePoint aNow) const
{
  std::vector<EndpointStatus> out;
  for (const auto& [id, tracked] : this->endpoints) {
    out.push_back({ tracked.endpoint,
                    tracked.inFlight,
                    tracked.IsLeaving(),
                    this->IsEvacuated(tracked),
                    tracked.breaker.GetState(aNow),
                    tracked.prefixes.Size(),
                    tracked.report,
                    tracked.capacity.Speed(aNow),
                    0 });
    if (tracked.Slots() > 0) {
      out.back().limit = InFlightLimit(tracked.Slots(), out.back().speed);
    }
  }
  return out;
}

} // namespace lycheestand::routing
