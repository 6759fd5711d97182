#include "filter_chain.h"
#include "net_fixture.h"

#include <sstream>

using namespace lycheestand;
using namespace lycheestand::router;
using namespace std::chrono_literals;

namespace {

std::uint64_t
CountCuts(const std::string& aReason)
{
  return net::Metrics()
    .GetCounter("lycheestand_requests_cut_total", "reason=\"" + aReason + "\"")
    .Value();
}

// Serves requests that the test ends.
class CutFixture : public net::NetFixture
{
public:
  RequestPtr Receive(net::RawCaller& aCaller)
  {
    auto before = this->requests.size();
    aCaller.Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    this->RunUntil([&] { return this->requests.size() > before; });
    return this->requests.back();
  }

  // Runs in the task of the connection; may be empty.
  std::function<void(const RequestPtr&)> onRequest;
  std::vector<RequestPtr> requests;
  Address address = this->Serve([this](const net::ExchangePtr& aExchange) {
    auto request = std::make_shared<Request>();
    request->exchange = aExchange;
    request->startedAt = net::Now(this->runtime);
    aExchange->OnDisconnect(
      [request](net::Disconnect aHow) { EndDisconnected(request, aHow); });
    this->requests.push_back(request);
    if (this->onRequest) {
      this->onRequest(request);
    }
  });
};

} // namespace

// Guards against answers that the router gives up and that its log takes for
// the caller's decision.
TEST_CASE_METHOD(CutFixture, "A request that the router cuts is counted")
{
  auto broken = CountCuts("broken_stream");
  auto stopped = CountCuts("stopped");
  net::RawCaller first(this->address);
  auto aborted = this->Receive(first);
  aborted->exchange->StartStream(200, {});
  aborted->exchange->WriteStream("part", nullptr);
  aborted->outcome = "broken_stream";
  aborted->exchange->Abort();
  FinishRequest(aborted);
  net::RawCaller second(this->address);
  auto waiting = this->Receive(second);
  this->RunUntil([&] { return first.IsClosed(); });
  CHECK(CountCuts("broken_stream") == broken + 1);
  CHECK_FALSE(aborted->exit);
  caf::anon_send(this->started.front(), net::CloseConnections{});
  this->RunUntil([&] { return second.IsClosed(); });
  CHECK(CountCuts("stopped") == stopped + 1);
  CHECK(std::string(waiting->outcome) == "cut");
  CHECK_FALSE(waiting->exit);
}

// Guards against cuts that are counted although the caller has left.
TEST_CASE_METHOD(CutFixture, "A request whose caller has left is no cut")
{
  auto text = net::Metrics().Render();
  net::RawCaller caller(this->address);
  auto request = this->Receive(caller);
  caller.Close();
  this->RunUntil([&] { return request->isFinished; });
  CHECK(std::string(request->outcome) == "caller_left");
  CHECK(request->exit);
  auto find = [](const std::string& aText) {
    std::string lines;
    std::istringstream input(aText);
    for (std::string line; std::getline(input, line);) {
      if (line.starts_with("lycheestand_requests_cut_total")) {
        lines += line + "\n";
      }
    }
    return lines;
  };
  CHECK(find(net::Metrics().Render()) == find(text));
}

// Guards against a request that stays without an answer, or keeps what it
// holds, when a controller fails; and against a wrong promise that it did not
// run.
TEST_CASE_METHOD(CutFixture, "A request is refused if a controller fails")
{
  net::RawCaller first(this->address);
  auto waiting = this->Receive(first);
  RefuseWithoutReply(waiting);
  this->RunUntil([&] { return first.Received().ends_with("}}"); });
  CHECK(first.Received().starts_with("HTTP/1.1 503"));
  CHECK(first.Received().find("not_run") != std::string::npos);
  CHECK(waiting->isFinished);
  this->onRequest = [](const RequestPtr& aRequest) {
    aRequest->attempt.upstream = aRequest->exchange->Task().StartCall(
      net::NetFixture::FreeAddress(), { "GET", "/", {}, {} }, {}, {});
    RefuseWithoutReply(aRequest);
  };
  net::RawCaller second(this->address);
  this->Receive(second);
  this->RunUntil([&] { return second.Received().ends_with("}}"); });
  CHECK(second.Received().starts_with("HTTP/1.1 500"));
  CHECK(second.Received().find("unknown") != std::string::npos);
}
