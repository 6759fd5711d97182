#include "controllers.h"
#include "net_fixture.h"

using namespace lycheestand;
using namespace lycheestand::router;
using namespace std::chrono_literals;

namespace {

const RequestDigest kSoundRequest{ 1 };
const RequestDigest kDeadlyRequest{ 9 };

// What was sent to control, and the answers to checks.
struct Exchanged
{
  std::vector<wire::Message> toControl;
  std::vector<quarantine::RequestVerdict> verdicts;
};

// Takes the place of the control link and of requests.
class LinkStandIn : public net::IoTask
{
public:
  LinkStandIn(caf::actor_config& aConfig,
              net::Runtime aRuntime,
              Exchanged& aExchanged)
    : net::IoTask(aConfig, aRuntime)
    , exchanged(aExchanged)
  {
  }

protected:
  caf::message_handler Handlers() override
  {
    return { [this](caf::actor& aController) {
              this->controller = aController;
            },
             [this](CheckRequest& aCheck) {
               this->request(this->controller, caf::infinite, std::move(aCheck))
                 .then([this](const CheckRequestReply& aReply) {
                   this->exchanged.verdicts.push_back(aReply.verdict);
                 });
             },
             [this](ToControl& aMessage) {
               this->exchanged.toControl.push_back(std::move(aMessage.message));
             } };
  }

private:
  Exchanged& exchanged;
  caf::actor controller;
};

// A router's quarantine controller on a paused clock. Endpoints that broke off
// refuse connections.
class QuarantineControllerFixture : public net::NetFixture
{
public:
  QuarantineControllerFixture()
    : link(this->system.spawn<LinkStandIn>(this->runtime,
                                           std::ref(this->exchanged)))
    , controller(SpawnQuarantineController(this->runtime))
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

  // Another endpoint crashes while it works on these requests of this router.
  void Crash(const std::vector<RequestDigest>& aDigests)
  {
    EndpointId endpoint("e" + std::to_string(++this->endpoints));
    Address address = FreeAddress();
    for (auto digest : aDigests) {
      this->Tell(this->controller,
                 CrashSuspected{ endpoint, address, {}, digest });
    }
    auto reports = this->CountSent<wire::CrashReport>();
    this->RunUntil(
      [&] { return this->CountSent<wire::CrashReport>() > reports; });
  }

  // Control's lists with the deadly request.
  static wire::QuarantineState MakeState(quarantine::RequestState aState)
  {
    constexpr Milliseconds kTime = 10min;
    wire::QuarantineState state;
    state.requests = {
      { kDeadlyRequest, static_cast<std::uint8_t>(aState), 3, kTime, kTime }
    };
    return state;
  }

  // Asks to forward a copy of a request.
  void Ask(RequestDigest aDigest)
  {
    this->Tell(this->link, CheckRequest{ {}, aDigest, true });
  }

  quarantine::RequestVerdict Check(RequestDigest aDigest)
  {
    auto checks = this->exchanged.verdicts.size();
    this->Tell(this->link, CheckRequest{ {}, aDigest });
    REQUIRE(this->exchanged.verdicts.size() == checks + 1);
    return this->exchanged.verdicts.back();
  }

  template<class Message>
  std::size_t CountSent() const
  {
    std::size_t count = 0;
    for (const auto& message : this->exchanged.toControl) {
      count += std::holds_alternative<Message>(message);
    }
    return count;
  }

  Exchanged exchanged;
  caf::actor link;
  caf::actor controller;
  int endpoints = 0;
};

} // namespace

// Guards against a sound request that stays refused, since its router saw it at
// crashes that control has related to another request.
TEST_CASE_METHOD(QuarantineControllerFixture,
                 "Control's judgment of a request replaces the router's own")
{
  this->Tell(this->controller, ControlUp{});
  this->Advance(5s);
  for (int i = 0; i < 3; ++i) {
    this->Crash({ kSoundRequest });
  }
  // Control may not have learnt of the crashes yet.
  CHECK(this->Check(kSoundRequest) == quarantine::RequestVerdict::Quarantined);
  // Control goes on watching the request.
  wire::QuarantineState state;
  state.suspectRequests = { kSoundRequest };
  this->Tell(this->controller, FromControl{ state });
  this->Advance(3s);
  CHECK(this->Check(kSoundRequest) == quarantine::RequestVerdict::Accepted);
}

