#include <algorithm>
#include <cmath>
#include <lycheestand/routing.h>

namespace lycheestand::routing {

namespace {

// Probability that a lost event was a removal: in a full cache, about every
// second event is one.
constexpr double kRemovalProbability = 0.5;

} // namespace

void
PrefixCacheModel::RecordRequest(const std::vector<PromptPrefix>& aPrefixes)
{
  // Touches the shortest prefix last, so that it is evicted last: the longer
  // ones are of no use without it.
  for (auto prefix = aPrefixes.rbegin(); prefix != aPrefixes.rend(); ++prefix) {
    this->Touch(prefix->hash);
  }
}

void
PrefixCacheModel::ApplyEvent(const CacheEvent& aEvent)
{
  if (aEvent.sequence < this->nextSequence) {
    return;
  }
  this->AdvanceSequence(aEvent.sequence);
  this->nextSequence = aEvent.sequence + 1;
  if (aEvent.added) {
    this->Touch(aEvent.prefix);
  } else {
    this->Remove(aEvent.prefix);
  }
}

void
PrefixCacheModel::AdvanceSequence(std::uint64_t aNext)
{
  if (aNext <= this->nextSequence) {
    return;
  }
  // Events before the first received one do not count as lost: no prefix was
  // known yet that they could have removed.
  if (this->nextSequence > 0) {
    this->lostEvents += aNext - this->nextSequence;
  }
  this->nextSequence = aNext;
}

void
PrefixCacheModel::Clear()
{
  this->entries.clear();
  this->byHash.clear();
  this->nextSequence = 0;
  this->lostEvents = 0;
}

double
PrefixCacheModel::ExpectedCachedTokens(
  const std::vector<PromptPrefix>& aPrefixes) const
{
  double expectedTokens = 0;
  double countedTokens = 0;
  for (const auto& prefix : aPrefixes) {
    auto found = this->byHash.find(prefix.hash);
    if (found == this->byHash.end()) {
      break;
    }
    auto tokens = static_cast<double>(prefix.tokens.Get());
    expectedTokens +=
      (tokens - countedTokens) * this->Confidence(*found->second);
    countedTokens = tokens;
  }
  return expectedTokens;
}

// Returns the probability that none of the events lost since the entry was used
// has removed it. Each removal is equally likely to hit any entry.
double
PrefixCacheModel::Confidence(const Entry& aEntry) const
{
  auto missedEvents =
    static_cast<double>(this->lostEvents - aEntry.lostEventsAtUse);
  return std::exp(-missedEvents * kRemovalProbability /
                  static_cast<double>(this->entries.size()));
}

void
PrefixCacheModel::Touch(PrefixHash aHash)
{
  auto found = this->byHash.find(aHash);
  if (found != this->byHash.end()) {
    found->second->lostEventsAtUse = this->lostEvents;
    this->entries.splice(this->entries.begin(), this->entries, found->second);
    return;
  }
  this->entries.push_front({ aHash, this->lostEvents });
  this->byHash[aHash] = this->entries.begin();
  if (this->entries.size() > this->capacity) {
    this->byHash.erase(this->entries.back().hash);
    this->entries.pop_back();
  }
}

void
PrefixCacheModel::Remove(PrefixHash aHash)
{
  auto found = this->byHash.find(aHash);
  if (found != this->byHash.end()) {
    this->entries.erase(found->second);
    this->byHash.erase(found);
  }
}

} // namespace lycheestand::routing
