#include "controllers.h"
#include "view_receiver.h"

#include <atomic>
#include <caf/send.hpp>

namespace lycheestand::router {

namespace {

// Delay before the next control instance is tried. Random jitter of up to the
// same length is added, so that routers do not all reconnect to a new leader at
// once.
constexpr std::uint64_t kReconnectDelayMs = 100;

// Connects to the control leader and passes messages between it and the
// controllers.
class ControlLink : public net::IoTask
{
public:
  ControlLink(caf::actor_config& aConfig,
              net::Runtime aRuntime,
              settings::ProcessSettings aSettings,
              net::FleetKey aKey,
              Controllers aControllers,
              std::function<void()> aDrainRequested)
    : net::IoTask(aConfig, aRuntime)
    , settings(std::move(aSettings))
    , key(std::move(aKey))
    , controllers(std::move(aControllers))
    , drainRequested(std::move(aDrainRequested))
    , random(net::MakeRandomSource())
    , session(this->random(0))
  {
  }

protected:
  void Start() override
  {
    this->known = this->settings.control;
    this->nextMember = this->random(this->known.size());
    this->lostAt = net::Now(this->GetRuntime());
    this->Connect();
    this->HeartbeatPeriodically();
  }

  caf::message_handler Handlers() override
  {
    return {
      [this](net::LinkUp& aUp) { this->HandleLinkUp(aUp); },
      [this](net::LinkFrame& aFrame) { this->HandleFrame(aFrame); },
      [this](net::LinkDown& aDown) { this->HandleLinkDown(aDown); },
      [this](ToControl& aMessage) {
        if (this->isAccepted && this->IsKnownToControl(aMessage.message)) {
          this->SendToControl(aMessage.message);
        }
      },
      [this](SetMembers& aSet) {
        this->settings.control = std::move(aSet.members);
        this->UpdateKnown();
      },
      [this](SetLeaving) {
        this->isLeaving = true;
        this->SendHeartbeat();
      },
      [this](RequestFullConfiguration) {
        this->revision = Revision(0);
        this->send(this->linkTask, net::LinkClose{});
      },
      [this](DumpState) { return this->Dump(); },
    };
  }

private:
  void Connect()
  {
    const auto& member = this->known[this->nextMember];
    auto options = settings::MakeLinkOptions<net::LinkOptions>(this->settings);
    options.hasThread = true;
    this->link = net::OpenLink(this->GetRuntime(),
                               this->key,
                               member.peer,
                               options,
                               caf::actor_cast<caf::actor>(this));
  }

  void ScheduleReconnect()
  {
    this->isReconnectScheduled = true;
    std::uint64_t delayMs = kReconnectDelayMs + this->random(kReconnectDelayMs);
    this->After(std::chrono::milliseconds(delayMs), [this] {
      this->isReconnectScheduled = false;
      this->Connect();
    });
  }

  // Selects the leader that a refusal named, or the next instance in turn.
  void SelectNextMember(const std::string& aLeader)
  {
    for (std::size_t i = 0; i < this->known.size(); ++i) {
      if (this->known[i].instance.Get() == aLeader) {
        this->nextMember = i;
        return;
      }
    }
    this->nextMember = (this->nextMember + 1) % this->known.size();
  }

  // Control tells its members, of which the settings need to name only some.
  void LearnControl(const std::vector<wire::ControlEntry>& aControl)
  {
    if (!aControl.empty() && aControl != this->learned) {
      this->learned = aControl;
      this->UpdateKnown();
    }
  }

  // The addresses in the settings go first: this router may reach control by
  // addresses that only it uses.
  void UpdateKnown()
  {
    auto current = this->known[this->nextMember].instance;
    this->known = this->settings.control;
    for (const auto& entry : this->learned) {
      bool isNew = std::none_of(
        this->known.begin(), this->known.end(), [&](const auto& aMember) {
          return aMember.instance == entry.instance;
        });
      if (isNew) {
        this->known.push_back({ entry.instance, entry.address, {} });
      }
    }
    this->nextMember = 0;
    for (std::size_t i = 0; i < this->known.size(); ++i) {
      if (this->known[i].instance == current) {
        this->nextMember = i;
      }
    }
    this->send(this->controllers.membership, SetMembers{ this->known });
  }

