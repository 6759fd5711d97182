#include "call_fixture.h"

using namespace lycheestand;
using namespace lycheestand::net;
using namespace std::chrono_literals;

// Guards against a response that is delivered to another call of the same task.
TEST_CASE_METHOD(CallFixture, "Concurrent calls get their own responses")
{
  int count = 0;
  auto address = this->Serve([&](const ExchangePtr& aExchange) {
    // Respond in reverse order.
    int number = count++;
    aExchange->Task().After(std::chrono::milliseconds(1000 - 100 * number),
                            [aExchange, target = aExchange->Request().target] {
                              aExchange->Respond({ 200, {}, target });
                            });
  });
  std::map<std::string, std::string> answers;
  this->RunInTask([&](IoTask& aTask) {
    for (int i = 0; i < 8; ++i) {
      std::string target = "/" + std::to_string(i);
      aTask.Fetch(address,
                  { "GET", target, {}, "" },
                  {},
                  [&answers, target](Result<HttpResponse, CallFailure> aDone) {
                    answers[target] = aDone.value().body;
                  });
    }
  });
  this->RunUntil([&] {
    this->Advance(500ms);
    return answers.size() == 8;
  });
  for (const auto& [target, body] : answers) {
    REQUIRE(target == body);
  }
}

// A call that failed before anything was sent may be retried, so it must be
// distinguished from one that may have run.
TEST_CASE_METHOD(CallFixture, "A refused connection counts as not sent")
{
  this->Fetch(FreeAddress());
  this->RunUntil([&] { return !this->results.empty(); });
  REQUIRE(this->results[0].error() == CallFailure::NotSent);
}

// The endpoint may have executed the request before it closed the connection,
// so the call must not be reported as not sent.
TEST_CASE_METHOD(
  CallFixture,
  "A connection that closes after the request counts as no answer")
{
  auto address =
    this->Serve([](const ExchangePtr& aExchange) { aExchange->Abort(); });
  this->Fetch(address);
  this->RunUntil([&] { return !this->results.empty(); });
  REQUIRE(this->results[0].error() == CallFailure::NoAnswer);
}

// Guards against an incomplete response that is reported as complete.
TEST_CASE_METHOD(CallFixture,
                 "A response that is cut off counts as interrupted")
{
  auto address = this->Serve([](const ExchangePtr& aExchange) {
    aExchange->StartStream(200, {});
    aExchange->WriteStream("part", [aExchange] { aExchange->Abort(); });
  });
  this->Fetch(address);
  this->RunUntil([&] { return !this->results.empty(); });
  REQUIRE(this->results[0].error() == CallFailure::Interrupted);
}

// Guards against a call that waits for a suspended endpoint indefinitely.
TEST_CASE_METHOD(CallFixture,
                 "A call to an endpoint that sends nothing times out")
{
  auto address = this->Serve([](const ExchangePtr&) {});
  CallOptions options;
  options.idleTimeout = 3s;
  this->Fetch(address, options);
  this->RunUntil([&] {
    this->Advance(500ms);
    return !this->results.empty();
  });
  REQUIRE(this->results[0].error() == CallFailure::NoAnswer);
}

namespace {

constexpr const char* kEarlyResponse =
  "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno";

} // namespace

// An endpoint may respond without reading the whole request. The call must end
// then, and its connection must not be reused: the endpoint would read the next
// request as the rest of the body.
TEST_CASE_METHOD(CallFixture,
                 "A response before the end of the request completes the call")
{
  RawEndpoint endpoint;
  this->RunInTask([&](IoTask& aTask) {
    // Larger than the socket buffers, so that the write can't complete.
    aTask.Fetch(endpoint.GetAddress(),
                { "POST", "/", {}, std::string(32 * 1024 * 1024, 'x') },
                {},
                [this](Result<HttpResponse, CallFailure> aResult) {
                  this->results.push_back(std::move(aResult));
                });
  });
  this->RunUntil([&] { return endpoint.Accept(); });
  endpoint.Send(kEarlyResponse);
  this->RunUntil([&] { return !this->results.empty(); });
  REQUIRE(this->results[0].has_value());
  CHECK(this->results[0].value().status == 413);
  this->Fetch(endpoint.GetAddress());
  // The next call opens a new connection.
  this->RunUntil([&] { return endpoint.Accept(); });
}

