#include "probe.h"
#include "sections.h"

#include <thread>

namespace lycheestand::bench {

namespace {

using namespace std::chrono_literals;

constexpr Duration kLoadTimeout = 120s;

std::vector<std::string>
LoadArguments(const std::vector<Address>& aTargets,
              const char* aMix,
              std::vector<std::string> aExtraArguments)
{
  std::vector<std::string> arguments{ "-m", aMix,
                                      "-s", "records",
                                      "-k", faults::Fleet::CallerKey() };
  for (const auto& target : aTargets) {
    arguments.emplace_back("-t");
    arguments.push_back(ToString(target));
  }
  arguments.insert(
    arguments.end(), aExtraArguments.begin(), aExtraArguments.end());
  return arguments;
}

faults::FleetOptions
BenchOptions()
{
  faults::FleetOptions options;
  options.isProxied = false;
  options.controls = 3;
  options.paid = std::int64_t(1) << 40;
  return options;
}

} // namespace

void
MeasureOverhead()
{
  auto options = BenchOptions();
  options.routers = 1;
  options.engines = 4;
  faults::Fleet fleet("bench-overhead", 1, options);
  std::vector<Address> engines;
  for (int i = 0; i < options.engines; ++i) {
    engines.push_back(fleet.EngineAddress(i));
  }
  const std::vector<std::string> load{ "-r", "60", "-d", "8" };
  auto direct = RunLoad(LoadArguments(engines, "chat", load), kLoadTimeout);
  auto routed = RunLoad(LoadArguments({ fleet.RouterAddress(0) }, "chat", load),
                        kLoadTimeout);
  for (const auto& [quantile, goal] :
       { std::pair("p50", "< 1"), std::pair("p99", "< 3") }) {
    std::string pointer = std::string("/chat/first_byte_ms/") + quantile;
    double directMs = ReadNumber(direct, pointer);
    double value = ReadNumber(routed, pointer);
    std::string name(quantile);
    PrintRow("overhead", "first byte, direct, " + name, directMs, "ms");
    PrintRow("overhead", "first byte, routed, " + name, value, "ms");
    PrintRow("overhead",
             "added to the first byte, " + name,
             value - directMs,
             "ms",
             goal);
  }
}

void
MeasureThroughput()
{
  for (int threads : { 1, 2, 4, 8 }) {
    auto options = BenchOptions();
    options.routers = 1;
    options.engines = 1;
    options.records = 3;
    options.threads = threads;
    faults::Fleet fleet("bench-throughput", 1, options);
    auto before = ReadUsage(fleet.Router(0), fleet.AdminAddress("r0"));
    auto report = RunLoad(LoadArguments({ fleet.RouterAddress(0) },
                                        "lookup",
                                        { "-c", "64", "-d", "5" }),
                          kLoadTimeout);
    auto usage =
      UsageSince(before, ReadUsage(fleet.Router(0), fleet.AdminAddress("r0")));
    double rate = ReadNumber(report, "/whole_per_second");
    double completed = ReadNumber(report, "/lookup/whole");
    std::string name = std::to_string(threads) + " threads";
    PrintRow("throughput", "lookups, " + name, rate, "1/s");
    PrintRow("throughput",
             "lookups for each core used, " + name,
             completed / usage.cpuSeconds,
             "1/s/core");
  }
}

void
MeasureStreams()
{
  auto options = BenchOptions();
  options.routers = 1;
  options.engines = 4;
  options.engineArguments = { "--slots",         "512",
                              "--per-stream-us", "0",
                              "--per-token-us",  "20000",
                              "--length",        "200" };
  faults::Fleet fleet("bench-streams", 1, options);
  std::vector<std::pair<double, double>> memory;
  std::vector<std::pair<double, double>> cpu;
  for (int openStreams : { 100, 400, 800 }) {
    auto before = ReadUsage(fleet.Router(0), fleet.AdminAddress("r0"));
    double peak = 0;
    faults::json::object report;
    std::thread load([&] {
      report =
        RunLoad(LoadArguments({ fleet.RouterAddress(0) },
                              "chat",
                              { "-c", std::to_string(openStreams), "-d", "4" }),
                kLoadTimeout);
    });
    for (int i = 0; i < 30; ++i) {
      std::this_thread::sleep_for(100ms);
      peak = std::max(
        peak, ReadUsage(fleet.Router(0), fleet.AdminAddress("r0")).memoryBytes);
    }
    load.join();
    auto usage =
      UsageSince(before, ReadUsage(fleet.Router(0), fleet.AdminAddress("r0")));
    double completed = ReadNumber(report, "/chat/whole");
    memory.emplace_back(openStreams, peak);
    cpu.emplace_back(completed, usage.cpuSeconds);
    PrintRow("streams",
             "memory at " + std::to_string(openStreams) + " open streams",
             peak / 1e6,
             "MB");
    PrintRow("streams",
             "processor time per streamed chat",
             usage.cpuSeconds / completed * 1e6,
             "us");
  }
  PrintRow("streams",
           "memory per open stream (slope)",
           FitLine(memory).slope / 1e3,
           "kB");
}

void
MeasureCapacity()
{
  auto options = BenchOptions();
  options.routers = 3;
  options.engines = 4;
  options.records = 3;
  options.engineArguments = { "--slots", "16", "--length", "100" };
  faults::Fleet fleet("bench-capacity", 1, options);
  std::vector<Address> routers;
  for (int i = 0; i < options.routers; ++i) {
    routers.push_back(fleet.RouterAddress(i));
  }
  // The rate that keeps all slots busy, from a closed loop of as many calls.
  auto full = RunLoad(
    LoadArguments(routers, "kalkki", { "-c", "64", "-d", "8" }), kLoadTimeout);
  double rate = 0.8 * ReadNumber(full, "/whole_per_second");
  auto report =
    RunLoad(LoadArguments(
              routers, "kalkki", { "-r", std::to_string(rate), "-d", "12" }),
            kLoadTimeout);
  PrintRow("capacity", "offered rate (80% of capacity)", rate, "1/s");
  double refused = 0;
  for (const char* kind :
       { "summary", "explanation", "chat", "booking", "lookup" }) {
    std::string pointer = std::string("/") + kind;
    for (const auto& [code, count] :
         report.at(kind).at("refusals").as_object()) {
      refused += count.to_number<double>();
    }
    PrintRow("capacity",
             std::string(kind) + ", whole",
             ReadNumber(report, pointer + "/whole"),
             "calls");
  }
  for (const char* kind : { "explanation", "chat" }) {
    std::string pointer = std::string("/") + kind;
    PrintRow("capacity",
             std::string(kind) + ", first token, p95",
             ReadNumber(report, pointer + "/first_byte_ms/p95"),
             "ms",
             "< 590");
    PrintRow("capacity",
             std::string(kind) + ", between tokens, p95",
             ReadNumber(report, pointer + "/gap_ms/p95"),
             "ms",
             "< 25");
  }
  PrintRow("capacity", "refused", refused, "calls", "0");
}

void
MeasurePartition()
{
  faults::FleetOptions options;
  options.controls = 3;
  options.routers = 3;
  options.engines = 3;
  options.records = 1;
  options.paid = 4000000;
  faults::Fleet fleet("bench-partition", 1, options);
  std::vector<Address> routers;
  for (int i = 0; i < options.routers; ++i) {
    routers.push_back(fleet.RouterAddress(i));
  }
  faults::json::object report;
  std::thread load([&] {
    report =
      RunLoad(LoadArguments(routers, "kalkki", { "-r", "40", "-d", "20" }),
              kLoadTimeout);
  });
  std::this_thread::sleep_for(4s);
  fleet.SetRouterFault(0, "block");
  std::this_thread::sleep_for(10s);
  fleet.SetRouterFault(0, "heal");
  load.join();
  fleet.WaitUntilSettled();
  auto budget = fleet.ReadBudget();
  double refused = 0;
  double completed = 0;
  for (const auto& [kind, part] : report) {
    if (part.is_object()) {
      completed += ReadNumber(part, "/whole");
      for (const auto& [code, count] : part.at("refusals").as_object()) {
        refused += count.to_number<double>();
        PrintRow("partition",
                 std::string(kind) + " refused: " + std::string(code),
                 count.to_number<double>(),
                 "calls");
      }
    }
  }
  PrintRow("partition",
           "whole, one of three routers cut off for 10 of 20 s",
           completed,
           "calls");
  PrintRow("partition", "refused", refused, "calls");
  PrintRow("partition",
           "overspend",
           static_cast<double>(std::max<std::int64_t>(
             0, budget.spent + budget.granted - budget.paid)),
           "tokens",
           "0");
  PrintRow("partition",
           "stranded after healing",
           static_cast<double>(budget.unreported),
           "tokens",
           "0");
}

} // namespace lycheestand::bench
