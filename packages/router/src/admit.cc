#include "filter_chain.h"

#include <charconv>

namespace lycheestand::router {

namespace {

// Longest deadline that a caller may set: 1 hour.
constexpr std::int64_t kMaxDeadlineMs = 3600000;

// Sets the request's deadline from the header, if it is present. Returns false
// if its value is invalid.
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
      value > kMaxDeadlineMs) {
    return false;
  }
  aRequest->deadline = aRequest->startedAt + Milliseconds(value);
  return true;
}

// Returns the priority in the header or, without one, a priority by the size of
// the prompt. Returns nothing if the header is invalid.
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
    call != nullptr && call->maxPromptTokens > admission.batchPromptThreshold;
  return isLong ? routing::Priority::Batch : routing::Priority::Interactive;
}

Admit
MakeAdmitMessage(const Request& aRequest, routing::Priority aPriority)
{
  const auto& settings = aRequest.snapshot->settings;
  Admit admit;
  admit.options.maxWait = settings.admission.maxWait;
  admit.options.maxQueued = settings.admission.maxQueued;
  routing::AdmissionRequest& request = admit.request;
  request.request = ToRequestNumber(aRequest.ticket);
  request.workspace = aRequest.workspace;
  request.site = aRequest.site;
  const auto* call = std::get_if<ChatCall>(&aRequest.call);
  request.pool =
    call != nullptr
      ? PoolName(call->model.Get(), false)
      : PoolName(std::get<ServiceCall>(aRequest.call).service.Get(), true);
  request.priority = aPriority;
  request.deadline = aRequest.deadline;
  request.weight = settings.WeightFor(aRequest.workspace, aRequest.site);
  auto workspace = settings.workspaces.find(aRequest.workspace);
  if (workspace != settings.workspaces.end()) {
    request.workspaceLimit = workspace->second.maxInFlight;
  }
  auto site = settings.sites.find(aRequest.site);
  if (site != settings.sites.end()) {
    request.siteLimit = site->second.maxInFlight;
  }
  return admit;
}

void
RefuseAdmission(const RequestPtr& aRequest, routing::AdmissionRefusal aReason)
{
  switch (aReason) {
    case routing::AdmissionRefusal::WorkspaceLimit:
      Refuse(
        aRequest,
        { 429,
          "too_many_requests",
          "the workspace or site has reached its limit of requests in flight",
          ExecutionState::NotRun,
          1 });
      return;
    case routing::AdmissionRefusal::Overloaded:
      Refuse(aRequest,
             { 503,
               "overloaded",
               "the queue is full, or the request waited in it for too long",
               ExecutionState::NotRun,
               1 });
      return;
    case routing::AdmissionRefusal::Deadline:
      Refuse(aRequest,
             { 504, "deadline", "the answer can't begin before its deadline" });
      return;
  }
}

void
RequestAdmission(const RequestPtr& aRequest, Admit aAdmit, Next aNext)
{
  aRequest->holdsAdmission = true;
  aRequest->exchange->Task()
    .request(aRequest->controllers.admission, caf::infinite, std::move(aAdmit))
    .then([aRequest, next = std::move(aNext)](AdmitReply& aReply) {
      if (aReply.refusal && !aRequest->isFinished) {
        aRequest->holdsAdmission = false;
        RefuseAdmission(aRequest, *aReply.refusal);
        return;
      }
      next();
    });
}

} // namespace

// Waits until the request is admitted; FinishRequest releases the admission.
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
    RequestAdmission(
      aRequest, MakeAdmitMessage(*aRequest, *priority), std::move(aNext));
  };
}

} // namespace lycheestand::router
