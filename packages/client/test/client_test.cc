#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <cstdio>
#include <deque>
#include <fstream>
#include <lycheestand/client.h>
#include <sodium.h>
#include <sstream>
#include <sys/stat.h>
#include <unistd.h>

using namespace lycheestand;
using namespace lycheestand::client;

namespace {

using Reply = Result<AdminResponse, SendFailure>;

const std::string kNotLeader =
  R"({"error":{"code":"not_leader","message":"m","ran":"not_run")";

// Runs commands against scripted responses of the control instances c1 to c3.
// Only waiting advances the clock.
class ClientFixture
{
public:
  ClientFixture()
  {
    REQUIRE(sodium_init() >= 0);
    std::ofstream(this->keyFile) << "operator-key\n";
    this->environment.send = [this](const Address& aAddress,
                                    const AdminRequest& aRequest) -> Reply {
      this->ports.push_back(aAddress.port);
      this->requests.push_back(aRequest);
      REQUIRE_FALSE(this->replies.empty());
      Reply reply = this->replies.front();
      if (this->replies.size() > 1) {
        this->replies.pop_front();
      }
      return reply;
    };
    this->environment.now = [this] { return this->time; };
    this->environment.wait = [this](Duration aTime) { this->time += aTime; };
    this->environment.makeChangeId = [] { return std::string("made-1"); };
    this->environment.out = &this->out;
    this->environment.err = &this->err;
  }
  ~ClientFixture() { std::remove(this->keyFile.c_str()); }

  // Runs a command with the options of the three control instances.
  int RunFleet(std::vector<std::string> aArguments)
  {
    for (const char* control :
         { "c1=127.0.0.1:1", "c2=127.0.0.1:2", "c3=127.0.0.1:3" }) {
      aArguments.insert(aArguments.end(), { "--control", control });
    }
    aArguments.insert(aArguments.end(),
                      { "--operator-key-file", this->keyFile });
    return Run(this->environment, aArguments);
  }

  // Returns a member of the last request's JSON body.
  std::string LastBodyMember(const char* aMember) const
  {
    auto body = boost::json::parse(this->requests.back().body);
    return std::string(body.at(aMember).as_string());
  }

  std::string keyFile = "client_test." + std::to_string(getpid()) + ".key";
  Environment environment;
  std::deque<Reply> replies;
  std::vector<std::uint16_t> ports;
  std::vector<AdminRequest> requests;
  std::ostringstream out;
  std::ostringstream err;
  TimePoint time{};
};

} // namespace

// Guards against a client that ignores the leader that a follower names.
TEST_CASE_METHOD(ClientFixture, "The client follows a redirect to the leader")
{
  this->replies = { AdminResponse{ 503, kNotLeader + R"(,"leader":"c3"}})" },
                    AdminResponse{ 200, R"({"ok":true,"paid":70})" } };
  REQUIRE(this->RunFleet({ "budget", "topup", "kalkki", "20" }) == 0);
  REQUIRE(this->ports == std::vector<std::uint16_t>{ 1, 3 });
  REQUIRE(this->requests.back().bearer == "operator-key");
  REQUIRE(this->out.str() == "change id: made-1\npaid in all: 70 tokens\n");
}

// Guards against a top-up that counts twice because it is resent under another
// change id after a lost response.
TEST_CASE_METHOD(ClientFixture,
                 "A change is resent with its change id after a lost response")
{
  this->replies = { SendFailure::NoAnswer,
                    SendFailure::NotSent,
                    AdminResponse{ 200, R"({"ok":true,"paid":70})" } };
  REQUIRE(this->RunFleet({ "budget", "topup", "kalkki", "20" }) == 0);
  REQUIRE(this->ports == std::vector<std::uint16_t>{ 1, 2, 3 });
  REQUIRE(this->requests.front().body == this->requests.back().body);
  REQUIRE(this->LastBodyMember("change_id") == "made-1");
}

