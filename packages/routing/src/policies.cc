#include <algorithm>
#include <cmath>
#include <lycheestand/routing.h>

namespace lycheestand::routing {

namespace {

// Resolution of the random number that selects a candidate.
constexpr std::uint64_t kRandomSteps = std::uint64_t(1) << 32;

// A candidate whose cost exceeds the lowest one by more temperatures than this
// is not chosen: its weight would be negligible.
constexpr double kMaxCostExponent = 8;

// Mean values of the reports, assumed for an endpoint without one.
struct MeanReport
{
  double reportedRequests = 0;
  double slots = 1;
};

MeanReport
AverageReports(Candidates aCandidates)
{
  MeanReport sum{ 0, 0 };
  double count = 0;
  for (const auto& candidate : aCandidates) {
    if (candidate.hasReport) {
      sum.reportedRequests += candidate.reportedRequests;
      sum.slots += candidate.slots;
      ++count;
    }
  }
  return count > 0
           ? MeanReport{ sum.reportedRequests / count, sum.slots / count }
           : MeanReport{};
}

// Returns the expected number of requests at an endpoint now. The older a
// report is, the less it says about the current load, so its weight decays in
// favor of the mean of all reports. The change due to this router's own
// requests since the report is known exactly.
double
EstimateLoad(const CostOptions& aOptions,
             const Candidate& aCandidate,
             const MeanReport& aMeanReport)
{
  double reportWeight =
    aCandidate.hasReport
      ? std::exp2(-aCandidate.reportAgeSeconds / aOptions.reportHalfLifeSeconds)
      : 0;
  double load = reportWeight * aCandidate.reportedRequests +
                (1 - reportWeight) * aMeanReport.reportedRequests +
                aCandidate.ownChangeSinceReport;
  return std::max(load, aCandidate.ownInFlight);
}

// Returns the additional cost of an endpoint that is slower than the mean, or
// the negative one of a faster endpoint. A small difference only shifts the
// shares: all routers learn about the same speeds, and must not all choose the
// fastest endpoint.
double
SpeedCost(const CostOptions& aOptions, const Candidate& aCandidate)
{
  if (aCandidate.speed == 1) {
    return 0;
  }
  double slowness = 1 / aCandidate.speed;
  return aOptions.temperatureSeconds * aOptions.speedExponent *
           std::log(slowness) +
         aCandidate.usualSeconds *
           std::max(0.0, slowness - aOptions.slownessTolerance);
}

// Returns the expected time to the first token in seconds. All terms have the
// same value without a speed as with the speed 1.
double
EstimateCost(const CostOptions& aOptions,
             const Query& aQuery,
             const Candidate& aCandidate,
             const MeanReport& aMeanReport)
{
  double load = EstimateLoad(aOptions, aCandidate, aMeanReport);
  double slots = aCandidate.hasReport ? aCandidate.slots : aMeanReport.slots;
  double slowness = 1 / aCandidate.speed;
  double limit = InFlightLimit(slots, aCandidate.speed);
  double waitingRequests = std::max(0.0, load + 1 - limit);
  double promptTokens = static_cast<double>(aQuery.promptTokens.Get());
  double unprocessedTokens =
    std::max(0.0, promptTokens - aCandidate.cachedTokens) +
    aCandidate.ownPendingPromptTokens;
  double cost = waitingRequests * aCandidate.serviceSeconds / slots * slowness;
  cost += std::min(1.0, load / limit) * aOptions.fullBatchSlowdown *
          aCandidate.serviceSeconds;
  cost += unprocessedTokens / aOptions.promptTokensPerSecond * slowness;
  cost += SpeedCost(aOptions, aCandidate);
  // Without any report the slots are taken as 1, which says nothing.
  if (aQuery.isService && promptTokens == 0 && slots > 1) {
    cost += aOptions.fullTemperatures * aOptions.temperatureSeconds *
            std::min(1.0, waitingRequests);
  }
  cost += aCandidate.isSameZone ? 0 : aOptions.otherZoneSeconds;
  cost += aCandidate.isLoaded ? 0 : aOptions.notLoadedSeconds;
  cost += aCandidate.isBusy ? aOptions.busySeconds : 0;
  return aCandidate.isCold ? cost * aOptions.coldSlowdown + aOptions.coldSeconds
                           : cost;
}

// Returns a random index with softmax weights: a cost that is one temperature
// higher is e times less likely. Routers that act on the same old report thus
// spread over endpoints with nearly equal cost instead of all choosing one.
std::size_t
SampleByCost(const std::vector<double>& aCosts,
             double aTemperatureSeconds,
             const RandomSource& aRandom)
{
  double least = *std::min_element(aCosts.begin(), aCosts.end());
  auto weightOf = [&](double aCost) {
    double exponent = (aCost - least) / aTemperatureSeconds;
    return exponent > kMaxCostExponent ? 0 : std::exp(-exponent);
  };
  double total = 0;
  for (double cost : aCosts) {
    total += weightOf(cost);
  }
  double remaining = total * static_cast<double>(aRandom(kRandomSteps)) /
                     static_cast<double>(kRandomSteps);
  std::size_t last = 0;
  for (std::size_t i = 0; i < aCosts.size(); ++i) {
    double weight = weightOf(aCosts[i]);
    if (weight <= 0) {
      continue;
    }
    last = i;
    remaining -= weight;
    if (remaining < 0) {
      break;
    }
  }
  return last;
}

// Fraction of a shared prefix that is expected to be cached at the endpoint
// that rendezvous hashing selects.
constexpr double kRendezvousCachedFraction = 0.9;

// Rendezvous hashing: returns the candidate whose id, hashed with the prefix,
// has the highest value. When an endpoint is added or removed, only the
// prefixes assigned to that endpoint move.
std::size_t
FindRendezvousEndpoint(PrefixHash aSharedPrefix, Candidates aCandidates)
{
  std::size_t preferred = 0;
  std::uint64_t highest = 0;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    // FNV-1a rather than std::hash, because all routers must compute the same
    // value in every build.
    std::uint64_t hash = 0xcbf29ce484222325ULL ^ aSharedPrefix.Get();
    for (unsigned char c : aCandidates[i].endpoint->Get()) {
      hash = (hash ^ c) * 0x100000001b3ULL;
    }
    hash ^= hash >> 32;
    hash *= 0x9E3779B97F4A7C15ULL;
    hash ^= hash >> 29;
    if (hash >= highest) {
      highest = hash;
      preferred = i;
    }
  }
  return preferred;
}

// Returns the load from the report alone, or this router's own requests if
// there is no report.
double
ReportedLoad(const Candidate& aCandidate)
{
  return aCandidate.hasReport ? aCandidate.reportedRequests
                              : aCandidate.ownInFlight;
}

std::size_t
PickRandom(Candidates aCandidates, const RandomSource& aRandom)
{
  return aRandom(aCandidates.size());
}

} // namespace

