// A soak with a seed: releases replace replicas step by step, while routers are
// killed or frozen, control is frozen, replicas break off, crash and fall
// silent, and callers take broken streams up.

#include "soak_support.h"
#include "version_fleet.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <iostream>
#include <limits>
#include <random>

namespace lycheestand::faults {

namespace {

constexpr int kSoakControls = 3;
constexpr int kSoakRouters = 3;
constexpr int kSoakReplicas = 8;
constexpr int kSoakCallers = 18;
constexpr int kVersionSoakSeconds = 60;

// The callers' deadline and their tries before it.
constexpr Duration kCallerDeadline = 7s;
constexpr int kCallerTries = 5;

// Time after a disturbance from which the tries at a router count.
constexpr Duration kUndisturbedTime = 3s;
// Time after which all routers know a change of the list.
constexpr Duration kListKnownTime = 3s;

constexpr Clock::time_point kNever = Clock::time_point::max() - 1h;

// What the users' rules allow and ask.
constexpr std::size_t kMaxJoinedStreams = 2;
constexpr int kMinTakeUps = 12;
constexpr double kMinRelativeShare = 0.5;

// Since when routers have been undisturbed and replicas have served.
class Conditions
{
public:
  void Disturb(int aRouter)
  {
    std::lock_guard lock(this->mutex);
    this->undisturbedSince[aRouter] = kNever;
  }

  void Restore(int aRouter)
  {
    std::lock_guard lock(this->mutex);
    this->undisturbedSince[aRouter] = Clock::now();
  }

  // Control commits, or it can't, because of a fault or of a busy disk.
  void SetCommitting(bool aIsCommitting)
  {
    std::lock_guard lock(this->mutex);
    if (!aIsCommitting) {
      this->committingSince = kNever;
    } else if (this->committingSince == kNever) {
      this->committingSince = Clock::now();
    }
  }

  bool IsUndisturbed(int aRouter) const
  {
    std::lock_guard lock(this->mutex);
    if (Clock::now() < this->committingSince + kUndisturbedTime) {
      return false;
    }
    auto found = this->undisturbedSince.find(aRouter);
    return found == this->undisturbedSince.end() ||
           Clock::now() > found->second + kUndisturbedTime;
  }

  // A replica serves at a version from a time on, until it is withdrawn.
  void Serve(int aReplica, const std::string& aVersion, Clock::time_point aFrom)
  {
    std::lock_guard lock(this->mutex);
    this->serving[aReplica] = { aVersion, aFrom };
  }

  void Interrupt(int aReplica, Clock::time_point aEnd)
  {
    std::lock_guard lock(this->mutex);
    auto found = this->serving.find(aReplica);
    if (found != this->serving.end()) {
      found->second.from = std::max(found->second.from, aEnd);
    }
  }

  void Withdraw(int aReplica)
  {
    std::lock_guard lock(this->mutex);
    this->serving.erase(aReplica);
  }

  // Returns whether two replicas of a version serve and are known everywhere.
  bool IsServed(const std::string& aVersion) const
  {
    std::lock_guard lock(this->mutex);
    auto count = std::count_if(
      this->serving.begin(), this->serving.end(), [&](const auto& aEntry) {
        const auto& replica = aEntry.second;
        return replica.version == aVersion &&
               Clock::now() - replica.from > kListKnownTime;
      });
    return count >= 2;
  }

private:
  struct Serving
  {
    std::string version;
    Clock::time_point from;
  };

  mutable std::mutex mutex;
  Clock::time_point committingSince{};
  std::map<int, Clock::time_point> undisturbedSince;
  std::map<int, Serving> serving;
};

// Tries that count, and those that brought an event.
struct Share
{
  int tries = 0;
  int successes = 0;

