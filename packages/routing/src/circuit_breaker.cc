#include <algorithm>
#include <lycheestand/routing.h>

namespace lycheestand::routing {

CircuitBreaker::State
CircuitBreaker::GetState(TimePoint aNow) const
{
  if (!this->isTripped) {
    return State::Closed;
  }
  return aNow < this->openUntil ? State::Open : State::HalfOpen;
}

bool
CircuitBreaker::Allows(TimePoint aNow) const
{
  switch (this->GetState(aNow)) {
    case State::Closed:
      return true;
    case State::Open:
      return false;
    case State::HalfOpen:
      break;
  }
  return this->probes < this->options.maxProbes;
}

void
CircuitBreaker::Begin(TimePoint aNow)
{
  if (this->GetState(aNow) == State::HalfOpen) {
    ++this->probes;
  }
}

void
CircuitBreaker::Succeed(TimePoint aNow)
{
  this->failures = 0;
  this->Abandon();
  // A success while the breaker is open belongs to a request sent before it
  // opened, which does not show that the endpoint has recovered.
  if (this->GetState(aNow) != State::HalfOpen) {
    return;
  }
  if (++this->successes >= this->options.successesToClose) {
    this->isTripped = false;
    this->probes = 0;
    this->openTime = {};
  }
}

void
CircuitBreaker::Fail(TimePoint aNow)
{
  this->Abandon();
  switch (this->GetState(aNow)) {
    case State::Closed:
      if (++this->failures >= this->options.failuresToOpen) {
        this->Open(aNow);
      }
      break;
    case State::HalfOpen:
      this->Open(aNow);
      break;
    case State::Open:
      break;
  }
}

void
CircuitBreaker::Abandon()
{
  if (this->probes > 0) {
    --this->probes;
  }
}

void
CircuitBreaker::Open(TimePoint aNow)
{
  this->openTime = this->openTime == Duration{}
                     ? this->options.firstOpenTime
                     : std::min(this->openTime * 2, this->options.maxOpenTime);
  this->isTripped = true;
  this->openUntil = aNow + this->openTime;
  this->failures = 0;
  this->successes = 0;
}

} // namespace lycheestand::routing
