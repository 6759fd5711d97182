#include "controllers.h"

#include <boost/json.hpp>
#include <lycheestand/membership.h>

namespace lycheestand::router {

namespace {

// Owns the view of the fleet's instances and determines the router addresses
// for callers from it, also for GET /v1/entry.
class MembershipController : public net::IoTask
{
public:
  MembershipController(caf::actor_config& aConfig,
                       net::Runtime aRuntime,
                       settings::ProcessSettings aSettings)
    : net::IoTask(aConfig, aRuntime)
    , settings(std::move(aSettings))
  {
  }

protected:
  caf::message_handler Handlers() override
  {
    return {
      [this](ViewChanged& aChanged) { this->view = aChanged.view; },
      [this](ControlUp) { this->isControlConnected = true; },
      [this](ControlDown) { this->isControlConnected = false; },
      [this](SetMembers& aSet) {
        this->settings.control = std::move(aSet.members);
      },
      [this](GetEntry) { return this->FormatEntry(); },
      [this](GetEntryAddresses& aFind) {
        return this->FindEntryAddresses(aFind.zone);
      },
      [this](DumpState) { return this->FormatEntry(); },
    };
  }

private:
  // Callers choose one of the addresses at random, so addresses in other
  // availability zones are left out while their own zone has enough of them.
  EntryAddresses FindEntryAddresses(const ZoneId& aZone) const
  {
    EntryAddresses out;
    out.cacheTime = this->settings.routes
                      ? this->settings.routes->entryCacheTime
                      : this->settings.entryCacheTime;
    if (!this->view) {
      return out;
    }
    auto instances = this->view->Instances();
    membership::EntryOptions options;
    options.isControlConnected = this->isControlConnected;
    for (const auto& member : this->settings.control) {
      options.controlHosts.insert(member.peer.host);
    }
    for (const auto& instance :
         membership::SelectEntryInstances(instances, aZone, options)) {
      out.addresses.push_back(instance.callerAddress);
    }
    return out;
  }

  std::string FormatEntry() const
  {
    boost::json::array addresses;
    if (this->view) {
      for (const auto& entry : membership::ComputeEntryWeights(
             this->view->Instances(), this->settings.zone)) {
        addresses.push_back({ { "address", ToString(entry.address) },
                              { "zone", entry.zone.Get() },
                              { "weight", entry.weight } });
      }
    }
    boost::json::object out;
    out["addresses"] = std::move(addresses);
    out["zone"] = this->settings.zone.Get();
    out["keep_seconds"] = ToSeconds(this->settings.entryCacheTime);
    return boost::json::serialize(out);
  }

  settings::ProcessSettings settings;
  std::shared_ptr<const membership::View> view;
  bool isControlConnected = true;
};

} // namespace

caf::actor
SpawnMembershipController(const net::Runtime& aRuntime,
                          const settings::ProcessSettings& aSettings)
{
  return aRuntime.system->spawn<MembershipController>(aRuntime, aSettings);
}

} // namespace lycheestand::router
