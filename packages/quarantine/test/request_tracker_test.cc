#include <catch2/catch.hpp>
#include <lycheestand/quarantine.h>
#include <string>

using namespace lycheestand;
using namespace lycheestand::quarantine;
using namespace std::chrono_literals;

namespace {

const RequestDigest kDeadlyRequest{ 9 };
const RequestDigest kOtherRequest{ 8 };
const RequestDigest kSoundRequest{ 1 };

class RequestTrackerFixture
{
public:
  // Another endpoint crashes while it works on these requests.
  void Crash(const std::vector<RequestDigest>& aDigests)
  {
    this->tracker.AddCrash(
      EndpointId("e" + std::to_string(++this->endpoints)), aDigests, this->now);
  }

  void Advance(Duration aTime)
  {
    this->now += aTime;
    this->tracker.Update(this->now);
  }

  RequestVerdict Verdict(RequestDigest aDigest) const
  {
    return Judge(this->tracker.StateOf(aDigest));
  }

  // Returns the sound and the other request, the one on trial first.
  std::pair<RequestDigest, RequestDigest> OrderByTrial() const
  {
    return this->Verdict(kSoundRequest) == RequestVerdict::OneAttempt
             ? std::pair(kSoundRequest, kOtherRequest)
             : std::pair(kOtherRequest, kSoundRequest);
  }

  // Returns the reason of the only release among the latest decisions.
  ReleaseReason TakeRelease()
  {
    std::vector<ReleaseReason> reasons;
    for (const auto& decision : this->tracker.TakeDecisions()) {
      if (!decision.state) {
        reasons.push_back(decision.reason);
      }
    }
    REQUIRE(reasons.size() == 1);
    return reasons.front();
  }

  RequestTracker tracker;
  TimePoint now{ 1h };
  int endpoints = 0;
};

} // namespace

// Guards against a request that crashes one endpoint after the other, or
// several at the same moment.
TEST_CASE_METHOD(RequestTrackerFixture,
                 "A request is held after two crashes, quarantined after three")
{
  Duration interval = GENERATE(0ms, 30ms, 5s);
  this->Crash({ kDeadlyRequest });
  CHECK(this->Verdict(kDeadlyRequest) == RequestVerdict::Accepted);
  CHECK(this->tracker.Lists().suspects == std::set{ kDeadlyRequest });
  this->Advance(interval);
  this->Crash({ kDeadlyRequest });
  // It is tried, since no other request is held.
  CHECK(this->Verdict(kDeadlyRequest) == RequestVerdict::OneAttempt);
  this->Advance(interval);
  this->Crash({ kDeadlyRequest });
  CHECK(this->Verdict(kDeadlyRequest) == RequestVerdict::Quarantined);
  auto decisions = this->tracker.TakeDecisions();
  REQUIRE(decisions.size() == 2);
  CHECK(decisions[0].state == RequestState::Held);
  CHECK(decisions[1].state == RequestState::Quarantined);
  CHECK(decisions[1].crashes == 3);
  CHECK(this->tracker.HasUrgentChange());
}

// Guards against one crash that counts several times, since several routers
// report it.
TEST_CASE_METHOD(RequestTrackerFixture,
                 "Reports of one endpoint within a second are one crash")
{
  for (int i = 0; i < 5; ++i) {
    this->tracker.AddCrash(
      EndpointId("e"), { kSoundRequest }, this->now - 50ms * (i % 2));
    this->Advance(100ms);
  }
  CHECK(this->Verdict(kSoundRequest) == RequestVerdict::Accepted);
  // The endpoint has started again under its id.
  this->Advance(3s);
  this->tracker.AddCrash(EndpointId("e"), { kSoundRequest }, this->now);
  CHECK(this->tracker.StateOf(kSoundRequest) == RequestState::OnTrial);
}

// Guards against refusals of sound requests that were at endpoints which others
// crashed.
TEST_CASE_METHOD(RequestTrackerFixture, "A success clears a request")
{
  this->Crash({ kSoundRequest });
  this->Crash({ kSoundRequest });
  this->Advance(100ms);
  this->tracker.AddSuccess(kSoundRequest, this->now);
  CHECK(this->TakeRelease() == ReleaseReason::Succeeded);
  // A report of an earlier crash arrives late.
  this->tracker.AddCrash(
    EndpointId("late"), { kSoundRequest }, this->now - 50ms);
  CHECK_FALSE(this->tracker.StateOf(kSoundRequest));
  this->Advance(1s);
  this->Crash({ kSoundRequest });
  CHECK(this->Verdict(kSoundRequest) == RequestVerdict::Accepted);
}

