// Guarantee 5 (docs/design.md, section 1): a non-idempotent call runs at most
// once.

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

// Replies that callers received for one idempotency key.
struct KeyRecord
{
  std::set<std::string> answers;
  bool isLastReplyNotRun = false;
};

// Checks each key against the services' counts: at most one execution, one
// distinct answer, and no execution if the last reply stated not_run.
void
CheckExecutions(Fleet& aFleet, const std::map<std::string, KeyRecord>& aKeys)
{
  auto executions = aFleet.ExecutionCounts();
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
    falseNotRun += record.isLastReplyNotRun && ran > 0 ? 1 : 0;
  }
  aFleet.AddReportValue("keys", static_cast<std::int64_t>(aKeys.size()));
  aFleet.AddReportValue("answered", answers);
  aFleet.AddReportValue("duplicates", duplicates);
  aFleet.AddReportValue("differing_answers", differing);
  aFleet.AddReportValue("false_not_run", falseNotRun);
  REQUIRE(answers > 0);
  REQUIRE(duplicates == 0);
  REQUIRE(differing == 0);
  REQUIRE(falseNotRun == 0);
}

void
RecordReply(const Reply& aReply, KeyRecord& aRecord)
{
  if (aReply.status == 201) {
    aRecord.answers.insert(aReply.body);
  }
  aRecord.isLastReplyNotRun = ReadError(aReply, "ran") == "not_run";
}

// Clients that send a booking for one key after another. Each booking is
// retried at alternating routers until it is answered or its outcome is
// unknown.
class BookingClients
{
public:
  BookingClients(Fleet& aFleet, int aThreads, int aClientsPerKey)
    : fleet(aFleet)
  {
    for (int i = 0; i < aThreads; ++i) {
      this->threads.emplace_back(
        [this, i, aClientsPerKey] { this->Run(i, aClientsPerKey); });
    }
  }

  ~BookingClients() { this->Stop(); }

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
  static constexpr int kMaxAttempts = 8;

