#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <lycheestand/limits.h>
#include <random>

using namespace lycheestand;
using namespace lycheestand::limits;
using namespace std::chrono_literals;

namespace {

// Requests a second at a cold endpoint, and the most in any one second.
constexpr double kRate = 18;
constexpr std::size_t kMaxPerSecond = 32;

constexpr std::size_t kRouters = 96;
constexpr int kEndpoints = 12;
constexpr Duration kStep = 5ms;
// As in the endpoint controller of a router.
constexpr Duration kPermitTimeout = 150ms;
constexpr Duration kNoPermitTime = 200ms;

struct SimulatedRouter
{
  PermitQueue queue;
  // Requests a second that it wants to send.
  double demand = 40;
  bool isConnected = true;
  PermitLedger* leader = nullptr;
  std::map<EndpointId, TimePoint> blockedUntil;
};

// 96 routers and control with one limit for all endpoints, which have all
// become cold at once. The clock is simulated.
class ColdFleetFixture
{
public:
  ColdFleetFixture()
  {
    for (int i = 0; i < kEndpoints; ++i) {
      this->cold[EndpointId("e" + std::to_string(i))] = RequestRate(kRate);
    }
    this->ledger.SetCold(this->cold, this->now);
    for (std::size_t i = 0; i < kRouters; ++i) {
      auto random = [this](std::uint64_t aBound) {
        return this->random() % aBound;
      };
      this->routers.push_back(
        { PermitQueue(random), 40, true, &this->ledger, {} });
      this->routers.back().queue.SetSource(PermitSource::Control, this->now);
      this->routers.back().queue.SetColdLimits(this->cold);
    }
  }

