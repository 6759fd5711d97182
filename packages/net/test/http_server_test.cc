#include "net_fixture.h"

#include <caf/scoped_actor.hpp>
#include <map>

using namespace lycheestand;
using namespace lycheestand::net;
using namespace std::chrono_literals;

namespace {

// More than the system's buffers of a connection.
constexpr std::size_t kMoreThanSocketBuffers = 32 * 1024 * 1024;

constexpr const char* kGetRequest = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

// Returns how often the pattern occurs in the text.
std::size_t
CountOccurrences(const std::string& aText, const std::string& aPattern)
{
  std::size_t count = 0;
  for (std::size_t position = aText.find(aPattern);
       position != std::string::npos;
       position = aText.find(aPattern, position + 1)) {
    ++count;
  }
  return count;
}

} // namespace

// Guards against responses in the wrong order and against a pipelined request
// that is mistaken for a disconnect.
TEST_CASE_METHOD(NetFixture, "Pipelined requests are answered in order")
{
  auto address = this->Serve([](const ExchangePtr& aExchange) {
    aExchange->Task().After(10ms, [aExchange] {
      aExchange->Respond({ 200, {}, "body" });
    });
  });
  RawCaller caller(address);
  caller.Send(std::string(kGetRequest) + kGetRequest);
  this->RunUntil([&] {
    this->Advance(500ms);
    return CountOccurrences(caller.Received(), "body") == 2;
  });
  caller.Send(kGetRequest);
  this->RunUntil([&] {
    this->Advance(500ms);
    return CountOccurrences(caller.Received(), "body") == 3;
  });
}

// Without the callback, an engine goes on computing a response that nobody
// reads.
TEST_CASE_METHOD(NetFixture,
                 "The disconnect callback runs when the caller disconnects")
{
  bool hasBegun = false;
  bool hasLeft = false;
  Disconnect how = Disconnect::Broken;
  auto address = this->Serve([&](const ExchangePtr& aExchange) {
    hasBegun = true;
    aExchange->OnDisconnect([&](Disconnect aHow) {
      hasLeft = true;
      how = aHow;
    });
  });
  RawCaller caller(address);
  caller.Send(kGetRequest);
  this->RunUntil([&] { return hasBegun; });
  REQUIRE_FALSE(hasLeft);
  caller.Close();
  this->RunUntil([&] { return hasLeft; });
  REQUIRE(how == Disconnect::Closed);
}

// Guards against a connection that breaks and is taken for a caller that has
// given up.
TEST_CASE_METHOD(NetFixture, "A reset connection counts as broken")
{
  bool hasBegun = false;
  std::optional<Disconnect> how;
  auto address = this->Serve([&](const ExchangePtr& aExchange) {
    hasBegun = true;
    aExchange->OnDisconnect([&](Disconnect aHow) { how = aHow; });
  });
  RawCaller caller(address);
  caller.Send(kGetRequest);
  this->RunUntil([&] { return hasBegun; });
  caller.Reset();
  this->RunUntil([&] { return how.has_value(); });
  REQUIRE(how == Disconnect::Broken);
}

// Guards against a request that loses its answer since bytes of it are reported
// as readable after they have been read.
TEST_CASE_METHOD(NetFixture, "A late report of read bytes is no disconnect")
{
  ExchangePtr exchange;
  bool hasLeft = false;
  auto address = this->Serve([&](const ExchangePtr& aExchange) {
    exchange = aExchange;
    aExchange->OnDisconnect([&hasLeft](Disconnect) { hasLeft = true; });
  });
  RawCaller caller(address);
  this->RunUntil([rounds = 0]() mutable { return ++rounds > 20; });
  const std::string request(kGetRequest);
  const auto half = request.size() / 2;
  caller.Send(request.substr(0, half));
  this->io.poll();
  this->io.restart();
  // The reactor collects the report of the second half but handles the posted
  // function first. Meanwhile the connection reads both halves.
  caller.Send(request.substr(half));
  boost::asio::post(this->io, [] {});
  REQUIRE(this->io.poll_one() == 1);
  this->Coordinator().run();
  REQUIRE(exchange != nullptr);
  this->RunUntil([rounds = 0]() mutable { return ++rounds > 20; });
  CHECK_FALSE(hasLeft);
  exchange->Respond({ 200, {}, "whole" });
  this->RunUntil([&] { return caller.Received().ends_with("whole"); });
}

// Guards against callers that occupy connections by sending requests slowly.
TEST_CASE_METHOD(
  NetFixture,
  "A connection is closed when its request takes too long to arrive")
{
  auto address = this->Serve([](const ExchangePtr&) {});
  RawCaller caller(address);
  caller.Send("GET /a HT");
  this->RunUntil([&] {
    this->Advance(500ms);
    return true;
  });
  this->Advance(10s);
  REQUIRE_FALSE(caller.IsClosed());
  this->Advance(30s);
  this->RunUntil([&] { return caller.IsClosed(); });
}

