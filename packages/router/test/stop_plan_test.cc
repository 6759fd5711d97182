#include "stop_plan.h"

#include <catch2/catch.hpp>

using namespace lycheestand;
using namespace lycheestand::router;
using namespace std::chrono_literals;

// Guards against a stopping router that accepts a long stream and aborts it at
// the end of its grace period, though another router could have served it.
TEST_CASE("A stopping router accepts no request that it may not finish")
{
  settings::ProcessSettings settings;
  settings.routes.emplace();
  settings.routes->stopGracePeriod = 8s;
  auto plan = MakeStopPlan(settings);
  REQUIRE(plan.serveTime + plan.finishTime < 8s);
  for (bool isRepeatable : { false, true }) {
    CHECK_FALSE(MayAccept(plan, 4s, 12s, isRepeatable));
    CHECK(MayAccept(plan, 4s, 2s, isRepeatable));
    CHECK_FALSE(MayAccept(plan, 4s, 4s, isRepeatable));
    CHECK_FALSE(MayAccept(plan, 4s, 3s, isRepeatable));
  }
}

// Guards against a request that may not be repeated and is cut, and against
// refusals of all long ones as soon as a stop begins.
TEST_CASE("Only repeatable requests are accepted without time to finish")
{
  settings::ProcessSettings settings;
  settings.routes.emplace();
  settings.routes->stopGracePeriod = 8s;
  auto plan = MakeStopPlan(settings);
  CHECK(MayAccept(plan, 1s, 12s, true));
  CHECK_FALSE(MayAccept(plan, 1s, 12s, false));
  CHECK_FALSE(MayAccept(plan, 3s, 12s, true));
}

// Guards against refused requests during a planned stop of a router without a
// route table, which has no time limit.
TEST_CASE("A router that stops without a time limit accepts requests")
{
  settings::ProcessSettings settings;
  CHECK(MayAccept(MakeStopPlan(settings), 10s, 60s, false));
}
