#include <algorithm>
#include <cmath>
#include <lycheestand/limits.h>

namespace lycheestand::limits {

namespace {

// A limit that differs by a smaller part from the known one is not reported:
// each report is sent on to all routers.
constexpr double kReportedChange = 0.05;

// Time for which an observation goes before what control says. By then control
// has sent the new limit, or another router has seen a newer one.
constexpr Duration kObservationTime = std::chrono::seconds(1);

// While control is out of contact, a router sends this part of what it was
// granted in the time before. Control may give its part to others meanwhile,
// and all of them together should stay within one and a half times the limit.
constexpr double kLocalFraction = 0.5;

// The same for a cold endpoint, whose bound is over one second instead of four,
// so that less of it is left for routers without control.
constexpr double kColdLocalFraction = 0.25;

// Time for which a request may be sent after its turn at a cold endpoint. A
// turn that is missed is lost: routers whose turns accumulated would all send
// at the same time when requests come.
constexpr Duration kColdTurn = std::chrono::milliseconds(250);

constexpr std::uint64_t kRandomSteps = 1U << 20;

constexpr Duration kGrantHistory = std::chrono::seconds(4);

bool
IsNearlyEqual(std::optional<RequestRate> aLeft,
              std::optional<RequestRate> aRight)
{
  if (!aLeft || !aRight) {
    return aLeft == aRight;
  }
  double difference = std::abs(aLeft->Get() - aRight->Get());
  return difference <= kReportedChange * aLeft->Get();
}

// Returns the time between two requests to a cold endpoint of a router without
// control that was granted this many a second.
Duration
ColdInterval(double aGrantedPerSecond)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
    1 / (kColdLocalFraction * aGrantedPerSecond)));
}

} // namespace

void
PermitQueue::SetLimits(const Limits& aLimits, TimePoint aNow)
{
  this->limits = aLimits;
  for (const auto& [endpoint, rate] : aLimits) {
    this->knownSince.try_emplace(endpoint, aNow);
  }
  std::erase_if(this->observations, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.time >= kObservationTime;
  });
  std::erase_if(this->knownSince, [this](const auto& aEntry) {
    return !this->limits.contains(aEntry.first) &&
           !this->observations.contains(aEntry.first);
  });
  std::erase_if(this->coldObservations, [aNow](const auto& aEntry) {
    return aNow >= aEntry.second.until;
  });
  std::erase_if(this->grants, [this](const auto& aEntry) {
    return !this->knownSince.contains(aEntry.first) &&
           !this->coldLimits.contains(aEntry.first) &&
           !this->coldObservations.contains(aEntry.first);
  });
}

void
PermitQueue::SetColdLimits(const Limits& aLimits)
{
  this->coldLimits = aLimits;
}

void
PermitQueue::AddColdLimits(const Limits& aLimits)
{
  for (const auto& [endpoint, rate] : aLimits) {
    this->coldLimits[endpoint] = rate;
  }
}

std::vector<WaitingRequest>
PermitQueue::SetSource(PermitSource aSource, TimePoint aNow)
{
  if (aSource == PermitSource::Local && this->source != aSource) {
    this->StartLocalAccounts(aNow);
  }
  this->source = aSource;
  std::vector<WaitingRequest> waiting;
  for (const auto& [endpoint, queue] : this->queues) {
    waiting.insert(waiting.end(), queue.waiting.begin(), queue.waiting.end());
  }
  this->queues.clear();
  return waiting;
}

void
PermitQueue::StartLocalAccounts(TimePoint aNow)
{
  this->local.clear();
  for (const auto& [endpoint, times] : this->grants) {
    auto recent =
      std::count_if(times.begin(), times.end(), [aNow](TimePoint aTime) {
        return aNow - aTime < kGrantHistory;
      });
    LocalAccount account;
    account.ratePerSecond =
      kLocalFraction * static_cast<double>(recent) / ToSeconds(kGrantHistory);
    account.updatedAt = aNow;
    account.nextColdSend = this->FirstColdSend(recent, aNow);
    this->local[endpoint] = account;
  }
}

// Many routers may lose control at the same time with the same number of
// grants, so the first turn is at random within the interval of turns.
TimePoint
PermitQueue::FirstColdSend(std::ptrdiff_t aGrants, TimePoint aNow) const
{
  if (aGrants == 0) {
    return TimePoint::max();
  }
  Duration interval =
    ColdInterval(static_cast<double>(aGrants) / ToSeconds(kGrantHistory));
  double part = this->random ? static_cast<double>(this->random(kRandomSteps)) /
                                 static_cast<double>(kRandomSteps)
                             : 1;
  return aNow + std::chrono::duration_cast<Duration>(interval * part);
}

bool
PermitQueue::Observe(const EndpointId& aEndpoint,
                     std::optional<RequestRate> aLimit,
                     TimePoint aSentAt,
                     TimePoint aNow)
{
  auto known = this->FindNamed(aEndpoint, aNow);
  if (IsNearlyEqual(known, aLimit)) {
    return false;
  }
  // An endpoint may have answered a request before it named its limit.
  auto since = this->knownSince.find(aEndpoint);
  if (!aLimit && since != this->knownSince.end() && aSentAt <= since->second) {
    return false;
  }
  this->observations[aEndpoint] = { aLimit, aNow };
  this->knownSince.try_emplace(aEndpoint, aNow);
  return true;
}

bool
PermitQueue::ObserveCold(const EndpointId& aEndpoint,
                         RequestRate aLimit,
                         Duration aRemaining,
                         TimePoint aNow)
{
  bool isNews = !this->FindCold(aEndpoint, aNow);
  auto found = this->coldObservations.find(aEndpoint);
  if (!isNews && found == this->coldObservations.end()) {
    return false;
  }
  // While control does not confirm it, an observation lasts for a short time
  // and is then reported again.
  TimePoint time = isNews ? aNow : found->second.time;
  this->coldObservations[aEndpoint] = { aLimit, time, aNow + aRemaining };
  return isNews;
}

