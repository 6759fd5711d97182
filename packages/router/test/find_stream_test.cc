#include "filter_chain.h"
#include "net_fixture.h"
#include "request_digest.h"

using namespace lycheestand;
using namespace lycheestand::router;
using namespace std::chrono_literals;

namespace {

// What the stream controller was asked, and its answer; without one it keeps
// the request waiting.
struct FindsSeen
{
  std::vector<FindStream> finds;
  std::vector<Ticket> cancelled;
  std::optional<FindStreamReply> reply;
  // What the endpoint controller was asked, and its answer.
  std::vector<routing::Query> queries;
  bool lacksVersion = false;
};

// Stands in for the stream controller and the endpoint controller.
class StreamControllerStandIn : public net::IoTask
{
public:
  StreamControllerStandIn(caf::actor_config& aConfig,
                          net::Runtime aRuntime,
                          FindsSeen& aSeen)
    : net::IoTask(aConfig, aRuntime)
    , seen(aSeen)
  {
  }

protected:
  caf::message_handler Handlers() override
  {
    return { [this](FindStream& aFind) -> caf::result<FindStreamReply> {
              this->seen.finds.push_back(aFind);
              if (this->seen.reply) {
                return *this->seen.reply;
              }
              this->waiting = this->make_response_promise();
              return this->waiting;
            },
             [this](LacksVersion& aLacks) {
               this->seen.queries.push_back(aLacks.query);
               return this->seen.lacksVersion;
             },
             [this](CancelFindStream& aCancel) {
               this->seen.cancelled.push_back(aCancel.ticket);
               this->waiting.deliver(FindStreamReply{});
             } };
  }

private:
  FindsSeen& seen;
  caf::response_promise waiting;
};

// Passes requests through the filter; those that pass are answered with 204.
class FindStreamFixture : public net::NetFixture
{
public:
  FindStreamFixture()
  {
    this->controller = this->system.spawn<StreamControllerStandIn>(
      this->runtime, std::ref(this->seen));
    this->started.push_back(this->controller);
    this->description.lastEvent = 3;
    this->description.resumes = RequestId("r0");
    this->address = this->Serve([this](const net::ExchangePtr& aExchange) {
      auto request = std::make_shared<Request>();
      request->exchange = aExchange;
      request->controllers.stream = this->controller;
      request->controllers.endpoint = this->controller;
      request->ticket = NextTicket();
      request->workspace = WorkspaceId("w");
      RoutedCall call;
      call.description = this->description;
      call.service = ServiceName("s");
      request->call = std::move(call);
      aExchange->OnDisconnect(
        [request](net::Disconnect aHow) { EndDisconnected(request, aHow); });
      this->request = request;
      FilterChain({ MakeFindStream(),
                    [this](const RequestPtr& aRequest, const Next&) {
                      this->passed = aRequest->streamVersion;
                      aRequest->exchange->Respond({ 204, {}, "" });
                      FinishRequest(aRequest);
                    } })
        .Run(request);
    });
  }

  void Send(net::RawCaller& aCaller)
  {
    aCaller.Send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}");
  }

  // Sends a request and returns the answer.
  std::string Call()
  {
    net::RawCaller caller(this->address);
    this->Send(caller);
    this->RunUntil(
      [&] { return caller.Received().find("\r\n\r\n") != std::string::npos; });
    return caller.Received();
  }

  FindsSeen seen;
  caf::actor controller;
  CallDescription description;
  std::weak_ptr<Request> request;
  // Version of the last request that passed.
  std::optional<SoftwareVersion> passed;
  Address address;
};

