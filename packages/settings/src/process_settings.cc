#include "reader.h"

#include <fstream>
#include <sstream>

namespace lycheestand::settings {

namespace {

Role
ReadRole(const Reader& aReader)
{
  std::string text = aReader.String();
  if (text == "router") {
    return Role::Router;
  }
  if (text == "control") {
    return Role::Control;
  }
  if (text == "both") {
    return Role::Both;
  }
  aReader.Fail("must be \"router\", \"control\" or \"both\", not \"" + text +
               "\"");
}

std::vector<ControlMember>
ReadControl(const Reader& aReader)
{
  std::vector<ControlMember> members;
  std::size_t index = 0;
  for (const auto& value : aReader.Array()) {
    Reader member(value, aReader.Pointer() + "/" + std::to_string(index++));
    member.AllowOnly({ "instance", "peer", "admin" });
    members.push_back({ InstanceId(member.Get("instance").String()),
                        member.Get("peer").ReadAddress(),
                        member.Get("admin").ReadAddress() });
  }
  if (members.empty()) {
    aReader.Fail("must name at least one control instance");
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

void
ReadAddresses(const Reader& aReader, ProcessSettings& aSettings)
{
  if (aSettings.role != Role::Control) {
    aSettings.callerAddress = aReader.Get("caller_address").ReadAddress();
  }
  if (aSettings.role != Role::Router) {
    aSettings.peerAddress = aReader.Get("peer_address").ReadAddress();
    aSettings.dataFolder = aReader.Get("data_folder").String();
  }
  aSettings.adminAddress = aReader.Get("admin_address").ReadAddress();
  if (auto list = aReader.Find("platform_list")) {
    aSettings.platformList = list->ReadAddress();
  }
}

void
ReadLimits(const Reader& aReader, ProcessSettings& aSettings)
{
  aSettings.entryKeepTime = ReadMilliseconds(
    aReader, "entry_keep_ms", aSettings.entryKeepTime, 100, 600000);
  aSettings.confirmationLimit = ReadMilliseconds(
    aReader, "confirmation_limit_ms", aSettings.confirmationLimit, 1000, 6000);
  aSettings.requestTimeout = ReadMilliseconds(
    aReader, "request_timeout_ms", aSettings.requestTimeout, 100, 600000);
  aSettings.maxConnections =
    ReadSize(aReader, "max_connections", aSettings.maxConnections, 1, 1000000);
  aSettings.maxBodyBytes =
    ReadSize(aReader, "max_body_bytes", aSettings.maxBodyBytes, 1024, 1 << 28);
  aSettings.maxHeaderBytes = ReadSize(
    aReader, "max_header_bytes", aSettings.maxHeaderBytes, 1024, 1 << 20);
}

ProcessSettings
ReadProcess(const Reader& aReader)
{
  aReader.AllowOnly({ "instance",
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
                      "max_connections",
                      "max_body_bytes",
                      "max_header_bytes",
                      "request_timeout_ms" });
  ProcessSettings settings;
  settings.instance = InstanceId(aReader.Get("instance").String());
  settings.zone = ZoneId(aReader.Get("zone").String());
  settings.role = ReadRole(aReader.Get("role"));
  ReadAddresses(aReader, settings);
  settings.control = ReadControl(aReader.Get("control"));
  settings.fleetKeyFile = aReader.Get("fleet_key_file").String();
  if (auto hashes = aReader.Find("operator_key_hashes")) {
    for (const auto& hash : hashes->Array()) {
      settings.operatorKeyHashes.emplace_back(
        Reader(hash, hashes->Pointer()).String());
    }
  }
  if (auto level = aReader.Find("log_level")) {
    settings.logLevel = level->String();
  }
  if (auto format = aReader.Find("log_format")) {
    settings.logFormat = format->String();
  }
  ReadLimits(aReader, settings);
  return settings;
}

} // namespace

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
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return SettingsError{ aPath, "", "can't be read" };
  }
  auto settings = ParseProcessSettings(text.str());
  if (settings.has_error()) {
    SettingsError error = settings.error();
    error.file = aPath;
    return error;
  }
  return settings;
}

} // namespace lycheestand::settings
