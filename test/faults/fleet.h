#ifndef LYCHEESTAND_TEST_FAULTS_FLEET_H
#define LYCHEESTAND_TEST_FAULTS_FLEET_H

// Test fixture that runs a fleet of real processes, connected through the
// fault-injecting proxy.

#include "http_client.h"

#include <atomic>
#include <boost/json.hpp>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

namespace lycheestand::faults {

namespace json = boost::json;

// Number of processes of each kind and their settings.
struct FleetOptions
{
  int routers = 2;
  int engines = 2;
  int records = 0;
  int controls = 1;
  std::vector<std::string> engineArguments;
  std::vector<std::string> recordsArguments;
  // Engines that the test runs itself; they serve the model "chat".
  std::vector<Address> outsideEngines;
  // Endpoints of the service "records" that the test runs itself.
  std::vector<Address> outsideServices;
  // Models in the platform list; engine i serves entry i modulo the list's
  // size.
  std::vector<std::string> servedModels{ "chat" };
  // Age of the platform list when control reads it.
  int platformLagMs = 300;
  // Time for which callers may cache a router's entry response.
  int entryCacheMs = 1000;
  // Scheduler threads of a router.
  int threads = 4;
  // False connects the processes directly, so that benchmarks don't include the
  // proxy's latency.
  bool isProxied = true;
  // Initial prepaid tokens of the workspace "w1".
  std::int64_t paid = 1000000;
};

// The workspace's budget in tokens, as control reports it.
struct Budget
{
  std::int64_t paid = 0;
  std::int64_t spent = 0;
  std::int64_t granted = 0;
  std::int64_t unreported = 0;
  std::int64_t free = 0;
  std::int64_t requests = 0;
};

// A chat completion request.
struct ChatRequest
{
  std::string content;
  bool stream = false;
  // 0 applies the limit of the model's settings.
  int maxTokens = 0;
  std::string model = "chat";
  Duration timeout = 20s;
  // Bytes of the body after which the caller disconnects; 0 for never.
  std::size_t disconnectAfterBytes = 0;
};

// Outcome of a chat request as its caller observes it.
enum class ChatOutcome
{
  // The whole expected answer with its usage.
  Complete,
  // An explicit error, as a response or as an event of the stream.
  Error,
  // The caller disconnected on purpose (ChatRequest::disconnectAfterBytes).
  Disconnected,
  // No connection or no response header; the caller knows that it has no
  // answer.
  NoResponse,
  // The connection ended before the answer was complete.
  Truncated,
  // The request's timeout expired.
  Timeout,
  // The answer differs from the one that the prompt determines.
  WrongContent
};

// The answer to a chat request and its outcome.
struct ChatAnswer
{
  ChatOutcome outcome = ChatOutcome::NoResponse;
  unsigned status = 0;
  std::string text;
  std::string finishReason;
  std::int64_t totalTokens = 0;
  std::string errorCode;
  std::string executionState;
  std::string requestId;
  // Prepaid tokens of the workspace when the request was sent.
  std::int64_t paidAtStart = 0;
};

// Starts the processes, sends them requests, and injects faults. The
// constructor returns once every router is ready and throws std::runtime_error
// otherwise. The destructor prints the report line of the test case, appends it
// to the file that LYCHEESTAND_FAULTS_REPORT names, and prints log tails if the
// case failed.
class Fleet
{
public:
  Fleet(std::string aCase, unsigned aSeed, FleetOptions aOptions);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  Process& Router(int aIndex) { return *this->routers[aIndex]; }
  Process& Engine(int aIndex) { return *this->engines[aIndex]; }
  Process& Records(int aIndex) { return *this->records[aIndex]; }
  Process& Control(int aIndex) { return *this->controls[aIndex]; }
  const FleetOptions& Options() const { return this->options; }
  unsigned Seed() const { return this->seed; }

  static std::string CallerKey();
  Address EngineAddress(int aIndex) const;
  // Returns the admin and metrics address of a router ("r0") or control
  // instance ("c0").
  Address AdminAddress(const std::string& aName) const;
  Address RouterAddress(int aIndex) const
  {
    return this->routerAddresses[aIndex];
  }

  // Sets a fault of a proxy link: "r0-c0" (router to control), "c0-c1", "e0"
  // (engine) or "s0" (records service). The faults are those of standin_proxy.
  void SetFault(const std::string& aLink,
                const std::string& aFault,
                json::object aParameters = {});
  // Sets a fault of the links from a router to every control instance.
  void SetRouterFault(int aRouter, const std::string& aFault);
  // Sets a fault of all links of a control instance, to routers and to the
  // other instances. "mute" holds back only what the instance sends, "deaf"
  // only what is sent to it.
  void IsolateControl(int aControl, const std::string& aFault);

