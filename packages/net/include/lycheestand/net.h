#ifndef LYCHEESTAND_NET_H
#define LYCHEESTAND_NET_H

// Tasks that own sockets: frame links between processes, HTTP towards callers,
// operators and endpoints; logs and metrics.

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

// What every task needs: the actors' scheduler and clock, and the I/O context.
struct Runtime
{
  caf::actor_system* system = nullptr;
  boost::asio::io_context* io = nullptr;
};

// Returns the runtime's clock, which tests pause and advance.
TimePoint
Now(const Runtime& aRuntime);

// Returns a source of unpredictable numbers for ids and jitter.
RandomSource
MakeRandomSource();

// Carries one completion handler into the task that owns it.
struct Work
{
  std::shared_ptr<std::function<void()>> run;
};

// Asio executor that runs handlers inside an actor.
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

  // Sends the handler to the owner; it runs there, one at a time.
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

// Returns the first value of a header, compared without case.
std::optional<std::string>
FindHeader(const Headers& aHeaders, std::string_view aName);

// A request with its whole body.
struct HttpRequest
{
  std::string method;
  std::string target;
  Headers headers;
  std::string body;
};

// An answer with its whole body.
struct HttpResponse
{
  unsigned status = 200;
  Headers headers;
  std::string body;
};

// Why a call to another process did not end well.
enum class CallFailure
{
  // No byte of the request was sent.
  NotSent,
  // The request was sent, at least in part; no answer came.
  NoAnswer,
  // The answer broke off.
  Interrupted
};

// Returns a short name for logs.
const char*
ToString(CallFailure aFailure);

// Status line and headers of an answer.
struct CallHead
{
  unsigned status = 0;
  Headers headers;
};

// What a call reports to the task that started it.
struct CallObserver
{
  std::function<void(const CallHead&)> onHead;
  // The piece must be acknowledged with CallHandle::Continue.
  std::function<void(std::string)> onBody;
  std::function<void()> onEnd;
  std::function<void(CallFailure, const std::string&)> onFailure;
};

// Limits of a call.
struct CallOptions
{
  Duration connectTimeout = std::chrono::seconds(2);
  // Longest time without a byte from the other side.
  Duration idleTimeout = std::chrono::seconds(30);
  // Longest time until the answer begins; zero if idleTimeout limits that, too.
  Duration answerTimeout{};
  // False for a call that must not run twice: a kept connection may have been
  // closed by the other side, and then it is not known whether the call ran.
  bool reuseConnection = true;
};

class IoTask;

// Controls a call in progress; copies refer to the same call.
class CallHandle
{
public:
  CallHandle() = default;
  CallHandle(IoTask* aTask, std::uint64_t aId)
    : task(aTask)
    , id(aId)
  {
  }

  // Acknowledges one body piece, so that the next one is read.
  void Continue() const;

  // Closes the connection; no more is reported.
  void Cancel() const;

  bool IsValid() const { return this->task != nullptr; }

private:
  IoTask* task = nullptr;
  std::uint64_t id = 0;
};

// Starts a call from inside a task.
struct CallStart;
struct CallEvent;

// Base of every task that uses sockets or makes HTTP calls.
class IoTask : public caf::event_based_actor
{
public:
  IoTask(caf::actor_config& aConfig, Runtime aRuntime, caf::actor aPool = {});
  ~IoTask() override;

  caf::behavior make_behavior() final;

  const Runtime& GetRuntime() const { return this->runtime; }

  // Returns the executor whose handlers run inside this task.
  ActorExecutor Executor();

  // Starts an HTTP call; the observer runs inside this task.
  CallHandle StartCall(const Address& aAddress,
                       HttpRequest aRequest,
                       CallOptions aOptions,
                       CallObserver aObserver);

  // Starts a call and reports the whole answer or the failure once.
  using FetchDone =
    std::function<void(Result<HttpResponse, CallFailure> aResult)>;
  CallHandle Fetch(const Address& aAddress,
                   HttpRequest aRequest,
                   CallOptions aOptions,
                   FetchDone aDone);

  // Runs a function inside this task after a time on the runtime's clock.
  void After(Duration aDelay, std::function<void()> aRun);

protected:
  // Returns the task's own message handlers.
  virtual caf::message_handler Handlers() { return {}; }

  // Runs once when the task starts.
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

// Starts the task that keeps idle connections to endpoints.
caf::actor
SpawnConnectionPool(const Runtime& aRuntime);

// One request of a caller and its answer; used only inside its connection.
class Exchange
{
public:
  virtual ~Exchange() = default;

  virtual const HttpRequest& Request() const = 0;

  // Returns the peer's address for logs.
  virtual std::string Peer() const = 0;

  // Answers with a whole body; the first answer counts.
  virtual void Respond(HttpResponse aResponse) = 0;

  // Begins a streamed answer.
  virtual void StartStream(unsigned aStatus, Headers aHeaders) = 0;

  // Sends a piece; aWritten runs when it has left, for flow control.
  virtual void WriteStream(std::string aPiece,
                           std::function<void()> aWritten) = 0;

  // Ends a streamed answer as whole.
  virtual void EndStream() = 0;

  // Closes the connection without ending the answer, so that the caller sees
  // that it is not whole.
  virtual void Abort() = 0;

  virtual bool IsAnswered() const = 0;

  // Sets what runs when the caller disconnects before the answer is complete.
  virtual void OnDisconnect(std::function<void()> aRun) = 0;

