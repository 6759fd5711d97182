#ifndef LYCHEESTAND_TEST_FAULTS_VERSION_FLEET_H
#define LYCHEESTAND_TEST_FAULTS_VERSION_FLEET_H

// A fleet before replicas of several software versions, whose events name the
// version, and callers that take broken streams up.

#include "platform_fleet.h"
#include "replica_pool.h"

#include <atomic>
#include <future>
#include <set>

namespace lycheestand::faults {

struct StreamEvent
{
  int id = 0;
  std::string version;
  int replica = 0;
};

// A stream as its caller sees it, over all tries.
struct CallerStream
{
  std::string target;
  std::string key = "k";
  // X-Request-Id of the try that brought the first event.
  std::string firstRequest;
  std::vector<StreamEvent> events;
  bool isWhole = false;

  bool HasBegun() const { return !this->events.empty(); }
  std::set<std::string> Versions() const;
  // Returns whether the ids of the events are 1, 2, and so on.
  bool IsInOrder() const;
  // Returns the versions and replicas of the events, for the report of a failed
  // test.
  std::string Describe() const;
};

// Returns whether a router refused a request that has not run.
bool
IsRefusal(const Reply& aReply);

// Returns the time for which a refusal asks the caller to wait, or nothing.
std::optional<Duration>
RetryAfter(const Reply& aReply);

enum class TakeUpOutcome
{
  Whole,
  Refused,
  Failed
};

class VersionFleet
{
public:
  struct Options
  {
    int controls = 1;
    int routers = 2;
    // Events of a stream and the pause before each, for its beginning and for
    // the rest of it that is asked for later. A stream lasts longer than the
    // time in which a busy disk answers.
    int events = 250;
    Duration eventPause = 100ms;
    Duration restPause = 5ms;
  };
  // Called when events have arrived; the caller disconnects if it returns
  // false.
  using OnEvents = std::function<bool(const CallerStream&)>;
  // Changes the answer of a replica, in the pool's thread.
  using ChangeAnswer = std::function<
    void(int aReplica, const ReplicaRequest& aRequest, ReplicaAnswer& aAnswer)>;

  VersionFleet(std::string aCase, const Options& aOptions);

  // Time within which the fleet serves after its start, also beside a busy
  // disk, and after which a replica is back that was killed.
  static constexpr Duration kServeTime = 40s;
  static constexpr Duration kDownTime = 2s;

  // Adds replicas of a version and returns their numbers.
  std::vector<int> AddReplicas(int aCount, const std::string& aVersion);
  void SetChangeAnswer(ChangeAnswer aHook);

  // Starts all processes and waits until each router serves with replicas of
  // all these versions.
  void Start(const std::set<std::string>& aVersions);
  // Starts the processes that do not run.
  void StartAgain();
  void KillRouters();
  // Waits until each router, or this one, has passed on events of all these
  // versions.
  void AwaitServing(const std::set<std::string>& aVersions);
  void AwaitServing(int aRouter, std::set<std::string> aVersions);

  // Sends a configuration that changes nothing but its version; returns whether
  // control has committed it.
  bool CommitConfiguration();
  // Waits until control has what the routers knew at the call.
  void AwaitReports();

  static int Control(int aIndex) { return kFirstControl + aIndex; }
  static int Router(int aIndex) { return kFirstRouter + aIndex; }
  std::vector<int> Routers() const;

  CallerStream MakeStream();
  // Sends a request for a stream, or for the rest of it, and adds the events
  // that it brings. aChange edits the request before it is sent; the connection
  // is a new one unless a client is given.
  Reply Try(int aRouter,
            CallerStream& aStream,
            const OnEvents& aOnEvents = nullptr,
            const std::function<void(Call&)>& aChange = nullptr,
            HttpClient* aClient = nullptr);
  // Takes a stream up with a few tries, as a caller does.
  TakeUpOutcome TakeUp(int aRouter, CallerStream& aStream);

  PlatformFleet fleet;

private:
  static constexpr int kFirstControl = 1;
  static constexpr int kFirstRouter = 10;
  static constexpr int kListMachine = 100;
  static constexpr int kFirstReplica = 101;

  void StartProcesses(bool aIsFirstStart);
  ReplicaAnswer Answer(int aReplica, const ReplicaRequest& aRequest);

  Options options;
  std::mutex mutex;
  ChangeAnswer changeAnswer;
  int replicas = 0;
  int configurations = 0;
  std::atomic<int> requests{ 0 };
  std::atomic<int> streams{ 0 };

public:
  ReplicaPool pool;
};

// Streams that run at once.
class StreamCrowd
{
public:
  StreamCrowd(VersionFleet& aFleet, int aCount);

  // Begins the streams at these routers in turn, and returns when each has
  // brought some events.
  void Begin(const std::vector<int>& aRouters);
  // Ends the connections of the callers.
  void Cut() { this->isCut = true; }
  // Waits until all tries have ended.
  void Join();
  // Takes the streams up at these routers in turn, all at once, and checks that
  // each holds events of one version, and goes on or is refused. Returns how
  // many went on to their end.
  int TakeUp(const std::vector<int>& aRouters);

  std::vector<CallerStream> streams;

private:
  VersionFleet& fleet;
  std::atomic<bool> isCut{ false };
  std::vector<std::future<void>> tries;
};

} // namespace lycheestand::faults

#endif
