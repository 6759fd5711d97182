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
  Refuse(aRequest,
         { 401, "invalid_key", "the bearer key is missing or not valid" });
}

} // namespace

void
RefuseUnconfirmed(const RequestPtr& aRequest)
{
  Refuse(aRequest,
         { 503,
           "configuration_not_confirmed",
           "this router has no contact with control; use another address",
           ExecutionState::NotRun,
           1 });
}

// A router that can't tell whether its configuration is current does not know
// which keys are valid either, so it refuses before it looks at the key.
Filter
MakeAuthenticate()
{
  return [](const RequestPtr& aRequest, Next aNext) {
    aRequest->exchange->Task()
      .request(
        aRequest->controllers.configuration, caf::infinite, GetConfiguration{})
      .then([aRequest, next = std::move(aNext)](ConfigurationInForce& aReply) {
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
