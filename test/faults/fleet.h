#ifndef LYCHEESTAND_TEST_FAULTS_FLEET_H
#define LYCHEESTAND_TEST_FAULTS_FLEET_H

// A fleet of real processes behind the fault-injecting proxy.

#include "http_client.h"

#include <atomic>
#include <boost/json.hpp>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

namespace lycheestand::faults {

namespace json = boost::json;

// Size of the fleet and settings of its parts.
struct FleetOptions
{
  int routers = 2;
  int engines = 2;
  int records = 0;
  int controls = 1;
  std::vector<std::string> engineArguments;
  std::vector<std::string> recordsArguments;
  // Models of the engines; engine i serves the one at i modulo their number.
  std::vector<std::string> serves{ "chat" };
  int platformLagMs = 300;
  int entryKeepMs = 1000;
  // Task threads of a router.
  int threads = 4;
  // False for measurements: the proxy's time would be counted too.
  bool isProxied = true;
  // Tokens paid for the one workspace at first.
  std::int64_t paid = 1000000;
};

// The workspace's budget at control.
struct Budget
{
  std::int64_t paid = 0;
  std::int64_t spent = 0;
  std::int64_t granted = 0;
  std::int64_t unreported = 0;
  std::int64_t free = 0;
  std::int64_t requests = 0;
};

// A chat call of a caller.
struct ChatRequest
{
  std::string content;
  bool stream = false;
  // 0 leaves the limit to the model's settings.
  int maxTokens = 0;
  std::string model = "chat";
  Duration limit = 20s;
  // The caller disconnects after so many bytes; 0 for never.
  std::size_t leaveAfter = 0;
};

// How a call ended, for its caller.
enum class Ending
{
  // Every token, and a usage.
  Whole,
  // An error that says so.
  Error,
  // The caller disconnected on purpose.
  Left,
  // No connection or no head; the caller knows that it has no answer.
  NoAnswer,
  // The connection broke in the middle of the answer.
  Broken,
  // Nothing came for as long as the caller waited.
  Timeout,
  // Another text than that of its prompt.
  Wrong
};

struct ChatAnswer
{
  Ending ending = Ending::NoAnswer;
  unsigned status = 0;
  std::string text;
  std::string finish;
  std::int64_t tokens = 0;
  std::string code;
  std::string ran;
  std::string request;
  // What had been paid when the call began.
  std::int64_t paid = 0;
};

// Starts the processes, speaks to them, and prints the case's line at its end.
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
  // Returns where a router ("r0") or control instance ("c0") has its metrics.
  Address AdminAddress(const std::string& aName) const;
  Address RouterAddress(int aIndex) const
  {
    return this->routerAddresses[aIndex];
  }

  // Sets a fault of a link: "r0-c0" (router to control), "c0-c1", "e0", "s0".
  void Fault(const std::string& aLink,
             const std::string& aFault,
             json::object aMore = {});
  // Cuts a router off from every control instance.
  void FaultRouter(int aRouter, const std::string& aFault);
  // Cuts a control instance off from routers and the other instances; "mute"
  // and "deaf" hold only what it sends or what it is sent.
  void IsolateControl(int aControl, const std::string& aFault);

  // Sends an operator's request to the instance that leads.
  Reply Operate(const std::string& aMethod,
                const std::string& aTarget,
                const json::object& aBody = {});
  // Sends an operator's request to one instance.
  Reply OperateAt(int aControl,
                  const std::string& aMethod,
                  const std::string& aTarget,
                  const json::object& aBody = {},
                  Duration aLimit = 5s);
  json::value Read(const std::string& aTarget);
  Budget ReadBudget();
  void TopUp(std::int64_t aTokens);
  // Applies a configuration with the models; returns the answer.
  Reply ApplyModels(const std::vector<std::string>& aModels,
                    std::uint64_t aBase,
                    const std::string& aChange);
  // Removes the data of a control instance that is not running.
  void RemoveData(int aControl);
  // Waits until every control instance is a voting member again.
  bool WaitForFullQuorum(Duration aLimit = 30s);
  // Returns the control instance that leads, or -1.
  int FindLeader();

  ChatAnswer Chat(int aRouter, const ChatRequest& aRequest);
  ChatAnswer Chat(HttpClient& aClient, const ChatRequest& aRequest);
  Reply Book(int aRouter,
             const std::string& aKey,
             const std::string& aBody,
             Duration aLimit = 10s);
  Reply GetFromRouter(int aRouter,
                      const std::string& aTarget,
                      Duration aLimit = 5s);
  // Sends a request to a stand-in, past the proxy.
  Reply AskEngine(int aIndex,
                  const std::string& aTarget,
                  const std::string& aMethod = "GET");
  json::object Executions();

  // Waits until no live router holds tokens or has usage to report.
  bool WaitUntilSettled(Duration aLimit = 20s);
  bool WaitUntilReady(int aRouter, Duration aLimit = 20s);
  // Returns whether an engine began or a service ran the id.
  bool HasRun(const std::string& aId) const;

  // Adds a measured value to the case's line.
  void Figure(const std::string& aName, std::int64_t aValue);

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
  TestPlace place;
  std::map<std::string, Address> addresses;
  std::vector<Address> routerAddresses;
  // Links of the proxy: where it listens and what is behind it.
  std::map<std::string, std::pair<Address, Address>> links;
  std::vector<std::unique_ptr<Process>> others;
  std::vector<std::unique_ptr<Process>> engines;
  std::vector<std::unique_ptr<Process>> records;
  std::vector<std::unique_ptr<Process>> controls;
  std::vector<std::unique_ptr<Process>> routers;
  std::vector<std::pair<std::string, std::int64_t>> figures;
  int exceptions;
  int nextChange = 0;
  std::atomic<std::int64_t> paid;
};

// Callers that send chat calls from several threads until they are stopped.
struct CrowdOptions
{
  int threads = 6;
  // Of 100 calls, how many are streamed, and how many are left early.
  int streamed = 50;
  int left = 0;
  int pauseMs = 0;
  Duration limit = 20s;
  // Routers that are called; all when empty.
  std::vector<int> routers;
  std::string model = "chat";
};

class Crowd
{
public:
  Crowd(Fleet& aFleet, CrowdOptions aOptions);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  void Stop();

  // Counts of endings; valid after Stop.
  int Count(Ending aEnding) const;
  // Tokens of usages that callers were told.
  std::int64_t Told() const;
  // Refusals for the budget's sake, although what had been paid when the call
  // began and not been told of covered the request.
  int FalseRefusals() const;
  const std::vector<ChatAnswer>& Answers() const { return this->answers; }
  // Returns how many refusals said not_run of a request that ran.
  int CountFalseNotRun() const;

private:
  void Run(int aThread);

  Fleet& fleet;
  CrowdOptions options;
  std::atomic<bool> isStopped{ false };
  std::mutex mutex;
  std::vector<ChatAnswer> answers;
  std::vector<std::thread> threads;
};

} // namespace lycheestand::faults

#endif
