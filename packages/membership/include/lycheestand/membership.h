#ifndef LYCHEESTAND_MEMBERSHIP_H
#define LYCHEESTAND_MEMBERSHIP_H

// Tracks the instances and endpoints of the fleet: failure detection from
// heartbeats, a versioned view with deltas, and the choice of instances for
// callers. The code does no I/O and reads no clock; time is an argument.

#include <cstdint>
#include <deque>
#include <lycheestand/core.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lycheestand::membership {

// ------------------------------------------------- failure detection

// Timeouts and thresholds of a FailureDetector.
struct DetectorOptions
{
  // Time without a heartbeat after which an instance is suspected. The default
  // is three missed heartbeats at one per second, plus half an interval.
  Duration suspectAfter = std::chrono::milliseconds(3500);
  // Upper limit to which false suspicions extend suspectAfter.
  Duration maxSuspectAfter = std::chrono::seconds(10);
  // Consecutive heartbeats that clear a suspicion.
  unsigned heartbeatsToTrust = 2;
  // Time without a false suspicion after which an extended timeout returns to
  // suspectAfter.
  Duration resetExtensionAfter = std::chrono::minutes(5);
  // Time without a heartbeat after which an instance is removed.
  Duration removeAfter = std::chrono::minutes(10);
};

enum class Health
{
  Alive,
  // Heartbeats are missing. The instance may have failed, or it may only be
  // partitioned or suspended.
  Suspect,
  // Not known, or without a heartbeat for removeAfter.
  Gone
};

// Suspects instances whose heartbeats are missing. So that the health of an
// instance behind a lossy link does not flap, a false suspicion extends the
// timeout of that instance by half, and one late heartbeat does not clear a
// suspicion.
class FailureDetector
{
public:
  explicit FailureDetector(DetectorOptions aOptions = {})
    : options(aOptions)
  {
  }

  // Records that an instance has connected. It becomes alive immediately, also
  // if it was suspected.
  void Join(const InstanceId& aInstance, TimePoint aNow);

  // Records a heartbeat. An unknown instance is added and alive.
  void Heartbeat(const InstanceId& aInstance, TimePoint aNow);

  Health GetHealth(const InstanceId& aInstance, TimePoint aNow) const;

  // Removes and returns the instances whose health is Gone.
  std::vector<InstanceId> RemoveExpired(TimePoint aNow);

  void Clear() { this->instances.clear(); }

private:
  struct Record
  {
    TimePoint lastHeartbeat{};
    TimePoint lastFalseSuspicion{};
    Duration suspicionTimeout{};
    // Heartbeats that are still needed to clear a suspicion.
    unsigned heartbeatsUntilTrusted = 0;
  };

  DetectorOptions options;
  std::map<InstanceId, Record> instances;
};

// ------------------------------------------------------------ view

// A router as published to others.
struct Instance
{
  InstanceId instance;
  ZoneId zone;
  Address callerAddress;
  // Requests in flight, quantized by QuantizeLoad so that small changes cause
  // no delta.
  std::uint32_t inFlight = 0;
  bool leaving = false;
  bool alive = false;
  // Address at which it lends tokens to other routers; without a host if it
  // does not.
  Address peerAddress;
  // It is not ready for more callers.
  bool overloaded = false;

  friend bool operator==(const Instance&, const Instance&) = default;
};

// A model engine or service replica.
struct Endpoint
{
  EndpointId endpoint;
  ZoneId zone;
  Address address;
  // Name of the model, or of the service if isService.
  std::string serves;
  bool isService = false;
  bool leaving = false;
  StartTime startTime;
  // The endpoint takes few requests, because it has started or idled. For how
  // long is not part of the view, which would change with every reading.
  bool isCold = false;
  SoftwareVersion version;

  friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

// The changes between two versions of a view.
struct ViewDelta
{
  // Version to which the delta applies; empty if it contains the whole view.
  std::optional<ViewVersion> base;
  ViewVersion version;
  std::vector<Instance> instances;
  std::vector<Endpoint> endpoints;
  std::vector<InstanceId> removedInstances;
  std::vector<EndpointId> removedEndpoints;
};

// Map that stores with each entry the version in which it last changed, and
// that keeps the most recent removals.
template<class Id, class Entry>
class VersionedMap
{
public:
  struct Versioned
  {
    Entry entry;
    ViewVersion changed;
  };

  // Sets an entry; returns whether it is new or differs from the previous one.
  bool Set(const Id& aId, const Entry& aEntry, ViewVersion aVersion);

  // Removes an entry; returns whether it existed.
  bool Remove(const Id& aId, ViewVersion aVersion);

