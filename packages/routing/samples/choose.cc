// Chooses endpoints for a few requests with the cost policy.

#include <iostream>
#include <lycheestand/routing.h>
#include <random>

using namespace lycheestand;
using namespace lycheestand::routing;

int
main()
{
  std::mt19937_64 engine(1);
  RandomSource random = [&](std::uint64_t aBound) { return engine() % aBound; };
  EndpointTable table({ .zone = ZoneId("a") }, MakeCostPolicy(), random);
  table.SetEndpoints(
    { { EndpointId("e1"), ZoneId("a"), { "127.0.0.1", 9001 }, "chat" },
      { EndpointId("e2"), ZoneId("b"), { "127.0.0.1", 9002 }, "chat" } });
  Query query;
  query.serves = "chat";
  for (std::uint64_t i = 1; i <= 4; ++i) {
    if (auto choice = table.Choose(RequestNumber(i), query, TimePoint{})) {
      std::cout << "request " << i << " to " << choice->endpoint << "\n";
    }
  }
}
