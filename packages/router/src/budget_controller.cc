#include "controllers.h"

#include <boost/json.hpp>
#include <caf/typed_response_promise.hpp>

namespace lycheestand::router {

namespace {

constexpr Duration kUsageReportInterval = std::chrono::milliseconds(200);

// Pace at which waiting claims are looked at again.
constexpr Duration kClaimPollInterval = std::chrono::milliseconds(10);

// Carries the purse: passes claims in, and grants and usage to and from
// control.
class BudgetController : public net::IoTask
{
public:
  BudgetController(caf::actor_config& aConfig,
                   net::Runtime aRuntime,
                   budget::PurseOptions aOptions)
    : net::IoTask(aConfig, aRuntime)
    , purse(std::move(aOptions))
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
        this->purse.SetOnline(true);
        this->Resend();
      },
      [this](ControlDown) {
        this->purse.SetOnline(false);
        this->Advance();
      },
      [this](caf::actor& aLink) { this->link = aLink; },
      [this](ExpectClaims& aExpect) { this->purse.SetHorizon(aExpect.time); },
      [this](ReturnGrants) {
        this->isReturning = true;
        return this->purse.IsEmpty();
      },
      [this](DumpState) { return this->Dump(); },
    };
  }

private:
  using Promise = caf::typed_response_promise<ReserveReply>;

  TimePoint Time() const { return net::Now(this->GetRuntime()); }

  caf::result<ReserveReply> HandleReserve(const Reserve& aReserve)
  {
    auto decision = this->purse.Reserve(aReserve.claim, this->Time());
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
    this->purse.Settle(aSettle.ticket, aSettle.spent, this->Time());
    this->waiting.erase(aSettle.ticket);
    this->Advance();
  }

  void Handle(const wire::Message& aMessage)
  {
    if (const auto* reply = std::get_if<wire::GrantReply>(&aMessage)) {
      this->purse.AddGrant({ reply->request,
                             reply->workspace,
                             reply->tokens,
                             reply->exhausted,
                             reply->holdsMost },
                           this->Time());
    } else if (const auto* ack = std::get_if<wire::UsageAck>(&aMessage)) {
      this->purse.Acknowledge(ack->batch);
    } else if (const auto* recall = std::get_if<wire::Recall>(&aMessage)) {
      this->purse.Recall(recall->workspace, recall->tokens);
      this->Report();
    }
    this->Advance();
  }

  // Answers claims that are decided and asks control for what is missing.
  void Advance()
  {
    for (const auto& decision : this->purse.Poll(this->Time())) {
      auto found = this->waiting.find(decision.ticket);
      if (found != this->waiting.end()) {
        found->second.deliver(
          ReserveReply{ decision.tokens, decision.refusal });
        this->waiting.erase(found);
      }
    }
    for (const auto& need : this->purse.TakeNeeds(this->Time())) {
      this->SendNeed(need);
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
      this->purse.ReturnAll();
    }
    if (auto batch = this->purse.TakeBatch(this->Time())) {
      this->SendBatch(*batch);
    }
    Tokens held;
    for (const auto& [workspace, holding] : this->purse.Holdings()) {
      held += holding.available + holding.reserved;
    }
    this->heldTokens.Set(held.Get());
  }

  // The link may have dropped what was sent before it broke; control counts
  // each number once.
  void Resend()
  {
    if (const auto& batch = this->purse.UnacknowledgedBatch()) {
      this->SendBatch(*batch);
    }
    for (const auto& need : this->purse.Unanswered()) {
      this->SendNeed(need);
    }
  }

  void SendNeed(const budget::GrantNeed& aNeed)
  {
    this->send(this->link,
               ToControl{ wire::GrantRequest{ aNeed.request,
                                              aNeed.workspace,
                                              aNeed.minimum,
                                              aNeed.wanted,
                                              aNeed.isPrefetch } });
  }

  void SendBatch(const budget::UsageBatch& aBatch)
  {
    wire::UsageReport report{ aBatch.number, {} };
    for (const auto& part : aBatch.parts) {
      report.entries.push_back(
        { part.workspace, part.spent, part.returned, part.requests });
    }
    this->send(this->link, ToControl{ std::move(report) });
  }

  std::string Dump() const
  {
    boost::json::object out;
    for (const auto& [workspace, holding] : this->purse.Holdings()) {
      out[workspace.Get()] = { { "available", holding.available.Get() },
                               { "reserved", holding.reserved.Get() },
                               { "unreported", holding.unreported.Get() } };
    }
    if (const auto& batch = this->purse.UnacknowledgedBatch()) {
      out["unacknowledged_batch"] = batch->number.Get();
    }
    return boost::json::serialize(out);
  }

  budget::Purse purse;
  caf::actor link;
  std::map<Ticket, Promise> waiting;
  bool isPolling = false;
  bool isReturning = false;
  net::Gauge heldTokens = net::Metrics().GetGauge("lycheestand_held_tokens");
};

} // namespace

caf::actor
SpawnBudgetController(const net::Runtime& aRuntime,
                      budget::PurseOptions aOptions)
{
  return aRuntime.system->spawn<BudgetController>(aRuntime,
                                                  std::move(aOptions));
}

} // namespace lycheestand::router
