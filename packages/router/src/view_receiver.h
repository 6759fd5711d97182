#ifndef LYCHEESTAND_ROUTER_SRC_VIEW_RECEIVER_H
#define LYCHEESTAND_ROUTER_SRC_VIEW_RECEIVER_H

#include <lycheestand/membership.h>
#include <lycheestand/wire.h>
#include <memory>

namespace lycheestand::router {

// Puts the changes that control sends on a link together to the whole view.
class ViewReceiver
{
public:
  // A new link begins with a whole view.
  void Reset() { this->view = {}; }

  // Returns the whole view after a push, or null if the push does not follow
  // the one before.
  std::shared_ptr<const membership::View> Take(const wire::ViewPush& aPush);

  ViewVersion Version() const { return this->view.Version(); }

private:
  membership::View view;
};

} // namespace lycheestand::router

#endif
