// Stand-in for a model engine with continuous batching. The generated text
// depends only on the prompt, so that a test can check that an answer is
// complete and belongs to its caller.

#include "engine_orders.h"
#include "prefix_cache.h"
#include "standin.h"

#include <sstream>
#include <tclap/CmdLine.h>

namespace lycheestand::standins {

namespace json = boost::json;

namespace {

struct EngineOptions
{
  // Latency before the prefill of a prompt begins.
  Duration firstToken = std::chrono::milliseconds(20);
  // Duration of a step with one stream, and the addition per further stream.
  Duration perToken = std::chrono::milliseconds(5);
  Duration perStream = std::chrono::microseconds(100);
  // Duration of the prefill per token that is not cached.
  Duration perPromptToken = std::chrono::microseconds(20);
  std::size_t slots = 32;
  std::int64_t fullAnswerTokens = 24;
  Duration reportLag = std::chrono::milliseconds(300);
  CacheOptions cache;
  std::set<std::string> models;
  bool ignoresFencing = false;
  bool sendsUsage = true;
};

// A request that is queued or occupies a slot.
struct Stream
{
  net::ExchangePtr exchange;
  net::ActorExecutor connection;
  std::string id;
  std::string prompt;
  std::int64_t priority = 1;
  std::int64_t nextTokenIndex = 0;
  std::int64_t generated = 0;
  std::int64_t maxTokens = 0;
  TimePoint prefilledAt;
};

using StreamPtr = std::shared_ptr<Stream>;

// Messages from connections to the engine's task; ManagementCall is any request
// but a chat completion.
struct BeginStream
{
  StreamPtr stream;
};
struct CancelStream
{
  StreamPtr stream;
};
struct ManagementCall
{
  net::HttpRequest request;
};

} // namespace

} // namespace lycheestand::standins

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::standins::BeginStream)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::standins::CancelStream)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::standins::ManagementCall)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::HttpResponse)

namespace lycheestand::standins {

namespace {

std::string
FormatEvent(const Stream& aStream,
            const std::string& aText,
            const char* aFinishReason,
            bool aSendsUsage)
{
  json::value reason = nullptr;
  if (aFinishReason != nullptr) {
    reason = aFinishReason;
  }
  json::object event{ { "choices",
                        json::array{
                          json::object{ { "index", 0 },
                                        { "delta", { { "content", aText } } },
                                        { "finish_reason", reason } } } } };
  if (aSendsUsage) {
    event["usage"] = { { "prompt_tokens",
                         PrefixCache::CountTokens(aStream.prompt.size()) },
                       { "completion_tokens", aStream.generated } };
  }
  return "data: " + json::serialize(event) + "\n\n";
}

// Task that owns the batch, the queue, the prefix cache and the orders.
class Engine : public net::IoTask
{
public:
  Engine(caf::actor_config& aConfig,
         net::Runtime aRuntime,
         EngineOptions aOptions)
    : net::IoTask(aConfig, aRuntime)
    , options(std::move(aOptions))
    , cache(this->options.cache)
    , orders(this->options.models, this->options.ignoresFencing)
  {
  }

protected:
  void Start() override { this->SampleLoad(); }

  caf::message_handler Handlers() override
  {
    return {
      [this](BeginStream& aBegin) { this->Enqueue(aBegin.stream); },
      [this](CancelStream& aCancel) { this->Cancel(aCancel.stream); },
      [this](ManagementCall& aCall) { return this->Answer(aCall.request); },
    };
  }

private:
  // A load report and its time. Reports are served after options.reportLag.
  struct LoadSample
  {
    TimePoint at;
    json::object report;
  };

  static constexpr Duration kSampleInterval = std::chrono::milliseconds(50);

  TimePoint Time() const { return net::Now(this->GetRuntime()); }