  // Removes all entries whose ids are not in a list; returns whether any was
  // removed.
  bool RetainOnly(const std::vector<Id>& aIds, ViewVersion aVersion);

  const std::map<Id, Versioned>& Entries() const { return this->entries; }
  // Returns the kept removals, oldest first.
  const std::deque<std::pair<ViewVersion, Id>>& Removed() const
  {
    return this->removed;
  }

  // Returns the oldest version from which a delta can be built: removals after
  // it are all kept.
  ViewVersion OldestDeltaBase() const { return this->oldestDeltaBase; }

private:
  std::map<Id, Versioned> entries;
  std::deque<std::pair<ViewVersion, Id>> removed;
  ViewVersion oldestDeltaBase;
};

// The instances and endpoints of the fleet. The sender calls Update and creates
// deltas; a receiver calls Apply.
class View
{
public:
  // Replaces the instances and endpoints. Returns whether any changed; if so,
  // the version is incremented.
  bool Update(const std::vector<Instance>& aInstances,
              const std::vector<Endpoint>& aEndpoints);

  // Returns the changes since a version, or the whole view if that version is
  // 0, newer than this view, or too old.
  ViewDelta DeltaSince(ViewVersion aBase) const;

  // Applies a delta. Returns false and changes nothing if its base is not the
  // current version; the receiver must then request the whole view.
  bool Apply(const ViewDelta& aDelta);

  ViewVersion Version() const { return this->version; }
  std::vector<Instance> Instances() const;
  std::vector<Endpoint> Endpoints() const;

private:
  ViewVersion version;
  VersionedMap<InstanceId, Instance> instances;
  VersionedMap<EndpointId, Endpoint> endpoints;
};

// Returns the load to publish for a number of requests in flight. Up to 8 it is
// exact. Above, it stays at aPublished, the last published load, until the
// number differs from that by at least a quarter of it.
std::uint32_t
QuantizeLoad(std::uint32_t aInFlight, std::uint32_t aPublished);

// ------------------------------------------------------------ allocators

// The routers that hold tokens of budgets for the routers of their availability
// zone. All routers with the same view choose the same ones.
class Allocators
{
public:
  Allocators() = default;

  // Chooses about one in eight of the instances that lend tokens in each zone.
  // Those on control hosts are left out: when control is cut off from the other
  // hosts, so are they.
  Allocators(const std::vector<Instance>& aInstances,
             const std::set<std::string>& aControlHosts);

  // Returns the allocator of a workspace in a zone; nothing if the zone has
  // none. A change of the fleet moves few workspaces.
  std::optional<InstanceId> Find(const ZoneId& aZone,
                                 const WorkspaceId& aWorkspace) const;

  // Returns the zones that have allocators.
  std::vector<ZoneId> Zones() const;

  // Returns the allocators in a zone with their addresses for other routers.
  std::vector<std::pair<InstanceId, Address>> InZone(const ZoneId& aZone) const;

private:
  std::map<ZoneId, std::vector<std::pair<InstanceId, Address>>> zones;
};

// ------------------------------------------------------------ entry

// An instance's address for callers, as in the list that tells callers where to
// connect.
struct EntryAddress
{
  Address address;
  ZoneId zone;
  // Relative share of new callers.
  std::int64_t weight = 1;
};

// Returns the addresses for callers in a zone. Instances of that zone get twice
// the weight of others, and busy instances get less weight than idle ones.
// Instances that are leaving or not alive are left out, overloaded ones unless
// all are.
std::vector<EntryAddress>
ComputeEntryWeights(const std::vector<Instance>& aInstances,
                    const ZoneId& aZone);

// Returns whether the other instances of an instance's zone can take its
// callers: most of those that are alive are not overloaded.
bool
CanRest(const std::vector<Instance>& aInstances, const InstanceId& aInstance);

// Options of SelectEntryInstances.
struct EntryOptions
{
  // Instances in the caller's zone below which callers are sent to all zones.
  std::size_t minInstancesInZone = 2;
  // Hosts on which control instances run.
  std::set<std::string> controlHosts;
  // The instance that chooses is connected to control.
  bool isControlConnected = true;
  // Fraction of the available instances that must be on control hosts before
  // callers are sent only to those.
  double minControlHostFraction = 0.2;
};

// Returns the instances for callers in a zone: those of the zone if there are
// enough, otherwise all; only instances that are alive and not leaving, and
// overloaded ones only if there is no other. An
// instance that is not connected to control assumes that other instances are
// not either, and sends callers to instances on control hosts, unless these are
// too few to take the load.
std::vector<Instance>
SelectEntryInstances(const std::vector<Instance>& aInstances,
                     const ZoneId& aZone,
                     const EntryOptions& aOptions);

} // namespace lycheestand::membership

#endif
