#ifndef LYCHEESTAND_STORAGE_H
#define LYCHEESTAND_STORAGE_H

// Durable log, hard state and snapshot of one group under a data folder.
// Blocking: its user calls it from a task of its own.

#include <cstdint>
#include <functional>
#include <lycheestand/core.h>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheestand::storage {

// ---------------------------------------------------------------- errors

enum class ErrorKind
{
  // A file operation failed, a sync included.
  Io,
  DiskFull,
  // A checksum or a structure is wrong before the log's tail.
  Corrupt,
  // Another process uses the folder.
  InUse,
  // The folder has no state, or already has one.
  NotFormatted,
  AlreadyFormatted,
  // An earlier operation failed; nothing more is written.
  Stopped
};

struct StorageError
{
  ErrorKind kind = ErrorKind::Io;
  // Names the file and what is wrong.
  std::string message;
};

template<class T>
using StorageResult = Result<T, StorageError>;

// ---------------------------------------------------------------- files

// The file operations; each returns a negative errno on failure. Tests inject
// failing syncs, full disks and torn writes.
struct FileHooks
{
  // Opens for appending and creates the file; returns a descriptor.
  std::function<int(const std::string& aPath)> openAppend;
  // Opens a folder or file for reading; returns a descriptor.
  std::function<int(const std::string& aPath)> openRead;
  std::function<std::int64_t(int aFile, std::string_view aBytes)> write;
  std::function<int(int aFile)> sync;
  std::function<void(int aFile)> close;
  // Takes an exclusive lock without waiting.
  std::function<int(int aFile)> lock;
  std::function<int(const std::string& aFrom, const std::string& aTo)> rename;
  std::function<int(const std::string& aPath, std::uint64_t aBytes)> truncate;
  std::function<int(const std::string& aPath)> remove;
  std::function<int(const std::string& aPath)> makeFolder;
  std::function<int(const std::string& aPath, std::string& aBytes)> readAll;
  std::function<int(const std::string& aPath, std::vector<std::string>& aNames)>
    list;
};

// Returns the operations of the operating system.
FileHooks
SystemFiles();

// ---------------------------------------------------------------- contents

// What a member must remember besides its log.
struct HardState
{
  GroupId group;
  DiskId disk;
  Term term;
  bool hasVote = false;
  InstanceId voteInstance;
  DiskId voteDisk;
  bool mayBootstrap = false;

  friend bool operator==(const HardState&, const HardState&) = default;
};

// One log entry. It replaces all entries from its index on.
struct Record
{
  LogIndex index;
  Term term;
  std::uint8_t kind = 0;
  std::string payload;

  friend bool operator==(const Record&, const Record&) = default;
};

// The state after an entry, and the members then.
struct SnapshotRecord
{
  LogIndex index;
  Term term;
  std::string members;
  std::string data;

  friend bool operator==(const SnapshotRecord&,
                         const SnapshotRecord&) = default;
};

// What was found in the folder.
struct Contents
{
  HardState state;
  std::optional<SnapshotRecord> snapshot;
  // Entries after the snapshot.
  std::vector<Record> records;
  // Records read, those that the snapshot covers included.
  std::uint64_t recordsRead = 0;
  // Bytes of a torn tail that were cut off.
  std::uint64_t bytesCut = 0;
};

// Changes that become durable together.
struct Batch
{
  std::optional<HardState> state = std::nullopt;
  std::vector<Record> records = {};
  std::optional<SnapshotRecord> snapshot = std::nullopt;
  // Drops all records; only with a snapshot.
  bool discardLog = false;
};

struct StoreOptions
{
  // A segment that is larger is followed by a new one.
  std::uint64_t segmentBytes = 4 * 1024 * 1024;
  // So is one with more records. A snapshot keeps the segment that holds the
  // entry after it, so this bounds what a start reads in vain.
  std::uint64_t segmentRecords = 128;
};

// ---------------------------------------------------------------- store

// Creates a data folder with its first hard state.
StorageResult<void>
Format(const std::string& aFolder,
       const HardState& aState,
       const FileHooks& aHooks);

// Owns a data folder.
class Store
{
public:
  // Opens a folder and reads it; cuts a torn tail off.
  static StorageResult<Store> Open(const std::string& aFolder,
                                   FileHooks aHooks,
                                   StoreOptions aOptions);

  Store(Store&& aOther) noexcept;
  Store& operator=(Store&&) = delete;
  ~Store();

  // Returns what was found; later calls return nothing.
  Contents TakeContents() { return std::move(this->contents); }

  // Makes a batch durable: one sync for all its records. After an error every
  // call fails, because the page cache may have dropped what was not synced.
  StorageResult<void> Write(const Batch& aBatch);

private:
  struct Segment
  {
    std::uint64_t bytes = 0;
    std::uint64_t records = 0;
    LogIndex highest;
  };

  Store(std::string aFolder, FileHooks aHooks, StoreOptions aOptions);

  StorageResult<void> Load();
  StorageResult<void> Lock();
  StorageResult<void> LoadState();
  StorageResult<void> LoadSnapshot();
  StorageResult<void> LoadSegments();
  StorageResult<void> LoadSegment(std::uint64_t aNumber, bool aIsLast);
  StorageResult<void> CutTail(const std::string& aPath,
                              std::size_t aOffset,
                              const std::string& aBytes);
  StorageResult<void> TakeRecord(const std::string& aPath, Record aRecord);
  StorageResult<void> WriteBatch(const Batch& aBatch);
  StorageResult<void> WriteRecords(const std::vector<Record>& aRecords);
  StorageResult<void> WriteSnapshot(const SnapshotRecord& aSnapshot,
                                    bool aDiscardLog);
  StorageResult<void> OpenSegment();
  void CloseSegment();
  void RemoveOldSegments();
  std::string SegmentPath(std::uint64_t aNumber) const;

  std::string folder;
  FileHooks hooks;
  StoreOptions options;
  int lockFile = -1;
  int segmentFile = -1;
  // Records go to the last segment until it is full or a snapshot closes it.
  bool isSegmentClosed = false;
  // Segments by number, oldest first.
  std::map<std::uint64_t, Segment> segments;
  std::uint64_t nextSegment = 1;
  // Segments before this one hold nothing that a snapshot does not cover.
  std::uint64_t firstSegment = 1;
  bool isStopped = false;
  Contents contents;
};

} // namespace lycheestand::storage

#endif
