#include "snapshot_history.h"
#include "tasks.h"
#include "view_push.h"

#include <boost/json.hpp>
#include <caf/send.hpp>
#include <lycheestand/membership.h>

namespace lycheestand::control {

namespace {

// What is recalled, as a multiple of what is missing: part of what sessions
// hold is reserved by their requests.
constexpr std::int64_t kRecallFactor = 3;

// Least time between two views, so that many changes make one push.
constexpr Duration kViewInterval = std::chrono::milliseconds(250);

// Time in which routers find a new leader, before it publishes its view.
constexpr Duration kSettleTime = std::chrono::milliseconds(800);

// Longest time for which a new leader holds its view back for want of a list.
constexpr Duration kListWait = std::chrono::seconds(5);

// Time between two log lines of one budget.
constexpr Duration kBudgetLogInterval = std::chrono::seconds(2);

// Least time between two published loads of an instance. Entry answers, which
// the load is for, are kept as long; every load is in the view of every node.
constexpr Duration kLoadInterval = std::chrono::seconds(10);

// An instance is suspected after three missed heartbeats and a margin.
membership::DetectorOptions
MakeDetectorOptions(const settings::ProcessSettings& aSettings)
{
  membership::DetectorOptions options;
  options.suspectAfter = aSettings.heartbeatInterval * 7 / 2;
  return options;
}

// Serves the links of routers while this instance leads, and passes those of
// other control instances to the replica.
class FleetController : public net::IoTask
{
public:
  FleetController(caf::actor_config& aConfig,
                  net::Runtime aRuntime,
                  settings::ProcessSettings aSettings,
                  caf::actor aReplica)
    : net::IoTask(aConfig, aRuntime)
    , settings(std::move(aSettings))
    , replica(std::move(aReplica))
    , detector(MakeDetectorOptions(this->settings))
  {
  }

protected:
  void Start() override
  {
    this->UpdateViewPeriodically();
    this->LogBudgetsPeriodically();
  }

  caf::message_handler Handlers() override
  {
    return {
      [this](net::LinkUp& aUp) { this->links[aUp.link].task = aUp.task; },
      [this](net::LinkFrame& aFrame) { this->HandleFrame(aFrame); },
      [this](net::LinkDown& aDown) { this->HandleDown(aDown.link); },
      [this](LeadershipChanged& aChanged) { this->Change(aChanged); },
      [this](RevisionChanged& aChanged) { this->PushRevision(aChanged); },
      [this](discovery::ListRead& aList) { this->TakeList(aList); },
      [this](UseListReader& aUse) {
        this->listReader = aUse.reader;
        this->send(this->listReader, discovery::SetReading{ this->isLeader });
      },
      [this](FindEndpoints) { return EndpointList{ this->endpoints }; },
      [this](ListInstances) { return this->FormatInstances(); },
      [this](ListEndpoints) { return this->FormatEndpoints(); },
      [this](DrainInstance& aDrain) { return this->Drain(aDrain); },
      [this](DumpState) {
        return "{\"links\":" + std::to_string(this->links.size()) +
               ",\"instances\":" + this->FormatInstances() + "}";
      },
    };
  }

private:
  struct LinkState
  {
    caf::actor task;
    wire::Hello hello;
    bool isWelcome = false;
    // Revision that has been pushed on this link.
    Revision pushed;
    ViewVersion pushedView;
  };

  struct Member
  {
    membership::Instance entry;
    net::LinkId link;
    // Load of the last heartbeat, and when one was last published.
    std::uint32_t inFlight = 0;
    std::optional<TimePoint> loadPublishedAt;

    void PublishLoad(TimePoint aNow)
    {
      if (!this->loadPublishedAt ||
          aNow - *this->loadPublishedAt >= kLoadInterval) {
        this->loadPublishedAt = aNow;
        this->entry.inFlight =
          membership::QuantizeLoad(this->inFlight, this->entry.inFlight);
      }
    }
  };

