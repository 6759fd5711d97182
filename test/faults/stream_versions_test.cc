// Replicas of several software versions side by side: a stream goes on only at
// the version that began it.

#include "version_fleet.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <iostream>
#include <map>
#include <thread>

namespace lycheestand::faults {

namespace {

const std::set<std::string> kTwoVersions{ "v1", "v2" };
constexpr unsigned kBadRequest = 400;
constexpr int kStreams = 12;

void
CheckMost(const char* aCase, int aWhole, int aAll = kStreams)
{
  std::cout << aCase << ": " << aWhole << " of " << aAll
            << " streams went on to their end\n";
  CHECK(aWhole >= aAll / 2);
}

class TwoVersionsFixture : public VersionFleet
{
public:
  explicit TwoVersionsFixture(const Options& aOptions = Options())
    : VersionFleet("stream-versions", aOptions)
  {
    this->firstReplicas = this->AddReplicas(2, "v1");
    this->AddReplicas(2, "v2");
    this->Start(kTwoVersions);
  }

  // The replicas of v1.
  std::vector<int> firstReplicas;
};

class ShortStreamsFixture : public TwoVersionsFixture
{
public:
  ShortStreamsFixture()
    : TwoVersionsFixture({ .events = 8, .eventPause = 50ms })
  {
  }
};

class ControlGroupFixture : public TwoVersionsFixture
{
public:
  ControlGroupFixture()
    : TwoVersionsFixture({ .controls = 3 })
  {
  }
};

} // namespace

// Guards against a stream that goes on at another version inside one answer,
// when its replica breaks off or falls silent.
TEST_CASE_METHOD(ShortStreamsFixture,
                 "a broken stream goes on at its version",
                 "[stream-version-resume]")
{
  constexpr Duration kSilence = 4s;
  constexpr std::size_t kPiecesBeforeBreak = 3;
  enum class Break
  {
    Reset,
    Close,
    Silence
  };
  auto mode = GENERATE(Break::Reset, Break::Close, Break::Silence);
  CAPTURE(mode);
  const int streams = mode == Break::Silence ? kStreams / 2 : kStreams;
  this->SetChangeAnswer(
    [mode](int, const ReplicaRequest& aRequest, ReplicaAnswer& aAnswer) {
      if (mode != Break::Silence && aRequest.Header("last-event-id").empty() &&
          aAnswer.pieces.size() > kPiecesBeforeBreak) {
        aAnswer.pieces.resize(kPiecesBeforeBreak);
        aAnswer.end = mode == Break::Reset ? ReplicaAnswer::End::Reset
                                           : ReplicaAnswer::End::Close;
      }
    });
  int whole = 0;
  for (int i = 0; i < streams; ++i) {
    auto stream = this->MakeStream();
    this->Try(Router(0), stream, [&](const CallerStream& aStream) {
      if (mode == Break::Silence && aStream.events.size() == 2) {
        this->pool.Silence(aStream.events.back().replica, kSilence);
      }
      return true;
    });
    INFO(stream.Describe());
    CHECK(stream.Versions().size() == 1);
    CHECK(stream.IsInOrder());
    whole += stream.isWhole ? 1 : 0;
  }
  CheckMost("resume", whole, streams);
}

// Guards against a stream that is taken up at another router and goes on at
// another version there, and against one that is refused although its version
// serves.
TEST_CASE_METHOD(TwoVersionsFixture,
                 "a stream whose router died goes on at its version",
                 "[stream-version-takeup]")
{
  StreamCrowd crowd(*this, kStreams);
  crowd.Begin({ Router(0) });
  this->AwaitReports();
  this->fleet.Machine(Router(0)).Kill();
  int whole = crowd.TakeUp({ Router(1) });
  CheckMost("takeup", whole);
}

// Guards against a stream that goes on at another version after all routers
// died at once and came back, and against routers that refuse all streams then.
TEST_CASE_METHOD(TwoVersionsFixture,
                 "streams go on at their version after all routers died",
                 "[stream-version-restart]")
{
  StreamCrowd crowd(*this, kStreams);
  crowd.Begin(this->Routers());
  this->AwaitReports();
  this->KillRouters();
  this->StartAgain();
  this->AwaitServing({});
  int whole = crowd.TakeUp(this->Routers());
  CheckMost("restart of the routers", whole);
}

// Guards against a stream that goes on at another version after all processes
// died at once and came back, and against a fleet that refuses all streams
// then.
TEST_CASE_METHOD(ControlGroupFixture,
                 "streams go on at their version after all processes died",
                 "[stream-version-restart]")
{
  StreamCrowd crowd(*this, kStreams);
  crowd.Begin(this->Routers());
  this->AwaitReports();
  this->fleet.KillAll();
  this->StartAgain();
  this->AwaitServing({});
  int whole = crowd.TakeUp(this->Routers());
  CheckMost("restart of all processes", whole);
}

// Guards against a stream that goes on at another version once the last replica
// of its own has left, and against a caller that is told to try again then.
TEST_CASE_METHOD(TwoVersionsFixture,
                 "a stream whose version has left is refused",
                 "[stream-version-left]")
{
  // A bound on the time of a refusal, far before the callers' deadline.
  constexpr Duration kAtOnce = 5s;
  // Time for the routers to ask for the rest of the streams elsewhere.
  constexpr Duration kNoticeTime = 500ms;
  StreamCrowd crowd(*this, kStreams);
  crowd.Begin(this->Routers());
  this->AwaitReports();
  bool areRoutersKilled = GENERATE(false, true);
  CAPTURE(areRoutersKilled);
  if (areRoutersKilled) {
    this->KillRouters();
  }
  for (int replica : this->firstReplicas) {
    this->pool.Remove(replica);
  }
  // The streams of the other version don't end otherwise.
  std::this_thread::sleep_for(kNoticeTime);
  crowd.Cut();
  crowd.Join();
  this->StartAgain();
  this->AwaitServing({ "v2" });
  int left = 0;
  for (auto& stream : crowd.streams) {
    INFO(stream.Describe());
    CHECK(stream.Versions().size() == 1);
    if (stream.events.front().version != "v1" || stream.isWhole) {
      continue;
    }
    ++left;
    for (int router : this->Routers()) {
      auto count = stream.events.size();
      Reply reply;
      bool isRefusedForGood = WaitFor(kServeTime, [&] {
        auto begin = Clock::now();
        reply = this->Try(router, stream);
        CHECK(Clock::now() - begin < kAtOnce);
        return stream.isWhole || stream.events.size() > count ||
               (IsRefusal(reply) && !RetryAfter(reply));
      });
      INFO("router " << router << ", status " << reply.status << ": "
                     << reply.body);
      CHECK(isRefusedForGood);
      CHECK(stream.events.size() == count);
    }
  }
  std::cout << "left: " << left << " streams\n";
  CHECK(left > 0);
}

namespace {

class ThreeVersionsFixture : public VersionFleet
{
public:
  ThreeVersionsFixture()
    : VersionFleet("stream-versions", { .events = 40, .eventPause = 50ms })
  {
    for (const char* version : { "v1", "v2", "v3" }) {
      this->AddReplicas(2, version);
    }
    this->Start({ "v1", "v2", "v3" });
  }
};

class OneVersionFixture : public VersionFleet
{
public:
  OneVersionFixture()
    : VersionFleet("stream-versions", {})
  {
    this->AddReplicas(2, "v1");
    this->Start({ "v1" });
  }
};

} // namespace

// Guards against a take-up of a take-up that is not recognized as the same
// stream, beside more than two versions.
TEST_CASE_METHOD(ThreeVersionsFixture,
                 "a stream goes on at its version when it is taken up twice",
                 "[stream-version-chain]")
{
  constexpr std::size_t kEventsOfTry = 10;
  // The caller's connection breaks twice. A report may be late beside a busy
  // disk.
  constexpr int kBreaks = 2;
  constexpr Duration kTakeUpTime = 10s;
  int whole = 0;
  for (int i = 0; i < kStreams; ++i) {
    auto stream = this->MakeStream();
    int tries = 0;
    WaitFor(kTakeUpTime, [&] {
      auto goal = stream.events.size() + kEventsOfTry;
      auto reply = this->Try(
        Router(tries++ % 2), stream, [&](const CallerStream& aStream) {
          return aStream.events.size() < goal || goal > kBreaks * kEventsOfTry;
        });
      std::this_thread::sleep_for(RetryAfter(reply).value_or(200ms));
      return stream.isWhole;
    });
    INFO(stream.Describe());
    CHECK(stream.Versions().size() == 1);
    CHECK(stream.IsInOrder());
    whole += stream.isWhole ? 1 : 0;
  }
  CheckMost("chain", whole);
}

// Guards against a take-up that names no stream of its caller's: one that goes
// on somewhere, or that tells a stream of another workspace.
TEST_CASE_METHOD(ShortStreamsFixture,
                 "a take-up of a foreign stream is refused",
                 "[stream-version-foreign]")
{
  auto sound = this->MakeStream();
  this->Try(Router(0), sound, [](const CallerStream& aStream) {
    return aStream.events.size() < 3;
  });
  REQUIRE(sound.HasBegun());
  this->AwaitReports();
  auto take = [this](int aRouter,
                     const char* aKey,
                     const char* aLastEvent,
                     const std::string& aResumes) {
    CallerStream stream = this->MakeStream();
    stream.key = aKey;
    auto reply = this->Try(aRouter, stream, nullptr, [&](Call& aCall) {
      if (*aLastEvent != 0) {
        aCall.headers["Last-Event-Id"] = aLastEvent;
      }
      if (!aResumes.empty()) {
        aCall.headers["Resumes"] = aResumes;
      }
    });
    INFO("status " << reply.status << ": " << reply.body);
    CHECK(reply.isComplete);
    if (*aLastEvent != 0) {
      CHECK((IsRefusal(reply) || reply.status == kBadRequest));
      CHECK_FALSE(stream.HasBegun());
      CHECK(reply.body.find("v1") == std::string::npos);
      CHECK(reply.body.find("v2") == std::string::npos);
    } else {
      CHECK((stream.isWhole || IsRefusal(reply)));
    }
    return reply.status;
  };
  const std::string longId(5000, 'x');
  for (int router : this->Routers()) {
    CAPTURE(router);
    auto unknown = take(router, "k2", "3", "never-seen");
    CHECK(take(router, "k2", "3", sound.firstRequest) == unknown);
    for (const auto& id :
         { std::string("never-seen"), std::string(), longId }) {
      take(router, "k", "3", id);
    }
    take(router, "k", "", sound.firstRequest);
    take(router, "k", "", "never-seen");
  }
  CHECK(this->TakeUp(Router(1), sound) == TakeUpOutcome::Whole);
  CHECK(sound.Versions().size() == 1);
  this->AwaitServing(kTwoVersions);
  for (int machine : { Control(0), Router(0), Router(1) }) {
    auto& process = this->fleet.Machine(machine);
    process.WaitForExit(Duration(0));
    CHECK(process.IsRunning());
  }
}

// Guards against refusals where only one version serves, so that there is
// nothing to mix.
TEST_CASE_METHOD(OneVersionFixture,
                 "with one version a stream goes on at any router",
                 "[stream-version-single]")
{
  StreamCrowd crowd(*this, kStreams);
  crowd.Begin(this->Routers());
  SECTION("after the death of one router")
  {
    this->fleet.Machine(Router(0)).Kill();
    CheckMost("single", crowd.TakeUp({ Router(1) }));
  }
  SECTION("after the death of all routers")
  {
    this->KillRouters();
    this->StartAgain();
    this->AwaitServing({ "v1" });
    CheckMost("single after a restart", crowd.TakeUp(this->Routers()));
  }
  SECTION("when the request is not known")
  {
    this->KillRouters();
    this->StartAgain();
    this->AwaitServing({ "v1" });
    crowd.Join();
    for (auto& stream : crowd.streams) {
      stream.firstRequest += "-unknown";
    }
    CheckMost("single and unknown", crowd.TakeUp(this->Routers()));
  }
}

namespace {

// Two sound replicas, and four whose entries are malformed.
class OddListFixture : public VersionFleet
{
public:
  OddListFixture()
    : VersionFleet("stream-versions", {})
  {
    const json::array versions{ nullptr, "", 7, std::string(200, 'v') };
    for (const auto& version : versions) {
      this->odd[this->AddReplicas(1, "odd").front()] = version;
    }
    this->pool.SetEntryMembers([this](int aReplica) {
      auto found = this->odd.find(aReplica);
      return found == this->odd.end()
               ? json::object{}
               : json::object{ { "version", found->second } };
    });
    this->SetChangeAnswer([this](int aReplica, const auto&, auto&) {
      this->oddRequests += this->odd.contains(aReplica) ? 1 : 0;
    });
    this->AddReplicas(2, "v1");
    this->Start({ "v1" });
  }

protected:
  std::map<int, json::value> odd;
  std::atomic<int> oddRequests{ 0 };
};

} // namespace

// Guards against a request that goes to a replica whose list entry names no
// version, and against one such entry that makes the others useless.
TEST_CASE_METHOD(OddListFixture,
                 "replicas without a version get no requests",
                 "[stream-version-odd-list]")
{
  int whole = 0;
  for (int i = 0; i < kStreams; ++i) {
    CallerStream stream;
    stream.target = "/resumable/probe-odd" + std::to_string(i);
    this->Try(Router(i % 2), stream);
    whole += stream.isWhole ? 1 : 0;
  }
  CheckMost("odd list", whole);
  CHECK(this->oddRequests == 0);
}

// Guards against a fleet that refuses all streams of a version that serves,
// because a second one came while the routers that had begun them were down.
TEST_CASE("streams go on at their version after a release during an outage",
          "[stream-version-outage]")
{
  VersionFleet fleet("stream-versions", {});
  fleet.AddReplicas(2, "v1");
  fleet.Start({ "v1" });
  StreamCrowd crowd(fleet, kStreams);
  crowd.Begin(fleet.Routers());
  fleet.AwaitReports();
  fleet.KillRouters();
  fleet.AddReplicas(2, "v2");
  fleet.StartAgain();
  fleet.AwaitServing(kTwoVersions);
  int whole = crowd.TakeUp(fleet.Routers());
  CheckMost("release during an outage", whole);
}

// Guards against a router that stood still while a second version joined: the
// streams that others have begun at it meanwhile must not go on at the version
// that this router still knows, also where the replica at one of its addresses
// has been replaced.
TEST_CASE_METHOD(OneVersionFixture,
                 "streams go on at their version at a router that stood still",
                 "[stream-version-stale-router]")
{
  // At least; it is stopped until the streams have begun. A link counts as
  // broken after 4 s.
  auto stopTime = GENERATE(1s, 7s);
  CAPTURE(stopTime.count());
  auto& stale = this->fleet.Machine(Router(1));
  stale.Signal(SIGSTOP);
  auto stoppedAt = Clock::now();
  this->AddReplicas(2, "v2");
  this->pool.Remove(0);
  this->pool.Start(0, "v2");
  this->AwaitServing(Router(0), kTwoVersions);
  StreamCrowd crowd(*this, 2 * kStreams);
  crowd.Begin({ Router(0) });
  crowd.Cut();
  std::thread resume([&] {
    std::this_thread::sleep_until(stoppedAt + stopTime);
    stale.Signal(SIGCONT);
  });
  int whole = crowd.TakeUp({ Router(1) });
  resume.join();
  std::cout << "stale router: " << whole << " streams went on to their end\n";
  // Later on, most streams that it takes up go on.
  this->AwaitServing(Router(1), kTwoVersions);
  StreamCrowd later(*this, kStreams);
  later.Begin({ Router(0) });
  this->AwaitReports();
  later.Cut();
  CheckMost("stale router in step again", later.TakeUp({ Router(1) }));
}

} // namespace lycheestand::faults
