#include "route_attempt.h"

#include <catch2/catch.hpp>

using namespace lycheestand;
using namespace lycheestand::router;

// Guards against an answer that an endpoint sends after an earlier one and that
// is passed on as the answer to the next request of the connection.
TEST_CASE("Only an answer with the request's id belongs to it")
{
  AnswerDescription answer;
  answer.isSigned = true;
  RequestId own("own");
  CHECK_FALSE(IsAnswerTo(answer, own, 200));
  CHECK_FALSE(IsAnswerTo(answer, own, 503));
  answer.id = RequestId("other");
  CHECK_FALSE(IsAnswerTo(answer, own, 200));
  answer.id = own;
  CHECK(IsAnswerTo(answer, own, 200));
  CHECK(IsAnswerTo(answer, own, 503));
}

// Guards against a success that the endpoint did not sign or that is not in the
// form that was asked for.
TEST_CASE("A success must be signed and plain")
{
  AnswerDescription answer;
  answer.id = RequestId("own");
  CHECK_FALSE(IsAnswerTo(answer, *answer.id, 200));
  CHECK(IsAnswerTo(answer, *answer.id, 500));
  answer.isSigned = true;
  answer.isEncoded = true;
  CHECK_FALSE(IsAnswerTo(answer, *answer.id, 200));
}
