#include <boost/beast/core/string.hpp>
#include <lycheestand/net.h>

namespace lycheestand::net {

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

} // namespace lycheestand::net
