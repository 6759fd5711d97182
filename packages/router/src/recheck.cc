#include "filter_chain.h"

namespace lycheestand::router {

namespace {

// Waits shorter than this can't outlast the time in which a change must be in
// force.
constexpr Duration kShortWait = std::chrono::milliseconds(500);

// Returns whether a newer configuration still lets the caller make the call.
bool
IsStillAllowed(const Request& aRequest,
               const settings::FleetSnapshot& aSnapshot)
{
  bool isKeyValid = aSnapshot.keys.contains(aRequest.keyHash);
  const auto& settings = aSnapshot.settings;
  if (const auto* chat = std::get_if<ChatCall>(&aRequest.call)) {
    return isKeyValid && settings.models.contains(chat->model) &&
           settings.AllowsModel(aRequest.workspace, aRequest.site, chat->model);
  }
  const auto& service = std::get<ServiceCall>(aRequest.call).service;
  return isKeyValid && settings.services.contains(service) &&
         settings.AllowsService(aRequest.workspace, aRequest.site, service);
}

void
CheckNewest(const RequestPtr& aRequest,
            const std::shared_ptr<const settings::FleetSnapshot>& aSnapshot,
            const Next& aNext)
{
  if (!aSnapshot) {
    RefuseUnconfirmed(aRequest);
    return;
  }
  if (!IsStillAllowed(*aRequest, *aSnapshot)) {
    Refuse(aRequest,
           { 404,
             "not_found",
             "the configuration changed while the request waited; its model or "
             "service is no longer available to this key" });
    return;
  }
  aRequest->snapshot = aSnapshot;
  aNext();
}

} // namespace

// A request may wait some seconds for its turn and its budget. It must not be
// forwarded under a configuration that is no longer in force by then.
Filter
MakeRecheck()
{
  return [](const RequestPtr& aRequest, Next aNext) {
    auto& task = aRequest->exchange->Task();
    if (net::Now(task.GetRuntime()) - aRequest->startedAt < kShortWait) {
      aNext();
      return;
    }
    task
      .request(
        aRequest->controllers.configuration, caf::infinite, GetConfiguration{})
      .then([aRequest, next = std::move(aNext)](ConfigurationInForce& aReply) {
        if (!aRequest->isFinished) {
          CheckNewest(aRequest, aReply.snapshot, next);
        }
      });
  };
}

} // namespace lycheestand::router
