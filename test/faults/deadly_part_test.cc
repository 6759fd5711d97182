// Requests with a part in their prompts that crashes each replica which begins
// to answer them.

#include "platform_fleet.h"
#include "replica_pool.h"

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>

namespace lycheestand::faults {

namespace {

using Time = std::chrono::steady_clock::time_point;

// Time within which the fleet serves after its start.
constexpr Duration kReadyTime = 15s;

// Time within which all routers have learnt what one of them has seen
// ("contactWindowMs").
constexpr Duration kContactWindow = 3s;

constexpr const char* kDeadlyPart = "dead01";

constexpr int kControlMachine = 1;
constexpr int kRouterCount = 3;
constexpr int kReplicaCount = 8;

Time
Now()
{
  return std::chrono::steady_clock::now();
}

// Collects what the replicas and the callers see, from several threads.
class Records
{
public:
  // A deadly request has arrived at a replica, which crashes now.
  void AddCrash()
  {
    std::lock_guard lock(this->mutex);
    this->crashes.push_back(Now());
  }

  void AddSound(bool aIsServed)
  {
    std::lock_guard lock(this->mutex);
    this->sound.emplace_back(Now(), aIsServed);
  }

  // Returns the times of all crashes.
  std::vector<Time> Crashes() const
  {
    std::lock_guard lock(this->mutex);
    return this->crashes;
  }

  // Returns the part of the sound requests that were served from one time to
  // another.
  double ServedFraction(Time aFrom, Time aTo) const
  {
    std::lock_guard lock(this->mutex);
    double all = 0;
    double served = 0;
    for (const auto& [time, isServed] : this->sound) {
      if (time >= aFrom && time < aTo) {
        ++all;
        served += isServed ? 1 : 0;
      }
    }
    return all > 0 ? served / all : 0;
  }

private:
  mutable std::mutex mutex;
  std::vector<Time> crashes;
  std::vector<std::pair<Time, bool>> sound;
};

// One control instance, three routers, and replicas that crash on the deadly
// part.
class DeadlyPartFixture
{
public:
  DeadlyPartFixture()
    : pool(this->ReplicaIps(),
           this->fleet.MachineIp(120),
           "llm",
           2s,
           [this](int, const ReplicaRequest& aRequest) {
             return this->Answer(aRequest);
           })
  {
    MachineOptions options;
    options.seeds = { kControlMachine };
    options.bootstrap = true;
    options.listAddress = this->pool.ListAddress();
    this->fleet.StartControl(kControlMachine, options);
    for (int router = 0; router < kRouterCount; ++router) {
      this->fleet.StartRouter(kControlMachine + 1 + router, options);
    }
    REQUIRE(WaitFor(kReadyTime, [this] {
      return this->fleet.PutDocument(
               kControlMachine,
               MakeEngineDocument(
                 { MakeEngineRoute("chat", "streaming", true) },
                 100'000'000)) == 200;
    }));
    for (int router = 0; router < kRouterCount; ++router) {
      REQUIRE(WaitFor(kReadyTime,
                      [this, router] { return this->SendSound(router, 0); }));
    }
  }

  ~DeadlyPartFixture() { this->StopCallers(); }

  // Starts callers that send sound requests one after the other.
  void StartSoundCallers()
  {
    for (int caller = 0; caller < 2 * kRouterCount; ++caller) {
      this->threads.emplace_back([this, caller] {
        for (int i = 0; !this->isStopping; ++i) {
          this->records.AddSound(this->SendSound(caller % kRouterCount, i));
          std::this_thread::sleep_for(30ms);
        }
      });
    }
  }

  // Starts a caller that sends a deadly request each 200 ms, to all routers in
  // turn.
  void StartDeadlyCaller()
  {
    for (int caller = 0; caller < kRouterCount; ++caller) {
      this->threads.emplace_back([this, caller] {
        std::this_thread::sleep_for(200ms * caller);
        while (!this->isStopping) {
          this->Send(caller,
                     std::string("a1:100,") + kDeadlyPart + ":50,b3:20");
          std::this_thread::sleep_for(200ms * kRouterCount);
        }
      });
    }
  }

  void StopCallers()
  {
    this->isStopping = true;
    for (auto& thread : this->threads) {
      thread.join();
    }
    this->threads.clear();
  }

  // Sends a sound request; returns whether it was answered. It has parts in
  // common with the deadly ones.
  bool SendSound(int aRouter, int aNumber)
  {
    return this->Send(aRouter,
                      "a1:100,b" + std::to_string(aNumber % 8) + ":20") == 200;
  }

  // Sends a request with these shared parts; returns the status.
  unsigned Send(int aRouter, const std::string& aParts)
  {
    std::string id = "q" + std::to_string(++this->requests);
    Call call;
    call.method = "POST";
    call.target = "/chat/1";
    call.headers = { { "Host", "h.example" },
                     { "X-Request-Id", id },
                     { "X-Key", "k" },
                     { "X-Model", "m" },
                     { "X-Deadline-Ms", "3000" },
                     { "X-Token-Counts", "200,30" },
                     { "X-Prompt-Prefix",
                       aParts + ",f" + std::to_string(this->requests) +
                         ":30" } };
    call.body = "{}";
    call.timeout = 4s;
    return faults::Send(
             this->fleet.CallerAddress(kControlMachine + 1 + aRouter), call)
      .status;
  }

  PlatformFleet fleet{ "deadly-part" };
  Records records;

private:
  std::vector<std::string> ReplicaIps() const
  {
    std::vector<std::string> ips;
    for (int i = 0; i < kReplicaCount; ++i) {
      ips.push_back(this->fleet.MachineIp(101 + i));
    }
    return ips;
  }

  ReplicaAnswer Answer(const ReplicaRequest& aRequest)
  {
    if (aRequest.Header("x-prompt-prefix").find(kDeadlyPart) ==
        std::string::npos) {
      auto answer = MakeStream(aRequest);
      answer.pause = 30ms;
      return answer;
    }
    this->records.AddCrash();
    ReplicaAnswer crash;
    crash.end = ReplicaAnswer::End::Crash;
    return crash;
  }

  ReplicaPool pool;
  std::atomic<bool> isStopping{ false };
  std::atomic<int> requests{ 0 };
  std::vector<std::thread> threads;
};

} // namespace

// Guards against one kind of request that crashes all replicas, one after the
// other, and against sound requests that are refused for what they have in
// common with it.
TEST_CASE_METHOD(DeadlyPartFixture,
                 "requests that crash replicas are kept from them",
                 "[deadly-part]")
{
  auto start = Now();
  this->StartSoundCallers();
  std::this_thread::sleep_for(2s);
  auto deadlyStart = Now();
  this->StartDeadlyCaller();
  std::this_thread::sleep_for(12s);
  this->StopCallers();
  auto end = Now();
  auto crashes = this->records.Crashes();
  REQUIRE_FALSE(crashes.empty());
  constexpr std::size_t kFreeCrashes = 5;
  auto last = crashes[std::min(crashes.size(), kFreeCrashes) - 1];
  auto late = std::count_if(crashes.begin(), crashes.end(), [last](Time aTime) {
    return aTime > last + kContactWindow;
  });
  CAPTURE(crashes.size());
  CHECK(late <= 3);
  CHECK(this->records.ServedFraction(last + 2 * kContactWindow, end) >=
        0.5 * this->records.ServedFraction(start, deadlyStart));
}

} // namespace lycheestand::faults
