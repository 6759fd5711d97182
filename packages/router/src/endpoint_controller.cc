#include "controllers.h"

#include <boost/json.hpp>

namespace lycheestand::router {

namespace {

// Keeps what is known about endpoints and chooses one for each request.
class EndpointController : public net::IoTask
{
public:
  EndpointController(caf::actor_config& aConfig,
                     net::Runtime aRuntime,
                     caf::actor aPool,
                     ZoneId aZone)
    : net::IoTask(aConfig, aRuntime, std::move(aPool))
    , zone(std::move(aZone))
  {
  }

protected:
  caf::message_handler Handlers() override
  {
    return {
      [this](ViewChanged& aChanged) { this->Update(*aChanged.view); },
      [this](ChooseEndpoint& aChoose) { return this->Choose(aChoose); },
      [this](CallFinished& aFinished) { this->Finish(aFinished); },
      [this](DumpState) { return this->Dump(); },
    };
  }

private:
  struct Known
  {
    wire::EndpointEntry entry;
    std::uint32_t inFlight = 0;
    bool saidLeaving = false;
  };

  void Update(const wire::ViewPush& aView)
  {
    std::set<EndpointId> listed;
    for (const auto& entry : aView.endpoints) {
      listed.insert(entry.endpoint);
      Known& known = this->endpoints[entry.endpoint];
      // An address that changed is another process under the same name.
      if (known.entry.address != entry.address) {
        known.saidLeaving = false;
      }
      known.entry = entry;
    }
    std::erase_if(this->endpoints, [&](const auto& aKnown) {
      return !listed.contains(aKnown.first) && aKnown.second.inFlight == 0;
    });
    for (auto& [id, known] : this->endpoints) {
      if (!listed.contains(id)) {
        known.entry.leaving = true;
      }
    }
  }

  EndpointChosen Choose(const ChooseEndpoint& aChoose)
  {
    Known* best = nullptr;
    for (auto& [id, known] : this->endpoints) {
      if (!this->IsCandidate(known, aChoose)) {
        continue;
      }
      if (best == nullptr || this->IsBetter(known, *best)) {
        best = &known;
      }
    }
    if (best == nullptr) {
      return {};
    }
    ++best->inFlight;
    this->assigned[aChoose.ticket] = best->entry.endpoint;
    return { best->entry.endpoint, best->entry.address };
  }

  bool IsCandidate(const Known& aKnown, const ChooseEndpoint& aChoose) const
  {
    return aKnown.entry.serves == aChoose.serves &&
           aKnown.entry.isService == aChoose.isService &&
           !aKnown.entry.leaving && !aKnown.saidLeaving &&
           !aChoose.excluded.contains(aKnown.entry.endpoint);
  }

  bool IsBetter(const Known& aLeft, const Known& aRight) const
  {
    if (aLeft.inFlight != aRight.inFlight) {
      return aLeft.inFlight < aRight.inFlight;
    }
    return aLeft.entry.zone == this->zone && aRight.entry.zone != this->zone;
  }

  void Finish(const CallFinished& aFinished)
  {
    auto found = this->assigned.find(aFinished.ticket);
    if (found == this->assigned.end()) {
      return;
    }
    auto known = this->endpoints.find(found->second);
    this->assigned.erase(found);
    if (known == this->endpoints.end()) {
      return;
    }
    --known->second.inFlight;
    known->second.saidLeaving |= aFinished.leaving;
  }

  std::string Dump() const
  {
    boost::json::array out;
    for (const auto& [id, known] : this->endpoints) {
      out.push_back(
        { { "endpoint", id.Get() },
          { "serves", known.entry.serves },
          { "zone", known.entry.zone.Get() },
          { "in_flight", known.inFlight },
          { "leaving", known.entry.leaving || known.saidLeaving } });
    }
    return boost::json::serialize(out);
  }

  ZoneId zone;
  std::map<EndpointId, Known> endpoints;
  std::map<Ticket, EndpointId> assigned;
};

} // namespace

caf::actor
SpawnEndpointController(const net::Runtime& aRuntime,
                        caf::actor aPool,
                        const ZoneId& aZone)
{
  return aRuntime.system->spawn<EndpointController>(
    aRuntime, std::move(aPool), aZone);
}

} // namespace lycheestand::router
