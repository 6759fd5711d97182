#include <catch2/catch.hpp>
#include <lycheestand/wire.h>
#include <random>

using namespace lycheestand;
using namespace lycheestand::wire;
using namespace std::chrono_literals;

// Fails if Pack or Unpack misses a field of a usage report.
TEST_CASE("A decoded message has the fields of the encoded one")
{
  UsageReport report{ BatchNumber(7),
                      { { WorkspaceId("kalkki"), Tokens(5), Tokens(2), 1 } } };
  auto decoded = Decode(Encode(report));
  REQUIRE(decoded.has_value());
  const auto& copy = std::get<UsageReport>(decoded.value());
  REQUIRE(copy.batch == BatchNumber(7));
  REQUIRE(copy.entries.size() == 1);
  REQUIRE(copy.entries[0].workspace == WorkspaceId("kalkki"));
  REQUIRE(copy.entries[0].spent == Tokens(5));
  REQUIRE(copy.entries[0].returned == Tokens(2));
}

// Fails if a router is not told of control instances that its settings do not
// name.
TEST_CASE("The control group is equal after decoding")
{
  std::vector<ControlEntry> group{ { InstanceId("c1"), { "10.1.0.3", 7340 } },
                                   { InstanceId("c2"), { "10.2.0.3", 7340 } } };
  auto welcome = Decode(Encode(Welcome{ false, "c2", "reason", group }));
  CHECK(std::get<Welcome>(welcome.value()).control == group);
  auto ack = Decode(Encode(HeartbeatAck{ {}, Revision(3), group }));
  CHECK(std::get<HeartbeatAck>(ack.value()).control == group);
}

// Fails if routers and control don't tell each other which parts of prompts
// crash endpoints.
TEST_CASE("Crash reports and the quarantine are equal after decoding")
{
  const std::vector<PromptPartId> parts{ PromptPartId(1), PromptPartId(~0ULL) };
  const std::vector<PromptPartId> others{ PromptPartId(3) };
  auto crash =
    Decode(Encode(CrashReport{ EndpointId("e"), parts, Milliseconds(70) }));
  const auto& report = std::get<CrashReport>(crash.value());
  CHECK(report.endpoint == EndpointId("e"));
  CHECK(report.parts == parts);
  CHECK(report.age == Milliseconds(70));
  auto success = Decode(Encode(PartSuccess{ parts }));
  CHECK(std::get<PartSuccess>(success.value()).parts == parts);
  auto state = Decode(Encode(QuarantineState{ parts, others }));
  const auto& lists = std::get<QuarantineState>(state.value());
  CHECK(lists.suspects == parts);
  CHECK(lists.quarantined == others);
  auto hello = Decode(Encode(Hello{ .acceptsQuarantine = true }));
  CHECK(std::get<Hello>(hello.value()).acceptsQuarantine);
  auto welcome = Decode(Encode(Welcome{ .tracksCrashes = true }));
  CHECK(std::get<Welcome>(welcome.value()).tracksCrashes);
}

// Fails if routers and control don't tell each other which requests crash
// endpoints.
TEST_CASE("Crashes and records of requests are equal after decoding")
{
  const std::vector<RequestDigest> digests{ RequestDigest(4),
                                            RequestDigest(~0ULL) };
  auto crash =
    Decode(Encode(CrashReport{ EndpointId("e"), {}, 70ms, digests }));
  CHECK(std::get<CrashReport>(crash.value()).digests == digests);
  auto success = Decode(Encode(PartSuccess{ {}, digests }));
  CHECK(std::get<PartSuccess>(success.value()).digests == digests);
  const std::vector<RequestRecord> records{
    { digests[0], 3, 7, Milliseconds(24h), 10min },
    { digests[1], 4, 3, 1ms, 20min }
  };
  auto state = Decode(Encode(QuarantineState{ {}, {}, digests, records }));
  const auto& lists = std::get<QuarantineState>(state.value());
  CHECK(lists.suspectRequests == digests);
  CHECK(lists.requests == records);
  auto endless = Decode(Encode(QuarantineState{
    {}, {}, {}, { { digests[0], 4, 3, Milliseconds::max(), 0ms } } }));
  CHECK(endless.error() == WireError::InvalidValue);
}

