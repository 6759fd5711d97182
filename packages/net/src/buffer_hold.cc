#include "buffer_hold.h"

#include "buffer_controller.h"

#include <algorithm>
#include <bit>

namespace lycheestand::net {

namespace {

// Bytes that a connection holds without asking, beyond those that it was
// granted. Most requests are smaller and cost no message; and the head of a
// response does not need a grant in addition to its body.
constexpr std::size_t kUnheldBytes = 16 * 1024;

// A message asks for more memory at most this many times while its size
// doubles.
constexpr std::size_t kHoldSteps = 8;

} // namespace

void
BufferHold::Hold(std::size_t aBytes, std::function<void(bool)> aDone)
{
  if (aBytes <= this->heldBytes + kUnheldBytes) {
    aDone(true);
    return;
  }
  auto step = std::bit_ceil(aBytes) / kHoldSteps;
  auto bytes = (aBytes + step - 1) / step * step;
  ++this->pendingHolds;
  this->task.request(this->buffers, caf::infinite, HoldBuffer{ bytes })
    .then([this, bytes, askedIn = this->round, done = std::move(aDone)](
            bool aMayHold) {
      --this->pendingHolds;
      bool isValid = aMayHold && askedIn == this->round;
      if (isValid) {
        this->heldBytes = std::max(this->heldBytes, bytes);
      }
      done(isValid);
    });
}

// The message follows all HoldBuffer messages, so nothing stays held.
void
BufferHold::Release()
{
  if (this->heldBytes > 0 || this->pendingHolds > 0) {
    this->heldBytes = 0;
    ++this->round;
    this->task.send(this->buffers, ReleaseBuffer{});
  }
}

} // namespace lycheestand::net
