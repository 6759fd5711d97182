#ifndef LYCHEESTAND_MEMBERSHIP_H
#define LYCHEESTAND_MEMBERSHIP_H

// Which instances and endpoints there are: failure detection from heartbeats,
// a versioned view with deltas, and entry weights. Pure: time is a value.

#include <cstdint>
#include <deque>
#include <lycheestand/core.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lycheestand::membership {

// ------------------------------------------------------------ failure
// detection

// Limits of a failure detector.
struct DetectorOptions
{
  // Silence after which an instance is suspected: three missed heartbeats.
  Duration suspectAfter = std::chrono::milliseconds(3500);
  // Longest silence to which false suspicions extend that.
  Duration maxSuspectAfter = std::chrono::seconds(10);
  // Heartbeats in a row that clear a suspicion.
  unsigned heartbeatsToTrust = 2;
  // Time without suspicion after which an extension is taken back.
  Duration calmTime = std::chrono::minutes(5);
  // Silence after which an instance is no longer listed.
  Duration forgetAfter = std::chrono::minutes(10);
};

enum class Health
{
  Alive,
  // Heartbeats are missing; it may only be cut off or frozen.
  Suspect,
  // Not known, or silent for so long that it is no longer listed.
  Gone
};

// Suspects instances whose heartbeats stay away. A suspicion that turns out to
// be false makes the detector more patient with that instance, and one late
// heartbeat does not clear a suspicion, so that a lossy link does not flap.
class FailureDetector
{
public:
  explicit FailureDetector(DetectorOptions aOptions = {})
    : options(aOptions)
  {
  }

  // The instance has connected: it is alive at once.
  void Join(const InstanceId& aInstance, TimePoint aNow);

  void Heartbeat(const InstanceId& aInstance, TimePoint aNow);

  Health GetHealth(const InstanceId& aInstance, TimePoint aNow) const;

  // Drops and returns the instances that are gone.
  std::vector<InstanceId> Forget(TimePoint aNow);

  void Clear() { this->instances.clear(); }

private:
  struct Record
  {
    TimePoint lastHeartbeat{};
    TimePoint lastSuspicion{};
    Duration patience{};
    // Heartbeats still needed before a suspicion is cleared.
    unsigned untrusted = 0;
  };

  DetectorOptions options;
  std::map<InstanceId, Record> instances;
};

// ------------------------------------------------------------ view

// A router as others see it.
struct Instance
{
  InstanceId instance;
  ZoneId zone;
  Address callerAddress;
  // Requests in flight, quantized so that small changes make no delta.
  std::uint32_t inFlight = 0;
  bool leaving = false;
  bool alive = false;

  friend bool operator==(const Instance&, const Instance&) = default;
};

// A model engine or service replica.
struct Endpoint
{
  EndpointId endpoint;
  ZoneId zone;
  Address address;
  std::string serves;
  bool isService = false;
  bool leaving = false;

  friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

// What changed between two versions of a view.
struct ViewDelta
{
  // Version that it applies to; none when it holds the whole view.
  std::optional<ViewVersion> base;
  ViewVersion version;
  std::vector<Instance> instances;
  std::vector<Endpoint> endpoints;
  std::vector<InstanceId> removedInstances;
  std::vector<EndpointId> removedEndpoints;
};

// Entries by id, each with the version in which it last changed.
template<class Id, class Entry>
class VersionedMap
{
public:
  struct Versioned
  {
    Entry entry;
    ViewVersion changed;
  };

  // Sets an entry; returns whether it differs from what was there.
  bool Set(const Id& aId, const Entry& aEntry, ViewVersion aVersion);

  // Removes an entry; returns whether it was there.
  bool Remove(const Id& aId, ViewVersion aVersion);

  // Removes the entries that are not in a list; returns whether any was.
  bool KeepOnly(const std::vector<Id>& aIds, ViewVersion aVersion);

  const std::map<Id, Versioned>& Entries() const { return this->entries; }
  const std::deque<std::pair<ViewVersion, Id>>& Removed() const
  {
    return this->removed;
  }

  // Returns the newest version whose removals are no longer all kept.
  ViewVersion OldestBase() const { return this->oldestBase; }

private:
  std::map<Id, Versioned> entries;
  std::deque<std::pair<ViewVersion, Id>> removed;
  ViewVersion oldestBase;
};

// The instances and endpoints of the fleet. The sender updates it and reads
// deltas; a receiver applies them.
class View
{
public:
  // Takes the present instances and endpoints; returns whether any changed,
  // in which case the version is the next one.
  bool Update(const std::vector<Instance>& aInstances,
              const std::vector<Endpoint>& aEndpoints);

  // Returns what changed since a version, or the whole view if that version
  // is not known or too old.
  ViewDelta Since(ViewVersion aBase) const;

  // Applies a delta; returns false if it does not fit this version, in which
  // case the receiver asks for the whole view.
  bool Apply(const ViewDelta& aDelta);

  ViewVersion Version() const { return this->version; }
  std::vector<Instance> Instances() const;
  std::vector<Endpoint> Endpoints() const;

private:
  ViewVersion version;
  VersionedMap<InstanceId, Instance> instances;
  VersionedMap<EndpointId, Endpoint> endpoints;
};

// Returns the load to publish for a number of requests in flight: exact up to
// 8, then in steps of about a quarter. The published value changes only when
// the load has left its step by a margin (aPublished is the last one).
std::uint32_t
QuantizeLoad(std::uint32_t aInFlight, std::uint32_t aPublished);

// ------------------------------------------------------------ entry

// An address in an entry answer.
struct EntryAddress
{
  Address address;
  ZoneId zone;
  std::int64_t weight = 1;
};

// Returns the addresses for callers that ask in a zone: instances of that zone
// weigh twice as much as others, and a busy one less than an idle one.
std::vector<EntryAddress>
WeighEntries(const std::vector<Instance>& aInstances, const ZoneId& aZone);

// What is known where entries are chosen.
struct EntryOptions
{
  // Instances of the caller's own zone that are enough for it.
  std::size_t enoughInZone = 2;
  // Hosts of the control instances.
  std::set<std::string> controlHosts;
  // The chooser itself is in touch with control.
  bool isInTouch = true;
  // Least part of all instances that must be beside control for callers to be
  // sent only there.
  double leastBesideControl = 0.2;
};

// Returns the instances that take callers of a zone: those of the zone if there
// are enough of them, or else all. A chooser that is cut off from control
// assumes that others of its kind are, too, and sends callers to instances
// beside control, unless these are too few to carry them.
std::vector<Instance>
ChooseEntries(const std::vector<Instance>& aInstances,
              const ZoneId& aZone,
              const EntryOptions& aOptions);

} // namespace lycheestand::membership

#endif
