// Another writer leaves an entry in the platform's list that is cut off. Then
// replicas of the service drain, which the list shows as ever.

#include "pool.h"

#include <random>

using namespace review;

namespace {

constexpr int kMachines = 3;
constexpr int kReplicas = 6;
constexpr int kDraining = 2;
// drainMs of the settings, and maxLagMs of the list, which this list does not
// have: a change is seen by the next reading.
constexpr long kDrainMs = 3000;
constexpr long kMaxLagMs = 800;
constexpr int kClients = 4;
constexpr const char* kTornEntry = R"({"service":"other","address":"127.0.0.1:80)";

} // namespace

int
main(int aCount, char** aArguments)
{
  bool isCalm = BeginCase(aCount, aArguments);
  Fleet fleet;
  if (!fleet.IsUsable()) {
    return EndCase(kCouldNotRun, "no loopback network or temporary folder");
  }
  std::mutex mutex;
  std::map<std::string, long> sentAt;
  std::vector<std::pair<int, std::string>> arrivals;
  Pool pool(fleet,
            kReplicas,
            [&](int aReplica, const Message& aRequest, Connection&) -> std::optional<bool> {
              std::lock_guard lock(mutex);
              arrivals.emplace_back(aReplica, aRequest.Header("x-request-id"));
              return std::nullopt;
            });
  pool.events = 5;
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
  std::atomic<int> served{ 0 };
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      std::mt19937 random(static_cast<unsigned>(i));
      for (int number = 0; !isStopped; ++number) {
        Caller caller(fleet.Front(1 + static_cast<int>(random() % kMachines)));
        std::string id = "c" + std::to_string(i) + "-" + std::to_string(number);
        {
          std::lock_guard lock(mutex);
          sentAt[id] = NowMs();
        }
        if (caller.Open() &&
            caller.Send(
              "POST", "/chat/a", MakeChatHeaders(id, 400, 30, Hex(random()), 6000), "{}")) {
          auto answer = caller.Read(6000);
          served += answer.status == 200 && answer.isWhole;
          Record("request %s: status %u", id.c_str(), answer.status);
        }
        std::this_thread::sleep_for(30ms);
      }
    });
  }
  std::this_thread::sleep_for(5s);
  if (!isCalm) {
    pool.List().SetForeignEntry(kTornEntry);
    Record("the list has an entry that is cut off: %s", kTornEntry);
  }
  std::this_thread::sleep_for(3s);
  for (int i = 0; i < kDraining; ++i) {
    pool.SetEntry(i, "draining");
  }
  long drainedAt = NowMs();
  Record("the list shows replicas 0 to %d as draining", kDraining - 1);
  std::this_thread::sleep_for(15s);
  isStopped = true;
  for (auto& client : clients) {
    client.join();
  }
  std::lock_guard lock(mutex);
  int late = 0;
  for (const auto& [replica, id] : arrivals) {
    if (replica < kDraining && sentAt[id] > drainedAt + kDrainMs + kMaxLagMs) {
      ++late;
      Record("request %s reached replica %d, sent %ld ms after it was draining",
             id.c_str(),
             replica,
             sentAt[id] - drainedAt);
    }
  }
  std::string text = std::to_string(late) + " requests sent later than " +
                     std::to_string(kDrainMs + kMaxLagMs) +
                     " ms after the list showed it reached a draining replica; " +
                     std::to_string(served) + " of " + std::to_string(sentAt.size()) + " served";
  if (served < 50) {
    return EndCase(kCouldNotRun, text);
  }
  return EndCase(late > 0 ? kBroken : kHeld, text);
}
