// Replicas of several software versions side by side: a stream goes on only at
// the version that began it.

#include "version_fleet.h"

#include <catch2/catch.hpp>
#include <iostream>
#include <map>

namespace lycheestand::faults {

namespace {

const std::set<std::string> kTwoVersions{ "v1", "v2" };
constexpr unsigned kBadRequest = 400;
constexpr int kStreams = 12;
// Time for which streams run before their router dies. Control has the reports
// of the routers by then.
constexpr Duration kReportTime = 2s;

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
  std::this_thread::sleep_for(kReportTime);
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
  std::this_thread::sleep_for(kReportTime);
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
  std::this_thread::sleep_for(kReportTime);
  this->fleet.KillAll();
  this->StartAgain();
  this->AwaitServing({});
  int whole = crowd.TakeUp(this->Routers());
  CheckMost("restart of all processes", whole);
}

} // namespace lycheestand::faults
