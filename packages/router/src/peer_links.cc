#include "controllers.h"

#include <algorithm>
#include <caf/send.hpp>

namespace lycheestand::router {

namespace {

// Interval of the heartbeats that keep a link to an allocator alive, and the
// time without a frame after which it counts as lost. A claim does not wait for
// that: an allocator that does not reply to it is not asked again until its
// link is open anew.
constexpr Duration kHeartbeatInterval = std::chrono::seconds(1);
constexpr Duration kIdleTimeout = std::chrono::milliseconds(3500);

// Opens links to allocators and accepts those of routers that borrow from this
// one. Passes their messages to and from the budget controller.
class PeerLinks : public net::IoTask
{
public:
  PeerLinks(caf::actor_config& aConfig,
            net::Runtime aRuntime,
            settings::ProcessSettings aSettings,
            net::FleetKey aKey,
            caf::actor aBudget)
    : net::IoTask(aConfig, aRuntime)
    , settings(std::move(aSettings))
    , key(std::move(aKey))
    , budget(std::move(aBudget))
    , session(net::MakeRandomSource()(0))
  {
  }

  static net::LinkOptions MakeOptions(
    const settings::ProcessSettings& aSettings)
  {
    auto options = settings::MakeLinkOptions<net::LinkOptions>(aSettings);
    options.idleTimeout = kIdleTimeout;
    return options;
  }

protected:
  void Start() override { this->HeartbeatPeriodically(); }

  caf::message_handler Handlers() override
  {
    return {
      [this](SetAllocatorLinks& aSet) { this->SetNeeded(aSet.needed); },
      [this](AllocatorSilent& aSilent) { this->Close(aSilent.allocator); },
      [this](ToAllocator& aTo) { this->Send(aTo); },
      [this](ToBorrower& aTo) { this->Send(aTo); },
      [this](net::LinkUp& aUp) { this->HandleLinkUp(aUp); },
      [this](net::LinkFrame& aFrame) { this->HandleFrame(aFrame); },
      [this](net::LinkDown& aDown) { this->HandleLinkDown(aDown); },
    };
  }

private:
  // A link that is being opened to an allocator, or is open.
  struct Outgoing
  {
    InstanceId allocator;
    // Null until the link is up.
    caf::actor task;
    bool isAccepted = false;
  };

  // A link from a router that borrows.
  struct Incoming
  {
    caf::actor task;
    // Empty until the router has said it.
    std::optional<SessionId> session;
  };

  // A link that was lost is opened again when this is called next.
  void SetNeeded(const std::vector<AllocatorAddress>& aNeeded)
  {
    for (const auto& open : this->outgoing) {
      bool isNeeded =
        std::any_of(aNeeded.begin(), aNeeded.end(), [&](const auto& aEntry) {
          return aEntry.instance == open.second.allocator;
        });
      if (!isNeeded) {
        this->Close(open.second);
      }
    }
    for (const auto& entry : aNeeded) {
      if (this->FindOutgoing(entry.instance) == nullptr) {
        auto link = net::OpenLink(this->GetRuntime(),
                                  this->key,
                                  entry.address,
                                  MakeOptions(this->settings),
                                  caf::actor_cast<caf::actor>(this));
        this->outgoing[link].allocator = entry.instance;
      }
    }
  }

  const Outgoing* FindOutgoing(const InstanceId& aAllocator) const
  {
    for (const auto& [link, outgoing] : this->outgoing) {
      if (outgoing.allocator == aAllocator) {
        return &outgoing;
      }
    }
    return nullptr;
  }

  void Close(const InstanceId& aAllocator)
  {
    if (const auto* found = this->FindOutgoing(aAllocator)) {
      this->Close(*found);
    }
  }

  void Close(const Outgoing& aOutgoing)
  {
    if (aOutgoing.task) {
      this->send(aOutgoing.task, net::LinkClose{});
    }
  }

  void Send(const ToAllocator& aTo)
  {
    const auto* found = this->FindOutgoing(aTo.allocator);
    if (found != nullptr && found->isAccepted) {
      this->SendTo(found->task, aTo.message);
    }
  }

  void Send(const ToBorrower& aTo)
  {
    for (const auto& [link, incoming] : this->incoming) {
      if (incoming.session == aTo.session) {
        this->SendTo(incoming.task, aTo.message);
        return;
      }
    }
  }

  void SendTo(const caf::actor& aTask, const wire::Message& aMessage)
  {
    this->send(aTask, net::LinkSend{ wire::Encode(aMessage) });
  }

  void HandleLinkUp(const net::LinkUp& aUp)
  {
    auto found = this->outgoing.find(aUp.link);
    if (found == this->outgoing.end()) {
      this->incoming[aUp.link].task = aUp.task;
      return;
    }
    found->second.task = aUp.task;
    wire::Hello hello;
    hello.instance = this->settings.instance;
    hello.zone = this->settings.zone;
    hello.session = this->session;
    this->SendTo(aUp.task, hello);
  }

