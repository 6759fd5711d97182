#include "fleet_reader.h"

#include <algorithm>

namespace lycheestand::settings {

namespace {

constexpr std::int64_t kMaxWeight = 1000;
constexpr std::int64_t kMaxOutputTokens = 1000000;
constexpr std::int64_t kMaxInFlight = 1000000;

std::set<std::string>
ReadNames(const Reader& aReader)
{
  std::set<std::string> names;
  for (const auto& item : aReader.Items()) {
    std::string name = item.Name();
    if (!names.insert(name).second) {
      item.Fail("\"" + name + "\" is listed twice");
    }
  }
  if (names.size() > 1 && names.contains("*")) {
    aReader.Fail("\"*\" allows all names and must stand alone");
  }
  return names;
}

std::optional<unsigned>
FindUnsigned(const Reader& aReader, const char* aName, std::int64_t aMax)
{
  auto member = aReader.Find(aName);
  return member ? std::optional(static_cast<unsigned>(member->Integer(1, aMax)))
                : std::nullopt;
}

std::optional<Milliseconds>
FindTime(const Reader& aReader, const char* aName, std::int64_t aMinMs)
{
  auto member = aReader.Find(aName);
  return member ? std::optional(Milliseconds(member->Integer(aMinMs, 600000)))
                : std::nullopt;
}

ModelSettings
ReadModel(const Reader& aReader)
{
  aReader.RejectUnknownKeys(
    { "max_output_tokens", "min_output_tokens", "first_token_timeout_ms" });
  ModelSettings model;
  if (auto tokens = aReader.Find("max_output_tokens")) {
    model.maxOutput = Tokens(tokens->Integer(1, kMaxOutputTokens));
  }
  model.minOutput = std::min(model.minOutput, model.maxOutput);
  if (auto tokens = aReader.Find("min_output_tokens")) {
    model.minOutput = Tokens(tokens->Integer(1, model.maxOutput.Get()));
  }
  model.firstTokenTimeout = FindTime(aReader, "first_token_timeout_ms", 100)
                              .value_or(model.firstTokenTimeout);
  return model;
}

// Fails if an earlier route matches all calls of this one: the first match is
// used, so this route's "repeatable" would have no effect.
void
CheckReachable(const Reader& aItem,
               const ServiceRoute& aRoute,
               const std::vector<ServiceRoute>& aEarlier)
{
  for (std::size_t i = 0; i < aEarlier.size(); ++i) {
    if (aEarlier[i].method == aRoute.method &&
        aRoute.pathPrefix.starts_with(aEarlier[i].pathPrefix)) {
      aItem.Fail("is never reached: route " + std::to_string(i) + " (" +
                 aEarlier[i].method + " " + aEarlier[i].pathPrefix +
                 ") matches first; move the longer path before it");
    }
  }
}

ServiceRoute
ReadRoute(const Reader& aReader)
{
  aReader.RejectUnknownKeys({ "method", "path", "repeatable" });
  ServiceRoute route;
  route.method = aReader.Get("method").OneOf(
    { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE" });
  route.pathPrefix = aReader.Get("path").Name();
  if (!route.pathPrefix.starts_with('/')) {
    aReader.Get("path").FailInvalidValue("a path that begins with \"/\"");
  }
  route.repeatable = aReader.Get("repeatable").Bool();
  return route;
}

ServiceSettings
ReadService(const Reader& aReader)
{
  aReader.RejectUnknownKeys({ "routes", "timeout_ms" });
  ServiceSettings service;
  service.timeout =
    FindTime(aReader, "timeout_ms", 10).value_or(service.timeout);
  Reader routes = aReader.Get("routes");
  for (const auto& item : routes.Items()) {
    ServiceRoute route = ReadRoute(item);
    CheckReachable(item, route, service.routes);
    service.routes.push_back(std::move(route));
  }
  if (service.routes.empty()) {
    routes.FailInvalidValue("an array of at least one route");
  }
  return service;
}

WorkspaceSettings
ReadWorkspace(const Reader& aReader)
{
  aReader.RejectUnknownKeys(
    { "first_tokens", "weight", "max_in_flight", "models", "services" });
  WorkspaceSettings workspace;
  if (auto tokens = aReader.Find("first_tokens")) {
    workspace.firstTokens = Tokens(tokens->Integer(0, std::int64_t(1) << 50));
  }
  workspace.weight =
    FindUnsigned(aReader, "weight", kMaxWeight).value_or(workspace.weight);
  workspace.maxInFlight = FindUnsigned(aReader, "max_in_flight", kMaxInFlight)
                            .value_or(workspace.maxInFlight);
  if (auto models = aReader.Find("models")) {
    workspace.models = ReadNames(*models);
  }
  if (auto services = aReader.Find("services")) {
    workspace.services = ReadNames(*services);
  }
  return workspace;
}

AdmissionSettings
ReadAdmission(const Reader& aReader)
{
  aReader.RejectUnknownKeys(
    { "max_wait_ms", "max_queued", "batch_prompt_tokens" });
  AdmissionSettings admission;
  if (auto time = aReader.Find("max_wait_ms")) {
    admission.maxWait = Milliseconds(time->Integer(0, 60000));
  }
  if (auto count = aReader.Find("max_queued")) {
    admission.maxQueued = static_cast<unsigned>(count->Integer(0, 100000));
  }
  if (auto tokens = aReader.Find("batch_prompt_tokens")) {
    admission.batchPromptThreshold = Tokens(tokens->Integer(1, 10000000));
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
    Reader reader = section->Get(name);
    CheckMemberName(reader, name);
    aOut.emplace(Key(name), aRead(reader));
  }
}

template<class Map>
void
CheckNames(const Reader& aReader,
           const char* aMember,
           const char* aKind,
           const Map& aKnown)
{
  auto list = aReader.Find(aMember);
  if (!list) {
    return;
  }
  std::vector<std::string> names;
  for (const auto& [name, ignored] : aKnown) {
    names.push_back(name.Get());
  }
  for (const auto& item : list->Items()) {
    std::string name = item.String();
    if (name != "*" &&
        std::find(names.begin(), names.end(), name) == names.end()) {
      item.Fail("no " + std::string(aKind) + " \"" + name + "\" is configured" +
                SuggestName(name, names));
    }
  }
}

// Checks the allowed names of each member of a section.
void
CheckSection(const Reader& aReader,
             const char* aSection,
             const FleetSettings& aFleet)
{
  auto section = aReader.Find(aSection);
  if (!section) {
    return;
  }
  for (const auto& member : section->Object()) {
    CheckAllowedNames(section->Get(std::string_view(member.key())), aFleet);
  }
}

// A service's name is one segment of the path of its calls.
void
CheckServiceNames(const Reader& aReader, const FleetSettings& aFleet)
{
  for (const auto& [name, service] : aFleet.services) {
    if (name.Get().find('/') != std::string::npos) {
      aReader.Get("services")
        .Get(name.Get())
        .Fail("the name of a service must not contain \"/\"");
    }
  }
}

bool
Allows(const std::set<std::string>& aNames, const std::string& aName)
{
  return aNames.contains("*") || aNames.contains(aName);
}

} // namespace

SiteSettings
ReadSite(const Reader& aReader)
{
  aReader.RejectUnknownKeys({ "models",
                              "services",
                              "weight",
                              "max_in_flight",
                              "max_output_tokens",
                              "first_token_timeout_ms",
                              "service_timeout_ms" });
  SiteSettings site;
  if (auto models = aReader.Find("models")) {
    site.models = ReadNames(*models);
  }
  if (auto services = aReader.Find("services")) {
    site.services = ReadNames(*services);
  }
  site.weight = FindUnsigned(aReader, "weight", kMaxWeight);
  site.maxInFlight = FindUnsigned(aReader, "max_in_flight", kMaxInFlight);
  if (auto tokens = aReader.Find("max_output_tokens")) {
    site.maxOutput = Tokens(tokens->Integer(1, kMaxOutputTokens));
  }
  site.firstTokenTimeout = FindTime(aReader, "first_token_timeout_ms", 100);
  site.serviceTimeout = FindTime(aReader, "service_timeout_ms", 10);
  return site;
}

void
CheckAllowedNames(const Reader& aReader, const FleetSettings& aFleet)
{
  CheckNames(aReader, "models", "model", aFleet.models);
  CheckNames(aReader, "services", "service", aFleet.services);
}

FleetSettings
ReadFleet(const Reader& aReader)
{
  aReader.RejectUnknownKeys({ "models",
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
  fleet.maxInFlightPerEndpoint =
    FindUnsigned(aReader, "max_in_flight_per_endpoint", 100000)
      .value_or(fleet.maxInFlightPerEndpoint);
  CheckServiceNames(aReader, fleet);
  CheckSection(aReader, "workspaces", fleet);
  CheckSection(aReader, "sites", fleet);
  if (auto admission = aReader.Find("admission")) {
    fleet.admission = ReadAdmission(*admission);
  }
  return fleet;
}

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

std::optional<ModelSettings>
FleetSettings::ModelFor(const SiteId& aSite, const ModelName& aModel) const
{
  auto model = this->models.find(aModel);
  if (model == this->models.end()) {
    return std::nullopt;
  }
  ModelSettings settings = model->second;
  auto site = this->sites.find(aSite);
  if (site == this->sites.end()) {
    return settings;
  }
  settings.maxOutput = std::min(
    settings.maxOutput, site->second.maxOutput.value_or(settings.maxOutput));
  settings.minOutput = std::min(settings.minOutput, settings.maxOutput);
  settings.firstTokenTimeout =
    site->second.firstTokenTimeout.value_or(settings.firstTokenTimeout);
  return settings;
}

Milliseconds
FleetSettings::ServiceTimeoutFor(const SiteId& aSite,
                                 const ServiceSettings& aService) const
{
  auto site = this->sites.find(aSite);
  return site == this->sites.end()
           ? aService.timeout
           : site->second.serviceTimeout.value_or(aService.timeout);
}

unsigned
FleetSettings::WeightFor(const WorkspaceId& aWorkspace,
                         const SiteId& aSite) const
{
  auto site = this->sites.find(aSite);
  if (site != this->sites.end() && site->second.weight) {
    return *site->second.weight;
  }
  auto workspace = this->workspaces.find(aWorkspace);
  return workspace == this->workspaces.end() ? WorkspaceSettings{}.weight
                                             : workspace->second.weight;
}

// A site's limit can only lower the workspace's own.
unsigned
FleetSettings::MaxInFlightFor(const WorkspaceId& aWorkspace,
                              const SiteId& aSite) const
{
  auto workspace = this->workspaces.find(aWorkspace);
  unsigned limit = workspace == this->workspaces.end()
                     ? WorkspaceSettings{}.maxInFlight
                     : workspace->second.maxInFlight;
  auto site = this->sites.find(aSite);
  return site == this->sites.end()
           ? limit
           : std::min(limit, site->second.maxInFlight.value_or(limit));
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

namespace {

// Returns a member of the snapshot's object; nothing if no zone is evacuated.
std::string
FormatEvacuatedZones(const std::set<ZoneId>& aZones)
{
  if (aZones.empty()) {
    return "";
  }
  boost::json::array zones;
  for (const auto& zone : aZones) {
    zones.push_back(boost::json::value(zone.Get()));
  }
  return ",\"evacuated_zones\":" + boost::json::serialize(zones);
}

} // namespace

std::string
FormatFleetSnapshot(std::string_view aDocument,
                    const std::map<KeyHash, CallerKey>& aKeys,
                    std::string_view aRoutes,
                    const std::set<ZoneId>& aEvacuatedZones)
{
  boost::json::object keys;
  for (const auto& [hash, key] : aKeys) {
    keys[hash.Get()] = { { "workspace", key.workspace.Get() },
                         { "site", key.site.Get() } };
  }
  // Control checks a document before it accepts it, so the text is inserted as
  // it is.
  std::string document = aDocument.empty() ? "{}" : std::string(aDocument);
  std::string routes =
    aRoutes.empty()
      ? ""
      : ",\"routes\":" + boost::json::serialize(boost::json::value(aRoutes));
  return "{\"keys\":" + boost::json::serialize(keys) +
         ",\"settings\":" + document + routes +
         FormatEvacuatedZones(aEvacuatedZones) + "}";
}

Result<FleetSnapshot, SettingsError>
ParseFleetSnapshot(std::string_view aText)
{
  try {
    auto json = ParseJson(aText, kMaxSnapshotBytes);
    Reader reader(json, "");
    FleetSnapshot snapshot;
    snapshot.settings = ReadFleet(reader.Get("settings"));
    if (reader.Object().contains("routes")) {
      snapshot.routes = reader.Get("routes").String();
    }
    if (auto zones = reader.Find("evacuated_zones")) {
      for (const auto& zone : zones->Items()) {
        snapshot.evacuatedZones.insert(ZoneId(zone.String()));
      }
    }
    Reader keys = reader.Get("keys");
    for (const auto& member : keys.Object()) {
      std::string hash(member.key());
      Reader key = keys.Get(hash);
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
