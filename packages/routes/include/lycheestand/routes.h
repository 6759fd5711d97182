#ifndef LYCHEESTAND_ROUTES_H
#define LYCHEESTAND_ROUTES_H

// The table of routes: which service takes a request by its host and path, for
// whom, and what may be done with it. Pure: values in, decisions out.

#include <cstdint>
#include <lycheestand/core.h>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheestand::routes {

// A part of a route's requests that goes to one service.
struct Split
{
  ServiceName service;
  unsigned weight = 1;
};

// Requests of one host below one path.
struct Route
{
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string pathPrefix;
  std::vector<Split> splits;
  // The answer is a stream of numbered events.
  bool isStream = false;
  // The request may run more than once.
  bool isRepeatable = false;
  // A stream that broke may go on at another endpoint after its last event.
  bool isResumable = false;
  // The request needs no key.
  bool isPublic = false;
  // Longest time for which a request may be kept.
  Milliseconds timeout{};
  // Time to the answer, or to the first event, that callers expect.
  Milliseconds latencyTarget{};
  // Longest pause between events that callers expect; zero if not a stream.
  Milliseconds gapTarget{};
  // 0 is the most urgent.
  unsigned priority = 0;
  // Endpoints to which one request may be sent.
  unsigned maxAttempts = 1;
};

// A model engine's fixed figures.
struct Engine
{
  // Requests that run at once.
  unsigned slots = 0;
  // Tokens that running requests and cached prompt parts share.
  Tokens memory;
  // Most output tokens in one event of a stream.
  Tokens tokensPerEvent{ 1 };
};

// A pool of endpoints.
struct Service
{
  ServiceName name;
  // Connections that one endpoint accepts from all instances.
  unsigned maxConnections = 0;
  std::optional<Engine> engine;
};

// A customer with its keys.
struct Workspace
{
  WorkspaceId workspace;
  std::optional<unsigned> priority;
  Tokens prepaid;
  std::vector<std::string> keys;
};

// One version of the table.
class RouteTable
{
public:
  explicit RouteTable(ConfigVersion aVersion)
    : version(aVersion)
  {
  }

  // Adds an entry; returns what is wrong with it, or an empty text.
  std::string Add(Service aService);
  std::string Add(Route aRoute);
  std::string Add(Workspace aWorkspace);

  ConfigVersion Version() const { return this->version; }

  // Returns the route with the longest prefix that begins the path; null if
  // there is none. A port in the host is ignored.
  const Route* Find(std::string_view aHost, std::string_view aPath) const;

  // Returns the holder of a key; null if nobody holds it.
  const Workspace* FindHolder(std::string_view aKey) const;

  const Service* Find(const ServiceName& aService) const;

  // Returns whether requests need keys.
  bool HasWorkspaces() const { return !this->workspaces.empty(); }

  // Returns what each workspace has paid in all.
  std::vector<std::pair<WorkspaceId, Tokens>> Prepaid() const;

private:
  // Host and path prefix.
  using Place = std::pair<std::string, std::string>;

  ConfigVersion version;
  std::map<Place, Route, std::less<>> routes;
  std::map<ServiceName, Service> services;
  std::map<WorkspaceId, Workspace> workspaces;
  std::map<std::string, WorkspaceId, std::less<>> holders;
};

// Returns the service that takes a request, by the weights of its route.
const ServiceName&
ChooseService(const Route& aRoute, const RandomSource& aRandom);

} // namespace lycheestand::routes

#endif
