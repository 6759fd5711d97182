#include <catch2/catch.hpp>
#include <lycheestand/core.h>

using namespace lycheestand;

// Accepting an invalid port, for example by truncating it to 16 bits, would
// send traffic to another process.
TEST_CASE("ParseAddress accepts host:port and rejects invalid ports")
{
  REQUIRE(ParseAddress("127.0.0.1:80").value() == Address{ "127.0.0.1", 80 });
  REQUIRE(ParseAddress("127.0.0.1").has_error());
  REQUIRE(ParseAddress("127.0.0.1:0").has_error());
  REQUIRE(ParseAddress("127.0.0.1:70000").has_error());
  REQUIRE(ParseAddress("127.0.0.1:8x").has_error());
}

// Wrong token arithmetic would corrupt budgets.
TEST_CASE("Tokens add, subtract and compare by value")
{
  REQUIRE(Tokens(3) + Tokens(4) - Tokens(2) == Tokens(5));
  REQUIRE(Tokens(3) < Tokens(4));
}
