#include <algorithm>
#include <lycheestand/routing.h>

namespace lycheestand::routing {

namespace {

// Weight of the newest request in the mean time for which a turn is held.
constexpr double kHoldWeight = 0.05;

std::size_t
ClassOf(Priority aPriority)
{
  return static_cast<std::size_t>(aPriority);
}

void
AddTo(unsigned& aCount, int aChange)
{
  aCount = static_cast<unsigned>(static_cast<int>(aCount) + aChange);
}

} // namespace

Admission::Admission(AdmissionOptions aOptions)
  : options(aOptions)
{
}

bool
Admission::Pool::HasRoom() const
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
Admission::Admit(const Ask& aAsk, TimePoint aNow)
{
  auto refuse = [&](AdmissionRefusal aReason) {
    return AdmissionDecision{ aAsk.request, aReason };
  };
  if (this->IsOverLimit(aAsk)) {
    return refuse(AdmissionRefusal::WorkspaceLimit);
  }
  if (aAsk.deadline && *aAsk.deadline <= aNow) {
    return refuse(AdmissionRefusal::Deadline);
  }
  Pool& pool = this->pools[aAsk.pool];
  if (pool.Queued() == 0 && pool.HasRoom()) {
    this->Count(aAsk, 1);
    this->Enter(pool, aAsk, aNow);
    return AdmissionDecision{ aAsk.request, std::nullopt };
  }
  if (this->IsTooLate(pool, aAsk, aNow)) {
    return refuse(AdmissionRefusal::Deadline);
  }
  bool isFull = pool.Queued() >= this->options.maxQueued;
  if (isFull &&
      (aAsk.priority == Priority::Batch || !this->DisplaceBatch(pool))) {
    return refuse(AdmissionRefusal::Overloaded);
  }
  TimePoint giveUp = aNow + this->options.maxWait;
  if (aAsk.deadline) {
    giveUp = std::min(giveUp, *aAsk.deadline);
  }
  this->Count(aAsk, 1);
  std::size_t order = ClassOf(aAsk.priority);
  pool.queues[order][aAsk.workspace].push_back({ aAsk, giveUp });
  ++pool.queued[order];
  this->waiting[aAsk.request] = { aAsk.pool, aAsk.priority };
  return std::nullopt;
}

// Requests that wait count too, which bounds each workspace's queue.
bool
Admission::IsOverLimit(const Ask& aAsk) const
{
  auto workspace = this->ofWorkspace.find(aAsk.workspace);
  if (workspace != this->ofWorkspace.end() &&
      workspace->second >= aAsk.workspaceLimit) {
    return true;
  }
  auto site = this->ofSite.find({ aAsk.workspace, aAsk.site });
  return aAsk.siteLimit && site != this->ofSite.end() &&
         site->second >= *aAsk.siteLimit;
}

// Compares the deadline with the expected wait: those that are served earlier
// take their turns at the pace at which turns become free.
bool
Admission::IsTooLate(const Pool& aPool, const Ask& aAsk, TimePoint aNow) const
{
  if (!aAsk.deadline) {
    return false;
  }
  double before = static_cast<double>(aPool.queued[0]);
  if (aAsk.priority == Priority::Batch) {
    before += static_cast<double>(aPool.queued[1]);
  }
  double turns = std::max(1U, aPool.capacity.value_or(1));
  double wait = (before + 1) * aPool.holdSeconds / turns;
  return ToSeconds(*aAsk.deadline - aNow) < wait;
}

void
Admission::Count(const Ask& aAsk, int aChange)
{
  auto workspace = this->ofWorkspace.try_emplace(aAsk.workspace, 0).first;
  auto site = this->ofSite.try_emplace({ aAsk.workspace, aAsk.site }, 0).first;
  AddTo(workspace->second, aChange);
  AddTo(site->second, aChange);
  if (workspace->second == 0) {
    this->ofWorkspace.erase(workspace);
  }
  if (site->second == 0) {
    this->ofSite.erase(site);
  }
}

void
Admission::Enter(Pool& aPool, const Ask& aAsk, TimePoint aNow)
{
  ++aPool.inFlight;
  ++aPool.inFlightOf[aAsk.workspace];
  this->held[aAsk.request] = { aAsk.pool, aAsk.workspace, aAsk.site, aNow };
}

// Refuses the newest batch request of the workspace with the most of them.
bool
Admission::DisplaceBatch(Pool& aPool)
{
  Queues& queues = aPool.queues[ClassOf(Priority::Batch)];
  auto longest = std::max_element(
    queues.begin(), queues.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.size() < aRight.second.size();
    });
  if (longest == queues.end()) {
    return false;
  }
  RequestNumber request = longest->second.back().ask.request;
  this->Withdraw(request);
  this->decided.push_back({ request, AdmissionRefusal::Overloaded });
  return true;
}

