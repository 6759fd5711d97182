#ifndef LYCHEESTAND_ROUTER_SRC_FORWARD_H
#define LYCHEESTAND_ROUTER_SRC_FORWARD_H

// The last filter: forwards a request to an endpoint and returns the answer to
// the caller.

#include "filter_chain.h"

namespace lycheestand::router {

// Endpoints that one request of the project's own interface may try.
inline constexpr std::size_t kMaxAttempts = 3;

// Set by an endpoint of the project's own interface that is leaving.
inline constexpr const char* kLeavingHeader = "X-Endpoint-Leaving";

// Largest body of an error answer to a stream's request, and largest event of a
// stream. An endpoint in trouble may send bytes without end.
inline constexpr std::size_t kMaxErrorBodyBytes = 64 * 1024;
inline constexpr std::size_t kMaxEventBytes = 1024 * 1024;

// Reason of an attempt that ended because the router may not hold its answer.
inline constexpr const char* kNoMemoryReason =
  "there is no memory for an answer of this size now";

// Chooses an endpoint that the request has not tried and calls aCall with its
// address. Calls aOnNoEndpoint if there is none or the retry budget is used up.
void
ChooseAndCall(const RequestPtr& aRequest,
              routing::Query aQuery,
              std::function<void(const Address&)> aCall,
              std::function<void()> aOnNoEndpoint);

// Refuses a request for which there is no endpoint.
void
RefuseNoEndpoint(const RequestPtr& aRequest);

// Records that a failed call may have run at its endpoint, unless it was not
// sent.
void
RecordFailure(const RequestPtr& aRequest, net::CallFailure aFailure);

// Called when the first part of an answer that may be resumed is passed on:
// later attempts must be at endpoints of the same version. If the caller may
// take the stream up, the stream controller keeps its version.
void
BeginStream(const RequestPtr& aRequest);

// Logs and counts that a stream ends since there is no endpoint of its version,
// if that is why the last choice found none.
void
ReportLackOfVersion(const Request& aRequest);

// Refuses a request that did not run, since there is no endpoint of the version
// that has begun its stream.
void
RefuseNoEndpointOfVersion(const RequestPtr& aRequest);

// Tells the endpoint controller how the call ended.
void
ReleaseEndpoint(const RequestPtr& aRequest, routing::Outcome aOutcome);

// Tells the endpoint controller a time of the current attempt. Only times of
// successful answers may be reported, since an endpoint that fails at once must
// not look fast.
void
ReportTime(const RequestPtr& aRequest,
           routing::TimedPart aPart,
           Duration aTime);

// Reports the time from sending the current attempt until now, when its answer
// or its first event arrives.
void
ReportAnswerTime(const RequestPtr& aRequest);

// Tells the endpoint controller that the endpoint of the current attempt has
// announced that it is leaving. Called as soon as the head of an answer says
// so, since a stream may go on for long.
void
SetEndpointLeaving(const RequestPtr& aRequest);

// Tells the endpoint controller that the endpoint of the current attempt wants
// no requests for this time. Called with the head of its answer.
void
BlockEndpoint(const RequestPtr& aRequest, Duration aTime);

// Returns the Retry-After in seconds for a request that got no endpoint: the
// time until one takes requests again, or aDefault if that is not known.
double
RetryAfterNoEndpoint(const Request& aRequest, double aDefault);

// Continues the call of the current attempt once the router may hold this many
// bytes of its answer. Calls aOnRefused instead if it may not and the call is
// still in progress.
void
ContinueHolding(const RequestPtr& aRequest,
                std::size_t aBytes,
                std::function<void()> aOnRefused);

// Forwards a chat call.
void
ForwardChat(const RequestPtr& aRequest);

// Forwards a request that is served by a route table.
void
ForwardRouted(const RequestPtr& aRequest);

// Forwards a call to a plain service.
void
ForwardService(const RequestPtr& aRequest);

} // namespace lycheestand::router

#endif
