#include <catch2/catch.hpp>
#include <lycheestand/net.h>

using namespace lycheestand;
using namespace lycheestand::net;
using namespace std::chrono_literals;

// A malformed line makes a scraper assign a value to the wrong metric.
TEST_CASE("Metrics render names, labels and types")
{
  MetricsRegistry registry;
  registry.GetCounter("requests_total", "code=\"ok\"").Add(3);
  registry.GetGauge("in_flight").Set(2);
  std::string text = registry.Render();
  REQUIRE(text.find("# TYPE requests_total counter\n"
                    "requests_total{code=\"ok\"} 3\n") != std::string::npos);
  REQUIRE(text.find("in_flight 2\n") != std::string::npos);
}

// Prometheus requires cumulative buckets, the last of which equals the count.
// Values below the first and above the last edge must be counted, too.
TEST_CASE("A histogram's buckets are cumulative up to its count")
{
  MetricsRegistry registry;
  auto histogram = registry.GetHistogram("request_seconds");
  histogram.Record(1us);
  histogram.Record(10ms);
  histogram.Record(1000s);
  std::string text = registry.Render();
  REQUIRE(text.find("request_seconds_bucket{le=\"+Inf\"} 3\n") !=
          std::string::npos);
  REQUIRE(text.find("request_seconds_bucket{le=\"100\"} 2\n") !=
          std::string::npos);
  REQUIRE(text.find("request_seconds_count 3\n") != std::string::npos);
}