// Guards against a new leader that quarantines a sound request, since a router
// saw it at crashes but not the request that caused them.
TEST_CASE_METHOD(QuarantineControllerFixture,
                 "A new leader gets a router's crashes and no judgment of them")
{
  for (int i = 0; i < 3; ++i) {
    this->Crash({ kSoundRequest });
  }
  this->exchanged.toControl.clear();
  this->Tell(this->controller, ControlUp{});
  CHECK(this->CountSent<wire::CrashReport>() == 3);
  for (const auto& message : this->exchanged.toControl) {
    if (const auto* known = std::get_if<wire::QuarantineState>(&message)) {
      CHECK(known->requests.empty());
    }
  }
}

// Guards against a router without contact that goes by the last lists alone.
TEST_CASE_METHOD(QuarantineControllerFixture,
                 "Without contact the stricter judgment of a request counts")
{
  this->Tell(this->controller, ControlUp{});
  this->Tell(this->controller,
             FromControl{ MakeState(quarantine::RequestState::OnTrial) });
  this->Tell(this->controller, ControlDown{});
  CHECK(this->Check(kDeadlyRequest) == quarantine::RequestVerdict::OneAttempt);
  for (int i = 0; i < 3; ++i) {
    this->Crash({ kDeadlyRequest });
  }
  CHECK(this->Check(kDeadlyRequest) == quarantine::RequestVerdict::Quarantined);
  this->Advance(5s);
  CHECK(this->Check(kDeadlyRequest) == quarantine::RequestVerdict::Quarantined);
}

// Guards against copies of a request that each router forwards during a trial.
TEST_CASE_METHOD(QuarantineControllerFixture,
                 "Control decides which copy of a tried request is forwarded")
{
  this->Tell(this->controller, ControlUp{});
  this->Tell(this->controller, TrialSourceChanged{ true });
  this->Tell(this->controller,
             FromControl{ MakeState(quarantine::RequestState::OnTrial) });
  CHECK(this->Check(kDeadlyRequest) == quarantine::RequestVerdict::OneAttempt);
  this->Ask(kDeadlyRequest);
  CHECK(this->exchanged.verdicts.size() == 1);
  CHECK(this->CountSent<wire::TrialRequest>() == 1);
  // Another copy does not wait.
  this->Ask(kDeadlyRequest);
  CHECK(this->exchanged.verdicts.back() == quarantine::RequestVerdict::Held);
  CHECK(this->CountSent<wire::TrialRequest>() == 1);
  SECTION("granted")
  {
    this->Tell(this->controller,
               FromControl{ wire::TrialReply{ kDeadlyRequest, true } });
    CHECK(this->exchanged.verdicts.back() ==
          quarantine::RequestVerdict::OneAttempt);
  }
  SECTION("refused")
  {
    this->Tell(this->controller,
               FromControl{ wire::TrialReply{ kDeadlyRequest, false } });
    CHECK(this->exchanged.verdicts.back() == quarantine::RequestVerdict::Held);
  }
  SECTION("no reply")
  {
    this->Advance(1s);
    CHECK(this->exchanged.verdicts.back() == quarantine::RequestVerdict::Held);
  }
  SECTION("link lost")
  {
    this->Tell(this->controller, ControlDown{});
    CHECK(this->exchanged.verdicts.back() == quarantine::RequestVerdict::Held);
  }
  CHECK(this->exchanged.verdicts.size() == 3);
}

// Guards against the same at a router without contact with control.
TEST_CASE_METHOD(QuarantineControllerFixture,
                 "A router without contact forwards one copy in a trial")
{
  this->Tell(this->controller,
             FromControl{ MakeState(quarantine::RequestState::OnProbation) });
  for (auto expected : { quarantine::RequestVerdict::OneAttempt,
                         quarantine::RequestVerdict::Held }) {
    this->Ask(kDeadlyRequest);
    CHECK(this->exchanged.verdicts.back() == expected);
  }
}

// Guards against a new leader that lets a quarantined request run again.
TEST_CASE_METHOD(QuarantineControllerFixture,
                 "A new leader gets what an earlier one has quarantined")
{
  this->Tell(this->controller,
             FromControl{ MakeState(quarantine::RequestState::Quarantined) });
  this->Tell(this->controller, ControlDown{});
  this->Tell(this->controller, ControlUp{});
  REQUIRE(this->CountSent<wire::QuarantineState>() == 1);
  const auto& known =
    std::get<wire::QuarantineState>(this->exchanged.toControl.front());
  REQUIRE(known.requests.size() == 1);
  CHECK(known.requests[0].digest == kDeadlyRequest);
}
