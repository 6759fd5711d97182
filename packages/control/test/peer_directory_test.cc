#include "peer_directory.h"

#include <catch2/catch.hpp>

using namespace lycheestand;
using namespace lycheestand::control;

namespace {

constexpr Duration kLeaderTimeout = std::chrono::seconds(1);

consensus::Configuration
MakeGroup(const std::vector<std::string>& aInstances)
{
  consensus::Configuration group;
  for (const auto& instance : aInstances) {
    group.voters.insert({ InstanceId(instance), DiskId(1) });
    group.locations[InstanceId(instance)] = { { instance, 1 }, ZoneId() };
  }
  return group;
}

// The directory of instance "x", which is not a member.
class PeerDirectoryFixture
{
public:
  void Announce(const std::string& aFrom,
                const std::string& aLeader,
                const std::vector<std::string>& aMembers)
  {
    this->directory.Record(InstanceId(aFrom),
                           { InstanceId(aLeader), MakeGroup(aMembers) },
                           this->now);
  }

  // Returns the hosts of the known addresses, in order.
  std::string Hosts() const
  {
    std::string out;
    for (const auto& [instance, address] : this->directory.Addresses()) {
      out += address.host;
    }
    return out;
  }

  PeerDirectory directory{ InstanceId("x"), kLeaderTimeout };
  TimePoint now{ std::chrono::seconds(1000) };
};

} // namespace

// Guards against a new instance that never joins the group because the only
// instances in its settings are not members: these must pass on the members'
// addresses.
TEST_CASE_METHOD(PeerDirectoryFixture,
                 "an instance that is not a member passes the members on")
{
  CHECK_FALSE(this->directory.Announce(InstanceId()));
  this->Announce("a", "b", { "a", "b", "c" });
  auto announced = this->directory.Announce(InstanceId());
  REQUIRE(announced);
  CHECK(announced->members == MakeGroup({ "a", "b", "c" }));

  PeerDirectory other(InstanceId("y"), kLeaderTimeout);
  other.Record(InstanceId("x"), *announced, this->now);
  CHECK(other.Addresses().size() == 3);
}

// Guards against a leader that is gone and that instances which are not members
// keep announcing to each other.
TEST_CASE_METHOD(PeerDirectoryFixture, "only members announce a leader")
{
  this->Announce("a", "b", { "a", "b", "c" });
  CHECK(this->directory.AnnouncedLeader(this->now) == InstanceId("b"));
  CHECK(this->directory.Announce(InstanceId("b"))->leader == InstanceId());
  this->now += kLeaderTimeout;
  this->Announce("y", "b", { "a", "b", "c" });
  CHECK(this->directory.AnnouncedLeader(this->now) == InstanceId());
}

// Guards against members that are replaced by older ones, which an instance
// that lost contact with the group still passes on.
TEST_CASE_METHOD(PeerDirectoryFixture,
                 "what others pass on adds addresses and replaces no members")
{
  this->Announce("a", "a", { "a", "b", "d" });
  this->Announce("y", "", { "a", "b", "c" });
  CHECK(this->directory.Group() == MakeGroup({ "a", "b", "d" }));
  CHECK(this->Hosts() == "abcd");
  this->directory.Forget(InstanceId("y"));
  CHECK(this->Hosts() == "abd");
}

// Guards against addresses of earlier settings that stay in use after a reload.
TEST_CASE_METHOD(PeerDirectoryFixture, "new settings replace the addresses")
{
  this->directory.SetConfigured({ { InstanceId("a"), { "a", 1 } } });
  this->directory.SetConfigured({ { InstanceId("b"), { "own-b", 1 } } });
  this->Announce("b", "", { "b", "c" });
  CHECK(this->Hosts() == "own-bc");
}

// Guards against a member that announces what it heard instead of its own log.
TEST_CASE_METHOD(PeerDirectoryFixture, "a member announces its own members")
{
  this->Announce("a", "a", { "a", "b", "c" });
  this->directory.SetMembers(MakeGroup({ "a", "b", "x" }));
  CHECK(this->directory.IsMember());
  auto announced = this->directory.Announce(InstanceId("x"));
  REQUIRE(announced);
  CHECK(announced->members == MakeGroup({ "a", "b", "x" }));
  CHECK(announced->leader == InstanceId("x"));
}
