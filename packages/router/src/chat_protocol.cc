#include "chat_protocol.h"

#include <algorithm>
#include <boost/json.hpp>

namespace lycheestand::router {

namespace json = boost::json;

namespace {

// Lengths in bytes of the prompt prefixes that are hashed for prefix affinity.
// There are only a few, so that the map of each endpoint stays small: the
// shortest distinguishes workspaces and tasks, the longer ones the turns of a
// conversation.
constexpr std::size_t kPrefixBytes[] = { 512, 2048, 8192, 32768 };

// Average bytes per token in the languages served; used only to estimate costs.
constexpr std::size_t kBytesPerToken = 4;

constexpr std::int64_t kMaxOutputTokens = 1000000;

using ChatResult = Result<ChatCall, std::string>;

ChatResult
MakeParseError(const std::string& aMessage)
{
  return ChatResult(boost::outcome_v2::in_place_type<std::string>, aMessage);
}

// Returns the hashes of the prompt's prefixes. They are the same on all
// routers.
std::vector<routing::PromptPrefix>
HashPrefixes(std::string_view aText)
{
  std::vector<routing::PromptPrefix> prefixes;
  // FNV-1a with its standard 64-bit parameters.
  std::uint64_t hash = 14695981039346656037ULL;
  std::size_t done = 0;
  for (std::size_t length : kPrefixBytes) {
    // A prompt shorter than the first length is hashed as a whole.
    if (aText.size() < length && !prefixes.empty()) {
      break;
    }
    std::size_t end = std::min(length, aText.size());
    for (; done < end; ++done) {
      hash =
        (hash ^ static_cast<unsigned char>(aText[done])) * 1099511628211ULL;
    }
    prefixes.push_back(
      { routing::PrefixHash(hash),
        Tokens(static_cast<std::int64_t>(end / kBytesPerToken)) });
  }
  return prefixes;
}

// Returns the output limit that the caller set, if any. Sets aIsValid to
// whether it is in the allowed range.
std::optional<std::int64_t>
ReadOutputLimit(const json::object& aBody, bool& aIsValid)
{
  aIsValid = true;
  for (const char* name : { "max_completion_tokens", "max_tokens" }) {
    const auto* limit = aBody.if_contains(name);
    if (limit == nullptr || limit->is_null()) {
      continue;
    }
    json::error_code error;
    auto value = limit->to_number<std::int64_t>(error);
    aIsValid = !error && value >= 1 && value <= kMaxOutputTokens;
    return value;
  }
  return std::nullopt;
}

// Returns the roles and contents of all messages as one text, which the prefix
// hashes are computed from, or nothing if a message is malformed.
std::optional<std::string>
CollectPrompt(const json::array& aMessages)
{
  std::string prompt;
  for (const auto& value : aMessages) {
    if (!value.is_object()) {
      return std::nullopt;
    }
    const auto* role = value.get_object().if_contains("role");
    const auto* content = value.get_object().if_contains("content");
    if (role == nullptr || !role->is_string() || content == nullptr) {
      return std::nullopt;
    }
    prompt += role->get_string();
    prompt += '\n';
    prompt += content->is_string() ? std::string(content->get_string())
                                   : json::serialize(*content);
    prompt += '\n';
  }
  return prompt;
}

std::string
FormatEvent(const json::value& aData)
{
  return "data: " + json::serialize(aData) + "\n\n";
}

json::object
FormatUsage(const Usage& aUsage)
{
  return { { "prompt_tokens", aUsage.promptTokens.Get() },
           { "completion_tokens", aUsage.outputTokens.Get() },
           { "total_tokens", aUsage.Total().Get() } };
}

std::optional<Usage>
ReadUsage(const json::object& aObject)
{
  const auto* usage = aObject.if_contains("usage");
  if (usage == nullptr || !usage->is_object()) {
    return std::nullopt;
  }
  const auto* prompt = usage->get_object().if_contains("prompt_tokens");
  const auto* output = usage->get_object().if_contains("completion_tokens");
  if (prompt == nullptr || output == nullptr || !prompt->is_int64() ||
      !output->is_int64()) {
    return std::nullopt;
  }
  return Usage{ Tokens(prompt->get_int64()), Tokens(output->get_int64()) };
}

json::object
FormatHead(const AnswerHead& aHead, const char* aObject)
{
  return { { "id", aHead.id },
           { "object", aObject },
           { "created", aHead.created },
           { "model", aHead.model } };
}

} // namespace

ChatResult
ParseChatCall(const std::string& aBody)
{
  json::error_code error;
  json::value parsed = json::parse(aBody, error);
  if (error || !parsed.is_object()) {
    return MakeParseError("the body is not a JSON object");
  }
  const auto& body = parsed.get_object();
  const auto* model = body.if_contains("model");
  if (model == nullptr || !model->is_string()) {
    return MakeParseError("/model must be a string");
  }
  const auto* messages = body.if_contains("messages");
  if (messages == nullptr || !messages->is_array() ||
      messages->get_array().empty()) {
    return MakeParseError("/messages must be an array of at least one message");
  }
  auto prompt = CollectPrompt(messages->get_array());
  if (!prompt) {
    return MakeParseError("/messages: each message needs a role and content");
  }
  bool isValid = true;
  auto limit = ReadOutputLimit(body, isValid);
  if (!isValid) {
    return MakeParseError("/max_tokens must be an integer in 1..1000000");
  }
  const auto* choices = body.if_contains("n");
  if (choices != nullptr && *choices != json::value(1)) {
    return MakeParseError("/n must be 1");
  }
  ChatCall call;
  call.model = ModelName(std::string(model->get_string()));
  // The bound counts the whole body, since it may also contain tools and
  // templates.
  call.maxPromptTokens =
    budget::MaxPromptTokens(aBody.size(), messages->get_array().size());
  call.prefix = HashPrefixes(*prompt);
  call.hasOutputLimit = limit.has_value();
  call.maxOutput = Tokens(limit.value_or(0));
  const auto* stream = body.if_contains("stream");
  call.stream = stream != nullptr && *stream == json::value(true);
  call.body = aBody;
  return call;
}

std::string
FormatEngineRequest(const ChatCall& aCall,
                    Tokens aMaxOutput,
                    const std::string& aResumeText)
{
  json::object body = json::parse(aCall.body).as_object();
  body.erase("max_completion_tokens");
  body["max_tokens"] = aMaxOutput.Get();
  body["stream"] = true;
  body["priority"] = static_cast<int>(aCall.priority);
  body["stream_options"] = { { "include_usage", true },
                             { "continuous_usage_stats", true } };
  if (!aResumeText.empty()) {
    body["resume_text"] = aResumeText;
  }
  return json::serialize(body);
}

std::vector<std::string>
ChatEventReader::Feed(const std::string& aChunk)
{
  std::vector<std::string> events;
  this->pending += aChunk;
  std::size_t start = 0;
  for (;;) {
    std::size_t end = this->pending.find("\n\n", start);
    if (end == std::string::npos) {
      break;
    }
    std::string event = this->pending.substr(start, end - start);
    start = end + 2;
    if (event.starts_with("data:")) {
      std::size_t begin = event.find_first_not_of(' ', 5);
      events.push_back(begin == std::string::npos ? "" : event.substr(begin));
    }
  }
  this->pending.erase(0, start);
  return events;
}

std::optional<ChatEvent>
ParseChatEvent(const std::string& aData)
{
  ChatEvent event;
  if (aData == "[DONE]") {
    event.isDone = true;
    return event;
  }
  json::error_code error;
  json::value parsed = json::parse(aData, error);
  if (error || !parsed.is_object()) {
    return std::nullopt;
  }
  const auto& object = parsed.get_object();
  event.usage = ReadUsage(object);
  const auto* choices = object.if_contains("choices");
  if (choices == nullptr || !choices->is_array() ||
      choices->get_array().empty()) {
    return event;
  }
  json::error_code ignored;
  const json::value& choice = choices->get_array().front();
  if (const auto* content = choice.find_pointer("/delta/content", ignored);
      content != nullptr && content->is_string()) {
    event.delta = std::string(content->get_string());
  }
  if (const auto* reason = choice.find_pointer("/finish_reason", ignored);
      reason != nullptr && reason->is_string()) {
    event.finishReason = std::string(reason->get_string());
  }
  return event;
}

std::string
FormatChatChunk(const AnswerHead& aHead,
                const std::string& aDelta,
                const std::string& aFinishReason)
{
  json::object chunk = FormatHead(aHead, "chat.completion.chunk");
  json::object delta;
  if (!aDelta.empty()) {
    delta["content"] = aDelta;
  }
  json::value reason = nullptr;
  if (!aFinishReason.empty()) {
    reason = aFinishReason;
  }
  chunk["choices"] = json::array{ json::object{
    { "index", 0 }, { "delta", delta }, { "finish_reason", reason } } };
  return FormatEvent(chunk);
}

std::string
FormatStreamEnd(const AnswerHead& aHead, const Usage& aUsage)
{
  json::object chunk = FormatHead(aHead, "chat.completion.chunk");
  chunk["choices"] = json::array{};
  chunk["usage"] = FormatUsage(aUsage);
  return FormatEvent(chunk) + "data: [DONE]\n\n";
}

std::string
FormatStreamError(const char* aCode, const std::string& aMessage)
{
  return FormatEvent(json::object{
    { "error",
      { { "code", aCode }, { "message", aMessage }, { "ran", "ran" } } } });
}

std::string
FormatAnswer(const AnswerHead& aHead,
             const std::string& aText,
             const std::string& aFinishReason,
             const Usage& aUsage)
{
  json::object answer = FormatHead(aHead, "chat.completion");
  answer["choices"] = json::array{ json::object{
    { "index", 0 },
    { "message", { { "role", "assistant" }, { "content", aText } } },
    { "finish_reason", aFinishReason } } };
  answer["usage"] = FormatUsage(aUsage);
  return json::serialize(answer);
}

std::string
FormatError(const char* aCode,
            const std::string& aMessage,
            ExecutionState aRan,
            const RequestId& aRequest)
{
  return json::serialize(json::object{ { "error",
                                         { { "code", aCode },
                                           { "message", aMessage },
                                           { "ran", ToString(aRan) },
                                           { "request", aRequest.Get() } } } });
}

} // namespace lycheestand::router
