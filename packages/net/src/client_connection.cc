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

// Body chunks that are read ahead of the owner's acknowledgements.
constexpr int kMaxUnacknowledgedChunks = 8;

constexpr std::size_t kReadBufferBytes = 16 * 1024;

// Bytes that are kept of a response until they can be parsed: the longest head,
// chunk header or trailer, and more than one read.
constexpr std::size_t kMaxUnparsedBytes = 64 * 1024;

// Interim responses (1xx) before a response. An endpoint sends one at most for
// requests like these.
constexpr int kMaxInterimResponses = 8;

constexpr unsigned kMinStatus = 100;
constexpr unsigned kMinFinalStatus = 200;
constexpr unsigned kMaxStatus = 599;

constexpr Duration kMinTimeoutCheckInterval = std::chrono::milliseconds(50);
constexpr Duration kMaxTimeoutCheckInterval = std::chrono::seconds(1);

// Used if the endpoint's responses have no Keep-Alive timeout.
constexpr Duration kDefaultIdleTimeout = std::chrono::seconds(15);

// An idle connection is closed this long before its timeout at the endpoint, so
// that no request is sent while the endpoint closes it.
constexpr Duration kIdleTimeoutMargin = std::chrono::milliseconds(500);

// Names a request; an endpoint that names it in the response as well shows to
// which request the response belongs.
constexpr const char* kRequestIdHeader = "X-Request-Id";

// Parses the value of a header such as "Keep-Alive: timeout=5".
std::optional<Duration>
ParseKeepAliveTimeout(std::string_view aValue)
{
  constexpr std::string_view kName = "timeout=";
  auto position = aValue.find(kName);
  if (position == std::string_view::npos) {
    return std::nullopt;
  }
  unsigned seconds = 0;
  const char* begin = aValue.data() + position + kName.size();
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
                   Address aAddress,
                   ConnectObserver aObserver)
    : IoTask(aConfig, aRuntime)
    , connectionPool(std::move(aPool))
    , address(std::move(aAddress))
    , observer(std::move(aObserver))
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
        if (this->IsCurrentCall(aContinue.id)) {
          this->Acknowledge();
        }
      },
      [this](CallCancel aCancel) {
        if (this->IsCurrentCall(aCancel.id)) {
          this->Close();
        }
      },
      [this](ConnectionRemoved) { this->quit(); },
    };
  }

