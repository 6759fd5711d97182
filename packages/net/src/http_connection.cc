#include "http_connection.h"

#include "buffer_controller.h"
#include "buffer_hold.h"
#include "connection_progress.h"
#include "request_reader.h"
#include "server_exchange.h"

#include <array>
#include <boost/asio/bind_executor.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http.hpp>
#include <caf/send.hpp>
#include <cerrno>
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

// A larger body is written by itself, so that it is not copied.
constexpr std::size_t kCopiedBodyBytes = 16 * 1024;

// While the server has no room for another connection, one without a request is
// kept for this time. The users' platform reuses connections that were idle for
// up to 12 s.
constexpr Duration kUnusedTime = std::chrono::seconds(15);

// The same for one whose caller does not read its response. The system's
// buffers hold more than 100 kB, so a sound caller is seldom late at all.
constexpr Duration kUnreadTime = std::chrono::seconds(5);

// Retry-After of a request for which there is no memory now.
constexpr const char* kNoMemoryRetrySeconds = "0.5";

struct ConnectionCounters
{
  Counter stalledHolders =
    Metrics().GetCounter("lycheestand_buffer_holders_closed_total");
  Counter lateRequests =
    Metrics().GetCounter("lycheestand_request_timeouts_total");
  Counter droppedResponses =
    Metrics().GetCounter("lycheestand_responses_dropped_total");
  Counter unused =
    Metrics().GetCounter("lycheestand_unused_connections_closed_total");
};

ConnectionCounters&
GetConnectionCounters()
{
  static ConnectionCounters counters;
  return counters;
}

// Owns a caller's socket and handles its requests sequentially.
class HttpConnection
  : public IoTask
  , public ResponseWriter
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
    , reader({ this->options.maxHeaderBytes, this->options.maxBodyBytes })
    , hold(*this, this->options.buffers)
  {
    this->set_error_handler(
      [this](caf::scheduled_actor*, caf::error&) { this->HandleNoReply(); });
  }

  void on_exit() override
  {
    beast::error_code ignored;
    this->socket.close(ignored);
    auto how = this->disconnect.value_or(Disconnect::TaskFailed);
    bool isUnderWay =
      this->exchange || (this->IsReading() && this->reader.HasBegun());
    bool isReported = this->exchange && this->exchange->Detach(how);
    if (isUnderWay && !isReported && IsClosedByServer(how)) {
      this->ReportCut(how);
    }
    this->hold.Release();
    this->send(this->server, ConnectionEnded{});
  }

protected:
  void Start() override
  {
    beast::error_code ignored;
    this->socket.set_option(tcp::no_delay(true), ignored);
    this->socket.non_blocking(true, ignored);
    auto remote = this->socket.remote_endpoint(ignored);
    this->peer = remote.address().to_string();
    this->progress.Restart(this->CurrentTime());
    this->ScheduleTimeoutCheck();
    this->ReadRequest();
  }

  caf::message_handler Handlers() override
  {
    return { [this](StopListening) { this->StopAfterRequest(); },
             [this](CloseAfterResponses) { this->closeAfterResponse = true; },
             [this](CloseUnused) { this->CloseIfUnused(); },
             [this](CloseConnections) { this->Close(Disconnect::Stopped); },
             [this](YieldBuffer) { return this->Yield(); } };
  }

