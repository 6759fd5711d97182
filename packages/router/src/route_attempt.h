#ifndef LYCHEESTAND_ROUTER_SRC_ROUTE_ATTEMPT_H
#define LYCHEESTAND_ROUTER_SRC_ROUTE_ATTEMPT_H

// Attempts of a request that is served by a route table: the parts that
// buffered and streamed answers have in common.

#include "forward.h"

namespace lycheestand::router {

// Returns the options for a call of a route's request.
net::CallOptions
MakeCallOptions(const routes::Route& aRoute);

// Chooses an endpoint and calls it. With aLastEvent the endpoint resumes the
// stream after that event. Calls aOnNoEndpoint if there is no endpoint or the
// retry budget is used up.
void
StartAttempt(const RequestPtr& aRequest,
             std::optional<std::uint64_t> aLastEvent,
             net::CallOptions aOptions,
             net::CallObserver aObserver,
             std::function<void()> aOnNoEndpoint);

// Returns whether the request may try one more endpoint.
bool
CanRetry(const Request& aRequest);

// Returns the outcome that an endpoint's answer counts as in later choices of
// an endpoint.
routing::Outcome
OutcomeOf(const AnswerDescription& aAnswer, unsigned aStatus);

// Returns whether an answer belongs to the request and may be passed on.
bool
IsAnswerTo(const AnswerDescription& aAnswer,
           const RequestId& aRequest,
           unsigned aStatus);

// Parses the head of an answer and tells the endpoint controller what it says
// of the endpoint. Returns nothing if IsAnswerTo is false.
std::optional<AnswerDescription>
ReadAnswerHead(const RequestPtr& aRequest, const net::CallHead& aHead);

// Ends the current attempt with its outcome; logs it if it did not succeed.
void
EndAttempt(const RequestPtr& aRequest,
           routing::Outcome aOutcome,
           const std::string& aReason);

// Ends the current attempt after a failed call. A call that did not reach its
// endpoint is not counted as an attempt.
void
EndFailedAttempt(const RequestPtr& aRequest,
                 net::CallFailure aFailure,
                 const std::string& aReason);

// Refuses a request for which no endpoint is left to try.
void
RefuseRouted(const RequestPtr& aRequest, const std::string& aReason);

// Forwards a request whose answer is buffered and passed on when complete.
void
ForwardBuffered(const RequestPtr& aRequest);

// Forwards a request whose answer is a stream of events.
void
ForwardEvents(const RequestPtr& aRequest);

} // namespace lycheestand::router

#endif
