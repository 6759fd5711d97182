#include "route_attempt.h"

namespace lycheestand::router {

namespace {

// Buffers an answer and passes it on when it is complete, so that a repeatable
// request can be retried if the answer is interrupted.
class BufferedForward : public std::enable_shared_from_this<BufferedForward>
{
public:
  explicit BufferedForward(RequestPtr aRequest)
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
      self->HandleHead(aHead);
    };
    observer.onBody = [self](const std::string& aChunk) {
      self->HandleBody(aChunk);
    };
    observer.onEnd = [self] { self->HandleEnd(); };
    observer.onFailure = [self](net::CallFailure aFailure,
                                const std::string& aReason) {
      self->HandleFailure(aFailure, aReason);
    };
    StartAttempt(this->request,
                 this->call.description.lastEvent,
                 MakeCallOptions(*this->call.route),
                 std::move(observer),
                 [self] { self->End(); });
  }

private:
  void HandleHead(const net::CallHead& aHead)
  {
    this->response.status = aHead.status;
    this->response.headers =
      this->call.protocol->selectEndToEndHeaders(aHead.headers);
    this->answer = ReadAnswerHead(this->request, aHead);
    if (!this->answer) {
      this->request->attempt.upstream.Cancel();
      this->HandleFailure(net::CallFailure::Interrupted,
                          "the answer does not belong to this request");
    } else if (aHead.status >= 200 && aHead.status < 300) {
      ReportAnswerTime(this->request);
    }
  }

  void HandleBody(const std::string& aChunk)
  {
    this->response.body += aChunk;
    std::size_t kept =
      this->keptErrorAnswer ? this->keptErrorAnswer->body.size() : 0;
    ContinueHolding(this->request,
                    this->response.body.size() + kept,
                    [self = this->shared_from_this()] {
                      self->request->attempt.upstream.Cancel();
                      self->HandleFailure(net::CallFailure::Interrupted,
                                          kNoMemoryReason);
                    });
  }

  void HandleEnd()
  {
    const auto outcome = OutcomeOf(*this->answer, this->response.status);
    if (!this->answer->isNotRun) {
      this->request->ran = ExecutionState::Ran;
    }
    EndAttempt(this->request,
               outcome,
               "status " + std::to_string(this->response.status));
    if (this->answer->isNotRun) {
      this->TryAgain("the endpoint did not run the request");
    } else if (outcome == routing::Outcome::Failed &&
               this->call.route->isRepeatable && CanRetry(*this->request)) {
      this->keptErrorAnswer = std::move(this->response);
      this->TryAgain("the endpoint failed");
    } else {
      this->Deliver(std::move(this->response));
    }
  }

  void HandleFailure(net::CallFailure aFailure, const std::string& aReason)
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
    if (CanRetry(*this->request)) {
      this->Start();
    } else {
      this->End();
    }
  }

  // Ends a request for which no endpoint is left. The last error answer of an
  // endpoint is passed on if there is one.
  void End()
  {
    if (this->keptErrorAnswer) {
      this->Deliver(std::move(*this->keptErrorAnswer));
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
  // An endpoint's error answer, kept while another endpoint is tried.
  std::optional<net::HttpResponse> keptErrorAnswer;
  std::string lastReason = "no endpoint is available for this request";
};

} // namespace

void
ForwardBuffered(const RequestPtr& aRequest)
{
  std::make_shared<BufferedForward>(aRequest)->Start();
}

} // namespace lycheestand::router
