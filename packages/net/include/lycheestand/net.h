#ifndef LYCHEESTAND_NET_H
#define LYCHEESTAND_NET_H

// Actors ("tasks") that own sockets: encrypted links between the processes of a
// fleet, and HTTP servers and clients. Also hashing of secrets, logs and
// metrics.

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <caf/actor_system.hpp>
#include <caf/event_based_actor.hpp>
#include <functional>
#include <lycheestand/core.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace lycheestand::net {

// ---------------------------------------------------------------- runtime

// What every task needs: the actor system, with its scheduler and clock, and
// the I/O context. Neither is owned; both must outlive all tasks.
struct Runtime
{
  caf::actor_system* system = nullptr;
  boost::asio::io_context* io = nullptr;
};

// Returns the current time of the actor system's clock. Tests replace the clock
// by one that they advance.
TimePoint
Now(const Runtime& aRuntime);

// Returns for how long the machine was suspended since it started. The clock of
// the actor system does not count that time.
Duration
SuspendedTime();

// Returns a cryptographically secure source of random numbers, for ids and
// jitter. sodium_init() must have been called. A bound of 0 means no bound.
RandomSource
MakeRandomSource();

// Gets each measured delay.
using DelayObserver = std::function<void(Duration aDelay)>;

// A task that measures every 50 ms how long the process's tasks wait before
// they run. It logs a delay of a second or more.
struct DelayProbe
{
  caf::actor task;
  // Returns the current delay; thread-safe. A delay is known while the tasks
  // still wait.
  std::function<Duration()> delay;
};

// Starts the task. aObserver runs inside it and may be empty.
DelayProbe
StartDelayProbe(const Runtime& aRuntime, DelayObserver aObserver = {});

// Message that makes a task run a completion handler.
struct PostedHandler
{
  std::shared_ptr<std::function<void()>> run;
};

// Asio executor that runs handlers inside an actor, so that they need no locks
// to use its state.
struct ActorExecutor
{
  boost::asio::io_context* io = nullptr;
  caf::actor owner;

  boost::asio::execution_context& query(
    boost::asio::execution::context_t) const noexcept
  {
    return *this->io;
  }
  static constexpr boost::asio::execution::blocking_t query(
    boost::asio::execution::blocking_t) noexcept
  {
    return boost::asio::execution::blocking.never;
  }

  // Sends the handler to the owner as a message. It never runs inside this
  // call, and the owner runs one handler at a time.
  template<class F>
  void execute(F aHandler) const
  {
    auto handler = std::make_shared<F>(std::move(aHandler));
    this->Post(
      std::make_shared<std::function<void()>>([handler] { (*handler)(); }));
  }

  void Post(std::shared_ptr<std::function<void()>> aRun) const;

  bool operator==(const ActorExecutor& aOther) const noexcept
  {
    return this->owner == aOther.owner;
  }
  bool operator!=(const ActorExecutor& aOther) const noexcept
  {
    return !(*this == aOther);
  }
};

// ---------------------------------------------------------------- HTTP

// Header names and values in the order in which they were received.
using Headers = std::vector<std::pair<std::string, std::string>>;

// Returns the value of the first header with this name; case is ignored.
std::optional<std::string>
FindHeader(const Headers& aHeaders, std::string_view aName);

// Returns the value of Retry-After in seconds, which may have a fraction, and
// an hour at most. Returns nothing if it is missing or has another form.
std::optional<Duration>
FindRetryAfter(const Headers& aHeaders);

// A request whose body is complete.
struct HttpRequest
{
  std::string method;
  std::string target;
  Headers headers;
  std::string body;
};

// A response whose body is complete.
struct HttpResponse
{
  unsigned status = 200;
  Headers headers;
  std::string body;
};

// How far a failed HTTP call got.
enum class CallFailure
{
  // No byte of the request was sent.
  NotSent,
  // The request may have been sent in part or in full, but no response headers
  // arrived.
  NoAnswer,
  // The response was cut off after its headers.
  Interrupted
};

// Returns a short description for logs.
const char*
ToString(CallFailure aFailure);

// Status and headers of a response.
struct CallHead
{
  unsigned status = 0;
  Headers headers;
};

