#include <catch2/catch.hpp>
#include <lycheestand/core.h>

using namespace lycheestand;

// Guards against a digest in a log line that an operator can't pass on.
TEST_CASE("The text of a request digest is parsed to the same digest")
{
  for (std::uint64_t value : { 0ULL, 0x1aULL, ~0ULL }) {
    std::string text = ToString(RequestDigest(value));
    CHECK(text.size() == 16);
    CHECK(ParseRequestDigest(text) == RequestDigest(value));
  }
  CHECK(ToString(RequestDigest(0x1a)) == "000000000000001a");
  for (const char* text :
       { "", "1a", "000000000000001g", "-00000000000001a" }) {
    CHECK_FALSE(ParseRequestDigest(text));
  }
}
