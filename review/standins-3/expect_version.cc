// A client names a version of the weights that no replica has. The replicas
// turn its requests away as the pages say. Ordinary clients stream meanwhile.

#include "pool.h"

#include <random>

using namespace review;

namespace {

constexpr int kMachines = 3;
constexpr int kReplicas = 6;
constexpr int kRequestsPerRouter = 12;
constexpr auto kCalmTime = 6s;
constexpr auto kSettleTime = 4s;
constexpr auto kLaterTime = 15s;
constexpr int kClients = 6;

struct Counts
{
  std::atomic<int> sent{ 0 };
  std::atomic<int> served{ 0 };
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
  Pool pool(fleet,
            kReplicas,
            [](int aReplica, const Message& aRequest, Connection& aConnection) -> std::optional<bool> {
              auto version = aRequest.Header("x-expect-version");
              if (version.empty() || version == "1") {
                return std::nullopt;
              }
              Record("replica %d: 421 for version %s", aReplica, version.c_str());
              return aConnection.Write(MakeAnswer("421 Misdirected Request",
                                                  aRequest,
                                                  "",
                                                  "X-Not-Executed: 1\r\nX-Weights-Versions: 1\r\n"));
            });
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
  Counts calm;
  Counts settling;
  Counts later;
  std::atomic<Counts*> counts{ &calm };
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      std::mt19937 random(static_cast<unsigned>(i));
      for (int number = 0; !isStopped; ++number) {
        Counts& now = *counts.load();
        ++now.sent;
        bool isServed = false;
        int first = static_cast<int>(random() % kMachines);
        for (int attempt = 0; attempt < 2 && !isServed; ++attempt) {
          int machine = 1 + (first + attempt) % kMachines;
          Caller caller(fleet.Front(machine));
          std::string id =
            "c" + std::to_string(i) + "-" + std::to_string(number) + "-" + std::to_string(attempt);
          Answer answer;
          if (caller.Open() &&
              caller.Send("POST",
                          "/chat/a",
                          MakeChatHeaders(id, 400, 60, Hex(random()), 6000),
                          "{}")) {
            answer = caller.Read(6000);
          }
          isServed = answer.status == 200 && answer.isWhole;
          Record("request %s to machine %d: status %u, %d events",
                 id.c_str(),
                 machine,
                 answer.status,
                 CountEvents(answer.body));
        }
        now.served += isServed;
        std::this_thread::sleep_for(100ms);
      }
    });
  }
  std::this_thread::sleep_for(kCalmTime);
  counts = &settling;
  if (!isCalm) {
    for (int machine = 1; machine <= kMachines; ++machine) {
      for (int number = 0; number < kRequestsPerRouter; ++number) {
        Caller caller(fleet.Front(machine));
        std::string id = "v" + std::to_string(machine) + "-" + std::to_string(number);
        auto headers = MakeChatHeaders(id, 400, 60, Hex(static_cast<unsigned>(number)), 6000);
        headers["X-Expect-Version"] = "2";
        if (caller.Open() && caller.Send("POST", "/chat/a", headers, "{}")) {
          auto answer = caller.Read(3000);
          Record("request %s with X-Expect-Version 2 to machine %d: status %u",
                 id.c_str(),
                 machine,
                 answer.status);
        }
      }
    }
  }
  std::this_thread::sleep_for(kSettleTime);
  counts = &later;
  std::this_thread::sleep_for(kLaterTime);
  counts = &settling;
  isStopped = true;
  for (auto& client : clients) {
    client.join();
  }
  std::string text = "calm: " + std::to_string(calm.served) + " of " + std::to_string(calm.sent) +
                     " streams served; from 4 s after the client's last request: " +
                     std::to_string(later.served) + " of " + std::to_string(later.sent);
  if (calm.sent < 20 || calm.served * 10 < calm.sent * 9) {
    return EndCase(kCouldNotRun, text + "; not served before");
  }
  bool isBroken = later.served * 4 < later.sent;
  return EndCase(isBroken ? kBroken : kHeld, text);
}
