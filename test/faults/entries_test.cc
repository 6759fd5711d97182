// Which routers callers are told to use.

#include "platform_fleet.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace lycheestand::faults {

namespace {

// Time within which all routers know each other after a start.
constexpr Duration kStartTime = 15s;

constexpr int kCallers = 40;

// One control instance and 12 routers in its availability zone.
class EntriesFixture
{
public:
  EntriesFixture()
  {
    MachineOptions options;
    options.seeds = { 1 };
    options.bootstrap = true;
    this->fleet.StartControl(1, options);
    // Every third machine is in the zone of the first.
    for (int i = 1; i <= 12; ++i) {
      this->routers.push_back(1 + 3 * i);
      this->fleet.StartRouter(this->routers.back(), options);
    }
    REQUIRE(WaitFor(kStartTime, [this] {
      return this->fleet.PutConfiguration(1, 3) == 200;
    }));
    REQUIRE(WaitFor(kStartTime, [this] {
      return std::all_of(
        this->routers.begin(), this->routers.end(), [this](int aRouter) {
          return this->ToldByRouter(aRouter).size() == this->routers.size();
        });
    }));
  }

  // Returns all routers that one router tells its callers.
  std::set<std::string> ToldByRouter(int aRouter) const
  {
    std::set<std::string> told;
    for (int caller = 1; caller <= kCallers; ++caller) {
      told.merge(this->fleet.FindRouters(aRouter, caller));
    }
    return told;
  }

  // Returns the router that a workspace's callers prefer among several. All of
  // them choose alike.
  static std::string Preferred(const std::set<std::string>& aRouters,
                               const std::string& aWorkspace)
  {
    return *std::min_element(
      aRouters.begin(),
      aRouters.end(),
      [&aWorkspace](const auto& aLeft, const auto& aRight) {
        std::hash<std::string> hash;
        return hash(aWorkspace + aLeft) < hash(aWorkspace + aRight);
      });
  }

  PlatformFleet fleet{ "entries" };
  std::vector<int> routers;
};

} // namespace

// Guards against a workspace whose callers all meet at one router, because they
// choose alike from the same addresses: that router gets more than it can
// carry while the others are idle.
TEST_CASE_METHOD(EntriesFixture,
                 "callers that choose alike are spread over the routers",
                 "[entries-spread]")
{
  for (const char* workspace : { "w1", "w2", "w3", "w4", "w5", "w6" }) {
    std::map<std::string, int> callersByRouter;
    for (int caller = 1; caller <= kCallers; ++caller) {
      auto told = this->fleet.FindRouters(this->routers[0], caller);
      REQUIRE_FALSE(told.empty());
      ++callersByRouter[Preferred(told, workspace)];
    }
    for (const auto& [router, callers] : callersByRouter) {
      INFO(workspace << " at " << router);
      CHECK(callers <= kCallers / 2);
    }
  }
}

// Guards against callers that open new connections whenever they ask another
// router for addresses.
TEST_CASE_METHOD(EntriesFixture,
                 "all routers tell a caller the same addresses",
                 "[entries-stable]")
{
  for (int caller = 1; caller <= kCallers; ++caller) {
    auto first = this->fleet.FindRouters(this->routers.front(), caller);
    CHECK(first == this->fleet.FindRouters(this->routers.back(), caller));
    // A caller whose router fails needs others to turn to.
    CHECK(first.size() >= 3);
  }
}

} // namespace lycheestand::faults
