// Guarantee 8 (docs/design.md, section 1): an accepted configuration is in
// force on every instance within 7 s and never reverts.

#include "fleet.h"

#include <array>
#include <catch2/catch.hpp>
#include <csignal>

namespace lycheestand::faults {

namespace {

// Time after which no instance may serve an earlier configuration.
constexpr Duration kMaxChangeDelay = 7s;

// Lists the models of each router continuously and records the last time that a
// list had the model "old". Listing needs no tokens: with chat requests, a
// partitioned router that runs out of tokens would pass the test although it
// still uses the old configuration.
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

  // Returns the time from the change to the last call that was served under the
  // old configuration; negative if all such calls were before the change.
  Duration LastServedAfter(TimePoint aChange) const
  {
    TimePoint last{};
    for (auto at : this->lastServed) {
      last = std::max(last, at);
    }
    return last - aChange;
  }

  int AnsweredCalls(int aRouter) const { return this->answered[aRouter]; }

  // Runs a function while no call is in flight, so that no call can begin
  // before and end after it.
  void RunBetweenCalls(const std::function<void()>& aRun)
  {
    std::scoped_lock lock(this->callMutexes[0], this->callMutexes[1]);
    aRun();
  }

private:
  void Run(int aRouter)
  {
    while (!this->isStopped) {
      std::unique_lock lock(this->callMutexes[aRouter]);
      auto begin = Clock::now();
      Reply reply = this->fleet.GetFromRouter(aRouter, "/v1/models", 60s);
      // A call to a suspended router is served after the router continues. It
      // counts by the time of its answer, since no call was in flight when the
      // router was suspended, so the router read it only after it continued.
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
  std::array<std::mutex, 2> callMutexes;
  std::vector<TimePoint> lastServed;
  std::vector<int> answered;
  std::vector<std::thread> threads;
};

// Injects a fault before a change that removes a model, ends it after the time
// limit, and checks when the last call was served under the old configuration.
void
CheckChange(Fleet& aFleet,
            const std::function<void()>& aBefore,
            const std::function<void()>& aAfter)
{
  REQUIRE(aFleet.ApplyModels({ "chat", "old" }, 1, "add").status == 200);
  OldModelProbe probe(aFleet);
  for (int i = 0; i < aFleet.Options().routers; ++i) {
    REQUIRE(WaitFor(10s, [&] { return probe.AnsweredCalls(i) > 0; }));
  }
  probe.RunBetweenCalls(aBefore);
  REQUIRE(aFleet.ApplyModels({ "chat" }, 2, "remove").status == 200);
  auto changedAt = Clock::now();
  // The fault outlasts the limit, so that a call served too late is detected.
  std::this_thread::sleep_until(changedAt + kMaxChangeDelay + 2s);
  aAfter();
  std::this_thread::sleep_for(4s);
  probe.Stop();
  auto last =
    std::chrono::duration_cast<Milliseconds>(probe.LastServedAfter(changedAt));
  aFleet.AddReportValue("old_served_until_ms", last.count());
  REQUIRE(last < kMaxChangeDelay);
  // All routers serve the new configuration after the fault.
  for (int i = 0; i < aFleet.Options().routers; ++i) {
    REQUIRE(aFleet.WaitUntilReady(i));
    ChatRequest request;
    request.content = "end";
    REQUIRE(aFleet.Chat(i, request).outcome == ChatOutcome::Complete);
    request.model = "old";
    REQUIRE(aFleet.Chat(i, request).status == 404);
  }
}

// The engine stand-ins serve any model; the platform list names one for each.
FleetOptions
MakeOptions()
{
  FleetOptions options;
  options.servedModels = { "chat", "old" };
  return options;
}

} // namespace

// Guards against a router that keeps serving an old configuration while it is
// partitioned from control.
TEST_CASE("a partitioned router stops serving the old configuration",
          "[config-cut]")
{
  Fleet fleet("config-cut", 51, MakeOptions());
  CheckChange(
    fleet,
    [&] { fleet.SetRouterFault(0, "block"); },
    [&] { fleet.SetRouterFault(0, "heal"); });
}

// Guards against heartbeats that confirm a configuration although one direction
// of the link is lost.
TEST_CASE("a router that receives nothing stops serving the old configuration",
          "[config-one-way]")
{
  Fleet fleet("config-one-way", 52, MakeOptions());
  CheckChange(
    fleet,
    [&] {
      fleet.SetRouterFault(0, "drop_backward");
      fleet.SetRouterFault(1, "drop_forward");
    },
    [&] {
      fleet.SetRouterFault(0, "heal");
      fleet.SetRouterFault(1, "heal");
    });
}

// Guards against a suspended router that serves its old configuration after it
// continues.
TEST_CASE("a suspended router does not serve the old configuration afterwards",
          "[config-frozen]")
{
  Fleet fleet("config-frozen", 53, MakeOptions());
  CheckChange(
    fleet,
    [&] { fleet.Router(0).Signal(SIGSTOP); },
    [&] { fleet.Router(0).Signal(SIGCONT); });
}

// Guards against a router that restarts with an old configuration.
TEST_CASE("a restarted router serves only the new configuration",
          "[config-restart]")
{
  Fleet fleet("config-restart", 54, MakeOptions());
  CheckChange(
    fleet,
    [&] {
      fleet.Router(0).Kill();
      fleet.SetRouterFault(0, "drop_backward");
      fleet.Router(0).Start();
    },
    [&] { fleet.SetRouterFault(0, "heal"); });
}

} // namespace lycheestand::faults
