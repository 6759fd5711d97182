#include <algorithm>
#include <lycheestand/membership.h>

namespace lycheestand::membership {

void
FailureDetector::Join(const InstanceId& aInstance, TimePoint aNow)
{
  auto [found, isNew] = this->instances.try_emplace(aInstance);
  if (isNew) {
    found->second.patience = this->options.suspectAfter;
  }
  found->second.lastHeartbeat = aNow;
  found->second.untrusted = 0;
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
  if (aNow - record.lastHeartbeat >= record.patience) {
    // It was suspected, and lives: the suspicion was false.
    record.untrusted = this->options.heartbeatsToTrust;
    record.patience =
      std::min(record.patience * 3 / 2, this->options.maxSuspectAfter);
    record.lastSuspicion = aNow;
  } else if (aNow - record.lastSuspicion >= this->options.calmTime) {
    record.patience = this->options.suspectAfter;
  }
  if (record.untrusted > 0) {
    --record.untrusted;
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
  Duration silence = aNow - record.lastHeartbeat;
  if (silence >= this->options.forgetAfter) {
    return Health::Gone;
  }
  return silence >= record.patience || record.untrusted > 0 ? Health::Suspect
                                                            : Health::Alive;
}

std::vector<InstanceId>
FailureDetector::Forget(TimePoint aNow)
{
  std::vector<InstanceId> gone;
  std::erase_if(this->instances, [&](const auto& aRecord) {
    bool isGone =
      aNow - aRecord.second.lastHeartbeat >= this->options.forgetAfter;
    if (isGone) {
      gone.push_back(aRecord.first);
    }
    return isGone;
  });
  return gone;
}

} // namespace lycheestand::membership
