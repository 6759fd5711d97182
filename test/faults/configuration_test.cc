// Promise 8: an accepted configuration is in force everywhere within 7 s and
// never reverts.

#include "fleet.h"

#include <array>
#include <catch2/catch.hpp>
#include <csignal>

namespace lycheestand::faults {

namespace {

// Time within which a change is in force on every instance.
constexpr Duration kLimit = 7s;

// Callers that ask each router for its models all the time, and remember the
// last call whose answer had the old one. Such a call needs no tokens: a
// router that is cut off runs out of them and would seem to keep the rule.
class OldModelProbe
{
public:
  explicit OldModelProbe(Fleet& aFleet)
    : fleet(aFleet)
  {
    this->lastServed.resize(aFleet.Options().routers);
    this->answered.resize(aFleet.Options().routers);
    for (int i = 0; i < aFleet.Options().routers; ++i) {
      this->threads.emplace_back([this, i] { this->Run(i); });
    }
  }

  ~OldModelProbe() { this->Stop(); }

  void Stop()
  {
    this->isStopped = true;
    for (auto& thread : this->threads) {
      if (thread.joinable()) {
        thread.join();
      }
    }
  }

  // Returns how long after the change a call was begun that was served under
  // the old configuration; negative if none was.
  Duration LastServedAfter(TimePoint aChange) const
  {
    TimePoint last{};
    for (auto at : this->lastServed) {
      last = std::max(last, at);
    }
    return last - aChange;
  }

  int Answered(int aRouter) const { return this->answered[aRouter]; }

  // Runs something while no call is in flight, so that none that was taken
  // before it can end after it.
  void RunBetweenCalls(const std::function<void()>& aRun)
  {
    std::scoped_lock lock(this->calls[0], this->calls[1]);
    aRun();
  }

private:
  void Run(int aRouter)
  {
    while (!this->isStopped) {
      std::unique_lock lock(this->calls[aRouter]);
      auto begin = Clock::now();
      Reply reply = this->fleet.GetFromRouter(aRouter, "/v1/models", 60s);
      // A call sent to a frozen router is served later or not at all; it
      // counts by the time of its answer, since the router took it then: no
      // call was in flight when the router was frozen.
      bool listsOld = reply.body.find("\"old\"") != std::string::npos;
      if (reply.status == 200 && listsOld) {
        this->lastServed[aRouter] =
          Clock::now() - begin > 2s ? Clock::now() : begin;
        ++this->answered[aRouter];
      }
      lock.unlock();
      std::this_thread::sleep_for(10ms);
    }
  }

  Fleet& fleet;
  std::atomic<bool> isStopped{ false };
  std::array<std::mutex, 2> calls;
  std::vector<TimePoint> lastServed;
  std::vector<int> answered;
  std::vector<std::thread> threads;
};

// Runs faults around a change that removes a model, and checks when the last
// call was served under the old configuration.
void
CheckChange(Fleet& aFleet,
            const std::function<void()>& aBefore,
            const std::function<void()>& aAfter)
{
  REQUIRE(aFleet.ApplyModels({ "chat", "old" }, 1, "add").status == 200);
  OldModelProbe probe(aFleet);
  for (int i = 0; i < aFleet.Options().routers; ++i) {
    REQUIRE(WaitFor(10s, [&] { return probe.Answered(i) > 0; }));
  }
  probe.RunBetweenCalls(aBefore);
  REQUIRE(aFleet.ApplyModels({ "chat" }, 2, "remove").status == 200);
  auto changedAt = Clock::now();
  // The fault lasts longer than the limit, so that a call served late shows.
  std::this_thread::sleep_until(changedAt + kLimit + 2s);
  aAfter();
  std::this_thread::sleep_for(4s);
  probe.Stop();
  auto last =
    std::chrono::duration_cast<Milliseconds>(probe.LastServedAfter(changedAt));
  aFleet.Figure("old_served_until_ms", last.count());
  REQUIRE(last < kLimit);
  // All routers serve the new configuration in the end.
  for (int i = 0; i < aFleet.Options().routers; ++i) {
    REQUIRE(aFleet.WaitUntilReady(i));
    ChatRequest request;
    request.content = "end";
    REQUIRE(aFleet.Chat(i, request).ending == Ending::Whole);
    request.model = "old";
    REQUIRE(aFleet.Chat(i, request).status == 404);
  }
}

// The engines serve any model; the platform's list names one.
FleetOptions
MakeOptions()
{
  FleetOptions options;
  options.serves = { "chat", "old" };
  return options;
}

} // namespace

// Guards against a router that goes on with an old configuration while it is
// cut off from control.
TEST_CASE("a cut-off router stops serving the old configuration",
          "[config-cut]")
{
  Fleet fleet("config-cut", 51, MakeOptions());
  CheckChange(
    fleet,
    [&] { fleet.FaultRouter(0, "block"); },
    [&] { fleet.FaultRouter(0, "heal"); });
}

// Guards against heartbeats that confirm a configuration although the other
// direction of the link is lost.
TEST_CASE("a router that hears nothing stops serving the old configuration",
          "[config-one-way]")
{
  Fleet fleet("config-one-way", 52, MakeOptions());
  CheckChange(
    fleet,
    [&] {
      fleet.FaultRouter(0, "drop_backward");
      fleet.FaultRouter(1, "drop_forward");
    },
    [&] {
      fleet.FaultRouter(0, "heal");
      fleet.FaultRouter(1, "heal");
    });
}

// Guards against a frozen router that serves what it knew when it goes on.
TEST_CASE("a frozen router does not serve the old configuration afterwards",
          "[config-frozen]")
{
  Fleet fleet("config-frozen", 53, MakeOptions());
  CheckChange(
    fleet,
    [&] { fleet.Router(0).Signal(SIGSTOP); },
    [&] { fleet.Router(0).Signal(SIGCONT); });
}

// Guards against a router that starts again with an old configuration.
TEST_CASE("a restarted router serves only the new configuration",
          "[config-restart]")
{
  Fleet fleet("config-restart", 54, MakeOptions());
  CheckChange(
    fleet,
    [&] {
      fleet.Router(0).Kill();
      fleet.FaultRouter(0, "drop_backward");
      fleet.Router(0).Start();
    },
    [&] { fleet.FaultRouter(0, "heal"); });
}

} // namespace lycheestand::faults
