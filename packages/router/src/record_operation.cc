#include "filter_chain.h"

namespace lycheestand::router {

namespace {

// Returns the text whose hash identifies a request: it must be equal for two
// requests with the same Idempotency-Key.
std::string
FingerprintText(const Request& aRequest, const ServiceCall& aCall)
{
  const auto& http = aRequest.exchange->Request();
  return http.method + "\n" + aCall.service.Get() + "\n" + aCall.target + "\n" +
         http.body;
}

void
Replay(const RequestPtr& aRequest, const StoredAnswer& aAnswer)
{
  aRequest->exchange->Respond({ aAnswer.status,
                                { { "Content-Type", aAnswer.contentType },
                                  { "Idempotent-Replayed", "true" },
                                  { "X-Request-Id", aRequest->id.Get() } },
                                aAnswer.body });
  FinishRequest(aRequest);
}

void
HandleAnswer(const RequestPtr& aRequest,
             const OperationStepReply& aAnswer,
             const Next& aNext)
{
  aRequest->isOperationOpen = aAnswer.state == OperationState::Started;
  switch (aAnswer.state) {
    case OperationState::Started:
      aNext();
      return;
    case OperationState::Completed:
      Replay(aRequest, aAnswer.answer);
      return;
    case OperationState::InProgress:
      Refuse(aRequest,
             { 409,
               "in_progress",
               "a request with this Idempotency-Key is in progress",
               ExecutionState::Unknown,
               1 });
      return;
    case OperationState::BodyDiffers:
      Refuse(
        aRequest,
        { 409,
          "idempotency_key_reused",
          "this Idempotency-Key was already used with a different request" });
      return;
    case OperationState::Unknown:
      Refuse(aRequest,
             { 409,
               "outcome_unknown",
               "it is not known whether the call with this Idempotency-Key "
               "ran; it will not be run again",
               ExecutionState::Unknown });
      return;
    case OperationState::Ended:
      Refuse(aRequest,
             { 409,
               "answer_not_kept",
               "the call with this Idempotency-Key ran; its answer is no "
               "longer stored",
               ExecutionState::Ran });
      return;
    case OperationState::Refused:
      break;
  }
  Refuse(aRequest,
         { 503,
           "control_unavailable",
           "control did not record the call, so it was not forwarded",
           ExecutionState::NotRun,
           1 });
}

} // namespace

// Records the intent to run a call that must run at most once, before the call
// is forwarded.
Filter
MakeRecordOperation()
{
  return [](const RequestPtr& aRequest, Next aNext) {
    const auto* call = std::get_if<ServiceCall>(&aRequest->call);
    if (call == nullptr || call->repeatable) {
      aNext();
      return;
    }
    aRequest->operation = NextOperationNumber();
    // Set before the reply, so that FinishRequest aborts the operation if the
    // caller disconnects meanwhile. Otherwise every retry would be told that it
    // is still in progress.
    aRequest->isOperationOpen = true;
    wire::OperationRequest step;
    step.request = aRequest->operation;
    step.workspace = aRequest->workspace;
    step.key = *call->key;
    step.bodyHash = net::HashBody(FingerprintText(*aRequest, *call));
    step.phase = OperationPhase::Begin;
    aRequest->exchange->Task()
      .request(aRequest->controllers.operation,
               caf::infinite,
               SubmitOperationStep{ std::move(step) })
      .then([aRequest, next = std::move(aNext)](OperationStepReply& aAnswer) {
        HandleAnswer(aRequest, aAnswer, next);
      });
  };
}

} // namespace lycheestand::router