  void Enqueue(const StreamPtr& aStream)
  {
    if (this->isLeaving) {
      ++this->refused;
      Respond(aStream, { 503, { { "X-Endpoint-Leaving", "true" } }, "" });
      return;
    }
    auto position = this->queue.begin();
    while (position != this->queue.end() &&
           (*position)->priority <= aStream->priority) {
      ++position;
    }
    this->queue.insert(position, aStream);
    this->FillSlots();
  }

  static void Respond(const StreamPtr& aStream, net::HttpResponse aResponse)
  {
    aResponse.headers.emplace_back("X-Request-Id", aStream->id);
    aStream->connection.execute([aStream, response = std::move(aResponse)] {
      aStream->exchange->Respond(response);
    });
  }

  // Prints a line for each request that begins, so that a test can check
  // whether a request ran even after the engine was killed.
  void FillSlots()
  {
    while (this->batch.size() < this->options.slots && !this->queue.empty()) {
      StreamPtr stream = this->queue.front();
      this->queue.pop_front();
      std::int64_t uncachedTokens =
        this->cache.Add(stream->prompt, this->Time());
      stream->prefilledAt = this->Time() + this->options.firstToken +
                            this->options.perPromptToken * uncachedTokens;
      this->batch.push_back(stream);
      ++this->begun;
      std::cout << "begun " << stream->id << std::endl;
      stream->connection.execute([stream] {
        stream->exchange->StartStream(200,
                                      { { "Content-Type", "text/event-stream" },
                                        { "X-Request-Id", stream->id } });
      });
    }
    this->ScheduleStep();
  }

  void ScheduleStep()
  {
    if (this->isStepping || this->batch.empty()) {
      return;
    }
    this->isStepping = true;
    auto others = static_cast<std::int64_t>(this->batch.size()) - 1;
    this->After(this->options.perToken + this->options.perStream * others,
                [this] {
                  this->isStepping = false;
                  this->Step();
                });
  }

  // Generates one token for each stream whose prefill is complete.
  void Step()
  {
    std::erase_if(this->batch, [this](const StreamPtr& aStream) {
      return aStream->prefilledAt <= this->Time() && this->Generate(aStream);
    });
    this->FillSlots();
  }

  // Generates and sends one token; returns whether the answer is complete.
  bool Generate(const StreamPtr& aStream)
  {
    std::string token =
      TokenAt(HashText(aStream->prompt), aStream->nextTokenIndex++);
    ++aStream->generated;
    ++this->tokens;
    const char* reason = nullptr;
    if (aStream->nextTokenIndex >= this->options.fullAnswerTokens) {
      reason = "stop";
    } else if (aStream->generated >= aStream->maxTokens) {
      reason = "length";
    }
    bool isDone = reason != nullptr;
    std::string text =
      FormatEvent(*aStream, token, reason, this->options.sendsUsage);
    if (isDone) {
      text += "data: [DONE]\n\n";
      ++this->finished;
    }
    aStream->connection.execute([aStream, text, isDone] {
      aStream->exchange->WriteStream(text, nullptr);
      if (isDone) {
        aStream->exchange->EndStream();
      }
    });
    return isDone;
  }

  void Cancel(const StreamPtr& aStream)
  {
    auto removed = std::erase(this->batch, aStream);
    removed += std::erase(this->queue, aStream);
    if (removed > 0) {
      ++this->cancelled;
      this->FillSlots();
    }
  }

  net::HttpResponse Answer(const net::HttpRequest& aRequest)
  {
    const std::string& target = aRequest.target;
    if (target == "/load") {
      return Json(this->FormatLoad());
    }
    if (target.starts_with("/events?after=")) {
      std::uint64_t after = 0;
      std::istringstream(target.substr(target.find('=') + 1)) >> after;
      return Json(this->cache.FormatEvents(after, this->Time()));
    }
    if (target == "/orders") {
      return aRequest.method == "POST" ? this->orders.Apply(aRequest.body)
                                       : Json(this->orders.Format());
    }
    if (target == "/counts") {
      return Json(
        json::serialize(json::object{ { "begun", this->begun },
                                      { "finished", this->finished },
                                      { "cancelled", this->cancelled },
                                      { "refused", this->refused },
                                      { "tokens", this->tokens } }));
    }
    if (target == "/leave" && aRequest.method == "POST") {
      this->isLeaving = true;
      return Json("{}");
    }
    return { 404, {}, "" };
  }

