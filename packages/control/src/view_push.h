#ifndef LYCHEESTAND_CONTROL_SRC_VIEW_PUSH_H
#define LYCHEESTAND_CONTROL_SRC_VIEW_PUSH_H

#include <lycheestand/membership.h>
#include <lycheestand/wire.h>

namespace lycheestand::control {

// Returns the changes since version aSent, which was last sent on a link.
// Returns the complete view if aSent is 0 or too old.
wire::ViewPush
MakeViewPush(const membership::View& aView, ViewVersion aSent);

} // namespace lycheestand::control

#endif
