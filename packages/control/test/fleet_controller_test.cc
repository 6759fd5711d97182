#include "net_fixture.h"
#include "tasks.h"

#include <algorithm>

using namespace lycheestand;
using namespace lycheestand::control;
using namespace std::chrono_literals;

namespace {

// Takes the place of a replica that leads and commits at once.
class LeadingReplica : public net::IoTask
{
public:
  using net::IoTask::IoTask;

protected:
  caf::message_handler Handlers() override
  {
    return { [](Propose&) {
              return ProposalResult{ state::Done{}, {}, false };
            },
             [](ConfirmLeadership) {
               return LeadershipConfirmation{ true, {}, Revision() };
             },
             [](LogBudgets) {} };
  }
};

// Takes the place of the other controllers, and keeps what the fleet controller
// passes to the stream controller.
class ControllerStandIn : public net::IoTask
{
public:
  ControllerStandIn(caf::actor_config& aConfig,
                    net::Runtime aRuntime,
                    std::vector<wire::StreamReport>& aReports,
                    std::vector<wire::StreamQuery>& aQueries)
    : net::IoTask(aConfig, aRuntime)
    , reports(aReports)
    , queries(aQueries)
  {
  }

protected:
  caf::message_handler Handlers() override
  {
    return { [](LeadershipChanged&) {},
             [](EndpointsChecked&) {},
             [this](wire::StreamReport& aReport) {
               this->reports.push_back(std::move(aReport));
             },
             [this](QueryStream& aQuery) {
               this->queries.push_back(aQuery.query);
             } };
  }

private:
  std::vector<wire::StreamReport>& reports;
  std::vector<wire::StreamQuery>& queries;
};

// Takes the place of a link with a router, and keeps the messages to it.
class LinkStandIn : public net::IoTask
{
public:
  LinkStandIn(caf::actor_config& aConfig,
              net::Runtime aRuntime,
              std::vector<wire::Message>& aMessages)
    : net::IoTask(aConfig, aRuntime)
    , messages(aMessages)
  {
  }

protected:
  caf::message_handler Handlers() override
  {
    return { [this](net::LinkSend& aSend) {
              this->messages.push_back(wire::Decode(aSend.body).value());
            },
             [](net::LinkClose) {} };
  }

private:
  std::vector<wire::Message>& messages;
};

// The fleet controller of a leader, on a paused clock.
class FleetControllerFixture : public net::NetFixture
{
public:
  FleetControllerFixture()
  {
    auto replica = this->system.spawn<LeadingReplica>(this->runtime);
    auto others = this->system.spawn<ControllerStandIn>(
      this->runtime, std::ref(this->reports), std::ref(this->queries));
    this->fleet = SpawnFleetController(this->runtime, {}, replica);
    this->started = { replica, others, this->fleet };
    this->Tell(SetQuarantineController{ others });
    this->Tell(SetLimitController{ others });
    this->Tell(SetStreamController{ others });
    LeadershipChanged changed;
    changed.isLeader = true;
    this->Tell(changed);
  }

  ~FleetControllerFixture() { this->fleet = nullptr; }

  template<class Message>
  void Tell(Message aMessage)
  {
    caf::anon_send(this->fleet, std::move(aMessage));
    this->Coordinator().run();
  }

  void Receive(const wire::Message& aMessage)
  {
    this->Tell(net::LinkFrame{ this->link, wire::Encode(aMessage) });
  }

  void ConnectRouter(bool aAcceptsStreamServices)
  {
    auto task =
      this->system.spawn<LinkStandIn>(this->runtime, std::ref(this->messages));
    this->started.push_back(task);
    this->Tell(net::LinkUp{ this->link, task });
    wire::Hello hello;
    hello.protocol = wire::kProtocolVersion;
    hello.instance = InstanceId("router-1");
    hello.session = SessionId(1);
    hello.acceptsStreamServices = aAcceptsStreamServices;
    this->Receive(hello);
  }

  void PublishServices()
  {
    this->Tell(StreamServicesChanged{ { { ServiceName("chat") } } });
  }

  // The stream controller passes on an endpoint.
  void PublishEndpoint()
  {
    membership::Endpoint endpoint;
    endpoint.endpoint = EndpointId("e1");
    endpoint.version = SoftwareVersion("v1");
    this->Tell(EndpointsAdmitted{ { endpoint }, true });
    this->Advance(2s);
  }

