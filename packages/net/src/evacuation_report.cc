#include <algorithm>
#include <iterator>
#include <lycheestand/net.h>

namespace lycheestand::net {

namespace {

void
LogNewZones(const std::set<ZoneId>& aOld,
            const std::set<ZoneId>& aNew,
            std::string_view aMessage,
            const char* aEvent)
{
  std::vector<ZoneId> zones;
  std::set_difference(aNew.begin(),
                      aNew.end(),
                      aOld.begin(),
                      aOld.end(),
                      std::back_inserter(zones));
  for (const auto& zone : zones) {
    Log(LogLevel::Warning,
        aMessage,
        { { "event", aEvent }, { "zone", zone.Get() } });
  }
}

} // namespace

void
ReportEvacuatedZones(const std::set<ZoneId>& aBefore,
                     const std::set<ZoneId>& aAfter)
{
  LogNewZones(aBefore,
              aAfter,
              "the endpoints of an availability zone get no more requests",
              "zone_evacuated");
  LogNewZones(aAfter,
              aBefore,
              "the endpoints of an availability zone get requests again",
              "zone_restored");
  Metrics()
    .GetGauge("lycheestand_evacuated_zones")
    .Set(static_cast<std::int64_t>(aAfter.size()));
}

} // namespace lycheestand::net
