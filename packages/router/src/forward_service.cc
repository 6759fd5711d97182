#include "event_stream.h"
#include "forward.h"

namespace lycheestand::router {

namespace {

routing::Query
MakeQuery(const ServiceCall& aCall)
{
  routing::Query query;
  query.serves = aCall.service.Get();
  query.isService = true;
  return query;
}

routing::Outcome
OutcomeOf(const Result<net::HttpResponse, net::CallFailure>& aResult)
{
  if (aResult.has_error()) {
    return routing::Outcome::Failed;
  }
  return aResult.value().status == 503 ? routing::Outcome::Busy
                                       : routing::Outcome::Succeeded;
}

net::HttpRequest
MakeHttpRequest(const Request& aRequest, const ServiceCall& aCall)
{
  const auto& http = aRequest.exchange->Request();
  net::HttpRequest out{ http.method, aCall.target, {}, http.body };
  if (auto type = net::FindHeader(http.headers, "Content-Type")) {
    out.headers.emplace_back("Content-Type", *type);
  }
  if (aCall.key) {
    out.headers.emplace_back("Idempotency-Key", aCall.key->Get());
  }
  out.headers.emplace_back("X-Request-Id", aRequest.id.Get());
  out.headers.emplace_back("X-Workspace", aRequest.workspace.Get());
  return out;
}

void
Answer(const RequestPtr& aRequest, const StoredAnswer& aAnswer)
{
  aRequest->ran = ExecutionState::Ran;
  aRequest->status = aAnswer.status;
  aRequest->exchange->Respond({ aAnswer.status,
                                { { "Content-Type", aAnswer.contentType },
                                  { "X-Request-Id", aRequest->id.Get() } },
                                aAnswer.body });
  FinishRequest(aRequest);
}

StoredAnswer
ToAnswer(const net::HttpResponse& aResponse)
{
  auto type = net::FindHeader(aResponse.headers, "Content-Type");
  return { aResponse.status,
           type.value_or("application/octet-stream"),
           aResponse.body };
}

void
ForwardRepeatable(const RequestPtr& aRequest);

// Answers a repeatable call, or tries another endpoint if this one failed or is
// busy.
void
HandleResult(const RequestPtr& aRequest,
             const Result<net::HttpResponse, net::CallFailure>& aResult)
{
  routing::Outcome outcome = OutcomeOf(aResult);
  if (aResult.has_error()) {
    RecordFailure(aRequest, aResult.error());
  }
  if (aResult.has_value() &&
      net::FindHeader(aResult.value().headers, kLeavingHeader)) {
    SetEndpointLeaving(aRequest);
  }
  if (outcome == routing::Outcome::Busy) {
    if (auto time = net::FindRetryAfter(aResult.value().headers)) {
      BlockEndpoint(aRequest, *time);
    }
  }
  if (aResult.has_value() && aResult.value().status < 300) {
    ReportAnswerTime(aRequest);
  }
  ReleaseEndpoint(aRequest, outcome);
  if (outcome == routing::Outcome::Succeeded) {
    Answer(aRequest, ToAnswer(aResult.value()));
  } else {
    ForwardRepeatable(aRequest);
  }
}

void
RefuseAfterAttempts(const RequestPtr& aRequest)
{
  if (aRequest->triedEndpoints.empty()) {
    RefuseNoEndpoint(aRequest);
    return;
  }
  Refuse(aRequest,
         { 502,
           "service_failed",
           "the service's endpoints did not answer or were busy",
           aRequest->ran,
           1 });
}

// Forwards a repeatable call; tries another endpoint if one fails or is busy.
void
ForwardRepeatable(const RequestPtr& aRequest)
{
  if (aRequest->triedEndpoints.size() >= kMaxAttempts) {
    RefuseAfterAttempts(aRequest);
    return;
  }
  const auto& call = std::get<ServiceCall>(aRequest->call);
  ChooseAndCall(
    aRequest,
    MakeQuery(call),
    [aRequest, &call](const Address& aAddress) {
      net::CallOptions options;
      options.idleTimeout = call.timeout;
      options.totalTimeout = call.timeout;
      aRequest->attempt.upstream = aRequest->exchange->Task().Fetch(
        aAddress,
        MakeHttpRequest(*aRequest, call),
        options,
        [aRequest](const Result<net::HttpResponse, net::CallFailure>& aResult) {
          HandleResult(aRequest, RejectBrokenStream(aResult));
        });
    },
    [aRequest] { RefuseAfterAttempts(aRequest); });
}

void
HandleRun(const RequestPtr& aRequest, const RunOperationReply& aRun)
{
  if (aRun.answer && aRun.answer->status < 300) {
    ReportAnswerTime(aRequest);
  }
  ReleaseEndpoint(aRequest,
                  aRun.answer ? routing::Outcome::Succeeded
                              : routing::Outcome::Failed);
  if (aRun.answer) {
    Answer(aRequest, *aRun.answer);
    return;
  }
  if (aRun.ran == ExecutionState::NotRun) {
    Refuse(aRequest,
           { 503,
             "service_unreachable",
             "the service's endpoint could not be reached",
             ExecutionState::NotRun,
             1 });
    return;
  }
  Refuse(aRequest,
         { 504,
           "outcome_unknown",
           "it is not known whether the call ran; it will not be run again",
           ExecutionState::Unknown });
}

// Passes a call that must run at most once to the operation controller, which
// completes it even if the caller disconnects.
void
ForwardOnce(const RequestPtr& aRequest)
{
  const auto& call = std::get<ServiceCall>(aRequest->call);
  ChooseAndCall(
    aRequest,
    MakeQuery(call),
    [aRequest, &call](const Address& aAddress) {
      RunOperation run;
      run.operation = aRequest->operation;
      run.workspace = aRequest->workspace;
      run.key = *call.key;
      run.address = aAddress;
      run.request = MakeHttpRequest(*aRequest, call);
      run.timeout = call.timeout;
      run.quarantine = aRequest->controllers.quarantine;
      run.suspicion = MakeSuspicion(*aRequest);
      // From here on the operation controller is responsible for ending the
      // operation.
      aRequest->isOperationOpen = false;
      aRequest->exchange->Task()
        .request(aRequest->controllers.operation, caf::infinite, std::move(run))
        .then(
          [aRequest](RunOperationReply& aRun) { HandleRun(aRequest, aRun); });
    },
    [aRequest] { RefuseNoEndpoint(aRequest); });
}

} // namespace

void
ForwardService(const RequestPtr& aRequest)
{
  if (std::get<ServiceCall>(aRequest->call).repeatable) {
    ForwardRepeatable(aRequest);
  } else {
    ForwardOnce(aRequest);
  }
}

} // namespace lycheestand::router
