#ifndef LYCHEESTAND_CLIENT_SRC_FLEET_CLIENT_H
#define LYCHEESTAND_CLIENT_SRC_FLEET_CLIENT_H

// Sends requests to the control leader.

#include <boost/json.hpp>
#include <lycheestand/client.h>

namespace lycheestand::client {

// Why a command failed: the exit code, and the message for the operator.
struct CommandFailure
{
  ExitCode code = ExitCode::Usage;
  std::string message;
};

template<class T>
using CommandResult = Result<T, CommandFailure>;

// A control instance's response to a request for the fleet's status.
struct ControlState
{
  InstanceId instance;
  Address admin;
  // "leader", "follower", "refused" (control rejected the request) or
  // "unreachable" (any other failure).
  std::string state;
  // The fleet's status; null unless this is the leader.
  boost::json::value status;
};

// Sends a request to the control instances in turn until the leader answers.
// An instance that doesn't lead may name the leader, which is then tried next.
class FleetClient
{
public:
  FleetClient(const Environment& aEnvironment,
              settings::ClientSettings aSettings,
              std::string aBearer,
              Duration aTimeout)
    : environment(aEnvironment)
    , settings(std::move(aSettings))
    , bearer(std::move(aBearer))
    , timeout(aTimeout)
  {
  }

  // Returns the leader's JSON response, or a failure after the timeout. A
  // request that may have run is sent again: a change in aBody needs a change
  // id, so that control applies it once.
  CommandResult<boost::json::value> SendToLeader(
    const std::string& aMethod,
    const std::string& aTarget,
    const boost::json::object& aBody = {});

  // Returns the dump of an instance from its admin address, which must be in
  // the settings.
  CommandResult<boost::json::value> Dump(const InstanceId& aInstance);

  // Requests the status of each control instance once.
  std::vector<ControlState> QueryControlInstances();

private:
  // The outcome of one request to one instance.
  struct Attempt
  {
    // The final result; empty if another attempt is needed.
    std::optional<CommandResult<boost::json::value>> result;
    // The leader that the instance named; empty if none.
    InstanceId leader;
    bool mayHaveRun = false;
  };

  Attempt SendOnce(const settings::AdminAddress& aControl,
                   const AdminRequest& aRequest);
  // Returns the index of a control instance; their number if it is unknown.
  std::size_t IndexOf(const InstanceId& aInstance) const;
  CommandFailure MakeTimeoutFailure(bool aMayHaveRun,
                                    const std::string& aLastError) const;

  const Environment& environment;
  settings::ClientSettings settings;
  std::string bearer;
  // Limits the time of all attempts of one request.
  Duration timeout;
  // Why the last attempt had no result.
  std::string lastError;
};

} // namespace lycheestand::client

#endif
