// Replicas of the users' platform whose answers fail.

#include "platform_fleet.h"
#include "replica_pool.h"

#include <atomic>
#include <catch2/catch.hpp>

namespace lycheestand::faults {

namespace {

// Time within which the fleet serves after its start.
constexpr Duration kReadyTime = 15s;

constexpr int kControlMachine = 1;
constexpr int kRouterMachine = 2;
constexpr int kReplicaCount = 3;

json::object
MakeRoute(const char* aName, const char* aKind, bool aIsResumable)
{
  return { { "name", aName },
           { "host", "h.example" },
           { "pathPrefix", std::string("/") + aName + "/" },
           { "kind", aKind },
           { "resumable", aIsResumable },
           { "timeoutMs", 3000 },
           { "targetLatencyMs", 500 },
           { "targetGapMs", 300 },
           { "service", "llm" },
           { "maxAttempts", 2 } };
}

// The workspace may spend aPrepaid tokens.
std::string
MakeDocument(int aPrepaid)
{
  return json::serialize(json::object{
    { "version", 1 },
    { "routes",
      json::array{ MakeRoute("resumable", "streaming", true),
                   MakeRoute("stream", "streaming", false),
                   MakeRoute("safe", "safe", false),
                   MakeRoute("once", "unsafe", false) } },
    { "services",
      json::array{
        json::object{ { "name", "llm" },
                      { "healthPath", "/health" },
                      { "maxConns", 100 },
                      { "engine",
                        json::object{ { "slots", 16 },
                                      { "kvCapacityTokens", 100000 } } } } } },
    { "limits", json::object() },
    { "tenants",
      json::array{ json::object{ { "name", "w" },
                                 { "apiKeys", json::array{ "k" } },
                                 { "prepaid", aPrepaid } } } } });
}

// One control instance, one router, and replicas that answer as a test says.
class ReplicaFaultsFixture
{
public:
  using Answer = ReplicaPool::Answer;

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
    options.seeds = { kControlMachine };
    options.bootstrap = true;
    options.listAddress = this->pool.ListAddress();
    this->fleet.StartControl(kControlMachine, options);
    this->fleet.StartRouter(kRouterMachine, options);
    REQUIRE(WaitFor(kReadyTime, [this, aPrepaid] {
      return this->fleet.PutDocument(kControlMachine, MakeDocument(aPrepaid)) ==
             200;
    }));
    this->SetAnswer([](int, const ReplicaRequest& aRequest) {
      return ReplicaAnswer{ { MakeAnswer(200, aRequest, "sound") } };
    });
    REQUIRE(WaitFor(kReadyTime,
                    [this] { return this->Send("/safe/1").status == 200; }));
  }

  // Sets how replicas answer from now on.
  void SetAnswer(Answer aAnswer)
  {
    std::lock_guard lock(this->mutex);
    this->answer = std::move(aAnswer);
  }

  // Sends a request of 230 tokens at most.
  Reply Send(const std::string& aTarget)
  {
    Call call;
    call.method = "POST";
    call.target = aTarget;
    call.headers = { { "Host", "h.example" },
                     { "X-Request-Id", "q" + std::to_string(++this->requests) },
                     { "X-Key", "k" },
                     { "X-Deadline-Ms", "3000" } };
    if (aTarget.find("/safe/") == std::string::npos &&
        aTarget.find("/once/") == std::string::npos) {
      call.headers["X-Model"] = "m";
      call.headers["X-Token-Counts"] = "200,30";
      call.headers["X-Prompt-Prefix"] = "a1:100,b2:100";
    }
    call.body = "{}";
    call.timeout = 5s;
    return faults::Send(this->fleet.CallerAddress(kRouterMachine), call);
  }

  PlatformFleet fleet{ "replica-faults" };

private:
  std::vector<std::string> ReplicaIps() const
  {
    std::vector<std::string> ips;
    for (int i = 0; i < kReplicaCount; ++i) {
      ips.push_back(this->fleet.MachineIp(101 + i));
    }
    return ips;
  }

  std::mutex mutex;
  Answer answer;
  ReplicaPool pool;
  std::atomic<int> requests{ 0 };
};

// A budget for four requests.
class SmallBudgetFixture : public ReplicaFaultsFixture
{
public:
  SmallBudgetFixture()
    : ReplicaFaultsFixture(1000)
  {
  }
};

} // namespace

// Guards against callers that are refused as out of budget after runs that
// failed: they got nothing for the tokens.
TEST_CASE_METHOD(SmallBudgetFixture,
                 "a run that gave the caller nothing is not charged",
                 "[undelivered-charge]")
{
  std::vector<std::pair<const char*, Answer>> failures{
    { "no answer",
      [](int, const ReplicaRequest&) {
        return ReplicaAnswer{ {}, {}, ReplicaAnswer::End::Reset };
      } },
    { "a head only",
      [](int, const ReplicaRequest& aRequest) {
        return ReplicaAnswer{ { MakeStreamHead(aRequest) },
                              {},
                              ReplicaAnswer::End::Reset };
      } },
    { "an error",
      [](int, const ReplicaRequest& aRequest) {
        return ReplicaAnswer{ { MakeAnswer(500, aRequest, "failed") } };
      } },
  };
  for (const auto& [name, answer] : failures) {
    INFO(name);
    for (const char* target : { "/resumable/1", "/stream/1" }) {
      this->SetAnswer(answer);
      for (int i = 0; i < 5; ++i) {
        CHECK(this->Send(target).status >= 500);
      }
    }
  }
  this->SetAnswer(
    [](int, const ReplicaRequest& aRequest) { return MakeStream(aRequest); });
  CHECK(WaitFor(5s, [this] { return this->Send("/stream/1").status == 200; }));
}

} // namespace lycheestand::faults
