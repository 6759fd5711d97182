#ifndef LYCHEESTAND_NET_SRC_CALLS_H
#define LYCHEESTAND_NET_SRC_CALLS_H

// Messages between a task that makes calls, the connection pool and the
// connections.

#include <lycheestand/net.h>

namespace lycheestand::net {

// To the pool, and from there to a connection: run a call. The pool uses an
// idle or a new connection.
struct CallStart
{
  caf::actor owner;
  std::uint64_t id = 0;
  Address address;
  HttpRequest request;
  CallOptions options;
};

// The connection has accepted the call and takes CallContinue and CallCancel.
struct CallAccepted
{
  caf::actor connection;
};
struct CallBodyChunk
{
  std::string body;
};
// Nothing has arrived for CallOptions::silenceTime.
struct CallSilent
{};
struct CallEnded
{};
struct CallFailed
{
  CallFailure failure = CallFailure::NotSent;
  std::string reason;
};

// From a connection to the owner of a call: a step of the call.
struct CallEvent
{
  std::uint64_t id = 0;
  std::variant<CallAccepted,
               CallHead,
               CallBodyChunk,
               CallSilent,
               CallEnded,
               CallFailed>
    event;
};

// From the owner of a call to its connection. The connection ignores ids other
// than its current call's, since it may have started another call meanwhile.
struct CallContinue
{
  std::uint64_t id = 0;
};
struct CallCancel
{
  std::uint64_t id = 0;
};

// From a connection to the pool: it is idle and can run another call.
struct ConnectionIdle
{
  Address address;
  caf::actor connection;
};

// From a connection to the pool: it is closed and must not be used again.
struct ConnectionClosed
{
  Address address;
  caf::actor connection;
};

// From the pool to a connection: it is out of the pool, gets no more calls and
// can exit.
struct ConnectionRemoved
{};

// Starts a task that owns a connection to an endpoint and runs one call at a
// time.
caf::actor
SpawnClientConnection(const Runtime& aRuntime,
                      caf::actor aPool,
                      const Address& aAddress,
                      ConnectObserver aObserver);

} // namespace lycheestand::net

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::CallStart)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::CallEvent)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::CallContinue)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::CallCancel)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::ConnectionIdle)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::ConnectionClosed)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::ConnectionRemoved)

#endif
