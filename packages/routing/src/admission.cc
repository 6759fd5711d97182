#include <algorithm>
#include <lycheestand/routing.h>

namespace lycheestand::routing {

namespace {

// Weight of the newest request in the moving average of the time from admission
// to release.
constexpr double kOccupancySmoothing = 0.05;

std::size_t
PriorityIndex(Priority aPriority)
{
  return static_cast<std::size_t>(aPriority);
}

void
AdjustCount(unsigned& aCount, int aChange)
{
  aCount = static_cast<unsigned>(static_cast<int>(aCount) + aChange);
}

} // namespace

Admission::Admission(AdmissionOptions aOptions)
  : options(aOptions)
{
}

bool
Admission::Pool::HasCapacity() const
{
  return !this->capacity || this->inFlight < *this->capacity;
}

void
Admission::SetCapacity(const std::string& aPool,
                       std::optional<unsigned> aCapacity)
{
  this->pools[aPool].capacity = aCapacity;
}

std::optional<AdmissionDecision>
Admission::Admit(const AdmissionRequest& aRequest, TimePoint aNow)
{
  auto refuse = [&](AdmissionRefusal aReason) {
    return AdmissionDecision{ aRequest.request, aReason };
  };
  if (this->IsOverLimit(aRequest)) {
    return refuse(AdmissionRefusal::WorkspaceLimit);
  }
  if (aRequest.deadline && *aRequest.deadline <= aNow) {
    return refuse(AdmissionRefusal::Deadline);
  }
  Pool& pool = this->pools[aRequest.pool];
  if (pool.Queued() == 0 && pool.HasCapacity()) {
    this->AdjustCounts(aRequest, 1);
    this->MarkAdmitted(pool, aRequest, aNow);
    return AdmissionDecision{ aRequest.request, std::nullopt };
  }
  if (this->MissesDeadline(pool, aRequest, aNow)) {
    return refuse(AdmissionRefusal::Deadline);
  }
  bool isFull = pool.Queued() >= this->options.maxQueued;
  if (isFull && (aRequest.priority == Priority::Batch ||
                 !this->EvictBatchRequest(pool))) {
    return refuse(AdmissionRefusal::Overloaded);
  }
  TimePoint expiresAt = aNow + this->options.maxWait;
  if (aRequest.deadline) {
    expiresAt = std::min(expiresAt, *aRequest.deadline);
  }
  this->AdjustCounts(aRequest, 1);
  std::size_t priorityIndex = PriorityIndex(aRequest.priority);
  pool.queues[priorityIndex][aRequest.workspace].push_back(
    { aRequest, expiresAt });
  ++pool.queued[priorityIndex];
  this->queuedRequests[aRequest.request] = { aRequest.pool, aRequest.priority };
  return std::nullopt;
}

// Queued requests count too, which bounds each workspace's queue.
bool
Admission::IsOverLimit(const AdmissionRequest& aRequest) const
{
  auto workspace = this->workspaceCounts.find(aRequest.workspace);
  if (workspace != this->workspaceCounts.end() &&
      workspace->second >= aRequest.workspaceLimit) {
    return true;
  }
  auto site = this->siteCounts.find({ aRequest.workspace, aRequest.site });
  return aRequest.siteLimit && site != this->siteCounts.end() &&
         site->second >= *aRequest.siteLimit;
}

// Compares the deadline with the expected wait: the time in which the pool
// releases enough requests to admit this one and those ahead of it.
bool
Admission::MissesDeadline(const Pool& aPool,
                          const AdmissionRequest& aRequest,
                          TimePoint aNow) const
{
  if (!aRequest.deadline) {
    return false;
  }
  double requestsAhead = static_cast<double>(aPool.queued[0]);
  if (aRequest.priority == Priority::Batch) {
    requestsAhead += static_cast<double>(aPool.queued[1]);
  }
  double capacity = std::max(1U, aPool.capacity.value_or(1));
  double wait = (requestsAhead + 1) * aPool.meanOccupancySeconds / capacity;
  return ToSeconds(*aRequest.deadline - aNow) < wait;
}

void
Admission::AdjustCounts(const AdmissionRequest& aRequest, int aChange)
{
  auto workspace =
    this->workspaceCounts.try_emplace(aRequest.workspace, 0).first;
  auto site =
    this->siteCounts.try_emplace({ aRequest.workspace, aRequest.site }, 0)
      .first;
  AdjustCount(workspace->second, aChange);
  AdjustCount(site->second, aChange);
  if (workspace->second == 0) {
    this->workspaceCounts.erase(workspace);
  }
  if (site->second == 0) {
    this->siteCounts.erase(site);
  }
}

void
Admission::MarkAdmitted(Pool& aPool,
                        const AdmissionRequest& aRequest,
                        TimePoint aNow)
{
  ++aPool.inFlight;
  ++aPool.inFlightByWorkspace[aRequest.workspace];
  this->admitted[aRequest.request] = {
    aRequest.pool, aRequest.workspace, aRequest.site, aNow
  };
}

// Refuses the newest batch request of the workspace with the most of them
// queued. Returns whether there was one.
bool
Admission::EvictBatchRequest(Pool& aPool)
{
  Queues& queues = aPool.queues[PriorityIndex(Priority::Batch)];
  auto largestQueue = std::max_element(
    queues.begin(), queues.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.size() < aRight.second.size();
    });
  if (largestQueue == queues.end()) {
    return false;
  }
  RequestNumber request = largestQueue->second.back().admissionRequest.request;
  this->RemoveQueued(request);
  this->decisions.push_back({ request, AdmissionRefusal::Overloaded });
  return true;
}

