// Replicas of the users' platform that name the requests a second that they
// take from all routers together, or that are cold.

#include "platform_fleet.h"
#include "replica_pool.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <deque>

namespace lycheestand::faults {

namespace {

constexpr Duration kFirstAnswerTime = 15s;

constexpr int kLimitControl = 1;
constexpr std::array kLimitRouters{ 2, 3, 4 };
constexpr int kLimitReplicas = 2;

// The rate that limited replicas name, in requests a second, and the platform's
// bound for what they get in any window of this length.
constexpr int kRate = 5;
constexpr Duration kWindow = 4s;
constexpr std::size_t kMaxPerWindow = kRate * 4 * 3 / 2 + 5;

// Time from the first answer with a limit until the bound holds
// ("contactWindowMs").
constexpr Duration kNoticeTime = 3s;

// Bound for a cold replica in any one second, and the time from the first list
// that shows it until the bound holds.
constexpr std::size_t kMaxColdPerSecond = kRate * 3 / 2 + 5;
constexpr Duration kListTime = 3s;

// One control instance, three routers, and two replicas of which the first ones
// name a limit.
class RateLimitFixture
{
public:
  explicit RateLimitFixture(int aColdReplicas = 0)
    : coldReplicas(aColdReplicas)
    , pool(this->ReplicaIps(),
           this->fleet.MachineIp(120),
           "llm",
           2s,
           [this](int aReplica, const ReplicaRequest& aRequest) {
             return this->Answer(aReplica, aRequest);
           })
  {
    this->pool.SetEntryMembers([this](int aReplica) {
      return aReplica < this->coldReplicas
               ? json::object{ { "coldRemainingMs", 6000 } }
               : json::object{};
    });
    MachineOptions options = this->Options();
    options.bootstrap = true;
    this->fleet.StartControl(kLimitControl, options);
    for (int router : kLimitRouters) {
      this->fleet.StartRouter(router, options);
    }
    REQUIRE(WaitFor(kFirstAnswerTime, [this] {
      return this->fleet.PutDocument(kLimitControl, MakeDocument()) == 200;
    }));
    for (int router : kLimitRouters) {
      REQUIRE(WaitFor(kFirstAnswerTime, [this, router] {
        return this->Send(router).status == 200;
      }));
    }
  }

  MachineOptions Options() const
  {
    MachineOptions options;
    options.seeds = { kLimitControl };
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

  // Sends 60 requests a second, spread over the routers, for a time. Counts the
  // answers by status and keeps the longest time until a refusal.
  void SendLoad(Duration aTime)
  {
    auto end = Clock::now() + aTime;
    std::vector<std::thread> threads;
    for (int i = 0; i < 6; ++i) {
      threads.emplace_back([this, i, end] {
        while (Clock::now() < end) {
          auto sentAt = Clock::now();
          auto reply = this->Send(kLimitRouters[i % 3]);
          std::lock_guard lock(this->mutex);
          ++this->answers[reply.status];
          if (reply.status == 503) {
            this->longestRefusal =
              std::max<Duration>(this->longestRefusal, Clock::now() - sentAt);
          }
          std::this_thread::sleep_until(sentAt + 100ms);
        }
      });
    }
    for (auto& thread : threads) {
      thread.join();
    }
  }

  // Returns the most requests that a replica got in a window that begins
  // kNoticeTime after its first answer with a limit or later.
  std::size_t MostInWindow(int aReplica)
  {
    std::lock_guard lock(this->mutex);
    std::size_t most = 0;
    std::deque<Clock::time_point> window;
    for (auto time : this->arrivals[aReplica]) {
      if (time < this->limitedSince[aReplica] + kNoticeTime) {
        continue;
      }
      window.push_back(time);
      while (time - window.front() > kWindow) {
        window.pop_front();
      }
      most = std::max(most, window.size());
    }
    return most;
  }

  // Returns the most requests that a replica got in any one second since.
  std::size_t MostInSecond(int aReplica, Clock::time_point aFrom = {})
  {
    std::lock_guard lock(this->mutex);
    std::size_t most = 0;
    const auto& times = this->requestTimes[aReplica];
    for (auto first = std::lower_bound(times.begin(), times.end(), aFrom);
         first != times.end();
         ++first) {
      auto end = std::upper_bound(first, times.end(), *first + 1s);
      most = std::max(most, static_cast<std::size_t>(end - first));
    }
    return most;
  }

  PlatformFleet fleet{ "rate-limit" };
  // Replicas with a lower number than this are cold.
  std::atomic<int> coldReplicas;
  // Replicas with a lower number than this name a limit.
  std::atomic<int> limitedReplicas{ 0 };
  std::mutex mutex;
  std::map<unsigned, int> answers;
  Duration longestRefusal{};

private:
  static std::string MakeDocument()
  {
    auto document =
      json::parse(
        MakeEngineDocument(
          json::array{ MakeEngineRoute("safe", "safe", false) }, 100'000'000))
        .as_object();
    document["services"].as_array()[0].as_object()["coldPerS"] = kRate;
    return json::serialize(document);
  }

  std::vector<std::string> ReplicaIps() const
  {
    std::vector<std::string> ips;
    for (int i = 0; i < kLimitReplicas; ++i) {
      ips.push_back(this->fleet.MachineIp(101 + i));
    }
    return ips;
  }

  ReplicaAnswer Answer(int aReplica, const ReplicaRequest& aRequest)
  {
    std::lock_guard lock(this->mutex);
    auto now = Clock::now();
    this->requestTimes[aReplica].push_back(now);
    if (aReplica >= this->limitedReplicas) {
      return { { MakeAnswer(200, aRequest, "sound") } };
    }
    this->limitedSince.try_emplace(aReplica, now);
    this->arrivals[aReplica].push_back(now);
    return { { MakeAnswer(200,
                          aRequest,
                          "sound",
                          "Server-Limit: " + std::to_string(kRate) +
                            ".0\r\n") } };
  }

  std::map<int, Clock::time_point> limitedSince;
  std::map<int, std::vector<Clock::time_point>> arrivals;
  std::map<int, std::vector<Clock::time_point>> requestTimes;
  std::atomic<int> requests{ 0 };
  ReplicaPool pool;
};

// The replicas are cold from the start.
class ColdStartFixture : public RateLimitFixture
{
public:
  ColdStartFixture()
    : RateLimitFixture(kLimitReplicas)
  {
  }

