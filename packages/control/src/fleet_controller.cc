#include "fleet_snapshot_history.h"
#include "tasks.h"
#include "view_push.h"

#include <boost/json.hpp>
#include <caf/send.hpp>
#include <lycheestand/membership.h>
#include <lycheestand/quarantine_codec.h>

namespace lycheestand::control {

namespace {

// Interval of periodic view updates; the changes in between are combined into
// one push.
constexpr Duration kViewUpdateInterval = std::chrono::milliseconds(250);

// Time that a new leader gives routers to connect before it sends its view to
// routers that already have one.
constexpr Duration kRouterReconnectTime = std::chrono::milliseconds(800);

// Maximum time for which a new leader waits for the platform's endpoint list
// before it publishes a view.
constexpr Duration kMaxListWait = std::chrono::seconds(5);

// Maximum time for which a new leader waits for the endpoint list, or for
// routers to connect, before it tells which zones it knows. Orders for zones
// are acknowledged after it, and each second of theirs beyond the first counts.
constexpr Duration kMaxZonesWait = std::chrono::seconds(1);
constexpr Duration kZonesCheckInterval = std::chrono::milliseconds(50);

constexpr Duration kBudgetLogInterval = std::chrono::seconds(2);

// Minimum time between two published loads of a router. Every published load is
// sent to all routers. They use it in entry responses, which callers cache for
// 10 s by default (`entry_keep_ms`).
constexpr Duration kMinLoadPublishInterval = std::chrono::seconds(10);

// An instance is suspected after three missed heartbeats plus half an interval.
membership::DetectorOptions
MakeDetectorOptions(const settings::ProcessSettings& aSettings)
{
  membership::DetectorOptions options;
  options.suspectAfter = aSettings.heartbeatInterval * 7 / 2;
  return options;
}

// Serves routers while this instance is the leader, and passes links and
// messages of other control instances to the replica.
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
      [this](net::LinkDown& aDown) { this->HandleLinkDown(aDown.link); },
      [this](LeadershipChanged& aChanged) {
        this->HandleLeadershipChanged(aChanged);
      },
      [this](GroupChanged& aChanged) {
        this->group = std::move(aChanged.group);
        ++this->groupVersion;
      },
      // The limit controller goes first, so that routers know the limits of
      // cold endpoints before the endpoints, and before the routes to them.
      [this](RevisionChanged& aChanged) {
        this->send(this->limits, std::move(aChanged));
      },
      [this](RevisionChecked& aChecked) {
        this->PushRevision(aChecked.changed);
      },
      [this](discovery::ListUpdate& aList) {
        this->send(this->limits, std::move(aList));
      },
      // Endpoints get requests only at versions in the replicated state.
      [this](EndpointsChecked& aChecked) {
        this->send(this->streams, std::move(aChecked));
      },
      [this](StreamVersionsChanged& aChanged) {
        this->send(this->streams, std::move(aChanged));
      },
      [this](StreamServicesChanged& aChanged) {
        this->PushStreamServices(std::move(aChanged.services));
      },
      [this](EndpointsAdmitted& aAdmitted) {
        this->HandleEndpointsAdmitted(aAdmitted);
      },
      [this](SetStreamController& aSet) { this->streams = aSet.controller; },
      [this](SetListReader& aSet) {
        this->listReader = aSet.reader;
        this->send(this->listReader,
                   discovery::SetReaderEnabled{ this->isLeader });
      },
      [this](SetQuarantineController& aSet) {
        this->quarantine = aSet.controller;
      },
      [this](QuarantineChanged& aChanged) {
        this->PushQuarantine(std::move(aChanged.state));
      },
      [this](SetLimitController& aSet) { this->limits = aSet.controller; },
      [this](LimitsChanged& aChanged) {
        this->PushLimits(std::move(aChanged.state));
      },
      [this](SendToRouter& aSend) {
        auto found = this->links.find(aSend.link);
        if (found != this->links.end()) {
          this->SendTo(found->second, aSend.message);
        }
      },
      [this](GetEndpoints) { return EndpointList{ this->endpoints }; },
      [this](GetZones& aGet) { return this->HandleGetZones(aGet.zone); },
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
    bool isAccepted = false;
    // Revision, and versions of the view and of the control group, that were
    // last sent on this link.
    Revision pushedRevision;
    ViewVersion pushedView;
    std::uint64_t pushedGroup = 0;
  };

