#include "controllers.h"

#include <caf/typed_response_promise.hpp>

namespace lycheestand::router {

namespace {

// Interval at which waiting requests are checked when no capacity becomes free.
constexpr Duration kAdmissionPollInterval = std::chrono::milliseconds(20);

// Owns the admission queue: admits requests and releases their admission.
class AdmissionController : public net::IoTask
{
public:
  AdmissionController(caf::actor_config& aConfig, net::Runtime aRuntime)
    : net::IoTask(aConfig, aRuntime)
  {
  }

protected:
  caf::message_handler Handlers() override
  {
    return {
      [this](Admit& aAdmit) { return this->HandleAdmit(aAdmit); },
      [this](ReleaseAdmission& aRelease) { this->Release(aRelease.ticket); },
      [this](CapacityChanged& aChanged) { this->UpdateCapacity(aChanged); },
      [this](DumpState) { return this->Dump(); },
    };
  }

private:
  using Promise = caf::typed_response_promise<AdmitReply>;

  TimePoint Time() const { return net::Now(this->GetRuntime()); }

  caf::result<AdmitReply> HandleAdmit(const Admit& aAdmit)
  {
    this->admission.SetOptions(aAdmit.options);
    auto decision = this->admission.Admit(aAdmit.request, this->Time());
    if (decision) {
      return AdmitReply{ decision->refusal };
    }
    auto promise = this->make_response_promise<AdmitReply>();
    this->waiting.emplace(aAdmit.request.request, promise);
    this->Advance();
    this->PollLater();
    return promise;
  }

  void Release(Ticket aTicket)
  {
    this->admission.Release(ToRequestNumber(aTicket), this->Time());
    // The request has ended, so the answer has no effect if it was still
    // waiting.
    this->Answer(
      { ToRequestNumber(aTicket), routing::AdmissionRefusal::Overloaded });
    this->Advance();
  }

  // A pool without endpoints is not limited, so that its requests reach the
  // Forward filter and are refused at once.
  void UpdateCapacity(const CapacityChanged& aChanged)
  {
    for (const auto& [pool, capacity] : this->pools) {
      if (!aChanged.pools.contains(pool)) {
        this->admission.SetCapacity(pool, std::nullopt);
      }
    }
    for (const auto& [pool, capacity] : aChanged.pools) {
      this->admission.SetCapacity(pool, capacity);
    }
    this->pools = aChanged.pools;
    this->Advance();
  }

  void Advance()
  {
    for (const auto& decision : this->admission.Poll(this->Time())) {
      this->Answer(decision);
    }
    net::Metrics()
      .GetGauge("lycheestand_requests_waiting")
      .Set(static_cast<std::int64_t>(this->waiting.size()));
  }

  void Answer(const routing::AdmissionDecision& aDecision)
  {
    auto found = this->waiting.find(aDecision.request);
    if (found != this->waiting.end()) {
      found->second.deliver(AdmitReply{ aDecision.refusal });
      this->waiting.erase(found);
    }
  }

  void PollLater()
  {
    if (this->isPolling) {
      return;
    }
    this->isPolling = true;
    this->After(kAdmissionPollInterval, [this] {
      this->isPolling = false;
      this->Advance();
      if (!this->waiting.empty()) {
        this->PollLater();
      }
    });
  }

  std::string Dump() const
  {
    std::string out = "{\"waiting\":" + std::to_string(this->waiting.size());
    for (const auto& [pool, capacity] : this->pools) {
      out += ",\"" + pool + "\":" + std::to_string(capacity);
    }
    return out + "}";
  }

  routing::Admission admission;
  std::map<std::string, unsigned> pools;
  std::map<routing::RequestNumber, Promise> waiting;
  bool isPolling = false;
};

} // namespace

std::string
PoolName(const std::string& aServes, bool aIsService)
{
  return (aIsService ? "service/" : "model/") + aServes;
}

caf::actor
SpawnAdmissionController(const net::Runtime& aRuntime)
{
  return aRuntime.system->spawn<AdmissionController>(aRuntime);
}

} // namespace lycheestand::router
