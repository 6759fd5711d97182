// Replicas of the users' platform whose answers fail.

#include "replica_faults_fixture.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>

namespace lycheestand::faults {

namespace {

constexpr std::size_t kMachineMemory =
  ReplicaFaultsFixture::kMachineMegabytes * std::size_t(1'000'000);

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

// Guards against a fleet that is open to everybody once the operator has taken
// the last workspace out of the configuration.
TEST_CASE_METHOD(ReplicaFaultsFixture,
                 "without workspaces no key is valid",
                 "[no-workspaces]")
{
  constexpr Duration kApplyTime = 2s;
  std::atomic<int> runs{ 0 };
  this->SetAnswer([&](int, const ReplicaRequest& aRequest) {
    ++runs;
    return ReplicaAnswer{ { MakeAnswer(200, aRequest, "run") } };
  });
  CHECK(this->Send("/once/1", "unknown").status == 401);
  CHECK(this->Send("/once/1").status == 200);
  REQUIRE(this->fleet.PutDocument(
            kControlNumber,
            MakeEngineDocument(2, MakeRoutes(), json::array())) == 200);
  std::this_thread::sleep_for(kApplyTime);
  runs = 0;
  for (const char* key : { "k", "unknown", "" }) {
    for (const char* target : { "/once/1", "/safe/1", "/stream/1" }) {
      INFO("key \"" << key << "\", " << target);
      CHECK(this->Send(target, key).status == 401);
    }
  }
  CHECK(runs == 0);
}

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

// Guards against a stream that looks complete although its replica broke off
// inside an event: without a length or chunks, only the last event tells.
TEST_CASE_METHOD(ReplicaFaultsFixture,
                 "a stream that ends inside an event is not passed on as whole",
                 "[broken-event]")
{
  auto cutEvent = MakeEvent(2).substr(0, MakeEvent(2).size() - 1);
  std::atomic<int> calls{ 0 };
  auto breakFirst = [&calls](std::string aSecond) {
    return [&calls,
            second = std::move(aSecond)](int, const ReplicaRequest& aRequest) {
      if (calls++ == 0) {
        return ReplicaAnswer{ { MakeStreamHead(aRequest) + MakeEvent(1) +
                                second },
                              {},
                              ReplicaAnswer::End::Close };
      }
      return MakeStream(aRequest);
    };
  };
  this->SetAnswer(breakFirst(cutEvent));
  auto resumed = this->Send("/resumable/1");
  CHECK(resumed.status == 200);
  CHECK(resumed.isComplete);
  CHECK(resumed.body == MakeEvent(1) + MakeEvent(2) + MakeEvent(3));
  CHECK(calls == 2);

  calls = 0;
  auto broken = this->Send("/stream/1");
  CHECK(broken.status == 200);
  CHECK_FALSE(broken.isComplete);
  CHECK(broken.body == MakeEvent(1));
  CHECK(calls == 1);

  // Not even the first event has arrived.
  this->SetAnswer([](int, const ReplicaRequest& aRequest) {
    return ReplicaAnswer{ { MakeStreamHead(aRequest) },
                          {},
                          ReplicaAnswer::End::Close };
  });
  CHECK(this->Send("/stream/1").status == 502);

  calls = 0;
  this->SetAnswer(breakFirst(""));
  auto whole = this->Send("/stream/1");
  CHECK(whole.isComplete);
  CHECK(whole.body == MakeEvent(1));
}

// Guards against an error's text in the middle of a stream, and against a
// stream that looks complete, when the replica that should continue it answers
// with an error.
TEST_CASE_METHOD(ReplicaFaultsFixture,
                 "an error of the next replica does not end up in a stream",
                 "[error-after-stream]")
{
  for (unsigned status : { 400, 429, 500, 503 }) {
    for (const char* headers : { "", "X-Not-Executed: 1\r\n" }) {
      CAPTURE(status, headers);
      std::atomic<int> calls{ 0 };
      this->SetAnswer([&, status](int, const ReplicaRequest& aRequest) {
        if (calls++ == 0) {
          return ReplicaAnswer{ { MakeStreamHead(aRequest) + MakeEvent(1) },
                                {},
                                ReplicaAnswer::End::Reset };
        }
        return ReplicaAnswer{ { MakeAnswer(
          status, aRequest, "an error", headers) } };
      });
      auto reply = this->Send("/resumable/1");
      CHECK(reply.status == 200);
      CHECK_FALSE(reply.isComplete);
      CHECK(reply.body == MakeEvent(1));
      CHECK(calls >= 2);
    }
  }
}

namespace {

// More bytes at once than a router has memory for: messages that are each
// below the size limit of 4 MiB and that stop before their end.
class LargeMessagesFixture : public ReplicaFaultsFixture
{
public:
  static constexpr int kMessages = 40;
  static constexpr std::size_t kAnnouncedBytes = 4'000'000;

