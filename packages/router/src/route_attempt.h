#ifndef LYCHEESTAND_ROUTER_SRC_ROUTE_ATTEMPT_H
#define LYCHEESTAND_ROUTER_SRC_ROUTE_ATTEMPT_H

// Attempts of a request that a table of routes serves: what whole answers and
// streams have in common.

#include "forward.h"

namespace lycheestand::router {

// Returns the limits of a call for a route's request.
net::CallOptions
MakeCallOptions(const routes::Route& aRoute);

// Chooses an endpoint and calls it. If there is none, or the retry budget is
// used up, aOnNone runs.
void
AttemptRouted(const RequestPtr& aRequest,
              std::optional<std::uint64_t> aLastEvent,
              net::CallOptions aOptions,
              net::CallObserver aObserver,
              std::function<void()> aOnNone);

// Returns whether one more endpoint may be tried.
bool
MayTryAgain(const Request& aRequest);

// Returns how an endpoint's answer counts for the choice of endpoints.
routing::Outcome
OutcomeOf(const AnswerDescription& aAnswer, unsigned aStatus);

// Returns whether an answer belongs to a request and can be passed on.
bool
IsAnswerTo(const AnswerDescription& aAnswer,
           const RequestId& aRequest,
           unsigned aStatus);

// Reads the head of an answer and passes its load on. Returns nothing if the
// answer belongs to another request.
std::optional<AnswerDescription>
ReadHead(const RequestPtr& aRequest, const net::CallHead& aHead);

// Notes how the current attempt ended and logs it.
void
EndAttempt(const RequestPtr& aRequest,
           routing::Outcome aOutcome,
           bool aIsGone,
           const std::string& aReason);

// Notes a call that failed. One that did not reach an endpoint is not counted
// as an attempt.
void
EndFailedAttempt(const RequestPtr& aRequest,
                 net::CallFailure aFailure,
                 const std::string& aReason);

// Answers a request for which no endpoint is left to try.
void
RefuseRouted(const RequestPtr& aRequest, const std::string& aReason);

// Forwards a request whose answer is passed on when it is whole.
void
ForwardWhole(const RequestPtr& aRequest);

// Forwards a request whose answer is a stream of events.
void
ForwardEvents(const RequestPtr& aRequest);

} // namespace lycheestand::router

#endif