  static net::HttpResponse Json(std::string aBody)
  {
    return { 200,
             { { "Content-Type", "application/json" } },
             std::move(aBody) };
  }

  void SampleLoad()
  {
    auto now = this->Time();
    this->loadSamples.push_back({ now,
                                  { { "running", this->batch.size() },
                                    { "queued", this->queue.size() },
                                    { "slots", this->options.slots },
                                    { "cache_tokens", this->cache.Tokens() },
                                    { "leaving", this->isLeaving },
                                    { "models", this->orders.Models() } } });
    while (this->loadSamples.size() > 1 &&
           now - this->loadSamples[1].at >= this->options.reportLag) {
      this->loadSamples.pop_front();
    }
    this->After(kSampleInterval, [this] { this->SampleLoad(); });
  }

  std::string FormatLoad() const
  {
    json::object report = this->loadSamples.front().report;
    report["age_ms"] = std::chrono::duration_cast<Milliseconds>(
                         this->Time() - this->loadSamples.front().at)
                         .count();
    return json::serialize(report);
  }

  EngineOptions options;
  PrefixCache cache;
  EngineOrders orders;
  std::vector<StreamPtr> batch;
  std::deque<StreamPtr> queue;
  std::deque<LoadSample> loadSamples;
  bool isStepping = false;
  bool isLeaving = false;
  std::uint64_t begun = 0;
  std::uint64_t finished = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t refused = 0;
  std::uint64_t tokens = 0;
};

// Parses the body of a chat request; returns null if it is malformed.
StreamPtr
ParseStream(const net::ExchangePtr& aExchange)
{
  json::error_code error;
  json::value body = json::parse(aExchange->Request().body, error);
  const auto* messages = body.find_pointer("/messages", error);
  const auto* maxTokens = body.find_pointer("/max_tokens", error);
  if (messages == nullptr || !messages->is_array() || maxTokens == nullptr) {
    return nullptr;
  }
  auto stream = std::make_shared<Stream>();
  stream->exchange = aExchange;
  stream->connection = aExchange->Task().Executor();
  stream->id =
    net::FindHeader(aExchange->Request().headers, "X-Request-Id").value_or("-");
  for (const auto& message : messages->get_array()) {
    const auto* content = message.find_pointer("/content", error);
    const auto* role = message.find_pointer("/role", error);
    if (content == nullptr || role == nullptr) {
      return nullptr;
    }
    stream->prompt += FormatPromptMessage(std::string(role->as_string()),
                                          content->is_string()
                                            ? std::string(content->get_string())
                                            : json::serialize(*content));
  }
  stream->maxTokens = maxTokens->to_number<std::int64_t>(error);
  if (const auto* priority = body.find_pointer("/priority", error)) {
    stream->priority = priority->to_number<std::int64_t>(error);
  }
  if (const auto* resumed = body.find_pointer("/resume_text", error)) {
    const auto& text = resumed->as_string();
    stream->nextTokenIndex = std::count(text.begin(), text.end(), ' ');
  }
  return stream;
}

void
HandleExchange(const caf::actor& aEngine, const net::ExchangePtr& aExchange)
{
  if (aExchange->Request().target == "/v1/chat/completions") {
    if (auto stream = ParseStream(aExchange)) {
      aExchange->OnDisconnect([aEngine, stream](net::Disconnect) {
        caf::anon_send(aEngine, CancelStream{ stream });
      });
      caf::anon_send(aEngine, BeginStream{ stream });
    } else {
      aExchange->Respond({ 400, {}, "" });
    }
    return;
  }
  aExchange->Task()
    .request(aEngine, caf::infinite, ManagementCall{ aExchange->Request() })
    .then([aExchange](net::HttpResponse& aResponse) {
      aExchange->Respond(std::move(aResponse));
    });
}

// The command line: names, defaults and parsed values.
class EngineArguments
{
public:
  EngineOptions Parse(int aCount, char** aArguments)
  {
    this->line.parse(aCount, aArguments);
    EngineOptions out;
    out.firstToken = std::chrono::milliseconds(this->firstToken.getValue());
    out.perToken = std::chrono::microseconds(this->perToken.getValue());
    out.perStream = std::chrono::microseconds(this->perStream.getValue());
    out.perPromptToken = std::chrono::microseconds(this->perPrompt.getValue());
    out.slots = static_cast<std::size_t>(this->slots.getValue());
    out.fullAnswerTokens = this->length.getValue();
    out.reportLag = std::chrono::milliseconds(this->reportLag.getValue());
    out.cache.tokens = this->cacheTokens.getValue();
    out.cache.eventDelay = std::chrono::milliseconds(this->delay.getValue());
    out.cache.droppedEventInterval =
      static_cast<std::uint64_t>(this->gap.getValue());
    std::istringstream names(this->models.getValue());
    for (std::string name; std::getline(names, name, ',');) {
      out.models.insert(name);
    }
    out.ignoresFencing = this->ignoreFencing.getValue();
    out.sendsUsage = !this->usageOff.getValue();
    return out;
  }

