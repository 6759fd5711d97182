// Replicas whose process is stopped for a moment and goes on: they are sound,
// and nothing that they have received is lost.

#include "platform_fleet.h"
#include "replica_pool.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <sstream>
#include <utility>

namespace lycheestand::faults {

namespace {

// Longer than the silence after which a router tries another replica, and than
// the time until it notices.
constexpr Duration kSilence = 1900ms;
constexpr Duration kLongSilence = 4s;
constexpr Duration kEndlessSilence = 30s;

constexpr unsigned kUnavailable = 503;
constexpr int kEvents = 4;
constexpr Duration kEventPause = 200ms;
constexpr int kRouteTimeoutMs = 4500;

std::string
MakeEvents(int aFirst, int aLast)
{
  std::string events;
  for (int id = aFirst; id <= aLast; ++id) {
    events += MakeEvent(id);
  }
  return events;
}

// Returns the events after the one that the request names as the last one.
ReplicaAnswer
MakeSlowStream(const ReplicaRequest& aRequest)
{
  auto last = aRequest.Header("last-event-id");
  ReplicaAnswer answer;
  answer.pieces = { MakeChunkedHead(aRequest) };
  for (int id = last.empty() ? 1 : std::stoi(last) + 1; id <= kEvents; ++id) {
    answer.pieces.push_back(MakeChunk(MakeEvent(id)));
  }
  answer.pieces.push_back(MakeChunk(""));
  answer.pause = kEventPause;
  return answer;
}

ReplicaAnswer
MakeFull(const ReplicaRequest& aRequest)
{
  return { { MakeAnswer(503, aRequest, "", "X-Not-Executed: 1\r\n") } };
}

// One control instance, one router, and replicas that answer as a test says.
class SilentStreamFixture
{
public:
  explicit SilentStreamFixture(int aRetrySlack = MachineOptions{}.retrySlack)
    : pool(this->ReplicaIps(),
           this->fleet.MachineIp(kListMachine),
           "llm",
           2s,
           [this](int aReplica, const ReplicaRequest& aRequest) {
             return this->Answer(aReplica, aRequest);
           })
  {
    MachineOptions options;
    options.seeds = { kControlNumber };
    options.bootstrap = true;
    options.listAddress = this->pool.ListAddress();
    options.retrySlack = aRetrySlack;
    this->fleet.StartControl(kControlNumber, options);
    this->fleet.StartRouter(kRouterNumber, options);
    auto route = MakeEngineRoute("resumable", "streaming", true);
    route["timeoutMs"] = kRouteTimeoutMs;
    REQUIRE(WaitFor(kServeTime, [this, &route] {
      return this->fleet.PutDocument(
               kControlNumber,
               MakeEngineDocument(json::array{ route }, 100'000'000)) == 200;
    }));
    REQUIRE(WaitFor(kServeTime, [this] {
      return this->Send("start", nullptr).status == 200;
    }));
    this->first = kNone;
    this->wasAskedElsewhere = false;
  }

  // Sends a request for a stream. Its replica falls silent when the caller has
  // received the first event, and aOnFirstEvent is called.
  Reply Send(const std::string& aId, std::function<void()> aOnFirstEvent)
  {
    faults::Call call;
    call.method = "POST";
    call.target = "/resumable/" + aId;
    call.headers = { { "Host", "h.example" },
                     { "X-Request-Id", aId },
                     { "X-Key", "k" },
                     { "X-Deadline-Ms", std::to_string(kRouteTimeoutMs) },
                     { "X-Model", "m" },
                     { "X-Token-Counts", "200,30" } };
    call.body = "{}";
    call.timeout = 5s;
    call.onBody = [&aOnFirstEvent](const std::string& aBody) {
      if (aOnFirstEvent && !aBody.empty()) {
        std::exchange(aOnFirstEvent, nullptr)();
      }
      return true;
    };
    return faults::Send(this->fleet.CallerAddress(kRouterNumber), call);
  }

