#include <atomic>
#include <boost/histogram.hpp>
#include <lycheestand/net.h>
#include <mutex>
#include <sstream>

namespace lycheestand::net {

namespace histogram = boost::histogram;

void
Counter::Add(std::uint64_t aCount)
{
  this->value->fetch_add(aCount, std::memory_order_relaxed);
}

std::uint64_t
Counter::Value() const
{
  return this->value->load(std::memory_order_relaxed);
}

void
Gauge::Set(std::int64_t aValue)
{
  this->value->store(aValue, std::memory_order_relaxed);
}

void
Gauge::Add(std::int64_t aChange)
{
  this->value->fetch_add(aChange, std::memory_order_relaxed);
}

std::int64_t
Gauge::Value() const
{
  return this->value->load(std::memory_order_relaxed);
}

namespace {

// Logarithmic buckets from 0.1 ms to 100 s, four per decade.
constexpr double kFirstEdgeSeconds = 0.0001;
constexpr double kLastEdgeSeconds = 100;
constexpr unsigned kBucketCount = 24;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using ThreadSafeCount = histogram::accumulators::count<std::uint64_t, true>;

} // namespace

struct DurationHistogram::Data
{
  decltype(histogram::make_histogram_with(
    histogram::dense_storage<ThreadSafeCount>(),
    Axis(kBucketCount, kFirstEdgeSeconds, kLastEdgeSeconds))) counts =
    histogram::make_histogram_with(
      histogram::dense_storage<ThreadSafeCount>(),
      Axis(kBucketCount, kFirstEdgeSeconds, kLastEdgeSeconds));
  std::atomic<std::uint64_t> sumMicroseconds{ 0 };
};

DurationHistogram::DurationHistogram()
  : data(std::make_shared<Data>())
{
}

void
DurationHistogram::Record(Duration aValue)
{
  this->data->counts(ToSeconds(aValue));
  this->data->sumMicroseconds.fetch_add(
    static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(aValue).count()),
    std::memory_order_relaxed);
}

std::string
DurationHistogram::Render(const std::string& aName,
                          const std::string& aLabels) const
{
  std::ostringstream out;
  const auto& counts = this->data->counts;
  const std::string labelPrefix = aLabels.empty() ? "" : aLabels + ",";
  std::uint64_t cumulativeCount = counts.at(-1).value();
  for (unsigned i = 0; i < kBucketCount; ++i) {
    cumulativeCount += counts.at(static_cast<int>(i)).value();
    out << aName << "_bucket{" << labelPrefix << "le=\""
        << counts.axis().value(static_cast<int>(i) + 1) << "\"} "
        << cumulativeCount << "\n";
  }
  cumulativeCount += counts.at(static_cast<int>(kBucketCount)).value();
  const std::string labels = aLabels.empty() ? "" : "{" + aLabels + "}";
  out << aName << "_bucket{" << labelPrefix << "le=\"+Inf\"} "
      << cumulativeCount << "\n"
      << aName << "_sum" << labels << " "
      << static_cast<double>(this->data->sumMicroseconds.load()) / 1e6 << "\n"
      << aName << "_count" << labels << " " << cumulativeCount << "\n";
  return out.str();
}

struct MetricsRegistry::Data
{
  using Key = std::pair<std::string, std::string>;

  mutable std::mutex mutex;
  std::map<Key, Counter> counters;
  std::map<Key, Gauge> gauges;
  std::map<Key, DurationHistogram> histograms;
};

MetricsRegistry::MetricsRegistry()
  : data(std::make_unique<Data>())
{
}

MetricsRegistry::~MetricsRegistry() = default;

Counter
MetricsRegistry::GetCounter(const std::string& aName,
                            const std::string& aLabels)
{
  std::lock_guard lock(this->data->mutex);
  return this->data->counters[{ aName, aLabels }];
}

Gauge
MetricsRegistry::GetGauge(const std::string& aName, const std::string& aLabels)
{
  std::lock_guard lock(this->data->mutex);
  return this->data->gauges[{ aName, aLabels }];
}

void
MetricsRegistry::RemoveGauge(const std::string& aName,
                             const std::string& aLabels)
{
  std::lock_guard lock(this->data->mutex);
  this->data->gauges.erase({ aName, aLabels });
}

DurationHistogram
MetricsRegistry::GetHistogram(const std::string& aName,
                              const std::string& aLabels)
{
  std::lock_guard lock(this->data->mutex);
  return this->data->histograms[{ aName, aLabels }];
}

std::string
MetricsRegistry::Render() const
{
  std::lock_guard lock(this->data->mutex);
  std::ostringstream out;
  std::string lastName;
  auto writeType = [&](const std::string& aName, const char* aType) {
    if (aName != lastName) {
      out << "# TYPE " << aName << " " << aType << "\n";
      lastName = aName;
    }
  };
  auto writeLine = [&](const Data::Key& aKey, auto aValue) {
    out << aKey.first;
    if (!aKey.second.empty()) {
      out << "{" << aKey.second << "}";
    }
    out << " " << aValue << "\n";
  };
  for (const auto& [key, counter] : this->data->counters) {
    writeType(key.first, "counter");
    writeLine(key, counter.Value());
  }
  for (const auto& [key, gauge] : this->data->gauges) {
    writeType(key.first, "gauge");
    writeLine(key, gauge.Value());
  }
  for (const auto& [key, values] : this->data->histograms) {
    writeType(key.first, "histogram");
    out << values.Render(key.first, key.second);
  }
  return out.str();
}

MetricsRegistry&
Metrics()
{
  static MetricsRegistry registry;
  return registry;
}

} // namespace lycheestand::net
