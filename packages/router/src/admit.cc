#include "filter_chain.h"

#include <charconv>

namespace lycheestand::router {

namespace {

// Longest deadline that a caller may name.
constexpr std::int64_t kMostDeadlineMs = 3600000;

// Tells whether a header that is present has a usable value.
bool
ReadDeadline(const RequestPtr& aRequest)
{
  auto text =
    net::FindHeader(aRequest->exchange->Request().headers, "X-Deadline-Ms");
  if (!text) {
    return true;
  }
  std::int64_t value = 0;
  const char* end = text->data() + text->size();
  auto read = std::from_chars(text->data(), end, value);
  if (read.ec != std::errc{} || read.ptr != end || value < 1 ||
      value > kMostDeadlineMs) {
    return false;
  }
  aRequest->deadline = aRequest->startedAt + Milliseconds(value);
  return true;
}

// Returns the priority that the caller names, or one by the prompt's size.
std::optional<routing::Priority>
ReadPriority(const Request& aRequest)
{
  auto text =
    net::FindHeader(aRequest.exchange->Request().headers, "X-Priority");
  if (text == "interactive") {
    return routing::Priority::Interactive;
  }
  if (text == "batch") {
    return routing::Priority::Batch;
  }
  if (text) {
    return std::nullopt;
  }
  const auto* call = std::get_if<ChatCall>(&aRequest.call);
  const auto& admission = aRequest.snapshot->settings.admission;
  bool isLong =
    call != nullptr && call->promptBound > admission.batchPromptThreshold;
  return isLong ? routing::Priority::Batch : routing::Priority::Interactive;
}

Admit
MakeAsk(const Request& aRequest, routing::Priority aPriority)
{
  const auto& settings = aRequest.snapshot->settings;
  Admit admit;
  admit.options.maxWait = settings.admission.maxWait;
  admit.options.maxQueued = settings.admission.maxQueued;
  routing::Ask& ask = admit.ask;
  ask.request = ToNumber(aRequest.ticket);
  ask.workspace = aRequest.workspace;
  ask.site = aRequest.site;
  const auto* call = std::get_if<ChatCall>(&aRequest.call);
  ask.pool =
    call != nullptr
      ? PoolName(call->model.Get(), false)
      : PoolName(std::get<ServiceCall>(aRequest.call).service.Get(), true);
  ask.priority = aPriority;
  ask.deadline = aRequest.deadline;
  ask.weight = settings.WeightFor(aRequest.workspace, aRequest.site);
  auto workspace = settings.workspaces.find(aRequest.workspace);
  if (workspace != settings.workspaces.end()) {
    ask.workspaceLimit = workspace->second.maxInFlight;
  }
  auto site = settings.sites.find(aRequest.site);
  if (site != settings.sites.end()) {
    ask.siteLimit = site->second.maxInFlight;
  }
  return admit;
}

void
RefuseTurn(const RequestPtr& aRequest, routing::AdmissionRefusal aReason)
{
  switch (aReason) {
    case routing::AdmissionRefusal::WorkspaceLimit:
      Refuse(aRequest,
             { 429,
               "too_many_requests",
               "the workspace or site has as many requests in flight as its "
               "limit allows",
               RanState::NotRun,
               1 });
      return;
    case routing::AdmissionRefusal::Overloaded:
      Refuse(aRequest,
             { 503,
               "overloaded",
               "the request's turn did not come in time",
               RanState::NotRun,
               1 });
      return;
    case routing::AdmissionRefusal::Deadline:
      Refuse(aRequest,
             { 504, "deadline", "the answer can't begin before its deadline" });
      return;
  }
}

void
AskForTurn(const RequestPtr& aRequest, Admit aAdmit, Next aNext)
{
  aRequest->hasTurn = true;
  aRequest->exchange->Task()
    .request(aRequest->controllers.admission, caf::infinite, std::move(aAdmit))
    .then([aRequest, next = std::move(aNext)](AdmitReply& aReply) {
      if (aReply.refusal && !aRequest->isFinished) {
        aRequest->hasTurn = false;
        RefuseTurn(aRequest, *aReply.refusal);
        return;
      }
      next();
    });
}

} // namespace

// Waits for the request's turn, which FinishRequest gives back.
Filter
MakeAdmit()
{
  return [](const RequestPtr& aRequest, Next aNext) {
    auto priority = ReadPriority(*aRequest);
    if (!priority || !ReadDeadline(aRequest)) {
      Refuse(aRequest,
             { 400,
               "invalid_request",
               "X-Priority must be interactive or batch, and X-Deadline-Ms an "
               "integer in 1..3600000" });
      return;
    }
    if (auto* call = std::get_if<ChatCall>(&aRequest->call)) {
      call->priority = *priority;
    }
    AskForTurn(aRequest, MakeAsk(*aRequest, *priority), std::move(aNext));
  };
}

} // namespace lycheestand::router
