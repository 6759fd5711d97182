#include "stream_support.h"

namespace lycheestand::control {

StreamSupportTracker::StreamSupportTracker(InstanceId aSelf, TimePoint aNow)
  : self(std::move(aSelf))
  , startedAt(aNow)
{
}

// The process at the other end may be a new one, of another build.
void
StreamSupportTracker::LinkUp(const InstanceId& aInstance)
{
  this->linked[aInstance].reset();
  this->lostAt.erase(aInstance);
}

void
StreamSupportTracker::ContactLost(const InstanceId& aInstance, TimePoint aNow)
{
  this->linked.erase(aInstance);
  this->lostAt[aInstance] = aNow;
}

void
StreamSupportTracker::Record(const InstanceId& aInstance, bool aIsSupported)
{
  this->linked[aInstance] = aIsSupported;
}

StreamSupport
StreamSupportTracker::Find(const consensus::Configuration& aMembers,
                           TimePoint aNow) const
{
  auto result = StreamSupport::Complete;
  for (const auto* members : { &aMembers.voters, &aMembers.learners }) {
    for (const auto& member : *members) {
      auto support = this->FindFor(member.instance, aNow);
      if (support == StreamSupport::Missing) {
        return support;
      }
      if (support == StreamSupport::Unknown) {
        result = support;
      }
    }
  }
  return result;
}

// A member out of contact does not count: its machine may be gone for good, and
// the versions would never be told apart. The timeout keeps an instance that
// has just started, or whose link is being reopened, from taking a running
// member for one.
StreamSupport
StreamSupportTracker::FindFor(const InstanceId& aInstance, TimePoint aNow) const
{
  if (aInstance == this->self) {
    return StreamSupport::Complete;
  }
  auto link = this->linked.find(aInstance);
  if (link != this->linked.end()) {
    if (!link->second) {
      return StreamSupport::Unknown;
    }
    return *link->second ? StreamSupport::Complete : StreamSupport::Missing;
  }
  auto lost = this->lostAt.find(aInstance);
  TimePoint since = lost == this->lostAt.end() ? this->startedAt : lost->second;
  return aNow - since < kContactTimeout ? StreamSupport::Unknown
                                        : StreamSupport::Complete;
}

} // namespace lycheestand::control
