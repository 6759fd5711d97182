#include "net_fixture.h"

using namespace lycheestand;
using namespace lycheestand::net;
using namespace std::chrono_literals;

namespace {

// A task that makes calls, and what became of them.
class CallFixture : public NetFixture
{
public:
  CallFixture()
  {
    auto task = this->system.spawn<CallerTask>(this->runtime, this->pool);
    this->started.push_back(task);
    this->caller = caf::actor_cast<caf::actor>(task);
  }

  // Runs a function inside the calling task.
  void RunInTask(const std::function<void(IoTask&)>& aRun)
  {
    auto* task = dynamic_cast<IoTask*>(
      caf::actor_cast<caf::abstract_actor*>(this->caller));
    caf::anon_send(this->caller,
                   Work{ std::make_shared<std::function<void()>>(
                     [task, aRun] { aRun(*task); }) });
  }

  void Fetch(const Address& aAddress, CallOptions aOptions = {})
  {
    this->RunInTask([this, aAddress, aOptions](IoTask& aTask) {
      aTask.Fetch(aAddress,
                  { "GET", "/", {}, "" },
                  aOptions,
                  [this](Result<HttpResponse, CallFailure> aResult) {
                    this->results.push_back(std::move(aResult));
                  });
    });
  }

  caf::actor caller;
  std::vector<Result<HttpResponse, CallFailure>> results;
};

} // namespace

