#ifndef LYCHEESTAND_BUDGET_TEST_CONCENTRATED_LOAD_H
#define LYCHEESTAND_BUDGET_TEST_CONCENTRATED_LOAD_H

// The load of a workspace whose callers mostly use one router of 95 in three
// zones, as seen on a day with many refusals.

#include "zone_simulation.h"

namespace lycheestand::budget {

// How a workspace's requests are spread, and which faults happen meanwhile.
struct ConcentratedLoadOptions
{
  double requestsPerSecond = 10;
  Duration length = std::chrono::seconds(60);
  // What is paid, as a multiple of the tokens that the requests are expected to
  // spend.
  double paidFactor = 1.3;
  // Part of the requests that the hot routers get: one, or one in each zone.
  double hotShare = 0.9;
  bool isHotInEachZone = false;
  // When another router becomes the hot one; zero if never.
  Duration moveAfter{};
  // When no router reaches control.
  std::vector<std::pair<Duration, Duration>> controlCuts;
  // Whether the routers don't reach each other either during these cuts.
  bool arePeersCut = false;
  // When a tenth of the routers is killed; zero if never. The seed decides
  // which ones: the hot router is among them for one seed in ten.
  Duration killAt{};
  // As in ZoneFleet.
  bool isRetried = false;
  std::uint64_t seed = 1;
};

// Sends the requests of one workspace.
class ConcentratedLoad
{
public:
  explicit ConcentratedLoad(ConcentratedLoadOptions aOptions);

  // Sends requests until aEnd after the start, or the end of the load.
  void RunUntil(Duration aEnd);

  // Waits for the requests that run.
  void Finish() { this->simulation.Advance(std::chrono::seconds(4)); }

  // Returns the hot router to which the next request goes.
  std::size_t HotRouter();
  ZoneSimulation& Simulation() { return this->simulation; }

  // Returns the mean of the tokens lost to the workspace if a tenth of the
  // routers is killed at a random moment of the load.
  double MeanLossAtKills() const;

private:
  void UpdateCuts();
  void KillSome();
  void SendOne();

  ConcentratedLoadOptions options;
  ZoneSimulation simulation;
  std::mt19937_64 random;
  Duration elapsed{};
  Duration nextRequest{};
  double heldSum = 0;
  std::size_t samples = 0;
  bool isCut = false;
};

} // namespace lycheestand::budget

#endif
