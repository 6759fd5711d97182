// Readers of texts from callers, endpoints, the platform and operators get
// changed inputs with fixed seeds. An exception or a crash fails the test.

#include "event_stream.h"
#include "mutator.h"
#include "request_reader.h"

#include <catch2/catch.hpp>
#include <lycheestand/discovery.h>
#include <lycheestand/platform.h>
#include <lycheestand/settings.h>

namespace lycheestand::fuzz {

namespace {

constexpr int kTextRounds = 100'000;

using net::RequestReader;

constexpr net::RequestLimits kRequestLimits{ 512, 4096 };

// A header of 512 bytes has up to 128 lines of 128 bytes in memory; the reader
// may have read 32 kB more than it has parsed.
constexpr std::size_t kMaxReaderMemory = 512 * 1024;

struct ReadResult
{
  std::vector<net::HttpRequest> requests;
  RequestReader::State state = RequestReader::State::Incomplete;
};

// Reads requests until an error or the end of the bytes. They arrive in pieces
// of the sizes that aSize returns.
ReadResult
ReadRequests(std::string_view aBytes, const std::function<std::size_t()>& aSize)
{
  ReadResult result;
  RequestReader reader(kRequestLimits);
  while (!aBytes.empty()) {
    auto space = reader.Prepare();
    auto size = std::min({ aSize(), space.size(), aBytes.size() });
    std::copy_n(aBytes.begin(), size, static_cast<char*>(space.data()));
    reader.Commit(size);
    aBytes.remove_prefix(size);
    result.state = reader.Read();
    while (result.state == RequestReader::State::Complete) {
      result.requests.push_back(reader.Take());
      result.state = reader.Read();
    }
    REQUIRE(reader.HeldBytes() < kMaxReaderMemory);
    if (result.state != RequestReader::State::Incomplete) {
      break;
    }
  }
  return result;
}

} // namespace

// Guards against a request that is read in another way when it arrives in other
// pieces, and against bytes that the reader keeps without a limit.
TEST_CASE("Changed requests are read alike in any pieces")
{
  const std::string chunked =
    "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5;a=b;c=\"d\"\r\nhello\r\n3\r\nyou\r\n0;e\r\nX-T: t\r\nX-U: u\r\n\r\n";
  const std::string pipelined =
    "GET /b?zone=z HTTP/1.1\r\nHost: h\r\nConnection: keep-alive\r\n\r\n"
    "GET /c HTTP/1.0\r\n\r\n";
  const std::vector<std::string> requests{
    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
    chunked,
    pipelined
  };
  Mutator mutator(39,
                  { "\r\n",
                    "\r\n\r\n",
                    "0\r\n",
                    "Transfer-Encoding: chunked\r\n",
                    "Content-Length: 3\r\n",
                    ";x=y",
                    std::string(600, 'a'),
                    "ffffffffffffffff",
                    "Expect: 100-continue\r\n" });
  std::size_t complete = 0;
  for (int i = 0; i < kTextRounds; ++i) {
    auto text = mutator.Mutate(requests[mutator.Below(requests.size())]);
    CAPTURE(i, text);
    auto whole = ReadRequests(text, [] { return std::size_t(1) << 20; });
    auto pieces = ReadRequests(text, [&] { return 1 + mutator.Below(9); });
    // A trailer that is too long may be noticed only if it comes in pieces.
    auto count = std::min(whole.requests.size(), pieces.requests.size());
    for (std::size_t request = 0; request < count; ++request) {
      REQUIRE(whole.requests[request].body == pieces.requests[request].body);
      REQUIRE(whole.requests[request].headers ==
              pieces.requests[request].headers);
      REQUIRE(whole.requests[request].body.size() <=
              kRequestLimits.maxBodyBytes);
    }
    if (pieces.state != RequestReader::State::HeaderTooLarge) {
      REQUIRE(whole.requests.size() == pieces.requests.size());
    }
    complete += count;
  }
  // Most changes leave a part of the input valid.
  CHECK(complete > kTextRounds / 10);
}

// Guards against events that are lost, doubled or divided differently when the
// stream arrives in other pieces.
TEST_CASE("Changed event streams are split alike in any pieces")
{
  const std::string stream =
    "id: 1\ndata: {\"a\":1}\n\nid: 2\r\ndata: b\r\n\r\n: note\n\n"
    "id: 18446744073709551615\ndata: c\n\n";
  Mutator mutator(40, { "\n", "\n\n", "\r\n\r\n", "\r", "id: ", "id:9\n" });
  for (int i = 0; i < kTextRounds; ++i) {
    auto text = mutator.Mutate(stream);
    CAPTURE(i, text);
    router::EventSplitter whole;
    router::EventSplitter pieces;
    std::string wholeBytes;
    std::string pieceBytes;
    for (const auto& event : whole.Feed(text)) {
      wholeBytes += event.bytes + '|' + std::to_string(event.id.value_or(0));
    }
    for (std::size_t at = 0; at < text.size();) {
      auto size = 1 + mutator.Below(9);
      for (const auto& event : pieces.Feed(text.substr(at, size))) {
        pieceBytes += event.bytes + '|' + std::to_string(event.id.value_or(0));
      }
      at += size;
    }
    REQUIRE(wholeBytes == pieceBytes);
    REQUIRE(whole.Remainder() == pieces.Remainder());
  }
}

// Guards against an exception that ends the process, for a list, a settings
// file or a configuration that another program has written.
TEST_CASE("Changed documents give an error or a value")
{
  const std::string listText =
    R"({"instances":[{"id":"i1","service":"s","address":"10.0.0.1:80",)"
    R"("zone":"z","version":"v1","state":"ready","slots":16,"models":["m"],)"
    R"("coldRemainingMs":5}],"next":"2"})";
  const std::string plainListText =
    R"([{"id":"e","address":"10.0.0.1:80","zone":"z","models":["m"]}])";
  const std::string nodeText =
    R"({"nodeName":"n","role":"router","serves":["front"],"ip":"10.0.0.1",)"
    R"("zone":"z","region":"r","listen":{"front":"10.0.0.1:8227"},)"
    R"("internalPorts":[7340,7355],"seeds":["10.0.0.2:8229"],)"
    R"("limits":{"cores":1,"memoryMb":88},"bounds":{"retrySlack":5}})";
  const std::string routesText =
    R"({"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/a/",)"
    R"("kind":"safe","timeoutMs":1000,"service":"s","maxAttempts":1}],)"
    R"("services":[{"name":"s","healthPath":"/h","maxConns":10}],"limits":{}})";
  const std::string processText =
    R"({"instance":"r1","zone":"z","role":"router",)"
    R"("caller_address":"10.0.0.1:1","admin_address":"10.0.0.1:2",)"
    R"("control":[{"instance":"c","peer":"10.0.0.1:3","admin":"10.0.0.1:4"}],)"
    R"("fleet_key_file":"k","max_body_bytes":1024})";
  const std::string fleetText =
    R"({"models":{"a":{"max_output_tokens":5}},"workspaces":{"w":{}},)"
    R"("sites":{"d":{"models":["a"]}}})";
  const std::vector<std::string> documents{
    listText, plainListText, nodeText, routesText, processText, fleetText
  };
  Mutator mutator(41,
                  { "null",
                    "{}",
                    "[]",
                    "\"\"",
                    "-1",
                    "1e400",
                    "18446744073709551616",
                    "\\ud800",
                    std::string(200, '['),
                    ",\"id\":5" });
  auto list = platform::MakeListFormat();
  auto plainList = discovery::MakePlainFormat();
  std::size_t values = 0;
  for (int i = 0; i < kTextRounds; ++i) {
    auto text = mutator.Mutate(documents[mutator.Below(documents.size())]);
    CAPTURE(i, text);
    values += list.read(text).has_value() ? 1 : 0;
    values += plainList.read(text).has_value() ? 1 : 0;
    values += platform::ParseNodeSettings(text).has_value() ? 1 : 0;
    values += platform::ReadRouteDocument(text).has_value() ? 1 : 0;
    values += settings::ParseProcessSettings(text).has_value() ? 1 : 0;
    values += settings::ParseFleetSettings(text).has_value() ? 1 : 0;
  }
  CHECK(values > kTextRounds / 100);
}

} // namespace lycheestand::fuzz
