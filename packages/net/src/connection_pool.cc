#include "calls.h"

#include <caf/send.hpp>
#include <deque>

namespace lycheestand::net {

namespace {

// Keeps idle connections by address and assigns each call to an idle or a new
// connection.
class ConnectionPool : public IoTask
{
public:
  ConnectionPool(caf::actor_config& aConfig,
                 Runtime aRuntime,
                 ConnectObserver aObserver)
    : IoTask(aConfig, aRuntime)
    , observer(std::move(aObserver))
  {
  }

protected:
  caf::message_handler Handlers() override
  {
    return {
      [this](CallStart& aStart) { this->Assign(aStart); },
      [this](ConnectionIdle& aIdle) { this->AddIdle(aIdle); },
      [this](ConnectionClosed& aClosed) { this->Remove(aClosed); },
    };
  }

private:
  // Further idle connections to the same address are closed.
  static constexpr std::size_t kMaxIdlePerAddress = 64;

  void Assign(CallStart& aStart)
  {
    auto& idle = this->idleByAddress[aStart.address];
    caf::actor connection;
    if (aStart.options.reuseConnection && !idle.empty()) {
      // The most recently used connection is the least likely to have been
      // closed by the endpoint.
      connection = idle.back();
      idle.pop_back();
    } else {
      connection = SpawnClientConnection(this->GetRuntime(),
                                         caf::actor_cast<caf::actor>(this),
                                         aStart.address,
                                         this->observer);
    }
    this->send(connection, std::move(aStart));
  }

  void AddIdle(const ConnectionIdle& aIdle)
  {
    auto& idle = this->idleByAddress[aIdle.address];
    if (idle.size() >= kMaxIdlePerAddress) {
      this->send(aIdle.connection, ConnectionRemoved{});
      return;
    }
    idle.push_back(aIdle.connection);
  }

  void Remove(const ConnectionClosed& aClosed)
  {
    auto& idle = this->idleByAddress[aClosed.address];
    std::erase(idle, aClosed.connection);
    this->send(aClosed.connection, ConnectionRemoved{});
  }

  ConnectObserver observer;
  std::map<Address, std::deque<caf::actor>> idleByAddress;
};

} // namespace

caf::actor
SpawnConnectionPool(const Runtime& aRuntime, ConnectObserver aObserver)
{
  return aRuntime.system->spawn<ConnectionPool>(aRuntime, std::move(aObserver));
}

} // namespace lycheestand::net