  struct RouterState
  {
    membership::Instance entry;
    net::LinkId link;
    // Load reported by the last heartbeat, and when a load was last published.
    std::uint32_t inFlight = 0;
    std::optional<TimePoint> loadPublishedAt;

    void PublishLoad(TimePoint aNow)
    {
      if (!this->loadPublishedAt ||
          aNow - *this->loadPublishedAt >= kMinLoadPublishInterval) {
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
      net::Log(net::LogLevel::Error,
               "closing a link: the peer sent a malformed message");
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
      this->RefuseHello(aState, "the protocol version differs");
      return;
    }
    if (aHello.isControl) {
      this->send(this->replica,
                 PeerLink{ aHello.instance, aState.task, true, false });
      return;
    }
    if (!this->isLeader) {
      this->RefuseHello(aState, "this instance does not lead");
      return;
    }
    this->ProposeFor(
      aLink,
      state::RegisterSession{ aHello.instance, aHello.session },
      [this, aLink](LinkState& aLinkState, const state::Outcome& aOutcome) {
        if (std::holds_alternative<state::Done>(aOutcome)) {
          this->AcceptRouter(aLink, aLinkState);
        } else {
          this->RefuseHello(aLinkState, "the session is closed");
        }
      });
  }

  void AcceptRouter(net::LinkId aLink, LinkState& aState)
  {
    aState.isAccepted = true;
    // A revision has the same content on every control instance, so a push can
    // continue from the one that the router got from an earlier leader.
    aState.pushedRevision = aState.hello.revision;
    RouterState& router = this->routers[aState.hello.instance];
    router.entry.instance = aState.hello.instance;
    router.entry.zone = aState.hello.zone;
    router.entry.callerAddress = aState.hello.callerAddress;
    router.entry.peerAddress = aState.hello.peerAddress;
    router.entry.leaving = false;
    router.entry.overloaded = false;
    router.link = aLink;
    this->detector.Join(aState.hello.instance, net::Now(this->GetRuntime()));
    aState.pushedGroup = this->groupVersion;
    this->SendTo(aState,
                 wire::Welcome{ .accepted = true,
                                .control = this->group,
                                .tracksCrashes = true,
                                .grantsPermits = true,
                                .grantsTrials = true,
                                .recordsStreams = true });
    this->SendStreamServices(aState);
    this->SendLimits(aState);
    this->SendQuarantine(aState);
    this->PushUpdates(aState);
    net::Log(net::LogLevel::Info,
             "router connected",
             { { "event", "router_connected" },
               { "router", aState.hello.instance.Get() },
               { "session", std::to_string(aState.hello.session.Get()) },
               { "revision", std::to_string(aState.hello.revision.Get()) } });
  }

  void RefuseHello(LinkState& aState, const std::string& aReason)
  {
    this->SendTo(
      aState, wire::Welcome{ false, this->leader.Get(), aReason, this->group });
  }

  // Replies once a quorum has confirmed, after the heartbeat arrived, that this
  // instance is still the leader.
  void Handle(net::LinkId aLink,
              LinkState& aState,
              const wire::Heartbeat& aHeartbeat)
  {
    if (!aState.isAccepted) {
      return;
    }
    RouterState& router = this->routers[aState.hello.instance];
    this->detector.Heartbeat(aState.hello.instance,
                             net::Now(this->GetRuntime()));
    router.inFlight = aHeartbeat.inFlight;
    router.entry.leaving = aHeartbeat.leaving;
    router.entry.overloaded = aHeartbeat.overloaded;
    this->request(this->replica, caf::infinite, ConfirmLeadership{})
      .then([this, aLink, sentAt = aHeartbeat.sentAt](
              const LeadershipConfirmation& aConfirmation) {
        auto found = this->links.find(aLink);
        if (found != this->links.end() && aConfirmation.isLeader) {
          this->AcknowledgeHeartbeat(found->second,
                                     { sentAt, aConfirmation.revision, {} });
        }
      });
  }

