// Engines of the project's own interface whose answers fail.

#include "fleet.h"
#include "replica_pool.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace lycheestand::faults {

namespace {

constexpr int kEngineCount = 3;
constexpr std::uint16_t kEnginePort = 8080;

// The events of an engine's answer: the prompt once more.
std::string
MakeChatEvents(const ReplicaRequest& aRequest)
{
  auto body = json::parse(aRequest.body).as_object();
  json::object chunk{
    { "choices",
      json::array{ json::object{
        { "delta", { { "content", body.at("messages").at(0).at("content") } } },
        { "finish_reason", "stop" } } } },
    { "usage", { { "prompt_tokens", 1 }, { "completion_tokens", 1 } } }
  };
  return "data: " + json::serialize(chunk) + "\n\ndata: [DONE]\n\n";
}

ReplicaAnswer
MakeChatAnswer(const ReplicaRequest& aRequest)
{
  return { { MakeAnswer(200, aRequest, MakeChatEvents(aRequest)) } };
}

// One control instance, one router, and engines that answer as a test says.
class EngineFaultsFixture
{
public:
  EngineFaultsFixture()
    : pool(this->EngineIps(),
           this->environment.MachineIp(120),
           "engines",
           2s,
           [this](int, const ReplicaRequest& aRequest) {
             std::lock_guard lock(this->mutex);
             return aRequest.method == "POST"
                      ? this->answer(aRequest)
                      : ReplicaAnswer{ { MakeAnswer(404, aRequest, "") } };
           })
    , fleet("engine-faults", 1, this->Options())
  {
  }

  // Sets how engines answer from now on.
  void SetAnswer(std::function<ReplicaAnswer(const ReplicaRequest&)> aAnswer)
  {
    std::lock_guard lock(this->mutex);
    this->answer = std::move(aAnswer);
  }

  Reply Chat(const std::string& aContent, Duration aDeadline)
  {
    Call call;
    call.method = "POST";
    call.target = "/v1/chat/completions";
    call.headers = {
      { "Authorization", "Bearer " + Fleet::CallerKey() },
      { "Content-Type", "application/json" },
      { "X-Deadline-Ms",
        std::to_string(
          std::chrono::duration_cast<Milliseconds>(aDeadline).count()) }
    };
    call.body = json::serialize(
      json::object{ { "model", "chat" },
                    { "messages",
                      json::array{ json::object{
                        { "role", "user" }, { "content", aContent } } } } });
    call.timeout = 2 * aDeadline;
    return Send(this->fleet.RouterAddress(0), call);
  }

private:
  std::vector<std::string> EngineIps() const
  {
    std::vector<std::string> ips;
    for (int i = 0; i < kEngineCount; ++i) {
      ips.push_back(this->environment.MachineIp(101 + i));
    }
    return ips;
  }

  FleetOptions Options() const
  {
    FleetOptions options;
    options.routers = 1;
    options.engines = 0;
    for (const auto& ip : this->EngineIps()) {
      options.outsideEngines.push_back({ ip, kEnginePort });
    }
    return options;
  }

  TestEnvironment environment;
  std::mutex mutex;
  std::function<ReplicaAnswer(const ReplicaRequest&)> answer = MakeChatAnswer;
  ReplicaPool pool;

protected:
  Fleet fleet;
};

std::string
FindState(const Reply& aReply)
{
  json::error_code error;
  auto body = json::parse(aReply.body, error);
  const auto* state = body.find_pointer("/error/ran", error);
  return state != nullptr ? std::string(state->as_string()) : "";
}

} // namespace

