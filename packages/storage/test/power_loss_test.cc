#include "simulated_disk.h"

#include <catch2/catch.hpp>

using namespace lycheestand;
using namespace lycheestand::storage;

namespace {

constexpr int kSeeds = 300;
constexpr int kRestarts = 20;

// A store on a simulated disk, and what its user may rely on: what was written
// without an error, and what was read when the folder was opened.
class PowerLossFixture
{
public:
  // With aKills, some processes are killed while the power stays on.
  PowerLossFixture(unsigned aSeed, bool aKills)
    : random(aSeed)
    , disk(aSeed)
    , kills(aKills)
  {
    this->options.maxSegmentRecords = 8;
    this->state.disk = DiskId(42);
    REQUIRE(Format("/d", this->state, this->disk.Hooks()).has_value());
  }

  // Opens the folder and checks that it has all that its user relies on.
  void Restart()
  {
    auto opened = Store::Open("/d", this->disk.Hooks(), this->options);
    INFO((opened.has_error() ? opened.error().message : ""));
    REQUIRE(opened.has_value());
    auto contents = opened.value().TakeContents();
    this->Check(contents);
    this->state = contents.state;
    this->snapshotIndex =
      contents.snapshot ? contents.snapshot->index : LogIndex(0);
    this->records = std::move(contents.records);
    this->WriteUntilKilled(opened.value());
    this->disk.CloseAll();
    if (!this->kills || this->random() % 2 == 0) {
      this->disk.LosePower();
    }
  }

private:
  void Check(const StoreContents& aContents) const
  {
    CHECK(aContents.state.term >= this->state.term);
    LogIndex covered =
      aContents.snapshot ? aContents.snapshot->index : LogIndex(0);
    CHECK(covered >= this->snapshotIndex);
    for (const auto& record : this->records) {
      if (record.index <= covered || record.index >= this->replacedFrom) {
        continue;
      }
      INFO("record " << record.index.Get());
      CHECK(std::find(aContents.records.begin(),
                      aContents.records.end(),
                      record) != aContents.records.end());
    }
  }

  // Writes random batches until the process is killed in one of them.
  void WriteUntilKilled(Store& aStore)
  {
    this->replacedFrom = LogIndex(UINT64_MAX);
    this->disk.KillAfter(1 + static_cast<int>(this->random() % 40));
    try {
      while (true) {
        this->WriteBatch(aStore);
      }
    } catch (const ProcessKilled&) {
    }
  }

  void WriteBatch(Store& aStore)
  {
    Batch batch;
    LogIndex last =
      this->records.empty() ? this->snapshotIndex : this->records.back().index;
    if (this->random() % 8 == 0) {
      batch.state = this->state;
      batch.state->term = Term(this->state.term.Get() + 1);
    }
    if (this->random() % 12 == 0 && last > this->snapshotIndex) {
      batch.snapshot = SnapshotRecord{ last, Term(1), "members", "data" };
    }
    bool isReplacing = this->random() % 6 == 0 && !this->records.empty();
    LogIndex next(last.Get() + (isReplacing && !batch.snapshot ? 0 : 1));
    for (auto count = this->random() % 6; count > 0; --count) {
      batch.records.push_back(
        { next,
          Term(++this->writes),
          1,
          std::string(this->random() % 1500,
                      static_cast<char>('a' + this->random() % 26)) });
      next = LogIndex(next.Get() + 1);
    }
    if (!batch.records.empty()) {
      this->replacedFrom = batch.records.front().index;
    }
    // An exception inside REQUIRE would count as a failure.
    auto written = aStore.Write(batch);
    REQUIRE(written.has_value());
    this->replacedFrom = LogIndex(UINT64_MAX);
    this->Acknowledge(batch);
  }

  void Acknowledge(const Batch& aBatch)
  {
    this->state = aBatch.state.value_or(this->state);
    if (aBatch.snapshot) {
      this->snapshotIndex = aBatch.snapshot->index;
      this->records.clear();
    }
    for (const auto& record : aBatch.records) {
      std::erase_if(this->records, [&record](const Record& aOld) {
        return aOld.index >= record.index;
      });
      this->records.push_back(record);
    }
  }

  std::mt19937 random;
  SimulatedDisk disk;
  bool kills;
  StoreOptions options;
  HardState state;
  LogIndex snapshotIndex;
  std::vector<Record> records;
  // First index of the records that a batch in progress may replace.
  LogIndex replacedFrom{ UINT64_MAX };
  std::uint64_t writes = 0;
};

void
RunRestarts(bool aKills)
{
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    PowerLossFixture fixture(seed, aKills);
    for (int restart = 0; restart < kRestarts; ++restart) {
      INFO("restart " << restart);
      fixture.Restart();
    }
  }
}

} // namespace

// Guards against an instance that never starts again after a power loss: a part
// of a batch that was not synced is lost, and its end looks like synced entries
// after a damaged one.
TEST_CASE("a folder opens with all that was written after power losses")
{
  RunRestarts(false);
}

// Guards against acknowledged entries that are lost: a process that was killed
// had written them without a sync, and the next one counted them as durable.
TEST_CASE("what a store reads after a kill outlasts a power loss")
{
  RunRestarts(true);
}