  // Returns the position of the first message of a type that meets a condition;
  // the number of messages if there is none.
  template<class Message>
  std::size_t Find(const std::function<bool(const Message&)>& aCondition =
                     [](const Message&) { return true; }) const
  {
    auto found = std::find_if(this->messages.begin(),
                              this->messages.end(),
                              [&](const wire::Message& aMessage) {
                                const auto* body =
                                  std::get_if<Message>(&aMessage);
                                return body != nullptr && aCondition(*body);
                              });
    return static_cast<std::size_t>(found - this->messages.begin());
  }

  std::size_t FindEndpoints() const
  {
    return this->Find<wire::ViewPush>(
      [](const wire::ViewPush& aPush) { return !aPush.endpoints.empty(); });
  }

  const net::LinkId link{ 1 };
  caf::actor fleet;
  std::vector<wire::Message> messages;
  std::vector<wire::StreamReport> reports;
  std::vector<wire::StreamQuery> queries;
};

} // namespace

// Guards against first streams of a new version that a router does not report,
// since it got the endpoints before it knew that the service has two versions.
TEST_CASE_METHOD(FleetControllerFixture,
                 "A router that connects gets the services before the view")
{
  this->PublishServices();
  this->PublishEndpoint();
  this->ConnectRouter(true);
  this->Advance(2s);
  auto welcome = this->Find<wire::Welcome>(
    [](const wire::Welcome& aWelcome) { return aWelcome.recordsStreams; });
  auto services = this->Find<wire::StreamServices>();
  REQUIRE(this->FindEndpoints() < this->messages.size());
  CHECK(welcome < services);
  CHECK(services < this->FindEndpoints());
}

// The same for a router that is connected when the versions change.
TEST_CASE_METHOD(FleetControllerFixture,
                 "A connected router gets the services before the endpoints")
{
  this->ConnectRouter(true);
  this->PublishServices();
  this->PublishEndpoint();
  REQUIRE(this->FindEndpoints() < this->messages.size());
  CHECK(this->Find<wire::StreamServices>() < this->FindEndpoints());
}

// Guards against a router of an earlier version that closes its link, because
// it gets a message that it does not know.
TEST_CASE_METHOD(FleetControllerFixture,
                 "A router of an earlier version gets no services")
{
  this->PublishServices();
  this->ConnectRouter(false);
  this->PublishServices();
  this->PublishEndpoint();
  CHECK(this->FindEndpoints() < this->messages.size());
  CHECK(this->Find<wire::StreamServices>() == this->messages.size());
}

// Guards against endpoints that get requests before their version is committed.
TEST_CASE_METHOD(FleetControllerFixture,
                 "Endpoints of a reading are not sent before they are admitted")
{
  this->ConnectRouter(true);
  membership::Endpoint endpoint;
  endpoint.endpoint = EndpointId("e1");
  this->Tell(EndpointsChecked{ { endpoint } });
  this->Advance(2s);
  CHECK(this->FindEndpoints() == this->messages.size());
}

// Guards against services of an earlier time as leader, which may be outdated.
TEST_CASE_METHOD(FleetControllerFixture,
                 "A new leader sends no services of an earlier time")
{
  this->PublishServices();
  LeadershipChanged changed;
  this->Tell(changed);
  changed.isLeader = true;
  this->Tell(changed);
  this->ConnectRouter(true);
  this->Advance(2s);
  CHECK(this->Find<wire::Welcome>() < this->messages.size());
  CHECK(this->Find<wire::StreamServices>() == this->messages.size());
}

// Guards against reports and queries that get lost on their way, and against
// those of peers that have not been accepted as routers.
TEST_CASE_METHOD(FleetControllerFixture,
                 "Reports and queries of accepted routers are passed on")
{
  wire::StreamReport report{ ServiceName("chat"),
                             SoftwareVersion("v1"),
                             { StreamId(7) } };
  wire::StreamQuery query{ 5, ServiceName("chat"), StreamId(7) };
  auto task =
    this->system.spawn<LinkStandIn>(this->runtime, std::ref(this->messages));
  this->started.push_back(task);
  this->Tell(net::LinkUp{ this->link, task });
  this->Receive(report);
  this->Receive(query);
  CHECK(this->reports.empty());
  CHECK(this->queries.empty());
  this->ConnectRouter(true);
  this->Receive(report);
  this->Receive(query);
  REQUIRE(this->reports.size() == 1);
  CHECK(this->reports[0].streams == report.streams);
  REQUIRE(this->queries.size() == 1);
  CHECK(this->queries[0].query == 5);
  this->Tell(
    SendToRouter{ this->link, wire::StreamReply{ 5, SoftwareVersion("v1") } });
  CHECK(this->Find<wire::StreamReply>() < this->messages.size());
}