Admission::Waiting
Admission::TakeNext(Pool& aPool)
{
  bool hasBoth = aPool.queued[0] > 0 && aPool.queued[1] > 0;
  std::size_t order = aPool.queued[0] > 0 ? 0 : 1;
  if (hasBoth && ++aPool.turn % this->options.batchTurn == 0) {
    order = 1;
  }
  Queues& queues = aPool.queues[order];
  auto share = [&](const auto& aQueue) {
    auto found = aPool.inFlightOf.find(aQueue.first);
    double inFlight = found == aPool.inFlightOf.end() ? 0 : found->second;
    return (inFlight + 1) / aQueue.second.front().ask.weight;
  };
  auto next = std::min_element(
    queues.begin(), queues.end(), [&](const auto& aLeft, const auto& aRight) {
      return share(aLeft) < share(aRight);
    });
  Waiting taken = std::move(next->second.front());
  next->second.pop_front();
  if (next->second.empty()) {
    queues.erase(next);
  }
  --aPool.queued[order];
  this->waiting.erase(taken.ask.request);
  return taken;
}

void
Admission::Release(RequestNumber aRequest, TimePoint aNow)
{
  if (this->Withdraw(aRequest)) {
    return;
  }
  auto found = this->held.find(aRequest);
  if (found == this->held.end()) {
    return;
  }
  Held request = std::move(found->second);
  this->held.erase(found);
  Pool& pool = this->pools[request.pool];
  --pool.inFlight;
  auto inFlight = pool.inFlightOf.find(request.workspace);
  if (--inFlight->second == 0) {
    pool.inFlightOf.erase(inFlight);
  }
  double hold = ToSeconds(aNow - request.since);
  pool.holdSeconds += kHoldWeight * (hold - pool.holdSeconds);
  Ask ask;
  ask.workspace = request.workspace;
  ask.site = request.site;
  this->Count(ask, -1);
}

// Returns whether the request was waiting.
bool
Admission::Withdraw(RequestNumber aRequest)
{
  auto place = this->waiting.find(aRequest);
  if (place == this->waiting.end()) {
    return false;
  }
  Pool& pool = this->pools[place->second.first];
  std::size_t order = ClassOf(place->second.second);
  this->waiting.erase(place);
  for (auto& [workspace, queue] : pool.queues[order]) {
    auto found =
      std::find_if(queue.begin(), queue.end(), [&](const Waiting& aWaiting) {
        return aWaiting.ask.request == aRequest;
      });
    if (found != queue.end()) {
      this->Count(found->ask, -1);
      queue.erase(found);
      --pool.queued[order];
      break;
    }
  }
  std::erase_if(pool.queues[order],
                [](const auto& aQueue) { return aQueue.second.empty(); });
  return true;
}

void
Admission::Expire(Pool& aPool, TimePoint aNow)
{
  std::vector<AdmissionDecision> expired;
  for (const auto& queues : aPool.queues) {
    for (const auto& [workspace, queue] : queues) {
      for (const auto& waiting : queue) {
        if (waiting.giveUp > aNow) {
          continue;
        }
        bool isLate =
          waiting.ask.deadline && *waiting.ask.deadline <= waiting.giveUp;
        expired.push_back({ waiting.ask.request,
                            isLate ? AdmissionRefusal::Deadline
                                   : AdmissionRefusal::Overloaded });
      }
    }
  }
  for (const auto& decision : expired) {
    this->Withdraw(decision.request);
    this->decided.push_back(decision);
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
    while (pool.Queued() > 0 && pool.HasRoom()) {
      Waiting next = this->TakeNext(pool);
      this->Enter(pool, next.ask, aNow);
      this->decided.push_back({ next.ask.request, std::nullopt });
    }
  }
  return std::exchange(this->decided, {});
}

std::size_t
Admission::InFlight(const WorkspaceId& aWorkspace) const
{
  auto found = this->ofWorkspace.find(aWorkspace);
  return found == this->ofWorkspace.end() ? 0 : found->second;
}

std::size_t
Admission::Queued() const
{
  return this->waiting.size();
}

} // namespace lycheestand::routing
