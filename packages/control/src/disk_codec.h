#ifndef LYCHEESTAND_CONTROL_SRC_DISK_CODEC_H
#define LYCHEESTAND_CONTROL_SRC_DISK_CODEC_H

// What the log keeps on disk, as the storage package has it.

#include <deque>
#include <lycheestand/consensus.h>
#include <lycheestand/storage.h>

namespace lycheestand::control {

// Returns what a node starts from, or nothing if an entry is malformed.
std::optional<consensus::Restored>
ToRestored(storage::StoreContents aContents);

// Takes writes from the front that can become durable together.
storage::Batch
TakeBatch(std::deque<consensus::Write>& aWrites);

} // namespace lycheestand::control

#endif
