#include "link_cipher.h"
#include "net_fixture.h"

using namespace lycheestand;
using namespace lycheestand::net;
using namespace std::chrono_literals;

namespace {

// Records the messages from links.
struct LinkEvents
{
  std::vector<LinkUp> ups;
  std::vector<std::string> frames;
  std::vector<std::string> downs;
};

class LinkUser : public IoTask
{
public:
  LinkUser(caf::actor_config& aConfig, Runtime aRuntime, LinkEvents* aEvents)
    : IoTask(aConfig, aRuntime)
    , events(aEvents)
  {
  }

protected:
  caf::message_handler Handlers() override
  {
    return {
      [this](LinkUp& aUp) { this->events->ups.push_back(aUp); },
      [this](LinkFrame& aFrame) {
        this->events->frames.push_back(aFrame.body);
      },
      [this](LinkDown& aDown) { this->events->downs.push_back(aDown.reason); },
    };
  }

private:
  LinkEvents* events;
};

// Two users of links: one accepts links, the other opens them.
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
    for (const auto& events : { this->dialed, this->accepted }) {
      for (const auto& up : events.ups) {
        this->started.push_back(up.task);
      }
    }
    this->dialed.ups.clear();
    this->accepted.ups.clear();
    this->dialer = nullptr;
  }

  FleetKey key{ std::string(32, 'k') };
  Address address;
  LinkEvents dialed;
  LinkEvents accepted;
  caf::actor dialer;
};

} // namespace

// Guards against frames that are lost, merged or reordered.
TEST_CASE_METHOD(LinkFixture, "Frames arrive whole and in order")
{
  OpenLink(this->runtime, this->key, this->address, {}, this->dialer);
  this->RunUntil([&] { return !this->dialed.ups.empty(); });
  for (int i = 0; i < 20; ++i) {
    caf::anon_send(this->dialed.ups[0].task,
                   LinkSend{ std::string(static_cast<std::size_t>(i) * 1000,
                                         static_cast<char>('a' + i)) });
  }
  this->RunUntil([&] { return this->accepted.frames.size() == 20; });
  for (std::size_t i = 0; i < 20; ++i) {
    REQUIRE(this->accepted.frames[i].size() == i * 1000);
  }
}

// Guards against a process that joins the fleet without the fleet key.
TEST_CASE_METHOD(LinkFixture, "A peer with another key is refused")
{
  FleetKey other(std::string(32, 'x'));
  OpenLink(this->runtime, other, this->address, {}, this->dialer);
  this->RunUntil([&] {
    return !this->dialed.downs.empty() && !this->accepted.downs.empty();
  });
  REQUIRE(this->dialed.ups.empty());
  REQUIRE(this->accepted.ups.empty());
}

// A suspended or unreachable peer does not close its TCP connection, so only
// the idle timeout detects it.
TEST_CASE_METHOD(LinkFixture, "A link is closed after the idle timeout")
{
  OpenLink(this->runtime, this->key, this->address, {}, this->dialer);
  this->RunUntil(
    [&] { return !this->dialed.ups.empty() && !this->accepted.ups.empty(); });
  this->Advance(6s);
  this->RunUntil([&] { return !this->dialed.downs.empty(); });
}

// Guards against an attacker who opens a link by replaying a recorded handshake
// or by reflecting the peer's own handshake.
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
  std::string header = dialer.StartSending(toChallenge(acceptor.Challenge()));
  HeaderBytes headerBytes{};
  std::copy(header.begin(), header.end(), headerBytes.begin());
  std::string encrypted = dialer.Encrypt("hello");
  acceptor.StartSending(toChallenge(dialer.Challenge()));
  acceptor.StartReceiving(headerBytes);
  REQUIRE(acceptor.Decrypt(encrypted) == "hello");
  REQUIRE_FALSE(acceptor.Decrypt(encrypted));
  later.StartSending(toChallenge(dialer.Challenge()));
  later.StartReceiving(headerBytes);
  REQUIRE_FALSE(later.Decrypt(encrypted));
  dialer.StartReceiving(headerBytes);
  REQUIRE_FALSE(dialer.Decrypt(encrypted));
}
