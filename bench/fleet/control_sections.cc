#include "probe.h"
#include "sections.h"

#include <cmath>
#include <thread>

namespace lycheestand::bench {

namespace {

using namespace std::chrono_literals;

constexpr Duration kIdleTime = 10s;

faults::FleetOptions
ControlOptions(int aRouters)
{
  faults::FleetOptions options;
  options.isProxied = false;
  options.controls = 3;
  options.routers = aRouters;
  options.engines = 1;
  return options;
}

std::string
ControlName(int aIndex)
{
  return "c" + std::to_string(aIndex);
}

ProcessUsage
ReadLeader(faults::Fleet& aFleet)
{
  int leader = aFleet.FindLeader();
  return ReadUsage(aFleet.Control(leader),
                   aFleet.AdminAddress(ControlName(leader)));
}

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

void
MeasureNodes()
{
  std::vector<std::pair<double, double>> cpu;
  std::vector<std::pair<double, double>> bytes;
  std::vector<std::pair<double, double>> memory;
  for (int routers : { 2, 8, 16, 32 }) {
    faults::Fleet fleet("bench-nodes", 1, ControlOptions(routers));
    std::this_thread::sleep_for(3s);
    auto leader = ReadLeader(fleet);
    auto router = ReadUsage(fleet.Router(0), fleet.AdminAddress("r0"));
    std::this_thread::sleep_for(kIdleTime);
    auto leaderUsage = UsageSince(leader, ReadLeader(fleet));
    auto routerUsage =
      UsageSince(router, ReadUsage(fleet.Router(0), fleet.AdminAddress("r0")));
    double time = Seconds(kIdleTime);
    cpu.emplace_back(routers, leaderUsage.cpuSeconds / time);
    bytes.emplace_back(routers, leaderUsage.linkBytes / time);
    memory.emplace_back(routers, leaderUsage.memoryBytes);
    std::string name = std::to_string(routers) + " routers";
    PrintRow("nodes",
             "idle leader, processor, " + name,
             100 * leaderUsage.cpuSeconds / time,
             "% of a core");
    PrintRow("nodes",
             "idle leader, link bytes, " + name,
             leaderUsage.linkBytes / time / 1e3,
             "KB/s");
    PrintRow("nodes",
             "idle router, processor, " + name,
             100 * routerUsage.cpuSeconds / time,
             "% of a core",
             "< 1.1");
    PrintRow("nodes",
             "idle router, link bytes, " + name,
             routerUsage.linkBytes / time / 1e3,
             "KB/s",
             "< 11");
    PrintRow("nodes",
             "idle router, memory, " + name,
             routerUsage.memoryBytes / 1e6,
             "MB",
             "< 128");
  }
  PrintRow("nodes",
           "leader's processor per router (slope)",
           1e6 * FitLine(cpu).slope,
           "us/s");
  PrintRow("nodes",
           "leader's link bytes per router (slope)",
           FitLine(bytes).slope,
           "B/s");
  PrintRow("nodes",
           "leader's memory per router (slope)",
           FitLine(memory).slope / 1e3,
           "kB");
}

void
MeasureCommands()
{
  constexpr int kCommandsPerRound = 400;
  faults::Fleet fleet("bench-commands", 1, ControlOptions(1));
  std::vector<std::pair<double, double>> memory;
  int commandCount = 0;
  for (int round = 0; round < 4; ++round) {
    auto before = ReadLeader(fleet);
    auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < kCommandsPerRound; ++i, ++commandCount) {
      std::string id = "bench-" + std::to_string(commandCount);
      fleet.SendAdminRequest(
        "POST",
        "/admin/workspaces",
        { { "change_id", "create-" + id }, { "workspace", id } });
    }
    double time = Seconds(std::chrono::steady_clock::now() - start);
    auto usage = UsageSince(before, ReadLeader(fleet));
    memory.emplace_back(commandCount, usage.memoryBytes);
    std::string name = std::to_string(commandCount) + " workspaces";
    PrintRow("commands",
             "one command, time, " + name,
             time / kCommandsPerRound * 1e3,
             "ms");
    PrintRow("commands",
             "one command, leader's processor, " + name,
             usage.cpuSeconds / kCommandsPerRound * 1e6,
             "us");
    PrintRow("commands",
             "one command, leader's link bytes, " + name,
             usage.linkBytes / kCommandsPerRound,
             "B");
  }
  PrintRow("commands",
           "leader's memory per workspace (slope)",
           FitLine(memory).slope / 1e3,
           "kB");
}

void
MeasureChanges()
{
  constexpr int kRouters = 8;
  constexpr int kChanges = 30;
  faults::Fleet fleet("bench-changes", 1, ControlOptions(kRouters));
  std::this_thread::sleep_for(2s);
  auto leaderBefore = ReadLeader(fleet);
  auto routerBefore = ReadUsage(fleet.Router(0), fleet.AdminAddress("r0"));
  double longestSeconds = 0;
  auto begun = std::chrono::steady_clock::now();
  for (int i = 0; i < kChanges; ++i) {
    std::string model = "model-" + std::to_string(i);
    auto current = fleet.ReadAdminJson("/admin/config");
    auto baseVersion = current.at("version").to_number<std::uint64_t>();
    fleet.ApplyModels({ "chat", model }, baseVersion, "bench-" + model);
    auto start = std::chrono::steady_clock::now();
    for (int router = 0; router < kRouters; ++router) {
      faults::WaitFor(10s, [&] {
        return fleet.GetFromRouter(router, "/v1/models").body.find(model) !=
               std::string::npos;
      });
    }
    longestSeconds = std::max(
      longestSeconds, Seconds(std::chrono::steady_clock::now() - start));
  }
  double time = Seconds(std::chrono::steady_clock::now() - begun);
  auto leader = UsageSince(leaderBefore, ReadLeader(fleet));
  auto router = UsageSince(
    routerBefore, ReadUsage(fleet.Router(0), fleet.AdminAddress("r0")));
  PrintRow("changes",
           "longest time until all 8 routers have a change",
           longestSeconds * 1e3,
           "ms",
           "< 7000");
  PrintRow("changes",
           "leader's processor per change and idle share",
           leader.cpuSeconds / kChanges * 1e3,
           "ms");
  PrintRow("changes",
           "router's link bytes per change and idle share",
           router.linkBytes / kChanges,
           "B");
  PrintRow("changes", "changes made in a second", kChanges / time, "1/s");
}

} // namespace lycheestand::bench
