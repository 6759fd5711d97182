#include <catch2/catch.hpp>
#include <lycheestand/journal.h>
#include <random>

using namespace lycheestand;
using namespace lycheestand::journal;
using namespace lycheestand::state;

namespace {

// Generates random commands over a small set of ids, so that many of them take
// effect.
class JournalFixture
{
public:
  std::uint64_t Pick(std::uint64_t aBound) { return this->random() % aBound; }

  std::string Name(const char* aPrefix, std::uint64_t aBound)
  {
    return aPrefix + std::to_string(this->Pick(aBound));
  }

  Tokens Amount() { return Tokens(static_cast<int>(this->Pick(200)) - 10); }

  Command MakeCommand()
  {
    ChangeId change(this->Name("change-", 2000));
    WorkspaceId workspace(this->Name("w", 4));
    SessionId session(this->Pick(12));
    switch (this->Pick(18)) {
      case 0:
        return CreateWorkspace{ change, workspace };
      case 1:
        return TopUpBudget{ change, workspace, this->Amount() };
      case 2:
        return CreateKey{ change,
                          KeyId(this->Name("k", 9)),
                          KeyHash(this->Name("h", 20)),
                          workspace,
                          SiteId("north") };
      case 3:
        return RevokeKey{ change, KeyId(this->Name("k", 9)) };
      case 4:
        return ApplyConfiguration{ change,
                                   this->machine.Configuration().Current(),
                                   this->Name("{}", 1000),
                                   { { workspace, this->Amount() } } };
      case 5:
        return RegisterSession{ InstanceId(this->Name("r", 4)), session };
      case 6:
        return CloseSession{ change, InstanceId(this->Name("r", 4)) };
      case 7:
        return this->MakeGrant(session, workspace);
      case 8:
        return this->MakeReport(session, workspace);
      case 9:
        return OrderEngine{ change,
                            EndpointId(this->Name("e", 3)),
                            static_cast<OrderKind>(this->Pick(4)),
                            this->Name("v", 3) };
      case 10:
        return ConfirmOrder{ EndpointId(this->Name("e", 3)),
                             FencingNumber(1 + this->Pick(300)) };
      case 11:
        return ReplaceRoutes{ ConfigVersion(1 + this->Pick(300)),
                              this->Name("{}", 1000),
                              { { workspace, this->Amount() } } };
      case 12:
        return SetZoneEvacuation{ this->Pick(2) == 0 ? change : ChangeId(),
                                  ZoneId(this->Name("z", 4)),
                                  this->Pick(2) == 0,
                                  this->Pick(4) != 0,
                                  { ZoneId("z0"), ZoneId("z1") } };
      case 13:
        return AdmitVersion{ this->MakeService(), this->MakeVersion() };
      case 14:
        return this->Pick(8) == 0
                 ? Command(
                     RetireVersion{ this->MakeService(), this->MakeVersion() })
                 : Command(this->MakeStreams());
      case 15:
        return this->MakeStreams();
      case 16:
        return AgeStreams{};
      default:
        return this->MakeOperation(session, workspace);
    }
  }

  GrantTokens MakeGrant(SessionId aSession, const WorkspaceId& aWorkspace)
  {
    GrantTokens grant{
      aSession,       1 + this->Pick(50),           aWorkspace,
      this->Amount(), this->Amount() + Tokens(150), this->Pick(2) == 0
    };
    grant.isMainUser = grant.request % 2 == 0;
    return grant;
  }

  Command MakeReport(SessionId aSession, const WorkspaceId& aWorkspace)
  {
    const Session* known = this->machine.Sessions().Find(aSession);
    std::uint64_t last = known == nullptr ? 0 : known->lastBatch.Get();
    return ReportUsage{ aSession,
                        BatchNumber(last + this->Pick(2)),
                        { { aWorkspace, Tokens(1), Tokens(2), 1 } } };
  }

  Command MakeOperation(SessionId aSession, const WorkspaceId& aWorkspace)
  {
    return RecordOperation{ aSession,
                            this->Pick(3),
                            aWorkspace,
                            OperationKey(this->Name("o", 40)),
                            BodyHash(this->Name("b", 2)),
                            static_cast<OperationPhase>(this->Pick(4)),
                            { 200, "text/plain", std::string("a\0b", 3) } };
  }

