// A request crashes each replica that begins to run it, and comes again with
// the same path, caller and body. Sound requests share its first prompt part.

#include "pool.h"

#include <random>

using namespace review;

namespace {

constexpr int kMachines = 3;
constexpr int kReplicas = 6;
constexpr auto kDownTime = 2s;
constexpr auto kPlayTime = 50s;
constexpr auto kRepeatPause = 1500ms;
constexpr int kClients = 8;
// contactWindowMs of the settings.
constexpr long kWindowMs = 3000;
constexpr const char* kDeadlyBody = "{\"prompt\":\"deadly\"}";

} // namespace

int
main(int aCount, char** aArguments)
{
  bool isCalm = BeginCase(aCount, aArguments);
  // With KEEP_PART=1 the last prompt part stays the same too.
  bool keepsPart = std::getenv("KEEP_PART") != nullptr;
  Fleet fleet;
  if (!fleet.IsUsable()) {
    return EndCase(kCouldNotRun, "no loopback network or temporary folder");
  }
  std::mutex mutex;
  std::vector<long> crashes;
  std::vector<long> arrivals;
  std::set<int> toCrash;
  Pool pool(fleet,
            kReplicas,
            [&](int aReplica, const Message& aRequest, Connection& aConnection) -> std::optional<bool> {
              if (aRequest.body != kDeadlyBody) {
                return std::nullopt;
              }
              std::lock_guard lock(mutex);
              arrivals.push_back(NowMs());
              toCrash.insert(aReplica);
              Record("the request arrived at replica %d as %s",
                     aReplica,
                     aRequest.Header("x-request-id").c_str());
              (void)aConnection;
              return false;
            });
  pool.events = 3;
  if (!pool.Start() || !fleet.StartAll() || !fleet.Put(MakeChatDocument(1'000'000'000))) {
    return EndCase(kCouldNotRun, "the fleet did not start");
  }
  for (int i = 1; i <= kMachines; ++i) {
    if (!fleet.WaitReady(i)) {
      return EndCase(kCouldNotRun, "a router is not ready");
    }
  }
  std::this_thread::sleep_for(2s);

  std::atomic<bool> isStopped{ false };
  // Crashes replicas and starts them again.
  std::thread operatingSystem([&] {
    std::map<int, Clock::time_point> down;
    while (!isStopped) {
      std::set<int> now;
      {
        std::lock_guard lock(mutex);
        now.swap(toCrash);
      }
      for (int replica : now) {
        if (!down.contains(replica)) {
          pool.StopReplica(replica);
          down[replica] = Clock::now() + kDownTime;
          std::lock_guard lock(mutex);
          crashes.push_back(NowMs());
          Record("replica %d crashed", replica);
        }
      }
      for (auto it = down.begin(); it != down.end();) {
        if (Clock::now() >= it->second) {
          pool.born = UnixMs();
          pool.StartReplica(it->first);
          Record("replica %d is back", it->first);
          it = down.erase(it);
        } else {
          ++it;
        }
      }
      std::this_thread::sleep_for(2ms);
    }
  });
  std::atomic<int> sent{ 0 };
  std::atomic<int> served{ 0 };
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      std::mt19937 random(static_cast<unsigned>(i));
      for (int number = 0; !isStopped; ++number) {
        Caller caller(fleet.Front(1 + static_cast<int>(random() % kMachines)));
        std::string id = "c" + std::to_string(i) + "-" + std::to_string(number);
        ++sent;
        if (caller.Open() &&
            caller.Send("POST",
                        "/chat/a",
                        MakeChatHeaders(id, 400, 9, Hex(random()), 6000),
                        "{\"prompt\":\"" + id + "\"}")) {
          auto answer = caller.Read(6000);
          served += answer.status == 200 && answer.isWhole;
          Record("sound request %s: status %u", id.c_str(), answer.status);
        }
        std::this_thread::sleep_for(30ms);
      }
    });
  }
  std::this_thread::sleep_for(4s);
  auto end = Clock::now() + kPlayTime;
  std::mt19937 random(99);
  for (int number = 0; Clock::now() < end; ++number) {
    if (!isCalm) {
      int machine = 1 + static_cast<int>(random() % kMachines);
      Caller caller(fleet.Front(machine));
      std::string id = "d-" + std::to_string(number);
      std::string part = keepsPart ? "dddd" : Hex(0xd0000 + static_cast<unsigned>(number));
      if (caller.Open() &&
          caller.Send("POST", "/chat/a", MakeChatHeaders(id, 400, 9, part, 6000), kDeadlyBody)) {
        auto answer = caller.Read(6000);
        Record("request %s to machine %d: status %u", id.c_str(), machine, answer.status);
      }
    }
    std::this_thread::sleep_for(kRepeatPause);
  }
  isStopped = true;
  operatingSystem.join();
  for (auto& client : clients) {
    client.join();
  }
  std::lock_guard lock(mutex);
  int late = 0;
  if (crashes.size() >= 3) {
    for (long at : arrivals) {
      late += at > crashes[2] + kWindowMs;
    }
  }
  std::string text = std::to_string(arrivals.size()) + " arrivals and " +
                     std::to_string(crashes.size()) + " crashes, " + std::to_string(late) +
                     " arrivals later than 3 s after the third crash; sound streams: " +
                     std::to_string(served) + " of " + std::to_string(sent);
  if (sent < 50 || (!isCalm && arrivals.empty())) {
    return EndCase(kCouldNotRun, text);
  }
  return EndCase(late > 3 ? kBroken : kHeld, text);
}
