#include "mix.h"

#include <boost/json.hpp>

namespace lycheestand::bench {

namespace {

// Units or designs that callers ask about. Calls about the same one share a
// prompt prefix.
constexpr std::uint64_t kSubjectCount = 200;

constexpr std::size_t kSummaryPromptBytes = 6000;
constexpr std::size_t kExplanationPromptBytes = 300;
constexpr std::size_t kChatPromptBytes = 1200;

// Returns the weights of summary, explanation, chat, booking and lookup.
std::discrete_distribution<std::size_t>
CallKindWeights(const std::string& aName)
{
  if (aName == "kalkki") {
    return { 20, 30, 30, 8, 12 };
  }
  if (aName == "cascadia") {
    return { 25, 20, 40, 5, 10 };
  }
  if (aName == "lookup") {
    return { 0, 0, 0, 0, 1 };
  }
  return { 0, 0, 1, 0, 0 };
}

} // namespace

const char*
ToString(CallKind aKind)
{
  switch (aKind) {
    case CallKind::Summary:
      return "summary";
    case CallKind::Explanation:
      return "explanation";
    case CallKind::Chat:
      return "chat";
    case CallKind::Booking:
      return "booking";
    case CallKind::Lookup:
      break;
  }
  return "lookup";
}

Mix::Mix(const std::string& aName,
         std::string aModel,
         std::string aService,
         std::uint64_t aSeed)
  : model(std::move(aModel))
  , service(std::move(aService))
  , random(aSeed)
  , kinds(CallKindWeights(aName))
  , seed(aSeed)
{
}

PlannedCall
Mix::Next()
{
  auto kind = static_cast<CallKind>(this->kinds(this->random));
  std::uint64_t subject = this->random() % kSubjectCount;
  std::string number = std::to_string(this->count++);
  std::string question = " question " + number;
  switch (kind) {
    case CallKind::Summary:
      return { kind,
               this->MakeChat(this->MakeText(kSummaryPromptBytes, subject) +
                                question,
                              200,
                              false,
                              "batch") };
    case CallKind::Explanation:
      return { kind,
               this->MakeChat(this->MakeText(kExplanationPromptBytes, subject) +
                                question,
                              60,
                              true,
                              "interactive") };
    case CallKind::Chat:
      return { kind,
               this->MakeChat(this->MakeText(kChatPromptBytes, subject) +
                                question,
                              80,
                              true,
                              "interactive") };
    case CallKind::Booking:
      return { kind,
               { "POST",
                 "/services/" + this->service + "/visits",
                 { { "Content-Type", "application/json" },
                   { "Idempotency-Key",
                     "load-" + std::to_string(this->seed) + "-" + number } },
                 R"({"unit":)" + std::to_string(subject) + "}" } };
    case CallKind::Lookup:
      break;
  }
  return { kind,
           { "GET",
             "/services/" + this->service + "/units/" + std::to_string(subject),
             {},
             "" } };
}

net::HttpRequest
Mix::MakeChat(const std::string& aPrompt,
              int aMaxTokens,
              bool aStream,
              const char* aPriority) const
{
  boost::json::object body{
    { "model", this->model },
    { "max_tokens", aMaxTokens },
    { "stream", aStream },
    { "messages",
      boost::json::array{
        boost::json::object{ { "role", "user" }, { "content", aPrompt } } } }
  };
  return { "POST",
           "/v1/chat/completions",
           { { "Content-Type", "application/json" },
             { "X-Priority", aPriority } },
           boost::json::serialize(body) };
}

std::string
Mix::MakeText(std::size_t aBytes, std::uint64_t aSeed) const
{
  std::mt19937_64 words(aSeed);
  std::string text = "subject " + std::to_string(aSeed);
  while (text.size() < aBytes) {
    text += " word" + std::to_string(words() % 10000);
  }
  return text;
}

} // namespace lycheestand::bench
