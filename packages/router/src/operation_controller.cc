#include "controllers.h"

#include <boost/json.hpp>
#include <caf/typed_response_promise.hpp>

namespace lycheestand::router {

namespace {

// Longest wait for control to record that a call begins. Later steps are sent
// until control has them.
constexpr Duration kBeginTimeout = std::chrono::seconds(3);

// Passes the steps of calls that must run at most once to control, and sends
// them again on a new link until they are answered.
class OperationController : public net::IoTask
{
public:
  OperationController(caf::actor_config& aConfig,
                      net::Runtime aRuntime,
                      caf::actor aPool)
    : net::IoTask(aConfig, aRuntime, std::move(aPool))
  {
  }

protected:
  caf::message_handler Handlers() override
  {
    return {
      [this](Operate& aOperate) { return this->HandleOperate(aOperate); },
      [this](RunOperation& aRun) { return this->HandleRun(aRun); },
      [this](IsIdle) { return this->steps.empty() && this->running == 0; },
      [this](FromControl& aMessage) { this->Handle(aMessage.message); },
      [this](ControlUp) { this->Resend(); },
      [this](caf::actor& aLink) { this->link = aLink; },
      [this](DumpState) { return this->Dump(); },
    };
  }

private:
  using Promise = caf::typed_response_promise<OperationAnswer>;

  struct Step
  {
    wire::OperationRequest request;
    Promise promise;
  };

  caf::result<OperationAnswer> HandleOperate(Operate& aOperate)
  {
    auto promise = this->make_response_promise<OperationAnswer>();
    const std::uint64_t number = aOperate.request.request;
    if (aOperate.request.phase == OperationPhase::Begin) {
      this->After(kBeginTimeout, [this, number] { this->GiveUp(number); });
    }
    this->Send(aOperate.request);
    this->steps.insert_or_assign(number,
                                 Step{ std::move(aOperate.request), promise });
    return promise;
  }

  // A kept connection is not used: if it broke while the call was sent, it
  // would not be known whether the call ran.
  caf::result<OperationRun> HandleRun(RunOperation& aRun)
  {
    auto promise = this->make_response_promise<OperationRun>();
    net::CallOptions options;
    options.idleTimeout = aRun.timeout;
    options.reuseConnection = false;
    wire::OperationRequest step;
    step.request = aRun.operation;
    step.workspace = aRun.workspace;
    step.key = aRun.key;
    ++this->running;
    this->Fetch(
      aRun.address,
      std::move(aRun.request),
      options,
      [this, step, promise](
        const Result<net::HttpResponse, net::CallFailure>& aResult) mutable {
        --this->running;
        OperationRun run = this->Conclude(aResult, step);
        this->Send(step);
        this->steps.insert_or_assign(step.request, Step{ step, {} });
        promise.deliver(std::move(run));
      });
    return promise;
  }

  // Returns what the caller is told, and sets the step to record.
  static OperationRun Conclude(
    const Result<net::HttpResponse, net::CallFailure>& aResult,
    wire::OperationRequest& aStep)
  {
    if (aResult.has_value()) {
      const auto& response = aResult.value();
      auto type = net::FindHeader(response.headers, "Content-Type");
      aStep.phase = OperationPhase::Complete;
      aStep.answer = { response.status,
                       type.value_or("application/octet-stream"),
                       response.body };
      return { aStep.answer, ExecutionState::Ran };
    }
    if (aResult.error() == net::CallFailure::NotSent) {
      aStep.phase = OperationPhase::Abort;
      return { std::nullopt, ExecutionState::NotRun };
    }
    aStep.phase = OperationPhase::Unknown;
    return { std::nullopt, ExecutionState::Unknown };
  }

  // The intent may be recorded by now, although the call has not been sent.
  // The abort is sent until control has it, so that a retry may run.
  void GiveUp(std::uint64_t aNumber)
  {
    auto found = this->steps.find(aNumber);
    if (found == this->steps.end() ||
        found->second.request.phase != OperationPhase::Begin) {
      return;
    }
    found->second.promise.deliver(
      OperationAnswer{ OperationState::Refused, {} });
    found->second.promise = {};
    found->second.request.phase = OperationPhase::Abort;
    this->Send(found->second.request);
  }

  void Handle(const wire::Message& aMessage)
  {
    const auto* reply = std::get_if<wire::OperationReply>(&aMessage);
    if (reply == nullptr) {
      return;
    }
    auto found = this->steps.find(reply->request);
    if (found == this->steps.end() ||
        found->second.request.phase != reply->phase) {
      return;
    }
    Step step = std::move(found->second);
    this->steps.erase(found);
    if (step.promise.pending()) {
      step.promise.deliver(OperationAnswer{ reply->state, reply->answer });
    }
  }

  void Resend()
  {
    for (const auto& [number, step] : this->steps) {
      this->Send(step.request);
    }
  }

  void Send(const wire::OperationRequest& aRequest)
  {
    this->send(this->link, ToControl{ aRequest });
  }

  std::string Dump() const
  {
    return "{\"unanswered\":" + std::to_string(this->steps.size()) + "}";
  }

  caf::actor link;
  std::map<std::uint64_t, Step> steps;
  std::size_t running = 0;
};

} // namespace

caf::actor
SpawnOperationController(const net::Runtime& aRuntime, caf::actor aPool)
{
  return aRuntime.system->spawn<OperationController>(aRuntime,
                                                     std::move(aPool));
}

} // namespace lycheestand::router
