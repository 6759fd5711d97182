#include "concentrated_load.h"

#include <catch2/catch.hpp>
#include <cstdio>

using namespace lycheestand;
using namespace lycheestand::budget;
using namespace std::chrono_literals;

namespace {

// Requests per second of 24 workspaces, a few of them large.
std::vector<double>
WorkspaceRates()
{
  std::vector<double> rates{ 40, 30, 20, 10, 10, 8, 8, 6 };
  rates.resize(24, 1.5);
  return rates;
}

// A day of 24 workspaces.
struct Day
{
  const char* name;
  double paidFactor;
  std::vector<std::pair<Duration, Duration>> controlCuts;
  bool arePeersCut;
  Duration killAt;
  bool isHotInEachZone;
};

struct FleetSums
{
  ClaimCounts counts;
  double loss = 0;
  std::uint64_t messages = 0;
  bool isWithinPaid = true;
};

FleetSums
RunAllWorkspaces(const Day& aDay)
{
  FleetSums sums;
  std::uint64_t seed = 0;
  for (double rate : WorkspaceRates()) {
    ConcentratedLoad load({ .requestsPerSecond = rate,
                            .paidFactor = aDay.paidFactor,
                            .isHotInEachZone = aDay.isHotInEachZone,
                            .controlCuts = aDay.controlCuts,
                            .arePeersCut = aDay.arePeersCut,
                            .killAt = aDay.killAt,
                            .seed = ++seed });
    load.RunUntil(60s);
    load.Finish();
    sums.counts += load.Simulation().Counts();
    sums.loss += load.MeanLossAtKills();
    sums.messages += load.Simulation().ControlMessages();
    sums.isWithinPaid = sums.isWithinPaid && load.Simulation().Spent() <=
                                               load.Simulation().Ledger().paid;
  }
  return sums;
}

void
PrintDay(const Day& aDay)
{
  FleetSums sums = RunAllWorkspaces(aDay);
  const ClaimCounts& counts = sums.counts;
  CHECK(sums.isWithinPaid);
  std::size_t refused = counts.exhausted + counts.unavailable;
  std::printf(
    "| %s | %zu | %zu | %zu | %zu | %zu | %zu | %.0f | %.0f | %llu |\n",
    aDay.name,
    counts.Total(),
    counts.exhausted,
    counts.noFreeTokens,
    counts.offline,
    counts.unavailable - counts.noFreeTokens - counts.offline,
    counts.refusedFalsely,
    refused > 0 ? ToSeconds(counts.refusalWait) * 1000 / refused : 0,
    sums.loss / 1000,
    static_cast<unsigned long long>(sums.messages));
}

} // namespace

// Prints the table of docs/design/concentrated-demand.md; hidden because it
// only measures.
TEST_CASE("Concentrated demand of 24 workspaces", "[.][concentrated-table]")
{
  std::printf("| day | requests | 402 | no free tokens | offline | no reply | "
              "false | mean wait, ms | lost at kills, k | messages |\n");
  std::vector<std::pair<Duration, Duration>> cuts{ { 15s, 23s }, { 44s, 52s } };
  for (bool isHotInEachZone : { false, true }) {
    std::printf(isHotInEachZone ? "one hot router in each zone\n"
                                : "one hot router\n");
    for (const Day& day :
         { Day{ "1.3, no fault", 1.3, {}, false, {}, isHotInEachZone },
           Day{ "1.3, control cut", 1.3, cuts, false, {}, isHotInEachZone },
           Day{ "1.3, all cut", 1.3, cuts, true, {}, isHotInEachZone },
           Day{ "1.3, cut, kills", 1.3, cuts, false, 30s, isHotInEachZone },
           Day{ "1.0, no fault", 1.0, {}, false, {}, isHotInEachZone },
           Day{ "1.0, cut, kills", 1.0, cuts, false, 30s, isHotInEachZone } }) {
      PrintDay(day);
    }
  }
}

// Guards against a hot router in each zone that borrows every token from its
// allocator: while no router reached control or another router, it could serve
// nothing. The other routers, with a tenth of the load, hold nothing.
TEST_CASE("A router with steady demand serves through an outage of 8 s")
{
  for (bool isHotInEachZone : { false, true }) {
    ConcentratedLoad load({ .requestsPerSecond = 20,
                            .isHotInEachZone = isHotInEachZone,
                            .controlCuts = { { 30s, 38s } },
                            .arePeersCut = true,
                            .seed = 7 });
    load.RunUntil(30s);
    load.Simulation().ResetCounts();
    load.RunUntil(38s);
    const auto& counts = load.Simulation().Counts();
    CHECK(counts.Total() > 100);
    CHECK(counts.unavailable + counts.exhausted < counts.Total() * 15 / 100);
  }
}
