#include "filter_chain.h"

#include <algorithm>

namespace lycheestand::router {

namespace {

// A configuration change has more time than this to become active, so a request
// that waited for less need not be checked again.
constexpr Duration kMinRecheckWait = std::chrono::milliseconds(500);

// Retry-After if the routes changed; the newest table can serve a retry at
// once.
constexpr double kRoutesChangedRetrySeconds = 0.1;

// Returns whether a newer configuration still allows the caller's key to make
// the call.
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

// Returns whether the newest route table routes the request to the same service
// for the same workspace.
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
    return !aTable.RequiresKey(*route);
  }
  const auto* found =
    aTable.FindWorkspaceByKey(call.description.key.value_or(""));
  return found != nullptr && found->workspace == aRequest.workspace;
}

void
CheckConfiguration(const RequestPtr& aRequest,
                   const ActiveConfiguration& aNewest,
                   const Next& aNext)
{
  const auto& snapshot = aNewest.snapshot;
  if (!snapshot) {
    RefuseUnconfirmed(aRequest);
    return;
  }
  if (auto* routed = std::get_if<RoutedCall>(&aRequest->call)) {
    // The caller can retry and is then served by the newest table.
    if (aNewest.table != routed->table &&
        !IsStillRouted(*aRequest, *aNewest.table)) {
      Refuse(aRequest,
             { 503,
               "routes_changed",
               "the route table changed while the request waited",
               ExecutionState::NotRun,
               kRoutesChangedRetrySeconds });
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

// A request may wait some seconds for admission and budget. It must not be
// forwarded under a configuration that is no longer active by then.
Filter
MakeRecheck()
{
  return [](const RequestPtr& aRequest, Next aNext) {
    auto& task = aRequest->exchange->Task();
    if (net::Now(task.GetRuntime()) - aRequest->startedAt < kMinRecheckWait) {
      aNext();
      return;
    }
    task
      .request(
        aRequest->controllers.configuration, caf::infinite, GetConfiguration{})
      .then([aRequest, next = std::move(aNext)](ActiveConfiguration& aReply) {
        if (!aRequest->isFinished) {
          CheckConfiguration(aRequest, aReply, next);
        }
      });
  };
}

} // namespace lycheestand::router
