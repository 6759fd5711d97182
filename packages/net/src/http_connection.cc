#include "http_connection.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <caf/send.hpp>
#include <deque>
#include <sstream>

namespace lycheestand::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

// Returns whether the bytes that were read are no HTTP request; otherwise the
// connection has ended.
bool
IsMalformed(beast::error_code aError)
{
  static const auto& kHttp =
    beast::error_code(http::error::bad_method).category();
  return aError.category() == kHttp && aError != http::error::end_of_stream &&
         aError != http::error::partial_message;
}

// Owns a caller's socket and answers its requests one after the other.
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
    // A task that was asked for the answer has failed or was too slow; without
    // the close the caller would wait for ever.
    this->set_error_handler(
      [this](caf::scheduled_actor*, caf::error&) { this->quit(); });
  }

  void on_exit() override
  {
    beast::error_code ignored;
    this->socket.close(ignored);
    if (this->exchange) {
      this->exchange->Detach();
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
    this->Touch();
    this->WatchTime();
    this->ReadRequest();
  }

  caf::message_handler Handlers() override
  {
    return { [this](StopListening) { this->StopAfterRequest(); },
             [this](CloseAfterAnswers) { this->closesNext = true; } };
  }

private:
  // The answer to the request in progress.
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

    void WriteStream(std::string aPiece,
                     std::function<void()> aWritten) override
    {
      if (this->connection && !aPiece.empty()) {
        this->connection->WriteChunk(std::move(aPiece), std::move(aWritten));
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
        this->connection->quit();
      }
    }

    void OnDisconnect(std::function<void()> aRun) override
    {
      this->onDisconnect = std::move(aRun);
    }

    // Drops the connection, which is about to end.
    void Detach()
    {
      auto run = std::move(this->onDisconnect);
      this->onDisconnect = nullptr;
      if (run) {
        run();
      }
      this->connection = nullptr;
    }

    // Called when the answer is complete.
    void Complete() { this->onDisconnect = nullptr; }

  private:
    HttpConnection* connection;
    HttpRequest request;
    std::function<void()> onDisconnect;
    bool answered = false;
  };

  struct QueuedWrite
  {
    std::string bytes;
    std::function<void()> written;
    bool isLast = false;
  };

  void Touch() { this->lastProgress = Now(this->GetRuntime()); }

  // Closes the connection when the caller is too slow.
  void WatchTime()
  {
    this->After(std::chrono::seconds(2), [this] {
      if (this->IsOverdue()) {
        this->quit();
        return;
      }
      this->WatchTime();
    });
  }

  bool IsOverdue() const
  {
    auto waited = Now(this->GetRuntime()) - this->lastProgress;
    if (!this->writes.empty()) {
      return waited >= this->options.writeTimeout;
    }
    if (this->exchange) {
      return false;
    }
    return waited >= (this->isFirstRequest ? this->options.requestTimeout
                                           : this->options.keepAliveTimeout);
  }

  void ReadRequest()
  {
    this->parser.emplace();
    this->parser->header_limit(this->options.maxHeaderBytes);
    this->parser->body_limit(this->options.maxBodyBytes);
    http::async_read(
      this->socket,
      this->buffer,
      *this->parser,
      asio::bind_executor(this->Executor(),
                          [this](beast::error_code aError, std::size_t) {
                            this->HandleRequest(aError);
                          }));
  }

  void HandleRequest(beast::error_code aError)
  {
    if (aError == http::error::body_limit ||
        aError == http::error::header_limit) {
      this->RefuseOversized(aError == http::error::body_limit ? 413 : 431);
      return;
    }
    if (aError && IsMalformed(aError)) {
      this->RefuseMalformed(aError);
      return;
    }
    if (aError) {
      this->quit();
      return;
    }
    this->isFirstRequest = false;
    this->Touch();
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
    this->isHead = message.method() == http::verb::head;
    ++this->exchangeNumber;
    this->exchange = std::make_shared<ServerExchange>(this, std::move(request));
    this->WatchDisconnect();
    this->handler(this->exchange);
  }

  // What follows a malformed request can't be told from its body.
  void RefuseMalformed(beast::error_code aError)
  {
    Log(LogLevel::Warning,
        "a request is malformed",
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

  void RefuseOversized(unsigned aStatus)
  {
    this->keepAlive = false;
    this->exchange = std::make_shared<ServerExchange>(this, HttpRequest{});
    this->exchange->Respond(
      { aStatus,
        { { "Content-Type", "application/json" } },
        R"({"error":{"code":"request_too_large","message":)"
        R"("the request is larger than the limit","ran":"not_run"}})" });
  }

  // Notices that the caller leaves while its request is in progress.
  void WatchDisconnect()
  {
    if (this->isWatching) {
      return;
    }
    this->isWatching = true;
    this->socket.async_wait(
      tcp::socket::wait_read,
      asio::bind_executor(
        this->Executor(),
        [this, watched = this->exchangeNumber](beast::error_code aError) {
          this->isWatching = false;
          this->HandleReadable(aError, watched);
        }));
  }

  void HandleReadable(beast::error_code aError, std::uint64_t aWatched)
  {
    if (aError) {
      this->quit();
      return;
    }
    if (!this->exchange) {
      return;
    }
    // The wait began in an earlier exchange and saw this one's request, whose
    // bytes are already read; it says nothing about the caller.
    if (aWatched != this->exchangeNumber) {
      this->WatchDisconnect();
      return;
    }
    // Readable without a byte: the caller has closed its side. Bytes are a
    // pipelined request, which waits for its turn.
    beast::error_code error;
    if (this->socket.available(error) == 0 || error) {
      this->quit();
    }
  }

  // An answer whose head has said that the connection is kept must not be
  // followed by its close: the caller may have sent its next request.
  bool DecideKeepAlive()
  {
    this->keepAlive = this->keepAlive && !this->closesNext;
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
    message.keep_alive(this->DecideKeepAlive());
    message.body() = std::move(aResponse.body);
    message.prepare_payload();
    std::ostringstream text;
    if (this->isHead) {
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
    message.keep_alive(this->DecideKeepAlive());
    message.chunked(true);
    std::ostringstream text;
    text << message.base();
    this->Enqueue({ text.str(), nullptr, false });
  }

  void WriteChunk(std::string aPiece, std::function<void()> aWritten)
  {
    auto chunk = http::make_chunk(asio::buffer(aPiece));
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
    this->writes.push_back(std::move(aWrite));
    if (this->writes.size() == 1) {
      this->Touch();
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
    this->Touch();
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
    }
  }

  void CompleteExchange()
  {
    this->exchange->Complete();
    this->exchange.reset();
    if (!this->keepAlive) {
      beast::error_code ignored;
      this->socket.shutdown(tcp::socket::shutdown_send, ignored);
      this->quit();
      return;
    }
    this->ReadRequest();
  }

  // Ends the connection after the request in progress, or now if there is none.
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
  std::shared_ptr<ServerExchange> exchange;
  std::uint64_t exchangeNumber = 0;
  std::deque<QueuedWrite> writes;
  TimePoint lastProgress;
  bool isFirstRequest = true;
  bool keepAlive = true;
  // The next head says that the connection will be closed.
  bool closesNext = false;
  bool isHead = false;
  bool isWatching = false;
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