  void HandleLinkUp(const net::LinkUp& aUp)
  {
    if (aUp.link != this->link) {
      return;
    }
    this->linkTask = aUp.task;
    wire::Hello hello;
    hello.instance = this->settings.instance;
    hello.zone = this->settings.zone;
    hello.session = this->session;
    hello.callerAddress = this->settings.callerAddress;
    hello.revision = this->revision;
    hello.acceptsPatches = true;
    hello.acceptsQuarantine = true;
    this->SendToControl(hello);
  }

  void HandleLinkDown(const net::LinkDown& aDown)
  {
    if (aDown.link != this->link || this->isReconnectScheduled) {
      return;
    }
    if (this->isAccepted) {
      this->lostAt = net::Now(this->GetRuntime());
      net::Log(net::LogLevel::Warning,
               "lost the link to control",
               { { "event", "control_lost" }, { "reason", aDown.reason } });
      this->send(this->controllers.budget, ControlDown{});
      this->send(this->controllers.membership, ControlDown{});
    }
    this->isAccepted = false;
    this->linkTask = nullptr;
    this->SelectNextMember(this->leaderHint);
    this->leaderHint.clear();
    this->ScheduleReconnect();
  }

  void HandleFrame(net::LinkFrame& aFrame)
  {
    if (aFrame.link != this->link) {
      return;
    }
    auto message = wire::Decode(aFrame.body);
    if (message.has_error()) {
      net::Log(net::LogLevel::Error,
               "control sent a malformed message; closing the link");
      this->send(this->linkTask, net::LinkClose{});
      return;
    }
    this->Dispatch(message.value());
  }

  void Dispatch(wire::Message& aMessage)
  {
    if (auto* welcome = std::get_if<wire::Welcome>(&aMessage)) {
      this->LearnControl(welcome->control);
      this->HandleWelcome(*welcome);
    } else if (std::holds_alternative<wire::HeartbeatAck>(aMessage) ||
               std::holds_alternative<wire::ConfigPush>(aMessage)) {
      this->RecordState(aMessage);
      this->Forward(this->controllers.configuration, aMessage);
    } else if (auto* view = std::get_if<wire::ViewPush>(&aMessage)) {
      this->HandleViewPush(*view);
    } else if (std::holds_alternative<wire::QuarantineState>(aMessage)) {
      this->Forward(this->controllers.quarantine, aMessage);
    } else if (std::holds_alternative<wire::OperationReply>(aMessage)) {
      this->Forward(this->controllers.operation, aMessage);
    } else if (std::holds_alternative<wire::Drain>(aMessage)) {
      this->drainRequested();
    } else {
      this->Forward(this->controllers.budget, aMessage);
    }
  }

  void HandleWelcome(const wire::Welcome& aWelcome)
  {
    if (!aWelcome.accepted) {
      // Routers try the instances in turn until there is a leader. To avoid
      // repeated log lines, a refusal is logged only if it names another leader
      // than the last one.
      if (!this->wasRefused || this->refusalLeader != aWelcome.leader) {
        net::Log(net::LogLevel::Info,
                 "control refused this router",
                 { { "event", "control_refused" },
                   { "reason", aWelcome.reason },
                   { "leader", aWelcome.leader } });
      }
      this->wasRefused = true;
      this->refusalLeader = aWelcome.leader;
      this->leaderHint = aWelcome.leader;
      this->send(this->linkTask, net::LinkClose{});
      return;
    }
    this->isAccepted = true;
    this->tracksCrashes = aWelcome.tracksCrashes;
    this->wasRefused = false;
    this->viewReceiver.Reset();
    auto downTime = std::chrono::duration_cast<Milliseconds>(
      net::Now(this->GetRuntime()) - this->lostAt);
    net::Log(net::LogLevel::Info,
             "connected to control",
             { { "event", "control_connected" },
               { "control", this->known[this->nextMember].instance.Get() },
               { "down_ms", std::to_string(downTime.count()) } });
    this->SendHeartbeat();
    this->send(this->controllers.budget, ControlUp{});
    this->send(this->controllers.membership, ControlUp{});
    this->send(this->controllers.operation, ControlUp{});
    this->send(this->controllers.quarantine, ControlUp{});
  }

