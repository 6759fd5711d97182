#include "tasks.h"

#include <boost/json.hpp>

namespace lycheestand::control {

namespace {

// Returns what routers must have in force.
std::string
FormatSnapshot(const state::StateMachine& aMachine)
{
  std::map<KeyHash, settings::CallerKey> keys;
  for (const auto& [id, record] : aMachine.Workspaces().Keys()) {
    keys[record.hash] = { record.workspace, record.site };
  }
  const auto& records = aMachine.Configuration().Records();
  return settings::FormatFleetSnapshot(
    records.empty() ? "" : records.back().document, keys);
}

// Carries the state machine: applies committed commands and answers reads.
class Replica : public net::IoTask
{
public:
  Replica(caf::actor_config& aConfig,
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
      [this](caf::actor& aFleet) {
        this->fleet = aFleet;
        this->send(this->fleet,
                   LeadershipChanged{ true, this->settings.instance });
        this->PublishRevision();
      },
      [this](Propose& aPropose) {
        auto outcome = this->machine.Apply(aPropose.command);
        this->PublishRevision();
        return ProposalResult{ outcome, this->settings.instance, false };
      },
      [this](ConfirmLeadership) {
        return Confirmation{ true,
                             this->settings.instance,
                             this->machine.CurrentRevision() };
      },
      [this](Query& aQuery) {
        return QueryResult{ aQuery.read(this->machine),
                            this->settings.instance };
      },
      [this](FindHolders& aFind) { return this->Find(aFind); },
      [this](FindOrders) {
        return OrdersFound{ this->machine.Orders().ByEndpoint() };
      },
      [this](DumpState) { return std::string("{}"); },
    };
  }

private:
  void PublishRevision()
  {
    if (this->published == this->machine.CurrentRevision()) {
      return;
    }
    this->published = this->machine.CurrentRevision();
    this->send(this->fleet,
               RevisionChanged{ this->published,
                                std::make_shared<const std::string>(
                                  FormatSnapshot(this->machine)) });
  }

  Holders Find(const FindHolders& aFind) const
  {
    Holders holders;
    if (const auto* budget = this->machine.Budgets().Find(aFind.workspace)) {
      for (const auto& [session, tokens] : budget->outstanding) {
        holders.sessions.push_back(session);
      }
    }
    return holders;
  }

  settings::ProcessSettings settings;
  state::StateMachine machine;
  caf::actor fleet;
  Revision published;
};

} // namespace

caf::actor
SpawnReplica(const net::Runtime& aRuntime,
             const settings::ProcessSettings& aSettings,
             const net::FleetKey&)
{
  return aRuntime.system->spawn<Replica>(aRuntime, aSettings);
}

} // namespace lycheestand::control