// Guards against callers that occupy connections with headers that don't end,
// and against a refusal that looks like a lost response.
TEST_CASE_METHOD(NetFixture, "A late header or body is refused with 408")
{
  HttpServerOptions options;
  options.headerTimeout = 5s;
  int handled = 0;
  auto address = this->Serve(
    [&handled](const ExchangePtr& aExchange) {
      ++handled;
      aExchange->Respond({ 200, {}, "ok" });
    },
    options);
  RawCaller header(address);
  RawCaller body(address);
  RawCaller slow(address);
  header.Send("POST /a HTTP/1.1\r\nHost: x\r\n");
  body.Send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n1");
  slow.Send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n");
  auto isLate = [](RawCaller& aCaller) {
    return aCaller.Received().starts_with("HTTP/1.1 408");
  };
  this->RunUntil([] { return true; });
  // The users' platform allows 3 s for a header and pauses of 15 s.
  this->Advance(4s);
  CHECK_FALSE(isLate(header));
  this->Advance(6s);
  this->RunUntil([&] { return isLate(header); });
  CHECK(header.Received().find("not_run") != std::string::npos);
  for (int i = 0; i < 4; ++i) {
    slow.Send("x");
    this->RunUntil([] { return true; });
    if (i == 0) {
      CHECK_FALSE(isLate(body));
    }
    this->Advance(12s);
  }
  this->RunUntil([&] { return isLate(body); });
  this->RunUntil([&] { return slow.Received().ends_with("ok"); });
  CHECK(handled == 1);
}

// Guards against trailers that change a request's headers, and against bytes
// around a body that no limit counts.
TEST_CASE_METHOD(NetFixture, "Trailers and chunk extensions are limited")
{
  HttpServerOptions options;
  options.maxHeaderBytes = 1024;
  std::vector<HttpRequest> requests;
  auto address = this->Serve(
    [&requests](const ExchangePtr& aExchange) {
      requests.push_back(aExchange->Request());
      aExchange->Respond({ 200, {}, "ok" });
    },
    options);
  const std::string head =
    "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
  RawCaller sound(address);
  sound.Send(head + "2;a=b\r\n{}\r\n0\r\nX-Key: k\r\n\r\n");
  this->RunUntil([&] { return sound.Received().ends_with("ok"); });
  CHECK(requests[0].body == "{}");
  CHECK(requests[0].headers.size() == 2);
  std::string chunks;
  for (int i = 0; i < 100; ++i) {
    chunks += "1;" + std::string(20, 'a') + "\r\nx\r\n";
  }
  const std::string fill(8000, 'a');
  for (const std::string& rest :
       { "0\r\nX-T: " + fill, "2;" + fill, chunks, "0;" + fill }) {
    RawCaller caller(address);
    caller.Send(head + rest);
    this->RunUntil(
      [&] { return caller.Received().starts_with("HTTP/1.1 431"); });
  }
  CHECK(requests.size() == 1);
}

// Guards against a caller that keeps others from the memory which it does not
// use.
TEST_CASE_METHOD(NetFixture, "A stalled request loses its memory to another")
{
  constexpr std::size_t kBodyBytes = 400 * 1024;
  HttpServerOptions options;
  options.maxBufferedBytes = 2 * 1024 * 1024;
  auto address = this->Serve(
    [](const ExchangePtr& aExchange) {
      aExchange->Respond({ 200, {}, "ok" });
    },
    options);
  const std::string begin = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                            std::to_string(kBodyBytes) + "\r\n\r\n" +
                            std::string(kBodyBytes - 1, 'x');
  RawCaller stalled(address);
  stalled.Send(begin);
  this->RunUntil([rounds = 0]() mutable { return ++rounds > 200; });
  this->Advance(4s);
  RawCaller sound(address);
  sound.Send(begin + "x");
  this->RunUntil([&] { return sound.Received().ends_with("ok"); });
  this->RunUntil(
    [&] { return stalled.Received().starts_with("HTTP/1.1 503"); });
}

// Guards against responses that nobody reads and that fill the memory.
TEST_CASE_METHOD(NetFixture, "An unread response needs memory")
{
  constexpr std::size_t kResponseBytes = kMoreThanSocketBuffers;
  HttpServerOptions options;
  options.maxBufferedBytes = 2 * 1024 * 1024;
  auto address = this->Serve(
    [](const ExchangePtr& aExchange) {
      bool isLarge = aExchange->Request().target == "/large";
      aExchange->Respond(
        { 200, {}, std::string(isLarge ? kResponseBytes : 2, 'x') });
    },
    options);
  RawCaller unread(address);
  unread.Send("GET /large HTTP/1.1\r\nHost: x\r\n\r\n");
  this->RunUntil([rounds = 0]() mutable { return ++rounds > 200; });
  RawCaller sound(address);
  sound.Send(kGetRequest);
  this->RunUntil([&] { return sound.Received().ends_with("xx"); });
  this->RunUntil([&] { return unread.IsClosed(); });
  CHECK(unread.Received().size() < kResponseBytes);
}

