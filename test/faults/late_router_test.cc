// Routers that learn late of a new configuration: one that gets more requests
// than it can serve, and one that is cut off from control.

#include "caller_flood.h"
#include "platform_fleet.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <ctime>

namespace lycheestand::faults {

namespace {

constexpr Duration kStartTime = 15s;

// Time within which a router uses a configuration that was acknowledged
// ("configApplyMs").
constexpr Duration kApplyTime = 2500ms;

// Stops a process whenever it has used its processor time in a period of 100
// ms, like a machine that has a part of a core.
class Throttle
{
public:
  Throttle(const Process& aProcess, Duration aTimePerPeriod)
    : process(aProcess)
    , timePerPeriod(aTimePerPeriod)
    , thread([this] { this->Run(); })
  {
  }

  ~Throttle()
  {
    this->isEnding = true;
    this->thread.join();
    this->process.Signal(SIGCONT);
  }

  Throttle(const Throttle&) = delete;
  Throttle& operator=(const Throttle&) = delete;

private:
  void Run()
  {
    while (!this->isEnding) {
      auto end = std::chrono::steady_clock::now() + 100ms;
      auto usedBefore = this->UsedTime();
      while (std::chrono::steady_clock::now() < end &&
             this->UsedTime() - usedBefore < this->timePerPeriod) {
        std::this_thread::sleep_for(1ms);
      }
      this->process.Signal(SIGSTOP);
      std::this_thread::sleep_until(end);
      this->process.Signal(SIGCONT);
    }
  }

  Duration UsedTime() const
  {
    clockid_t clock{};
    timespec used{};
    if (::clock_getcpuclockid(this->process.Id(), &clock) != 0 ||
        ::clock_gettime(clock, &used) != 0) {
      throw std::runtime_error("can't read the processor time of a process");
    }
    return std::chrono::seconds(used.tv_sec) +
           std::chrono::nanoseconds(used.tv_nsec);
  }

  const Process& process;
  Duration timePerPeriod;
  std::atomic<bool> isEnding{ false };
  std::thread thread;
};

// One control instance and one router.
class LateRouterFixture
{
public:
  LateRouterFixture()
  {
    MachineOptions options;
    options.seeds = { kControl };
    options.bootstrap = true;
    this->fleet.StartControl(kControl, options);
    this->fleet.StartRouter(kRouter, options);
    REQUIRE(WaitFor(kStartTime, [this] {
      return this->fleet.PutConfiguration(kControl, 3) == 200;
    }));
    REQUIRE(
      WaitFor(kStartTime, [this] { return this->fleet.IsReady(kRouter); }));
  }

  bool HasLogged(const std::string& aText)
  {
    return this->fleet.Machine(kRouter).Log().find(aText) != std::string::npos;
  }

  static constexpr int kControl = 1;
  static constexpr int kRouter = 4;

  PlatformFleet fleet{ "late-router" };
};

} // namespace

// Guards against an overloaded router that keeps an old configuration, since
// messages from control wait behind all requests that it has taken up.
TEST_CASE_METHOD(LateRouterFixture,
                 "an overloaded router applies a new configuration in time",
                 "[overload-config]")
{
  CallerFlood flood(this->fleet.CallerAddress(kRouter), "/a/1", 2000, 1s);
  Throttle throttle(this->fleet.Machine(kRouter), 10ms);
  std::this_thread::sleep_for(5s);
  for (int version = 4; version <= 7; ++version) {
    REQUIRE(this->fleet.PutConfiguration(kControl, version) == 200);
    INFO("version " << version);
    CHECK(WaitFor(kApplyTime, [this, version] {
      return this->HasLogged(R"("event":"routes_in_force","version":")" +
                             std::to_string(version) + '"');
    }));
    std::this_thread::sleep_for(500ms);
  }
  auto ended = flood.Stop();
  CAPTURE(ended.answered, ended.refused, ended.gaveUp);
  CHECK(ended.gaveUp < ended.answered + ended.refused);
}

// Guards against a router that says that a route does not exist although it was
// added: the router has lost contact with control and does not know.
TEST_CASE_METHOD(LateRouterFixture,
                 "a router denies a route only by a confirmed configuration",
                 "[unconfirmed-denial]")
{
  auto isDenied = [this] {
    return this->fleet.GetFromRouter(kRouter, 1s, "/none/1").status == 404;
  };
  REQUIRE(WaitFor(kStartTime, isDenied));
  this->fleet.Machine(kControl).Signal(SIGSTOP);
  std::this_thread::sleep_for(kApplyTime);
  for (int i = 0; i < 10; ++i) {
    auto denied = this->fleet.GetFromRouter(kRouter, 1s, "/none/1");
    CHECK(denied.status == 503);
    CHECK(denied.headers.contains("Retry-After"));
    // The configuration that it has is still used.
    auto known = this->fleet.GetFromRouter(kRouter, 1s);
    CHECK(known.body.find("no_endpoint") != std::string::npos);
    std::this_thread::sleep_for(100ms);
  }
  this->fleet.Machine(kControl).Signal(SIGCONT);
  CHECK(WaitFor(kStartTime, isDenied));
}

} // namespace lycheestand::faults