  void HandleFrame(net::LinkFrame& aFrame)
  {
    auto found = this->links.find(aFrame.link);
    if (found == this->links.end()) {
      return;
    }
    auto decoded = wire::Decode(aFrame.body);
    if (decoded.has_error()) {
      net::Log(net::LogLevel::Error, "a peer sent a malformed message");
      this->send(found->second.task, net::LinkClose{});
      return;
    }
    std::visit(
      [&](auto& aBody) { this->Handle(aFrame.link, found->second, aBody); },
      decoded.value());
  }

  void Handle(net::LinkId aLink, LinkState& aState, const wire::Hello& aHello)
  {
    aState.hello = aHello;
    if (aHello.protocol != wire::kProtocolVersion) {
      this->Refuse(aState, "the protocol version differs");
      return;
    }
    if (aHello.isControl) {
      this->send(this->replica, PeerLink{ aHello.instance, aState.task });
      return;
    }
    if (!this->isLeader) {
      this->Refuse(aState, "this instance does not lead");
      return;
    }
    this->ProposeFor(
      aLink,
      state::RegisterSession{ aHello.instance, aHello.session },
      [this, aLink](LinkState& aLinkState, const state::Outcome& aOutcome) {
        if (std::holds_alternative<state::Done>(aOutcome)) {
          this->Welcome(aLink, aLinkState);
        } else {
          this->Refuse(aLinkState, "the session is closed");
        }
      });
  }

  void Welcome(net::LinkId aLink, LinkState& aState)
  {
    aState.isWelcome = true;
    // Equal revisions have equal content, whichever instance led then.
    aState.pushed = aState.hello.revision;
    Member& member = this->members[aState.hello.instance];
    member.entry.instance = aState.hello.instance;
    member.entry.zone = aState.hello.zone;
    member.entry.callerAddress = aState.hello.callerAddress;
    member.entry.leaving = false;
    member.link = aLink;
    this->detector.Join(aState.hello.instance, net::Now(this->GetRuntime()));
    this->SendTo(aState, wire::Welcome{ true, "", "" });
    this->PushTo(aState);
    net::Log(net::LogLevel::Info,
             "router connected",
             { { "event", "router_connected" },
               { "router", aState.hello.instance.Get() },
               { "session", std::to_string(aState.hello.session.Get()) },
               { "revision", std::to_string(aState.hello.revision.Get()) } });
  }

  void Refuse(LinkState& aState, const std::string& aReason)
  {
    this->SendTo(aState, wire::Welcome{ false, this->leader.Get(), aReason });
  }

  // Answers once a quorum has confirmed the lead after the heartbeat came.
  void Handle(net::LinkId aLink,
              LinkState& aState,
              const wire::Heartbeat& aHeartbeat)
  {
    if (!aState.isWelcome) {
      return;
    }
    Member& member = this->members[aState.hello.instance];
    this->detector.Heartbeat(aState.hello.instance,
                             net::Now(this->GetRuntime()));
    member.inFlight = aHeartbeat.inFlight;
    member.entry.leaving = aHeartbeat.leaving;
    this->request(this->replica, caf::infinite, ConfirmLeadership{})
      .then([this, aLink, sentAt = aHeartbeat.sentAt](
              const Confirmation& aConfirmation) {
        auto found = this->links.find(aLink);
        if (found != this->links.end() && aConfirmation.isLeader) {
          this->SendTo(found->second,
                       wire::HeartbeatAck{ sentAt, aConfirmation.revision });
        }
      });
  }

  void Handle(net::LinkId aLink,
              LinkState& aState,
              const wire::GrantRequest& aRequest)
  {
    this->ProposeFor(
      aLink,
      state::GrantTokens{ aState.hello.session,
                          aRequest.request,
                          aRequest.workspace,
                          aRequest.minimum,
                          aRequest.wanted,
                          aRequest.isPrefetch },
      [this, aRequest](LinkState& aLinkState, const state::Outcome& aOutcome) {
        this->AnswerGrant(aLinkState, aRequest, aOutcome);
      });
  }