  // A part of a message, which is sent at once.
  const std::string part = std::string(kAnnouncedBytes - 1000, 'x');

  // Sends small requests while the messages arrive. Returns the most
  // memory that the router used.
  std::size_t ServeOthers()
  {
    std::size_t maxMemory = 0;
    for (int i = 0; i < 20; ++i) {
      CHECK(this->Send("/safe/sound").status == 200);
      maxMemory =
        std::max(maxMemory, this->fleet.Machine(kRouterNumber).ResidentBytes());
      std::this_thread::sleep_for(100ms);
    }
    return maxMemory;
  }
};

} // namespace

// Guards against many answers that together fill the router's memory
// although each of them has a limit.
TEST_CASE_METHOD(LargeMessagesFixture,
                 "many large answers don't fill the memory",
                 "[large-answers]")
{
  this->SetAnswer([this](int, const ReplicaRequest& aRequest) {
    if (aRequest.target == "/safe/sound") {
      return ReplicaAnswer{ { MakeAnswer(200, aRequest, "sound") } };
    }
    std::string whole =
      MakeAnswer(200, aRequest, std::string(kAnnouncedBytes, 'x'));
    whole.resize(this->part.size());
    return ReplicaAnswer{ { std::move(whole) } };
  });
  std::vector<std::thread> callers;
  std::atomic<int> failures{ 0 };
  for (int i = 0; i < kMessages; ++i) {
    callers.emplace_back([this, &failures] {
      failures += this->Send("/once/large").status >= 500 ? 1 : 0;
    });
  }
  auto maxMemory = this->ServeOthers();
  for (auto& caller : callers) {
    caller.join();
  }
  CHECK(failures == kMessages);
  CAPTURE(maxMemory);
  CHECK(maxMemory < kMachineMemory);
}

// Guards against callers that fill the router's memory with requests that
// they don't complete.
TEST_CASE_METHOD(LargeMessagesFixture,
                 "many large requests don't fill the memory",
                 "[large-requests]")
{
  std::vector<std::thread> callers;
  std::atomic<bool> isDone{ false };
  for (int i = 0; i < kMessages; ++i) {
    callers.emplace_back([this, &isDone] {
      SendPart(this->fleet.CallerAddress(kRouterNumber),
               "POST /once/large HTTP/1.1\r\nHost: h.example\r\nX-Key: k\r\n"
               "X-Request-Id: large\r\nContent-Length: " +
                 std::to_string(kAnnouncedBytes) + "\r\n\r\n" + this->part,
               isDone);
    });
  }
  auto maxMemory = this->ServeOthers();
  isDone = true;
  for (auto& caller : callers) {
    caller.join();
  }
  CAPTURE(maxMemory);
  CHECK(maxMemory < kMachineMemory);
}

// Guards against an empty or short answer that looks complete, of a replica
// that stopped in the middle of its answer's head.
TEST_CASE_METHOD(ReplicaFaultsFixture,
                 "an answer whose head is cut short is not passed on",
                 "[cut-head]")
{
  for (const char* target : { "/safe/1", "/once/1", "/stream/1" }) {
    for (double part : { 0.1, 0.3, 0.6, 0.9, 0.99 }) {
      for (auto end :
           { ReplicaAnswer::End::Close, ReplicaAnswer::End::Reset }) {
        CAPTURE(target, part);
        this->SetAnswer([part, end](int, const ReplicaRequest& aRequest) {
          std::string answer = MakeAnswer(200, aRequest, "");
          answer.resize(static_cast<std::size_t>(
            part * static_cast<double>(answer.size())));
          return ReplicaAnswer{ { answer }, {}, end };
        });
        auto reply = this->Send(target);
        CHECK(reply.status == 502);
        CHECK(reply.body.find("endpoint_failed") != std::string::npos);
      }
    }
  }
}

// Guards against an answer that never ends: its caller would wait, or its bytes
// fill the router's memory.
TEST_CASE_METHOD(ReplicaFaultsFixture,
                 "an answer that never ends is given up at the timeout",
                 "[endless-answer]")
{
  this->SetAnswer([](int, const ReplicaRequest& aRequest) {
    if (aRequest.target == "/safe/sound") {
      return ReplicaAnswer{ { MakeAnswer(200, aRequest, "sound") } };
    }
    bool isSlow = aRequest.target.find("slow") != std::string::npos;
    auto part = aRequest.target.substr(aRequest.target.rfind('/') + 1);
    std::replace(part.begin(), part.end(), '-', ' ');
    return MakeEndlessAnswers(aRequest, isSlow ? 100ms : 0ms).at(part);
  });
  std::vector<std::string> targets;
  for (const auto& [part, answer] : MakeEndlessAnswers({}, 0ms)) {
    auto name = part;
    std::replace(name.begin(), name.end(), ' ', '-');
    for (const char* route : { "/safe/", "/once/", "/stream/" }) {
      for (const char* speed : { "slow/", "fast/" }) {
        targets.push_back(route + std::string(speed) + name);
      }
    }
  }
  auto memoryBefore = this->fleet.Machine(kRouterNumber).ResidentBytes();
  std::vector<std::thread> callers;
  std::vector<std::pair<Reply, Duration>> replies(targets.size());
  for (std::size_t i = 0; i < targets.size(); ++i) {
    callers.emplace_back([this, i, &targets, &replies] {
      auto start = std::chrono::steady_clock::now();
      auto reply = this->Send(targets[i]);
      replies[i] = { std::move(reply),
                     std::chrono::steady_clock::now() - start };
    });
  }
  std::size_t maxMemory = 0;
  for (int i = 0; i < 20; ++i) {
    CHECK(this->Send("/safe/sound").status == 200);
    maxMemory =
      std::max(maxMemory, this->fleet.Machine(kRouterNumber).ResidentBytes());
    std::this_thread::sleep_for(100ms);
  }
  for (auto& caller : callers) {
    caller.join();
  }
  // The route's timeout is 3 s, and an answer may come 0.5 s later; as much is
  // left for the threads of the test.
  constexpr Duration kLimit = 4s;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    INFO(targets[i]);
    const auto& [reply, time] = replies[i];
    CHECK(time < kLimit);
    CHECK((reply.status >= 500 || !reply.isComplete));
  }
  CAPTURE(memoryBefore, maxMemory);
  CHECK(maxMemory < kMachineMemory);
}

// Guards against requests to a replica that says in its answers that it is
// leaving, while the platform's list does not show it yet.
TEST_CASE_METHOD(ReplicaFaultsFixture,
                 "a replica that says that it leaves gets no new requests",
                 "[server-leaving]")
{
  std::array<std::atomic<int>, kReplicas> requestsAt{};
  this->SetAnswer([&](int aReplica, const ReplicaRequest& aRequest) {
    ++requestsAt.at(static_cast<std::size_t>(aReplica));
    const char* leaving = aReplica == 0 ? "Server-Leaving: 1\r\n" : "";
    return ReplicaAnswer{ { MakeAnswer(200, aRequest, "sound", leaving) } };
  });
  REQUIRE(WaitFor(kServeTime, [&] {
    this->Send("/safe/1");
    return requestsAt[0] > 0;
  }));
  int before = requestsAt[0];
  for (int i = 0; i < 60; ++i) {
    CHECK(this->Send(i % 2 == 0 ? "/safe/1" : "/once/1").status == 200);
  }
  CHECK(requestsAt[0] == before);
}

// Guards against requests to replicas that have said for how long they want
// none, and against callers that wait or come back at once meanwhile.
TEST_CASE_METHOD(ReplicaFaultsFixture,
                 "a replica that says Retry-After is left alone for that time",
                 "[retry-after]")
{
  using Clock = std::chrono::steady_clock;
  constexpr Duration kBlockTime = 2500ms;
  constexpr Duration kSlack = 500ms;
  std::mutex timesMutex;
  std::array<std::optional<Clock::time_point>, kReplicas> refusedAt;
  std::array<int, kReplicas> early{};
  this->SetAnswer([&](int aReplica, const ReplicaRequest& aRequest) {
    std::lock_guard lock(timesMutex);
    auto index = static_cast<std::size_t>(aReplica);
    auto now = Clock::now();
    if (refusedAt[index] && now >= *refusedAt[index] + kBlockTime) {
      return ReplicaAnswer{ { MakeAnswer(200, aRequest, "sound") } };
    }
    early[index] +=
      refusedAt[index] && now > *refusedAt[index] + kSlack ? 1 : 0;
    refusedAt[index] = refusedAt[index].value_or(now);
    return ReplicaAnswer{ { MakeAnswer(
      503, aRequest, "", "X-Not-Executed: 1\r\nRetry-After: 2.5\r\n") } };
  });
  auto start = Clock::now();
  int refused = 0;
  while (Clock::now() < start + kBlockTime - kSlack) {
    auto sentAt = Clock::now();
    auto reply = this->Send("/safe/1");
    REQUIRE(reply.status == 503);
    if (++refused > kReplicas) {
      CHECK(reply.headers.contains("Retry-After"));
      auto wait = std::stod(reply.headers["Retry-After"]);
      CHECK(wait > 0.3);
      CHECK(Clock::now() - sentAt < 500ms);
    }
    std::this_thread::sleep_for(20ms);
  }
  for (int count : early) {
    CHECK(count <= 2);
  }
  CHECK(WaitFor(5s, [this] { return this->Send("/safe/1").status == 200; }));
}

// Guards against times that do not reach the estimates: those of whole answers,
// and those of the first events of streams.
TEST_CASE_METHOD(ReplicaFaultsFixture,
                 "a router notices that a replica is slower than the others",
                 "[slow-replica]")
{
  constexpr std::int64_t kSlowPercent = 70;
  std::mutex idMutex;
  std::string slowId;
  int slow = 0;
  this->SetAnswer([&](int aReplica, const ReplicaRequest& aRequest) {
    bool isStream = aRequest.target.starts_with("/stream/");
    auto answer = isStream
                    ? MakeStream(aRequest)
                    : ReplicaAnswer{ { MakeAnswer(200, aRequest, "sound") } };
    std::lock_guard lock(idMutex);
    answer.pause = aReplica == slow ? 80ms : 10ms;
    if (aReplica == slow) {
      slowId = aRequest.Header("x-expect-instance");
    }
    return answer;
  });
  for (const char* target : { "/safe/1", "/stream/1" }) {
    CHECK(WaitFor(30s, [&] {
      for (int i = 0; i < 10; ++i) {
        this->Send(target);
      }
      std::lock_guard lock(idMutex);
      auto metric =
        "lycheestand_endpoint_speed_percent{endpoint=\"" + slowId + "\"}";
      auto speed = this->fleet.ReadMetric(kRouterNumber, false, metric.c_str());
      return !slowId.empty() && speed > 0 && speed < kSlowPercent;
    }));
    std::lock_guard lock(idMutex);
    slowId.clear();
    ++slow;
  }
}

// Guards against a stopping router that passes on a request which it can't
// finish, and cuts it at the end of its grace period.
TEST_CASE_METHOD(ReplicaFaultsFixture,
                 "a stopping router finishes each request that it passes on",
                 "[late-stop]")
{
  std::atomic<int> runs{ 0 };
  this->SetAnswer([&runs](int, const ReplicaRequest& aRequest) {
    ++runs;
    return ReplicaAnswer{ { MakeAnswer(200, aRequest, "whole") }, 2800ms };
  });
  std::atomic<int> whole{ 0 };
  std::atomic<int> refused{ 0 };
  std::vector<std::thread> callers;
  this->fleet.Machine(kRouterNumber).Signal(SIGTERM);
  auto stoppedAt = Clock::now();
  for (auto at = 100ms; at < 4500ms; at += 200ms) {
    callers.emplace_back([&, at] {
      std::this_thread::sleep_until(stoppedAt + at);
      auto reply = this->Send(at.count() % 400 == 100 ? "/once/1" : "/safe/1");
      whole += reply.status == 200 ? 1 : 0;
      refused += reply.status == 503 ? 1 : 0;
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  CAPTURE(refused.load());
  CHECK(runs == whole);
  CHECK(whole >= 10);
}

// Guards against a stopping router that closes a connection on which a request
// is still arriving.
TEST_CASE_METHOD(ReplicaFaultsFixture,
                 "a stopping router answers a request that arrives slowly",
                 "[late-body]")
{
  constexpr std::size_t kBodyBytes = 60'000;
  constexpr std::size_t kPieceBytes = 4'000;
  constexpr Duration kPiecePause = 100ms;
  // The router listens for longer, and closes unused connections then.
  constexpr Duration kLastStart = 4s;
  std::atomic<int> complete{ 0 };
  std::atomic<int> cut{ 0 };
  std::vector<std::thread> callers;
  this->fleet.Machine(kRouterNumber).Signal(SIGTERM);
  auto stoppedAt = Clock::now();
  for (Duration at = 0s; at < kLastStart; at += 50ms) {
    callers.emplace_back([&, at] {
      std::this_thread::sleep_until(stoppedAt + at);
      auto call = this->MakeCall("/safe/1");
      call.body.assign(kBodyBytes, 'x');
      call.pieceBytes = kPieceBytes;
      call.piecePause = kPiecePause;
      auto reply = this->Send(call);
      ++(reply.isComplete ? complete : cut);
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  CHECK(cut == 0);
  CHECK(complete > 0);
}

// Guards against a refusal that says "not run" after a second replica has been
// asked to take the stream over from a silent one, which then refuses it.
TEST_CASE_METHOD(ReplicaFaultsFixture,
                 "a late refusal does not end a stream that was taken over",
                 "[late-refusal]")
{
  // Longer than a router waits for the first replica.
  constexpr Duration kRefusalTime = 1900ms;
  constexpr Duration kTakeoverTime = 700ms;
  std::atomic<int> calls{ 0 };
  this->SetAnswer([&](int, const ReplicaRequest& aRequest) {
    bool isFirst = calls++ == 0;
    auto answer = isFirst ? ReplicaAnswer{ { MakeAnswer(
                              503, aRequest, "", "X-Not-Executed: 1\r\n") } }
                          : MakeStream(aRequest);
    answer.pause = isFirst ? kRefusalTime : kTakeoverTime;
    return answer;
  });
  auto reply = this->Send("/resumable/1");
  CAPTURE(calls.load());
  CHECK(reply.body.find(R"("ran":"not_run")") == std::string::npos);
  CHECK(reply.status == 200);
  CHECK(reply.isComplete);
  CHECK(reply.body == MakeEvent(1) + MakeEvent(2) + MakeEvent(3));
}

} // namespace lycheestand::faults
