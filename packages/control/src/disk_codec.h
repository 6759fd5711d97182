#ifndef LYCHEESTAND_CONTROL_SRC_DISK_CODEC_H
#define LYCHEESTAND_CONTROL_SRC_DISK_CODEC_H

// Converts between the consensus package's types and the records that the
// storage package writes to disk.

#include <deque>
#include <lycheestand/consensus.h>
#include <lycheestand/storage.h>

namespace lycheestand::control {

// Returns the persisted state with which a node starts, or nothing if an entry
// or the snapshot's member list is malformed.
std::optional<consensus::RecoveredState>
ToRecoveredState(storage::StoreContents aContents);

// Removes writes from the front of the queue and combines them into one batch,
// as many as storage can make durable together.
storage::Batch
TakeBatch(std::deque<consensus::Write>& aWrites);

} // namespace lycheestand::control

#endif
