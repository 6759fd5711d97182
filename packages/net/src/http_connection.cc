#include "http_connection.h"

#include <algorithm>
#include <bit>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <caf/send.hpp>
#include <deque>
#include <sstream>
#include <sys/socket.h>

namespace lycheestand::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

// Longest time for which the rest of an aborted response is written.
constexpr Duration kMaxAbortTime = std::chrono::milliseconds(250);

// Longest time for which the rest of a rejected request is read and dropped.
constexpr Duration kMaxDiscardTime = std::chrono::seconds(1);
constexpr std::size_t kDiscardBytes = 16 * 1024;

// Bytes of its request and response that a connection holds without asking its
// server.
constexpr std::size_t kUnheldBytes = 32 * 1024;

// Read buffer of a connection while it gets a large request.
constexpr std::size_t kLargeReadBytes = 32 * 1024;

// A request is copied when it is forwarded.
constexpr std::size_t kRequestCopies = 2;

// Retry-After of a request for which there is no memory now.
constexpr const char* kNoMemoryRetrySeconds = "0.5";

// Returns whether the error means that the received bytes are not a valid HTTP
// request. Other errors mean that the connection has ended.
bool
IsMalformed(beast::error_code aError)
{
  static const auto& kHttpCategory =
    beast::error_code(http::error::bad_method).category();
  return aError.category() == kHttpCategory &&
         aError != http::error::end_of_stream &&
         aError != http::error::partial_message;
}

// Owns a caller's socket and handles its requests sequentially.
class HttpConnection : public IoTask
{
public:
  HttpConnection(caf::actor_config& aConfig,
                 Runtime aRuntime,
                 caf::actor aPool,
                 caf::actor aServer,
                 std::shared_ptr<tcp::socket> aSocket,
                 HttpServerOptions aOptions,
                 HttpHandler aHandler)
    : IoTask(aConfig, aRuntime, std::move(aPool))
    , server(std::move(aServer))
    , socket(std::move(*aSocket))
    , options(aOptions)
    , handler(std::move(aHandler))
  {
    // A request to another task, which the response depends on, has failed or
    // timed out. Without closing the connection, the caller would never get a
    // response.
    this->set_error_handler(
      [this](caf::scheduled_actor*, caf::error&) { this->quit(); });
  }

  void on_exit() override
  {
    beast::error_code ignored;
    this->socket.close(ignored);
    if (this->exchange) {
      this->exchange->Detach(this->disconnect);
    }
    this->send(this->server, ConnectionEnded{});
  }

protected:
  void Start() override
  {
    beast::error_code ignored;
    this->socket.set_option(tcp::no_delay(true), ignored);
    auto remote = this->socket.remote_endpoint(ignored);
    this->peer = remote.address().to_string();
    this->RecordProgress();
    this->ScheduleTimeoutCheck();
    this->ReadRequest();
  }

  caf::message_handler Handlers() override
  {
    return { [this](StopListening) { this->StopAfterRequest(); },
             [this](CloseAfterResponses) { this->closeAfterResponse = true; } };
  }

private:
  // The request in progress and its response.
  class ServerExchange : public Exchange
  {
  public:
    ServerExchange(HttpConnection* aConnection, HttpRequest aRequest)
      : connection(aConnection)
      , request(std::move(aRequest))
    {
    }

    const HttpRequest& Request() const override { return this->request; }
    std::string Peer() const override { return this->connection->peer; }
    IoTask& Task() override { return *this->connection; }
    bool IsAnswered() const override { return this->answered; }

    void Respond(HttpResponse aResponse) override
    {
      if (this->answered || !this->connection) {
        return;
      }
      this->answered = true;
      this->connection->WriteWhole(std::move(aResponse));
    }

    void StartStream(unsigned aStatus, Headers aHeaders) override
    {
      if (this->answered || !this->connection) {
        return;
      }
      this->answered = true;
      this->connection->WriteHead(aStatus, aHeaders);
    }

    void WriteStream(std::string aChunk,
                     std::function<void()> aWritten) override
    {
      if (this->connection && !aChunk.empty()) {
        this->connection->WriteChunk(std::move(aChunk), std::move(aWritten));
      }
    }

    void HoldBytes(std::size_t aBytes, std::function<void(bool)> aDone) override
    {
      if (this->connection) {
        this->connection->HoldBytes(aBytes, std::move(aDone));
      }
    }

    void EndStream() override
    {
      if (this->connection) {
        this->connection->WriteLastChunk();
      }
    }

    void Abort() override
    {
      this->answered = true;
      if (this->connection) {
        this->connection->CloseAfterWrites();
      }
    }

