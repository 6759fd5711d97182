#ifndef LYCHEESTAND_DAEMON_SRC_DAEMON_H
#define LYCHEESTAND_DAEMON_SRC_DAEMON_H

#include <lycheestand/control.h>
#include <lycheestand/platform.h>
#include <lycheestand/router.h>
#include <lycheestand/settings.h>

namespace lycheestand::daemon {

inline constexpr const char* kVersion = "0.1.0";

// Runs a process with the roles in its settings until a signal or control stops
// it. Returns its exit code.
int
Run(const settings::ProcessSettings& aSettings);

// Runs a process on the users' platform until a signal or control stops it.
// Returns its exit code.
int
RunOnPlatform(const platform::NodeSettings& aNode);

// Creates the data folder of one of the first control instances. Returns the
// exit code; errors are written to standard error.
int
Format(const settings::ProcessSettings& aSettings);

// Returns the limits of the servers for operators and of the platform's
// interfaces, which share the memory of aBuffers.
net::HttpServerOptions
MakeServerOptions(const settings::ProcessSettings& aSettings,
                  const caf::actor& aBuffers);

// Starts the HTTP server at the admin address: metrics, health, dump, and on
// control the operators' interface. The object of a role that this process
// doesn't have is null.
Result<caf::actor, std::string>
StartAdminServer(const net::Runtime& aRuntime,
                 caf::actor aPool,
                 const settings::ProcessSettings& aSettings,
                 const caf::actor& aBuffers,
                 router::Router* aRouter,
                 control::Control* aControl);

} // namespace lycheestand::daemon

#endif
