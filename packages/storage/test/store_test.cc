#include <catch2/catch.hpp>
#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <lycheestand/storage.h>
#include <random>

using namespace lycheestand;
using namespace lycheestand::storage;

namespace {

// A formatted data folder under /tmp.
class StoreFixture
{
public:
  StoreFixture()
  {
    char pattern[] = "/tmp/lycheestand-store-XXXXXX";
    this->folder = ::mkdtemp(pattern);
    this->state.disk = DiskId(42);
    this->state.voteInstance = InstanceId("c1");
    REQUIRE(Format(this->folder, this->state, this->hooks).has_value());
  }

  ~StoreFixture() { std::filesystem::remove_all(this->folder); }

  StorageResult<Store> Open()
  {
    return Store::Open(this->folder, this->hooks, this->options);
  }

  // Writes each entry as a batch of its own, then closes the store.
  void WriteEntries(std::uint64_t aFirst,
                    std::uint64_t aLast,
                    Term aTerm = Term(1))
  {
    auto store = this->Open();
    REQUIRE(store.has_value());
    for (auto i = aFirst; i <= aLast; ++i) {
      REQUIRE(
        store.value().Write({ {}, { MakeRecord(i, aTerm) } }).has_value());
    }
  }

  static Record MakeRecord(std::uint64_t aIndex, Term aTerm = Term(1))
  {
    return { LogIndex(aIndex), aTerm, 1, "entry " + std::to_string(aIndex) };
  }

  StoreContents Read()
  {
    auto store = this->Open();
    REQUIRE(store.has_value());
    return store.value().TakeContents();
  }

  ErrorKind ReadError()
  {
    auto store = this->Open();
    REQUIRE(store.has_error());
    return store.error().kind;
  }

  std::string FirstSegmentPath() const
  {
    return this->folder + "/log-00000000000000000001";
  }

  std::string ReadBytes(const std::string& aPath) const
  {
    std::string bytes;
    REQUIRE(this->hooks.readAll(aPath, bytes) >= 0);
    return bytes;
  }

  void WriteBytes(const std::string& aPath, const std::string& aBytes)
  {
    std::ofstream(aPath, std::ios::binary) << aBytes;
  }

  FileHooks hooks = SystemFileHooks();
  StoreOptions options;
  std::string folder;
  HardState state;
};

} // namespace

// Guards against a state or an entry that is lost or changed by a restart.
TEST_CASE_METHOD(StoreFixture,
                 "the state and entries are equal after a restart")
{
  {
    auto store = this->Open();
    this->state.term = Term(7);
    this->state.hasVote = true;
    REQUIRE(store.value()
              .Write({ this->state, { MakeRecord(1), MakeRecord(2) } })
              .has_value());
  }
  auto contents = this->Read();
  CHECK(contents.state == this->state);
  CHECK(contents.records == std::vector{ MakeRecord(1), MakeRecord(2) });
}

// Guards against entries of an old leader that reappear after a restart.
TEST_CASE_METHOD(StoreFixture, "an entry replaces those from its index on")
{
  this->WriteEntries(1, 9);
  this->WriteEntries(4, 5, Term(2));
  auto records = this->Read().records;
  REQUIRE(records.size() == 5);
  CHECK(records[2].term == Term(1));
  CHECK(records[3].term == Term(2));
}

// Guards against a restart that fails, or keeps a partial entry, after a crash
// during a write.
TEST_CASE_METHOD(StoreFixture, "a torn write of any length is truncated")
{
  this->WriteEntries(1, 3);
  std::string whole = this->ReadBytes(this->FirstSegmentPath());
  std::size_t last = whole.size() * 2 / 3;
  for (std::size_t size = last + 1; size < whole.size(); ++size) {
    this->WriteBytes(this->FirstSegmentPath(), whole.substr(0, size));
    auto contents = this->Read();
    REQUIRE(contents.records.size() == 2);
    REQUIRE(contents.bytesTruncated == size - last);
  }
  this->WriteEntries(3, 4);
  CHECK(this->Read().records.size() == 4);
}

