#include <catch2/catch.hpp>
#include <lycheestand/settings.h>
#include <random>

using namespace lycheestand;
using namespace lycheestand::settings;

namespace {

const SourceText kBase{
  "base.json",
  R"({"models":{"chat":{"max_output_tokens":100,"min_output_tokens":50},)"
  R"("draft":{}},"services":{"visits":{"routes":[{"method":"POST",)"
  R"("path":"/visits","repeatable":false}],"timeout_ms":5000}},)"
  R"("workspaces":{"kalkki":{"weight":3,"max_in_flight":8}}})"
};

SiteOverlay
Overlay(const std::string& aText)
{
  return { SiteId("depot"), { "depot.json", aText } };
}

std::string
MessageOf(const Result<std::string, SettingsError>& aResult)
{
  REQUIRE(aResult.has_error());
  return ToString(aResult.error());
}

// Inserts, erases, replaces or duplicates bytes at one to four random
// positions.
std::string
Mutate(std::string aText, std::mt19937_64& aRandom)
{
  for (std::uint64_t left = 1 + aRandom() % 4; left > 0; --left) {
    std::size_t place = aRandom() % (aText.size() + 1);
    switch (aRandom() % 4) {
      case 0:
        aText.insert(place, 1, static_cast<char>(aRandom() % 256));
        break;
      case 1:
        aText.erase(place, aRandom() % 12);
        break;
      case 2:
        aText.insert(place, aText.substr(aRandom() % (aText.size() + 1), 40));
        break;
      default:
        if (place < aText.size()) {
          aText[place] = "{}[]\",:0-9e.\\u"[aRandom() % 14];
        }
    }
  }
  return aText;
}

// Passes the text to every function that reads one. An error must have a
// message of limited length.
void
RequireUsableErrors(const std::string& aText)
{
  auto check = [](const auto& aResult) {
    if (aResult.has_error()) {
      REQUIRE_FALSE(aResult.error().message.empty());
      REQUIRE(ToString(aResult.error()).size() < 2000);
    }
  };
  check(ParseFleetSettings(aText));
  check(ParseProcessSettings(aText));
  check(ParseClientSettings(aText));
  check(ParseFleetSnapshot(aText));
  check(FormatPretty(aText));
  check(MergeOverlays({ "base", aText }, { Overlay(aText) }));
  check(DiffDocuments(kBase.text, aText));
}

} // namespace

// Guards against an overlay whose values are lost while it is merged into the
// document.
TEST_CASE("A merged overlay sets the limits of its site")
{
  auto merged =
    MergeOverlays(kBase,
                  { Overlay(R"({"models":["chat"],"max_output_tokens":20,)"
                            R"("weight":9,"max_in_flight":2,)"
                            R"("first_token_timeout_ms":700,)"
                            R"("service_timeout_ms":800})") });
  REQUIRE(merged.has_value());
  FleetSettings fleet = ParseFleetSettings(merged.value()).value();
  const SiteId depot("depot");
  const SiteId other("other");
  const WorkspaceId kalkki("kalkki");
  auto model = fleet.ModelFor(depot, ModelName("chat"));
  REQUIRE(model->maxOutput == Tokens(20));
  REQUIRE(model->minOutput == Tokens(20));
  REQUIRE(model->firstTokenTimeout == Milliseconds(700));
  REQUIRE(fleet.ModelFor(other, ModelName("chat"))->maxOutput == Tokens(100));
  REQUIRE_FALSE(fleet.ModelFor(depot, ModelName("none")));
  const auto& visits = fleet.services.at(ServiceName("visits"));
  REQUIRE(fleet.ServiceTimeoutFor(depot, visits) == Milliseconds(800));
  REQUIRE(fleet.ServiceTimeoutFor(other, visits) == Milliseconds(5000));
  REQUIRE(fleet.WeightFor(kalkki, depot) == 9);
  REQUIRE(fleet.WeightFor(kalkki, other) == 3);
  REQUIRE(fleet.MaxInFlightFor(kalkki, depot) == 2);
  REQUIRE(fleet.MaxInFlightFor(kalkki, other) == 8);
  REQUIRE_FALSE(fleet.AllowsModel(kalkki, depot, ModelName("draft")));
}

// Guards against an error in an overlay that is reported for the base file.
TEST_CASE("An error in an overlay names the overlay's file and pointer")
{
  CHECK(MessageOf(MergeOverlays(kBase, { Overlay(R"({"modles":[]})") })) ==
        R"(depot.json: /modles: unknown key; did you mean "models"?)");
  CHECK(MessageOf(MergeOverlays(kBase, { Overlay(R"({"models":["x"]})") })) ==
        R"(depot.json: /models/0: no model "x" is configured)");
  CHECK(
    MessageOf(MergeOverlays(kBase, { Overlay("{}"), Overlay("{}") })) ==
    R"(depot.json: the site "depot" is already set by the base file or another )"
    "overlay");
  CHECK(MessageOf(MergeOverlays({ "base.json", "{" }, {})) ==
        "base.json: line 1, column 2: incomplete JSON");
}

// Guards against a change that "config diff" doesn't show.
TEST_CASE("Differences include each changed, added and removed member")
{
  auto differences =
    DiffDocuments(R"({"a":{"x":1,"y":2},"b":[1]})", R"({"a":{"x":3},"c":{}})");
  REQUIRE(differences.value() == std::vector<Difference>{ { "/a/x", "1", "3" },
                                                          { "/a/y", "2", "" },
                                                          { "/b", "[1]", "" },
                                                          { "/c", "", "{}" } });
  REQUIRE(
    DiffDocuments(R"({"a":1,"b":2})", R"({"b":2,"a":1})").value().empty());
}

// Guards against input that crashes the parser or causes an error without a
// message.
TEST_CASE("Random and mutated documents cause no crash and no empty error")
{
  std::mt19937_64 random(20241);
  for (int i = 0; i < 4000; ++i) {
    std::string bytes(random() % 200, '\0');
    for (char& byte : bytes) {
      byte = static_cast<char>(random() % 256);
    }
    RequireUsableErrors(bytes);
  }
  const std::string process =
    R"({"instance":"r1","zone":"z1","role":"router","caller_address":)"
    R"("127.0.0.1:1","admin_address":"127.0.0.1:2","fleet_key_file":"k",)"
    R"("control":[{"instance":"c1","peer":"127.0.0.1:3","admin":)"
    R"("127.0.0.1:4"}],"log_level":"info","max_body_bytes":65536})";
  for (int i = 0; i < 8000; ++i) {
    RequireUsableErrors(Mutate(kBase.text, random));
    RequireUsableErrors(Mutate(process, random));
  }
}
