#ifndef LYCHEESTAND_CONTROL_H
#define LYCHEESTAND_CONTROL_H

// The control role: keeps the replicated state, serves routers and operators.

#include <functional>
#include <lycheestand/core.h>
#include <lycheestand/net.h>
#include <lycheestand/settings.h>
#include <memory>
#include <string>

namespace lycheestand::control {

// A running control instance.
class Control
{
public:
  virtual ~Control() = default;

  // Answers operators' requests; the caller has checked the operator's key.
  virtual net::HttpHandler OperatorHandler() = 0;

  // Passes the state as JSON, without secrets, to aDone.
  virtual void Dump(net::IoTask& aTask,
                    std::function<void(std::string)> aDone) = 0;
};

// Starts a control instance; returns why it can't start.
Result<std::unique_ptr<Control>, std::string>
StartControl(const net::Runtime& aRuntime,
             caf::actor aPool,
             const settings::ProcessSettings& aSettings,
             const net::FleetKey& aKey);

// Creates the data folder of one of the fleet's first control instances. Once
// all of them run, they form the group.
Result<void, std::string>
FormatDataFolder(const settings::ProcessSettings& aSettings);

} // namespace lycheestand::control

#endif
