#include "peer_network.h"
#include "tasks.h"

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
      [this](PeerMessage& aMessage) {
        this->network.HandleKeepAlive(aMessage.message);
      },
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
    LeadershipChanged current{ false, this->Leader() };
    if (this->fleet && current.leader != this->published.leader) {
      this->published = current;
      this->send(this->fleet, GroupChanged{ this->network.Group() });
      this->send(this->fleet, current);
    }
  }

  PeerNetwork network;
  Duration keepAliveInterval;
  caf::actor fleet;
  LeadershipChanged published;
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
