// Orders to engines: a delayed order of an earlier leader does not stay in
// force.

#include "fleet.h"

#include <catch2/catch.hpp>

namespace lycheestand::faults {

namespace {

// Returns the orders that the engine reports as in force.
json::object
ReadOrders(Fleet& aFleet)
{
  json::error_code error;
  auto value = json::parse(aFleet.SendToEngine(0, "/orders").body, error);
  return value.is_object() ? value.as_object() : json::object();
}

bool
HasVersion(Fleet& aFleet, const char* aVersion)
{
  auto orders = ReadOrders(aFleet);
  const auto* version = orders.if_contains("version");
  return version != nullptr && *version == json::value(aVersion);
}

Reply
OrderVersion(Fleet& aFleet, const char* aVersion)
{
  return aFleet.SendAdminRequest(
    "POST",
    "/admin/orders",
    { { "change_id", std::string("order-") + aVersion },
      { "endpoint", "e0" },
      { "kind", "set_version" },
      { "argument", aVersion } });
}

// Sends an order with an old fencing number directly to the engine, like a
// delayed message of an earlier leader.
Reply
SendStaleOrder(Fleet& aFleet, std::uint64_t aFencing, const char* aVersion)
{
  json::object order{ { "kind", "set_version" },
                      { "argument", aVersion },
                      { "fencing", aFencing } };
  return Send(aFleet.EngineAddress(0),
              { "POST", "/orders", {}, json::serialize(order) });
}

// Orders version 1, kills the leader, orders version 2 under the new leader,
// and waits until it is in force.
void
OrderAcrossLeaderChange(Fleet& aFleet)
{
  REQUIRE(OrderVersion(aFleet, "1").status == 200);
  REQUIRE(WaitFor(20s, [&] { return HasVersion(aFleet, "1"); }));
  int leader = -1;
  REQUIRE(WaitFor(20s, [&] { return (leader = aFleet.FindLeader()) >= 0; }));
  aFleet.Control(leader).Kill();
  REQUIRE(
    WaitFor(20s, [&] { return OrderVersion(aFleet, "2").status == 200; }));
  REQUIRE(WaitFor(20s, [&] { return HasVersion(aFleet, "2"); }));
}

} // namespace

// Guards against a delayed order that takes effect at an engine that checks
// fencing numbers.
TEST_CASE("an engine refuses a delayed order of an earlier leader",
          "[orders-fenced]")
{
  FleetOptions options;
  options.controls = 3;
  options.engines = 1;
  Fleet fleet("orders-fenced", 1, options);
  OrderAcrossLeaderChange(fleet);
  REQUIRE(SendStaleOrder(fleet, 1, "1").status == 409);
  REQUIRE(HasVersion(fleet, "2"));
}

// Guards against a delayed order that stays in force at an engine that ignores
// fencing numbers.
TEST_CASE(
  "the newest order is restored at an engine that ignores fencing numbers",
  "[orders-ignored]")
{
  FleetOptions options;
  options.controls = 3;
  options.engines = 1;
  options.engineArguments = { "--ignore-fencing" };
  Fleet fleet("orders-ignored", 1, options);
  OrderAcrossLeaderChange(fleet);
  REQUIRE(SendStaleOrder(fleet, 1, "1").status == 200);
  REQUIRE(HasVersion(fleet, "1"));
  auto sentAt = std::chrono::steady_clock::now();
  REQUIRE(WaitFor(20s, [&] { return HasVersion(fleet, "2"); }));
  fleet.AddReportValue("restored_ms",
                       std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::steady_clock::now() - sentAt)
                         .count());
}

} // namespace lycheestand::faults
