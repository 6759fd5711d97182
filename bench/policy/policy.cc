// Compares endpoint choice policies on one seeded load. The model of an engine
// is simple: a queue for its slots, prompts processed one after another, and a
// cache of the prefixes used last. It tests the decision code; it does not
// simulate a cluster.

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

constexpr std::size_t kReplicas = 12;
constexpr double kRequestsPerSecond = 48;
constexpr unsigned kSlots = 16;
constexpr std::size_t kCachedPrefixes = 24;
constexpr std::size_t kPrefixes = 240;
constexpr double kPrefixSkew = 0.9;
constexpr std::int64_t kPrefixTokens = 2000;
constexpr std::int64_t kOwnTokens = 300;
constexpr double kPromptTokensPerSecond = 8000;
constexpr double kDecodeSeconds = 2.5;
constexpr double kEventDelay = 0.5;
constexpr double kWarmUp = 20;
constexpr double kEnd = 140;

struct Scenario
{
  double reportAge = 1, eventLoss = 0;
  std::size_t routers = 1;
  std::uint64_t seed = 1;
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
  double promptsDoneAt = 0;
  std::deque<Call> queue;
  std::list<PrefixHash> cache;
  std::uint64_t nextEvent = 1;
  double calls = 0, hits = 0;
};

using PolicyMaker = std::function<ChoicePolicy()>;

class Simulation
{
public:
  Simulation(const Scenario& aScenario, const PolicyMaker& aMake)
    : scenario(aScenario)
    , random(aScenario.seed)
    , lossRandom(aScenario.seed + 1)
    , engines(kReplicas)
  {
    std::vector<Endpoint> list;
    for (std::size_t i = 0; i < kReplicas; ++i) {
      list.push_back({ EndpointId(std::to_string(i)), {}, {}, "m" });
    }
    for (std::size_t i = 0; i < aScenario.routers; ++i) {
      TableOptions options{ .maxInFlight = 100000 };
      auto source = [engine = std::mt19937_64(aScenario.seed + 100 + i)](
                      std::uint64_t aBound) mutable {
        return engine() % aBound;
      };
      this->tables.push_back(
        std::make_unique<EndpointTable>(options, aMake(), source));
      this->tables.back()->SetEndpoints(list);
    }
    for (std::size_t i = 1; i <= kPrefixes; ++i) {
      this->popularity.push_back(1 / std::pow(i, kPrefixSkew));
    }
  }

  // Runs the scenario and prints one line of figures.
  void Run(const char* aName)
  {
    this->At(0, [this] { this->Arrive(); });
    this->At(0, [this] { this->Report(); });
    while (!this->events.empty() && this->now < kEnd) {
      auto event = this->events.extract(this->events.begin());
      this->now = event.key().first;
      event.mapped()();
    }
    this->Print(aName);
  }

private:
  // Ordered by time, and by number at the same time.
  using Event = std::pair<double, std::uint64_t>;

  void At(double aTime, std::function<void()> aRun)
  {
    this->events[{ aTime, this->nextOrder++ }] = std::move(aRun);
  }

