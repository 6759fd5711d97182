#ifndef LYCHEESTAND_CONTROL_SRC_STATE_FORMAT_H
#define LYCHEESTAND_CONTROL_SRC_STATE_FORMAT_H

// Formats parts of the replicated state as JSON for operators.

#include <lycheestand/state.h>
#include <string>

namespace lycheestand::control {

// Returns the current configuration with its version and change id.
std::string
FormatConfiguration(const state::StateMachine& aMachine);

// Returns the stored versions of the configuration in ascending order.
std::string
FormatConfigurationHistory(const state::StateMachine& aMachine);

// Returns the workspaces with their budgets.
std::string
FormatWorkspaces(const state::StateMachine& aMachine);

// Returns the API keys without their hashes.
std::string
FormatKeys(const state::StateMachine& aMachine);

// Returns the orders to engines, by endpoint and fencing number.
std::string
FormatOrders(const state::StateMachine& aMachine);

// Returns the evacuated availability zones, with the revision and the change id
// of their orders.
std::string
FormatEvacuations(const state::StateMachine& aMachine);

// Returns the order kind with a name such as "load_model", or nothing if the
// name is unknown.
std::optional<OrderKind>
ParseOrderKind(const std::string& aName);

const char*
ToString(OrderKind aKind);

// Returns the current versions, the numbers of workspaces, keys, open sessions
// and operations, and the evacuated zones.
std::string
FormatStatus(const state::StateMachine& aMachine);

} // namespace lycheestand::control

#endif