  double Value() const
  {
    return this->tries == 0 ? 0 : double(this->successes) / this->tries;
  }
};

struct VersionObserved
{
  std::mutex mutex;
  // Ids of the requests that replicas have run.
  std::set<std::string> ran;
  std::vector<std::string> notRun;
  int streams = 0;
  int whole = 0;
  std::vector<std::string> joined;
  std::vector<std::string> faults;
  Share begun;
  Share takenUp;
  std::map<std::string, int> outcomes;
};

class VersionSoakFixture : public VersionFleet
{
public:
  VersionSoakFixture()
    : VersionFleet("version-soak",
                   { .controls = kSoakControls,
                     .routers = kSoakRouters,
                     .events = 20,
                     .restPause = 100ms })
  {
  }

  void StartFleet(unsigned aSeed)
  {
    this->replicaRandom.seed(aSeed);
    this->SetChangeAnswer(
      [this](int, const ReplicaRequest& aRequest, ReplicaAnswer& aAnswer) {
        this->ChangeAnswer(aRequest, aAnswer);
      });
    this->slots = this->AddReplicas(kSoakReplicas, VersionName());
    for (int replica : this->slots) {
      this->versions[replica] = this->newest;
      this->conditions.Serve(replica, VersionName(), Clock::now());
    }
    this->Start({ VersionName() });
  }

  std::string VersionName() const { return "v" + std::to_string(this->newest); }

  // Called in the pool's thread. Some replicas are full, some break off.
  void ChangeAnswer(const ReplicaRequest& aRequest, ReplicaAnswer& aAnswer)
  {
    constexpr unsigned kFullPercent = 5;
    constexpr unsigned kBreakPercent = 8;
    constexpr std::size_t kMinPieces = 3;
    if (IsChance(this->replicaRandom, kFullPercent)) {
      aAnswer = { { MakeAnswer(503, aRequest, "", "X-Not-Executed: 1\r\n") } };
      return;
    }
    {
      std::lock_guard lock(this->observed.mutex);
      this->observed.ran.insert(aRequest.Header("x-request-id"));
    }
    if (aAnswer.pieces.size() > kMinPieces &&
        IsChance(this->replicaRandom, kBreakPercent)) {
      auto breaks = aAnswer.pieces.size() - kMinPieces;
      aAnswer.pieces.resize(kMinPieces + this->replicaRandom() % breaks);
      aAnswer.end = IsChance(this->replicaRandom, 50)
                      ? ReplicaAnswer::End::Reset
                      : ReplicaAnswer::End::Close;
    }
  }

  // Runs streams until the end, mostly beginning them on kept connections.
  void RunCaller(unsigned aSeed)
  {
    std::mt19937 random(aSeed);
    std::map<int, HttpClient> kept;
    while (!this->isDone) {
      this->RunStream(random, kept);
      std::this_thread::sleep_for(RandomTime(random, 0, 300));
    }
  }

  // Runs one stream. The caller's connection breaks now and then; it takes the
  // stream up on a new connection to a router that has not just failed it.
  void RunStream(std::mt19937& aRandom, std::map<int, HttpClient>& aKept)
  {
    auto stream = this->MakeStream();
    auto deadline = Clock::now() + kCallerDeadline;
    int failed = -1;
    for (int i = 0; i < kCallerTries && !stream.isWhole; ++i) {
      auto left = deadline - Clock::now();
      if (left <= Duration(0)) {
        break;
      }
      int router = PickRouter(aRandom, failed);
      HttpClient fresh(this->fleet.CallerAddress(router));
      HttpClient* client = &fresh;
      if (i == 0) {
        client = &aKept.try_emplace(router, this->fleet.CallerAddress(router))
                    .first->second;
        client->DropClosed();
      }
      auto reply = this->SendTry(aRandom, router, stream, left, *client);
      if (reply.status >= 400 && reply.status < 500 && reply.status != 429) {
        break;
      }
      failed = router;
      auto pause = RetryAfter(reply).value_or(RandomTime(aRandom, 20, 200));
      std::this_thread::sleep_for(std::min<Duration>(pause, left / 3));
    }
    this->RecordStream(stream);
  }

  static int PickRouter(std::mt19937& aRandom, int aExcept)
  {
    int router = aExcept;
    while (router == aExcept) {
      router = Router(static_cast<int>(aRandom() % kSoakRouters));
    }
    return router;
  }

