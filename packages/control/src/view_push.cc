#include "view_push.h"

namespace lycheestand::control {

// A view of 3,200 instances takes about 240 KB, so each link gets the complete
// view once and then only changes.
wire::ViewPush
MakeViewPush(const membership::View& aView, ViewVersion aSent)
{
  auto delta = aView.DeltaSince(aSent);
  wire::ViewPush push;
  push.version = delta.version;
  push.base = delta.base.value_or(ViewVersion(0));
  for (const auto& entry : delta.instances) {
    push.instances.push_back({ entry.instance,
                               entry.zone,
                               entry.callerAddress,
                               entry.inFlight,
                               entry.leaving,
                               entry.alive,
                               entry.peerAddress,
                               entry.overloaded });
  }
  for (const auto& entry : delta.endpoints) {
    push.endpoints.push_back({ entry.endpoint,
                               entry.zone,
                               entry.address,
                               entry.serves,
                               entry.isService,
                               entry.leaving,
                               entry.startTime,
                               entry.isCold,
                               entry.version });
  }
  push.removedInstances = std::move(delta.removedInstances);
  push.removedEndpoints = std::move(delta.removedEndpoints);
  return push;
}

} // namespace lycheestand::control
