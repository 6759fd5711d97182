#include "forward.h"

namespace lycheestand::router {

namespace {

// isAssigned is set before the reply, so that FinishRequest cancels the choice
// if the request ends meanwhile. A reply for an attempt that is no longer the
// current one is ignored: whoever replaced it has cancelled the choice.
void
Choose(const RequestPtr& aRequest,
       routing::Query aQuery,
       std::function<void(const Address&)> aCall,
       std::function<void()> aOnNoEndpoint)
{
  aRequest->attempt.isAssigned = true;
  aRequest->lacksVersion = false;
  ChooseEndpoint choose;
  choose.ticket = aRequest->attempt.ticket;
  choose.query = std::move(aQuery);
  choose.query.excluded = aRequest->triedEndpoints;
  choose.query.version = aRequest->streamVersion;
  choose.attempts = aRequest->attempts;
  choose.maxInFlight = aRequest->snapshot->settings.maxInFlightPerEndpoint;
  aRequest->exchange->Task()
    .request(aRequest->controllers.endpoint, caf::infinite, std::move(choose))
    .then(
      [aRequest,
       ticket = aRequest->attempt.ticket,
       call = std::move(aCall),
       onNoEndpoint = std::move(aOnNoEndpoint)](ChooseEndpointReply& aChosen) {
        EndpointAttempt& attempt = aRequest->attempt;
        if (aRequest->isFinished || attempt.ticket != ticket) {
          return;
        }
        aRequest->endpointFreeAfter = aChosen.freeAfter;
        aRequest->lacksVersion = aChosen.lacksVersion;
        if (!aChosen.endpoint) {
          attempt.isAssigned = false;
          onNoEndpoint();
          return;
        }
        attempt.endpoint = *aChosen.endpoint;
        attempt.address = aChosen.address;
        attempt.version = aChosen.version;
        attempt.basis = aChosen.basis;
        attempt.isLimited = aChosen.isLimited;
        attempt.startedAt = net::Now(aRequest->exchange->Task().GetRuntime());
        aRequest->triedEndpoints.insert(*aChosen.endpoint);
        ++aRequest->attempts;
        call(aChosen.address);
      });
}

// A request that has waited for less need not be checked again before its first
// attempt.
constexpr Duration kMinRecheckWait = std::chrono::milliseconds(100);

// Returns whether the request may have been quarantined since it was checked,
// or another copy may be forwarded in its place.
bool
NeedsCheck(const Request& aRequest)
{
  auto waited =
    net::Now(aRequest.exchange->Task().GetRuntime()) - aRequest.startedAt;
  return aRequest.isOnTrial || !aRequest.triedEndpoints.empty() ||
         waited >= kMinRecheckWait;
}

} // namespace

void
ChooseAndCall(const RequestPtr& aRequest,
              routing::Query aQuery,
              std::function<void(const Address&)> aCall,
              std::function<void()> aOnNoEndpoint)
{
  aRequest->attempt.ticket = NextTicket();
  if (!NeedsCheck(*aRequest)) {
    Choose(
      aRequest, std::move(aQuery), std::move(aCall), std::move(aOnNoEndpoint));
    return;
  }
  CheckQuarantine(
    aRequest,
    true,
    [aRequest,
     ticket = aRequest->attempt.ticket,
     query = std::move(aQuery),
     call = std::move(aCall),
     onNoEndpoint =
       std::move(aOnNoEndpoint)](const CheckRequestReply& aReply) mutable {
      if (aRequest->attempt.ticket != ticket) {
        return;
      }
      if (MayForward(*aRequest, aReply)) {
        Choose(
          aRequest, std::move(query), std::move(call), std::move(onNoEndpoint));
      } else if (aRequest->ran == ExecutionState::NotRun &&
                 !aRequest->silentAttempt) {
        RefuseQuarantined(aRequest, aReply);
      } else {
        onNoEndpoint();
      }
    });
}

void
RefuseNoEndpoint(const RequestPtr& aRequest)
{
  Refuse(aRequest,
         { 503,
           "no_endpoint",
           "no endpoint is available for this request",
           aRequest->ran,
           RetryAfterNoEndpoint(*aRequest, 1) });
}

void
RecordFailure(const RequestPtr& aRequest, net::CallFailure aFailure)
{
  if (aFailure != net::CallFailure::NotSent) {
    aRequest->ran = ExecutionState::Unknown;
    ReportBrokenAttempt(*aRequest);
  }
}

void
ReleaseEndpoint(const RequestPtr& aRequest, routing::Outcome aOutcome)
{
  aRequest->attempt.isAssigned = false;
  aRequest->exchange->Task().send(
    aRequest->controllers.endpoint,
    CallFinished{ aRequest->attempt.ticket, aOutcome });
}

void
ReportTime(const RequestPtr& aRequest, routing::TimedPart aPart, Duration aTime)
{
  aRequest->exchange->Task().send(
    aRequest->controllers.endpoint,
    CallTimed{ aRequest->attempt.ticket, aPart, aTime });
}

void
ReportAnswerTime(const RequestPtr& aRequest)
{
  auto now = net::Now(aRequest->exchange->Task().GetRuntime());
  ReportTime(
    aRequest, routing::TimedPart::Answer, now - aRequest->attempt.startedAt);
}

void
SetEndpointLeaving(const RequestPtr& aRequest)
{
  aRequest->exchange->Task().send(
    aRequest->controllers.endpoint,
    EndpointLeaving{ aRequest->attempt.endpoint });
}

void
BlockEndpoint(const RequestPtr& aRequest, Duration aTime)
{
  aRequest->exchange->Task().send(
    aRequest->controllers.endpoint,
    EndpointBlocked{ aRequest->attempt.endpoint, aTime });
}

double
RetryAfterNoEndpoint(const Request& aRequest, double aDefault)
{
  return aRequest.endpointFreeAfter > Duration(0)
           ? ToSeconds(aRequest.endpointFreeAfter)
           : aDefault;
}

namespace {

// Returns whether the endpoint has begun to answer, also if the caller gets the
// answer only once it is whole.
bool
HasAnswerBegun(const Request& aRequest)
{
  return aRequest.exchange->IsAnswered() ||
         aRequest.usage.outputTokens > Tokens(0);
}

// Ends the request if its answer has not begun by the deadline. The timer holds
// a weak reference, since it outlives most requests.
void
ScheduleDeadline(const RequestPtr& aRequest)
{
  auto& task = aRequest->exchange->Task();
  auto now = net::Now(task.GetRuntime());
  task.After(
    *aRequest->deadline - now, [weak = std::weak_ptr<Request>(aRequest)] {
      auto request = weak.lock();
      if (!request || request->isFinished || HasAnswerBegun(*request)) {
        return;
      }
      bool mayHaveRun =
        request->ran != ExecutionState::NotRun || request->attempt.isAssigned;
      Refuse(request,
             { 504,
               "deadline",
               "the answer did not begin before its deadline",
               mayHaveRun ? ExecutionState::Unknown : ExecutionState::NotRun });
    });
}

} // namespace

Filter
MakeForward()
{
  return [](const RequestPtr& aRequest, const Next&) {
    // The deadline may have passed during the wait for admission or budget.
    if (aRequest->deadline &&
        net::Now(aRequest->exchange->Task().GetRuntime()) >=
          *aRequest->deadline) {
      Refuse(aRequest,
             { 504, "deadline", "the answer can't begin before its deadline" });
      return;
    }
    // Requests by a route table have a timer already.
    if (aRequest->deadline &&
        !std::holds_alternative<RoutedCall>(aRequest->call)) {
      ScheduleDeadline(aRequest);
    }
    if (std::holds_alternative<ChatCall>(aRequest->call)) {
      ForwardChat(aRequest);
    } else if (std::holds_alternative<RoutedCall>(aRequest->call)) {
      ForwardRouted(aRequest);
    } else {
      ForwardService(aRequest);
    }
  };
}

void
ContinueHolding(const RequestPtr& aRequest,
                std::size_t aBytes,
                std::function<void()> aOnRefused)
{
  aRequest->exchange->HoldBytes(
    aBytes,
    [aRequest,
     call = aRequest->attempt.upstream,
     refused = std::move(aOnRefused)](bool aMayHold) {
      if (aMayHold) {
        call.Continue();
      } else if (!aRequest->isFinished && aRequest->attempt.upstream == call) {
        refused();
      }
    });
}

} // namespace lycheestand::router