// Guards against memory limits that refuse a request which is within its own
// limits.
TEST_CASE_METHOD(NetFixture, "The largest request and answer are served")
{
  HttpServerOptions options;
  options.maxBufferedBytes = 20 * 1024 * 1024;
  std::size_t bytes = 0;
  auto address = this->Serve(
    [&bytes](const ExchangePtr& aExchange) {
      bytes = aExchange->Request().body.size();
      // A request and a response of the largest size have no room together.
      auto size = bytes == 0 ? HttpServerOptions().maxBodyBytes : 2;
      aExchange->Respond({ 200, {}, std::string(size, 'y') });
    },
    options);
  std::string head = "POST /a HTTP/1.1\r\nContent-Length: " +
                     std::to_string(options.maxBodyBytes) + "\r\n";
  while (head.size() < options.maxHeaderBytes - 8) {
    head += "a:\r\n";
  }
  RawCaller caller(address);
  std::string text = head + "\r\n" + std::string(options.maxBodyBytes, 'x');
  std::size_t sent = 0;
  this->RunUntil([&] {
    sent += caller.SendSome(std::string_view(text).substr(sent));
    return caller.Received().ends_with("yy");
  });
  CHECK(bytes == options.maxBodyBytes);
  // The caller reads nothing at first.
  caller.Send(kGetRequest);
  this->RunUntil([rounds = 0]() mutable { return ++rounds > 200; });
  this->RunUntil(
    [&] { return caller.Received().size() > options.maxBodyBytes; });
  CHECK_FALSE(caller.IsClosed());
}

// Guards against a request body that exhausts the memory.
TEST_CASE_METHOD(NetFixture,
                 "A body over the size limit is rejected with status 413")
{
  HttpServerOptions options;
  options.maxBodyBytes = 1024;
  bool wasHandled = false;
  auto address =
    this->Serve([&](const ExchangePtr&) { wasHandled = true; }, options);
  RawCaller caller(address);
  caller.Send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n");
  this->RunUntil(
    [&] { return caller.Received().find("413") != std::string::npos; });
  REQUIRE_FALSE(wasHandled);
}

// Guards against callers that fill the memory with requests that they don't
// complete, each below the size limit.
TEST_CASE_METHOD(NetFixture,
                 "Requests beyond the memory for them are refused with 503")
{
  constexpr std::size_t kBodyBytes = 400 * 1024;
  HttpServerOptions options;
  options.maxBufferedBytes = 2 * 1024 * 1024;
  auto address = this->Serve(
    [](const ExchangePtr& aExchange) {
      aExchange->Respond({ 200, {}, "body" });
    },
    options);
  const std::string begin = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                            std::to_string(kBodyBytes) + "\r\n\r\n" +
                            std::string(kBodyBytes - 1, 'x');
  RawCaller first(address);
  first.Send(begin);
  // Enough for the server to read all of it.
  constexpr int kReadRounds = 200;
  this->RunUntil([rounds = 0]() mutable { return ++rounds > kReadRounds; });
  RawCaller second(address);
  second.Send(begin);
  this->RunUntil(
    [&] { return second.Received().find(" 503 ") != std::string::npos; });
  CHECK(second.Received().find("Retry-After: 0.5") != std::string::npos);

  // Small requests are still served, and so is the large one.
  RawCaller small(address);
  small.Send(kGetRequest);
  this->RunUntil(
    [&] { return small.Received().find(" 200 ") != std::string::npos; });
  first.Send("x");
  this->RunUntil(
    [&] { return first.Received().find(" 200 ") != std::string::npos; });

  // Its memory is free again, with its connection still open.
  RawCaller third(address);
  third.Send(begin + "x");
  this->RunUntil(
    [&] { return third.Received().find(" 200 ") != std::string::npos; });
  CHECK_FALSE(first.IsClosed());
}

