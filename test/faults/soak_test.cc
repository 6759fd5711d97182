// A soak with a seed: processes are stopped, killed, frozen and reloaded at
// random, several at a time, while callers use open connections and an operator
// changes the configuration.

#include "platform_fleet.h"
#include "replica_pool.h"
#include "soak_support.h"

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <iostream>
#include <random>
#include <set>

namespace lycheestand::faults {

namespace {

const std::vector<int> kMembers{ 1, 2, 3 };
const std::vector<int> kGateways{ 4, 5 };
const std::vector<int> kRouters{ 10, 11, 12 };
constexpr int kFirstReplica = 101;
constexpr int kReplicaCount = 3;
constexpr int kListMachine = 120;
constexpr int kCallersPerRouter = 3;

constexpr int kDefaultSeconds = 40;

// Time within which the service recovers from the last disturbance
// ("recoveryS"), and from which a change is in force ("configApplyMs").
constexpr Duration kRecoveryTime = 15s;
constexpr Duration kApplyTime = 2s;

// Time between the losses of two disks: the lost one counts for "catchUpS"
// after its instance is back.
constexpr Duration kDiskLossInterval = 8s;

// What the replicas have run and what the callers were told.
struct Observed
{
  std::mutex mutex;
  std::map<std::string, int> runs;
  std::vector<std::string> refused;
  int answered = 0;
  int failed = 0;
  std::vector<std::string> faults;
};

class SoakFixture
{
public:
  SoakFixture()
    : pool(this->ReplicaIps(),
           this->fleet.MachineIp(kListMachine),
           "llm",
           2s,
           [this](int, const ReplicaRequest& aRequest) {
             return this->Run(aRequest);
           })
  {
  }

  // A request's path ends with its id, and so does the body of its answer. A
  // replica sometimes breaks off its answer.
  ReplicaAnswer Run(const ReplicaRequest& aRequest)
  {
    std::lock_guard lock(this->observed.mutex);
    int runs = ++this->observed.runs[aRequest.target];
    bool isOnce = aRequest.target.starts_with("/once/");
    if (isOnce && runs > 1) {
      this->observed.faults.push_back("ran twice: " + aRequest.target);
    }
    if (aRequest.target.find("unknown") != std::string::npos) {
      this->observed.faults.push_back("ran without a key: " + aRequest.target);
    }
    std::string whole = MakeAnswer(200, aRequest, aRequest.target);
    constexpr std::size_t kBreakEvery = 50;
    if (this->observed.runs.size() % kBreakEvery == 0) {
      whole.resize(whole.size() / 2);
      return ReplicaAnswer{ { whole }, {}, ReplicaAnswer::End::Close };
    }
    return ReplicaAnswer{ { whole }, 5ms };
  }

  MachineOptions Options(int aMachine, bool aIsFirstStart) const
  {
    MachineOptions options;
    options.seeds = this->seeds;
    options.bootstrap = aIsFirstStart;
    options.hasDisk = std::find(kGateways.begin(), kGateways.end(), aMachine) ==
                      kGateways.end();
    options.listAddress = this->pool.ListAddress();
    return options;
  }

  static bool IsRouter(int aMachine)
  {
    return std::find(kRouters.begin(), kRouters.end(), aMachine) !=
           kRouters.end();
  }

  void StartMachine(int aMachine, bool aIsFirstStart = false)
  {
    auto options = this->Options(aMachine, aIsFirstStart);
    if (IsRouter(aMachine)) {
      this->fleet.StartRouter(aMachine, options);
    } else {
      this->fleet.StartControl(aMachine, options);
    }
  }

  static std::vector<int> AllMachines()
  {
    std::vector<int> all = kMembers;
    all.insert(all.end(), kGateways.begin(), kGateways.end());
    all.insert(all.end(), kRouters.begin(), kRouters.end());
    return all;
  }

  // Sends the next configuration to a control instance.
  void ChangeConfiguration(int aMachine)
  {
    int version = ++this->lastVersion;
    json::object tenant{ { "name", "w" },
                         { "apiKeys", json::array{ "k" } },
                         { "prepaid", 100'000'000 } };
    auto document = MakeEngineDocument(
      version,
      json::array{ MakeEngineRoute("safe", "safe", false),
                   MakeEngineRoute("once", "unsafe", false) },
      json::array{ std::move(tenant) });
    if (this->fleet.PutDocument(aMachine, document) == 200) {
      this->acknowledged = version;
    }
  }

