#include <catch2/catch.hpp>
#include <lycheestand/state.h>

using namespace lycheestand;
using namespace lycheestand::state;

namespace {

// A state machine with a service, "chat", to which versions can be admitted.
class StreamFixture
{
public:
  Outcome Admit(const char* aVersion)
  {
    return this->machine.Apply(
      AdmitVersion{ this->chat, SoftwareVersion(aVersion) });
  }

  void Retire(const char* aVersion)
  {
    this->machine.Apply(RetireVersion{ this->chat, SoftwareVersion(aVersion) });
  }

  StreamsRecorded Record(const char* aVersion, std::vector<StreamId> aStreams)
  {
    return std::get<StreamsRecorded>(this->machine.Apply(RecordStreams{
      { { this->chat, SoftwareVersion(aVersion), std::move(aStreams) } } }));
  }

  StreamsRecorded Age()
  {
    return std::get<StreamsRecorded>(this->machine.Apply(AgeStreams{}));
  }

  std::optional<SoftwareVersion> Find(std::uint64_t aStream) const
  {
    return this->machine.Streams().Find(this->chat, StreamId(aStream));
  }

  std::optional<SoftwareVersion> FindUnnamed() const
  {
    return this->machine.Streams().Find(this->chat, std::nullopt);
  }

  // Returns so many ids from a first one.
  static std::vector<StreamId> Range(std::uint64_t aFirst, std::size_t aCount)
  {
    std::vector<StreamId> ids;
    for (std::size_t i = 0; i < aCount; ++i) {
      ids.emplace_back(aFirst + i);
    }
    return ids;
  }

  const ServiceName chat{ "chat" };
  const SoftwareVersion v1{ "v1" };
  const SoftwareVersion v2{ "v2" };
  StateMachine machine;
};

} // namespace

// Guards against a stream that goes on at a version other than its own.
TEST_CASE_METHOD(StreamFixture, "A record tells the version of a stream")
{
  this->Admit("v1");
  this->Admit("v2");
  CHECK(this->Record("v1", { StreamId(1) }) == StreamsRecorded{ 1, 0, 1 });
  CHECK(this->Record("v2", { StreamId(2) }) == StreamsRecorded{ 1, 0, 2 });
  CHECK(this->Find(1) == this->v1);
  CHECK(this->Find(2) == this->v2);
  CHECK(this->Find(3) == std::nullopt);
  CHECK(this->FindUnnamed() == std::nullopt);
  CHECK(this->machine.Streams().Find(ServiceName("other"), StreamId(1)) ==
        SoftwareVersion());
}

// Guards against streams that are refused although only one version serves, and
// against fleets whose lists name no versions.
TEST_CASE_METHOD(StreamFixture, "The only version of a service needs no record")
{
  CHECK(this->Find(1) == SoftwareVersion());
  CHECK(this->FindUnnamed() == SoftwareVersion());
  this->Admit("v1");
  CHECK(this->Record("v1", { StreamId(1) }) == StreamsRecorded{});
  CHECK(this->Find(1) == this->v1);
  CHECK(this->FindUnnamed() == this->v1);
}

// Guards against a guess for a request id that two streams have used.
TEST_CASE_METHOD(StreamFixture, "A stream with two versions is not known")
{
  this->Admit("v1");
  this->Admit("v2");
  this->Record("v1", { StreamId(1), StreamId(2) });
  this->Record("v2", { StreamId(1) });
  CHECK(this->Find(1) == std::nullopt);
  this->Age();
  this->Record("v2", { StreamId(1), StreamId(2) });
  this->Record("v1", { StreamId(1) });
  CHECK(this->Find(1) == std::nullopt);
  CHECK(this->Find(2) == std::nullopt);
  CHECK(this->machine.Streams().RecordCount() == 2);
}

// Guards against a bound that makes an ambiguous stream known again.
TEST_CASE_METHOD(StreamFixture, "A stream becomes ambiguous also at the bound")
{
  this->Admit("v1");
  this->Admit("v2");
  this->Record("v1", { StreamId(1) });
  this->Age();
  this->Record("v1", Range(1000, StreamRegister::kMaxRecords));
  CHECK(this->Record("v2", { StreamId(1) }).dropped == 0);
  CHECK(this->Find(1) == std::nullopt);
}

// Guards against records that are dropped too early, and against replicated
// state that keeps them for good.
TEST_CASE_METHOD(StreamFixture, "A record is dropped when it has aged twice")
{
  this->Admit("v1");
  this->Admit("v2");
  this->Record("v1", { StreamId(1), StreamId(2) });
  this->Age();
  CHECK(this->Record("v1", { StreamId(2) }) == StreamsRecorded{ 0, 0, 2 });
  CHECK(this->Find(1) == this->v1);
  CHECK(this->Age() == StreamsRecorded{ 0, 0, 1 });
  CHECK(this->Find(1) == std::nullopt);
  CHECK(this->Find(2) == this->v1);
  CHECK(this->Age() == StreamsRecorded{});
}

