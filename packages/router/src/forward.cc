#include "forward.h"

namespace lycheestand::router {

void
ChooseAndCall(const RequestPtr& aRequest,
              const ChooseEndpoint& aChoose,
              std::function<void(const Address&)> aCall,
              std::function<void()> aNone)
{
  aRequest->exchange->Task()
    .request(aRequest->controllers.endpoint, caf::infinite, aChoose)
    .then([aRequest, call = std::move(aCall), none = std::move(aNone)](
            EndpointChosen& aChosen) {
      if (!aChosen.endpoint) {
        none();
        return;
      }
      aRequest->endpoint = *aChosen.endpoint;
      aRequest->tried.insert(*aChosen.endpoint);
      aRequest->isAssigned = true;
      call(aChosen.address);
    });
}

void
RefuseNoEndpoint(const RequestPtr& aRequest)
{
  Refuse(aRequest,
         { 503,
           "no_endpoint",
           "no endpoint can take this request now",
           aRequest->ran,
           1 });
}

void
NoteFailure(const RequestPtr& aRequest, net::CallFailure aFailure)
{
  if (aFailure != net::CallFailure::NotSent) {
    aRequest->ran = RanState::Unknown;
  }
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