  // Returns the connection's task, to send messages and make calls from.
  virtual IoTask& Task() = 0;
};

using ExchangePtr = std::shared_ptr<Exchange>;

// Answers one request; runs inside the connection's task.
using HttpHandler = std::function<void(ExchangePtr)>;

// Limits towards callers.
struct HttpServerOptions
{
  std::size_t maxHeaderBytes = 16 * 1024;
  std::size_t maxBodyBytes = 4 * 1024 * 1024;
  std::size_t maxConnections = 4096;
  // Longest time in which a request must arrive.
  Duration requestTimeout = std::chrono::seconds(20);
  // Longest time without progress in writing to a slow caller.
  Duration writeTimeout = std::chrono::seconds(30);
  // Longest time a kept connection waits for its next request.
  Duration keepAliveTimeout = std::chrono::seconds(60);
};

// Tells a server to accept no more connections and finish its requests.
struct StopListening
{};

// Tells a server to close each connection after its next answer, and to accept
// new ones meanwhile.
struct CloseAfterAnswers
{};

// Starts an HTTP server on an address; returns its task or why it can't listen.
Result<caf::actor, std::string>
SpawnHttpServer(const Runtime& aRuntime,
                caf::actor aPool,
                const Address& aAddress,
                HttpServerOptions aOptions,
                HttpHandler aHandler);

// Number of open connections of a server; answers OpenConnections{}.
struct OpenConnections
{};

// Stops a server gracefully: it accepts no more connections and finishes the
// requests in flight. aDone runs, in a task of its own, when the last
// connection has closed or the limit has passed.
void
StopServer(const Runtime& aRuntime,
           const caf::actor& aServer,
           Duration aLimit,
           std::function<void()> aDone);

// ---------------------------------------------------------------- links

// The secret that all processes of a fleet share.
class FleetKey
{
public:
  // Returns the key in a file of 64 hexadecimal digits.
  static Result<FleetKey, std::string> Load(const std::string& aPath);

  // Returns the key of fleets whose network keeps others out. It is known to
  // everybody: links then only notice damage and foreign protocols.
  static FleetKey OfTrustedNetwork();

  explicit FleetKey(std::string aBytes)
    : bytes(std::move(aBytes))
  {
  }

  const std::string& Bytes() const { return this->bytes; }

private:
  std::string bytes;
};

// Messages from a link to the task that uses it. A link's number is unique in
// the process.
using LinkId = Strong<struct LinkIdTag, std::uint64_t>;

// The peer has proved that it holds the fleet key.
struct LinkUp
{
  LinkId link;
  caf::actor task;
};

// A frame's body has arrived.
struct LinkFrame
{
  LinkId link;
  std::string body;
};

// The link is closed, or could not be opened.
struct LinkDown
{
  LinkId link;
  std::string reason;
};

// Messages to a link.
struct LinkSend
{
  std::string body;
};
struct LinkClose
{};

// Limits of a link.
struct LinkOptions
{
  Duration connectTimeout = std::chrono::seconds(2);
  // Longest silence of the peer; both sides send at least once a second.
  Duration idleTimeout = std::chrono::seconds(4);
  std::size_t maxFrameBytes = 16 * 1024 * 1024;
  std::size_t maxQueuedBytes = 64 * 1024 * 1024;
};

// Opens a link; its messages go to aUser.
LinkId
OpenLink(const Runtime& aRuntime,
         const FleetKey& aKey,
         const Address& aAddress,
         LinkOptions aOptions,
         caf::actor aUser);

// Accepts links on an address; their messages go to aUser.
Result<caf::actor, std::string>
SpawnLinkServer(const Runtime& aRuntime,
                const FleetKey& aKey,
                const Address& aAddress,
                LinkOptions aOptions,
                caf::actor aUser);

// ---------------------------------------------------------------- secrets

// Returns the hexadecimal hash under which a bearer key is known.
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

// Sets the form and the lowest level; a thread writes the lines to standard
// output.
void
SetUpLogging(LogLevel aLevel, LogFormat aFormat, const InstanceId& aInstance);

// Waits until the lines so far are written; for the end of a process.
void
FlushLog();

// Writes one line with fields such as request, workspace and endpoint.
void
Log(LogLevel aLevel, std::string_view aMessage, const LogFields& aFields = {});

// ---------------------------------------------------------------- metrics

// A count that only grows; safe to use from every task.
class Counter
{
public:
  void Add(std::uint64_t aCount = 1);
  std::uint64_t Value() const;

private:
  std::shared_ptr<std::atomic<std::uint64_t>> value =
    std::make_shared<std::atomic<std::uint64_t>>(0);
};

// A value that goes up and down; safe to use from every task.
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

// A distribution of durations; safe to use from every task.
class DurationHistogram
{
public:
  DurationHistogram();
  void Record(Duration aValue);

  // Returns the Prometheus text of the histogram, in seconds.
  std::string Render(const std::string& aName,
                     const std::string& aLabels) const;

private:
  struct Data;
  std::shared_ptr<Data> data;
};

// The metrics of a process, by name and labels ("model=\"m\"").
class MetricsRegistry
{
public:
  MetricsRegistry();
  ~MetricsRegistry();

  Counter GetCounter(const std::string& aName, const std::string& aLabels = "");
  Gauge GetGauge(const std::string& aName, const std::string& aLabels = "");
  DurationHistogram GetHistogram(const std::string& aName,
                                 const std::string& aLabels = "");

  // Returns all metrics in the Prometheus text form.
  std::string Render() const;

private:
  struct Data;
  std::unique_ptr<Data> data;
};

// Returns the registry of this process.
MetricsRegistry&
Metrics();

} // namespace lycheestand::net

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::Work)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::StopListening)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::CloseAfterAnswers)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::OpenConnections)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::LinkUp)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::LinkFrame)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::LinkDown)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::LinkSend)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::LinkClose)

#endif
