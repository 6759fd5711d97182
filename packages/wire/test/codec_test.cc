#include <catch2/catch.hpp>
#include <lycheestand/wire.h>
#include <random>

using namespace lycheestand;
using namespace lycheestand::wire;

// Guards against a field that is packed but not unpacked.
TEST_CASE("A message keeps its fields through the codec")
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

// Guards against a crash on bytes from a broken or hostile peer.
TEST_CASE("Decode refuses damaged bytes without a crash")
{
  Replication message;
  message.from = InstanceId("c1");
  message.entries = { { Term(1), LogIndex(2), 1, "payload" } };
  const std::string good = Encode(message);
  std::mt19937_64 random(1);
  for (int i = 0; i < 20000; ++i) {
    std::string bad = good.substr(0, random() % (good.size() + 1));
    for (std::size_t flips = random() % 4; flips > 0 && !bad.empty(); --flips) {
      bad[random() % bad.size()] = static_cast<char>(random());
    }
    auto decoded = Decode(bad);
    static_cast<void>(decoded.has_value());
  }
  REQUIRE(Decode("").has_error());
  REQUIRE(Decode("not a frame").has_error());
}
