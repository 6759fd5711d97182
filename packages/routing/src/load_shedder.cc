#include <algorithm>
#include <lycheestand/routing.h>

namespace lycheestand::routing {

LoadShedder::LoadShedder(ShedderOptions aOptions)
  : options(aOptions)
{
  this->StartWindow();
}

// The shortest times of a window tell a lasting queue from a burst.
bool
LoadShedder::IsOverloaded() const
{
  return this->window.taskDelay >= this->options.targetDelay ||
         (this->window.connects >= this->options.minConnects &&
          this->window.shortestConnect >= this->options.targetConnectTime);
}

double
LoadShedder::Update(const LoadSample& aSample)
{
  if (aSample.taskDelay >= this->options.severeDelay) {
    this->Decrease(this->options.severeDecreaseFactor);
    return this->fraction;
  }
  this->window.taskDelay = std::min(this->window.taskDelay, aSample.taskDelay);
  this->window.connects += aSample.connects;
  this->window.shortestConnect =
    std::min(this->window.shortestConnect, aSample.shortestConnect);
  if (++this->samples < this->options.samplesPerWindow) {
    return this->fraction;
  }
  if (this->IsOverloaded()) {
    this->Decrease(this->options.decreaseFactor);
  } else {
    this->fraction = std::min(this->fraction + this->options.increaseStep, 1.0);
    this->StartWindow();
  }
  return this->fraction;
}

void
LoadShedder::Decrease(double aFactor)
{
  this->fraction =
    std::max(this->fraction * aFactor, this->options.minFraction);
  this->StartWindow();
}

void
LoadShedder::StartWindow()
{
  this->samples = 0;
  this->window = { Duration::max() };
}

bool
LoadShedder::AcceptsConnections()
{
  this->acceptCredit += this->fraction;
  if (this->acceptCredit < 1) {
    return false;
  }
  this->acceptCredit -= 1;
  return true;
}

} // namespace lycheestand::routing
