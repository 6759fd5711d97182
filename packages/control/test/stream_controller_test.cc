#include "net_fixture.h"
#include "tasks.h"

using namespace lycheestand;
using namespace lycheestand::control;
using namespace std::chrono_literals;

namespace {

const ServiceName kChat{ "chat" };
const SoftwareVersion kFirst{ "v1" };
const SoftwareVersion kSecond{ "v2" };

enum class ProposalMode
{
  Commit,
  // No quorum answers, so there is no outcome.
  Stall,
  // The instance is no longer the leader.
  Refuse
};

// What the tasks beside the stream controller have and have got.
struct ControlWorld
{
  state::StateMachine machine;
  ProposalMode mode = ProposalMode::Commit;
  StreamSupport support = StreamSupport::Complete;
  std::vector<state::Command> proposals;
  // Ids of the endpoints that were delivered last.
  std::vector<std::string> endpoints;
  std::vector<SoftwareVersion> versions;
  bool isRead = false;
  // The services that routers were told, and those of the time when the
  // endpoints were delivered.
  std::vector<ServiceName> services;
  bool hasServices = false;
  std::vector<ServiceName> servicesAtDelivery;
  std::vector<wire::StreamReply> replies;
};

// Takes the place of the replica.
class ReplicaStandIn : public net::IoTask
{
public:
  ReplicaStandIn(caf::actor_config& aConfig,
                 net::Runtime aRuntime,
                 ControlWorld& aWorld)
    : net::IoTask(aConfig, aRuntime)
    , world(aWorld)
  {
  }

protected:
  caf::message_handler Handlers() override
  {
    return { [this](caf::actor& aController) {
              this->controller = aController;
            },
             [this](Propose& aPropose) { return this->Handle(aPropose); },
             [this](FindStream& aFind) {
               return FoundStream{ true,
                                   this->world.machine.Streams().Find(
                                     aFind.service, aFind.stream) };
             } };
  }

private:
  caf::typed_response_promise<ProposalResult> Handle(Propose& aPropose)
  {
    auto promise = this->make_response_promise<ProposalResult>();
    this->world.proposals.push_back(aPropose.command);
    if (this->world.mode == ProposalMode::Stall) {
      this->stalled.push_back(promise);
    } else if (this->world.mode == ProposalMode::Refuse) {
      promise.deliver(ProposalResult{});
    } else {
      auto before = this->world.machine.Streams().VersionChanges();
      auto outcome = this->world.machine.Apply(aPropose.command);
      const auto& streams = this->world.machine.Streams();
      if (streams.VersionChanges() != before) {
        this->send(this->controller,
                   StreamVersionsChanged{ streams.AllVersions(),
                                          streams.RecordCount(),
                                          this->world.support });
      }
      promise.deliver(ProposalResult{ outcome, {}, false });
    }
    return promise;
  }

  ControlWorld& world;
  caf::actor controller;
  std::vector<caf::typed_response_promise<ProposalResult>> stalled;
};

// Takes the place of the fleet controller for the stream controller.
class StreamFleetStandIn : public net::IoTask
{
public:
  StreamFleetStandIn(caf::actor_config& aConfig,
                     net::Runtime aRuntime,
                     ControlWorld& aWorld)
    : net::IoTask(aConfig, aRuntime)
    , world(aWorld)
  {
  }

protected:
  caf::message_handler Handlers() override
  {
    return { [this](StreamServicesChanged& aChanged) {
              this->world.services = std::move(aChanged.services.services);
              this->world.hasServices = true;
            },
             [this](EndpointsAdmitted& aAdmitted) {
               this->world.endpoints.clear();
               this->world.versions.clear();
               for (const auto& endpoint : aAdmitted.endpoints) {
                 this->world.endpoints.push_back(endpoint.endpoint.Get());
                 this->world.versions.push_back(endpoint.version);
               }
               this->world.isRead = aAdmitted.isRead;
               this->world.servicesAtDelivery = this->world.services;
             },
             [this](SendToRouter& aSend) {
               this->world.replies.push_back(
                 std::get<wire::StreamReply>(aSend.message));
             } };
  }

private:
  ControlWorld& world;
};

// The stream controller of an instance that does not lead yet, on a paused
// clock.
class StreamControllerFixture : public net::NetFixture
{
public:
  StreamControllerFixture()
  {
    auto replica =
      this->system.spawn<ReplicaStandIn>(this->runtime, std::ref(this->world));
    auto fleet = this->system.spawn<StreamFleetStandIn>(this->runtime,
                                                        std::ref(this->world));
    this->controller = SpawnStreamController(this->runtime, replica, fleet);
    this->started = { replica, fleet, this->controller };
    caf::anon_send(replica, this->controller);
  }

