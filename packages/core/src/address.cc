#include <charconv>
#include <lycheestand/core.h>

namespace lycheestand {

std::string
ToString(const Address& aAddress)
{
  return aAddress.host + ":" + std::to_string(aAddress.port);
}

Result<Address, std::string>
ParseAddress(const std::string& aText)
{
  using R = Result<Address, std::string>;
  auto colon = aText.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return R(boost::outcome_v2::in_place_type<std::string>,
             "\"" + aText + "\" is not an address of the form host:port");
  }
  unsigned port = 0;
  const char* first = aText.data() + colon + 1;
  const char* last = aText.data() + aText.size();
  auto [end, error] = std::from_chars(first, last, port);
  if (error != std::errc() || end != last || port == 0 || port > 65535) {
    return R(boost::outcome_v2::in_place_type<std::string>,
             "\"" + aText + "\" has an invalid port; use a number in 1..65535");
  }
  return Address{ aText.substr(0, colon), static_cast<std::uint16_t>(port) };
}

} // namespace lycheestand
