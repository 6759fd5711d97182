#include <algorithm>
#include <lycheestand/routing.h>

namespace lycheestand::routing {

namespace {

constexpr std::chrono::microseconds kInitialBackoff{ 25000 };
constexpr unsigned kMaxDoublings = 5;

} // namespace

void
RetryBudget::RecordRequest()
{
  this->tokens = std::min(this->burst, this->tokens + this->retriesPerRequest);
}

void
RetryBudget::ReturnRetry()
{
  this->tokens = std::min(this->tokens + 1, this->burst);
}

bool
RetryBudget::TryAcquireRetry()
{
  if (this->tokens < 1) {
    return false;
  }
  this->tokens -= 1;
  return true;
}

Duration
Backoff(unsigned aRetry, const RandomSource& aRandom)
{
  unsigned doublings = std::min(aRetry - std::min(aRetry, 1U), kMaxDoublings);
  auto maxBackoff = kInitialBackoff * (1 << doublings);
  auto half = static_cast<std::uint64_t>(maxBackoff.count()) / 2;
  return std::chrono::microseconds(half + aRandom(half + 1));
}

} // namespace lycheestand::routing