// Callbacks of a call, which run inside the task that started it. Exactly one
// of onEnd and onFailure runs, as the last callback, unless the call is
// cancelled. All but onSilent must be set.
struct CallObserver
{
  std::function<void(const CallHead&)> onHead;
  // Gets the next chunk of the body. Each chunk must be acknowledged with
  // CallHandle::Continue; reading pauses while too many are unacknowledged.
  std::function<void(std::string)> onBody;
  std::function<void()> onEnd;
  std::function<void(CallFailure, const std::string&)> onFailure;
  // Runs when nothing has arrived for CallOptions::silenceTime, once for each
  // such silence. The call goes on.
  std::function<void()> onSilent;
};

// Timeouts and connection use of a call.
struct CallOptions
{
  Duration connectTimeout = std::chrono::seconds(2);
  // Maximum time without receiving data. Time during which the observer holds
  // back acknowledgements does not count.
  Duration idleTimeout = std::chrono::seconds(30);
  // Maximum time from sending the request to the response headers; if it is
  // zero, idleTimeout applies.
  Duration responseTimeout{};
  // Maximum time for the whole call, also while data arrives; zero for no
  // limit.
  Duration totalTimeout{};
  // Time without receiving data, after the request is sent, that is reported to
  // the observer; zero to report none. It must be shorter than the timeouts.
  Duration silenceTime{};
  // Largest body of the response; none for a stream, whose owner limits it.
  std::optional<std::size_t> maxBodyBytes = 4 * 1024 * 1024;
  // Whether an idle connection may be used. Set it to false for a call that
  // must not run twice: the peer may close an idle connection while the request
  // is sent, and then it is unknown whether the call ran.
  bool reuseConnection = true;
};

// Whether a connection could be opened.
enum class ConnectResult
{
  Connected,
  // No process listens at the address.
  Refused,
  // It failed otherwise or timed out, so nothing is known of the process.
  Failed
};

class IoTask;

// Controls a call in progress. Copies refer to the same call. It must be used
// only inside the task that started the call.
class CallHandle
{
public:
  CallHandle() = default;
  CallHandle(IoTask* aTask, std::uint64_t aId)
    : task(aTask)
    , id(aId)
  {
  }

  // Acknowledges one chunk of the body, see CallObserver::onBody.
  void Continue() const;

  // Cancels the call and closes its connection; no callback runs afterwards.
  // Has no effect if the call has ended.
  void Cancel() const;

  // Returns false for a default-constructed handle, which refers to no call.
  bool IsValid() const { return this->task != nullptr; }

  // Returns whether both refer to the same call.
  friend bool operator==(const CallHandle&, const CallHandle&) = default;

private:
  IoTask* task = nullptr;
  std::uint64_t id = 0;
};

struct CallStart;
struct CallEvent;

// Base of every task that uses sockets or makes HTTP calls. A task without a
// pool can't make calls.
class IoTask : public caf::event_based_actor
{
public:
  IoTask(caf::actor_config& aConfig, Runtime aRuntime, caf::actor aPool = {});
  ~IoTask() override;

  caf::behavior make_behavior() final;

  const Runtime& GetRuntime() const { return this->runtime; }

  // Returns the executor whose handlers run inside this task.
  ActorExecutor Executor();

  // Starts an HTTP call. The callbacks run inside this task, after this
  // function has returned.
  CallHandle StartCall(const Address& aAddress,
                       HttpRequest aRequest,
                       CallOptions aOptions,
                       CallObserver aObserver);

  // Starts a call and calls aDone once with the complete response or the
  // failure, unless the call is cancelled.
  using FetchCallback =
    std::function<void(Result<HttpResponse, CallFailure> aResult)>;
  CallHandle Fetch(const Address& aAddress,
                   HttpRequest aRequest,
                   CallOptions aOptions,
                   FetchCallback aDone);

  // Opens a connection and closes it; calls aDone once with the result.
  void TryConnect(const Address& aAddress,
                  Duration aTimeout,
                  std::function<void(ConnectResult aResult)> aDone);

  // Runs a function inside this task after a delay on the actor system's clock.
  void After(Duration aDelay, std::function<void()> aRun);

protected:
  // Returns the message handlers of the derived class.
  virtual caf::message_handler Handlers() { return {}; }

  // Called once, inside the task, before it handles messages.
  virtual void Start() {}

private:
  friend class CallHandle;
  struct ActiveCall;

  void HandleCallEvent(CallEvent& aEvent);

  Runtime runtime;
  caf::actor pool;
  std::uint64_t nextCall = 1;
  std::map<std::uint64_t, std::shared_ptr<ActiveCall>> calls;
};

