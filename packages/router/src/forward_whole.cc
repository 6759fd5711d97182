#include "route_attempt.h"

namespace lycheestand::router {

namespace {

// Passes one answer on when it is whole, so that one that breaks off can be
// asked for again where the request may be repeated.
class WholeForward : public std::enable_shared_from_this<WholeForward>
{
public:
  explicit WholeForward(RequestPtr aRequest)
    : request(std::move(aRequest))
    , call(std::get<RoutedCall>(this->request->call))
  {
  }

  void Start()
  {
    auto self = this->shared_from_this();
    this->answer.reset();
    this->response = {};
    net::CallObserver observer;
    observer.onHead = [self](const net::CallHead& aHead) {
      self->TakeHead(aHead);
    };
    observer.onBody = [self](const std::string& aPiece) {
      self->response.body += aPiece;
      self->request->upstream.Continue();
    };
    observer.onEnd = [self] { self->TakeEnd(); };
    observer.onFailure = [self](net::CallFailure aFailure,
                                const std::string& aReason) {
      self->TakeFailure(aFailure, aReason);
    };
    AttemptRouted(this->request,
                  this->call.description.lastEvent,
                  MakeCallOptions(*this->call.route),
                  std::move(observer),
                  [self] { self->End(); });
  }

private:
  void TakeHead(const net::CallHead& aHead)
  {
    this->response.status = aHead.status;
    this->response.headers = this->call.protocol->keepEndToEnd(aHead.headers);
    this->answer = ReadHead(this->request, aHead);
    if (!this->answer) {
      this->request->upstream.Cancel();
      this->TakeFailure(net::CallFailure::Interrupted,
                        "the answer is not to this request");
    }
  }

  void TakeEnd()
  {
    const auto outcome = OutcomeOf(*this->answer, this->response.status);
    if (!this->answer->isNotRun) {
      this->request->ran = ExecutionState::Ran;
    }
    EndAttempt(this->request,
               outcome,
               this->answer->isOtherEndpoint,
               "status " + std::to_string(this->response.status));
    if (this->answer->isNotRun) {
      this->TryAgain("the endpoint did not run the request");
    } else if (outcome == routing::Outcome::Failed &&
               this->call.route->isRepeatable && MayTryAgain(*this->request)) {
      this->kept = std::move(this->response);
      this->TryAgain("the endpoint failed");
    } else {
      this->Deliver(std::move(this->response));
    }
  }

  void TakeFailure(net::CallFailure aFailure, const std::string& aReason)
  {
    EndFailedAttempt(this->request, aFailure, aReason);
    if (aFailure == net::CallFailure::NotSent ||
        this->call.route->isRepeatable) {
      this->TryAgain("the endpoint did not answer: " + aReason);
    } else {
      RefuseRouted(this->request, "the endpoint did not answer: " + aReason);
    }
  }

  void TryAgain(const std::string& aReason)
  {
    this->lastReason = aReason;
    if (MayTryAgain(*this->request)) {
      this->Start();
    } else {
      this->End();
    }
  }

  // An endpoint's own failure is passed on if no other answer came.
  void End()
  {
    if (this->kept) {
      this->Deliver(std::move(*this->kept));
    } else {
      RefuseRouted(this->request, this->lastReason);
    }
  }

  void Deliver(net::HttpResponse aResponse)
  {
    this->request->status = aResponse.status;
    this->request->exchange->Respond(std::move(aResponse));
    FinishRequest(this->request);
  }

  RequestPtr request;
  const RoutedCall& call;
  std::optional<AnswerDescription> answer;
  net::HttpResponse response;
  // An endpoint's failure, while another endpoint is tried.
  std::optional<net::HttpResponse> kept;
  std::string lastReason = "no endpoint can take this request now";
};

} // namespace

void
ForwardWhole(const RequestPtr& aRequest)
{
  std::make_shared<WholeForward>(aRequest)->Start();
}

} // namespace lycheestand::router
