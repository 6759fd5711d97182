#include <catch2/catch.hpp>
#include <lycheestand/settings.h>

using namespace lycheestand;
using namespace lycheestand::settings;

// Guards against a misspelled key that silently has no effect.
TEST_CASE("An unknown key is an error that suggests the most similar one")
{
  auto fleet =
    ParseFleetSettings(R"({"models":{"chat":{"max_output_token":5}}})");
  REQUIRE(fleet.has_error());
  REQUIRE(fleet.error().pointer == "/models/chat/max_output_token");
  REQUIRE(fleet.error().message.find("max_output_tokens") != std::string::npos);
}

// Guards against values that the code can't handle, and against errors that
// don't say which values are allowed.
TEST_CASE("An error for a number has its pointer, value and range")
{
  auto fleet =
    ParseFleetSettings(R"({"models":{"chat":{"max_output_tokens":0}}})");
  REQUIRE(fleet.has_error());
  REQUIRE(ToString(fleet.error()) ==
          "/models/chat/max_output_tokens: must be an integer in 1..1000000, "
          "not 0");
}

// Guards against a site that may use models that its overlay doesn't list.
TEST_CASE("A site may use only the models in its overlay")
{
  auto fleet = ParseFleetSettings(
    R"({"models":{"a":{},"b":{}},"sites":{"depot":{"models":["a"]}}})");
  REQUIRE(fleet.has_value());
  const WorkspaceId workspace("kalkki");
  const auto& settings = fleet.value();
  REQUIRE(settings.AllowsModel(workspace, SiteId("depot"), ModelName("a")));
  REQUIRE_FALSE(
    settings.AllowsModel(workspace, SiteId("depot"), ModelName("b")));
}

// Guards against an empty list that is taken for one that was left out, and so
// allows everything, also after the way from control to a router.
TEST_CASE("An empty list of names allows nothing")
{
  auto snapshot = ParseFleetSnapshot(FormatFleetSnapshot(
    R"({"models":{"a":{}},"workspaces":{"none":{"models":[],"services":[]}},)"
    R"("sites":{"depot":{"models":[]}}})",
    {}));
  REQUIRE(snapshot.has_value());
  const auto& settings = snapshot.value().settings;
  const ModelName model("a");
  CHECK(settings.AllowsModel(WorkspaceId("all"), SiteId(), model));
  CHECK_FALSE(settings.AllowsModel(WorkspaceId("none"), SiteId(), model));
  CHECK_FALSE(
    settings.AllowsService(WorkspaceId("none"), SiteId(), ServiceName("s")));
  CHECK_FALSE(settings.AllowsModel(WorkspaceId("all"), SiteId("depot"), model));
  CHECK(snapshot.value().keys.empty());
}

// Guards against settings or keys that are lost between control and routers.
TEST_CASE("A formatted snapshot is parsed to the same settings and keys")
{
  std::map<KeyHash, CallerKey> keys{
    { KeyHash("ab"), { WorkspaceId("kalkki"), SiteId("depot") } }
  };
  auto snapshot =
    ParseFleetSnapshot(FormatFleetSnapshot(R"({"models":{"a":{}}})", keys));
  REQUIRE(snapshot.has_value());
  REQUIRE(snapshot.value().settings.models.contains(ModelName("a")));
  REQUIRE(snapshot.value().keys.at(KeyHash("ab")).site == SiteId("depot"));
}

// Guards against limits that are accepted but have no effect.
TEST_CASE("Admission limits are read from the document")
{
  auto fleet = ParseFleetSettings(
    R"({"admission":{"max_wait_ms":50,"max_queued":3,"batch_prompt_tokens":9}})");
  REQUIRE(fleet.has_value());
  REQUIRE(fleet.value().admission.maxWait == Milliseconds(50));
  REQUIRE(fleet.value().admission.maxQueued == 3);
  REQUIRE(fleet.value().admission.batchPromptThreshold == Tokens(9));
}

// Guards against routers that serve an evacuated zone because the evacuation is
// lost on the way from control, and against a snapshot that changes although
// nothing is evacuated.
TEST_CASE("Evacuated zones are part of the fleet snapshot")
{
  const std::set<ZoneId> zones{ ZoneId("a"), ZoneId("b \"quoted\"") };
  auto snapshot =
    ParseFleetSnapshot(FormatFleetSnapshot("", {}, "table", zones));
  REQUIRE(snapshot.has_value());
  CHECK(snapshot.value().evacuatedZones == zones);
  CHECK(snapshot.value().routes == "table");
  CHECK(FormatFleetSnapshot("", {}) == R"({"keys":{},"settings":{}})");
  auto none = ParseFleetSnapshot(FormatFleetSnapshot("", {}));
  REQUIRE(none.has_value());
  CHECK(none.value().evacuatedZones.empty());
}