  ~StreamControllerFixture() { this->controller = nullptr; }

  template<class Message>
  void Tell(Message aMessage)
  {
    caf::anon_send(this->controller, std::move(aMessage));
    this->Coordinator().run();
  }

  void Lead(bool aIsLeader = true)
  {
    LeadershipChanged changed;
    changed.isLeader = aIsLeader;
    this->Tell(changed);
    if (aIsLeader) {
      this->SetSupport(this->world.support);
    }
  }

  void SetSupport(StreamSupport aSupport)
  {
    this->world.support = aSupport;
    const auto& streams = this->world.machine.Streams();
    this->Tell(StreamVersionsChanged{
      streams.AllVersions(), streams.RecordCount(), aSupport });
  }

  void Admit(const SoftwareVersion& aVersion)
  {
    this->world.machine.Apply(state::AdmitVersion{ kChat, aVersion });
  }

  // Takes a reading of the list, with endpoints that are named by their
  // versions.
  void Read(const std::vector<SoftwareVersion>& aVersions)
  {
    EndpointsChecked checked;
    for (const auto& version : aVersions) {
      membership::Endpoint endpoint;
      endpoint.endpoint = EndpointId("e-" + version.Get());
      endpoint.serves = kChat.Get();
      endpoint.isService = true;
      endpoint.version = version;
      checked.endpoints.push_back(endpoint);
    }
    this->Tell(checked);
  }

  void Report(const SoftwareVersion& aVersion, std::uint64_t aStream)
  {
    this->Tell(wire::StreamReport{ kChat, aVersion, { StreamId(aStream) } });
    this->Advance(500ms);
  }

  std::optional<SoftwareVersion> Ask(std::uint64_t aStream)
  {
    this->Tell(QueryStream{ net::LinkId(1),
                            { ++this->lastQuery, kChat, StreamId(aStream) } });
    REQUIRE(!this->world.replies.empty());
    REQUIRE(this->world.replies.back().query == this->lastQuery);
    return this->world.replies.back().version;
  }

  template<class Command>
  std::size_t CountProposals() const
  {
    std::size_t count = 0;
    for (const auto& command : this->world.proposals) {
      count += std::holds_alternative<Command>(command) ? 1 : 0;
    }
    return count;
  }

  ControlWorld world;
  caf::actor controller;
  std::uint64_t lastQuery = 0;
  const std::vector<std::string> onlyFirst{ "e-v1" };
  const std::vector<std::string> both{ "e-v1", "e-v2" };
};

} // namespace

// Guards against streams that begin at a version that the replicated state does
// not have, so that they go on anywhere after a failure; and against endpoints
// that wait for the admission of others.
TEST_CASE_METHOD(StreamControllerFixture,
                 "Endpoints get requests once their version is committed")
{
  this->Admit(kFirst);
  this->Lead();
  this->Read({ kFirst });
  REQUIRE(this->world.endpoints == this->onlyFirst);
  this->world.mode = ProposalMode::Stall;
  this->Read({ kFirst, kSecond });
  CHECK(this->world.endpoints == this->onlyFirst);
  CHECK(this->CountProposals<state::AdmitVersion>() == 1);
  this->Admit(kSecond);
  CHECK(this->world.services.empty());
  this->Tell(
    StreamVersionsChanged{ this->world.machine.Streams().AllVersions(), 0 });
  CHECK(this->world.endpoints == this->both);
  CHECK(this->world.servicesAtDelivery == std::vector{ kChat });
}

// Guards against a version that never serves because one proposal failed, and
// against a proposal with every reading while one is on its way.
TEST_CASE_METHOD(StreamControllerFixture,
                 "A failed admission is repeated with the next reading")
{
  this->Lead();
  this->world.mode = ProposalMode::Refuse;
  this->Read({ kFirst });
  this->world.mode = ProposalMode::Stall;
  this->Read({ kFirst });
  this->Read({ kFirst });
  CHECK(this->CountProposals<state::AdmitVersion>() == 2);
  this->Lead(false);
  this->world.mode = ProposalMode::Commit;
  this->Lead();
  this->Read({ kFirst });
  CHECK(this->world.endpoints == this->onlyFirst);
}

