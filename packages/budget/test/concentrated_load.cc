#include "concentrated_load.h"

#include <algorithm>
#include <cmath>

namespace lycheestand::budget {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kRoutersPerZone = 32;
constexpr std::size_t kFirstHotRouter = 5;
constexpr std::size_t kSecondHotRouter = 50;
constexpr Duration kTick = 1ms;
constexpr Duration kSampleInterval = 500ms;
constexpr double kKilledShare = 0.1;
constexpr std::size_t kKillEvery = 10;

// Reserved tokens of a request: lognormal, cut off at both ends.
constexpr double kMinTokens = 500;
constexpr double kMaxTokens = 45000;
constexpr double kMeanTokens = 4000;
constexpr double kSigma = 1;
// Part of its reservation that a request spends.
constexpr double kMinSpentShare = 0.4;
constexpr double kMaxSpentShare = 1;

ZoneFleet
MakeConcentratedFleet(const ConcentratedLoadOptions& aOptions)
{
  ZoneFleet fleet;
  fleet.routersPerZone = kRoutersPerZone;
  fleet.missingRouters = 1;
  fleet.isRetried = aOptions.isRetried;
  fleet.seed = aOptions.seed;
  double spentShare = (kMinSpentShare + kMaxSpentShare) / 2;
  fleet.paid = Tokens(static_cast<std::int64_t>(
    aOptions.requestsPerSecond * ToSeconds(aOptions.length) * kMeanTokens *
    spentShare * aOptions.paidFactor));
  return fleet;
}

} // namespace

ConcentratedLoad::ConcentratedLoad(ConcentratedLoadOptions aOptions)
  : options(std::move(aOptions))
  , simulation(MakeConcentratedFleet(this->options))
  , random(this->options.seed + 100)
{
}

std::size_t
ConcentratedLoad::HotRouter()
{
  if (this->options.isHotInEachZone) {
    return kFirstHotRouter + this->random() % 3 * kRoutersPerZone;
  }
  bool hasMoved = this->options.moveAfter != Duration(0) &&
                  this->elapsed >= this->options.moveAfter;
  return hasMoved ? kSecondHotRouter : kFirstHotRouter;
}

void
ConcentratedLoad::RunUntil(Duration aEnd)
{
  Duration end = std::min(aEnd, this->options.length);
  while (this->elapsed < end) {
    this->UpdateCuts();
    this->KillSome();
    while (this->nextRequest <= this->elapsed) {
      this->SendOne();
      std::exponential_distribution<double> gap(
        this->options.requestsPerSecond);
      this->nextRequest += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(gap(this->random)));
    }
    if (this->elapsed % kSampleInterval == Duration(0)) {
      this->heldSum +=
        static_cast<double>(this->simulation.HeldUnspent().Get());
      ++this->samples;
    }
    this->simulation.Advance(kTick);
    this->elapsed += kTick;
  }
  this->UpdateCuts();
}

void
ConcentratedLoad::UpdateCuts()
{
  bool isInCut = std::any_of(this->options.controlCuts.begin(),
                             this->options.controlCuts.end(),
                             [this](const auto& aCut) {
                               return this->elapsed >= aCut.first &&
                                      this->elapsed < aCut.second;
                             });
  if (isInCut == this->isCut) {
    return;
  }
  this->isCut = isInCut;
  this->simulation.CutControl(isInCut);
  if (this->options.arePeersCut) {
    for (std::size_t i = 0; i < this->simulation.Routers(); ++i) {
      this->simulation.CutRouter(i, isInCut);
    }
  }
}

void
ConcentratedLoad::KillSome()
{
  if (this->options.killAt == Duration(0) ||
      this->elapsed != this->options.killAt) {
    return;
  }
  for (std::size_t i = 0; i < this->simulation.Routers(); ++i) {
    if (i % kKillEvery == this->options.seed % kKillEvery) {
      this->simulation.Restart(i);
    }
  }
}

void
ConcentratedLoad::SendOne()
{
  std::uniform_real_distribution<double> unit(0, 1);
  std::lognormal_distribution<double> size(
    std::log(kMeanTokens) - kSigma * kSigma / 2, kSigma);
  std::uniform_real_distribution<double> spent(kMinSpentShare, kMaxSpentShare);
  std::uniform_int_distribution<int> time(500, 4500);
  bool isHot = unit(this->random) < this->options.hotShare;
  std::size_t other = this->random() % this->simulation.Routers();
  double reserved = std::clamp(size(this->random), kMinTokens, kMaxTokens);
  this->simulation.Request(
    isHot ? this->HotRouter() : other,
    Tokens(static_cast<std::int64_t>(reserved)),
    Tokens(static_cast<std::int64_t>(reserved * spent(this->random))),
    std::chrono::milliseconds(time(this->random)));
}

double
ConcentratedLoad::MeanLossAtKills() const
{
  return this->heldSum / static_cast<double>(this->samples) * kKilledShare;
}

} // namespace lycheestand::budget