// Guards against refusals after a failure that has nothing to do with requests.
TEST_CASE_METHOD(RequestTrackerFixture, "A mass crash holds nothing")
{
  for (std::uint64_t i = 0; i < 90; ++i) {
    this->Crash({ RequestDigest(2 * i + 100), RequestDigest(2 * i + 101) });
    this->now += 1ms;
  }
  CHECK(this->tracker.Lists().entries.empty());
  CHECK(this->tracker.TakeDecisions().empty());
}

// Guards against a sound request that stays refused after the deadly one beside
// it was found.
TEST_CASE_METHOD(RequestTrackerFixture,
                 "A held request is cleared if a quarantined one explains it")
{
  this->Crash({ kDeadlyRequest, kSoundRequest });
  this->Crash({ kDeadlyRequest, kSoundRequest });
  // Only one of the two may run at a time.
  CHECK((this->Verdict(kDeadlyRequest) == RequestVerdict::Held) !=
        (this->Verdict(kSoundRequest) == RequestVerdict::Held));
  auto last = this->now;
  this->Crash({ kDeadlyRequest });
  CHECK(this->Verdict(kDeadlyRequest) == RequestVerdict::Held);
  this->Advance(200ms);
  // A report of the sound request may be missing.
  CHECK(this->Verdict(kDeadlyRequest) != RequestVerdict::Quarantined);
  this->Crash({ kDeadlyRequest });
  this->Advance(200ms);
  CHECK(this->Verdict(kDeadlyRequest) == RequestVerdict::Quarantined);
  CHECK(this->Verdict(kSoundRequest) == RequestVerdict::Accepted);
  CHECK(this->TakeRelease() == ReleaseReason::Explained);
  // Another router reports the first crashes late.
  this->tracker.AddCrash(EndpointId("e1"), { kSoundRequest }, last);
  this->tracker.AddCrash(EndpointId("e2"), { kSoundRequest }, last);
  CHECK(this->Verdict(kSoundRequest) == RequestVerdict::Accepted);
}

// Guards against a sound request that is quarantined in place of the deadly
// one, since it was at the same crashes and was reported first.
TEST_CASE_METHOD(RequestTrackerFixture,
                 "Requests at the same three crashes are told apart by trials")
{
  bool isDeadlyTried = GENERATE(true, false);
  for (int i = 0; i < 3; ++i) {
    this->Crash({ kSoundRequest });
    // The same endpoint.
    this->tracker.AddCrash(EndpointId("e" + std::to_string(this->endpoints)),
                           { kDeadlyRequest },
                           this->now + 2ms);
    this->Advance(10ms);
    CHECK(this->Verdict(kSoundRequest) != RequestVerdict::Quarantined);
    CHECK(this->Verdict(kDeadlyRequest) != RequestVerdict::Quarantined);
  }
  // Neither runs while reports of the last crash may arrive.
  CHECK(this->Verdict(kSoundRequest) == RequestVerdict::Held);
  CHECK(this->Verdict(kDeadlyRequest) == RequestVerdict::Held);
  auto tried = isDeadlyTried ? kDeadlyRequest : kSoundRequest;
  for (int i = 0; i < 50 && this->Verdict(tried) == RequestVerdict::Held; ++i) {
    this->Advance(100ms);
  }
  REQUIRE(this->Verdict(tried) == RequestVerdict::OneAttempt);
  if (isDeadlyTried) {
    this->Crash({ kDeadlyRequest });
  } else {
    this->tracker.AddSuccess(kSoundRequest, this->now);
  }
  this->Advance(200ms);
  CHECK(this->Verdict(kDeadlyRequest) == RequestVerdict::Quarantined);
  CHECK(this->Verdict(kSoundRequest) == RequestVerdict::Accepted);
}

// Guards against refusals of all sound requests at endpoints that run many,
// when these crash for another reason than one request.
TEST_CASE_METHOD(RequestTrackerFixture, "Few of many requests are held")
{
  constexpr std::size_t kRequests = 40;
  std::vector<RequestDigest> all;
  for (std::uint64_t i = 0; i < kRequests; ++i) {
    all.emplace_back(i + 100);
  }
  for (int i = 0; i < 3; ++i) {
    this->Crash(all);
    this->Advance(300ms);
  }
  std::size_t refused = 0;
  for (auto digest : all) {
    refused += this->Verdict(digest) == RequestVerdict::Accepted ? 0 : 1;
  }
  CHECK(refused == RequestTrackerOptions().maxHeld);
  // The deadly one of them is found when the others have succeeded.
  for (std::size_t i = 1; i < kRequests; ++i) {
    this->tracker.AddSuccess(all[i], this->now);
  }
  this->Advance(100ms);
  CHECK(this->Verdict(all[0]) == RequestVerdict::Quarantined);
}

