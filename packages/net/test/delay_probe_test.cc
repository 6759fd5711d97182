#include "net_fixture.h"

using namespace lycheestand;
using namespace lycheestand::net;

// Guards against a router that does not notice that its tasks run late, and so
// accepts requests that it can't answer in time.
TEST_CASE_METHOD(NetFixture, "A delay is known while the tasks still wait")
{
  auto probe = StartDelayProbe(this->runtime);
  this->started.push_back(probe.task);
  this->Coordinator().run();
  CHECK(probe.delay() == Duration(0));
  this->Coordinator().advance_time(std::chrono::milliseconds(50));
  this->Coordinator().run();
  CHECK(probe.delay() == Duration(0));
  // The probe's message is due after 50 ms but does not run yet.
  this->Coordinator().advance_time(std::chrono::milliseconds(450));
  CHECK(probe.delay() == std::chrono::milliseconds(400));
  this->Coordinator().run();
  CHECK(probe.delay() == std::chrono::milliseconds(400));
  this->Coordinator().advance_time(std::chrono::milliseconds(50));
  this->Coordinator().run();
  CHECK(probe.delay() == Duration(0));
}
