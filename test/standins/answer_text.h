#ifndef LYCHEESTAND_TEST_STANDINS_ANSWER_TEXT_H
#define LYCHEESTAND_TEST_STANDINS_ANSWER_TEXT_H

// The text that the engine stand-in generates for a prompt. Tests compute the
// same text to check that an answer is complete and belongs to its caller.

#include <cstdint>
#include <string>
#include <string_view>

namespace lycheestand::standins {

// Returns the 64-bit FNV-1a hash of a text; aHash continues an earlier one.
inline std::uint64_t
HashText(std::string_view aText, std::uint64_t aHash = 14695981039346656037ULL)
{
  for (unsigned char byte : aText) {
    aHash = (aHash ^ byte) * 1099511628211ULL;
  }
  return aHash;
}

// Returns one chat message as it appears in the prompt's text.
inline std::string
FormatPromptMessage(const std::string& aRole, const std::string& aContent)
{
  return aRole + "\n" + aContent + "\n";
}

// Returns the token at an index of the answer; each token ends in a space.
inline std::string
TokenAt(std::uint64_t aPromptHash, std::int64_t aIndex)
{
  // The multiplier (2^64 divided by the golden ratio) distributes consecutive
  // indexes over the upper bits, which become the token.
  std::uint64_t mixed =
    (aPromptHash ^ static_cast<std::uint64_t>(aIndex)) * 0x9E3779B97F4A7C15ULL;
  return "w" + std::to_string(mixed >> 48) + " ";
}

// Returns the first aTokens tokens of the answer to a prompt's text.
inline std::string
AnswerText(std::string_view aPrompt, std::int64_t aTokens)
{
  std::string text;
  std::uint64_t hash = HashText(aPrompt);
  for (std::int64_t i = 0; i < aTokens; ++i) {
    text += TokenAt(hash, i);
  }
  return text;
}

} // namespace lycheestand::standins

#endif
