// Promise 5: a call that must not be repeated runs at most once.

#include "fleet.h"

#include <catch2/catch.hpp>
#include <set>

namespace lycheestand::faults {

namespace {

std::string
ReadError(const Reply& aReply, const char* aMember)
{
  json::error_code error;
  auto value = json::parse(aReply.body, error);
  const auto* found =
    value.find_pointer(std::string("/error/") + aMember, error);
  return found != nullptr && found->is_string()
           ? std::string(found->get_string())
           : "";
}

// What callers were told of one key.
struct KeyRecord
{
  std::set<std::string> answers;
  bool saysNotRunLast = false;
};

// Checks each key against the services' counts: at most one execution and one
// answer, and none after a last word of not_run.
void
CheckExecutions(Fleet& aFleet, const std::map<std::string, KeyRecord>& aKeys)
{
  auto executions = aFleet.Executions();
  int duplicates = 0;
  int answers = 0;
  int differing = 0;
  int falseNotRun = 0;
  for (const auto& [key, record] : aKeys) {
    const auto* count = executions.if_contains(key);
    std::int64_t ran = count == nullptr ? 0 : count->as_int64();
    duplicates += ran > 1 ? 1 : 0;
    answers += record.answers.empty() ? 0 : 1;
    differing += record.answers.size() > 1 ? 1 : 0;
    falseNotRun += record.saysNotRunLast && ran > 0 ? 1 : 0;
  }
  aFleet.Figure("keys", static_cast<std::int64_t>(aKeys.size()));
  aFleet.Figure("answered", answers);
  aFleet.Figure("duplicates", duplicates);
  aFleet.Figure("differing_answers", differing);
  aFleet.Figure("false_not_run", falseNotRun);
  REQUIRE(answers > 0);
  REQUIRE(duplicates == 0);
  REQUIRE(differing == 0);
  REQUIRE(falseNotRun == 0);
}

void
Note(const Reply& aReply, KeyRecord& aRecord)
{
  if (aReply.status == 201) {
    aRecord.answers.insert(aReply.body);
  }
  aRecord.saysNotRunLast = ReadError(aReply, "ran") == "not_run";
}

// Callers that book each key until it is answered or its outcome unknown,
// at one router after the other.
class Bookers
{
public:
  Bookers(Fleet& aFleet, int aThreads, int aRacers)
    : fleet(aFleet)
  {
    for (int i = 0; i < aThreads; ++i) {
      this->threads.emplace_back([this, i, aRacers] { this->Run(i, aRacers); });
    }
  }

  ~Bookers() { this->Stop(); }

  std::map<std::string, KeyRecord> Stop()
  {
    this->isStopped = true;
    for (auto& thread : this->threads) {
      if (thread.joinable()) {
        thread.join();
      }
    }
    return this->keys;
  }

private:
  static constexpr int kAttempts = 8;

  // Racers of a group use the same keys.
  void Run(int aThread, int aRacers)
  {
    for (int i = 0; !this->isStopped; ++i) {
      std::string key =
        "key-" + std::to_string(aThread / aRacers) + "-" + std::to_string(i);
      for (int attempt = 0; attempt < kAttempts; ++attempt) {
        int router = (aThread + attempt) % this->fleet.Options().routers;
        Reply reply = this->fleet.Book(router, key, "{\"unit\":1}", 6s);
        {
          std::lock_guard lock(this->mutex);
          Note(reply, this->keys[key]);
        }
        if (reply.status == 201 ||
            ReadError(reply, "code") == "outcome_unknown") {
          break;
        }
        std::this_thread::sleep_for(100ms);
      }
    }
  }