// Guards against an engine's answer that never ends: its caller would wait
// beyond the deadline, or its bytes fill the router's memory.
TEST_CASE_METHOD(EngineFaultsFixture,
                 "a chat whose answer never ends is given up at its deadline",
                 "[endless-chat]")
{
  this->SetAnswer([](const ReplicaRequest& aRequest) {
    for (bool isSlow : { false, true }) {
      auto answers = MakeEndlessAnswers(aRequest, isSlow ? 100ms : 0ms);
      for (const auto& [part, answer] : answers) {
        if (aRequest.body.find((isSlow ? "slow " : "fast ") + part) !=
            std::string::npos) {
          return answer;
        }
      }
    }
    return MakeChatAnswer(aRequest);
  });
  std::vector<std::string> contents;
  for (const auto& [part, answer] : MakeEndlessAnswers({}, 0ms)) {
    contents.push_back("slow " + part);
    contents.push_back("fast " + part);
  }
  std::vector<std::thread> callers;
  std::vector<std::pair<Reply, Duration>> replies(contents.size());
  for (std::size_t i = 0; i < contents.size(); ++i) {
    callers.emplace_back([this, i, &contents, &replies] {
      auto start = std::chrono::steady_clock::now();
      auto reply = this->Chat(contents[i], 3s);
      replies[i] = { std::move(reply),
                     std::chrono::steady_clock::now() - start };
    });
  }
  std::size_t maxMemory = 0;
  for (int i = 0; i < 20; ++i) {
    maxMemory = std::max(maxMemory, this->fleet.Router(0).ResidentBytes());
    std::this_thread::sleep_for(100ms);
  }
  for (auto& caller : callers) {
    caller.join();
  }
  // Half a second after the deadline, and as much for the threads of the test.
  constexpr Duration kLimit = 4s;
  for (std::size_t i = 0; i < contents.size(); ++i) {
    INFO(contents[i]);
    const auto& [reply, time] = replies[i];
    CAPTURE(reply.status, reply.body);
    CHECK(time < kLimit);
    CHECK(reply.status >= 500);
    CHECK(FindState(reply) == "unknown");
  }
  // A process of the fleet may use 128 MB.
  CAPTURE(maxMemory);
  CHECK(maxMemory < std::size_t(128'000'000));
  CHECK(WaitFor(10s, [this] { return this->Chat("sound", 3s).status == 200; }));
}

// Guards against an answer that is thrown away at the deadline, though its
// engine has begun it in time.
TEST_CASE_METHOD(EngineFaultsFixture,
                 "an answer that has begun is delivered after its deadline",
                 "[late-chat]")
{
  this->SetAnswer([](const ReplicaRequest& aRequest) {
    std::string answer = MakeChatEvents(aRequest);
    auto end = answer.find("data: [DONE]");
    return ReplicaAnswer{
      { MakeStreamHead(aRequest), answer.substr(0, end), answer.substr(end) },
      1100ms,
      ReplicaAnswer::End::Close
    };
  });
  auto reply = this->Chat("late prompt", 3s);
  CAPTURE(reply.body);
  CHECK(reply.status == 200);
  CHECK(reply.body.find("late prompt") != std::string::npos);
}

// Guards against a refusal that a faulty engine writes once more, and that is
// taken for the refusal of the next request, though that one runs.
TEST_CASE_METHOD(EngineFaultsFixture,
                 "a repeated refusal does not end the next chat",
                 "[repeated-refusal]")
{
  std::atomic<int> runs{ 0 };
  int requests = 0;
  this->SetAnswer([&](const ReplicaRequest& aRequest) {
    if (++requests % 2 == 0) {
      ++runs;
      return MakeChatAnswer(aRequest);
    }
    ReplicaAnswer refusal{ { MakeAnswer(503, aRequest, "") } };
    refusal.nextHead = refusal.pieces.front();
    return refusal;
  });
  for (int i = 0; i < 30; ++i) {
    std::string content = "prompt " + std::to_string(i);
    int runsBefore = runs;
    auto reply = this->Chat(content, 3s);
    CAPTURE(i, reply.body);
    if (reply.status == 200) {
      CHECK(reply.body.find(content) != std::string::npos);
    } else if (runs > runsBefore) {
      CHECK(FindState(reply) != "not_run");
    }
  }
}

} // namespace lycheestand::faults
