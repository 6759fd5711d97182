#ifndef LYCHEESTAND_CONTROL_SRC_VIEW_PUSH_H
#define LYCHEESTAND_CONTROL_SRC_VIEW_PUSH_H

#include <lycheestand/membership.h>
#include <lycheestand/wire.h>

namespace lycheestand::control {

// Returns what changed since the version that was last sent on a link, or the
// whole view if that is none or too old.
wire::ViewPush
MakeViewPush(const membership::View& aView, ViewVersion aSent);

} // namespace lycheestand::control

#endif
