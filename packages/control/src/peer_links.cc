#include "replication_codec.h"
#include "tasks.h"

namespace lycheestand::control {

namespace {

constexpr Duration kRedialInterval = std::chrono::milliseconds(100);

// Limit for the first attempts to open a link, which doubles up to that of the
// settings: a machine that starts a moment later does not answer, and waiting
// for it in full keeps a group without a leader.
constexpr Duration kFirstConnectTimeout = std::chrono::milliseconds(100);

// Opens the links to other control instances. Of two instances, the one with
// the lower id dials, so that each pair has one link.
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
        this->Dial(member);
      }
    }
  }

  caf::message_handler Handlers() override
  {
    return {
      [this](net::LinkUp& aUp) { this->HandleUp(aUp); },
      [this](net::LinkFrame& aFrame) { this->HandleFrame(aFrame); },
      [this](net::LinkDown& aDown) { this->HandleDown(aDown); },
    };
  }

private:
  struct LinkState
  {
    settings::ControlMember member;
    caf::actor task;
  };

  void Dial(const settings::ControlMember& aMember)
  {
    auto options = settings::MakeLinkOptions<net::LinkOptions>(this->settings);
    auto& limit =
      this->connectLimits.try_emplace(aMember.instance, kFirstConnectTimeout)
        .first->second;
    options.connectTimeout = std::min(limit, options.connectTimeout);
    limit = options.connectTimeout * 2;
    auto link = net::OpenLink(this->GetRuntime(),
                              this->key,
                              aMember.peer,
                              options,
                              caf::actor_cast<caf::actor>(this));
    this->links[link].member = aMember;
  }

  void HandleUp(const net::LinkUp& aUp)
  {
    LinkState& link = this->links[aUp.link];
    link.task = aUp.task;
    this->connectLimits.erase(link.member.instance);
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
      net::Log(net::LogLevel::Error,
               "a control instance sent a message out of place",
               { { "peer", link.member.instance.Get() } });
      this->send(link.task, net::LinkClose{});
      return;
    }
    this->send(this->replica, PeerMessage{ link.member.instance, *message });
  }

  void HandleDown(const net::LinkDown& aDown)
  {
    auto found = this->links.find(aDown.link);
    auto member = found->second.member;
    if (found->second.task) {
      this->send(this->replica, PeerLink{ member.instance, nullptr });
    }
    this->links.erase(found);
    this->After(kRedialInterval, [this, member] { this->Dial(member); });
  }

  settings::ProcessSettings settings;
  net::FleetKey key;
  caf::actor replica;
  std::map<net::LinkId, LinkState> links;
  // Limits of the next attempts to open the links that are down.
  std::map<InstanceId, Duration> connectLimits;
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