  // Checks that a stream whose replica falls silent ends with all its events.
  // The other replicas then fall silent for aOthersSilence. A request that was
  // refused before any replica ran it is sent again.
  void CheckStream(Duration aOthersSilence = 0s, Duration aSilence = kSilence)
  {
    Reply reply;
    REQUIRE(WaitFor(kServeTime, [&] {
      reply = this->Send("silent", [this, aOthersSilence, aSilence] {
        for (int i = 0; i < kReplicas; ++i) {
          this->pool.Silence(i, i == this->first ? aSilence : aOthersSilence);
        }
      });
      return reply.status != kUnavailable || this->first != kNone;
    }));
    INFO(this->RouterLogOf("silent"));
    CHECK(reply.status == 200);
    CHECK(reply.isComplete);
    CHECK(reply.body == MakeEvents(1, kEvents));
    CHECK_FALSE(reply.headers.contains("Connection"));
  }

  // Returns whether another replica was asked for the rest of the stream.
  bool WasAskedElsewhere() const { return this->wasAskedElsewhere; }

  // The replicas that do not run the stream say from now on that they are full.
  void FillOthers() { this->areOthersFull = true; }

private:
  // Time within which the fleet serves after its start.
  static constexpr Duration kServeTime = 15s;
  static constexpr int kControlNumber = 1;
  static constexpr int kRouterNumber = 2;
  static constexpr int kFirstReplica = 101;
  static constexpr int kListMachine = 120;
  static constexpr int kReplicas = 3;
  static constexpr int kNone = -1;

  ReplicaAnswer Answer(int aReplica, const ReplicaRequest& aRequest)
  {
    int none = kNone;
    this->first.compare_exchange_strong(none, aReplica);
    this->wasAskedElsewhere =
      this->wasAskedElsewhere || aReplica != this->first;
    return this->areOthersFull && aReplica != this->first
             ? MakeFull(aRequest)
             : MakeSlowStream(aRequest);
  }

  std::string RouterLogOf(const std::string& aId)
  {
    std::istringstream lines(this->fleet.Machine(kRouterNumber).Log());
    std::string found;
    for (std::string line; std::getline(lines, line);) {
      if (line.find('"' + aId + '"') != std::string::npos) {
        found += line + "\n";
      }
    }
    return found;
  }

  std::vector<std::string> ReplicaIps() const
  {
    std::vector<std::string> ips;
    for (int i = 0; i < kReplicas; ++i) {
      ips.push_back(this->fleet.MachineIp(kFirstReplica + i));
    }
    return ips;
  }

  PlatformFleet fleet{ "silent-stream" };
  // The replica that has answered first.
  std::atomic<int> first{ kNone };
  std::atomic<bool> areOthersFull{ false };
  std::atomic<bool> wasAskedElsewhere{ false };
  ReplicaPool pool;
};

class NoRetriesFixture : public SilentStreamFixture
{
public:
  NoRetriesFixture()
    : SilentStreamFixture(0)
  {
  }
};

} // namespace

// Guards against a stream that is broken off because its replica is silent for
// a moment while no other replica takes it over.
TEST_CASE_METHOD(SilentStreamFixture,
                 "a stream outlives its silent replica while others are full",
                 "[silent-stream]")
{
  this->FillOthers();
  this->CheckStream();
}

// Guards against a stream that waits for a replica which does not come back.
TEST_CASE_METHOD(SilentStreamFixture,
                 "a stream is taken over from a replica that stays silent",
                 "[silent-stream]")
{
  this->CheckStream(0s, kEndlessSilence);
  CHECK(this->WasAskedElsewhere());
}

// Guards against a stream that is broken off because the replica that should
// continue it is silent for longer than the one that it was taken from.
TEST_CASE_METHOD(SilentStreamFixture,
                 "a stream outlives the silence of all replicas",
                 "[silent-stream]")
{
  this->CheckStream(kLongSilence);
}

// Guards against a stream that is broken off because its replica is silent for
// a moment while the router may make no retries.
TEST_CASE_METHOD(NoRetriesFixture,
                 "a stream outlives its silent replica without retries",
                 "[silent-stream]")
{
  this->CheckStream();
}

} // namespace lycheestand::faults
