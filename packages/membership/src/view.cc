#include <algorithm>
#include <lycheestand/membership.h>

namespace lycheestand::membership {

namespace {

// Removals that each map keeps for deltas. A receiver that has missed more gets
// the whole view.
constexpr std::size_t kMaxKeptRemovals = 4096;

template<class Id, class Entry>
void
CollectChangesSince(const VersionedMap<Id, Entry>& aMap,
                    ViewVersion aBase,
                    std::vector<Entry>& aChanged,
                    std::vector<Id>& aRemoved)
{
  for (const auto& [id, versioned] : aMap.Entries()) {
    if (versioned.changed > aBase) {
      aChanged.push_back(versioned.entry);
    }
  }
  for (const auto& [version, id] : aMap.Removed()) {
    if (version > aBase && !aMap.Entries().contains(id)) {
      aRemoved.push_back(id);
    }
  }
}

template<class Id, class Entry>
std::vector<Entry>
Values(const VersionedMap<Id, Entry>& aMap)
{
  std::vector<Entry> out;
  out.reserve(aMap.Entries().size());
  for (const auto& [id, versioned] : aMap.Entries()) {
    out.push_back(versioned.entry);
  }
  return out;
}

} // namespace

template<class Id, class Entry>
bool
VersionedMap<Id, Entry>::Set(const Id& aId,
                             const Entry& aEntry,
                             ViewVersion aVersion)
{
  auto [found, isNew] =
    this->entries.try_emplace(aId, Versioned{ aEntry, aVersion });
  if (isNew) {
    return true;
  }
  if (found->second.entry == aEntry) {
    return false;
  }
  found->second = { aEntry, aVersion };
  return true;
}

template<class Id, class Entry>
bool
VersionedMap<Id, Entry>::Remove(const Id& aId, ViewVersion aVersion)
{
  if (this->entries.erase(aId) == 0) {
    return false;
  }
  this->removed.emplace_back(aVersion, aId);
  if (this->removed.size() > kMaxKeptRemovals) {
    this->oldestDeltaBase = this->removed.front().first;
    this->removed.pop_front();
  }
  return true;
}

template<class Id, class Entry>
bool
VersionedMap<Id, Entry>::RetainOnly(const std::vector<Id>& aIds,
                                    ViewVersion aVersion)
{
  std::vector<Id> kept = aIds;
  std::sort(kept.begin(), kept.end());
  std::vector<Id> gone;
  for (const auto& [id, versioned] : this->entries) {
    if (!std::binary_search(kept.begin(), kept.end(), id)) {
      gone.push_back(id);
    }
  }
  for (const auto& id : gone) {
    this->Remove(id, aVersion);
  }
  return !gone.empty();
}

bool
View::Update(const std::vector<Instance>& aInstances,
             const std::vector<Endpoint>& aEndpoints)
{
  ViewVersion next(this->version.Get() + 1);
  bool isChanged = false;
  std::vector<InstanceId> instanceIds;
  for (const auto& entry : aInstances) {
    isChanged |= this->instances.Set(entry.instance, entry, next);
    instanceIds.push_back(entry.instance);
  }
  std::vector<EndpointId> endpointIds;
  for (const auto& entry : aEndpoints) {
    isChanged |= this->endpoints.Set(entry.endpoint, entry, next);
    endpointIds.push_back(entry.endpoint);
  }
  isChanged |= this->instances.RetainOnly(instanceIds, next);
  isChanged |= this->endpoints.RetainOnly(endpointIds, next);
  if (isChanged) {
    this->version = next;
  }
  return isChanged;
}

// Each leader counts its own view versions. A base from another leader's view
// may therefore be newer than this view; the receiver then needs the whole
// view.
ViewDelta
View::DeltaSince(ViewVersion aBase) const
{
  ViewDelta delta;
  delta.version = this->version;
  bool canSendDelta = aBase > ViewVersion(0) && aBase <= this->version &&
                      aBase >= this->instances.OldestDeltaBase() &&
                      aBase >= this->endpoints.OldestDeltaBase();
  if (!canSendDelta) {
    delta.instances = this->Instances();
    delta.endpoints = this->Endpoints();
    return delta;
  }
  delta.base = aBase;
  CollectChangesSince(
    this->instances, aBase, delta.instances, delta.removedInstances);
  CollectChangesSince(
    this->endpoints, aBase, delta.endpoints, delta.removedEndpoints);
  return delta;
}

bool
View::Apply(const ViewDelta& aDelta)
{
  if (!aDelta.base) {
    *this = {};
  } else if (*aDelta.base != this->version) {
    return false;
  }
  for (const auto& entry : aDelta.instances) {
    this->instances.Set(entry.instance, entry, aDelta.version);
  }
  for (const auto& entry : aDelta.endpoints) {
    this->endpoints.Set(entry.endpoint, entry, aDelta.version);
  }
  for (const auto& id : aDelta.removedInstances) {
    this->instances.Remove(id, aDelta.version);
  }
  for (const auto& id : aDelta.removedEndpoints) {
    this->endpoints.Remove(id, aDelta.version);
  }
  this->version = aDelta.version;
  return true;
}

std::vector<Instance>
View::Instances() const
{
  return Values(this->instances);
}

std::vector<Endpoint>
View::Endpoints() const
{
  return Values(this->endpoints);
}

} // namespace lycheestand::membership
