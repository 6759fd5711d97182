#ifndef LYCHEESTAND_STREAM_REGISTER_H
#define LYCHEESTAND_STREAM_REGISTER_H

// The part of the replicated state that tells which version of software has
// begun a stream. Include <lycheestand/state.h>.

#include <cstddef>
#include <cstdint>
#include <lycheestand/core.h>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace lycheestand::state {

// ---------------------------------------------------------------- commands

// Allows a version of software to serve. Endpoints of other versions get no
// requests.
struct AdmitVersion
{
  ServiceName service;
  SoftwareVersion version;

  friend bool operator==(const AdmitVersion&, const AdmitVersion&) = default;
};

// Removes a version that no endpoint has any more. The versions of its streams
// are not known from then on.
struct RetireVersion
{
  ServiceName service;
  SoftwareVersion version;

  friend bool operator==(const RetireVersion&, const RetireVersion&) = default;
};

// Streams that endpoints of one version have begun.
struct StreamBatch
{
  ServiceName service;
  SoftwareVersion version;
  std::vector<StreamId> streams;

  friend bool operator==(const StreamBatch&, const StreamBatch&) = default;
};

// Records which versions have begun streams. Streams may be recorded again.
struct RecordStreams
{
  std::vector<StreamBatch> batches;

  friend bool operator==(const RecordStreams&, const RecordStreams&) = default;
};

// Drops the records that were made, or repeated, before the last such command.
struct AgeStreams
{
  friend bool operator==(const AgeStreams&, const AgeStreams&) = default;
};

// ---------------------------------------------------------------- outcomes

// Outcome of RecordStreams and AgeStreams.
struct StreamsRecorded
{
  // Streams that had no record.
  std::uint32_t added = 0;
  // Streams that got no record because there are too many.
  std::uint32_t dropped = 0;
  // All records.
  std::uint64_t total = 0;

  friend bool operator==(const StreamsRecorded&,
                         const StreamsRecorded&) = default;
};

// ---------------------------------------------------------------- register

// Owns the versions of software that serve, and while a service has several,
// the records of the streams that each of them has begun.
class StreamRegister
{
public:
  // Maximum number of versions of a service.
  static constexpr std::size_t kMaxVersions = 16;
  // Maximum number of records of a generation, over all services.
  static constexpr std::size_t kMaxRecords = 131072;

  using Versions = std::map<ServiceName, std::set<SoftwareVersion>>;

  // Returns false if the service has the maximum number of other versions.
  bool Admit(const AdmitVersion& aCommand);

  void Retire(const RetireVersion& aCommand);

  // Ignores streams of the only version of a service. Those of a version that
  // is not admitted, such as one that was retired, are not known.
  StreamsRecorded Record(const RecordStreams& aCommand);

  StreamsRecorded Age();

  // Returns the version that has begun a stream: that of its record, or the
  // only version of the service, or the empty version if the service has none.
  // Returns nothing if it is not known, also if the stream was recorded with
  // two versions.
  std::optional<SoftwareVersion> Find(
    const ServiceName& aService,
    const std::optional<StreamId>& aStream) const;

  Versions AllVersions() const;

  // Returns how often the versions have changed.
  std::uint64_t VersionChanges() const { return this->versionChanges; }

  std::size_t RecordCount() const;

  friend bool operator==(const StreamRegister&,
                         const StreamRegister&) = default;

private:
  friend struct SnapshotAccess;

  // Stands for a version in the records of its service.
  using VersionNumber = std::uint8_t;
  // Stands for the versions of a stream that was recorded with two.
  static constexpr VersionNumber kAmbiguous = 0;

  using Records = std::unordered_map<StreamId, VersionNumber>;

  // Each stream is in at most one generation.
  struct Service
  {
    std::map<SoftwareVersion, VersionNumber> versions;
    Records current;
    Records older;

    VersionNumber FreeNumber() const;
    const VersionNumber* FindRecord(StreamId aStream) const;
    // Makes the streams of a version unknown.
    void MakeAmbiguous(VersionNumber aNumber);
    bool IsEmpty() const;

    friend bool operator==(const Service&, const Service&) = default;
  };

  static void RecordStream(Service& aService,
                           StreamId aStream,
                           VersionNumber aNumber,
                           std::size_t& aFree,
                           StreamsRecorded& aResult);
  std::map<ServiceName, Service> services;
  std::uint64_t versionChanges = 0;
};

} // namespace lycheestand::state

#endif
