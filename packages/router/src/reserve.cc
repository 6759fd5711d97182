#include "filter_chain.h"

namespace lycheestand::router {

namespace {

void
RefuseClaim(const RequestPtr& aRequest, budget::Refusal aReason)
{
  if (aReason == budget::Refusal::Exhausted) {
    Refuse(aRequest,
           { 402,
             "budget_exhausted",
             "the workspace's prepaid budget does not cover this request" });
    return;
  }
  Refuse(aRequest,
         { 503,
           "budget_unavailable",
           "no part of the workspace's budget could be had in time",
           RanState::NotRun,
           1 });
}

} // namespace

// Reserves an upper bound of what a chat call may use, before it is forwarded.
Filter
MakeReserve()
{
  return [](const RequestPtr& aRequest, Next aNext) {
    const auto* call = std::get_if<ChatCall>(&aRequest->call);
    if (call == nullptr) {
      aNext();
      return;
    }
    budget::Claim claim;
    claim.ticket = aRequest->ticket;
    claim.workspace = aRequest->workspace;
    claim.minimum = call->promptBound + call->minOutput;
    claim.wanted = call->promptBound + call->maxOutput;
    aRequest->hasClaim = true;
    aRequest->exchange->Task()
      .request(aRequest->controllers.budget, caf::infinite, Reserve{ claim })
      .then([aRequest, next = std::move(aNext)](ReserveReply& aReply) {
        if (aReply.refusal) {
          aRequest->hasClaim = false;
          RefuseClaim(aRequest, *aReply.refusal);
          return;
        }
        aRequest->reserved = aReply.tokens;
        next();
      });
  };
}

} // namespace lycheestand::router
