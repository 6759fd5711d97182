#ifndef LYCHEESTAND_CLIENT_SRC_FLEET_CLIENT_H
#define LYCHEESTAND_CLIENT_SRC_FLEET_CLIENT_H

// Sends requests to whichever control instance leads.

#include <boost/json.hpp>
#include <lycheestand/client.h>

namespace lycheestand::client {

// A command's failure: what to tell the operator, and the exit code.
struct CommandFailure
{
  ExitCode code = ExitCode::Usage;
  std::string message;
};

template<class T>
using CommandResult = Result<T, CommandFailure>;

// How an instance answered a request for the fleet's status.
struct ControlState
{
  InstanceId instance;
  Address admin;
  // "leader", "follower", "unreachable" or "refused".
  std::string state;
  // The fleet's status, from the leader.
  boost::json::value status;
};

// Tries the control instances in turn and follows the leader that they name.
class FleetClient
{
public:
  FleetClient(const Environment& aEnvironment,
              settings::ClientSettings aSettings,
              std::string aBearer,
              Duration aPatience)
    : environment(aEnvironment)
    , settings(std::move(aSettings))
    , bearer(std::move(aBearer))
    , patience(aPatience)
  {
  }

  // Returns the leader's JSON answer. A request that may have run is sent
  // again; a change carries a change id, so that it counts once.
  CommandResult<boost::json::value> Ask(const std::string& aMethod,
                                        const std::string& aTarget,
                                        const boost::json::object& aBody = {});

  // Returns the state of an instance, from its own admin address.
  CommandResult<boost::json::value> Dump(const InstanceId& aInstance);

  // Asks each control instance once.
  std::vector<ControlState> Survey();

private:
  // What one attempt means for the next one.
  struct Attempt
  {
    std::optional<CommandResult<boost::json::value>> result;
    InstanceId leader;
    bool mayHaveRun = false;
  };

  Attempt Try(const settings::AdminAddress& aControl,
              const AdminRequest& aRequest);
  std::size_t IndexOf(const InstanceId& aInstance) const;
  CommandFailure GiveUp(bool aMayHaveRun, const std::string& aLast) const;

  const Environment& environment;
  settings::ClientSettings settings;
  std::string bearer;
  // Longest time for all attempts of one request.
  Duration patience;
  std::string lastProblem;
};

} // namespace lycheestand::client

#endif
