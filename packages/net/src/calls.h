#ifndef LYCHEESTAND_NET_SRC_CALLS_H
#define LYCHEESTAND_NET_SRC_CALLS_H

// Messages between a task that makes calls, the connection pool and the
// connections.

#include <lycheestand/net.h>

namespace lycheestand::net {

// Asks the pool to run a call on a kept or new connection.
struct CallStart
{
  caf::actor owner;
  std::uint64_t id = 0;
  Address address;
  HttpRequest request;
  CallOptions options;
};

// The connection has taken the call and can be told to stop.
struct CallAccepted
{
  caf::actor connection;
};
struct CallPiece
{
  std::string body;
};
struct CallEnded
{};
struct CallFailed
{
  CallFailure failure = CallFailure::NotSent;
  std::string reason;
};

// What a connection tells the owner of a call.
struct CallEvent
{
  std::uint64_t id = 0;
  std::variant<CallAccepted, CallHead, CallPiece, CallEnded, CallFailed> event;
};

// From the owner of a call to its connection, which may run another call by
// now.
struct CallContinue
{
  std::uint64_t id = 0;
};
struct CallCancel
{
  std::uint64_t id = 0;
};

// From a connection to the pool: it can take another call.
struct ConnectionIdle
{
  Address address;
  caf::actor connection;
};

// From a connection to the pool: it is closed and must not be used.
struct ConnectionClosed
{
  Address address;
  caf::actor connection;
};

// From the pool to a connection: it gets no more calls.
struct ConnectionRemoved
{};

// Starts a connection to an endpoint that runs one call at a time.
caf::actor
SpawnClientConnection(const Runtime& aRuntime,
                      caf::actor aPool,
                      const Address& aAddress);

} // namespace lycheestand::net

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::CallStart)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::CallEvent)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::CallContinue)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::CallCancel)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::ConnectionIdle)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::ConnectionClosed)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::ConnectionRemoved)

#endif
