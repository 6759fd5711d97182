#include "files.h"
#include "frames.h"

#include <algorithm>
#include <cerrno>

// The part of Store that writes to a data folder.

namespace lycheestand::storage {

StorageResult<void>
Format(const std::string& aFolder,
       const HardState& aState,
       const FileHooks& aHooks)
{
  int made = aHooks.makeFolder(aFolder);
  if (made < 0) {
    return FileError(aFolder, "create", made);
  }
  std::string ignored;
  if (aHooks.readAll(aFolder + "/state", ignored) != -ENOENT) {
    return StorageError{ ErrorKind::AlreadyFormatted,
                         aFolder +
                           ": the data folder already has a state file" };
  }
  // A log without a state file belongs to a member whose disk is damaged.
  std::vector<std::string> names;
  aHooks.list(aFolder, names);
  for (const auto& name : names) {
    if (name == "snapshot" || name.starts_with("log-")) {
      return StorageError{
        ErrorKind::Corrupt,
        aFolder +
          ": the data folder has a log or a snapshot but no state file; "
          "its disk may be damaged"
      };
    }
  }
  return ReplaceFile(
    aHooks, aFolder, "state", EncodeFrame(EncodeState(aState)));
}

Store::Store(std::string aFolder, FileHooks aHooks, StoreOptions aOptions)
  : folder(std::move(aFolder))
  , hooks(std::move(aHooks))
  , options(aOptions)
{
}

Store::Store(Store&& aOther) noexcept
  : folder(std::move(aOther.folder))
  , hooks(std::move(aOther.hooks))
  , options(aOther.options)
  , lockFile(std::exchange(aOther.lockFile, -1))
  , segmentFile(std::exchange(aOther.segmentFile, -1))
  , isSegmentClosed(aOther.isSegmentClosed)
  , segments(std::move(aOther.segments))
  , nextSegment(aOther.nextSegment)
  , firstSegment(aOther.firstSegment)
  , hasPartialWrite(aOther.hasPartialWrite)
  , hasFailed(aOther.hasFailed)
  , contents(std::move(aOther.contents))
{
}

Store::~Store()
{
  this->CloseSegment();
  if (this->lockFile >= 0) {
    this->hooks.close(this->lockFile);
  }
}

StorageResult<Store>
Store::Open(const std::string& aFolder, FileHooks aHooks, StoreOptions aOptions)
{
  Store store(aFolder, std::move(aHooks), aOptions);
  auto loaded = store.Load();
  if (loaded.has_error()) {
    return loaded.error();
  }
  return StorageResult<Store>(std::move(store));
}

StorageResult<void>
Store::Write(const Batch& aBatch)
{
  if (this->hasFailed) {
    return StorageError{
      ErrorKind::Stopped,
      this->folder +
        ": an earlier write failed; restart to reopen the data folder"
    };
  }
  auto result = this->WriteBatch(aBatch);
  this->hasFailed =
    result.has_error() && result.error().kind != ErrorKind::DiskFull;
  return result;
}

StorageResult<void>
Store::WriteBatch(const Batch& aBatch)
{
  BOOST_OUTCOME_TRYV(this->RemovePartialWrite());
  if (aBatch.snapshot) {
    BOOST_OUTCOME_TRYV(
      this->WriteSnapshot(*aBatch.snapshot, aBatch.discardLog));
  }
  if (aBatch.state) {
    BOOST_OUTCOME_TRYV(ReplaceFile(this->hooks,
                                   this->folder,
                                   "state",
                                   EncodeFrame(EncodeState(*aBatch.state))));
  }
  return aBatch.records.empty() ? boost::outcome_v2::success()
                                : this->WriteRecords(aBatch.records);
}

StorageResult<void>
Store::WriteRecords(const std::vector<Record>& aRecords)
{
  if (this->segmentFile < 0) {
    BOOST_OUTCOME_TRYV(this->OpenSegment());
  }
  auto& [number, segment] = *this->segments.rbegin();
  std::string path = this->SegmentPath(number);
  std::string bytes = EncodeFrame(EncodeRecords(aRecords));
  for (const auto& record : aRecords) {
    segment.highestIndex = std::max(segment.highestIndex, record.index);
  }
  this->hasPartialWrite = true;
  BOOST_OUTCOME_TRYV(WriteFully(this->hooks, path, this->segmentFile, bytes));
  this->hasPartialWrite = false;
  int synced = this->hooks.sync(this->segmentFile);
  if (synced < 0) {
    return SyncError(path, synced);
  }
  segment.bytes += bytes.size();
  segment.records += aRecords.size();
  if (segment.bytes >= this->options.maxSegmentBytes ||
      segment.records >= this->options.maxSegmentRecords) {
    this->CloseSegment();
    this->isSegmentClosed = true;
  }
  return boost::outcome_v2::success();
}

// A disk that became full may have taken a part of the last batch. Neither a
// later batch nor a new segment may follow it.
StorageResult<void>
Store::RemovePartialWrite()
{
  if (!this->hasPartialWrite) {
    return boost::outcome_v2::success();
  }
  const auto& [number, segment] = *this->segments.rbegin();
  std::string path = this->SegmentPath(number);
  int truncated = this->hooks.truncate(path, segment.bytes);
  if (truncated < 0) {
    return FileError(path, "truncate", truncated);
  }
  this->hasPartialWrite = false;
  return boost::outcome_v2::success();
}

// The snapshot file names the first segment to read after it. If a crash comes
// before the older segments are removed, their entries are still not read.
StorageResult<void>
Store::WriteSnapshot(const SnapshotRecord& aSnapshot, bool aDiscardLog)
{
  std::uint64_t first = this->nextSegment;
  for (const auto& [number, segment] : this->segments) {
    if (!aDiscardLog && segment.highestIndex > aSnapshot.index) {
      first = number;
      break;
    }
  }
  BOOST_OUTCOME_TRYV(
    ReplaceFile(this->hooks,
                this->folder,
                "snapshot",
                EncodeFrame(EncodeSnapshot({ aSnapshot, first }))));
  // Later entries go to a new segment, so that the next snapshot can drop this
  // one.
  this->CloseSegment();
  this->isSegmentClosed = true;
  this->firstSegment = first;
  this->RemoveOldSegments();
  return boost::outcome_v2::success();
}

StorageResult<void>
Store::OpenSegment()
{
  bool isNew = this->segments.empty() || this->isSegmentClosed;
  auto number = isNew ? this->nextSegment : this->segments.rbegin()->first;
  std::string path = this->SegmentPath(number);
  this->segmentFile = this->hooks.openAppend(path);
  if (this->segmentFile < 0) {
    return FileError(path, "open", this->segmentFile);
  }
  if (!isNew) {
    return boost::outcome_v2::success();
  }
  this->segments[this->nextSegment++] = {};
  this->isSegmentClosed = false;
  return SyncPath(this->hooks, this->folder);
}

void
Store::CloseSegment()
{
  if (this->segmentFile >= 0) {
    this->hooks.close(this->segmentFile);
    this->segmentFile = -1;
  }
}

// A segment that can't be removed is ignored, because it is not read again.
void
Store::RemoveOldSegments()
{
  while (!this->segments.empty() &&
         this->segments.begin()->first < this->firstSegment) {
    this->hooks.remove(this->SegmentPath(this->segments.begin()->first));
    this->segments.erase(this->segments.begin());
  }
}

std::string
Store::SegmentPath(std::uint64_t aNumber) const
{
  std::string digits = std::to_string(aNumber);
  constexpr std::size_t kDigits = 20;
  return this->folder + "/log-" + std::string(kDigits - digits.size(), '0') +
         digits;
}

} // namespace lycheestand::storage
