#ifndef LYCHEESTAND_ROUTER_SRC_FORWARD_H
#define LYCHEESTAND_ROUTER_SRC_FORWARD_H

// The last filter: sends a request to an endpoint and the answer back.

#include "filter_chain.h"

namespace lycheestand::router {

// Endpoints that one request may try.
inline constexpr std::size_t kMaxAttempts = 3;

// Chooses an endpoint that the request has not tried and passes its address on.
// If there is none, or the retry budget is used up, aOnNone runs.
void
ChooseAndCall(const RequestPtr& aRequest,
              routing::Query aQuery,
              std::function<void(const Address&)> aCall,
              std::function<void()> aOnNone);

// Refuses a request for which no endpoint is left.
void
RefuseNoEndpoint(const RequestPtr& aRequest);

// Notes that a call which failed may have run at its endpoint.
void
NoteFailure(const RequestPtr& aRequest, net::CallFailure aFailure);

// Tells the endpoint controller how the call ended.
void
ReleaseEndpoint(const RequestPtr& aRequest,
                routing::Outcome aOutcome,
                bool aLeaving);

// Forwards a chat call.
void
ForwardChat(const RequestPtr& aRequest);

// Forwards a request that a table of routes serves.
void
ForwardRouted(const RequestPtr& aRequest);

// Forwards a call of a plain service.
void
ForwardService(const RequestPtr& aRequest);

} // namespace lycheestand::router

#endif
