#include <catch2/catch.hpp>
#include <lycheestand/budget.h>

using namespace lycheestand;
using namespace lycheestand::budget;
using namespace std::chrono_literals;

// Guards against a budget that is used up by prompts of callers that give up:
// while a third of them did, the others were refused although the workspace had
// not had what it paid for.
TEST_CASE("A caller that gives up is charged for the output that it got")
{
  CallerExit exit{ 300ms, 10s, 2s };
  REQUIRE(ChargedTokens(Tokens(6000), Tokens(35), exit) == Tokens(35));
  REQUIRE(ChargedTokens(Tokens(6000), Tokens(0), exit) == Tokens(0));
}

// Guards against tokens beyond the budget: a caller that loses patience with a
// late answer, or reaches its deadline, has used the prompt.
TEST_CASE("A caller that leaves a late answer is charged for the prompt")
{
  CallerExit impatient{ 2700ms, 10s, 2s };
  REQUIRE(ChargedTokens(Tokens(6000), Tokens(35), impatient) == Tokens(6035));
  CallerExit atDeadline{ 700ms, 100ms, 2s };
  REQUIRE(ChargedTokens(Tokens(6000), Tokens(35), atDeadline) == Tokens(6035));
}

// Guards against an answer that is passed on to its end, or breaks off, without
// its prompt being charged.
TEST_CASE("An answer whose caller stays is charged for prompt and output")
{
  REQUIRE(ChargedTokens(Tokens(6000), Tokens(35), std::nullopt) ==
          Tokens(6035));
}
