#ifndef LYCHEESTAND_CONTROL_H
#define LYCHEESTAND_CONTROL_H

// The control role: keeps the replicated state, serves routers and operators.

#include <functional>
#include <lycheestand/core.h>
#include <lycheestand/discovery.h>
#include <lycheestand/net.h>
#include <lycheestand/settings.h>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lycheestand::control {

// A table of routes as its operator sent it.
struct RoutesDocument
{
  ConfigVersion version;
  std::string text;
  // What each workspace has paid in all.
  std::vector<std::pair<WorkspaceId, Tokens>> prepaid;
};

// What an instance is to an operator's call.
enum class Standing
{
  Leads,
  // Another instance is known to lead.
  Follows,
  // Which instance leads, or whether a change is committed, is not known.
  Unknown
};

// The end of an operator's call about the table of routes.
struct RoutesReply
{
  Standing standing = Standing::Unknown;
  InstanceId leader;
  // An amount of the change can't be paid; it changed nothing.
  bool isRejected = false;
  // The version in force and, after a read, its text.
  RoutesDocument document;
};

using RoutesDone = std::function<void(const RoutesReply&)>;

// A running control instance.
class Control
{
public:
  virtual ~Control() = default;

  // Answers operators' requests; the caller has checked the operator's key.
  virtual net::HttpHandler OperatorHandler() = 0;

  // Puts a table of routes in force unless a higher version is; aDone runs in
  // the task once a quorum holds it.
  virtual void ReplaceRoutes(net::IoTask& aTask,
                             RoutesDocument aDocument,
                             RoutesDone aDone) = 0;

  // Reads the newest table of routes; a quorum has confirmed that it is.
  virtual void ReadRoutes(net::IoTask& aTask, RoutesDone aDone) = 0;

  // Passes the state as JSON, without secrets, to aDone.
  virtual void Dump(net::IoTask& aTask,
                    std::function<void(std::string)> aDone) = 0;
};

// Starts a control instance; returns why it can't start.
Result<std::unique_ptr<Control>, std::string>
StartControl(const net::Runtime& aRuntime,
             caf::actor aPool,
             const settings::ProcessSettings& aSettings,
             const net::FleetKey& aKey,
             discovery::ListFormat aListFormat = discovery::MakePlainFormat());

// Creates the data folder of one of the fleet's first control instances. Once
// all of them run, they form the group.
Result<void, std::string>
FormatDataFolder(const settings::ProcessSettings& aSettings);

} // namespace lycheestand::control

#endif
