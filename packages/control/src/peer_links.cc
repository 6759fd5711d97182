#include "replication_codec.h"
#include "tasks.h"

namespace lycheestand::control {

namespace {

constexpr Duration kReconnectDelay = std::chrono::milliseconds(100);

// Timeout of the first attempt to open a link; it doubles with each attempt up
// to the timeout in the settings. A machine that is still starting does not
// respond, and waiting the full timeout for it would leave the group without a
// leader.
constexpr Duration kInitialConnectTimeout = std::chrono::milliseconds(100);

// Opens links to other control instances. Of two instances, the one with the
// lower id connects, so that each pair has one link.
class PeerLinks : public net::IoTask
{
public:
  PeerLinks(caf::actor_config& aConfig,
            net::Runtime aRuntime,
            settings::ProcessSettings aSettings,
            net::FleetKey aKey,
            caf::actor aReplica)
    : net::IoTask(aConfig, aRuntime)
    , settings(std::move(aSettings))
    , key(std::move(aKey))
    , replica(std::move(aReplica))
  {
  }

protected:
  void Start() override
  {
    for (const auto& member : this->settings.control) {
      if (this->settings.instance < member.instance) {
        this->Connect(member);
      }
    }
  }

  caf::message_handler Handlers() override
  {
    return {
      [this](net::LinkUp& aUp) { this->HandleLinkUp(aUp); },
      [this](net::LinkFrame& aFrame) { this->HandleFrame(aFrame); },
      [this](net::LinkDown& aDown) { this->HandleLinkDown(aDown); },
    };
  }

private:
  struct LinkState
  {
    settings::ControlMember member;
    caf::actor task;
  };

  void Connect(const settings::ControlMember& aMember)
  {
    auto options = settings::MakeLinkOptions<net::LinkOptions>(this->settings);
    auto& nextTimeout = this->connectTimeouts
                          .try_emplace(aMember.instance, kInitialConnectTimeout)
                          .first->second;
    options.connectTimeout = std::min(nextTimeout, options.connectTimeout);
    nextTimeout = options.connectTimeout * 2;
    auto link = net::OpenLink(this->GetRuntime(),
                              this->key,
                              aMember.peer,
                              options,
                              caf::actor_cast<caf::actor>(this));
    this->links[link].member = aMember;
  }

  void HandleLinkUp(const net::LinkUp& aUp)
  {
    LinkState& link = this->links[aUp.link];
    link.task = aUp.task;
    this->connectTimeouts.erase(link.member.instance);
    wire::Hello hello;
    hello.instance = this->settings.instance;
    hello.zone = this->settings.zone;
    hello.callerAddress = this->settings.peerAddress;
    hello.isControl = true;
    this->send(link.task, net::LinkSend{ wire::Encode(hello) });
    this->send(this->replica, PeerLink{ link.member.instance, link.task });
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
        { { "peer", link.member.instance.Get() } });
      this->send(link.task, net::LinkClose{});
      return;
    }
    this->send(this->replica, PeerMessage{ link.member.instance, *message });
  }

  void HandleLinkDown(const net::LinkDown& aDown)
  {
    auto found = this->links.find(aDown.link);
    auto member = found->second.member;
    if (found->second.task) {
      this->send(this->replica, PeerLink{ member.instance, nullptr });
    }
    this->links.erase(found);
    this->After(kReconnectDelay, [this, member] { this->Connect(member); });
  }

  settings::ProcessSettings settings;
  net::FleetKey key;
  caf::actor replica;
  std::map<net::LinkId, LinkState> links;
  // Timeouts of the next attempts to open the links that are down.
  std::map<InstanceId, Duration> connectTimeouts;
};

} // namespace

caf::actor
SpawnPeerLinks(const net::Runtime& aRuntime,
               const settings::ProcessSettings& aSettings,
               const net::FleetKey& aKey,
               caf::actor aReplica)
{
  return aRuntime.system->spawn<PeerLinks>(
    aRuntime, aSettings, aKey, std::move(aReplica));
}

} // namespace lycheestand::control
