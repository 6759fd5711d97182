#include "filter_chain.h"
#include "request_digest.h"

namespace lycheestand::router {

namespace {

// Retry-After of a request that may crash endpoints. A quarantine lasts for
// minutes after the last crash.
constexpr double kQuarantineRetrySeconds = 60;

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
                std::function<void(bool aIsQuarantined)> aDone)
{
  auto parts = PartsOf(*aRequest);
  if (parts.empty()) {
    aDone(false);
    return;
  }
  aRequest->exchange->Task()
    .request(aRequest->controllers.quarantine,
             caf::infinite,
             CheckParts{ std::move(parts) })
    .then([aRequest, done = std::move(aDone)](const CheckPartsReply& aReply) {
      if (!aRequest->isFinished) {
        done(aReply.isQuarantined);
      }
    });
}

void
ReportBrokenAttempt(const Request& aRequest)
{
  auto parts = PartsOf(aRequest);
  if (!parts.empty()) {
    aRequest.exchange->Task().send(aRequest.controllers.quarantine,
                                   CrashSuspected{ aRequest.endpoint,
                                                   aRequest.endpointAddress,
                                                   std::move(parts) });
  }
}

void
ReportSuccess(const Request& aRequest)
{
  auto parts = PartsOf(aRequest);
  if (!parts.empty()) {
    aRequest.exchange->Task().send(aRequest.controllers.quarantine,
                                   PartsSucceeded{ std::move(parts) });
  }
}

// Callers are told to come back later rather than that the request is wrong:
// the cause may be a fault of the engine that is repaired.
Filter
MakeCheckQuarantine()
{
  return [](const RequestPtr& aRequest, Next aNext) {
    aRequest->digest = DigestOf(*aRequest);
    CheckQuarantine(
      aRequest, [aRequest, next = std::move(aNext)](bool aIsQuarantined) {
        if (!aIsQuarantined) {
          next();
          return;
        }
        Refuse(aRequest,
               { 503,
                 "prompt_quarantined",
                 "a part of the prompt has crashed several endpoints",
                 ExecutionState::NotRun,
                 kQuarantineRetrySeconds });
      });
  };
}

} // namespace lycheestand::router
