#include "controllers.h"

#include <algorithm>
#include <boost/json.hpp>
#include <caf/typed_response_promise.hpp>

namespace lycheestand::router {

namespace {

constexpr Duration kUsageReportInterval = std::chrono::milliseconds(200);

// Interval at which waiting claims are checked again.
constexpr Duration kClaimPollInterval = std::chrono::milliseconds(10);

budget::RouterBudgetOptions
MakeOptions(const settings::ProcessSettings& aSettings)
{
  auto options = aSettings.routes ? budget::MakeRoutedOptions()
                                  : budget::MakeUnroutedOptions();
  options.nextTicket = NextTicket;
  return options;
}

// Returns the allocators as an instance in this zone sees them. Its claims go
// to its zone's allocator first, then to those of the zones after it, so that
// the zones do not all turn to the same one.
budget::Lending
MakeLending(std::shared_ptr<const membership::Allocators> aAllocators,
            const InstanceId& aOwn,
            const ZoneId& aZone,
            bool aIsOnControlHost)
{
  budget::Lending lending;
  auto zones = aAllocators->Zones();
  auto first = std::lower_bound(zones.begin(), zones.end(), aZone);
  std::rotate(zones.begin(), first, zones.end());
  for (const auto& zone : zones) {
    for (const auto& [allocator, address] : aAllocators->InZone(zone)) {
      if (allocator != aOwn) {
        (zone == aZone ? lending.own : lending.others).push_back(allocator);
      }
    }
  }
  lending.plan = [allocators = std::move(aAllocators),
                  aOwn,
                  aIsOnControlHost,
                  zones](const WorkspaceId& aWorkspace) {
    budget::LendingPlan plan;
    plan.prefersControl = aIsOnControlHost;
    for (const auto& zone : zones) {
      auto allocator = allocators->Find(zone, aWorkspace);
      if (allocator == aOwn) {
        plan.isOwnAllocator = true;
      } else if (allocator) {
        plan.allocators.push_back(*allocator);
      }
    }
    return plan;
  };
  return lending;
}

wire::Message
ToWire(const std::variant<budget::GrantRequest, budget::UsageBatch>& aBody)
{
  if (const auto* request = std::get_if<budget::GrantRequest>(&aBody)) {
    return wire::GrantRequest{ request->request,    request->workspace,
                               request->minimum,    request->wanted,
                               request->isPrefetch, request->isMainUser };
  }
  const auto& batch = std::get<budget::UsageBatch>(aBody);
  wire::UsageReport report{ batch.number, {} };
  for (const auto& entry : batch.entries) {
    report.entries.push_back(
      { entry.workspace, entry.spent, entry.returned, entry.requests });
  }
  return report;
}

budget::GrantReply
FromWire(const wire::GrantReply& aReply)
{
  return {
    aReply.request,   aReply.workspace,          aReply.tokens,
    aReply.exhausted, aReply.holdsTokenMajority, aReply.isLenderOffline
  };
}

budget::GrantRequest
FromWire(const wire::GrantRequest& aRequest)
{
  return { aRequest.request, aRequest.workspace,  aRequest.minimum,
           aRequest.wanted,  aRequest.isPrefetch, aRequest.isMainUser };
}

budget::UsageBatch
FromWire(const wire::UsageReport& aReport)
{
  budget::UsageBatch batch{ aReport.batch, {} };
  for (const auto& entry : aReport.entries) {
    batch.entries.push_back(
      { entry.workspace, entry.spent, entry.returned, entry.requests });
  }
  return batch;
}

// Owns the budgets: passes claims to them, and exchanges grants and usage with
// control, with allocators and with the routers that borrow from this one.
class BudgetController : public net::IoTask
{
public:
  BudgetController(caf::actor_config& aConfig,
                   net::Runtime aRuntime,
                   settings::ProcessSettings aSettings)
    : net::IoTask(aConfig, aRuntime)
    , settings(std::move(aSettings))
    , budget(MakeOptions(this->settings))
  {
  }

protected:
  void Start() override { this->ReportPeriodically(); }

  caf::message_handler Handlers() override
  {
    return {
      [this](Reserve& aReserve) { return this->HandleReserve(aReserve); },
      [this](Settle& aSettle) { this->HandleSettle(aSettle); },
      [this](FromControl& aMessage) { this->Handle(aMessage.message); },
      [this](FromAllocator& aMessage) { this->Handle(aMessage); },
      [this](FromBorrower& aMessage) { this->Handle(aMessage); },
      [this](ControlUp) {
        this->budget.SetOnline(true, this->Time());
        this->Resend({});
      },
      [this](ControlDown) {
        this->budget.SetOnline(false, this->Time());
        this->Advance();
      },
      [this](AllocatorUp& aUp) {
        this->budget.ConnectAllocator(aUp.allocator, aUp.session);
        this->Resend({ aUp.allocator });
      },
      [this](AllocatorDown& aDown) {
        this->budget.DisconnectAllocator(aDown.allocator);
        this->Advance();
      },
      [this](caf::actor& aLink) { this->link = aLink; },
      [this](SetPeerLinks& aSet) { this->peerLinks = aSet.links; },
      [this](ViewChanged& aChanged) {
        this->view = aChanged.view;
        this->UpdateLending();
      },
      [this](SetMembers& aSet) {
        this->settings.control = std::move(aSet.members);
        this->UpdateLending();
      },
      [this](SetBudgetHorizon& aSet) { this->budget.SetHorizon(aSet.horizon); },
      [this](ReturnGrants) {
        this->isReturning = true;
        return this->budget.IsEmpty();
      },
      [this](DumpState) { return this->Dump(); },
    };
  }

private:
  using Promise = caf::typed_response_promise<ReserveReply>;