    void OnDisconnect(std::function<void(Disconnect)> aRun) override
    {
      this->onDisconnect = std::move(aRun);
    }

    // Called when the connection closes: runs the disconnect callback and drops
    // the pointer to the connection.
    void Detach(Disconnect aHow)
    {
      auto run = std::move(this->onDisconnect);
      this->onDisconnect = nullptr;
      if (run) {
        run(aHow);
      }
      this->connection = nullptr;
    }

    // Called when the response is fully written.
    void Complete() { this->onDisconnect = nullptr; }

  private:
    HttpConnection* connection;
    HttpRequest request;
    std::function<void(Disconnect)> onDisconnect;
    bool answered = false;
  };

  struct QueuedWrite
  {
    std::string bytes;
    std::function<void()> written;
    bool isLast = false;
  };

  void RecordProgress() { this->lastProgress = Now(this->GetRuntime()); }

  // Checks the timeouts every 2 seconds and closes the connection when one has
  // expired.
  void ScheduleTimeoutCheck()
  {
    this->After(std::chrono::seconds(2), [this] {
      if (this->HasTimedOut()) {
        this->quit();
        return;
      }
      this->ScheduleTimeoutCheck();
    });
  }

  bool HasTimedOut() const
  {
    auto elapsed = Now(this->GetRuntime()) - this->lastProgress;
    if (!this->writes.empty()) {
      return elapsed >= this->options.writeTimeout;
    }
    if (this->exchange) {
      return false;
    }
    return elapsed >= (this->isFirstRequest ? this->options.requestTimeout
                                            : this->options.keepAliveTimeout);
  }

  void ReadRequest()
  {
    this->parser.emplace();
    this->parser->header_limit(this->options.maxHeaderBytes);
    this->parser->body_limit(this->options.maxBodyBytes);
    this->parser->eager(true);
    this->requestBytes = 0;
    this->ReadMore();
  }

  void ReadMore()
  {
    http::async_read_some(
      this->socket,
      this->buffer,
      *this->parser,
      asio::bind_executor(this->Executor(),
                          [this](beast::error_code aError, std::size_t) {
                            if (aError || this->parser->is_done()) {
                              this->HandleRequest(aError);
                            } else {
                              this->HandlePart();
                            }
                          }));
  }

  // A limit of each request alone would not keep many callers from filling the
  // memory with requests that they never complete.
  void HandlePart()
  {
    this->requestBytes = this->parser->get().body().size() * kRequestCopies;
    if (this->requestBytes > kUnheldBytes) {
      // Beast reads at most the buffer's capacity at once.
      this->buffer.reserve(kLargeReadBytes);
    }
    this->HoldBytes(0, [this](bool aMayHold) {
      if (aMayHold) {
        this->ReadMore();
      } else {
        this->RejectForMemory();
      }
    });
  }

  // Asks the server to hold the request and this many bytes of a response.
  void HoldBytes(std::size_t aResponseBytes, std::function<void(bool)> aDone)
  {
    std::size_t bytes = this->requestBytes + aResponseBytes;
    if (bytes <= std::max(kUnheldBytes, this->heldBytes)) {
      aDone(true);
      return;
    }
    // Powers of two keep the number of questions low while a message grows.
    bytes = std::bit_ceil(bytes);
    this->request(this->server, caf::infinite, HoldBuffer{ bytes })
      .then([this, bytes, done = std::move(aDone)](bool aMayHold) {
        if (aMayHold) {
          this->heldBytes = std::max(this->heldBytes, bytes);
        }
        done(aMayHold);
      });
  }

  void ReleaseBytes()
  {
    if (this->heldBytes > 0) {
      this->heldBytes = 0;
      this->send(this->server, ReleaseBuffer{});
    }
  }

  void RejectForMemory()
  {
    Log(LogLevel::Warning,
        "refused a request: the memory for large requests is used up",
        { { "event", "buffers_full" }, { "peer", this->peer } });
    this->keepAlive = false;
    this->hasUnreadRequest = true;
    this->parser.reset();
    this->exchange = std::make_shared<ServerExchange>(this, HttpRequest{});
    this->exchange->Respond(
      { 503,
        { { "Content-Type", "application/json" },
          { "Retry-After", kNoMemoryRetrySeconds } },
        R"({"error":{"code":"buffers_full","message":)"
        R"("this instance has no memory for the request now","ran":"not_run"}})" });
  }

