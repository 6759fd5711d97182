// Replicas of the users' platform that are cold: the platform's list says so,
// and all routers together may send them few requests in any one second.

#include "platform_fleet.h"
#include "replica_pool.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <deque>

namespace lycheestand::faults {

namespace {

constexpr Duration kColdFirstAnswerTime = 15s;

constexpr int kColdControl = 1;
constexpr std::array kColdRouters{ 2, 3, 4 };

// The rate of a cold replica in requests a second, and the bound for any one
// second: one and a half times as many, and five.
constexpr int kColdRate = 6;
constexpr std::size_t kMaxInSecond = kColdRate * 3 / 2 + 5;

// Time from the first list that shows a replica as cold until the bound holds:
// the list is read once a second.
constexpr Duration kColdNoticeTime = 3s;

// One control instance, three routers, and two replicas that
// become cold while they serve, one after the other.
class ColdFixture
{
public:
  explicit ColdFixture(int aColdReplicas = 0)
    : coldReplicas(aColdReplicas)
    , pool({ this->fleet.MachineIp(101), this->fleet.MachineIp(102) },
           this->fleet.MachineIp(120),
           "llm",
           2s,
           [this](int aReplica, const ReplicaRequest& aRequest) {
             std::lock_guard lock(this->mutex);
             this->arrivals[aReplica].push_back(Clock::now());
             return ReplicaAnswer{ { MakeAnswer(200, aRequest, "sound") } };
           })
  {
    this->pool.SetEntryMembers([this](int aReplica) {
      return aReplica < this->coldReplicas
               ? json::object{ { "coldRemainingMs", 6000 } }
               : json::object{};
    });
    auto options = this->Options();
    options.bootstrap = true;
    this->fleet.StartControl(kColdControl, options);
    for (int router : kColdRouters) {
      this->fleet.StartRouter(router, options);
    }
    auto document =
      json::parse(
        MakeEngineDocument(
          json::array{ MakeEngineRoute("safe", "safe", false) }, 100'000'000))
        .as_object();
    document["services"].as_array()[0].as_object()["coldPerS"] = kColdRate;
    REQUIRE(WaitFor(kColdFirstAnswerTime, [&] {
      return this->fleet.PutDocument(kColdControl, json::serialize(document)) ==
             200;
    }));
    for (int router : kColdRouters) {
      REQUIRE(WaitFor(kColdFirstAnswerTime, [this, router] {
        return this->Send(router).status == 200;
      }));
    }
  }

  MachineOptions Options() const
  {
    MachineOptions options;
    options.seeds = { kColdControl };
    options.listAddress = this->pool.ListAddress();
    return options;
  }

  Reply Send(int aRouter)
  {
    Call call;
    call.method = "POST";
    call.target = "/safe/1";
    call.headers = { { "Host", "h.example" },
                     { "X-Request-Id", "q" + std::to_string(++this->requests) },
                     { "X-Key", "k" },
                     { "X-Deadline-Ms", "3000" } };
    call.body = "{}";
    call.timeout = 5s;
    return faults::Send(this->fleet.CallerAddress(aRouter), call);
  }

  // Sends up to 60 requests a second, spread over the routers. Returns how many
  // were not answered with 200.
  int SendLoad(Duration aTime)
  {
    auto end = Clock::now() + aTime;
    std::atomic<int> failed{ 0 };
    std::vector<std::thread> threads;
    for (int i = 0; i < 6; ++i) {
      threads.emplace_back([this, i, end, &failed] {
        while (Clock::now() < end) {
          auto sentAt = Clock::now();
          failed += this->Send(kColdRouters[i % 3]).status == 200 ? 0 : 1;
          std::this_thread::sleep_until(sentAt + 100ms);
        }
      });
    }
    for (auto& thread : threads) {
      thread.join();
    }
    return failed;
  }

  // Returns the most requests that the first replica got in any one second
  // after a time.
  std::size_t MostInSecond(Clock::time_point aFrom)
  {
    std::lock_guard lock(this->mutex);
    std::size_t most = 0;
    std::deque<Clock::time_point> window;
    for (auto time : this->arrivals[0]) {
      if (time < aFrom) {
        continue;
      }
      window.push_back(time);
      while (time - window.front() > 1s) {
        window.pop_front();
      }
      most = std::max(most, window.size());
    }
    return most;
  }

  PlatformFleet fleet{ "cold" };
  // Replicas with a lower number than this are cold.
  std::atomic<int> coldReplicas;

private:
  std::mutex mutex;
  std::map<int, std::vector<Clock::time_point>> arrivals;
  std::atomic<int> requests{ 0 };
  ReplicaPool pool;
};

class ColdStartFixture : public ColdFixture
{
public:
  ColdStartFixture()
    : ColdFixture(2)
  {
  }
};

} // namespace

// Guards against a cold replica that crashes because each router sends it as
// many requests as a warm one, and against one that stays bounded when it is
// warm again.
TEST_CASE_METHOD(ColdFixture,
                 "the fleet together keeps to the bound of a cold replica",
                 "[cold]")
{
  auto warm = Clock::now();
  this->SendLoad(3s);
  CHECK(this->MostInSecond(warm) > kMaxInSecond);
  this->coldReplicas = 1;
  auto cold = Clock::now();
  // The other replica takes the rest.
  CHECK(this->SendLoad(4s) == 0);
  this->coldReplicas = 2;
  this->SendLoad(6s);
  CHECK(this->MostInSecond(cold + kColdNoticeTime) <= kMaxInSecond);
  CHECK(this->fleet.ReadMetric(
          kColdControl, true, "lycheestand_cold_endpoints") == 2);
  this->coldReplicas = 0;
  CHECK(WaitFor(5s, [this] {
    return this->fleet.ReadMetric(
             kColdControl, true, "lycheestand_cold_endpoints") == 0;
  }));
  auto again = Clock::now();
  this->SendLoad(4s);
  CHECK(this->MostInSecond(again) > kMaxInSecond);
}

// Guards against routers that get to know a cold replica before its limit, when
// it starts, when a router starts, and when the leader does.
TEST_CASE_METHOD(ColdStartFixture,
                 "a replica that starts cold is never above its bound",
                 "[cold-start]")
{
  std::thread restarts([this] {
    std::this_thread::sleep_for(2s);
    this->fleet.Machine(kColdRouters[0]).Kill();
    this->fleet.StartRouter(kColdRouters[0], this->Options());
    std::this_thread::sleep_for(2s);
    this->fleet.Machine(kColdControl).Kill();
    this->fleet.StartControl(kColdControl, this->Options());
  });
  this->SendLoad(10s);
  restarts.join();
  CHECK(this->MostInSecond({}) <= kMaxInSecond);
  // The rate is made use of.
  CHECK(this->MostInSecond({}) >= kColdRate / 2);
}

} // namespace lycheestand::faults
