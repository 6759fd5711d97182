#include "calls.h"

#include <array>
#include <boost/asio/bind_executor.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <caf/send.hpp>

namespace lycheestand::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// Pieces read ahead of the owner's acknowledgement.
constexpr int kMaxUnacknowledgedPieces = 8;

constexpr std::size_t kReadBufferBytes = 16 * 1024;

// One TCP connection to an endpoint; runs one call at a time.
class ClientConnection : public IoTask
{
public:
  ClientConnection(caf::actor_config& aConfig,
                   Runtime aRuntime,
                   caf::actor aPool,
                   Address aAddress)
    : IoTask(aConfig, aRuntime)
    , connectionPool(std::move(aPool))
    , address(std::move(aAddress))
    , socket(*aRuntime.io)
  {
  }

  void on_exit() override
  {
    beast::error_code ignored;
    this->socket.close(ignored);
  }

protected:
  caf::message_handler Handlers() override
  {
    return {
      [this](CallStart& aStart) { this->Begin(aStart); },
      [this](CallContinue) { this->Acknowledge(); },
      [this](CallCancel) { this->Close(); },
    };
  }

private:
  using Parser = http::response_parser<http::buffer_body>;

  void Begin(CallStart& aStart)
  {
    this->call = std::move(aStart);
    this->Report(CallAccepted{ caf::actor_cast<caf::actor>(this) });
    this->isBusy = true;
    this->sent = false;
    this->gotHead = false;
    this->unacknowledged = 0;
    this->lastProgress = Now(this->GetRuntime());
    ++this->callNumber;
    if (this->isConnected) {
      this->WriteRequest();
    } else {
      this->Connect();
    }
    this->WatchTime(this->callNumber);
  }

  // Checks once a second that the call makes progress.
  void WatchTime(std::uint64_t aCall)
  {
    this->After(std::chrono::seconds(1), [this, aCall] {
      if (!this->isBusy || aCall != this->callNumber) {
        return;
      }
      auto limit = this->isConnected ? this->call.options.idleTimeout
                                     : this->call.options.connectTimeout;
      // Time in which the owner itself holds the call back does not count.
      bool waitsForOwner = this->unacknowledged >= kMaxUnacknowledgedPieces;
      auto now = Now(this->GetRuntime());
      if (!waitsForOwner && now - this->lastProgress >= limit) {
        this->Fail("timeout");
        return;
      }
      this->WatchTime(aCall);
    });
  }

  void Connect()
  {
    beast::error_code error;
    auto ip = asio::ip::make_address(this->address.host, error);
    if (error) {
      this->Fail("\"" + this->address.host + "\" is not an IP address");
      return;
    }
    this->socket.async_connect(
      { ip, this->address.port },
      asio::bind_executor(this->Executor(), [this](beast::error_code aError) {
        if (!this->isBusy) {
          return;
        }
        if (aError) {
          this->Fail(aError.message());
          return;
        }
        this->isConnected = true;
        this->lastProgress = Now(this->GetRuntime());
        beast::error_code ignored;
        this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        this->WriteRequest();
      }));
  }

  void WriteRequest()
  {
    this->outgoing = {};
    this->outgoing.method_string(this->call.request.method);
    this->outgoing.target(this->call.request.target);
    this->outgoing.version(11);
    this->outgoing.set(http::field::host, ToString(this->address));
    for (const auto& [name, value] : this->call.request.headers) {
      this->outgoing.set(name, value);
    }
    this->outgoing.body() = std::move(this->call.request.body);
    this->outgoing.prepare_payload();
    this->sent = true;
    http::async_write(
      this->socket,
      this->outgoing,
      asio::bind_executor(this->Executor(),
                          [this](beast::error_code aError, std::size_t) {
                            if (!this->isBusy) {
                              return;
                            }
                            if (aError) {
                              this->Fail(aError.message());
                              return;
                            }
                            this->lastProgress = Now(this->GetRuntime());
                            this->ReadHead();
                          }));
  }

  void ReadHead()
  {
    this->parser.emplace();
    this->parser->body_limit(boost::none);
    http::async_read_header(
      this->socket,
      this->buffer,
      *this->parser,
      asio::bind_executor(this->Executor(),
                          [this](beast::error_code aError, std::size_t) {
                            if (!this->isBusy) {
                              return;
                            }
                            if (aError) {
                              this->Fail(aError.message());
                              return;
                            }
                            this->ReportHead();
                            this->ReadBody();
                          }));
  }