  void AcknowledgeHeartbeat(LinkState& aState, wire::HeartbeatAck aAck)
  {
    if (aState.pushedGroup != this->groupVersion) {
      aState.pushedGroup = this->groupVersion;
      aAck.control = this->group;
    }
    this->SendTo(aState, aAck);
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
                          aRequest.isPrefetch,
                          aRequest.isMainUser },
      [this, aRequest](LinkState& aLinkState, const state::Outcome& aOutcome) {
        this->ReplyToGrantRequest(aLinkState, aRequest, aOutcome);
      });
  }

  void ReplyToGrantRequest(LinkState& aState,
                           const wire::GrantRequest& aRequest,
                           const state::Outcome& aOutcome)
  {
    wire::GrantReply reply;
    reply.request = aRequest.request;
    reply.workspace = aRequest.workspace;
    if (aOutcome ==
        state::Outcome(state::Rejected{ state::Rejection::SessionClosed })) {
      // A newer process of the same instance has replaced this session. The
      // budget may have free tokens, so "exhausted" would be wrong.
      this->send(aState.task, net::LinkClose{});
      return;
    }
    if (const auto* granted = std::get_if<state::TokensGranted>(&aOutcome)) {
      reply.grant = granted->grant;
      reply.tokens = granted->tokens;
      reply.exhausted = granted->exhausted;
      reply.holdsTokenMajority = granted->holdsTokenMajority;
    } else {
      // The workspace does not exist, so no tokens were paid for.
      reply.exhausted = true;
    }
    this->SendTo(aState, reply);
    if (reply.tokens == Tokens(0) && !reply.exhausted && !aRequest.isPrefetch) {
      this->RecallFromOthers(aState.hello.session, aRequest);
    }
  }

  void RecallFromOthers(SessionId aSession, const wire::GrantRequest& aRequest)
  {
    this
      ->request(
        this->replica, caf::infinite, FindTokenHolders{ aRequest.workspace })
      .then([this, aSession, aRequest](TokenHolders& aHolders) {
        std::vector<state::TokenHolder> reachable;
        for (const auto& [tokens, session] : aHolders.byTokens) {
          if (session != aSession && this->FindRouter(session) != nullptr) {
            reachable.push_back({ session, tokens });
          }
        }
        for (const auto& recall :
             state::PlanRecall(std::move(reachable), aRequest.minimum)) {
          this->SendTo(*this->FindRouter(recall.session),
                       wire::Recall{ aRequest.workspace, recall.tokens });
        }
      });
  }

  // Returns the open link of a router's session, or null.
  LinkState* FindRouter(SessionId aSession)
  {
    for (auto& [id, link] : this->links) {
      if (link.isAccepted && link.hello.session == aSession) {
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

  void Handle(net::LinkId, LinkState& aState, const wire::CrashReport& aReport)
  {
    this->ForwardToQuarantine(aState, aReport);
  }

  void Handle(net::LinkId, LinkState& aState, const wire::PartSuccess& aSuccess)
  {
    this->ForwardToQuarantine(aState, aSuccess);
  }

  void Handle(net::LinkId,
              LinkState& aState,
              const wire::QuarantineState& aKnown)
  {
    this->ForwardToQuarantine(aState, aKnown);
  }

  void Handle(net::LinkId aLink,
              LinkState& aState,
              const wire::TrialRequest& aRequest)
  {
    if (aState.isAccepted) {
      this->send(this->quarantine, RequestTrial{ aLink, aRequest });
    }
  }

  template<class Message>
  void ForwardToQuarantine(const LinkState& aState, const Message& aMessage)
  {
    if (aState.isAccepted) {
      this->send(this->quarantine, aMessage);
    }
  }

  void PushQuarantine(wire::QuarantineState aState)
  {
    this->quarantineState = std::move(aState);
    this->quarantineChangedAt = net::Now(this->GetRuntime());
    for (auto& [id, link] : this->links) {
      this->SendQuarantine(link);
    }
  }

  void SendQuarantine(LinkState& aState)
  {
    if (aState.isAccepted && aState.hello.acceptsQuarantine &&
        this->quarantineState) {
      auto age = net::Now(this->GetRuntime()) - this->quarantineChangedAt;
      this->SendTo(aState,
                   quarantine_codec::WithAge(*this->quarantineState, age));
    }
  }

  void Handle(net::LinkId, LinkState& aState, const wire::LimitReport& aReport)
  {
    if (aState.isAccepted) {
      this->send(this->limits, aReport);
    }
  }

  void Handle(net::LinkId aLink,
              LinkState& aState,
              const wire::PermitRequest& aRequest)
  {
    if (aState.isAccepted) {
      this->send(this->limits, RequestPermits{ aLink, aRequest });
    }
  }

  void Handle(net::LinkId, LinkState& aState, const wire::StreamReport& aReport)
  {
    if (aState.isAccepted) {
      this->send(this->streams, aReport);
    }
  }

  void Handle(net::LinkId aLink,
              LinkState& aState,
              const wire::StreamQuery& aQuery)
  {
    if (aState.isAccepted) {
      this->send(this->streams, QueryStream{ aLink, aQuery });
    }
  }

  void PushStreamServices(wire::StreamServices aServices)
  {
    this->streamServices = std::move(aServices);
    for (auto& [id, link] : this->links) {
      if (link.isAccepted) {
        this->SendStreamServices(link);
      }
    }
  }

  // Call it before a view is sent, which may have endpoints of these services.
  void SendStreamServices(LinkState& aState)
  {
    if (this->streamServices && aState.hello.acceptsStreamServices) {
      this->SendTo(aState, *this->streamServices);
    }
  }

  void PushLimits(wire::LimitState aState)
  {
    (aState.isPartial ? this->partialLimits : this->limitState) =
      std::move(aState);
    for (auto& [id, link] : this->links) {
      if (link.isAccepted) {
        this->SendLimits(link);
      }
    }
  }

  // Call it before a view or a revision is sent, which may have endpoints and
  // routes to which the limits apply.
  void SendLimits(LinkState& aState)
  {
    if (this->limitState && aState.hello.acceptsLimits) {
      this->SendTo(aState, *this->limitState);
    } else if (this->partialLimits && aState.hello.acceptsPartialLimits) {
      this->SendTo(aState, *this->partialLimits);
    }
  }

  void Handle(net::LinkId, LinkState& aState, const wire::Replication& aMessage)
  {
    if (aState.hello.isControl) {
      this->send(this->replica, PeerMessage{ aState.hello.instance, aMessage });
    }
  }

  // Handles message types that only control sends.
  template<class Other>
  void Handle(net::LinkId, LinkState& aState, const Other&)
  {
    net::Log(net::LogLevel::Error,
             "closing a link: the peer sent a message of an unexpected type");
    this->send(aState.task, net::LinkClose{});
  }

  // Proposes a command for a router. If leadership was lost, closes the link,
  // and the router resends its request to the next leader. Calls aDone only if
  // there is an outcome and the link is still open.
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

  void HandleLinkDown(net::LinkId aLink)
  {
    auto found = this->links.find(aLink);
    if (found == this->links.end()) {
      return;
    }
    LinkState closed = std::move(found->second);
    this->links.erase(found);
    if (closed.hello.isControl) {
      this->send(this->replica,
                 PeerLink{ closed.hello.instance, closed.task, false, false });
    }
  }

  void HandleLeadershipChanged(const LeadershipChanged& aChanged)
  {
    bool isNew = aChanged.isLeader && !this->isLeader;
    if (aChanged.isLeader != this->isLeader) {
      this->quarantineState.reset();
      this->send(this->quarantine, aChanged);
      this->limitState.reset();
      this->partialLimits.reset();
      this->send(this->limits, aChanged);
      this->streamServices.reset();
      this->send(this->streams, aChanged);
    }
    this->isLeader = aChanged.isLeader;
    this->leader = aChanged.leader;
    if (this->listReader) {
      this->send(this->listReader,
                 discovery::SetReaderEnabled{ this->isLeader });
    }
    if (isNew) {
      this->leaderSince = net::Now(this->GetRuntime());
      this->hasReadList = false;
      this->view = {};
    }
    if (this->isLeader) {
      return;
    }
    // Makes routers reconnect to the new leader.
    for (auto& [id, link] : this->links) {
      if (!link.hello.isControl) {
        this->send(link.task, net::LinkClose{});
      }
    }
    this->routers.clear();
    this->detector.Clear();
  }

  void PushRevision(const RevisionChanged& aChanged)
  {
    this->snapshots.Add(aChanged.revision, aChanged.document);
    for (auto& [id, link] : this->links) {
      this->PushUpdates(link);
    }
    net::Log(net::LogLevel::Info,
             "revision pushed",
             { { "event", "revision_pushed" },
               { "revision", std::to_string(aChanged.revision.Get()) },
               { "bytes", std::to_string(aChanged.document->size()) },
               { "routers", std::to_string(this->routers.size()) } });
  }

  void PushUpdates(LinkState& aState)
  {
    if (!aState.isAccepted) {
      return;
    }
    Revision current = this->snapshots.Current();
    if (current > Revision(0) && aState.pushedRevision != current) {
      this->SendTo(aState,
                   this->snapshots.MakePush(aState.pushedRevision,
                                            aState.hello.acceptsPatches));
      aState.pushedRevision = current;
    }
    // A router that has just started has no view yet, and an incomplete one is
    // better than none.
    bool isNew = aState.hello.revision == Revision(0);
    if (aState.pushedView != this->view.Version() &&
        (isNew || this->IsReconnectTimeOver())) {
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
    this->After(kViewUpdateInterval,
                [this] { this->UpdateViewPeriodically(); });
  }

  void HandleEndpointsAdmitted(EndpointsAdmitted& aAdmitted)
  {
    this->endpoints = std::move(aAdmitted.endpoints);
    this->hasReadList |= aAdmitted.isRead;
    this->UpdateView();
  }

  // A new leader knows neither the routers nor the endpoints. Routers keep the
  // view that they have until the leader has read the endpoint list and other
  // routers have had time to connect.
  bool CanPublishView(TimePoint aNow) const
  {
    bool isWaitingForList = this->listReader && !this->hasReadList;
    return this->isLeader &&
           (!isWaitingForList || aNow - this->leaderSince >= kMaxListWait);
  }

  bool IsReconnectTimeOver() const
  {
    return net::Now(this->GetRuntime()) - this->leaderSince >=
           kRouterReconnectTime;
  }

  void UpdateView()
  {
    auto now = net::Now(this->GetRuntime());
    if (!this->CanPublishView(now)) {
      return;
    }
    for (const auto& instance : this->detector.RemoveExpired(now)) {
      this->routers.erase(instance);
    }
    std::vector<membership::Instance> instances;
    for (auto& [id, router] : this->routers) {
      // A suspected instance is left out of entry responses. Its session stays
      // open, because it may only be partitioned or paused.
      router.entry.alive =
        this->detector.GetHealth(id, now) == membership::Health::Alive;
      router.PublishLoad(now);
      instances.push_back(router.entry);
    }
    this->view.Update(instances, this->endpoints);
    // Needed even if the view has not changed: links that were skipped during
    // the reconnect time get it now.
    for (auto& [id, link] : this->links) {
      this->PushUpdates(link);
    }
  }

  caf::typed_response_promise<KnownZones> HandleGetZones(const ZoneId& aZone)
  {
    auto promise = this->make_response_promise<KnownZones>();
    this->DeliverZones(
      promise, aZone, net::Now(this->GetRuntime()) + kMaxZonesWait);
    return promise;
  }

  void DeliverZones(caf::typed_response_promise<KnownZones> aPromise,
                    const ZoneId& aZone,
                    TimePoint aDeadline)
  {
    KnownZones zones = this->FindZones();
    bool isWaitingForList = this->listReader && !this->hasReadList;
    bool maySoonKnow = !zones.known.contains(aZone) && !zones.isComplete;
    if (this->isLeader && (isWaitingForList || maySoonKnow) &&
        net::Now(this->GetRuntime()) < aDeadline) {
      this->After(kZonesCheckInterval, [this, aPromise, aZone, aDeadline] {
        this->DeliverZones(aPromise, aZone, aDeadline);
      });
      return;
    }
    aPromise.deliver(std::move(zones));
  }

  // Endpoints that an earlier time as leader has left are not used.
  KnownZones FindZones() const
  {
    KnownZones zones;
    zones.isLeader = this->isLeader;
    // Empty while this instance is elected but not ready yet.
    zones.leader =
      this->leader == this->settings.instance ? InstanceId() : this->leader;
    zones.known = this->settings.zones;
    zones.known.insert(this->settings.zone);
    for (const auto& [id, router] : this->routers) {
      zones.known.insert(router.entry.zone);
    }
    if (this->hasReadList) {
      for (const auto& endpoint : this->endpoints) {
        zones.withEndpoints.insert(endpoint.zone);
      }
    }
    zones.known.insert(zones.withEndpoints.begin(), zones.withEndpoints.end());
    zones.isComplete = this->CanPublishView(net::Now(this->GetRuntime())) &&
                       this->IsReconnectTimeOver();
    return zones;
  }

  bool Drain(const DrainInstance& aDrain)
  {
    auto router = this->routers.find(aDrain.instance);
    if (router == this->routers.end()) {
      return false;
    }
    auto link = this->links.find(router->second.link);
    if (link == this->links.end()) {
      return false;
    }
    this->SendTo(link->second, wire::Drain{});
    return true;
  }

  std::string FormatInstances() const
  {
    boost::json::array out;
    for (const auto& [id, router] : this->routers) {
      const auto& entry = router.entry;
      out.push_back({ { "instance", id.Get() },
                      { "zone", entry.zone.Get() },
                      { "address", ToString(entry.callerAddress) },
                      { "in_flight", router.inFlight },
                      { "alive", entry.alive },
                      { "overloaded", entry.overloaded },
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
                      { "leaving", entry.leaving },
                      { "cold", entry.isCold },
                      { "version", entry.version.Get() } });
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
  std::vector<wire::ControlEntry> group;
  // Counts the changes of the group.
  std::uint64_t groupVersion = 1;
  FleetSnapshotHistory snapshots;
  std::map<net::LinkId, LinkState> links;
  std::map<InstanceId, RouterState> routers;
  membership::FailureDetector detector;
  caf::actor listReader;
  caf::actor quarantine;
  // Empty until the quarantine controller has determined it. A new leader must
  // not send an empty state to routers that still have that of the last one.
  std::optional<wire::QuarantineState> quarantineState;
  TimePoint quarantineChangedAt{};
  caf::actor limits;
  // The same of the limit controller.
  std::optional<wire::LimitState> limitState;
  // The cold limits that a new leader has sent before that.
  std::optional<wire::LimitState> partialLimits;
  caf::actor streams;
  // Empty until a new leader knows them.
  std::optional<wire::StreamServices> streamServices;
  // When this instance became the leader.
  TimePoint leaderSince{};
  // Whether an endpoint list has been read since then.
  bool hasReadList = false;
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