  void HandleRequest(beast::error_code aError)
  {
    if (aError == http::error::body_limit ||
        aError == http::error::header_limit) {
      this->RejectOversized(aError == http::error::body_limit ? 413 : 431);
      return;
    }
    if (aError && IsMalformed(aError)) {
      this->RejectMalformed(aError);
      return;
    }
    if (aError) {
      this->quit();
      return;
    }
    this->isFirstRequest = false;
    this->RecordProgress();
    auto message = this->parser->release();
    this->parser.reset();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message) {
      request.headers.emplace_back(std::string(field.name_string()),
                                   std::string(field.value()));
    }
    request.body = std::move(message.body());
    this->keepAlive = this->keepAlive && message.keep_alive();
    this->isHeadRequest = message.method() == http::verb::head;
    ++this->exchangeNumber;
    this->exchange = std::make_shared<ServerExchange>(this, std::move(request));
    this->WatchDisconnect();
    this->handler(this->exchange);
  }

  // Responds with 400 and closes the connection, since the start of the next
  // request can't be found after a malformed one.
  void RejectMalformed(beast::error_code aError)
  {
    Log(LogLevel::Warning,
        "rejected a malformed HTTP request",
        { { "event", "malformed_request" },
          { "peer", this->peer },
          { "reason", aError.message() } });
    this->keepAlive = false;
    this->exchange = std::make_shared<ServerExchange>(this, HttpRequest{});
    this->exchange->Respond(
      { 400,
        { { "Content-Type", "application/json" } },
        R"({"error":{"code":"malformed_request","message":")" +
          aError.message() + R"(","ran":"not_run"}})" });
  }

  void RejectOversized(unsigned aStatus)
  {
    this->keepAlive = false;
    this->hasUnreadRequest = true;
    this->exchange = std::make_shared<ServerExchange>(this, HttpRequest{});
    this->exchange->Respond(
      { aStatus,
        { { "Content-Type", "application/json" } },
        R"({"error":{"code":"request_too_large","message":)"
        R"("the request headers or body exceed the size limit","ran":"not_run"}})" });
  }

  // Closes the connection if the caller disconnects while its request is in
  // progress.
  void WatchDisconnect()
  {
    if (this->isWatchingDisconnect) {
      return;
    }
    this->isWatchingDisconnect = true;
    this->socket.async_wait(
      tcp::socket::wait_read,
      asio::bind_executor(this->Executor(),
                          [this, watchedExchange = this->exchangeNumber](
                            beast::error_code aError) {
                            this->isWatchingDisconnect = false;
                            this->HandleReadable(aError, watchedExchange);
                          }));
  }

  void HandleReadable(beast::error_code aError, std::uint64_t aWatchedExchange)
  {
    if (aError) {
      this->quit();
      return;
    }
    if (!this->exchange) {
      return;
    }
    // The wait started in an earlier exchange and ended with the bytes of the
    // current request, which have been read since. The caller is not known to
    // have disconnected.
    if (aWatchedExchange != this->exchangeNumber) {
      this->WatchDisconnect();
      return;
    }
    // Readable without available bytes means that the caller has closed the
    // connection. Available bytes are a pipelined request, which is read after
    // the response to the current one.
    beast::error_code error;
    if (this->socket.available(error) == 0 || error) {
      this->disconnect = this->FindDisconnect();
      this->quit();
    }
  }

  // Tells a close by the caller from a reset, after the socket has become
  // readable without bytes. Asio's receive would block the thread if neither
  // has happened.
  Disconnect FindDisconnect()
  {
    char byte = 0;
    auto received =
      ::recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 ? Disconnect::Closed : Disconnect::Broken;
  }

  // Decides whether the connection is kept after this response. This happens
  // once, when the headers are built: after headers that announce keep-alive,
  // the connection must not be closed, since the caller may have sent its next
  // request.
  bool UpdateKeepAlive()
  {
    const auto& keeps = this->options.keepsConnections;
    this->keepAlive =
      this->keepAlive && !this->closeAfterResponse && (!keeps || keeps());
    return this->keepAlive;
  }

  void WriteWhole(HttpResponse aResponse)
  {
    http::response<http::string_body> message;
    message.version(11);
    message.result(aResponse.status);
    for (const auto& [name, value] : aResponse.headers) {
      message.insert(name, value);
    }
    message.keep_alive(this->UpdateKeepAlive());
    message.body() = std::move(aResponse.body);
    message.prepare_payload();
    std::ostringstream text;
    if (this->isHeadRequest) {
      text << message.base();
    } else {
      text << message;
    }
    this->Enqueue({ text.str(), nullptr, true });
  }

  void WriteHead(unsigned aStatus, const Headers& aHeaders)
  {
    http::response<http::empty_body> message;
    message.version(11);
    message.result(aStatus);
    for (const auto& [name, value] : aHeaders) {
      message.insert(name, value);
    }
    message.keep_alive(this->UpdateKeepAlive());
    message.chunked(true);
    std::ostringstream text;
    text << message.base();
    this->Enqueue({ text.str(), nullptr, false });
  }

  void WriteChunk(std::string aChunk, std::function<void()> aWritten)
  {
    auto chunk = http::make_chunk(asio::buffer(aChunk));
    this->Enqueue(
      { beast::buffers_to_string(chunk), std::move(aWritten), false });
  }

  void WriteLastChunk()
  {
    this->Enqueue(
      { beast::buffers_to_string(http::make_chunk_last()), nullptr, true });
  }

  void Enqueue(QueuedWrite aWrite)
  {
    if (this->closesAfterWrites) {
      return;
    }
    this->writes.push_back(std::move(aWrite));
    if (this->writes.size() == 1) {
      this->RecordProgress();
      this->WriteNext();
    }
  }

  void WriteNext()
  {
    asio::async_write(
      this->socket,
      asio::buffer(this->writes.front().bytes),
      asio::bind_executor(this->Executor(),
                          [this](beast::error_code aError, std::size_t) {
                            this->HandleWritten(aError);
                          }));
  }

  void HandleWritten(beast::error_code aError)
  {
    if (aError) {
      this->quit();
      return;
    }
    this->RecordProgress();
    QueuedWrite done = std::move(this->writes.front());
    this->writes.pop_front();
    if (done.written) {
      done.written();
    }
    if (done.isLast) {
      this->CompleteExchange();
      return;
    }
    if (!this->writes.empty()) {
      this->WriteNext();
    } else if (this->closesAfterWrites) {
      this->quit();
    }
  }

  // Closes the connection once what was sent so far is written, or after
  // kMaxAbortTime if the caller does not read it.
  void CloseAfterWrites()
  {
    this->closesAfterWrites = true;
    if (this->writes.empty()) {
      this->quit();
    } else {
      this->After(kMaxAbortTime, [this] { this->quit(); });
    }
  }

  void CompleteExchange()
  {
    this->exchange->Complete();
    this->exchange.reset();
    this->ReleaseBytes();
    if (!this->keepAlive) {
      beast::error_code ignored;
      this->socket.shutdown(tcp::socket::shutdown_send, ignored);
      if (this->hasUnreadRequest) {
        this->After(kMaxDiscardTime, [this] { this->quit(); });
        this->DiscardInput();
      } else {
        this->quit();
      }
      return;
    }
    this->ReadRequest();
  }

  // Drops what the caller still sends. Closing a socket with unread data resets
  // the connection, and the caller may then lose the response.
  void DiscardInput()
  {
    this->buffer.clear();
    this->socket.async_read_some(
      this->buffer.prepare(kDiscardBytes),
      asio::bind_executor(this->Executor(),
                          [this](beast::error_code aError, std::size_t) {
                            if (aError) {
                              this->quit();
                            } else {
                              this->DiscardInput();
                            }
                          }));
  }

  // Closes the connection after the request in progress, or immediately if
  // there is none.
  void StopAfterRequest()
  {
    this->keepAlive = false;
    if (!this->exchange) {
      this->quit();
    }
  }

  caf::actor server;
  tcp::socket socket;
  HttpServerOptions options;
  HttpHandler handler;
  std::string peer;
  beast::flat_buffer buffer;
  std::optional<http::request_parser<http::string_body>> parser;
  // Bytes that the request in progress takes, and bytes that the server lets
  // this connection hold.
  std::size_t requestBytes = 0;
  std::size_t heldBytes = 0;
  std::shared_ptr<ServerExchange> exchange;
  std::uint64_t exchangeNumber = 0;
  std::deque<QueuedWrite> writes;
  TimePoint lastProgress;
  bool isFirstRequest = true;
  bool keepAlive = true;
  bool closesAfterWrites = false;
  // The next response announces that the connection will be closed.
  bool closeAfterResponse = false;
  bool isHeadRequest = false;
  // The request in progress was rejected before all of it had arrived.
  bool hasUnreadRequest = false;
  bool isWatchingDisconnect = false;
  // Reported to the exchange when the connection ends before its response.
  Disconnect disconnect = Disconnect::Broken;
};

} // namespace

caf::actor
SpawnHttpConnection(const Runtime& aRuntime,
                    caf::actor aPool,
                    caf::actor aServer,
                    tcp::socket aSocket,
                    HttpServerOptions aOptions,
                    HttpHandler aHandler)
{
  return aRuntime.system->spawn<HttpConnection>(
    aRuntime,
    std::move(aPool),
    std::move(aServer),
    std::make_shared<tcp::socket>(std::move(aSocket)),
    aOptions,
    std::move(aHandler));
}

} // namespace lycheestand::net
