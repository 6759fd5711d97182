#include <algorithm>
#include <lycheestand/state.h>

namespace lycheestand::state {

namespace {

// Ratio of the recalled tokens to the requested minimum, so that the next
// claims need no recall of their own.
constexpr std::int64_t kRecallFactor = 3;

// Part of what a holder has that it is expected to return at least. Routers
// can't return what is reserved for requests in progress, which is most of what
// they hold when a budget is nearly used up, and a suspended one returns
// nothing.
constexpr std::int64_t kReturnableDivisor = 4;

} // namespace

// Recalls from the largest holders first, and from no more of them than are
// expected to cover the request: a router that returns tokens must request new
// ones later.
std::vector<TokenHolder>
PlanRecall(std::vector<TokenHolder> aHolders, Tokens aMinimum)
{
  std::stable_sort(aHolders.begin(),
                   aHolders.end(),
                   [](const TokenHolder& aLeft, const TokenHolder& aRight) {
                     return aLeft.tokens > aRight.tokens;
                   });
  std::int64_t wanted =
    aMinimum.Get() <= BudgetLedger::kMaxPaid.Get() / kRecallFactor
      ? aMinimum.Get() * kRecallFactor
      : BudgetLedger::kMaxPaid.Get();
  std::int64_t missing = wanted;
  std::vector<TokenHolder> recalls;
  for (const auto& holder : aHolders) {
    if (missing <= 0) {
      break;
    }
    Tokens amount(std::min(holder.tokens.Get(), wanted));
    recalls.push_back({ holder.session, amount });
    missing -= std::max<std::int64_t>(1, amount.Get() / kReturnableDivisor);
  }
  return recalls;
}

} // namespace lycheestand::state
