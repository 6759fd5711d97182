#include "files.h"
#include "frames.h"

#include <algorithm>
#include <cerrno>
#include <charconv>

// The part of Store that reads a data folder at startup.

namespace lycheestand::storage {

namespace {

StorageError
Corrupt(const std::string& aPath, const std::string& aProblem)
{
  return { ErrorKind::Corrupt, aPath + ": " + aProblem };
}

// Returns the body of a file that consists of one frame.
StorageResult<std::string>
ReadFramedFile(const FileHooks& aHooks, const std::string& aPath)
{
  using R = StorageResult<std::string>;
  std::string bytes;
  int result = aHooks.readAll(aPath, bytes);
  if (result < 0) {
    return FileError(aPath, "read", result);
  }
  auto body = DecodeFrame(bytes, 0);
  if (!body || body->size() + kFrameHeaderBytes != bytes.size()) {
    return Corrupt(aPath, "the file is truncated or its checksum is wrong");
  }
  return R(std::string(*body));
}

// Returns the number in a segment's file name, "log-NUMBER".
std::optional<std::uint64_t>
ParseSegmentName(const std::string& aName)
{
  constexpr std::string_view kPrefix = "log-";
  std::uint64_t number = 0;
  const char* end = aName.data() + aName.size();
  if (!aName.starts_with(kPrefix)) {
    return std::nullopt;
  }
  auto parsed = std::from_chars(aName.data() + kPrefix.size(), end, number);
  return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(number)
                                                       : std::nullopt;
}

} // namespace

// The last process may have been killed before it synced what it had written.
// The reader treats what it reads as durable, so that is synced first.
StorageResult<void>
Store::Load()
{
  BOOST_OUTCOME_TRYV(this->Lock());
  BOOST_OUTCOME_TRYV(SyncPath(this->hooks, this->folder));
  BOOST_OUTCOME_TRYV(this->LoadState());
  BOOST_OUTCOME_TRYV(this->LoadSnapshot());
  return this->LoadSegments();
}

StorageResult<void>
Store::Lock()
{
  std::string path = this->folder + "/lock";
  this->lockFile = this->hooks.openAppend(path);
  if (this->lockFile == -ENOENT) {
    return StorageError{ ErrorKind::NotFormatted,
                         this->folder + ": the data folder does not exist" };
  }
  if (this->lockFile < 0) {
    return FileError(path, "open", this->lockFile);
  }
  int locked = this->hooks.lock(this->lockFile);
  if (locked == -EWOULDBLOCK) {
    return StorageError{
      ErrorKind::InUse, this->folder + ": another process uses this data folder"
    };
  }
  if (locked < 0) {
    return FileError(path, "lock", locked);
  }
  return boost::outcome_v2::success();
}

StorageResult<void>
Store::LoadState()
{
  std::string path = this->folder + "/state";
  std::string ignored;
  if (this->hooks.readAll(path, ignored) == -ENOENT) {
    return StorageError{ ErrorKind::NotFormatted,
                         this->folder + ": the data folder has no state file" };
  }
  BOOST_OUTCOME_TRY(auto body, ReadFramedFile(this->hooks, path));
  auto state = DecodeState(body);
  if (!state) {
    return Corrupt(path, "the hard state is malformed");
  }
  this->contents.state = std::move(*state);
  return boost::outcome_v2::success();
}

StorageResult<void>
Store::LoadSnapshot()
{
  std::string path = this->folder + "/snapshot";
  std::string ignored;
  if (this->hooks.readAll(path, ignored) == -ENOENT) {
    return boost::outcome_v2::success();
  }
  BOOST_OUTCOME_TRY(auto body, ReadFramedFile(this->hooks, path));
  auto file = DecodeSnapshot(body);
  if (!file) {
    return Corrupt(path, "the snapshot is malformed");
  }
  this->firstSegment = file->firstSegment;
  this->contents.snapshot = std::move(file->snapshot);
  return boost::outcome_v2::success();
}

StorageResult<void>
Store::LoadSegments()
{
  std::vector<std::string> names;
  int listed = this->hooks.list(this->folder, names);
  if (listed < 0) {
    return FileError(this->folder, "list", listed);
  }
  for (const auto& name : names) {
    if (auto number = ParseSegmentName(name)) {
      this->segments[*number] = {};
    }
  }
  this->RemoveOldSegments();
  this->nextSegment = this->firstSegment;
  for (const auto& [number, segment] : this->segments) {
    BOOST_OUTCOME_TRYV(
      this->LoadSegment(number, number == this->segments.rbegin()->first));
    this->nextSegment = number + 1;
  }
  return boost::outcome_v2::success();
}

StorageResult<void>
Store::LoadSegment(std::uint64_t aNumber, bool aIsLast)
{
  std::string path = this->SegmentPath(aNumber);
  std::string bytes;
  int result = this->hooks.readAll(path, bytes);
  if (result < 0) {
    return FileError(path, "read", result);
  }
  if (aIsLast) {
    BOOST_OUTCOME_TRYV(SyncPath(this->hooks, path));
  }
  Segment& segment = this->segments[aNumber];
  std::size_t offset = 0;
  while (offset < bytes.size()) {
    auto body = DecodeFrame(bytes, offset);
    if (!body) {
      if (!aIsLast) {
        return Corrupt(path,
                       "the record at byte " + std::to_string(offset) +
                         " is damaged and not the last of the log");
      }
      BOOST_OUTCOME_TRYV(this->TruncateTail(path, offset, bytes));
      break;
    }
    auto records = DecodeRecords(*body);
    if (!records) {
      return Corrupt(
        path, "the record at byte " + std::to_string(offset) + " is malformed");
    }
    offset += kFrameHeaderBytes + body->size();
    segment.records += records->size();
    for (auto& record : *records) {
      segment.highestIndex = std::max(segment.highestIndex, record.index);
      BOOST_OUTCOME_TRYV(this->ReplayRecord(path, std::move(record)));
    }
  }
  segment.bytes = offset;
  return boost::outcome_v2::success();
}

// Truncates the log at a damaged record that a crash during a write left. Such
// a record is the last one of the log. If a valid record follows, then a record
// that was synced is damaged, and truncating the log would lose acknowledged
// entries.
StorageResult<void>
Store::TruncateTail(const std::string& aPath,
                    std::size_t aOffset,
                    const std::string& aBytes)
{
  for (std::size_t next = aOffset + 1; next < aBytes.size(); ++next) {
    if (DecodeFrame(aBytes, next)) {
      return Corrupt(aPath,
                     "the record at byte " + std::to_string(aOffset) +
                       " is damaged and not the last of the log");
    }
  }
  int truncated = this->hooks.truncate(aPath, aOffset);
  if (truncated < 0) {
    return FileError(aPath, "truncate", truncated);
  }
  this->contents.bytesTruncated = aBytes.size() - aOffset;
  return SyncPath(this->hooks, aPath);
}

StorageResult<void>
Store::ReplayRecord(const std::string& aPath, Record aRecord)
{
  auto& records = this->contents.records;
  ++this->contents.recordsRead;
  while (!records.empty() && records.back().index >= aRecord.index) {
    records.pop_back();
  }
  LogIndex covered =
    this->contents.snapshot ? this->contents.snapshot->index : LogIndex(0);
  if (aRecord.index <= covered) {
    return boost::outcome_v2::success();
  }
  LogIndex last = records.empty() ? covered : records.back().index;
  if (aRecord.index.Get() != last.Get() + 1) {
    return Corrupt(aPath,
                   "entry " + std::to_string(aRecord.index.Get()) +
                     " follows entry " + std::to_string(last.Get()) +
                     "; the entries between them are missing");
  }
  records.push_back(std::move(aRecord));
  return boost::outcome_v2::success();
}

} // namespace lycheestand::storage
