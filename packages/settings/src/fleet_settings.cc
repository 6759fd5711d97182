#include "reader.h"

namespace lycheestand::settings {

namespace {

std::set<std::string>
ReadNames(const Reader& aReader)
{
  std::set<std::string> names;
  for (const auto& value : aReader.Array()) {
    names.insert(Reader(value, aReader.Pointer()).String());
  }
  return names;
}

ModelSettings
ReadModel(const Reader& aReader)
{
  aReader.AllowOnly(
    { "max_output_tokens", "min_output_tokens", "first_token_timeout_ms" });
  ModelSettings model;
  if (auto tokens = aReader.Find("max_output_tokens")) {
    model.maxOutput = Tokens(tokens->Integer(1, 1000000));
  }
  if (auto tokens = aReader.Find("min_output_tokens")) {
    model.minOutput = Tokens(tokens->Integer(1, model.maxOutput.Get()));
  }
  if (auto time = aReader.Find("first_token_timeout_ms")) {
    model.firstTokenTimeout = Milliseconds(time->Integer(100, 600000));
  }
  return model;
}

ServiceSettings
ReadService(const Reader& aReader)
{
  aReader.AllowOnly({ "routes", "timeout_ms" });
  ServiceSettings service;
  if (auto time = aReader.Find("timeout_ms")) {
    service.timeout = Milliseconds(time->Integer(10, 600000));
  }
  Reader routes = aReader.Get("routes");
  std::size_t index = 0;
  for (const auto& value : routes.Array()) {
    Reader route(value, routes.Pointer() + "/" + std::to_string(index++));
    route.AllowOnly({ "method", "path", "repeatable" });
    service.routes.push_back({ route.Get("method").String(),
                               route.Get("path").String(),
                               route.Get("repeatable").Bool() });
  }
  return service;
}

WorkspaceSettings
ReadWorkspace(const Reader& aReader)
{
  aReader.AllowOnly(
    { "first_tokens", "weight", "max_in_flight", "models", "services" });
  WorkspaceSettings workspace;
  if (auto tokens = aReader.Find("first_tokens")) {
    workspace.firstTokens = Tokens(tokens->Integer(0, std::int64_t(1) << 50));
  }
  if (auto weight = aReader.Find("weight")) {
    workspace.weight = static_cast<unsigned>(weight->Integer(1, 1000));
  }
  if (auto limit = aReader.Find("max_in_flight")) {
    workspace.maxInFlight = static_cast<unsigned>(limit->Integer(1, 1000000));
  }
  if (auto models = aReader.Find("models")) {
    workspace.models = ReadNames(*models);
  }
  if (auto services = aReader.Find("services")) {
    workspace.services = ReadNames(*services);
  }
  return workspace;
}

SiteSettings
ReadSite(const Reader& aReader)
{
  aReader.AllowOnly({ "models", "services", "max_in_flight" });
  SiteSettings site;
  if (auto models = aReader.Find("models")) {
    site.models = ReadNames(*models);
  }
  if (auto services = aReader.Find("services")) {
    site.services = ReadNames(*services);
  }
  if (auto limit = aReader.Find("max_in_flight")) {
    site.maxInFlight = static_cast<unsigned>(limit->Integer(1, 1000000));
  }
  return site;
}

AdmissionSettings
ReadAdmission(const Reader& aReader)
{
  aReader.AllowOnly({ "max_wait_ms", "max_queued", "batch_prompt_tokens" });
  AdmissionSettings admission;
  if (auto time = aReader.Find("max_wait_ms")) {
    admission.maxWait = Milliseconds(time->Integer(0, 60000));
  }
  if (auto count = aReader.Find("max_queued")) {
    admission.maxQueued = static_cast<unsigned>(count->Integer(0, 100000));
  }
  if (auto tokens = aReader.Find("batch_prompt_tokens")) {
    admission.batchPrompt = Tokens(tokens->Integer(1, 10000000));
  }
  return admission;
}

// Reads each member of an object into a map keyed by its name.
template<class Key, class Value>
void
ReadMap(const Reader& aReader,
        const char* aName,
        std::map<Key, Value>& aOut,
        Value (*aRead)(const Reader&))
{
  auto section = aReader.Find(aName);
  if (!section) {
    return;
  }
  for (const auto& member : section->Object()) {
    std::string name(member.key());
    aOut.emplace(Key(name), aRead(section->Get(name.c_str())));
  }
}

FleetSettings
ReadFleet(const Reader& aReader)
{
  aReader.AllowOnly({ "models",
                      "services",
                      "workspaces",
                      "sites",
                      "max_in_flight_per_endpoint",
                      "admission" });
  FleetSettings fleet;
  ReadMap(aReader, "models", fleet.models, ReadModel);
  ReadMap(aReader, "services", fleet.services, ReadService);
  ReadMap(aReader, "workspaces", fleet.workspaces, ReadWorkspace);
  ReadMap(aReader, "sites", fleet.sites, ReadSite);
  if (auto limit = aReader.Find("max_in_flight_per_endpoint")) {
    fleet.maxInFlightPerEndpoint =
      static_cast<unsigned>(limit->Integer(1, 100000));
  }
  if (auto admission = aReader.Find("admission")) {
    fleet.admission = ReadAdmission(*admission);
  }
  return fleet;
}

bool
Allows(const std::set<std::string>& aNames, const std::string& aName)
{
  return aNames.contains("*") || aNames.contains(aName);
}

} // namespace

bool
FleetSettings::AllowsModel(const WorkspaceId& aWorkspace,
                           const SiteId& aSite,
                           const ModelName& aModel) const
{
  auto workspace = this->workspaces.find(aWorkspace);
  if (workspace != this->workspaces.end() &&
      !Allows(workspace->second.models, aModel.Get())) {
    return false;
  }
  auto site = this->sites.find(aSite);
  return site == this->sites.end() || Allows(site->second.models, aModel.Get());
}

bool
FleetSettings::AllowsService(const WorkspaceId& aWorkspace,
                             const SiteId& aSite,
                             const ServiceName& aService) const
{
  auto workspace = this->workspaces.find(aWorkspace);
  if (workspace != this->workspaces.end() &&
      !Allows(workspace->second.services, aService.Get())) {
    return false;
  }
  auto site = this->sites.find(aSite);
  return site == this->sites.end() ||
         Allows(site->second.services, aService.Get());
}

Result<FleetSettings, SettingsError>
ParseFleetSettings(std::string_view aText)
{
  try {
    auto json = ParseJson(aText);
    return ReadFleet(Reader(json, ""));
  } catch (const ReadFailure& failure) {
    return failure.error;
  }
}

std::string
FormatFleetSnapshot(std::string_view aDocument,
                    const std::map<KeyHash, CallerKey>& aKeys)
{
  boost::json::object keys;
  for (const auto& [hash, key] : aKeys) {
    keys[hash.Get()] = { { "workspace", key.workspace.Get() },
                         { "site", key.site.Get() } };
  }
  // The document has been checked before it was accepted.
  std::string document = aDocument.empty() ? "{}" : std::string(aDocument);
  return "{\"keys\":" + boost::json::serialize(keys) +
         ",\"settings\":" + document + "}";
}

Result<FleetSnapshot, SettingsError>
ParseFleetSnapshot(std::string_view aText)
{
  try {
    auto json = ParseJson(aText);
    Reader reader(json, "");
    FleetSnapshot snapshot;
    snapshot.settings = ReadFleet(reader.Get("settings"));
    Reader keys = reader.Get("keys");
    for (const auto& member : keys.Object()) {
      std::string hash(member.key());
      Reader key = keys.Get(hash.c_str());
      snapshot.keys[KeyHash(hash)] = { WorkspaceId(
                                         key.Get("workspace").String()),
                                       SiteId(key.Get("site").String()) };
    }
    return snapshot;
  } catch (const ReadFailure& failure) {
    return failure.error;
  }
}

} // namespace lycheestand::settings
