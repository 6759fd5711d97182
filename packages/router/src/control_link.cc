#include "controllers.h"
#include "leader_search.h"
#include "view_receiver.h"

#include <atomic>
#include <caf/send.hpp>

namespace lycheestand::router {

namespace {

// Delay before the next control instance is tried. Random jitter of up to the
// same length is added, so that routers do not all reconnect to a new leader at
// once.
constexpr std::uint64_t kDialDelayMs = 100;

// Interval of log lines while no leader is found.
constexpr Duration kSearchLogInterval = std::chrono::seconds(2);

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
    , search(this->settings.control,
             this->random(this->settings.control.size()))
  {
  }

protected:
  void Start() override
  {
    this->lostAt = net::Now(this->GetRuntime());
    this->nextSearchLog = this->lostAt + kSearchLogInterval;
    this->SearchPeriodically();
    this->HeartbeatPeriodically();
  }

  caf::message_handler Handlers() override
  {
    return {
      [this](net::LinkUp& aUp) { this->HandleLinkUp(aUp); },
      [this](net::LinkFrame& aFrame) { this->HandleFrame(aFrame); },
      [this](net::LinkDown& aDown) { this->HandleLinkDown(aDown); },
      [this](ToControl& aMessage) {
        if (this->accepted && this->IsKnownToControl(aMessage.message)) {
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
      [this](SetOverloaded aSet) {
        this->isOverloaded = aSet.isOverloaded;
        this->SendHeartbeat();
      },
      [this](RequestFullConfiguration) {
        this->revision = Revision(0);
        if (this->accepted) {
          this->CloseLink(*this->accepted);
        }
      },
      [this](DumpState) { return this->Dump(); },
    };
  }

private:
  // A link that is being opened, or is open.
  struct LinkState
  {
    InstanceId instance;
    // Null until the link is up.
    caf::actor task;
  };

  void SearchPeriodically()
  {
    if (!this->accepted) {
      if (const auto* member = this->search.Next()) {
        this->Connect(*member);
      }
      this->LogSearch();
    }
    std::uint64_t delayMs = kDialDelayMs + this->random(kDialDelayMs);
    this->After(std::chrono::milliseconds(delayMs),
                [this] { this->SearchPeriodically(); });
  }

  void Connect(const settings::ControlMember& aMember)
  {
    auto options = settings::MakeLinkOptions<net::LinkOptions>(this->settings);
    options.hasThread = true;
    auto link = net::OpenLink(this->GetRuntime(),
                              this->key,
                              aMember.peer,
                              options,
                              caf::actor_cast<caf::actor>(this));
    this->links[link].instance = aMember.instance;
    ++this->attempts;
  }

  void LogSearch()
  {
    auto now = net::Now(this->GetRuntime());
    if (now < this->nextSearchLog) {
      return;
    }
    this->nextSearchLog = now + kSearchLogInterval;
    std::string waiting;
    for (const auto& [link, state] : this->links) {
      waiting += (waiting.empty() ? "" : ",") + state.instance.Get();
    }
    net::Log(net::LogLevel::Warning,
             "no link to the control leader",
             { { "event", "control_search" },
               { "down_ms", std::to_string(this->DownTime(now).count()) },
               { "attempts", std::to_string(this->attempts) },
               { "waiting", waiting },
               { "last_failure", this->lastFailure } });
  }

  Milliseconds DownTime(TimePoint aNow) const
  {
    return std::chrono::duration_cast<Milliseconds>(aNow - this->lostAt);
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
    auto known = this->settings.control;
    for (const auto& entry : this->learned) {
      bool isNew =
        std::none_of(known.begin(), known.end(), [&](const auto& aMember) {
          return aMember.instance == entry.instance;
        });
      if (isNew) {
        known.push_back({ entry.instance, entry.address, {} });
      }
    }
    this->send(this->controllers.membership, SetMembers{ known });
    this->send(this->controllers.budget, SetMembers{ known });
    this->search.SetMembers(std::move(known));
  }

  void HandleLinkUp(const net::LinkUp& aUp)
  {
    auto found = this->links.find(aUp.link);
    found->second.task = aUp.task;
    if (this->accepted) {
      this->CloseLink(aUp.link);
      return;
    }
    wire::Hello hello;
    hello.instance = this->settings.instance;
    hello.zone = this->settings.zone;
    hello.session = this->session;
    hello.callerAddress = this->settings.callerAddress;
    hello.revision = this->revision;
    hello.acceptsPatches = true;
    hello.acceptsQuarantine = true;
    hello.acceptsLimits = true;
    hello.acceptsPartialLimits = true;
    hello.acceptsStreamServices = true;
    if (this->settings.role == settings::Role::Router) {
      hello.peerAddress = this->settings.peerAddress;
    }
    this->send(aUp.task, net::LinkSend{ wire::Encode(hello) });
  }

  void HandleLinkDown(const net::LinkDown& aDown)
  {
    auto closed = this->links.extract(aDown.link);
    if (closed.empty()) {
      return;
    }
    const auto& instance = closed.mapped().instance;
    this->search.AttemptEnded(instance);
    if (this->accepted != aDown.link) {
      this->lastFailure = instance.Get() + ": " + aDown.reason;
      return;
    }
    this->accepted.reset();
    this->lostAt = net::Now(this->GetRuntime());
    this->nextSearchLog = this->lostAt + kSearchLogInterval;
    this->attempts = 0;
    net::Log(net::LogLevel::Warning,
             "lost the link to control",
             { { "event", "control_lost" }, { "reason", aDown.reason } });
    this->connected.Set(0);
    this->send(this->controllers.budget, ControlDown{});
    this->send(this->controllers.membership, ControlDown{});
    this->send(this->controllers.quarantine, ControlDown{});
    this->send(this->controllers.stream,
               StreamSourceChanged{ StreamSource::None });
    this->send(this->controllers.endpoint,
               PermitSourceChanged{ limits::PermitSource::Local });
  }

  void CloseLink(net::LinkId aLink)
  {
    auto found = this->links.find(aLink);
    if (found != this->links.end() && found->second.task) {
      this->send(found->second.task, net::LinkClose{});
    }
  }

  // Frames that arrive on a link that was given up are ignored.
  void HandleFrame(net::LinkFrame& aFrame)
  {
    bool isCurrent = this->accepted ? *this->accepted == aFrame.link
                                    : this->links.contains(aFrame.link);
    if (!isCurrent) {
      return;
    }
    auto message = wire::Decode(aFrame.body);
    if (message.has_error()) {
      net::Log(net::LogLevel::Error,
               "control sent a malformed message; closing the link");
      this->CloseLink(aFrame.link);
      return;
    }
    this->Dispatch(aFrame.link, message.value());
  }

  void Dispatch(net::LinkId aLink, wire::Message& aMessage)
  {
    if (auto* welcome = std::get_if<wire::Welcome>(&aMessage)) {
      this->LearnControl(welcome->control);
      this->HandleWelcome(aLink, *welcome);
    } else if (!this->accepted) {
      return;
    } else if (std::holds_alternative<wire::HeartbeatAck>(aMessage) ||
               std::holds_alternative<wire::ConfigPush>(aMessage)) {
      this->RecordState(aMessage);
      this->Forward(this->controllers.configuration, aMessage);
    } else if (auto* view = std::get_if<wire::ViewPush>(&aMessage)) {
      this->HandleViewPush(*view);
    } else if (std::holds_alternative<wire::QuarantineState>(aMessage) ||
               std::holds_alternative<wire::TrialReply>(aMessage)) {
      this->Forward(this->controllers.quarantine, aMessage);
    } else if (std::holds_alternative<wire::StreamServices>(aMessage) ||
               std::holds_alternative<wire::StreamReply>(aMessage)) {
      this->Forward(this->controllers.stream, aMessage);
    } else if (std::holds_alternative<wire::LimitState>(aMessage) ||
               std::holds_alternative<wire::PermitReply>(aMessage)) {
      this->Forward(this->controllers.endpoint, aMessage);
    } else if (std::holds_alternative<wire::OperationReply>(aMessage)) {
      this->Forward(this->controllers.operation, aMessage);
    } else if (std::holds_alternative<wire::Drain>(aMessage)) {
      this->drainRequested();
    } else {
      this->Forward(this->controllers.budget, aMessage);
    }
  }

  void HandleWelcome(net::LinkId aLink, const wire::Welcome& aWelcome)
  {
    if (!aWelcome.accepted) {
      this->HandleRefusal(aLink, aWelcome);
      return;
    }
    this->accepted = aLink;
    this->tracksCrashes = aWelcome.tracksCrashes;
    this->grantsPermits = aWelcome.grantsPermits;
    this->grantsTrials = aWelcome.grantsTrials;
    this->recordsStreams = aWelcome.recordsStreams;
    this->wasRefused = false;
    this->viewReceiver.Reset();
    for (const auto& [link, state] : this->links) {
      if (link != aLink) {
        this->CloseLink(link);
      }
    }
    auto now = net::Now(this->GetRuntime());
    net::Log(net::LogLevel::Info,
             "connected to control",
             { { "event", "control_connected" },
               { "control", this->links[aLink].instance.Get() },
               { "down_ms", std::to_string(this->DownTime(now).count()) },
               { "attempts", std::to_string(this->attempts) } });
    this->connected.Set(1);
    this->SendHeartbeat();
    this->send(this->controllers.budget, ControlUp{});
    this->send(this->controllers.membership, ControlUp{});
    this->send(this->controllers.operation, ControlUp{});
    this->send(this->controllers.quarantine, ControlUp{});
    this->send(this->controllers.quarantine,
               TrialSourceChanged{ this->grantsTrials });
    this->send(this->controllers.stream,
               StreamSourceChanged{ this->recordsStreams
                                      ? StreamSource::Control
                                      : StreamSource::Unrecorded });
    this->send(this->controllers.endpoint,
               PermitSourceChanged{ this->grantsPermits
                                      ? limits::PermitSource::Control
                                      : limits::PermitSource::Unlimited });
  }

  // Routers try the instances until there is a leader. To avoid repeated log
  // lines, a refusal is logged only if it names another leader than the last
  // one.
  void HandleRefusal(net::LinkId aLink, const wire::Welcome& aWelcome)
  {
    if (!this->wasRefused || this->refusalLeader != aWelcome.leader) {
      net::Log(net::LogLevel::Info,
               "control refused this router",
               { { "event", "control_refused" },
                 { "reason", aWelcome.reason },
                 { "leader", aWelcome.leader } });
    }
    this->wasRefused = true;
    this->refusalLeader = aWelcome.leader;
    this->search.SetHint(InstanceId(aWelcome.leader));
    this->CloseLink(aLink);
  }

  // Control of an earlier version would close the link.
  bool IsKnownToControl(const wire::Message& aMessage) const
  {
    bool isAboutLimits = std::holds_alternative<wire::LimitReport>(aMessage) ||
                         std::holds_alternative<wire::PermitRequest>(aMessage);
    if (isAboutLimits) {
      return this->grantsPermits;
    }
    if (std::holds_alternative<wire::TrialRequest>(aMessage)) {
      return this->grantsTrials;
    }
    if (std::holds_alternative<wire::StreamReport>(aMessage) ||
        std::holds_alternative<wire::StreamQuery>(aMessage)) {
      return this->recordsStreams;
    }
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
      this->CloseLink(*this->accepted);
      return;
    }
    this->send(this->controllers.endpoint, ViewChanged{ view });
    this->send(this->controllers.membership, ViewChanged{ view });
    this->send(this->controllers.overload, ViewChanged{ view });
    this->send(this->controllers.budget, ViewChanged{ view });
    this->send(this->controllers.quarantine, ViewChanged{ view });
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
    if (!this->accepted) {
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
    heartbeat.overloaded = this->isOverloaded;
    this->SendToControl(heartbeat);
  }

  void SendToControl(const wire::Message& aMessage)
  {
    this->send(this->links[*this->accepted].task,
               net::LinkSend{ wire::Encode(aMessage) });
  }

  std::string Dump() const
  {
    std::string control =
      this->accepted ? this->links.at(*this->accepted).instance.Get() : "";
    return "{\"session\":\"" + std::to_string(this->session.Get()) +
           "\",\"connected\":" + (this->accepted ? "true" : "false") +
           ",\"control\":\"" + control +
           "\",\"leaving\":" + (this->isLeaving ? "true" : "false") + "}";
  }

  settings::ProcessSettings settings;
  net::FleetKey key;
  Controllers controllers;
  std::function<void()> drainRequested;
  RandomSource random;
  SessionId session;
  // Control instances of the settings and those that control told of.
  LeaderSearch search;
  std::vector<wire::ControlEntry> learned;
  std::map<net::LinkId, LinkState> links;
  // The link to the leader, which has accepted this router.
  std::optional<net::LinkId> accepted;
  bool wasRefused = false;
  std::string refusalLeader;
  // Attempts since the last link to the leader was lost, and why the latest
  // failed one did.
  std::uint64_t attempts = 0;
  std::string lastFailure;
  TimePoint nextSearchLog{};
  bool tracksCrashes = false;
  bool grantsPermits = false;
  bool grantsTrials = false;
  bool recordsStreams = false;
  // When the last link to the leader was lost, or the process started.
  TimePoint lostAt{};
  bool isLeaving = false;
  bool isOverloaded = false;
  Revision revision;
  ViewReceiver viewReceiver;
  net::Gauge connected =
    net::Metrics().GetGauge("lycheestand_control_connected");
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
