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
  REQUIRE(ApplySnapshotPatch("{}", "").has_error());
  std::string old = MakeSnapshot("{}", 100);
  std::string patch = MakeSnapshotPatch(old, MakeSnapshot("{}", 101));
  REQUIRE(
    ApplySnapshotPatch(old, patch.substr(0, patch.size() - 1)).has_error());
  REQUIRE(ApplySnapshotPatch(MakeSnapshot("{}", 99), patch).has_error());
}

namespace {

// Returns a snapshot with a route table as the platform's operators send it.
std::string
MakeRoutedSnapshot(int aRoutes, int aVersion)
{
  std::string text =
    R"({"version":)" + std::to_string(aVersion) + R"(,"routes":[)";
  for (int i = 0; i < aRoutes; ++i) {
    text += (i == 0 ? "" : ",");
    text += R"({"name":"r-)" + std::to_string(i * 7919) +
            R"(","host":"h.example","pathPrefix":"/p)" +
            std::to_string(i * 104729) +
            R"(/","kind":"safe","timeoutMs":1000,"targetLatencyMs":150,)"
            R"("priority":2,"service":"s1","maxAttempts":2,"public":false,)"
            R"("sessionAffinity":false,"resumable":false})";
  }
  text += R"(],"services":[{"name":"s1","healthPath":"/health"}]})";
  return FormatFleetSnapshot("", {}, text);
}

} // namespace

// Guards against a push of the whole route table to every router for each
// change: the links of the leader were busy for seconds, and routers served by
// routes that had been replaced. At one change in 4 s and 11 KB/s for each
// instance, a push may take 44 KB.
TEST_CASE("a new route in a large table makes a small patch")
{
  std::string old = MakeRoutedSnapshot(1400, 5);
  std::string next = MakeRoutedSnapshot(1401, 8);
  auto patch = MakeSnapshotPatch(old, next);
  CHECK(patch.size() < 4400);
  auto patched = ApplySnapshotPatch(old, patch);
  REQUIRE(patched.has_value());
  CHECK(patched.value() == next);
}

// Guards against the limit of a configuration file being applied to snapshots,
// which may be larger.
TEST_CASE("a snapshot of more than a mebibyte can be patched")
{
  std::string old = MakeRoutedSnapshot(9000, 5);
  std::string next = MakeRoutedSnapshot(9001, 6);
  REQUIRE(old.size() > kMaxDocumentBytes);
  auto patched = ApplySnapshotPatch(old, MakeSnapshotPatch(old, next));
  REQUIRE(patched.has_value());
  CHECK(patched.value() == next);
}