// Guards against reading unwritten bytes at the end of a file as entries.
TEST_CASE_METHOD(StoreFixture,
                 "zeroes and garbage after the last entry are truncated")
{
  this->WriteEntries(1, 3);
  std::string whole = this->ReadBytes(this->FirstSegmentPath());
  for (const auto& tail : { std::string(5000, '\0'), std::string(99, 'x') }) {
    this->WriteBytes(this->FirstSegmentPath(), whole + tail);
    CHECK(this->Read().records.size() == 3);
  }
}

// Guards against silently truncating acknowledged entries that follow a damaged
// one.
TEST_CASE_METHOD(StoreFixture, "a damaged entry before the last is an error")
{
  this->WriteEntries(1, 3);
  std::string whole = this->ReadBytes(this->FirstSegmentPath());
  for (std::size_t i = 0; i < whole.size() * 2 / 3; ++i) {
    std::string damaged = whole;
    damaged[i] = static_cast<char>(damaged[i] ^ 1);
    this->WriteBytes(this->FirstSegmentPath(), damaged);
    REQUIRE(this->ReadError() == ErrorKind::Corrupt);
  }
}

// Guards against treating the end of a closed segment as a torn write: later
// segments follow it, so truncating it would lose acknowledged entries.
TEST_CASE_METHOD(StoreFixture, "damage in a closed segment is an error")
{
  this->options.maxSegmentBytes = 100;
  this->WriteEntries(1, 20);
  std::string whole = this->ReadBytes(this->FirstSegmentPath());
  this->WriteBytes(this->FirstSegmentPath(), whole.substr(0, whole.size() - 1));
  CHECK(this->ReadError() == ErrorKind::Corrupt);
}

// Guards against losing a vote because its file is damaged.
TEST_CASE_METHOD(StoreFixture, "a damaged state or snapshot is an error")
{
  {
    auto store = this->Open();
    Batch batch{ {}, { MakeRecord(1) }, {} };
    batch.snapshot = SnapshotRecord{ LogIndex(1), Term(1), "m", "data" };
    REQUIRE(store.value().Write(batch).has_value());
  }
  for (const char* name : { "/snapshot", "/state" }) {
    std::string whole = this->ReadBytes(this->folder + name);
    std::string damaged = whole;
    damaged[whole.size() / 2] ^= 1;
    this->WriteBytes(this->folder + name, damaged);
    CHECK(this->ReadError() == ErrorKind::Corrupt);
    this->WriteBytes(this->folder + name, whole);
  }
}

// Guards against a startup time and a log that grow with the number of changes.
TEST_CASE_METHOD(StoreFixture, "a restart reads only what follows the snapshot")
{
  this->WriteEntries(1, 800);
  {
    auto store = this->Open();
    Batch batch;
    batch.snapshot = SnapshotRecord{ LogIndex(800), Term(1), "m", "data" };
    REQUIRE(store.value().Write(batch).has_value());
    CHECK_FALSE(std::filesystem::exists(this->FirstSegmentPath()));
  }
  this->WriteEntries(801, 810);
  auto contents = this->Read();
  CHECK(contents.recordsRead == 10);
  CHECK(contents.records.size() == 10);
  CHECK(contents.snapshot->data == "data");
}

// Guards against a restart that reads all entries because a few are newer than
// the snapshot.
TEST_CASE_METHOD(StoreFixture, "a snapshot removes the segments that it covers")
{
  this->WriteEntries(1, 800);
  {
    auto store = this->Open();
    Batch batch;
    batch.snapshot = SnapshotRecord{ LogIndex(790), Term(1), "m", "data" };
    REQUIRE(store.value().Write(batch).has_value());
  }
  auto contents = this->Read();
  CHECK(contents.records.size() == 10);
  CHECK(contents.recordsRead <= 128);
}

// Guards against entries that conflict with a leader's snapshot and reappear
// after a restart because their files were not removed.
TEST_CASE_METHOD(StoreFixture, "a discarded log is not read again")
{
  this->WriteEntries(1, 9);
  this->hooks.remove = [](const std::string&) { return -EIO; };
  {
    auto store = this->Open();
    Batch batch{ {}, { MakeRecord(6, Term(3)) }, {}, true };
    batch.snapshot = SnapshotRecord{ LogIndex(5), Term(2), "m", "data" };
    REQUIRE(store.value().Write(batch).has_value());
  }
  CHECK(std::filesystem::exists(this->FirstSegmentPath()));
  auto contents = this->Read();
  CHECK(contents.records == std::vector{ MakeRecord(6, Term(3)) });
}

