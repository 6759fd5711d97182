#include "reader.h"

#include <filesystem>

namespace lycheestand::settings {

namespace {

std::vector<AdminAddress>
ReadAddresses(const Reader& aReader)
{
  std::vector<AdminAddress> out;
  std::set<InstanceId> seen;
  for (const auto& item : aReader.Items()) {
    item.RejectUnknownKeys({ "instance", "admin" });
    InstanceId instance(item.Get("instance").Name());
    if (!seen.insert(instance).second) {
      item.Get("instance").Fail("\"" + instance.Get() + "\" is listed twice");
    }
    out.push_back({ instance, item.Get("admin").ReadAddress() });
  }
  return out;
}

ClientSettings
ReadClient(const Reader& aReader)
{
  aReader.RejectUnknownKeys({ "control", "instances", "operator_key_file" });
  ClientSettings settings;
  settings.control = ReadAddresses(aReader.Get("control"));
  if (settings.control.empty()) {
    aReader.Get("control").FailInvalidValue(
      "an array of at least one control instance");
  }
  if (auto instances = aReader.Find("instances")) {
    settings.instances = ReadAddresses(*instances);
  }
  settings.operatorKeyFile = aReader.Get("operator_key_file").Name();
  return settings;
}

} // namespace

Result<ClientSettings, SettingsError>
ParseClientSettings(std::string_view aText)
{
  try {
    auto json = ParseJson(aText);
    return ReadClient(Reader(json, ""));
  } catch (const ReadFailure& failure) {
    return failure.error;
  }
}

Result<ClientSettings, SettingsError>
LoadClientSettings(const std::string& aPath)
{
  auto source = ReadSource(aPath);
  if (source.has_error()) {
    return source.error();
  }
  auto settings = ParseClientSettings(source.value().text);
  if (settings.has_error()) {
    SettingsError error = settings.error();
    error.file = aPath;
    return error;
  }
  auto& value = settings.value();
  value.operatorKeyFile =
    (std::filesystem::path(aPath).parent_path() / value.operatorKeyFile)
      .string();
  return settings;
}

} // namespace lycheestand::settings