std::optional<RequestRate>
PermitQueue::FindLimit(const EndpointId& aEndpoint, TimePoint aNow) const
{
  auto named = this->FindNamed(aEndpoint, aNow);
  auto cold = this->FindCold(aEndpoint, aNow);
  if (!named || !cold) {
    return named ? named : cold;
  }
  return std::min(*named, *cold);
}

// Without control, an observation lasts for the time that the endpoint gave.
std::optional<RequestRate>
PermitQueue::FindCold(const EndpointId& aEndpoint, TimePoint aNow) const
{
  auto found = this->coldLimits.find(aEndpoint);
  if (found != this->coldLimits.end()) {
    return found->second;
  }
  auto observed = this->coldObservations.find(aEndpoint);
  if (observed == this->coldObservations.end()) {
    return std::nullopt;
  }
  const ColdObservation& cold = observed->second;
  bool isRecent = this->source != PermitSource::Control ||
                  aNow - cold.time < kObservationTime;
  return isRecent && aNow < cold.until ? std::optional(cold.limit)
                                       : std::nullopt;
}

std::optional<RequestRate>
PermitQueue::FindNamed(const EndpointId& aEndpoint, TimePoint aNow) const
{
  auto observed = this->observations.find(aEndpoint);
  if (observed != this->observations.end() &&
      aNow - observed->second.time < kObservationTime) {
    return observed->second.limit;
  }
  auto found = this->limits.find(aEndpoint);
  return found == this->limits.end() ? std::nullopt
                                     : std::optional(found->second);
}

Limits
PermitQueue::KnownLimits(TimePoint aNow) const
{
  Limits out;
  for (const auto& [endpoint, since] : this->knownSince) {
    if (auto limit = this->FindNamed(endpoint, aNow)) {
      out[endpoint] = *limit;
    }
  }
  return out;
}

Limits
PermitQueue::KnownColdLimits(TimePoint aNow) const
{
  Limits out = this->coldLimits;
  for (const auto& [endpoint, observation] : this->coldObservations) {
    if (aNow < observation.until) {
      out.try_emplace(endpoint, observation.limit);
    }
  }
  return out;
}

bool
PermitQueue::NeedsPermit(const EndpointId& aEndpoint, TimePoint aNow) const
{
  return this->source != PermitSource::Unlimited &&
         this->FindLimit(aEndpoint, aNow).has_value();
}

bool
PermitQueue::TakeLocal(const EndpointId& aEndpoint, TimePoint aNow)
{
  auto found = this->local.find(aEndpoint);
  if (found == this->local.end()) {
    return false;
  }
  LocalAccount& account = found->second;
  if (this->FindCold(aEndpoint, aNow)) {
    return TakeLocalCold(account, aNow);
  }
  account.permits =
    std::min(1.0,
             account.permits +
               account.ratePerSecond * ToSeconds(aNow - account.updatedAt));
  account.updatedAt = aNow;
  if (account.permits < 1) {
    return false;
  }
  account.permits -= 1;
  return true;
}

bool
PermitQueue::TakeLocalCold(LocalAccount& aAccount, TimePoint aNow)
{
  if (aNow < aAccount.nextColdSend) {
    return false;
  }
  Duration interval = ColdInterval(aAccount.ratePerSecond / kLocalFraction);
  Duration late = (aNow - aAccount.nextColdSend) % interval;
  aAccount.nextColdSend = aNow - late + interval;
  return late < kColdTurn;
}

unsigned
PermitQueue::Add(const EndpointId& aEndpoint, WaitingRequest aRequest)
{
  Queue& queue = this->queues[aEndpoint];
  queue.waiting.push_back(aRequest);
  if (queue.requested > 0) {
    return 0;
  }
  queue.requested = static_cast<unsigned>(queue.waiting.size());
  return queue.requested;
}

// Requests that were added after permits were requested wait for the next
// reply, unless this one shows that there are none.
PermitDecision
PermitQueue::HandleReply(const EndpointId& aEndpoint,
                         unsigned aGranted,
                         TimePoint aNow)
{
  PermitDecision decision;
  auto found = this->queues.find(aEndpoint);
  if (found == this->queues.end()) {
    return decision;
  }
  Queue& queue = found->second;
  auto count = std::min<std::size_t>(aGranted, queue.waiting.size());
  auto end = queue.waiting.begin() + static_cast<std::ptrdiff_t>(count);
  decision.granted.assign(queue.waiting.begin(), end);
  queue.waiting.erase(queue.waiting.begin(), end);
  auto& times = this->grants[aEndpoint];
  times.insert(times.end(), count, aNow);
  while (!times.empty() && aNow - times.front() >= kGrantHistory) {
    times.pop_front();
  }
  if (aGranted < queue.requested) {
    decision.denied.assign(queue.waiting.begin(), queue.waiting.end());
    queue.waiting.clear();
  }
  queue.requested = static_cast<unsigned>(queue.waiting.size());
  decision.wanted = queue.requested;
  if (queue.waiting.empty()) {
    this->queues.erase(found);
  }
  return decision;
}

// The reply to the permits that were requested is still to come, so the queue
// stays.
bool
PermitQueue::Remove(const EndpointId& aEndpoint, WaitingRequest aRequest)
{
  auto found = this->queues.find(aEndpoint);
  return found != this->queues.end() &&
         std::erase(found->second.waiting, aRequest) > 0;
}

} // namespace lycheestand::limits
