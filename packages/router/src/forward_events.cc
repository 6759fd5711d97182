#include "event_stream.h"
#include "route_attempt.h"

namespace lycheestand::router {

namespace {

// Percentage of a caller's patience, or of the time left if that is shorter,
// that passes without data before another endpoint is tried. The rest is left
// to that endpoint for its first event.
constexpr int kSilencePercent = 70;

// Time in which it is settled which of two endpoints goes on, once one of them
// has: both may not run the request for longer.
constexpr Duration kTakeoverTime = std::chrono::milliseconds(200);

// Pause before another endpoint is looked for again.
constexpr Duration kTakeoverRetryInterval = std::chrono::milliseconds(500);

// Events that are written to the caller later than this may have delayed the
// next ones, which are read only then.
constexpr Duration kSlowWrite = std::chrono::milliseconds(50);

// Passes the events of a stream on as they become complete. If the stream is
// interrupted and resumable, another endpoint resumes it after the last event
// that was passed on, within the same answer.
//
// An endpoint that is silent may go on at any moment. Its attempt is set aside
// while another endpoint is tried, and ends only when that one has sent an
// event, or has been answering for kTakeoverTime. If none takes over, the
// stream stays at the silent endpoint.
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
    this->current = {};
    this->current.number = ++this->startedAttempts;
    StartAttempt(this->request,
                 this->lastEvent,
                 this->MakeOptions(),
                 this->MakeObserver(this->current.number),
                 [self = this->shared_from_this()] {
                   self->EndIncomplete(self->lastReason);
                 });
  }

private:
  // What an attempt has received.
  struct Received
  {
    unsigned number = 0;
    EventSplitter events;
    // The time until its first event is reported, and then the gaps.
    bool isTimed = false;
    GapMeter gaps;
    // The answer has a length or chunks.
    bool isFramed = false;
    std::optional<AnswerDescription> answer;
    unsigned status = 0;
    net::HttpResponse errorAnswer;
  };

  // A step of an attempt. It gets the object, which would otherwise own itself.
  using Step = std::function<void(EventsForward&)>;

  // An attempt that is set aside. Its steps since then are kept.
  struct SilentStream
  {
    Received received;
    std::vector<Step> steps;
  };

  net::CallOptions MakeOptions() const
  {
    const auto& route = *this->call.route;
    net::CallOptions options = MakeCallOptions(route);
    if (route.isResumable && route.maxAttempts > 1) {
      Duration timeLeft = *this->request->deadline - this->Time();
      options.silenceTime = std::min<Duration>(route.callerPatience, timeLeft) *
                            kSilencePercent / 100;
    }
    return options;
  }

  net::CallObserver MakeObserver(unsigned aNumber)
  {
    auto self = this->shared_from_this();
    net::CallObserver observer;
    observer.onHead = [self, aNumber](const net::CallHead& aHead) {
      if (self->IsSetAside(aNumber) && !IsSuccess(aHead.status)) {
        self->EndSilent(net::CallFailure::Interrupted,
                        "status " + std::to_string(aHead.status) +
                          " after a silence");
        self->ScheduleSilenceCheck();
        return;
      }
      self->Run(aNumber, [aHead](EventsForward& aForward) {
        aForward.HandleHead(aHead);
      });
    };
    observer.onBody = [self, aNumber](const std::string& aChunk) {
      if (!self->IsSetAside(aNumber)) {
        self->HandleBody(aChunk);
      } else {
        self->Run(aNumber, [aChunk](EventsForward& aForward) {
          aForward.HandleBody(aChunk);
        });
      }
    };
    observer.onEnd = [self, aNumber] {
      self->Run(aNumber, [](EventsForward& aForward) { aForward.HandleEnd(); });
    };
    observer.onFailure = [self, aNumber](net::CallFailure aFailure,
                                         const std::string& aReason) {
      if (self->IsSetAside(aNumber)) {
        self->EndSilent(aFailure, aReason);
        self->ScheduleSilenceCheck();
      } else {
        self->HandleFailure(aFailure, aReason);
      }
    };
    observer.onSilent = [self, aNumber] { self->HandleSilence(aNumber); };
    return observer;
  }

  bool IsSetAside(unsigned aNumber) const
  {
    return this->silent && this->silent->received.number == aNumber;
  }

