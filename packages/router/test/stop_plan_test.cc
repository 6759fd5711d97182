#include "stop_plan.h"

#include <catch2/catch.hpp>

using namespace lycheestand;
using namespace lycheestand::router;
using namespace std::chrono_literals;

// Guards against a long stream that a stopping router takes and then breaks off
// when its time is up, though another router could have served it.
TEST_CASE("A stopping router takes no request that it may not finish")
{
  settings::ProcessSettings settings;
  settings.routes.emplace();
  settings.routes->stopGracePeriod = 8s;
  auto plan = MakeStopPlan(settings);
  REQUIRE(plan.serve + plan.finish < 8s);
  CHECK(MayBegin(plan, 1s, 12s));
  CHECK_FALSE(MayBegin(plan, 4s, 12s));
  CHECK(MayBegin(plan, 4s, 2s));
  CHECK_FALSE(MayBegin(plan, 4s, 4s));
}

// Guards against a planned stop of the product's own, which has no time limit,
// that refuses callers.
TEST_CASE("A stop without a time limit finishes what it takes")
{
  settings::ProcessSettings settings;
  CHECK(MayBegin(MakeStopPlan(settings), 10s, 60s));
}