// Guards against an answer that is handed to another call of the same task.
TEST_CASE_METHOD(CallFixture, "Calls in parallel get their own answers")
{
  int count = 0;
  auto address = this->Serve([&](const ExchangePtr& aExchange) {
    // Earlier requests are answered later.
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
  this->PumpUntil([&] {
    this->Advance(500ms);
    return answers.size() == 8;
  });
  for (const auto& [target, body] : answers) {
    REQUIRE(target == body);
  }
}

// Guards against a refusal that says not_run although bytes were sent.
TEST_CASE_METHOD(CallFixture, "A refused connection counts as not sent")
{
  this->Fetch(FreeAddress());
  this->PumpUntil([&] { return !this->results.empty(); });
  REQUIRE(this->results[0].error() == CallFailure::NotSent);
}

// Guards against a call without answer that is taken for one that did not run.
TEST_CASE_METHOD(CallFixture, "A closed connection after sending is no answer")
{
  auto address =
    this->Serve([](const ExchangePtr& aExchange) { aExchange->Abort(); });
  this->Fetch(address);
  this->PumpUntil([&] { return !this->results.empty(); });
  REQUIRE(this->results[0].error() == CallFailure::NoAnswer);
}

// Guards against a broken answer that is taken for a whole one.
TEST_CASE_METHOD(CallFixture, "A cut answer counts as interrupted")
{
  auto address = this->Serve([](const ExchangePtr& aExchange) {
    aExchange->StartStream(200, {});
    aExchange->WriteStream("part", [aExchange] { aExchange->Abort(); });
  });
  this->Fetch(address);
  this->PumpUntil([&] { return !this->results.empty(); });
  REQUIRE(this->results[0].error() == CallFailure::Interrupted);
}

// Guards against a request that waits for ever for a frozen endpoint.
TEST_CASE_METHOD(CallFixture, "A silent endpoint ends the call after a timeout")
{
  auto address = this->Serve([](const ExchangePtr&) {});
  CallOptions options;
  options.idleTimeout = 3s;
  this->Fetch(address, options);
  this->PumpUntil([&] {
    this->Advance(500ms);
    return !this->results.empty();
  });
  REQUIRE(this->results[0].error() == CallFailure::NoAnswer);
}

namespace {

// An endpoint with a plain socket, to answer at any moment.
class RawEndpoint
{
public:
  RawEndpoint()
    : acceptor(this->io, { boost::asio::ip::make_address("127.0.0.1"), 0 })
    , socket(this->io)
  {
    this->acceptor.non_blocking(true);
  }

  Address GetAddress() const
  {
    return { "127.0.0.1", this->acceptor.local_endpoint().port() };
  }

  // Accepts a connection if one waits.
  bool Accept()
  {
    boost::system::error_code error;
    boost::asio::ip::tcp::socket next(this->io);
    this->acceptor.accept(next, error);
    if (!error) {
      this->socket = std::move(next);
    }
    return !error;
  }

  void Send(const std::string& aText)
  {
    boost::asio::write(this->socket, boost::asio::buffer(aText));
  }

  void Close() { this->socket.close(); }

private:
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::ip::tcp::socket socket;
};

constexpr const char* kEarlyAnswer =
  "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno";

} // namespace

// Guards against a call that waits for its own long request to be read while
// the endpoint has already answered, and against the next request being taken
// for the rest of the body.
TEST_CASE_METHOD(CallFixture, "An answer before the request's end is taken")
{
  RawEndpoint endpoint;
  this->RunInTask([&](IoTask& aTask) {
    // More than the sockets' buffers hold.
    aTask.Fetch(endpoint.GetAddress(),
                { "POST", "/", {}, std::string(32 * 1024 * 1024, 'x') },
                {},
                [this](Result<HttpResponse, CallFailure> aResult) {
                  this->results.push_back(std::move(aResult));
                });
  });
  this->PumpUntil([&] { return endpoint.Accept(); });
  endpoint.Send(kEarlyAnswer);
  this->PumpUntil([&] { return !this->results.empty(); });
  REQUIRE(this->results[0].has_value());
  CHECK(this->results[0].value().status == 413);
  this->Fetch(endpoint.GetAddress());
  // The next call opens a connection of its own.
  this->PumpUntil([&] { return endpoint.Accept(); });
}

// Guards against an endpoint that is dark and holds a request until the limit
// for pauses in its answer, which is longer.
TEST_CASE_METHOD(CallFixture, "An answer must begin within its own limit")
{
  RawEndpoint endpoint;
  CallOptions options;
  options.idleTimeout = 30s;
  options.answerTimeout = 1s;
  this->Fetch(endpoint.GetAddress(), options);
  this->PumpUntil([&] { return endpoint.Accept(); });
  this->Advance(2s);
  this->PumpUntil([&] { return !this->results.empty(); });
  CHECK(this->results[0].error() == CallFailure::NoAnswer);
}

// Guards against an answer without a length that counts as whole when its
// connection is closed, or as broken.
TEST_CASE_METHOD(CallFixture, "An answer without a length ends with its link")
{
  RawEndpoint endpoint;
  this->Fetch(endpoint.GetAddress());
  this->PumpUntil([&] { return endpoint.Accept(); });
  endpoint.Send("HTTP/1.1 200 OK\r\n\r\nwhole");
  endpoint.Close();
  this->PumpUntil([&] { return !this->results.empty(); });
  REQUIRE(this->results[0].has_value());
  CHECK(this->results[0].value().body == "whole");
}

// Guards against bytes after an answer, which belong to no request, that are
// taken for the answer to the next one.
TEST_CASE_METHOD(CallFixture, "Bytes after an answer end the connection's use")
{
  RawEndpoint endpoint;
  this->Fetch(endpoint.GetAddress());
  this->PumpUntil([&] { return endpoint.Accept(); });
  endpoint.Send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown"
                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
  this->PumpUntil([&] { return !this->results.empty(); });
  CHECK(this->results[0].value().body == "own");
  this->Fetch(endpoint.GetAddress());
  this->PumpUntil([&] { return endpoint.Accept(); });
}

// Guards against a call that is handed to a connection which closes at the same
// moment, and is then never answered.
TEST_CASE_METHOD(CallFixture, "A late cancel leaves the next call alone")
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
  this->PumpUntil([&] { return isCancelled && !this->results.empty(); });
  CHECK(this->results[0].value().body == "whole");
}
