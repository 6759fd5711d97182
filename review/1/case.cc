// Exchanges the seeds for machines that serve control without a disk, replaces
// one core machine by an empty one, and later empties the disk of another one.
// Reads the configuration back, as an operator does.
#include "harness.h"

using namespace review;

namespace {

constexpr int kListMachine = 200;

std::string MakeConfig(int aVersion)
{
  return "{\"version\":" + std::to_string(aVersion) +
         R"(,"routes":[{"name":"r","host":"h.example","pathPrefix":"/a/","kind":"safe","timeoutMs":1000,)"
         R"("targetLatencyMs":150,"priority":2,"service":"sd","maxAttempts":2,"public":false}],)"
         R"("services":[{"name":"sd","healthPath":"/health","maxConns":120,"protocol":"h1","tls":false}],)"
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
         R"("tenants":[{"name":"w","apiKeys":["k1"],"priority":1,"prepaid":1000000}]})";
}

} // namespace

int main()
{
  Case test("review/1/record.txt");
  PlatformList list(kListMachine);
  // Machines 1 to 3 have a disk, 4 to 6 don't; 9 has one and is empty. The
  // zones are a, b, c in turn, so 9 is in the zone of 3.
  std::map<int, std::unique_ptr<Machine>> control;
  for (int number : { 1, 2, 3, 4, 5, 6, 9 }) {
    bool hasDisk = number <= 3 || number == 9;
    control[number] = std::make_unique<Machine>(test.folder, number, true, hasDisk, list.Address());
  }
  Machine router(test.folder, 7, false, false, list.Address());
  for (int number = 1; number <= 6; ++number) {
    control[number]->Start({ 1, 2, 3 }, true);
  }
  router.Start({ 1, 2, 3 }, true);
  std::vector<std::string> ips{ Ip(1), Ip(2), Ip(3), Ip(4), Ip(5), Ip(6) };
  auto put = [&](int aVersion) {
    Answer answer = CallControl(ips, "PUT", MakeConfig(aVersion), 20);
    Record("PUT /config version %d: %d", aVersion, answer.status);
    return answer.status == 200;
  };
  if (!put(7)) {
    test.End(2, "the first configuration was not acknowledged");
  }
  std::vector<int> seeds{ 1, 2, 3 };
  if (test.hasTrouble) {
    seeds = { 4, 5, 6 };
    Record("the seeds are exchanged for machines 4, 5 and 6 (SIGHUP)");
    for (auto& [number, machine] : control) {
      if (number != 9) {
        machine->WriteSettings(seeds, false);
        machine->Signal(SIGHUP);
      }
    }
    router.WriteSettings(seeds, false);
    router.Signal(SIGHUP);
    Sleep(3);
    Record("machine 3 is gone for good; an empty one comes 1 s later at another address");
    control[3]->Kill();
    Sleep(1);
    control[9]->Start(seeds, false);
    ips = { Ip(1), Ip(2), Ip(9), Ip(4), Ip(5), Ip(6) };
    // catchUpS is 4; this is more than twice as long.
    Sleep(10);
  }
  if (!put(8)) {
    test.End(2, "the second configuration was not acknowledged");
  }
  if (test.hasTrouble) {
    Record("machine 1 loses its disk, and is back after 1 s with an empty one");
    control[1]->Kill();
    control[1]->LoseDisk();
    Sleep(1);
    control[1]->Start(seeds, false);
  }
  double from = Seconds();
  Answer answer = CallControl(ips, "GET", "", 30);
  Record("GET /config, asked for up to 30 s: %d after %.1f s: %s", answer.status, Seconds() - from,
         answer.body.substr(0, 40).c_str());
  bool isThere = answer.status == 200 && answer.body == MakeConfig(8);
  test.End(isThere ? 0 : 1,
           isThere ? "the acknowledged configuration was read back"
                   : "the acknowledged configuration (version 8) was not read back in 30 s");
}
