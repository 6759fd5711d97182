#ifndef LYCHEESTAND_CONTROL_SRC_STORAGE_TASK_H
#define LYCHEESTAND_CONTROL_SRC_STORAGE_TASK_H

// Opens and formats the data folder, and runs the task that writes to it.

#include <caf/actor_system.hpp>
#include <caf/allowed_unsafe_message_type.hpp>
#include <caf/typed_response_promise.hpp>
#include <lycheestand/net.h>
#include <lycheestand/settings.h>
#include <lycheestand/storage.h>
#include <memory>

namespace lycheestand::control {

// Requests that a batch be made durable; the response is StorageResult.
struct StorageWrite
{
  std::shared_ptr<const storage::Batch> batch;
};
struct StorageResult
{
  // Empty unless the write failed.
  std::string errorMessage;
};

// To the storage task itself: a write for which there was no room.
struct PendingWrite
{
  std::shared_ptr<const storage::Batch> batch;
  caf::typed_response_promise<StorageResult> promise;
};

// Opens the data folder, and first formats it with a new disk id if it is
// empty. Returns an error message on failure.
Result<std::shared_ptr<storage::Store>, std::string>
OpenDataFolder(const std::string& aFolder, const RandomSource& aRandom);

// Formats the data folder as that of an initial member of the control group, if
// it is empty. Returns an error message on failure.
Result<void, std::string>
FormatDataFolderIfEmpty(const settings::ProcessSettings& aSettings);

// Starts the task that writes to a store, in a thread of its own.
caf::actor
SpawnStorageTask(const net::Runtime& aRuntime,
                 std::shared_ptr<storage::Store> aStore);

} // namespace lycheestand::control

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::StorageWrite)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::StorageResult)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::PendingWrite)

#endif
