#ifndef LYCHEESTAND_SETTINGS_H
#define LYCHEESTAND_SETTINGS_H

// Typed settings: a process's own file, and the fleet's configuration document
// with its overlays for sites.

#include <lycheestand/core.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lycheestand::settings {

// What is wrong with a document, where, and what is allowed.
struct SettingsError
{
  // File that was read; empty when the text came from elsewhere.
  std::string file;
  // JSON pointer of the value, such as "/models/chat/max_output_tokens".
  std::string pointer;
  std::string message;
};

// Returns "file: /pointer: message".
std::string
ToString(const SettingsError& aError);

// ---------------------------------------------------------------- process

enum class Role
{
  Router,
  Control,
  Both
};

// Another control instance.
struct ControlMember
{
  InstanceId instance;
  Address peer;
  Address admin;
};

// The settings of one process.
struct ProcessSettings
{
  InstanceId instance;
  ZoneId zone;
  Role role = Role::Router;
  // Where callers connect; routers only.
  Address callerAddress;
  // Where peers connect; control only.
  Address peerAddress;
  // Metrics, dump, and on control the operators' interface.
  Address adminAddress;
  // All control instances, this one included.
  std::vector<ControlMember> control;
  std::string fleetKeyFile;
  // Hashes of the operators' bearer keys.
  std::vector<KeyHash> operatorKeyHashes;
  // Folder of the replicated state; control only.
  std::string dataFolder;
  // The platform's list of instances; control only.
  std::optional<Address> platformList;
  std::string logLevel = "info";
  std::string logFormat = "text";
  // Time for which callers may keep an entry answer.
  Milliseconds entryKeepTime{ 10000 };
  // Time after which an unconfirmed router takes no new work.
  Milliseconds confirmationLimit{ 5000 };
  std::size_t maxConnections = 4096;
  std::size_t maxBodyBytes = 4 * 1024 * 1024;
  std::size_t maxHeaderBytes = 16 * 1024;
  Milliseconds requestTimeout{ 20000 };
};

// Returns the settings in a process's JSON file.
Result<ProcessSettings, SettingsError>
LoadProcessSettings(const std::string& aPath);

// Returns the settings in a JSON text.
Result<ProcessSettings, SettingsError>
ParseProcessSettings(std::string_view aText);

// ---------------------------------------------------------------- fleet

// A language model that callers may ask for.
struct ModelSettings
{
  // Output tokens of a request that names no limit, and its upper limit.
  Tokens maxOutput{ 512 };
  // Fewest output tokens that are worth forwarding a request for.
  Tokens minOutput{ 16 };
  // Longest time to the first token before the request is given up.
  Milliseconds firstTokenTimeout{ 20000 };
};

// A group of a service's calls.
struct ServiceRoute
{
  std::string method;
  std::string pathPrefix;
  // False for a call that must run at most once.
  bool repeatable = false;
};

// A plain service beside the model engines.
struct ServiceSettings
{
  std::vector<ServiceRoute> routes;
  Milliseconds timeout{ 10000 };
};

// A customer.
struct WorkspaceSettings
{
  // Tokens paid when the workspace is first named.
  Tokens firstTokens{ 0 };
  // Share of busy endpoints, relative to other workspaces.
  unsigned weight = 1;
  unsigned maxInFlight = 256;
  // Names, or "*" for all.
  std::set<std::string> models{ "*" };
  std::set<std::string> services{ "*" };
};

// A place of use, from its overlay.
struct SiteSettings
{
  std::set<std::string> models{ "*" };
  std::set<std::string> services{ "*" };
  std::optional<unsigned> maxInFlight;
};

// The configuration of the fleet.
struct FleetSettings
{
  std::map<ModelName, ModelSettings> models;
  std::map<ServiceName, ServiceSettings> services;
  std::map<WorkspaceId, WorkspaceSettings> workspaces;
  std::map<SiteId, SiteSettings> sites;
  // Requests in flight at one endpoint from one router.
  unsigned maxInFlightPerEndpoint = 64;

  // Returns whether callers of a workspace and site may use a model.
  bool AllowsModel(const WorkspaceId& aWorkspace,
                   const SiteId& aSite,
                   const ModelName& aModel) const;
  bool AllowsService(const WorkspaceId& aWorkspace,
                     const SiteId& aSite,
                     const ServiceName& aService) const;
};

// Returns the configuration in a document (base with merged overlays).
Result<FleetSettings, SettingsError>
ParseFleetSettings(std::string_view aText);

// A key as routers know it.
struct CallerKey
{
  WorkspaceId workspace;
  SiteId site;
};

// What control pushes to routers: configuration and keys.
struct FleetSnapshot
{
  FleetSettings settings;
  std::map<KeyHash, CallerKey> keys;
};

// Returns the text that control pushes.
std::string
FormatFleetSnapshot(std::string_view aDocument,
                    const std::map<KeyHash, CallerKey>& aKeys);

// Returns the JSON merge patch (RFC 7396) that turns one snapshot's text into
// another's. Both must be valid.
std::string
MakeSnapshotPatch(std::string_view aFrom, std::string_view aTo);

// Returns a snapshot's text after a patch.
Result<std::string, SettingsError>
ApplySnapshotPatch(std::string_view aFrom, std::string_view aPatch);

// Returns the snapshot in a pushed text.
Result<FleetSnapshot, SettingsError>
ParseFleetSnapshot(std::string_view aText);

} // namespace lycheestand::settings

#endif