// Guards against a request that crashes one endpoint after the other, since
// sound ones at its first crashes take all places of held requests.
TEST_CASE_METHOD(RequestTrackerFixture,
                 "A request at more crashes takes the place of a held one")
{
  std::vector<RequestDigest> all;
  for (std::uint64_t i = 1; i <= RequestTrackerOptions().maxHeld; ++i) {
    all.emplace_back(i);
  }
  all.push_back(kDeadlyRequest);
  this->Crash(all);
  this->Crash(all);
  REQUIRE(this->Verdict(kDeadlyRequest) == RequestVerdict::Accepted);
  this->tracker.TakeDecisions();
  this->Crash({ kDeadlyRequest });
  CHECK(this->Verdict(kDeadlyRequest) == RequestVerdict::Held);
  CHECK(this->TakeRelease() == ReleaseReason::Displaced);
  // One with as many crashes stays.
  this->Crash(all);
  this->tracker.TakeDecisions();
  this->Crash({ kOtherRequest });
  this->Crash({ kOtherRequest });
  CHECK(this->Verdict(kOtherRequest) == RequestVerdict::Accepted);
  CHECK(this->Verdict(kDeadlyRequest) != RequestVerdict::Accepted);
}

// Guards against a held request that is never tried because another one is.
TEST_CASE_METHOD(RequestTrackerFixture, "Held requests are tried in turn")
{
  const std::vector<RequestDigest> all{ RequestDigest(1),
                                        RequestDigest(2),
                                        RequestDigest(3) };
  this->Crash(all);
  this->Crash(all);
  std::set<RequestDigest> tried;
  for (int i = 0; i < 3; ++i) {
    std::vector<RequestDigest> now;
    for (auto digest : all) {
      if (this->Verdict(digest) == RequestVerdict::OneAttempt) {
        now.push_back(digest);
      }
    }
    REQUIRE(now.size() == 1);
    tried.insert(now[0]);
    this->Advance(1s);
    CHECK(this->Verdict(now[0]) == RequestVerdict::OneAttempt);
    this->Advance(1s);
  }
  CHECK(tried.size() == 3);
}

// Guards against copies of a request that crash several endpoints during one
// trial.
TEST_CASE_METHOD(RequestTrackerFixture, "A trial forwards one copy")
{
  this->Crash({ kDeadlyRequest });
  this->Crash({ kDeadlyRequest });
  REQUIRE(this->tracker.StateOf(kDeadlyRequest) == RequestState::OnTrial);
  this->Advance(1500ms);
  CHECK(this->tracker.BeginTrial(kDeadlyRequest, this->now));
  CHECK_FALSE(this->tracker.BeginTrial(kDeadlyRequest, this->now));
  this->Advance(1900ms);
  CHECK_FALSE(this->tracker.BeginTrial(kDeadlyRequest, this->now));
  // The copy has ended without an outcome.
  this->Advance(100ms);
  CHECK(this->tracker.BeginTrial(kDeadlyRequest, this->now));
  this->Crash({ kDeadlyRequest });
  this->Advance(5s);
  CHECK_FALSE(this->tracker.BeginTrial(kDeadlyRequest, this->now));
}

// Guards against the same on probation, and at a router that has seen none of
// the crashes.
TEST_CASE_METHOD(RequestTrackerFixture, "Probation forwards one copy at a time")
{
  this->tracker.AddKnown(
    { kDeadlyRequest, RequestState::OnProbation, 3, this->now + 1h, 10min });
  for (auto digest : { kDeadlyRequest, kOtherRequest }) {
    for (int i = 0; i < 3; ++i) {
      CHECK(this->tracker.BeginTrial(digest, this->now));
      this->Advance(1s);
      CHECK_FALSE(this->tracker.BeginTrial(digest, this->now));
      this->Advance(1s);
    }
  }
  CHECK_FALSE(this->tracker.StateOf(kOtherRequest));
}

