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

// A formatted data folder in a temporary place.
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

  // Writes entries one batch each, then closes the store.
  void Fill(std::uint64_t aFirst, std::uint64_t aLast, Term aTerm = Term(1))
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

  Contents Read()
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

  std::string Segment() const
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

  FileHooks hooks = SystemFiles();
  StoreOptions options;
  std::string folder;
  HardState state;
};

} // namespace

TEST_CASE_METHOD(StoreFixture, "what was written is read back")
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

// Guards against entries of an old leader that come back after a restart.
TEST_CASE_METHOD(StoreFixture, "an entry replaces those from its index on")
{
  this->Fill(1, 9);
  this->Fill(4, 5, Term(2));
  auto records = this->Read().records;
  REQUIRE(records.size() == 5);
  CHECK(records[2].term == Term(1));
  CHECK(records[3].term == Term(2));
}

// Guards against a start that fails, or keeps half an entry, after a crash in
// the middle of a write.
TEST_CASE_METHOD(StoreFixture, "a torn tail is cut off at any byte")
{
  this->Fill(1, 3);
  std::string whole = this->ReadBytes(this->Segment());
  std::size_t last = whole.size() * 2 / 3;
  for (std::size_t size = last + 1; size < whole.size(); ++size) {
    this->WriteBytes(this->Segment(), whole.substr(0, size));
    auto contents = this->Read();
    REQUIRE(contents.records.size() == 2);
    REQUIRE(contents.bytesCut == size - last);
  }
  this->Fill(3, 4);
  CHECK(this->Read().records.size() == 4);
}

// Guards against taking a file's unwritten end for entries.
TEST_CASE_METHOD(StoreFixture, "zeroes and noise after the last entry are cut")
{
  this->Fill(1, 3);
  std::string whole = this->ReadBytes(this->Segment());
  for (const auto& tail : { std::string(5000, '\0'), std::string(99, 'x') }) {
    this->WriteBytes(this->Segment(), whole + tail);
    CHECK(this->Read().records.size() == 3);
  }
}

// Guards against silently cutting off entries that were acknowledged.
TEST_CASE_METHOD(StoreFixture, "a damaged entry before the tail is an error")
{
  this->Fill(1, 3);
  std::string whole = this->ReadBytes(this->Segment());
  for (std::size_t i = 0; i < whole.size() * 2 / 3; ++i) {
    std::string damaged = whole;
    damaged[i] = static_cast<char>(damaged[i] ^ 1);
    this->WriteBytes(this->Segment(), damaged);
    REQUIRE(this->ReadError() == ErrorKind::Corrupt);
  }
}

TEST_CASE_METHOD(StoreFixture, "damage in a closed segment is an error")
{
  this->options.segmentBytes = 100;
  this->Fill(1, 20);
  std::string whole = this->ReadBytes(this->Segment());
  this->WriteBytes(this->Segment(), whole.substr(0, whole.size() - 1));
  CHECK(this->ReadError() == ErrorKind::Corrupt);
}

// Guards against a vote that is forgotten because its file is damaged.
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

// Guards against a start time and a log that grow with the number of changes.
TEST_CASE_METHOD(StoreFixture, "a restart reads only what follows the snapshot")
{
  this->Fill(1, 800);
  {
    auto store = this->Open();
    Batch batch;
    batch.snapshot = SnapshotRecord{ LogIndex(800), Term(1), "m", "data" };
    REQUIRE(store.value().Write(batch).has_value());
  }
  this->Fill(801, 810);
  auto contents = this->Read();
  CHECK(contents.recordsRead == 10);
  CHECK(contents.records.size() == 10);
  CHECK(contents.snapshot->data == "data");
  CHECK_FALSE(std::filesystem::exists(this->Segment()));
}

