#include "route_attempt.h"

#include <catch2/catch.hpp>

using namespace lycheestand;
using namespace lycheestand::router;

// Guards against a surplus answer that an endpoint sends after an earlier one
// and that is taken as the answer to the next request on the connection.
TEST_CASE("An answer belongs to a request only if it has the request's id")
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

// Guards against passing on a success that the endpoint did not sign, or that
// has a content encoding and so is not in the requested form.
TEST_CASE("A success must be signed and have no content encoding")
{
  AnswerDescription answer;
  answer.id = RequestId("own");
  CHECK_FALSE(IsAnswerTo(answer, *answer.id, 200));
  CHECK(IsAnswerTo(answer, *answer.id, 500));
  answer.isSigned = true;
  answer.isEncoded = true;
  CHECK_FALSE(IsAnswerTo(answer, *answer.id, 200));
}