// Guards against another held request that runs beside the copy of a trial.
TEST_CASE_METHOD(RequestTrackerFixture, "A copy has the time of a whole trial")
{
  this->Crash({ kSoundRequest, kOtherRequest });
  this->Crash({ kSoundRequest, kOtherRequest });
  auto [first, second] = this->OrderByTrial();
  this->Advance(1900ms);
  CHECK_FALSE(this->tracker.BeginTrial(second, this->now));
  REQUIRE(this->tracker.BeginTrial(first, this->now));
  this->Advance(1900ms);
  CHECK(this->Verdict(second) == RequestVerdict::Held);
  this->Advance(100ms);
  CHECK(this->tracker.BeginTrial(second, this->now));
}

// Guards against waits between the trials of requests that succeed.
TEST_CASE_METHOD(RequestTrackerFixture, "A success begins the next trial")
{
  this->Crash({ kSoundRequest, kOtherRequest });
  this->Crash({ kSoundRequest, kOtherRequest });
  auto [first, second] = this->OrderByTrial();
  CHECK(this->Verdict(second) == RequestVerdict::Held);
  this->Advance(10ms);
  this->tracker.AddSuccess(first, this->now);
  CHECK(this->Verdict(first) == RequestVerdict::Accepted);
  CHECK(this->Verdict(second) == RequestVerdict::OneAttempt);
}

// Guards against a hold without end of a request that nobody sends any more.
TEST_CASE_METHOD(RequestTrackerFixture, "A hold ends after a minute")
{
  this->Crash({ kSoundRequest });
  this->Crash({ kSoundRequest });
  this->Advance(59s);
  CHECK(this->tracker.StateOf(kSoundRequest) == RequestState::OnTrial);
  this->Advance(1s);
  CHECK(this->Verdict(kSoundRequest) == RequestVerdict::Accepted);
  CHECK(this->tracker.Lists().entries.empty());
  CHECK(this->TakeRelease() == ReleaseReason::Expired);
  // Its crashes are remembered for longer.
  this->Advance(8min + 59s);
  CHECK(this->tracker.StateOf(kSoundRequest) == RequestState::Suspected);
  this->Advance(1s);
  CHECK_FALSE(this->tracker.StateOf(kSoundRequest));
}

// Guards against a request that crashes one endpoint after the other without
// end, since its callers send it again some minutes later.
TEST_CASE_METHOD(RequestTrackerFixture, "Crashes minutes apart are related")
{
  for (int i = 0; i < 3; ++i) {
    this->Advance(9min);
    CHECK(this->Verdict(kDeadlyRequest) == RequestVerdict::Accepted);
    this->Crash({ kDeadlyRequest });
  }
  CHECK(this->Verdict(kDeadlyRequest) == RequestVerdict::Quarantined);
}

// Guards against a request that crashes three more endpoints after each
// quarantine.
TEST_CASE_METHOD(RequestTrackerFixture,
                 "One crash on probation doubles the quarantine")
{
  for (int i = 0; i < 3; ++i) {
    this->Crash({ kDeadlyRequest });
  }
  this->Advance(9min);
  this->Crash({ kDeadlyRequest });
  this->Advance(9min);
  CHECK(this->Verdict(kDeadlyRequest) == RequestVerdict::Quarantined);
  this->Advance(1min);
  CHECK(this->Verdict(kDeadlyRequest) == RequestVerdict::OneAttempt);
  CHECK(this->TakeRelease() == ReleaseReason::Expired);
  for (Duration length : { 20min, 40min, 80min }) {
    this->Advance(1h);
    this->Crash({ kDeadlyRequest });
    CHECK(this->Verdict(kDeadlyRequest) == RequestVerdict::Quarantined);
    this->Advance(length - 1s);
    CHECK(this->Verdict(kDeadlyRequest) == RequestVerdict::Quarantined);
    this->Advance(1s);
    CHECK(this->Verdict(kDeadlyRequest) == RequestVerdict::OneAttempt);
  }
  this->Advance(24h);
  CHECK_FALSE(this->tracker.StateOf(kDeadlyRequest));
}

// Guards against a quarantine that grows beyond what anybody waits for.
TEST_CASE_METHOD(RequestTrackerFixture, "A quarantine takes a day at most")
{
  for (int i = 0; i < 3; ++i) {
    this->Crash({ kDeadlyRequest });
  }
  for (int i = 0; i < 20; ++i) {
    this->Advance(24h - 1s);
    this->Crash({ kDeadlyRequest });
  }
  this->Advance(24h);
  CHECK(this->Verdict(kDeadlyRequest) == RequestVerdict::OneAttempt);
}

