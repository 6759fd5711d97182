#include "soak_support.h"

#include <boost/json.hpp>
#include <cstdlib>

namespace lycheestand::faults {

namespace json = boost::json;

int
ReadOption(const char* aVariable, int aDefault)
{
  const char* text = std::getenv(aVariable);
  return text == nullptr ? aDefault : std::atoi(text);
}

bool
IsChance(std::mt19937& aRandom, unsigned aPercent)
{
  constexpr unsigned kPercent = 100;
  return aRandom() % kPercent < aPercent;
}

Duration
RandomTime(std::mt19937& aRandom, unsigned aMinMs, unsigned aMaxMs)
{
  return std::chrono::milliseconds(aMinMs + aRandom() % (aMaxMs - aMinMs));
}

std::string
CodeOf(const Reply& aReply)
{
  json::error_code error;
  auto body = json::parse(aReply.body, error);
  if (error) {
    return "";
  }
  auto* code = body.find_pointer("/error/code", error);
  return code != nullptr && code->is_string()
           ? " " + std::string(code->as_string())
           : "";
}

} // namespace lycheestand::faults
