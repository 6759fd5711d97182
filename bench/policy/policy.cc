// Compares endpoint choice policies in a discrete-event simulation with the
// same pseudo-random load for each policy. The engine model is simple: a FIFO
// queue for its slots, prompts processed one after another, and an LRU cache of
// prefixes. It exercises the decision code and isn't a realistic simulation of
// a cluster.

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <list>
#include <lycheestand/routing.h>
#include <map>
#include <random>
#include <tclap/CmdLine.h>

namespace lycheestand::bench {
namespace {

using namespace routing;

constexpr std::size_t kEngineCount = 12;
constexpr double kRequestsPerSecond = 48;
constexpr unsigned kSlotsPerEngine = 16;
constexpr std::size_t kCachedPrefixesPerEngine = 24;
constexpr std::size_t kPrefixCount = 240;
constexpr double kPrefixZipfExponent = 0.9;
constexpr std::int64_t kPrefixTokens = 2000;
constexpr std::int64_t kUniqueTokens = 300;
constexpr double kPromptTokensPerSecond = 8000;
constexpr double kMeanDecodeSeconds = 2.5;
constexpr double kEventDelaySeconds = 0.5;
constexpr double kWarmUpSeconds = 20;
constexpr double kEndSeconds = 140;

// How the times of the engines differ from the mean.
enum class Speeds
{
  Even,
  // Every third engine has 0.55 of the mean speed, the others 1.2.
  Two,
  // All engines are the same, but one call in ten takes 2.5 times as long.
  Noisy
};

struct Scenario
{
  double reportAgeSeconds = 1, eventLossRate = 0;
  std::size_t routers = 1;
  std::uint64_t seed = 1;
  Speeds speeds = Speeds::Even;
  // Routers measure times, and so estimate the engines' speeds.
  bool isTimed = false;
};

struct Call
{
  std::size_t number = 0, router = 0;
  PrefixHash prefix;
  double arrivedAt = 0, decodeSeconds = 0;
};

struct Engine
{
  unsigned running = 0;
  double prefillDoneAt = 0;
  std::deque<Call> queue;
  std::list<PrefixHash> cache;
  std::uint64_t nextEvent = 1;
  double calls = 0, hits = 0;
};

using PolicyFactory = std::function<ChoicePolicy()>;

class Simulation
{
public:
  Simulation(const Scenario& aScenario, const PolicyFactory& aMakePolicy)
    : scenario(aScenario)
    , random(aScenario.seed)
    , lossRandom(aScenario.seed + 1)
    , engines(kEngineCount)
  {
    std::vector<Endpoint> list;
    for (std::size_t i = 0; i < kEngineCount; ++i) {
      list.push_back({ EndpointId(std::to_string(i)), {}, {}, "m" });
    }
    for (std::size_t i = 0; i < aScenario.routers; ++i) {
      TableOptions options{ .maxInFlight = 100000 };
      auto source = [engine = std::mt19937_64(aScenario.seed + 100 + i)](
                      std::uint64_t aBound) mutable {
        return engine() % aBound;
      };
      this->tables.push_back(
        std::make_unique<EndpointTable>(options, aMakePolicy(), source));
      this->tables.back()->SetEndpoints(list);
    }
    for (std::size_t i = 1; i <= kPrefixCount; ++i) {
      this->popularity.push_back(1 / std::pow(i, kPrefixZipfExponent));
    }
  }

  // Runs the scenario and prints one line of figures.
  void Run(const char* aName)
  {
    this->Schedule(0, [this] { this->HandleArrival(); });
    this->Schedule(0, [this] { this->SendReports(); });
    while (!this->events.empty() && this->now < kEndSeconds) {
      auto event = this->events.extract(this->events.begin());
      this->now = event.key().first;
      event.mapped()();
    }
    this->Print(aName);
  }

private:
  // Time and number; events at the same time run in the order of their numbers.
  using EventKey = std::pair<double, std::uint64_t>;

  void Schedule(double aTime, std::function<void()> aRun)
  {
    this->events[{ aTime, this->nextEventNumber++ }] = std::move(aRun);
  }

