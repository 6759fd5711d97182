#include "peer_network.h"
#include "tasks.h"

#include <set>

namespace lycheestand::control {

namespace {

constexpr Duration kGatewayTickInterval = std::chrono::milliseconds(50);

// Takes the place of the replica on an instance that has no disk. It holds no
// state and only knows which instance leads, so that operators and routers are
// sent there.
class Gateway : public net::IoTask
{
public:
  Gateway(caf::actor_config& aConfig,
          net::Runtime aRuntime,
          const settings::ProcessSettings& aSettings,
          caf::actor aDialer)
    : net::IoTask(aConfig, aRuntime)
    , self(aSettings.instance)
    , network(*this, aSettings, std::move(aDialer))
    , keepAliveInterval(aSettings.heartbeatInterval)
  {
  }

protected:
  void Start() override
  {
    this->TickPeriodically();
    this->SendKeepAlives();
  }

  caf::message_handler Handlers() override
  {
    return {
      [this](caf::actor& aFleet) { this->fleet = aFleet; },
      [this](Propose&) {
        return ProposalResult{ std::nullopt, this->Leader(), false };
      },
      [this](ConfirmLeadership) {
        return LeadershipConfirmation{ false, this->Leader(), Revision() };
      },
      [this](Query&) {
        return QueryResult{ std::nullopt, this->Leader() };
      },
      [](FindTokenHolders&) { return TokenHolders{}; },
      [](GetOrders) { return OrdersResult{}; },
      [this](GetRoutes) {
        return RoutesResult{ std::nullopt, this->Leader() };
      },
      [this](PeerLink& aLink) { this->network.HandleLink(aLink); },
      [this](PeerMessage& aMessage) { this->HandleMessage(aMessage); },
      [this](SetPeers& aSet) { this->network.SetConfigured(aSet.control); },
      [](LogBudgets) {},
      [this](DumpState) {
        return R"({"role":"gateway","leader":")" + this->Leader().Get() +
               R"(","links":)" + std::to_string(this->network.LinkCount()) +
               "}";
      },
    };
  }

private:
  InstanceId Leader() const { return this->network.AnnouncedLeader(); }

  // An instance without a disk has no part in the consensus. It logs the first
  // request to join that each instance sends, because the sender gets no
  // answer.
  void HandleMessage(const PeerMessage& aMessage)
  {
    this->network.HandleMessage(aMessage.instance, aMessage.message);
    auto message = FromWire(aMessage.message, this->self);
    if (message &&
        std::holds_alternative<consensus::JoinRequest>(message->body) &&
        this->loggedJoins.insert(aMessage.instance).second) {
      net::Log(net::LogLevel::Info,
               "ignored a request to join the control group: this instance has "
               "no disk and is not a member",
               { { "event", "join_ignored" },
                 { "from", aMessage.instance.Get() },
                 { "leader", this->Leader().Get() } });
    }
  }

  void TickPeriodically()
  {
    this->network.OpenLinks();
    this->Publish();
    this->After(kGatewayTickInterval, [this] { this->TickPeriodically(); });
  }

  void SendKeepAlives()
  {
    this->network.SendKeepAlives(InstanceId());
    this->After(this->keepAliveInterval, [this] { this->SendKeepAlives(); });
  }

  void Publish()
  {
    if (!this->fleet) {
      return;
    }
    auto group = this->network.Group();
    if (group != this->publishedGroup) {
      this->publishedGroup = group;
      this->send(this->fleet, GroupChanged{ std::move(group) });
    }
    LeadershipChanged current{ false, this->Leader() };
    if (current.leader != this->published.leader) {
      this->published = current;
      this->send(this->fleet, current);
    }
  }

  InstanceId self;
  PeerNetwork network;
  Duration keepAliveInterval;
  // Instances whose requests to join have been logged.
  std::set<InstanceId> loggedJoins;
  caf::actor fleet;
  LeadershipChanged published;
  std::vector<wire::ControlEntry> publishedGroup;
};

} // namespace

caf::actor
SpawnGateway(const net::Runtime& aRuntime,
             const settings::ProcessSettings& aSettings,
             const net::FleetKey& aKey)
{
  return aRuntime.system->spawn<Gateway>(
    aRuntime, aSettings, SpawnPeerLinks(aRuntime, aSettings, aKey));
}

} // namespace lycheestand::control
