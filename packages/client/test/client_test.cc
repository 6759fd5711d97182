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

using Reply = Result<AdminAnswer, SendFailure>;

const std::string kNotLeader =
  R"({"error":{"code":"not_leader","message":"m","ran":"not_run")";

// A client in front of scripted control instances c1 to c3, with a clock that
// only waiting advances.
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

  // Runs a command with the options that name the three instances.
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

  std::string Text(const char* aMember) const
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

// Guards against a client that needs to be told who leads.
TEST_CASE_METHOD(ClientFixture, "The client follows the leader that is named")
{
  this->replies = { AdminAnswer{ 503, kNotLeader + R"(,"leader":"c3"}})" },
                    AdminAnswer{ 200, R"({"ok":true,"paid":70})" } };
  REQUIRE(this->RunFleet({ "budget", "topup", "kalkki", "20" }) == 0);
  REQUIRE(this->ports == std::vector<std::uint16_t>{ 1, 3 });
  REQUIRE(this->requests.back().bearer == "operator-key");
  REQUIRE(this->out.str() == "change id: made-1\npaid in all: 70 tokens\n");
}

// Guards against a top-up that counts twice after a lost answer.
TEST_CASE_METHOD(ClientFixture, "A lost answer is resent with its change id")
{
  this->replies = { SendFailure::NoAnswer,
                    SendFailure::NotSent,
                    AdminAnswer{ 200, R"({"ok":true,"paid":70})" } };
  REQUIRE(this->RunFleet({ "budget", "topup", "kalkki", "20" }) == 0);
  REQUIRE(this->ports == std::vector<std::uint16_t>{ 1, 2, 3 });
  REQUIRE(this->requests.front().body == this->requests.back().body);
  REQUIRE(this->Text("change_id") == "made-1");
}

// Guards against a report that nothing was changed when something may have.
TEST_CASE_METHOD(ClientFixture, "Giving up tells unknown from unavailable")
{
  this->replies = { SendFailure::NoAnswer, SendFailure::NotSent };
  REQUIRE(this->RunFleet({ "workspace", "create", "kalkki" }) ==
          static_cast<int>(ExitCode::Unknown));
  REQUIRE(this->err.str().find("--change-id") != std::string::npos);
  REQUIRE(this->time - TimePoint{} <= std::chrono::seconds(15));

  this->replies = { AdminAnswer{ 503, kNotLeader + "}}" } };
  REQUIRE(this->RunFleet({ "workspace", "create", "kalkki" }) ==
          static_cast<int>(ExitCode::Unavailable));

  // A read changes nothing, whatever became of its answer.
  this->replies = { SendFailure::NoAnswer };
  REQUIRE(this->RunFleet({ "key", "list" }) ==
          static_cast<int>(ExitCode::Unavailable));
}

// Guards against two instances that name each other as the leader for ever.
TEST_CASE_METHOD(ClientFixture, "Instances that name each other end in a wait")
{
  this->replies = { AdminAnswer{ 503, kNotLeader + R"(,"leader":"c2"}})" },
                    AdminAnswer{ 503, kNotLeader + R"(,"leader":"c1"}})" } };
  REQUIRE(
    this->RunFleet({ "workspace", "create", "k", "--timeout-ms", "1000" }) ==
    static_cast<int>(ExitCode::Unavailable));
  REQUIRE(this->ports.size() < 40);
}

// Guards against scripts that can't tell a lost race from another refusal.
TEST_CASE_METHOD(ClientFixture, "Refusals have exit codes of their own")
{
  const std::string file = this->keyFile + ".json";
  std::ofstream(file) << R"({"models":{"chat":{}}})";
  this->replies = { AdminAnswer{
    409, R"({"error":{"code":"version_conflict","message":"m"}})" } };
  REQUIRE(this->RunFleet({ "config",
                           "apply",
                           file,
                           "--base-version",
                           "4",
                           "--change-id",
                           "ch-7" }) == static_cast<int>(ExitCode::Conflict));
  REQUIRE(this->err.str().find("another change won") != std::string::npos);
  REQUIRE(this->Text("change_id") == "ch-7");
  REQUIRE(this->Text("document") == R"({"models":{"chat":{}}})");
  std::remove(file.c_str());

  this->replies = { AdminAnswer{
    404, R"({"error":{"code":"unknown_workspace","message":"m"}})" } };
  REQUIRE(this->RunFleet({ "budget", "topup", "k", "1" }) ==
          static_cast<int>(ExitCode::Refused));
  this->replies = { AdminAnswer{
    401, R"({"error":{"code":"invalid_key","message":"m"}})" } };
  REQUIRE(this->RunFleet({ "budget", "show" }) ==
          static_cast<int>(ExitCode::Unauthorized));
}

// Guards against a document that is sent although it is wrong.
TEST_CASE_METHOD(ClientFixture, "Nothing is sent for a wrong file or option")
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

// Guards against a key that reaches control, or a resend with another hash.
TEST_CASE_METHOD(ClientFixture, "A key stays here and is resent from its file")
{
  const std::string file = this->keyFile + ".caller";
  const std::vector<std::string> command{ "key",         "create", "k1",
                                          "--workspace", "kalkki", "--key-file",
                                          file };
  this->replies = { AdminAnswer{ 200, R"({"ok":true})" } };
  REQUIRE(this->RunFleet(command) == 0);
  std::string key;
  std::ifstream(file) >> key;
  struct stat info
  {};
  REQUIRE(::stat(file.c_str(), &info) == 0);
  CHECK((info.st_mode & 0777) == 0600);
  CHECK(this->out.str().find("key: " + key) != std::string::npos);
  CHECK(this->requests.back().body.find(key) == std::string::npos);
  const std::string hash = this->Text("hash");
  REQUIRE(this->RunFleet(command) == 0);
  CHECK(this->Text("hash") == hash);
  std::remove(file.c_str());
}

TEST_CASE_METHOD(ClientFixture, "Every command has help and a version")
{
  for (const char* group : { "config",
                             "workspace",
                             "budget",
                             "key",
                             "instance",
                             "endpoint",
                             "secret" }) {
    REQUIRE(Run(this->environment, { group, "--help" }) == 0);
  }
  REQUIRE(Run(this->environment, { "config", "apply", "--help" }) == 0);
  REQUIRE(this->out.str().find("--base-version") != std::string::npos);
  REQUIRE(Run(this->environment, { "dump", "--version" }) == 0);
  REQUIRE(Run(this->environment, { "--version" }) == 0);
}
