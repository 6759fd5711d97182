#include "controllers.h"
#include "event_stream.h"

#include <boost/json.hpp>
#include <caf/typed_response_promise.hpp>

namespace lycheestand::router {

namespace {

// Longest wait for control to record that a call begins. Later steps are resent
// until control acknowledges them.
constexpr Duration kBeginTimeout = std::chrono::seconds(3);

// Sends the steps of calls that must run at most once to control, and resends
// them on each new link until they are answered.
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
      [this](SubmitOperationStep& aSubmit) {
        return this->HandleSubmit(aSubmit);
      },
      [this](RunOperation& aRun) { return this->HandleRun(aRun); },
      [this](IsIdle) { return this->steps.empty() && this->runningCalls == 0; },
      [this](FromControl& aMessage) { this->Handle(aMessage.message); },
      [this](ControlUp) { this->Resend(); },
      [this](caf::actor& aLink) { this->link = aLink; },
      [this](DumpState) { return this->Dump(); },
    };
  }

private:
  using Promise = caf::typed_response_promise<OperationStepReply>;

  struct Step
  {
    wire::OperationRequest request;
    Promise promise;
  };

  caf::result<OperationStepReply> HandleSubmit(SubmitOperationStep& aSubmit)
  {
    auto promise = this->make_response_promise<OperationStepReply>();
    const std::uint64_t number = aSubmit.request.request;
    if (aSubmit.request.phase == OperationPhase::Begin) {
      this->After(kBeginTimeout, [this, number] { this->AbortBegin(number); });
    }
    this->Send(aSubmit.request);
    this->steps.insert_or_assign(number,
                                 Step{ std::move(aSubmit.request), promise });
    return promise;
  }

  // Does not reuse a connection: if it broke while the call was sent, it would
  // be unknown whether the call ran.
  caf::result<RunOperationReply> HandleRun(RunOperation& aRun)
  {
    auto promise = this->make_response_promise<RunOperationReply>();
    net::CallOptions options;
    options.idleTimeout = aRun.timeout;
    options.totalTimeout = aRun.timeout;
    options.reuseConnection = false;
    wire::OperationRequest step;
    step.request = aRun.operation;
    step.workspace = aRun.workspace;
    step.key = aRun.key;
    ++this->runningCalls;
    this->Fetch(
      aRun.address,
      std::move(aRun.request),
      options,
      [this,
       step,
       promise,
       quarantine = std::move(aRun.quarantine),
       suspicion = std::move(aRun.suspicion)](
        const Result<net::HttpResponse, net::CallFailure>& aResult) mutable {
        --this->runningCalls;
        RunOperationReply run =
          this->EvaluateResult(RejectBrokenStream(aResult), step);
        if (step.phase == OperationPhase::Unknown) {
          this->send(quarantine, std::move(suspicion));
        }
        this->Send(step);
        this->steps.insert_or_assign(step.request, Step{ step, {} });
        promise.deliver(std::move(run));
      });
    return promise;
  }

  // Returns the reply for the caller, and sets the step to record.
  static RunOperationReply EvaluateResult(
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

  // Refuses a call whose Begin step was not answered in time. Control may have
  // recorded the intent although the call has not been sent, so an Abort step
  // is resent until control acknowledges it, and a retry may run.
  void AbortBegin(std::uint64_t aNumber)
  {
    auto found = this->steps.find(aNumber);
    if (found == this->steps.end() ||
        found->second.request.phase != OperationPhase::Begin) {
      return;
    }
    found->second.promise.deliver(
      OperationStepReply{ OperationState::Refused, {} });
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
      step.promise.deliver(OperationStepReply{ reply->state, reply->answer });
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
  std::size_t runningCalls = 0;
};

} // namespace

caf::actor
SpawnOperationController(const net::Runtime& aRuntime, caf::actor aPool)
{
  return aRuntime.system->spawn<OperationController>(aRuntime,
                                                     std::move(aPool));
}

} // namespace lycheestand::router