  void ReportHead()
  {
    this->gotHead = true;
    this->lastProgress = Now(this->GetRuntime());
    CallHead head;
    head.status = this->parser->get().result_int();
    for (const auto& field : this->parser->get()) {
      head.headers.emplace_back(std::string(field.name_string()),
                                std::string(field.value()));
    }
    this->Report(std::move(head));
  }

  void ReadBody()
  {
    if (this->parser->is_done()) {
      this->Finish();
      return;
    }
    if (this->unacknowledged >= kMaxUnacknowledgedPieces) {
      this->isPaused = true;
      return;
    }
    auto& body = this->parser->get().body();
    body.data = this->bytes.data();
    body.size = this->bytes.size();
    http::async_read_some(
      this->socket,
      this->buffer,
      *this->parser,
      asio::bind_executor(this->Executor(),
                          [this](beast::error_code aError, std::size_t) {
                            if (this->isBusy) {
                              this->HandleBody(aError);
                            }
                          }));
  }

  void HandleBody(beast::error_code aError)
  {
    if (aError == http::error::need_buffer) {
      aError = {};
    }
    std::size_t size = this->bytes.size() - this->parser->get().body().size;
    if (size > 0) {
      this->lastProgress = Now(this->GetRuntime());
      ++this->unacknowledged;
      this->Report(CallPiece{ std::string(this->bytes.data(), size) });
    }
    if (aError) {
      this->Fail(aError.message());
      return;
    }
    this->ReadBody();
  }

  void Acknowledge()
  {
    --this->unacknowledged;
    if (this->isBusy && this->isPaused) {
      this->isPaused = false;
      this->lastProgress = Now(this->GetRuntime());
      this->ReadBody();
    }
  }

  void Finish()
  {
    bool keep = this->parser->keep_alive();
    this->isBusy = false;
    this->Report(CallEnded{});
    this->call = {};
    this->parser.reset();
    if (!keep) {
      this->Close();
      return;
    }
    this->send(
      this->connectionPool,
      ConnectionIdle{ this->address, caf::actor_cast<caf::actor>(this) });
    this->WatchIdle(this->callNumber);
  }

  // Notices that the endpoint closes the idle connection.
  void WatchIdle(std::uint64_t aCall)
  {
    this->socket.async_wait(
      asio::ip::tcp::socket::wait_read,
      asio::bind_executor(this->Executor(), [this, aCall](beast::error_code) {
        if (!this->isBusy && aCall == this->callNumber) {
          this->Close();
        }
      }));
  }

  void Fail(const std::string& aReason)
  {
    CallFailure failure = CallFailure::NotSent;
    if (this->gotHead) {
      failure = CallFailure::Interrupted;
    } else if (this->sent) {
      failure = CallFailure::NoAnswer;
    }
    this->isBusy = false;
    this->Report(CallFailed{ failure, aReason });
    this->Close();
  }

  void Close()
  {
    this->isBusy = false;
    this->send(
      this->connectionPool,
      ConnectionClosed{ this->address, caf::actor_cast<caf::actor>(this) });
    this->quit();
  }

  template<class Event>
  void Report(Event aEvent)
  {
    this->send(this->call.owner, CallEvent{ this->call.id, std::move(aEvent) });
  }

  caf::actor connectionPool;
  Address address;
  asio::ip::tcp::socket socket;
  beast::flat_buffer buffer;
  std::optional<Parser> parser;
  http::request<http::string_body> outgoing;
  std::array<char, kReadBufferBytes> bytes;
  CallStart call;
  std::uint64_t callNumber = 0;
  int unacknowledged = 0;
  bool isConnected = false;
  bool isBusy = false;
  bool isPaused = false;
  bool sent = false;
  bool gotHead = false;
  TimePoint lastProgress;
};

} // namespace

caf::actor
SpawnClientConnection(const Runtime& aRuntime,
                      caf::actor aPool,
                      const Address& aAddress)
{
  return aRuntime.system->spawn<ClientConnection>(
    aRuntime, std::move(aPool), aAddress);
}

} // namespace lycheestand::net
