#ifndef LYCHEESTAND_NET_SRC_BUFFER_HOLD_H
#define LYCHEESTAND_NET_SRC_BUFFER_HOLD_H

#include <cstdint>
#include <functional>
#include <lycheestand/net.h>

namespace lycheestand::net {

// The part of a process's memory that one connection holds. Belongs to the
// connection's task.
class BufferHold
{
public:
  BufferHold(IoTask& aTask, caf::actor aBuffers)
    : task(aTask)
    , buffers(std::move(aBuffers))
  {
  }

  // Asks to hold this many bytes in all. aDone gets whether they may be held;
  // it runs at once for few bytes, and gets false if Release is called before
  // the reply.
  void Hold(std::size_t aBytes, std::function<void(bool)> aDone);

  // Gives all bytes back, also those that are still asked for.
  void Release();

  std::size_t HeldBytes() const { return this->heldBytes; }
  // Number of releases, to tell what was asked before the last one.
  std::uint64_t Round() const { return this->round; }

private:
  IoTask& task;
  caf::actor buffers;
  std::size_t heldBytes = 0;
  std::uint64_t round = 0;
  int pendingHolds = 0;
};

} // namespace lycheestand::net

#endif
