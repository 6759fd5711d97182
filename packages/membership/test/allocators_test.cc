#include <algorithm>
#include <catch2/catch.hpp>
#include <lycheestand/membership.h>

using namespace lycheestand;
using namespace lycheestand::membership;

namespace {

// Returns routers in one zone, each on a host of its own.
std::vector<Instance>
MakeRouters(int aCount)
{
  std::vector<Instance> out;
  for (int i = 0; i < aCount; ++i) {
    Instance entry;
    entry.instance = InstanceId("r" + std::to_string(i));
    entry.zone = ZoneId("a");
    entry.peerAddress = { "10.0.0." + std::to_string(i), 7341 };
    entry.alive = true;
    out.push_back(entry);
  }
  return out;
}

const ZoneId kZone("a");

} // namespace

// Guards against a budget that is cut off from control together with the
// routers on control hosts, and against routers that lend nothing.
TEST_CASE("Only routers beside no control instance that lend are allocators")
{
  auto routers = MakeRouters(4);
  routers[0].alive = false;
  routers[1].leaving = true;
  routers[2].peerAddress = {};
  CHECK(Allocators(routers, {}).InZone(kZone).size() == 1);
  CHECK(Allocators(routers, { "10.0.0.3" }).InZone(kZone).empty());
  CHECK_FALSE(
    Allocators(routers, { "10.0.0.3" }).Find(kZone, WorkspaceId("w")));
}

// Guards against all workspaces at one router, and against one allocator for
// each few routers, which would split budgets again.
TEST_CASE("A zone has an allocator for each eight routers")
{
  Allocators allocators(MakeRouters(19), {});
  CHECK(allocators.InZone(kZone).size() == 3);
  std::set<InstanceId> used;
  for (int i = 0; i < 40; ++i) {
    used.insert(*allocators.Find(kZone, WorkspaceId("w" + std::to_string(i))));
  }
  CHECK(used.size() == 3);
  CHECK(Allocators(MakeRouters(3), {}).InZone(kZone).size() == 1);
}

// Guards against tokens that move between routers whenever an instance fails.
TEST_CASE("The loss of a router moves only the workspaces of an allocator")
{
  auto routers = MakeRouters(20);
  Allocators before(routers, {});
  InstanceId lost = before.InZone(kZone).front().first;
  std::erase_if(
    routers, [&](const Instance& aEntry) { return aEntry.instance == lost; });
  Allocators after(routers, {});
  REQUIRE(after.InZone(kZone).size() == 3);
  int moved = 0;
  for (int i = 0; i < 300; ++i) {
    WorkspaceId workspace("w" + std::to_string(i));
    moved += before.Find(kZone, workspace) != after.Find(kZone, workspace);
  }
  // A third was at the lost allocator; the new one takes some of the others.
  CHECK(moved < 180);
}
