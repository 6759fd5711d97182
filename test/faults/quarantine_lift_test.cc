// Operators list the requests that crash endpoints, and lift their quarantine.

#include "fleet.h"

#include <catch2/catch.hpp>
#include <thread>

namespace lycheestand::faults {

namespace {

constexpr const char* kDeadlyBody = R"({"deadly":true})";

// Time until a service that has started again is called.
constexpr Duration kServiceReadyTime = 15s;

// Time until all routers know what an operator has lifted.
constexpr Duration kLiftTime = 5s;

class QuarantineLiftFixture
{
public:
  QuarantineLiftFixture()
    : fleet("quarantine-lift", 51, MakeOptions())
  {
  }

  // Sends a booking under a new key.
  Reply Post(const std::string& aBody)
  {
    int number = ++this->bookings;
    return this->fleet.PostBooking(
      number % 2, "key" + std::to_string(number), aBody);
  }

  // The service ends while it works on a deadly request.
  void Crash()
  {
    REQUIRE(WaitFor(kServiceReadyTime, [this] {
      return this->Post(R"({"sound":true})").status == 201;
    }));
    Reply reply;
    std::thread caller([&] { reply = this->Post(kDeadlyBody); });
    std::this_thread::sleep_for(200ms);
    this->fleet.Records(0).Kill();
    caller.join();
    CHECK(reply.status == 504);
    // The check for a crash must find the service down.
    std::this_thread::sleep_for(500ms);
    this->fleet.Records(0).Start();
  }

  Fleet fleet;

private:
  static FleetOptions MakeOptions()
  {
    FleetOptions options;
    options.records = 1;
    options.engines = 0;
    options.recordsArguments = { "--delay-ms", "400" };
    // A proxy would accept connections to a service that is down.
    options.isProxied = false;
    return options;
  }

  int bookings = 0;
};

} // namespace

// Guards against a call that runs at most once and is not related to the
// crashes of its service, and against a quarantine that operators can neither
// see nor lift.
TEST_CASE_METHOD(QuarantineLiftFixture,
                 "operators lift the quarantine of a call",
                 "[quarantine-lift]")
{
  for (int i = 0; i < 3; ++i) {
    this->Crash();
  }
  REQUIRE(WaitFor(kServiceReadyTime, [this] {
    return this->Post(R"({"sound":true})").status == 201;
  }));
  auto refused = this->Post(kDeadlyBody);
  CHECK(refused.status == 503);
  CHECK(refused.body.find("request_quarantined") != std::string::npos);
  auto entries = this->fleet.ReadAdminJson("/admin/quarantine");
  REQUIRE(entries.is_array());
  REQUIRE(entries.as_array().size() == 1);
  const auto& entry = entries.as_array().front().as_object();
  CHECK(entry.at("state").as_string() == "quarantined");
  CHECK(entry.at("crashes").as_int64() == 3);
  std::string digest(entry.at("digest").as_string());
  CHECK(this->fleet
          .SendAdminRequest(
            "POST", "/admin/quarantine/lift", { { "digest", digest } })
          .status == 200);
  CHECK(WaitFor(kLiftTime,
                [this] { return this->Post(kDeadlyBody).status == 201; }));
  CHECK(this->fleet
          .SendAdminRequestTo(
            0, "POST", "/admin/quarantine/lift", { { "digest", digest } })
          .status == 404);
}

} // namespace lycheestand::faults
