#ifndef LYCHEESTAND_SETTINGS_H
#define LYCHEESTAND_SETTINGS_H

// Typed settings: the file of a process, the fleet's configuration document
// with its site overlays, and the file of the operators' client.

#include <lycheestand/core.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lycheestand::settings {

// An error in a document: what is wrong, where, and what is allowed there.
struct SettingsError
{
  // The file that was read; empty if the text is from another source.
  std::string file;
  // JSON pointer of the value, such as "/models/chat/max_output_tokens".
  std::string pointer;
  std::string message;
  // The invalid value as JSON, truncated if it is long; empty if the error
  // isn't about a value.
  std::string value;
  // The values that are allowed; empty if the error isn't about a value.
  std::string allowed;
};

// Size limit of process, client and configuration files.
inline constexpr std::size_t kMaxDocumentBytes = 1024 * 1024;

// Size limit of the snapshot that control pushes: a document, the route
// table and all keys in one frame.
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

// A member of the control group.
struct ControlMember
{
  InstanceId instance;
  Address peer;
  Address admin;
};

// Limits and times for requests that are served by the route table.
struct RouteSettings
{
  // Limits of the retries to a service, set by the operator of the services:
  // retries per request, and a burst beyond that for all routers together. The
  // burst refills only with requests, so the limit holds in any time window.
  double retriesPerRequest = 0.1;
  double fleetRetryBurst = 10;
  // Time after its acknowledgement within which a change must be in force.
  Milliseconds changeApplyTime{ 2000 };
  // Time from the stop signal until the platform kills the process.
  Milliseconds stopGracePeriod{ 8000 };
  // Time for which callers may cache a list of entry instances.
  Milliseconds entryCacheTime{ 1000 };
};

// The settings of one process.
struct ProcessSettings
{
  InstanceId instance;
  ZoneId zone;
  // All availability zones of the deployment, as far as the settings name them.
  std::set<ZoneId> zones;
  Role role = Role::Router;
  // Address for callers; routers only.
  Address callerAddress;
  // Address for links from other processes: of control, or of a router that
  // lends tokens; without a host for a router that does not.
  Address peerAddress;
  // Address for metrics, dump, and on control the operators' interface.
  Address adminAddress;
  // Control instances at which others are found. Those of a new fleet form its
  // control group.
  std::vector<ControlMember> control;
  // Number of voters of the control group. A group of 2n + 1 voters bears the
  // loss of n; further control instances stand by to replace lost ones.
  std::size_t controlVoters = 1;
  std::string fleetKeyFile;
  // Set if only the fleet's own processes can reach the peer addresses; links
  // then need no fleet key.
  bool trustsNetwork = false;
  // Set if this instance may form a new control group: it then formats an empty
  // data folder as one of the group's first members.
  bool mayBootstrap = false;
  // Both sides of a link send at least this often.
  Milliseconds heartbeatInterval{ 1000 };
  // A link is closed after this time without data from the other side.
  Milliseconds linkIdleTimeout{ 4000 };
  // Time limit for opening a link.
  Milliseconds linkConnectTimeout{ 2000 };
  // A control instance starts an election after one to two times this time
  // without a leader.
  Milliseconds electionTimeout{ 1000 };
  // Set if this process serves requests by the route table.
  std::optional<RouteSettings> routes;
  // Hashes of the operators' bearer keys.
  std::vector<KeyHash> operatorKeyHashes;
  // Folder of the replicated state; control only.
  std::string dataFolder;
  // Address of the platform's endpoint list; control only.
  std::optional<Address> endpointListAddress;
  std::string logLevel = "info";
  std::string logFormat = "text";
  // Time for which callers may cache a list of entry instances.
  Milliseconds entryCacheTime{ 10000 };
  // A router accepts no new requests after this time without a confirmation
  // from control.
  Milliseconds confirmationLimit{ 5000 };
  // Threads that run tasks; one more thread waits for sockets.
  std::size_t threads = 4;
  std::size_t maxConnections = 4096;
  std::size_t maxBodyBytes = 4 * 1024 * 1024;
  // Bytes of large requests and answers that a router holds in memory in all.
  std::size_t maxBufferedBytes = 32 * 1024 * 1024;
  std::size_t maxHeaderBytes = 16 * 1024;
  Milliseconds headerTimeout{ 5000 };
  Milliseconds requestTimeout{ 20000 };
};

