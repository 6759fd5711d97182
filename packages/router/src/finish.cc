#include "chat_protocol.h"

#include <caf/send.hpp>

namespace lycheestand::router {

void
Refuse(const RequestPtr& aRequest, const Refusal& aRefusal)
{
  net::Log(net::LogLevel::Info,
           "refused",
           { { "request", aRequest->id.Get() },
             { "workspace", aRequest->workspace.Get() },
             { "code", aRefusal.code },
             { "ran", ToString(aRefusal.ran) } });
  net::Metrics()
    .GetCounter("lycheestand_refusals_total",
                "code=\"" + std::string(aRefusal.code) + "\"")
    .Add();
  net::Headers headers{ { "Content-Type", "application/json" },
                        { "X-Request-Id", aRequest->id.Get() } };
  if (aRefusal.retryAfter > 0) {
    headers.emplace_back("Retry-After", std::to_string(aRefusal.retryAfter));
  }
  aRequest->exchange->Respond(
    { aRefusal.status,
      std::move(headers),
      FormatError(
        aRefusal.code, aRefusal.message, aRefusal.ran, aRequest->id) });
  FinishRequest(aRequest);
}

// Runs when a request has ended, in whatever way. A call that must not run
// twice and is still open here was recorded but not sent, so a retry may run.
void
FinishRequest(const RequestPtr& aRequest)
{
  if (aRequest->isFinished) {
    return;
  }
  aRequest->isFinished = true;
  auto& task = aRequest->exchange->Task();
  aRequest->upstream.Cancel();
  if (aRequest->isAssigned) {
    task.send(
      aRequest->controllers.endpoint,
      CallFinished{ aRequest->ticket, routing::Outcome::Abandoned, false });
  }
  if (aRequest->hasTurn) {
    task.send(aRequest->controllers.admission, ReleaseTurn{ aRequest->ticket });
  }
  if (aRequest->hasClaim) {
    task.send(aRequest->controllers.budget,
              Settle{ aRequest->ticket, aRequest->usage.Total() });
  }
  if (aRequest->isOperationOpen) {
    wire::OperationRequest step;
    step.request = aRequest->operation;
    step.workspace = aRequest->workspace;
    step.key = *std::get<ServiceCall>(aRequest->call).key;
    step.phase = OperationPhase::Abort;
    // Nobody waits for the answer.
    caf::anon_send(aRequest->controllers.operation, Operate{ std::move(step) });
  }
  net::Metrics().GetGauge("lycheestand_requests_in_flight").Add(-1);
  net::Metrics()
    .GetHistogram("lycheestand_request_seconds")
    .Record(net::Now(task.GetRuntime()) - aRequest->startedAt);
}

} // namespace lycheestand::router
