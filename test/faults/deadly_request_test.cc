// Requests without shared prompt parts that crash each replica which begins to
// run them, and that their callers send again and again.

#include "platform_fleet.h"
#include "replica_pool.h"

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>

namespace lycheestand::faults::deadly_request {

namespace {

using Time = std::chrono::steady_clock::time_point;

// Time within which the fleet serves after its start.
constexpr Duration kReadyTime = 15s;

// Time within which all routers have learnt what one of them has seen
// ("contactWindowMs").
constexpr Duration kContactWindow = 3s;

// Crashes after which a request must be recognized, and arrivals at replicas
// that are allowed after that.
constexpr std::size_t kCrashesToRecognize = 3;
constexpr std::ptrdiff_t kLateArrivals = 3;

constexpr Duration kCrashDelay = 50ms;
constexpr Duration kDownTime = 2s;
constexpr Duration kSoundAnswerTime = 50ms;
constexpr Duration kCallerPause = 100ms;

constexpr int kReplicaCount = 3;
constexpr int kRouterCount = 3;
constexpr int kFirstRouter = 4;
constexpr int kDeadlyCallers = 2;
constexpr int kSoundCallers = 6;
constexpr int kFirstReplicaMachine = 101;
constexpr int kListMachine = 120;

constexpr const char* kDeadlyPath = "/dead";
constexpr const char* kQuarantineCode = "request_quarantined";

Time
Now()
{
  return std::chrono::steady_clock::now();
}

// Collects what the replicas and the callers see, from several threads.
class Records
{
public:
  // A deadly request has arrived at a replica, which crashes soon.
  void AddArrival(int aReplica)
  {
    std::lock_guard lock(this->mutex);
    auto now = Now();
    this->arrivals.push_back(now);
    auto& crash = this->lastCrashes[aReplica];
    if (now > crash) {
      crash = now + kCrashDelay;
      this->crashes.push_back(crash);
    }
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

  std::ptrdiff_t CountArrivals(Time aFrom) const
  {
    std::lock_guard lock(this->mutex);
    return std::count_if(this->arrivals.begin(),
                         this->arrivals.end(),
                         [aFrom](Time aTime) { return aTime > aFrom; });
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
  std::vector<Time> arrivals;
  std::vector<Time> crashes;
  std::map<int, Time> lastCrashes;
  std::vector<std::pair<Time, bool>> sound;
};

// Control, three routers, and replicas that crash on each request whose path
// ends with kDeadlyPath.
class DeadlyRequestFixture
{
public:
  DeadlyRequestFixture()
    : pool(this->ReplicaIps(),
           this->fleet.MachineIp(kListMachine),
           "llm",
           kDownTime,
           [this](int aReplica, const ReplicaRequest& aRequest) {
             return this->Answer(aReplica, aRequest);
           })
  {
    this->options.seeds = { kControl };
    this->options.bootstrap = true;
    this->options.listAddress = this->pool.ListAddress();
    this->fleet.StartControl(kControl, this->options);
    for (int router = 0; router < kRouterCount; ++router) {
      this->fleet.StartRouter(kFirstRouter + router, this->options);
    }
    REQUIRE(WaitFor(kReadyTime, [this] {
      return this->fleet.PutDocument(
               kControl,
               MakeEngineDocument({ MakeEngineRoute("safe", "safe", false) },
                                  kPrepaid)) == 200;
    }));
    for (int router = 0; router < kRouterCount; ++router) {
      REQUIRE(WaitFor(kReadyTime,
                      [this, router] { return this->SendSound(router); }));
    }
  }

  ~DeadlyRequestFixture() { this->StopCallers(); }

  // Starts callers that send sound requests one after the other.
  void StartSoundCallers()
  {
    for (int caller = 0; caller < kSoundCallers; ++caller) {
      this->threads.emplace_back([this, caller] {
        while (!this->isStopping) {
          this->records.AddSound(this->SendSound(caller % kRouterCount));
          std::this_thread::sleep_for(kCallerPause);
        }
      });
    }
  }

  // Starts callers that send the deadly request again and again, each time to
  // the next router, and at once after an answer that does not tell them to
  // wait.
  void StartDeadlyCallers(const std::string& aRoute)
  {
    for (int caller = 0; caller < kDeadlyCallers; ++caller) {
      this->threads.emplace_back([this, aRoute, caller] {
        for (int router = caller; !this->isStopping; ++router) {
          if (this->SendDeadly(aRoute, router % kRouterCount).status != 502) {
            std::this_thread::sleep_for(kCallerPause);
          }
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

  // Sends a sound request, which differs from all others; returns whether it
  // was answered.
  bool SendSound(int aRouter)
  {
    int number = ++this->requests;
    return this
             ->Send(aRouter,
                    "/safe/" + std::to_string(number),
                    "q" + std::to_string(number))
             .status == 200;
  }

  // Sends the deadly request of a route. Only its id differs each time.
  Reply SendDeadly(const std::string& aRoute, int aRouter)
  {
    return this->Send(aRouter,
                      "/" + aRoute + kDeadlyPath,
                      "d" + std::to_string(++this->requests));
  }

  Reply Send(int aRouter, const std::string& aTarget, const std::string& aId)
  {
    Call call;
    call.method = "POST";
    call.target = aTarget;
    call.headers = { { "Host", "h.example" },
                     { "X-Request-Id", aId },
                     { "X-Key", "k" },
                     { "X-Deadline-Ms", "3000" } };
    call.body = R"({"size":1})";
    call.timeout = 4s;
    return faults::Send(this->fleet.CallerAddress(kFirstRouter + aRouter),
                        call);
  }

  // Lets callers send the deadly requests of a route beside sound ones, and
  // checks that they are kept from the replicas and the sound ones are served.
  void CheckBound(const std::string& aRoute)
  {
    auto start = Now();
    this->StartSoundCallers();
    std::this_thread::sleep_for(2s);
    auto deadlyStart = Now();
    this->StartDeadlyCallers(aRoute);
    std::this_thread::sleep_for(12s);
    this->CheckQuarantined(aRoute);
    this->StopCallers();
    auto end = Now();
    auto crashes = this->records.Crashes();
    CAPTURE(crashes.size());
    REQUIRE(crashes.size() >= 2);
    auto bound = crashes[std::min(crashes.size(), kCrashesToRecognize) - 1] +
                 kContactWindow;
    CHECK(this->records.CountArrivals(bound) <= kLateArrivals);
    CHECK(this->records.ServedFraction(bound + kDownTime, end) >=
          0.5 * this->records.ServedFraction(start, deadlyStart));
  }

  // Checks that each router refuses the deadly request of a route.
  void CheckQuarantined(const std::string& aRoute)
  {
    for (int router = 0; router < kRouterCount; ++router) {
      auto reply = this->SendDeadly(aRoute, router);
      CAPTURE(router, reply.body);
      CHECK(reply.status == 503);
      CHECK(reply.headers.contains("Retry-After"));
      CHECK(reply.body.find(kQuarantineCode) != std::string::npos);
    }
  }

  static constexpr int kControl = 1;
  static constexpr std::int64_t kPrepaid = 100'000'000;

  PlatformFleet fleet{ "deadly-request" };
  Records records;

private:
  std::vector<std::string> ReplicaIps() const
  {
    std::vector<std::string> ips;
    for (int i = 0; i < kReplicaCount; ++i) {
      ips.push_back(this->fleet.MachineIp(kFirstReplicaMachine + i));
    }
    return ips;
  }

  ReplicaAnswer Answer(int aReplica, const ReplicaRequest& aRequest)
  {
    if (!aRequest.target.ends_with(kDeadlyPath)) {
      ReplicaAnswer answer{ { MakeAnswer(200, aRequest, "sound") } };
      answer.pause = kSoundAnswerTime;
      return answer;
    }
    this->records.AddArrival(aReplica);
    // The pause is before a piece, so there is an empty one.
    return { { "" }, kCrashDelay, ReplicaAnswer::End::Crash };
  }

  MachineOptions options;
  ReplicaPool pool;
  std::atomic<bool> isStopping{ false };
  std::atomic<int> requests{ 0 };
  std::vector<std::thread> threads;
};

} // namespace

// Guards against a request without prompt parts that crashes all replicas of
// its service again and again, since nothing recognizes it when its callers
// repeat it.
TEST_CASE_METHOD(DeadlyRequestFixture,
                 "a repeated request that crashes replicas is kept from them",
                 "[deadly-request]")
{
  this->CheckBound("safe");
}

} // namespace lycheestand::faults::deadly_request
