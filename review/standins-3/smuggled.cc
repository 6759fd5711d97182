// A client that nobody controls sends requests with a transfer coding that is
// not chunked and no length. The bytes that follow look like requests.

#include "harness.h"

using namespace review;

namespace {

constexpr int kMachines = 3;
constexpr int kRequests = 20;

std::string
MakeDocument()
{
  return R"({"version":1,"routes":[{"name":"r-order","host":"desk.example","pathPrefix":"/order/",)"
         R"("kind":"unsafe","timeoutMs":1000,"targetLatencyMs":150,"priority":0,"service":"desk",)"
         R"("maxAttempts":1,"public":false,"sessionAffinity":false,"resumable":false}],)"
         R"("services":[{"name":"desk","healthPath":"/health","maxConns":120,"protocol":"h1","tls":false}],)"
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
         R"("tenants":[{"name":"tenant-a","apiKeys":["key-a"],"priority":1,"prepaid":1000000}]})";
}

std::string
MakeHead(const std::string& aId, const std::string& aMore)
{
  return "POST /order/new HTTP/1.1\r\nHost: desk.example\r\nX-Key: key-a\r\nX-Request-Id: " + aId +
         "\r\nX-Deadline-Ms: 1000\r\n" + aMore + "\r\n";
}

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
  std::map<std::string, std::string> ran; // body by id
  std::vector<std::unique_ptr<Server>> replicas;
  ReplicaList list(fleet.List());
  for (int i = 0; i < 3; ++i) {
    std::string id = "i-desk" + std::to_string(i);
    replicas.push_back(std::make_unique<Server>(
      fleet.Replica(i), [&, id](const Message& aRequest, Connection& aConnection) {
        if (aRequest.Header("x-expect-instance") != id) {
          return aConnection.Write(
            MakeAnswer("421 Misdirected Request", aRequest, "", "X-Not-Executed: 1\r\n"));
        }
        {
          std::lock_guard lock(mutex);
          ran[aRequest.Header("x-request-id")] = aRequest.body;
          Record("%s ran %s with a body of %zu bytes",
                 id.c_str(),
                 aRequest.Header("x-request-id").c_str(),
                 aRequest.body.size());
        }
        std::this_thread::sleep_for(10ms);
        return aConnection.Write(MakeAnswer("200 OK", aRequest, "done"));
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
  int calmRuns = 0;
  for (int number = 0; number < kRequests; ++number) {
    Caller caller(fleet.Front(1 + number % kMachines));
    std::string outer = "outer-" + std::to_string(number);
    std::string body = MakeHead("inner-" + std::to_string(number), "Content-Length: 2\r\n") + "{}";
    std::string head =
      MakeHead(outer,
               isCalm ? "Content-Length: " + std::to_string(body.size()) + "\r\n"
                      : "Transfer-Encoding: gzip\r\n");
    if (!caller.Open() || !caller.SendBytes(head + body)) {
      continue;
    }
    auto answer = caller.Read(2000);
    Record("%s: status %u", outer.c_str(), answer.status);
    calmRuns += answer.status == 200;
    if (caller.IsOpen()) {
      auto next = caller.Read(1500);
      Record("a further answer: status %u", next.status);
    }
  }
  std::lock_guard lock(mutex);
  int smuggled = 0;
  int changed = 0;
  for (const auto& [id, body] : ran) {
    smuggled += id.rfind("inner-", 0) == 0;
    changed += id.rfind("outer-", 0) == 0 && body.empty();
  }
  std::string text = std::to_string(smuggled) + " requests ran that were only bytes of a body; " +
                     std::to_string(changed) + " ran without their body; " +
                     std::to_string(calmRuns) + " of " + std::to_string(kRequests) + " answered 200";
  if (isCalm && calmRuns < kRequests) {
    return EndCase(kCouldNotRun, text);
  }
  return EndCase(smuggled + changed > 0 ? kBroken : kHeld, text);
}
