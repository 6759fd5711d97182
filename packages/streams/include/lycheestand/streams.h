#ifndef LYCHEESTAND_STREAMS_H
#define LYCHEESTAND_STREAMS_H

// Keeps streams at the version of software that began them. Nothing here does
// I/O or reads a clock.

#include <cstddef>
#include <lycheestand/core.h>
#include <lycheestand/membership.h>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace lycheestand::streams {

// ---------------------------------------------------------------- control

using Versions = std::map<ServiceName, std::set<SoftwareVersion>>;

// Returns the services with several versions.
std::vector<ServiceName>
FindMixedServices(const Versions& aVersions);

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
  // Time without endpoints of a version after which it is retired, longer than
  // a stream and its retries may last.
  static constexpr Duration kRetireAfter = std::chrono::seconds(60);

  // Versions of a service above aMaxVersions are not admitted.
  explicit VersionTracker(std::size_t aMaxVersions)
    : maxVersions(aMaxVersions)
  {
  }

  // Forgets what the list has shown, and the admitted versions.
  void Clear();

  void SetAdmitted(Versions aVersions)
  {
    this->admitted = std::move(aVersions);
  }
  const Versions& Admitted() const { return this->admitted; }

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
  // Admitted versions that the last reading did not show, with the time of the
  // first reading that did not.
  std::map<std::pair<ServiceName, SoftwareVersion>, TimePoint> missingSince;
};

// Streams that endpoints of one version have begun.
struct StreamBatch
{
  ServiceName service;
  SoftwareVersion version;
  std::vector<StreamId> streams;

  friend bool operator==(const StreamBatch&, const StreamBatch&) = default;
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

} // namespace lycheestand::streams

#endif
