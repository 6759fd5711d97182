#include "report.h"

#include <algorithm>
#include <boost/json.hpp>

namespace lycheestand::bench {

namespace {

boost::json::object
FormatTimes(const std::vector<double>& aValues)
{
  return { { "p50", Quantile(aValues, 0.5) },
           { "p95", Quantile(aValues, 0.95) },
           { "p99", Quantile(aValues, 0.99) } };
}

boost::json::object
FormatKind(const KindReport& aKind)
{
  boost::json::object refusals;
  for (const auto& [code, count] : aKind.refusalsByCode) {
    refusals[code] = count;
  }
  return { { "offered", aKind.offered },
           { "whole", aKind.completed },
           { "cut", aKind.truncated },
           { "refusals", refusals },
           { "first_byte_ms", FormatTimes(aKind.firstByteMs) },
           { "gap_ms", FormatTimes(aKind.gapsMs) },
           { "total_ms", FormatTimes(aKind.totalMs) } };
}

} // namespace

double
Quantile(std::vector<double> aValues, double aFraction)
{
  if (aValues.empty()) {
    return 0;
  }
  auto position =
    aValues.begin() + static_cast<std::ptrdiff_t>(
                        aFraction * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(), position, aValues.end());
  return *position;
}

std::string
FormatReport(const Report& aReport, double aSeconds)
{
  boost::json::object out;
  std::uint64_t completed = 0;
  for (std::size_t i = 0; i < aReport.size(); ++i) {
    completed += aReport[i].completed;
    if (aReport[i].offered > 0) {
      out[ToString(static_cast<CallKind>(i))] = FormatKind(aReport[i]);
    }
  }
  out["seconds"] = aSeconds;
  out["whole_per_second"] = static_cast<double>(completed) / aSeconds;
  return boost::json::serialize(out);
}

} // namespace lycheestand::bench
