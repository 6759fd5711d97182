#include "filter_chain.h"

namespace lycheestand::router {

namespace {

// A route's timeout may pass by this much before the request is given up, so
// that an answer that is on its way at that moment is still delivered.
constexpr Duration kTimeoutGrace = std::chrono::milliseconds(100);

// Pause before a caller asks a router again that knows no routes yet.
constexpr double kNoRoutesRetrySeconds = 0.5;

// Other routers can serve the request at once.
constexpr double kStoppingRetrySeconds = 0.02;

void
RefuseCall(const RequestPtr& aRequest,
           unsigned aStatus,
           const char* aCode,
           const std::string& aMessage)
{
  Refuse(aRequest, { aStatus, aCode, aMessage });
}

// Sets the workspace of a request whose route needs a key; refuses a request
// without a valid one.
bool
FindWorkspace(const RequestPtr& aRequest, RoutedCall& aCall)
{
  if (aCall.route->isPublic || !aCall.table->HasWorkspaces()) {
    return true;
  }
  const auto& key = aCall.description.key;
  const auto* holder = key ? aCall.table->FindHolder(*key) : nullptr;
  if (holder == nullptr) {
    RefuseCall(
      aRequest, 401, "invalid_key", "the key is missing or nobody holds it");
    return false;
  }
  aRequest->workspace = holder->workspace;
  aCall.workspacePriority = holder->priority;
  return true;
}

// Ends the request when it is not complete at its time. Held by a weak
// reference: the timer outlasts most requests.
void
GiveUpLater(const RequestPtr& aRequest, const RoutedCall& aCall)
{
  auto& task = aRequest->exchange->Task();
  auto now = net::Now(task.GetRuntime());
  task.After(aCall.giveUpAt - now, [weak = std::weak_ptr<Request>(aRequest)] {
    auto request = weak.lock();
    if (!request || request->isFinished) {
      return;
    }
    if (request->exchange->IsAnswered()) {
      request->outcome = "timeout_in_stream";
      request->exchange->Abort();
      return;
    }
    bool hasRun =
      request->ran != ExecutionState::NotRun || request->upstream.IsValid();
    Refuse(request,
           { hasRun ? 504u : 503u,
             "timeout",
             "the route's time is used up",
             hasRun ? ExecutionState::Unknown : ExecutionState::NotRun });
  });
}

void
Match(const RequestPtr& aRequest,
      RoutedCall aCall,
      const std::function<bool(Duration)>& aMayBegin,
      const RandomSource& aRandom,
      const Next& aNext)
{
  const auto& target = aRequest->exchange->Request().target;
  aCall.route = aCall.table->Find(aCall.description.host, target);
  if (aCall.route == nullptr) {
    RefuseCall(aRequest,
               404,
               "no_route",
               "no route for " + aCall.description.host + target);
    return;
  }
  if (!FindWorkspace(aRequest, aCall)) {
    return;
  }
  aCall.service = routes::ChooseService(*aCall.route, aRandom);
  const auto* service = aCall.table->Find(aCall.service);
  if (service->engine) {
    aCall.tokensPerEvent = service->engine->tokensPerEvent;
  }
  Duration patience = aCall.route->timeout;
  if (aCall.description.patience) {
    patience = std::min<Duration>(patience, *aCall.description.patience);
  }
  if (!aMayBegin(patience)) {
    Refuse(aRequest,
           { 503,
             "stopping",
             "this router stops before the request would be done",
             ExecutionState::NotRun,
             kStoppingRetrySeconds });
    return;
  }
  aRequest->deadline = aRequest->startedAt + patience;
  aCall.giveUpAt = *aRequest->deadline + kTimeoutGrace;
  aRequest->call = std::move(aCall);
  GiveUpLater(aRequest, std::get<RoutedCall>(aRequest->call));
  aNext();
}

} // namespace

Filter
MakeMatchRoute(std::shared_ptr<const RouteProtocol> aProtocol,
               std::function<bool(Duration)> aMayBegin)
{
  return [protocol = std::move(aProtocol),
          mayBegin = std::move(aMayBegin),
          random = net::MakeRandomSource()](const RequestPtr& aRequest,
                                            Next aNext) {
    auto description = protocol->readCall(aRequest->exchange->Request());
    if (description.has_error()) {
      RefuseCall(aRequest, 400, "invalid_request", description.error());
      return;
    }
    aRequest->id = description.value().id;
    RoutedCall call;
    call.protocol = protocol;
    call.description = std::move(description.value());
    aRequest->exchange->Task()
      .request(
        aRequest->controllers.configuration, caf::infinite, GetConfiguration{})
      .then([aRequest, mayBegin, random, call, next = std::move(aNext)](
              ConfigurationInForce& aReply) mutable {
        if (!aReply.table) {
          Refuse(aRequest,
                 { 503,
                   "no_routes",
                   "this router has no table of routes yet",
                   ExecutionState::NotRun,
                   kNoRoutesRetrySeconds });
          return;
        }
        aRequest->snapshot = aReply.snapshot;
        call.table = aReply.table;
        Match(aRequest, std::move(call), mayBegin, random, next);
      });
  };
}

} // namespace lycheestand::router