// Gets the time that each connection took to open. Runs in the tasks of the
// connections, so it must be thread-safe.
using ConnectObserver = std::function<void(Duration aTime)>;

// Starts the task that assigns HTTP calls to connections and keeps idle
// connections for reuse. aObserver may be empty.
caf::actor
SpawnConnectionPool(const Runtime& aRuntime, ConnectObserver aObserver = {});

// How a connection ended before its response was complete.
enum class Disconnect
{
  // The caller closed it.
  Closed,
  // It was reset, or the network failed.
  Broken,
  // Exchange::Abort was called. Here and below, this process closed it.
  Aborted,
  // The caller did not read the response within the write timeout.
  WriteTimeout,
  // The caller did not read the response, and the server had no room for
  // another connection.
  ServerFull,
  // The caller did not read the response fast enough for the memory left.
  NoMemory,
  // The server's stop ended first.
  Stopped,
  // The connection's task failed, or a task that the response depends on.
  TaskFailed
};

// Returns whether this process closed the connection.
bool
IsClosedByServer(Disconnect aHow);

// Returns a short name for logs and metrics.
const char*
ToString(Disconnect aHow);

// An HTTP request and its response. It must be used only inside the task of the
// connection (see Task). After the connection has closed, the functions that
// send have no effect, and Peer and Task must not be called.
class Exchange
{
public:
  virtual ~Exchange() = default;

  virtual const HttpRequest& Request() const = 0;

  // Returns the caller's IP address, for logs.
  virtual std::string Peer() const = 0;

  // Sends a complete response. Ignored if a response was started before.
  virtual void Respond(HttpResponse aResponse) = 0;

  // Starts a response with a chunked body. Ignored if a response was started
  // before.
  virtual void StartStream(unsigned aStatus, Headers aHeaders) = 0;

  // Sends a chunk of the body. aWritten runs when the chunk has been written to
  // the socket, for flow control. An empty chunk is ignored, and aWritten does
  // not run.
  virtual void WriteStream(std::string aChunk,
                           std::function<void()> aWritten) = 0;

  // Asks to hold this many bytes of a response in memory until the response is
  // complete. aDone gets whether they may be held; it may run at once, and does
  // not run after the connection has closed.
  virtual void HoldBytes(std::size_t aBytes,
                         std::function<void(bool)> aDone) = 0;

  // Marks a streamed response as complete.
  virtual void EndStream() = 0;

  // Closes the connection without completing the response, so that the caller
  // can tell that it is incomplete. What was sent before is written first.
  virtual void Abort() = 0;

  // Returns whether a response has been started or Abort was called.
  virtual bool IsAnswered() const = 0;

  // Sets the function that runs when the connection closes before the response
  // is complete; replaces the previous one. It calls ReportRequestCut if this
  // process has closed the connection; without a function, the server does.
  virtual void OnDisconnect(std::function<void(Disconnect)> aRun) = 0;

  // Sets the function that runs when another task did not reply to a request of
  // the connection's task, in time or at all, and no response has been started;
  // it must respond. Without a function, the server responds with 500.
  virtual void OnNoReply(std::function<void()> aRun) = 0;

  // Returns the connection's task, which can send messages and make calls.
  virtual IoTask& Task() = 0;
};

using ExchangePtr = std::shared_ptr<Exchange>;

// Handles one request. It runs inside the connection's task and may respond
// after it has returned.
using HttpHandler = std::function<void(ExchangePtr)>;

// Limits of an HTTP server.
struct HttpServerOptions
{
  std::size_t maxHeaderBytes = 16 * 1024;
  std::size_t maxBodyBytes = 4 * 1024 * 1024;
  // Task that divides the memory for bytes from outside among the servers of a
  // process, see SpawnBufferController. If there is none, the server starts one
  // with maxBufferedBytes.
  caf::actor buffers;
  // Bytes of large requests and responses that all connections together hold in
  // memory. A request beyond that is refused with 503.
  std::size_t maxBufferedBytes = 32 * 1024 * 1024;
  // While this many are open, no more are accepted.
  std::size_t maxConnections = 4096;
  // Maximum time from the first byte of a request to the end of its headers;
  // then it is refused with 408.
  Duration headerTimeout = std::chrono::seconds(20);
  // Maximum time until a connection's first byte, and without a further byte of
  // a body. A whole request may take three times as long, and longer the larger
  // it is; then it is refused with 408.
  Duration requestTimeout = std::chrono::seconds(20);
  // Maximum time without progress in writing to the caller.
  Duration writeTimeout = std::chrono::seconds(30);
  // Maximum time from a response to the first byte of the next request.
  Duration keepAliveTimeout = std::chrono::seconds(60);
  // Returns whether a new connection is served; if not, it is reset without
  // being read. Empty to serve all.
  std::function<bool()> servesNewConnection;
  // Returns whether a connection is kept after the response whose headers are
  // being written; empty to keep all. It runs in the connections' tasks, so it
  // must be thread-safe.
  std::function<bool()> keepsConnections;
};

