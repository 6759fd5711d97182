#ifndef LYCHEESTAND_BENCH_FLEET_PROBE_H
#define LYCHEESTAND_BENCH_FLEET_PROBE_H

// Measures the resource usage of processes, and runs the load generator.

#include "../../test/faults/fleet.h"

#include <string>
#include <vector>

namespace lycheestand::bench {

// Resource usage of a process: CPU time and link traffic since its start, and
// its current resident memory.
struct ProcessUsage
{
  double cpuSeconds = 0;
  double memoryBytes = 0;
  // Bytes sent and received on links with other processes of the fleet.
  double linkBytes = 0;
};

// Reads the usage of a process from /proc and from the metrics at its admin
// address.
ProcessUsage
ReadUsage(const faults::Process& aProcess, const Address& aAdmin);

// Returns the CPU time and link traffic between two readings, and the memory of
// the later one.
ProcessUsage
UsageSince(const ProcessUsage& aEarlier, const ProcessUsage& aLater);

// The line y = intercept + slope * x.
struct LinearFit
{
  double intercept = 0;
  double slope = 0;
};

// Returns the least-squares line through the points.
LinearFit
FitLine(const std::vector<std::pair<double, double>>& aPoints);

// Runs bench_load with the arguments and returns its report. Throws
// std::runtime_error if it fails or takes longer than aTimeout.
faults::json::object
RunLoad(const std::vector<std::string>& aArguments, Duration aTimeout);

// Returns the number at a JSON pointer such as "/chat/first_byte_ms/p50", or 0
// if the report has none there.
double
ReadNumber(const faults::json::value& aReport, const std::string& aPointer);

} // namespace lycheestand::bench

#endif
