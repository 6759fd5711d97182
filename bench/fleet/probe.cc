#include "probe.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace lycheestand::bench {

namespace {

// In /proc/ID/stat, utime and stime are the fields 11 and 12 after the command
// name (counted from 0).
constexpr int kUserTimeField = 11;
constexpr int kFieldCount = 13;

double
ReadCpuSeconds(pid_t aId)
{
  std::ifstream file("/proc/" + std::to_string(aId) + "/stat");
  std::string text;
  std::getline(file, text);
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string field;
  double ticks = 0;
  for (int i = 0; i < kFieldCount && fields >> field; ++i) {
    if (i >= kUserTimeField) {
      ticks += std::stod(field);
    }
  }
  return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double
ReadMemoryBytes(pid_t aId)
{
  std::ifstream file("/proc/" + std::to_string(aId) + "/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(::sysconf(_SC_PAGESIZE));
}

// Returns the sum of the counters whose names begin with a prefix.
double
SumMetrics(const std::string& aText, const std::string& aNamePrefix)
{
  std::istringstream lines(aText);
  std::string line;
  double sum = 0;
  while (std::getline(lines, line)) {
    if (line.starts_with(aNamePrefix)) {
      sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
  }
  return sum;
}

} // namespace

ProcessUsage
ReadUsage(const faults::Process& aProcess, const Address& aAdmin)
{
  ProcessUsage usage;
  usage.cpuSeconds = ReadCpuSeconds(aProcess.Id());
  usage.memoryBytes = ReadMemoryBytes(aProcess.Id());
  auto reply = faults::Send(aAdmin, { "GET", "/metrics", {}, "" });
  usage.linkBytes = SumMetrics(reply.body, "lycheestand_link_");
  return usage;
}

ProcessUsage
UsageSince(const ProcessUsage& aEarlier, const ProcessUsage& aLater)
{
  return { aLater.cpuSeconds - aEarlier.cpuSeconds,
           aLater.memoryBytes,
           aLater.linkBytes - aEarlier.linkBytes };
}

LinearFit
FitLine(const std::vector<std::pair<double, double>>& aPoints)
{
  double n = static_cast<double>(aPoints.size());
  double sumX = 0;
  double sumY = 0;
  double sumXX = 0;
  double sumXY = 0;
  for (const auto& [x, y] : aPoints) {
    sumX += x;
    sumY += y;
    sumXX += x * x;
    sumXY += x * y;
  }
  double slope = (n * sumXY - sumX * sumY) / (n * sumXX - sumX * sumX);
  return { (sumY - slope * sumX) / n, slope };
}

faults::json::object
RunLoad(const std::vector<std::string>& aArguments, Duration aTimeout)
{
  faults::TestEnvironment environment;
  auto self = std::filesystem::read_symlink("/proc/self/exe");
  std::vector<std::string> command{
    (self.parent_path() / "bench_load").string()
  };
  command.insert(command.end(), aArguments.begin(), aArguments.end());
  faults::Process load("load", environment.Folder() / "load.log", command);
  if (load.WaitForExit(aTimeout) != 0) {
    throw std::runtime_error("bench_load failed or timed out: " +
                             load.LogTail());
  }
  return faults::json::parse(load.Log()).as_object();
}

double
ReadNumber(const faults::json::value& aReport, const std::string& aPointer)
{
  faults::json::error_code error;
  const auto* value = aReport.find_pointer(aPointer, error);
  return value == nullptr ? 0 : value->to_number<double>();
}

} // namespace lycheestand::bench
