// Dispatch by data range, as a database assigns key ranges to the processors
// whose caches hold them; ranges that run hot are split.

#include <algorithm>
#include <lycheestand/routing.h>

namespace lycheestand::routing {

namespace {

// Requests between two looks at the ranges' load. Of 20, 50, 100 and 200 the
// least did best in bench/policy.
constexpr unsigned kRebalanceEvery = 20;

// A range is hot when an owner of it gets this many times an endpoint's mean.
constexpr double kHotFactor = 1.25;

// Part of a count that stays after each look, so that old traffic fades.
constexpr double kDecay = 0.5;

struct Range
{
  std::vector<EndpointId> owners;
  double requests = 0;
  std::uint64_t firstHash = 0;
  bool isOneHash = true;
};

class PrefixRanges
{
public:
  std::size_t Choose(const Query& aQuery,
                     Candidates aCandidates,
                     const RandomSource& aRandom)
  {
    if (aQuery.prefix.empty()) {
      return aRandom(aCandidates.size());
    }
    if (this->ranges.empty()) {
      this->Divide(aCandidates);
    }
    std::uint64_t hash = Mix(aQuery.prefix.front().hash.Get());
    Range& range = std::prev(this->ranges.upper_bound(hash))->second;
    Note(range, hash);
    if (++this->sinceLook >= kRebalanceEvery) {
      this->Rebalance(aCandidates);
    }
    return FindOwner(
      std::prev(this->ranges.upper_bound(hash))->second, aCandidates, aRandom);
  }

private:
  // Hashes from elsewhere may not be spread evenly.
  static std::uint64_t Mix(std::uint64_t aHash)
  {
    aHash = (aHash ^ (aHash >> 31)) * 0x9E3779B97F4A7C15ULL;
    return aHash ^ (aHash >> 29);
  }

  void Divide(Candidates aCandidates)
  {
    std::uint64_t width = ~std::uint64_t(0) / aCandidates.size();
    for (std::size_t i = 0; i < aCandidates.size(); ++i) {
      this->ranges[width * i].owners = { *aCandidates[i].endpoint };
    }
  }

  static void Note(Range& aRange, std::uint64_t aHash)
  {
    if (aRange.requests <= 0) {
      aRange.firstHash = aHash;
      aRange.isOneHash = true;
    }
    aRange.isOneHash &= aRange.firstHash == aHash;
    aRange.requests += 1;
  }

  // An owner that is gone is replaced by another candidate.
  static std::size_t FindOwner(Range& aRange,
                               Candidates aCandidates,
                               const RandomSource& aRandom)
  {
    EndpointId& owner = aRange.owners[aRandom(aRange.owners.size())];
    for (std::size_t i = 0; i < aCandidates.size(); ++i) {
      if (*aCandidates[i].endpoint == owner) {
        return i;
      }
    }
    std::size_t other = aRandom(aCandidates.size());
    owner = *aCandidates[other].endpoint;
    return other;
  }

  std::map<EndpointId, double> LoadByEndpoint(Candidates aCandidates) const
  {
    std::map<EndpointId, double> load;
    for (const auto& candidate : aCandidates) {
      load[*candidate.endpoint] = 0;
    }
    for (const auto& [start, range] : this->ranges) {
      for (const auto& owner : range.owners) {
        load[owner] +=
          range.requests / static_cast<double>(range.owners.size());
      }
    }
    return load;
  }

  // Splits the hottest range of the most loaded endpoint and gives the half to
  // the least loaded one.
  void Rebalance(Candidates aCandidates)
  {
    this->sinceLook = 0;
    auto load = this->LoadByEndpoint(aCandidates);
    auto byLoad = [](const auto& aLeft, const auto& aRight) {
      return aLeft.second < aRight.second;
    };
    auto [least, most] = std::minmax_element(load.begin(), load.end(), byLoad);
    double total = 0;
    for (const auto& [endpoint, requests] : load) {
      total += requests;
    }
    if (most->second > kHotFactor * total / static_cast<double>(load.size())) {
      this->Split(most->first, least->first);
    }
    for (auto& [start, range] : this->ranges) {
      range.requests *= kDecay;
    }
  }

  void Split(const EndpointId& aFrom, const EndpointId& aTo)
  {
    auto hottest = this->ranges.end();
    for (auto range = this->ranges.begin(); range != this->ranges.end();
         ++range) {
      const auto& owners = range->second.owners;
      if (std::find(owners.begin(), owners.end(), aFrom) != owners.end() &&
          (hottest == this->ranges.end() ||
           range->second.requests > hottest->second.requests)) {
        hottest = range;
      }
    }
    if (hottest == this->ranges.end()) {
      return;
    }
    auto& [start, range] = *hottest;
    if (range.isOneHash) {
      range.owners.push_back(aTo);
      return;
    }
    auto next = std::next(hottest);
    std::uint64_t end =
      next == this->ranges.end() ? ~std::uint64_t(0) : next->first;
    range.requests /= 2;
    Range half = range;
    half.owners = { aTo };
    this->ranges[start + (end - start) / 2] = std::move(half);
  }

  // Keyed by the first hash of each range.
  std::map<std::uint64_t, Range> ranges;
  unsigned sinceLook = 0;
};

} // namespace

ChoicePolicy
MakePrefixRangesPolicy()
{
  auto ranges = std::make_shared<PrefixRanges>();
  return [ranges](const Query& aQuery,
                  Candidates aCandidates,
                  const RandomSource& aRandom) {
    return ranges->Choose(aQuery, aCandidates, aRandom);
  };
}

} // namespace lycheestand::routing
