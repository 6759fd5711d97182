#ifndef LYCHEESTAND_BENCH_LOAD_REPORT_H
#define LYCHEESTAND_BENCH_LOAD_REPORT_H

#include "mix.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace lycheestand::bench {

// Results of the calls of one kind.
struct KindReport
{
  std::uint64_t offered = 0;
  std::uint64_t completed = 0;
  // Streams that ended without the final [DONE] event.
  std::uint64_t truncated = 0;
  std::map<std::string, std::uint64_t> refusalsByCode;
  std::vector<double> firstByteMs;
  std::vector<double> gapsMs;
  std::vector<double> totalMs;
};

using Report = std::array<KindReport, kCallKindCount>;

// Returns a quantile of the values, such as the median for 0.5; 0 if there are
// none.
double
Quantile(std::vector<double> aValues, double aFraction);

// Returns the report as one JSON object.
std::string
FormatReport(const Report& aReport, double aSeconds);

} // namespace lycheestand::bench

#endif
