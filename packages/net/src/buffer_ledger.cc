#include "buffer_ledger.h"

#include <algorithm>

namespace lycheestand::net {

namespace {

// A holder may have at most what the others leave divided by this. Otherwise a
// few large messages would take all of the memory from the small ones.
constexpr std::size_t kShareDivisor = 2;

} // namespace

bool
BufferLedger::Set(BufferHolderId aHolder, std::size_t aBytes)
{
  auto found = this->holders.find(aHolder);
  std::size_t own = found == this->holders.end() ? 0 : found->second;
  std::size_t others = this->held - own;
  if (aBytes > own && aBytes > (this->capacity - others) / kShareDivisor) {
    return false;
  }
  this->held = others + aBytes;
  this->holders[aHolder] = aBytes;
  return true;
}

void
BufferLedger::Release(BufferHolderId aHolder)
{
  auto found = this->holders.extract(aHolder);
  if (!found.empty()) {
    this->held -= found.mapped();
  }
}

std::vector<BufferHolderId>
BufferLedger::FindLargest(std::size_t aCount) const
{
  std::vector<std::pair<std::size_t, BufferHolderId>> sizes;
  for (const auto& [holder, bytes] : this->holders) {
    sizes.emplace_back(bytes, holder);
  }
  auto count = std::min(aCount, sizes.size());
  auto end = sizes.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(sizes.begin(), end, sizes.end(), std::greater<>());
  std::vector<BufferHolderId> out;
  std::transform(sizes.begin(),
                 end,
                 std::back_inserter(out),
                 [](const auto& aItem) { return aItem.second; });
  return out;
}

} // namespace lycheestand::net