// Message to a server: accept no more connections and close the open ones after
// their current request.
struct StopListening
{};

// Message to a server: while isListening is false, new connections are refused,
// so that callers try another address at once. Open connections stay.
struct SetListening
{
  bool isListening = true;
};

// Message to a server: close all connections now, since the process ends.
struct CloseConnections
{};

// Message to a server: close each connection after its next response, with
// "Connection: close" in its headers. New connections are still accepted.
struct CloseAfterResponses
{};

// Starts the task that divides this many bytes of memory among the connections
// of the servers that name it. When it has too few, the connection that holds
// the most without making progress is closed.
caf::actor
SpawnBufferController(const Runtime& aRuntime, std::size_t aCapacity);

// Starts an HTTP server on an address and returns its task, or a message if it
// can't listen there. aPool is used for calls that handlers make.
Result<caf::actor, std::string>
SpawnHttpServer(const Runtime& aRuntime,
                caf::actor aPool,
                const Address& aAddress,
                HttpServerOptions aOptions,
                HttpHandler aHandler);

// Request to an HTTP server, which replies with its number of open connections
// as std::size_t.
struct CountOpenConnections
{};

// Stops a server gracefully: it accepts no more connections and finishes the
// requests in progress. aDone runs, in a separate task, when the last
// connection has closed or aLimit has passed.
void
StopServer(const Runtime& aRuntime,
           const caf::actor& aServer,
           Duration aLimit,
           std::function<void()> aDone);

// ---------------------------------------------------------------- links

// The secret that all processes of a fleet share. Links authenticate and
// encrypt with it.
class FleetKey
{
public:
  // Reads the key from a file of 64 hexadecimal digits. Returns a message if
  // the file can't be read or has another format.
  static Result<FleetKey, std::string> Load(const std::string& aPath);

  // Returns a fixed, publicly known key for fleets on a network that untrusted
  // hosts can't reach. With it, links give no protection against an attacker;
  // they only detect corrupted data and peers that use another protocol.
  static FleetKey ForTrustedNetwork();

  // aBytes must hold 32 bytes.
  explicit FleetKey(std::string aBytes)
    : bytes(std::move(aBytes))
  {
  }

  const std::string& Bytes() const { return this->bytes; }

private:
  std::string bytes;
};

// Identifies a link; unique in the process. The messages from a link to the
// task that uses it carry its id.
using LinkId = StrongType<struct LinkIdTag, std::uint64_t>;

// The link is ready for use: the peer has proved that it holds the fleet key.
// Send LinkSend and LinkClose to `task`.
struct LinkUp
{
  LinkId link;
  caf::actor task;
};

// A frame has arrived.
struct LinkFrame
{
  LinkId link;
  std::string body;
};

// The link is closed or could not be opened; its last message.
struct LinkDown
{
  LinkId link;
  std::string reason;
};

// Message to a link: send a frame. The link fails if more than
// LinkOptions::maxQueuedBytes are waiting to be written.
struct LinkSend
{
  std::string body;
};
// Message to a link: close it.
struct LinkClose
{};

// Limits of a link.
struct LinkOptions
{
  // Maximum time until the link is up.
  Duration connectTimeout = std::chrono::seconds(2);
  // Maximum time without a frame from the peer. Links send nothing on their
  // own: the users on both sides send at least once a second.
  Duration idleTimeout = std::chrono::seconds(4);
  std::size_t maxFrameBytes = 16 * 1024 * 1024;
  std::size_t maxQueuedBytes = 64 * 1024 * 1024;
  // The link's task has a thread of its own, so that it does not wait for its
  // turn while other tasks are busy. Only for links that are opened.
  bool hasThread = false;
};