// Guards against entries that disagree with a leader's snapshot, also when a
// crash came before their files were removed.
TEST_CASE_METHOD(StoreFixture, "a discarded log does not come back")
{
  this->Fill(1, 9);
  this->hooks.remove = [](const std::string&) { return -EIO; };
  {
    auto store = this->Open();
    Batch batch{ {}, { MakeRecord(6, Term(3)) }, {}, true };
    batch.snapshot = SnapshotRecord{ LogIndex(5), Term(2), "m", "data" };
    REQUIRE(store.value().Write(batch).has_value());
  }
  CHECK(std::filesystem::exists(this->Segment()));
  auto contents = this->Read();
  CHECK(contents.records == std::vector{ MakeRecord(6, Term(3)) });
}

// Guards against a retry of a sync whose data the page cache has dropped.
TEST_CASE_METHOD(StoreFixture, "nothing is written after a failed sync")
{
  auto store = this->Open();
  bool isFailing = true;
  int syncs = 0;
  // The store holds its own copy of the hooks.
  FileHooks failing = this->hooks;
  failing.sync = [&, sync = this->hooks.sync](int aFile) {
    ++syncs;
    return isFailing ? -EIO : sync(aFile);
  };
  std::string other = this->folder + "/other";
  REQUIRE(Format(other, this->state, this->hooks).has_value());
  auto second = Store::Open(other, failing, {});
  auto result = second.value().Write({ {}, { MakeRecord(1) } });
  REQUIRE(result.has_error());
  CHECK(result.error().kind == ErrorKind::Io);
  isFailing = false;
  int before = syncs;
  auto later = second.value().Write({ {}, { MakeRecord(1) } });
  REQUIRE(later.has_error());
  CHECK(later.error().kind == ErrorKind::Stopped);
  CHECK(syncs == before);
}

// Guards against a full disk that leaves half a record in the log.
TEST_CASE_METHOD(StoreFixture,
                 "a full disk stops the store; a restart recovers")
{
  this->Fill(1, 2);
  auto write = this->hooks.write;
  std::size_t room = 30;
  this->hooks.write = [&](int aFile, std::string_view aBytes) -> std::int64_t {
    if (room == 0) {
      return -ENOSPC;
    }
    auto count = write(aFile, aBytes.substr(0, room));
    room -= static_cast<std::size_t>(count);
    return count;
  };
  {
    auto store = this->Open();
    auto result = store.value().Write({ {}, { MakeRecord(3) } });
    REQUIRE(result.has_error());
    CHECK(result.error().kind == ErrorKind::DiskFull);
    CHECK(store.value().Write({}).error().kind == ErrorKind::Stopped);
  }
  this->hooks.write = write;
  CHECK(this->Read().records.size() == 2);
}

// Guards against the old state being lost when a new one can't be written.
TEST_CASE_METHOD(StoreFixture, "a state is replaced whole or not at all")
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

// Guards against two processes on one log, and against formatting over state.
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

TEST_CASE_METHOD(StoreFixture, "an empty folder is not formatted")
{
  std::filesystem::remove(this->folder + "/state");
  CHECK(this->ReadError() == ErrorKind::NotFormatted);
}

// Guards against reads out of bounds in the reader of a damaged disk.
TEST_CASE_METHOD(StoreFixture, "random bytes never crash the reader")
{
  this->Fill(1, 3);
  std::string log = this->ReadBytes(this->Segment());
  std::mt19937 random(5);
  for (int round = 0; round < 500; ++round) {
    std::string bytes = round % 2 == 0 ? log : std::string(random() % 300, ' ');
    for (auto& byte : bytes) {
      if (round % 2 == 1 || random() % 20 == 0) {
        byte = static_cast<char>(random());
      }
    }
    this->WriteBytes(this->Segment(), bytes);
    auto store = this->Open();
    if (store.has_value()) {
      CHECK(store.value().TakeContents().records.size() <= 3);
    } else {
      CHECK(store.error().kind == ErrorKind::Corrupt);
    }
  }
}
