#include <algorithm>
#include <cctype>
#include <lycheestand/routes.h>

namespace lycheestand::routes {

namespace {

// Returns the host name without a port, in lower case.
std::string
NormalizeHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  std::transform(host.begin(), host.end(), host.begin(), [](unsigned char aC) {
    return static_cast<char>(std::tolower(aC));
  });
  return host;
}

std::uint64_t
SumWeights(const Route& aRoute)
{
  std::uint64_t sum = 0;
  for (const auto& split : aRoute.splits) {
    sum += split.weight;
  }
  return sum;
}

bool
IsPathPrefix(const std::string& aText)
{
  return !aText.empty() && aText.front() == '/' && aText.back() == '/';
}

} // namespace

std::string
RouteTable::Add(Service aService)
{
  auto name = aService.name;
  if (!this->services.emplace(name, std::move(aService)).second) {
    return "two services are named \"" + name.Get() + "\"";
  }
  return "";
}

std::string
RouteTable::Add(Route aRoute)
{
  if (!IsPathPrefix(aRoute.pathPrefix)) {
    return "the path prefix \"" + aRoute.pathPrefix +
           "\" must begin and end with a slash";
  }
  if (aRoute.timeout <= Milliseconds(0)) {
    return "a timeout must be above 0";
  }
  if (SumWeights(aRoute) == 0) {
    return "the weights add up to 0";
  }
  for (const auto& split : aRoute.splits) {
    if (!this->services.contains(split.service)) {
      return "there is no service \"" + split.service.Get() + "\"";
    }
  }
  RouteKey routeKey{ NormalizeHost(aRoute.host), aRoute.pathPrefix };
  if (!this->routes.emplace(routeKey, std::move(aRoute)).second) {
    return "two routes share host and prefix " + routeKey.first +
           routeKey.second;
  }
  return "";
}

std::string
RouteTable::Add(Workspace aWorkspace)
{
  for (const auto& key : aWorkspace.keys) {
    auto [owner, isNew] = this->keyOwners.emplace(key, aWorkspace.workspace);
    if (!isNew && owner->second != aWorkspace.workspace) {
      return "two workspaces share a key";
    }
  }
  auto id = aWorkspace.workspace;
  if (!this->workspaces.emplace(id, std::move(aWorkspace)).second) {
    return "two workspaces are named \"" + id.Get() + "\"";
  }
  return "";
}

// Route prefixes end with a slash, so only the parts of the path that end at
// one of its slashes can match. They are looked up from the longest to the
// shortest.
const Route*
RouteTable::Find(std::string_view aHost, std::string_view aPath) const
{
  std::string host = NormalizeHost(aHost);
  std::string_view path = aPath.substr(0, aPath.find('?'));
  for (auto slash = path.rfind('/'); slash != std::string_view::npos;
       slash = path.rfind('/')) {
    auto found = this->routes.find(
      RouteKey{ host, std::string(path.substr(0, slash + 1)) });
    if (found != this->routes.end()) {
      return &found->second;
    }
    path = path.substr(0, slash);
  }
  return nullptr;
}

const Workspace*
RouteTable::FindWorkspaceByKey(std::string_view aKey) const
{
  auto owner = this->keyOwners.find(aKey);
  return owner == this->keyOwners.end() ? nullptr
                                        : &this->workspaces.at(owner->second);
}

const Service*
RouteTable::Find(const ServiceName& aService) const
{
  auto found = this->services.find(aService);
  return found == this->services.end() ? nullptr : &found->second;
}

std::vector<std::pair<WorkspaceId, Tokens>>
RouteTable::PrepaidByWorkspace() const
{
  std::vector<std::pair<WorkspaceId, Tokens>> out;
  for (const auto& [id, workspace] : this->workspaces) {
    out.emplace_back(id, workspace.prepaid);
  }
  return out;
}

const ServiceName&
ChooseService(const Route& aRoute, const RandomSource& aRandom)
{
  if (aRoute.splits.size() == 1) {
    return aRoute.splits.front().service;
  }
  std::uint64_t point = aRandom(SumWeights(aRoute));
  for (const auto& split : aRoute.splits) {
    if (point < split.weight) {
      return split.service;
    }
    point -= split.weight;
  }
  return aRoute.splits.back().service;
}

} // namespace lycheestand::routes
