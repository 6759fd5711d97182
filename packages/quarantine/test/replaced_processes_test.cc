#include <catch2/catch.hpp>
#include <lycheestand/quarantine.h>

using namespace lycheestand;
using namespace lycheestand::quarantine;
using namespace std::chrono_literals;

namespace {

const EndpointId kEndpoint("e");
const Address kAddress{ "10.0.0.1", 80 };
const TimePoint kBreak(1h);

ReplacedProcesses::Process
MakeProcess(std::uint64_t aStart,
            const EndpointId& aEndpoint = kEndpoint,
            const Address& aAddress = kAddress)
{
  return { aEndpoint, aAddress, StartTime(aStart) };
}

class ReplacedProcessesFixture
{
public:
  ReplacedProcessesFixture()
  {
    CHECK(this->Update({ MakeProcess(1) }, kBreak - 1s) == 0);
  }

  void Break()
  {
    this->replaced.AddBroken({ kEndpoint, kBreak, { RequestDigest(7) } });
  }

  // Returns the number of crashes that the list shows.
  std::size_t Update(const std::vector<ReplacedProcesses::Process>& aList,
                     TimePoint aNow)
  {
    auto crashes = this->replaced.Update(aList, aNow);
    for (const auto& crash : crashes) {
      CHECK(crash.endpoint == kEndpoint);
      CHECK(crash.time == kBreak);
      CHECK(crash.digests == std::vector{ RequestDigest(7) });
    }
    return crashes.size();
  }

  ReplacedProcesses replaced;
};

} // namespace

// Guards against a crash that is not noticed, since the endpoint was back
// before the router could see it down.
TEST_CASE_METHOD(ReplacedProcessesFixture,
                 "Another process after a broken attempt is a crash")
{
  this->Break();
  CHECK(this->Update({ MakeProcess(1) }, kBreak + 1s) == 0);
  SECTION("another start time")
  {
    CHECK(this->Update({ MakeProcess(2) }, kBreak + 3s) == 1);
    CHECK(this->Update({ MakeProcess(3) }, kBreak + 4s) == 0);
  }
  SECTION("another id at the address")
  {
    CHECK(this->Update({ MakeProcess(2, EndpointId("f")) }, kBreak + 3s) == 1);
  }
}

// Guards against requests that are blamed for what is no crash.
TEST_CASE_METHOD(ReplacedProcessesFixture, "A broken attempt alone is no crash")
{
  this->Break();
  CHECK(this->Update({ MakeProcess(1) }, kBreak + 1s) == 0);
  // Nothing is known of the process.
  CHECK(this->Update({ MakeProcess(0) }, kBreak + 2s) == 0);
  CHECK(this->Update({}, kBreak + 3s) == 0);
  auto other = MakeProcess(2, EndpointId("f"), { "10.0.0.2", 80 });
  CHECK(this->Update({ other }, kBreak + 4s) == 0);
  // Too late to have to do with it.
  CHECK(this->Update({ MakeProcess(2) }, kBreak + 11s) == 0);
}

// Guards against an attempt at the next process that is blamed for the end of
// the one before, which the list still shows.
TEST_CASE_METHOD(ReplacedProcessesFixture,
                 "The list's delay after a crash blames no later attempt")
{
  this->replaced.AddCrashed(kEndpoint);
  CHECK(this->Update({ MakeProcess(1) }, kBreak - 500ms) == 0);
  this->Break();
  CHECK(this->Update({ MakeProcess(2) }, kBreak + 1s) == 0);
  this->Break();
  CHECK(this->Update({ MakeProcess(3) }, kBreak + 2s) == 1);
}
