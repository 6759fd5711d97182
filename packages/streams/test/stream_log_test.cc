#include <catch2/catch.hpp>
#include <lycheestand/streams.h>

using namespace lycheestand;
using namespace lycheestand::streams;
using namespace std::chrono_literals;

namespace {

const ServiceName kService("s");
const ServiceName kOther("t");
const SoftwareVersion kOld("v1");
const SoftwareVersion kNew("v2");

class LogFixture
{
public:
  void Begin(std::uint64_t aStream,
             const SoftwareVersion& aVersion = kOld,
             const ServiceName& aService = kService)
  {
    this->log.Begin(aService, StreamId(aStream), aVersion, this->now);
  }

  KnownStream Find(std::uint64_t aStream) const
  {
    return this->log.Find(StreamId(aStream), this->now);
  }

  std::vector<StreamBatch> Take(std::size_t aMaxStreams = 100)
  {
    return this->log.TakeReports(aMaxStreams, this->now);
  }

  static std::vector<StreamId> Ids(std::vector<std::uint64_t> aNumbers)
  {
    return { aNumbers.begin(), aNumbers.end() };
  }

  TimePoint now = TimePoint(1000s);
  StreamLog log{ { 60s, 4 } };
};

} // namespace

// Guards against a stream that is taken up at a version that is only guessed,
// and against memory that grows with the streams of a day.
TEST_CASE_METHOD(LogFixture, "A stream is known for a limited time")
{
  this->Begin(1);
  CHECK(this->Find(1).version == kOld);
  CHECK(this->Find(1).isKept);
  CHECK_FALSE(this->Find(2).isKept);
  this->now += 59s;
  CHECK(this->Find(1).isKept);
  this->now += 1s;
  CHECK_FALSE(this->Find(1).isKept);
  this->Begin(2);
  CHECK(this->log.Size() == 1);
}

// Guards against memory without a bound under a flood of streams.
TEST_CASE_METHOD(LogFixture, "The oldest streams go first")
{
  for (std::uint64_t i = 1; i <= 6; ++i) {
    this->Begin(i, i % 2 == 0 ? kOld : kNew);
  }
  CHECK(this->log.Size() == 4);
  CHECK_FALSE(this->Find(2).isKept);
  CHECK(this->Find(3).version == kNew);
  // Neither does one that begins again and again.
  for (int i = 0; i < 10; ++i) {
    this->Begin(7);
  }
  CHECK(this->log.Size() == 4);
  CHECK(this->Find(7).version == kOld);
  CHECK_FALSE(this->Find(6).isKept);
}

// Guards against a stream that goes on at either of two versions, because two
// requests with the same id have begun it.
TEST_CASE_METHOD(LogFixture, "A stream that began at two versions is not known")
{
  this->Begin(1);
  this->Begin(1);
  CHECK(this->Find(1).version == kOld);
  this->Begin(1, kNew);
  CHECK(this->Find(1).isKept);
  CHECK_FALSE(this->Find(1).version);
  this->now += 30s;
  this->Begin(1, kNew);
  this->now += 40s;
  // The entries of the earlier version are gone.
  CHECK(this->Find(1).isKept);
  CHECK_FALSE(this->Find(1).version);
  this->now += 20s;
  CHECK_FALSE(this->Find(1).isKept);
}

// Guards against streams that control does not know when their service gets a
// second version, against a report that is made again and again, and against
// reports of streams that the replicated state has no records for.
TEST_CASE_METHOD(LogFixture, "Streams with a version are reported once")
{
  this->Begin(1);
  CHECK(this->Take() ==
        std::vector{ StreamBatch{ kService, kOld, Ids({ 1 }) } });
  this->Begin(2);
  this->Begin(3, kNew);
  this->Begin(4, kNew, kOther);
  CHECK(this->Take() == std::vector{ StreamBatch{ kService, kOld, Ids({ 2 }) },
                                     StreamBatch{ kService, kNew, Ids({ 3 }) },
                                     StreamBatch{ kOther, kNew, Ids({ 4 }) } });
  CHECK(this->Take().empty());
  this->Begin(5, SoftwareVersion());
  CHECK(this->Take().empty());
}

// Guards against a leader that lacks the streams that began before it became
// the leader.
TEST_CASE_METHOD(LogFixture, "What control may lack is reported again")
{
  this->Begin(1);
  this->Begin(2, kNew, kOther);
  CHECK(this->Take().size() == 2);
  this->log.ReportAgain();
  CHECK(this->Take() == std::vector{ StreamBatch{ kService, kOld, Ids({ 1 }) },
                                     StreamBatch{ kOther, kNew, Ids({ 2 }) } });
  CHECK(this->Take().empty());
  // A part that was not made before is not made twice.
  this->Begin(3);
  this->log.ReportAgain();
  CHECK(this->Take(1).size() == 1);
  this->log.ReportAgain();
  CHECK(this->Take() ==
        std::vector{ StreamBatch{ kService, kOld, Ids({ 1, 3 }) },
                     StreamBatch{ kOther, kNew, Ids({ 2 }) } });
  CHECK(this->Take().empty());
}

// Guards against a leader that records streams of other services, or of an
// earlier minute or leadership, when a service gets its second version, and
// against one that takes a stream of two versions for a stream of one.
TEST_CASE_METHOD(LogFixture, "The streams of a service are collected")
{
  CHECK(this->log.Collect(kService, this->now).empty());
  this->Begin(1);
  this->Begin(2, kNew, kOther);
  this->now += 30s;
  this->Begin(3);
  this->Begin(3, kNew);
  const std::vector expected{ StreamBatch{ kService, kOld, Ids({ 1, 3 }) },
                              StreamBatch{ kService, kNew, Ids({ 3 }) } };
  CHECK(this->log.Collect(kService, this->now) == expected);
  // Reports don't matter.
  this->Take();
  CHECK(this->log.Collect(kService, this->now) == expected);
  this->now += 30s;
  CHECK(this->log.Collect(kService, this->now) ==
        std::vector{ StreamBatch{ kService, kOld, Ids({ 3 }) },
                     StreamBatch{ kService, kNew, Ids({ 3 }) } });
  CHECK(this->log.Collect(kOther, this->now).empty());
  this->log.Clear();
  CHECK(this->log.Collect(kService, this->now).empty());
  CHECK(this->log.Size() == 0);
  CHECK_FALSE(this->Find(3).isKept);
  this->Begin(4);
  CHECK(this->Find(4).version == kOld);
  CHECK(this->Take() ==
        std::vector{ StreamBatch{ kService, kOld, Ids({ 4 }) } });
}

// Guards against a message that is too large for a link, and against streams
// that are left out of all messages.
TEST_CASE_METHOD(LogFixture, "Reports are made in parts")
{
  for (std::uint64_t i = 1; i <= 4; ++i) {
    this->Begin(i);
  }
  CHECK(this->Take(3) ==
        std::vector{ StreamBatch{ kService, kOld, Ids({ 1, 2, 3 }) } });
  // The first entry goes before the next part.
  this->Begin(5);
  CHECK(this->Take(3) ==
        std::vector{ StreamBatch{ kService, kOld, Ids({ 4, 5 }) } });
  CHECK(this->Take(3).empty());
  // A report that was not made in time is not made.
  this->Begin(6);
  this->now += 60s;
  CHECK(this->Take().empty());
  CHECK(this->log.Size() == 0);
}
