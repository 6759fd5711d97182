#include "request_digest.h"

#include <catch2/catch.hpp>
#include <lycheestand/routes.h>
#include <map>
#include <set>

using namespace lycheestand;
using namespace lycheestand::router;

// Guards against a repeated request that is not recognized, and against a
// request that is refused for another one.
TEST_CASE("Only requests that are equal have the same digest")
{
  const RequestIdentity request{ WorkspaceId("w"), "h.example", "/a?b=c",
                                 "POST",           "body",      {} };
  CHECK(ComputeDigest(request) == ComputeDigest(request));
  std::set<RequestDigest> digests{ ComputeDigest(request) };
  auto add = [&](auto aChange) {
    RequestIdentity other = request;
    aChange(other);
    CHECK(digests.insert(ComputeDigest(other)).second);
  };
  add([](auto& aOther) { aOther.workspace = WorkspaceId("v"); });
  add([](auto& aOther) { aOther.host = "i.example"; });
  add([](auto& aOther) { aOther.target = "/a?b=d"; });
  add([](auto& aOther) { aOther.method = "PUT"; });
  add([](auto& aOther) { aOther.body = "bodY"; });
  add([](auto& aOther) {
    aOther.prefix = { { routing::PrefixHash(1), Tokens(1) } };
  });
}

// Guards against two requests that differ only in where a field ends.
TEST_CASE("The fields of a digest can't run together")
{
  const RequestIdentity left{ WorkspaceId("w"), "ab", "c", "GET", "", {} };
  const RequestIdentity right{ WorkspaceId("w"), "a", "bc", "GET", "", {} };
  CHECK(ComputeDigest(left) != ComputeDigest(right));
}

// Guards against a stream that is taken up at another service than the one that
// began it, and against weights that no longer hold.
TEST_CASE("A stream stays at the service of its split")
{
  routes::Route route;
  route.splits = { { ServiceName("a"), 90 },
                   { ServiceName("b"), 10 },
                   { ServiceName("c"), 0 } };
  std::map<ServiceName, int> chosen;
  constexpr int kRequests = 20000;
  for (int i = 0; i < kRequests; ++i) {
    RequestId id("r" + std::to_string(i));
    auto source = MakeStreamSource(WorkspaceId("w"), id);
    const auto& service = routes::ChooseService(route, source);
    ++chosen[service];
    CHECK(service ==
          routes::ChooseService(route, MakeStreamSource(WorkspaceId("w"), id)));
  }
  CHECK(chosen[ServiceName("a")] == Approx(kRequests * 0.9).epsilon(0.02));
  CHECK(chosen[ServiceName("b")] == Approx(kRequests * 0.1).epsilon(0.1));
  CHECK(chosen[ServiceName("c")] == 0);
}