// Guards against retrying a failed sync: the page cache may have dropped the
// data, and the second sync would succeed without it.
TEST_CASE_METHOD(StoreFixture, "nothing is written after a failed sync")
{
  bool isFailing = false;
  int syncs = 0;
  this->hooks.sync = [&, sync = this->hooks.sync](int aFile) {
    ++syncs;
    return isFailing ? -EIO : sync(aFile);
  };
  auto store = this->Open();
  // The first write also syncs the folder; the next one only the segment.
  REQUIRE(store.value().Write({ {}, { MakeRecord(1) } }).has_value());
  isFailing = true;
  auto result = store.value().Write({ {}, { MakeRecord(2) } });
  REQUIRE(result.has_error());
  CHECK(result.error().kind == ErrorKind::Io);
  isFailing = false;
  int before = syncs;
  auto later = store.value().Write({ {}, { MakeRecord(2) } });
  REQUIRE(later.has_error());
  CHECK(later.error().kind == ErrorKind::Stopped);
  CHECK(syncs == before);
}

// Guards against a partial record that a full disk leaves in the log, before a
// restart or before the records that are written when there is room again.
TEST_CASE_METHOD(StoreFixture, "a full disk loses nothing that was written")
{
  this->WriteEntries(1, 2);
  auto write = this->hooks.write;
  std::size_t freeBytes = 30;
  this->hooks.write = [&](int aFile, std::string_view aBytes) -> std::int64_t {
    if (freeBytes == 0) {
      return -ENOSPC;
    }
    auto count = write(aFile, aBytes.substr(0, freeBytes));
    freeBytes -= static_cast<std::size_t>(count);
    return count;
  };
  {
    auto store = this->Open();
    for (int i = 0; i < 3; ++i) {
      auto result = store.value().Write({ {}, { MakeRecord(3) } });
      REQUIRE(result.has_error());
      CHECK(result.error().kind == ErrorKind::DiskFull);
    }
  }
  CHECK(this->Read().records.size() == 2);
  {
    auto store = this->Open();
    freeBytes = 30;
    CHECK(store.value().Write({ {}, { MakeRecord(3) } }).has_error());
    freeBytes = 10000;
    CHECK(store.value().Write({ {}, { MakeRecord(3) } }).has_value());
    CHECK(store.value().Write({ {}, { MakeRecord(4) } }).has_value());
  }
  auto records = this->Read().records;
  REQUIRE(records.size() == 4);
  CHECK(records[2] == MakeRecord(3));
  CHECK(records[3] == MakeRecord(4));
}

// Guards against a partial record that stays in its segment, because a snapshot
// in the same batch begins a new one when the batch is written again.
TEST_CASE_METHOD(StoreFixture,
                 "a snapshot and records are written again after a full disk")
{
  this->WriteEntries(1, 2);
  std::size_t freeBytes = SIZE_MAX;
  this->hooks.write = [&, write = this->hooks.write](
                        int aFile, std::string_view aBytes) -> std::int64_t {
    if (freeBytes == 0) {
      return -ENOSPC;
    }
    auto count = write(aFile, aBytes.substr(0, freeBytes));
    freeBytes -= static_cast<std::size_t>(count);
    return count;
  };
  Batch batch{ {}, { MakeRecord(3), MakeRecord(4) } };
  batch.snapshot = SnapshotRecord{ LogIndex(2), Term(1), "m", "data" };
  {
    auto store = this->Open();
    for (std::size_t bytes = 20; bytes < 140; bytes += 20) {
      freeBytes = bytes;
      REQUIRE(store.value().Write(batch).has_error());
    }
    freeBytes = SIZE_MAX;
    REQUIRE(store.value().Write(batch).has_value());
    REQUIRE(store.value().Write({ {}, { MakeRecord(5) } }).has_value());
  }
  auto contents = this->Read();
  CHECK(contents.snapshot->data == "data");
  CHECK(contents.records ==
        std::vector{ MakeRecord(3), MakeRecord(4), MakeRecord(5) });
}