// Starts to connect a link and returns its id. Its messages go to aUser:
// LinkUp, or LinkDown if it fails.
LinkId
OpenLink(const Runtime& aRuntime,
         const FleetKey& aKey,
         const Address& aAddress,
         LinkOptions aOptions,
         caf::actor aUser);

// Starts a task that accepts links on an address; their messages go to aUser.
// Returns a message if it can't listen there.
Result<caf::actor, std::string>
SpawnLinkServer(const Runtime& aRuntime,
                const FleetKey& aKey,
                const Address& aAddress,
                LinkOptions aOptions,
                caf::actor aUser);

// ---------------------------------------------------------------- secrets

// Returns the hexadecimal hash that identifies a bearer key.
KeyHash
HashKey(std::string_view aKey);

// Returns a new bearer key of 256 random bits.
std::string
GenerateKey();

// Returns the hexadecimal hash of a request body.
BodyHash
HashBody(std::string_view aBody);

// ---------------------------------------------------------------- logs

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error
};

enum class LogFormat
{
  Text,
  Json
};

using LogFields = std::vector<std::pair<const char*, std::string>>;

// Returns a duration in whole milliseconds, as the value of a field.
std::string
FormatMilliseconds(Duration aDuration);

// Configures the log of this process. A separate thread writes the lines to
// standard output. Lines below aLevel are discarded.
void
SetUpLogging(LogLevel aLevel, LogFormat aFormat, const InstanceId& aInstance);

// Blocks until all lines so far are written. Call it before the process exits.
void
FlushLog();

// Logs one line with named fields, such as request, workspace and endpoint.
// After SetUpLogging it never blocks: lines are dropped while too many wait to
// be written.
void
Log(LogLevel aLevel, std::string_view aMessage, const LogFields& aFields = {});

// ---------------------------------------------------------------- metrics

// A monotonic count. Thread-safe; copies share one value.
class Counter
{
public:
  void Add(std::uint64_t aCount = 1);
  std::uint64_t Value() const;

private:
  std::shared_ptr<std::atomic<std::uint64_t>> value =
    std::make_shared<std::atomic<std::uint64_t>>(0);
};

// A value that can increase and decrease. Thread-safe; copies share one value.
class Gauge
{
public:
  void Set(std::int64_t aValue);
  void Add(std::int64_t aChange);
  std::int64_t Value() const;

private:
  std::shared_ptr<std::atomic<std::int64_t>> value =
    std::make_shared<std::atomic<std::int64_t>>(0);
};

// A distribution of durations. Thread-safe; copies share one distribution.
class DurationHistogram
{
public:
  DurationHistogram();
  void Record(Duration aValue);

  // Returns the histogram in the Prometheus text format, in seconds.
  std::string Render(const std::string& aName,
                     const std::string& aLabels) const;

private:
  struct Data;
  std::shared_ptr<Data> data;
};

// The metrics of a process by name and labels, such as "model=\"m\"".
// Thread-safe. A getter creates the metric on first use and returns the same
// one afterwards.
class MetricsRegistry
{
public:
  MetricsRegistry();
  ~MetricsRegistry();

  Counter GetCounter(const std::string& aName, const std::string& aLabels = "");
  Gauge GetGauge(const std::string& aName, const std::string& aLabels = "");
  DurationHistogram GetHistogram(const std::string& aName,
                                 const std::string& aLabels = "");

  // Forgets a gauge, so that the labels of what is gone don't accumulate.
  void RemoveGauge(const std::string& aName, const std::string& aLabels);

  // Returns all metrics in the Prometheus text format.
  std::string Render() const;

private:
  struct Data;
  std::unique_ptr<Data> data;
};

// Returns the registry of this process.
MetricsRegistry&
Metrics();

// Logs that this process has closed the connection of a request without a
// complete answer, and counts it.
void
ReportRequestCut(const std::string& aReason, LogFields aFields);

// Logs the availability zones whose evacuation this process has learned to be
// ordered or revoked, and publishes the number of evacuated zones.
void
ReportEvacuatedZones(const std::set<ZoneId>& aBefore,
                     const std::set<ZoneId>& aAfter);

} // namespace lycheestand::net

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::PostedHandler)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::StopListening)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::SetListening)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::CloseAfterResponses)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::CloseConnections)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::CountOpenConnections)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::LinkUp)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::LinkFrame)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::LinkDown)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::LinkSend)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::LinkClose)

#endif