  // Control of an earlier version would close the link.
  bool IsKnownToControl(const wire::Message& aMessage) const
  {
    return this->tracksCrashes ||
           !(std::holds_alternative<wire::CrashReport>(aMessage) ||
             std::holds_alternative<wire::PartSuccess>(aMessage) ||
             std::holds_alternative<wire::QuarantineState>(aMessage));
  }

  // Records the newest revision, which the next heartbeat acknowledges, and the
  // control group.
  void RecordState(const wire::Message& aMessage)
  {
    if (const auto* push = std::get_if<wire::ConfigPush>(&aMessage)) {
      this->revision = std::max(this->revision, push->revision);
    } else if (const auto* ack = std::get_if<wire::HeartbeatAck>(&aMessage)) {
      this->LearnControl(ack->control);
    }
  }

  void HandleViewPush(const wire::ViewPush& aPush)
  {
    auto view = this->viewReceiver.Apply(aPush);
    if (!view) {
      net::Log(net::LogLevel::Error,
               "control sent a view delta out of order; closing the link");
      this->send(this->linkTask, net::LinkClose{});
      return;
    }
    this->send(this->controllers.endpoint, ViewChanged{ view });
    this->send(this->controllers.membership, ViewChanged{ view });
  }

  void Forward(const caf::actor& aController, wire::Message& aMessage)
  {
    this->send(aController, FromControl{ std::move(aMessage) });
  }

  void HeartbeatPeriodically()
  {
    this->SendHeartbeat();
    this->After(this->settings.heartbeatInterval,
                [this] { this->HeartbeatPeriodically(); });
  }

  void SendHeartbeat()
  {
    if (!this->isAccepted) {
      return;
    }
    wire::Heartbeat heartbeat;
    heartbeat.sentAt = std::chrono::duration_cast<std::chrono::nanoseconds>(
      net::Now(this->GetRuntime()).time_since_epoch());
    heartbeat.revision = this->revision;
    heartbeat.viewVersion = this->viewReceiver.Version();
    heartbeat.inFlight = static_cast<std::uint32_t>(
      net::Metrics().GetGauge("lycheestand_requests_in_flight").Value());
    heartbeat.leaving = this->isLeaving;
    this->SendToControl(heartbeat);
  }

  void SendToControl(const wire::Message& aMessage)
  {
    this->send(this->linkTask, net::LinkSend{ wire::Encode(aMessage) });
  }

  std::string Dump() const
  {
    return "{\"session\":\"" + std::to_string(this->session.Get()) +
           "\",\"connected\":" + (this->isAccepted ? "true" : "false") +
           ",\"control\":\"" + this->known[this->nextMember].instance.Get() +
           "\",\"leaving\":" + (this->isLeaving ? "true" : "false") + "}";
  }

  settings::ProcessSettings settings;
  net::FleetKey key;
  Controllers controllers;
  std::function<void()> drainRequested;
  RandomSource random;
  SessionId session;
  // Control instances of the settings and those that control told of.
  std::vector<settings::ControlMember> known;
  std::vector<wire::ControlEntry> learned;
  std::size_t nextMember = 0;
  std::string leaderHint;
  bool wasRefused = false;
  std::string refusalLeader;
  net::LinkId link;
  caf::actor linkTask;
  bool isReconnectScheduled = false;
  bool isAccepted = false;
  bool tracksCrashes = false;
  // When the last link to the leader was lost, or the process started.
  TimePoint lostAt{};
  bool isLeaving = false;
  Revision revision;
  ViewReceiver viewReceiver;
};

} // namespace

Ticket
NextTicket()
{
  static std::atomic<std::uint64_t> next{ 1 };
  return Ticket(next.fetch_add(1));
}

std::uint64_t
NextOperationNumber()
{
  static std::atomic<std::uint64_t> next{ 1 };
  return next.fetch_add(1);
}

// This task and its link have threads of their own. If they waited behind the
// tasks of an overloaded router, its heartbeats would be late, control would
// close the link, and no configuration would reach the router.
caf::actor
SpawnControlLink(const net::Runtime& aRuntime,
                 const settings::ProcessSettings& aSettings,
                 const net::FleetKey& aKey,
                 const Controllers& aControllers,
                 std::function<void()> aDrainRequested)
{
  return aRuntime.system->spawn<ControlLink, caf::detached>(
    aRuntime, aSettings, aKey, aControllers, std::move(aDrainRequested));
}

} // namespace lycheestand::router