// Guards against a message that nothing was changed after a lost response,
// although the change may have been made.
TEST_CASE_METHOD(ClientFixture,
                 "A timeout is unknown only if the change may have been made")
{
  this->replies = { SendFailure::NoAnswer, SendFailure::NotSent };
  REQUIRE(this->RunFleet({ "workspace", "create", "kalkki" }) ==
          static_cast<int>(ExitCode::Unknown));
  REQUIRE(this->err.str().find("--change-id") != std::string::npos);
  REQUIRE(this->time - TimePoint{} <= std::chrono::seconds(15));

  this->replies = { AdminResponse{ 503, kNotLeader + "}}" } };
  REQUIRE(this->RunFleet({ "workspace", "create", "kalkki" }) ==
          static_cast<int>(ExitCode::Unavailable));

  // A read changes nothing, even if its response is lost.
  this->replies = { SendFailure::NoAnswer };
  REQUIRE(this->RunFleet({ "key", "list" }) ==
          static_cast<int>(ExitCode::Unavailable));
}

// Guards against an order for a zone that is sent to the wrong path or without
// its change id, and against a status that hides an evacuation.
TEST_CASE_METHOD(ClientFixture, "Zones are evacuated, restored and shown")
{
  this->replies = { AdminResponse{ 200, R"({"ok":true})" } };
  for (const char* order : { "evacuate", "restore" }) {
    REQUIRE(this->RunFleet({ "zone", order, "z2", "--change-id", "c7" }) == 0);
    CHECK(this->requests.back().target == std::string("/admin/zones/") + order);
    CHECK(this->LastBodyMember("zone") == "z2");
    CHECK(this->LastBodyMember("change_id") == "c7");
  }
  CHECK(this->out.str().find("zone z2 is restored") != std::string::npos);
  this->replies = { AdminResponse{ 200, R"({"evacuated_zones":["z2"]})" } };
  REQUIRE(this->RunFleet({ "status" }) == 0);
  CHECK(this->out.str().find(R"(evacuated_zones: ["z2"])") !=
        std::string::npos);
  REQUIRE(this->RunFleet({ "status", "--json" }) == 0);
  CHECK(this->out.str().find(R"("evacuated_zones":["z2"])") !=
        std::string::npos);
}

// Guards against a digest that is sent to the wrong path or in another form,
// and against a list without it.
TEST_CASE_METHOD(ClientFixture, "Quarantined requests are listed and lifted")
{
  this->replies = { AdminResponse{
    200,
    R"([{"digest":"00ab","state":"held","crashes":2,"remaining_s":59}])" } };
  REQUIRE(this->RunFleet({ "quarantine", "list" }) == 0);
  CHECK(this->requests.back().target == "/admin/quarantine");
  CHECK(this->out.str().find("00ab    held   2        59") !=
        std::string::npos);
  this->replies = { AdminResponse{ 200, R"({"ok":true})" } };
  REQUIRE(this->RunFleet({ "quarantine", "lift", "00ab" }) == 0);
  CHECK(this->requests.back().method == "POST");
  CHECK(this->requests.back().target == "/admin/quarantine/lift");
  CHECK(this->LastBodyMember("digest") == "00ab");
  CHECK(this->out.str().find("request 00ab is no longer refused") !=
        std::string::npos);
  this->replies = { AdminResponse{
    404, R"({"error":{"code":"unknown_digest","message":"m"}})" } };
  CHECK(this->RunFleet({ "quarantine", "lift", "00ab" }) ==
        static_cast<int>(ExitCode::Refused));
}

// Guards against endless redirects between two instances that name each other
// as the leader.
TEST_CASE_METHOD(ClientFixture, "Redirects between two instances are limited")
{
  this->replies = { AdminResponse{ 503, kNotLeader + R"(,"leader":"c2"}})" },
                    AdminResponse{ 503, kNotLeader + R"(,"leader":"c1"}})" } };
  REQUIRE(
    this->RunFleet({ "workspace", "create", "k", "--timeout-ms", "1000" }) ==
    static_cast<int>(ExitCode::Unavailable));
  REQUIRE(this->ports.size() < 40);
}