// Guards against a new leader that takes endpoints away from routers while it
// commits their versions.
TEST_CASE_METHOD(StreamControllerFixture,
                 "A new leader's first list waits for its versions")
{
  this->Admit(kFirst);
  this->Lead();
  this->world.mode = ProposalMode::Stall;
  this->Read({ kFirst, kSecond });
  this->Advance(3s);
  CHECK(!this->world.isRead);
  CHECK(this->world.endpoints.empty());
  this->Advance(1s);
  CHECK(this->world.isRead);
  CHECK(this->world.endpoints == this->onlyFirst);
}

// Guards against a leader that can commit and waits nevertheless.
TEST_CASE_METHOD(StreamControllerFixture,
                 "A first list is delivered when its versions are committed")
{
  this->Lead();
  this->Read({ kFirst, kSecond });
  CHECK(this->world.endpoints == this->both);
  CHECK(this->world.isRead);
  CHECK(this->world.services == std::vector{ kChat });
}

// Guards against requests at a version that was retired while another instance
// led.
TEST_CASE_METHOD(StreamControllerFixture,
                 "Endpoints from an earlier time as leader are checked again")
{
  this->Lead();
  this->Read({ kFirst, kSecond });
  this->Lead(false);
  this->world.machine.Apply(state::RetireVersion{ kChat, kSecond });
  this->Lead();
  CHECK(this->world.endpoints == this->onlyFirst);
  CHECK(!this->world.isRead);
}

// Guards against a version that stays in the register, so that streams are
// recorded for good, and against one that leaves it too early.
TEST_CASE_METHOD(StreamControllerFixture,
                 "A version that left the list is retired after ten minutes")
{
  this->Lead();
  this->Read({ kFirst, kSecond });
  this->Read({ kSecond });
  this->Advance(10min - 1s);
  this->Read({ kSecond });
  CHECK(this->world.services == std::vector{ kChat });
  this->Advance(1s);
  this->Read({ kSecond });
  CHECK(this->world.services.empty());
  CHECK(this->Ask(1) == kSecond);
}

// Guards against a stream that is joined from two versions since its version
// returns to the list while the proposal to retire it is on its way: routers
// would begin streams at a version that the next commit removes.
TEST_CASE_METHOD(StreamControllerFixture,
                 "A version that is being retired gets no requests")
{
  this->Lead();
  this->Read({ kFirst, kSecond });
  this->Read({ kSecond });
  this->Advance(10min);
  this->world.mode = ProposalMode::Stall;
  this->Read({ kSecond });
  REQUIRE(this->CountProposals<state::RetireVersion>() == 1);
  this->Read({ kFirst, kSecond });
  CHECK(this->world.endpoints == std::vector<std::string>{ "e-v2" });
}

// Guards against a stream that is joined from two versions since a router
// without contact went on with the endpoints of a version that left the list
// long ago.
TEST_CASE_METHOD(StreamControllerFixture,
                 "A stream of a version that has left stays at it")
{
  this->Lead();
  this->Read({ kFirst, kSecond });
  this->Read({ kSecond });
  SECTION("it is reported before its version is retired")
  {
    this->Advance(10min - 1s);
    this->Report(kFirst, 7);
    REQUIRE(this->Ask(7) == kFirst);
    this->Advance(1s);
    this->Read({ kSecond });
  }
  SECTION("it is reported afterwards")
  {
    this->Advance(10min);
    this->Read({ kSecond });
    this->Report(kFirst, 7);
  }
  CHECK(this->Ask(7) != kSecond);
}

// Guards against reports that are not committed, and against answers that name
// a version which is not.
TEST_CASE_METHOD(StreamControllerFixture,
                 "A reported stream is known once it is committed")
{
  this->Lead();
  this->Read({ kFirst, kSecond });
  this->Report(kSecond, 7);
  CHECK(this->Ask(7) == kSecond);
  CHECK(this->Ask(8) == std::nullopt);
  this->world.mode = ProposalMode::Stall;
  this->Report(kFirst, 8);
  CHECK(this->Ask(8) == std::nullopt);
}

// Guards against a report that is taken for a repeated one although the leader
// that had it could not commit it, and against a proposal that blocks later
// ones after a change of leadership.
TEST_CASE_METHOD(StreamControllerFixture,
                 "A report whose leader was lost is accepted again")
{
  this->Lead();
  this->Read({ kFirst, kSecond });
  this->world.mode = ProposalMode::Stall;
  this->Report(kFirst, 7);
  this->Lead(false);
  this->Report(kFirst, 7);
  this->world.mode = ProposalMode::Commit;
  this->Lead();
  REQUIRE(this->Ask(7) == std::nullopt);
  this->Report(kFirst, 7);
  CHECK(this->Ask(7) == kFirst);
}

