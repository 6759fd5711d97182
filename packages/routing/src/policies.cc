#include <algorithm>
#include <cmath>
#include <lycheestand/routing.h>

namespace lycheestand::routing {

namespace {

// Resolution of the random number that picks among nearly equal candidates.
constexpr std::uint64_t kRandomSteps = std::uint64_t(1) << 32;

// Weights below this are not worth their exponential.
constexpr double kMostTemperatures = 8;

// What is assumed of an endpoint without a report.
struct Means
{
  double reported = 0;
  double slots = 1;
};

Means
MeanOfReports(Candidates aCandidates)
{
  Means sum{ 0, 0 };
  double count = 0;
  for (const auto& candidate : aCandidates) {
    if (candidate.hasReport) {
      sum.reported += candidate.reported;
      sum.slots += candidate.slots;
      ++count;
    }
  }
  return count > 0 ? Means{ sum.reported / count, sum.slots / count } : Means{};
}

// Returns the requests expected at an endpoint now. An old report says little
// about now, so it is drawn towards the mean of all reports; what this router
// itself has sent since is known exactly.
double
EstimateLoad(const CostOptions& aOptions,
             const Candidate& aCandidate,
             const Means& aMeans)
{
  double trust =
    aCandidate.hasReport
      ? std::exp2(-aCandidate.ageSeconds / aOptions.reportHalfLifeSeconds)
      : 0;
  double load = trust * aCandidate.reported + (1 - trust) * aMeans.reported +
                aCandidate.ownSinceReport;
  return std::max(load, aCandidate.ownInFlight);
}

// Returns the expected time until the first token.
double
EstimateCost(const CostOptions& aOptions,
             const Query& aQuery,
             const Candidate& aCandidate,
             const Means& aMeans)
{
  double load = EstimateLoad(aOptions, aCandidate, aMeans);
  double slots = aCandidate.hasReport ? aCandidate.slots : aMeans.slots;
  double excess = std::max(0.0, load + 1 - slots);
  double prompt = static_cast<double>(aQuery.promptTokens.Get());
  double work =
    std::max(0.0, prompt - aCandidate.cachedTokens) + aCandidate.ownWorkTokens;
  double cost = excess * aCandidate.serviceSeconds / slots;
  cost += std::min(1.0, load / slots) * aOptions.batchShare *
          aCandidate.serviceSeconds;
  cost += work / aOptions.promptTokensPerSecond;
  cost += aCandidate.isSameZone ? 0 : aOptions.otherZoneSeconds;
  cost += aCandidate.isLoaded ? 0 : aOptions.notLoadedSeconds;
  cost += aCandidate.isBusy ? aOptions.busySeconds : 0;
  return cost;
}

// Returns an index at random; a cost one temperature above the least is e
// times less likely. Routers that share an old report thus spread over the
// nearly equal endpoints and do not all take the same one.
std::size_t
PickNearLeast(const std::vector<double>& aCosts,
              double aTemperature,
              const RandomSource& aRandom)
{
  double least = *std::min_element(aCosts.begin(), aCosts.end());
  auto weigh = [&](double aCost) {
    double above = (aCost - least) / aTemperature;
    return above > kMostTemperatures ? 0 : std::exp(-above);
  };
  double total = 0;
  for (double cost : aCosts) {
    total += weigh(cost);
  }
  double point = total * static_cast<double>(aRandom(kRandomSteps)) /
                 static_cast<double>(kRandomSteps);
  std::size_t last = 0;
  for (std::size_t i = 0; i < aCosts.size(); ++i) {
    double weight = weigh(aCosts[i]);
    if (weight <= 0) {
      continue;
    }
    last = i;
    point -= weight;
    if (point < 0) {
      break;
    }
  }
  return last;
}

// Part of a shared beginning that is expected to be cached at its home.
constexpr double kHomeTrust = 0.9;

// Returns the candidate whose id, hashed with the beginning, is highest. When
// an endpoint comes or goes, only the beginnings that it wins move.
std::size_t
FindHome(PrefixHash aShared, Candidates aCandidates)
{
  std::size_t home = 0;
  std::uint64_t highest = 0;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    // FNV-1a, the same in every build: all routers must agree.
    std::uint64_t hash = 0xcbf29ce484222325ULL ^ aShared.Get();
    for (unsigned char c : aCandidates[i].endpoint->Get()) {
      hash = (hash ^ c) * 0x100000001b3ULL;
    }
    hash ^= hash >> 32;
    hash *= 0x9E3779B97F4A7C15ULL;
    hash ^= hash >> 29;
    if (hash >= highest) {
      highest = hash;
      home = i;
    }
  }
  return home;
}

// Returns the load that the reports alone give.
double
ReportedLoad(const Candidate& aCandidate)
{
  return aCandidate.hasReport ? aCandidate.reported : aCandidate.ownInFlight;
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
    Means means = MeanOfReports(aCandidates);
    std::vector<double> costs;
    costs.reserve(aCandidates.size());
    for (const auto& candidate : aCandidates) {
      costs.push_back(EstimateCost(aOptions, aQuery, candidate, means));
    }
    return PickNearLeast(costs, aOptions.nearSeconds, aRandom);
  };
}

ChoicePolicy
MakeHomePolicy(CostOptions aOptions)
{
  return [aOptions](const Query& aQuery,
                    Candidates aCandidates,
                    const RandomSource& aRandom) {
    std::vector<Candidate> candidates(aCandidates.begin(), aCandidates.end());
    // The last part is the request's own.
    if (aQuery.prefix.size() > 1) {
      const auto& shared = aQuery.prefix[aQuery.prefix.size() - 2];
      Candidate& home = candidates[FindHome(shared.hash, aCandidates)];
      home.cachedTokens =
        std::max(home.cachedTokens,
                 kHomeTrust * static_cast<double>(shared.tokens.Get()));
    }
    Means means = MeanOfReports(candidates);
    std::vector<double> costs;
    costs.reserve(candidates.size());
    for (const auto& candidate : candidates) {
      costs.push_back(EstimateCost(aOptions, aQuery, candidate, means));
    }
    return PickNearLeast(costs, aOptions.nearSeconds, aRandom);
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
      return ReportedLoad(candidate) + candidate.ownSinceReport;
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
