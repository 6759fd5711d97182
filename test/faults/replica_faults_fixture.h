#ifndef LYCHEESTAND_TEST_FAULTS_REPLICA_FAULTS_FIXTURE_H
#define LYCHEESTAND_TEST_FAULTS_REPLICA_FAULTS_FIXTURE_H

#include "platform_fleet.h"
#include "replica_pool.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <mutex>
#include <string>
#include <vector>

namespace lycheestand::faults {

// One control instance, one router, and replicas that answer as a test says.
class ReplicaFaultsFixture
{
public:
  using Answer = ReplicaPool::Answer;

  // Time within which the fleet serves after its start.
  static constexpr Duration kServeTime = 15s;
  // The smallest machine of the users has 88 MB for a process.
  static constexpr int kMachineMegabytes = 88;
  static constexpr int kControlNumber = 1;
  static constexpr int kRouterNumber = 2;
  static constexpr int kReplicas = 3;

  explicit ReplicaFaultsFixture(int aPrepaid = 100'000'000)
    : pool(this->ReplicaIps(),
           this->fleet.MachineIp(120),
           "llm",
           2s,
           [this](int aReplica, const ReplicaRequest& aRequest) {
             std::lock_guard lock(this->mutex);
             return this->answer(aReplica, aRequest);
           })
  {
    MachineOptions options;
    options.seeds = { kControlNumber };
    options.bootstrap = true;
    options.memoryMb = kMachineMegabytes;
    options.listAddress = this->pool.ListAddress();
    this->fleet.StartControl(kControlNumber, options);
    this->fleet.StartRouter(kRouterNumber, options);
    REQUIRE(WaitFor(kServeTime, [this, aPrepaid] {
      return this->fleet.PutDocument(
               kControlNumber, MakeEngineDocument(MakeRoutes(), aPrepaid)) ==
             200;
    }));
    this->SetAnswer([](int, const ReplicaRequest& aRequest) {
      return ReplicaAnswer{ { MakeAnswer(200, aRequest, "sound") } };
    });
    REQUIRE(WaitFor(kServeTime,
                    [this] { return this->Send("/safe/1").status == 200; }));
  }

  static json::array MakeRoutes()
  {
    return { MakeEngineRoute("resumable", "streaming", true),
             MakeEngineRoute("stream", "streaming", false),
             MakeEngineRoute("safe", "safe", false),
             MakeEngineRoute("once", "unsafe", false) };
  }

  // Sets how replicas answer from now on.
  void SetAnswer(Answer aAnswer)
  {
    std::lock_guard lock(this->mutex);
    this->answer = std::move(aAnswer);
  }

  // Sends a request of 230 tokens at most.
  Reply Send(const std::string& aTarget, const std::string& aKey = "k")
  {
    return this->Send(this->MakeCall(aTarget, aKey));
  }

  Reply Send(const Call& aCall) const
  {
    return faults::Send(this->fleet.CallerAddress(kRouterNumber), aCall);
  }

  Call MakeCall(const std::string& aTarget, const std::string& aKey = "k")
  {
    Call call;
    call.method = "POST";
    call.target = aTarget;
    call.headers = { { "Host", "h.example" },
                     { "X-Request-Id", "q" + std::to_string(++this->requests) },
                     { "X-Key", aKey },
                     { "X-Deadline-Ms", "3000" } };
    if (aTarget.find("/safe/") == std::string::npos &&
        aTarget.find("/once/") == std::string::npos) {
      call.headers["X-Model"] = "m";
      call.headers["X-Token-Counts"] = "200,30";
      call.headers["X-Prompt-Prefix"] = "a1:100,b2:100";
    }
    call.body = "{}";
    call.timeout = 5s;
    return call;
  }

  // Replicas answer from now on before they read the body of a request.
  void AnswerEarly() { this->pool.AnswerEarly(); }

  PlatformFleet fleet{ "replica-faults" };

private:
  std::vector<std::string> ReplicaIps() const
  {
    std::vector<std::string> ips;
    for (int i = 0; i < kReplicas; ++i) {
      ips.push_back(this->fleet.MachineIp(101 + i));
    }
    return ips;
  }

  std::mutex mutex;
  Answer answer;
  ReplicaPool pool;
  std::atomic<int> requests{ 0 };
};

} // namespace lycheestand::faults

#endif