  void RestartFleet()
  {
    std::this_thread::sleep_for(4s);
    this->fleet.Machine(kLimitRouters[0]).Kill();
    this->fleet.StartRouter(kLimitRouters[0], this->Options());
    std::this_thread::sleep_for(1s);
    this->fleet.Machine(kLimitControl).Kill();
    this->fleet.StartControl(kLimitControl, this->Options());
  }
};

} // namespace

// Guards against routers that each take a replica's limit for their own: it
// gets a multiple of what it can bear.
TEST_CASE_METHOD(RateLimitFixture,
                 "the fleet together keeps to the limit of a replica",
                 "[rate-limit]")
{
  this->limitedReplicas = 1;
  this->SendLoad(9s);
  CAPTURE(this->answers[200], this->answers[503]);
  CHECK(this->MostInWindow(0) <= kMaxPerWindow);
  // The other replica takes the rest, and the limit is made use of.
  CHECK(this->answers[200] >= 9 * 50);
  CHECK(this->answers[503] == 0);
  CHECK(this->MostInWindow(0) >= kRate * 2);
}

// Guards against requests beyond the limits that are held until their deadline
// instead of being refused at once, with the time at which to return.
TEST_CASE_METHOD(
  RateLimitFixture,
  "requests beyond the limits of all replicas are refused at once",
  "[rate-limit-refusal]")
{
  this->limitedReplicas = kLimitReplicas;
  this->SendLoad(9s);
  CAPTURE(this->answers[200], this->answers[503]);
  CHECK(this->MostInWindow(0) <= kMaxPerWindow);
  CHECK(this->MostInWindow(1) <= kMaxPerWindow);
  CHECK(this->answers[200] >= 2 * kRate * 9 / 2);
  CHECK(this->longestRefusal < 500ms);
}

// Guards against a router that starts, or finds a new leader, and adds requests
// of its own to those of the others.
TEST_CASE_METHOD(RateLimitFixture,
                 "restarts of routers and of control keep to the limit",
                 "[rate-limit-restart]")
{
  this->limitedReplicas = 1;
  std::thread restarts([this] {
    std::this_thread::sleep_for(4s);
    this->fleet.Machine(kLimitRouters[0]).Kill();
    this->fleet.StartRouter(kLimitRouters[0], this->Options());
    std::this_thread::sleep_for(1s);
    this->fleet.Machine(kLimitControl).Kill();
    this->fleet.StartControl(kLimitControl, this->Options());
  });
  this->SendLoad(10s);
  restarts.join();
  CAPTURE(this->answers[200], this->answers[503]);
  CHECK(this->MostInWindow(0) <= kMaxPerWindow);
  CHECK(this->answers[200] >= 10 * 40);
}

// Guards against a replica that has become cold and gets as much as before, and
// against one that stays bounded when it is warm again.
TEST_CASE_METHOD(RateLimitFixture,
                 "the fleet keeps to the bound of a cold replica",
                 "[cold]")
{
  this->coldReplicas = 1;
  auto cold = Clock::now();
  this->SendLoad(4s);
  // The other replica takes the rest.
  CHECK(this->answers[503] == 0);
  this->coldReplicas = kLimitReplicas;
  this->SendLoad(6s);
  CHECK(this->MostInSecond(0, cold + kListTime) <= kMaxColdPerSecond);
  CHECK(this->MostInSecond(1, cold + 4s + kListTime) <= kMaxColdPerSecond);
  this->coldReplicas = 0;
  CHECK(WaitFor(5s, [this] {
    return this->fleet.ReadMetric(
             kLimitControl, true, "lycheestand_cold_endpoints") == 0;
  }));
  auto warm = Clock::now();
  this->SendLoad(4s);
  CHECK(this->MostInSecond(0, warm) > kMaxColdPerSecond);
}

// Guards against routers that get to know a cold replica, or the route to it,
// before its limit: when a configuration, a router or a leader is new.
TEST_CASE_METHOD(ColdStartFixture,
                 "replicas that start cold are never above their bound",
                 "[cold-start]")
{
  std::thread restarts([this] { this->RestartFleet(); });
  this->SendLoad(9s);
  restarts.join();
  for (int replica = 0; replica < kLimitReplicas; ++replica) {
    CHECK(this->MostInSecond(replica) <= kMaxColdPerSecond);
    CHECK(this->MostInSecond(replica) >= kRate / 2);
  }
}

} // namespace lycheestand::faults