  static void SetDeadline(Call& aCall, Duration aLeft)
  {
    auto leftMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(aLeft).count();
    aCall.headers["X-Deadline-Ms"] = std::to_string(leftMs);
    aCall.timeout = aLeft;
  }

  Reply SendTry(std::mt19937& aRandom,
                int aRouter,
                CallerStream& aStream,
                Duration aLeft,
                HttpClient& aClient)
  {
    constexpr unsigned kCutPercent = 25;
    constexpr std::size_t kMaxEventsToCut = 15;
    const bool isTakeUp = aStream.HasBegun();
    const auto had = aStream.events.size();
    const auto version = isTakeUp ? aStream.events.back().version : "";
    const auto cutAt = IsChance(aRandom, kCutPercent)
                         ? had + 1 + aRandom() % kMaxEventsToCut
                         : std::numeric_limits<std::size_t>::max();
    auto isCounted = [&, this] {
      return this->conditions.IsUndisturbed(aRouter) &&
             (!isTakeUp || this->conditions.IsServed(version));
    };
    const bool isCountedAtStart = isCounted();
    std::optional<bool> isCountedAtEvent;
    std::string id;
    auto reply = this->Try(
      aRouter,
      aStream,
      [&](const CallerStream& aNow) {
        if (aNow.events.size() > had && !isCountedAtEvent) {
          isCountedAtEvent = isCounted();
        }
        return aNow.events.size() < cutAt;
      },
      [&](Call& aCall) {
        id = aCall.headers["X-Request-Id"];
        SetDeadline(aCall, aLeft);
      },
      &aClient);
    const bool goesOn = aStream.events.size() > had || aStream.isWhole;
    if (isCountedAtStart &&
        (isCountedAtEvent ? *isCountedAtEvent : isCounted())) {
      std::lock_guard lock(this->observed.mutex);
      auto& share = isTakeUp ? this->observed.takenUp : this->observed.begun;
      ++share.tries;
      share.successes += goesOn ? 1 : 0;
    }
    this->RecordTry(isTakeUp, goesOn, id, reply);
    return reply;
  }

  void RecordTry(bool aIsTakeUp,
                 bool aGoesOn,
                 const std::string& aId,
                 const Reply& aReply)
  {
    std::string outcome = aIsTakeUp ? "take-up " : "first try ";
    if (aGoesOn) {
      outcome += "with events";
    } else if (!aReply.isConnected) {
      outcome += "not connected";
    } else if (aReply.isComplete) {
      outcome += std::to_string(aReply.status);
      outcome += CodeOf(aReply) + (IsRefusal(aReply) ? ", not run" : "");
      outcome += RetryAfter(aReply) ? ", Retry-After" : "";
    } else {
      outcome += aReply.isTimeout ? "timeout" : "closed";
    }
    std::lock_guard lock(this->observed.mutex);
    ++this->observed.outcomes[outcome];
    if (IsRefusal(aReply)) {
      this->observed.notRun.push_back(aId);
    }
  }

  void RecordStream(const CallerStream& aStream)
  {
    std::lock_guard lock(this->observed.mutex);
    ++this->observed.streams;
    this->observed.whole += aStream.isWhole ? 1 : 0;
    if (aStream.Versions().size() > 1) {
      this->observed.joined.push_back(aStream.Describe());
    }
    if (!aStream.IsInOrder()) {
      this->observed.faults.push_back("not in order: " + aStream.Describe());
    }
  }

  // Replaces replicas of older versions step by step; now and then a further
  // release begins before all are replaced.
  void RunReleases(unsigned aSeed)
  {
    constexpr unsigned kFurtherPercent = 15;
    constexpr unsigned kDrainPercent = 70;
    std::mt19937 random(aSeed);
    while (!this->isDone) {
      auto oldest = std::min_element(this->versions.begin(),
                                     this->versions.end(),
                                     [](const auto& aLeft, const auto& aRight) {
                                       return aLeft.second < aRight.second;
                                     });
      bool isReleased = oldest->second == this->newest;
      if (isReleased) {
        std::this_thread::sleep_for(RandomTime(random, 500, 5000));
      }
      if (isReleased || IsChance(random, kFurtherPercent)) {
        ++this->newest;
      }
      this->Replace(oldest->first, IsChance(random, kDrainPercent), random);
      std::this_thread::sleep_for(RandomTime(random, 100, 2500));
    }
  }