// An endpoint that sends no response must be noticed within the response
// timeout, although longer pauses (idleTimeout) are allowed within a response.
TEST_CASE_METHOD(CallFixture,
                 "A response must start within the response timeout")
{
  RawEndpoint endpoint;
  CallOptions options;
  options.idleTimeout = 30s;
  options.responseTimeout = 1s;
  this->Fetch(endpoint.GetAddress(), options);
  this->RunUntil([&] { return endpoint.Accept(); });
  this->Advance(2s);
  this->RunUntil([&] { return !this->results.empty(); });
  CHECK(this->results[0].error() == CallFailure::NoAnswer);
}

// HTTP/1.1 allows a response without a length, which ends when the connection
// is closed. It must not be reported as interrupted.
TEST_CASE_METHOD(CallFixture,
                 "A response without a length ends when the connection closes")
{
  RawEndpoint endpoint;
  this->Fetch(endpoint.GetAddress());
  this->RunUntil([&] { return endpoint.Accept(); });
  endpoint.Send("HTTP/1.1 200 OK\r\n\r\nwhole");
  endpoint.Close();
  this->RunUntil([&] { return !this->results.empty(); });
  REQUIRE(this->results[0].has_value());
  CHECK(this->results[0].value().body == "whole");
}

// Bytes after a response belong to no request. On a reused connection they
// would be read as the response to the next request.
TEST_CASE_METHOD(CallFixture,
                 "A connection with extra bytes after a response is not reused")
{
  RawEndpoint endpoint;
  this->Fetch(endpoint.GetAddress());
  this->RunUntil([&] { return endpoint.Accept(); });
  endpoint.Send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown"
                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
  this->RunUntil([&] { return !this->results.empty(); });
  CHECK(this->results[0].value().body == "own");
  this->Fetch(endpoint.GetAddress());
  this->RunUntil([&] { return endpoint.Accept(); });
}

// Guards against an earlier response that an endpoint writes once more when the
// next request arrives, and that is taken for the response to that one.
TEST_CASE_METHOD(CallFixture,
                 "A connection is kept only if responses name their requests")
{
  RawEndpoint endpoint;
  const std::string refusal = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
  this->Fetch(endpoint.GetAddress(), {}, { { "X-Request-Id", "r1" } });
  this->RunUntil([&] { return endpoint.Accept(); });
  endpoint.Send(refusal);
  this->RunUntil([&] { return this->results.size() == 1; });
  CHECK(this->results[0].value().status == 503);
  this->Fetch(endpoint.GetAddress(), {}, { { "X-Request-Id", "r2" } });
  this->RunUntil([&] { return endpoint.Accept(); });
}

// The same with an endpoint that names the requests in its responses: it is not
// known whether the request ran for which an earlier response came.
TEST_CASE_METHOD(CallFixture,
                 "A response that names another request is no answer")
{
  auto makeResponse = [](unsigned aStatus, const std::string& aRequest) {
    return "HTTP/1.1 " + std::to_string(aStatus) +
           " x\r\nX-Request-Id: " + aRequest + "\r\nContent-Length: 0\r\n\r\n";
  };
  RawEndpoint endpoint;
  this->Fetch(endpoint.GetAddress(), {}, { { "X-Request-Id", "r1" } });
  this->RunUntil([&] { return endpoint.Accept(); });
  endpoint.Send(makeResponse(503, "r1"));
  this->RunUntil([&] { return this->results.size() == 1; });
  this->Fetch(endpoint.GetAddress(), {}, { { "X-Request-Id", "r2" } });
  this->RunUntil([&] { return endpoint.HasReceived("r2"); });
  endpoint.Send(makeResponse(503, "r1") + makeResponse(200, "r2"));
  this->RunUntil([&] { return this->results.size() == 2; });
  REQUIRE(this->results[1].has_error());
  CHECK(this->results[1].error() == CallFailure::NoAnswer);
}

// HTTP/1.1 allows interim responses before the response. Guards against one
// that is taken for the response.
TEST_CASE_METHOD(CallFixture, "Interim responses are skipped")
{
  RawEndpoint endpoint;
  this->Fetch(endpoint.GetAddress());
  this->RunUntil([&] { return endpoint.Accept(); });
  endpoint.Send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
  this->RunUntil([&] { return !this->results.empty(); });
  REQUIRE(this->results[0].has_value());
  CHECK(this->results[0].value().body == "whole");
}