  // Sends an admin request to the leader; tries each control instance in turn
  // for up to 20 s, and returns the last reply if none succeeded.
  Reply SendAdminRequest(const std::string& aMethod,
                         const std::string& aTarget,
                         const json::object& aBody = {});
  // Sends an admin request to one control instance.
  Reply SendAdminRequestTo(int aControl,
                           const std::string& aMethod,
                           const std::string& aTarget,
                           const json::object& aBody = {},
                           Duration aTimeout = 5s);
  // Returns the JSON body of an admin GET request, or null if it can't be
  // parsed.
  json::value ReadAdminJson(const std::string& aTarget);
  Budget ReadBudget();
  void TopUp(std::int64_t aTokens);
  // Applies a configuration that lists the models; refused with 409 unless
  // aBaseVersion is the current version or aChangeId was applied before.
  Reply ApplyModels(const std::vector<std::string>& aModels,
                    std::uint64_t aBaseVersion,
                    const std::string& aChangeId);
  // Deletes the data folder of a control instance, which must not be running.
  void RemoveData(int aControl);
  // Waits until every control instance is a voting member.
  bool WaitForFullQuorum(Duration aTimeout = 30s);
  // Returns the index of the leading control instance, or -1.
  int FindLeader();

  ChatAnswer Chat(int aRouter, const ChatRequest& aRequest);
  ChatAnswer Chat(HttpClient& aClient, const ChatRequest& aRequest);
  // Sends a booking with an idempotency key to the records service.
  Reply PostBooking(int aRouter,
                    const std::string& aKey,
                    const std::string& aBody,
                    Duration aTimeout = 10s);
  Reply GetFromRouter(int aRouter,
                      const std::string& aTarget,
                      Duration aTimeout = 5s);
  // Sends a request directly to an engine stand-in, bypassing the proxy.
  Reply SendToEngine(int aIndex,
                     const std::string& aTarget,
                     const std::string& aMethod = "GET");
  // Returns how often the records services executed each idempotency key.
  json::object ExecutionCounts();

  // Waits until no tokens are granted, that is, until live routers have
  // reported all usage and returned all unused tokens.
  bool WaitUntilSettled(Duration aTimeout = 20s);
  bool WaitUntilReady(int aRouter, Duration aTimeout = 20s);
  // Returns whether an engine or records service logged that it executed a
  // request with this request id or idempotency key.
  bool HasRun(const std::string& aId) const;

  // Adds a value to the report line of the test case.
  void AddReportValue(const std::string& aName, std::int64_t aValue);

private:
  void MakeAddresses();
  void StartProxy();
  void WritePlatformList() const;
  void StartBackends();
  void StartControls();
  void StartRouters();
  void SetUpWorkspace();
  std::string WriteSettings(const std::string& aName,
                            json::object aSettings) const;
  json::array ControlMembers(const std::string& aFrom) const;
  std::unique_ptr<Process> Start(const std::string& aName,
                                 std::vector<std::string> aCommand) const;

  std::string name;
  unsigned seed;
  FleetOptions options;
  TestEnvironment environment;
  std::map<std::string, Address> addresses;
  std::vector<Address> routerAddresses;
  // Links of the proxy by name: listening address and target address.
  std::map<std::string, std::pair<Address, Address>> links;
  std::vector<std::unique_ptr<Process>> supportProcesses;
  std::vector<std::unique_ptr<Process>> engines;
  std::vector<std::unique_ptr<Process>> records;
  std::vector<std::unique_ptr<Process>> controls;
  std::vector<std::unique_ptr<Process>> routers;
  std::vector<std::pair<std::string, std::int64_t>> reportValues;
  int uncaughtExceptions;
  int nextChangeId = 0;
  std::atomic<std::int64_t> paid;
};

// Settings of a LoadGenerator.
struct LoadGeneratorOptions
{
  int threads = 6;
  // Percentage of requests that are streamed, and of streamed requests whose
  // caller disconnects early.
  int streamedPercent = 50;
  int disconnectedPercent = 0;
  int pauseMs = 0;
  Duration timeout = 20s;
  // Indexes of the routers that receive requests; all routers if empty.
  std::vector<int> routers;
  std::string model = "chat";
};

// Sends chat requests from several threads until Stop. The accessors are valid
// after Stop only.
class LoadGenerator
{
public:
  LoadGenerator(Fleet& aFleet, LoadGeneratorOptions aOptions);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  void Stop();

  // Returns the number of requests with this outcome.
  int Count(ChatOutcome aOutcome) const;
  // Returns the total tokens in the usage of complete answers.
  std::int64_t CompletedTokens() const;
  // Returns the number of requests that were refused for lack of budget,
  // although the prepaid tokens, less those of earlier complete answers,
  // covered one request of every thread.
  int CountFalseRefusals() const;
  const std::vector<ChatAnswer>& Answers() const { return this->answers; }
  // Returns the number of refusals that state not_run although an engine began
  // the request.
  int CountFalseNotRun() const;

private:
  void Run(int aThread);

  Fleet& fleet;
  LoadGeneratorOptions options;
  std::atomic<bool> isStopped{ false };
  std::mutex mutex;
  std::vector<ChatAnswer> answers;
  std::vector<std::thread> threads;
};

} // namespace lycheestand::faults

#endif
