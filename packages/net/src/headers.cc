#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/lexical_cast.hpp>
#include <lycheestand/net.h>

namespace lycheestand::net {

namespace {

constexpr double kMaxRetrySeconds = 3600;

} // namespace

std::optional<std::string>
FindHeader(const Headers& aHeaders, std::string_view aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (boost::beast::iequals(name, aName)) {
      return value;
    }
  }
  return std::nullopt;
}

std::optional<Duration>
FindRetryAfter(const Headers& aHeaders)
{
  auto text = FindHeader(aHeaders, "Retry-After");
  double seconds = 0;
  if (!text || !boost::conversion::try_lexical_convert(*text, seconds) ||
      !(seconds >= 0)) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::min(seconds, kMaxRetrySeconds)));
}

} // namespace lycheestand::net
