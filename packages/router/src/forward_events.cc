#include "event_stream.h"
#include "route_attempt.h"

namespace lycheestand::router {

namespace {

// A stream that can go on elsewhere does so when its endpoint is silent for
// this many times what the caller expects, and for at least this long.
constexpr int kSilenceFactor = 4;
constexpr Duration kLeastSilence = std::chrono::milliseconds(1200);

Duration
SilenceLimit(Milliseconds aExpected)
{
  return std::max<Duration>(aExpected * kSilenceFactor, kLeastSilence);
}

// Passes the events of a stream on as they become whole. When the endpoint
// breaks off, a resumable stream goes on at another one after the last event
// that was passed on, within the same answer.
class EventsForward : public std::enable_shared_from_this<EventsForward>
{
public:
  explicit EventsForward(RequestPtr aRequest)
    : request(std::move(aRequest))
    , call(std::get<RoutedCall>(this->request->call))
    , lastEvent(this->call.description.lastEvent)
  {
  }

  void Start()
  {
    auto self = this->shared_from_this();
    this->answer.reset();
    this->events = {};
    this->failure = {};
    net::CallObserver observer;
    observer.onHead = [self](const net::CallHead& aHead) {
      self->TakeHead(aHead);
    };
    observer.onBody = [self](const std::string& aPiece) {
      self->TakePiece(aPiece);
    };
    observer.onEnd = [self] { self->TakeEnd(); };
    observer.onFailure = [self](net::CallFailure aFailure,
                                const std::string& aReason) {
      self->TakeFailure(aFailure, aReason);
    };
    AttemptRouted(this->request,
                  this->lastEvent,
                  this->MakeOptions(),
                  std::move(observer),
                  [self] { self->EndWithout(self->lastReason); });
  }

private:
  // An endpoint's silence ends an attempt only if another one may follow.
  net::CallOptions MakeOptions() const
  {
    const auto& route = *this->call.route;
    net::CallOptions options = MakeCallOptions(route);
    if (route.isResumable && this->request->arrivals + 1 < route.maxAttempts) {
      options.answerTimeout = SilenceLimit(route.latencyTarget);
      options.idleTimeout = SilenceLimit(route.gapTarget);
    }
    return options;
  }

  bool IsSuccess() const { return this->status >= 200 && this->status < 300; }

  void TakeHead(const net::CallHead& aHead)
  {
    this->status = aHead.status;
    this->answer = ReadHead(this->request, aHead);
    if (!this->answer) {
      this->request->upstream.Cancel();
      this->TakeFailure(net::CallFailure::Interrupted,
                        "the answer is not to this request");
      return;
    }
    auto headers = this->call.protocol->keepEndToEnd(aHead.headers);
    if (!this->IsSuccess()) {
      this->failure.status = aHead.status;
      this->failure.headers = std::move(headers);
      return;
    }
    this->request->ran = ExecutionState::Unknown;
    this->request->usage.promptTokens = this->call.description.promptTokens;
    // The answer keeps the head of the first endpoint that it came from.
    if (this->headers.empty()) {
      this->firstStatus = this->status;
      this->headers = std::move(headers);
    }
  }

  void TakePiece(const std::string& aPiece)
  {
    if (!this->IsSuccess()) {
      this->failure.body += aPiece;
      this->request->upstream.Continue();
      return;
    }
    std::string ready;
    for (auto& event : this->events.Feed(aPiece)) {
      switch (CheckOrder(this->lastEvent, event)) {
        case EventStep::Deliver:
          this->Count(event);
          ready += event.bytes;
          break;
        case EventStep::Skip:
          break;
        case EventStep::Gap:
          this->Write(std::move(ready));
          this->request->upstream.Cancel();
          this->TakeFailure(net::CallFailure::Interrupted,
                            "events are missing");
          return;
      }
    }
    if (ready.empty()) {
      this->request->upstream.Continue();
    } else {
      this->Write(std::move(ready));
    }
  }