  std::string Address() const { return this->address.getValue(); }

private:
  using Number = TCLAP::ValueArg<int>;
  using Text = TCLAP::ValueArg<std::string>;

  TCLAP::CmdLine line{ "Stand-in for a model engine" };
  Text address{ "a", "address", "host:port", true, "", "address", line };
  Text models{ "",     "models", "names, separated by commas", false, "",
               "list", line };
  Number firstToken{ "", "first-token-ms", "latency", false, 20, "ms", line };
  Number perToken{ "",    "per-token-us", "duration of a step with one stream",
                   false, 5000,           "us",
                   line };
  Number perStream{ "",
                    "per-stream-us",
                    "additional step time per further stream",
                    false,
                    100,
                    "us",
                    line };
  Number perPrompt{ "",
                    "per-prompt-token-us",
                    "prefill time per uncached token",
                    false,
                    20,
                    "us",
                    line };
  Number slots{ "",    "slots", "maximum number of streams in the batch",
                false, 32,      "n",
                line };
  Number length{
    "", "length", "tokens of a full answer", false, 24, "n", line
  };
  Number reportLag{
    "", "report-lag-ms", "age of load reports", false, 300, "ms", line
  };
  Number cacheTokens{
    "", "cache-tokens", "cache size", false, 32768, "n", line
  };
  Number delay{ "",
                "event-delay-ms",
                "delay before a cache event is published",
                false,
                200,
                "ms",
                line };
  Number gap{ "",    "event-gap", "every n-th cache event is not published",
              false, 0,           "n",
              line };
  TCLAP::SwitchArg ignoreFencing{ "",
                                  "ignore-fencing",
                                  "apply orders with old fencing numbers",
                                  line,
                                  false };
  TCLAP::SwitchArg usageOff{ "", "usage-off", "send no usage", line, false };
};

} // namespace

} // namespace lycheestand::standins

int
main(int aCount, char** aArguments)
{
  using namespace lycheestand;
  standins::EngineArguments arguments;
  auto options = arguments.Parse(aCount, aArguments);
  return standins::RunStandin(
    "engine",
    ParseAddress(arguments.Address()).value(),
    [options](const net::Runtime& aRuntime,
              const caf::actor&) -> net::HttpHandler {
      auto engine = aRuntime.system->spawn<standins::Engine>(aRuntime, options);
      return [engine](const net::ExchangePtr& aExchange) {
        standins::HandleExchange(engine, aExchange);
      };
    });
}