  TimePoint Time() const { return net::Now(this->GetRuntime()); }

  void UpdateLending()
  {
    if (!this->view) {
      return;
    }
    std::set<std::string> controlHosts;
    for (const auto& member : this->settings.control) {
      controlHosts.insert(member.peer.host);
    }
    this->allocators = std::make_shared<const membership::Allocators>(
      this->view->Instances(), controlHosts);
    this->budget.SetLending(
      MakeLending(this->allocators,
                  this->settings.instance,
                  this->settings.zone,
                  controlHosts.contains(this->settings.callerAddress.host)));
    this->UpdateAllocatorLinks();
  }

  // Links that were lost are opened again, so this is called periodically.
  void UpdateAllocatorLinks()
  {
    for (const auto& allocator : this->budget.TakeSilentAllocators()) {
      this->send(this->peerLinks, AllocatorSilent{ allocator });
    }
    if (!this->allocators) {
      return;
    }
    auto needed = this->budget.NeededAllocators();
    SetAllocatorLinks set;
    for (const auto& zone : this->allocators->Zones()) {
      for (const auto& [instance, address] : this->allocators->InZone(zone)) {
        if (needed.contains(instance)) {
          set.needed.push_back({ instance, address });
        }
      }
    }
    this->send(this->peerLinks, std::move(set));
  }

  caf::result<ReserveReply> HandleReserve(const Reserve& aReserve)
  {
    auto decision = this->budget.Reserve(aReserve.claim, this->Time());
    if (decision) {
      return ReserveReply{ decision->tokens,
                           decision->refusal,
                           decision->retryAfter };
    }
    auto promise = this->make_response_promise<ReserveReply>();
    this->waiting.emplace(aReserve.claim.ticket, promise);
    this->Advance();
    return promise;
  }

  void HandleSettle(const Settle& aSettle)
  {
    this->budget.Settle(aSettle.ticket, aSettle.spent, this->Time());
    this->waiting.erase(aSettle.ticket);
    this->Advance();
  }

  void Handle(const wire::Message& aMessage)
  {
    if (const auto* recall = std::get_if<wire::Recall>(&aMessage)) {
      this->budget.Recall(recall->workspace, recall->tokens);
      this->Report();
    } else {
      this->HandleReply({}, aMessage);
    }
    this->Advance();
  }

  void Handle(const FromAllocator& aMessage)
  {
    this->HandleReply({ aMessage.allocator }, aMessage.message);
    this->Advance();
  }

  void HandleReply(const budget::TokenSource& aSource,
                   const wire::Message& aMessage)
  {
    if (const auto* reply = std::get_if<wire::GrantReply>(&aMessage)) {
      this->RecordGrantTime(aSource, reply->request);
      this->budget.AddGrant(aSource, FromWire(*reply), this->Time());
    } else if (const auto* ack = std::get_if<wire::UsageAck>(&aMessage)) {
      this->budget.Acknowledge(aSource, ack->batch);
    }
  }

  void Handle(const FromBorrower& aMessage)
  {
    if (const auto* request =
          std::get_if<wire::GrantRequest>(&aMessage.message)) {
      auto loan = this->budget.Request(
        aMessage.session, FromWire(*request), this->Time());
      if (loan) {
        this->SendLoan(*loan);
      }
    } else if (const auto* report =
                 std::get_if<wire::UsageReport>(&aMessage.message)) {
      if (this->budget.Report(aMessage.session, FromWire(*report))) {
        this->send(
          this->peerLinks,
          ToBorrower{ aMessage.session, wire::UsageAck{ report->batch } });
      } else {
        net::Log(net::LogLevel::Error,
                 "a router reported more tokens than it was lent");
      }
    }
    this->Advance();
  }

  void SendLoan(const budget::LoanReply& aLoan)
  {
    wire::GrantReply reply;
    reply.request = aLoan.reply.request;
    reply.workspace = aLoan.reply.workspace;
    reply.tokens = aLoan.reply.tokens;
    reply.exhausted = aLoan.reply.exhausted;
    reply.holdsTokenMajority = aLoan.reply.holdsTokenMajority;
    reply.isLenderOffline = aLoan.reply.isLenderOffline;
    this->send(this->peerLinks, ToBorrower{ aLoan.borrower, reply });
  }