Admission::QueuedRequest
Admission::PopNext(Pool& aPool)
{
  bool hasBoth = aPool.queued[0] > 0 && aPool.queued[1] > 0;
  std::size_t priorityIndex = aPool.queued[0] > 0 ? 0 : 1;
  if (hasBoth &&
      ++aPool.contendedTurns % this->options.batchTurnInterval == 0) {
    priorityIndex = 1;
  }
  Queues& queues = aPool.queues[priorityIndex];
  auto weightedLoad = [&](const auto& aQueue) {
    auto found = aPool.inFlightByWorkspace.find(aQueue.first);
    double inFlight =
      found == aPool.inFlightByWorkspace.end() ? 0 : found->second;
    return (inFlight + 1) / aQueue.second.front().admissionRequest.weight;
  };
  auto next = std::min_element(
    queues.begin(), queues.end(), [&](const auto& aLeft, const auto& aRight) {
      return weightedLoad(aLeft) < weightedLoad(aRight);
    });
  QueuedRequest taken = std::move(next->second.front());
  next->second.pop_front();
  if (next->second.empty()) {
    queues.erase(next);
  }
  --aPool.queued[priorityIndex];
  this->queuedRequests.erase(taken.admissionRequest.request);
  return taken;
}

void
Admission::Release(RequestNumber aRequest, TimePoint aNow)
{
  if (this->RemoveQueued(aRequest)) {
    return;
  }
  auto found = this->admitted.find(aRequest);
  if (found == this->admitted.end()) {
    return;
  }
  AdmittedRequest request = std::move(found->second);
  this->admitted.erase(found);
  Pool& pool = this->pools[request.pool];
  --pool.inFlight;
  auto inFlight = pool.inFlightByWorkspace.find(request.workspace);
  if (--inFlight->second == 0) {
    pool.inFlightByWorkspace.erase(inFlight);
  }
  double occupancySeconds = ToSeconds(aNow - request.since);
  pool.meanOccupancySeconds +=
    kOccupancySmoothing * (occupancySeconds - pool.meanOccupancySeconds);
  AdmissionRequest admissionRequest;
  admissionRequest.workspace = request.workspace;
  admissionRequest.site = request.site;
  this->AdjustCounts(admissionRequest, -1);
}

// Returns whether the request was queued.
bool
Admission::RemoveQueued(RequestNumber aRequest)
{
  auto position = this->queuedRequests.find(aRequest);
  if (position == this->queuedRequests.end()) {
    return false;
  }
  Pool& pool = this->pools[position->second.first];
  std::size_t priorityIndex = PriorityIndex(position->second.second);
  this->queuedRequests.erase(position);
  for (auto& [workspace, queue] : pool.queues[priorityIndex]) {
    auto found = std::find_if(
      queue.begin(), queue.end(), [&](const QueuedRequest& aQueued) {
        return aQueued.admissionRequest.request == aRequest;
      });
    if (found != queue.end()) {
      this->AdjustCounts(found->admissionRequest, -1);
      queue.erase(found);
      --pool.queued[priorityIndex];
      break;
    }
  }
  std::erase_if(pool.queues[priorityIndex],
                [](const auto& aQueue) { return aQueue.second.empty(); });
  return true;
}

void
Admission::Expire(Pool& aPool, TimePoint aNow)
{
  std::vector<AdmissionDecision> expired;
  for (const auto& queues : aPool.queues) {
    for (const auto& [workspace, queue] : queues) {
      for (const auto& queued : queue) {
        if (queued.expiresAt > aNow) {
          continue;
        }
        bool isLate = queued.admissionRequest.deadline &&
                      *queued.admissionRequest.deadline <= queued.expiresAt;
        expired.push_back({ queued.admissionRequest.request,
                            isLate ? AdmissionRefusal::Deadline
                                   : AdmissionRefusal::Overloaded });
      }
    }
  }
  for (const auto& decision : expired) {
    this->RemoveQueued(decision.request);
    this->decisions.push_back(decision);
  }
}

std::vector<AdmissionDecision>
Admission::Poll(TimePoint aNow)
{
  for (auto& [name, pool] : this->pools) {
    if (pool.Queued() == 0) {
      continue;
    }
    this->Expire(pool, aNow);
    while (pool.Queued() > 0 && pool.HasCapacity()) {
      QueuedRequest next = this->PopNext(pool);
      this->MarkAdmitted(pool, next.admissionRequest, aNow);
      this->decisions.push_back(
        { next.admissionRequest.request, std::nullopt });
    }
  }
  return std::exchange(this->decisions, {});
}

std::size_t
Admission::InFlightOrQueued(const WorkspaceId& aWorkspace) const
{
  auto found = this->workspaceCounts.find(aWorkspace);
  return found == this->workspaceCounts.end() ? 0 : found->second;
}

std::size_t
Admission::Queued() const
{
  return this->queuedRequests.size();
}

} // namespace lycheestand::routing
