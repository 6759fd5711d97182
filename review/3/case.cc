// An operator takes the last tenant out of the configuration. Counts the
// requests with its key, and with a key that no configuration ever held, that
// replicas run afterwards.
#include "harness.h"

using namespace review;

namespace {

constexpr int kListMachine = 200;
constexpr int kRouters = 3;
constexpr double kTrafficSeconds = 5;
constexpr double kPause = 0.02;
// configApplyMs is 2 s.
constexpr double kApplySeconds = 3;

std::string MakeConfig(int aVersion, const std::string& aTenants)
{
  return "{\"version\":" + std::to_string(aVersion) +
         R"(,"routes":[{"name":"book-order","host":"h.example","pathPrefix":"/b/","kind":"unsafe","timeoutMs":1000,)"
         R"("targetLatencyMs":150,"priority":2,"service":"service-desk","maxAttempts":1,"public":false}],)"
         R"("services":[{"name":"service-desk","healthPath":"/health","maxConns":120,"protocol":"h1","tls":false}],)"
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
         R"("tenants":[)" +
         aTenants + "]}";
}

std::mutex gMutex;
std::map<std::string, int> gRuns;

bool Serve(const std::string& aId, int aFd, const Request& aRequest)
{
  std::string head = "X-Request-Id: " + aRequest.Header("x-request-id") + "\r\nX-Response-Seal: " + aId + "." +
                     aRequest.Header("x-request-id") + "\r\nX-Replica-Load: 1,0,6\r\n";
  if (aRequest.Header("x-expect-instance") != aId) {
    return WriteAll(aFd, Plain(421, head + "X-Not-Executed: other\r\n", ""));
  }
  {
    std::lock_guard lock(gMutex);
    ++gRuns[aRequest.target + ", X-Tenant \"" + aRequest.Header("x-tenant") + "\""];
  }
  Sleep(0.03);
  return WriteAll(aFd, Plain(200, head, "booked"));
}

// Sends orders with a key to the routers in turn; the path names the phase.
// Returns how many were answered 200.
int Traffic(const std::string& aPhase, const std::string& aKey)
{
  int sent = 0;
  std::map<int, int> statuses;
  for (double end = Seconds() + kTrafficSeconds; Seconds() < end; Sleep(kPause)) {
    Answer answer = Call(Ip(1 + sent++ % kRouters), kFrontPort, "POST", "/b/" + aPhase,
                         "Host: h.example\r\nX-Request-Id: " + NewId() + "\r\nX-Deadline-Ms: 1000\r\nX-Key: " + aKey +
                           "\r\nConnection: close\r\n",
                         "one van", 1.5);
    ++statuses[answer.status];
  }
  for (const auto& [status, count] : statuses) {
    Record("%s, key %s: answered %d: %d of %d", aPhase.c_str(), aKey.c_str(), status, count, sent);
  }
  return statuses[200];
}

} // namespace

int main()
{
  Case test("review/3/record.txt");
  PlatformList list(kListMachine);
  std::vector<std::unique_ptr<Server>> replicas;
  std::vector<std::string> entries;
  for (int i = 0; i < 3; ++i) {
    std::string id = "i-" + std::to_string(i);
    replicas.push_back(std::make_unique<Server>(
      Ip(20 + i), kReplicaPort, [id](int aFd, const Request& aRequest) { return Serve(id, aFd, aRequest); }));
    entries.push_back(PlatformList::Entry(
      id, "service-desk", Ip(20 + i), std::string("fi-south-") + static_cast<char>('a' + i), "ready"));
  }
  list.Set(entries);
  std::vector<std::unique_ptr<Machine>> machines;
  for (bool isControl : { true, false }) {
    for (int number = 1; number <= kRouters; ++number) {
      machines.push_back(std::make_unique<Machine>(test.folder, number, isControl, true, list.Address()));
      machines.back()->Start({ 1, 2, 3 }, true);
    }
  }
  std::vector<std::string> ips{ Ip(1), Ip(2), Ip(3) };
  const std::string tenant = R"({"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1,"prepaid":1000000})";
  if (CallControl(ips, "PUT", MakeConfig(7, tenant), 20).status != 200) {
    test.End(2, "the first configuration was not acknowledged");
  }
  Sleep(kApplySeconds);
  int before = Traffic("before", "n2ctnfzs989anu6wsjnb");
  int unknownBefore = Traffic("before-unknown", "neverheldbyanyconfig");
  if (before == 0 || unknownBefore > 0) {
    test.End(2, "the keys were not checked before");
  }
  if (test.hasTrouble) {
    int status = CallControl(ips, "PUT", MakeConfig(8, ""), 20).status;
    Record("version 8, without the tenant: %d", status);
    if (status >= 400) {
      test.End(0, "the configuration was refused");
    }
    if (status != 200) {
      test.End(2, "the second configuration was not acknowledged");
    }
    Sleep(kApplySeconds);
  }
  // Without the change, the tenant's key is good.
  int dropped = Traffic("after", "n2ctnfzs989anu6wsjnb");
  int unknown = Traffic("after-unknown", "neverheldbyanyconfig");
  int unknownRuns = 0;
  {
    std::lock_guard lock(gMutex);
    for (const auto& [what, count] : gRuns) {
      Record("replicas ran %s: %d", what.c_str(), count);
      unknownRuns += what.rfind("/b/after-unknown", 0) == 0 ? count : 0;
    }
  }
  bool isBroken = unknownRuns > 0 || (test.hasTrouble && dropped > 0);
  test.End(isBroken ? 1 : 0, std::to_string(unknownRuns) + " requests with a key that no configuration held were run, " +
                               std::to_string(unknown) + " were answered 200; 200 for the key of the tenant: " +
                               std::to_string(dropped));
}