  ServiceName MakeService() { return ServiceName(this->Name("s", 2)); }

  SoftwareVersion MakeVersion() { return SoftwareVersion(this->Name("v", 20)); }

  RecordStreams MakeStreams()
  {
    RecordStreams command;
    for (auto batches = this->Pick(4); batches > 0; --batches) {
      command.batches.push_back(
        { this->MakeService(), this->MakeVersion(), {} });
      for (auto streams = this->Pick(5); streams > 0; --streams) {
        command.batches.back().streams.emplace_back(this->Pick(100));
      }
    }
    return command;
  }

  std::string Corrupt(const std::string& aBytes)
  {
    std::string bad = aBytes;
    if (this->Pick(4) == 0) {
      bad.resize(this->Pick(bad.size() + 1));
    }
    for (auto flips = 1 + this->Pick(4); flips > 0 && !bad.empty(); --flips) {
      bad[this->Pick(bad.size())] = static_cast<char>(this->Pick(256));
    }
    return bad;
  }

  std::mt19937_64 random{ 20240611 };
  StateMachine machine;
};

} // namespace

// Guards against a field of a command that is not encoded or not decoded.
TEST_CASE_METHOD(JournalFixture, "Every command is decoded as it was encoded")
{
  std::set<std::size_t> kinds;
  for (int i = 0; i < 2000; ++i) {
    Command command = this->MakeCommand();
    auto copy = DecodeCommand(EncodeCommand(command));
    REQUIRE(copy.has_value());
    REQUIRE(copy.value() == command);
    kinds.insert(command.index());
  }
  REQUIRE(kinds.size() == std::variant_size_v<Command>);
}

// Guards against state that is missing in a snapshot: the restored machine
// would return other outcomes for later commands than the other replicas.
TEST_CASE_METHOD(JournalFixture,
                 "A restored state machine behaves like the original")
{
  std::set<std::size_t> outcomes;
  for (int i = 0; i < 4000; ++i) {
    outcomes.insert(this->machine.Apply(this->MakeCommand()).index());
  }
  REQUIRE(outcomes.size() == std::variant_size_v<Outcome>);
  auto decoded = DecodeSnapshot(EncodeSnapshot(this->machine));
  REQUIRE(decoded.has_value());
  StateMachine restored = decoded.value();
  REQUIRE(restored == this->machine);
  for (int i = 0; i < 4000; ++i) {
    Command command = this->MakeCommand();
    REQUIRE(restored.Apply(command) == this->machine.Apply(command));
  }
  REQUIRE(restored == this->machine);
  REQUIRE(EncodeSnapshot(restored) == EncodeSnapshot(this->machine));
}

// Guards against a crash on a record that the disk or the network damaged.
TEST_CASE_METHOD(JournalFixture, "Damaged commands are safe to decode")
{
  for (int i = 0; i < 20000; ++i) {
    auto decoded =
      DecodeCommand(this->Corrupt(EncodeCommand(this->MakeCommand())));
    if (decoded.has_value()) {
      this->machine.Apply(decoded.value());
    }
  }
  REQUIRE(DecodeCommand("").has_error());
  REQUIRE(DecodeCommand("not a command").has_error());
}

// Guards against a crash on a damaged snapshot, and against accepting one whose
// budgets hold more tokens than were paid.
TEST_CASE_METHOD(JournalFixture, "Damaged snapshots are safe to decode")
{
  for (int i = 0; i < 200; ++i) {
    this->machine.Apply(this->MakeCommand());
  }
  const std::string good = EncodeSnapshot(this->machine);
  std::size_t refused = 0;
  for (int i = 0; i < 5000; ++i) {
    auto decoded = DecodeSnapshot(this->Corrupt(good));
    refused += decoded.has_error() ? 1 : 0;
    if (decoded.has_value()) {
      for (const auto& [id, budget] : decoded.value().Budgets().Budgets()) {
        REQUIRE(budget.Free() >= Tokens(0));
      }
    }
  }
  REQUIRE(refused > 0);
  REQUIRE(DecodeSnapshot("").has_error());
}

