#ifndef LYCHEESTAND_NET_SRC_BUFFER_CONTROLLER_H
#define LYCHEESTAND_NET_SRC_BUFFER_CONTROLLER_H

// Messages between connections and the task that divides a process's memory for
// bytes from outside, see SpawnBufferController.

#include <lycheestand/net.h>

namespace lycheestand::net {

// Request from a connection to hold this many bytes in all; the reply is
// whether it may.
struct HoldBuffer
{
  std::size_t bytes = 0;
};

// Sent by a connection when it holds no such bytes any more. It also withdraws
// a HoldBuffer that has no reply yet.
struct ReleaseBuffer
{};

// Request to a connection that holds bytes, when others lack them. The reply is
// whether the connection makes no progress and gives up.
struct YieldBuffer
{};

} // namespace lycheestand::net

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::HoldBuffer)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::ReleaseBuffer)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::YieldBuffer)

#endif