  void AnswerGrant(LinkState& aState,
                   const wire::GrantRequest& aRequest,
                   const state::Outcome& aOutcome)
  {
    wire::GrantReply reply;
    reply.request = aRequest.request;
    reply.workspace = aRequest.workspace;
    if (aOutcome ==
        state::Outcome(state::Rejected{ state::Rejection::SessionClosed })) {
      // Another process has taken this instance's place. The budget may have
      // room, so "exhausted" would be wrong.
      this->send(aState.task, net::LinkClose{});
      return;
    }
    if (const auto* granted = std::get_if<state::TokensGranted>(&aOutcome)) {
      reply.grant = granted->grant;
      reply.tokens = granted->tokens;
      reply.exhausted = granted->exhausted;
      reply.holdsMost = granted->holdsMost;
    } else {
      // There is no such workspace, so nothing was paid for it.
      reply.exhausted = true;
    }
    this->SendTo(aState, reply);
    if (reply.tokens == Tokens(0) && !reply.exhausted && !aRequest.isPrefetch) {
      this->RecallFromOthers(aState.hello.session, aRequest);
    }
  }

  // Asks the largest holders first, and no more of them than can cover the
  // request: each return makes its router ask anew later.
  void RecallFromOthers(SessionId aSession, const wire::GrantRequest& aRequest)
  {
    this
      ->request(this->replica, caf::infinite, FindHolders{ aRequest.workspace })
      .then([this, aSession, aRequest](Holders& aHolders) {
        Tokens left(aRequest.minimum.Get() * kRecallFactor);
        for (const auto& [tokens, session] : aHolders.byTokens) {
          LinkState* link = this->FindRouter(session);
          if (left <= Tokens(0) || session == aSession || link == nullptr) {
            continue;
          }
          Tokens part = std::min(tokens, left);
          left -= part;
          this->SendTo(*link, wire::Recall{ aRequest.workspace, part });
        }
      });
  }

  // Returns the open link of a router's session, if there is one.
  LinkState* FindRouter(SessionId aSession)
  {
    for (auto& [id, link] : this->links) {
      if (link.isWelcome && link.hello.session == aSession) {
        return &link;
      }
    }
    return nullptr;
  }

  void Handle(net::LinkId aLink,
              LinkState& aState,
              const wire::UsageReport& aReport)
  {
    state::ReportUsage command{ aState.hello.session, aReport.batch, {} };
    for (const auto& entry : aReport.entries) {
      command.entries.push_back(
        { entry.workspace, entry.spent, entry.returned, entry.requests });
    }
    this->ProposeFor(
      aLink,
      std::move(command),
      [this, batch = aReport.batch](LinkState& aLinkState,
                                    const state::Outcome& aOutcome) {
        if (const auto* rejected = std::get_if<state::Rejected>(&aOutcome)) {
          net::Log(net::LogLevel::Error,
                   "usage was rejected",
                   { { "router", aLinkState.hello.instance.Get() },
                     { "reason", ToString(rejected->reason) } });
          return;
        }
        this->SendTo(aLinkState, wire::UsageAck{ batch });
      });
  }

  void Handle(net::LinkId aLink,
              LinkState& aState,
              const wire::OperationRequest& aRequest)
  {
    state::RecordOperation command{ aState.hello.session, aRequest.request,
                                    aRequest.workspace,   aRequest.key,
                                    aRequest.bodyHash,    aRequest.phase,
                                    aRequest.answer };
    this->ProposeFor(aLink,
                     std::move(command),
                     [this, number = aRequest.request, phase = aRequest.phase](
                       LinkState& aLinkState, const state::Outcome& aOutcome) {
                       wire::OperationReply reply;
                       reply.request = number;
                       reply.phase = phase;
                       if (const auto* recorded =
                             std::get_if<state::OperationRecorded>(&aOutcome)) {
                         reply.state = recorded->state;
                         reply.answer = recorded->answer;
                       }
                       this->SendTo(aLinkState, reply);
                     });
  }