// Guards against a response that was granted memory for its body and is dropped
// for want of memory for its head.
TEST_CASE_METHOD(NetFixture, "A granted response needs no memory for its head")
{
  constexpr std::size_t kGrantedBytes = 1024 * 1024;
  constexpr std::size_t kHeadBytes = 1024;
  HttpServerOptions options;
  options.maxBufferedBytes = 2 * kGrantedBytes;
  // Each takes half of what is left, with what a request takes.
  const std::map<std::string, std::size_t> sizes{
    { "/first", kGrantedBytes - 64 * 1024 },
    { "/second", kGrantedBytes / 2 - 32 * 1024 },
    { "/third", kGrantedBytes / 4 - 16 * 1024 }
  };
  std::vector<bool> grants;
  std::optional<bool> mayHoldHead;
  auto address = this->Serve(
    [&](const ExchangePtr& aExchange) {
      const auto& target = aExchange->Request().target;
      aExchange->HoldBytes(sizes.at(target), [&grants](bool aMayHold) {
        grants.push_back(aMayHold);
      });
      if (target == "/first") {
        aExchange->Task().After(10s, [&mayHoldHead, aExchange] {
          aExchange->HoldBytes(
            kGrantedBytes + kHeadBytes,
            [&mayHoldHead](bool aMayHold) { mayHoldHead = aMayHold; });
        });
      }
    },
    options);
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (const auto& [target, bytes] : sizes) {
    callers.push_back(std::make_unique<RawCaller>(address));
    callers.back()->Send("GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n");
    this->RunUntil([&] { return grants.size() == callers.size(); });
  }
  REQUIRE(grants == std::vector<bool>(sizes.size(), true));
  this->Advance(10s);
  this->RunUntil([&] { return mayHoldHead.has_value(); });
  CHECK(*mayHoldHead);
}

// Guards against an idle connection that keeps bytes which it was granted after
// its response was complete.
TEST_CASE_METHOD(NetFixture, "A late grant of bytes is given back")
{
  // With what a request takes, a little less than half of the memory.
  constexpr std::size_t kLateBytes = 960 * 1024;
  HttpServerOptions options;
  options.maxBufferedBytes = 2 * 1024 * 1024;
  std::vector<bool> grants;
  auto address = this->Serve(
    [&grants](const ExchangePtr& aExchange) {
      if (aExchange->Request().target == "/late") {
        aExchange->StartStream(200, {});
        aExchange->WriteStream("late", [aExchange] {
          aExchange->HoldBytes(kLateBytes, [](bool) {});
        });
        aExchange->EndStream();
      } else {
        aExchange->HoldBytes(kLateBytes, [&grants, aExchange](bool aMayHold) {
          grants.push_back(aMayHold);
          aExchange->Respond({ 200, {}, "body" });
        });
      }
    },
    options);
  RawCaller late(address);
  late.Send("GET /late HTTP/1.1\r\nHost: x\r\n\r\n");
  // The completion of a write and each message are handled in turn, so that the
  // grant comes after the response.
  for (int i = 0; i < 400; ++i) {
    this->io.poll();
    this->io.restart();
    this->Coordinator().try_run_once();
    std::this_thread::sleep_for(100us);
  }
  REQUIRE(late.Received().ends_with("0\r\n\r\n"));
  RawCaller other(address);
  other.Send(kGetRequest);
  this->RunUntil([&] { return grants.size() == 1; });
  CHECK(grants.back());
  CHECK_FALSE(late.IsClosed());
}

// Guards against chunks that were ready for the caller and are lost when the
// stream breaks off after them.
TEST_CASE_METHOD(NetFixture, "An aborted stream has all chunks before the end")
{
  auto address = this->Serve([](const ExchangePtr& aExchange) {
    aExchange->StartStream(200, {});
    aExchange->WriteStream("one", nullptr);
    aExchange->WriteStream("two", nullptr);
    aExchange->Abort();
  });
  RawCaller caller(address);
  caller.Send(kGetRequest);
  this->RunUntil([&] { return caller.IsClosed(); });
  CHECK(caller.Received().ends_with("3\r\none\r\n3\r\ntwo\r\n"));
}

// Guards against an interrupted stream that looks complete to the caller.
TEST_CASE_METHOD(NetFixture, "An aborted stream has no last chunk")
{
  auto address = this->Serve([](const ExchangePtr& aExchange) {
    aExchange->StartStream(200, {});
    aExchange->WriteStream("part", [aExchange] { aExchange->Abort(); });
  });
  RawCaller caller(address);
  caller.Send(kGetRequest);
  this->RunUntil([&] { return caller.IsClosed(); });
  REQUIRE(caller.Received().find("part") != std::string::npos);
  REQUIRE(caller.Received().find("\r\n0\r\n") == std::string::npos);
}

