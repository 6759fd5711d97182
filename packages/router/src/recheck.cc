#include "filter_chain.h"

#include <algorithm>

namespace lycheestand::router {

namespace {

// Waits shorter than this can't outlast the time in which a change must be in
// force.
constexpr Duration kShortWait = std::chrono::milliseconds(500);

// Pause before a caller asks again where nothing stands in its way.
constexpr double kAskAgainSeconds = 0.1;

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

// Returns whether the newest table of routes sends the request to the same
// service for the same workspace.
bool
IsStillRouted(const Request& aRequest, const routes::RouteTable& aTable)
{
  const auto& call = std::get<RoutedCall>(aRequest.call);
  const auto* route =
    aTable.Find(call.description.host, aRequest.exchange->Request().target);
  if (route == nullptr ||
      std::none_of(route->splits.begin(),
                   route->splits.end(),
                   [&call](const routes::Split& aSplit) {
                     return aSplit.service == call.service && aSplit.weight > 0;
                   })) {
    return false;
  }
  if (aRequest.workspace.Get().empty()) {
    return route->isPublic || !aTable.HasWorkspaces();
  }
  const auto* holder = aTable.FindHolder(call.description.key.value_or(""));
  return holder != nullptr && holder->workspace == aRequest.workspace;
}

void
CheckNewest(const RequestPtr& aRequest,
            const ConfigurationInForce& aNewest,
            const Next& aNext)
{
  const auto& snapshot = aNewest.snapshot;
  if (!snapshot) {
    RefuseUnconfirmed(aRequest);
    return;
  }
  if (auto* routed = std::get_if<RoutedCall>(&aRequest->call)) {
    // The caller may ask again, and is then served by the newest table.
    if (aNewest.table != routed->table &&
        !IsStillRouted(*aRequest, *aNewest.table)) {
      Refuse(aRequest,
             { 503,
               "routes_changed",
               "the routes changed while the request waited",
               ExecutionState::NotRun,
               kAskAgainSeconds });
      return;
    }
    aNext();
    return;
  }
  if (!IsStillAllowed(*aRequest, *snapshot)) {
    Refuse(aRequest,
           { 404,
             "not_found",
             "the configuration changed while the request waited; its model or "
             "service is no longer available to this key" });
    return;
  }
  aRequest->snapshot = snapshot;
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
          CheckNewest(aRequest, aReply, next);
        }
      });
  };
}

} // namespace lycheestand::router
