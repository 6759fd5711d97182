#include "net_fixture.h"
#include "tasks.h"

using namespace lycheestand;
using namespace lycheestand::control;
using namespace std::chrono_literals;

namespace {

const PromptPartId kSharedPart{ 1 };

// Takes the place of the fleet controller.
class FleetStandIn : public net::IoTask
{
public:
  FleetStandIn(caf::actor_config& aConfig,
               net::Runtime aRuntime,
               wire::QuarantineState& aPublished)
    : net::IoTask(aConfig, aRuntime)
    , published(aPublished)
  {
  }

protected:
  caf::message_handler Handlers() override
  {
    return { [this](QuarantineChanged& aChanged) {
              this->published = std::move(aChanged.state);
            },
             [](SendToRouter&) {} };
  }

private:
  wire::QuarantineState& published;
};

// The quarantine controller of a new leader, on a paused clock.
class NewLeaderFixture : public net::NetFixture
{
public:
  NewLeaderFixture()
  {
    auto fleet = this->system.spawn<FleetStandIn>(this->runtime,
                                                  std::ref(this->published));
    this->controller = SpawnQuarantineController(this->runtime, fleet);
    this->started = { fleet, this->controller };
    LeadershipChanged changed;
    changed.isLeader = true;
    this->Tell(changed);
  }

  template<class Message>
  void Tell(Message aMessage)
  {
    caf::anon_send(this->controller, std::move(aMessage));
    this->Coordinator().run();
  }

  // Routers report crashes of three endpoints which the last leader knew. All
  // were at work on prompts that share their first part.
  void ReportCrashes(Milliseconds aAge)
  {
    for (std::uint64_t i = 1; i <= 3; ++i) {
      this->Tell(wire::CrashReport{ EndpointId("e" + std::to_string(i)),
                                    { kSharedPart, PromptPartId(10 + i) },
                                    aAge - Milliseconds(200 * i),
                                    {} });
    }
    this->Advance(500ms);
  }

  wire::QuarantineState published;
  caf::actor controller;
};

} // namespace

// Guards against a new leader that refuses all prompts with a shared part,
// since it knows the crashes but not the successes of before.
TEST_CASE_METHOD(
  NewLeaderFixture,
  "A new leader waits for successes before it quarantines a part")
{
  this->ReportCrashes(3s);
  CHECK(this->published.quarantined.empty());
  REQUIRE(this->published.suspects == std::vector{ kSharedPart,
                                                   PromptPartId(11),
                                                   PromptPartId(12),
                                                   PromptPartId(13) });
  this->Tell(wire::PartSuccess{ { kSharedPart }, {} });
  this->Advance(3s);
  CHECK(this->published.quarantined.empty());
}

// Guards against a deadly part that a new leader lets through.
TEST_CASE_METHOD(NewLeaderFixture,
                 "A new leader quarantines a part without a success")
{
  this->ReportCrashes(3s);
  this->Advance(1s);
  CHECK(this->published.quarantined == std::vector{ kSharedPart });
}
