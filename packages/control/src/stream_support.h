#ifndef LYCHEESTAND_CONTROL_SRC_STREAM_SUPPORT_H
#define LYCHEESTAND_CONTROL_SRC_STREAM_SUPPORT_H

#include <lycheestand/consensus.h>
#include <lycheestand/core.h>
#include <map>
#include <optional>

namespace lycheestand::control {

// Whether the members of the control group apply the commands about streams.
enum class StreamSupport
{
  // A member may be of a build that stops at them.
  Unknown,
  // A member in contact is of such a build.
  Missing,
  Complete
};

// Finds out from links and messages which instances apply the commands about
// streams.
class StreamSupportTracker
{
public:
  // Time without a link after which a member is out of contact.
  static constexpr Duration kContactTimeout = std::chrono::seconds(1);

  StreamSupportTracker(InstanceId aSelf, TimePoint aNow);

  // A link with an instance has opened.
  void LinkUp(const InstanceId& aInstance);

  // The last link with an instance has closed.
  void ContactLost(const InstanceId& aInstance, TimePoint aNow);

  // Records what a message of a linked instance tells.
  void Record(const InstanceId& aInstance, bool aIsSupported);

  StreamSupport Find(const consensus::Configuration& aMembers,
                     TimePoint aNow) const;

private:
  StreamSupport FindFor(const InstanceId& aInstance, TimePoint aNow) const;

  InstanceId self;
  TimePoint startedAt;
  // Linked instances, with what their last message has told.
  std::map<InstanceId, std::optional<bool>> linked;
  std::map<InstanceId, TimePoint> lostAt;
};

} // namespace lycheestand::control

#endif
