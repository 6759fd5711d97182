#include <algorithm>
#include <lycheestand/routing.h>

namespace lycheestand::routing {

namespace {

// Weight of the newest request in the mean service time.
constexpr double kServiceWeight = 0.05;

// Changes kept for an endpoint whose reports stay away.
constexpr std::size_t kMostChanges = 4096;

// A router keeps a few requests more at an endpoint than fit its slots, so that
// a slot that becomes free is filled without a round trip.
constexpr double kQueuePerSlot = 0.25;

void
NoteChange(std::deque<std::pair<TimePoint, int>>& aChanges,
           int& aSum,
           int aChange,
           TimePoint aNow)
{
  aChanges.emplace_back(aNow, aChange);
  aSum += aChange;
  if (aChanges.size() > kMostChanges) {
    aSum -= aChanges.front().second;
    aChanges.pop_front();
  }
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
EndpointTable::Known::IsLeaving() const
{
  return !this->isListed || this->endpoint.leaving || this->saidLeaving ||
         (this->report && this->report->leaving);
}

void
EndpointTable::SetEndpoints(const std::vector<Endpoint>& aEndpoints)
{
  for (auto& [id, known] : this->endpoints) {
    known.isListed = false;
  }
  for (const auto& endpoint : aEndpoints) {
    auto [found, isNew] = this->endpoints.try_emplace(endpoint.endpoint);
    Known& known = found->second;
    // An address that changed is another process under the same name.
    if (isNew || known.endpoint.address != endpoint.address) {
      known.saidLeaving = false;
      known.report.reset();
      known.breaker = CircuitBreaker(this->options.breaker);
      known.prefixes = PrefixMap(this->options.prefixesPerEndpoint);
      known.nextEvent = 0;
    }
    known.endpoint = endpoint;
    known.isListed = true;
  }
  std::erase_if(this->endpoints, [](const auto& aKnown) {
    return !aKnown.second.isListed && aKnown.second.inFlight == 0;
  });
}

// An endpoint that reports another set of loaded models than the list names
// can serve each of them.
bool
EndpointTable::CanServe(const Known& aKnown, const Query& aQuery) const
{
  bool isNamed =
    aKnown.endpoint.serves == aQuery.serves ||
    (aKnown.report && aKnown.report->models.contains(aQuery.serves));
  bool takesPrompts = !aKnown.report || aKnown.report->takesPrompts;
  return isNamed && aKnown.endpoint.isService == aQuery.isService &&
         takesPrompts && !aKnown.IsLeaving() &&
         aKnown.inFlight < this->options.maxInFlight &&
         !aQuery.excluded.contains(aKnown.endpoint.endpoint);
}

double
EndpointTable::WorkLeft(const Known& aKnown, TimePoint aNow) const
{
  double done =
    ToSeconds(aNow - aKnown.workAt) * this->options.promptTokensPerSecond;
  return std::max(0.0, aKnown.workTokens - done);
}

Candidate
EndpointTable::Describe(const Known& aKnown,
                        const Query& aQuery,
                        TimePoint aNow) const
{
  Candidate out;
  out.endpoint = &aKnown.endpoint.endpoint;
  out.ownInFlight = aKnown.inFlight;
  out.ownSinceReport = aKnown.changeSum;
  out.ownWorkTokens = this->WorkLeft(aKnown, aNow);
  out.cachedTokens = aKnown.prefixes.ExpectTokens(aQuery.prefix);
  out.isSameZone = aKnown.endpoint.zone == this->options.zone;
  out.isBusy = aNow < aKnown.busyUntil;
  out.serviceSeconds = this->serviceSeconds;
  if (aKnown.report) {
    const auto& report = *aKnown.report;
    out.hasReport = true;
    out.ageSeconds = std::max(0.0, ToSeconds(aNow - report.takenAt));
    out.reported = static_cast<double>(report.running) + report.queued;
    out.slots = std::max(1U, report.slots);
    out.isLoaded =
      report.models.empty() || report.models.contains(aQuery.serves);
  }
  return out;
}

// If breakers keep all endpoints away, none is spared: a request that may fail
// is better than a refusal for certain.
std::vector<EndpointTable::Known*>
EndpointTable::FindCandidates(const Query& aQuery, TimePoint aNow)
{
  std::vector<Known*> allowed;
  std::vector<Known*> spared;
  for (auto& [id, known] : this->endpoints) {
    if (this->CanServe(known, aQuery)) {
      (known.breaker.Allows(aNow) ? allowed : spared).push_back(&known);
    }
  }
  return allowed.empty() ? spared : allowed;
}

std::optional<Choice>
EndpointTable::Choose(RequestNumber aRequest,
                      const Query& aQuery,
                      TimePoint aNow)
{
  auto known = this->FindCandidates(aQuery, aNow);
  if (known.empty()) {
    return std::nullopt;
  }
  std::vector<Candidate> candidates;
  candidates.reserve(known.size());
  for (const auto* each : known) {
    candidates.push_back(this->Describe(*each, aQuery, aNow));
  }
  std::size_t index = this->policy(aQuery, candidates, this->random);
  double work = static_cast<double>(aQuery.promptTokens.Get()) -
                candidates[index].cachedTokens;
  this->Assign(aRequest, *known[index], aQuery, work, aNow);
  const auto& chosen = known[index]->endpoint;
  const Candidate& best = candidates[index];
  return Choice{ chosen.endpoint,
                 chosen.address,
                 { candidates.size(),
                   best.ownInFlight,
                   best.hasReport,
                   best.reported,
                   best.ageSeconds,
                   best.cachedTokens } };
}

void
EndpointTable::Assign(RequestNumber aRequest,
                      Known& aKnown,
                      const Query& aQuery,
                      double aWorkTokens,
                      TimePoint aNow)
{
  aKnown.workTokens = this->WorkLeft(aKnown, aNow) + std::max(0.0, aWorkTokens);
  aKnown.workAt = aNow;
  ++aKnown.inFlight;
  NoteChange(aKnown.changes, aKnown.changeSum, 1, aNow);
  aKnown.breaker.Begin(aNow);
  aKnown.prefixes.LearnRequest(aQuery.prefix);
  this->assigned[aRequest] = { aKnown.endpoint.endpoint, aNow };
}

void
EndpointTable::Finish(RequestNumber aRequest,
                      Outcome aOutcome,
                      bool aLeaving,
                      TimePoint aNow)
{
  auto found = this->assigned.find(aRequest);
  if (found == this->assigned.end()) {
    return;
  }
  Assigned request = std::move(found->second);
  this->assigned.erase(found);
  auto at = this->endpoints.find(request.endpoint);
  if (at == this->endpoints.end()) {
    return;
  }
  Known& known = at->second;
  --known.inFlight;
  NoteChange(known.changes, known.changeSum, -1, aNow);
  known.saidLeaving |= aLeaving;
  switch (aOutcome) {
    case Outcome::Succeeded:
      known.breaker.Succeed(aNow);
      this->serviceSeconds +=
        kServiceWeight *
        (ToSeconds(aNow - request.since) - this->serviceSeconds);
      break;
    case Outcome::Failed:
      known.breaker.Fail(aNow);
      break;
    case Outcome::Busy:
      known.busyUntil = aNow + this->options.busyTime;
      known.breaker.Abandon();
      break;
    case Outcome::Abandoned:
      known.breaker.Abandon();
      break;
  }
}

void
EndpointTable::LearnReport(const EndpointId& aEndpoint, LoadReport aReport)
{
  auto found = this->endpoints.find(aEndpoint);
  if (found == this->endpoints.end()) {
    return;
  }
  Known& known = found->second;
  // Reports may overtake each other.
  if (known.report && aReport.takenAt < known.report->takenAt) {
    return;
  }
  while (!known.changes.empty() &&
         known.changes.front().first <= aReport.takenAt) {
    known.changeSum -= known.changes.front().second;
    known.changes.pop_front();
  }
  known.report = std::move(aReport);
}

void
EndpointTable::LearnEvents(const EndpointId& aEndpoint,
                           const std::vector<CacheEvent>& aEvents,
                           std::uint64_t aNext)
{
  auto found = this->endpoints.find(aEndpoint);
  if (found == this->endpoints.end()) {
    return;
  }
  PrefixMap& prefixes = found->second.prefixes;
  // Numbers that go back mean that the endpoint has restarted.
  if (aNext < found->second.nextEvent) {
    prefixes.Clear();
  }
  found->second.nextEvent = aNext;
  for (const auto& event : aEvents) {
    prefixes.LearnEvent(event);
  }
  prefixes.LearnNext(aNext);
}

std::uint64_t
EndpointTable::NextEvent(const EndpointId& aEndpoint) const
{
  auto found = this->endpoints.find(aEndpoint);
  return found == this->endpoints.end() ? 0 : found->second.nextEvent;
}

// What is free at the endpoint is divided among the routers; each can count on
// what it holds already. Without a fresh report only the limit counts.
unsigned
EndpointTable::CapacityOf(const Known& aKnown,
                          std::size_t aRouters,
                          TimePoint aNow) const
{
  if (!aKnown.report || aKnown.report->slots == 0 ||
      aNow - aKnown.report->takenAt > this->options.reportLifetime) {
    return this->options.maxInFlight;
  }
  const auto& report = *aKnown.report;
  double room = report.slots * (1 + kQueuePerSlot) - report.running -
                report.queued - aKnown.changeSum;
  double share = room / static_cast<double>(std::max<std::size_t>(1, aRouters));
  double capacity = aKnown.inFlight + (room > 0 ? std::max(1.0, share) : share);
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
  for (const auto& [id, known] : this->endpoints) {
    if (known.endpoint.serves == aServes &&
        known.endpoint.isService == aIsService && !known.IsLeaving() &&
        known.breaker.GetState(aNow) != CircuitBreaker::State::Open) {
      sum = sum.value_or(0) + this->CapacityOf(known, aRouters, aNow);
    }
  }
  return sum;
}

std::vector<EndpointStatus>
EndpointTable::Status(TimePoint aNow) const
{
  std::vector<EndpointStatus> out;
  for (const auto& [id, known] : this->endpoints) {
    out.push_back({ known.endpoint,
                    known.inFlight,
                    known.IsLeaving(),
                    known.breaker.GetState(aNow),
                    known.prefixes.Size(),
                    known.report });
  }
  return out;
}

} // namespace lycheestand::routing