  TimePoint Time(double aSeconds) const
  {
    return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1000 + aSeconds)));
  }

  void HandleArrival()
  {
    std::exponential_distribution<double> gap(kRequestsPerSecond);
    std::discrete_distribution<std::uint64_t> pick(this->popularity.begin(),
                                                   this->popularity.end());
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    Call call;
    call.number = this->nextCall++;
    call.router = this->random() % this->scenario.routers;
    // The multiplier (2^64 divided by the golden ratio) distributes the hashes
    // over the whole range, as those of a real hash function are.
    call.prefix = PrefixHash((pick(this->random) + 1) * 0x9E3779B97F4A7C15ULL);
    call.arrivedAt = this->now;
    call.decodeSeconds = kMeanDecodeSeconds * spread(this->random);
    Query query;
    query.serves = "m";
    query.prefix = { { call.prefix, Tokens(kPrefixTokens) } };
    query.promptTokens = Tokens(kPrefixTokens + kUniqueTokens);
    auto choice = this->tables[call.router]->Choose(
      RequestNumber(call.number), query, this->Time(this->now));
    std::size_t index = std::stoul(choice->endpoint.Get());
    this->engines[index].queue.push_back(call);
    this->StartQueuedCalls(index);
    this->Schedule(this->now + gap(this->random),
                   [this] { this->HandleArrival(); });
  }

  void StartQueuedCalls(std::size_t aIndex)
  {
    Engine& engine = this->engines[aIndex];
    while (engine.running < kSlotsPerEngine && !engine.queue.empty()) {
      double slowness = this->Slowness(aIndex);
      Call call = engine.queue.front();
      engine.queue.pop_front();
      ++engine.running;
      bool isHit = this->UseCache(aIndex, call.prefix);
      double tokens = kUniqueTokens + (isHit ? 0 : kPrefixTokens);
      engine.prefillDoneAt = std::max(engine.prefillDoneAt, this->now) +
                             tokens / kPromptTokensPerSecond * slowness;
      if (call.arrivedAt >= kWarmUpSeconds) {
        ++engine.calls;
        engine.hits += isHit ? 1 : 0;
        this->firstTokenSeconds.push_back(engine.prefillDoneAt -
                                          call.arrivedAt);
      }
      call.decodeSeconds *= slowness;
      if (this->scenario.isTimed) {
        this->Schedule(engine.prefillDoneAt,
                       [this, call] { this->RecordTime(call); });
      }
      this->Schedule(engine.prefillDoneAt + call.decodeSeconds,
                     [this, aIndex, call] { this->Finish(aIndex, call); });
    }
  }

  // Returns the factor of the next call's times at an engine.
  double Slowness(std::size_t aIndex)
  {
    switch (this->scenario.speeds) {
      case Speeds::Two:
        return 1 / (aIndex % 3 == 0 ? 0.55 : 1.2);
      case Speeds::Noisy: {
        bool isSlow = std::bernoulli_distribution(0.1)(this->noiseRandom);
        std::uniform_real_distribution<double> spread(0.6, 1.1);
        return isSlow ? 2.5 : spread(this->noiseRandom);
      }
      case Speeds::Even:
        break;
    }
    return 1;
  }

  void RecordTime(const Call& aCall)
  {
    this->tables[aCall.router]->RecordTime(RequestNumber(aCall.number),
                                           TimedPart::Answer,
                                           this->Time(this->now) -
                                             this->Time(aCall.arrivedAt),
                                           this->Time(this->now));
  }

  void Finish(std::size_t aIndex, const Call& aCall)
  {
    --this->engines[aIndex].running;
    this->tables[aCall.router]->Finish(
      RequestNumber(aCall.number), Outcome::Succeeded, this->Time(this->now));
    this->StartQueuedCalls(aIndex);
  }

  bool UseCache(std::size_t aIndex, PrefixHash aPrefix)
  {
    auto& cache = this->engines[aIndex].cache;
    auto found = std::find(cache.begin(), cache.end(), aPrefix);
    bool isHit = found != cache.end();
    if (isHit) {
      cache.erase(found);
    } else {
      this->Publish(aIndex, aPrefix, true);
    }
    cache.push_front(aPrefix);
    if (cache.size() > kCachedPrefixesPerEngine) {
      this->Publish(aIndex, cache.back(), false);
      cache.pop_back();
    }
    return isHit;
  }

  void Publish(std::size_t aIndex, PrefixHash aPrefix, bool aAdded)
  {
    CacheEvent event{ this->engines[aIndex].nextEvent++, aPrefix, aAdded };
    if (std::bernoulli_distribution(this->scenario.eventLossRate)(
          this->lossRandom)) {
      return;
    }
    this->Schedule(this->now + kEventDelaySeconds, [this, aIndex, event] {
      for (auto& table : this->tables) {
        table->ApplyCacheEvents(
          EndpointId(std::to_string(aIndex)), { event }, event.sequence + 1);
      }
    });
  }

  // Sends the same load reports to all routers. A report is used until the next
  // one, so an interval of twice the scenario's report age gives that mean age.
  void SendReports()
  {
    for (std::size_t i = 0; i < kEngineCount; ++i) {
      LoadReport report;
      report.running = this->engines[i].running;
      report.queued = static_cast<std::uint32_t>(this->engines[i].queue.size());
      report.slots = kSlotsPerEngine;
      report.measuredAt = this->Time(this->now);
      for (auto& table : this->tables) {
        table->UpdateLoadReport(EndpointId(std::to_string(i)), report);
      }
    }
    this->Schedule(this->now + 2 * this->scenario.reportAgeSeconds,
                   [this] { this->SendReports(); });
  }

  void Print(const char* aName)
  {
    auto& times = this->firstTokenSeconds;
    std::sort(times.begin(), times.end());
    auto quantile = [&](double aFraction) {
      return times[static_cast<std::size_t>(
        aFraction * static_cast<double>(times.size() - 1))];
    };
    double calls = 0, hits = 0, maxCallsPerEngine = 0;
    for (const auto& engine : this->engines) {
      calls += engine.calls;
      hits += engine.hits;
      maxCallsPerEngine = std::max(maxCallsPerEngine, engine.calls);
    }
    std::printf("  %-14s %8.3f %8.3f %8.3f s  hits %5.1f%%  work %5.2f\n",
                aName,
                quantile(0.5),
                quantile(0.95),
                quantile(0.99),
                hits / calls * 100,
                maxCallsPerEngine * kEngineCount / calls);
  }

  Scenario scenario;
  // Draws only the load, so that all policies get the same load.
  std::mt19937_64 random;
  std::mt19937_64 lossRandom;
  std::mt19937_64 noiseRandom{ 7 };
  double now = 0;
  std::uint64_t nextEventNumber = 0;
  std::size_t nextCall = 1;
  std::map<EventKey, std::function<void()>> events;
  std::vector<Engine> engines;
  std::vector<std::unique_ptr<EndpointTable>> tables;
  std::vector<double> popularity;
  std::vector<double> firstTokenSeconds;
};

