#ifndef LYCHEESTAND_STREAMS_H
#define LYCHEESTAND_STREAMS_H

// Which version of software has begun a stream of events. A stream may go on
// only at endpoints of that version. Nothing here does I/O or reads a clock.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <lycheestand/core.h>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lycheestand::streams {

// ---------------------------------------------------------------- router

struct LogOptions
{
  // Time for which a stream is kept. It is longer than a stream and its retries
  // may last.
  Duration lifetime = std::chrono::seconds(60);
  // Streams that are kept; the oldest ones go first.
  std::size_t maxStreams = 32768;
};

// Streams that endpoints of one version have begun.
struct StreamBatch
{
  ServiceName service;
  SoftwareVersion version;
  std::vector<StreamId> streams;

  friend bool operator==(const StreamBatch&, const StreamBatch&) = default;
};

// What a router knows of a stream.
struct KnownStream
{
  // The router has begun the stream and still keeps it.
  bool isKept = false;
  // Empty also if the stream has begun more than once, at several versions.
  std::optional<SoftwareVersion> version;
};

// The streams that a router has begun, and which of them it has not reported
// yet to control.
class StreamLog
{
public:
  explicit StreamLog(LogOptions aOptions = {})
    : options(aOptions)
  {
  }

  // Records that an endpoint has begun a stream.
  void Begin(const ServiceName& aService,
             StreamId aStream,
             const SoftwareVersion& aVersion,
             TimePoint aNow);

  // Returns what is known of a stream.
  KnownStream Find(StreamId aStream, TimePoint aNow) const;

  // Replaces the services whose streams are reported. All streams of a service
  // that is new among them are to be reported.
  void SetServices(std::set<ServiceName> aServices);

  // Control may lack the reports until now: all are to be made again.
  void ReportAgain();

  // Returns reports of at most aMaxStreams streams that are to be made now, in
  // the order in which the streams began; none if all are made.
  std::vector<StreamBatch> TakeReports(std::size_t aMaxStreams, TimePoint aNow);

  // Returns how many streams are kept. A stream that has begun several times
  // counts each time.
  std::size_t Size() const { return this->entries.size(); }

private:
  // Service and version of streams, with the number of their entries.
  using Origin = std::pair<ServiceName, SoftwareVersion>;
  using Origins = std::map<Origin, std::size_t>;

  struct Entry
  {
    StreamId stream;
    TimePoint beganAt{};
    Origins::iterator origin;
    bool isAmbiguous = false;
    bool isReported = false;
  };

  bool IsExpired(const Entry& aEntry, TimePoint aNow) const
  {
    return aNow - aEntry.beganAt >= this->options.lifetime;
  }
  void DropOld(TimePoint aNow);
  void DropFirst();

  LogOptions options;
  Origins origins;
  // In the order in which they began. The first one has the number
  // firstNumber.
  std::deque<Entry> entries;
  std::uint64_t firstNumber = 0;
  // Number of the last entry of each stream.
  std::unordered_map<StreamId, std::uint64_t> numbers;
  std::set<ServiceName> services;
  // Entries before this number need no report.
  std::uint64_t nextReport = 0;
};

} // namespace lycheestand::streams

#endif
