// Responses that endpoints break off or that are no responses of the protocol.

#include "call_fixture.h"

using namespace lycheestand;
using namespace lycheestand::net;
using namespace std::chrono_literals;

namespace {

constexpr const char* kPartWithoutLength = "HTTP/1.1 200 OK\r\n\r\npart";

// A call whose request is larger than the buffers of both systems, so that its
// write is still pending when the response arrives.
class LongUploadFixture : public CallFixture
{
public:
  static constexpr int kReceiveBuffer = 16 * 1024;
  static constexpr std::size_t kBodyBytes = 32 * 1024 * 1024;

  void Start(CallOptions aOptions = {})
  {
    this->Send(this->endpoint.GetAddress(),
               { "POST", "/", {}, std::string(kBodyBytes, 'x') },
               aOptions);
    this->RunUntil([this] { return this->endpoint.Accept(); });
    this->RunUntil([this] { return this->endpoint.HasUnread(); });
    this->Settle();
  }

  // Runs I/O and tasks until the write has filled the buffers and what the
  // endpoint has sent is handled.
  void Settle()
  {
    constexpr int kRounds = 50;
    int rounds = 0;
    this->RunUntil([&rounds] { return ++rounds > kRounds; });
  }

  bool HasResult() const { return !this->results.empty(); }

  void RequireInterrupted()
  {
    this->RunUntil([this] { return this->HasResult(); });
    REQUIRE(this->results[0].has_error());
    CHECK(this->results[0].error() == CallFailure::Interrupted);
  }

  void RequireWhole(const std::string& aBody)
  {
    this->RunUntil([this] { return this->HasResult(); });
    REQUIRE(this->results[0].has_value());
    CHECK(this->results[0].value().body == aBody);
  }

  RawEndpoint endpoint{ kReceiveBuffer };
};

} // namespace

// Guards against a part that is taken for a whole response: the system gives
// the error of a reset to one operation only. If the pending write takes it,
// the read sees an orderly end of the connection.
TEST_CASE_METHOD(
  LongUploadFixture,
  "A response without a length that is reset during the request is interrupted")
{
  // The part and the reset are handled together or one after the other.
  bool isPartRead = GENERATE(false, true);
  CAPTURE(isPartRead);
  this->Start();
  this->endpoint.Send(kPartWithoutLength);
  if (isPartRead) {
    this->Settle();
  }
  this->endpoint.Reset();
  this->RequireInterrupted();
}

// The endpoint may end its side first and go on reading. The response is whole
// if nothing breaks until the request has been written.
TEST_CASE_METHOD(
  LongUploadFixture,
  "A response without a length is whole once the request is written")
{
  this->Start();
  this->endpoint.Send(kPartWithoutLength);
  this->endpoint.CloseSendingSide();
  this->Settle();
  CHECK_FALSE(this->HasResult());
  this->RunUntil([this] {
    this->endpoint.CountReceived();
    return this->HasResult();
  });
  this->RequireWhole("part");
  this->RunUntil(
    [this] { return this->endpoint.CountReceived() > kBodyBytes; });
}

// An endpoint that crashes while it reads the request ends its side first, too,
// if it had read all that had arrived.
TEST_CASE_METHOD(
  LongUploadFixture,
  "A response whose end is followed by a reset of the request is interrupted")
{
  this->Start();
  this->endpoint.Send(kPartWithoutLength);
  this->endpoint.CloseSendingSide();
  this->Settle();
  this->endpoint.Reset();
  this->RequireInterrupted();
}

// Guards against a call that waits for its request to be written without end.
TEST_CASE_METHOD(LongUploadFixture,
                 "A response whose request is never read ends at a timeout")
{
  CallOptions options;
  SECTION("idle timeout")
  {
    options.idleTimeout = 3s;
  }
  SECTION("total timeout")
  {
    options.totalTimeout = 3s;
  }
  this->Start(options);
  this->endpoint.Send(kPartWithoutLength);
  this->endpoint.CloseSendingSide();
  this->Settle();
  CHECK_FALSE(this->HasResult());
  this->Advance(4s);
  this->RequireInterrupted();
}

