#include <algorithm>
#include <lycheestand/state.h>

namespace lycheestand::state {

// An evacuated zone may be restored although nothing names it any more.
Outcome
EvacuationRegister::Set(const SetZoneEvacuation& aCommand, Revision aRevision)
{
  bool isInForce = this->Contains(aCommand.zone);
  if (!aCommand.isKnown && !isInForce) {
    return Rejected{ Rejection::UnknownZone };
  }
  if (!aCommand.isEvacuated) {
    this->evacuations.erase(aCommand.zone);
    return Done{};
  }
  if (!isInForce && this->IsLast(aCommand)) {
    return Rejected{ Rejection::LastZone };
  }
  this->evacuations.try_emplace(aCommand.zone,
                                Evacuation{ aRevision, aCommand.change });
  return Done{};
}

// Checked when the command is applied and not when it is proposed: two orders
// for the last two zones could otherwise both be accepted.
bool
EvacuationRegister::IsLast(const SetZoneEvacuation& aCommand) const
{
  const auto& zones = aCommand.zonesWithEndpoints;
  return zones.contains(aCommand.zone) &&
         std::all_of(zones.begin(), zones.end(), [&](const ZoneId& aZone) {
           return aZone == aCommand.zone || this->Contains(aZone);
         });
}

std::set<ZoneId>
EvacuationRegister::Zones() const
{
  std::set<ZoneId> zones;
  for (const auto& [zone, evacuation] : this->evacuations) {
    zones.insert(zone);
  }
  return zones;
}

} // namespace lycheestand::state
