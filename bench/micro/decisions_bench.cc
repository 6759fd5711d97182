// Benchmarks of the individual decisions and of the encoding of messages.

#include <benchmark/benchmark.h>
#include <lycheestand/budget.h>
#include <lycheestand/membership.h>
#include <lycheestand/quarantine.h>
#include <lycheestand/routing.h>
#include <lycheestand/wire.h>
#include <random>

namespace lycheestand::bench {

namespace {

using namespace std::chrono_literals;

RandomSource
MakeSeededSource()
{
  return [engine = std::mt19937_64(1)](std::uint64_t aBound) mutable {
    return aBound == 0 ? engine() : engine() % aBound;
  };
}

// Chooses among the given number of endpoints. Each has a load report and 1,000
// cached prefixes.
void
ChooseEndpoint(benchmark::State& aState)
{
  routing::EndpointTable table({ .zone = ZoneId("z0"), .maxInFlight = 100000 },
                               routing::MakeCostPolicy(),
                               MakeSeededSource());
  TimePoint now(1000s);
  std::vector<routing::Endpoint> list;
  for (int i = 0; i < aState.range(0); ++i) {
    list.push_back({ EndpointId("endpoint-" + std::to_string(i)),
                     ZoneId("z" + std::to_string(i % 3)),
                     {},
                     "model" });
  }
  table.SetEndpoints(list);
  for (const auto& endpoint : list) {
    routing::LoadReport report;
    report.running = 8;
    report.slots = 16;
    report.measuredAt = now;
    table.UpdateLoadReport(endpoint.endpoint, report);
    std::vector<routing::CacheEvent> events;
    for (std::uint64_t i = 1; i <= 1000; ++i) {
      events.push_back({ i, routing::PrefixHash(i), true });
    }
    table.ApplyCacheEvents(endpoint.endpoint, events, 1001);
  }
  routing::Query query;
  query.serves = "model";
  query.promptTokens = Tokens(2300);
  std::uint64_t request = 0;
  for (auto iteration : aState) {
    query.prefix = { { routing::PrefixHash(request % 1000), Tokens(2000) } };
    routing::RequestNumber number(++request);
    benchmark::DoNotOptimize(table.Choose(number, query, now));
    table.Finish(number, routing::Outcome::Succeeded, now += 1us);
  }
}
BENCHMARK(ChooseEndpoint)->Arg(13)->Arg(100)->Arg(1000);

// Chooses among the given number of endpoints with an estimated speed, for a
// request without a prompt, and adds the time of its answer. With the second
// argument 0 no times are added.
void
ChooseBySpeed(benchmark::State& aState)
{
  const bool isTimed = aState.range(1) == 1;
  routing::EndpointTable table(
    { .maxInFlight = 100000 }, routing::MakeCostPolicy(), MakeSeededSource());
  TimePoint now(1000s);
  std::vector<routing::Endpoint> list;
  for (int i = 0; i < aState.range(0); ++i) {
    list.push_back(
      { EndpointId("endpoint-" + std::to_string(i)), {}, {}, "s", true });
  }
  table.SetEndpoints(list);
  for (const auto& endpoint : list) {
    routing::LoadReport report;
    report.running = 2;
    report.slots = 6;
    report.measuredAt = now;
    table.UpdateLoadReport(endpoint.endpoint, report);
  }
  routing::Query query;
  query.serves = "s";
  query.isService = true;
  std::mt19937 random(1);
  std::uniform_int_distribution<int> milliseconds(15, 60);
  std::uint64_t request = 0;
  for (auto iteration : aState) {
    routing::RequestNumber number(++request);
    benchmark::DoNotOptimize(table.Choose(number, query, now));
    now += 10ms;
    if (isTimed) {
      table.RecordTime(number,
                       routing::TimedPart::Answer,
                       std::chrono::milliseconds(milliseconds(random)),
                       now);
    }
    table.Finish(number, routing::Outcome::Succeeded, now);
  }
}
BENCHMARK(ChooseBySpeed)
  ->Args({ 60, 0 })
  ->Args({ 60, 1 })
  ->Args({ 1000, 0 })
  ->Args({ 1000, 1 })
  ->Args({ 10000, 0 })
  ->Args({ 10000, 1 });

// Admits and releases one request. The argument is the number of requests, of
// ten workspaces, that are kept waiting in the queue.
void
AdmitRequest(benchmark::State& aState)
{
  routing::Admission admission;
  TimePoint now(1000s);
  auto waiting = static_cast<std::uint64_t>(aState.range(0));
  admission.SetCapacity("m", 64);
  std::uint64_t oldest = 1;
  std::uint64_t next = 1;
  auto admitNext = [&] {
    routing::AdmissionRequest request;
    request.request = routing::RequestNumber(next++);
    request.workspace = WorkspaceId("w" + std::to_string(next % 10));
    request.pool = "m";
    request.workspaceLimit = 100000;
    benchmark::DoNotOptimize(admission.Admit(request, now));
  };
  std::deque<std::uint64_t> inFlight;
  while (waiting > 0 && next <= 64 + waiting) {
    if (next <= 64) {
      inFlight.push_back(next);
    }
    admitNext();
  }
  for (auto iteration : aState) {
    if (waiting == 0) {
      admitNext();
      admission.Release(routing::RequestNumber(oldest++), now);
      continue;
    }
    admitNext();
    admission.Release(routing::RequestNumber(inFlight.front()), now);
    inFlight.pop_front();
    for (const auto& decision : admission.Poll(now)) {
      inFlight.push_back(decision.request.Get());
    }
  }
}
BENCHMARK(AdmitRequest)->Arg(0)->Arg(256);

void
ReserveAndSettle(benchmark::State& aState)
{
  budget::LocalBudget localBudget({});
  TimePoint now(1000s);
  WorkspaceId workspace("kalkki");
  budget::Claim claim{
    budget::Ticket(1), workspace, Tokens(100), Tokens(1000)
  };
  localBudget.Reserve(claim, now);
  auto grantRequest = localBudget.TakeGrantRequests(now).front();
  localBudget.AddGrant(
    { grantRequest.request, workspace, Tokens(std::int64_t(1) << 40), false },
    now);
  localBudget.Poll(now);
  std::uint64_t ticket = 1;
  for (auto iteration : aState) {
    claim.ticket = budget::Ticket(++ticket);
    benchmark::DoNotOptimize(localBudget.Reserve(claim, now));
    localBudget.Settle(claim.ticket, Tokens(1), now);
  }
}
BENCHMARK(ReserveAndSettle);

// Makes a tracker of so many requests that were at one crash each of a hundred
// requests.
quarantine::RequestTracker
MakeTracker(std::int64_t aRequests, TimePoint aNow)
{
  constexpr std::int64_t kRequestsPerCrash = 100;
  quarantine::RequestTracker tracker;
  std::vector<RequestDigest> digests;
  for (std::int64_t i = 1; i <= aRequests; ++i) {
    digests.emplace_back(static_cast<std::uint64_t>(i));
    if (i % kRequestsPerCrash == 0) {
      tracker.AddCrash(EndpointId("e" + std::to_string(i)), digests, aNow);
      digests.clear();
    }
  }
  return tracker;
}

// Returns a hundred requests that are not among those of MakeTracker.
std::vector<RequestDigest>
MakeSharingRequests()
{
  constexpr std::uint64_t kFirst = 100'000;
  constexpr std::uint64_t kCount = 100;
  std::vector<RequestDigest> digests;
  for (std::uint64_t i = 0; i < kCount; ++i) {
    digests.emplace_back(kFirst + i);
  }
  return digests;
}

// Looks up the state of a request, as a router does for each.
void
JudgeRequest(benchmark::State& aState)
{
  auto tracker = MakeTracker(aState.range(0), TimePoint(1000s));
  std::uint64_t request = 0;
  for (auto iteration : aState) {
    benchmark::DoNotOptimize(
      quarantine::Judge(tracker.StateOf(RequestDigest(++request % 10000))));
  }
}
BENCHMARK(JudgeRequest)->Arg(100)->Arg(4000);

// Counts the third crash of a hundred requests beside so many others, and
// settles which of them is to blame.
void
CountThirdCrash(benchmark::State& aState)
{
  TimePoint now(1000s);
  const auto digests = MakeSharingRequests();
  for (auto iteration : aState) {
    aState.PauseTiming();
    auto tracker = MakeTracker(aState.range(0), now);
    tracker.AddCrash(EndpointId("f1"), digests, now);
    tracker.AddCrash(EndpointId("f2"), digests, now);
    aState.ResumeTiming();
    tracker.AddCrash(EndpointId("f3"), digests, now);
    tracker.Update(now + 1s);
    benchmark::DoNotOptimize(tracker.Lists());
  }
}
BENCHMARK(CountThirdCrash)->Arg(100)->Arg(1000)->Arg(3900);

// Updates a tracker in which a hundred requests share three crashes, without
// news.
void
UpdateTracker(benchmark::State& aState)
{
  TimePoint now(1000s);
  auto tracker = MakeTracker(aState.range(0), now);
  const auto digests = MakeSharingRequests();
  for (const char* endpoint : { "f1", "f2", "f3" }) {
    tracker.AddCrash(EndpointId(endpoint), digests, now);
  }
  for (auto iteration : aState) {
    tracker.Update(now + 1s);
  }
}
BENCHMARK(UpdateTracker)->Arg(100)->Arg(3900);

void
EncodeAndDecodeHeartbeat(benchmark::State& aState)
{
  wire::Heartbeat heartbeat{
    std::chrono::nanoseconds(1), Revision(1), ViewVersion(1), 7, false
  };
  for (auto iteration : aState) {
    benchmark::DoNotOptimize(wire::Decode(wire::Encode(heartbeat)));
  }
}
BENCHMARK(EncodeAndDecodeHeartbeat);

void
EncodeAndDecodeUsage(benchmark::State& aState)
{
  wire::UsageReport report{ BatchNumber(1), {} };
  for (int i = 0; i < 10; ++i) {
    report.entries.push_back({ WorkspaceId("workspace-" + std::to_string(i)),
                               Tokens(1000),
                               Tokens(0),
                               5 });
  }
  for (auto iteration : aState) {
    benchmark::DoNotOptimize(wire::Decode(wire::Encode(report)));
  }
}
BENCHMARK(EncodeAndDecodeUsage);

wire::ViewPush
ToPush(const membership::ViewDelta& aDelta)
{
  wire::ViewPush push;
  push.version = aDelta.version;
  for (const auto& entry : aDelta.instances) {
    push.instances.push_back({ entry.instance,
                               entry.zone,
                               entry.callerAddress,
                               entry.inFlight,
                               entry.leaving,
                               entry.alive });
  }
  return push;
}

// Applies one load change to each of 3,200 instances, as occurs within a
// second: each load is drawn from a range of a quarter around its mean of 47
// requests in flight. Counts the encoded bytes of the complete view and of the
// deltas, with exact loads (argument 0) and quantized loads (argument 1).
// Removals are rare and aren't included.
void
UpdateView(benchmark::State& aState)
{
  const bool isQuantized = aState.range(0) == 1;
  std::mt19937 random(1);
  std::uniform_int_distribution<int> loads(35, 59);
  std::vector<membership::Instance> instances;
  for (int i = 0; i < 3200; ++i) {
    instances.push_back({ InstanceId("router-" + std::to_string(i)),
                          ZoneId("zone-" + std::to_string(i % 10)),
                          { "10.0.0.1", 8080 },
                          47,
                          false,
                          true });
  }
  membership::View view;
  view.Update(instances, {});
  double deltaBytes = 0;
  double wholeBytes =
    static_cast<double>(wire::Encode(ToPush(view.DeltaSince({}))).size());
  for (auto iteration : aState) {
    for (auto& instance : instances) {
      auto load = static_cast<std::uint32_t>(loads(random));
      instance.inFlight =
        isQuantized ? membership::QuantizeLoad(load, instance.inFlight) : load;
    }
    ViewVersion before = view.Version();
    view.Update(instances, {});
    deltaBytes +=
      static_cast<double>(wire::Encode(ToPush(view.DeltaSince(before))).size());
  }
  aState.counters["wholeBytes"] = wholeBytes;
  aState.counters["deltaBytes"] =
    benchmark::Counter(deltaBytes, benchmark::Counter::kAvgIterations);
}
BENCHMARK(UpdateView)->Arg(0)->Arg(1)->Iterations(100);

} // namespace

} // namespace lycheestand::bench

BENCHMARK_MAIN();
