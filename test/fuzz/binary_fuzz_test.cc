// Decoders of frames on links and of stored records get changed inputs with
// fixed seeds. An exception or a crash fails the test.

#include "frames.h"
#include "mutator.h"

#include <catch2/catch.hpp>
#include <lycheestand/journal.h>
#include <lycheestand/wire.h>

namespace lycheestand::fuzz {

namespace {

constexpr int kBinaryRounds = 100'000;

// Bytes that are lengths or offsets at their limits.
const std::vector<std::string> kLimitBytes{ std::string(4, '\xff'),
                                            std::string(4, '\0'),
                                            std::string("\x00\x00\x00\x80", 4),
                                            std::string(8, '\xff') };

} // namespace

// Guards against a peer, or a host that is taken for one, that ends a process
// with a frame.
TEST_CASE("Changed frames give an error or a message")
{
  const std::vector<std::string> frames{
    wire::Encode(wire::Hello{ .acceptsQuarantine = true }),
    wire::Encode(wire::Welcome{
      false, "c2", "reason", { { InstanceId("c1"), { "10.1.0.3", 7340 } } } }),
    wire::Encode(wire::UsageReport{
      BatchNumber(7), { { WorkspaceId("kalkki"), Tokens(5), Tokens(2), 1 } } }),
    wire::Encode(wire::CrashReport{ EndpointId("e"),
                                    { PromptPartId(1), PromptPartId(~0ULL) },
                                    Milliseconds(70) }),
    wire::Encode(wire::QuarantineState{ { PromptPartId(1) }, {} }),
    wire::Encode(wire::Replication{}),
    wire::Encode(wire::ConfigPush{}),
    wire::Encode(wire::Heartbeat{}),
  };
  Mutator mutator(42, kLimitBytes);
  std::size_t decoded = 0;
  for (int i = 0; i < kBinaryRounds; ++i) {
    auto bytes = mutator.Mutate(frames[mutator.Below(frames.size())]);
    CAPTURE(i);
    auto message = wire::Decode(bytes);
    if (message.has_value()) {
      ++decoded;
      CHECK(wire::Decode(wire::Encode(message.value())).has_value());
    }
  }
  CHECK(decoded > 0);
}

// Guards against a damaged disk that ends control, instead of an error.
TEST_CASE("Changed records give an error or a value")
{
  using namespace storage;
  const std::vector<std::string> bodies{
    EncodeRecords({ { LogIndex(1), Term(1), 0, "payload" },
                    { LogIndex(2), Term(1), 1, std::string(100, 'p') } }),
    EncodeState(HardState{}),
    EncodeSnapshot({ { LogIndex(3), Term(2), "members", "data" }, 4 }),
    EncodeFrame("body"),
    journal::EncodeCommand(
      state::CreateWorkspace{ ChangeId("c"), WorkspaceId("w") }),
    journal::EncodeCommand(
      state::TopUpBudget{ ChangeId("c"), WorkspaceId("w"), Tokens(5) }),
    journal::EncodeSnapshot(state::StateMachine()),
  };
  Mutator mutator(43, kLimitBytes);
  std::size_t decoded = 0;
  for (int i = 0; i < kBinaryRounds; ++i) {
    auto bytes = mutator.Mutate(bodies[mutator.Below(bodies.size())]);
    CAPTURE(i);
    decoded += DecodeRecords(bytes).has_value() ? 1 : 0;
    decoded += DecodeState(bytes).has_value() ? 1 : 0;
    decoded += DecodeSnapshot(bytes).has_value() ? 1 : 0;
    decoded += DecodeFrame(bytes, mutator.Below(40)).has_value() ? 1 : 0;
    decoded += journal::DecodeCommand(bytes).has_value() ? 1 : 0;
    decoded += journal::DecodeSnapshot(bytes).has_value() ? 1 : 0;
  }
  CHECK(decoded > 0);
}

} // namespace lycheestand::fuzz