// Guards against an answer that this process gives up and that looks like the
// caller's decision.
TEST_CASE_METHOD(NetFixture, "The reason of a cut request is known")
{
  HttpServerOptions options;
  options.maxBufferedBytes = 4 * kMoreThanSocketBuffers;
  std::map<std::string, Disconnect> ends;
  auto address = this->Serve(
    [&ends](const ExchangePtr& aExchange) {
      const auto& target = aExchange->Request().target;
      aExchange->OnDisconnect(
        [&ends, target](Disconnect aHow) { ends[target] = aHow; });
      if (target == "/aborted") {
        aExchange->StartStream(200, {});
        aExchange->WriteStream("part", nullptr);
        aExchange->Abort();
      } else if (target == "/unread") {
        aExchange->Respond(
          { 200, {}, std::string(kMoreThanSocketBuffers, 'x') });
      }
    },
    options);
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (const char* target : { "/aborted", "/unread", "/stopped" }) {
    callers.push_back(std::make_unique<RawCaller>(address));
    callers.back()->Send("GET " + std::string(target) +
                         " HTTP/1.1\r\nHost: x\r\n\r\n");
  }
  this->RunUntil([&] { return ends.contains("/aborted"); });
  this->Advance(40s);
  this->RunUntil([&] { return ends.contains("/unread"); });
  caf::anon_send(this->started.front(), CloseConnections{});
  this->RunUntil([&] { return ends.contains("/stopped"); });
  CHECK(ends["/aborted"] == Disconnect::Aborted);
  CHECK(ends["/unread"] == Disconnect::WriteTimeout);
  CHECK(ends["/stopped"] == Disconnect::Stopped);
  for (const auto& [target, how] : ends) {
    CHECK(IsClosedByServer(how));
  }
  CHECK_FALSE(IsClosedByServer(Disconnect::Closed));
  CHECK_FALSE(IsClosedByServer(Disconnect::Broken));
}

// Guards against a request that ends without an answer and without a trace,
// since no handler knows it; and against a count of connections that are idle.
TEST_CASE_METHOD(NetFixture, "A cut request without an owner is counted")
{
  auto stopped = Metrics().GetCounter("lycheestand_requests_cut_total",
                                      R"(reason="stopped")");
  auto address = this->Serve([](const ExchangePtr& aExchange) {
    if (aExchange->Request().target == "/a") {
      aExchange->Respond({ 200, {}, "ok" });
    }
  });
  RawCaller idle(address);
  RawCaller unused(address);
  RawCaller reading(address);
  RawCaller waiting(address);
  idle.Send(kGetRequest);
  reading.Send("GET /a HT");
  waiting.Send("GET /b HTTP/1.1\r\nHost: x\r\n\r\n");
  this->RunUntil([&] { return idle.Received().ends_with("ok"); });
  this->RunUntil([rounds = 0]() mutable { return ++rounds > 20; });
  auto before = stopped.Value();
  caf::anon_send(this->started.front(), CloseConnections{});
  this->RunUntil([&] {
    return idle.IsClosed() && unused.IsClosed() && reading.IsClosed() &&
           waiting.IsClosed();
  });
  CHECK(stopped.Value() == before + 2);
}

// Guards against a request that arrives when its connection is about to be
// closed as idle, and is dropped unread.
TEST_CASE_METHOD(NetFixture,
                 "A timeout does not drop a request that has arrived")
{
  HttpServerOptions options;
  auto address = this->Serve(
    [](const ExchangePtr& aExchange) {
      aExchange->Respond({ 200, {}, "whole" });
    },
    options);
  RawCaller late(address);
  RawCaller idle(address);
  for (RawCaller* caller : { &late, &idle }) {
    caller->Send(kGetRequest);
    this->RunUntil([&] { return caller->Received().ends_with("whole"); });
  }
  this->Advance(options.keepAliveTimeout - 500ms);
  REQUIRE_FALSE(idle.IsClosed());
  late.Send(kGetRequest);
  this->Coordinator().advance_time(2s);
  this->Coordinator().run();
  this->RunUntil([&] { return idle.IsClosed(); });
  this->RunUntil(
    [&] { return CountOccurrences(late.Received(), "whole") == 2; });
}

// Guards against a full server that takes a connection for unused although its
// next request has arrived.
TEST_CASE_METHOD(NetFixture, "A full server keeps a connection with a request")
{
  HttpServerOptions options;
  options.maxConnections = 2;
  auto address = this->Serve(
    [](const ExchangePtr& aExchange) {
      aExchange->Respond({ 200, {}, "whole" });
    },
    options);
  RawCaller first(address);
  first.Send(kGetRequest);
  this->RunUntil([&] { return first.Received().ends_with("whole"); });
  this->Advance(20s);
  // The report of the second connection is handled before the request is read.
  RawCaller second(address);
  this->io.poll();
  this->io.restart();
  first.Send(kGetRequest);
  this->Coordinator().run();
  this->RunUntil(
    [&] { return CountOccurrences(first.Received(), "whole") == 2; });
}

