#include "storage_task.h"

#include <caf/event_based_actor.hpp>
#include <lycheestand/control.h>

namespace lycheestand::control {

namespace {

// Returns the initial state of a disk that has never been used. aMayBootstrap
// tells whether the disk belongs to an initial member of the control group.
storage::HardState
MakeInitialState(const RandomSource& aRandom, bool aMayBootstrap)
{
  storage::HardState state;
  // Messages use 0 for an unknown disk.
  state.disk = DiskId(aRandom(0) | 1);
  state.mayBootstrap = aMayBootstrap;
  return state;
}

// Interval at which a write is tried again while the disk has no room.
constexpr Duration kFullDiskRetryInterval = std::chrono::milliseconds(100);

// Writes to the store. Sync calls block, so the task runs in a thread of its
// own. While the disk is full it goes on trying: the instance acknowledges
// nothing new, but what it has still counts for the group.
class StorageTask : public caf::event_based_actor
{
public:
  StorageTask(caf::actor_config& aConfig,
              std::shared_ptr<storage::Store> aStore)
    : caf::event_based_actor(aConfig)
    , store(std::move(aStore))
  {
  }

  caf::behavior make_behavior() override
  {
    return { [this](StorageWrite& aWrite) {
              auto promise = this->make_response_promise<StorageResult>();
              this->Write({ std::move(aWrite.batch), promise });
              return promise;
            },
             [this](PendingWrite& aWrite) { this->Write(std::move(aWrite)); } };
  }

private:
  void Write(PendingWrite aWrite)
  {
    auto result = this->store->Write(*aWrite.batch);
    bool isFull =
      result.has_error() && result.error().kind == storage::ErrorKind::DiskFull;
    if (isFull != this->isFull) {
      this->isFull = isFull;
      net::Log(isFull ? net::LogLevel::Error : net::LogLevel::Info,
               isFull ? "the disk is full; waiting for room"
                      : "the disk has room again",
               { { "event", isFull ? "disk_full" : "disk_has_room" },
                 { "problem", isFull ? result.error().message : "" } });
      net::Metrics().GetGauge("lycheestand_disk_full").Set(isFull ? 1 : 0);
    }
    if (isFull) {
      this->delayed_send(this, kFullDiskRetryInterval, std::move(aWrite));
      return;
    }
    aWrite.promise.deliver(
      StorageResult{ result.has_error() ? result.error().message : "" });
  }

  std::shared_ptr<storage::Store> store;
  bool isFull = false;
};

} // namespace

Result<std::shared_ptr<storage::Store>, std::string>
OpenDataFolder(const std::string& aFolder, const RandomSource& aRandom)
{
  using R = Result<std::shared_ptr<storage::Store>, std::string>;
  auto fail = [](const storage::StorageError& aError) {
    return R(boost::outcome_v2::in_place_type<std::string>, aError.message);
  };
  auto hooks = storage::SystemFileHooks();
  auto opened = storage::Store::Open(aFolder, hooks, {});
  if (opened.has_error() &&
      opened.error().kind == storage::ErrorKind::NotFormatted) {
    net::Log(net::LogLevel::Warning,
             "the data folder is empty; joining with a new disk",
             { { "folder", aFolder } });
    auto formatted =
      storage::Format(aFolder, MakeInitialState(aRandom, false), hooks);
    if (formatted.has_error()) {
      return fail(formatted.error());
    }
    return OpenDataFolder(aFolder, aRandom);
  }
  if (opened.has_error()) {
    return fail(opened.error());
  }
  return R(std::make_shared<storage::Store>(std::move(opened.value())));
}

// A folder that has been formatted before is left as it is, also if the first
// start crashed.
Result<void, std::string>
FormatDataFolderIfEmpty(const settings::ProcessSettings& aSettings)
{
  auto opened =
    storage::Store::Open(aSettings.dataFolder, storage::SystemFileHooks(), {});
  bool isEmpty = opened.has_error() &&
                 opened.error().kind == storage::ErrorKind::NotFormatted;
  return isEmpty ? FormatDataFolder(aSettings)
                 : Result<void, std::string>(boost::outcome_v2::success());
}

Result<void, std::string>
FormatDataFolder(const settings::ProcessSettings& aSettings)
{
  auto formatted =
    storage::Format(aSettings.dataFolder,
                    MakeInitialState(net::MakeRandomSource(), true),
                    storage::SystemFileHooks());
  if (formatted.has_error()) {
    return formatted.error().message;
  }
  return boost::outcome_v2::success();
}

caf::actor
SpawnStorageTask(const net::Runtime& aRuntime,
                 std::shared_ptr<storage::Store> aStore)
{
  return aRuntime.system->spawn<StorageTask, caf::detached>(std::move(aStore));
}

} // namespace lycheestand::control