private:
  using Parser = http::response_parser<http::buffer_body>;

  // How far the request is written.
  enum class RequestWrite
  {
    Pending,
    Complete,
    Failed
  };

  // Returns whether the message that is being handled refers to the current
  // call. Ids are unique only within an owner, so the sender is compared, too.
  bool IsCurrentCall(std::uint64_t aId)
  {
    return this->isBusy && aId == this->call.id &&
           this->current_sender() == this->call.owner;
  }

  void Begin(CallStart& aStart)
  {
    if (this->isClosed || this->HasUnexpectedBytes()) {
      // Nothing has been sent yet, so the pool can give the call to another
      // connection.
      this->send(this->connectionPool, std::move(aStart));
      this->Close();
      return;
    }
    this->call = std::move(aStart);
    this->Report(CallAccepted{ caf::actor_cast<caf::actor>(this) });
    this->isBusy = true;
    this->isSent = false;
    this->receivedHead = false;
    this->unacknowledged = 0;
    this->interimResponses = 0;
    this->lastProgress = Now(this->GetRuntime());
    this->startedAt = this->lastProgress;
    ++this->callNumber;
    if (this->isConnected) {
      this->WriteRequest();
    } else {
      this->Connect();
    }
    this->ScheduleTimeoutCheck(this->callNumber);
  }

  // Returns whether the endpoint has sent bytes that belong to no call.
  bool HasUnexpectedBytes() const
  {
    beast::error_code ignored;
    return this->isConnected &&
           (this->buffer.size() > 0 || this->socket.available(ignored) > 0);
  }

  // Returns the maximum time without progress in the current phase of the call.
  Duration CurrentTimeout() const
  {
    const auto& options = this->call.options;
    if (!this->isConnected) {
      return options.connectTimeout;
    }
    bool awaitsHead =
      !this->receivedHead && options.responseTimeout > Duration(0);
    return awaitsHead ? options.responseTimeout : options.idleTimeout;
  }

  // Returns whether the call has taken its whole time. An endpoint may send
  // data without end.
  bool IsOverdue(TimePoint aNow) const
  {
    auto limit = this->call.options.totalTimeout;
    return limit > Duration(0) && aNow - this->startedAt >= limit;
  }

  // Returns whether bytes have arrived that are not read yet. After the process
  // has stood still, a timer may be handled before them.
  bool HasUnreadBytes() const
  {
    beast::error_code ignored;
    return this->isConnected && this->socket.available(ignored) > 0;
  }

  // Time without progress that does not count, since the owner holds back
  // acknowledgements.
  bool IsAwaitingOwner() const
  {
    return this->unacknowledged >= kMaxUnacknowledgedChunks;
  }

  // Returns whether the silence that began with the last progress is still to
  // be reported to the owner.
  bool IsSilenceUnreported() const
  {
    return this->call.options.silenceTime > Duration(0) && this->isConnected &&
           this->reportedSilence != this->lastProgress;
  }

  // Returns the time until a timeout or a silence may be due, at most a second.
  Duration TimeUntilCheck(TimePoint aNow) const
  {
    if (this->IsAwaitingOwner()) {
      return kMaxTimeoutCheckInterval;
    }
    Duration limit = this->CurrentTimeout();
    if (this->IsSilenceUnreported()) {
      limit = std::min(limit, this->call.options.silenceTime);
    }
    return std::clamp<Duration>(this->lastProgress + limit - aNow,
                                kMinTimeoutCheckInterval,
                                kMaxTimeoutCheckInterval);
  }

  // Checks at least once a second whether the call has timed out.
  void ScheduleTimeoutCheck(std::uint64_t aCall)
  {
    auto delay = this->TimeUntilCheck(Now(this->GetRuntime()));
    this->After(delay, [this, aCall] {
      if (!this->isBusy || aCall != this->callNumber) {
        return;
      }
      auto now = Now(this->GetRuntime());
      if (this->HasUnreadBytes() && !this->IsOverdue(now)) {
        this->ScheduleTimeoutCheck(aCall);
        return;
      }
      bool isSilent = !this->IsAwaitingOwner() &&
                      now - this->lastProgress >= this->CurrentTimeout();
      if (isSilent || this->IsOverdue(now)) {
        if (!this->isConnected) {
          this->ReportConnectTime();
        }
        this->Fail("timeout");
        return;
      }
      this->ReportSilence(now);
      this->ScheduleTimeoutCheck(aCall);
    });
  }

  void ReportSilence(TimePoint aNow)
  {
    if (this->IsSilenceUnreported() && !this->IsAwaitingOwner() &&
        aNow - this->lastProgress >= this->call.options.silenceTime) {
      this->reportedSilence = this->lastProgress;
      this->Report(CallSilent{});
    }
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
        this->ReportConnectTime();
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

  // A timeout is reported with the time that passed until then.
  void ReportConnectTime()
  {
    auto time = Now(this->GetRuntime()) - this->startedAt;
    this->connectTimes.Record(time);
    if (this->observer) {
      this->observer(time);
    }
  }

  void WriteRequest()
  {
    this->outgoingRequest = {};
    this->outgoingRequest.method_string(this->call.request.method);
    this->outgoingRequest.target(this->call.request.target);
    this->outgoingRequest.version(11);
    this->outgoingRequest.set(http::field::host, ToString(this->address));
    for (const auto& [name, value] : this->call.request.headers) {
      if (http::string_to_field(name) == http::field::host) {
        this->outgoingRequest.set(http::field::host, value);
      } else {
        this->outgoingRequest.insert(name, value);
      }
    }
    this->outgoingRequest.body() = std::move(this->call.request.body);
    this->outgoingRequest.prepare_payload();
    this->isSent = true;
    this->requestWrite = RequestWrite::Pending;
    this->awaitsWrite = false;
    http::async_write(
      this->socket,
      this->outgoingRequest,
      asio::bind_executor(this->Executor(),
                          [this](beast::error_code aError, std::size_t) {
                            this->HandleWritten(aError);
                          }));
    this->ReadHead();
  }

  // A write error does not fail the call by itself: the endpoint may respond
  // before it has read the whole request and then close the connection. The
  // read, which runs concurrently, determines the result, except for a response
  // that ends with its connection.
  void HandleWritten(beast::error_code aError)
  {
    this->requestWrite = aError ? RequestWrite::Failed : RequestWrite::Complete;
    if (!this->isBusy) {
      return;
    }
    if (!aError) {
      this->lastProgress = Now(this->GetRuntime());
    }
    if (this->awaitsWrite) {
      this->FinishAtConnectionEnd();
    }
  }

  void ReadHead()
  {
    this->parser.emplace();
    if (const auto& limit = this->call.options.maxBodyBytes) {
      this->parser->body_limit(*limit);
    } else {
      this->parser->body_limit(boost::none);
    }
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
                            this->HandleHead();
                          }));
  }

  // Returns whether a status can begin a response. A switch of protocols, for
  // which no request asks, would make something else of the bytes that follow.
  static bool IsValidStatus(unsigned aStatus)
  {
    return aStatus >= kMinStatus && aStatus <= kMaxStatus &&
           aStatus != static_cast<unsigned>(http::status::switching_protocols);
  }

  // Bytes that an endpoint has sent after an earlier response may arrive
  // together with the response to the current request.
  void HandleHead()
  {
    const unsigned status = this->parser->get().result_int();
    if (!IsValidStatus(status)) {
      this->Fail("the response has the status " + std::to_string(status));
      return;
    }
    if (status < kMinFinalStatus) {
      if (++this->interimResponses > kMaxInterimResponses) {
        this->Fail("too many interim responses");
      } else {
        this->ReadHead();
      }
      return;
    }
    auto id = FindHeader(this->call.request.headers, kRequestIdHeader);
    this->namesRequest = !id || this->parser->get()[kRequestIdHeader] == *id;
    bool isReused = this->callNumber > 1;
    if (isReused && !this->namesRequest) {
      this->Fail("the response does not name the request");
      return;
    }
    this->ReportHead();
    this->ReadBody();
  }

  void ReportHead()
  {
    this->receivedHead = true;
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
      if (this->parser->need_eof()) {
        this->FinishAtConnectionEnd();
      } else {
        this->Finish();
      }
      return;
    }
    if (this->IsAwaitingOwner()) {
      this->isPaused = true;
      return;
    }
    auto& body = this->parser->get().body();
    body.data = this->readBuffer.data();
    body.size = this->readBuffer.size();
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
    std::size_t size =
      this->readBuffer.size() - this->parser->get().body().size;
    if (size > 0) {
      this->lastProgress = Now(this->GetRuntime());
      ++this->unacknowledged;
      this->Report(CallBodyChunk{ std::string(this->readBuffer.data(), size) });
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

  // Ends a call whose response has neither a length nor chunks, so that only
  // the end of the connection ends it. The system reports a reset once, to the
  // write or to the read. If the write gets it, the read sees an orderly end,
  // and its handler may run first. The response is therefore whole only once
  // the request is written; until then the call's timeouts apply.
  void FinishAtConnectionEnd()
  {
    switch (this->requestWrite) {
      case RequestWrite::Pending:
        this->awaitsWrite = true;
        return;
      case RequestWrite::Complete:
        this->Finish();
        return;
      case RequestWrite::Failed:
        this->Fail("the connection broke before the request was written");
    }
  }

  void Finish()
  {
    // If the request is not fully written, the endpoint would read the next one
    // as the rest of it, so the connection can't be reused. The same holds
    // after unexpected bytes, which would be read as the next response, and if
    // such bytes could not be recognized.
    bool canReuse = this->parser->keep_alive() &&
                    this->requestWrite == RequestWrite::Complete &&
                    !this->HasUnexpectedBytes() && this->namesRequest;
    auto keepAlive = this->parser->get()[http::field::keep_alive];
    this->idleTimeout =
      ParseKeepAliveTimeout(keepAlive).value_or(kDefaultIdleTimeout);
    this->isBusy = false;
    this->Report(CallEnded{});
    this->call = {};
    this->parser.reset();
    if (!canReuse) {
      this->Close();
      return;
    }
    this->send(
      this->connectionPool,
      ConnectionIdle{ this->address, caf::actor_cast<caf::actor>(this) });
    this->WatchIdle(this->callNumber);
    this->After(std::max<Duration>(this->idleTimeout - kIdleTimeoutMargin,
                                   kMinTimeoutCheckInterval),
                [this, aCall = this->callNumber] {
                  if (!this->isBusy && aCall == this->callNumber) {
                    this->Close();
                  }
                });
  }

  // Closes this connection when the endpoint closes it or sends data while it
  // is idle.
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
    if (this->receivedHead) {
      failure = CallFailure::Interrupted;
    } else if (this->isSent) {
      failure = CallFailure::NoAnswer;
    }
    this->isBusy = false;
    this->Report(CallFailed{ failure, aReason });
    this->Close();
  }

  // Closes the socket. The task itself stays until the pool replies with
  // ConnectionRemoved, since a CallStart from the pool may be on its way.
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
  ConnectObserver observer;
  asio::ip::tcp::socket socket;
  beast::flat_buffer buffer{ kMaxUnparsedBytes };
  std::optional<Parser> parser;
  http::request<http::string_body> outgoingRequest;
  std::array<char, kReadBufferBytes> readBuffer;
  CallStart call;
  std::uint64_t callNumber = 0;
  int unacknowledged = 0;
  bool isConnected = false;
  bool isBusy = false;
  bool isPaused = false;
  bool isClosed = false;
  RequestWrite requestWrite = RequestWrite::Complete;
  // The connection has ended after a response without a length, and the call
  // ends when it is known whether the request was written.
  bool awaitsWrite = false;
  Duration idleTimeout{};
  bool isSent = false;
  bool receivedHead = false;
  // The response names the request, or the request has no id.
  bool namesRequest = false;
  int interimResponses = 0;
  // When the current call began.
  TimePoint startedAt;
  DurationHistogram connectTimes =
    Metrics().GetHistogram("lycheestand_connect_seconds");
  TimePoint lastProgress;
  // The last progress before the last silence that was reported.
  TimePoint reportedSilence{};
};

} // namespace

caf::actor
SpawnClientConnection(const Runtime& aRuntime,
                      caf::actor aPool,
                      const Address& aAddress,
                      ConnectObserver aObserver)
{
  return aRuntime.system->spawn<ClientConnection>(
    aRuntime, std::move(aPool), aAddress, std::move(aObserver));
}

} // namespace lycheestand::net
