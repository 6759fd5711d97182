#ifndef LYCHEESTAND_NET_SRC_BUFFER_LEDGER_H
#define LYCHEESTAND_NET_SRC_BUFFER_LEDGER_H

#include <cstddef>
#include <cstdint>
#include <lycheestand/core.h>
#include <map>
#include <vector>

namespace lycheestand::net {

using BufferHolderId = StrongType<struct BufferHolderIdTag, std::uint64_t>;

// Divides a number of bytes of memory among the holders of large messages. The
// code does no I/O.
class BufferLedger
{
public:
  explicit BufferLedger(std::size_t aCapacity)
    : capacity(aCapacity)
  {
  }

  // Sets how many bytes a holder has in all. Returns false, without a change,
  // if it may not have as many.
  bool Set(BufferHolderId aHolder, std::size_t aBytes);

  void Release(BufferHolderId aHolder);

  // Returns at most aCount holders, those with the most bytes first.
  std::vector<BufferHolderId> FindLargest(std::size_t aCount) const;

  // Returns the bytes that all holders have.
  std::size_t Held() const { return this->held; }

private:
  std::size_t capacity;
  std::size_t held = 0;
  std::map<BufferHolderId, std::size_t> holders;
};

} // namespace lycheestand::net

#endif
