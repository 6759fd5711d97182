#include <catch2/catch.hpp>
#include <lycheestand/routes.h>

namespace lycheestand::routes {

namespace {

// A table with one service, to which a test adds routes.
struct RoutesFixture
{
  RoutesFixture()
  {
    REQUIRE(this->table.Add(Service{ ServiceName("s") }) == "");
  }

  Route MakeRoute(const std::string& aPrefix, const std::string& aName = "r")
  {
    Route route;
    route.name = aName;
    route.host = "a.example";
    route.pathPrefix = aPrefix;
    route.timeout = Milliseconds(1000);
    route.splits = { { ServiceName("s"), 1 } };
    return route;
  }

  RouteTable table{ ConfigVersion(1), KeyPolicy::Required };
};

} // namespace

// Guards against a request that reaches the service of a shorter prefix.
TEST_CASE_METHOD(RoutesFixture, "the longest prefix of the path wins")
{
  REQUIRE(this->table.Add(this->MakeRoute("/", "root")) == "");
  REQUIRE(this->table.Add(this->MakeRoute("/a/", "a")) == "");
  REQUIRE(this->table.Add(this->MakeRoute("/a/b/", "ab")) == "");
  CHECK(this->table.Find("a.example", "/a/b/c?x=/a/")->name == "ab");
  CHECK(this->table.Find("A.example:80", "/a/bc")->name == "a");
  CHECK(this->table.Find("a.example", "/other")->name == "root");
  CHECK(this->table.Find("b.example", "/a/b/c") == nullptr);
}

// Guards against a table with routes that cannot be served, for example because
// they name a service that does not exist.
TEST_CASE_METHOD(RoutesFixture, "an invalid route is rejected with its reason")
{
  Route unknown = this->MakeRoute("/a/");
  unknown.splits = { { ServiceName("other"), 1 } };
  CHECK(this->table.Add(unknown) == "there is no service \"other\"");
  Route zeroWeight = this->MakeRoute("/a/");
  zeroWeight.splits = { { ServiceName("s"), 0 } };
  CHECK(this->table.Add(zeroWeight) == "the weights add up to 0");
  Route zeroTimeout = this->MakeRoute("/a/");
  zeroTimeout.timeout = Milliseconds(0);
  CHECK(this->table.Add(zeroTimeout) == "a timeout must be above 0");
  CHECK(this->table.Add(this->MakeRoute("/a/")) == "");
  CHECK(this->table.Add(this->MakeRoute("/a/")) ==
        "two routes share host and prefix a.example/a/");
}

// Guards against requests that are charged to another workspace.
TEST_CASE_METHOD(RoutesFixture, "two workspaces may not share a key")
{
  Workspace first{ WorkspaceId("w1"), 0, Tokens(10), { "k1", "k2" } };
  Workspace second{ WorkspaceId("w2"), 0, Tokens(10), { "k3", "k2" } };
  REQUIRE(this->table.Add(first) == "");
  CHECK(this->table.FindWorkspaceByKey("k2")->workspace == WorkspaceId("w1"));
  CHECK(this->table.FindWorkspaceByKey("k9") == nullptr);
  CHECK(this->table.Add(second) == "two workspaces share a key");
}

// Guards against a table that is open to everybody once its last workspace has
// been removed.
TEST_CASE_METHOD(RoutesFixture, "keys are required without workspaces, too")
{
  Route open = this->MakeRoute("/open/");
  open.isPublic = true;
  REQUIRE(this->table.Add(open) == "");
  REQUIRE(this->table.Add(this->MakeRoute("/a/")) == "");
  CHECK(this->table.RequiresKey(*this->table.Find("a.example", "/a/")));
  CHECK_FALSE(
    this->table.RequiresKey(*this->table.Find("a.example", "/open/")));
  CHECK(this->table.FindWorkspaceByKey("") == nullptr);

  RouteTable keyless(ConfigVersion(1), KeyPolicy::NotRequired);
  CHECK_FALSE(keyless.RequiresKey(this->MakeRoute("/a/")));
}

// Guards against a split that sends requests to a service with weight 0.
TEST_CASE_METHOD(RoutesFixture, "services are chosen by their weights")
{
  Route route = this->MakeRoute("/a/");
  route.splits = { { ServiceName("x"), 0 },
                   { ServiceName("y"), 3 },
                   { ServiceName("z"), 1 } };
  auto choose = [&](std::uint64_t aPoint) {
    return ChooseService(route, [aPoint](std::uint64_t aBound) {
      REQUIRE(aBound == 4);
      return aPoint;
    });
  };
  CHECK(choose(0) == ServiceName("y"));
  CHECK(choose(2) == ServiceName("y"));
  CHECK(choose(3) == ServiceName("z"));
}

} // namespace lycheestand::routes
