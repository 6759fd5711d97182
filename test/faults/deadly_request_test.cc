// Requests without shared prompt parts that crash each replica which begins to
// run them, and that their callers send again and again.

#include "platform_fleet.h"
#include "replica_pool.h"

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <set>

namespace lycheestand::faults::deadly_request {

namespace {

using Time = std::chrono::steady_clock::time_point;

// Time within which the fleet serves after its start.
constexpr Duration kReadyTime = 15s;

// Time within which all routers have learnt what one of them has seen
// ("contactWindowMs").
constexpr Duration kContactWindow = 3s;

// Time after the last crash within which sound requests are served that were at
// replicas when these crashed.
constexpr Duration kClearTime = 15s;

// Crashes after which a request must be recognized, and arrivals at replicas
// that are allowed after that.
constexpr std::size_t kCrashesToRecognize = 3;
constexpr std::ptrdiff_t kLateArrivals = 3;

constexpr Duration kCrashDelay = 50ms;
constexpr Duration kDownTime = 2s;
constexpr Duration kSoundAnswerTime = 100ms;
constexpr Duration kCallerPause = 100ms;
// Longer than any caller waits.
constexpr Duration kSilence = 20s;

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

// Returns whether the status promises that the request has not run.
bool
IsRefusal(unsigned aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

// A sound request that its caller has sent. Those with the same path are the
// same request.
struct SoundRequest
{
  std::string path;
  Time time;
  bool isServed = false;
  bool isQuarantined = false;
};

// Collects what the replicas and the callers see, from several threads.
class Records
{
public:
  // A deadly request has arrived at a replica, which crashes soon.
  void AddArrival(int aReplica, const std::string& aId)
  {
    std::lock_guard lock(this->mutex);
    auto now = Now();
    this->arrivals.push_back(now);
    this->arrivedIds.push_back(aId);
    auto& crash = this->lastCrashes[aReplica];
    if (now > crash) {
      crash = now + kCrashDelay;
      this->crashes.emplace_back(aReplica, crash);
    }
  }

  // A replica works on a sound request from now on.
  void AddRun(int aReplica, const std::string& aPath)
  {
    std::lock_guard lock(this->mutex);
    this->runs.emplace_back(aReplica, aPath, Now());
  }

  void AddSound(const std::string& aPath, const Reply& aReply)
  {
    std::lock_guard lock(this->mutex);
    this->sound.push_back(
      { aPath,
        Now(),
        aReply.status == 200,
        aReply.body.find(kQuarantineCode) != std::string::npos });
  }

  // A deadly request was answered with a status that promises that it has not
  // run.
  void AddRefused(const std::string& aId)
  {
    std::lock_guard lock(this->mutex);
    this->refusedIds.insert(aId);
  }

  // Returns the times of all crashes.
  std::vector<Time> Crashes() const
  {
    std::lock_guard lock(this->mutex);
    std::vector<Time> times;
    for (const auto& [replica, time] : this->crashes) {
      times.push_back(time);
    }
    return times;
  }

  std::ptrdiff_t CountArrivals(Time aFrom) const
  {
    std::lock_guard lock(this->mutex);
    return std::count_if(this->arrivals.begin(),
                         this->arrivals.end(),
                         [aFrom](Time aTime) { return aTime > aFrom; });
  }

  // Returns how many deadly requests arrived more than once.
  std::size_t CountRepeatedIds() const
  {
    std::lock_guard lock(this->mutex);
    return this->arrivedIds.size() -
           std::set(this->arrivedIds.begin(), this->arrivedIds.end()).size();
  }

  // Returns how many deadly requests arrived and were refused.
  std::ptrdiff_t CountRefusedArrivals() const
  {
    std::lock_guard lock(this->mutex);
    return std::count_if(
      this->arrivedIds.begin(),
      this->arrivedIds.end(),
      [this](const auto& aId) { return this->refusedIds.contains(aId); });
  }

  std::size_t CountRuns() const
  {
    std::lock_guard lock(this->mutex);
    return this->runs.size();
  }

  // Returns the largest number of crashes that one sound request was broken off
  // by.
  int MaxSharedCrashes() const
  {
    std::lock_guard lock(this->mutex);
    std::map<std::string, int> shared;
    int most = 0;
    for (const auto& [replica, crash] : this->crashes) {
      std::set<std::string> paths;
      for (const auto& [runner, path, start] : this->runs) {
        if (runner == replica && start < crash &&
            crash < start + kSoundAnswerTime) {
          paths.insert(path);
        }
      }
      for (const auto& path : paths) {
        most = std::max(most, ++shared[path]);
      }
    }
    return most;
  }

  // Returns the part of the sound requests that were served from one time to
  // another.
  double ServedFraction(Time aFrom, Time aTo) const
  {
    std::lock_guard lock(this->mutex);
    double all = 0;
    double served = 0;
    for (const auto& request : this->sound) {
      if (request.time >= aFrom && request.time < aTo) {
        ++all;
        served += request.isServed ? 1 : 0;
      }
    }
    return all > 0 ? served / all : 0;
  }

  // Returns the paths of the sound requests that were served since a time.
  std::set<std::string> ServedPaths(Time aFrom) const
  {
    std::lock_guard lock(this->mutex);
    std::set<std::string> paths;
    for (const auto& request : this->sound) {
      if (request.time >= aFrom && request.isServed) {
        paths.insert(request.path);
      }
    }
    return paths;
  }

  // Returns how many sound requests were refused as quarantined since a time.
  std::ptrdiff_t CountQuarantined(Time aFrom) const
  {
    std::lock_guard lock(this->mutex);
    return std::count_if(this->sound.begin(),
                         this->sound.end(),
                         [aFrom](const SoundRequest& aRequest) {
                           return aRequest.time >= aFrom &&
                                  aRequest.isQuarantined;
                         });
  }

private:
  mutable std::mutex mutex;
  std::vector<Time> arrivals;
  std::vector<std::string> arrivedIds;
  std::set<std::string> refusedIds;
  // Each with the replica.
  std::vector<std::pair<int, Time>> crashes;
  std::map<int, Time> lastCrashes;
  // Replica, path and start of each run of a sound request.
  std::vector<std::tuple<int, std::string, Time>> runs;
  std::vector<SoundRequest> sound;
};

// Control, three routers, and replicas that crash on each request whose path
// ends with kDeadlyPath.
class DeadlyRequestFixture
{
public:
  using Answer = std::function<ReplicaAnswer(const ReplicaRequest& aRequest)>;

  explicit DeadlyRequestFixture(int aControls = 1,
                                Duration aDownTime = kDownTime)
    : controls(aControls)
    , pool(this->ReplicaIps(),
           this->fleet.MachineIp(kListMachine),
           "llm",
           aDownTime,
           [this](int aReplica, const ReplicaRequest& aRequest) {
             return this->Choose(aReplica, aRequest);
           })
  {
    this->options.bootstrap = true;
    this->options.listAddress = this->pool.ListAddress();
    for (int machine = 1; machine <= this->controls; ++machine) {
      this->options.seeds.push_back(machine);
    }
    for (int machine = 1; machine <= this->controls; ++machine) {
      this->fleet.StartControl(machine, this->options);
    }
    while (this->routers < kRouterCount) {
      this->AddRouter();
    }
    REQUIRE(WaitFor(kReadyTime, [this] {
      return this->fleet.PutDocument(
               1,
               MakeEngineDocument(
                 { MakeEngineRoute("safe", "safe", false),
                   MakeEngineRoute("once", "unsafe", false),
                   MakeEngineRoute("stream", "streaming", true) },
                 kPrepaid)) == 200;
    }));
    for (int router = 0; router < kRouterCount; ++router) {
      REQUIRE(WaitFor(kReadyTime, [this, router] {
        return this->Send(router, "/safe/start", "s").status == 200;
      }));
    }
    REQUIRE(WaitFor(kReadyTime, [this] {
      return this->fleet.CountVoters(1) == this->controls;
    }));
  }

  ~DeadlyRequestFixture() { this->StopCallers(); }

  // Starts a router, to which the callers send from now on.
  void AddRouter()
  {
    this->fleet.StartRouter(kFirstRouter + this->routers, this->options);
    ++this->routers;
  }

  // Kills the control instance that leads, and starts it again.
  void RestartLeader()
  {
    int leader = 0;
    REQUIRE(WaitFor(kReadyTime, [this, &leader] {
      leader = this->FindLeader();
      return leader > 0;
    }));
    this->fleet.Machine(leader).Kill();
    this->fleet.StartControl(leader, this->options);
  }

  // Sets how replicas answer sound requests from now on.
  void SetSoundAnswer(Answer aAnswer)
  {
    std::lock_guard lock(this->mutex);
    this->soundAnswer = std::move(aAnswer);
  }

  // Starts callers that send sound requests one after the other, each of which
  // differs from all others.
  void StartSoundCallers()
  {
    for (int caller = 0; caller < kSoundCallers; ++caller) {
      this->StartSoundCaller(
        caller, [this] { return "/safe/" + std::to_string(++this->requests); });
    }
  }

  // Starts callers that each repeat one of so many sound requests.
  void StartRepeatingCallers(int aRequests = kSoundCallers)
  {
    for (int caller = 0; caller < kSoundCallers; ++caller) {
      auto path = RepeatedPath(caller % aRequests);
      this->StartSoundCaller(caller, [path] { return path; });
    }
  }

  static std::string RepeatedPath(int aCaller)
  {
    return (aCaller % 2 == 0 ? "/safe/r" : "/once/r") + std::to_string(aCaller);
  }

  // Starts callers that send the deadly request of a route again and again,
  // each time to the next router, and at once after an answer that does not
  // tell them to wait.
  void StartDeadlyCallers(const std::string& aRoute,
                          int aCallers = kDeadlyCallers)
  {
    for (int caller = 0; caller < aCallers; ++caller) {
      this->deadlyThreads.emplace_back([this, aRoute, caller] {
        for (int router = caller; !this->isDeadlyStopping; ++router) {
          auto status = this->SendDeadly(aRoute, router % this->routers).status;
          if (status != 502) {
            std::this_thread::sleep_for(kCallerPause);
          }
        }
      });
    }
  }

  void StopDeadlyCallers()
  {
    this->isDeadlyStopping = true;
    Join(this->deadlyThreads);
  }

  void StopCallers()
  {
    this->isStopping = true;
    this->StopDeadlyCallers();
    Join(this->soundThreads);
  }

  // Sends the deadly request of a route. Only its id differs each time.
  Reply SendDeadly(const std::string& aRoute, int aRouter)
  {
    auto id = "d" + std::to_string(++this->requests);
    auto reply = this->Send(aRouter, "/" + aRoute + kDeadlyPath, id);
    if (IsRefusal(reply.status)) {
      this->records.AddRefused(id);
    }
    return reply;
  }

  Reply Send(int aRouter, const std::string& aTarget, const std::string& aId)
  {
    Call call;
    call.method = "POST";
    call.target = aTarget;
    call.headers = { { "Host", "h.example" },
                     { "X-Request-Id", aId },
                     { "X-Key", "k" },
                     { "X-Deadline-Ms", "1500" } };
    if (aTarget.starts_with("/stream/")) {
      call.headers["X-Model"] = "m";
      call.headers["X-Token-Counts"] = "200,30";
      call.headers["X-Prompt-Prefix"] = "f1:200";
    }
    call.body = R"({"size":1})";
    call.timeout = 4s;
    return faults::Send(this->fleet.CallerAddress(kFirstRouter + aRouter),
                        call);
  }

  // Lets callers send the deadly request of a route beside sound ones, and
  // checks that it is kept from the replicas and the sound ones are served.
  void CheckRoute(const std::string& aRoute, int aCallers = kDeadlyCallers)
  {
    auto start = Now();
    this->StartSoundCallers();
    std::this_thread::sleep_for(2s);
    auto deadlyStart = Now();
    this->StartDeadlyCallers(aRoute, aCallers);
    std::this_thread::sleep_for(12s);
    this->CheckQuarantined(aRoute);
    this->StopCallers();
    this->CheckBound(start, deadlyStart);
  }

  // Lets callers repeat so many sound requests beside a deadly one, and checks
  // that they are served in time after the last crash, and not refused later.
  void CheckSound(int aRequests)
  {
    this->StartRepeatingCallers(aRequests);
    std::this_thread::sleep_for(1s);
    this->StartDeadlyCallers("safe");
    std::this_thread::sleep_for(4s);
    this->StopDeadlyCallers();
    CAPTURE(this->records.MaxSharedCrashes());
    REQUIRE(this->records.MaxSharedCrashes() > 0);
    auto lastCrash = this->records.Crashes().back();
    CHECK(WaitFor(lastCrash + kClearTime - Now(), [&] {
      auto served = this->records.ServedPaths(lastCrash).size();
      return static_cast<int>(served) == aRequests;
    }));
    auto cleared = Now();
    std::this_thread::sleep_for(2s);
    this->StopCallers();
    CHECK(this->records.CountQuarantined(cleared) == 0);
  }

  // Checks that each router refuses the deadly request of a route.
  void CheckQuarantined(const std::string& aRoute)
  {
    for (int router = 0; router < this->routers; ++router) {
      auto reply = this->SendDeadly(aRoute, router);
      CAPTURE(router, reply.body);
      CHECK(reply.status == 503);
      CHECK(reply.headers.contains("Retry-After"));
      CHECK(reply.body.find(kQuarantineCode) != std::string::npos);
    }
  }

  // Checks the arrivals, and how many sound requests were served as compared
  // with the time before the deadly ones.
  void CheckBound(Time aStart, Time aDeadlyStart)
  {
    auto end = Now();
    auto crashes = this->records.Crashes();
    CAPTURE(crashes.size());
    REQUIRE(crashes.size() >= 2);
    auto bound = crashes[std::min(crashes.size(), kCrashesToRecognize) - 1] +
                 kContactWindow;
    CHECK(this->records.CountArrivals(bound) <= kLateArrivals);
    CHECK(this->records.ServedFraction(bound + kDownTime, end) >=
          0.5 * this->records.ServedFraction(aStart, aDeadlyStart));
  }

  static constexpr std::int64_t kPrepaid = 100'000'000;

  PlatformFleet fleet{ "deadly-request" };
  Records records;

private:
  static void Join(std::vector<std::thread>& aThreads)
  {
    for (auto& thread : aThreads) {
      thread.join();
    }
    aThreads.clear();
  }

  std::vector<std::string> ReplicaIps() const
  {
    std::vector<std::string> ips;
    for (int i = 0; i < kReplicaCount; ++i) {
      ips.push_back(this->fleet.MachineIp(kFirstReplicaMachine + i));
    }
    return ips;
  }

  int FindLeader() const
  {
    for (int machine = 1; machine <= this->controls; ++machine) {
      if (this->fleet.IsLeader(machine)) {
        return machine;
      }
    }
    return 0;
  }

  // The caller sends the next request at once after a 502, too.
  void StartSoundCaller(int aCaller, std::function<std::string()> aNextPath)
  {
    this->soundThreads.emplace_back(
      [this, aCaller, nextPath = std::move(aNextPath)] {
        for (int router = aCaller; !this->isStopping; ++router) {
          auto path = nextPath();
          auto id = "q" + std::to_string(++this->requests);
          auto reply = this->Send(router % kRouterCount, path, id);
          this->records.AddSound(path, reply);
          if (reply.status != 502) {
            std::this_thread::sleep_for(kCallerPause);
          }
        }
      });
  }

  ReplicaAnswer Choose(int aReplica, const ReplicaRequest& aRequest)
  {
    if (aRequest.target.ends_with(kDeadlyPath)) {
      this->records.AddArrival(aReplica, aRequest.Header("x-request-id"));
      // The pause is before a piece, so there is an empty one.
      return { { "" }, kCrashDelay, ReplicaAnswer::End::Crash };
    }
    this->records.AddRun(aReplica, aRequest.target);
    std::lock_guard lock(this->mutex);
    return this->soundAnswer(aRequest);
  }

  const int controls;
  std::atomic<int> routers{ 0 };
  MachineOptions options;
  std::mutex mutex;
  Answer soundAnswer = [](const ReplicaRequest& aRequest) {
    return ReplicaAnswer{ { MakeAnswer(200, aRequest, "sound") },
                          kSoundAnswerTime };
  };
  std::atomic<int> requests{ 0 };
  ReplicaPool pool;
  std::atomic<bool> isStopping{ false };
  std::atomic<bool> isDeadlyStopping{ false };
  std::vector<std::thread> soundThreads;
  std::vector<std::thread> deadlyThreads;
};

// The same with a group of three control instances.
class DeadlyRequestGroupFixture : public DeadlyRequestFixture
{
public:
  DeadlyRequestGroupFixture()
    : DeadlyRequestFixture(3)
  {
  }
};

// The same with replicas that come back after the time within which a request
// must be recognized.
class LongDownTimeFixture : public DeadlyRequestFixture
{
public:
  LongDownTimeFixture()
    : DeadlyRequestFixture(1, kContactWindow + 1s)
  {
  }
};

} // namespace

// Guards against a request without prompt parts that crashes all replicas of
// its service again and again, since nothing recognizes it when its callers
// repeat it.
TEST_CASE_METHOD(DeadlyRequestFixture,
                 "a repeated request that crashes replicas is kept from them",
                 "[deadly-request]")
{
  this->CheckRoute("safe");
}

// Guards against crashes at the same moment that count as one, when copies of
// the request run at several replicas.
TEST_CASE_METHOD(DeadlyRequestFixture,
                 "a request that many callers repeat at once is kept from "
                 "replicas",
                 "[deadly-request-burst]")
{
  this->CheckRoute("safe", 4 * kRouterCount);
}

// Guards against copies of a request that run at several replicas while it is
// tried, since a popular sound one was at the same crashes.
TEST_CASE_METHOD(LongDownTimeFixture,
                 "one copy of a request is tried at a time",
                 "[deadly-request-crowd]")
{
  auto start = Now();
  this->StartRepeatingCallers(1);
  std::this_thread::sleep_for(2s);
  auto deadlyStart = Now();
  this->StartDeadlyCallers("safe", 4 * kRouterCount);
  std::this_thread::sleep_for(12s);
  this->CheckQuarantined("safe");
  this->StopCallers();
  this->CheckBound(start, deadlyStart);
}

// Guards against the same on a route whose requests run once at most, and
// against a refusal, which promises that the request has not run, for one that
// has crashed a replica.
TEST_CASE_METHOD(DeadlyRequestFixture,
                 "a repeated unsafe request that crashes replicas is kept from "
                 "them",
                 "[deadly-request-once]")
{
  this->CheckRoute("once");
  CHECK(this->records.CountRepeatedIds() == 0);
  CHECK(this->records.CountRefusedArrivals() == 0);
}

// Guards against the same for a stream whose prompt shares no part with others.
TEST_CASE_METHOD(DeadlyRequestFixture,
                 "a repeated stream without shared parts that crashes replicas "
                 "is kept from them",
                 "[deadly-request-stream]")
{
  this->CheckRoute("stream");
}

// Guards against crashes that are forgotten with the leader that counted them,
// and against a router that does not know of them since it was not there.
TEST_CASE_METHOD(DeadlyRequestGroupFixture,
                 "a repeated request that crashes replicas is kept from them "
                 "when leaders are killed",
                 "[deadly-request-leader]")
{
  auto hasCrashes = [this](std::size_t aCount) {
    return this->records.Crashes().size() >= aCount;
  };
  auto start = Now();
  this->StartSoundCallers();
  std::this_thread::sleep_for(2s);
  auto deadlyStart = Now();
  this->StartDeadlyCallers("safe");
  REQUIRE(WaitFor(3s, [&] { return hasCrashes(kCrashesToRecognize - 1); }));
  this->RestartLeader();
  WaitFor(5s, [&] { return hasCrashes(kCrashesToRecognize); });
  this->AddRouter();
  this->RestartLeader();
  std::this_thread::sleep_for(8s);
  this->CheckQuarantined("safe");
  this->StopCallers();
  this->CheckBound(start, deadlyStart);
}

// Guards against sound requests that stay refused since they were at replicas
// that a deadly request crashed.
TEST_CASE_METHOD(DeadlyRequestFixture,
                 "repeated sound requests are served after crashes of others",
                 "[deadly-request-sound]")
{
  this->CheckSound(kSoundCallers);
}

// Guards against the same for a request that many callers send, so that it is
// at most replicas that crash.
TEST_CASE_METHOD(DeadlyRequestFixture,
                 "a sound request of many callers is served after crashes of "
                 "others",
                 "[deadly-request-popular]")
{
  this->CheckSound(1);
}

// Guards against sound requests that are blamed for replicas that fall silent
// or close connections but have not crashed.
TEST_CASE_METHOD(DeadlyRequestFixture,
                 "silent replicas and closed connections blame no request",
                 "[silent-replica-blame]")
{
  const ReplicaAnswer silent{ { "" }, kSilence, ReplicaAnswer::End::Close };
  const ReplicaAnswer closed{ { "" },
                              kSoundAnswerTime,
                              ReplicaAnswer::End::Close };
  const ReplicaAnswer reset{ { "" },
                             kSoundAnswerTime,
                             ReplicaAnswer::End::Reset };
  this->StartRepeatingCallers();
  for (const auto& answer : { silent, closed, reset }) {
    CAPTURE(answer.pause / 1ms, static_cast<int>(answer.end));
    auto runs = this->records.CountRuns();
    this->SetSoundAnswer([answer](const ReplicaRequest&) { return answer; });
    std::this_thread::sleep_for(5s);
    // Enough for two runs of each request.
    CHECK(this->records.CountRuns() - runs >= 2 * kSoundCallers);
  }
  this->StopCallers();
  CHECK(this->records.CountQuarantined({}) == 0);
}

} // namespace lycheestand::faults::deadly_request
