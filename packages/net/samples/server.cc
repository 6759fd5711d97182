// Responds to every HTTP request on 127.0.0.1:8080 with the same text until it
// is interrupted.

#include <boost/asio/signal_set.hpp>
#include <caf/actor_system_config.hpp>
#include <csignal>
#include <iostream>
#include <lycheestand/net.h>

using namespace lycheestand;
using namespace lycheestand::net;

int
main()
{
  caf::actor_system_config config;
  config.set("scheduler.policy", caf::atom("sharing"));
  caf::actor_system system(config);
  boost::asio::io_context io;
  Runtime runtime{ &system, &io };
  auto server = SpawnHttpServer(runtime,
                                SpawnConnectionPool(runtime),
                                { "127.0.0.1", 8080 },
                                {},
                                [](const ExchangePtr& aExchange) {
                                  aExchange->Respond({ 200, {}, "hello\n" });
                                });
  if (server.has_error()) {
    std::cerr << server.error() << "\n";
    return 1;
  }
  boost::asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait([&](boost::system::error_code, int) { io.stop(); });
  io.run();
  std::_Exit(0);
}
