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

ProcessUse
ReadLeader(faults::Fleet& aFleet)
{
  int leader = aFleet.FindLeader();
  return ReadUse(aFleet.Control(leader),
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
    auto router = ReadUse(fleet.Router(0), fleet.AdminAddress("r0"));
    std::this_thread::sleep_for(kIdleTime);
    auto leaderUse = Since(leader, ReadLeader(fleet));
    auto routerUse =
      Since(router, ReadUse(fleet.Router(0), fleet.AdminAddress("r0")));
    double time = Seconds(kIdleTime);
    cpu.emplace_back(routers, leaderUse.cpuSeconds / time);
    bytes.emplace_back(routers, leaderUse.linkBytes / time);
    memory.emplace_back(routers, leaderUse.memoryBytes);
    std::string name = std::to_string(routers) + " routers";
    PrintRow("nodes",
             "idle leader, processor, " + name,
             100 * leaderUse.cpuSeconds / time,
             "% of a core");
    PrintRow("nodes",
             "idle leader, link bytes, " + name,
             leaderUse.linkBytes / time / 1e3,
             "KB/s");
    PrintRow("nodes",
             "idle router, processor, " + name,
             100 * routerUse.cpuSeconds / time,
             "% of a core",
             "< 1.1");
    PrintRow("nodes",
             "idle router, link bytes, " + name,
             routerUse.linkBytes / time / 1e3,
             "KB/s",
             "< 11");
    PrintRow("nodes",
             "idle router, memory, " + name,
             routerUse.memoryBytes / 1e6,
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
  constexpr int kStep = 400;
  faults::Fleet fleet("bench-commands", 1, ControlOptions(1));
  std::vector<std::pair<double, double>> memory;
  int made = 0;
  for (int round = 0; round < 4; ++round) {
    auto before = ReadLeader(fleet);
    auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < kStep; ++i, ++made) {
      std::string id = "bench-" + std::to_string(made);
      fleet.SendAdminRequest(
        "POST",
        "/admin/workspaces",
        { { "change_id", "create-" + id }, { "workspace", id } });
    }
    double time = Seconds(std::chrono::steady_clock::now() - start);
    auto use = Since(before, ReadLeader(fleet));
    memory.emplace_back(made, use.memoryBytes);
    std::string name = std::to_string(made) + " workspaces";
    PrintRow(
      "commands", "one command, time, " + name, time / kStep * 1e3, "ms");
    PrintRow("commands",
             "one command, leader's processor, " + name,
             use.cpuSeconds / kStep * 1e6,
             "us");
    PrintRow("commands",
             "one command, leader's link bytes, " + name,
             use.linkBytes / kStep,
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
  auto routerBefore = ReadUse(fleet.Router(0), fleet.AdminAddress("r0"));
  double longest = 0;
  auto begun = std::chrono::steady_clock::now();
  for (int i = 0; i < kChanges; ++i) {
    std::string model = "model-" + std::to_string(i);
    auto current = fleet.ReadAdminJson("/admin/config");
    auto base = current.at("version").to_number<std::uint64_t>();
    fleet.ApplyModels({ "chat", model }, base, "bench-" + model);
    auto start = std::chrono::steady_clock::now();
    for (int router = 0; router < kRouters; ++router) {
      faults::WaitFor(10s, [&] {
        return fleet.GetFromRouter(router, "/v1/models").body.find(model) !=
               std::string::npos;
      });
    }
    longest =
      std::max(longest, Seconds(std::chrono::steady_clock::now() - start));
  }
  double time = Seconds(std::chrono::steady_clock::now() - begun);
  auto leader = Since(leaderBefore, ReadLeader(fleet));
  auto router =
    Since(routerBefore, ReadUse(fleet.Router(0), fleet.AdminAddress("r0")));
  PrintRow("changes",
           "longest time until all 8 routers have a change",
           longest * 1e3,
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
