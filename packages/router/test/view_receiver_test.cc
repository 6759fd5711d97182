#include "view_receiver.h"

#include <catch2/catch.hpp>

using namespace lycheestand;
using namespace lycheestand::router;

namespace {

wire::ViewPush
MakePush(std::uint64_t aVersion,
         std::uint64_t aBase,
         const std::vector<std::string>& aEndpoints)
{
  wire::ViewPush push;
  push.version = ViewVersion(aVersion);
  push.base = ViewVersion(aBase);
  for (const auto& name : aEndpoints) {
    push.endpoints.push_back(
      { EndpointId(name), ZoneId("a"), { "127.0.0.1", 1 }, "chat" });
  }
  return push;
}

} // namespace

// Guards against endpoints that are missing, or remain after their removal,
// when control sends only deltas.
TEST_CASE("Deltas are merged into the full view")
{
  ViewReceiver receiver;
  REQUIRE(receiver.Apply(MakePush(1, 0, { "e1", "e2" }))->Endpoints().size() ==
          2);
  auto change = MakePush(2, 1, { "e3" });
  change.removedEndpoints = { EndpointId("e1") };
  auto whole = receiver.Apply(change);
  REQUIRE(whole->Endpoints().size() == 2);
  REQUIRE(whole->Endpoints()[0].endpoint == EndpointId("e2"));
  REQUIRE(whole->Endpoints()[1].endpoint == EndpointId("e3"));
}

// Guards against a delta that is applied to another version of the view than
// the one it is based on.
TEST_CASE("A delta that is based on another version is refused")
{
  ViewReceiver receiver;
  receiver.Apply(MakePush(1, 0, { "e1" }));
  REQUIRE(receiver.Apply(MakePush(3, 2, { "e2" })) == nullptr);
  REQUIRE(receiver.Apply(MakePush(9, 0, { "e4" }))->Endpoints().size() == 1);
}
