#include "link_cipher.h"
#include "net_fixture.h"

using namespace lycheestand;
using namespace lycheestand::net;
using namespace std::chrono_literals;

namespace {

// Records what links report.
struct LinkLog
{
  std::vector<LinkUp> ups;
  std::vector<std::string> frames;
  std::vector<std::string> downs;
};

class LinkUser : public IoTask
{
public:
  LinkUser(caf::actor_config& aConfig, Runtime aRuntime, LinkLog* aLog)
    : IoTask(aConfig, aRuntime)
    , log(aLog)
  {
  }

protected:
  caf::message_handler Handlers() override
  {
    return {
      [this](LinkUp& aUp) { this->log->ups.push_back(aUp); },
      [this](LinkFrame& aFrame) { this->log->frames.push_back(aFrame.body); },
      [this](LinkDown& aDown) { this->log->downs.push_back(aDown.reason); },
    };
  }

private:
  LinkLog* log;
};

// Two users, one of which accepts links.
class LinkFixture : public NetFixture
{
public:
  LinkFixture()
    : address(FreeAddress())
    , dialer(this->system.spawn<LinkUser>(this->runtime, &this->dialed))
  {
    auto user = this->system.spawn<LinkUser>(this->runtime, &this->accepted);
    auto server =
      SpawnLinkServer(this->runtime, this->key, this->address, {}, user);
    REQUIRE(server.has_value());
    this->started = { user, server.value(), this->dialer };
  }

  ~LinkFixture()
  {
    for (const auto& log : { this->dialed, this->accepted }) {
      for (const auto& up : log.ups) {
        this->started.push_back(up.task);
      }
    }
    this->dialed.ups.clear();
    this->accepted.ups.clear();
    this->dialer = nullptr;
  }

  FleetKey key{ std::string(32, 'k') };
  Address address;
  LinkLog dialed;
  LinkLog accepted;
  caf::actor dialer;
};

} // namespace

// Guards against frames that are lost, joined or out of order.
TEST_CASE_METHOD(LinkFixture, "Frames arrive whole and in order")
{
  OpenLink(this->runtime, this->key, this->address, {}, this->dialer);
  this->PumpUntil([&] { return !this->dialed.ups.empty(); });
  for (int i = 0; i < 20; ++i) {
    caf::anon_send(this->dialed.ups[0].task,
                   LinkSend{ std::string(static_cast<std::size_t>(i) * 1000,
                                         static_cast<char>('a' + i)) });
  }
  this->PumpUntil([&] { return this->accepted.frames.size() == 20; });
  for (std::size_t i = 0; i < 20; ++i) {
    REQUIRE(this->accepted.frames[i].size() == i * 1000);
  }
}

// Guards against a process without the fleet key that joins the fleet.
TEST_CASE_METHOD(LinkFixture, "A peer with another key is refused")
{
  FleetKey other(std::string(32, 'x'));
  OpenLink(this->runtime, other, this->address, {}, this->dialer);
  this->PumpUntil([&] {
    return !this->dialed.downs.empty() && !this->accepted.downs.empty();
  });
  REQUIRE(this->dialed.ups.empty());
  REQUIRE(this->accepted.ups.empty());
}

// Guards against a frozen or cut-off peer that looks connected.
TEST_CASE_METHOD(LinkFixture, "A silent peer's link is closed")
{
  OpenLink(this->runtime, this->key, this->address, {}, this->dialer);
  this->PumpUntil(
    [&] { return !this->dialed.ups.empty() && !this->accepted.ups.empty(); });
  this->Advance(6s);
  this->PumpUntil([&] { return !this->dialed.downs.empty(); });
}

// Guards against a recorded or reflected proof that opens a link.
TEST_CASE("A link's frames decrypt only with its own challenges")
{
  REQUIRE(sodium_init() >= 0);
  FleetKey key(std::string(32, 'k'));
  auto toChallenge = [](const std::string& aText) {
    ChallengeBytes out{};
    std::copy(aText.begin(), aText.end(), out.begin());
    return out;
  };
  LinkCipher dialer(key, true);
  LinkCipher acceptor(key, false);
  LinkCipher later(key, false);
  std::string header = dialer.Begin(toChallenge(acceptor.Challenge()));
  HeaderBytes headerBytes{};
  std::copy(header.begin(), header.end(), headerBytes.begin());
  std::string sealed = dialer.Encrypt("hello");
  acceptor.Begin(toChallenge(dialer.Challenge()));
  acceptor.Accept(headerBytes);
  REQUIRE(acceptor.Decrypt(sealed) == "hello");
  REQUIRE_FALSE(acceptor.Decrypt(sealed));
  later.Begin(toChallenge(dialer.Challenge()));
  later.Accept(headerBytes);
  REQUIRE_FALSE(later.Decrypt(sealed));
  dialer.Accept(headerBytes);
  REQUIRE_FALSE(dialer.Decrypt(sealed));
}
