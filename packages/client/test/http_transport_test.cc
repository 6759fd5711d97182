// The transport that sends the requests of the command line.

#include "net_fixture.h"

#include <lycheestand/client.h>

using namespace lycheestand;
using namespace lycheestand::client;

namespace {

constexpr std::size_t kLargerThanBuffers = 32 * 1024 * 1024;

} // namespace

// Guards against a part of a response that is taken for a whole one: without a
// length only the end of the connection tells, and a reset may be reported to
// the write of the request instead of the read.
TEST_CASE("A response without a length that is reset is no answer")
{
  auto bodyBytes = GENERATE(std::size_t(2), kLargerThanBuffers);
  CAPTURE(bodyBytes);
  net::RawEndpoint endpoint;
  auto transport = MakeHttpTransport(std::chrono::seconds(10));
  std::thread server([&] {
    auto waitFor = [](const std::function<bool()>& aCondition) {
      while (!aCondition()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
      }
    };
    waitFor([&] { return endpoint.Accept(); });
    waitFor([&] { return endpoint.HasUnread(); });
    endpoint.Send("HTTP/1.1 200 OK\r\n\r\npart");
    endpoint.Reset();
  });
  auto result = transport(endpoint.GetAddress(),
                          { "POST", "/", "key", std::string(bodyBytes, 'x') });
  server.join();
  REQUIRE(result.has_error());
  CHECK(result.error() == SendFailure::NoAnswer);
}
