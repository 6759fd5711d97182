// Stand-in for a model engine: streams a text that depends only on the prompt,
// so that a test can tell whether an answer is whole and its caller's own.

#include "standin.h"

#include <boost/json.hpp>
#include <tclap/CmdLine.h>

namespace lycheestand::standins {

namespace {

namespace json = boost::json;

struct EngineOptions
{
  Duration firstToken = std::chrono::milliseconds(20);
  Duration perToken = std::chrono::milliseconds(5);
};

// Returns a token of the answer to a prompt.
std::string
TokenAt(std::uint64_t aPromptHash, std::int64_t aIndex)
{
  std::uint64_t mixed =
    (aPromptHash ^ static_cast<std::uint64_t>(aIndex)) * 0x9E3779B97F4A7C15ULL;
  return "w" + std::to_string(mixed >> 48) + " ";
}

std::uint64_t
HashText(const std::string& aText)
{
  std::uint64_t hash = 14695981039346656037ULL;
  for (unsigned char byte : aText) {
    hash = (hash ^ byte) * 1099511628211ULL;
  }
  return hash;
}

// One stream in progress.
struct Stream
{
  net::ExchangePtr exchange;
  std::uint64_t promptHash = 0;
  std::int64_t promptTokens = 0;
  std::int64_t next = 0;
  std::int64_t generated = 0;
  std::int64_t limit = 0;
  bool isOpen = true;
};

using StreamPtr = std::shared_ptr<Stream>;

std::string
FormatEvent(const Stream& aStream,
            const std::string& aText,
            const char* aFinishReason)
{
  json::value reason = nullptr;
  if (aFinishReason != nullptr) {
    reason = aFinishReason;
  }
  json::object event{ { "choices",
                        json::array{
                          json::object{ { "index", 0 },
                                        { "delta", { { "content", aText } } },
                                        { "finish_reason", reason } } } },
                      { "usage",
                        { { "prompt_tokens", aStream.promptTokens },
                          { "completion_tokens", aStream.generated } } } };
  return "data: " + json::serialize(event) + "\n\n";
}

class Engine
{
public:
  explicit Engine(EngineOptions aOptions)
    : options(aOptions)
  {
  }

  void Handle(const net::ExchangePtr& aExchange)
  {
    if (aExchange->Request().target == "/v1/chat/completions") {
      this->Begin(aExchange);
    } else {
      aExchange->Respond({ 404, {}, "" });
    }
  }

private:
  // Every tenth answer length above the smallest ends by itself.
  static constexpr std::int64_t kNaturalLength = 24;

  void Begin(const net::ExchangePtr& aExchange)
  {
    json::object body = json::parse(aExchange->Request().body).as_object();
    auto stream = std::make_shared<Stream>();
    stream->exchange = aExchange;
    std::string prompt = json::serialize(body["messages"]);
    stream->promptHash = HashText(prompt);
    stream->promptTokens = static_cast<std::int64_t>(prompt.size() / 4);
    stream->limit = body["max_tokens"].to_number<std::int64_t>();
    if (const auto* resumed = body.if_contains("resume_text")) {
      const auto& text = resumed->as_string();
      stream->next = std::count(text.begin(), text.end(), ' ');
    }
    aExchange->OnDisconnect([stream] { stream->isOpen = false; });
    aExchange->StartStream(200, { { "Content-Type", "text/event-stream" } });
    aExchange->Task().After(this->options.firstToken,
                            [this, stream] { this->Step(stream); });
  }

  void Step(const StreamPtr& aStream)
  {
    if (!aStream->isOpen) {
      return;
    }
    std::string token = TokenAt(aStream->promptHash, aStream->next++);
    ++aStream->generated;
    bool isWhole = aStream->next >= kNaturalLength;
    bool isCut = aStream->generated >= aStream->limit;
    const char* reason = isWhole ? "stop" : (isCut ? "length" : nullptr);
    aStream->exchange->WriteStream(FormatEvent(*aStream, token, reason),
                                   nullptr);
    if (reason != nullptr) {
      aStream->exchange->WriteStream("data: [DONE]\n\n", nullptr);
      aStream->exchange->EndStream();
      return;
    }
    aStream->exchange->Task().After(this->options.perToken,
                                    [this, aStream] { this->Step(aStream); });
  }

  EngineOptions options;
};

} // namespace

} // namespace lycheestand::standins

int
main(int aCount, char** aArguments)
{
  using namespace lycheestand;
  TCLAP::CmdLine line("Stand-in for a model engine");
  TCLAP::ValueArg<std::string> address(
    "a", "address", "host:port to listen on", true, "", "address", line);
  line.parse(aCount, aArguments);
  auto* engine = new standins::Engine({});
  return standins::RunStandin(
    "engine",
    ParseAddress(address.getValue()).value(),
    [engine](const net::Runtime&, const caf::actor&) -> net::HttpHandler {
      return [engine](const net::ExchangePtr& aExchange) {
        engine->Handle(aExchange);
      };
    });
}
