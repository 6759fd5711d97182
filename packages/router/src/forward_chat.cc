#include "chat_protocol.h"
#include "forward.h"

#include <array>
#include <chrono>
#include <cstdio>

namespace lycheestand::router {

namespace {

// Shortest timeout between two events of an engine. A model's first-token
// timeout is used for all events if it is longer.
constexpr Duration kMinEventTimeout = std::chrono::seconds(10);

constexpr Duration kEventCheckInterval = std::chrono::seconds(1);

// Returns the estimated number of prompt tokens, for the cost of an endpoint.
// The bound that budgets use counts bytes and is too large by this factor.
Tokens
EstimatePrompt(const ChatCall& aCall)
{
  constexpr std::int64_t kBytesPerToken = 4;
  return Tokens(aCall.maxPromptTokens.Get() / kBytesPerToken);
}

// Returns the hash that identifies the prompt's prefix in the engine's cache
// events.
std::string
FormatPrefix(const ChatCall& aCall)
{
  std::array<char, 17> text{};
  std::snprintf(text.data(),
                text.size(),
                "%016llx",
                static_cast<unsigned long long>(
                  aCall.prefix.empty() ? 0 : aCall.prefix.front().hash.Get()));
  return text.data();
}

// Forwards one chat call. If the engine's stream is interrupted, resumes it at
// another engine.
class ChatForward : public std::enable_shared_from_this<ChatForward>
{
public:
  explicit ChatForward(RequestPtr aRequest)
    : request(std::move(aRequest))
    , call(std::get<ChatCall>(this->request->call))
  {
    auto now = std::chrono::system_clock::now().time_since_epoch();
    this->head = {
      "chatcmpl-" + this->request->id.Get(),
      this->call.model.Get(),
      std::chrono::duration_cast<std::chrono::seconds>(now).count()
    };
    this->outputLimit =
      std::min(this->call.maxOutput,
               this->request->reserved - this->call.maxPromptTokens);
  }

  void Start()
  {
    routing::Query query;
    query.serves = this->call.model.Get();
    query.prefix = this->call.prefix;
    query.promptTokens = EstimatePrompt(this->call);
    auto self = this->shared_from_this();
    ChooseAndCall(
      this->request,
      std::move(query),
      [self](const Address& aAddress) { self->Send(aAddress); },
      [self] { self->EndWithoutEndpoint(); });
  }

private:
  // Status 429 or 503 means a busy engine, any other server error a faulty one.
  static routing::Outcome OutcomeOf(unsigned aStatus)
  {
    if (aStatus == 429 || aStatus == 503) {
      return routing::Outcome::Busy;
    }
    return aStatus >= 500 ? routing::Outcome::Failed
                          : routing::Outcome::Succeeded;
  }

  void Send(const Address& aAddress)
  {
    Tokens remaining = this->outputLimit - this->request->usage.outputTokens;
    net::HttpRequest http{ "POST",
                           "/v1/chat/completions",
                           { { "Content-Type", "application/json" },
                             { "X-Request-Id", this->request->id.Get() },
                             { "X-Prefix-Hash", FormatPrefix(this->call) } },
                           FormatEngineRequest(
                             this->call, remaining, this->text) };
    this->usageBeforeAttempt = this->request->usage;
    this->events = {};
    this->isDone = false;
    this->isTimed = false;
    this->status = 0;
    auto model = this->request->snapshot->settings.ModelFor(this->request->site,
                                                            this->call.model);
    this->eventTimeout =
      std::max<Duration>(model->firstTokenTimeout, kMinEventTimeout);
    net::CallOptions options;
    options.idleTimeout = this->eventTimeout;
    options.maxBodyBytes.reset();
    this->request->attempt.upstream = this->request->exchange->Task().StartCall(
      aAddress, std::move(http), options, this->MakeObserver());
    this->lastEventAt = this->Time();
    this->ScheduleEventCheck(this->endedCalls + 1);
  }

  TimePoint Time() const
  {
    return net::Now(this->request->exchange->Task().GetRuntime());
  }

  // Ends the call if the engine sends data but completes no event, or no error
  // body, for too long. Time during which the caller does not read does not
  // count.
  void ScheduleEventCheck(unsigned aCall)
  {
    this->request->exchange->Task().After(
      kEventCheckInterval, [weak = this->weak_from_this(), aCall] {
        auto self = weak.lock();
        if (!self || self->request->isFinished || aCall <= self->endedCalls) {
          return;
        }
        if (self->unwrittenChunks > 0) {
          self->lastEventAt = self->Time();
        }
        if (self->Time() - self->lastEventAt >= self->eventTimeout) {
          self->Cancel("no event for too long");
        } else {
          self->ScheduleEventCheck(aCall);
        }
      });
  }

  void Cancel(const std::string& aReason)
  {
    this->request->attempt.upstream.Cancel();
    RecordFailure(this->request, net::CallFailure::Interrupted);
    this->HandleInterruption(aReason);
  }

