#include "replication_codec.h"
#include "tasks.h"

namespace lycheestand::control {

namespace {

// Timeout of the first attempt to open a link; it doubles with each attempt up
// to the timeout in the settings. A machine that is still starting does not
// respond, and waiting the full timeout for it would leave the group without a
// leader.
constexpr Duration kInitialConnectTimeout = std::chrono::milliseconds(100);

// Opens links to other control instances for the task that owns the network of
// peers.
class PeerLinks : public net::IoTask
{
public:
  PeerLinks(caf::actor_config& aConfig,
            net::Runtime aRuntime,
            settings::ProcessSettings aSettings,
            net::FleetKey aKey)
    : net::IoTask(aConfig, aRuntime)
    , settings(std::move(aSettings))
    , key(std::move(aKey))
  {
  }

protected:
  caf::message_handler Handlers() override
  {
    return {
      [this](DialPeer& aDial) {
        this->owner = caf::actor_cast<caf::actor>(this->current_sender());
        this->Connect(aDial);
      },
      [this](net::LinkUp& aUp) { this->HandleLinkUp(aUp); },
      [this](net::LinkFrame& aFrame) { this->HandleFrame(aFrame); },
      [this](net::LinkDown& aDown) { this->HandleLinkDown(aDown); },
    };
  }

private:
  struct LinkState
  {
    InstanceId instance;
    caf::actor task;
  };

  void Connect(const DialPeer& aDial)
  {
    auto options = settings::MakeLinkOptions<net::LinkOptions>(this->settings);
    auto& nextTimeout =
      this->connectTimeouts.try_emplace(aDial.instance, kInitialConnectTimeout)
        .first->second;
    options.connectTimeout = std::min(nextTimeout, options.connectTimeout);
    nextTimeout = options.connectTimeout * 2;
    auto link = net::OpenLink(this->GetRuntime(),
                              this->key,
                              aDial.address,
                              options,
                              caf::actor_cast<caf::actor>(this));
    this->links[link].instance = aDial.instance;
  }

  void HandleLinkUp(const net::LinkUp& aUp)
  {
    LinkState& link = this->links[aUp.link];
    link.task = aUp.task;
    this->connectTimeouts.erase(link.instance);
    wire::Hello hello;
    hello.instance = this->settings.instance;
    hello.zone = this->settings.zone;
    hello.callerAddress = this->settings.peerAddress;
    hello.isControl = true;
    this->send(link.task, net::LinkSend{ wire::Encode(hello) });
    this->send(this->owner, PeerLink{ link.instance, link.task, true, true });
  }

  void HandleFrame(const net::LinkFrame& aFrame)
  {
    const LinkState& link = this->links[aFrame.link];
    auto decoded = wire::Decode(aFrame.body);
    auto* message = decoded.has_value()
                      ? std::get_if<wire::Replication>(&decoded.value())
                      : nullptr;
    if (message == nullptr) {
      net::Log(
        net::LogLevel::Error,
        "closing a link: a control instance sent a malformed or unexpected "
        "message",
        { { "peer", link.instance.Get() } });
      this->send(link.task, net::LinkClose{});
      return;
    }
    this->send(this->owner, PeerMessage{ link.instance, *message });
  }

  void HandleLinkDown(const net::LinkDown& aDown)
  {
    auto link = this->links.extract(aDown.link).mapped();
    this->send(this->owner, PeerLink{ link.instance, link.task, false, true });
  }

  settings::ProcessSettings settings;
  net::FleetKey key;
  caf::actor owner;
  std::map<net::LinkId, LinkState> links;
  // Timeouts of the next attempts to open the links that are down.
  std::map<InstanceId, Duration> connectTimeouts;
};

} // namespace

caf::actor
SpawnPeerLinks(const net::Runtime& aRuntime,
               const settings::ProcessSettings& aSettings,
               const net::FleetKey& aKey)
{
  return aRuntime.system->spawn<PeerLinks>(aRuntime, aSettings, aKey);
}

} // namespace lycheestand::control
