#include "controllers.h"

#include <boost/json.hpp>
#include <caf/typed_response_promise.hpp>

namespace lycheestand::router {

namespace {

constexpr Duration kUsageReportInterval = std::chrono::milliseconds(200);

// Interval at which waiting claims are checked again.
constexpr Duration kClaimPollInterval = std::chrono::milliseconds(10);

// Owns the local budget: passes claims to it, and exchanges grants and usage
// with control.
class BudgetController : public net::IoTask
{
public:
  BudgetController(caf::actor_config& aConfig,
                   net::Runtime aRuntime,
                   budget::LocalBudgetOptions aOptions)
    : net::IoTask(aConfig, aRuntime)
    , localBudget(std::move(aOptions))
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
      [this](ControlUp) {
        this->localBudget.SetOnline(true);
        this->Resend();
      },
      [this](ControlDown) {
        this->localBudget.SetOnline(false);
        this->Advance();
      },
      [this](caf::actor& aLink) { this->link = aLink; },
      [this](SetBudgetHorizon& aSet) {
        this->localBudget.SetHorizon(aSet.horizon);
      },
      [this](ReturnGrants) {
        this->isReturning = true;
        return this->localBudget.IsEmpty();
      },
      [this](DumpState) { return this->Dump(); },
    };
  }

private:
  using Promise = caf::typed_response_promise<ReserveReply>;

  TimePoint Time() const { return net::Now(this->GetRuntime()); }

  caf::result<ReserveReply> HandleReserve(const Reserve& aReserve)
  {
    auto decision = this->localBudget.Reserve(aReserve.claim, this->Time());
    if (decision) {
      return ReserveReply{ decision->tokens, decision->refusal };
    }
    auto promise = this->make_response_promise<ReserveReply>();
    this->waiting.emplace(aReserve.claim.ticket, promise);
    this->Advance();
    this->PollLater();
    return promise;
  }

  void HandleSettle(const Settle& aSettle)
  {
    this->localBudget.Settle(aSettle.ticket, aSettle.spent, this->Time());
    this->waiting.erase(aSettle.ticket);
    this->Advance();
  }

  void Handle(const wire::Message& aMessage)
  {
    if (const auto* reply = std::get_if<wire::GrantReply>(&aMessage)) {
      this->RecordGrantTime(reply->request);
      this->localBudget.AddGrant({ reply->request,
                                   reply->workspace,
                                   reply->tokens,
                                   reply->exhausted,
                                   reply->holdsTokenMajority },
                                 this->Time());
    } else if (const auto* ack = std::get_if<wire::UsageAck>(&aMessage)) {
      this->localBudget.Acknowledge(ack->batch);
    } else if (const auto* recall = std::get_if<wire::Recall>(&aMessage)) {
      this->localBudget.Recall(recall->workspace, recall->tokens);
      this->Report();
    }
    this->Advance();
  }

  // Answers the claims that are decided and requests missing tokens from
  // control.
  void Advance()
  {
    for (const auto& decision : this->localBudget.Poll(this->Time())) {
      auto found = this->waiting.find(decision.ticket);
      if (found != this->waiting.end()) {
        found->second.deliver(
          ReserveReply{ decision.tokens, decision.refusal });
        this->waiting.erase(found);
      }
    }
    for (const auto& request :
         this->localBudget.TakeGrantRequests(this->Time())) {
      this->SendGrantRequest(request);
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
      if (!this->waiting.empty()) {
        this->PollLater();
      }
    });
  }

  void ReportPeriodically()
  {
    this->Report();
    this->Advance();
    this->After(kUsageReportInterval, [this] { this->ReportPeriodically(); });
  }

  void Report()
  {
    if (this->isReturning) {
      this->localBudget.ReturnAll();
    }
    if (auto batch = this->localBudget.TakeBatch(this->Time())) {
      this->SendBatch(*batch);
    }
    Tokens held;
    for (const auto& [workspace, holding] : this->localBudget.Holdings()) {
      held += holding.available + holding.reserved;
    }
    this->heldTokens.Set(held.Get());
  }

  // Messages sent before a link was lost may not have arrived. Control ignores
  // numbers that it has already counted.
  void Resend()
  {
    if (const auto& batch = this->localBudget.UnacknowledgedBatch()) {
      this->SendBatch(*batch);
    }
    for (const auto& request : this->localBudget.UnansweredGrantRequests()) {
      this->SendGrantRequest(request);
    }
  }

  // A request that is sent again keeps the time at which it was first sent.
  void SendGrantRequest(const budget::GrantRequest& aRequest)
  {
    this->grantsSentAt.try_emplace(aRequest.request, this->Time());
    this->send(this->link,
               ToControl{ wire::GrantRequest{ aRequest.request,
                                              aRequest.workspace,
                                              aRequest.minimum,
                                              aRequest.wanted,
                                              aRequest.isPrefetch } });
  }

  void RecordGrantTime(std::uint64_t aRequest)
  {
    auto found = this->grantsSentAt.find(aRequest);
    if (found != this->grantsSentAt.end()) {
      this->grantTime.Record(this->Time() - found->second);
      this->grantsSentAt.erase(found);
    }
  }

  void SendBatch(const budget::UsageBatch& aBatch)
  {
    wire::UsageReport report{ aBatch.number, {} };
    for (const auto& entry : aBatch.entries) {
      report.entries.push_back(
        { entry.workspace, entry.spent, entry.returned, entry.requests });
    }
    this->send(this->link, ToControl{ std::move(report) });
  }

  std::string Dump() const
  {
    boost::json::object out;
    for (const auto& [workspace, holding] : this->localBudget.Holdings()) {
      out[workspace.Get()] = { { "available", holding.available.Get() },
                               { "reserved", holding.reserved.Get() },
                               { "unreported", holding.unreported.Get() } };
    }
    if (const auto& batch = this->localBudget.UnacknowledgedBatch()) {
      out["unacknowledged_batch"] = batch->number.Get();
    }
    return boost::json::serialize(out);
  }

  budget::LocalBudget localBudget;
  caf::actor link;
  std::map<Ticket, Promise> waiting;
  bool isPolling = false;
  bool isReturning = false;
  // When each grant request without a reply was sent, by its number.
  std::map<std::uint64_t, TimePoint> grantsSentAt;
  net::DurationHistogram grantTime =
    net::Metrics().GetHistogram("lycheestand_grant_seconds");
  net::Gauge heldTokens = net::Metrics().GetGauge("lycheestand_held_tokens");
};

} // namespace

caf::actor
SpawnBudgetController(const net::Runtime& aRuntime,
                      budget::LocalBudgetOptions aOptions)
{
  return aRuntime.system->spawn<BudgetController>(aRuntime,
                                                  std::move(aOptions));
}

} // namespace lycheestand::router
