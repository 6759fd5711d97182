#include <caf/send.hpp>
#include <lycheestand/net.h>

namespace lycheestand::net {

namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(50);

// Tells a server to stop listening and waits until all its connections are
// closed.
class ServerStop : public IoTask
{
public:
  ServerStop(caf::actor_config& aConfig,
             Runtime aRuntime,
             caf::actor aServer,
             Duration aLimit,
             std::function<void()> aDone)
    : IoTask(aConfig, aRuntime)
    , server(std::move(aServer))
    , deadline(Now(aRuntime) + aLimit)
    , done(std::move(aDone))
  {
  }

protected:
  void Start() override
  {
    this->send(this->server, StopListening{});
    this->Wait();
  }

private:
  void Wait()
  {
    this->request(this->server, caf::infinite, CountOpenConnections{})
      .then([this](std::size_t aOpen) {
        if (aOpen == 0 || Now(this->GetRuntime()) >= this->deadline) {
          this->done();
          this->quit();
        } else {
          this->After(kPollInterval, [this] { this->Wait(); });
        }
      });
  }

  caf::actor server;
  TimePoint deadline;
  std::function<void()> done;
};

} // namespace

void
StopServer(const Runtime& aRuntime,
           const caf::actor& aServer,
           Duration aLimit,
           std::function<void()> aDone)
{
  aRuntime.system->spawn<ServerStop>(
    aRuntime, aServer, aLimit, std::move(aDone));
}

} // namespace lycheestand::net