  // Sends requests on a kept connection to a router until the end. Every tenth
  // has an unknown key.
  void Call(int aRouter, int aCaller)
  {
    HttpClient client(this->fleet.CallerAddress(aRouter));
    constexpr int kUnknownEvery = 10;
    for (int i = 0; !this->isDone; ++i) {
      bool isUnknown = i % kUnknownEvery == 0;
      std::string id = "r" + std::to_string(aRouter) + "c" +
                       std::to_string(aCaller) + "n" + std::to_string(i) +
                       (isUnknown ? "unknown" : "");
      faults::Call call;
      call.method = "POST";
      call.target = (i % 3 == 0 ? "/safe/" : "/once/") + id;
      call.headers = { { "Host", "h.example" },
                       { "X-Request-Id", id },
                       { "X-Key", isUnknown ? "unknown" : "k" },
                       { "X-Deadline-Ms", "3000" } };
      call.body = "{}";
      call.timeout = 5s;
      this->Check(call.target, isUnknown, client.Send(call));
      std::this_thread::sleep_for(10ms);
    }
  }

  void Check(const std::string& aTarget, bool aIsUnknown, const Reply& aReply)
  {
    std::lock_guard lock(this->observed.mutex);
    bool isSuccess = aReply.isComplete && aReply.status == 200;
    if (isSuccess && aIsUnknown) {
      this->observed.faults.push_back("answered without a key: " + aTarget);
    }
    if (isSuccess && aReply.body != aTarget) {
      this->observed.faults.push_back("wrong answer: " + aTarget);
    }
    bool isPromise =
      aReply.isComplete && (aReply.status == 503 || aReply.status == 429 ||
                            aReply.status == 408 || aReply.status == 421);
    if (isPromise && aTarget.starts_with("/once/")) {
      this->observed.refused.push_back(aTarget);
    }
    ++(isSuccess ? this->observed.answered : this->observed.failed);
  }

  bool IsServedBy(int aRouter)
  {
    std::string id =
      "end" + std::to_string(aRouter) + "-" + std::to_string(++this->endCalls);
    faults::Call call;
    call.target = "/safe/" + id;
    call.headers = { { "Host", "h.example" },
                     { "X-Request-Id", id },
                     { "X-Key", "k" } };
    call.timeout = 2s;
    return Send(this->fleet.CallerAddress(aRouter), call).status == 200;
  }

  // Disturbs a process; several may be disturbed at a time.
  void Disturb(std::mt19937& aRandom)
  {
    auto pick = [&aRandom](const std::vector<int>& aFrom) {
      return aFrom[aRandom() % aFrom.size()];
    };
    int machine = pick(AllMachines());
    auto& process = this->fleet.Machine(machine);
    switch (aRandom() % 6) {
      case 0:
        process.Kill();
        break;
      case 1:
        process.Signal(SIGTERM);
        break;
      case 2:
        process.Signal(SIGSTOP);
        this->frozen.insert(machine);
        break;
      case 3:
        this->ExchangeSeeds(aRandom);
        break;
      case 4:
        this->LoseDisk(pick(kMembers));
        break;
      default:
        this->ChangeConfiguration(pick(kMembers));
        break;
    }
  }

  void ExchangeSeeds(std::mt19937& aRandom)
  {
    std::vector<int> control = kMembers;
    control.insert(control.end(), kGateways.begin(), kGateways.end());
    std::shuffle(control.begin(), control.end(), aRandom);
    control.resize(1 + aRandom() % 3);
    this->seeds = control;
    for (int machine : AllMachines()) {
      if (this->fleet.Machine(machine).IsRunning()) {
        this->fleet.Reload(machine, this->Options(machine, false));
      }
    }
  }

  // One disk may be lost at a time, and only while all members are there: a
  // member that is away counts as lost.
  void LoseDisk(int aMachine)
  {
    auto now = std::chrono::steady_clock::now();
    bool areAllThere =
      std::all_of(kMembers.begin(), kMembers.end(), [this](int aMember) {
        return this->fleet.CountVoters(aMember) ==
               static_cast<std::int64_t>(kMembers.size());
      });
    if (!areAllThere || now - this->lastMemberLoss < kDiskLossInterval) {
      return;
    }
    this->fleet.Machine(aMachine).Kill();
    this->fleet.LoseDisk(aMachine);
    this->StartMachine(aMachine);
    this->lastMemberLoss = now;
  }

