#include "chat_protocol.h"
#include "forward.h"

#include <array>
#include <chrono>
#include <cstdio>

namespace lycheestand::router {

namespace {

// Longest silence of an engine once its answer has begun.
constexpr Duration kTokenTimeout = std::chrono::seconds(10);

// Returns the prompt's tokens as costs count them. The bound that budgets use
// is of bytes and too large by this factor.
Tokens
EstimatePrompt(const ChatCall& aCall)
{
  constexpr std::int64_t kBytesPerToken = 4;
  return Tokens(aCall.promptBound.Get() / kBytesPerToken);
}

// Returns the hash by which the engine names this prompt's beginning in its
// cache events.
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

// Forwards one chat call and, if the engine's stream breaks, resumes it at
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
    this->outputLimit = std::min(
      this->call.maxOutput, this->request->reserved - this->call.promptBound);
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
  // An engine that refuses is busy or, with another server error, faulty.
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
    Tokens left = this->outputLimit - this->request->usage.outputTokens;
    net::HttpRequest http{ "POST",
                           "/v1/chat/completions",
                           { { "Content-Type", "application/json" },
                             { "X-Request-Id", this->request->id.Get() },
                             { "X-Prefix-Hash", FormatPrefix(this->call) } },
                           FormatEngineRequest(this->call, left, this->text) };
    this->base = this->request->usage;
    this->events = {};
    this->isDone = false;
    this->isLeaving = false;
    this->status = 0;
    auto model = this->request->snapshot->settings.ModelFor(this->request->site,
                                                            this->call.model);
    net::CallOptions options;
    options.idleTimeout =
      std::max<Duration>(model->firstTokenTimeout, kTokenTimeout);
    this->request->upstream = this->request->exchange->Task().StartCall(
      aAddress, std::move(http), options, this->MakeObserver());
  }

  net::CallObserver MakeObserver()
  {
    auto self = this->shared_from_this();
    return { [self](const net::CallHead& aHead) { self->HandleHead(aHead); },
             [self](const std::string& aPiece) { self->HandleBody(aPiece); },
             [self] { self->HandleEnd(); },
             [self](net::CallFailure aFailure, const std::string& aReason) {
               NoteFailure(self->request, aFailure);
               self->HandleBreak(aReason);
             } };
  }

  void HandleHead(const net::CallHead& aHead)
  {
    this->status = aHead.status;
    this->isLeaving =
      net::FindHeader(aHead.headers, "X-Endpoint-Leaving").has_value();
  }

  void HandleBody(const std::string& aPiece)
  {
    if (this->status != 200) {
      this->errorBody += aPiece;
      this->request->upstream.Continue();
      return;
    }
    std::string out;
    for (const auto& data : this->events.Feed(aPiece)) {
      out += this->HandleEvent(data);
    }
    if (!this->call.stream || out.empty()) {
      this->request->upstream.Continue();
    } else {
      this->StartStream();
      auto upstream = this->request->upstream;
      this->request->exchange->WriteStream(std::move(out),
                                           [upstream] { upstream.Continue(); });
    }
    this->CutAtLimit();
  }

  // Returns what the event adds to the caller's stream.
  std::string HandleEvent(const std::string& aData)
  {
    auto event = ParseStreamEvent(aData);
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
    this->text += event->delta;
    return FormatChunk(this->head, event->delta, "");
  }

  // Without usage in an event, the bytes of its text bound its tokens.
  void Count(const StreamEvent& aEvent)
  {
    Usage& usage = this->request->usage;
    if (!aEvent.usage) {
      usage.outputTokens +=
        Tokens(static_cast<std::int64_t>(aEvent.delta.size()));
      return;
    }
    if (this->base.promptTokens == Tokens(0)) {
      usage.promptTokens = aEvent.usage->promptTokens;
    }
    usage.outputTokens = this->base.outputTokens + aEvent.usage->outputTokens;
  }