// Guards against a repaired cause after which the request stays refused.
TEST_CASE_METHOD(RequestTrackerFixture, "Operators lift an entry")
{
  CHECK_FALSE(this->tracker.Lift(kDeadlyRequest));
  this->Crash({ kDeadlyRequest });
  CHECK_FALSE(this->tracker.Lift(kDeadlyRequest));
  this->Crash({ kDeadlyRequest });
  this->Crash({ kDeadlyRequest });
  REQUIRE(this->tracker.Lift(kDeadlyRequest));
  CHECK(this->TakeRelease() == ReleaseReason::Lifted);
  CHECK_FALSE(this->tracker.StateOf(kDeadlyRequest));
  CHECK(this->tracker.Lists().entries.empty());
}

// Guards against a new leader that has to see the crashes itself.
TEST_CASE_METHOD(RequestTrackerFixture, "Another tracker takes all over")
{
  for (int i = 0; i < 3; ++i) {
    this->Crash({ kDeadlyRequest });
  }
  this->Crash({ kSoundRequest });
  this->Advance(5min);
  this->Crash({ kSoundRequest });
  RequestTracker other;
  for (const auto& entry : this->tracker.Lists().entries) {
    other.AddKnown(entry);
    other.AddKnown(entry);
  }
  CHECK(other.StateOf(kDeadlyRequest) == RequestState::Quarantined);
  CHECK(other.Lists().entries.size() == 1);
  other.Update(this->now + 5min);
  CHECK(other.StateOf(kDeadlyRequest) == RequestState::OnProbation);
  for (const auto& crash : this->tracker.Crashes()) {
    other.AddCrash(crash.endpoint, crash.digests, crash.time);
  }
  CHECK(other.StateOf(kSoundRequest) == this->tracker.StateOf(kSoundRequest));
}

// Guards against a router that goes on refusing what control has cleared, and
// against one that drops what control has not learnt yet.
TEST_CASE_METHOD(RequestTrackerFixture,
                 "What another tracker cleared is dropped")
{
  for (auto digest : { kDeadlyRequest, kSoundRequest }) {
    for (int i = 0; i < 3; ++i) {
      this->Crash({ digest });
    }
  }
  this->Advance(1s);
  this->tracker.Retain({ kDeadlyRequest }, this->now, 2s);
  CHECK(this->Verdict(kSoundRequest) == RequestVerdict::Quarantined);
  this->Advance(1s);
  this->tracker.Retain({ kDeadlyRequest }, this->now, 2s);
  CHECK(this->Verdict(kSoundRequest) == RequestVerdict::Accepted);
  CHECK(this->Verdict(kDeadlyRequest) == RequestVerdict::Quarantined);
}

// Guards against memory that callers can fill, and against quarantines that
// they can push out.
TEST_CASE_METHOD(RequestTrackerFixture, "The number of records is bounded")
{
  RequestTrackerOptions options;
  options.maxRecords = 100;
  options.maxSuspects = 10;
  this->tracker = RequestTracker(options);
  for (int i = 0; i < 20; ++i) {
    this->Crash({ kDeadlyRequest });
  }
  for (std::uint64_t i = 0; i < 1000; ++i) {
    this->Crash({ RequestDigest(i + 100) });
    this->Advance(1ms);
  }
  CHECK(this->Verdict(kDeadlyRequest) == RequestVerdict::Quarantined);
  std::size_t count = 0;
  for (std::uint64_t i = 0; i < 1000; ++i) {
    count += this->tracker.StateOf(RequestDigest(i + 100)) ? 1 : 0;
  }
  CHECK(count == 99);
  auto lists = this->tracker.Lists();
  CHECK(lists.suspects.size() == 10);
  CHECK(lists.suspects.contains(RequestDigest(1099)));
}

// Guards against a router that keeps its last lists and refuses for ever.
TEST_CASE("An entry changes at its end without another list")
{
  TimePoint end(1h);
  RequestEntry entry{
    kDeadlyRequest, RequestState::Quarantined, 3, end, 10min
  };
  CHECK(StateAt(entry, end - 1s) == RequestState::Quarantined);
  CHECK(StateAt(entry, end) == RequestState::OnProbation);
  entry.state = RequestState::Held;
  CHECK(StateAt(entry, end - 1s) == RequestState::Held);
  CHECK_FALSE(StateAt(entry, end));
}