  net::CallObserver MakeObserver()
  {
    auto self = this->shared_from_this();
    return { [self](const net::CallHead& aHead) { self->HandleHead(aHead); },
             [self](const std::string& aChunk) { self->HandleBody(aChunk); },
             [self] { self->HandleEnd(); },
             [self](net::CallFailure aFailure, const std::string& aReason) {
               RecordFailure(self->request, aFailure);
               self->HandleInterruption(aReason);
             } };
  }

  void HandleHead(const net::CallHead& aHead)
  {
    this->status = aHead.status;
    if (net::FindHeader(aHead.headers, kLeavingHeader)) {
      SetEndpointLeaving(this->request);
    }
    auto blockTime = net::FindRetryAfter(aHead.headers);
    if (blockTime && OutcomeOf(aHead.status) == routing::Outcome::Busy) {
      BlockEndpoint(this->request, *blockTime);
    }
  }

  void HandleBody(const std::string& aChunk)
  {
    if (this->status != 200) {
      this->errorBody += aChunk;
      if (this->errorBody.size() > kMaxErrorBodyBytes) {
        this->request->attempt.upstream.Cancel();
        this->HandleRefusal();
      } else {
        this->request->attempt.upstream.Continue();
      }
      return;
    }
    std::string out;
    for (const auto& data : this->events.Feed(aChunk)) {
      this->lastEventAt = this->Time();
      if (!this->isTimed) {
        this->isTimed = true;
        ReportAnswerTime(this->request);
      }
      out += this->HandleEvent(data);
    }
    if (this->events.PendingBytes() > kMaxEventBytes) {
      this->Cancel("an event is too large");
      return;
    }
    if (!this->call.stream || out.empty()) {
      std::size_t kept = this->call.stream ? 0 : this->text.size();
      ContinueHolding(
        this->request,
        this->events.PendingBytes() + kept,
        [self = this->shared_from_this()] { self->Cancel(kNoMemoryReason); });
    } else {
      this->StartStream();
      ++this->unwrittenChunks;
      this->request->exchange->WriteStream(
        std::move(out),
        [self = this->shared_from_this(),
         upstream = this->request->attempt.upstream] {
          --self->unwrittenChunks;
          upstream.Continue();
        });
    }
    this->EnforceOutputLimit();
  }

  // Handles an event of the engine's stream. Returns the event for the caller's
  // stream, or an empty string.
  std::string HandleEvent(const std::string& aData)
  {
    auto event = ParseChatEvent(aData);
    if (!event) {
      return "";
    }
    this->isDone |= event->isDone;
    this->Count(*event);
    if (!event->finishReason.empty()) {
      this->finishReason = event->finishReason;
    }
    if (event->delta.empty()) {
      return "";
    }
    BeginStream(this->request);
    this->text += event->delta;
    return FormatChatChunk(this->head, event->delta, "");
  }

  // Adds the event's usage. If it has none, the number of bytes of its text is
  // used as an upper bound of its tokens.
  void Count(const ChatEvent& aEvent)
  {
    Usage& usage = this->request->usage;
    if (!aEvent.usage) {
      usage.outputTokens +=
        Tokens(static_cast<std::int64_t>(aEvent.delta.size()));
      return;
    }
    if (this->usageBeforeAttempt.promptTokens == Tokens(0)) {
      usage.promptTokens = aEvent.usage->promptTokens;
    }
    usage.outputTokens =
      this->usageBeforeAttempt.outputTokens + aEvent.usage->outputTokens;
  }

  // Ends the answer if the engine exceeds the output limit.
  void EnforceOutputLimit()
  {
    if (this->isDone || this->request->usage.outputTokens < this->outputLimit ||
        !this->finishReason.empty()) {
      return;
    }
    this->finishReason = "length";
    this->request->attempt.upstream.Cancel();
    this->Complete();
  }

  void StartStream()
  {
    if (!this->request->exchange->IsAnswered()) {
      this->request->exchange->StartStream(
        200,
        { { "Content-Type", "text/event-stream" },
          { "Cache-Control", "no-cache" },
          { "X-Request-Id", this->request->id.Get() } });
    }
  }

  void HandleEnd()
  {
    if (this->status != 200) {
      this->HandleRefusal();
    } else if (!this->isDone || this->finishReason.empty()) {
      RecordFailure(this->request, net::CallFailure::Interrupted);
      this->HandleInterruption("the stream ended early");
    } else {
      this->request->ran = ExecutionState::Ran;
      this->request->status = 200;
      this->Complete();
    }
  }

