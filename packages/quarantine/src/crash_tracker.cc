#include <algorithm>
#include <lycheestand/quarantine.h>

namespace lycheestand::quarantine {

std::vector<PromptPartId>
FindParts(const std::vector<PromptPartId>& aParts, const Parts& aSet)
{
  std::vector<PromptPartId> found;
  std::copy_if(aParts.begin(),
               aParts.end(),
               std::back_inserter(found),
               [&aSet](PromptPartId aPart) { return aSet.contains(aPart); });
  return found;
}

CrashTracker::Crash&
CrashTracker::FindOrAddCrash(const EndpointId& aEndpoint,
                             TimePoint aTime,
                             TimePoint aLearntAt)
{
  auto same = std::find_if(
    this->crashes.begin(), this->crashes.end(), [&](const Crash& aCrash) {
      return aCrash.endpoint == aEndpoint &&
             aCrash.time - aTime < this->options.reportTime &&
             aTime - aCrash.time < this->options.reportTime;
    });
  if (same != this->crashes.end()) {
    return *same;
  }
  if (this->crashes.size() >= this->options.maxCrashes) {
    this->crashes.erase(this->crashes.begin());
  }
  auto later =
    std::find_if(this->crashes.begin(),
                 this->crashes.end(),
                 [aTime](const Crash& aCrash) { return aCrash.time > aTime; });
  return *this->crashes.insert(later, Crash{ aEndpoint, aTime, aLearntAt, {} });
}

void
CrashTracker::AddCrash(const EndpointId& aEndpoint,
                       const std::vector<PromptPartId>& aParts,
                       TimePoint aTime,
                       TimePoint aLearntAt)
{
  Crash& crash = this->FindOrAddCrash(aEndpoint, aTime, aLearntAt);
  for (std::size_t position = 0; position < aParts.size(); ++position) {
    crash.parts.emplace(aParts[position], position);
  }
  for (auto part : aParts) {
    auto quarantine = this->quarantines.find(part);
    if (quarantine != this->quarantines.end()) {
      quarantine->second =
        std::max(quarantine->second, crash.time + this->options.quarantineTime);
    }
  }
}

void
CrashTracker::AddSuccess(const std::vector<PromptPartId>& aParts,
                         TimePoint aTime)
{
  for (auto part : aParts) {
    TimePoint& last = this->successes[part];
    last = std::max(last, aTime);
  }
}

void
CrashTracker::AddQuarantined(PromptPartId aPart, TimePoint aTime)
{
  this->quarantines[aPart] = aTime + this->options.quarantineTime;
}

void
CrashTracker::DropExpired(TimePoint aNow)
{
  auto oldest = aNow - this->options.crashLifetime;
  std::erase_if(this->crashes, [oldest](const Crash& aCrash) {
    return aCrash.time <= oldest;
  });
  std::erase_if(this->successes, [oldest](const auto& aEntry) {
    return aEntry.second <= oldest;
  });
  std::erase_if(this->quarantines,
                [aNow](const auto& aEntry) { return aEntry.second <= aNow; });
}

bool
CrashTracker::IsExplained(const Crash& aCrash) const
{
  return std::any_of(
    aCrash.parts.begin(), aCrash.parts.end(), [this](const auto& aPart) {
      return this->quarantines.contains(aPart.first);
    });
}

CrashTracker::EvidenceByPart
CrashTracker::CollectEvidence() const
{
  EvidenceByPart evidence;
  for (const auto& crash : this->crashes) {
    if (this->IsExplained(crash)) {
      continue;
    }
    for (const auto& [part, position] : crash.parts) {
      auto success = this->successes.find(part);
      if (success != this->successes.end() && success->second >= crash.time) {
        continue;
      }
      Evidence& found = evidence[part];
      found.position = std::max(found.position, position);
      if (found.crashes == 0) {
        found.knownSince = crash.learntAt;
      } else if (crash.time - found.last < this->options.minCrashInterval) {
        continue;
      }
      found.knownSince = std::min(found.knownSince, crash.learntAt);
      found.last = crash.time;
      ++found.crashes;
    }
  }
  return evidence;
}

// Returns the part that explains most crashes, if that is enough for a
// quarantine. Of several, it is the one that comes last in the prompts, since
// fewer requests share it.
std::optional<PromptPartId>
CrashTracker::FindCulprit(const EvidenceByPart& aEvidence, TimePoint aNow) const
{
  const EvidenceByPart::value_type* worst = nullptr;
  bool isTied = false;
  for (const auto& entry : aEvidence) {
    const Evidence& found = entry.second;
    if (worst == nullptr || found.crashes > worst->second.crashes) {
      worst = &entry;
      isTied = false;
    } else if (found.crashes == worst->second.crashes) {
      isTied = true;
      worst = found.position > worst->second.position ? &entry : worst;
    }
  }
  if (worst == nullptr) {
    return std::nullopt;
  }
  std::size_t needed =
    isTied ? this->options.minCrashesIfTied : this->options.minCrashes;
  bool isDue = worst->second.crashes >= needed &&
               aNow - worst->second.knownSince >= this->options.observationTime;
  return isDue ? std::optional(worst->first) : std::nullopt;
}

// Quarantines one part at a time, so that the parts that only accompany it are
// no longer suspected.
std::vector<PromptPartId>
CrashTracker::Update(TimePoint aNow)
{
  this->DropExpired(aNow);
  std::vector<PromptPartId> added;
  auto evidence = this->CollectEvidence();
  while (auto culprit = this->FindCulprit(evidence, aNow)) {
    added.push_back(*culprit);
    this->quarantines[*culprit] = aNow + this->options.quarantineTime;
    evidence = this->CollectEvidence();
  }
  this->lists = {};
  for (const auto& [part, found] : evidence) {
    this->lists.suspects.insert(part);
  }
  for (const auto& [part, end] : this->quarantines) {
    this->lists.quarantined.insert(part);
  }
  return added;
}

std::size_t
CrashTracker::CountCrashes(PromptPartId aPart) const
{
  return static_cast<std::size_t>(std::count_if(
    this->crashes.begin(), this->crashes.end(), [aPart](const Crash& aCrash) {
      return aCrash.parts.contains(aPart);
    }));
}

} // namespace lycheestand::quarantine
