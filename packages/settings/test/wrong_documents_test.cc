#include <catch2/catch.hpp>
#include <fstream>
#include <lycheestand/settings.h>
#include <unistd.h>

using namespace lycheestand;
using namespace lycheestand::settings;

namespace {

struct WrongDocument
{
  std::string text;
  std::string message;
};

template<class Parse>
void
RequireMessages(const std::vector<WrongDocument>& aTable, Parse aParse)
{
  for (const auto& row : aTable) {
    INFO(row.text);
    auto result = aParse(row.text);
    REQUIRE(result.has_error());
    CHECK(ToString(result.error()) == row.message);
  }
}

const std::string kHash(64, 'a');

// Returns a control instance's settings with a part of the text replaced.
std::string
ControlWith(const std::string& aFrom, const std::string& aTo)
{
  std::string text =
    R"({"instance":"c1","zone":"z1","role":"control",)"
    R"("peer_address":"127.0.0.1:1","admin_address":"127.0.0.1:2",)"
    R"("data_folder":"d","fleet_key_file":"k","operator_key_hashes":[")" +
    kHash +
    R"("],"control":[{"instance":"c1","peer":"127.0.0.1:1",)"
    R"("admin":"127.0.0.1:2"}]})";
  auto place = text.find(aFrom);
  REQUIRE(place != std::string::npos);
  return text.replace(place, aFrom.size(), aTo);
}

} // namespace

// Guards against an invalid configuration that is accepted, and against
// messages that don't say what is wrong and where.
TEST_CASE("Each invalid configuration document has its exact message")
{
  RequireMessages(
    {
      { "", "line 1, column 1: incomplete JSON" },
      { "{\n \"models\": nul\n}", "line 2, column 12: syntax error" },
      { "{} {}", "line 1, column 4: text after the end of the document" },
      { "[]", "must be an object, not []" },
      { R"({"models":{"a":{},"a":{}}})",
        R"(/models/a: the key "a" is given twice; remove one)" },
      { R"({"models":{"a/b":{"x":[{"y":1,"y":2}]}}})",
        R"(/models/a~1b/x/0/y: the key "y" is given twice; remove one)" },
      { R"({"models":)" + std::string(16, '['),
        "/models/0/0/0/0/0/0/0/0/0/0/0/0/0/0/0: is nested deeper than 16 "
        "levels" },
      { R"({"model":{}})", R"(/model: unknown key; did you mean "models"?)" },
      { R"({"entirely_else":{}})", "/entirely_else: unknown key" },
      { R"({"models":{"":{}}})",
        "/models/: the name must be a string of 1 to 128 bytes without "
        "control characters" },
      { R"({"models":{"a":{"max_output_tokens":"9"}}})",
        "/models/a/max_output_tokens: must be an integer in 1..1000000, not "
        "\"9\"" },
      { R"({"models":{"a":{"max_output_tokens":9,"min_output_tokens":10}}})",
        "/models/a/min_output_tokens: must be an integer in 1..9, not 10" },
      { R"({"models":{"a":{"first_token_timeout_ms":1.5}}})",
        "/models/a/first_token_timeout_ms: must be an integer in "
        "100..600000, not 1.5E0" },
      { R"({"services":{"s":{}}})", R"(/services/s: "routes" is required)" },
      { R"({"services":{"s":{"routes":[]}}})",
        "/services/s/routes: must be an array of at least one route, not []" },
      { R"({"services":{"s/t":{"routes":[{"method":"GET","path":"/",)"
        R"("repeatable":true}]}}})",
        R"(/services/s~1t: the name of a service must not contain "/")" },
      { R"({"services":{"s":{"routes":[{"method":"get","path":"/",)"
        R"("repeatable":true}]}}})",
        R"(/services/s/routes/0/method: must be "GET", "HEAD", "POST", "PUT")"
        R"(, "PATCH" or "DELETE", not "get")" },
      { R"({"services":{"s":{"routes":[{"method":"GET","path":"x",)"
        R"("repeatable":true}]}}})",
        R"(/services/s/routes/0/path: must be a path that begins with "/", )"
        R"(not "x")" },
      { R"({"services":{"s":{"routes":[)"
        R"({"method":"POST","path":"/","repeatable":true},)"
        R"({"method":"POST","path":"/visits","repeatable":false}]}}})",
        "/services/s/routes/1: is never reached: route 0 (POST /) "
        "matches first; move the longer path before it" },
      { R"({"workspaces":{"w":{"weight":0}}})",
        "/workspaces/w/weight: must be an integer in 1..1000, not 0" },
      { R"({"models":{"chat":{}},"workspaces":{"w":{"models":["chet"]}}})",
        R"(/workspaces/w/models/0: no model "chet" is configured; did you )"
        R"(mean "chat"?)" },
      { R"({"sites":{"depot":{"services":["visits"]}}})",
        R"(/sites/depot/services/0: no service "visits" is configured)" },
      { R"({"models":{"a":{}},"sites":{"s":{"models":["a","a"]}}})",
        R"(/sites/s/models/1: "a" is listed twice)" },
      { R"({"models":{"a":{}},"sites":{"s":{"models":["a","*"]}}})",
        R"(/sites/s/models: "*" allows all names and must stand alone)" },
      { R"({"sites":{"s":{"service_timeout_ms":9}}})",
        "/sites/s/service_timeout_ms: must be an integer in 10..600000, not "
        "9" },
      { R"({"max_in_flight_per_endpoint":null})",
        "/max_in_flight_per_endpoint: must be an integer in 1..100000, not "
        "null" },
      { std::string(kMaxDocumentBytes + 1, ' '),
        "the document has 1048577 bytes; at most 1048576 are allowed" },
    },
    ParseFleetSettings);
}

