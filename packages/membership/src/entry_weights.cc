#include <algorithm>
#include <lycheestand/membership.h>

namespace lycheestand::membership {

namespace {

// Requests in flight at which an instance has half the weight of an idle one.
constexpr double kHalfWeightInFlight = 32;

constexpr double kFullWeight = 100;

// A caller that connects within its zone saves cross-zone traffic on each
// request. The difference is only a factor of two, so that the load of a zone
// with many callers still spreads over the other zones.
constexpr double kOtherZoneFactor = 0.5;

constexpr std::uint32_t kMaxExactLoad = 8;
constexpr std::uint32_t kLoadStepDivisor = 4;

} // namespace

std::uint32_t
QuantizeLoad(std::uint32_t aInFlight, std::uint32_t aPublished)
{
  if (aInFlight <= kMaxExactLoad) {
    return aInFlight;
  }
  std::uint32_t step = std::max(1U, aPublished / kLoadStepDivisor);
  bool isWithinMargin =
    aInFlight + step > aPublished && aInFlight < aPublished + step;
  return isWithinMargin ? aPublished : aInFlight;
}

namespace {

// Returns the instances that take callers. If all are overloaded, callers get
// all: a request that may be refused is better than no address.
std::vector<Instance>
FindAvailable(const std::vector<Instance>& aInstances)
{
  std::vector<Instance> available;
  std::vector<Instance> overloaded;
  for (const auto& entry : aInstances) {
    if (entry.alive && !entry.leaving) {
      (entry.overloaded ? overloaded : available).push_back(entry);
    }
  }
  return available.empty() ? overloaded : available;
}

} // namespace

// A busy instance gets fewer new callers, but none is excluded because of its
// number of requests alone.
std::vector<EntryAddress>
ComputeEntryWeights(const std::vector<Instance>& aInstances,
                    const ZoneId& aZone)
{
  std::vector<EntryAddress> out;
  for (const auto& entry : FindAvailable(aInstances)) {
    double weight = kFullWeight * kHalfWeightInFlight /
                    (kHalfWeightInFlight + entry.inFlight);
    weight *= entry.zone == aZone ? 1 : kOtherZoneFactor;
    out.push_back(
      { entry.callerAddress,
        entry.zone,
        std::max<std::int64_t>(1, static_cast<std::int64_t>(weight)) });
  }
  return out;
}

// In a general overload, each instance that turns callers away adds to the load
// of the others.
bool
CanRest(const std::vector<Instance>& aInstances, const InstanceId& aInstance)
{
  auto self =
    std::find_if(aInstances.begin(), aInstances.end(), [&](const auto& aEntry) {
      return aEntry.instance == aInstance;
    });
  if (self == aInstances.end()) {
    return false;
  }
  std::size_t others = 0;
  std::size_t overloaded = 0;
  for (const auto& entry : aInstances) {
    if (entry.instance != aInstance && entry.zone == self->zone &&
        entry.alive && !entry.leaving) {
      ++others;
      overloaded += entry.overloaded ? 1 : 0;
    }
  }
  return others > 0 && overloaded * 2 < others;
}

namespace {

// Returns the instances on control hosts, or all instances if those are too
// few.
std::vector<Instance>
PreferControlHosts(std::vector<Instance> aInstances,
                   const EntryOptions& aOptions)
{
  std::vector<Instance> onControlHosts;
  for (const auto& entry : aInstances) {
    if (aOptions.controlHosts.contains(entry.callerAddress.host)) {
      onControlHosts.push_back(entry);
    }
  }
  auto minCount =
    aOptions.minControlHostFraction * static_cast<double>(aInstances.size());
  bool isEnough = !onControlHosts.empty() &&
                  static_cast<double>(onControlHosts.size()) >= minCount;
  return isEnough ? onControlHosts : aInstances;
}

} // namespace

std::vector<Instance>
SelectEntryInstances(const std::vector<Instance>& aInstances,
                     const ZoneId& aZone,
                     const EntryOptions& aOptions)
{
  std::vector<Instance> available = FindAvailable(aInstances);
  if (!aOptions.isControlConnected) {
    available = PreferControlHosts(std::move(available), aOptions);
  }
  std::vector<Instance> inZone;
  for (const auto& entry : available) {
    if (entry.zone == aZone) {
      inZone.push_back(entry);
    }
  }
  return inZone.size() >= aOptions.minInstancesInZone ? inZone : available;
}

} // namespace lycheestand::membership