void
Compare(const Scenario& aScenario)
{
  const std::vector<std::pair<const char*, PolicyFactory>> policies{
    { "random", MakeRandomPolicy },
    { "round robin", MakeRoundRobinPolicy },
    { "least loaded", MakeLeastLoadedPolicy },
    { "two choices", MakeTwoChoicesPolicy },
    { "affinity", MakeAffinityPolicy },
    { "prefix ranges", MakePrefixRangesPolicy },
    { "cost", [] { return MakeCostPolicy(); } },
  };
  std::printf("report age %.1f s, events lost %.0f%%, %zu routers\n",
              aScenario.reportAgeSeconds,
              aScenario.eventLossRate * 100,
              aScenario.routers);
  for (const auto& [name, makePolicy] : policies) {
    Simulation(aScenario, makePolicy).Run(name);
  }
}

// Compares the cost policy with and without estimates of the engines' speeds.
void
CompareSpeeds(Scenario aScenario)
{
  const std::pair<Speeds, const char*> speeds[] = {
    { Speeds::Even, "even engines" },
    { Speeds::Two, "engines of two speeds" },
    { Speeds::Noisy, "noisy engines" },
  };
  for (const auto& [kind, name] : speeds) {
    std::printf("%s, %zu routers\n", name, aScenario.routers);
    aScenario.speeds = kind;
    for (bool isTimed : { false, true }) {
      aScenario.isTimed = isTimed;
      Simulation(aScenario, [] {
        return MakeCostPolicy();
      }).Run(isTimed ? "estimated" : "not estimated");
    }
  }
}

} // namespace
} // namespace lycheestand::bench

int
main(int aCount, char** aArguments)
{
  using namespace lycheestand::bench;
  TCLAP::CmdLine line(
    "Compares endpoint choice policies on the same simulated load");
  TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "seed", false, 1, "n", line);
  line.parse(aCount, aArguments);
  for (std::size_t routers : { 1, 10 }) {
    CompareSpeeds(
      { .reportAgeSeconds = 0.5, .routers = routers, .seed = seed.getValue() });
  }
  for (std::size_t routers : { 1, 10 }) {
    for (double age : { 0.1, 1.0, 5.0 }) {
      for (double loss : { 0.0, 0.3 }) {
        Compare({ .reportAgeSeconds = age,
                  .eventLossRate = loss,
                  .routers = routers,
                  .seed = seed.getValue() });
      }
    }
  }
  return 0;
}
