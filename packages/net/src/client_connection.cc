#include "calls.h"

#include <algorithm>
#include <array>
#include <boost/asio/bind_executor.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <caf/send.hpp>
#include <charconv>

namespace lycheestand::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// Pieces read ahead of the owner's acknowledgement.
constexpr int kMaxUnacknowledgedPieces = 8;

constexpr std::size_t kReadBufferBytes = 16 * 1024;

// Least time between two looks at the time.
constexpr Duration kShortestWatch = std::chrono::milliseconds(50);

// Longest time for which an idle connection is kept if the endpoint names none.
constexpr Duration kIdleLimit = std::chrono::seconds(15);

// An idle connection is closed this long before the endpoint would close it, so
// that no request crosses the close.
constexpr Duration kIdleMargin = std::chrono::milliseconds(500);

// Returns the seconds of a header such as "Keep-Alive: timeout=5".
std::optional<Duration>
ReadKeepAlive(std::string_view aValue)
{
  constexpr std::string_view kName = "timeout=";
  auto at = aValue.find(kName);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  unsigned seconds = 0;
  const char* begin = aValue.data() + at + kName.size();
  auto read = std::from_chars(begin, aValue.data() + aValue.size(), seconds);
  if (read.ec != std::errc{}) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

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
      [this](CallContinue aContinue) {
        if (this->IsOfCall(aContinue.id)) {
          this->Acknowledge();
        }
      },
      [this](CallCancel aCancel) {
        if (this->IsOfCall(aCancel.id)) {
          this->Close();
        }
      },
      [this](ConnectionRemoved) { this->quit(); },
    };
  }

private:
  using Parser = http::response_parser<http::buffer_body>;

  // Returns whether the message that is handled is about the present call.
  bool IsOfCall(std::uint64_t aId)
  {
    return this->isBusy && aId == this->call.id &&
           this->current_sender() == this->call.owner;
  }

  void Begin(CallStart& aStart)
  {
    if (this->isClosed || this->HasStrayBytes()) {
      // Nothing of the call was sent, so any other connection can take it.
      this->send(this->connectionPool, std::move(aStart));
      this->Close();
      return;
    }
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

  // Returns whether there are bytes that belong to no call.
  bool HasStrayBytes() const
  {
    beast::error_code ignored;
    return this->isConnected &&
           (this->buffer.size() > 0 || this->socket.available(ignored) > 0);
  }

  // Returns the longest time without progress in the call's present phase.
  Duration TimeLimit() const
  {
    const auto& limits = this->call.options;
    if (!this->isConnected) {
      return limits.connectTimeout;
    }
    bool waitsForHead = !this->gotHead && limits.answerTimeout > Duration(0);
    return waitsForHead ? limits.answerTimeout : limits.idleTimeout;
  }

  // Checks at least once a second that the call makes progress.
  void WatchTime(std::uint64_t aCall)
  {
    auto pause = std::clamp<Duration>(
      this->TimeLimit() / 2, kShortestWatch, std::chrono::seconds(1));
    this->After(pause, [this, aCall] {
      if (!this->isBusy || aCall != this->callNumber) {
        return;
      }
      auto limit = this->TimeLimit();
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
      if (http::string_to_field(name) == http::field::host) {
        this->outgoing.set(http::field::host, value);
      } else {
        this->outgoing.insert(name, value);
      }
    }
    this->outgoing.body() = std::move(this->call.request.body);
    this->outgoing.prepare_payload();
    this->sent = true;
    this->isWriting = true;
    http::async_write(
      this->socket,
      this->outgoing,
      asio::bind_executor(this->Executor(),
                          [this](beast::error_code aError, std::size_t) {
                            this->HandleWritten(aError);
                          }));
    this->ReadHead();
  }

  // The endpoint may answer before it has read the whole request, and then
  // close its side; the reading tells how the call ends.
  void HandleWritten(beast::error_code aError)
  {
    if (aError) {
      return;
    }
    this->isWriting = false;
    if (this->isBusy) {
      this->lastProgress = Now(this->GetRuntime());
    }
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
    // The endpoint takes the next bytes for the rest of a request that is not
    // wholly written, so such a connection is of no more use.
    bool keep =
      this->parser->keep_alive() && !this->isWriting && !this->HasStrayBytes();
    auto keepAlive = this->parser->get()[http::field::keep_alive];
    this->idleLimit = ReadKeepAlive(keepAlive).value_or(kIdleLimit);
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
    this->After(
      std::max<Duration>(this->idleLimit - kIdleMargin, kShortestWatch),
      [this, aCall = this->callNumber] {
        if (!this->isBusy && aCall == this->callNumber) {
          this->Close();
        }
      });
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

  // Ends this task once the pool has answered, since a call may be on its way
  // from there.
  void Close()
  {
    if (this->isClosed) {
      return;
    }
    this->isClosed = true;
    this->isBusy = false;
    beast::error_code ignored;
    this->socket.close(ignored);
    this->send(
      this->connectionPool,
      ConnectionClosed{ this->address, caf::actor_cast<caf::actor>(this) });
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
  bool isClosed = false;
  // A request is not wholly written, or its writing failed.
  bool isWriting = false;
  Duration idleLimit{};
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