ChoicePolicy
MakeCostPolicy(CostOptions aOptions)
{
  return [aOptions](const Query& aQuery,
                    Candidates aCandidates,
                    const RandomSource& aRandom) {
    MeanReport meanReport = AverageReports(aCandidates);
    std::vector<double> costs;
    costs.reserve(aCandidates.size());
    for (const auto& candidate : aCandidates) {
      costs.push_back(EstimateCost(aOptions, aQuery, candidate, meanReport));
    }
    return SampleByCost(costs, aOptions.temperatureSeconds, aRandom);
  };
}

ChoicePolicy
MakeRendezvousPolicy(CostOptions aOptions)
{
  return [aOptions](const Query& aQuery,
                    Candidates aCandidates,
                    const RandomSource& aRandom) {
    std::vector<Candidate> candidates(aCandidates.begin(), aCandidates.end());
    // The last prefix is specific to this request; the one before it is the
    // longest that is shared.
    if (aQuery.prefix.size() > 1) {
      const auto& shared = aQuery.prefix[aQuery.prefix.size() - 2];
      Candidate& preferred =
        candidates[FindRendezvousEndpoint(shared.hash, aCandidates)];
      preferred.cachedTokens = std::max(
        preferred.cachedTokens,
        kRendezvousCachedFraction * static_cast<double>(shared.tokens.Get()));
    }
    MeanReport meanReport = AverageReports(candidates);
    std::vector<double> costs;
    costs.reserve(candidates.size());
    for (const auto& candidate : candidates) {
      costs.push_back(EstimateCost(aOptions, aQuery, candidate, meanReport));
    }
    return SampleByCost(costs, aOptions.temperatureSeconds, aRandom);
  };
}

ChoicePolicy
MakeRandomPolicy()
{
  return [](const Query&, Candidates aCandidates, const RandomSource& aRandom) {
    return PickRandom(aCandidates, aRandom);
  };
}

ChoicePolicy
MakeRoundRobinPolicy()
{
  return [next = std::size_t(0)](
           const Query&, Candidates aCandidates, const RandomSource&) mutable {
    return next++ % aCandidates.size();
  };
}

ChoicePolicy
MakeLeastLoadedPolicy()
{
  return [](const Query&, Candidates aCandidates, const RandomSource&) {
    auto least =
      std::min_element(aCandidates.begin(),
                       aCandidates.end(),
                       [](const Candidate& aLeft, const Candidate& aRight) {
                         return ReportedLoad(aLeft) < ReportedLoad(aRight);
                       });
    return static_cast<std::size_t>(least - aCandidates.begin());
  };
}

ChoicePolicy
MakeTwoChoicesPolicy()
{
  return [](const Query&, Candidates aCandidates, const RandomSource& aRandom) {
    std::size_t one = PickRandom(aCandidates, aRandom);
    std::size_t other = PickRandom(aCandidates, aRandom);
    auto load = [&](std::size_t aIndex) {
      const auto& candidate = aCandidates[aIndex];
      return ReportedLoad(candidate) + candidate.ownChangeSinceReport;
    };
    return load(other) < load(one) ? other : one;
  };
}

ChoicePolicy
MakeAffinityPolicy()
{
  return [](const Query&, Candidates aCandidates, const RandomSource& aRandom) {
    std::size_t best = PickRandom(aCandidates, aRandom);
    for (std::size_t i = 0; i < aCandidates.size(); ++i) {
      if (aCandidates[i].cachedTokens > aCandidates[best].cachedTokens) {
        best = i;
      }
    }
    return best;
  };
}

} // namespace lycheestand::routing