  // Runs a step of an attempt, or keeps it while the attempt is set aside.
  void Run(unsigned aNumber, Step aStep)
  {
    if (!this->IsSetAside(aNumber)) {
      aStep(*this);
      return;
    }
    this->silent->steps.push_back(std::move(aStep));
    if (!this->request->attempt.upstream.IsValid()) {
      this->AbandonTakeover();
    } else if (this->silent->steps.size() == 1) {
      this->ScheduleSettlement();
    }
  }

  // Settles after kTakeoverTime which of the two endpoints goes on. The one
  // that was asked to take over goes first if it has begun to answer.
  void ScheduleSettlement()
  {
    this->After(kTakeoverTime, [this, number = this->current.number] {
      if (!this->silent || this->current.number != number) {
        return;
      }
      if (this->current.answer && this->IsSuccess()) {
        this->EndTakenOver();
      } else if (!this->silent->steps.empty()) {
        this->AbandonTakeover();
      }
    });
  }

  // Runs a function after a delay unless the request has ended.
  void After(Duration aDelay, std::function<void()> aRun)
  {
    this->request->exchange->Task().After(
      aDelay, [weak = this->weak_from_this(), run = std::move(aRun)] {
        auto self = weak.lock();
        if (self && !self->request->isFinished) {
          run();
        }
      });
  }

  void HandleSilence(unsigned aNumber)
  {
    if (aNumber != this->current.number || this->silent ||
        !this->request->attempt.upstream.IsValid() ||
        !CanRetry(*this->request)) {
      return;
    }
    this->ReportSilence();
    this->request->silentAttempt = std::exchange(this->request->attempt, {});
    this->silent = SilentStream{ std::move(this->current), {} };
    this->Start();
  }

  // Reports the first silence of an attempt only.
  void ReportSilence()
  {
    if (std::exchange(this->reportedSilence, this->current.number) ==
        this->current.number) {
      return;
    }
    net::Log(net::LogLevel::Info,
             "an endpoint is silent; trying another one",
             { { "event", "endpoint_silent" },
               { "request", this->request->id.Get() },
               { "endpoint", this->request->attempt.endpoint.Get() } });
    net::Metrics().GetCounter("lycheestand_silent_endpoints_total").Add();
  }

  // Looks for another endpoint if the current one stays silent.
  void ScheduleSilenceCheck()
  {
    this->After(kTakeoverRetryInterval,
                [this, number = this->current.number, seen = this->arrivals] {
                  if (this->arrivals == seen) {
                    this->HandleSilence(number);
                  }
                });
  }

  // The silent endpoint has gone on before another one has taken over.
  void AbandonTakeover()
  {
    if (this->request->attempt.upstream.IsValid()) {
      this->request->attempt.upstream.Cancel();
      this->request->ran = ExecutionState::Unknown;
      EndAttempt(this->request,
                 routing::Outcome::Abandoned,
                 "the silent endpoint has gone on");
    } else {
      ReleaseEndpoint(this->request, routing::Outcome::Abandoned);
    }
    this->ReturnToSilent();
  }

  // Goes on with the attempt that was set aside; the other one has ended.
  void ReturnToSilent()
  {
    SilentStream stream = std::move(*this->silent);
    this->silent.reset();
    this->current = std::move(stream.received);
    this->request->attempt = std::move(*this->request->silentAttempt);
    this->request->silentAttempt.reset();
    const unsigned number = this->current.number;
    for (const auto& step : stream.steps) {
      if (!this->request->isFinished && this->current.number == number) {
        step(*this);
      }
    }
    if (stream.steps.empty()) {
      this->ScheduleSilenceCheck();
    }
  }

  void EndTakenOver()
  {
    this->EndSilent(net::CallFailure::Interrupted,
                    "silent; another endpoint has taken over");
  }

  // Ends the attempt that was set aside.
  void EndSilent(net::CallFailure aFailure, const std::string& aReason)
  {
    this->silent.reset();
    auto other = std::exchange(this->request->attempt,
                               std::move(*this->request->silentAttempt));
    this->request->silentAttempt.reset();
    this->request->attempt.upstream.Cancel();
    EndFailedAttempt(this->request, aFailure, aReason);
    this->request->attempt = std::move(other);
  }

  static bool IsSuccess(unsigned aStatus)
  {
    return aStatus >= 200 && aStatus < 300;
  }

  bool IsSuccess() const { return IsSuccess(this->current.status); }