  void HandleLinkDown(const net::LinkDown& aDown)
  {
    this->incoming.erase(aDown.link);
    auto closed = this->outgoing.extract(aDown.link);
    if (closed.empty() || !closed.mapped().isAccepted) {
      return;
    }
    const auto& allocator = closed.mapped().allocator;
    net::Log(net::LogLevel::Info,
             "lost the link to an allocator",
             { { "event", "allocator_lost" },
               { "allocator", allocator.Get() },
               { "reason", aDown.reason } });
    this->send(this->budget, AllocatorDown{ allocator });
  }

  void HandleFrame(const net::LinkFrame& aFrame)
  {
    auto decoded = wire::Decode(aFrame.body);
    auto outgoing = this->outgoing.find(aFrame.link);
    auto incoming = this->incoming.find(aFrame.link);
    if (outgoing != this->outgoing.end()) {
      bool isKnown =
        decoded.has_value() && this->Handle(outgoing->second, decoded.value());
      this->CloseUnless(isKnown, outgoing->second.task);
    } else if (incoming != this->incoming.end()) {
      bool isKnown =
        decoded.has_value() && this->Handle(incoming->second, decoded.value());
      this->CloseUnless(isKnown, incoming->second.task);
    }
  }

  void CloseUnless(bool aIsKnown, const caf::actor& aTask)
  {
    if (!aIsKnown) {
      net::Log(net::LogLevel::Error,
               "closing a link: another router sent a malformed message, or "
               "one of an unexpected type");
      this->send(aTask, net::LinkClose{});
    }
  }

  // Handles a message from an allocator; returns whether it was expected.
  bool Handle(Outgoing& aFrom, wire::Message& aMessage)
  {
    if (const auto* welcome = std::get_if<wire::Welcome>(&aMessage)) {
      aFrom.isAccepted = welcome->accepted;
      if (aFrom.isAccepted) {
        this->send(this->budget,
                   AllocatorUp{ aFrom.allocator, welcome->session });
      }
      return welcome->accepted;
    }
    if (std::holds_alternative<wire::GrantReply>(aMessage) ||
        std::holds_alternative<wire::UsageAck>(aMessage)) {
      this->send(this->budget,
                 FromAllocator{ aFrom.allocator, std::move(aMessage) });
      return true;
    }
    return std::holds_alternative<wire::HeartbeatAck>(aMessage);
  }

  // Handles a message from a router that borrows; returns whether it was
  // expected.
  bool Handle(Incoming& aFrom, wire::Message& aMessage)
  {
    if (const auto* hello = std::get_if<wire::Hello>(&aMessage)) {
      aFrom.session = hello->session;
      bool isAccepted = hello->protocol == wire::kProtocolVersion;
      wire::Welcome welcome;
      welcome.accepted = isAccepted;
      welcome.reason = isAccepted ? "" : "the protocol version differs";
      welcome.session = this->session;
      this->SendTo(aFrom.task, welcome);
      return true;
    }
    if (!aFrom.session) {
      return false;
    }
    if (std::holds_alternative<wire::GrantRequest>(aMessage) ||
        std::holds_alternative<wire::UsageReport>(aMessage)) {
      this->send(this->budget,
                 FromBorrower{ *aFrom.session, std::move(aMessage) });
      return true;
    }
    if (const auto* heartbeat = std::get_if<wire::Heartbeat>(&aMessage)) {
      this->SendTo(aFrom.task, wire::HeartbeatAck{ heartbeat->sentAt, {}, {} });
      return true;
    }
    return false;
  }

  void HeartbeatPeriodically()
  {
    for (const auto& [link, outgoing] : this->outgoing) {
      if (outgoing.isAccepted) {
        this->SendTo(outgoing.task, wire::Heartbeat{});
      }
    }
    this->After(kHeartbeatInterval, [this] { this->HeartbeatPeriodically(); });
  }

  settings::ProcessSettings settings;
  net::FleetKey key;
  caf::actor budget;
  // Identifies this process to allocators and to those that borrow from it.
  SessionId session;
  std::map<net::LinkId, Outgoing> outgoing;
  std::map<net::LinkId, Incoming> incoming;
};

} // namespace

Result<caf::actor, std::string>
SpawnPeerLinks(const net::Runtime& aRuntime,
               const settings::ProcessSettings& aSettings,
               const net::FleetKey& aKey,
               caf::actor aBudget)
{
  auto links = aRuntime.system->spawn<PeerLinks>(
    aRuntime, aSettings, aKey, std::move(aBudget));
  if (aSettings.peerAddress.host.empty()) {
    return links;
  }
  auto server = net::SpawnLinkServer(aRuntime,
                                     aKey,
                                     aSettings.peerAddress,
                                     PeerLinks::MakeOptions(aSettings),
                                     links);
  if (server.has_error()) {
    return server.error();
  }
  return links;
}

} // namespace lycheestand::router
