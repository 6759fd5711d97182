#ifndef LYCHEESTAND_ROUTES_H
#define LYCHEESTAND_ROUTES_H

// The route table: selects the service and the handling of a request by its
// host and path, and the workspace by its key. The code does no I/O.

#include <cstdint>
#include <lycheestand/core.h>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheestand::routes {

// The share of a route's requests that goes to one service.
struct Split
{
  ServiceName service;
  // Relative to the sum of the weights in the route.
  unsigned weight = 1;
};

// Rules for the requests to one host whose paths begin with one prefix.
struct Route
{
  std::string name;
  std::string host;
  // Must begin and end with a slash.
  std::string pathPrefix;
  std::vector<Split> splits;
  // The response is a stream of numbered events.
  bool isStream = false;
  // The request may be executed more than once.
  bool isRepeatable = false;
  // An interrupted stream may be resumed at another endpoint after its last
  // event.
  bool isResumable = false;
  // The request needs no key.
  bool isPublic = false;
  // Longest time that a request may take in all; must be above 0.
  Milliseconds timeout{};
  // Time to the response, or to the first event, that callers expect.
  Milliseconds latencyTarget{};
  // Longest time between events that callers expect; 0 if not a stream.
  Milliseconds gapTarget{};
  // Shortest time for which callers wait for the next event before they give
  // the stream up.
  Milliseconds callerPatience{};
  // 0 is the most urgent.
  unsigned priority = 0;
  // Most endpoints that one request may reach, the first one included.
  unsigned maxAttempts = 1;
};

// Fixed capacity figures of a model engine.
struct Engine
{
  // Requests that run concurrently.
  unsigned slots = 0;
  // Capacity that running requests and cached prompt prefixes share.
  Tokens kvCapacity;
  // Most output tokens in one event of a stream.
  Tokens tokensPerEvent{ 1 };
};

// A pool of endpoints.
struct Service
{
  ServiceName name;
  // Most connections that one endpoint accepts from all instances together.
  unsigned maxConnections = 0;
  std::optional<Engine> engine;
  // Requests a second that a cold endpoint takes from all instances together;
  // 0 if they are not bounded.
  RequestRate coldRate;
  // Time for which an endpoint stays cold after its start.
  Milliseconds coldTime{};
};

// A customer account with its prepaid tokens and its keys.
struct Workspace
{
  WorkspaceId workspace;
  // Replaces the priority of the route, if set.
  std::optional<unsigned> priority;
  Tokens prepaid;
  std::vector<std::string> keys;
};

// Whether requests need the key of a workspace, unless their route is public.
enum class KeyPolicy
{
  NotRequired,
  // Also while there is no workspace, and so no valid key.
  Required
};

// One version of the route table.
class RouteTable
{
public:
  RouteTable(ConfigVersion aVersion, KeyPolicy aKeyPolicy)
    : version(aVersion)
    , keyPolicy(aKeyPolicy)
  {
  }

  // Each adds an entry. They return an error message, or an empty string on
  // success. The services of a route must be added before the route.
  std::string Add(Service aService);
  std::string Add(Route aRoute);
  std::string Add(Workspace aWorkspace);

  ConfigVersion Version() const { return this->version; }

  // Returns the route with the longest matching path prefix; null if there is
  // none. A port in the host and a query in the path are ignored.
  const Route* Find(std::string_view aHost, std::string_view aPath) const;

  // Returns the workspace that owns a key; null if there is none.
  const Workspace* FindWorkspaceByKey(std::string_view aKey) const;

  // Returns a service; null if there is none with that name.
  const Service* Find(const ServiceName& aService) const;

  const std::map<ServiceName, Service>& Services() const
  {
    return this->services;
  }

  // Returns whether a request on the route needs the key of a workspace.
  bool RequiresKey(const Route& aRoute) const
  {
    return this->keyPolicy == KeyPolicy::Required && !aRoute.isPublic;
  }

  // Returns the total of prepaid tokens of each workspace.
  std::vector<std::pair<WorkspaceId, Tokens>> PrepaidByWorkspace() const;

private:
  // Host in lower case without port, and path prefix.
  using RouteKey = std::pair<std::string, std::string>;

  ConfigVersion version;
  KeyPolicy keyPolicy;
  std::map<RouteKey, Route, std::less<>> routes;
  std::map<ServiceName, Service> services;
  std::map<WorkspaceId, Workspace> workspaces;
  std::map<std::string, WorkspaceId, std::less<>> keyOwners;
};

// Returns the service for a request, chosen at random by the weights of its
// route.
const ServiceName&
ChooseService(const Route& aRoute, const RandomSource& aRandom);

} // namespace lycheestand::routes

#endif
