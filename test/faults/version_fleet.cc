#include "version_fleet.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <sstream>

namespace lycheestand::faults {

namespace {

constexpr const char* kProbeTarget = "/resumable/probe";
constexpr unsigned kRefusalStatus = 503;
constexpr int kStreamDeadlineMs = 40'000;
constexpr Duration kStreamTimeout = 45s;

std::string
MakeVersionEvent(int aId, int aReplica, const std::string& aVersion)
{
  return "id: " + std::to_string(aId) + "\ndata: " + aVersion + " " +
         std::to_string(aReplica) + "\n\n";
}

// Returns the events that have arrived completely.
std::vector<StreamEvent>
ParseEvents(const std::string& aBody)
{
  std::vector<StreamEvent> events;
  std::size_t begin = 0;
  for (auto end = aBody.find("\n\n"); end != std::string::npos;
       begin = end + 2, end = aBody.find("\n\n", begin)) {
    std::istringstream text(aBody.substr(begin, end - begin));
    std::string idName;
    std::string dataName;
    StreamEvent event;
    if (text >> idName >> event.id >> dataName >> event.version >>
          event.replica &&
        idName == "id:") {
      events.push_back(std::move(event));
    }
  }
  return events;
}

} // namespace

std::set<std::string>
CallerStream::Versions() const
{
  std::set<std::string> versions;
  for (const auto& event : this->events) {
    versions.insert(event.version);
  }
  return versions;
}

bool
CallerStream::IsInOrder() const
{
  int last = 0;
  for (const auto& event : this->events) {
    if (event.id != ++last) {
      return false;
    }
  }
  return true;
}

std::string
CallerStream::Describe() const
{
  std::ostringstream out;
  out << this->target << " begun by " << this->firstRequest << ":";
  int replica = -1;
  for (const auto& event : this->events) {
    if (event.replica != replica) {
      replica = event.replica;
      out << " from " << event.id << " " << event.version << " of replica "
          << replica;
    }
  }
  out << ", " << this->events.size() << " events";
  return out.str();
}

bool
IsRefusal(const Reply& aReply)
{
  return aReply.isComplete && aReply.status == kRefusalStatus &&
         aReply.body.find(R"("not_run")") != std::string::npos;
}

std::optional<Duration>
RetryAfter(const Reply& aReply)
{
  auto found = aReply.headers.find("Retry-After");
  if (found == aReply.headers.end()) {
    return std::nullopt;
  }
  std::chrono::duration<double> seconds(std::atof(found->second.c_str()));
  return std::chrono::duration_cast<Duration>(seconds);
}

VersionFleet::VersionFleet(std::string aCase, const Options& aOptions)
  : fleet(std::move(aCase))
  , options(aOptions)
  , pool({},
         this->fleet.MachineIp(kListMachine),
         "llm",
         kDownTime,
         [this](int aReplica, const ReplicaRequest& aRequest) {
           return this->Answer(aReplica, aRequest);
         })
{
}

std::vector<int>
VersionFleet::AddReplicas(int aCount, const std::string& aVersion)
{
  std::vector<int> numbers;
  for (int i = 0; i < aCount; ++i) {
    numbers.push_back(this->pool.Add(
      this->fleet.MachineIp(kFirstReplica + this->replicas++), aVersion));
  }
  return numbers;
}

void
VersionFleet::SetChangeAnswer(ChangeAnswer aHook)
{
  std::lock_guard lock(this->mutex);
  this->changeAnswer = std::move(aHook);
}

// A request for an incarnation that has ended is refused, as the platform's
// replicas do.
ReplicaAnswer
VersionFleet::Answer(int aReplica, const ReplicaRequest& aRequest)
{
  auto expected = aRequest.Header("x-expect-instance");
  if (!expected.empty() && expected != aRequest.instance) {
    return { { MakeAnswer(421, aRequest, "", "X-Not-Executed: 1\r\n") } };
  }
  auto last = aRequest.Header("last-event-id");
  int events =
    aRequest.target.starts_with(kProbeTarget) ? 1 : this->options.events;
  ReplicaAnswer answer;
  answer.pieces = { MakeChunkedHead(aRequest) };
  answer.pause =
    last.empty() ? this->options.eventPause : this->options.restPause;
  for (int id = last.empty() ? 1 : std::stoi(last) + 1; id <= events; ++id) {
    answer.pieces.push_back(
      MakeChunk(MakeVersionEvent(id, aReplica, aRequest.version)));
  }
  answer.pieces.push_back(MakeChunk(""));
  std::lock_guard lock(this->mutex);
  if (this->changeAnswer) {
    this->changeAnswer(aReplica, aRequest, answer);
  }
  return answer;
}

std::vector<int>
VersionFleet::Routers() const
{
  std::vector<int> routers;
  for (int i = 0; i < this->options.routers; ++i) {
    routers.push_back(Router(i));
  }
  return routers;
}

void
VersionFleet::StartProcesses(bool aIsFirstStart)
{
  MachineOptions machine;
  for (int i = 0; i < this->options.controls; ++i) {
    machine.seeds.push_back(Control(i));
  }
  machine.bootstrap = aIsFirstStart;
  machine.listAddress = this->pool.ListAddress();
  for (int control : machine.seeds) {
    this->fleet.StartControl(control, machine);
  }
  for (int router : this->Routers()) {
    this->fleet.StartRouter(router, machine);
  }
}

void
VersionFleet::Start(const std::set<std::string>& aVersions)
{
  this->StartProcesses(true);
  REQUIRE(WaitFor(kServeTime, [this] { return this->CommitConfiguration(); }));
  this->AwaitServing(aVersions);
}

bool
VersionFleet::CommitConfiguration()
{
  auto route = MakeEngineRoute("resumable", "streaming", true);
  route["timeoutMs"] = kStreamDeadlineMs;
  json::array tenants;
  for (const char* suffix : { "", "2" }) {
    tenants.push_back(
      json::object{ { "name", std::string("w") + suffix },
                    { "apiKeys", json::array{ std::string("k") + suffix } },
                    { "prepaid", 100'000'000 } });
  }
  auto document = MakeEngineDocument(++this->configurations,
                                     json::array{ std::move(route) },
                                     std::move(tenants));
  for (int i = 0; i < this->options.controls; ++i) {
    if (this->fleet.PutDocument(Control(i), document) == 200) {
      return true;
    }
  }
  return false;
}

// Routers report within less than a second, and control commits in order.
void
VersionFleet::AwaitReports()
{
  constexpr Duration kReportTime = 3s;
  std::this_thread::sleep_for(kReportTime);
  REQUIRE(WaitFor(kServeTime, [this] { return this->CommitConfiguration(); }));
}

void
VersionFleet::StartAgain()
{
  this->StartProcesses(false);
}

void
VersionFleet::KillRouters()
{
  for (int router : this->Routers()) {
    this->fleet.Machine(router).Signal(SIGKILL);
  }
  for (int router : this->Routers()) {
    this->fleet.Machine(router).Kill();
  }
}

void
VersionFleet::AwaitServing(const std::set<std::string>& aVersions)
{
  for (int router : this->Routers()) {
    this->AwaitServing(router, aVersions);
  }
}

void
VersionFleet::AwaitServing(int aRouter, std::set<std::string> aVersions)
{
  REQUIRE(WaitFor(kServeTime, [this, aRouter, &aVersions] {
    CallerStream probe;
    probe.target = kProbeTarget + std::to_string(++this->streams);
    this->Try(aRouter, probe);
    for (const auto& version : probe.Versions()) {
      aVersions.erase(version);
    }
    return probe.HasBegun() && aVersions.empty();
  }));
}

CallerStream
VersionFleet::MakeStream()
{
  CallerStream stream;
  stream.target = "/resumable/s" + std::to_string(++this->streams);
  return stream;
}

Reply
VersionFleet::Try(int aRouter,
                  CallerStream& aStream,
                  const OnEvents& aOnEvents,
                  const std::function<void(Call&)>& aChange,
                  HttpClient* aClient)
{
  std::string id = "q" + std::to_string(++this->requests);
  Call call;
  call.method = "POST";
  call.target = aStream.target;
  call.headers = { { "Host", "h.example" },
                   { "X-Request-Id", id },
                   { "X-Key", aStream.key },
                   { "X-Deadline-Ms", std::to_string(kStreamDeadlineMs) },
                   { "X-Model", "m" },
                   { "X-Token-Counts", "200,30" } };
  if (aStream.HasBegun()) {
    call.headers["Last-Event-Id"] = std::to_string(aStream.events.back().id);
    call.headers["Resumes"] = aStream.firstRequest;
  } else {
    aStream.firstRequest = id;
  }
  call.body = "{}";
  call.timeout = kStreamTimeout;
  auto before = aStream.events;
  auto addEvents = [&](const std::string& aBody) {
    aStream.events = before;
    auto events = ParseEvents(aBody);
    aStream.events.insert(aStream.events.end(), events.begin(), events.end());
  };
  call.onBody = [&](const std::string& aBody) {
    addEvents(aBody);
    return !aOnEvents || aOnEvents(aStream);
  };
  if (aChange) {
    aChange(call);
  }
  Reply reply = aClient != nullptr
                  ? aClient->Send(call)
                  : Send(this->fleet.CallerAddress(aRouter), call);
  addEvents(reply.body);
  aStream.isWhole = reply.isComplete && reply.status == 200;
  return reply;
}

TakeUpOutcome
VersionFleet::TakeUp(int aRouter, CallerStream& aStream)
{
  constexpr int kTries = 5;
  constexpr Duration kRetryPause = 500ms;
  auto outcome = TakeUpOutcome::Failed;
  for (int i = 0; i < kTries; ++i) {
    auto reply = this->Try(aRouter, aStream);
    if (aStream.isWhole) {
      return TakeUpOutcome::Whole;
    }
    bool isRefusal = IsRefusal(reply);
    outcome = isRefusal ? TakeUpOutcome::Refused : TakeUpOutcome::Failed;
    auto pause = RetryAfter(reply);
    if (isRefusal && !pause) {
      return outcome;
    }
    std::this_thread::sleep_for(pause.value_or(kRetryPause));
  }
  return outcome;
}

StreamCrowd::StreamCrowd(VersionFleet& aFleet, int aCount)
  : fleet(aFleet)
{
  for (int i = 0; i < aCount; ++i) {
    this->streams.push_back(aFleet.MakeStream());
  }
}

void
StreamCrowd::Begin(const std::vector<int>& aRouters)
{
  constexpr std::size_t kFirstEvents = 2;
  auto begun = std::make_shared<std::atomic<std::size_t>>(0);
  for (std::size_t i = 0; i < this->streams.size(); ++i) {
    this->tries.push_back(
      std::async(std::launch::async,
                 [this, begun, router = aRouters[i % aRouters.size()], i] {
                   auto& stream = this->streams[i];
                   bool isCounted = false;
                   auto count = [&](const CallerStream& aStream) {
                     if (!isCounted && aStream.events.size() >= kFirstEvents) {
                       isCounted = true;
                       ++*begun;
                     }
                     return !this->isCut;
                   };
                   WaitFor(VersionFleet::kServeTime, [&] {
                     this->fleet.Try(router, stream, count);
                     return stream.HasBegun();
                   });
                 }));
  }
  REQUIRE(WaitFor(VersionFleet::kServeTime,
                  [&] { return *begun == this->streams.size(); }));
}

void
StreamCrowd::Join()
{
  for (auto& attempt : this->tries) {
    attempt.get();
  }
  this->tries.clear();
}

int
StreamCrowd::TakeUp(const std::vector<int>& aRouters)
{
  this->Join();
  std::vector<TakeUpOutcome> outcomes(this->streams.size());
  for (std::size_t i = 0; i < this->streams.size(); ++i) {
    this->tries.push_back(
      std::async(std::launch::async,
                 [this, &outcomes, router = aRouters[i % aRouters.size()], i] {
                   outcomes[i] = this->fleet.TakeUp(router, this->streams[i]);
                 }));
  }
  this->Join();
  int whole = 0;
  for (std::size_t i = 0; i < this->streams.size(); ++i) {
    INFO(this->streams[i].Describe());
    CHECK(this->streams[i].Versions().size() == 1);
    CHECK(this->streams[i].IsInOrder());
    CHECK(outcomes[i] != TakeUpOutcome::Failed);
    whole += outcomes[i] == TakeUpOutcome::Whole ? 1 : 0;
  }
  return whole;
}

} // namespace lycheestand::faults
