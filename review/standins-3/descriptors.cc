// Callers that nobody controls open connections to all routers and leave them
// idle. Ordinary callers look records up meanwhile.

#include "harness.h"

#include <algorithm>
#include <random>

using namespace review;

namespace {

constexpr int kMachines = 3;
// What kalkki-fleet gives a process.
constexpr rlim_t kDescriptors = 3900;
// Connections to each router, a little more than it has descriptors, and the
// processes that hold them.
constexpr int kCrowd = 4000;
constexpr int kCrowdPerProcess = 800;
constexpr auto kCalmTime = 6s;
constexpr auto kGrowTime = 6s;
constexpr auto kCrowdTime = 14s;
constexpr int kOrdinaryCallers = 6;
constexpr int kDeadlineMs = 1000;

std::string
MakeDocument()
{
  return R"({"version":1,"routes":[{"name":"r-lookup","host":"desk.example","pathPrefix":"/unit/",)"
         R"("kind":"safe","timeoutMs":1000,"targetLatencyMs":150,"priority":0,"service":"desk",)"
         R"("maxAttempts":2,"public":false,"sessionAffinity":false,"resumable":false}],)"
         R"("services":[{"name":"desk","healthPath":"/health","maxConns":120,"protocol":"h1","tls":false}],)"
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
         R"("tenants":[{"name":"tenant-a","apiKeys":["key-a"],"priority":1,"prepaid":1000000}]})";
}

// Waits for a byte, then holds idle connections until it is killed; opens one
// again that was closed.
[[noreturn]] void
HoldConnections(const Endpoint& aAt, int aCount, int aStart)
{
  char start = 0;
  if (::read(aStart, &start, 1) != 1) {
    std::_Exit(0);
  }
  std::vector<int> open(static_cast<std::size_t>(aCount), -1);
  auto end = Clock::now() + 60s;
  for (int round = 0; Clock::now() < end; ++round) {
    for (auto& fd : open) {
      if (fd >= 0) {
        char byte = 0;
        auto count = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
          ::close(fd);
          fd = -1;
        }
      }
      if (fd < 0) {
        fd = Connect(aAt, 200);
      }
    }
    if (round % 20 == 0) {
      auto held = std::count_if(open.begin(), open.end(), [](int aFd) { return aFd >= 0; });
      ::dprintf(::fileno(gRecord),
                "%7ld crowd: %d connections to %s\n",
                NowMs(),
                static_cast<int>(held),
                aAt.Text().c_str());
    }
    std::this_thread::sleep_for(100ms);
  }
  std::_Exit(0);
}

struct Counts
{
  std::atomic<int> sent{ 0 };
  std::atomic<int> answered{ 0 };
};

} // namespace

