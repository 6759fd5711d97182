#include <algorithm>
#include <lycheestand/membership.h>

namespace lycheestand::membership {

void
FailureDetector::Join(const InstanceId& aInstance, TimePoint aNow)
{
  auto [found, isNew] = this->instances.try_emplace(aInstance);
  if (isNew) {
    found->second.suspicionTimeout = this->options.suspectAfter;
  }
  found->second.lastHeartbeat = aNow;
  found->second.heartbeatsUntilTrusted = 0;
}

void
FailureDetector::Heartbeat(const InstanceId& aInstance, TimePoint aNow)
{
  auto found = this->instances.find(aInstance);
  if (found == this->instances.end()) {
    this->Join(aInstance, aNow);
    return;
  }
  Record& record = found->second;
  if (aNow - record.lastHeartbeat >= record.suspicionTimeout) {
    // The instance was suspected but is alive, so the suspicion was false.
    record.heartbeatsUntilTrusted = this->options.heartbeatsToTrust;
    record.suspicionTimeout =
      std::min(record.suspicionTimeout * 3 / 2, this->options.maxSuspectAfter);
    record.lastFalseSuspicion = aNow;
  } else if (aNow - record.lastFalseSuspicion >=
             this->options.resetExtensionAfter) {
    record.suspicionTimeout = this->options.suspectAfter;
  }
  if (record.heartbeatsUntilTrusted > 0) {
    --record.heartbeatsUntilTrusted;
  }
  record.lastHeartbeat = aNow;
}

Health
FailureDetector::GetHealth(const InstanceId& aInstance, TimePoint aNow) const
{
  auto found = this->instances.find(aInstance);
  if (found == this->instances.end()) {
    return Health::Gone;
  }
  const Record& record = found->second;
  Duration sinceHeartbeat = aNow - record.lastHeartbeat;
  if (sinceHeartbeat >= this->options.removeAfter) {
    return Health::Gone;
  }
  return sinceHeartbeat >= record.suspicionTimeout ||
             record.heartbeatsUntilTrusted > 0
           ? Health::Suspect
           : Health::Alive;
}

std::vector<InstanceId>
FailureDetector::RemoveExpired(TimePoint aNow)
{
  std::vector<InstanceId> gone;
  std::erase_if(this->instances, [&](const auto& aRecord) {
    bool isGone =
      aNow - aRecord.second.lastHeartbeat >= this->options.removeAfter;
    if (isGone) {
      gone.push_back(aRecord.first);
    }
    return isGone;
  });
  return gone;
}

} // namespace lycheestand::membership
