#include "filter_chain.h"
#include "request_digest.h"

namespace lycheestand::router {

namespace {

// Time after a route's timeout at which the request is ended, so that an answer
// in transit at that moment is still delivered.
constexpr Duration kTimeoutGrace = std::chrono::milliseconds(100);

// Retry-After of a router without a route table that is confirmed as current.
constexpr double kNoRoutesRetrySeconds = 0.5;

// Retry-After of a stopping router; other routers can serve the request at
// once.
constexpr double kStoppingRetrySeconds = 0.02;

// Refuses a call that the route table does not allow. Without a recent
// confirmation, a newer table may allow it, so the caller is told to try again.
void
RefuseCall(const RequestPtr& aRequest,
           bool aIsConfirmed,
           unsigned aStatus,
           const char* aCode,
           const std::string& aMessage)
{
  if (aIsConfirmed) {
    Refuse(aRequest, { aStatus, aCode, aMessage });
  } else {
    RefuseUnconfirmed(aRequest);
  }
}

// Sets the workspace of a request whose route needs a key; refuses a request
// without a valid one.
bool
FindWorkspace(const RequestPtr& aRequest, RoutedCall& aCall, bool aIsConfirmed)
{
  if (!aCall.table->RequiresKey(*aCall.route)) {
    return true;
  }
  const auto& key = aCall.description.key;
  const auto* found = key ? aCall.table->FindWorkspaceByKey(*key) : nullptr;
  if (found == nullptr) {
    RefuseCall(
      aRequest,
      aIsConfirmed,
      401,
      "invalid_key",
      "the request has no key, or the route table does not contain it");
    return false;
  }
  aRequest->workspace = found->workspace;
  aCall.workspacePriority = found->priority;
  return true;
}

// Ends the request if it is not complete at its timeout. The timer holds a weak
// reference, since it outlives most requests.
void
ScheduleTimeout(const RequestPtr& aRequest, const RoutedCall& aCall)
{
  auto& task = aRequest->exchange->Task();
  auto now = net::Now(task.GetRuntime());
  task.After(aCall.abortAt - now, [weak = std::weak_ptr<Request>(aRequest)] {
    auto request = weak.lock();
    if (!request || request->isFinished) {
      return;
    }
    if (request->exchange->IsAnswered()) {
      request->outcome = "timeout_in_stream";
      request->exchange->Abort();
      return;
    }
    bool hasRun = request->ran != ExecutionState::NotRun ||
                  request->attempt.upstream.IsValid() ||
                  request->silentAttempt.has_value();
    Refuse(request,
           { hasRun ? 504u : 503u,
             "timeout",
             "the request was not complete within its timeout",
             hasRun ? ExecutionState::Unknown : ExecutionState::NotRun });
  });
}

// Returns the service for a request. A stream that is taken up must come to the
// service that has begun it, at any router.
const ServiceName&
ChooseService(const Request& aRequest,
              const RoutedCall& aCall,
              const RandomSource& aRandom)
{
  if (!aCall.route->isResumable) {
    return routes::ChooseService(*aCall.route, aRandom);
  }
  const auto& description = aCall.description;
  bool isTakenUp = description.lastEvent && description.resumes;
  return routes::ChooseService(
    *aCall.route,
    MakeStreamSource(aRequest.workspace,
                     isTakenUp ? *description.resumes : description.id));
}

void
Match(const RequestPtr& aRequest,
      bool aIsConfirmed,
      const std::function<bool(Duration, bool)>& aMayAccept,
      const RandomSource& aRandom,
      const Next& aNext)
{
  auto& call = std::get<RoutedCall>(aRequest->call);
  const auto& target = aRequest->exchange->Request().target;
  const auto* route = call.table->Find(call.description.host, target);
  if (route == nullptr) {
    RefuseCall(aRequest,
               aIsConfirmed,
               404,
               "no_route",
               "no route for " + call.description.host + target);
    return;
  }
  call.route = route;
  if (!FindWorkspace(aRequest, call, aIsConfirmed)) {
    return;
  }
  call.service = ChooseService(*aRequest, call, aRandom);
  const auto* service = call.table->Find(call.service);
  if (service->engine) {
    call.tokensPerEvent = service->engine->tokensPerEvent;
  }
  Duration timeout = route->timeout;
  if (call.description.timeout) {
    timeout = std::min<Duration>(timeout, *call.description.timeout);
  }
  if (!aMayAccept(timeout + kTimeoutGrace, route->isRepeatable)) {
    Refuse(
      aRequest,
      { 503,
        "stopping",
        "this router is stopping and could not finish the request; send it "
        "to another router",
        ExecutionState::NotRun,
        kStoppingRetrySeconds });
    return;
  }
  aRequest->deadline = aRequest->startedAt + timeout;
  call.abortAt = *aRequest->deadline + kTimeoutGrace;
  ScheduleTimeout(aRequest, call);
  aNext();
}

} // namespace

Filter
MakeReadCall(std::shared_ptr<const RouteProtocol> aProtocol)
{
  return [protocol = std::move(aProtocol)](const RequestPtr& aRequest,
                                           const Next& aNext) {
    auto description = protocol->readCall(aRequest->exchange->Request());
    if (description.has_error()) {
      Refuse(aRequest, { 400, "invalid_request", description.error() });
      return;
    }
    aRequest->id = description.value().id;
    RoutedCall call;
    call.protocol = protocol;
    call.description = std::move(description.value());
    aRequest->call = std::move(call);
    aNext();
  };
}

Filter
MakeMatchRoute(Duration aChangeApplyTime,
               std::function<bool(Duration, bool)> aMayAccept)
{
  return [aChangeApplyTime,
          mayAccept = std::move(aMayAccept),
          random = net::MakeRandomSource()](const RequestPtr& aRequest,
                                            Next aNext) {
    auto& task = aRequest->exchange->Task();
    task
      .request(
        aRequest->controllers.configuration, caf::infinite, GetConfiguration{})
      .then([&task,
             aRequest,
             aChangeApplyTime,
             mayAccept,
             random,
             next = std::move(aNext)](ActiveConfiguration& aReply) {
        if (!aReply.table) {
          Refuse(
            aRequest,
            { 503,
              "no_routes",
              "this router has no route table that is confirmed as current",
              ExecutionState::NotRun,
              kNoRoutesRetrySeconds });
          return;
        }
        aRequest->snapshot = aReply.snapshot;
        std::get<RoutedCall>(aRequest->call).table = aReply.table;
        // A change that the table lacks was acknowledged after the
        // confirmation.
        bool isConfirmed =
          net::Now(task.GetRuntime()) - aReply.confirmedAt < aChangeApplyTime;
        Match(aRequest, isConfirmed, mayAccept, random, next);
      });
  };
}

} // namespace lycheestand::router
