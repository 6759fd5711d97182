#include <algorithm>
#include <lycheestand/membership.h>

namespace lycheestand::membership {

namespace {

// Requests in flight at which an instance's weight is halved.
constexpr double kHalfWeightInFlight = 32;

constexpr double kFullWeight = 100;

// A connection within the zone saves a crossing on each request; the factor is
// small so that a zone with many callers still spreads over the others.
constexpr double kOtherZoneFactor = 0.5;

constexpr std::uint32_t kExactUpTo = 8;
constexpr std::uint32_t kStepsPerLoad = 4;

} // namespace

std::uint32_t
QuantizeLoad(std::uint32_t aInFlight, std::uint32_t aPublished)
{
  if (aInFlight <= kExactUpTo) {
    return aInFlight;
  }
  std::uint32_t step = std::max(1U, aPublished / kStepsPerLoad);
  bool isNear = aInFlight + step > aPublished && aInFlight < aPublished + step;
  return isNear ? aPublished : aInFlight;
}

// A busy instance gets fewer new callers; none is left out for its load alone.
std::vector<EntryAddress>
WeighEntries(const std::vector<Instance>& aInstances, const ZoneId& aZone)
{
  std::vector<EntryAddress> out;
  for (const auto& entry : aInstances) {
    if (!entry.alive || entry.leaving) {
      continue;
    }
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

namespace {

// Returns the instances beside control, or all if those are too few.
std::vector<Instance>
KeepBesideControl(std::vector<Instance> aInstances,
                  const EntryOptions& aOptions)
{
  std::vector<Instance> beside;
  for (const auto& entry : aInstances) {
    if (aOptions.controlHosts.contains(entry.callerAddress.host)) {
      beside.push_back(entry);
    }
  }
  auto least =
    aOptions.leastBesideControl * static_cast<double>(aInstances.size());
  bool isEnough =
    !beside.empty() && static_cast<double>(beside.size()) >= least;
  return isEnough ? beside : aInstances;
}

} // namespace

std::vector<Instance>
ChooseEntries(const std::vector<Instance>& aInstances,
              const ZoneId& aZone,
              const EntryOptions& aOptions)
{
  std::vector<Instance> all;
  for (const auto& entry : aInstances) {
    if (entry.alive && !entry.leaving) {
      all.push_back(entry);
    }
  }
  if (!aOptions.isInTouch) {
    all = KeepBesideControl(std::move(all), aOptions);
  }
  std::vector<Instance> near;
  for (const auto& entry : all) {
    if (entry.zone == aZone) {
      near.push_back(entry);
    }
  }
  return near.size() >= aOptions.enoughInZone ? near : all;
}

} // namespace lycheestand::membership
