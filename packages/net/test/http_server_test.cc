#include "net_fixture.h"

using namespace lycheestand;
using namespace lycheestand::net;
using namespace std::chrono_literals;

namespace {

constexpr const char* kGet = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

// Returns how often a text occurs in another.
std::size_t
CountOf(const std::string& aText, const std::string& aPart)
{
  std::size_t count = 0;
  for (std::size_t at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

} // namespace

// Guards against answers in the wrong order, or a second request that is taken
// for a disconnect, on one connection.
TEST_CASE_METHOD(NetFixture, "Pipelined requests are answered in order")
{
  auto address = this->Serve([](const ExchangePtr& aExchange) {
    aExchange->Task().After(10ms, [aExchange] {
      aExchange->Respond({ 200, {}, "body" });
    });
  });
  RawCaller caller(address);
  caller.Send(std::string(kGet) + kGet);
  this->PumpUntil([&] {
    this->Advance(500ms);
    return CountOf(caller.Received(), "body") == 2;
  });
  caller.Send(kGet);
  this->PumpUntil([&] {
    this->Advance(500ms);
    return CountOf(caller.Received(), "body") == 3;
  });
}

// Guards against an engine that goes on working for a caller who has left.
TEST_CASE_METHOD(NetFixture, "A caller who leaves runs the disconnect hook")
{
  bool begun = false;
  bool left = false;
  auto address = this->Serve([&](const ExchangePtr& aExchange) {
    begun = true;
    aExchange->OnDisconnect([&left] { left = true; });
  });
  RawCaller caller(address);
  caller.Send(kGet);
  this->PumpUntil([&] { return begun; });
  REQUIRE_FALSE(left);
  caller.Close();
  this->PumpUntil([&] { return left; });
}

// Guards against a caller that holds a connection by sending its request
// slowly.
TEST_CASE_METHOD(NetFixture, "A slow request is closed after its timeout")
{
  auto address = this->Serve([](const ExchangePtr&) {});
  RawCaller caller(address);
  caller.Send("GET /a HT");
  this->PumpUntil([&] {
    this->Advance(500ms);
    return true;
  });
  this->Advance(10s);
  REQUIRE_FALSE(caller.IsClosed());
  this->Advance(30s);
  this->PumpUntil([&] { return caller.IsClosed(); });
}

// Guards against a body that exhausts memory.
TEST_CASE_METHOD(NetFixture, "A body over the limit is refused with 413")
{
  HttpServerOptions options;
  options.maxBodyBytes = 1024;
  bool handled = false;
  auto address =
    this->Serve([&](const ExchangePtr&) { handled = true; }, options);
  RawCaller caller(address);
  caller.Send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n");
  this->PumpUntil(
    [&] { return caller.Received().find("413") != std::string::npos; });
  REQUIRE_FALSE(handled);
}

// Guards against a cut stream that looks whole to the caller.
TEST_CASE_METHOD(NetFixture, "An aborted stream has no last chunk")
{
  auto address = this->Serve([](const ExchangePtr& aExchange) {
    aExchange->StartStream(200, {});
    aExchange->WriteStream("part", [aExchange] { aExchange->Abort(); });
  });
  RawCaller caller(address);
  caller.Send(kGet);
  this->PumpUntil([&] { return caller.IsClosed(); });
  REQUIRE(caller.Received().find("part") != std::string::npos);
  REQUIRE(caller.Received().find("\r\n0\r\n") == std::string::npos);
}

// Guards against connections that are dropped by a planned stop.
TEST_CASE_METHOD(NetFixture, "A stop lets the request in flight finish")
{
  ExchangePtr open;
  auto address =
    this->Serve([&](const ExchangePtr& aExchange) { open = aExchange; });
  RawCaller caller(address);
  caller.Send(kGet);
  this->PumpUntil([&] { return open != nullptr; });
  caf::anon_send(this->started.front(), StopListening{});
  this->PumpUntil([&] { return true; });
  REQUIRE_FALSE(caller.IsClosed());
  open->Respond({ 200, {}, "whole" });
  this->PumpUntil([&] { return caller.IsClosed(); });
  REQUIRE(caller.Received().find("whole") != std::string::npos);
}

// Guards against a stop that is reported before the last answer is sent.
TEST_CASE_METHOD(NetFixture, "A server's stop waits for its last connection")
{
  ExchangePtr open;
  bool isStopped = false;
  auto address =
    this->Serve([&](const ExchangePtr& aExchange) { open = aExchange; });
  RawCaller caller(address);
  caller.Send(kGet);
  this->PumpUntil([&] { return open != nullptr; });
  StopServer(
    this->runtime, this->started.front(), 60s, [&] { isStopped = true; });
  this->Advance(5s);
  REQUIRE_FALSE(isStopped);
  open->Respond({ 200, {}, "whole" });
  this->PumpUntil([&] {
    this->Advance(500ms);
    return isStopped;
  });
  REQUIRE(caller.Received().find("whole") != std::string::npos);
}

// Guards against bytes from a hostile caller that crash the front.
TEST_CASE_METHOD(NetFixture, "Malformed requests end the connection")
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
    this->PumpUntil([&] { return caller.IsClosed(); });
  }
  RawCaller caller(address);
  caller.Send(kGet);
  this->PumpUntil(
    [&] { return caller.Received().find("ok") != std::string::npos; });
}

// Guards against a caller that is cut off and can't tell that its request did
// not run and why.
TEST_CASE_METHOD(NetFixture, "A malformed request is refused with a reason")
{
  auto address = this->Serve([](const ExchangePtr& aExchange) {
    aExchange->Respond({ 200, {}, "ok" });
  });
  const std::vector<std::string> heads{
    "POST /a HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n",
    "POST /a HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n",
    "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
  };
  for (const auto& head : heads) {
    RawCaller caller(address);
    caller.Send(head + "\r\n");
    this->PumpUntil([&] { return caller.IsClosed(); });
    CHECK(caller.Received().starts_with("HTTP/1.1 400"));
    CHECK(caller.Received().find("Connection: close") != std::string::npos);
    CHECK(caller.Received().find("malformed_request") != std::string::npos);
  }
}

// Guards against a stop that cuts callers' kept connections before they have
// learnt of it.
TEST_CASE_METHOD(NetFixture, "A server that will stop says so in its answers")
{
  auto address = this->Serve([](const ExchangePtr& aExchange) {
    aExchange->Respond({ 200, {}, "ok" });
  });
  RawCaller kept(address);
  kept.Send(kGet);
  this->PumpUntil(
    [&] { return kept.Received().find("ok") != std::string::npos; });
  caf::anon_send(this->started.front(), CloseAfterAnswers{});
  this->Advance(1s);
  REQUIRE_FALSE(kept.IsClosed());
  for (RawCaller* caller : { &kept }) {
    caller->Send(kGet);
    this->PumpUntil([&] { return caller->IsClosed(); });
    CHECK(caller->Received().find("Connection: close") != std::string::npos);
  }
  RawCaller later(address);
  later.Send(kGet);
  this->PumpUntil([&] { return later.IsClosed(); });
  CHECK(later.Received().find("ok") != std::string::npos);
}
