#include <catch2/catch.hpp>
#include <lycheestand/routing.h>

using namespace lycheestand;
using namespace lycheestand::routing;
using namespace std::chrono_literals;

namespace {

// An Admission with one pool with a capacity of four requests.
class AdmissionFixture
{
public:
  AdmissionFixture() { this->admission.SetCapacity("m", 4); }

  static AdmissionRequest MakeRequest(std::uint64_t aRequest,
                                      const char* aWorkspace,
                                      unsigned aWeight = 1)
  {
    AdmissionRequest request;
    request.request = RequestNumber(aRequest);
    request.workspace = WorkspaceId(aWorkspace);
    request.pool = "m";
    request.weight = aWeight;
    return request;
  }

  std::optional<AdmissionDecision> Admit(const AdmissionRequest& aRequest)
  {
    return this->admission.Admit(aRequest, this->now);
  }

  // Fills the pool with requests 1 to 4 of one workspace.
  void Fill(const char* aWorkspace)
  {
    for (std::uint64_t i = 1; i <= 4; ++i) {
      REQUIRE_FALSE(this->Admit(MakeRequest(i, aWorkspace))->refusal);
    }
  }

  // Ends a request and returns the one that is admitted in its place.
  std::uint64_t ReleaseAndAdmitNext(std::uint64_t aRequest)
  {
    this->admission.Release(RequestNumber(aRequest), this->now);
    auto decisions = this->admission.Poll(this->now);
    REQUIRE(decisions.size() == 1);
    REQUIRE_FALSE(decisions[0].refusal);
    return decisions[0].request.Get();
  }

  TimePoint now = TimePoint(1000s);
  Admission admission;
};

} // namespace

// Guards against a workspace that uses all capacity while requests of others
// are queued.
TEST_CASE_METHOD(
  AdmissionFixture,
  "Queued requests are admitted by the weight of their workspace")
{
  this->Fill("large");
  REQUIRE_FALSE(this->Admit(MakeRequest(5, "large")));
  REQUIRE_FALSE(this->Admit(MakeRequest(6, "small")));
  REQUIRE_FALSE(this->Admit(MakeRequest(7, "heavy", 4)));
  REQUIRE_FALSE(this->Admit(MakeRequest(8, "heavy", 4)));
  REQUIRE(this->ReleaseAndAdmitNext(1) == 7);
  REQUIRE(this->ReleaseAndAdmitNext(2) == 8);
  REQUIRE(this->ReleaseAndAdmitNext(3) == 6);
  REQUIRE(this->ReleaseAndAdmitNext(4) == 5);
}

// Guards against interactive requests queued behind batch requests, and against
// starvation of batch requests.
TEST_CASE_METHOD(
  AdmissionFixture,
  "Interactive requests go first without starving batch requests")
{
  this->Fill("a");
  AdmissionRequest batch = MakeRequest(5, "a");
  batch.priority = Priority::Batch;
  this->Admit(batch);
  for (std::uint64_t i = 6; i < 20; ++i) {
    this->Admit(MakeRequest(i, "a"));
  }
  std::vector<std::uint64_t> turns;
  for (std::uint64_t i : { 1, 2, 3, 4, 6, 7, 8, 9 }) {
    turns.push_back(this->ReleaseAndAdmitNext(i));
  }
  REQUIRE(turns.front() == 6);
  REQUIRE(turns.back() == 5);
}

// Guards against queuing a request that can only be admitted after its
// deadline.
TEST_CASE_METHOD(AdmissionFixture,
                 "A request that would miss its deadline is refused early")
{
  this->Fill("a");
  this->now += 10s;
  for (std::uint64_t i = 1; i <= 4; ++i) {
    this->admission.Release(RequestNumber(i), this->now);
  }
  this->Fill("a");
  AdmissionRequest request = MakeRequest(5, "b");
  request.deadline = this->now + 50ms;
  REQUIRE(this->Admit(request)->refusal == AdmissionRefusal::Deadline);
  request.deadline = this->now + 500ms;
  REQUIRE_FALSE(this->Admit(request));
  this->now += 500ms;
  REQUIRE(this->admission.Poll(this->now)[0].refusal ==
          AdmissionRefusal::Deadline);
}