// Guards against a command for each report, and against one command without a
// bound after many routers have connected.
TEST_CASE_METHOD(StreamControllerFixture, "Reports are committed in batches")
{
  this->Lead();
  this->Read({ kFirst, kSecond });
  std::vector<StreamId> many;
  for (std::uint64_t stream = 0; stream < 10000; ++stream) {
    many.emplace_back(stream);
  }
  this->Tell(wire::StreamReport{ kChat, kFirst, many });
  this->Tell(wire::StreamReport{ kChat, kSecond, { StreamId(10000) } });
  this->Tell(wire::StreamReport{ kChat, kSecond, { StreamId(10001) } });
  this->Advance(500ms);
  CHECK(this->CountProposals<state::RecordStreams>() == 3);
  CHECK(this->Ask(9999) == kFirst);
  CHECK(this->Ask(10001) == kSecond);
}

// Guards against records that are dropped early or kept for good, and against
// a log that grows while there is nothing to do.
TEST_CASE_METHOD(StreamControllerFixture, "Records live for one to two minutes")
{
  this->Lead();
  this->Read({ kFirst, kSecond });
  this->Advance(180s);
  CHECK(this->CountProposals<state::AgeStreams>() == 0);
  this->Report(kFirst, 7);
  this->Advance(59s);
  CHECK(this->Ask(7) == kFirst);
  this->Advance(61s);
  CHECK(this->Ask(7) == std::nullopt);
  auto proposals = this->world.proposals.size();
  this->Advance(180s);
  CHECK(this->world.proposals.size() == proposals);
}

// Guards against streams that nobody knows because their routers died before
// their service got its second version, and against a log that grows with the
// streams of services with one version.
TEST_CASE_METHOD(StreamControllerFixture,
                 "Streams are recorded when the second version is admitted")
{
  this->Lead();
  this->Read({ kFirst });
  this->Report(kFirst, 7);
  this->Tell(
    wire::StreamReport{ ServiceName("other"), kFirst, { StreamId(8) } });
  this->Advance(10s);
  REQUIRE(this->CountProposals<state::RecordStreams>() == 0);
  SECTION("in time")
  {
    this->Read({ kFirst, kSecond });
    this->Advance(500ms);
    REQUIRE(this->CountProposals<state::RecordStreams>() == 1);
    const auto& command =
      std::get<state::RecordStreams>(this->world.proposals.back());
    REQUIRE(command.batches.size() == 1);
    CHECK(command.batches[0].service == kChat);
    CHECK(command.batches[0].version == kFirst);
    CHECK(command.batches[0].streams == std::vector{ StreamId(7) });
    CHECK(this->Ask(7) == kFirst);
    // Each is recorded once.
    this->Read({ kFirst, kSecond });
    this->SetSupport(StreamSupport::Complete);
    this->Advance(500ms);
    CHECK(this->CountProposals<state::RecordStreams>() == 1);
  }
  SECTION("a minute later")
  {
    this->Advance(50s);
    this->Read({ kFirst, kSecond });
    this->Advance(500ms);
    CHECK(this->CountProposals<state::RecordStreams>() == 0);
  }
  SECTION("by a leader that has not got them")
  {
    this->Lead(false);
    this->Report(kFirst, 9);
    this->Lead();
    this->Read({ kFirst, kSecond });
    this->Advance(500ms);
    CHECK(this->CountProposals<state::RecordStreams>() == 0);
  }
}

// Guards against streams that nobody knows because they began while their
// service had one version for a while.
TEST_CASE_METHOD(StreamControllerFixture,
                 "Streams are recorded when a version comes back")
{
  this->Lead();
  this->Read({ kFirst, kSecond });
  this->Read({ kFirst });
  this->world.machine.Apply(state::RetireVersion{ kChat, kSecond });
  this->SetSupport(StreamSupport::Complete);
  REQUIRE(this->world.services.empty());
  this->Report(kFirst, 7);
  REQUIRE(this->world.machine.Streams().RecordCount() == 0);
  this->Read({ kFirst, kSecond });
  this->Advance(500ms);
  CHECK(this->Ask(7) == kFirst);
  CHECK(this->Ask(8) == std::nullopt);
}

// Guards against a stream that goes on at another version, because the only
// version of its service was another one when the leader got to know it.
TEST_CASE_METHOD(StreamControllerFixture,
                 "A kept stream of a version that is not admitted is recorded")
{
  this->Lead();
  this->Report(kFirst, 7);
  this->Read({ kSecond });
  this->Advance(500ms);
  CHECK(this->CountProposals<state::RecordStreams>() == 1);
  CHECK(this->Ask(7) == std::nullopt);
  CHECK(this->Ask(8) == kSecond);
}

