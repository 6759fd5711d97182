#include "chat_protocol.h"

#include <caf/send.hpp>
#include <cmath>

namespace lycheestand::router {

namespace {

// Retry-After of a request that was not passed on since a controller does not
// reply; another router can serve it at once.
constexpr double kNoReplyRetrySeconds = 0.1;

// Returns seconds rounded to one decimal, without the fraction if it is zero.
std::string
FormatSeconds(double aSeconds)
{
  auto tenths = std::llround(aSeconds * 10);
  std::string text = std::to_string(tenths / 10);
  return tenths % 10 == 0 ? text : text + "." + std::to_string(tenths % 10);
}

// Returns the tokens that the workspace is charged. A chat has no known
// patience of its caller and is charged for what its engine has counted.
Tokens
SpentTokens(const Request& aRequest)
{
  const auto& usage = aRequest.usage;
  return budget::ChargedTokens(
    usage.promptTokens, usage.outputTokens, aRequest.exit);
}

// Logs the one line per routed request that tells how it ended.
void
LogRouted(const Request& aRequest, const RoutedCall& aCall, TimePoint aNow)
{
  const char* outcome = aRequest.outcome;
  if (*outcome == '\0') {
    outcome = "answered";
  }
  net::LogFields fields{
    { "event", "request" },
    { "request", aRequest.id.Get() },
    { "outcome", outcome },
    { "status", std::to_string(aRequest.status) },
    { "ran", ToString(aRequest.ran) },
    { "route", aCall.route->name },
    { "routes_version", std::to_string(aCall.table->Version().Get()) },
    { "workspace", aRequest.workspace.Get() },
    { "service", aCall.service.Get() },
    { "endpoint", aRequest.attempt.endpoint.Get() },
    { "version", aRequest.attempt.version.Get() },
    { "attempts", std::to_string(aRequest.attempts) },
    { "reserved", std::to_string(aRequest.reserved.Get()) },
    { "spent", std::to_string(SpentTokens(aRequest).Get()) },
    { "ms", net::FormatMilliseconds(aNow - aRequest.startedAt) }
  };
  const auto& basis = aRequest.attempt.basis;
  if (basis.candidates > 0) {
    auto round = [](double aValue) {
      return std::to_string(std::llround(aValue));
    };
    fields.emplace_back("candidates", std::to_string(basis.candidates));
    fields.emplace_back("own_in_flight", round(basis.ownInFlight));
    fields.emplace_back("cached_tokens", round(basis.cachedTokens));
    if (basis.hasReport) {
      fields.emplace_back("reported_load", round(basis.reportedRequests));
      fields.emplace_back("report_age_ms",
                          round(basis.reportAgeSeconds * 1000));
    }
    fields.emplace_back("endpoint_speed_percent", round(basis.speed * 100));
    if (basis.limit > 0) {
      fields.emplace_back("endpoint_limit", round(basis.limit));
    }
  }
  if (aCall.description.lastEvent && aCall.description.resumes) {
    fields.emplace_back("resumes", aCall.description.resumes->Get());
  }
  if (aRequest.answerStartedAt) {
    fields.emplace_back(
      "first_ms",
      net::FormatMilliseconds(*aRequest.answerStartedAt - aRequest.startedAt));
  }
  net::Log(net::LogLevel::Info, "request ended", fields);
}

// Updates the metrics of routed requests: the status, the workspace, and the
// time until a stream's first event.
void
CountRouted(const Request& aRequest)
{
  net::Metrics()
    .GetCounter("lycheestand_routed_requests_total",
                "status=\"" + std::to_string(aRequest.status) + "\"")
    .Add();
  net::Metrics()
    .GetCounter("lycheestand_workspace_requests_total",
                "workspace=\"" + aRequest.workspace.Get() + "\"")
    .Add();
  if (aRequest.answerStartedAt) {
    net::Metrics()
      .GetHistogram("lycheestand_first_event_seconds")
      .Record(*aRequest.answerStartedAt - aRequest.startedAt);
  }
}

// Returns whether an endpoint may have got the request.
bool
IsSent(const Request& aRequest)
{
  bool isRecordedCallSent =
    aRequest.operation != 0 && !aRequest.isOperationOpen;
  return aRequest.attempt.upstream.IsValid() || aRequest.silentAttempt ||
         isRecordedCallSent || aRequest.ran != ExecutionState::NotRun;
}

// Returns how far the request had got.
const char*
StateOf(const Request& aRequest)
{
  if (aRequest.exchange->IsAnswered()) {
    return "answering";
  }
  return IsSent(aRequest) ? "sent" : "waiting";
}

// The outcome tells why a response was aborted.
void
ReportCut(const Request& aRequest, net::Disconnect aHow)
{
  bool hasOutcome =
    aHow == net::Disconnect::Aborted && *aRequest.outcome != '\0';
  auto now = net::Now(aRequest.exchange->Task().GetRuntime());
  net::ReportRequestCut(
    hasOutcome ? aRequest.outcome : net::ToString(aHow),
    { { "request", aRequest.id.Get() },
      { "state", StateOf(aRequest) },
      { "peer", aRequest.exchange->Peer() },
      { "workspace", aRequest.workspace.Get() },
      { "endpoint", aRequest.attempt.endpoint.Get() },
      { "ran", ToString(aRequest.ran) },
      { "ms", net::FormatMilliseconds(now - aRequest.startedAt) } });
}

} // namespace

void
Refuse(const RequestPtr& aRequest, const Refusal& aRefusal)
{
  aRequest->status = aRefusal.status;
  aRequest->outcome = "refused";
  // The caller gets nothing of an answer, so nothing is charged.
  aRequest->usage = {};
  net::LogFields fields{ { "event", "refused" },
                         { "request", aRequest->id.Get() },
                         { "workspace", aRequest->workspace.Get() },
                         { "status", std::to_string(aRefusal.status) },
                         { "code", aRefusal.code },
                         { "reason", aRefusal.message },
                         { "ran", ToString(aRefusal.ran) } };
  if (aRequest->digest) {
    fields.emplace_back("digest", ToString(*aRequest->digest));
  }
  if (aRequest->streamVersion) {
    fields.emplace_back("version", aRequest->streamVersion->Get());
  }
  net::Log(net::LogLevel::Info, "refused", fields);
  net::Metrics()
    .GetCounter("lycheestand_refusals_total",
                "code=\"" + std::string(aRefusal.code) + "\"")
    .Add();
  net::Headers headers{ { "Content-Type", "application/json" },
                        { "X-Request-Id", aRequest->id.Get() } };
  if (aRefusal.retryAfter > 0) {
    headers.emplace_back("Retry-After", FormatSeconds(aRefusal.retryAfter));
  }
  aRequest->exchange->Respond(
    { aRefusal.status,
      std::move(headers),
      FormatError(
        aRefusal.code, aRefusal.message, aRefusal.ran, aRequest->id) });
  FinishRequest(aRequest);
}

void
RefuseWithoutReply(const RequestPtr& aRequest)
{
  bool isSent = IsSent(*aRequest);
  Refuse(aRequest,
         { isSent ? 500u : 503u,
           "internal_error",
           "a part of this router does not reply",
           isSent ? ExecutionState::Unknown : ExecutionState::NotRun,
           isSent ? 0 : kNoReplyRetrySeconds });
}

// The request may have ended already, with an answer that is not yet written. A
// suspension, which the task's clock does not count, counts as time that the
// caller has waited.
void
EndDisconnected(const RequestPtr& aRequest, net::Disconnect aHow)
{
  bool isCut = net::IsClosedByServer(aHow);
  if (isCut) {
    ReportCut(*aRequest, aHow);
  }
  bool isOpen = !aRequest->isFinished && *aRequest->outcome == '\0';
  if (isOpen) {
    aRequest->outcome = isCut ? "cut" : "caller_left";
  }
  if (isOpen && aHow == net::Disconnect::Closed) {
    auto now = net::Now(aRequest->exchange->Task().GetRuntime());
    auto suspended = net::SuspendedTime() - aRequest->suspendedAtStart;
    const auto* routed = std::get_if<RoutedCall>(&aRequest->call);
    bool hasRoute = routed != nullptr && routed->route != nullptr;
    aRequest->exit = {
      .after = now - aRequest->startedAt + suspended,
      .timeLeft = aRequest->deadline.value_or(now) - now - suspended,
      .patience = hasRoute ? routed->route->callerPatience : Milliseconds(0)
    };
  }
  FinishRequest(aRequest);
}

namespace {

void
CancelAttempt(const RequestPtr& aRequest, const EndpointAttempt& aAttempt)
{
  aAttempt.upstream.Cancel();
  if (aAttempt.isAssigned) {
    aRequest->exchange->Task().send(
      aRequest->controllers.endpoint,
      CallFinished{ aAttempt.ticket, routing::Outcome::Abandoned });
  }
}

} // namespace

// Called on every way in which a request ends. A call that must run at most
// once and whose operation is still open here was recorded but not sent, so the
// operation is aborted and a retry may run.
void
FinishRequest(const RequestPtr& aRequest)
{
  if (aRequest->isFinished) {
    return;
  }
  aRequest->isFinished = true;
  auto& task = aRequest->exchange->Task();
  CancelAttempt(aRequest, aRequest->attempt);
  if (aRequest->silentAttempt) {
    CancelAttempt(aRequest, *aRequest->silentAttempt);
  }
  if (aRequest->isFindingStream) {
    task.send(aRequest->controllers.stream,
              CancelFindStream{ aRequest->ticket });
  }
  if (aRequest->holdsAdmission) {
    task.send(aRequest->controllers.admission,
              ReleaseAdmission{ aRequest->ticket });
  }
  if (aRequest->hasClaim) {
    task.send(aRequest->controllers.budget,
              Settle{ aRequest->ticket, SpentTokens(*aRequest) });
  }
  if (aRequest->isOperationOpen) {
    wire::OperationRequest step;
    step.request = aRequest->operation;
    step.workspace = aRequest->workspace;
    step.key = *std::get<ServiceCall>(aRequest->call).key;
    step.phase = OperationPhase::Abort;
    // Sent anonymously, since no task waits for the reply.
    caf::anon_send(aRequest->controllers.operation,
                   SubmitOperationStep{ std::move(step) });
  }
  if (aRequest->ran == ExecutionState::Ran && aRequest->status < 300) {
    ReportSuccess(*aRequest);
  }
  const auto* routed = std::get_if<RoutedCall>(&aRequest->call);
  if (routed != nullptr && routed->route != nullptr) {
    LogRouted(*aRequest, *routed, net::Now(task.GetRuntime()));
    CountRouted(*aRequest);
  }
  net::Metrics().GetGauge("lycheestand_requests_in_flight").Add(-1);
  net::Metrics()
    .GetHistogram("lycheestand_request_seconds")
    .Record(net::Now(task.GetRuntime()) - aRequest->startedAt);
}

} // namespace lycheestand::router
