#include <algorithm>
#include <lycheestand/limits.h>

namespace lycheestand::limits {

namespace {

// Time after a router's report in which the list may not show yet that the
// endpoint is cold: the list lags by 0.8 s, and a reading of it takes up to
// 0.8 s.
constexpr Duration kListDelay = std::chrono::seconds(2);

// Time without a reading after which cold states end without one.
constexpr Duration kReadingLifetime = std::chrono::seconds(3);

} // namespace

ColdChanges
ColdTracker::Read(const std::vector<ListedEndpoint>& aEndpoints, TimePoint aNow)
{
  this->lastReading = aNow;
  ColdChanges changes;
  for (auto& [id, entry] : this->entries) {
    entry.isListed = false;
  }
  for (const auto& listed : aEndpoints) {
    Entry& entry = this->entries[listed.endpoint];
    const StartTime unknown;
    if (listed.startTime != unknown && entry.startTime != unknown &&
        listed.startTime != entry.startTime) {
      changes.restarted.push_back(listed.endpoint);
    }
    if (listed.startTime != unknown) {
      entry.startTime = listed.startTime;
    }
    entry.serves = listed.serves;
    entry.isListed = true;
    entry.listedUntil = aNow + listed.coldRemaining;
    if (aNow - entry.reportedAt >= kListDelay) {
      entry.reportedUntil = {};
    }
  }
  this->Update(aNow, changes);
  return changes;
}

ColdChanges
ColdTracker::Report(const EndpointId& aEndpoint,
                    RequestRate aRate,
                    Duration aRemaining,
                    TimePoint aNow)
{
  Entry& entry = this->entries[aEndpoint];
  entry.reportedAt = aNow;
  entry.reportedUntil = std::max(entry.reportedUntil, aNow + aRemaining);
  entry.reportedRate = aRate;
  ColdChanges changes;
  if (!entry.isCold && aRemaining > Duration(0)) {
    entry.isCold = true;
    changes.cold.push_back(aEndpoint);
  }
  return changes;
}

ColdChanges
ColdTracker::Expire(TimePoint aNow)
{
  ColdChanges changes;
  if (aNow - this->lastReading >= kReadingLifetime) {
    this->Update(aNow, changes);
  }
  return changes;
}

// An endpoint that has left the list stays cold until its time is over: its
// limit must not end before routers have removed it from their view.
void
ColdTracker::Update(TimePoint aNow, ColdChanges& aChanges)
{
  for (auto& [id, entry] : this->entries) {
    bool isCold = aNow < std::max(entry.listedUntil, entry.reportedUntil);
    if (isCold != entry.isCold) {
      (isCold ? aChanges.cold : aChanges.warm).push_back(id);
    }
    entry.isCold = isCold;
  }
  std::erase_if(this->entries, [](const auto& aEntry) {
    return !aEntry.second.isListed && !aEntry.second.isCold;
  });
}

bool
ColdTracker::IsCold(const EndpointId& aEndpoint) const
{
  auto found = this->entries.find(aEndpoint);
  return found != this->entries.end() && found->second.isCold;
}

std::size_t
ColdTracker::CountCold() const
{
  return static_cast<std::size_t>(std::count_if(
    this->entries.begin(), this->entries.end(), [](const auto& aEntry) {
      return aEntry.second.isCold;
    }));
}

Limits
ColdTracker::CurrentLimits() const
{
  Limits out;
  for (const auto& [id, entry] : this->entries) {
    if (!entry.isCold) {
      continue;
    }
    auto rule = this->rules.find(entry.serves);
    RequestRate rate =
      rule != this->rules.end() ? rule->second.rate : entry.reportedRate;
    if (rate > RequestRate(0)) {
      out[id] = rate;
    }
  }
  return out;
}

void
ColdTracker::Clear()
{
  this->entries.clear();
  this->lastReading = {};
}

} // namespace lycheestand::limits