// Guards against a segment whose name is not durable, because the disk was full
// when it was to be created.
TEST_CASE_METHOD(StoreFixture, "a segment is created when there is room again")
{
  bool isFull = true;
  int folderSyncs = 0;
  this->hooks.openRead =
    [&, open = this->hooks.openRead](const std::string& aPath) {
      folderSyncs += aPath == this->folder ? 1 : 0;
      return open(aPath);
    };
  this->hooks.openAppend =
    [&, open = this->hooks.openAppend](const std::string& aPath) {
      bool isSegment = aPath.find("/log-") != std::string::npos;
      return isFull && isSegment ? -ENOSPC : open(aPath);
    };
  auto store = this->Open();
  auto result = store.value().Write({ {}, { MakeRecord(1) } });
  REQUIRE(result.has_error());
  CHECK(result.error().kind == ErrorKind::DiskFull);
  isFull = false;
  folderSyncs = 0;
  CHECK(store.value().Write({ {}, { MakeRecord(1) } }).has_value());
  CHECK(folderSyncs == 1);
}

// Guards against a sync that is tried again after it failed for want of room:
// the page cache may have dropped the data.
TEST_CASE_METHOD(StoreFixture,
                 "a sync that finds the disk full stops the store")
{
  bool isFull = false;
  this->hooks.sync = [&, sync = this->hooks.sync](int aFile) {
    return isFull ? -ENOSPC : sync(aFile);
  };
  auto store = this->Open();
  REQUIRE(store.value().Write({ {}, { MakeRecord(1) } }).has_value());
  isFull = true;
  CHECK(store.value().Write({ {}, { MakeRecord(2) } }).error().kind ==
        ErrorKind::Io);
  isFull = false;
  CHECK(store.value().Write({ {}, { MakeRecord(2) } }).error().kind ==
        ErrorKind::Stopped);
}

// Guards against losing the old state when the new one can't be written.
TEST_CASE_METHOD(StoreFixture, "the state file is replaced atomically")
{
  this->hooks.rename = [](const std::string&, const std::string&) {
    return -EIO;
  };
  {
    auto store = this->Open();
    HardState changed = this->state;
    changed.term = Term(9);
    CHECK(store.value().Write({ changed, {} }).has_error());
  }
  CHECK(this->Read().state == this->state);
}

// Guards against two processes that write one log, and against formatting a
// folder that has a state or a log.
TEST_CASE_METHOD(StoreFixture, "a folder has one user and is formatted once")
{
  auto store = this->Open();
  CHECK(this->ReadError() == ErrorKind::InUse);
  CHECK(Format(this->folder, this->state, this->hooks).error().kind ==
        ErrorKind::AlreadyFormatted);
  std::filesystem::remove(this->folder + "/state");
  this->WriteBytes(this->folder + "/log-1", "");
  CHECK(Format(this->folder, this->state, this->hooks).error().kind ==
        ErrorKind::Corrupt);
}

// Guards against reporting an empty folder as damaged: a member with a new disk
// could not join.
TEST_CASE_METHOD(StoreFixture, "an empty folder is not formatted")
{
  std::filesystem::remove(this->folder + "/state");
  CHECK(this->ReadError() == ErrorKind::NotFormatted);
}

// Guards against out-of-bounds reads when the files are damaged.
TEST_CASE_METHOD(StoreFixture, "random bytes never crash the reader")
{
  this->WriteEntries(1, 3);
  std::string log = this->ReadBytes(this->FirstSegmentPath());
  std::mt19937 random(5);
  for (int round = 0; round < 500; ++round) {
    std::string bytes = round % 2 == 0 ? log : std::string(random() % 300, ' ');
    for (auto& byte : bytes) {
      if (round % 2 == 1 || random() % 20 == 0) {
        byte = static_cast<char>(random());
      }
    }
    this->WriteBytes(this->FirstSegmentPath(), bytes);
    auto store = this->Open();
    if (store.has_value()) {
      CHECK(store.value().TakeContents().records.size() <= 3);
    } else {
      CHECK(store.error().kind == ErrorKind::Corrupt);
    }
  }
}
