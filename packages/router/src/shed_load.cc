#include "filter_chain.h"

namespace lycheestand::router {

namespace {

// Retry-After of an overloaded router; other routers can serve the request at
// once.
constexpr double kOverloadedRetrySeconds = 0.02;

} // namespace

// An early refusal costs a small part of what serving the request would. It is
// for connections that are kept: new ones are refused before that.
Filter
MakeShedLoad(std::function<bool()> aAccepts)
{
  return [accepts = std::move(aAccepts)](const RequestPtr& aRequest,
                                         const Next& aNext) {
    if (accepts()) {
      aNext();
      return;
    }
    Refuse(aRequest,
           { 503,
             "router_overloaded",
             "this router gets more requests than it can serve; send it to "
             "another router",
             ExecutionState::NotRun,
             kOverloadedRetrySeconds });
  };
}

} // namespace lycheestand::router
