#ifndef LYCHEESTAND_CONTROL_SRC_REPLICA_STATE_H
#define LYCHEESTAND_CONTROL_SRC_REPLICA_STATE_H

#include "messages.h"

#include <lycheestand/consensus.h>
#include <lycheestand/journal.h>

namespace lycheestand::control {

// The state machine with its encodings, and when its log should be compacted.
class ReplicaState
{
public:
  // Replaces the state; false if the snapshot is malformed.
  bool Install(const consensus::Snapshot& aSnapshot);

  // Applies a committed entry; there is no outcome if it is no command.
  Result<std::optional<state::Outcome>, std::string> Apply(
    const consensus::Entry& aEntry);

  // Returns the encoded state; the log counts as short again.
  std::string MakeSnapshot();

  // Returns whether a snapshot is worth its cost.
  bool IsLogLong(LogIndex aSnapshotIndex) const;

  // Returns what routers must have in force.
  std::string FormatFleet() const;

  // Returns the sessions that hold tokens of a workspace.
  Holders FindHolders(const WorkspaceId& aWorkspace) const;

  const state::StateMachine& Machine() const { return this->machine; }
  LogIndex Applied() const { return this->applied; }

private:
  state::StateMachine machine;
  LogIndex applied;
  std::size_t bytesSinceSnapshot = 0;
  std::size_t snapshotBytes = 0;
};

// Returns the state of the log as JSON for operators.
std::string
FormatReplica(const consensus::Node& aNode,
              const ReplicaState& aState,
              std::size_t aLinks);

// Logs where the tokens of the budgets with the most of them outstanding are.
void
LogLargestBudgets(const state::StateMachine& aMachine);

} // namespace lycheestand::control

#endif
