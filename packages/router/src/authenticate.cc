#include "filter_chain.h"

namespace lycheestand::router {

namespace {

constexpr std::string_view kBearer = "Bearer ";

// Returns the bearer key of a request, if it has one.
std::optional<std::string>
FindBearerKey(const net::HttpRequest& aRequest)
{
  auto header = net::FindHeader(aRequest.headers, "Authorization");
  if (!header || !header->starts_with(kBearer)) {
    return std::nullopt;
  }
  return header->substr(kBearer.size());
}

void
CheckKey(const RequestPtr& aRequest, const Next& aNext)
{
  auto key = FindBearerKey(aRequest->exchange->Request());
  if (key) {
    aRequest->keyHash = net::HashKey(*key);
    auto found = aRequest->snapshot->keys.find(aRequest->keyHash);
    if (found != aRequest->snapshot->keys.end()) {
      aRequest->workspace = found->second.workspace;
      aRequest->site = found->second.site;
      aNext();
      return;
    }
  }
  Refuse(
    aRequest,
    { 401,
      "invalid_key",
      "the Authorization header has no bearer key, or the key is not valid" });
}

} // namespace

void
RefuseUnconfirmed(const RequestPtr& aRequest)
{
  Refuse(
    aRequest,
    { 503,
      "configuration_not_confirmed",
      "this router's configuration is not confirmed as current, since it is "
      "disconnected from control; use another router address",
      ExecutionState::NotRun,
      1 });
}

// A router whose configuration is not confirmed as current doesn't know which
// keys are valid, so it refuses the request before it checks the key.
Filter
MakeAuthenticate()
{
  return [](const RequestPtr& aRequest, Next aNext) {
    aRequest->exchange->Task()
      .request(
        aRequest->controllers.configuration, caf::infinite, GetConfiguration{})
      .then([aRequest, next = std::move(aNext)](ActiveConfiguration& aReply) {
        if (!aReply.snapshot) {
          RefuseUnconfirmed(aRequest);
          return;
        }
        aRequest->snapshot = aReply.snapshot;
        CheckKey(aRequest, next);
      });
  };
}

} // namespace lycheestand::router
