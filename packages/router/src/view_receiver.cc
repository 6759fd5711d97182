#include "view_receiver.h"

namespace lycheestand::router {

namespace {

membership::ViewDelta
ToDelta(const wire::ViewPush& aPush)
{
  membership::ViewDelta delta;
  if (aPush.base > ViewVersion(0)) {
    delta.base = aPush.base;
  }
  delta.version = aPush.version;
  for (const auto& entry : aPush.instances) {
    delta.instances.push_back({ entry.instance,
                                entry.zone,
                                entry.callerAddress,
                                entry.inFlight,
                                entry.leaving,
                                entry.alive,
                                entry.peerAddress,
                                entry.overloaded });
  }
  for (const auto& entry : aPush.endpoints) {
    delta.endpoints.push_back({ entry.endpoint,
                                entry.zone,
                                entry.address,
                                entry.serves,
                                entry.isService,
                                entry.leaving,
                                entry.startTime,
                                entry.isCold,
                                entry.version });
  }
  delta.removedInstances = aPush.removedInstances;
  delta.removedEndpoints = aPush.removedEndpoints;
  return delta;
}

} // namespace

std::shared_ptr<const membership::View>
ViewReceiver::Apply(const wire::ViewPush& aPush)
{
  if (!this->view.Apply(ToDelta(aPush))) {
    return nullptr;
  }
  return std::make_shared<const membership::View>(this->view);
}

} // namespace lycheestand::router
