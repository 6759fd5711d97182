#ifndef LYCHEESTAND_CONTROL_SRC_DIAL_PLAN_H
#define LYCHEESTAND_CONTROL_SRC_DIAL_PLAN_H

#include <lycheestand/core.h>
#include <map>
#include <utility>
#include <vector>

namespace lycheestand::control {

// Decides when this control instance opens a link to another one. Of two
// members of the group, the one with the lower id does, so that a pair normally
// has one link; the other one does if that takes too long. An instance that is
// not a member opens all its links, because the members do not know it.
class DialPlan
{
public:
  explicit DialPlan(InstanceId aSelf);

  // Sets the instances to which links are wanted.
  void SetTargets(std::map<InstanceId, Address> aTargets);

  // Reports that a link with an instance has opened or closed, whichever side
  // opened it.
  void LinkUp(const InstanceId& aInstance);
  void LinkDown(const InstanceId& aInstance, TimePoint aNow);

  // Reports that an attempt that TakeDue returned has ended, with a link or
  // without.
  void DialEnded(const InstanceId& aInstance, TimePoint aNow);

  // Returns the links to open now. Each counts as an attempt until DialEnded.
  std::vector<std::pair<InstanceId, Address>> TakeDue(TimePoint aNow,
                                                      bool aIsMember);

private:
  struct Peer
  {
    unsigned links = 0;
    bool isDialing = false;
    TimePoint lastChange;
  };

  InstanceId self;
  std::map<InstanceId, Address> targets;
  std::map<InstanceId, Peer> peers;
};

} // namespace lycheestand::control

#endif
