#include "request_digest.h"

#include <catch2/catch.hpp>
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