// Guards against a caller that gets no response since another task has failed.
TEST_CASE_METHOD(NetFixture, "A request that needs a failed task is answered")
{
  auto failed = this->system.spawn<CallerTask>(this->runtime);
  caf::anon_send_exit(failed, caf::exit_reason::kill);
  this->Coordinator().run();
  auto address = this->Serve([failed](const ExchangePtr& aExchange) {
    const auto& target = aExchange->Request().target;
    if (target == "/hook") {
      aExchange->OnNoReply([aExchange] {
        aExchange->Respond({ 503, {}, "own" });
      });
    }
    if (target == "/begun") {
      aExchange->StartStream(200, {});
    }
    if (target == "/whole") {
      aExchange->Respond({ 200, {}, "whole" });
    }
    aExchange->Task()
      .request(failed, caf::infinite, CountOpenConnections{})
      .then([](std::size_t) {});
  });
  auto get = [](RawCaller& aCaller, const std::string& aTarget) {
    aCaller.Send("GET " + aTarget + " HTTP/1.1\r\nHost: x\r\n\r\n");
  };
  RawCaller caller(address);
  get(caller, "/a");
  this->RunUntil([&] { return caller.Received().ends_with("}}"); });
  CHECK(caller.Received().starts_with("HTTP/1.1 500"));
  CHECK(caller.Received().find(R"("ran":"unknown")") != std::string::npos);
  get(caller, "/hook");
  this->RunUntil([&] { return caller.Received().ends_with("own"); });
  get(caller, "/whole");
  this->RunUntil([&] { return caller.Received().ends_with("whole"); });
  CHECK_FALSE(caller.IsClosed());
  RawCaller begun(address);
  get(begun, "/begun");
  this->RunUntil([&] { return begun.IsClosed(); });
}