// Guards against a stream of a retired version that goes on at one that is
// left, and against numbers of retired versions whose records pass to a new
// one.
TEST_CASE_METHOD(StreamFixture, "Streams of a retired version are not known")
{
  for (const char* version : { "v1", "v2", "v3" }) {
    this->Admit(version);
  }
  this->Record("v1", { StreamId(1) });
  this->Record("v2", { StreamId(2) });
  this->Age();
  this->Record("v1", { StreamId(3) });
  this->Retire("v1");
  this->Admit("v4");
  CHECK(this->Find(1) == std::nullopt);
  CHECK(this->Find(3) == std::nullopt);
  CHECK(this->Find(2) == this->v2);
  this->Retire("v3");
  this->Retire("v4");
  CHECK(this->machine.Streams().RecordCount() == 3);
  CHECK(this->Find(1) == std::nullopt);
  CHECK(this->Find(2) == this->v2);
  CHECK(this->Find(9) == this->v2);
  this->Retire("v2");
  CHECK(this->Find(3) == std::nullopt);
  CHECK(this->Find(9) == SoftwareVersion());
  CHECK(this->machine.Streams().AllVersions().empty());
  this->Age();
  this->Age();
  CHECK(this->Find(3) == SoftwareVersion());
  CHECK(this->machine.Streams().RecordCount() == 0);
}

// Guards against records that are lost although their version still serves,
// because for a moment it was the only one: a stream whose router has died
// would be refused.
TEST_CASE_METHOD(StreamFixture,
                 "A record outlives a time with a single version")
{
  this->Admit("v1");
  this->Admit("v2");
  this->Record("v2", { StreamId(7) });
  this->Retire("v1");
  this->Admit("v3");
  CHECK(this->Find(7) == this->v2);
}

// Guards against a stream that goes on at the only version that is left, since
// it was reported after its own version was retired.
TEST_CASE_METHOD(StreamFixture,
                 "Streams of a version not admitted are not known")
{
  this->Admit("v1");
  CHECK(this->Record("v3", { StreamId(1) }) == StreamsRecorded{ 1, 0, 1 });
  CHECK(this->Find(1) == std::nullopt);
  CHECK(this->Find(2) == this->v1);
  this->Admit("v3");
  CHECK(this->Find(1) == std::nullopt);
}

// Guards against replicated state without a bound.
TEST_CASE_METHOD(StreamFixture, "A generation has at most so many records")
{
  constexpr auto kMax = StreamRegister::kMaxRecords;
  this->Admit("v1");
  this->Admit("v2");
  auto result = this->Record("v1", Range(0, kMax + 10));
  CHECK(result == StreamsRecorded{ kMax, 10, kMax });
  CHECK(this->Find(kMax - 1) == this->v1);
  CHECK(this->Find(kMax) == std::nullopt);
  this->Age();
  CHECK(this->Record("v2", Range(kMax, kMax)) ==
        StreamsRecorded{ kMax, 0, 2 * kMax });
  CHECK(this->Record("v1", Range(0, 1)) == StreamsRecorded{ 0, 0, 2 * kMax });
}

// Guards against a list with ever new versions.
TEST_CASE_METHOD(StreamFixture, "A service has at most so many versions")
{
  for (std::size_t i = 0; i < StreamRegister::kMaxVersions; ++i) {
    CHECK(this->Admit(("v" + std::to_string(i)).c_str()) == Outcome(Done{}));
  }
  CHECK(this->Admit("other") ==
        Outcome(Rejected{ Rejection::TooManyVersions }));
  CHECK(this->Admit("v3") == Outcome(Done{}));
  this->Retire("v3");
  CHECK(this->Admit("other") == Outcome(Done{}));
}

// Guards against leaders that miss a change of the versions, or that send it to
// all routers although nothing has changed.
TEST_CASE_METHOD(StreamFixture, "Changes of versions are counted")
{
  this->Admit("");
  CHECK(this->machine.Streams().VersionChanges() == 0);
  this->Admit("v1");
  this->Admit("v1");
  CHECK(this->machine.Streams().VersionChanges() == 1);
  this->Retire("v2");
  CHECK(this->machine.Streams().VersionChanges() == 1);
  this->Retire("v1");
  CHECK(this->machine.Streams().VersionChanges() == 2);
  CHECK(this->machine.CurrentRevision() == Revision(0));
}