namespace {

// A command and a snapshot as a build without evacuations wrote them.
constexpr std::string_view kOldCommand =
  "0c00000008000e0007000800080000000000000d1000000000000a0014000c0004000800"
  "0a000000380000000c0000000700000000000000010000000c0000000800100004000800"
  "080000000c00000009000000000000000100000077000000020000007b7d0000";
constexpr std::string_view kOldSnapshot =
  "280000002400300010000400000008000000180000000000000000000000000020000000"
  "28000c00240000005c000000300000002400000001000000000000000100000000000000"
  "01000000000000000700000000000000020000007b7d0000010000000c00000008001000"
  "04000800080000000c000000090000000000000001000000770000000100000004000000"
  "0100000077000000";

std::string
FromHex(std::string_view aDigits)
{
  std::string out;
  for (std::size_t i = 0; i + 1 < aDigits.size(); i += 2) {
    out += static_cast<char>(
      std::stoi(std::string(aDigits.substr(i, 2)), nullptr, 16));
  }
  return out;
}

} // namespace

// Guards against a new build that can't read the disk of an old one, or takes
// its state for one with evacuated zones.
TEST_CASE("A log and a snapshot without evacuations are read as none")
{
  auto command = DecodeCommand(FromHex(kOldCommand));
  REQUIRE(command.has_value());
  StateMachine replayed;
  replayed.Apply(command.value());
  auto snapshot = DecodeSnapshot(FromHex(kOldSnapshot));
  REQUIRE(snapshot.has_value());
  CHECK(snapshot.value() == replayed);
  CHECK(snapshot.value().Routes().Version() == ConfigVersion(7));
  CHECK(snapshot.value().Evacuations().Evacuations().empty());
}

// Guards against an acknowledged evacuation that is lost with a restart.
TEST_CASE("Evacuations are part of the snapshot")
{
  StateMachine machine;
  for (const char* zone : { "a", "b" }) {
    machine.Apply(
      SetZoneEvacuation{ ChangeId("c-" + std::string(zone)), ZoneId(zone) });
  }
  auto restored = DecodeSnapshot(EncodeSnapshot(machine));
  REQUIRE(restored.has_value());
  CHECK(restored.value() == machine);
  CHECK(restored.value().Evacuations().Evacuations().at(ZoneId("b")) ==
        Evacuation{ Revision(2), ChangeId("c-b") });
}

// Guards against streams that can't be taken up after a restart of all control
// instances, and against a generation that a restored record lives on in.
TEST_CASE("Versions and records of streams are part of the snapshot")
{
  const ServiceName chat("chat");
  const SoftwareVersion v1("v1");
  const SoftwareVersion v2("v2");
  StateMachine machine;
  machine.Apply(AdmitVersion{ chat, v1 });
  machine.Apply(AdmitVersion{ chat, v2 });
  machine.Apply(
    RecordStreams{ { { chat, v1, { StreamId(1), StreamId(3) } } } });
  machine.Apply(AgeStreams{});
  machine.Apply(
    RecordStreams{ { { chat, v2, { StreamId(2), StreamId(3) } } } });
  auto decoded = DecodeSnapshot(EncodeSnapshot(machine));
  REQUIRE(decoded.has_value());
  StateMachine restored = decoded.value();
  CHECK(restored == machine);
  CHECK(restored.Streams().Find(chat, StreamId(1)) == v1);
  CHECK(restored.Streams().Find(chat, StreamId(2)) == v2);
  CHECK(restored.Streams().Find(chat, StreamId(3)) == std::nullopt);
  CHECK(restored.Streams().VersionChanges() == 2);
  restored.Apply(AgeStreams{});
  CHECK(restored.Streams().Find(chat, StreamId(1)) == std::nullopt);
  CHECK(restored.Streams().Find(chat, StreamId(2)) == v2);
}

// Guards against a new build that can't read the disk of one without versions,
// or that takes its state for one with streams.
TEST_CASE("A snapshot without versions is read as none")
{
  auto snapshot = DecodeSnapshot(FromHex(kOldSnapshot));
  REQUIRE(snapshot.has_value());
  CHECK(snapshot.value().Streams() == StreamRegister());
}