  void Run(Duration aTime)
  {
    for (auto end = this->now + aTime; this->now < end; this->now += kStep) {
      while (!this->events.empty() &&
             this->events.begin()->first <= this->now) {
        auto event = this->events.extract(this->events.begin());
        event.mapped()();
      }
      for (auto& router : this->routers) {
        double wanted = router.demand * ToSeconds(kStep);
        if (static_cast<double>(this->random() % 10'000) < wanted * 10'000) {
          this->Request(router);
        }
      }
    }
  }

  void SetDemand(double aPerSecond)
  {
    for (auto& router : this->routers) {
      router.demand = aPerSecond;
    }
  }

  void Disconnect(SimulatedRouter& aRouter)
  {
    aRouter.isConnected = false;
    aRouter.queue.SetSource(PermitSource::Local, this->now);
  }

  void Connect(SimulatedRouter& aRouter)
  {
    aRouter.isConnected = true;
    aRouter.queue.SetSource(PermitSource::Control, this->now);
  }

  // The next leader knows the limits from the routers. A third of them stays at
  // the last one for a second, until that steps down. All but the first ones
  // find the new one within a second.
  void ChangeLeader(std::size_t aStayWithout)
  {
    this->lastLedger =
      std::exchange(this->ledger, PermitLedger(this->now + 1s));
    this->ledger.SetCold(this->routers.back().queue.KnownColdLimits(this->now),
                         this->now);
    for (std::size_t i = aStayWithout; i < kRouters; ++i) {
      SimulatedRouter& router = this->routers[i];
      Duration delay = i % 3 == 0 ? 1s : 0s;
      router.leader = &this->lastLedger;
      this->After(delay, [this, &router] { this->Disconnect(router); });
      delay += std::chrono::milliseconds(50 + this->random() % 900);
      this->After(delay, [this, &router] {
        router.leader = &this->ledger;
        this->Connect(router);
      });
    }
  }

  // Returns the most requests that an endpoint got in any sliding second.
  std::size_t MostInSecond() const
  {
    std::size_t most = 0;
    for (const auto& [endpoint, unsorted] : this->arrivals) {
      auto times = unsorted;
      std::sort(times.begin(), times.end());
      std::size_t first = 0;
      for (std::size_t i = 0; i < times.size(); ++i) {
        while (times[i] - times[first] > 1s) {
          ++first;
        }
        most = std::max(most, i - first + 1);
      }
    }
    return most;
  }

  // Returns the mean requests a second and endpoint, and begins to count anew.
  double TakeMeanRate(Duration aTime)
  {
    std::size_t count = 0;
    for (const auto& [endpoint, times] : this->arrivals) {
      count += times.size();
    }
    std::size_t before = std::exchange(this->counted, count);
    return static_cast<double>(count - before) / ToSeconds(aTime) / kEndpoints;
  }

  TimePoint now{ 1h };
  Limits cold;
  PermitLedger ledger;
  PermitLedger lastLedger;
  std::vector<SimulatedRouter> routers;
  // Requests for permits.
  std::size_t messages = 0;

private:
  void After(Duration aDelay, std::function<void()> aEvent)
  {
    this->events.emplace(this->now + aDelay, std::move(aEvent));
  }

  Duration Latency() { return std::chrono::milliseconds(this->random() % 40); }

  void Send(const EndpointId& aEndpoint)
  {
    this->arrivals[aEndpoint].push_back(this->now + this->Latency());
  }

  void Request(SimulatedRouter& aRouter)
  {
    EndpointId endpoint("e" + std::to_string(this->random() % kEndpoints));
    if (this->now < aRouter.blockedUntil[endpoint]) {
      return;
    }
    if (!aRouter.queue.NeedsPermit(endpoint, this->now) ||
        (!aRouter.isConnected &&
         aRouter.queue.TakeLocal(endpoint, this->now))) {
      this->Send(endpoint);
    } else if (!aRouter.isConnected) {
      aRouter.blockedUntil[endpoint] = this->now + kNoPermitTime;
    } else {
      WaitingRequest request(++this->requests);
      this->Ask(aRouter, endpoint, aRouter.queue.Add(endpoint, request));
      this->After(kPermitTimeout, [this, &aRouter, endpoint, request] {
        if (aRouter.queue.Remove(endpoint, request)) {
          aRouter.blockedUntil[endpoint] = this->now + kNoPermitTime;
        }
      });
    }
  }

  void Ask(SimulatedRouter& aRouter, EndpointId aEndpoint, unsigned aCount)
  {
    if (aCount == 0) {
      return;
    }
    ++this->messages;
    this->After(this->Latency(), [this, &aRouter, aEndpoint, aCount] {
      auto grant = aRouter.leader->Take(aEndpoint, aCount, this->now);
      this->After(this->Latency(), [this, &aRouter, aEndpoint, grant] {
        this->HandleGrant(aRouter, aEndpoint, grant);
      });
    });
  }

  void HandleGrant(SimulatedRouter& aRouter,
                   const EndpointId& aEndpoint,
                   const PermitGrant& aGrant)
  {
    if (!aRouter.isConnected) {
      return;
    }
    auto decision =
      aRouter.queue.HandleReply(aEndpoint, aGrant.granted, this->now);
    for (std::size_t i = 0; i < decision.granted.size(); ++i) {
      this->Send(aEndpoint);
    }
    if (!decision.denied.empty()) {
      aRouter.blockedUntil[aEndpoint] = this->now + aGrant.wait;
    }
    this->Ask(aRouter, aEndpoint, decision.wanted);
  }

  std::mt19937_64 random{ 20261206 };
  std::multimap<TimePoint, std::function<void()>> events;
  std::map<EndpointId, std::vector<TimePoint>> arrivals;
  std::uint64_t requests = 0;
  std::size_t counted = 0;
};

// A tracker with the rule of one service.
class ColdTrackerFixture
{
public:
  ColdTrackerFixture()
  {
    this->tracker.SetRules({ { "s", { RequestRate(kRate) } } });
  }

  ColdChanges Read(Duration aRemaining, std::uint64_t aStart = 0)
  {
    return this->tracker.Read(
      { { this->endpoint, "s", StartTime(aStart), aRemaining } }, this->now);
  }