  // Ends the answer if an engine does not keep to the output limit.
  void CutAtLimit()
  {
    if (this->isDone || this->request->usage.outputTokens < this->outputLimit ||
        !this->finishReason.empty()) {
      return;
    }
    this->finishReason = "length";
    this->request->upstream.Cancel();
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
      NoteFailure(this->request, net::CallFailure::Interrupted);
      this->HandleBreak("the stream ended early");
    } else {
      this->Complete();
    }
  }

  void Complete()
  {
    ReleaseEndpoint(
      this->request, routing::Outcome::Succeeded, this->isLeaving);
    const Usage& usage = this->request->usage;
    auto& exchange = *this->request->exchange;
    if (this->call.stream) {
      this->StartStream();
      exchange.WriteStream(FormatChunk(this->head, "", this->finishReason) +
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

  // The engine did not take the request. One that is busy or leaving is
  // avoided; a request that it can't serve would fail elsewhere too. Another
  // failure of the engine may have come after it had begun.
  void HandleRefusal()
  {
    routing::Outcome outcome = OutcomeOf(this->status);
    if (outcome == routing::Outcome::Failed) {
      this->request->ran = ExecutionState::Unknown;
    }
    ReleaseEndpoint(this->request, outcome, this->isLeaving);
    if (outcome != routing::Outcome::Succeeded) {
      this->TryAgain("the endpoints refused the request");
    } else if (this->request->ran != ExecutionState::NotRun) {
      this->EndInterrupted("another endpoint refused to go on with it");
    } else {
      Refuse(this->request,
             { 400,
               "rejected_by_engine",
               "the engine rejected the request: " +
                 this->errorBody.substr(0, 200) });
    }
  }

  // Goes on at another endpoint, unless too many were tried.
  void TryAgain(const std::string& aReason)
  {
    this->lastReason = aReason;
    if (this->request->tried.size() < kMaxAttempts) {
      this->errorBody.clear();
      this->Start();
    } else {
      this->EndAfterAttempts();
    }
  }

  // No endpoint is left, or the retry budget is used up.
  void EndWithoutEndpoint()
  {
    if (this->request->tried.empty()) {
      RefuseNoEndpoint(this->request);
    } else {
      this->EndAfterAttempts();
    }
  }

  // Ends a request whose attempts have failed. If all of them were refused, it
  // did not run.
  void EndAfterAttempts()
  {
    if (this->request->ran != ExecutionState::NotRun) {
      this->EndInterrupted(this->lastReason);
      return;
    }
    Refuse(
      this->request,
      { 503, "endpoints_busy", this->lastReason, ExecutionState::NotRun, 1 });
  }

  void HandleBreak(const std::string& aReason)
  {
    net::Log(net::LogLevel::Warning,
             "call to engine broke",
             { { "request", this->request->id.Get() },
               { "workspace", this->request->workspace.Get() },
               { "endpoint", this->request->endpoint.Get() },
               { "reason", aReason } });
    ReleaseEndpoint(this->request, routing::Outcome::Failed, this->isLeaving);
    // The engine broke off after the end of the text; resumed, it would go on
    // beyond it.
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

  // Nothing of a plain answer has reached the caller, so nothing is charged for
  // it; of a stream the caller keeps what it has.
  void EndInterrupted(const std::string& aReason)
  {
    auto& exchange = *this->request->exchange;
    if (!exchange.IsAnswered()) {
      this->request->usage = {};
      Refuse(this->request,
             { 502,
               "interrupted",
               "the endpoint's answer broke off: " + aReason,
               ExecutionState::Unknown,
               1 });
      return;
    }
    exchange.WriteStream(
      FormatStreamError("interrupted", "the answer broke off: " + aReason),
      nullptr);
    exchange.EndStream();
    FinishRequest(this->request);
  }

  RequestPtr request;
  ChatCall call;
  AnswerHead head;
  Tokens outputLimit;
  // Usage before the current attempt.
  Usage base;
  EventReader events;
  std::string text;
  std::string finishReason;
  std::string errorBody;
  unsigned status = 0;
  bool isDone = false;
  bool isLeaving = false;
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
