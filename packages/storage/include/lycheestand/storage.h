#ifndef LYCHEESTAND_STORAGE_H
#define LYCHEESTAND_STORAGE_H

// Durable storage of one replication group: its log, hard state and latest
// snapshot, in a data folder. All calls block, so they belong in a task of
// their own.

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
  // A file operation failed, including a failed sync.
  Io,
  // The disk has no room. What was to be written may be written later.
  DiskFull,
  // A file is damaged. A torn write at the end of the log is no error; it is
  // truncated.
  Corrupt,
  // Another process uses the folder.
  InUse,
  // The folder does not exist or has no state file.
  NotFormatted,
  // The folder already has a state file.
  AlreadyFormatted,
  // An earlier write failed, so the store writes no more.
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

// The file operations. Each returns a negative errno on failure. Tests replace
// them to inject failed syncs, full disks and torn writes.
struct FileHooks
{
  // Opens a file for appending, and creates it if needed; returns a descriptor.
  std::function<int(const std::string& aPath)> openAppend;
  // Opens a file or folder for reading; returns a descriptor.
  std::function<int(const std::string& aPath)> openRead;
  // Returns the number of bytes written, which may be fewer than given.
  std::function<std::int64_t(int aFile, std::string_view aBytes)> write;
  std::function<int(int aFile)> sync;
  std::function<void(int aFile)> close;
  // Takes an exclusive lock without waiting; returns -EWOULDBLOCK if another
  // process has it.
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
SystemFileHooks();

// ---------------------------------------------------------------- contents

// The persistent consensus state of a member besides its log: its identity,
// current term and vote.
struct HardState
{
  GroupId group;
  DiskId disk;
  Term term;
  bool hasVote = false;
  // The candidate that got the vote in this term, if there is a vote.
  InstanceId voteInstance;
  DiskId voteDisk;
  // True if the disk was formatted for one of the first members, which may
  // bootstrap the group while their logs are empty.
  bool mayBootstrap = false;

  friend bool operator==(const HardState&, const HardState&) = default;
};

// A log entry. It replaces all earlier written entries with its index or a
// higher one.
struct Record
{
  LogIndex index;
  Term term;
  std::uint8_t kind = 0;
  std::string payload;

  friend bool operator==(const Record&, const Record&) = default;
};

// A snapshot: the state after the entry with this index and term, and the
// members of the group at that entry. Both are opaque bytes here.
struct SnapshotRecord
{
  LogIndex index;
  Term term;
  std::string members;
  std::string data;

  friend bool operator==(const SnapshotRecord&,
                         const SnapshotRecord&) = default;
};

// What was read from a data folder when it was opened.
struct StoreContents
{
  HardState state;
  std::optional<SnapshotRecord> snapshot;
  // Entries after the snapshot.
  std::vector<Record> records;
  // Number of records read, including those that the snapshot covers.
  std::uint64_t recordsRead = 0;
  // Bytes of a torn write at the end of the log that were truncated.
  std::uint64_t bytesTruncated = 0;
};

// Changes to write in one call. A snapshot is written first, then the state,
// then the records.
struct Batch
{
  std::optional<HardState> state = std::nullopt;
  std::vector<Record> records = {};
  std::optional<SnapshotRecord> snapshot = std::nullopt;
  // Drops all records that were written before this batch. Has an effect only
  // with a snapshot.
  bool discardLog = false;
};

struct StoreOptions
{
  // A log segment that reaches this size is closed, and a new one is started.
  std::uint64_t maxSegmentBytes = 4 * 1024 * 1024;
  // A segment that reaches this number of records is closed as well. A snapshot
  // keeps the segment with the entry that follows it, so this limits how many
  // covered records a restart reads.
  std::uint64_t maxSegmentRecords = 128;
};

// ---------------------------------------------------------------- store

// Creates a data folder with its initial hard state. Fails with
// AlreadyFormatted if the folder has a state, and with Corrupt if it has a log
// or a snapshot without one.
StorageResult<void>
Format(const std::string& aFolder,
       const HardState& aState,
       const FileHooks& aHooks);

// Owns a data folder and holds its lock.
class Store
{
public:
  // Opens and reads a formatted data folder. Truncates a torn write at the end
  // of the log.
  static StorageResult<Store> Open(const std::string& aFolder,
                                   FileHooks aHooks,
                                   StoreOptions aOptions);

  Store(Store&& aOther) noexcept;
  Store& operator=(Store&&) = delete;
  ~Store();

  // Moves out what was read at opening; call it once.
  StoreContents TakeContents() { return std::move(this->contents); }

  // Makes a batch durable, with one sync for all its records. A batch for which
  // the disk has no room (DiskFull) may be written again; nothing else may be
  // written before it. After any other error every later call fails with
  // Stopped: the page cache may have dropped data that was not synced, so a
  // later sync would succeed without it.
  StorageResult<void> Write(const Batch& aBatch);

private:
  struct Segment
  {
    std::uint64_t bytes = 0;
    std::uint64_t records = 0;
    LogIndex highestIndex;
  };

  Store(std::string aFolder, FileHooks aHooks, StoreOptions aOptions);

  StorageResult<void> Load();
  StorageResult<void> Lock();
  StorageResult<void> LoadState();
  StorageResult<void> LoadSnapshot();
  StorageResult<void> LoadSegments();
  StorageResult<void> LoadSegment(std::uint64_t aNumber, bool aIsLast);
  StorageResult<void> TruncateTail(const std::string& aPath,
                                   std::size_t aOffset,
                                   const std::string& aBytes);
  StorageResult<void> ReplayRecord(const std::string& aPath, Record aRecord);
  StorageResult<void> WriteBatch(const Batch& aBatch);
  StorageResult<void> WriteRecords(const std::vector<Record>& aRecords);
  StorageResult<void> WriteSnapshot(const SnapshotRecord& aSnapshot,
                                    bool aDiscardLog);
  StorageResult<void> RemovePartialWrite();
  StorageResult<void> OpenSegment();
  void CloseSegment();
  void RemoveOldSegments();
  std::string SegmentPath(std::uint64_t aNumber) const;

  std::string folder;
  FileHooks hooks;
  StoreOptions options;
  int lockFile = -1;
  int segmentFile = -1;
  // True if the next record needs a new segment, because the last one is full
  // or a snapshot was written.
  bool isSegmentClosed = false;
  // Segments by number, oldest first.
  std::map<std::uint64_t, Segment> segments;
  std::uint64_t nextSegment = 1;
  // Segments before this one are covered by the snapshot and not read.
  std::uint64_t firstSegment = 1;
  // The last segment may end with a part of a batch.
  bool hasPartialWrite = false;
  bool hasFailed = false;
  StoreContents contents;
};

} // namespace lycheestand::storage

#endif
