#include "filter_chain.h"

namespace lycheestand::router {

namespace {

// Pause before a caller asks again: by then it has asked for addresses anew,
// and is sent to a router that is in touch with control.
constexpr double kNoGrantRetrySeconds = 1;

// Tokens that a request uses at least, if it is to be of use, and at most.
struct Need
{
  Tokens least;
  Tokens most;
};

// Returns what a request needs of its workspace's budget, if anything.
std::optional<Need>
FindNeed(const Request& aRequest)
{
  if (const auto* chat = std::get_if<ChatCall>(&aRequest.call)) {
    return Need{ chat->promptBound + chat->minOutput,
                 chat->promptBound + chat->maxOutput };
  }
  if (const auto* routed = std::get_if<RoutedCall>(&aRequest.call)) {
    const auto& description = routed->description;
    Tokens most = description.promptTokens + description.maxOutput;
    if (most > Tokens(0) && !aRequest.workspace.Get().empty()) {
      return Need{ most, most };
    }
  }
  return std::nullopt;
}

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
           ExecutionState::NotRun,
           kNoGrantRetrySeconds });
}

} // namespace

// Reserves an upper bound of what a chat call may use, before it is forwarded.
Filter
MakeReserve()
{
  return [](const RequestPtr& aRequest, Next aNext) {
    auto need = FindNeed(*aRequest);
    if (!need) {
      aNext();
      return;
    }
    budget::Claim claim;
    claim.ticket = aRequest->ticket;
    claim.workspace = aRequest->workspace;
    claim.minimum = need->least;
    claim.wanted = need->most;
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