  void Replace(int aReplica, bool aIsDrained, std::mt19937& aRandom)
  {
    this->conditions.Withdraw(aReplica);
    if (aIsDrained) {
      this->pool.Drain(aReplica);
      std::this_thread::sleep_for(RandomTime(aRandom, 200, 2000));
    }
    this->pool.Remove(aReplica);
    std::this_thread::sleep_for(RandomTime(aRandom, 50, 1000));
    this->pool.Start(aReplica, VersionName());
    this->versions[aReplica] = this->newest;
    this->conditions.Serve(aReplica, VersionName(), Clock::now());
  }

  // Changes the configuration, which shows whether control commits.
  void RunConfigurations(unsigned aSeed)
  {
    std::mt19937 random(aSeed);
    while (!this->isDone) {
      this->conditions.SetCommitting(this->CommitConfiguration());
      std::this_thread::sleep_for(RandomTime(random, 100, 900));
    }
  }

  // Silences and kills replicas, several at a time.
  void RunReplicaFaults(unsigned aSeed)
  {
    constexpr unsigned kKillPercent = 25;
    std::mt19937 random(aSeed);
    while (!this->isDone) {
      std::this_thread::sleep_for(RandomTime(random, 200, 2500));
      int replica = this->slots[random() % this->slots.size()];
      if (IsChance(random, kKillPercent)) {
        this->conditions.Interrupt(replica, Clock::now() + kDownTime);
        this->pool.Kill(replica);
      } else {
        auto time = RandomTime(random, 300, 2500);
        this->conditions.Interrupt(replica, Clock::now() + time);
        this->pool.Silence(replica, time);
      }
    }
  }

  // Disturbs processes in series that overlap, with calm between them.
  void RunDisturbances(unsigned aSeed, Clock::time_point aEnd)
  {
    std::mt19937 random(aSeed);
    while (Clock::now() < aEnd) {
      for (unsigned i = 0; i <= random() % 3; ++i) {
        this->Disturb(random);
        std::this_thread::sleep_for(RandomTime(random, 0, 800));
      }
      std::this_thread::sleep_for(RandomTime(random, 100, 1500));
      this->Restore();
      std::this_thread::sleep_for(RandomTime(random, 2000, 9000));
    }
    this->isDone = true;
  }

  void Disturb(std::mt19937& aRandom)
  {
    constexpr unsigned kKinds = 8;
    int router = Router(static_cast<int>(aRandom() % kSoakRouters));
    int control = Control(static_cast<int>(aRandom() % kSoakControls));
    switch (aRandom() % kKinds) {
      case 0:
      case 1:
        this->MarkDisturbed({ router });
        this->fleet.Machine(router).Kill();
        break;
      case 2:
        this->MarkDisturbed(this->Routers());
        this->KillRouters();
        break;
      case 3:
        this->MarkDisturbed({ router });
        this->fleet.Machine(router).Signal(SIGTERM);
        this->stopping.insert(router);
        break;
      case 4:
        this->MarkDisturbed(this->Routers());
        this->fleet.Machine(control).Kill();
        break;
      case 5:
        this->MarkDisturbed(this->Routers());
        this->fleet.Machine(control).Signal(SIGSTOP);
        break;
      case 6:
        // The router goes on with what it knew before.
        this->MarkDisturbed({ router });
        this->fleet.Machine(router).Signal(SIGSTOP);
        break;
      default:
        // Cuts all routers off from control.
        this->MarkDisturbed(this->Routers());
        for (int i = 0; i < kSoakControls; ++i) {
          this->fleet.Machine(Control(i)).Signal(SIGSTOP);
        }
        break;
    }
  }

  void MarkDisturbed(const std::vector<int>& aRouters)
  {
    for (int router : aRouters) {
      this->conditions.Disturb(router);
      this->disturbed.insert(router);
    }
  }

