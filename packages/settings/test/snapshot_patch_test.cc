#include <catch2/catch.hpp>
#include <lycheestand/settings.h>

using namespace lycheestand;
using namespace lycheestand::settings;

namespace {

std::string
MakeSnapshot(const std::string& aDocument, std::size_t aKeys)
{
  std::map<KeyHash, CallerKey> keys;
  for (std::size_t i = 0; i < aKeys; ++i) {
    keys[KeyHash("hash" + std::to_string(i))] = { WorkspaceId("w"),
                                                  SiteId("s") };
  }
  return FormatFleetSnapshot(aDocument, keys);
}

} // namespace

// Guards against a router whose snapshot differs from control's after a patch,
// for example because a removed key stays valid.
TEST_CASE("A patched snapshot equals the new one")
{
  std::string old = MakeSnapshot(R"({"models":{"a":{},"b":{}}})", 5);
  std::string next =
    MakeSnapshot(R"({"models":{"a":{"max_output_tokens":9}}})", 3);
  auto patched = ApplySnapshotPatch(old, MakeSnapshotPatch(old, next));
  REQUIRE(patched.has_value());
  auto snapshot = ParseFleetSnapshot(patched.value());
  REQUIRE(snapshot.has_value());
  REQUIRE(snapshot.value().keys.size() == 3);
  REQUIRE(snapshot.value().settings.models.size() == 1);
  REQUIRE(snapshot.value().settings.models.at(ModelName("a")).maxOutput ==
          Tokens(9));
}

// Guards against patches whose size grows with the snapshot.
TEST_CASE("A patch for one key is small in a large snapshot")
{
  std::string old = MakeSnapshot("{}", 4000);
  std::string next = MakeSnapshot("{}", 4001);
  REQUIRE(MakeSnapshotPatch(old, next).size() < 200);
}

// Guards against a malformed patch that throws out of the package and ends the
// process.
TEST_CASE("A malformed patch is an error")
{
  REQUIRE(ApplySnapshotPatch("{}", "{\"a\":").has_error());
}