// Guards against a response that is lost by a reset, since the caller has sent
// more than one request.
TEST_CASE_METHOD(NetFixture, "Input after the last response is no reset")
{
  ExchangePtr exchange;
  auto address = this->Serve(
    [&exchange](const ExchangePtr& aExchange) { exchange = aExchange; });
  RawCaller caller(address);
  caller.Send("GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  this->RunUntil([&] { return exchange != nullptr; });
  caller.Send(kGetRequest);
  exchange->Respond({ 200, {}, "whole" });
  this->RunUntil([&] { return caller.IsClosed(); });
  CHECK(caller.Received().ends_with("whole"));
  CHECK_NOTHROW(caller.Send(kGetRequest));
  this->Advance(2s);
  caf::scoped_actor self(this->system);
  self->send(this->started.front(), CountOpenConnections{});
  this->Coordinator().run();
  self->receive([](std::size_t aOpen) { CHECK(aOpen == 0); });
}

// Guards against a planned stop that drops connections with a request in
// progress.
TEST_CASE_METHOD(NetFixture,
                 "A stopping server completes the request in progress")
{
  ExchangePtr exchange;
  auto address =
    this->Serve([&](const ExchangePtr& aExchange) { exchange = aExchange; });
  RawCaller caller(address);
  caller.Send(kGetRequest);
  this->RunUntil([&] { return exchange != nullptr; });
  caf::anon_send(this->started.front(), StopListening{});
  this->RunUntil([&] { return true; });
  REQUIRE_FALSE(caller.IsClosed());
  exchange->Respond({ 200, {}, "whole" });
  this->RunUntil([&] { return caller.IsClosed(); });
  REQUIRE(caller.Received().find("whole") != std::string::npos);
}

// Guards against a stop that drops requests which have begun to arrive.
TEST_CASE_METHOD(NetFixture, "A stopping server answers requests that arrive")
{
  ExchangePtr stream;
  auto address = this->Serve([&stream](const ExchangePtr& aExchange) {
    if (aExchange->Request().target == "/stream") {
      stream = aExchange;
      aExchange->StartStream(200, {});
    } else {
      aExchange->Respond({ 200, {}, "whole" });
    }
  });
  RawCaller idle(address);
  RawCaller reading(address);
  RawCaller unread(address);
  RawCaller kept(address);
  const std::string request(kGetRequest);
  const auto half = request.size() / 2;
  idle.Send(request);
  reading.Send(request.substr(0, half));
  unread.Send(request);
  kept.Send("GET /stream HTTP/1.1\r\nHost: x\r\n\r\n");
  this->RunUntil([&] {
    return stream && idle.Received().ends_with("whole") &&
           unread.Received().ends_with("whole");
  });
  this->RunUntil([rounds = 0]() mutable { return ++rounds > 20; });

  // The request is in the socket when the stop begins.
  unread.Send(request);
  caf::anon_send(this->started.front(), StopListening{});
  this->Coordinator().run();
  this->RunUntil([&] { return idle.IsClosed() && unread.IsClosed(); });
  CHECK(CountOccurrences(unread.Received(), "whole") == 2);
  CHECK(CountOccurrences(unread.Received(), "Connection: close") == 1);
  CHECK_FALSE(reading.IsClosed());
  reading.Send(request.substr(half));
  this->RunUntil([&] { return reading.IsClosed(); });
  CHECK(reading.Received().ends_with("whole"));
  CHECK(CountOccurrences(reading.Received(), "Connection: close") == 1);

  // The head of the stream has announced that the connection is kept.
  kept.Send(request);
  stream->EndStream();
  this->RunUntil([&] { return kept.IsClosed(); });
  CHECK(kept.Received().ends_with("whole"));
}

// Guards against a stop that resets connections which wait to be accepted, with
// requests that their callers have sent.
TEST_CASE_METHOD(NetFixture, "A stopping server accepts connections that wait")
{
  auto address = this->Serve([](const ExchangePtr& aExchange) {
    aExchange->Respond({ 200, {}, "whole" });
  });
  this->RunUntil([rounds = 0]() mutable { return ++rounds > 20; });
  RawCaller caller(address);
  caller.Send(kGetRequest);
  caf::anon_send(this->started.front(), StopListening{});
  this->Coordinator().run();
  this->RunUntil([&] { return caller.IsClosed(); });
  CHECK(caller.Received().ends_with("whole"));
  CHECK_THROWS_AS(RawCaller(address), boost::system::system_error);
}

// Guards against a stop that resets a connection on which a refusal is being
// sent: the caller may lose the refusal.
TEST_CASE_METHOD(NetFixture, "A stopping server reads on after a refusal")
{
  HttpServerOptions options;
  options.maxBodyBytes = 1024;
  auto address = this->Serve([](const ExchangePtr&) {}, options);
  RawCaller caller(address);
  caller.Send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n");
  this->RunUntil([&] { return caller.Received().starts_with("HTTP/1.1 413"); });
  this->RunUntil([rounds = 0]() mutable { return ++rounds > 20; });
  caller.Send(std::string(2000, 'x'));
  caf::anon_send(this->started.front(), StopListening{});
  this->Coordinator().run();
  this->RunUntil([rounds = 0]() mutable { return ++rounds > 20; });
  CHECK_NOTHROW(caller.Send("x"));
}

// Guards against a stop that is reported as complete before the last response
// is sent.
TEST_CASE_METHOD(NetFixture,
                 "Stopping a server waits until its last connection is closed")
{
  ExchangePtr exchange;
  bool isStopped = false;
  auto address =
    this->Serve([&](const ExchangePtr& aExchange) { exchange = aExchange; });
  RawCaller caller(address);
  caller.Send(kGetRequest);
  this->RunUntil([&] { return exchange != nullptr; });
  StopServer(
    this->runtime, this->started.front(), 60s, [&] { isStopped = true; });
  this->Advance(5s);
  REQUIRE_FALSE(isStopped);
  exchange->Respond({ 200, {}, "whole" });
  this->RunUntil([&] {
    this->Advance(500ms);
    return isStopped;
  });
  REQUIRE(caller.Received().find("whole") != std::string::npos);
}

// Sends random bytes, half of them after a valid request line, to guard against
// a hostile caller that crashes the server.
TEST_CASE_METHOD(NetFixture, "A connection is closed after malformed requests")
{
  auto address = this->Serve([](const ExchangePtr& aExchange) {
    aExchange->Respond({ 200, {}, "ok" });
  });
  std::uint64_t state = 7;
  for (int i = 0; i < 50; ++i) {
    std::string bytes = i % 2 == 0 ? "" : "POST /a HTTP/1.1\r\n";
    for (int j = 0; j < 200; ++j) {
      state = state * 6364136223846793005ULL + 1442695040888963407ULL;
      bytes.push_back(static_cast<char>(state >> 56));
    }
    RawCaller caller(address);
    caller.Send(bytes + "\r\n\r\n");
    this->RunUntil([&] { return caller.IsClosed(); });
  }
  RawCaller caller(address);
  caller.Send(kGetRequest);
  this->RunUntil(
    [&] { return caller.Received().find("ok") != std::string::npos; });
}

// Without a response, the caller could not tell why the connection was closed
// and that the request was not executed.
TEST_CASE_METHOD(NetFixture, "A malformed request is rejected with a reason")
{
  auto address = this->Serve([](const ExchangePtr& aExchange) {
    aExchange->Respond({ 200, {}, "ok" });
  });
  const std::vector<std::string> requestHeads{
    "POST /a HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n",
    "POST /a HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n",
    "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
  };
  for (const auto& requestHead : requestHeads) {
    RawCaller caller(address);
    caller.Send(requestHead + "\r\n");
    this->RunUntil([&] { return caller.IsClosed(); });
    CHECK(caller.Received().starts_with("HTTP/1.1 400"));
    CHECK(caller.Received().find("Connection: close") != std::string::npos);
    CHECK(caller.Received().find("malformed_request") != std::string::npos);
  }
}

// Guards against a stop that closes idle keep-alive connections without notice:
// a caller may be sending its next request.
TEST_CASE_METHOD(NetFixture,
                 "A server that will stop announces it in its responses")
{
  auto address = this->Serve([](const ExchangePtr& aExchange) {
    aExchange->Respond({ 200, {}, "ok" });
  });
  RawCaller idleCaller(address);
  idleCaller.Send(kGetRequest);
  this->RunUntil(
    [&] { return idleCaller.Received().find("ok") != std::string::npos; });
  caf::anon_send(this->started.front(), CloseAfterResponses{});
  this->Advance(1s);
  REQUIRE_FALSE(idleCaller.IsClosed());
  for (RawCaller* caller : { &idleCaller }) {
    caller->Send(kGetRequest);
    this->RunUntil([&] { return caller->IsClosed(); });
    CHECK(caller->Received().find("Connection: close") != std::string::npos);
  }
  RawCaller newCaller(address);
  newCaller.Send(kGetRequest);
  this->RunUntil([&] { return newCaller.IsClosed(); });
  CHECK(newCaller.Received().find("ok") != std::string::npos);
}

// Guards against a server that accepts one connection for each turn of its
// task: when many tasks wait for their turn, callers get no connection for
// seconds.
TEST_CASE_METHOD(NetFixture, "All waiting connections are accepted in one turn")
{
  auto address = this->Serve([](const ExchangePtr&) {});
  this->io.poll();
  this->Coordinator().run();
  constexpr std::size_t kCallers = 40;
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<RawCaller>(address));
  }
  caf::scoped_actor self(this->system);
  std::size_t open = 0;
  this->RunUntil([&] {
    self->send(this->started.front(), CountOpenConnections{});
    this->Coordinator().run();
    self->receive([&open](std::size_t aCount) { open = aCount; });
    return open > 0;
  });
  CHECK(open == kCallers);
}

