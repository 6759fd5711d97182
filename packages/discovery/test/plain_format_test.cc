#include <catch2/catch.hpp>
#include <lycheestand/discovery.h>

using namespace lycheestand;
using namespace lycheestand::discovery;

// Guards against a list that loses its endpoints since it names no versions,
// and against a version that is too long for the messages that carry it.
TEST_CASE("An entry of the plain list may name a version")
{
  auto read = [](const std::string& aField) {
    return MakePlainFormat().read(
      R"([{"id":"e","address":"10.0.0.1:80","kind":"service","serves":"s")" +
      aField + "}]");
  };
  auto unnamed = read("");
  REQUIRE(unnamed);
  REQUIRE(unnamed->endpoints.size() == 1);
  CHECK(unnamed->endpoints[0].version == SoftwareVersion());
  auto named = read(R"(,"version":"v2")");
  REQUIRE(named);
  REQUIRE(named->endpoints.size() == 1);
  CHECK(named->endpoints[0].version == SoftwareVersion("v2"));
  auto tooLong = read(R"(,"version":")" + std::string(129, 'v') + "\"");
  REQUIRE(tooLong);
  CHECK(tooLong->endpoints.empty());
  CHECK(tooLong->malformedEntries == 1);
}
