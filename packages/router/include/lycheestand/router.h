#ifndef LYCHEESTAND_ROUTER_H
#define LYCHEESTAND_ROUTER_H

// The router role: serves callers through a filter chain, with controllers for
// configuration, budgets, operations, endpoints and membership.

#include <functional>
#include <lycheestand/core.h>
#include <lycheestand/net.h>
#include <lycheestand/settings.h>
#include <memory>
#include <string>

namespace lycheestand::router {

// A running router.
class Router
{
public:
  virtual ~Router() = default;

  // Begins a graceful stop; aStopped runs when all requests have ended and
  // what they spent is reported.
  virtual void Drain(std::function<void()> aStopped) = 0;

  // Sets what runs when a stop that control asked for is complete.
  virtual void OnDrainRequest(std::function<void()> aStopped) = 0;

  // Passes the state as JSON, without secrets, to aDone.
  virtual void Dump(net::IoTask& aTask,
                    std::function<void(std::string)> aDone) = 0;
};

// Starts a router; returns why it can't start.
Result<std::unique_ptr<Router>, std::string>
StartRouter(const net::Runtime& aRuntime,
            caf::actor aPool,
            const settings::ProcessSettings& aSettings,
            const net::FleetKey& aKey);

} // namespace lycheestand::router

#endif