  TimePoint Time(double aSeconds) const
  {
    return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1000 + aSeconds)));
  }

  void Arrive()
  {
    std::exponential_distribution<double> gap(kRequestsPerSecond);
    std::discrete_distribution<std::uint64_t> pick(this->popularity.begin(),
                                                   this->popularity.end());
    std::uniform_real_distribution<double> share(0.5, 1.5);
    Call call;
    call.number = this->nextCall++;
    call.router = this->random() % this->scenario.routers;
    // The multiplier spreads the hashes, as a real hash does.
    call.prefix = PrefixHash((pick(this->random) + 1) * 0x9E3779B97F4A7C15ULL);
    call.arrivedAt = this->now;
    call.decodeSeconds = kDecodeSeconds * share(this->random);
    Query query;
    query.serves = "m";
    query.prefix = { { call.prefix, Tokens(kPrefixTokens) } };
    query.promptTokens = Tokens(kPrefixTokens + kOwnTokens);
    auto choice = this->tables[call.router]->Choose(
      RequestNumber(call.number), query, this->Time(this->now));
    std::size_t index = std::stoul(choice->endpoint.Get());
    this->engines[index].queue.push_back(call);
    this->Serve(index);
    this->At(this->now + gap(this->random), [this] { this->Arrive(); });
  }

  void Serve(std::size_t aIndex)
  {
    Engine& engine = this->engines[aIndex];
    while (engine.running < kSlots && !engine.queue.empty()) {
      Call call = engine.queue.front();
      engine.queue.pop_front();
      ++engine.running;
      bool isHit = this->UseCache(aIndex, call.prefix);
      double tokens = kOwnTokens + (isHit ? 0 : kPrefixTokens);
      engine.promptsDoneAt = std::max(engine.promptsDoneAt, this->now) +
                             tokens / kPromptTokensPerSecond;
      if (call.arrivedAt >= kWarmUp) {
        ++engine.calls;
        engine.hits += isHit ? 1 : 0;
        this->firstToken.push_back(engine.promptsDoneAt - call.arrivedAt);
      }
      this->At(engine.promptsDoneAt + call.decodeSeconds,
               [this, aIndex, call] { this->Finish(aIndex, call); });
    }
  }

  void Finish(std::size_t aIndex, const Call& aCall)
  {
    --this->engines[aIndex].running;
    this->tables[aCall.router]->Finish(RequestNumber(aCall.number),
                                       Outcome::Succeeded,
                                       false,
                                       this->Time(this->now));
    this->Serve(aIndex);
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
    if (cache.size() > kCachedPrefixes) {
      this->Publish(aIndex, cache.back(), false);
      cache.pop_back();
    }
    return isHit;
  }

  void Publish(std::size_t aIndex, PrefixHash aPrefix, bool aAdded)
  {
    CacheEvent event{ this->engines[aIndex].nextEvent++, aPrefix, aAdded };
    if (std::bernoulli_distribution(this->scenario.eventLoss)(
          this->lossRandom)) {
      return;
    }
    this->At(this->now + kEventDelay, [this, aIndex, event] {
      for (auto& table : this->tables) {
        table->ApplyCacheEvents(
          EndpointId(std::to_string(aIndex)), { event }, event.sequence + 1);
      }
    });
  }

  // All routers get the same report; it is in use until the next one, so its
  // mean age is that of the scenario.
  void Report()
  {
    for (std::size_t i = 0; i < kReplicas; ++i) {
      LoadReport report;
      report.running = this->engines[i].running;
      report.queued = static_cast<std::uint32_t>(this->engines[i].queue.size());
      report.slots = kSlots;
      report.measuredAt = this->Time(this->now);
      for (auto& table : this->tables) {
        table->UpdateLoadReport(EndpointId(std::to_string(i)), report);
      }
    }
    this->At(this->now + 2 * this->scenario.reportAge,
             [this] { this->Report(); });
  }

  void Print(const char* aName)
  {
    auto& times = this->firstToken;
    std::sort(times.begin(), times.end());
    auto at = [&](double aShare) {
      return times[static_cast<std::size_t>(
        aShare * static_cast<double>(times.size() - 1))];
    };
    double calls = 0, hits = 0, most = 0;
    for (const auto& engine : this->engines) {
      calls += engine.calls;
      hits += engine.hits;
      most = std::max(most, engine.calls);
    }
    std::printf("  %-14s %8.3f %8.3f %8.3f s  hits %5.1f%%  work %5.2f\n",
                aName,
                at(0.5),
                at(0.95),
                at(0.99),
                hits / calls * 100,
                most * kReplicas / calls);
  }

  Scenario scenario;
  // Decides the load alone, so that all policies get the same.
  std::mt19937_64 random;
  std::mt19937_64 lossRandom;
  double now = 0;
  std::uint64_t nextOrder = 0;
  std::size_t nextCall = 1;
  std::map<Event, std::function<void()>> events;
  std::vector<Engine> engines;
  std::vector<std::unique_ptr<EndpointTable>> tables;
  std::vector<double> popularity;
  std::vector<double> firstToken;
};

void
Compare(const Scenario& aScenario)
{
  const std::vector<std::pair<const char*, PolicyMaker>> policies{
    { "random", MakeRandomPolicy },
    { "round robin", MakeRoundRobinPolicy },
    { "least loaded", MakeLeastLoadedPolicy },
    { "two choices", MakeTwoChoicesPolicy },
    { "affinity", MakeAffinityPolicy },
    { "prefix ranges", MakePrefixRangesPolicy },
    { "cost", [] { return MakeCostPolicy(); } },
  };
  std::printf("report age %.1f s, events lost %.0f%%, %zu routers\n",
              aScenario.reportAge,
              aScenario.eventLoss * 100,
              aScenario.routers);
  for (const auto& [name, make] : policies) {
    Simulation(aScenario, make).Run(name);
  }
}

} // namespace
} // namespace lycheestand::bench

int
main(int aCount, char** aArguments)
{
  using namespace lycheestand::bench;
  TCLAP::CmdLine line("Compares endpoint choice policies on one seeded load");
  TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "seed", false, 1, "n", line);
  line.parse(aCount, aArguments);
  for (std::size_t routers : { 1, 10 }) {
    for (double age : { 0.1, 1.0, 5.0 }) {
      for (double loss : { 0.0, 0.3 }) {
        Compare({ age, loss, routers, seed.getValue() });
      }
    }
  }
  return 0;
}
