#ifndef LYCHEESTAND_TEST_STANDINS_STANDIN_H
#define LYCHEESTAND_TEST_STANDINS_STANDIN_H

// Common startup of the stand-ins: scheduler, I/O context and HTTP server.

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>
#include <caf/actor_system_config.hpp>
#include <csignal>
#include <functional>
#include <iostream>
#include <lycheestand/net.h>
#include <sodium.h>

namespace lycheestand::standins {

// Runs an HTTP stand-in until SIGTERM or SIGINT, and then exits the process
// with status 0. aMakeHandler returns its request handler. Returns 3 if the
// stand-in can't be started.
inline int
RunStandin(
  const std::string& aName,
  const Address& aAddress,
  const std::function<net::HttpHandler(const net::Runtime&, caf::actor aPool)>&
    aMakeHandler)
{
  if (sodium_init() < 0) {
    return 3;
  }
  net::SetUpLogging(
    net::LogLevel::Info, net::LogFormat::Text, InstanceId(aName));
  caf::actor_system_config config;
  config.set("scheduler.policy", caf::atom("sharing"));
  config.set("scheduler.max-threads", std::size_t(2));
  auto* system = new caf::actor_system(config);
  auto* io = new boost::asio::io_context();
  net::Runtime runtime{ system, io };
  auto pool = net::SpawnConnectionPool(runtime);
  auto server = net::SpawnHttpServer(
    runtime, pool, aAddress, {}, aMakeHandler(runtime, pool));
  if (server.has_error()) {
    std::cerr << aName << ": " << server.error() << "\n";
    return 3;
  }
  boost::asio::signal_set signals(*io, SIGTERM, SIGINT);
  signals.async_wait([io](boost::system::error_code, int) { io->stop(); });
  io->run();
  std::_Exit(0);
}

} // namespace lycheestand::standins

#endif
