#include <catch2/catch.hpp>
#include <lycheestand/streams.h>

using namespace lycheestand;
using namespace lycheestand::streams;
using namespace std::chrono_literals;

namespace {

membership::Endpoint
MakeEndpoint(const char* aId, const char* aVersion)
{
  membership::Endpoint endpoint;
  endpoint.endpoint = EndpointId(aId);
  endpoint.serves = "chat";
  endpoint.isService = true;
  endpoint.version = SoftwareVersion(aVersion);
  return endpoint;
}

// A tracker of the service "chat", which may have two versions.
class TrackerFixture
{
public:
  void Admit(std::set<const char*> aVersions)
  {
    Versions versions;
    for (const char* version : aVersions) {
      versions[this->chat].insert(SoftwareVersion(version));
    }
    this->tracker.SetAdmitted(std::move(versions));
  }

  Versions Of(const char* aVersion) const
  {
    return { { this->chat, { SoftwareVersion(aVersion) } } };
  }

  ServiceName chat{ "chat" };
  TimePoint now{ 1000s };
  VersionTracker tracker{ 2 };
  const std::vector<membership::Endpoint> both{ MakeEndpoint("e1", "v1"),
                                                MakeEndpoint("e2", "v2") };
  const std::vector<membership::Endpoint> onlySecond{ MakeEndpoint("e2",
                                                                   "v2") };
};

} // namespace

// Guards against streams that need a record and get none, and against a log
// that grows with streams whose version follows without.
TEST_CASE("Streams of an only version need no record")
{
  const ServiceName one("one");
  const ServiceName two("two");
  const SoftwareVersion first("v1");
  const SoftwareVersion second("v2");
  const Versions admitted{ { one, { first } }, { two, { first, second } } };
  CHECK_FALSE(NeedsRecord(admitted, one, first));
  CHECK(NeedsRecord(admitted, one, second));
  CHECK(NeedsRecord(admitted, two, first));
  CHECK(NeedsRecord(admitted, two, second));
  CHECK_FALSE(NeedsRecord(admitted, ServiceName("none"), first));
}

// Guards against requests at a version that the replicated state does not have.
TEST_CASE_METHOD(TrackerFixture,
                 "Only endpoints of admitted versions are selected")
{
  this->Admit({ "v1" });
  auto changes = this->tracker.Read(this->both, this->now);
  CHECK(changes.toAdmit == this->Of("v2"));
  CHECK(changes.toRetire.empty());
  auto selected = this->tracker.SelectAdmitted(this->both);
  REQUIRE(selected.size() == 1);
  CHECK(selected[0].endpoint == EndpointId("e1"));
  this->Admit({ "v1", "v2" });
  CHECK(this->tracker.Read(this->both, this->now).toAdmit.empty());
  CHECK(this->tracker.SelectAdmitted(this->both) == this->both);
}

// Guards against an admission that is lost for good with the leader or the
// commit that it was proposed to.
TEST_CASE_METHOD(TrackerFixture, "An admission that failed is asked for again")
{
  CHECK(this->tracker.Read(this->onlySecond, this->now).toAdmit ==
        this->Of("v2"));
  CHECK(this->tracker.Read(this->onlySecond, this->now + 1s).toAdmit ==
        this->Of("v2"));
}

// Guards against fleets whose lists name no versions that lose their endpoints,
// and against models, which have no streams of a service.
TEST_CASE_METHOD(TrackerFixture, "Endpoints without a version are selected")
{
  std::vector<membership::Endpoint> plain{ MakeEndpoint("e1", ""),
                                           MakeEndpoint("e2", "v2") };
  plain[1].isService = false;
  auto changes = this->tracker.Read(plain, this->now);
  CHECK(changes.toAdmit.empty());
  CHECK(this->tracker.SelectAdmitted(plain) == plain);
}