// Guards against scripts that can't tell a version conflict from another
// refusal.
TEST_CASE_METHOD(ClientFixture, "Each kind of refusal has its own exit code")
{
  const std::string file = this->keyFile + ".json";
  std::ofstream(file) << R"({"models":{"chat":{}}})";
  this->replies = { AdminResponse{
    409, R"({"error":{"code":"version_conflict","message":"m"}})" } };
  REQUIRE(this->RunFleet({ "config",
                           "apply",
                           file,
                           "--base-version",
                           "4",
                           "--change-id",
                           "ch-7" }) == static_cast<int>(ExitCode::Conflict));
  REQUIRE(this->err.str().find("another change was applied first") !=
          std::string::npos);
  REQUIRE(this->LastBodyMember("change_id") == "ch-7");
  REQUIRE(this->LastBodyMember("document") == R"({"models":{"chat":{}}})");
  std::remove(file.c_str());

  this->replies = { AdminResponse{
    404, R"({"error":{"code":"unknown_workspace","message":"m"}})" } };
  REQUIRE(this->RunFleet({ "budget", "topup", "k", "1" }) ==
          static_cast<int>(ExitCode::Refused));
  this->replies = { AdminResponse{
    401, R"({"error":{"code":"invalid_key","message":"m"}})" } };
  REQUIRE(this->RunFleet({ "budget", "show" }) ==
          static_cast<int>(ExitCode::Unauthorized));
}

// Guards against an invalid document that is sent to control.
TEST_CASE_METHOD(ClientFixture,
                 "Nothing is sent if a file or an option is invalid")
{
  const std::string file = this->keyFile + ".json";
  std::ofstream(file) << R"({"modles":{}})";
  REQUIRE(this->RunFleet({ "config", "apply", file, "--base-version", "0" }) ==
          static_cast<int>(ExitCode::Usage));
  REQUIRE(this->err.str() ==
          "lycheestand: " + file +
            ": /modles: unknown key; did you mean \"models\"?\n");
  std::remove(file.c_str());
  REQUIRE(this->RunFleet({ "budget", "topup", "k", "many" }) ==
          static_cast<int>(ExitCode::Usage));
  REQUIRE(Run(this->environment, { "no-such" }) ==
          static_cast<int>(ExitCode::Usage));
  REQUIRE(this->requests.empty());
}

// Guards against a key that is sent in place of its hash, and against a resent
// command that sends the hash of another key.
TEST_CASE_METHOD(ClientFixture,
                 "Only the hash of a key is sent, and a resend uses the same")
{
  const std::string file = this->keyFile + ".caller";
  const std::vector<std::string> command{ "key",         "create", "k1",
                                          "--workspace", "kalkki", "--key-file",
                                          file };
  this->replies = { AdminResponse{ 200, R"({"ok":true})" } };
  REQUIRE(this->RunFleet(command) == 0);
  std::string key;
  std::ifstream(file) >> key;
  struct stat info
  {};
  REQUIRE(::stat(file.c_str(), &info) == 0);
  CHECK((info.st_mode & 0777) == 0600);
  CHECK(this->out.str().find("key: " + key) != std::string::npos);
  CHECK(this->requests.back().body.find(key) == std::string::npos);
  const std::string hash = this->LastBodyMember("hash");
  REQUIRE(this->RunFleet(command) == 0);
  CHECK(this->LastBodyMember("hash") == hash);
  std::remove(file.c_str());
}

// Guards against a group of commands that has no help, and against help or the
// version ending in an error code.
TEST_CASE_METHOD(ClientFixture,
                 "Groups and commands print help and the version")
{
  for (const char* group : { "config",
                             "workspace",
                             "budget",
                             "key",
                             "instance",
                             "endpoint",
                             "quarantine",
                             "secret" }) {
    REQUIRE(Run(this->environment, { group, "--help" }) == 0);
  }
  REQUIRE(Run(this->environment, { "config", "apply", "--help" }) == 0);
  REQUIRE(this->out.str().find("--base-version") != std::string::npos);
  REQUIRE(Run(this->environment, { "dump", "--version" }) == 0);
  REQUIRE(Run(this->environment, { "--version" }) == 0);
}
