#ifndef LYCHEESTAND_DAEMON_SRC_DAEMON_H
#define LYCHEESTAND_DAEMON_SRC_DAEMON_H

#include <lycheestand/control.h>
#include <lycheestand/platform.h>
#include <lycheestand/router.h>
#include <lycheestand/settings.h>

namespace lycheestand::daemon {

inline constexpr const char* kVersion = "0.1.0";

// Runs a process in its roles until it is stopped; returns its exit code.
int
Run(const settings::ProcessSettings& aSettings);

// Runs a process on the users' platform until it is stopped.
int
RunOnPlatform(const platform::NodeSettings& aNode);

// Creates the data folder of one of the first control instances; returns the
// exit code.
int
Format(const settings::ProcessSettings& aSettings);

// Starts the admin server: metrics, dump, health, and on control the operators'
// interface. Either role may be null.
Result<caf::actor, std::string>
StartAdminServer(const net::Runtime& aRuntime,
                 caf::actor aPool,
                 const settings::ProcessSettings& aSettings,
                 router::Router* aRouter,
                 control::Control* aControl);

} // namespace lycheestand::daemon

#endif