// Guards against a version that is retired while streams of it may still be
// taken up, and against one that is never retired.
TEST_CASE_METHOD(TrackerFixture,
                 "A version is retired ten minutes after it left the list")
{
  this->Admit({ "v1", "v2" });
  this->tracker.Read(this->both, this->now);
  CHECK(this->tracker.Read(this->onlySecond, this->now + 1s).toRetire.empty());
  auto end = this->now + 1s + 10min;
  CHECK(this->tracker.Read(this->onlySecond, end - 1s).toRetire.empty());
  CHECK(this->tracker.Read(this->onlySecond, end).toRetire == this->Of("v1"));
  CHECK(this->tracker.Read(this->onlySecond, end + 1s).toRetire ==
        this->Of("v1"));
}

// Guards against a version that is retired because its endpoints were missing
// several times for a short while.
TEST_CASE_METHOD(TrackerFixture, "A version that returns is not retired")
{
  this->Admit({ "v1", "v2" });
  this->tracker.Read(this->onlySecond, this->now);
  this->tracker.Read(this->both, this->now + 50s);
  CHECK(this->tracker.Read(this->onlySecond, this->now + 70s).toRetire.empty());
  CHECK(
    this->tracker.Read(this->onlySecond, this->now + 129s).toRetire.empty());
}

// Guards against a version that is retired at once when the list can be read
// again: routers had its endpoints in their view until then.
TEST_CASE_METHOD(TrackerFixture,
                 "Time without a reading does not count for retirement")
{
  this->Admit({ "v1", "v2" });
  this->tracker.Read(this->both, this->now);
  CHECK(
    this->tracker.Read(this->onlySecond, this->now + 300s).toRetire.empty());
}

// Guards against a new leader that retires versions by what it read when it led
// before.
TEST_CASE_METHOD(TrackerFixture, "A cleared tracker counts anew")
{
  this->Admit({ "v1", "v2" });
  this->tracker.Read(this->onlySecond, this->now);
  this->tracker.Clear();
  this->Admit({ "v1", "v2" });
  CHECK(this->tracker.Read(this->onlySecond, this->now + 90s).toRetire.empty());
}

// Guards against replicated state without a bound if a list is wrong.
TEST_CASE_METHOD(TrackerFixture,
                 "A service has at most the maximum of versions")
{
  this->Admit({ "v1" });
  auto list = this->both;
  list.push_back(MakeEndpoint("e3", "v3"));
  auto changes = this->tracker.Read(list, this->now);
  CHECK(changes.toAdmit == this->Of("v2"));
  CHECK(changes.excluded == this->Of("v3"));
  this->Admit({ "v2" });
  CHECK(this->tracker.Read(list, this->now).excluded == this->Of("v3"));
}

// Guards against routers that report the streams of all services all the time.
TEST_CASE("Only services with several versions are mixed")
{
  Versions versions{ { ServiceName("a"), { SoftwareVersion("v1") } },
                     { ServiceName("b"),
                       { SoftwareVersion("v1"), SoftwareVersion("v2") } } };
  CHECK(FindMixedServices(versions) == std::vector{ ServiceName("b") });
}

// Guards against commands that grow with the number of routers, and against
// streams that are lost when reports are merged or divided.
TEST_CASE("Reports are merged by version and taken in bounded parts")
{
  const ServiceName chat("chat");
  const SoftwareVersion v1("v1");
  const SoftwareVersion v2("v2");
  ReportQueue queue(5);
  CHECK(queue.Add({ chat, v1, { StreamId(1), StreamId(2) } }) == 0);
  CHECK(queue.Add({ chat, v2, { StreamId(3) } }) == 0);
  CHECK(queue.Add({ chat, v1, { StreamId(4), StreamId(5), StreamId(6) } }) ==
        1);
  auto first = queue.Take(3);
  CHECK(first == std::vector<StreamBatch>{
                   { chat, v1, { StreamId(2), StreamId(4), StreamId(5) } } });
  auto rest = queue.Take(3);
  CHECK(rest == std::vector<StreamBatch>{ { chat, v1, { StreamId(1) } },
                                          { chat, v2, { StreamId(3) } } });
  CHECK(queue.IsEmpty());
  CHECK(queue.Take(3).empty());
  CHECK(queue.Add({ chat, v1, { StreamId(7) } }) == 0);
}
