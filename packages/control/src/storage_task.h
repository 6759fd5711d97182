#ifndef LYCHEESTAND_CONTROL_SRC_STORAGE_TASK_H
#define LYCHEESTAND_CONTROL_SRC_STORAGE_TASK_H

// The data folder and the task that makes its blocking calls.

#include <caf/actor_system.hpp>
#include <caf/allowed_unsafe_message_type.hpp>
#include <lycheestand/net.h>
#include <lycheestand/settings.h>
#include <lycheestand/storage.h>
#include <memory>

namespace lycheestand::control {

// Makes a batch durable; the answer is StorageDone.
struct StorageWrite
{
  std::shared_ptr<const storage::Batch> batch;
};
struct StorageDone
{
  // Empty unless the write failed.
  std::string problem;
};

// Opens the data folder; formats an empty one with a new disk id.
Result<std::shared_ptr<storage::Store>, std::string>
OpenDataFolder(const std::string& aFolder, const RandomSource& aRandom);

// Formats an empty data folder as one of the first members'.
Result<void, std::string>
FormatIfEmpty(const settings::ProcessSettings& aSettings);

// Starts the detached task that writes to a store.
caf::actor
SpawnStorageTask(const net::Runtime& aRuntime,
                 std::shared_ptr<storage::Store> aStore);

} // namespace lycheestand::control

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::StorageWrite)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::StorageDone)

#endif
