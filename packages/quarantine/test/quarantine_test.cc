#include <catch2/catch.hpp>
#include <lycheestand/quarantine.h>
#include <string>

using namespace lycheestand;
using namespace lycheestand::quarantine;
using namespace std::chrono_literals;

namespace {

// Parts that all requests share, that some share, and that crashes endpoints.
const PromptPartId kCommon{ 1 };
const PromptPartId kRare{ 2 };
const PromptPartId kOtherRare{ 3 };
const PromptPartId kDeadly{ 9 };

class CrashTrackerFixture
{
public:
  void Crash(const std::vector<PromptPartId>& aParts)
  {
    this->tracker.AddCrash(EndpointId("e" + std::to_string(++this->endpoints)),
                           aParts,
                           this->now,
                           this->now);
  }

  void Succeed(const std::vector<PromptPartId>& aParts)
  {
    this->tracker.AddSuccess(aParts, this->now);
  }

  void Advance(Duration aTime)
  {
    this->now += aTime;
    this->tracker.Update(this->now);
  }

  Parts Quarantined() const { return this->tracker.Lists().quarantined; }
  Parts Suspects() const { return this->tracker.Lists().suspects; }

  CrashTracker tracker;
  TimePoint now{ 1h };
  int endpoints = 0;
};

} // namespace

// Guards against a request that crashes one endpoint after the other.
TEST_CASE_METHOD(CrashTrackerFixture, "A part that crashes endpoints is found")
{
  for (int i = 0; i < 3; ++i) {
    this->Crash({ kCommon, kDeadly, PromptPartId(100 + i) });
    this->Succeed({ kCommon });
    this->Advance(400ms);
  }
  CHECK(this->Quarantined() == Parts{ kDeadly });
  // The parts that were in the same requests are no longer suspected.
  CHECK(this->Suspects().empty());
}

// Guards against sound requests that are refused because they ran at endpoints
// which others crashed.
TEST_CASE_METHOD(CrashTrackerFixture,
                 "Parts at endpoints that another part crashed are not blamed")
{
  for (int i = 0; i < 4; ++i) {
    this->Crash({ kCommon, kDeadly });
    // Other requests at the same endpoint.
    this->tracker.AddCrash(EndpointId("e" + std::to_string(this->endpoints)),
                           { kCommon, kRare },
                           this->now,
                           this->now);
    this->Succeed({ kCommon });
    this->Advance(150ms);
  }
  this->Crash({ kDeadly });
  this->Advance(2s);
  REQUIRE(this->Quarantined() == Parts{ kDeadly });
  for (int i = 0; i < 10; ++i) {
    this->Crash({ kDeadly, kRare, kOtherRare });
    this->Advance(100ms);
  }
  CHECK(this->Quarantined() == Parts{ kDeadly });
}

// Guards against refusals of what many requests share, when many endpoints
// crash at once for another reason.
TEST_CASE_METHOD(CrashTrackerFixture, "A mass crash quarantines nothing")
{
  for (int i = 0; i < 20; ++i) {
    this->Crash({ kCommon, PromptPartId(100 + i) });
    this->now += 2ms;
  }
  // Nothing is served until the endpoints are back.
  this->Advance(5s);
  CHECK(this->Quarantined().empty());
}

// Guards against sound requests that are refused for a part which the deadly
// ones had in common by chance.
TEST_CASE_METHOD(CrashTrackerFixture, "More crashes tell two parts apart")
{
  for (int i = 0; i < 3; ++i) {
    this->Crash({ kDeadly, kRare });
    this->Advance(500ms);
  }
  CHECK(this->Quarantined().empty());
  this->Crash({ kDeadly, kOtherRare });
  this->Advance(100ms);
  CHECK(this->Quarantined() == Parts{ kDeadly });
}

// Guards against crashes without end, if the requests that cause them have
// several parts in common.
TEST_CASE_METHOD(CrashTrackerFixture,
                 "Of parts that crash together the last one is quarantined")
{
  for (int i = 0; i < 5; ++i) {
    this->Crash({ kDeadly, kCommon });
    this->Advance(500ms);
  }
  CHECK(this->Quarantined() == Parts{ kCommon });
}

