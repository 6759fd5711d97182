#ifndef LYCHEESTAND_CONTROL_SRC_OPERATOR_READS_H
#define LYCHEESTAND_CONTROL_SRC_OPERATOR_READS_H

// JSON forms of the replicated state for operators.

#include <lycheestand/state.h>
#include <string>

namespace lycheestand::control {

// Returns the current configuration with its version.
std::string
FormatConfiguration(const state::StateMachine& aMachine);

// Returns the kept versions, newest last, with their documents.
std::string
FormatHistory(const state::StateMachine& aMachine);

// Returns the workspaces with their budgets.
std::string
FormatWorkspaces(const state::StateMachine& aMachine);

// Returns the keys without their hashes.
std::string
FormatKeys(const state::StateMachine& aMachine);

// Returns the orders to engines.
std::string
FormatOrders(const state::StateMachine& aMachine);

// Returns the kind with a name such as "load_model", if there is one.
std::optional<OrderKind>
ParseOrderKind(const std::string& aName);

// Returns the name of a kind.
const char*
ToString(OrderKind aKind);

// Returns counts of what control keeps.
std::string
FormatStatus(const state::StateMachine& aMachine);

} // namespace lycheestand::control

#endif
