#ifndef LYCHEESTAND_BENCH_LOAD_REPORT_H
#define LYCHEESTAND_BENCH_LOAD_REPORT_H

#include "mix.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace lycheestand::bench {

// What became of the calls of one kind; times in milliseconds.
struct KindReport
{
  std::uint64_t offered = 0;
  std::uint64_t whole = 0;
  // Streams that ended without their last event.
  std::uint64_t cut = 0;
  std::map<std::string, std::uint64_t> refusals;
  std::vector<double> firstByte;
  std::vector<double> gaps;
  std::vector<double> total;
};

using Report = std::array<KindReport, kCallKinds>;

// Returns the value below which the share aQuantile of the values lies.
double
Quantile(std::vector<double> aValues, double aQuantile);

// Returns the report as one JSON object.
std::string
FormatReport(const Report& aReport, double aSeconds);

} // namespace lycheestand::bench

#endif
