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

namespace {

constexpr TimePoint kStart{ 1h };

} // namespace

// Guards against callers of one workspace that all keep to a router which can't
// serve them: they move on only when it is not ready.
TEST_CASE(
  "an overloaded process is not ready while others can take its callers")
{
  ReadinessGate gate;
  CHECK(gate.Update(0.9, true, kStart) == Readiness{ false, true });
  CHECK(gate.Update(0.5, true, kStart + 1s) == Readiness{ true, false });
  // New callers of the entry addresses come back earlier than those that keep
  // to it.
  CHECK(gate.Update(1, true, kStart + 6s) == Readiness{ false, false });
  CHECK(gate.Update(1, true, kStart + 32s) == Readiness{ false, true });
}

// Guards against a general overload in which each router turns callers away.
TEST_CASE("an overloaded process stays ready if no other can take its callers")
{
  ReadinessGate gate;
  CHECK(gate.Update(0.5, false, kStart) == Readiness{ true, true });
  REQUIRE(gate.Update(0.5, true, kStart + 1s) == Readiness{ true, false });
  CHECK(gate.Update(0.5, false, kStart + 2s) == Readiness{ true, true });
}

// Guards against callers that swing between two routers, each of which they
// overload.
TEST_CASE("the rest time doubles when the overload comes back")
{
  ReadinessGate gate;
  gate.Update(0.5, true, kStart);
  REQUIRE(gate.Update(1, true, kStart + 30s).isReady);
  gate.Update(0.5, true, kStart + 40s);
  CHECK_FALSE(gate.Update(1, true, kStart + 95s).isReady);
  CHECK(gate.Update(1, true, kStart + 100s).isReady);
  gate.Update(0.5, true, kStart + 300s);
  CHECK(gate.Update(1, true, kStart + 330s).isReady);
}
