#include "tasks.h"

#include <boost/json.hpp>

namespace lycheestand::control {

namespace json = boost::json;

namespace {

constexpr Duration kPollInterval = std::chrono::seconds(1);

// Returns the endpoint in an item of the platform's list, if it is one.
std::optional<wire::EndpointEntry>
ReadEndpoint(const json::value& aItem)
{
  json::error_code error;
  auto read = [&](const char* aPointer) -> std::string {
    const auto* value = aItem.find_pointer(aPointer, error);
    return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : "";
  };
  auto address = ParseAddress(read("/address"));
  const std::string kind = read("/kind");
  if (address.has_error() || (kind != "model" && kind != "service")) {
    return std::nullopt;
  }
  wire::EndpointEntry entry;
  entry.endpoint = EndpointId(read("/id"));
  entry.zone = ZoneId(read("/zone"));
  entry.address = address.value();
  entry.serves = read("/serves");
  entry.isService = kind == "service";
  entry.leaving = read("/state") == "leaving";
  return entry;
}

// Returns the endpoints in the platform's list, or nothing if it is malformed.
std::optional<std::vector<wire::EndpointEntry>>
ReadList(const std::string& aBody)
{
  json::error_code error;
  json::value parsed = json::parse(aBody, error);
  if (error || !parsed.is_array()) {
    return std::nullopt;
  }
  std::vector<wire::EndpointEntry> endpoints;
  for (const auto& item : parsed.get_array()) {
    if (auto entry = ReadEndpoint(item)) {
      endpoints.push_back(std::move(*entry));
    }
  }
  return endpoints;
}

// Reads the platform's list; while that fails, the last list stays.
class PlatformPoller : public net::IoTask
{
public:
  PlatformPoller(caf::actor_config& aConfig,
                 net::Runtime aRuntime,
                 caf::actor aPool,
                 Address aPlatform,
                 caf::actor aFleet)
    : net::IoTask(aConfig, aRuntime, std::move(aPool))
    , platform(std::move(aPlatform))
    , fleet(std::move(aFleet))
  {
  }

protected:
  void Start() override { this->Poll(); }

private:
  void Poll()
  {
    net::CallOptions options;
    options.idleTimeout = kPollInterval;
    this->Fetch(
      this->platform,
      { "GET", "/instances", {}, "" },
      options,
      [this](const Result<net::HttpResponse, net::CallFailure>& aResult) {
        if (aResult.has_value() && aResult.value().status == 200) {
          this->Take(aResult.value().body);
        }
        this->After(kPollInterval, [this] { this->Poll(); });
      });
  }

  void Take(const std::string& aBody)
  {
    if (auto endpoints = ReadList(aBody)) {
      this->send(this->fleet, EndpointList{ std::move(*endpoints) });
    } else {
      net::Log(net::LogLevel::Warning, "the platform's list is malformed");
    }
  }

  Address platform;
  caf::actor fleet;
};

} // namespace

caf::actor
SpawnPlatformPoller(const net::Runtime& aRuntime,
                    caf::actor aPool,
                    const Address& aPlatform,
                    caf::actor aFleet)
{
  return aRuntime.system->spawn<PlatformPoller>(
    aRuntime, std::move(aPool), aPlatform, std::move(aFleet));
}

} // namespace lycheestand::control