// Fails if a limit or a permit is lost on the way between routers and control.
TEST_CASE("Limits and permits are equal after a round trip")
{
  LimitReport limited{ EndpointId("e"), RequestRate(6.25), true };
  auto decoded = Decode(Encode(limited));
  const auto& report = std::get<LimitReport>(decoded.value());
  CHECK(report.endpoint == limited.endpoint);
  CHECK(report.limit == limited.limit);
  CHECK(report.isObserved);
  auto ended = Decode(Encode(LimitReport{ EndpointId("e"), {}, true }));
  CHECK_FALSE(std::get<LimitReport>(ended.value()).limit.has_value());
  auto state =
    Decode(Encode(LimitState{ { { EndpointId("a"), RequestRate(0) },
                                { EndpointId("b"), RequestRate(3) } } }));
  const auto& limits = std::get<LimitState>(state.value()).limits;
  REQUIRE(limits.size() == 2);
  CHECK(limits[1].endpoint == EndpointId("b"));
  CHECK(limits[1].rate == RequestRate(3));
  auto cold = Decode(
    Encode(LimitReport{ EndpointId("e"), RequestRate(18), true, true, 7s }));
  CHECK(std::get<LimitReport>(cold.value()).isCold);
  CHECK(std::get<LimitReport>(cold.value()).coldRemaining == 7s);
  auto both = Decode(
    Encode(LimitState{ {}, { { EndpointId("c"), RequestRate(18) } }, true }));
  CHECK(std::get<LimitState>(both.value()).limits.empty());
  CHECK(std::get<LimitState>(both.value()).isPartial);
  CHECK(std::get<LimitState>(both.value()).coldLimits.at(0).rate ==
        RequestRate(18));
  ViewPush push;
  push.endpoints.resize(1);
  push.endpoints[0].startTime = StartTime(1'790'000'000'000);
  push.endpoints[0].isCold = true;
  auto view = Decode(Encode(push));
  CHECK(std::get<ViewPush>(view.value()).endpoints == push.endpoints);
  auto request = Decode(Encode(PermitRequest{ EndpointId("e"), 4 }));
  CHECK(std::get<PermitRequest>(request.value()).count == 4);
  auto reply =
    Decode(Encode(PermitReply{ EndpointId("e"), 3, Milliseconds(170) }));
  CHECK(std::get<PermitReply>(reply.value()).granted == 3);
  CHECK(std::get<PermitReply>(reply.value()).wait == Milliseconds(170));
  auto negative =
    Decode(Encode(LimitReport{ EndpointId("e"), RequestRate(-1), true }));
  CHECK(negative.error() == WireError::InvalidValue);
  auto hello = Decode(Encode(Hello{ .acceptsLimits = true }));
  CHECK(std::get<Hello>(hello.value()).acceptsLimits);
  auto partial = Decode(Encode(Hello{ .acceptsPartialLimits = true }));
  CHECK(std::get<Hello>(partial.value()).acceptsPartialLimits);
  auto welcome = Decode(Encode(Welcome{ .grantsPermits = true }));
  CHECK(std::get<Welcome>(welcome.value()).grantsPermits);
}

// Guards against a permission to forward a request that is lost, or taken for
// another one's, on its way.
TEST_CASE("Messages about trials keep their fields")
{
  auto request = Decode(Encode(TrialRequest{ RequestDigest(7) }));
  CHECK(std::get<TrialRequest>(request.value()).digest == RequestDigest(7));
  auto reply = Decode(Encode(TrialReply{ RequestDigest(8), true }));
  CHECK(std::get<TrialReply>(reply.value()).digest == RequestDigest(8));
  CHECK(std::get<TrialReply>(reply.value()).granted);
  auto welcome = Decode(Encode(Welcome{ .grantsTrials = true }));
  CHECK(std::get<Welcome>(welcome.value()).grantsTrials);
}

// Guards against a stream that is taken up at another version because a message
// has lost the version, or because an unknown one reads as one without a name.
TEST_CASE("Messages about streams keep their fields")
{
  auto services = Decode(Encode(StreamServices{ { ServiceName("s") } }));
  CHECK(std::get<StreamServices>(services.value()).services ==
        std::vector{ ServiceName("s") });
  auto report = Decode(Encode(StreamReport{
    ServiceName("s"), SoftwareVersion("v2"), { StreamId(7), StreamId(9) } }));
  CHECK(std::get<StreamReport>(report.value()).version ==
        SoftwareVersion("v2"));
  CHECK(std::get<StreamReport>(report.value()).streams ==
        std::vector{ StreamId(7), StreamId(9) });
  auto query = Decode(Encode(StreamQuery{ 5, ServiceName("s"), StreamId(7) }));
  CHECK(std::get<StreamQuery>(query.value()).query == 5);
  CHECK(std::get<StreamQuery>(query.value()).stream == StreamId(7));
  auto unnamed = Decode(Encode(StreamQuery{ 6, ServiceName("s"), {} }));
  CHECK_FALSE(std::get<StreamQuery>(unnamed.value()).stream);
  auto known = Decode(Encode(StreamReply{ 5, SoftwareVersion("") }));
  CHECK(std::get<StreamReply>(known.value()).version == SoftwareVersion(""));
  auto unknown = Decode(Encode(StreamReply{ 6, {} }));
  CHECK_FALSE(std::get<StreamReply>(unknown.value()).version);
  auto hello = Decode(Encode(Hello{ .acceptsStreamServices = true }));
  CHECK(std::get<Hello>(hello.value()).acceptsStreamServices);
  auto welcome = Decode(Encode(Welcome{ .recordsStreams = true }));
  CHECK(std::get<Welcome>(welcome.value()).recordsStreams);
  for (bool flag : { false, true }) {
    auto replication =
      Decode(Encode(Replication{ .appliesStreamCommands = flag }));
    CHECK(std::get<Replication>(replication.value()).appliesStreamCommands ==
          flag);
  }
  ViewPush push;
  push.endpoints.resize(1);
  push.endpoints[0].version = SoftwareVersion("v2");
  auto view = Decode(Encode(push));
  CHECK(std::get<ViewPush>(view.value()).endpoints == push.endpoints);
}

// Fails if truncated or corrupted input from a faulty or hostile peer crashes
// the decoder. The seed is fixed.
TEST_CASE("Decode rejects malformed input without crashing")
{
  Replication message;
  message.from = InstanceId("c1");
  message.entries = { { Term(1), LogIndex(2), 1, "payload" } };
  const std::string valid = Encode(message);
  std::mt19937_64 generator(1);
  for (int i = 0; i < 20000; ++i) {
    std::string corrupted = valid.substr(0, generator() % (valid.size() + 1));
    for (std::size_t flips = generator() % 4; flips > 0 && !corrupted.empty();
         --flips) {
      corrupted[generator() % corrupted.size()] =
        static_cast<char>(generator());
    }
    auto decoded = Decode(corrupted);
    static_cast<void>(decoded.has_value());
  }
  REQUIRE(Decode("").has_error());
  REQUIRE(Decode("not a frame").has_error());
}
