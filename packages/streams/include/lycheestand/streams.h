#ifndef LYCHEESTAND_STREAMS_H
#define LYCHEESTAND_STREAMS_H

// Keeps streams at the version of software that began them. Nothing here does
// I/O or reads a clock.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <lycheestand/core.h>
#include <lycheestand/membership.h>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lycheestand::streams {

// Streams of a service that endpoints of one version have begun.
struct StreamBatch
{
  ServiceName service;
  SoftwareVersion version;
  std::vector<StreamId> streams;

  friend bool operator==(const StreamBatch&, const StreamBatch&) = default;
};

// ---------------------------------------------------------------- control

using Versions = std::map<ServiceName, std::set<SoftwareVersion>>;

// Returns the services with several versions.
std::vector<ServiceName>
FindMixedServices(const Versions& aVersions);

// Returns whether streams of a version are to be recorded: not if it is the
// only one that is admitted for its service, or if none is.
bool
NeedsRecord(const Versions& aAdmitted,
            const ServiceName& aService,
            const SoftwareVersion& aVersion);

// What a reading of the platform's list calls for.
struct VersionChanges
{
  // Versions in the list that are not admitted.
  Versions toAdmit;
  // Versions that the list has not shown for a while.
  Versions toRetire;
  // Versions in the list of services with too many others.
  Versions excluded;
};

// Decides which versions of software may serve, from the platform's list and
// from the versions that the replicated state has admitted. The platform names
// versions for services only; other endpoints, and those without a version,
// need no admission.
class VersionTracker
{
public:
  // Time without endpoints of a version after which it is retired. It is longer
  // than a stream and its retries may last, and than a router that is out of
  // contact may find endpoints that the list no longer names.
  static constexpr Duration kRetireAfter = std::chrono::minutes(10);

  // Versions of a service above aMaxVersions are not admitted.
  explicit VersionTracker(std::size_t aMaxVersions)
    : maxVersions(aMaxVersions)
  {
  }

  // Forgets what the list has shown, and the admitted versions.
  void Clear();

  void SetAdmitted(Versions aVersions);
  const Versions& Admitted() const { return this->admitted; }

  // Records that a version is proposed for retirement. Its endpoints are not
  // selected until it has been retired and admitted again.
  void BeginRetirement(const ServiceName& aService,
                       const SoftwareVersion& aVersion);

  // Takes a reading of the list. Changes that are not carried out are returned
  // again for the next one.
  VersionChanges Read(const std::vector<membership::Endpoint>& aEndpoints,
                      TimePoint aNow);

  // Returns the endpoints whose versions are admitted.
  std::vector<membership::Endpoint> SelectAdmitted(
    const std::vector<membership::Endpoint>& aEndpoints) const;

private:
  bool IsAdmitted(const ServiceName& aService,
                  const SoftwareVersion& aVersion) const;

  std::size_t maxVersions;
  Versions admitted;
  // Admitted versions that are proposed for retirement.
  std::set<std::pair<ServiceName, SoftwareVersion>> retiring;
  // Admitted versions that the last reading did not show, with the time of the
  // first reading that did not.
  std::map<std::pair<ServiceName, SoftwareVersion>, TimePoint> missingSince;
};

// Merges the reports of routers by service and version.
class ReportQueue
{
public:
  explicit ReportQueue(std::size_t aMaxStreams)
    : maxStreams(aMaxStreams)
  {
  }

  // Returns the number of streams that were dropped because the queue is full.
  std::size_t Add(const StreamBatch& aReport);

  // Removes and returns at most so many streams.
  std::vector<StreamBatch> Take(std::size_t aMaxStreams);

  bool IsEmpty() const { return this->count == 0; }
  void Clear();

private:
  std::size_t maxStreams;
  std::size_t count = 0;
  std::map<std::pair<ServiceName, SoftwareVersion>, std::vector<StreamId>>
    queued;
};

// ---------------------------------------------------------------- streams

struct LogOptions
{
  // Time for which a stream is kept. It is longer than a stream and its retries
  // may last.
  Duration lifetime = std::chrono::seconds(60);
  // Streams that are kept; the oldest ones go first.
  std::size_t maxStreams = 32768;
};

// What a log knows of a stream.
struct KnownStream
{
  // The stream has begun, and is still kept.
  bool isKept = false;
  // Empty also if the stream has begun more than once, at several versions.
  std::optional<SoftwareVersion> version;
};

// The streams that have begun lately: at a router, which reports them to
// control, or at all routers as far as the leader knows from their reports.
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

  // Control may lack the reports until now: all are to be made again.
  void ReportAgain();

  // Returns reports of at most aMaxStreams streams that are to be made now, in
  // the order in which the streams began; none if all are made. Streams of
  // endpoints without a version are not reported.
  std::vector<StreamBatch> TakeReports(std::size_t aMaxStreams, TimePoint aNow);

  // Returns all streams of a service that are kept, by version.
  std::vector<StreamBatch> Collect(const ServiceName& aService,
                                   TimePoint aNow) const;

  // Forgets all streams.
  void Clear();

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
  // Entries before this number need no report.
  std::uint64_t nextReport = 0;
};

} // namespace lycheestand::streams

#endif
