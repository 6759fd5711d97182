#ifndef LYCHEESTAND_NET_SRC_HTTP_CONNECTION_H
#define LYCHEESTAND_NET_SRC_HTTP_CONNECTION_H

// One connection of an HTTP server.

#include <boost/asio/ip/tcp.hpp>
#include <lycheestand/net.h>

namespace lycheestand::net {

// Sent by a connection to its server when it closes.
struct ConnectionEnded
{};

// Request from a connection to its server to hold this many bytes of its
// request and response in all; the server replies with whether it may.
struct HoldBuffer
{
  std::size_t bytes = 0;
};

// Sent by a connection to its server when it holds no such bytes any more.
struct ReleaseBuffer
{};

// Starts the task that owns a caller's socket and handles its requests
// sequentially.
caf::actor
SpawnHttpConnection(const Runtime& aRuntime,
                    caf::actor aPool,
                    caf::actor aServer,
                    boost::asio::ip::tcp::socket aSocket,
                    HttpServerOptions aOptions,
                    HttpHandler aHandler);

} // namespace lycheestand::net

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::ConnectionEnded)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::HoldBuffer)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::ReleaseBuffer)

#endif