// Returns the least maxBufferedBytes with which a request of maxBodyBytes and
// maxHeaderBytes can be held: it is copied when it is forwarded, and a message
// may take at most half of the memory.
std::size_t
LeastBufferedBytes(std::size_t aMaxBodyBytes, std::size_t aMaxHeaderBytes);

// Returns the link options that the settings give; others have their defaults.
template<class LinkOptions>
LinkOptions
MakeLinkOptions(const ProcessSettings& aSettings)
{
  LinkOptions options;
  options.connectTimeout = aSettings.linkConnectTimeout;
  options.idleTimeout = aSettings.linkIdleTimeout;
  return options;
}

// Returns the settings in a process's JSON file, or the first error with the
// path.
Result<ProcessSettings, SettingsError>
LoadProcessSettings(const std::string& aPath);

// Returns the settings in a JSON text, or the first error.
Result<ProcessSettings, SettingsError>
ParseProcessSettings(std::string_view aText);

// ---------------------------------------------------------------- fleet

// A language model that callers may request.
struct ModelSettings
{
  // Upper limit of a request's output tokens; the default if it names no limit.
  Tokens maxOutput{ 512 };
  // A request is refused if its budget doesn't cover its prompt and this many
  // output tokens.
  Tokens minOutput{ 16 };
  // Time limit for the first token; the router then gives up the request.
  Milliseconds firstTokenTimeout{ 20000 };
};

// The calls of a service with one method and path prefix.
struct ServiceRoute
{
  std::string method;
  std::string pathPrefix;
  // False if a call must run at most once.
  bool repeatable = false;
};

// An HTTP service that isn't a model engine.
struct ServiceSettings
{
  std::vector<ServiceRoute> routes;
  Milliseconds timeout{ 10000 };
};

// A workspace: a customer with a token budget.
struct WorkspaceSettings
{
  // Prepaid tokens that are added once, by the first configuration that gives
  // the workspace any.
  Tokens firstTokens{ 0 };
  // Weight in the fair sharing of busy endpoints with other workspaces.
  unsigned weight = 1;
  // Limit of requests in flight or waiting at one router.
  unsigned maxInFlight = 256;
  // Names, or "*" for all.
  std::set<std::string> models{ "*" };
  std::set<std::string> services{ "*" };
};

// A site: a location that callers belong to, from its overlay. Members that are
// not set are as in the base.
struct SiteSettings
{
  // Names, or "*" for all.
  std::set<std::string> models{ "*" };
  std::set<std::string> services{ "*" };
  std::optional<unsigned> weight;
  // Limit of one workspace's requests from this site at one router.
  std::optional<unsigned> maxInFlight;
  // Upper limit of the output of one request; never above the model's.
  std::optional<Tokens> maxOutput;
  std::optional<Milliseconds> firstTokenTimeout;
  std::optional<Milliseconds> serviceTimeout;
};

// How requests wait for admission at one router.
struct AdmissionSettings
{
  // Time limit of the wait for admission.
  Milliseconds maxWait{ 2000 };
  // Requests that may wait for one model or service.
  unsigned maxQueued = 512;
  // A request that names no priority is batch if its prompt may have more
  // tokens.
  Tokens batchPromptThreshold{ 8192 };
};

// The configuration of the fleet.
struct FleetSettings
{
  std::map<ModelName, ModelSettings> models;
  std::map<ServiceName, ServiceSettings> services;
  std::map<WorkspaceId, WorkspaceSettings> workspaces;
  std::map<SiteId, SiteSettings> sites;
  // Limit of requests in flight from one router to one endpoint.
  unsigned maxInFlightPerEndpoint = 64;
  AdmissionSettings admission;