  void HandleHead(const net::CallHead& aHead)
  {
    ++this->arrivals;
    this->current.status = aHead.status;
    this->current.answer = ReadAnswerHead(this->request, aHead);
    if (!this->current.answer) {
      this->Cancel("the answer does not belong to this request");
      return;
    }
    this->current.isFramed = !EndsWithConnection(aHead.status, aHead.headers);
    auto headers = this->call.protocol->selectEndToEndHeaders(aHead.headers);
    if (!this->IsSuccess()) {
      this->current.errorAnswer.status = aHead.status;
      this->current.errorAnswer.headers = std::move(headers);
      return;
    }
    if (this->silent) {
      this->ScheduleSettlement();
    }
    this->request->ran = ExecutionState::Unknown;
    this->request->usage.promptTokens = this->call.description.promptTokens;
    // The caller's answer has the head of the first endpoint that answered.
    if (this->headers.empty()) {
      this->firstStatus = this->current.status;
      this->headers = std::move(headers);
    }
  }

  void HandleBody(const std::string& aChunk)
  {
    ++this->arrivals;
    if (!this->IsSuccess()) {
      this->current.errorAnswer.body += aChunk;
      if (this->current.errorAnswer.body.size() > kMaxErrorBodyBytes) {
        this->Cancel("the error answer is too large");
      } else {
        this->request->attempt.upstream.Continue();
      }
      return;
    }
    std::string ready;
    std::size_t delivered = 0;
    for (auto& event : this->current.events.Feed(aChunk)) {
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
    if (this->current.events.Remainder().size() > kMaxEventBytes) {
      this->Write(std::move(ready));
      this->Cancel("an event is too large");
      return;
    }
    if (ready.empty()) {
      ContinueHolding(
        this->request,
        this->current.events.Remainder().size(),
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
    if (!this->current.isTimed) {
      this->current.isTimed = true;
      ReportAnswerTime(this->request);
    }
    if (auto gap = this->current.gaps.Add(aEvents, this->Time())) {
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
    if (this->silent) {
      this->EndTakenOver();
    }
    this->hasEvents = true;
    BeginStream(this->request);
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
            self->current.gaps.Discard();
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
    this->Write(this->current.events.Remainder());
    this->StartAnswer();
    this->request->exchange->EndStream();
    FinishRequest(this->request);
  }

  // A stream with neither a length nor chunks ends with its connection, also if
  // its endpoint has crashed. Only the events tell whether it is complete.
  bool IsBrokenOff() const
  {
    bool hasNoEvent =
      !this->current.isFramed && !this->lastEvent && !this->hasEvents;
    return hasNoEvent || this->current.events.IsInsideEvent();
  }

  // Handles a complete answer whose status is not a success.
  void HandleErrorAnswer()
  {
    EndAttempt(this->request,
               OutcomeOf(*this->current.answer, this->current.status),
               "status " + std::to_string(this->current.status));
    if (this->current.answer->isNotRun) {
      this->TryAgain("the endpoint did not run the request");
      return;
    }
    this->request->ran = ExecutionState::Unknown;
    this->keptErrorAnswer = std::move(this->current.errorAnswer);
    if (this->current.status >= 500 && this->call.route->isResumable) {
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
    if (this->silent && !this->silent->steps.empty()) {
      this->ReturnToSilent();
    } else if (CanRetry(*this->request)) {
      this->Start();
    } else {
      this->EndIncomplete(aReason);
    }
  }

  // Ends the request although its answer is incomplete, unless a silent
  // endpoint may still complete it. A stream that has begun is aborted, so that
  // the caller notices that it is incomplete.
  void EndIncomplete(const std::string& aReason)
  {
    if (this->silent) {
      this->ReturnToSilent();
      return;
    }
    auto& exchange = *this->request->exchange;
    if (exchange.IsAnswered()) {
      ReportLackOfVersion(*this->request);
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
  // An event has been passed on.
  bool hasEvents = false;
  Received current;
  std::optional<SilentStream> silent;
  unsigned startedAttempts = 0;
  // Number of the last attempt whose silence was reported.
  unsigned reportedSilence = 0;
  // Heads and chunks that were handled.
  std::uint64_t arrivals = 0;
  // Head of the first success, which the caller gets.
  unsigned firstStatus = 200;
  net::Headers headers;
  // Error answer of an earlier attempt.
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