  EndpointId endpoint{ "e" };
  TimePoint now{ 1h };
  ColdTracker tracker;
};

} // namespace

// Guards against cold endpoints that crash because permits of a pause, or the
// requests of two routers that control does not hear, come on top of the rate.
TEST_CASE_METHOD(ColdFleetFixture,
                 "cold endpoints get no more than their bound")
{
  // The two routers that lose control have had all the permits; then the others
  // get requests.
  this->SetDemand(0);
  this->routers[0].demand = this->routers[1].demand = 200;
  this->Run(6s);
  CHECK(this->TakeMeanRate(6s) > kRate * 0.7);
  this->Disconnect(this->routers[0]);
  this->Disconnect(this->routers[1]);
  this->SetDemand(40);
  this->routers[0].demand = this->routers[1].demand = 200;
  this->Run(12s);
  CHECK(this->TakeMeanRate(12s) > kRate * 0.7);
  // A pause in which permits accumulate, and a burst after it.
  this->SetDemand(0);
  this->Run(2s);
  this->SetDemand(200);
  this->Run(4s);
  this->TakeMeanRate(6s);
  this->SetDemand(200);
  this->ChangeLeader(2);
  this->Run(6s);
  CHECK(this->TakeMeanRate(6s) > kRate * 0.5);
  CHECK(this->MostInSecond() <= kMaxPerSecond);
}

// Guards against routers that all ask for the next permit of each cold endpoint
// again and again: the leader gets that many messages times the endpoints.
TEST_CASE_METHOD(ColdFleetFixture,
                 "routers ask rarely when there are no permits")
{
  this->SetDemand(200);
  this->Run(5s);
  this->messages = 0;
  this->TakeMeanRate(5s);
  this->Run(5s);
  CHECK(this->TakeMeanRate(5s) > kRate * 0.7);
  CHECK(this->messages / 5 / kEndpoints < 300);
}

// Guards against routers whose permits accumulate while control is away, and
// which all use them when requests come.
TEST_CASE_METHOD(ColdFleetFixture,
                 "routers without control don't send at the same time")
{
  this->Run(6s);
  for (auto& router : this->routers) {
    this->Disconnect(router);
  }
  this->SetDemand(0);
  this->Run(30s);
  this->SetDemand(200);
  this->TakeMeanRate(1s);
  this->Run(20s);
  CHECK(this->TakeMeanRate(20s) > 1);
  CHECK(this->MostInSecond() <= kMaxPerSecond);
}

// Guards against a cold limit that is lifted by an answer without a limit of
// the endpoint's own, and against one that hides the other.
TEST_CASE("a cold limit and a named limit both hold")
{
  const EndpointId endpoint("e");
  TimePoint now{ 1h };
  PermitLedger ledger;
  ledger.Set(endpoint, RequestRate(100), now);
  now += 10s;
  CHECK(ledger.SetCold({ { endpoint, RequestRate(kRate) } }, now));
  CHECK(ledger.Take(endpoint, 100, now).granted == 1);
  CHECK(ledger.Set(endpoint, RequestRate(2), now));
  now += 10s;
  CHECK(ledger.Take(endpoint, 100, now).granted == 1);
  CHECK(ledger.Set(endpoint, std::nullopt, now));
  CHECK(ledger.ColdLimits().at(endpoint) == RequestRate(kRate));
  now += 2min;
  CHECK_FALSE(ledger.RemoveUnused(now));
  CHECK(ledger.Take(endpoint, 100, now).granted == 1);
  CHECK(ledger.SetCold({}, now));
  CHECK(ledger.Take(endpoint, 100, now).granted == 100);

  PermitQueue queue;
  queue.SetSource(PermitSource::Control, now);
  queue.SetColdLimits({ { endpoint, RequestRate(kRate) } });
  CHECK_FALSE(queue.Observe(endpoint, std::nullopt, now, now));
  CHECK(queue.NeedsPermit(endpoint, now));
  CHECK(queue.Observe(endpoint, RequestRate(2), now, now));
  CHECK(queue.FindLimit(endpoint, now) == RequestRate(2));
  CHECK(queue.KnownColdLimits(now).size() == 1);
  CHECK(queue.KnownLimits(now).at(endpoint) == RequestRate(2));
}

// Guards against a router that goes on at full rate after an answer has told it
// that the endpoint is cold, until the list shows it.
TEST_CASE("an answer of a cold endpoint limits its router at once")
{
  const EndpointId endpoint("e");
  TimePoint now{ 1h };
  PermitQueue queue;
  queue.SetSource(PermitSource::Control, now);
  CHECK(queue.ObserveCold(endpoint, RequestRate(kRate), 8s, now));
  CHECK_FALSE(queue.ObserveCold(endpoint, RequestRate(kRate), 8s, now));
  CHECK(queue.NeedsPermit(endpoint, now));
  // Control has not confirmed it.
  CHECK_FALSE(queue.NeedsPermit(endpoint, now + 2s));
  queue.SetSource(PermitSource::Local, now);
  CHECK(queue.NeedsPermit(endpoint, now + 7s));
  CHECK_FALSE(queue.TakeLocal(endpoint, now + 7s));
  CHECK_FALSE(queue.NeedsPermit(endpoint, now + 8s));
}

// Guards against a limit that outlasts the cold state, or ends before it.
TEST_CASE_METHOD(ColdTrackerFixture, "an endpoint is cold while the list says")
{
  CHECK(this->Read(0s).cold.empty());
  CHECK(this->tracker.CurrentLimits().empty());
  CHECK(this->Read(8s).cold == std::vector{ this->endpoint });
  CHECK(this->tracker.CurrentLimits().at(this->endpoint) == RequestRate(kRate));
  this->now += 1s;
  CHECK(this->Read(7s).cold.empty());
  this->tracker.SetRules({ { "s", { RequestRate(0) } } });
  CHECK(this->tracker.IsCold(this->endpoint));
  CHECK(this->tracker.CurrentLimits().empty());
  this->now += 1s;
  CHECK(this->Read(0s).warm == std::vector{ this->endpoint });
  // The list can't be read any more.
  this->Read(5s);
  this->now += 4s;
  CHECK(this->tracker.Expire(this->now).warm.empty());
  this->now += 1s;
  CHECK(this->tracker.Expire(this->now).warm == std::vector{ this->endpoint });
}

// Guards against a report that the lagging list undoes, and against one that
// holds although the list has long shown the endpoint as warm.
TEST_CASE_METHOD(ColdTrackerFixture, "a report holds until the list knows")
{
  this->Read(0s);
  CHECK(
    this->tracker.Report(this->endpoint, RequestRate(5), 9s, this->now).cold ==
    std::vector{ this->endpoint });
  this->now += 1s;
  CHECK(this->Read(0s).warm.empty());
  CHECK(this->tracker.CurrentLimits().at(this->endpoint) == RequestRate(kRate));
  this->now += 1s;
  CHECK(this->Read(0s).warm == std::vector{ this->endpoint });
  // A new leader knows neither the list nor the service.
  this->tracker.Clear();
  this->tracker.Report(this->endpoint, RequestRate(5), 9s, this->now);
  CHECK(this->tracker.CurrentLimits().at(this->endpoint) == RequestRate(5));
}

// Guards against a new process that is treated as the one before, and against a
// restart that is seen where the list only lacks the field.
TEST_CASE_METHOD(ColdTrackerFixture, "another start time is a new start")
{
  CHECK(this->Read(0s, 0).restarted.empty());
  CHECK(this->Read(0s, 1000).restarted.empty());
  CHECK(this->Read(0s, 0).restarted.empty());
  CHECK(this->Read(0s, 1000).restarted.empty());
  CHECK(this->Read(5s, 2000).restarted == std::vector{ this->endpoint });
}