// A response whose length or last chunk has arrived is whole, whatever happens
// to the rest of the request.
TEST_CASE_METHOD(LongUploadFixture,
                 "A response that was whole before the reset stays whole")
{
  auto response = GENERATE(
    as<std::string>{},
    "HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nwhole",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n"
    "0\r\n\r\n");
  CAPTURE(response);
  this->Start();
  this->endpoint.Send(response);
  this->endpoint.Reset();
  this->RequireWhole("whole");
}

// The same with a part of such a response.
TEST_CASE_METHOD(LongUploadFixture,
                 "A response that is reset before its end is interrupted")
{
  auto response =
    GENERATE(as<std::string>{},
             "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
             "4\r\npart\r\n");
  CAPTURE(response);
  this->Start();
  this->endpoint.Send(response);
  this->endpoint.Reset();
  this->RequireInterrupted();
}

namespace {

std::string
MakeResponse(const std::string& aStatus, const std::string& aBody)
{
  return "HTTP/1.1 " + aStatus +
         " x\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

class ResponseFixture : public CallFixture
{
public:
  // Makes a call and returns its result when the endpoint sends this and closes
  // the connection.
  Result<HttpResponse, CallFailure> Receive(const std::string& aResponse)
  {
    RawEndpoint endpoint;
    this->results.clear();
    this->Fetch(endpoint.GetAddress());
    this->RunUntil([&] { return endpoint.Accept(); });
    this->RunUntil([&] { return endpoint.HasReceived("\r\n\r\n"); });
    endpoint.Send(aResponse);
    endpoint.Close();
    this->RunUntil([this] { return !this->results.empty(); });
    return this->results[0];
  }
};

} // namespace

// Guards against a status below 100, or a switch of protocols that nobody asked
// for, that is taken for an interim response: the bytes that follow would be
// the response.
TEST_CASE_METHOD(ResponseFixture,
                 "A status that is no interim status fails the call")
{
  auto status = GENERATE(as<std::string>{}, "000", "001", "099", "101");
  CAPTURE(status);
  CHECK(this->Receive(MakeResponse(status, "wrong")).has_error());
  CHECK(this->Receive(MakeResponse(status, "") + MakeResponse("200", "next"))
          .has_error());
}

TEST_CASE_METHOD(ResponseFixture, "A response has a status of the protocol")
{
  for (const char* status : { "200", "299", "404", "500", "599" }) {
    CAPTURE(status);
    auto result = this->Receive(MakeResponse(status, "whole"));
    REQUIRE(result.has_value());
    CHECK(result.value().status == std::stoul(status));
    CHECK(result.value().body == "whole");
  }
}

// Guards against a status that callers can't understand, and that an endpoint
// in trouble has made up.
TEST_CASE_METHOD(ResponseFixture, "A status above 599 fails the call")
{
  auto status = GENERATE(as<std::string>{}, "600", "799", "999");
  CAPTURE(status);
  CHECK(this->Receive(MakeResponse(status, "wrong")).has_error());
}

namespace {

// Returns the bytes that a field name can't hold (RFC 9110, section 5.1),
// without the colon, which ends it.
std::string
BytesOutsideNames()
{
  const std::string_view marks = "!#$%&'*+-.^_`|~:";
  std::string bytes;
  for (int code = 0; code < 256; ++code) {
    char byte = static_cast<char>(code);
    bool isLetter =
      (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
    bool isDigit = byte >= '0' && byte <= '9';
    if (!isLetter && !isDigit && marks.find(byte) == std::string_view::npos) {
      bytes.push_back(byte);
    }
  }
  return bytes;
}

// Returns field lines whose names are malformed.
std::vector<std::string>
MalformedFields()
{
  std::vector<std::string> fields{ ": v", "v" };
  for (char byte : BytesOutsideNames()) {
    fields.push_back("X-A" + std::string(1, byte) + "B: v");
    fields.push_back("X-A" + std::string(1, byte) + ": v");
    fields.push_back(std::string(1, byte) + "X-A: v");
  }
  return fields;
}

// Returns whether a line continues the line before it, as older versions of the
// protocol allowed.
bool
IsFolded(const std::string& aLine)
{
  return aLine.front() == ' ' || aLine.front() == '\t';
}

const std::string kOkLine = "HTTP/1.1 200 OK\r\n";
const std::string kWhole = "Content-Length: 5\r\n\r\nwhole";

} // namespace

// Guards against a response that is passed on although a name in its head is
// malformed, and against one whose body is not the endpoint's: with a name that
// is read leniently the body may have another length.
TEST_CASE_METHOD(ResponseFixture, "A malformed field name fails the call")
{
  REQUIRE(this->Receive(kOkLine + "X-A: v\r\n" + kWhole).has_value());
  for (const auto& field : MalformedFields()) {
    CAPTURE(field);
    const std::string line = field + "\r\n";
    CHECK(this->Receive(kOkLine + line + kWhole).has_error());
    if (!IsFolded(line)) {
      CHECK(
        this->Receive(kOkLine + "Content-Length: 5\r\n" + line + "\r\nwhole")
          .has_error());
    }
  }
}

TEST_CASE_METHOD(ResponseFixture,
                 "A malformed field name in an interim response fails the call")
{
  for (const auto& field : MalformedFields()) {
    CAPTURE(field);
    CHECK(this
            ->Receive("HTTP/1.1 100 Continue\r\n" + field + "\r\n\r\n" +
                      kOkLine + kWhole)
            .has_error());
  }
}

TEST_CASE_METHOD(ResponseFixture,
                 "A malformed field name in a trailer fails the call")
{
  const std::string chunked =
    kOkLine + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n";
  REQUIRE(this->Receive(chunked + "X-A: v\r\n\r\n").has_value());
  for (const auto& field : MalformedFields()) {
    CAPTURE(field);
    CHECK(this->Receive(chunked + field + "\r\n\r\n").has_error());
  }
}

// Both names say how long the body is, if they are read leniently.
TEST_CASE_METHOD(ResponseFixture,
                 "A malformed name does not change the length of a body")
{
  for (const char* separator : { " ", "\t", "\x01", "\x7f" }) {
    CAPTURE(separator);
    const std::string blank = separator;
    for (const auto& head :
         { "Content-Length" + blank + ": 5\r\n",
           "Content-Length" + blank + ": 2\r\nContent-Length: 5\r\n",
           "Content-Length: 5\r\nContent-Length" + blank + ": 2\r\n",
           "Transfer-Encoding" + blank + ": chunked\r\nContent-Length: 5\r\n",
           "Content-Length: 5\r\nTransfer-Encoding" + blank +
             ": chunked\r\n" }) {
      CAPTURE(head);
      CHECK(this->Receive(kOkLine + head + "\r\nwhole").has_error());
    }
  }
}

// A value with such a byte could end the line for the next reader.
TEST_CASE_METHOD(ResponseFixture, "A field value has no line break or NUL")
{
  for (char byte : { '\0', '\r', '\n' }) {
    auto value = "a" + std::string(1, byte) + "b";
    CAPTURE(value);
    CHECK(
      this->Receive(kOkLine + "X-A: " + value + "\r\n" + kWhole).has_error());
  }
  // A folded line is joined by a blank.
  auto folded = this->Receive(kOkLine + "X-A: a\r\n b\r\n" + kWhole);
  REQUIRE(folded.has_value());
  CHECK(FindHeader(folded.value().headers, "X-A") == "a b");
}