  // Returns whether callers of a workspace and site may use a model or service.
  bool AllowsModel(const WorkspaceId& aWorkspace,
                   const SiteId& aSite,
                   const ModelName& aModel) const;
  bool AllowsService(const WorkspaceId& aWorkspace,
                     const SiteId& aSite,
                     const ServiceName& aService) const;

  // Returns a model's settings with the limits of a site, or nullopt if the
  // model isn't configured.
  std::optional<ModelSettings> ModelFor(const SiteId& aSite,
                                        const ModelName& aModel) const;

  // Returns the timeout of a service's calls from a site.
  Milliseconds ServiceTimeoutFor(const SiteId& aSite,
                                 const ServiceSettings& aService) const;

  // Return a workspace's weight, and its limit of requests in flight or waiting
  // at one router, for callers of a site.
  unsigned WeightFor(const WorkspaceId& aWorkspace, const SiteId& aSite) const;
  unsigned MaxInFlightFor(const WorkspaceId& aWorkspace,
                          const SiteId& aSite) const;
};

// Returns the configuration in a document (base with merged overlays), or the
// first error.
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

// Returns the text of a file; fails if it can't be read or has more than
// kMaxDocumentBytes.
Result<SourceText, SettingsError>
ReadSource(const std::string& aPath);

// Checks the base file and each overlay, and returns one document with the
// overlays in its "sites" section. An error has the file that it is in.
Result<std::string, SettingsError>
MergeOverlays(const SourceText& aBase,
              const std::vector<SiteOverlay>& aOverlays);

// A difference between two documents: the JSON of a value before and after;
// empty where the value is missing.
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

// Returns a JSON text indented with one member on each line.
Result<std::string, SettingsError>
FormatPretty(std::string_view aText);

// ---------------------------------------------------------------- client

// The admin address at which the operators' client reaches an instance.
struct AdminAddress
{
  InstanceId instance;
  Address admin;
};

// The settings of the operators' client.
struct ClientSettings
{
  std::vector<AdminAddress> control;
  // Other instances that can be dumped.
  std::vector<AdminAddress> instances;
  std::string operatorKeyFile;
};

// Returns the settings in a client's JSON file, or the first error with the
// path. A relative path of the key file is relative to the client's file.
Result<ClientSettings, SettingsError>
LoadClientSettings(const std::string& aPath);

// Returns the settings in a JSON text, or the first error.
Result<ClientSettings, SettingsError>
ParseClientSettings(std::string_view aText);

// The workspace and site of a caller's key.
struct CallerKey
{
  WorkspaceId workspace;
  SiteId site;
};

// The state that control pushes to routers: configuration, keys and routes.
struct FleetSnapshot
{
  FleetSettings settings;
  std::map<KeyHash, CallerKey> keys;
  // The route table as the operator sent it; empty if there is none.
  std::string routes;
  // Availability zones whose endpoints get no requests.
  std::set<ZoneId> evacuatedZones;
};

// Returns a snapshot's text. aDocument must have been checked; an empty one
// means the default settings.
std::string
FormatFleetSnapshot(std::string_view aDocument,
                    const std::map<KeyHash, CallerKey>& aKeys,
                    std::string_view aRoutes = "",
                    const std::set<ZoneId>& aEvacuatedZones = {});

// Returns a binary patch that turns one snapshot's text into another's. With an
// empty aFrom the patch is the compressed text.
std::string
MakeSnapshotPatch(std::string_view aFrom, std::string_view aTo);

// Returns the text that a patch was made for, or an error if the patch is
// malformed or was made from another text. Untrusted input is safe.
Result<std::string, SettingsError>
ApplySnapshotPatch(std::string_view aFrom, std::string_view aPatch);

// Returns the snapshot in a text that control pushed.
Result<FleetSnapshot, SettingsError>
ParseFleetSnapshot(std::string_view aText);

} // namespace lycheestand::settings

#endif