// Guards against a process that starts with invalid settings.
TEST_CASE("Each invalid process file has its exact message")
{
  RequireMessages(
    {
      { "{}", R"("instance" is required)" },
      { ControlWith("\"zone\":\"z1\"", "\"zone\":\"\""),
        "/zone: must be a string of 1 to 128 bytes without control "
        "characters, not \"\"" },
      { ControlWith("\"role\":\"control\"", "\"role\":\"boss\""),
        R"(/role: must be "router", "control" or "both", not "boss")" },
      { ControlWith("\"data_folder\":\"d\",", ""),
        R"("data_folder" is required)" },
      { ControlWith("\"peer_address\":\"127.0.0.1:1\"",
                    "\"peer_address\":\"localhost:1\""),
        "/peer_address: must be an IP address and a port in 1..65535, such "
        "as \"127.0.0.1:8080\", not \"localhost:1\"" },
      { ControlWith("\"admin_address\":\"127.0.0.1:2\"",
                    "\"admin_address\":\"127.0.0.1:1\""),
        R"(/admin_address: "127.0.0.1:1" is already used by /peer_address)" },
      { ControlWith("\"data_folder\"",
                    "\"caller_address\":\"127.0.0.1:3\",\"data_folder\""),
        R"(/caller_address: has no effect when /role is "control")" },
      { ControlWith("\"instance\":\"c1\"", "\"instance\":\"c2\""),
        R"(/control: must list this instance, "c2")" },
      { ControlWith("\"control\":[",
                    "\"control\":[{\"instance\":\"c1\",\"peer\":"
                    "\"127.0.0.1:5\",\"admin\":\"127.0.0.1:6\"},"),
        R"(/control/1/instance: "c1" is already used by /control/0/instance)" },
      { ControlWith("\"control\":[",
                    "\"control\":[{\"instance\":\"c0\",\"peer\":"
                    "\"127.0.0.1:5\",\"admin\":\"127.0.0.1:1\"},"),
        R"(/control/1/peer: "127.0.0.1:1" is already used by )"
        R"(/control/0/admin)" },
      { ControlWith(kHash, "aa"),
        "/operator_key_hashes/0: must be a hash of 64 hexadecimal digits, as "
        "printed by \"lycheestand secret operator\", not \"aa\"" },
      { ControlWith("\"" + kHash + "\"", ""),
        "/operator_key_hashes: must be an array of at least one hash, not "
        "[]" },
      { ControlWith("{\"instance\"", "{\"log_level\":\"loud\",\"instance\""),
        R"(/log_level: must be "debug", "info", "warning" or "error", not )"
        R"("loud")" },
      { ControlWith("{\"instance\"", "{\"log_format\":\"xml\",\"instance\""),
        R"(/log_format: must be "text" or "json", not "xml")" },
      { ControlWith("{\"instance\"", "{\"max_conections\":1,\"instance\""),
        "/max_conections: unknown key; did you mean \"max_connections\"?" },
      { R"({"instance":"r1","zone":"z1","role":"router",)"
        R"("caller_address":"127.0.0.1:1","data_folder":"d"})",
        R"(/data_folder: has no effect when /role is "router")" },
    },
    ParseProcessSettings);
  REQUIRE(ParseProcessSettings(ControlWith("\"d\"", "\"e\"")).has_value());
}

// Guards against a client that runs with invalid settings, and against messages
// that don't say what is wrong and where.
TEST_CASE("Each invalid client file has its exact message")
{
  RequireMessages(
    {
      { R"({"control":[],"operator_key_file":"k"})",
        "/control: must be an array of at least one control instance, not "
        "[]" },
      { R"({"control":[{"instance":"c1","admin":"127.0.0.1:0"}]})",
        "/control/0/admin: must be an IP address and a port in 1..65535, "
        "such as \"127.0.0.1:8080\", not \"127.0.0.1:0\"" },
      { R"({"control":[{"instance":"c1","admin":"127.0.0.1:1"}]})",
        R"("operator_key_file" is required)" },
      { R"({"control":[{"instance":"c1","admin":"127.0.0.1:1"},)"
        R"({"instance":"c1","admin":"127.0.0.1:2"}]})",
        R"(/control/1/instance: "c1" is listed twice)" },
    },
    ParseClientSettings);
}

// Guards against an error that doesn't name its file.
TEST_CASE("An error in a file has the file's path")
{
  std::string path = "settings_test." + std::to_string(getpid()) + ".json";
  std::ofstream(path) << R"({"instance":7})";
  auto settings = LoadProcessSettings(path);
  std::remove(path.c_str());
  REQUIRE(settings.has_error());
  REQUIRE(ToString(settings.error()) ==
          path + ": /instance: must be a string, not 7");
  REQUIRE(settings.error().value == "7");
  REQUIRE(settings.error().allowed == "a string");
  auto missing = LoadProcessSettings("no/such/file");
  REQUIRE(ToString(missing.error()) ==
          "no/such/file: can't be read; check that the file exists and is "
          "readable");
}
