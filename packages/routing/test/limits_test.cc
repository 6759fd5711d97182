#include <catch2/catch.hpp>
#include <lycheestand/routing.h>

using namespace lycheestand;
using namespace lycheestand::routing;
using namespace std::chrono_literals;

namespace {

// An admission of one pool with room for four requests.
class AdmissionFixture
{
public:
  AdmissionFixture() { this->admission.SetCapacity("m", 4); }

  static Ask MakeAsk(std::uint64_t aRequest,
                     const char* aWorkspace,
                     unsigned aWeight = 1)
  {
    Ask ask;
    ask.request = RequestNumber(aRequest);
    ask.workspace = WorkspaceId(aWorkspace);
    ask.pool = "m";
    ask.weight = aWeight;
    return ask;
  }

  std::optional<AdmissionDecision> Admit(const Ask& aAsk)
  {
    return this->admission.Admit(aAsk, this->now);
  }

  // Fills the pool with requests of one workspace, numbered from 1.
  void Fill(const char* aWorkspace)
  {
    for (std::uint64_t i = 1; i <= 4; ++i) {
      REQUIRE_FALSE(this->Admit(MakeAsk(i, aWorkspace))->refusal);
    }
  }

  // Ends a request and returns the one that takes its turn.
  std::uint64_t TurnAfter(std::uint64_t aRequest)
  {
    this->admission.Release(RequestNumber(aRequest), this->now);
    auto decided = this->admission.Poll(this->now);
    REQUIRE(decided.size() == 1);
    REQUIRE_FALSE(decided[0].refusal);
    return decided[0].request.Get();
  }

  TimePoint now = TimePoint(1000s);
  Admission admission;
};

} // namespace

// Guards against a large workspace that keeps all turns while a small one
// waits.
TEST_CASE_METHOD(AdmissionFixture, "Idle room is lent and given back by weight")
{
  this->Fill("large");
  REQUIRE_FALSE(this->Admit(MakeAsk(5, "large")));
  REQUIRE_FALSE(this->Admit(MakeAsk(6, "small")));
  REQUIRE_FALSE(this->Admit(MakeAsk(7, "heavy", 4)));
  REQUIRE_FALSE(this->Admit(MakeAsk(8, "heavy", 4)));
  REQUIRE(this->TurnAfter(1) == 7);
  REQUIRE(this->TurnAfter(2) == 8);
  REQUIRE(this->TurnAfter(3) == 6);
  REQUIRE(this->TurnAfter(4) == 5);
}

// Guards against people who wait behind summaries, and against summaries that
// never get a turn.
TEST_CASE_METHOD(AdmissionFixture, "Interactive requests go first, not always")
{
  this->Fill("a");
  Ask batch = MakeAsk(5, "a");
  batch.priority = Priority::Batch;
  this->Admit(batch);
  for (std::uint64_t i = 6; i < 20; ++i) {
    this->Admit(MakeAsk(i, "a"));
  }
  std::vector<std::uint64_t> turns;
  for (std::uint64_t i : { 1, 2, 3, 4, 6, 7, 8, 9 }) {
    turns.push_back(this->TurnAfter(i));
  }
  REQUIRE(turns.front() == 6);
  REQUIRE(turns.back() == 5);
}

// Guards against work for a caller who has given up by the time of its turn.
TEST_CASE_METHOD(AdmissionFixture, "What can't begin in time is refused early")
{
  this->Fill("a");
  this->now += 10s;
  for (std::uint64_t i = 1; i <= 4; ++i) {
    this->admission.Release(RequestNumber(i), this->now);
  }
  this->Fill("a");
  Ask ask = MakeAsk(5, "b");
  ask.deadline = this->now + 50ms;
  REQUIRE(this->Admit(ask)->refusal == AdmissionRefusal::Deadline);
  ask.deadline = this->now + 500ms;
  REQUIRE_FALSE(this->Admit(ask));
  this->now += 500ms;
  REQUIRE(this->admission.Poll(this->now)[0].refusal ==
          AdmissionRefusal::Deadline);
}

