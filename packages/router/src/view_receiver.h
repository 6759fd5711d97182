#ifndef LYCHEESTAND_ROUTER_SRC_VIEW_RECEIVER_H
#define LYCHEESTAND_ROUTER_SRC_VIEW_RECEIVER_H

#include <lycheestand/membership.h>
#include <lycheestand/wire.h>
#include <memory>

namespace lycheestand::router {

// Assembles the full view of the fleet from the deltas that control sends on a
// link.
class ViewReceiver
{
public:
  // Discards the view; on a new link control first sends a full view.
  void Reset() { this->view = {}; }

  // Applies a push and returns the full view, or null if the push is based on
  // another version than the last one.
  std::shared_ptr<const membership::View> Apply(const wire::ViewPush& aPush);

  ViewVersion Version() const { return this->view.Version(); }

private:
  membership::View view;
};

} // namespace lycheestand::router

#endif
