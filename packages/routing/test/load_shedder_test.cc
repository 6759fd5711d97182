#include <catch2/catch.hpp>
#include <lycheestand/routing.h>

using namespace lycheestand;
using namespace lycheestand::routing;
using namespace std::chrono_literals;

namespace {

// A process that can serve a number of requests in each 50 ms, the interval of
// the measurements, and that keeps what it accepted and has not served.
class LoadShedderFixture
{
public:
  // Offers a number of requests in each interval; returns how many were served
  // in the last one.
  double Run(int aIntervals, double aOffered)
  {
    double served = 0;
    for (int i = 0; i < aIntervals; ++i) {
      this->queued += aOffered * this->fraction;
      served = std::min(this->queued, kCapacity);
      this->queued -= served;
      auto delay =
        std::chrono::duration_cast<Duration>(50ms * (this->queued / kCapacity));
      this->fraction = this->shedder.Update({ delay });
      this->maxQueued = std::max(this->maxQueued, this->queued);
    }
    return served;
  }

  static constexpr double kCapacity = 10;

  LoadShedder shedder;
  double fraction = 1;
  double queued = 0;
  double maxQueued = 0;
};

} // namespace

// Guards against a router that queues what it can't serve until all requests
// are answered too late.
TEST_CASE_METHOD(LoadShedderFixture,
                 "a lasting overload is refused and the queue stays short")
{
  this->Run(100, 30);
  this->maxQueued = 0;
  double served = 0;
  for (int i = 0; i < 400; ++i) {
    served += this->Run(1, 30);
  }
  // Less than 0.5 s of work waits, and most of the capacity is used.
  CHECK(this->maxQueued < 10 * kCapacity);
  CHECK(served > 0.7 * 400 * kCapacity);
}

// Guards against refusals by a process that has time to spare.
TEST_CASE_METHOD(LoadShedderFixture, "nothing is refused without overload")
{
  this->Run(400, 9);
  CHECK(this->fraction == 1);
}

// Guards against refusals because of a short burst, or because the process may
// use the processor only for a part of each 100 ms.
TEST_CASE_METHOD(LoadShedderFixture, "delays with pauses refuse nothing")
{
  for (int i = 0; i < 200; ++i) {
    this->fraction = this->shedder.Update({ i % 2 == 0 ? 80ms : 1ms });
    REQUIRE(this->fraction == 1);
  }
}

// Guards against a router that goes on refusing after the overload has ended.
TEST_CASE_METHOD(LoadShedderFixture, "all is accepted again after an overload")
{
  this->Run(400, 60);
  REQUIRE(this->fraction < 0.5);
  this->Run(300, 5);
  CHECK(this->fraction == 1);
}

// Guards against a router whose network link is full: its tasks do not wait,
// but no request gets through in time.
TEST_CASE_METHOD(LoadShedderFixture, "slow connections are an overload")
{
  for (int i = 0; i < 40; ++i) {
    this->fraction = this->shedder.Update({ 1ms, 2, 300ms });
  }
  CHECK(this->fraction < 0.5);
  // Only some endpoints are slow or down.
  for (int i = 0; i < 400; ++i) {
    this->fraction = this->shedder.Update({ 1ms, 2, i % 4 == 0 ? 2ms : 300ms });
  }
  CHECK(this->fraction == 1);
}

// Guards against a router that refuses connections for good, or in long runs.
TEST_CASE_METHOD(LoadShedderFixture,
                 "connections are accepted for the fraction of the time")
{
  for (int i = 0; i < 8; ++i) {
    this->fraction = this->shedder.Update({ 100ms });
  }
  REQUIRE(this->fraction == Approx(0.49));
  int accepted = 0;
  for (int i = 0; i < 1000; ++i) {
    accepted += this->shedder.AcceptsConnections() ? 1 : 0;
  }
  CHECK(accepted == Approx(490).margin(2));
}
