#include "controllers.h"
#include "net_fixture.h"

using namespace lycheestand;
using namespace lycheestand::router;
using namespace std::chrono_literals;

namespace {

const ServiceName kService("s");
const SoftwareVersion kVersion("v1");

// What was sent to control, and the answers to requests.
struct StreamExchange
{
  std::vector<wire::Message> toControl;
  std::vector<FindStreamReply> replies;
};

// Takes the place of the control link and of requests.
class StreamLinkStandIn : public net::IoTask
{
public:
  StreamLinkStandIn(caf::actor_config& aConfig,
                    net::Runtime aRuntime,
                    StreamExchange& aExchange)
    : net::IoTask(aConfig, aRuntime)
    , exchange(aExchange)
  {
  }

protected:
  caf::message_handler Handlers() override
  {
    return { [this](caf::actor& aController) {
              this->controller = aController;
            },
             [this](FindStream& aFind) {
               this->request(this->controller, caf::infinite, std::move(aFind))
                 .then([this](const FindStreamReply& aReply) {
                   this->exchange.replies.push_back(aReply);
                 });
             },
             [this](ToControl& aMessage) {
               this->exchange.toControl.push_back(std::move(aMessage.message));
             } };
  }

private:
  StreamExchange& exchange;
  caf::actor controller;
};

// A router's stream controller on a paused clock.
class StreamControllerFixture : public net::NetFixture
{
public:
  StreamControllerFixture()
    : link(this->system.spawn<StreamLinkStandIn>(this->runtime,
                                                 std::ref(this->exchange)))
    , controller(SpawnStreamController(this->runtime))
  {
    this->started = { this->link, this->controller };
    this->Tell(this->link, this->controller);
    this->Tell(this->controller, this->link);
  }

  template<class Message>
  void Tell(const caf::actor& aTask, Message aMessage)
  {
    caf::anon_send(aTask, std::move(aMessage));
    this->Coordinator().run();
  }

  void SetSource(StreamSource aSource)
  {
    this->Tell(this->controller, StreamSourceChanged{ aSource });
  }

  void SetServices(std::vector<ServiceName> aServices)
  {
    this->Tell(this->controller,
               FromControl{ wire::StreamServices{ std::move(aServices) } });
  }

  void Begin(std::uint64_t aStream)
  {
    this->Tell(this->controller,
               StreamBegan{ kService, StreamId(aStream), kVersion });
  }

  void Find(std::optional<StreamId> aStream)
  {
    this->Tell(this->link,
               FindStream{ Ticket(++this->lastTicket), kService, aStream });
  }

  void Reply(std::optional<SoftwareVersion> aVersion)
  {
    this->Tell(this->controller,
               FromControl{ wire::StreamReply{ this->lastTicket, aVersion } });
  }

  // Returns the messages of one kind that were sent to control.
  template<class Message>
  std::vector<Message> Sent() const
  {
    std::vector<Message> sent;
    for (const auto& message : this->exchange.toControl) {
      if (const auto* found = std::get_if<Message>(&message)) {
        sent.push_back(*found);
      }
    }
    return sent;
  }

  // Requires that the last request has got this answer and no other one.
  void CheckReply(std::optional<SoftwareVersion> aVersion, bool aIsCertain)
  {
    REQUIRE(this->exchange.replies.size() == this->lastTicket);
    const auto& reply = this->exchange.replies.back();
    CHECK_FALSE(reply.isAnyVersion);
    CHECK(reply.version == aVersion);
    CHECK(reply.isCertain == aIsCertain);
  }

  // Advances the clock in one step.
  void AdvanceBy(Duration aTime)
  {
    this->Coordinator().advance_time(aTime);
    this->Coordinator().run();
  }

  StreamExchange exchange;
  caf::actor link;
  caf::actor controller;
  std::uint64_t lastTicket = 0;
};

} // namespace

// Guards against a router without contact that refuses the streams that it has
// begun itself.
TEST_CASE_METHOD(StreamControllerFixture,
                 "A router knows the streams that it has begun")
{
  this->Advance(5s);
  this->Begin(1);
  this->Find(StreamId(1));
  this->CheckReply(kVersion, true);
  CHECK(this->exchange.toControl.empty());
}

// Guards against a request that waits for control, which has been out of
// contact for long.
TEST_CASE_METHOD(StreamControllerFixture,
                 "Without contact an unknown stream is refused")
{
  SECTION("at once if contact was lost long ago")
  {
    this->Advance(2s);
    this->Find(StreamId(1));
  }
  SECTION("after a wait if it was lost just now")
  {
    this->SetSource(StreamSource::Control);
    this->Advance(5s);
    this->SetSource(StreamSource::None);
    this->Find(StreamId(1));
    this->Advance(500ms);
    CHECK(this->exchange.replies.empty());
    this->Advance(500ms);
  }
  this->CheckReply({}, false);
}

// Guards against a stream that is refused because its router was just
// connecting to a new leader, or because that has not got all reports yet.
TEST_CASE_METHOD(StreamControllerFixture, "Control is asked on the next link")
{
  this->SetSource(StreamSource::Control);
  this->Find(StreamId(7));
  this->Reply({});
  this->SetSource(StreamSource::None);
  CHECK(this->Sent<wire::StreamQuery>().size() == 1);
  this->SetSource(StreamSource::Control);
  REQUIRE(this->Sent<wire::StreamQuery>().size() == 2);
  const auto query = this->Sent<wire::StreamQuery>().back();
  CHECK(query.query == this->lastTicket);
  CHECK(query.service == kService);
  CHECK(query.stream == StreamId(7));
  this->Reply({});
  CHECK(this->exchange.replies.empty());
  this->Advance(500ms);
  CHECK(this->Sent<wire::StreamQuery>().size() == 3);
  this->Reply(kVersion);
  this->CheckReply(kVersion, true);
}