  // Threads of a group of aClientsPerKey use the same keys concurrently.
  void Run(int aThread, int aClientsPerKey)
  {
    for (int i = 0; !this->isStopped; ++i) {
      std::string key = "key-" + std::to_string(aThread / aClientsPerKey) +
                        "-" + std::to_string(i);
      for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
        int router = (aThread + attempt) % this->fleet.Options().routers;
        Reply reply = this->fleet.PostBooking(router, key, "{\"unit\":1}", 6s);
        {
          std::lock_guard lock(this->mutex);
          RecordReply(reply, this->keys[key]);
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

// Guards against a booking that runs twice when a router is killed before or
// after the call and the caller retries at the other router.
TEST_CASE("a booking runs at most once when routers are killed",
          "[once-killed]")
{
  FleetOptions options;
  options.records = 2;
  options.engines = 0;
  options.recordsArguments = { "--delay-ms", "50" };
  Fleet fleet("once-killed", 31, options);
  BookingClients clients(fleet, 8, 1);
  for (int i = 0; i < 4; ++i) {
    std::this_thread::sleep_for(900ms);
    fleet.Router(i % 2).Kill();
    std::this_thread::sleep_for(300ms);
    fleet.Router(i % 2).Start();
    REQUIRE(fleet.WaitUntilReady(i % 2));
  }
  CheckExecutions(fleet, clients.Stop());
}

// Guards against a booking that runs twice when callers send the same key to
// two routers concurrently.
TEST_CASE("a booking runs at most once when callers race with its key",
          "[once-race]")
{
  FleetOptions options;
  options.records = 2;
  options.engines = 0;
  options.recordsArguments = { "--delay-ms", "20" };
  Fleet fleet("once-race", 32, options);
  BookingClients clients(fleet, 12, 4);
  std::this_thread::sleep_for(3s);
  CheckExecutions(fleet, clients.Stop());
}

// Guards against a retry of a call that the service ran before it closed the
// connection without an answer.
TEST_CASE("a booking without an answer has an unknown outcome and never reruns",
          "[once-no-answer]")
{
  FleetOptions options;
  options.records = 1;
  options.engines = 0;
  options.recordsArguments = { "--fail-after-run", "1" };
  Fleet fleet("once-no-answer", 33, options);
  Reply first = fleet.PostBooking(0, "key", "{}");
  REQUIRE(first.status == 504);
  REQUIRE(ReadError(first, "ran") == "unknown");
  for (int i = 0; i < 4; ++i) {
    Reply again = fleet.PostBooking(i % 2, "key", "{}");
    REQUIRE(again.status == 409);
    REQUIRE(ReadError(again, "code") == "outcome_unknown");
  }
  auto executions = fleet.ExecutionCounts();
  fleet.AddReportValue("executions", executions["key"].as_int64());
  REQUIRE(executions["key"] == 1);
}

// Guards against a second run or a different answer when a caller retries after
// it lost the first answer, and against one key used for two different calls.
TEST_CASE("a retry gets the first answer and another body is refused",
          "[once-retry]")
{
  FleetOptions options;
  options.records = 2;
  options.engines = 0;
  options.recordsArguments = { "--delay-ms", "500" };
  Fleet fleet("once-retry", 34, options);
  Reply lost = fleet.PostBooking(0, "key", "{}", 200ms);
  REQUIRE(lost.isTimeout);
  Reply first;
  REQUIRE(WaitFor(10s, [&] {
    first = fleet.PostBooking(1, "key", "{}");
    return first.status == 201;
  }));
  Reply second = fleet.PostBooking(0, "key", "{}");
  REQUIRE(second.body == first.body);
  REQUIRE(second.headers["Idempotent-Replayed"] == "true");
  Reply other = fleet.PostBooking(1, "key", "{\"unit\":2}");
  REQUIRE(other.status == 409);
  REQUIRE(ReadError(other, "code") == "idempotency_key_reused");
  REQUIRE(ReadError(other, "ran") == "not_run");
  auto executions = fleet.ExecutionCounts();
  fleet.AddReportValue("executions", executions["key"].as_int64());
  REQUIRE(executions["key"] == 1);
}

// Guards against an operation that stays in progress forever because its caller
// disconnected before control answered; every retry would then be refused.
TEST_CASE("a booking whose caller disconnected early can be retried",
          "[once-left]")
{
  FleetOptions options;
  options.records = 1;
  options.engines = 0;
  Fleet fleet("once-left", 36, options);
  fleet.SetRouterFault(0, "block");
  Reply left = fleet.PostBooking(0, "key", "{}", 400ms);
  REQUIRE(left.isTimeout);
  fleet.SetRouterFault(0, "heal");
  Reply retried;
  REQUIRE(WaitFor(20s, [&] {
    retried = fleet.PostBooking(1, "key", "{}");
    return retried.status == 201;
  }));
  auto executions = fleet.ExecutionCounts();
  fleet.AddReportValue("executions", executions["key"].as_int64());
  REQUIRE(executions["key"] == 1);
}

// Guards against a refusal that states not_run for a call that reached a
// service, while connections to the service are closed or blocked.
TEST_CASE("a booking refused as not_run has not run", "[once-cut]")
{
  FleetOptions options;
  options.records = 2;
  options.engines = 0;
  options.recordsArguments = { "--delay-ms", "100" };
  Fleet fleet("once-cut", 35, options);
  BookingClients clients(fleet, 6, 1);
  for (const char* fault : { "cut", "drop_backward", "cut", "block" }) {
    std::this_thread::sleep_for(500ms);
    fleet.SetFault("s0", fault);
    std::this_thread::sleep_for(700ms);
    fleet.SetFault("s0", "heal");
  }
  std::this_thread::sleep_for(500ms);
  CheckExecutions(fleet, clients.Stop());
}

} // namespace lycheestand::faults