// Guards against a server that, once it has stopped to listen, refuses callers
// for good or drops the connections that it has.
TEST_CASE_METHOD(NetFixture, "A server refuses connections while it must")
{
  auto address = this->Serve([](const ExchangePtr& aExchange) {
    aExchange->Respond({ 200, {}, "body" });
  });
  auto answers = [this](RawCaller& aCaller, std::size_t aCount) {
    aCaller.Send(kGetRequest);
    this->RunUntil(
      [&] { return CountOccurrences(aCaller.Received(), "body") == aCount; });
  };
  RawCaller early(address);
  answers(early, 1);
  caf::anon_send(this->started.back(), SetListening{ false });
  this->Coordinator().run();
  CHECK_THROWS_AS(RawCaller(address), boost::system::system_error);
  answers(early, 2);
  caf::anon_send(this->started.back(), SetListening{ true });
  this->Coordinator().run();
  RawCaller late(address);
  answers(late, 1);
}

// Guards against a server that can't listen at once after a pause, for example
// because another process has taken its address, and never tries again.
TEST_CASE_METHOD(NetFixture, "A server tries again to listen")
{
  auto address = this->Serve([](const ExchangePtr& aExchange) {
    aExchange->Respond({ 200, {}, "body" });
  });
  caf::anon_send(this->started.back(), SetListening{ false });
  this->Coordinator().run();
  {
    boost::asio::ip::tcp::acceptor other(
      this->io,
      { boost::asio::ip::make_address(address.host), address.port },
      false);
    caf::anon_send(this->started.back(), SetListening{ true });
    this->Coordinator().run();
  }
  this->Advance(500ms);
  RawCaller caller(address);
  caller.Send(kGetRequest);
  this->RunUntil(
    [&] { return CountOccurrences(caller.Received(), "body") == 1; });
}

// Guards against a process that reads requests which it can't serve in time.
TEST_CASE_METHOD(NetFixture, "A connection that is not served is reset unread")
{
  bool serves = false;
  int handled = 0;
  HttpServerOptions options;
  options.servesNewConnection = [&serves] { return serves; };
  auto address = this->Serve(
    [&handled](const ExchangePtr& aExchange) {
      ++handled;
      aExchange->Respond({ 200, {}, "body" });
    },
    options);
  RawCaller refused(address);
  this->RunUntil([&] { return refused.IsClosed(); });
  CHECK(refused.Received().empty());
  CHECK(handled == 0);
  serves = true;
  RawCaller served(address);
  served.Send(kGetRequest);
  this->RunUntil([&] { return handled == 1; });
}

// Guards against callers that keep using a connection to a process which wants
// them to connect elsewhere.
TEST_CASE_METHOD(NetFixture, "Connections are kept while the server keeps them")
{
  bool keeps = true;
  HttpServerOptions options;
  options.keepsConnections = [&keeps] { return keeps; };
  auto address = this->Serve(
    [](const ExchangePtr& aExchange) {
      aExchange->Respond({ 200, {}, "body" });
    },
    options);
  RawCaller caller(address);
  caller.Send(kGetRequest);
  this->RunUntil(
    [&] { return CountOccurrences(caller.Received(), "body") == 1; });
  keeps = false;
  caller.Send(kGetRequest);
  this->RunUntil([&] { return caller.IsClosed(); });
  CHECK(CountOccurrences(caller.Received(), "body") == 2);
  CHECK(CountOccurrences(caller.Received(), "Connection: close") == 1);
}
