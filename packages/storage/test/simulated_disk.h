#ifndef LYCHEESTAND_STORAGE_TEST_SIMULATED_DISK_H
#define LYCHEESTAND_STORAGE_TEST_SIMULATED_DISK_H

// A disk in memory that loses what was not synced when its power fails.

#include <lycheestand/storage.h>
#include <memory>
#include <random>

namespace lycheestand::storage {

// Thrown out of a file operation when the process is to be killed there.
struct ProcessKilled
{};

// Holds one folder of files. Until a file is synced, each write to it may be
// lost, or only a part of its 512-byte sectors may last. Until the folder is
// synced, each name that was created, renamed or removed may be kept or lost; a
// file that is synced keeps the name under which it was created.
class SimulatedDisk
{
public:
  explicit SimulatedDisk(unsigned aSeed)
    : random(aSeed)
  {
  }

  // Returns the operations on this disk; the folder may have any name.
  FileHooks Hooks();

  // Kills the process in the operation that changes or syncs the disk after
  // aOperations more of them.
  void KillAfter(int aOperations) { this->operationsLeft = aOperations; }

  // The process ends; its files stay as they are.
  void CloseAll();
  void LosePower();

private:
  struct Change
  {
    // A write at this offset, or a truncation to it.
    std::size_t offset = 0;
    std::string bytes;
    bool isTruncation = false;
  };

  struct File
  {
    std::string bytes;
    std::string syncedBytes;
    std::vector<Change> unsynced;
  };

  using FilePtr = std::shared_ptr<File>;
  using Names = std::map<std::string, FilePtr>;

  struct NameChange
  {
    enum class Kind
    {
      Create,
      Rename,
      Remove
    } kind;
    std::string name;
    std::string newName;
    FilePtr file;
  };

  static std::string NameOf(const std::string& aPath);
  static void Apply(std::string& aBytes, const Change& aChange);
  static void Apply(Names& aNames, const NameChange& aChange);
  int Open(FilePtr aFile);
  void CountOperation();
  bool TossCoin() { return this->random() % 2 == 0; }
  void SyncFile(const FilePtr& aFile);
  void LoseWrites(File& aFile);
  void ApplySectors(std::string& aBytes, const Change& aChange);

  std::mt19937 random;
  int operationsLeft = -1;
  Names names;
  Names syncedNames;
  std::vector<NameChange> unsyncedNames;
  // A null file is the folder.
  std::map<int, FilePtr> open;
  int nextDescriptor = 3;
};

} // namespace lycheestand::storage

#endif
