#include "controllers.h"
#include "net_fixture.h"

using namespace lycheestand;
using namespace lycheestand::router;
using namespace std::chrono_literals;

namespace {

// What a recorder has received.
struct Received
{
  std::vector<ChooseEndpointReply> choices;
  // Endpoints for which a permit was requested.
  std::vector<EndpointId> permits;
  std::vector<std::set<ZoneId>> evacuations;
};

// Takes the place of the control link and of the endpoint controller, and makes
// requests for endpoints.
class Recorder : public net::IoTask
{
public:
  Recorder(caf::actor_config& aConfig,
           net::Runtime aRuntime,
           Received& aReceived)
    : net::IoTask(aConfig, aRuntime)
    , received(aReceived)
  {
  }

protected:
  caf::message_handler Handlers() override
  {
    return {
      [this](caf::actor& aController) { this->controller = aController; },
      [this](ChooseEndpoint& aChoose) {
        this->request(this->controller, caf::infinite, std::move(aChoose))
          .then([this](ChooseEndpointReply& aReply) {
            this->received.choices.push_back(std::move(aReply));
          });
      },
      [this](ToControl& aMessage) {
        if (const auto* request =
              std::get_if<wire::PermitRequest>(&aMessage.message)) {
          this->received.permits.push_back(request->endpoint);
        }
      },
      [this](SetEvacuatedZones& aSet) {
        this->received.evacuations.push_back(std::move(aSet.zones));
      },
      [](CapacityChanged&) {},
    };
  }

private:
  Received& received;
  caf::actor controller;
};

// An endpoint controller that knows one endpoint in each of the zones z1 and
// z2.
class ZoneControllerFixture : public net::NetFixture
{
public:
  ZoneControllerFixture()
    : recorder(
        this->system.spawn<Recorder>(this->runtime, std::ref(this->received)))
  {
    EndpointOptions options;
    options.policy = routing::MakeCostPolicy();
    options.pollsEndpoints = false;
    this->controller = SpawnEndpointController(
      this->runtime, this->pool, options, this->recorder);
    this->started = { this->recorder, this->controller };
    auto view = std::make_shared<membership::View>();
    view->Update({},
                 { { EndpointId("e1"), ZoneId("z1"), {}, "s", true },
                   { EndpointId("e2"), ZoneId("z2"), {}, "s", true } });
    this->Tell(this->recorder, this->controller);
    this->Tell(this->controller, this->recorder);
    this->Tell(this->controller, ViewChanged{ view });
  }

  template<class Message>
  void Tell(const caf::actor& aTask, Message aMessage)
  {
    caf::anon_send(aTask, std::move(aMessage));
    this->Coordinator().run();
  }

  void Choose(unsigned aAttempts, std::set<EndpointId> aExcluded = {})
  {
    ChooseEndpoint choose;
    choose.ticket = NextTicket();
    choose.query.serves = "s";
    choose.query.isService = true;
    choose.query.excluded = std::move(aExcluded);
    choose.maxInFlight = 8;
    choose.attempts = aAttempts;
    this->Tell(this->recorder, choose);
  }

  void Evacuate(const EndpointId& aEndpoint)
  {
    std::string zone = "z" + aEndpoint.Get().substr(1);
    this->Tell(this->controller, SetEvacuatedZones{ { ZoneId(zone) } });
  }

  void GrantPermit(const EndpointId& aEndpoint)
  {
    this->Tell(this->controller,
               FromControl{ wire::PermitReply{ aEndpoint, 1, {} } });
  }

  Received received;
  caf::actor recorder;
  caf::actor controller;
};

} // namespace

// Guards against a permit, granted after the order, that lets a request reach
// an evacuated zone.
TEST_CASE_METHOD(ZoneControllerFixture,
                 "A request that waits for a permit leaves an evacuated zone")
{
  wire::LimitState limits;
  for (const char* endpoint : { "e1", "e2" }) {
    limits.limits.push_back({ EndpointId(endpoint), RequestRate(5) });
  }
  this->Tell(this->controller,
             PermitSourceChanged{ limits::PermitSource::Control });
  this->Tell(this->controller, FromControl{ limits });
  this->Choose(0);
  REQUIRE(this->received.permits.size() == 1);
  const EndpointId first = this->received.permits[0];
  this->Evacuate(first);
  REQUIRE(this->received.permits.size() == 2);
  const EndpointId second = this->received.permits[1];
  CHECK(second != first);
  this->GrantPermit(first);
  CHECK(this->received.choices.empty());
  this->GrantPermit(second);
  REQUIRE(this->received.choices.size() == 1);
  CHECK(this->received.choices[0].endpoint == second);

  // Without another endpoint, the request is refused at once.
  this->Choose(0, { first });
  REQUIRE(this->received.permits.size() == 3);
  this->Evacuate(second);
  REQUIRE(this->received.choices.size() == 2);
  CHECK_FALSE(this->received.choices[1].endpoint);
}

// Guards against a retry that was paused before the order and reaches an
// evacuated zone after it.
TEST_CASE_METHOD(ZoneControllerFixture,
                 "A paused retry avoids an evacuated zone")
{
  this->Choose(1, { EndpointId("e2") });
  this->Choose(1);
  CHECK(this->received.choices.empty());
  this->Evacuate(EndpointId("e1"));
  this->Advance(1s);
  REQUIRE(this->received.choices.size() == 2);
  for (const auto& choice : this->received.choices) {
    CHECK(choice.endpoint != EndpointId("e1"));
  }
  this->Tell(this->controller, SetEvacuatedZones{});
  this->Choose(0, { EndpointId("e2") });
  CHECK(this->received.choices.back().endpoint == EndpointId("e1"));
}

// Guards against a router that does not hand evacuations on, or does so for
// every new configuration.
TEST_CASE_METHOD(ZoneControllerFixture,
                 "The evacuated zones of a new configuration take effect")
{
  auto configuration = SpawnConfigurationController(
    this->runtime, 5s, RouteTableReader(), this->recorder);
  this->started.push_back(configuration);
  std::uint64_t revision = 0;
  auto push = [&](const std::set<ZoneId>& aZones) {
    this->Tell(configuration,
               FromControl{ wire::ConfigPush{
                 Revision(++revision),
                 Revision(0),
                 settings::FormatFleetSnapshot("", {}, "", aZones) } });
  };
  const std::set<ZoneId> zones{ ZoneId("z1") };
  push({});
  push(zones);
  push(zones);
  push({});
  CHECK(this->received.evacuations ==
        std::vector<std::set<ZoneId>>{ zones, {} });
}

// Guards against retries that are used up by choices which lead to no attempt,
// so that a request whose endpoint has failed is not retried.
TEST_CASE_METHOD(ZoneControllerFixture,
                 "A choice without an endpoint uses up no retry")
{
  for (int i = 0; i < 30; ++i) {
    this->Choose(1, { EndpointId("e1"), EndpointId("e2") });
    this->Advance(500ms);
  }
  this->received.choices.clear();
  this->Choose(1, { EndpointId("e1") });
  this->Advance(1s);
  REQUIRE(this->received.choices.size() == 1);
  CHECK(this->received.choices[0].endpoint);
}