  void Count(const StreamedEvent& aEvent)
  {
    if (aEvent.id) {
      this->lastEvent = aEvent.id;
    }
    auto& usage = this->request->usage;
    usage.outputTokens =
      std::min(usage.outputTokens + this->call.tokensPerEvent,
               this->call.description.maxOutput);
  }

  void StartAnswer()
  {
    auto& exchange = *this->request->exchange;
    if (!exchange.IsAnswered()) {
      this->request->status = this->firstStatus;
      this->request->answerAt = net::Now(exchange.Task().GetRuntime());
      exchange.StartStream(this->firstStatus, this->headers);
    }
  }

  void Write(std::string aBytes)
  {
    if (aBytes.empty()) {
      return;
    }
    this->StartAnswer();
    this->request->exchange->WriteStream(
      std::move(aBytes),
      [self = this->shared_from_this(), handle = this->request->upstream] {
        if (!self->request->isFinished) {
          handle.Continue();
        }
      });
  }

  void TakeEnd()
  {
    if (!this->IsSuccess()) {
      this->TakeRefusal();
      return;
    }
    EndAttempt(this->request, routing::Outcome::Succeeded, false, "");
    this->request->ran = ExecutionState::Ran;
    this->Write(this->events.Rest());
    this->StartAnswer();
    this->request->exchange->EndStream();
    FinishRequest(this->request);
  }

  // The endpoint answered with another status than success.
  void TakeRefusal()
  {
    EndAttempt(this->request,
               OutcomeOf(*this->answer, this->status),
               this->answer->isOtherEndpoint,
               "status " + std::to_string(this->status));
    if (this->answer->isNotRun) {
      this->TryAgain("the endpoint did not run the request");
      return;
    }
    this->request->ran = ExecutionState::Unknown;
    this->kept = std::move(this->failure);
    if (this->status >= 500 && this->call.route->isResumable) {
      this->TryAgain("the endpoint failed");
    } else {
      this->EndWithout("the endpoint failed");
    }
  }

  void TakeFailure(net::CallFailure aFailure, const std::string& aReason)
  {
    EndFailedAttempt(this->request, aFailure, aReason);
    if (aFailure != net::CallFailure::NotSent) {
      this->request->usage.promptTokens = this->call.description.promptTokens;
    }
    if (aFailure == net::CallFailure::NotSent ||
        this->call.route->isResumable) {
      this->TryAgain("the endpoint's answer broke off: " + aReason);
    } else {
      this->EndWithout("the endpoint's answer broke off: " + aReason);
    }
  }

  void TryAgain(const std::string& aReason)
  {
    this->lastReason = aReason;
    if (MayTryAgain(*this->request)) {
      this->Start();
    } else {
      this->EndWithout(aReason);
    }
  }

  // Ends the request without the rest of its answer. A stream that has begun is
  // cut, so that the caller sees that it is not whole.
  void EndWithout(const std::string& aReason)
  {
    auto& exchange = *this->request->exchange;
    if (exchange.IsAnswered()) {
      this->request->outcome = "broken_stream";
      exchange.Abort();
      FinishRequest(this->request);
    } else if (this->kept) {
      this->request->status = this->kept->status;
      exchange.Respond(std::move(*this->kept));
      FinishRequest(this->request);
    } else {
      RefuseRouted(this->request, aReason);
    }
  }

  RequestPtr request;
  const RoutedCall& call;
  // The last event that was passed on, or that the caller has.
  std::optional<std::uint64_t> lastEvent;
  EventSplitter events;
  std::optional<AnswerDescription> answer;
  // Status of the current attempt, and of the answer to the caller.
  unsigned status = 0;
  unsigned firstStatus = 200;
  net::Headers headers;
  // An endpoint's answer of another status than success.
  net::HttpResponse failure;
  std::optional<net::HttpResponse> kept;
  std::string lastReason = "no endpoint can take this request now";
};

} // namespace

void
ForwardEvents(const RequestPtr& aRequest)
{
  std::make_shared<EventsForward>(aRequest)->Start();
}

} // namespace lycheestand::router
