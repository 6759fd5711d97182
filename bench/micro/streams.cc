// Benchmarks of the records of streams, which the leader and its followers
// apply and look up.

#include <benchmark/benchmark.h>
#include <lycheestand/journal.h>
#include <memory>
#include <random>

using namespace lycheestand;
using namespace lycheestand::state;

namespace {

const ServiceName kService("chat-large");
const SoftwareVersion kOld("2026.11.3");
const SoftwareVersion kNew("2026.12.0");

// Makes commands with streams of two versions.
class StreamSource
{
public:
  RecordStreams Make(std::int64_t aStreams)
  {
    RecordStreams command{ { { kService, kOld, {} }, { kService, kNew, {} } } };
    for (std::int64_t i = 0; i < aStreams; ++i) {
      this->last = StreamId(this->random());
      command.batches[static_cast<std::size_t>(i % 2)].streams.push_back(
        this->last);
    }
    return command;
  }

  std::mt19937_64 random{ 1 };
  StreamId last;
};

StateMachine
MakeMachine()
{
  StateMachine machine;
  machine.Apply(AdmitVersion{ kService, kOld });
  machine.Apply(AdmitVersion{ kService, kNew });
  return machine;
}

// Fills both generations.
void
Fill(StateMachine& aMachine, StreamSource& aSource)
{
  aMachine.Apply(aSource.Make(StreamRegister::kMaxRecords));
  aMachine.Apply(AgeStreams{});
  aMachine.Apply(aSource.Make(StreamRegister::kMaxRecords));
}

// Decodes and applies a command with so many new streams.
void
ApplyRecordStreams(benchmark::State& aState)
{
  StreamSource source;
  StateMachine machine = MakeMachine();
  std::size_t bytes = 0;
  for (auto iteration : aState) {
    aState.PauseTiming();
    if (machine.Streams().RecordCount() + 2 * std::size_t(aState.range(0)) >
        StreamRegister::kMaxRecords) {
      machine.Apply(AgeStreams{});
      machine.Apply(AgeStreams{});
    }
    std::string command = journal::EncodeCommand(source.Make(aState.range(0)));
    bytes = command.size();
    aState.ResumeTiming();
    benchmark::DoNotOptimize(
      machine.Apply(journal::DecodeCommand(command).value()));
  }
  aState.SetItemsProcessed(aState.iterations() * aState.range(0));
  aState.counters["commandBytes"] = static_cast<double>(bytes);
}
BENCHMARK(ApplyRecordStreams)->Arg(16)->Arg(256)->Arg(4096);

// Looks up streams in full generations; the argument is whether they have
// records.
void
FindStreamVersion(benchmark::State& aState)
{
  StreamSource source;
  StateMachine machine = MakeMachine();
  StreamSource known = source;
  Fill(machine, source);
  std::vector<StreamId> streams;
  for (std::size_t i = 0; i < StreamRegister::kMaxRecords; ++i) {
    streams.emplace_back(aState.range(0) == 1 ? known.random()
                                              : source.random());
  }
  std::size_t next = 0;
  std::size_t found = 0;
  for (auto iteration : aState) {
    found += machine.Streams().Find(kService, streams[next]) ? 1 : 0;
    next = (next + 1) % streams.size();
  }
  aState.counters["found"] =
    static_cast<double>(found) / static_cast<double>(aState.iterations());
}
BENCHMARK(FindStreamVersion)->Arg(0)->Arg(1);

// Drops a full generation.
void
ApplyAgeStreams(benchmark::State& aState)
{
  for (auto iteration : aState) {
    aState.PauseTiming();
    StreamSource source;
    auto machine = std::make_unique<StateMachine>(MakeMachine());
    Fill(*machine, source);
    aState.ResumeTiming();
    machine->Apply(AgeStreams{});
    aState.PauseTiming();
    machine.reset();
    aState.ResumeTiming();
  }
}
BENCHMARK(ApplyAgeStreams)->Iterations(20);

// Encodes the snapshot of full generations.
void
EncodeStreamSnapshot(benchmark::State& aState)
{
  StreamSource source;
  StateMachine machine = MakeMachine();
  Fill(machine, source);
  std::size_t bytes = 0;
  for (auto iteration : aState) {
    std::string snapshot = journal::EncodeSnapshot(machine);
    bytes = snapshot.size();
    benchmark::DoNotOptimize(snapshot);
  }
  aState.counters["snapshotBytes"] = static_cast<double>(bytes);
}
BENCHMARK(EncodeStreamSnapshot);

} // namespace
