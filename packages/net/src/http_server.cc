#include "accept_loop.h"
#include "buffer_ledger.h"
#include "http_connection.h"

#include <caf/send.hpp>
#include <set>

namespace lycheestand::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

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
    , buffers(aOptions.maxBufferedBytes)
    , acceptLoop(
        *this,
        std::move(*aAcceptor),
        [this] {
          return this->connections.size() >= this->options.maxConnections;
        },
        [this](tcp::socket aSocket) { this->Accept(std::move(aSocket)); })
  {
  }

  void on_exit() override { this->acceptLoop.Close(); }

protected:
  void Start() override { this->acceptLoop.Resume(); }

  caf::message_handler Handlers() override
  {
    return {
      [this](ConnectionEnded) {
        this->connections.erase(this->current_sender());
        this->buffers.Release(this->Sender());
        this->acceptLoop.Resume();
      },
      [this](HoldBuffer aHold) {
        bool mayHold = this->buffers.Set(this->Sender(), aHold.bytes);
        (mayHold ? this->holds : this->refusedHolds).Add();
        return mayHold;
      },
      [this](ReleaseBuffer) { this->buffers.Release(this->Sender()); },
      [this](SetListening aSet) {
        this->acceptLoop.SetListening(aSet.isListening);
      },
      [this](StopListening) { this->Stop(); },
      [this](CloseAfterResponses) { this->AnnounceClose(); },
      [this](CountOpenConnections) { return this->connections.size(); },
    };
  }

private:
  BufferHolderId Sender()
  {
    return BufferHolderId(this->current_sender()->id());
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
  }

  void AnnounceClose()
  {
    this->closesAfterResponses = true;
    for (const auto& connection : this->connections) {
      this->send(caf::actor_cast<caf::actor>(connection),
                 CloseAfterResponses{});
    }
  }

  void Stop()
  {
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
  BufferLedger buffers;
  Counter holds = Metrics().GetCounter("lycheestand_buffer_holds_total");
  Counter refusedHolds =
    Metrics().GetCounter("lycheestand_buffer_refusals_total");
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
