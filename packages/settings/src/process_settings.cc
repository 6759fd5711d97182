#include "reader.h"

#include <algorithm>
#include <bit>

namespace lycheestand::settings {

namespace {

constexpr std::size_t kHashDigits = 64;

Role
ReadRole(const Reader& aReader)
{
  std::string text = aReader.OneOf({ "router", "control", "both" });
  if (text == "router") {
    return Role::Router;
  }
  return text == "control" ? Role::Control : Role::Both;
}

// Fails if a value is in use already. Two control instances at one address
// would count twice for a quorum.
void
CheckUnique(const Reader& aItem,
            const char* aName,
            const std::string& aValue,
            std::map<std::string, std::string>& aSeen)
{
  Reader member = aItem.Get(aName);
  auto [seen, isNew] = aSeen.emplace(aValue, member.Pointer());
  if (!isNew) {
    member.Fail("\"" + aValue + "\" is already used by " + seen->second);
  }
}

std::vector<ControlMember>
ReadControlMembers(const Reader& aReader)
{
  std::vector<ControlMember> members;
  std::map<std::string, std::string> instances;
  std::map<std::string, std::string> addresses;
  for (const auto& item : aReader.Items()) {
    item.RejectUnknownKeys({ "instance", "peer", "admin" });
    ControlMember member{ InstanceId(item.Get("instance").Name()),
                          item.Get("peer").ReadAddress(),
                          item.Get("admin").ReadAddress() };
    CheckUnique(item, "instance", member.instance.Get(), instances);
    CheckUnique(item, "peer", ToString(member.peer), addresses);
    CheckUnique(item, "admin", ToString(member.admin), addresses);
    members.push_back(std::move(member));
  }
  if (members.empty()) {
    aReader.FailInvalidValue("an array of at least one control instance");
  }
  return members;
}

Milliseconds
ReadMilliseconds(const Reader& aReader,
                 const char* aName,
                 Milliseconds aDefault,
                 std::int64_t aMin,
                 std::int64_t aMax)
{
  auto member = aReader.Find(aName);
  return member ? Milliseconds(member->Integer(aMin, aMax)) : aDefault;
}

std::size_t
ReadSize(const Reader& aReader,
         const char* aName,
         std::size_t aDefault,
         std::int64_t aMin,
         std::int64_t aMax)
{
  auto member = aReader.Find(aName);
  return member ? static_cast<std::size_t>(member->Integer(aMin, aMax))
                : aDefault;
}

// Fails if a key is present that has no effect in this role.
void
RejectKeys(const Reader& aReader,
           const std::vector<std::string>& aNames,
           const char* aRole)
{
  for (const auto& name : aNames) {
    if (auto member = aReader.Find(name)) {
      member->Fail("has no effect when /role is \"" + std::string(aRole) +
                   "\"");
    }
  }
}

void
ReadAddresses(const Reader& aReader, ProcessSettings& aSettings)
{
  std::map<std::string, std::string> seen;
  auto read = [&](const char* aName) {
    Address address = aReader.Get(aName).ReadAddress();
    CheckUnique(aReader, aName, ToString(address), seen);
    return address;
  };
  if (aSettings.role == Role::Control) {
    RejectKeys(aReader, { "caller_address" }, "control");
  } else {
    aSettings.callerAddress = read("caller_address");
  }
  if (aSettings.role == Role::Router) {
    RejectKeys(aReader, { "data_folder", "platform_list" }, "router");
    if (aReader.Find("peer_address")) {
      aSettings.peerAddress = read("peer_address");
    }
  } else {
    aSettings.peerAddress = read("peer_address");
    aSettings.dataFolder = aReader.Get("data_folder").Name();
  }
  aSettings.adminAddress = read("admin_address");
  if (auto list = aReader.Find("platform_list")) {
    aSettings.endpointListAddress = list->ReadAddress();
  }
}

// Fails if a control instance isn't in its own list: it couldn't take part in a
// quorum.
void
CheckOwnMember(const Reader& aReader, const ProcessSettings& aSettings)
{
  bool isListed = std::any_of(
    aSettings.control.begin(), aSettings.control.end(), [&](const auto& aItem) {
      return aItem.instance == aSettings.instance;
    });
  if (aSettings.role != Role::Router && !isListed) {
    aReader.Get("control").Fail("must list this instance, \"" +
                                aSettings.instance.Get() + "\"");
  }
}

// Control needs at least one hash: without an operator's key, nobody could
// create a workspace.
std::vector<KeyHash>
ReadOperatorHashes(const Reader& aReader, Role aRole)
{
  auto hashes = aReader.Find("operator_key_hashes");
  if (!hashes && aRole == Role::Router) {
    return {};
  }
  std::vector<KeyHash> out;
  for (const auto& item : aReader.Get("operator_key_hashes").Items()) {
    std::string text = item.String();
    if (text.size() != kHashDigits ||
        text.find_first_not_of("0123456789abcdef") != std::string::npos) {
      item.FailInvalidValue("a hash of 64 hexadecimal digits, as printed by "
                            "\"lycheestand secret operator\"");
    }
    out.emplace_back(std::move(text));
  }
  if (out.empty() && aRole != Role::Router) {
    hashes->FailInvalidValue("an array of at least one hash");
  }
  return out;
}

void
ReadLimits(const Reader& aReader, ProcessSettings& aSettings)
{
  aSettings.entryCacheTime = ReadMilliseconds(
    aReader, "entry_keep_ms", aSettings.entryCacheTime, 100, 600000);
  aSettings.confirmationLimit = ReadMilliseconds(
    aReader, "confirmation_limit_ms", aSettings.confirmationLimit, 1000, 6000);
  aSettings.headerTimeout = ReadMilliseconds(
    aReader, "header_timeout_ms", aSettings.headerTimeout, 100, 600000);
  aSettings.requestTimeout = ReadMilliseconds(
    aReader, "request_timeout_ms", aSettings.requestTimeout, 100, 600000);
  aSettings.threads = ReadSize(aReader, "threads", aSettings.threads, 1, 64);
  aSettings.maxConnections =
    ReadSize(aReader, "max_connections", aSettings.maxConnections, 1, 1000000);
  aSettings.maxBodyBytes =
    ReadSize(aReader, "max_body_bytes", aSettings.maxBodyBytes, 1024, 1 << 28);
  aSettings.maxHeaderBytes = ReadSize(
    aReader, "max_header_bytes", aSettings.maxHeaderBytes, 1024, 1 << 20);
  auto leastBuffered =
    LeastBufferedBytes(aSettings.maxBodyBytes, aSettings.maxHeaderBytes);
  aSettings.maxBufferedBytes =
    ReadSize(aReader,
             "max_buffered_bytes",
             std::max(aSettings.maxBufferedBytes, leastBuffered),
             static_cast<std::int64_t>(leastBuffered),
             std::int64_t(1) << 40);
}

ProcessSettings
ReadProcess(const Reader& aReader)
{
  aReader.RejectUnknownKeys({ "instance",
                              "zone",
                              "role",
                              "caller_address",
                              "peer_address",
                              "admin_address",
                              "control",
                              "fleet_key_file",
                              "operator_key_hashes",
                              "data_folder",
                              "platform_list",
                              "log_level",
                              "log_format",
                              "entry_keep_ms",
                              "confirmation_limit_ms",
                              "threads",
                              "max_connections",
                              "max_body_bytes",
                              "max_buffered_bytes",
                              "max_header_bytes",
                              "header_timeout_ms",
                              "request_timeout_ms" });
  ProcessSettings settings;
  settings.instance = InstanceId(aReader.Get("instance").Name());
  settings.zone = ZoneId(aReader.Get("zone").Name());
  settings.role = ReadRole(aReader.Get("role"));
  ReadAddresses(aReader, settings);
  settings.control = ReadControlMembers(aReader.Get("control"));
  settings.controlVoters = settings.control.size();
  CheckOwnMember(aReader, settings);
  settings.fleetKeyFile = aReader.Get("fleet_key_file").Name();
  settings.operatorKeyHashes = ReadOperatorHashes(aReader, settings.role);
  if (auto level = aReader.Find("log_level")) {
    settings.logLevel = level->OneOf({ "debug", "info", "warning", "error" });
  }
  if (auto format = aReader.Find("log_format")) {
    settings.logFormat = format->OneOf({ "text", "json" });
  }
  ReadLimits(aReader, settings);
  return settings;
}

} // namespace

std::size_t
LeastBufferedBytes(std::size_t aMaxBodyBytes, std::size_t aMaxHeaderBytes)
{
  constexpr std::size_t kCopies = 2;
  constexpr std::size_t kShareDivisor = 2;
  // A header of many short fields takes this many times its bytes.
  constexpr std::size_t kHeaderMemory = 40;
  constexpr std::size_t kReadBuffer = 64 * 1024;
  // Connections ask for memory in steps of an eighth of a power of two.
  constexpr std::size_t kSteps = 8;
  std::size_t bytes =
    aMaxBodyBytes * kCopies + aMaxHeaderBytes * kHeaderMemory + kReadBuffer;
  std::size_t step = std::bit_ceil(bytes) / kSteps;
  return (bytes + step - 1) / step * step * kShareDivisor;
}

Result<ProcessSettings, SettingsError>
ParseProcessSettings(std::string_view aText)
{
  try {
    auto json = ParseJson(aText);
    return ReadProcess(Reader(json, ""));
  } catch (const ReadFailure& failure) {
    return failure.error;
  }
}

Result<ProcessSettings, SettingsError>
LoadProcessSettings(const std::string& aPath)
{
  auto source = ReadSource(aPath);
  if (source.has_error()) {
    return source.error();
  }
  auto settings = ParseProcessSettings(source.value().text);
  if (settings.has_error()) {
    SettingsError error = settings.error();
    error.file = aPath;
    return error;
  }
  return settings;
}

} // namespace lycheestand::settings
