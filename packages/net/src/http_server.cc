#include "accept_loop.h"
#include "http_connection.h"

#include <caf/send.hpp>
#include <set>

namespace lycheestand::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

// Pause between requests to unused connections to close while there is no room
// for another.
constexpr Duration kCloseUnusedInterval = std::chrono::seconds(1);

// Accepts connections and starts a task for each.
class HttpServer : public IoTask
{
public:
  HttpServer(caf::actor_config& aConfig,
             Runtime aRuntime,
             caf::actor aPool,
             std::shared_ptr<tcp::acceptor> aAcceptor,
             HttpServerOptions aOptions,
             HttpHandler aHandler)
    : IoTask(aConfig, aRuntime)
    , connectionPool(std::move(aPool))
    , options(aOptions)
    , handler(std::move(aHandler))
    , acceptLoop(
        *this,
        std::move(*aAcceptor),
        [this] { return this->IsFull(); },
        [this](tcp::socket aSocket) { this->Accept(std::move(aSocket)); })
  {
    if (!this->options.buffers) {
      this->options.buffers =
        SpawnBufferController(aRuntime, this->options.maxBufferedBytes);
    }
  }

  void on_exit() override { this->acceptLoop.Close(); }

protected:
  void Start() override { this->acceptLoop.Resume(); }

  caf::message_handler Handlers() override
  {
    return {
      [this](ConnectionEnded) {
        this->connections.erase(this->current_sender());
        this->acceptLoop.Resume();
      },
      [this](SetListening aSet) {
        this->acceptLoop.SetListening(aSet.isListening);
      },
      [this](StopListening) { this->Stop(); },
      [this](CloseAfterResponses) { this->AnnounceClose(); },
      [this](CloseConnections) {
        this->acceptLoop.Close();
        for (const auto& connection : this->connections) {
          caf::anon_send(caf::actor_cast<caf::actor>(connection),
                         CloseConnections{});
        }
      },
      [this](CountOpenConnections) { return this->connections.size(); },
    };
  }

private:
  bool IsFull() const
  {
    return this->connections.size() >= this->options.maxConnections;
  }

  // Without this, connections that nobody uses would keep callers waiting until
  // they time out.
  void CloseUnusedWhileFull()
  {
    if (this->isClosingUnused || !this->IsFull()) {
      return;
    }
    this->isClosingUnused = true;
    for (const auto& connection : this->connections) {
      this->send(caf::actor_cast<caf::actor>(connection), CloseUnused{});
    }
    this->After(kCloseUnusedInterval, [this] {
      this->isClosingUnused = false;
      this->CloseUnusedWhileFull();
    });
  }

  void Accept(tcp::socket aSocket)
  {
    const auto& serves = this->options.servesNewConnection;
    if (serves && !serves()) {
      // Without the option, the peer would see a proper end of the connection.
      beast::error_code ignored;
      aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
      return;
    }
    auto connection = SpawnHttpConnection(this->GetRuntime(),
                                          this->connectionPool,
                                          caf::actor_cast<caf::actor>(this),
                                          std::move(aSocket),
                                          this->options,
                                          this->handler);
    this->connections.insert(
      caf::actor_cast<caf::strong_actor_ptr>(connection));
    if (this->closesAfterResponses) {
      this->send(connection, CloseAfterResponses{});
    }
    this->CloseUnusedWhileFull();
  }

  void AnnounceClose()
  {
    this->closesAfterResponses = true;
    for (const auto& connection : this->connections) {
      this->send(caf::actor_cast<caf::actor>(connection),
                 CloseAfterResponses{});
    }
  }

  // Accepts the connections that wait: their callers may have sent requests.
  void Stop()
  {
    this->acceptLoop.SetListening(false);
    this->acceptLoop.Close();
    for (const auto& connection : this->connections) {
      caf::anon_send(caf::actor_cast<caf::actor>(connection), StopListening{});
    }
  }

  caf::actor connectionPool;
  HttpServerOptions options;
  HttpHandler handler;
  std::set<caf::strong_actor_ptr> connections;
  bool closesAfterResponses = false;
  bool isClosingUnused = false;
  AcceptLoop acceptLoop;
};

} // namespace

Result<caf::actor, std::string>
SpawnHttpServer(const Runtime& aRuntime,
                caf::actor aPool,
                const Address& aAddress,
                HttpServerOptions aOptions,
                HttpHandler aHandler)
{
  using R = Result<caf::actor, std::string>;
  try {
    auto acceptor = std::make_shared<tcp::acceptor>(
      *aRuntime.io,
      tcp::endpoint(asio::ip::make_address(aAddress.host), aAddress.port));
    return aRuntime.system->spawn<HttpServer>(aRuntime,
                                              std::move(aPool),
                                              std::move(acceptor),
                                              aOptions,
                                              std::move(aHandler));
  } catch (const boost::system::system_error& error) {
    return R(boost::outcome_v2::in_place_type<std::string>,
             "can't listen on " + ToString(aAddress) + ": " +
               error.code().message());
  }
}

} // namespace lycheestand::net
