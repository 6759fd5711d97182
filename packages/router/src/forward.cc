#include "forward.h"

namespace lycheestand::router {

void
ChooseAndCall(const RequestPtr& aRequest,
              const ChooseEndpoint& aChoose,
              std::function<void(const Address&)> aCall)
{
  aRequest->exchange->Task()
    .request(aRequest->controllers.endpoint, caf::infinite, aChoose)
    .then([aRequest, call = std::move(aCall)](EndpointChosen& aChosen) {
      if (!aChosen.endpoint) {
        Refuse(aRequest,
               { 503,
                 "no_endpoint",
                 "no endpoint can take this request now",
                 RanState::NotRun,
                 1 });
        return;
      }
      aRequest->endpoint = *aChosen.endpoint;
      aRequest->tried.insert(*aChosen.endpoint);
      aRequest->isAssigned = true;
      call(aChosen.address);
    });
}

void
ReleaseEndpoint(const RequestPtr& aRequest, bool aSucceeded, bool aLeaving)
{
  aRequest->isAssigned = false;
  aRequest->exchange->Task().send(
    aRequest->controllers.endpoint,
    CallFinished{ aRequest->ticket, aSucceeded, aLeaving });
}

Filter
MakeForward()
{
  return [](const RequestPtr& aRequest, const Next&) {
    if (std::holds_alternative<ChatCall>(aRequest->call)) {
      ForwardChat(aRequest);
    } else {
      ForwardService(aRequest);
    }
  };
}

} // namespace lycheestand::router