  void Handle(net::LinkId, LinkState& aState, const wire::Replication& aMessage)
  {
    if (aState.hello.isControl) {
      this->send(this->replica, PeerMessage{ aState.hello.instance, aMessage });
    }
  }

  // Messages that only control sends.
  template<class Other>
  void Handle(net::LinkId, LinkState& aState, const Other&)
  {
    net::Log(net::LogLevel::Error, "a peer sent a message out of place");
    this->send(aState.task, net::LinkClose{});
  }

  // Proposes a command for a router; no answer is sent if the lead was lost or
  // the link is gone, and the router asks again.
  void ProposeFor(net::LinkId aLink,
                  state::Command aCommand,
                  std::function<void(LinkState&, const state::Outcome&)> aDone)
  {
    this->request(this->replica, caf::infinite, Propose{ std::move(aCommand) })
      .then(
        [this, aLink, done = std::move(aDone)](const ProposalResult& aResult) {
          auto found = this->links.find(aLink);
          if (found == this->links.end()) {
            return;
          }
          if (!aResult.outcome) {
            this->send(found->second.task, net::LinkClose{});
            return;
          }
          done(found->second, *aResult.outcome);
        });
  }

  void HandleDown(net::LinkId aLink)
  {
    auto found = this->links.find(aLink);
    if (found == this->links.end()) {
      return;
    }
    wire::Hello hello = found->second.hello;
    this->links.erase(found);
    if (hello.isControl) {
      this->send(this->replica,
                 PeerLink{ hello.instance, this->FindPeer(hello.instance) });
    }
  }

  // Returns another open link with a control instance: it may have connected
  // again before the end of its earlier link was seen.
  caf::actor FindPeer(const InstanceId& aInstance) const
  {
    for (const auto& [id, link] : this->links) {
      if (link.hello.isControl && link.hello.instance == aInstance) {
        return link.task;
      }
    }
    return nullptr;
  }

  void Change(const LeadershipChanged& aChanged)
  {
    bool isNew = aChanged.isLeader && !this->isLeader;
    this->isLeader = aChanged.isLeader;
    this->leader = aChanged.leader;
    if (this->listReader) {
      this->send(this->listReader, discovery::SetReading{ this->isLeader });
    }
    if (isNew) {
      this->leadsSince = net::Now(this->GetRuntime());
      this->hasList = false;
      this->view = {};
    }
    if (this->isLeader) {
      return;
    }
    // Routers look for the new leader.
    for (auto& [id, link] : this->links) {
      if (!link.hello.isControl) {
        this->send(link.task, net::LinkClose{});
      }
    }
    this->members.clear();
    this->detector.Clear();
  }

  void PushRevision(const RevisionChanged& aChanged)
  {
    this->snapshots.Add(aChanged.revision, aChanged.document);
    for (auto& [id, link] : this->links) {
      this->PushTo(link);
    }
  }

  void PushTo(LinkState& aState)
  {
    if (!aState.isWelcome) {
      return;
    }
    Revision current = this->snapshots.Current();
    if (current > Revision(0) && aState.pushed != current) {
      this->SendTo(aState, this->snapshots.MakePush(aState.pushed));
      aState.pushed = current;
    }
    // A router that has just started has no view, so part of one is better.
    bool isNew = aState.hello.revision == Revision(0);
    if (aState.pushedView != this->view.Version() &&
        (isNew || this->IsSettled())) {
      this->SendTo(aState, MakeViewPush(this->view, aState.pushedView));
      aState.pushedView = this->view.Version();
    }
  }

  void LogBudgetsPeriodically()
  {
    if (this->isLeader) {
      this->send(this->replica, LogBudgets{});
    }
    this->After(kBudgetLogInterval, [this] { this->LogBudgetsPeriodically(); });
  }