  // Answers the claims that are decided and requests missing tokens.
  void Advance()
  {
    for (const auto& decision : this->budget.Poll(this->Time())) {
      auto found = this->waiting.find(decision.ticket);
      if (found != this->waiting.end()) {
        found->second.deliver(ReserveReply{
          decision.tokens, decision.refusal, decision.retryAfter });
        this->waiting.erase(found);
      }
    }
    for (const auto& loan : this->budget.TakeLoanReplies()) {
      this->SendLoan(loan);
    }
    for (const auto& message : this->budget.TakeRequests(this->Time())) {
      this->Send(message);
    }
    if (this->budget.IsWaiting()) {
      this->PollLater();
    }
  }

  void PollLater()
  {
    if (this->isPolling) {
      return;
    }
    this->isPolling = true;
    this->After(kClaimPollInterval, [this] {
      this->isPolling = false;
      this->Advance();
    });
  }

  void ReportPeriodically()
  {
    this->Report();
    this->Advance();
    this->UpdateAllocatorLinks();
    this->After(kUsageReportInterval, [this] { this->ReportPeriodically(); });
  }

  void Report()
  {
    if (this->isReturning) {
      this->budget.ReturnAll();
    }
    for (const auto& message : this->budget.TakeReports(this->Time())) {
      this->Send(message);
    }
    Tokens held;
    for (const auto& [workspace, holding] : this->budget.Holdings()) {
      held += holding.available + holding.reserved + holding.lent;
    }
    this->heldTokens.Set(held.Get());
  }

  // Messages sent before a link was lost may not have arrived. The receiver
  // ignores numbers that it has already counted.
  void Resend(const budget::TokenSource& aSource)
  {
    for (const auto& message : this->budget.UnansweredMessages(aSource)) {
      this->Send(message);
    }
  }

  // A request that is sent again keeps the time at which it was first sent.
  void Send(const budget::SourceMessage& aMessage)
  {
    if (const auto* request =
          std::get_if<budget::GrantRequest>(&aMessage.body)) {
      this->grantsSentAt.try_emplace({ aMessage.to, request->request },
                                     this->Time());
    }
    if (aMessage.to.IsControl()) {
      this->send(this->link, ToControl{ ToWire(aMessage.body) });
    } else {
      this->send(this->peerLinks,
                 ToAllocator{ aMessage.to.allocator, ToWire(aMessage.body) });
    }
  }

  void RecordGrantTime(const budget::TokenSource& aSource,
                       std::uint64_t aRequest)
  {
    auto found = this->grantsSentAt.find({ aSource, aRequest });
    if (found != this->grantsSentAt.end()) {
      auto& histogram = aSource.IsControl() ? this->grantTime : this->loanTime;
      histogram.Record(this->Time() - found->second);
      this->grantsSentAt.erase(found);
    }
  }

  std::string Dump() const
  {
    boost::json::object out;
    for (const auto& [workspace, holding] : this->budget.Holdings()) {
      out[workspace.Get()] = { { "available", holding.available.Get() },
                               { "reserved", holding.reserved.Get() },
                               { "lent", holding.lent.Get() },
                               { "unreported", holding.unreported.Get() } };
    }
    boost::json::object borrowed;
    for (const auto& [workspace, holding] : this->budget.BorrowedHoldings()) {
      borrowed[workspace.Get()] = { { "available", holding.available.Get() },
                                    { "reserved", holding.reserved.Get() } };
    }
    out["borrowed"] = std::move(borrowed);
    if (const auto& batch = this->budget.UnacknowledgedBatch()) {
      out["unacknowledged_batch"] = batch->number.Get();
    }
    return boost::json::serialize(out);
  }

  settings::ProcessSettings settings;
  budget::RouterBudget budget;
  std::shared_ptr<const membership::View> view;
  std::shared_ptr<const membership::Allocators> allocators;
  caf::actor link;
  caf::actor peerLinks;
  std::map<Ticket, Promise> waiting;
  bool isPolling = false;
  bool isReturning = false;
  // When each grant request without a reply was sent, by its number.
  std::map<std::pair<budget::TokenSource, std::uint64_t>, TimePoint>
    grantsSentAt;
  net::DurationHistogram grantTime =
    net::Metrics().GetHistogram("lycheestand_grant_seconds");
  net::DurationHistogram loanTime =
    net::Metrics().GetHistogram("lycheestand_loan_seconds");
  net::Gauge heldTokens = net::Metrics().GetGauge("lycheestand_held_tokens");
};

} // namespace

caf::actor
SpawnBudgetController(const net::Runtime& aRuntime,
                      const settings::ProcessSettings& aSettings)
{
  return aRuntime.system->spawn<BudgetController>(aRuntime, aSettings);
}

} // namespace lycheestand::router
