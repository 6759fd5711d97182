#include <boost/json.hpp>
#include <lycheestand/discovery.h>

namespace lycheestand::discovery {

namespace json = boost::json;

namespace {

// Returns the endpoint that a list item describes, or nothing if the item has
// no valid address or kind, or a version that is too long.
std::optional<membership::Endpoint>
ReadEndpoint(const json::value& aItem)
{
  json::error_code error;
  auto readString = [&](const char* aPointer) -> std::string {
    const auto* value = aItem.find_pointer(aPointer, error);
    return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : "";
  };
  auto address = ParseAddress(readString("/address"));
  const std::string kind = readString("/kind");
  const std::string version = readString("/version");
  if (address.has_error() || (kind != "model" && kind != "service") ||
      version.size() > kMaxVersionBytes) {
    return std::nullopt;
  }
  membership::Endpoint entry;
  entry.endpoint = EndpointId(readString("/id"));
  entry.zone = ZoneId(readString("/zone"));
  entry.address = address.value();
  entry.serves = readString("/serves");
  entry.isService = kind == "service";
  entry.leaving = readString("/state") == "leaving";
  entry.version = SoftwareVersion(version);
  return entry;
}

std::optional<ListPage>
ReadList(const std::string& aBody)
{
  json::error_code error;
  json::value parsed = json::parse(aBody, error);
  if (error || !parsed.is_array()) {
    return std::nullopt;
  }
  ListPage page;
  for (const auto& item : parsed.get_array()) {
    if (auto entry = ReadEndpoint(item)) {
      page.endpoints.push_back(std::move(*entry));
    } else {
      ++page.malformedEntries;
    }
  }
  return page;
}

} // namespace

ListFormat
MakePlainFormat()
{
  return { [](const std::string&) { return std::string("/instances"); },
           ReadList };
}

} // namespace lycheestand::discovery