  void UpdateViewPeriodically()
  {
    this->UpdateView();
    this->After(kViewInterval, [this] { this->UpdateViewPeriodically(); });
  }

  void TakeList(discovery::ListRead& aList)
  {
    this->endpoints = std::move(aList.endpoints);
    this->hasList = true;
    this->UpdateView();
  }

  // A new leader knows neither the routers nor the endpoints. Until the list is
  // read and routers have had time to connect, those that have a view keep it.
  bool IsViewKnown(TimePoint aNow) const
  {
    bool isListDue = this->listReader && !this->hasList;
    return this->isLeader &&
           (!isListDue || aNow - this->leadsSince >= kListWait);
  }

  bool IsSettled() const
  {
    return net::Now(this->GetRuntime()) - this->leadsSince >= kSettleTime;
  }

  void UpdateView()
  {
    auto now = net::Now(this->GetRuntime());
    if (!this->IsViewKnown(now)) {
      return;
    }
    for (const auto& instance : this->detector.Forget(now)) {
      this->members.erase(instance);
    }
    std::vector<membership::Instance> instances;
    for (auto& [id, member] : this->members) {
      // A suspected instance is left out of entry answers. Its session stays
      // open: it may only be cut off or frozen.
      member.entry.alive =
        this->detector.GetHealth(id, now) == membership::Health::Alive;
      member.PublishLoad(now);
      instances.push_back(member.entry);
    }
    this->view.Update(instances, this->endpoints);
    // Also without a change: the view may have been held back from a router
    // until this instance had led for some time.
    for (auto& [id, link] : this->links) {
      this->PushTo(link);
    }
  }

  bool Drain(const DrainInstance& aDrain)
  {
    auto member = this->members.find(aDrain.instance);
    if (member == this->members.end()) {
      return false;
    }
    auto link = this->links.find(member->second.link);
    if (link == this->links.end()) {
      return false;
    }
    this->SendTo(link->second, wire::Drain{});
    return true;
  }

  std::string FormatInstances() const
  {
    boost::json::array out;
    for (const auto& [id, member] : this->members) {
      const auto& entry = member.entry;
      out.push_back({ { "instance", id.Get() },
                      { "zone", entry.zone.Get() },
                      { "address", ToString(entry.callerAddress) },
                      { "in_flight", member.inFlight },
                      { "alive", entry.alive },
                      { "leaving", entry.leaving } });
    }
    return boost::json::serialize(out);
  }

  std::string FormatEndpoints() const
  {
    boost::json::array out;
    for (const auto& entry : this->endpoints) {
      out.push_back({ { "endpoint", entry.endpoint.Get() },
                      { "zone", entry.zone.Get() },
                      { "address", ToString(entry.address) },
                      { "serves", entry.serves },
                      { "kind", entry.isService ? "service" : "model" },
                      { "leaving", entry.leaving } });
    }
    return boost::json::serialize(out);
  }

  void SendTo(LinkState& aState, const wire::Message& aMessage)
  {
    this->send(aState.task, net::LinkSend{ wire::Encode(aMessage) });
  }

  settings::ProcessSettings settings;
  caf::actor replica;
  bool isLeader = false;
  InstanceId leader;
  SnapshotHistory snapshots;
  std::map<net::LinkId, LinkState> links;
  std::map<InstanceId, Member> members;
  membership::FailureDetector detector;
  caf::actor listReader;
  // When this instance's lead began.
  TimePoint leadsSince{};
  // A list was read since then.
  bool hasList = false;
  std::vector<membership::Endpoint> endpoints;
  membership::View view;
};

} // namespace

caf::actor
SpawnFleetController(const net::Runtime& aRuntime,
                     const settings::ProcessSettings& aSettings,
                     caf::actor aReplica)
{
  return aRuntime.system->spawn<FleetController>(
    aRuntime, aSettings, std::move(aReplica));
}

} // namespace lycheestand::control
