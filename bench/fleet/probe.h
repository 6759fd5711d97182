#ifndef LYCHEESTAND_BENCH_FLEET_PROBE_H
#define LYCHEESTAND_BENCH_FLEET_PROBE_H

// What a process costs, read from the kernel and from its metrics.

#include "../../test/faults/fleet.h"

#include <string>
#include <vector>

namespace lycheestand::bench {

// Use of a process since it started, and its memory now.
struct ProcessUse
{
  double cpuSeconds = 0;
  double memoryBytes = 0;
  // Bytes sent and received on links with other processes of the fleet.
  double linkBytes = 0;
};

// Reads the use of a process; aAdmin is where it serves its metrics.
ProcessUse
ReadUse(const faults::Process& aProcess, const Address& aAdmin);

// Returns later minus earlier; memory is the later one's.
ProcessUse
Since(const ProcessUse& aEarlier, const ProcessUse& aLater);

// A straight line through points.
struct Fit
{
  double base = 0;
  double slope = 0;
};

// Returns the least-squares line through the points.
Fit
FitLine(const std::vector<std::pair<double, double>>& aPoints);

// Runs bench_load with the arguments and returns its report.
faults::json::object
RunLoad(const std::vector<std::string>& aArguments, Duration aLimit);

// Returns a number in a report, such as "/chat/first_byte_ms/p50".
double
ReadNumber(const faults::json::value& aReport, const std::string& aPointer);

} // namespace lycheestand::bench

#endif