// Guards against a request that is unlucky twice.
TEST_CASE_METHOD(CrashTrackerFixture, "Two crashes quarantine nothing")
{
  this->Crash({ kRare });
  this->Crash({ kRare });
  this->Advance(5s);
  CHECK(this->Quarantined().empty());
  CHECK(this->Suspects() == Parts{ kRare });
}

// Guards against a suspicion that outlives its refutation.
TEST_CASE_METHOD(CrashTrackerFixture, "A success clears a part")
{
  this->Crash({ kRare });
  this->Crash({ kRare });
  this->Advance(500ms);
  this->Succeed({ kRare });
  // A report of an earlier crash arrives late.
  this->tracker.AddCrash(
    EndpointId("late"), { kRare }, this->now - 100ms, this->now);
  this->Advance(5s);
  CHECK(this->Quarantined().empty());
  CHECK(this->Suspects().empty());
}

// Guards against crashes that add up over hours.
TEST_CASE_METHOD(CrashTrackerFixture, "Old crashes no longer count")
{
  for (int i = 0; i < 10; ++i) {
    this->Crash({ kRare });
    this->Advance(40s);
  }
  CHECK(this->Quarantined().empty());
}

// Guards against a part that stays refused after its cause has been repaired.
TEST_CASE_METHOD(CrashTrackerFixture, "A quarantine ends after the last crash")
{
  for (int i = 0; i < 3; ++i) {
    this->Crash({ kDeadly });
    this->Advance(500ms);
  }
  REQUIRE(this->Quarantined() == Parts{ kDeadly });
  this->Advance(9min);
  this->Crash({ kDeadly });
  this->Advance(9min);
  CHECK(this->Quarantined() == Parts{ kDeadly });
  this->Advance(2min);
  CHECK(this->Quarantined().empty());
}

// Guards against a part that is never found, since few endpoints crash on it
// again and again and start under the ids that they had.
TEST_CASE_METHOD(CrashTrackerFixture,
                 "An endpoint that starts again under its id crashes anew")
{
  for (int i = 0; i < 3; ++i) {
    // Two routers report the crash.
    this->tracker.AddCrash(EndpointId("e"), { kDeadly }, this->now, this->now);
    this->tracker.AddCrash(EndpointId("e"),
                           { kDeadly, PromptPartId(100 + i) },
                           this->now - 200ms,
                           this->now);
    CHECK(this->Quarantined().empty());
    this->Advance(3s);
  }
  CHECK(this->Quarantined() == Parts{ kDeadly });
}

// Guards against two deadly parts of which only one is found.
TEST_CASE_METHOD(CrashTrackerFixture, "Several parts are found")
{
  for (int i = 0; i < 3; ++i) {
    this->Crash({ kDeadly });
    this->Advance(200ms);
    this->Crash({ kDeadly });
    this->Crash({ kRare });
    this->Advance(500ms);
  }
  CHECK(this->Quarantined() == Parts{ kDeadly, kRare });
}

// Guards against a new leader that has to see the crashes itself.
TEST_CASE_METHOD(CrashTrackerFixture, "A quarantine is taken over")
{
  this->tracker.AddQuarantined(kDeadly, this->now);
  this->Advance(1s);
  CHECK(this->Quarantined() == Parts{ kDeadly });
}

// Guards against reports that blame cleared parts again at a new leader, and
// against reports that are kept for ever.
TEST_CASE("A router keeps its reports while control suspects their parts")
{
  TimePoint now(1h);
  CrashReports reports;
  reports.Add({ EndpointId("e1"), { kCommon, kDeadly }, now });
  reports.Update({}, now + 100ms);
  REQUIRE(reports.Reports().size() == 1);
  reports.Update({ { kDeadly }, {} }, now + 3s);
  REQUIRE(reports.Reports().size() == 1);
  CHECK(reports.Reports()[0].parts == std::vector<PromptPartId>{ kDeadly });
  reports.Update({ {}, { kDeadly } }, now + 4s);
  CHECK(reports.Reports().size() == 1);
  reports.Update({}, now + 5s);
  CHECK(reports.Reports().empty());
  reports.Add({ EndpointId("e2"), { kRare }, now });
  reports.Add({ EndpointId("e3"), { kRare }, now + 2min });
  CHECK(reports.Reports().size() == 1);
}