  Fleet& fleet;
  std::atomic<bool> isStopped{ false };
  std::mutex mutex;
  std::map<std::string, KeyRecord> keys;
  std::vector<std::thread> threads;
};

} // namespace

// Guards against a booking that runs twice when routers die before or after
// the call and its caller retries at the other router.
TEST_CASE("a booking runs at most once when routers die", "[once-killed]")
{
  FleetOptions options;
  options.records = 2;
  options.engines = 0;
  options.recordsArguments = { "--delay-ms", "50" };
  Fleet fleet("once-killed", 31, options);
  Bookers bookers(fleet, 8, 1);
  for (int i = 0; i < 4; ++i) {
    std::this_thread::sleep_for(900ms);
    fleet.Router(i % 2).Kill();
    std::this_thread::sleep_for(300ms);
    fleet.Router(i % 2).Start();
    REQUIRE(fleet.WaitUntilReady(i % 2));
  }
  CheckExecutions(fleet, bookers.Stop());
}

// Guards against a booking that runs twice when callers race with the same key
// at two routers.
TEST_CASE("a booking runs at most once when callers race with its key",
          "[once-race]")
{
  FleetOptions options;
  options.records = 2;
  options.engines = 0;
  options.recordsArguments = { "--delay-ms", "20" };
  Fleet fleet("once-race", 32, options);
  Bookers bookers(fleet, 12, 4);
  std::this_thread::sleep_for(3s);
  CheckExecutions(fleet, bookers.Stop());
}

// Guards against a retry after the service ran the call and closed the
// connection without an answer.
TEST_CASE("a booking without an answer is unknown and never runs again",
          "[once-no-answer]")
{
  FleetOptions options;
  options.records = 1;
  options.engines = 0;
  options.recordsArguments = { "--fail-after-run", "1" };
  Fleet fleet("once-no-answer", 33, options);
  Reply first = fleet.Book(0, "key", "{}");
  REQUIRE(first.status == 504);
  REQUIRE(ReadError(first, "ran") == "unknown");
  for (int i = 0; i < 4; ++i) {
    Reply again = fleet.Book(i % 2, "key", "{}");
    REQUIRE(again.status == 409);
    REQUIRE(ReadError(again, "code") == "outcome_unknown");
  }
  auto executions = fleet.Executions();
  fleet.Figure("executions", executions["key"].as_int64());
  REQUIRE(executions["key"] == 1);
}

// Guards against a second run or another answer for a caller that lost the
// first one, and against a key that is used for two different calls.
TEST_CASE("a retry gets the first answer and another body is refused",
          "[once-retry]")
{
  FleetOptions options;
  options.records = 2;
  options.engines = 0;
  options.recordsArguments = { "--delay-ms", "500" };
  Fleet fleet("once-retry", 34, options);
  Reply lost = fleet.Book(0, "key", "{}", 200ms);
  REQUIRE(lost.isTimeout);
  Reply first;
  REQUIRE(WaitFor(10s, [&] {
    first = fleet.Book(1, "key", "{}");
    return first.status == 201;
  }));
  Reply second = fleet.Book(0, "key", "{}");
  REQUIRE(second.body == first.body);
  REQUIRE(second.headers["Idempotent-Replayed"] == "true");
  Reply other = fleet.Book(1, "key", "{\"unit\":2}");
  REQUIRE(other.status == 409);
  REQUIRE(ReadError(other, "code") == "idempotency_key_reused");
  REQUIRE(ReadError(other, "ran") == "not_run");
  auto executions = fleet.Executions();
  fleet.Figure("executions", executions["key"].as_int64());
  REQUIRE(executions["key"] == 1);
}

// Guards against an intent that stays in progress because its caller left
// before control had answered: every retry would be refused.
TEST_CASE("a booking whose caller left early can be retried", "[once-left]")
{
  FleetOptions options;
  options.records = 1;
  options.engines = 0;
  Fleet fleet("once-left", 36, options);
  fleet.FaultRouter(0, "block");
  Reply left = fleet.Book(0, "key", "{}", 400ms);
  REQUIRE(left.isTimeout);
  fleet.FaultRouter(0, "heal");
  Reply retried;
  REQUIRE(WaitFor(20s, [&] {
    retried = fleet.Book(1, "key", "{}");
    return retried.status == 201;
  }));
  auto executions = fleet.Executions();
  fleet.Figure("executions", executions["key"].as_int64());
  REQUIRE(executions["key"] == 1);
}

// Guards against a refusal that says not_run of a call that reached a service,
// when connections to services are cut, blocked or closed.
TEST_CASE("a booking refused as not_run has not run", "[once-cut]")
{
  FleetOptions options;
  options.records = 2;
  options.engines = 0;
  options.recordsArguments = { "--delay-ms", "100" };
  Fleet fleet("once-cut", 35, options);
  Bookers bookers(fleet, 6, 1);
  for (const char* fault : { "cut", "drop_backward", "cut", "block" }) {
    std::this_thread::sleep_for(500ms);
    fleet.Fault("s0", fault);
    std::this_thread::sleep_for(700ms);
    fleet.Fault("s0", "heal");
  }
  std::this_thread::sleep_for(500ms);
  CheckExecutions(fleet, bookers.Stop());
}

} // namespace lycheestand::faults