// Guards against streams that are lost because routers reported them before the
// new leader knew the versions, and which may be mixed then.
TEST_CASE_METHOD(StreamControllerFixture,
                 "Streams that are reported early are recorded")
{
  this->Admit(kFirst);
  this->Admit(kSecond);
  LeadershipChanged changed;
  changed.isLeader = true;
  this->Tell(changed);
  this->Report(kFirst, 7);
  CHECK(this->world.proposals.empty());
  this->SetSupport(StreamSupport::Complete);
  this->Advance(500ms);
  CHECK(this->Ask(7) == kFirst);
}

// Guards against memory without a bound under a flood of streams, and against
// old streams that push out later ones.
TEST_CASE_METHOD(StreamControllerFixture,
                 "The latest streams are recorded at the second version")
{
  constexpr std::uint64_t kMaxStreams = 131072;
  constexpr std::uint64_t kPart = 1024;
  this->Lead();
  this->Read({ kFirst });
  for (std::uint64_t first = 0; first <= kMaxStreams; first += kPart) {
    std::vector<StreamId> streams;
    for (std::uint64_t stream = first; stream < first + kPart; ++stream) {
      streams.emplace_back(stream);
    }
    this->Tell(wire::StreamReport{ kChat, kFirst, streams });
  }
  this->Read({ kFirst, kSecond });
  this->Advance(500ms);
  CHECK(this->world.machine.Streams().RecordCount() == kMaxStreams);
  CHECK(this->Ask(kPart - 1) == std::nullopt);
  CHECK(this->Ask(kPart) == kFirst);
  CHECK(this->Ask(kMaxStreams + kPart - 1) == kFirst);
}

// Guards against commands that stop control instances of an earlier build
// during an upgrade, and against routers that refuse to go on with streams that
// these builds let go on.
TEST_CASE_METHOD(StreamControllerFixture,
                 "Nothing is proposed while a member is of an earlier build")
{
  this->world.support = StreamSupport::Missing;
  this->Lead();
  this->Read({ kFirst, kSecond });
  this->Report(kFirst, 7);
  this->Advance(120s);
  this->Read({ kSecond });
  this->Read({ kFirst, kSecond });
  CHECK(this->world.proposals.empty());
  CHECK(this->world.endpoints == this->both);
  CHECK(this->world.versions == std::vector<SoftwareVersion>(2));
  CHECK(this->world.isRead);
  CHECK_FALSE(this->world.hasServices);
  CHECK(this->Ask(7) == SoftwareVersion());
}

// Guards against versions that are not told apart after an upgrade, and against
// routers without endpoints in between.
TEST_CASE_METHOD(StreamControllerFixture,
                 "Versions are admitted once all members know them")
{
  this->world.support = StreamSupport::Missing;
  this->Lead();
  this->Read({ kFirst, kSecond });
  this->world.mode = ProposalMode::Stall;
  this->SetSupport(StreamSupport::Complete);
  CHECK(this->CountProposals<state::AdmitVersion>() == 2);
  CHECK(this->world.endpoints == this->both);
  CHECK(this->world.versions == std::vector<SoftwareVersion>(2));
  this->Admit(kFirst);
  this->SetSupport(StreamSupport::Complete);
  CHECK(this->world.versions == std::vector<SoftwareVersion>(2));
  this->Admit(kSecond);
  this->SetSupport(StreamSupport::Complete);
  CHECK(this->world.versions == std::vector{ kFirst, kSecond });
  CHECK(this->world.servicesAtDelivery == std::vector{ kChat });
}

// Guards against a first list of a new fleet without versions, because it was
// read before all members had told that they know them.
TEST_CASE_METHOD(StreamControllerFixture,
                 "The first list waits until members tell what they know")
{
  this->world.support = StreamSupport::Unknown;
  this->Lead();
  this->Read({ kFirst, kSecond });
  CHECK(this->world.proposals.empty());
  CHECK_FALSE(this->world.isRead);
  this->SetSupport(StreamSupport::Complete);
  CHECK(this->world.isRead);
  CHECK(this->world.versions == std::vector{ kFirst, kSecond });
}

// Guards against versions that are no longer told apart because a member of an
// earlier build came back: it can't apply the log anyway.
TEST_CASE_METHOD(StreamControllerFixture,
                 "A state with versions needs no support of members")
{
  this->Admit(kFirst);
  this->world.support = StreamSupport::Missing;
  this->Lead();
  this->Read({ kFirst, kSecond });
  CHECK(this->world.versions == std::vector{ kFirst, kSecond });
}