int
main(int aCount, char** aArguments)
{
  bool isCalm = BeginCase(aCount, aArguments);
  Fleet fleet;
  if (!fleet.IsUsable()) {
    return EndCase(kCouldNotRun, "no loopback network or temporary folder");
  }
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_max < kDescriptors) {
    return EndCase(kCouldNotRun, "this machine gives a process too few descriptors");
  }
  // The crowd's processes are forked before this one has threads.
  int start[2];
  if (::pipe(start) != 0) {
    return EndCase(kCouldNotRun, "no pipe");
  }
  std::vector<pid_t> crowd;
  for (int machine = 1; !isCalm && machine <= kMachines; ++machine) {
    for (int held = 0; held < kCrowd; held += kCrowdPerProcess) {
      pid_t id = ::fork();
      if (id == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::close(start[1]);
        HoldConnections(fleet.Front(machine), kCrowdPerProcess, start[0]);
      }
      crowd.push_back(id);
    }
  }
  ::close(start[0]);
  auto endCrowd = [&crowd] {
    for (auto id : crowd) {
      ::kill(id, SIGKILL);
      ::waitpid(id, nullptr, 0);
    }
    crowd.clear();
  };
  struct AtExit
  {
    std::function<void()> run;
    ~AtExit() { this->run(); }
  } atExit{ endCrowd };
  std::atomic<int> runs{ 0 };
  std::vector<std::unique_ptr<Server>> replicas;
  ReplicaList list(fleet.List());
  for (int i = 0; i < 3; ++i) {
    std::string id = "i-desk" + std::to_string(i);
    replicas.push_back(std::make_unique<Server>(
      fleet.Replica(i), [&runs, id](const Message& aRequest, Connection& aConnection) {
        if (aRequest.Header("x-expect-instance") != id) {
          return aConnection.Write(
            MakeAnswer("421 Misdirected Request", aRequest, "", "X-Not-Executed: 1\r\n"));
        }
        ++runs;
        std::this_thread::sleep_for(10ms);
        return aConnection.Write(
          MakeAnswer("200 OK", aRequest, "record", "X-Replica-Load: 1,0,6\r\n"));
      }));
    if (!replicas.back()->Start()) {
      return EndCase(kCouldNotRun, "a replica can't listen");
    }
    list.Set({ id, "desk", fleet.Replica(i).Text() });
  }
  if (!list.Start() || !fleet.StartAll() || !fleet.Put(MakeDocument())) {
    return EndCase(kCouldNotRun, "the fleet did not start");
  }
  for (int i = 1; i <= kMachines; ++i) {
    if (!fleet.WaitReady(i)) {
      return EndCase(kCouldNotRun, "a router is not ready");
    }
  }
  std::this_thread::sleep_for(2s);

  // Ordinary callers: a request each 100 ms on a new connection, with two
  // retries at other routers, one second in all.
  std::atomic<bool> isStopped{ false };
  std::atomic<Counts*> counts{ nullptr };
  Counts calm;
  Counts crowded;
  Counts between;
  counts = &calm;
  std::vector<std::thread> callers;
  for (int i = 0; i < kOrdinaryCallers; ++i) {
    callers.emplace_back([&, i] {
      std::mt19937 random(static_cast<unsigned>(i));
      for (int number = 0; !isStopped; ++number) {
        Counts& now = *counts.load();
        ++now.sent;
        auto until = Clock::now() + std::chrono::milliseconds(kDeadlineMs);
        int first = static_cast<int>(random() % kMachines);
        unsigned status = 0;
        for (int attempt = 0; attempt < 3 && status != 200; ++attempt) {
          auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
          if (left <= 0) {
            break;
          }
          int machine = 1 + (first + attempt) % kMachines;
          Caller caller(fleet.Front(machine));
          std::string id = "c" + std::to_string(i) + "-" + std::to_string(number) + "-" +
                           std::to_string(attempt);
          if (caller.Open(static_cast<int>(left)) &&
              caller.Send("GET",
                           "/unit/7",
                           { { "Host", "desk.example" },
                             { "X-Key", "key-a" },
                             { "X-Request-Id", id },
                             { "X-Deadline-Ms", std::to_string(left) } })) {
            status = caller.Read(static_cast<int>(std::min<long>(left, 334))).status;
          }
          Record("request %s to machine %d: status %u", id.c_str(), machine, status);
        }
        now.answered += status == 200;
        std::this_thread::sleep_for(100ms);
      }
    });
  }
  std::this_thread::sleep_for(kCalmTime);

  counts = &between;
  if (!isCalm) {
    Record("%d idle connections to each router", kCrowd);
    std::string bytes(crowd.size(), 's');
    if (::write(start[1], bytes.data(), bytes.size()) != static_cast<ssize_t>(bytes.size())) {
      return EndCase(kCouldNotRun, "the crowd can't start");
    }
  }
  std::this_thread::sleep_for(kGrowTime);
  counts = &crowded;
  std::this_thread::sleep_for(kCrowdTime);
  counts = &between;
  for (int machine = 1; machine <= kMachines; ++machine) {
    if (fleet.HasEnded("router" + std::to_string(machine))) {
      Record("the router of machine %d has ended", machine);
    }
  }
  isStopped = true;
  for (auto& caller : callers) {
    caller.join();
  }
  endCrowd();
  std::string text = "calm: " + std::to_string(calm.answered) + " of " +
                     std::to_string(calm.sent) + " answered; then: " +
                     std::to_string(crowded.answered) + " of " + std::to_string(crowded.sent);
  if (calm.sent < 50 || calm.answered * 10 < calm.sent * 9) {
    return EndCase(kCouldNotRun, text + "; not served before the crowd");
  }
  bool isBroken = crowded.answered * 4 < crowded.sent;
  return EndCase(isBroken ? kBroken : kHeld, text);
}
