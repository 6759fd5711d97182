#include <algorithm>
#include <lycheestand/routing.h>

namespace lycheestand::routing {

Readiness
ReadinessGate::Update(double aFraction, bool aCanRest, TimePoint aNow)
{
  bool isBelow = aFraction < this->options.minFraction;
  if (isBelow) {
    this->lastOverload = aNow;
  }
  bool isOverloaded = this->lastOverload &&
                      aNow - *this->lastOverload < this->options.recoveryTime;
  if (isBelow && aCanRest && this->isReady) {
    bool isRepeated = this->readyAgainAt &&
                      aNow - *this->readyAgainAt < this->options.resetTime;
    this->restTime = isRepeated
                       ? std::min(this->restTime * 2, this->options.maxRestTime)
                       : this->options.firstRestTime;
    this->isReady = false;
  }
  bool isRested =
    !this->lastOverload || aNow - *this->lastOverload >= this->restTime;
  if (!this->isReady && (isRested || !aCanRest)) {
    this->isReady = true;
    this->readyAgainAt = aNow;
  }
  return { isOverloaded, this->isReady };
}

} // namespace lycheestand::routing
