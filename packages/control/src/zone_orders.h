#ifndef LYCHEESTAND_CONTROL_SRC_ZONE_ORDERS_H
#define LYCHEESTAND_CONTROL_SRC_ZONE_ORDERS_H

// Proposes orders to evacuate or restore an availability zone, for the users'
// platform and for operators.

#include "messages.h"

namespace lycheestand::control {

// Result of an order. The proposal has no outcome if this instance is not the
// leader, or is a new one that does not know the zone yet.
struct ZoneOrderResult
{
  ProposalResult proposal;
  // Why the order was rejected; empty if it was not.
  std::string problem;
};

// Adds what the fleet controller knows about zones to the command and proposes
// it. Calls aDone in aTask, also after a timeout.
void
ProposeZoneOrder(net::IoTask& aTask,
                 const caf::actor& aReplica,
                 const caf::actor& aFleet,
                 state::SetZoneEvacuation aCommand,
                 std::function<void(const ZoneOrderResult&)> aDone);

} // namespace lycheestand::control

#endif