  // Wakes and starts again what was disturbed.
  void Restore()
  {
    for (int machine : this->frozen) {
      this->fleet.Machine(machine).Signal(SIGCONT);
    }
    this->frozen.clear();
    for (int machine : AllMachines()) {
      auto& process = this->fleet.Machine(machine);
      process.WaitForExit(Duration(0));
      if (!process.IsRunning()) {
        this->StartMachine(machine);
        if (!IsRouter(machine)) {
          this->lastMemberLoss = std::chrono::steady_clock::now();
        }
      }
    }
  }

  std::vector<std::string> ReplicaIps() const
  {
    std::vector<std::string> ips;
    for (int i = 0; i < kReplicaCount; ++i) {
      ips.push_back(this->fleet.MachineIp(kFirstReplica + i));
    }
    return ips;
  }

  PlatformFleet fleet{ "soak" };
  Observed observed;
  ReplicaPool pool;
  std::vector<int> seeds = kMembers;
  std::set<int> frozen;
  std::chrono::steady_clock::time_point lastMemberLoss{};
  int lastVersion = 0;
  int acknowledged = 0;
  int endCalls = 0;
  std::atomic<bool> isDone{ false };
};

} // namespace

// Guards against faults that need several disturbances at once: a request that
// runs twice, or that was refused and has run; an answer of another request; a
// request with an unknown key that runs; a lost acknowledged configuration; a
// fleet that does not recover.
TEST_CASE_METHOD(SoakFixture, "the promises hold under disturbances", "[soak]")
{
  auto seed = static_cast<unsigned>(ReadOption("LYCHEESTAND_SOAK_SEED", 1));
  auto length = std::chrono::seconds(
    ReadOption("LYCHEESTAND_SOAK_SECONDS", kDefaultSeconds));
  CAPTURE(seed);
  std::mt19937 random(seed);
  for (int machine : AllMachines()) {
    this->StartMachine(machine, true);
  }
  REQUIRE(WaitFor(kRecoveryTime, [this] {
    this->ChangeConfiguration(kMembers.front());
    return this->acknowledged > 0;
  }));
  std::vector<std::thread> callers;
  for (int router : kRouters) {
    for (int caller = 0; caller < kCallersPerRouter; ++caller) {
      callers.emplace_back(
        [this, router, caller] { this->Call(router, caller); });
    }
  }
  auto end = std::chrono::steady_clock::now() + length;
  while (std::chrono::steady_clock::now() < end) {
    for (unsigned i = 0; i <= random() % 3; ++i) {
      this->Disturb(random);
      std::this_thread::sleep_for(std::chrono::milliseconds(random() % 400));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(random() % 1500));
    this->Restore();
  }
  this->Restore();
  int acknowledgedAtEnd = this->acknowledged;
  bool isReadBack = WaitFor(kRecoveryTime, [this, acknowledgedAtEnd] {
    this->Restore();
    return this->fleet.ReadVersion(kGateways.front()) >= acknowledgedAtEnd;
  });
  CHECK(isReadBack);
  std::this_thread::sleep_for(kApplyTime);
  for (int router : kRouters) {
    // A router that got SIGTERM stops some seconds later.
    bool serves = WaitFor(kRecoveryTime, [this, router] {
      this->Restore();
      return this->IsServedBy(router);
    });
    INFO("router " << router << ": "
                   << (serves ? "" : this->fleet.Machine(router).LogTail()));
    CHECK(serves);
  }
  this->isDone = true;
  for (auto& caller : callers) {
    caller.join();
  }
  std::lock_guard lock(this->observed.mutex);
  for (const auto& target : this->observed.refused) {
    if (this->observed.runs.contains(target)) {
      this->observed.faults.push_back("refused and run: " + target);
    }
  }
  std::cout << "soak seed=" << seed << " answered=" << this->observed.answered
            << " failed=" << this->observed.failed
            << " acknowledged=" << acknowledgedAtEnd << "\n";
  CHECK(this->observed.answered > 0);
  for (const auto& fault : this->observed.faults) {
    FAIL_CHECK(fault);
  }
}

} // namespace lycheestand::faults
