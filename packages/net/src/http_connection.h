#ifndef LYCHEESTAND_NET_SRC_HTTP_CONNECTION_H
#define LYCHEESTAND_NET_SRC_HTTP_CONNECTION_H

// One connection of an HTTP server.

#include <boost/asio/ip/tcp.hpp>
#include <lycheestand/net.h>

namespace lycheestand::net {

// Sent by a connection to its server when it closes.
struct ConnectionEnded
{};

// Message from a server to its connections when it has no room for another:
// close if no request has arrived for a while, or if the caller does not read.
struct CloseUnused
{};

// Starts the task that owns a caller's socket and handles its requests
// sequentially. aOptions must name the buffers' task.
caf::actor
SpawnHttpConnection(const Runtime& aRuntime,
                    caf::actor aPool,
                    caf::actor aServer,
                    boost::asio::ip::tcp::socket aSocket,
                    HttpServerOptions aOptions,
                    HttpHandler aHandler);

} // namespace lycheestand::net

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::ConnectionEnded)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::CloseUnused)

#endif