  // Wakes and starts again what was disturbed; a router that got SIGTERM may
  // take longer to stop.
  void Restore()
  {
    for (int i = 0; i < kSoakControls; ++i) {
      this->fleet.Machine(Control(i)).Signal(SIGCONT);
    }
    for (int router : this->Routers()) {
      this->fleet.Machine(router).Signal(SIGCONT);
    }
    std::erase_if(this->stopping, [this](int aRouter) {
      auto& process = this->fleet.Machine(aRouter);
      process.WaitForExit(Duration(0));
      return !process.IsRunning();
    });
    this->StartAgain();
    std::erase_if(this->disturbed, [this](int aRouter) {
      if (this->stopping.contains(aRouter)) {
        return false;
      }
      this->conditions.Restore(aRouter);
      return true;
    });
  }

  void Report(unsigned aSeed)
  {
    std::cout << "version-soak seed=" << aSeed << " releases=" << this->newest
              << " streams=" << this->observed.streams
              << " whole=" << this->observed.whole
              << " joined=" << this->observed.joined.size()
              << " begun=" << this->observed.begun.successes << "/"
              << this->observed.begun.tries
              << " taken up=" << this->observed.takenUp.successes << "/"
              << this->observed.takenUp.tries << "\n";
    for (const auto& [outcome, count] : this->observed.outcomes) {
      std::cout << "  " << outcome << ": " << count << "\n";
    }
    for (const auto& stream : this->observed.joined) {
      std::cout << "  joined: " << stream << "\n";
    }
  }

  Conditions conditions;
  VersionObserved observed;
  // Used only in the pool's thread once that serves.
  std::mt19937 replicaRandom;
  std::vector<int> slots;
  // Used only by the releases: the newest version and those of the replicas.
  int newest = 1;
  std::map<int, int> versions;
  // Used only by the disturbances.
  std::set<int> disturbed;
  std::set<int> stopping;
  std::atomic<bool> isDone{ false };
};

} // namespace

// Guards against streams that are joined from two versions, against take-ups
// that are refused although their version serves, and against refusals of
// requests that ran, while releases and faults overlap.
TEST_CASE_METHOD(VersionSoakFixture,
                 "streams stay at their version under disturbances",
                 "[version-soak]")
{
  auto seed = static_cast<unsigned>(ReadOption("LYCHEESTAND_SOAK_SEED", 1));
  auto length = std::chrono::seconds(
    ReadOption("LYCHEESTAND_SOAK_SECONDS", kVersionSoakSeconds));
  CAPTURE(seed);
  this->StartFleet(seed);
  std::mt19937 seeds(seed);
  std::vector<std::future<void>> threads;
  auto run = [&](void (VersionSoakFixture::*aFunction)(unsigned)) {
    threads.push_back(std::async(
      std::launch::async, aFunction, this, static_cast<unsigned>(seeds())));
  };
  for (int i = 0; i < kSoakCallers; ++i) {
    run(&VersionSoakFixture::RunCaller);
  }
  run(&VersionSoakFixture::RunReleases);
  run(&VersionSoakFixture::RunReplicaFaults);
  run(&VersionSoakFixture::RunConfigurations);
  this->RunDisturbances(static_cast<unsigned>(seeds()), Clock::now() + length);
  for (auto& thread : threads) {
    thread.get();
  }
  CHECK(WaitFor(kServeTime, [this] {
    this->Restore();
    return this->disturbed.empty();
  }));
  this->AwaitServing({});
  std::lock_guard lock(this->observed.mutex);
  this->Report(seed);
  for (const auto& id : this->observed.notRun) {
    if (this->observed.ran.contains(id)) {
      this->observed.faults.push_back("refused as not run, and run: " + id);
    }
  }
  for (const auto& fault : this->observed.faults) {
    FAIL_CHECK(fault);
  }
  CHECK(this->observed.whole > 0);
  CHECK(this->observed.joined.size() <= kMaxJoinedStreams);
  if (this->observed.takenUp.tries >= kMinTakeUps) {
    CHECK(this->observed.takenUp.Value() >=
          kMinRelativeShare * this->observed.begun.Value());
  }
}

} // namespace lycheestand::faults
