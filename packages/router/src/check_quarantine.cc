#include "filter_chain.h"
#include "request_digest.h"

namespace lycheestand::router {

namespace {

// Retry-After of a request that crashes endpoints. A quarantine lasts for
// minutes after the last crash.
constexpr double kQuarantineRetrySeconds = 60;

// Retry-After of a request that waits for its trial.
constexpr double kHeldRetrySeconds = 1;

// Callers of the project's own interface may name a router as the host, and
// send the same request to another one.
RequestDigest
DigestOf(const Request& aRequest)
{
  const auto& http = aRequest.exchange->Request();
  RequestIdentity identity;
  identity.workspace = aRequest.workspace;
  identity.target = http.target;
  identity.method = http.method;
  identity.body = http.body;
  if (const auto* routed = std::get_if<RoutedCall>(&aRequest.call)) {
    identity.host = routed->description.host;
    identity.prefix = routed->description.prefix;
  }
  return ComputeDigest(identity);
}

} // namespace

// The parts of a chat are the beginnings of its conversation.
std::vector<PromptPartId>
PartsOf(const Request& aRequest)
{
  if (const auto* routed = std::get_if<RoutedCall>(&aRequest.call)) {
    return routed->description.parts;
  }
  std::vector<PromptPartId> parts;
  if (const auto* chat = std::get_if<ChatCall>(&aRequest.call)) {
    for (const auto& prefix : chat->prefix) {
      parts.emplace_back(prefix.hash.Get());
    }
  }
  return parts;
}

void
CheckQuarantine(const RequestPtr& aRequest,
                bool aIsForwarding,
                std::function<void(const CheckRequestReply&)> aDone)
{
  aRequest->exchange->Task()
    .request(
      aRequest->controllers.quarantine,
      caf::infinite,
      CheckRequest{ PartsOf(*aRequest), *aRequest->digest, aIsForwarding })
    .then([aRequest, done = std::move(aDone)](const CheckRequestReply& aReply) {
      if (!aRequest->isFinished) {
        done(aReply);
      }
    });
}

bool
MayForward(const Request& aRequest, const CheckRequestReply& aReply)
{
  bool hasNoAttempt =
    aRequest.ran == ExecutionState::NotRun && !aRequest.silentAttempt;
  bool isAccepted =
    aReply.verdict == quarantine::RequestVerdict::Accepted ||
    (aReply.verdict == quarantine::RequestVerdict::OneAttempt && hasNoAttempt);
  return isAccepted && !aReply.hasQuarantinedPart;
}

// Callers are told to come back later rather than that the request is wrong:
// the cause may be a fault of the endpoint that is repaired.
void
RefuseQuarantined(const RequestPtr& aRequest, const CheckRequestReply& aReply)
{
  if (aReply.hasQuarantinedPart) {
    Refuse(aRequest,
           { 503,
             "prompt_quarantined",
             "a part of the prompt has crashed several endpoints",
             ExecutionState::NotRun,
             kQuarantineRetrySeconds });
    return;
  }
  bool isHeld = aReply.verdict == quarantine::RequestVerdict::Held;
  Refuse(aRequest,
         { 503,
           "request_quarantined",
           isHeld ? "endpoints have crashed while they ran this request; it "
                    "waits until it is tried by itself"
                  : "this request has crashed several endpoints",
           ExecutionState::NotRun,
           isHeld ? kHeldRetrySeconds : kQuarantineRetrySeconds });
}

CrashSuspected
MakeSuspicion(const Request& aRequest)
{
  return { aRequest.attempt.endpoint,
           aRequest.attempt.address,
           PartsOf(aRequest),
           *aRequest.digest };
}

void
ReportBrokenAttempt(const Request& aRequest)
{
  aRequest.exchange->Task().send(aRequest.controllers.quarantine,
                                 MakeSuspicion(aRequest));
}

void
ReportSuccess(const Request& aRequest)
{
  aRequest.exchange->Task().send(
    aRequest.controllers.quarantine,
    RequestSucceeded{ PartsOf(aRequest), *aRequest.digest });
}

Filter
MakeCheckQuarantine()
{
  return [](const RequestPtr& aRequest, Next aNext) {
    aRequest->digest = DigestOf(*aRequest);
    CheckQuarantine(
      aRequest,
      false,
      [aRequest, next = std::move(aNext)](const CheckRequestReply& aReply) {
        aRequest->isOnTrial =
          aReply.verdict == quarantine::RequestVerdict::OneAttempt;
        if (MayForward(*aRequest, aReply)) {
          next();
        } else {
          RefuseQuarantined(aRequest, aReply);
        }
      });
  };
}

} // namespace lycheestand::router
