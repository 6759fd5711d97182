// Assigns ranges of prefix hashes to endpoints, as a database assigns key
// ranges to the processors that cache them. Overloaded ranges are split.

#include <algorithm>
#include <lycheestand/routing.h>

namespace lycheestand::routing {

namespace {

// Requests between two checks of the load; see docs/routing.md.
constexpr unsigned kRebalanceIntervalRequests = 20;

// An endpoint is overloaded when it receives more than this multiple of the
// mean number of requests.
constexpr double kOverloadFactor = 1.25;

// Factor applied to the request counts after each check, so that recent traffic
// counts most.
constexpr double kRequestCountDecay = 0.5;

struct HashRange
{
  std::vector<EndpointId> owners;
  // Decaying count of the requests in this range.
  double requests = 0;
  // Hash of the first counted request.
  std::uint64_t firstHash = 0;
  // Whether all counted requests have that hash.
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
      this->PartitionEvenly(aCandidates);
    }
    std::uint64_t hash = MixHash(aQuery.prefix.front().hash.Get());
    HashRange& range = std::prev(this->ranges.upper_bound(hash))->second;
    RecordRequest(range, hash);
    if (++this->requestsSinceRebalance >= kRebalanceIntervalRequests) {
      this->Rebalance(aCandidates);
    }
    return FindOwner(
      std::prev(this->ranges.upper_bound(hash))->second, aCandidates, aRandom);
  }

private:
  // The hashes that callers pass may not be evenly distributed.
  static std::uint64_t MixHash(std::uint64_t aHash)
  {
    aHash = (aHash ^ (aHash >> 31)) * 0x9E3779B97F4A7C15ULL;
    return aHash ^ (aHash >> 29);
  }

  void PartitionEvenly(Candidates aCandidates)
  {
    std::uint64_t width = ~std::uint64_t(0) / aCandidates.size();
    for (std::size_t i = 0; i < aCandidates.size(); ++i) {
      this->ranges[width * i].owners = { *aCandidates[i].endpoint };
    }
  }

  static void RecordRequest(HashRange& aRange, std::uint64_t aHash)
  {
    if (aRange.requests <= 0) {
      aRange.firstHash = aHash;
      aRange.isOneHash = true;
    }
    aRange.isOneHash &= aRange.firstHash == aHash;
    aRange.requests += 1;
  }

  // Returns the index of one of the range's owners, chosen at random. If it is
  // not a candidate, a random candidate replaces it as owner.
  static std::size_t FindOwner(HashRange& aRange,
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

  // If the most loaded endpoint is overloaded, splits the range with the most
  // requests that it owns.
  void Rebalance(Candidates aCandidates)
  {
    this->requestsSinceRebalance = 0;
    auto load = this->LoadByEndpoint(aCandidates);
    auto byLoad = [](const auto& aLeft, const auto& aRight) {
      return aLeft.second < aRight.second;
    };
    auto [least, most] = std::minmax_element(load.begin(), load.end(), byLoad);
    double total = 0;
    for (const auto& [endpoint, requests] : load) {
      total += requests;
    }
    if (most->second >
        kOverloadFactor * total / static_cast<double>(load.size())) {
      this->Split(most->first, least->first);
    }
    for (auto& [start, range] : this->ranges) {
      range.requests *= kRequestCountDecay;
    }
  }

  // Moves the upper half of the range with the most requests of aFrom to aTo. A
  // range with a single hash cannot be split; aTo becomes an additional owner.
  void Split(const EndpointId& aFrom, const EndpointId& aTo)
  {
    auto busiest = this->ranges.end();
    for (auto range = this->ranges.begin(); range != this->ranges.end();
         ++range) {
      const auto& owners = range->second.owners;
      if (std::find(owners.begin(), owners.end(), aFrom) != owners.end() &&
          (busiest == this->ranges.end() ||
           range->second.requests > busiest->second.requests)) {
        busiest = range;
      }
    }
    if (busiest == this->ranges.end()) {
      return;
    }
    auto& [start, range] = *busiest;
    if (range.isOneHash) {
      range.owners.push_back(aTo);
      return;
    }
    auto next = std::next(busiest);
    std::uint64_t end =
      next == this->ranges.end() ? ~std::uint64_t(0) : next->first;
    range.requests /= 2;
    HashRange upperHalf = range;
    upperHalf.owners = { aTo };
    this->ranges[start + (end - start) / 2] = std::move(upperHalf);
  }

  // Keyed by the lower bound of each range.
  std::map<std::uint64_t, HashRange> ranges;
  unsigned requestsSinceRebalance = 0;
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