  void Complete()
  {
    ReleaseEndpoint(this->request, routing::Outcome::Succeeded);
    const Usage& usage = this->request->usage;
    auto& exchange = *this->request->exchange;
    if (this->call.stream) {
      this->StartStream();
      exchange.WriteStream(FormatChatChunk(this->head, "", this->finishReason) +
                             FormatStreamEnd(this->head, usage),
                           nullptr);
      exchange.EndStream();
    } else {
      exchange.Respond(
        { 200,
          { { "Content-Type", "application/json" },
            { "X-Request-Id", this->request->id.Get() } },
          FormatAnswer(this->head, this->text, this->finishReason, usage) });
    }
    FinishRequest(this->request);
  }

  // Handles an answer with an error status. If the engine is busy or leaving,
  // another one is tried. A request that the engine rejects as invalid would be
  // rejected by the others as well. After any other failure the request may
  // have run in part.
  void HandleRefusal()
  {
    ++this->endedCalls;
    routing::Outcome outcome = OutcomeOf(this->status);
    if (outcome == routing::Outcome::Failed) {
      this->request->ran = ExecutionState::Unknown;
    }
    ReleaseEndpoint(this->request, outcome);
    if (outcome != routing::Outcome::Succeeded) {
      this->TryAgain("the endpoints refused the request");
    } else if (this->request->ran != ExecutionState::NotRun) {
      this->EndInterrupted("another endpoint refused to resume the answer");
    } else {
      Refuse(this->request,
             { 400,
               "rejected_by_engine",
               "the engine rejected the request: " +
                 this->errorBody.substr(0, 200) });
    }
  }

  // Tries another endpoint, unless kMaxAttempts have been tried.
  void TryAgain(const std::string& aReason)
  {
    this->lastReason = aReason;
    if (this->request->triedEndpoints.size() < kMaxAttempts) {
      this->errorBody.clear();
      this->Start();
    } else {
      this->EndAfterAttempts();
    }
  }

  // Ends a request for which no endpoint is left, or whose retry is denied by
  // the retry budget.
  void EndWithoutEndpoint()
  {
    if (this->request->triedEndpoints.empty()) {
      RefuseNoEndpoint(this->request);
    } else {
      this->EndAfterAttempts();
    }
  }

  // Ends a request after its last attempt failed. If all attempts were refused,
  // the request did not run.
  void EndAfterAttempts()
  {
    ReportLackOfVersion(*this->request);
    if (this->request->ran != ExecutionState::NotRun) {
      this->EndInterrupted(this->lastReason);
      return;
    }
    Refuse(this->request,
           { 503,
             "endpoints_busy",
             this->lastReason,
             ExecutionState::NotRun,
             RetryAfterNoEndpoint(*this->request, 1) });
  }

  void HandleInterruption(const std::string& aReason)
  {
    ++this->endedCalls;
    net::Log(net::LogLevel::Warning,
             "call to engine broke",
             { { "request", this->request->id.Get() },
               { "workspace", this->request->workspace.Get() },
               { "endpoint", this->request->attempt.endpoint.Get() },
               { "digest", ToString(*this->request->digest) },
               { "reason", aReason } });
    ReleaseEndpoint(this->request, routing::Outcome::Failed);
    // The engine failed after the end of the text. If resumed, it would
    // generate text beyond it.
    if (!this->finishReason.empty()) {
      this->Complete();
      return;
    }
    bool hasRoom = this->request->usage.outputTokens < this->outputLimit;
    if (hasRoom) {
      this->TryAgain(aReason);
    } else {
      this->EndInterrupted(aReason);
    }
  }

  // Ends an interrupted request. A stream that has begun ends with an error
  // event, and what was sent is charged.
  void EndInterrupted(const std::string& aReason)
  {
    auto& exchange = *this->request->exchange;
    if (!exchange.IsAnswered()) {
      Refuse(this->request,
             { 502,
               "interrupted",
               "the endpoint's answer was interrupted: " + aReason,
               ExecutionState::Unknown,
               1 });
      return;
    }
    exchange.WriteStream(
      FormatStreamError("interrupted",
                        "the answer was interrupted: " + aReason),
      nullptr);
    exchange.EndStream();
    FinishRequest(this->request);
  }

  RequestPtr request;
  ChatCall call;
  AnswerHead head;
  Tokens outputLimit;
  // Usage of the attempts before the current one.
  Usage usageBeforeAttempt;
  ChatEventReader events;
  std::string text;
  std::string finishReason;
  std::string errorBody;
  unsigned status = 0;
  bool isDone = false;
  // The time until the current call's first event is reported.
  bool isTimed = false;
  // Calls to engines that failed or were refused.
  unsigned endedCalls = 0;
  // When the last event of the current call arrived, or the call began.
  TimePoint lastEventAt{};
  Duration eventTimeout{};
  // Chunks that are not yet written to the caller.
  int unwrittenChunks = 0;
  // Why the last attempt failed.
  std::string lastReason;
};

} // namespace

void
ForwardChat(const RequestPtr& aRequest)
{
  std::make_shared<ChatForward>(aRequest)->Start();
}

} // namespace lycheestand::router