// Guards against a stream that is refused because its router's report was on
// its way, and against a wait that does not end.
TEST_CASE_METHOD(StreamControllerFixture, "Control is asked once more")
{
  this->SetSource(StreamSource::Control);
  this->Find({});
  this->Reply({});
  CHECK(this->exchange.replies.empty());
  this->Advance(500ms);
  REQUIRE(this->Sent<wire::StreamQuery>().size() == 2);
  CHECK_FALSE(this->Sent<wire::StreamQuery>().back().stream);
  SECTION("it does not know the stream")
  {
    this->Reply({});
    this->CheckReply({}, true);
  }
  SECTION("it does not reply")
  {
    this->Advance(500ms);
    this->CheckReply({}, false);
    // A late reply is for nobody.
    this->Reply(kVersion);
    this->CheckReply({}, false);
  }
  SECTION("the request has ended")
  {
    this->Tell(this->controller, CancelFindStream{ Ticket(this->lastTicket) });
    this->CheckReply({}, false);
    this->Reply(kVersion);
    this->CheckReply({}, false);
  }
  this->Advance(5s);
  CHECK(this->Sent<wire::StreamQuery>().size() == 2);
}

// Guards against streams that can't be taken up while routers of this version
// run beside control of an earlier one.
TEST_CASE_METHOD(StreamControllerFixture,
                 "Control of an earlier version lets streams go on anywhere")
{
  this->Find(StreamId(1));
  this->SetSource(StreamSource::Unrecorded);
  REQUIRE(this->exchange.replies.size() == 1);
  CHECK(this->exchange.replies.back().isAnyVersion);
  this->Find(StreamId(2));
  REQUIRE(this->exchange.replies.size() == 2);
  CHECK(this->exchange.replies.back().isAnyVersion);
  this->SetServices({ kService });
  this->Begin(1);
  this->Advance(1s);
  CHECK(this->exchange.toControl.empty());
}

// Guards against streams that control does not know when another router takes
// them up, and against reports that are made twice on one link.
TEST_CASE_METHOD(StreamControllerFixture,
                 "Streams are reported once on each link")
{
  this->Begin(1);
  this->SetSource(StreamSource::Control);
  this->SetServices({ kService });
  for (std::uint64_t i = 2; i <= 2000; ++i) {
    this->Begin(i);
  }
  this->Advance(500ms);
  auto sent = this->Sent<wire::StreamReport>();
  REQUIRE(sent.size() == 3);
  CHECK(sent[0].service == kService);
  CHECK(sent[0].version == kVersion);
  CHECK(sent[0].streams == std::vector{ StreamId(1) });
  CHECK(sent[1].streams.size() == 1024);
  CHECK(sent[1].streams.front() == StreamId(2));
  CHECK(sent[2].streams.size() == 975);
  // The leader keeps what it got on this link.
  this->SetServices({});
  this->SetServices({ kService });
  this->Advance(1s);
  CHECK(this->Sent<wire::StreamReport>().size() == 3);
  // A new leader may lack them.
  this->SetSource(StreamSource::None);
  this->Begin(2001);
  this->Advance(1s);
  CHECK(this->Sent<wire::StreamReport>().size() == 3);
  this->SetSource(StreamSource::Control);
  this->Advance(500ms);
  sent = this->Sent<wire::StreamReport>();
  REQUIRE(sent.size() == 5);
  CHECK(sent[3].streams.size() == 1024);
  CHECK(sent[4].streams.size() == 977);
  CHECK(sent[4].streams.back() == StreamId(2001));
}

// Guards against streams of a service with one version that nobody knows after
// the death of their routers when it gets a second one, and against as many
// messages without a release as during one.
TEST_CASE_METHOD(StreamControllerFixture,
                 "Without several versions streams are reported more rarely")
{
  this->SetSource(StreamSource::Control);
  this->Begin(1);
  this->AdvanceBy(1900ms);
  CHECK(this->exchange.toControl.empty());
  SECTION("at the end of the interval")
  {
    this->AdvanceBy(100ms);
    CHECK(this->Sent<wire::StreamReport>().size() == 1);
  }
  SECTION("at once when there is a service with several versions")
  {
    this->SetServices({ kService });
    CHECK(this->Sent<wire::StreamReport>().size() == 1);
    // The earlier interval is over, so that the next one counts in full.
    this->AdvanceBy(50ms);
    this->Begin(2);
    this->AdvanceBy(50ms);
    CHECK(this->Sent<wire::StreamReport>().size() == 1);
    this->AdvanceBy(50ms);
    CHECK(this->Sent<wire::StreamReport>().size() == 2);
    this->Begin(3);
    this->AdvanceBy(100ms);
    CHECK(this->Sent<wire::StreamReport>().size() == 3);
    // The interval that was cut short sends nothing at its end.
    this->Advance(3s);
    CHECK(this->Sent<wire::StreamReport>().size() == 3);
  }
  for (const auto& report : this->Sent<wire::StreamReport>()) {
    CHECK(report.streams.size() == 1);
  }
}