bool
Contains(const std::string& aText, const char* aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

// Guards against a stream that is taken up at any endpoint.
TEST_CASE_METHOD(FindStreamFixture, "A stream goes on at the version it has")
{
  this->seen.reply = FindStreamReply{ false, SoftwareVersion("v1"), true };
  CHECK(Contains(this->Call(), " 204 "));
  CHECK(this->passed == SoftwareVersion("v1"));
  REQUIRE(this->seen.finds.size() == 1);
  CHECK(this->seen.finds[0].service == ServiceName("s"));
  CHECK(this->seen.finds[0].stream ==
        ComputeStreamId(WorkspaceId("w"), ServiceName("s"), RequestId("r0")));
}

// Guards against a request that waits for its budget although its stream can't
// go on, and against a caller that comes back in vain.
TEST_CASE_METHOD(FindStreamFixture,
                 "A stream whose version has left is refused at once")
{
  this->seen.reply = FindStreamReply{ false, SoftwareVersion("v1"), true };
  this->seen.lacksVersion = true;
  const auto answer = this->Call();
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(Contains(answer, "no_endpoint_of_version"));
  CHECK(Contains(answer, "not_run"));
  CHECK_FALSE(Contains(answer, "Retry-After"));
  REQUIRE(this->seen.queries.size() == 1);
  CHECK(this->seen.queries[0].serves == "s");
  CHECK(this->seen.queries[0].isService);
  CHECK(this->seen.queries[0].version == SoftwareVersion("v1"));
}

// Guards against a request that takes up a stream without saying which one, and
// gets the version of any.
TEST_CASE_METHOD(FindStreamFixture, "A stream without a name has no id")
{
  this->description.resumes.reset();
  this->seen.reply = FindStreamReply{ false, SoftwareVersion("v1"), true };
  CHECK(Contains(this->Call(), " 204 "));
  REQUIRE(this->seen.finds.size() == 1);
  CHECK_FALSE(this->seen.finds[0].stream);
}

// Guards against a new stream that has to wait for control, or that is refused
// because of an id that it names.
TEST_CASE_METHOD(FindStreamFixture, "A request without a last event is new")
{
  this->description.lastEvent.reset();
  CHECK(Contains(this->Call(), " 204 "));
  CHECK_FALSE(this->passed);
  CHECK(this->seen.finds.empty());
}

// Guards against refusals of all streams beside control of an earlier version.
TEST_CASE_METHOD(FindStreamFixture, "A stream may be free to go on anywhere")
{
  this->seen.reply = FindStreamReply{ .isAnyVersion = true };
  CHECK(Contains(this->Call(), " 204 "));
  CHECK_FALSE(this->passed);
}

// Guards against a stream of an unknown version that is joined to another one,
// and against a caller that comes back in vain.
TEST_CASE_METHOD(FindStreamFixture, "A stream of an unknown version is refused")
{
  this->seen.reply = FindStreamReply{};
  this->seen.reply->isCertain = GENERATE(true, false);
  const auto answer = this->Call();
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(Contains(answer, "version_unknown"));
  CHECK(Contains(answer, "not_run"));
  CHECK(Contains(answer, "Retry-After: 0.5") != this->seen.reply->isCertain);
}

// Guards against what a caller leaves behind that does not wait for control.
TEST_CASE_METHOD(FindStreamFixture, "A caller that leaves ends the search")
{
  net::RawCaller caller(this->address);
  this->Send(caller);
  this->RunUntil([&] { return !this->seen.finds.empty(); });
  caller.Close();
  this->RunUntil([&] { return !this->seen.cancelled.empty(); });
  CHECK(this->seen.cancelled[0] == this->seen.finds[0].ticket);
  this->RunUntil([&] { return this->request.expired(); });
}

// Guards against streams of other workspaces and services that can be taken up.
TEST_CASE("A stream's id depends on workspace, service and request")
{
  auto id = [](const char* aWorkspace, const char* aService, const char* aId) {
    return ComputeStreamId(
      WorkspaceId(aWorkspace), ServiceName(aService), RequestId(aId));
  };
  CHECK(id("w", "s", "r") == id("w", "s", "r"));
  CHECK(id("w", "s", "r") != id("x", "s", "r"));
  CHECK(id("w", "s", "r") != id("w", "t", "r"));
  CHECK(id("w", "s", "r") != id("w", "s", "q"));
  CHECK(id("w", "sr", "") != id("w", "s", "r"));
}
