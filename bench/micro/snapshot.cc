// Benchmarks the snapshot patch for one added key: control makes it, routers
// apply it.

#include <benchmark/benchmark.h>
#include <lycheestand/settings.h>

using namespace lycheestand;
using namespace lycheestand::settings;

namespace {

std::string
MakeSnapshot(std::int64_t aKeys)
{
  std::map<KeyHash, CallerKey> keys;
  for (std::int64_t i = 0; i < aKeys; ++i) {
    std::string hash = std::to_string(i);
    hash.resize(64, 'f');
    keys[KeyHash(hash)] = { WorkspaceId("w" + std::to_string(i % 450)),
                            SiteId("site") };
  }
  return FormatFleetSnapshot("{}", keys);
}

void
MakePatch(benchmark::State& aState)
{
  std::string from = MakeSnapshot(aState.range(0));
  std::string to = MakeSnapshot(aState.range(0) + 1);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(MakeSnapshotPatch(from, to));
  }
  aState.counters["wholeBytes"] = static_cast<double>(from.size());
}
BENCHMARK(MakePatch)->Arg(450)->Arg(4500);

void
TakePatch(benchmark::State& aState)
{
  std::string from = MakeSnapshot(aState.range(0));
  std::string patch =
    MakeSnapshotPatch(from, MakeSnapshot(aState.range(0) + 1));
  for (auto _ : aState) {
    auto text = ApplySnapshotPatch(from, patch);
    benchmark::DoNotOptimize(ParseFleetSnapshot(text.value()));
  }
  aState.counters["patchBytes"] = static_cast<double>(patch.size());
}
BENCHMARK(TakePatch)->Arg(450)->Arg(4500);

} // namespace