// Guards against unbounded queues and waiting times.
TEST_CASE_METHOD(AdmissionFixture,
                 "Queue lengths and waiting times are bounded")
{
  this->admission.SetOptions({ .maxWait = 1s, .maxQueued = 2 });
  this->Fill("a");
  AdmissionRequest batch = MakeRequest(5, "a");
  batch.priority = Priority::Batch;
  REQUIRE_FALSE(this->Admit(batch));
  REQUIRE_FALSE(this->Admit(MakeRequest(6, "a")));
  REQUIRE_FALSE(this->Admit(MakeRequest(7, "a")));
  REQUIRE(this->Admit(MakeRequest(8, "a"))->refusal ==
          AdmissionRefusal::Overloaded);
  // The batch request was evicted for an interactive one.
  REQUIRE(this->admission.Poll(this->now)[0].request == RequestNumber(5));
  this->now += 1s;
  REQUIRE(this->admission.Poll(this->now).size() == 2);
  REQUIRE(this->admission.Queued() == 0);
}

// Guards against requests that still count towards the limit after they are
// released, in flight or queued.
TEST_CASE_METHOD(AdmissionFixture,
                 "A workspace's limit counts its current requests")
{
  this->Fill("a");
  AdmissionRequest request = MakeRequest(5, "b");
  request.workspaceLimit = 1;
  REQUIRE_FALSE(this->Admit(request));
  request.request = RequestNumber(6);
  REQUIRE(this->Admit(request)->refusal == AdmissionRefusal::WorkspaceLimit);
  this->admission.Release(RequestNumber(5), this->now);
  REQUIRE_FALSE(this->Admit(request));
  REQUIRE(this->ReleaseAndAdmitNext(1) == 6);
  this->admission.Release(RequestNumber(6), this->now);
  REQUIRE(this->admission.InFlightOrQueued(WorkspaceId("b")) == 0);
}

// Guards against a site that uses up the limit of its workspace.
TEST_CASE_METHOD(AdmissionFixture,
                 "A site's limit is enforced within its workspace")
{
  AdmissionRequest request = MakeRequest(1, "a");
  request.siteLimit = 1;
  REQUIRE_FALSE(this->Admit(request)->refusal);
  request.request = RequestNumber(2);
  REQUIRE(this->Admit(request)->refusal == AdmissionRefusal::WorkspaceLimit);
  request.site = SiteId("other");
  REQUIRE_FALSE(this->Admit(request)->refusal);
}

// Guards against a breaker that flaps, or sends all requests to a failing
// endpoint as probes at once.
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
  // The breaker stays open twice as long after the failed probe.
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

// Guards against an abandoned probe that keeps the breaker half-open forever.
TEST_CASE("An abandoned probe allows another one")
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
TEST_CASE("Retries are limited to a fraction of requests")
{
  RetryBudget budget(0.1, 2);
  REQUIRE(budget.TryAcquireRetry());
  REQUIRE(budget.TryAcquireRetry());
  REQUIRE_FALSE(budget.TryAcquireRetry());
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.RecordRequest();
    retries += budget.TryAcquireRetry() ? 1 : 0;
  }
  REQUIRE(retries >= 99);
  REQUIRE(retries <= 100);
}

// Guards against retries without a delay, or of many requests at the same time.
TEST_CASE("Backoff doubles up to a bound and is jittered")
{
  auto least = [](std::uint64_t) { return std::uint64_t(0); };
  auto most = [](std::uint64_t aBound) { return aBound - 1; };
  REQUIRE(Backoff(1, least) == 12500us);
  REQUIRE(Backoff(1, most) == 25ms);
  REQUIRE(Backoff(2, most) == 50ms);
  REQUIRE(Backoff(100, most) == 800ms);
}
