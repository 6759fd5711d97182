#include "controllers.h"

#include <boost/json.hpp>

namespace lycheestand::router {

namespace {

// Requests in flight at which an instance's weight is halved.
constexpr double kHalfWeightInFlight = 32;

constexpr double kFullWeight = 100;

// Keeps the view of the fleet's instances and answers GET /v1/entry from it.
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
      [this](GetEntry) { return this->FormatEntry(); },
      [this](DumpState) { return this->FormatEntry(); },
    };
  }

private:
  // A busy instance gets fewer new callers; none is left out for its load
  // alone.
  static std::int64_t WeightOf(const wire::InstanceEntry& aEntry)
  {
    double weight = kFullWeight * kHalfWeightInFlight /
                    (kHalfWeightInFlight + aEntry.inFlight);
    return std::max<std::int64_t>(1, static_cast<std::int64_t>(weight));
  }

  std::string FormatEntry() const
  {
    boost::json::array addresses;
    if (this->view) {
      for (const auto& entry : this->view->instances) {
        if (entry.alive && !entry.leaving) {
          addresses.push_back({ { "address", ToString(entry.callerAddress) },
                                { "zone", entry.zone.Get() },
                                { "weight", WeightOf(entry) } });
        }
      }
    }
    boost::json::object out;
    out["addresses"] = std::move(addresses);
    out["zone"] = this->settings.zone.Get();
    out["keep_seconds"] =
      std::chrono::duration<double>(this->settings.entryKeepTime).count();
    return boost::json::serialize(out);
  }

  settings::ProcessSettings settings;
  std::shared_ptr<const wire::ViewPush> view;
};

} // namespace

caf::actor
SpawnMembershipController(const net::Runtime& aRuntime,
                          const settings::ProcessSettings& aSettings)
{
  return aRuntime.system->spawn<MembershipController>(aRuntime, aSettings);
}

} // namespace lycheestand::router
