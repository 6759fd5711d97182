#include "filter_chain.h"

#include <cmath>

namespace lycheestand::router {

namespace {

// Tokens that a request needs to be worth forwarding, and the most it may use.
struct TokenNeed
{
  Tokens minimum;
  Tokens maximum;
};

// Returns the tokens that a request needs from its workspace's budget, if any.
std::optional<TokenNeed>
FindTokenNeed(const Request& aRequest)
{
  if (const auto* chat = std::get_if<ChatCall>(&aRequest.call)) {
    return TokenNeed{ chat->maxPromptTokens + chat->minOutput,
                      chat->maxPromptTokens + chat->maxOutput };
  }
  if (const auto* routed = std::get_if<RoutedCall>(&aRequest.call)) {
    const auto& description = routed->description;
    Tokens maximum = description.promptTokens + description.maxOutput;
    if (maximum > Tokens(0) && !aRequest.workspace.Get().empty()) {
      return TokenNeed{ maximum, maximum };
    }
  }
  return std::nullopt;
}

const char*
ExplainUnavailable(budget::Refusal aReason)
{
  switch (aReason) {
    case budget::Refusal::Offline:
      return "this router holds too few tokens of the workspace's budget and "
             "has no contact with control";
    case budget::Refusal::NoReply:
      return "this router got no tokens of the workspace's budget in time: "
             "control has not replied";
    case budget::Refusal::NoFreeTokens:
    case budget::Refusal::Exhausted:
      break;
  }
  return "this router got no tokens of the workspace's budget in time: other "
         "routers hold them";
}

void
RefuseClaim(const RequestPtr& aRequest,
            budget::Refusal aReason,
            Duration aRetryAfter)
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
           ExplainUnavailable(aReason),
           ExecutionState::NotRun,
           std::ceil(ToSeconds(aRetryAfter)) });
}

} // namespace

// Reserves an upper bound of the tokens that a request may use, before it is
// forwarded.
Filter
MakeReserve()
{
  return [](const RequestPtr& aRequest, Next aNext) {
    auto need = FindTokenNeed(*aRequest);
    if (!need) {
      aNext();
      return;
    }
    budget::Claim claim;
    claim.ticket = aRequest->ticket;
    claim.workspace = aRequest->workspace;
    claim.minimum = need->minimum;
    claim.wanted = need->maximum;
    aRequest->hasClaim = true;
    aRequest->exchange->Task()
      .request(aRequest->controllers.budget, caf::infinite, Reserve{ claim })
      .then([aRequest, next = std::move(aNext)](ReserveReply& aReply) {
        if (aReply.refusal) {
          aRequest->hasClaim = false;
          RefuseClaim(aRequest, *aReply.refusal, aReply.retryAfter);
          return;
        }
        aRequest->reserved = aReply.tokens;
        next();
      });
  };
}

} // namespace lycheestand::router