private:
  struct QueuedWrite
  {
    std::string bytes;
    std::function<void()> written;
    bool isLast = false;
    std::size_t writtenBytes = 0;
  };

  IoTask& Task() override { return *this; }
  const std::string& Peer() const override { return this->peer; }

  // Returns whether a request can arrive now: none is in progress or refused.
  bool IsReading() const { return !this->exchange && !this->hasStoppedReading; }

  // Returns whether no byte of a request has arrived.
  bool IsIdle() const
  {
    beast::error_code ignored;
    return this->IsReading() && !this->reader.HasBegun() &&
           this->socket.available(ignored) == 0;
  }

  // Ends the task. The first reason counts.
  void Close(Disconnect aHow)
  {
    this->SetDisconnect(aHow);
    this->quit();
  }

  void SetDisconnect(Disconnect aHow)
  {
    if (!this->disconnect) {
      this->disconnect = aHow;
    }
  }

  // Reports a request that has no owner who does.
  void ReportCut(Disconnect aHow) const
  {
    const char* state = "reading";
    if (this->exchange) {
      state = this->exchange->IsAnswered() ? "answering" : "waiting";
    }
    auto bytes = this->exchange ? this->exchange->Request().body.size()
                                : this->reader.ReceivedBytes();
    ReportRequestCut(ToString(aHow),
                     { { "state", state },
                       { "peer", this->peer },
                       { "bytes", std::to_string(bytes) },
                       { "ms",
                         FormatMilliseconds(this->progress.SinceRequest(
                           this->CurrentTime())) } });
  }

  TimePoint CurrentTime() const { return Now(this->GetRuntime()); }

  Duration TimeSinceProgress() const
  {
    return this->progress.SinceProgress(this->CurrentTime());
  }

  // A request to another task, which the response may depend on, has failed or
  // timed out. Without this, the caller would never get a response. One whose
  // end is already queued does not depend on it any more.
  void HandleNoReply()
  {
    Log(LogLevel::Error,
        "another task did not reply to a connection",
        { { "event", "no_reply" }, { "peer", this->peer } });
    if (!this->exchange) {
      this->RejectUnread();
    } else if (!this->exchange->IsAnswered()) {
      this->exchange->HandleNoReply();
    } else if (this->writes.empty() || !this->writes.back().isLast) {
      this->Close(Disconnect::TaskFailed);
    }
  }

  // Checks the timeouts every 2 seconds and closes the connection when one has
  // expired.
  void ScheduleTimeoutCheck()
  {
    this->After(std::chrono::seconds(2), [this] {
      if (this->HasTimedOut()) {
        this->Close(Disconnect::WriteTimeout);
        return;
      }
      if (this->IsRequestLate()) {
        this->RejectLate();
      }
      this->ScheduleTimeoutCheck();
    });
  }

  bool HasTimedOut() const
  {
    if (!this->writes.empty()) {
      return this->TimeSinceProgress() >= this->options.writeTimeout;
    }
    auto timeout = this->isFirstRequest ? this->options.requestTimeout
                                        : this->options.keepAliveTimeout;
    return this->TimeSinceProgress() >= timeout && this->IsIdle();
  }

  bool IsRequestLate() const
  {
    if (!this->IsReading() || !this->reader.HasBegun()) {
      return false;
    }
    return this->progress.IsRequestLate(this->reader.IsHeaderComplete(),
                                        this->reader.ReceivedBytes(),
                                        this->options,
                                        this->CurrentTime());
  }

  void CloseIfUnused()
  {
    bool isUnused = this->IsIdle() && this->TimeSinceProgress() >= kUnusedTime;
    bool isUnread =
      !this->writes.empty() && this->TimeSinceProgress() >= kUnreadTime;
    if (isUnused || isUnread) {
      GetConnectionCounters().unused.Add();
      this->Close(Disconnect::ServerFull);
    }
  }

  // Returns whether the connection gives up its memory because its caller
  // neither sends nor reads.
  caf::result<bool> Yield()
  {
    bool waitsForCaller = !this->writes.empty() || this->IsReading();
    auto promise = this->make_response_promise();
    if (!waitsForCaller || !this->progress.IsStalled(this->CurrentTime())) {
      promise.deliver(false);
      return promise;
    }
    Log(LogLevel::Warning,
        "closed a connection that held memory without progress",
        { { "event", "buffer_holder_closed" },
          { "peer", this->peer },
          { "bytes", std::to_string(this->hold.HeldBytes()) } });
    GetConnectionCounters().stalledHolders.Add();
    this->hold.Release();
    promise.deliver(true);
    if (this->IsReading()) {
      this->RejectForMemory();
    } else {
      this->Close(Disconnect::NoMemory);
    }
    return promise;
  }

  void ReadRequest()
  {
    this->requestBytes = 0;
    if (this->reader.HasBegun()) {
      this->progress.RecordReceived(true, this->CurrentTime());
      this->HoldReceived();
    } else {
      this->ReadMore();
    }
  }

  // A connection without a request in progress has no read buffer.
  void ReadMore()
  {
    this->socket.async_wait(
      tcp::socket::wait_read,
      asio::bind_executor(this->Executor(), [this](beast::error_code aError) {
        if (aError) {
          this->Close(Disconnect::Broken);
        } else if (this->IsReading()) {
          this->ReadAvailable();
        }
      }));
  }

  void ReadAvailable()
  {
    beast::error_code error;
    auto bytes = this->socket.read_some(this->reader.Prepare(), error);
    if (error == asio::error::would_block || error == asio::error::try_again) {
      this->ReadMore();
      return;
    }
    if (error) {
      this->Close(error == asio::error::eof ? Disconnect::Closed
                                            : Disconnect::Broken);
      return;
    }
    auto now = this->CurrentTime();
    this->progress.RecordReceived(!this->reader.HasBegun(), now);
    this->progress.RecordBytes(bytes, now);
    this->reader.Commit(bytes);
    this->HoldReceived();
  }

  // A limit of each request alone would not keep many callers from filling the
  // memory with requests that they never complete. The memory is asked for
  // before the headers are parsed, which takes many times their bytes.
  void HoldReceived()
  {
    this->requestBytes = this->reader.HeldBytes();
    this->HoldBytes(0, [this](bool aMayHold) {
      // It may have been refused as late meanwhile.
      if (!this->IsReading()) {
        return;
      }
      if (aMayHold) {
        this->ParseRequest();
      } else {
        this->RejectForMemory();
      }
    });
  }

  void ParseRequest()
  {
    using State = RequestReader::State;
    auto state = this->reader.Read();
    this->requestBytes = this->reader.HeldBytes();
    if (state == State::Incomplete) {
      this->ReadMore();
    } else if (state == State::Complete) {
      this->HandleRequest();
    } else if (state == State::Malformed) {
      this->RejectMalformed();
    } else {
      this->RejectOversized(state == State::BodyTooLarge ? 413 : 431);
    }
  }

  // Asks to hold the request and this many bytes of a response.
  void HoldBytes(std::size_t aResponseBytes,
                 std::function<void(bool)> aDone) override
  {
    this->hold.Hold(this->requestBytes + aResponseBytes, std::move(aDone));
  }

  void HandleRequest()
  {
    this->isFirstRequest = false;
    this->progress.Restart(this->CurrentTime());
    this->keepAlive = this->keepAlive && this->reader.KeepsAlive();
    this->isHeadRequest = this->reader.IsHead();
    ++this->exchangeNumber;
    this->exchange =
      std::make_shared<ServerExchange>(*this, this->reader.Take());
    this->WatchDisconnect();
    this->handler(this->exchange);
  }

  // Refuses a request that has not been passed to the handler, and closes the
  // connection: the start of the next request can't be found.
  void Reject(unsigned aStatus,
              const std::string& aCode,
              const std::string& aMessage,
              Headers aHeaders = {})
  {
    this->keepAlive = false;
    this->hasStoppedReading = true;
    this->reader.Clear();
    this->requestBytes = 0;
    this->exchange = std::make_shared<ServerExchange>(*this, HttpRequest{});
    aHeaders.emplace_back("Content-Type", "application/json");
    this->exchange->Respond({ aStatus,
                              std::move(aHeaders),
                              R"({"error":{"code":")" + aCode +
                                R"(","message":")" + aMessage +
                                R"(","ran":"not_run"}})" });
  }

  void RejectForMemory()
  {
    Log(LogLevel::Warning,
        "refused a request: the memory for large requests is used up",
        { { "event", "buffers_full" }, { "peer", this->peer } });
    this->Reject(503,
                 "buffers_full",
                 "this instance has no memory for the request now",
                 { { "Retry-After", kNoMemoryRetrySeconds } });
  }

  // Refuses a request that can't be read to its end, if there is one.
  void RejectUnread()
  {
    if (this->IsReading() && this->reader.HasBegun()) {
      this->Reject(
        500, "internal_error", "a part of this instance does not reply");
    }
  }

  void RejectLate()
  {
    Log(LogLevel::Warning,
        "refused a request that did not arrive in time",
        { { "event", "request_timeout" },
          { "peer", this->peer },
          { "part", this->reader.IsHeaderComplete() ? "body" : "headers" },
          { "bytes", std::to_string(this->reader.ReceivedBytes()) } });
    GetConnectionCounters().lateRequests.Add();
    this->Reject(408, "request_timeout", "the request did not arrive in time");
  }

  void RejectMalformed()
  {
    auto problem = this->reader.Problem();
    Log(LogLevel::Warning,
        "rejected a malformed HTTP request",
        { { "event", "malformed_request" },
          { "peer", this->peer },
          { "reason", problem } });
    this->Reject(400, "malformed_request", problem);
  }

  void RejectOversized(unsigned aStatus)
  {
    this->Reject(aStatus,
                 "request_too_large",
                 "the request headers or body exceed the size limit");
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
      this->Close(Disconnect::Broken);
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
    // Available bytes are a pipelined request, which is read after the response
    // to the current one.
    beast::error_code error;
    if (this->socket.available(error) > 0 && !error) {
      return;
    }
    if (auto how = this->FindDisconnect()) {
      this->Close(*how);
    } else {
      this->WatchDisconnect();
    }
  }

  // Tells a close by the caller from a reset, after the socket has become
  // readable without bytes. Returns nothing if neither has happened: the
  // reactor may report bytes after they have been read. Asio's receive would
  // block the thread then.
  std::optional<Disconnect> FindDisconnect()
  {
    char byte = 0;
    auto received =
      ::recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (received == 0) {
      return Disconnect::Closed;
    }
    bool isOpen =
      received > 0 || errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    return isOpen ? std::nullopt : std::optional(Disconnect::Broken);
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

  void WriteWhole(HttpResponse aResponse) override
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
    text << message.base();
    auto body = this->isHeadRequest ? std::string() : std::move(message.body());
    if (body.size() > kCopiedBodyBytes) {
      this->Enqueue({ text.str(), nullptr, false });
      this->Enqueue({ std::move(body), nullptr, true });
    } else {
      this->Enqueue({ text.str() + body, nullptr, true });
    }
  }

  void WriteHead(unsigned aStatus, const Headers& aHeaders) override
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

  void WriteChunk(std::string aChunk, std::function<void()> aWritten) override
  {
    auto chunk = http::make_chunk(asio::buffer(aChunk));
    this->Enqueue(
      { beast::buffers_to_string(chunk), std::move(aWritten), false });
  }

  void WriteLastChunk() override
  {
    this->Enqueue(
      { beast::buffers_to_string(http::make_chunk_last()), nullptr, true });
  }

  void Enqueue(QueuedWrite aWrite)
  {
    if (this->closesAfterWrites) {
      return;
    }
    this->queuedBytes += aWrite.bytes.size();
    this->writes.push_back(std::move(aWrite));
    if (this->writes.size() == 1) {
      this->progress.Restart(this->CurrentTime());
      this->WriteNext();
    }
  }

  void WriteNext()
  {
    const auto& write = this->writes.front();
    this->socket.async_write_some(
      asio::buffer(write.bytes) + write.writtenBytes,
      asio::bind_executor(this->Executor(),
                          [this](beast::error_code aError, std::size_t aBytes) {
                            if (aError) {
                              this->Close(Disconnect::Broken);
                            } else {
                              this->HandleWritten(aBytes);
                            }
                          }));
  }

  void HandleWritten(std::size_t aBytes)
  {
    this->progress.RecordBytes(aBytes, this->CurrentTime());
    auto& write = this->writes.front();
    write.writtenBytes += aBytes;
    if (write.writtenBytes < write.bytes.size()) {
      this->HoldQueued();
      this->WriteNext();
      return;
    }
    this->progress.Restart(this->CurrentTime());
    QueuedWrite done = std::move(write);
    this->writes.pop_front();
    this->queuedBytes -= done.bytes.size();
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

  // The caller does not read as fast as the response comes. Without this, many
  // callers that don't read would fill the memory.
  void HoldQueued()
  {
    this->HoldBytes(
      this->queuedBytes, [this, round = this->hold.Round()](bool aMayHold) {
        if (!aMayHold && round == this->hold.Round()) {
          Log(LogLevel::Warning,
              "closed a connection: no memory for a response that is not read",
              { { "event", "response_dropped" }, { "peer", this->peer } });
          GetConnectionCounters().droppedResponses.Add();
          this->Close(Disconnect::NoMemory);
        }
      });
  }

  // Closes the connection once what was sent so far is written, or after
  // kMaxAbortTime if the caller does not read it.
  void CloseAfterWrites() override
  {
    this->closesAfterWrites = true;
    this->SetDisconnect(Disconnect::Aborted);
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
    this->hold.Release();
    if (!this->keepAlive) {
      beast::error_code ignored;
      this->socket.shutdown(tcp::socket::shutdown_send, ignored);
      bool hasInput = this->hasStoppedReading || !this->IsIdle();
      // Bytes after a response that announced the close are no request.
      this->reader.Clear();
      this->hasStoppedReading = true;
      if (hasInput) {
        this->After(kMaxDiscardTime, [this] { this->quit(); });
        this->DiscardInput();
      } else {
        this->quit();
      }
      return;
    }
    this->ReadRequest();
    this->CloseIfStopped();
  }

  // Drops what the caller still sends. Closing a socket with unread data resets
  // the connection, and the caller may then lose the response.
  void DiscardInput()
  {
    this->socket.async_wait(
      tcp::socket::wait_read,
      asio::bind_executor(this->Executor(), [this](beast::error_code aError) {
        std::array<char, kDiscardBytes> bytes;
        if (!aError) {
          this->socket.read_some(asio::buffer(bytes), aError);
        }
        if (aError && aError != asio::error::would_block &&
            aError != asio::error::try_again) {
          this->quit();
        } else {
          this->DiscardInput();
        }
      }));
  }

  // Closes the connection after the request in progress or, if the last
  // response has announced that it is kept, after the next one that has begun
  // to arrive.
  void StopAfterRequest()
  {
    this->isStopping = true;
    this->closeAfterResponse = true;
    this->CloseIfStopped();
  }

  void CloseIfStopped()
  {
    if (this->isStopping && this->IsIdle()) {
      this->Close(Disconnect::Stopped);
    }
  }

  caf::actor server;
  tcp::socket socket;
  HttpServerOptions options;
  HttpHandler handler;
  std::string peer;
  RequestReader reader;
  // Bytes that the request in progress takes, and bytes that wait to be
  // written.
  std::size_t requestBytes = 0;
  std::size_t queuedBytes = 0;
  BufferHold hold;
  ConnectionProgress progress;
  std::shared_ptr<ServerExchange> exchange;
  std::uint64_t exchangeNumber = 0;
  std::deque<QueuedWrite> writes;
  bool isFirstRequest = true;
  bool keepAlive = true;
  bool closesAfterWrites = false;
  // The next response announces that the connection will be closed.
  bool closeAfterResponse = false;
  // The connection is closed as soon as no request has begun.
  bool isStopping = false;
  bool isHeadRequest = false;
  // No further request is read: the current one was rejected before all of it
  // had arrived, or the last response is written.
  bool hasStoppedReading = false;
  bool isWatchingDisconnect = false;
  // Why the connection ends; none if the task fails.
  std::optional<Disconnect> disconnect;
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
