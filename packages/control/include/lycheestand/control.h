#ifndef LYCHEESTAND_CONTROL_H
#define LYCHEESTAND_CONTROL_H

// The control role: replicates the fleet's state over a group of instances and
// serves routers and operators.

#include <functional>
#include <lycheestand/core.h>
#include <lycheestand/discovery.h>
#include <lycheestand/limits.h>
#include <lycheestand/net.h>
#include <lycheestand/settings.h>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lycheestand::control {

// A route table as an operator sent it.
struct RoutesDocument
{
  ConfigVersion version;
  std::string text;
  // Total number of tokens paid for, by workspace.
  std::vector<std::pair<WorkspaceId, Tokens>> prepaid;
};

// Whether this instance led the group while it handled an operator's request.
enum class LeadershipStatus
{
  Leader,
  // Another instance is known to be the leader.
  Follower,
  // The leader is not known, or it is not known whether a change was committed.
  Unknown
};

// Result of ReplaceRoutes or ReadRoutes. isRejected and document are valid only
// if this instance is the leader.
struct RoutesReply
{
  LeadershipStatus leadershipStatus = LeadershipStatus::Unknown;
  // Set if another instance is known to be the leader.
  InstanceId leader;
  // True if an amount of prepaid tokens is invalid; nothing was changed.
  bool isRejected = false;
  // The current version; ReadRoutes also sets the text.
  RoutesDocument document;
};

using RoutesCallback = std::function<void(const RoutesReply&)>;

// How an order to evacuate or restore an availability zone ended.
enum class EvacuationResult
{
  // The order is in force; it may have been before.
  Done,
  UnknownZone,
  // The zone is the only one that has endpoints and is not evacuated.
  LastZone
};

// Result of SetZoneEvacuation. result and problem are valid only if this
// instance is the leader.
struct EvacuationReply
{
  LeadershipStatus leadershipStatus = LeadershipStatus::Unknown;
  // Set if another instance is known to be the leader.
  InstanceId leader;
  EvacuationResult result = EvacuationResult::Done;
  // Why the order was rejected.
  std::string problem;
};

using EvacuationCallback = std::function<void(const EvacuationReply&)>;

// A running control instance. Callbacks run in the task that is passed in.
class Control
{
public:
  virtual ~Control() = default;

  // Returns a handler for operators' requests. The caller must check the
  // operator's key first.
  virtual net::HttpHandler OperatorHandler() = 0;

  // Replaces the addresses at which this instance finds others. Links to other
  // addresses stay open.
  virtual void SetControl(std::vector<settings::ControlMember> aMembers) = 0;

  // Replaces the route table unless the current version is higher. Calls aDone
  // after a quorum has stored the change, or after a failure or a timeout.
  virtual void ReplaceRoutes(net::IoTask& aTask,
                             RoutesDocument aDocument,
                             RoutesCallback aDone) = 0;

  // Orders (or, with false, revokes) the evacuation of an availability zone.
  // Calls aDone after a quorum has stored the order, or after a failure or a
  // timeout.
  virtual void SetZoneEvacuation(net::IoTask& aTask,
                                 ZoneId aZone,
                                 bool aIsEvacuated,
                                 EvacuationCallback aDone) = 0;

  // Reads the current route table, after a quorum has confirmed that this
  // instance is still the leader.
  virtual void ReadRoutes(net::IoTask& aTask, RoutesCallback aDone) = 0;

  // Passes the instance's state as JSON to aDone, for debugging. The text has
  // no secrets.
  virtual void Dump(net::IoTask& aTask,
                    std::function<void(std::string)> aDone) = 0;
};

// Hooks for the formats of a platform.
struct PlatformFormat
{
  discovery::ListFormat list = discovery::MakePlainFormat();
  // Returns what a route document says about cold endpoints. If it is not set,
  // their requests are not bounded.
  std::function<limits::ColdRules(const std::string& aDocument)> readColdRules;
};

// Starts a control instance; on failure, returns an error message. aPool is the
// connection pool for HTTP requests to engines and to the platform.
Result<std::unique_ptr<Control>, std::string>
StartControl(const net::Runtime& aRuntime,
             caf::actor aPool,
             const settings::ProcessSettings& aSettings,
             const net::FleetKey& aKey,
             PlatformFormat aFormat = {});

// Formats the data folder of an initial member of the control group. The
// members bootstrap the group once all of them run. Returns an error message on
// failure.
Result<void, std::string>
FormatDataFolder(const settings::ProcessSettings& aSettings);

} // namespace lycheestand::control

#endif
