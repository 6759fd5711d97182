#include "event_stream.h"
#include "route_attempt.h"

namespace lycheestand::router {

namespace {

// A resumable stream is resumed at another endpoint when its endpoint sends no
// data for this multiple of the route's target time, and for at least
// kMinSilence.
constexpr int kSilenceFactor = 4;
constexpr Duration kMinSilence = std::chrono::milliseconds(1200);

Duration
SilenceLimit(Milliseconds aExpected)
{
  return std::max<Duration>(aExpected * kSilenceFactor, kMinSilence);
}

// Events that are written to the caller later than this may have delayed the
// next ones, which are read only then.
constexpr Duration kSlowWrite = std::chrono::milliseconds(50);

// Passes the events of a stream on as they become complete. If the stream is
// interrupted and resumable, another endpoint resumes it after the last event
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
    this->errorAnswer = {};
    this->isTimed = false;
    this->gaps.Discard();
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
                 this->lastEvent,
                 this->MakeOptions(),
                 std::move(observer),
                 [self] { self->EndIncomplete(self->lastReason); });
  }

private:
  // A silent endpoint ends an attempt only if another attempt may follow.
  net::CallOptions MakeOptions() const
  {
    const auto& route = *this->call.route;
    net::CallOptions options = MakeCallOptions(route);
    if (route.isResumable && this->request->attempts + 1 < route.maxAttempts) {
      options.responseTimeout = SilenceLimit(route.latencyTarget);
      options.idleTimeout = SilenceLimit(route.gapTarget);
    }
    return options;
  }

  bool IsSuccess() const { return this->status >= 200 && this->status < 300; }

  void HandleHead(const net::CallHead& aHead)
  {
    this->status = aHead.status;
    this->answer = ReadAnswerHead(this->request, aHead);
    if (!this->answer) {
      this->Cancel("the answer does not belong to this request");
      return;
    }
    this->isFramed = !EndsWithConnection(aHead.status, aHead.headers);
    auto headers = this->call.protocol->selectEndToEndHeaders(aHead.headers);
    if (!this->IsSuccess()) {
      this->errorAnswer.status = aHead.status;
      this->errorAnswer.headers = std::move(headers);
      return;
    }
    this->request->ran = ExecutionState::Unknown;
    this->request->usage.promptTokens = this->call.description.promptTokens;
    // The caller's answer has the head of the first endpoint that answered.
    if (this->headers.empty()) {
      this->firstStatus = this->status;
      this->headers = std::move(headers);
    }
  }

  void HandleBody(const std::string& aChunk)
  {
    if (!this->IsSuccess()) {
      this->errorAnswer.body += aChunk;
      if (this->errorAnswer.body.size() > kMaxErrorBodyBytes) {
        this->Cancel("the error answer is too large");
      } else {
        this->request->attempt.upstream.Continue();
      }
      return;
    }
    std::string ready;
    std::size_t delivered = 0;
    for (auto& event : this->events.Feed(aChunk)) {
      switch (CheckOrder(this->lastEvent, event)) {
        case EventAction::Deliver:
          this->Count(event);
          ready += event.bytes;
          ++delivered;
          break;
        case EventAction::Skip:
          break;
        case EventAction::Gap:
          this->Write(std::move(ready));
          this->Cancel("events are missing");
          return;
      }
    }
    this->ReportTimes(delivered);
    if (this->events.Remainder().size() > kMaxEventBytes) {
      this->Write(std::move(ready));
      this->Cancel("an event is too large");
      return;
    }
    if (ready.empty()) {
      ContinueHolding(
        this->request,
        this->events.Remainder().size(),
        [self = this->shared_from_this()] { self->Cancel(kNoMemoryReason); });
    } else {
      this->Write(std::move(ready));
    }
  }

  TimePoint Time() const
  {
    return net::Now(this->request->exchange->Task().GetRuntime());
  }

  // Reports the time until the attempt's first event, and then the gaps.
  void ReportTimes(std::size_t aEvents)
  {
    if (aEvents == 0) {
      return;
    }
    if (!this->isTimed) {
      this->isTimed = true;
      ReportAnswerTime(this->request);
    }
    if (auto gap = this->gaps.Add(aEvents, this->Time())) {
      ReportTime(this->request, routing::TimedPart::Gap, *gap);
    }
  }

  void Cancel(const std::string& aReason)
  {
    this->request->attempt.upstream.Cancel();
    this->HandleFailure(net::CallFailure::Interrupted, aReason);
  }

  void Count(const RawEvent& aEvent)
  {
    this->hasEvents = true;
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
      this->request->answerStartedAt = this->Time();
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
      [self = this->shared_from_this(),
       handle = this->request->attempt.upstream,
       startedAt = this->Time()] {
        if (!self->request->isFinished) {
          if (self->Time() - startedAt > kSlowWrite) {
            self->gaps.Discard();
          }
          handle.Continue();
        }
      });
  }

  void HandleEnd()
  {
    if (!this->IsSuccess()) {
      this->HandleErrorAnswer();
      return;
    }
    if (this->IsBrokenOff()) {
      this->HandleFailure(net::CallFailure::Interrupted,
                          "the stream ended inside an event or before it");
      return;
    }
    EndAttempt(this->request, routing::Outcome::Succeeded, "");
    this->request->ran = ExecutionState::Ran;
    this->Write(this->events.Remainder());
    this->StartAnswer();
    this->request->exchange->EndStream();
    FinishRequest(this->request);
  }

  // A stream with neither a length nor chunks ends with its connection, also if
  // its endpoint has crashed. Only the events tell whether it is complete.
  bool IsBrokenOff() const
  {
    bool hasNoEvent = !this->isFramed && !this->lastEvent && !this->hasEvents;
    return hasNoEvent || this->events.IsInsideEvent();
  }

  // Handles a complete answer whose status is not a success.
  void HandleErrorAnswer()
  {
    EndAttempt(this->request,
               OutcomeOf(*this->answer, this->status),
               "status " + std::to_string(this->status));
    if (this->answer->isNotRun) {
      this->TryAgain("the endpoint did not run the request");
      return;
    }
    this->request->ran = ExecutionState::Unknown;
    this->keptErrorAnswer = std::move(this->errorAnswer);
    if (this->status >= 500 && this->call.route->isResumable) {
      this->TryAgain("the endpoint failed");
    } else {
      this->EndIncomplete("the endpoint failed");
    }
  }

  void HandleFailure(net::CallFailure aFailure, const std::string& aReason)
  {
    EndFailedAttempt(this->request, aFailure, aReason);
    if (aFailure != net::CallFailure::NotSent) {
      this->request->usage.promptTokens = this->call.description.promptTokens;
    }
    if (aFailure == net::CallFailure::NotSent ||
        this->call.route->isResumable) {
      this->TryAgain("the endpoint's answer was interrupted: " + aReason);
    } else {
      this->EndIncomplete("the endpoint's answer was interrupted: " + aReason);
    }
  }

  void TryAgain(const std::string& aReason)
  {
    this->lastReason = aReason;
    if (CanRetry(*this->request)) {
      this->Start();
    } else {
      this->EndIncomplete(aReason);
    }
  }

  // Ends the request although its answer is incomplete. A stream that has begun
  // is aborted, so that the caller notices that it is incomplete.
  void EndIncomplete(const std::string& aReason)
  {
    auto& exchange = *this->request->exchange;
    if (exchange.IsAnswered()) {
      this->request->outcome = "broken_stream";
      exchange.Abort();
      FinishRequest(this->request);
    } else if (this->keptErrorAnswer) {
      this->request->status = this->keptErrorAnswer->status;
      this->request->usage = {};
      exchange.Respond(std::move(*this->keptErrorAnswer));
      FinishRequest(this->request);
    } else {
      RefuseRouted(this->request, aReason);
    }
  }

  RequestPtr request;
  const RoutedCall& call;
  // Id of the last event that was passed on, or that the caller already has.
  std::optional<std::uint64_t> lastEvent;
  EventSplitter events;
  // An event has been passed on.
  bool hasEvents = false;
  // Of the current attempt: the time until its first event is reported, and the
  // gaps since.
  bool isTimed = false;
  GapMeter gaps;
  // The current attempt's answer has a length or chunks.
  bool isFramed = false;
  std::optional<AnswerDescription> answer;
  // Status of the current attempt, and of the first success, which the caller
  // gets.
  unsigned status = 0;
  unsigned firstStatus = 200;
  net::Headers headers;
  // Error answer of the current attempt, and that of an earlier one.
  net::HttpResponse errorAnswer;
  std::optional<net::HttpResponse> keptErrorAnswer;
  std::string lastReason = "no endpoint is available for this request";
};

} // namespace

void
ForwardEvents(const RequestPtr& aRequest)
{
  std::make_shared<EventsForward>(aRequest)->Start();
}

} // namespace lycheestand::router
