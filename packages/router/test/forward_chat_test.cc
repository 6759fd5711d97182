#include "forward.h"
#include "net_fixture.h"

#include <array>

using namespace lycheestand;
using namespace lycheestand::router;
using namespace std::chrono_literals;

namespace {

// The engines that are chosen in turn, each of a version of its own, and the
// versions that were asked for. No engine is chosen while lacksVersion is set
// and a version is asked for.
struct EngineChoices
{
  std::vector<Address> engines;
  std::vector<std::optional<SoftwareVersion>> versions;
  bool lacksVersion = false;
};

// Stands in for the endpoint controller, and for a quarantine of nothing.
class EngineChooser : public net::IoTask
{
public:
  EngineChooser(caf::actor_config& aConfig,
                net::Runtime aRuntime,
                EngineChoices& aChoices)
    : net::IoTask(aConfig, aRuntime)
    , choices(aChoices)
  {
  }

protected:
  caf::message_handler Handlers() override
  {
    return { [this](ChooseEndpoint& aChoose) { return this->Choose(aChoose); },
             [](CallFinished&) {},
             [](CallTimed&) {},
             [](CheckRequest&) { return CheckRequestReply{}; },
             [](CrashSuspected&) {},
             [](RequestSucceeded&) {} };
  }

private:
  ChooseEndpointReply Choose(const ChooseEndpoint& aChoose)
  {
    this->choices.versions.push_back(aChoose.query.version);
    ChooseEndpointReply reply;
    auto tried = aChoose.query.excluded.size();
    reply.lacksVersion = this->choices.lacksVersion && aChoose.query.version;
    if (tried < this->choices.engines.size() && !reply.lacksVersion) {
      auto number = std::to_string(tried + 1);
      reply.endpoint = EndpointId("e" + number);
      reply.version = SoftwareVersion("v" + number);
      reply.address = this->choices.engines[tried];
    }
    return reply;
  }

  EngineChoices& choices;
};

// Forwards a streamed chat to three engines.
class ChatFixture : public net::NetFixture
{
public:
  ChatFixture()
  {
    for (auto& engine : this->engines) {
      this->choices.engines.push_back(engine.GetAddress());
    }
    this->chooser =
      this->system.spawn<EngineChooser>(this->runtime, std::ref(this->choices));
    this->started.push_back(this->chooser);
    this->address = this->Serve([this](const net::ExchangePtr& aExchange) {
      auto request = std::make_shared<Request>();
      request->exchange = aExchange;
      request->controllers.endpoint = this->chooser;
      request->controllers.quarantine = this->chooser;
      request->digest = RequestDigest(1);
      request->id = RequestId("r");
      request->ticket = NextTicket();
      request->startedAt = net::Now(this->runtime);
      request->reserved = Tokens(1000);
      auto snapshot = std::make_shared<settings::FleetSnapshot>();
      snapshot->settings.models[ModelName("m")] = {};
      request->snapshot = snapshot;
      ChatCall call;
      call.model = ModelName("m");
      call.body = R"({"model":"m","messages":[],"stream":true})";
      call.stream = true;
      call.maxOutput = Tokens(100);
      request->call = std::move(call);
      aExchange->OnDisconnect(
        [request](net::Disconnect aHow) { EndDisconnected(request, aHow); });
      ForwardChat(request);
    });
  }

  void Start(net::RawCaller& aCaller)
  {
    aCaller.Send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}");
    this->RunUntil([&] { return this->engines[0].Accept(); });
  }

  // An engine sends text and breaks off. Without text only its head comes.
  void Break(std::size_t aEngine, const std::string& aText)
  {
    std::string data;
    if (!aText.empty()) {
      data =
        R"(data: {"choices":[{"delta":{"content":")" + aText + "\"}}]}\n\n";
    }
    this->engines.at(aEngine).Send("HTTP/1.1 200 OK\r\n"
                                   "Content-Length: 10000\r\n\r\n" +
                                   data);
    this->RunUntil([rounds = 0]() mutable { return ++rounds > 40; });
    this->engines.at(aEngine).Close();
  }

  std::array<net::RawEndpoint, 3> engines;
  EngineChoices choices;
  caf::actor chooser;
  Address address;
};

} // namespace

// Guards against a text that two versions of software have written.
TEST_CASE_METHOD(ChatFixture, "A chat goes on at the version that began it")
{
  net::RawCaller caller(this->address);
  this->Start(caller);
  this->Break(0, "");
  this->RunUntil([&] { return this->engines[1].Accept(); });
  this->Break(1, "Hello");
  this->RunUntil([&] { return this->engines[2].Accept(); });
  CHECK(this->choices.versions == std::vector<std::optional<SoftwareVersion>>{
                                    {}, {}, SoftwareVersion("v2") });
}

// Guards against a chat that goes on at another version, or waits, since its
// own has left.
TEST_CASE_METHOD(ChatFixture, "A chat ends if its version has no engine")
{
  this->choices.lacksVersion = true;
  net::RawCaller caller(this->address);
  this->Start(caller);
  this->Break(0, "Hello");
  this->RunUntil(
    [&] { return caller.Received().find("interrupted") != std::string::npos; });
  CHECK(this->choices.versions.size() == 2);
  CHECK(caller.Received().find("Hello") != std::string::npos);
}
