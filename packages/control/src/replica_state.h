#ifndef LYCHEESTAND_CONTROL_SRC_REPLICA_STATE_H
#define LYCHEESTAND_CONTROL_SRC_REPLICA_STATE_H

#include "messages.h"

#include <lycheestand/consensus.h>
#include <lycheestand/journal.h>

namespace lycheestand::control {

// The replicated state machine. Decodes committed entries and snapshots for it,
// and decides when to compact the log.
class ReplicaState
{
public:
  // Replaces the state by that of a snapshot. Returns false, without a change,
  // if the snapshot is malformed.
  bool Install(const consensus::Snapshot& aSnapshot);

  // Applies a committed entry. There is no outcome unless the entry is a
  // command; a command that can't be decoded gives an error message.
  Result<std::optional<state::Outcome>, std::string> Apply(
    const consensus::Entry& aEntry);

  // Encodes the state. The caller must compact the log with the snapshot,
  // because ShouldCompact counts from here.
  std::string MakeSnapshot();

  // Returns whether the log has grown enough since the last snapshot.
  bool ShouldCompact(LogIndex aSnapshotIndex) const;

  // Returns the configuration, API keys, route table and evacuated zones that
  // routers must apply, as JSON.
  std::string FormatFleetSnapshot() const;

  TokenHolders FindTokenHolders(const WorkspaceId& aWorkspace) const;

  const state::StateMachine& Machine() const { return this->machine; }
  // Index of the last applied entry.
  LogIndex Applied() const { return this->applied; }

private:
  state::StateMachine machine;
  LogIndex applied;
  // Size of the commands applied since the last snapshot.
  std::size_t bytesSinceSnapshot = 0;
  std::size_t snapshotBytes = 0;
};

// Returns the state of the replicated log as JSON for operators; aLinks is the
// number of open links with other control instances.
std::string
FormatReplicaStatus(const consensus::Node& aNode,
                    const ReplicaState& aState,
                    std::size_t aLinks);

// Logs the budgets that have the most outstanding tokens.
void
LogLargestBudgets(const state::StateMachine& aMachine);

} // namespace lycheestand::control

#endif
