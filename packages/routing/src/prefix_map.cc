#include <algorithm>
#include <cmath>
#include <lycheestand/routing.h>

namespace lycheestand::routing {

namespace {

// About every second event of a full cache is a removal, so a lost event has
// removed one of the known prefixes with this probability.
constexpr double kRemovalShare = 0.5;

} // namespace

void
PrefixMap::LearnRequest(const std::vector<PrefixPart>& aParts)
{
  // The shortest part is touched last: it is the last to be forgotten, as the
  // longer parts are of no use without it.
  for (auto part = aParts.rbegin(); part != aParts.rend(); ++part) {
    this->Touch(part->hash);
  }
}

void
PrefixMap::LearnEvent(const CacheEvent& aEvent)
{
  if (aEvent.sequence < this->nextSequence) {
    return;
  }
  this->LearnNext(aEvent.sequence);
  this->nextSequence = aEvent.sequence + 1;
  if (aEvent.added) {
    this->Touch(aEvent.prefix);
  } else {
    this->Forget(aEvent.prefix);
  }
}

void
PrefixMap::LearnNext(std::uint64_t aNext)
{
  if (aNext <= this->nextSequence) {
    return;
  }
  // Before the first event nothing is known that could have been removed.
  if (this->nextSequence > 0) {
    this->lost += aNext - this->nextSequence;
  }
  this->nextSequence = aNext;
}

void
PrefixMap::Clear()
{
  this->entries.clear();
  this->byHash.clear();
  this->nextSequence = 0;
  this->lost = 0;
}

double
PrefixMap::ExpectTokens(const std::vector<PrefixPart>& aParts) const
{
  double expected = 0;
  double counted = 0;
  for (const auto& part : aParts) {
    auto found = this->byHash.find(part.hash);
    if (found == this->byHash.end()) {
      break;
    }
    auto tokens = static_cast<double>(part.tokens.Get());
    expected += (tokens - counted) * this->Confidence(*found->second);
    counted = tokens;
  }
  return expected;
}

// Each lost event may have removed any of the known prefixes.
double
PrefixMap::Confidence(const Entry& aEntry) const
{
  auto missed = static_cast<double>(this->lost - aEntry.lostBefore);
  return std::exp(-missed * kRemovalShare /
                  static_cast<double>(this->entries.size()));
}

void
PrefixMap::Touch(PrefixHash aHash)
{
  auto found = this->byHash.find(aHash);
  if (found != this->byHash.end()) {
    found->second->lostBefore = this->lost;
    this->entries.splice(this->entries.begin(), this->entries, found->second);
    return;
  }
  this->entries.push_front({ aHash, this->lost });
  this->byHash[aHash] = this->entries.begin();
  if (this->entries.size() > this->capacity) {
    this->byHash.erase(this->entries.back().hash);
    this->entries.pop_back();
  }
}

void
PrefixMap::Forget(PrefixHash aHash)
{
  auto found = this->byHash.find(aHash);
  if (found != this->byHash.end()) {
    this->entries.erase(found->second);
    this->byHash.erase(found);
  }
}

} // namespace lycheestand::routing