// Guards against queues and waits without a bound.
TEST_CASE_METHOD(AdmissionFixture, "Queues and waits are bounded")
{
  this->admission.SetOptions({ .maxWait = 1s, .maxQueued = 2 });
  this->Fill("a");
  Ask batch = MakeAsk(5, "a");
  batch.priority = Priority::Batch;
  REQUIRE_FALSE(this->Admit(batch));
  REQUIRE_FALSE(this->Admit(MakeAsk(6, "a")));
  REQUIRE_FALSE(this->Admit(MakeAsk(7, "a")));
  REQUIRE(this->Admit(MakeAsk(8, "a"))->refusal ==
          AdmissionRefusal::Overloaded);
  // The batch request made room for an interactive one.
  REQUIRE(this->admission.Poll(this->now)[0].request == RequestNumber(5));
  this->now += 1s;
  REQUIRE(this->admission.Poll(this->now).size() == 2);
  REQUIRE(this->admission.Queued() == 0);
}

// Guards against limits that leak when callers leave, queued or not.
TEST_CASE_METHOD(AdmissionFixture, "A workspace's limit counts what it holds")
{
  this->Fill("a");
  Ask ask = MakeAsk(5, "b");
  ask.workspaceLimit = 1;
  REQUIRE_FALSE(this->Admit(ask));
  ask.request = RequestNumber(6);
  REQUIRE(this->Admit(ask)->refusal == AdmissionRefusal::WorkspaceLimit);
  this->admission.Release(RequestNumber(5), this->now);
  REQUIRE_FALSE(this->Admit(ask));
  REQUIRE(this->TurnAfter(1) == 6);
  this->admission.Release(RequestNumber(6), this->now);
  REQUIRE(this->admission.InFlight(WorkspaceId("b")) == 0);
}

// Guards against a site that uses its workspace's whole limit.
TEST_CASE_METHOD(AdmissionFixture, "A site's limit holds within its workspace")
{
  Ask ask = MakeAsk(1, "a");
  ask.siteLimit = 1;
  REQUIRE_FALSE(this->Admit(ask)->refusal);
  ask.request = RequestNumber(2);
  REQUIRE(this->Admit(ask)->refusal == AdmissionRefusal::WorkspaceLimit);
  ask.site = SiteId("other");
  REQUIRE_FALSE(this->Admit(ask)->refusal);
}

// Guards against a breaker that flaps, or lets all requests try a sick
// endpoint at once.
TEST_CASE("A breaker opens on failures and closes on successful probes")
{
  TimePoint now(1000s);
  CircuitBreaker breaker;
  for (int i = 0; i < 5; ++i) {
    REQUIRE(breaker.Allows(now));
    breaker.Begin(now);
    breaker.Fail(now);
  }
  REQUIRE_FALSE(breaker.Allows(now));
  now += 1s;
  REQUIRE(breaker.Allows(now));
  breaker.Begin(now);
  REQUIRE_FALSE(breaker.Allows(now));
  breaker.Fail(now);
  // The second time lasts twice as long.
  now += 1s;
  REQUIRE(breaker.GetState(now) == CircuitBreaker::State::Open);
  now += 1s;
  for (int i = 0; i < 3; ++i) {
    REQUIRE(breaker.GetState(now) == CircuitBreaker::State::HalfOpen);
    breaker.Begin(now);
    breaker.Succeed(now);
  }
  REQUIRE(breaker.GetState(now) == CircuitBreaker::State::Closed);
}

// Guards against a probe that blocks the breaker when its caller leaves.
TEST_CASE("An abandoned probe makes room for another")
{
  TimePoint now(1000s);
  CircuitBreaker breaker({ .failuresToOpen = 1 });
  breaker.Begin(now);
  breaker.Fail(now);
  now += 1s;
  breaker.Begin(now);
  REQUIRE_FALSE(breaker.Allows(now));
  breaker.Abandon();
  REQUIRE(breaker.Allows(now));
}

// Guards against retries that multiply the load of a failing fleet.
TEST_CASE("Retries are a share of requests")
{
  RetryBudget budget(0.1, 2);
  REQUIRE(budget.TakeRetry());
  REQUIRE(budget.TakeRetry());
  REQUIRE_FALSE(budget.TakeRetry());
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.NoteRequest();
    retries += budget.TakeRetry() ? 1 : 0;
  }
  REQUIRE(retries >= 99);
  REQUIRE(retries <= 100);
}

// Guards against retries that come at once or all at the same time.
TEST_CASE("Backoff doubles up to a bound and is jittered")
{
  auto least = [](std::uint64_t) { return std::uint64_t(0); };
  auto most = [](std::uint64_t aBound) { return aBound - 1; };
  REQUIRE(Backoff(1, least) == 12500us);
  REQUIRE(Backoff(1, most) == 25ms);
  REQUIRE(Backoff(2, most) == 50ms);
  REQUIRE(Backoff(100, most) == 800ms);
}
