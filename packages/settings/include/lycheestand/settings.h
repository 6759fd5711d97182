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
  // The wrong value as JSON, cut if it is long; empty if no value is wrong.
  std::string value;
  // Values that are allowed there; empty if no value is wrong.
  std::string allowed;
};

// Largest process, client and configuration file.
inline constexpr std::size_t kMaxDocumentBytes = 1024 * 1024;

// Largest snapshot that control pushes: a document and all keys in one frame.
inline constexpr std::size_t kMaxSnapshotBytes = 16 * 1024 * 1024;

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

// How requests of the table of routes are served.
struct RouteSettings
{
  // Retries to a service as a share of its requests, and beyond that, of all
  // routers together. The operator of the services sets them. What is beyond
  // the share comes back only with requests, so the limit holds in any window.
  double retryShare = 0.1;
  double fleetRetryBurst = 10;
  // Time from the order to stop until the process is killed.
  Milliseconds stopTime{ 8000 };
  // Time for which callers may keep an entry answer.
  Milliseconds entryKeepTime{ 1000 };
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
  // Only the fleet's own processes can reach the peers' ports, so links need no
  // secret key.
  bool trustsNetwork = false;
  // An empty data folder is formatted as one of the first members'.
  bool formsGroup = false;
  // Both sides of a link send at least this often.
  Milliseconds heartbeatInterval{ 1000 };
  // Longest silence of a link's other side.
  Milliseconds linkIdleTimeout{ 4000 };
  // Longest time for opening a link.
  Milliseconds linkConnectTimeout{ 2000 };
  // Control instances elect a leader after one to two times this time without
  // one.
  Milliseconds electionTimeout{ 1000 };
  // Set if this process serves requests by a table of routes.
  std::optional<RouteSettings> routes;
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
  // Threads that run tasks; one more waits for sockets.
  std::size_t threads = 4;
  std::size_t maxConnections = 4096;
  std::size_t maxBodyBytes = 4 * 1024 * 1024;
  std::size_t maxHeaderBytes = 16 * 1024;
  Milliseconds requestTimeout{ 20000 };
};

// Returns the limits of a process's links.
template<class LinkOptions>
LinkOptions
MakeLinkOptions(const ProcessSettings& aSettings)
{
  LinkOptions options;
  options.connectTimeout = aSettings.linkConnectTimeout;
  options.idleTimeout = aSettings.linkIdleTimeout;
  return options;
}

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
  // Requests in flight or waiting at one router.
  unsigned maxInFlight = 256;
  // Names, or "*" for all.
  std::set<std::string> models{ "*" };
  std::set<std::string> services{ "*" };
};

// A place of use, from its overlay. What it does not set is as the base says.
struct SiteSettings
{
  // Names, or "*" for all.
  std::set<std::string> models{ "*" };
  std::set<std::string> services{ "*" };
  std::optional<unsigned> weight;
  // Of one workspace's requests from this site, at one router.
  std::optional<unsigned> maxInFlight;
  // Upper limit of the output of one request; never above the model's.
  std::optional<Tokens> maxOutput;
  std::optional<Milliseconds> firstTokenTimeout;
  std::optional<Milliseconds> serviceTimeout;
};

// How requests wait for their turn at one router.
struct AdmissionSettings
{
  // Longest wait for a turn.
  Milliseconds maxWait{ 2000 };
  // Requests that may wait for one model or service.
  unsigned maxQueued = 512;
  // Bound of a prompt above which a request that names no priority is batch.
  Tokens batchPrompt{ 8192 };
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
  AdmissionSettings admission;

  // Returns whether callers of a workspace and site may use a model.
  bool AllowsModel(const WorkspaceId& aWorkspace,
                   const SiteId& aSite,
                   const ModelName& aModel) const;
  bool AllowsService(const WorkspaceId& aWorkspace,
                     const SiteId& aSite,
                     const ServiceName& aService) const;

  // Returns a model's settings with a site's limits; null if there is none.
  std::optional<ModelSettings> ModelFor(const SiteId& aSite,
                                        const ModelName& aModel) const;

  // Returns the timeout of a service's calls from a site.
  Milliseconds ServiceTimeoutFor(const SiteId& aSite,
                                 const ServiceSettings& aService) const;

  // Returns a workspace's weight and limit for callers of a site.
  unsigned WeightFor(const WorkspaceId& aWorkspace, const SiteId& aSite) const;
  unsigned MaxInFlightFor(const WorkspaceId& aWorkspace,
                          const SiteId& aSite) const;
};

// Returns the configuration in a document (base with merged overlays).
Result<FleetSettings, SettingsError>
ParseFleetSettings(std::string_view aText);

// A text and the file that it was read from.
struct SourceText
{
  std::string file;
  std::string text;
};

// An overlay file for one site.
struct SiteOverlay
{
  SiteId site;
  SourceText source;
};

// Returns a file's text; refuses one that is larger than any document.
Result<SourceText, SettingsError>
ReadSource(const std::string& aPath);

// Checks the base file and each overlay, and returns one document with the
// overlays in its "sites" section.
Result<std::string, SettingsError>
MergeOverlays(const SourceText& aBase,
              const std::vector<SiteOverlay>& aOverlays);

// A place at which two documents differ; a side that lacks it is empty.
struct Difference
{
  std::string pointer;
  std::string before;
  std::string after;

  friend bool operator==(const Difference&, const Difference&) = default;
};

// Returns the differences of two JSON texts, in the order of their pointers.
Result<std::vector<Difference>, SettingsError>
DiffDocuments(std::string_view aBefore, std::string_view aAfter);

// Returns a JSON text with one member on each line.
Result<std::string, SettingsError>
FormatPretty(std::string_view aText);

// ---------------------------------------------------------------- client

// Where an operators' client reaches an instance.
struct AdminAddress
{
  InstanceId instance;
  Address admin;
};

// The settings of the operators' client.
struct ClientSettings
{
  std::vector<AdminAddress> control;
  // Other instances, for dumps.
  std::vector<AdminAddress> instances;
  std::string operatorKeyFile;
};

// Returns the settings in a client's JSON file; a relative key file is beside
// it.
Result<ClientSettings, SettingsError>
LoadClientSettings(const std::string& aPath);

// Returns the settings in a JSON text.
Result<ClientSettings, SettingsError>
ParseClientSettings(std::string_view aText);

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
  // The table of routes as the operator sent it; empty if there is none.
  std::string routes;
};

// Returns the text that control pushes.
std::string
FormatFleetSnapshot(std::string_view aDocument,
                    const std::map<KeyHash, CallerKey>& aKeys,
                    std::string_view aRoutes = "");

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