// Guards against an endpoint whose response never ends: the call would wait, or
// its data fill the memory.
TEST_CASE_METHOD(CallFixture, "A response without an end fails the call")
{
  const std::string chunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string interim;
  for (int i = 0; i < 100; ++i) {
    interim += "HTTP/1.1 102 Processing\r\n\r\n";
  }
  const std::string bytes(100 * 1024, 'x');
  for (const auto& [name, response] : {
         std::pair("status line", "HTTP/1.1 200 " + bytes),
         std::pair("header field", "HTTP/1.1 200 OK\r\nA: " + bytes),
         std::pair("interim responses", interim),
         std::pair("body", "HTTP/1.1 200 OK\r\n\r\n" + bytes),
         std::pair("chunk extension", chunked + "1;" + bytes),
         std::pair("trailer", chunked + "0\r\nA: " + bytes),
       }) {
    INFO(name);
    RawEndpoint endpoint;
    CallOptions options;
    options.maxBodyBytes = 10 * 1024;
    this->results.clear();
    this->Fetch(endpoint.GetAddress(), options);
    this->RunUntil([&] { return endpoint.Accept(); });
    endpoint.Send(response);
    this->RunUntil([&] { return !this->results.empty(); });
    CHECK(this->results[0].has_error());
  }
}

// Guards against a response that arrives so slowly that the call never ends.
TEST_CASE_METHOD(CallFixture, "A call ends at its total timeout")
{
  RawEndpoint endpoint;
  CallOptions options;
  options.totalTimeout = 3s;
  this->Fetch(endpoint.GetAddress(), options);
  this->RunUntil([&] { return endpoint.Accept(); });
  endpoint.Send("HTTP/1.1 200 OK\r\n\r\n");
  for (int i = 0; i < 8 && this->results.empty(); ++i) {
    endpoint.Send("x");
    this->Advance(500ms);
    std::this_thread::sleep_for(10ms);
  }
  this->RunUntil([&] { return !this->results.empty(); });
  CHECK(this->results[0].error() == CallFailure::Interrupted);
}

// Guards against a call that ends because its endpoint pauses, and against a
// pause that its owner does not learn of.
TEST_CASE_METHOD(CallFixture, "A silence is reported and does not end the call")
{
  RawEndpoint endpoint;
  CallOptions options;
  options.idleTimeout = 10s;
  options.silenceTime = 1s;
  int silences = 0;
  std::string body;
  bool isDone = false;
  this->RunInTask([&](IoTask& aTask) {
    auto handle = std::make_shared<CallHandle>();
    CallObserver observer;
    observer.onHead = [](const CallHead&) {};
    observer.onBody = [&, handle](const std::string& aChunk) {
      body += aChunk;
      handle->Continue();
    };
    observer.onEnd = [&] { isDone = true; };
    observer.onFailure = [](CallFailure, const std::string&) {};
    observer.onSilent = [&] { ++silences; };
    *handle = aTask.StartCall(endpoint.GetAddress(),
                              { "GET", "/", {}, "" },
                              options,
                              std::move(observer));
  });
  this->RunUntil([&] { return endpoint.Accept(); });
  this->Advance(3s);
  this->RunUntil([&] { return silences == 1; });
  endpoint.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na");
  this->RunUntil([&] { return body == "a"; });
  this->Advance(1s);
  this->RunUntil([&] { return silences == 2; });
  endpoint.Send("b");
  this->RunUntil([&] { return isDone; });
  CHECK(body == "ab");
  CHECK(silences == 2);
}

// The pool may assign a call to a connection that is closing because its
// previous call was cancelled. The new call must still be completed.
TEST_CASE_METHOD(CallFixture, "Cancelling a call does not affect the next call")
{
  auto address = this->Serve([](const ExchangePtr& aExchange) {
    aExchange->Respond({ 200, {}, "whole" });
  });
  bool isCancelled = false;
  this->RunInTask([&](IoTask& aTask) {
    auto handle = std::make_shared<CallHandle>();
    CallObserver observer;
    observer.onHead = [&, handle](const CallHead&) {
      handle->Cancel();
      isCancelled = true;
      this->Fetch(address);
    };
    *handle =
      aTask.StartCall(address, { "GET", "/", {}, "" }, {}, std::move(observer));
  });
  this->RunUntil([&] { return isCancelled && !this->results.empty(); });
  CHECK(this->results[0].value().body == "whole");
}

// Guards against an answer that is dropped because a timeout is handled before
// the bytes that arrived first, after the process has stood still.
TEST_CASE_METHOD(CallFixture, "An answer that has arrived is not late")
{
  RawEndpoint endpoint;
  CallOptions options;
  options.idleTimeout = 2s;
  this->Fetch(endpoint.GetAddress(), options);
  this->RunUntil([&] { return endpoint.Accept(); });
  this->RunUntil([&] { return endpoint.HasReceived("\r\n\r\n"); });
  endpoint.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  this->Coordinator().advance_time(2500ms);
  this->Coordinator().run();
  this->RunUntil([&] { return !this->results.empty(); });
  CHECK(this->results[0].has_value());
}
