// Durability of control: no accepted change is lost, applied twice or reverted
// when control instances fail.

#include "fleet.h"

#include <catch2/catch.hpp>
#include <csignal>

namespace lycheestand::faults {

namespace {

// Tops the budget up by one token at a time. It resends each change with the
// same change id until it is accepted, so each must be applied exactly once.
class TopUpClient
{
public:
  explicit TopUpClient(Fleet& aFleet)
    : fleet(aFleet)
    , thread([this] { this->Run(); })
  {
  }

  ~TopUpClient() { this->Stop(); }

  // Stops the thread; returns the number of accepted changes.
  int Stop()
  {
    this->isStopped = true;
    if (this->thread.joinable()) {
      this->thread.join();
    }
    return this->accepted;
  }

  int Accepted() const { return this->accepted; }

private:
  void Run()
  {
    while (!this->isStopped) {
      Reply reply = this->fleet.SendAdminRequest(
        "POST",
        "/admin/topups",
        { { "change_id", "one-" + std::to_string(this->next) },
          { "workspace", "w1" },
          { "tokens", 1 } });
      if (reply.status == 200) {
        ++this->next;
        ++this->accepted;
      }
      std::this_thread::sleep_for(20ms);
    }
  }

  Fleet& fleet;
  std::atomic<bool> isStopped{ false };
  std::atomic<int> accepted{ 0 };
  int next = 0;
  std::thread thread;
};

FleetOptions
MakeReplicatedOptions()
{
  FleetOptions options;
  options.controls = 3;
  options.engines = 1;
  return options;
}

// Waits until three more changes are accepted; returns how long it took.
Duration
WaitForProgress(const TopUpClient& aClient)
{
  auto begin = Clock::now();
  int before = aClient.Accepted();
  REQUIRE(WaitFor(30s, [&] { return aClient.Accepted() >= before + 3; }));
  return Clock::now() - begin;
}

void
ReportDuration(Fleet& aFleet, const char* aName, Duration aTime)
{
  aFleet.AddReportValue(
    aName, std::chrono::duration_cast<Milliseconds>(aTime).count());
}

// Checks that the prepaid tokens equal the accepted changes and that a chat
// request is served.
void
CheckChanges(Fleet& aFleet, int aAccepted)
{
  std::int64_t appliedChanges =
    aFleet.ReadBudget().paid - aFleet.Options().paid;
  aFleet.AddReportValue("accepted", aAccepted);
  aFleet.AddReportValue("made", appliedChanges);
  REQUIRE(aAccepted > 0);
  REQUIRE(appliedChanges == aAccepted);
  ChatRequest request;
  request.content = "end";
  REQUIRE(WaitFor(20s, [&] {
    return aFleet.Chat(0, request).outcome == ChatOutcome::Complete;
  }));
}

int
RequireLeader(Fleet& aFleet)
{
  int leader = -1;
  REQUIRE(WaitFor(20s, [&] {
    leader = aFleet.FindLeader();
    return leader >= 0;
  }));
  return leader;
}

// Isolates the leader while changes continue, and checks that it answers
// neither writes nor reads.
void
CheckIsolation(Fleet& aFleet, const std::string& aFault)
{
  TopUpClient changes(aFleet);
  int leader = RequireLeader(aFleet);
  aFleet.IsolateControl(leader, aFault);
  ReportDuration(aFleet, "outage_ms", WaitForProgress(changes));
  Reply isolatedWrite = aFleet.SendAdminRequestTo(
    leader,
    "POST",
    "/admin/topups",
    { { "change_id", "isolated" }, { "workspace", "w1" }, { "tokens", 1000 } });
  Reply isolatedRead =
    aFleet.SendAdminRequestTo(leader, "GET", "/admin/workspaces");
  REQUIRE(isolatedWrite.status != 200);
  REQUIRE(isolatedRead.status != 200);
  aFleet.IsolateControl(leader, "heal");
  WaitForProgress(changes);
  int accepted = changes.Stop();
  CheckChanges(aFleet, accepted);
}

// Kills an instance, deletes its data and starts it with an empty disk.
void
LoseDisk(Fleet& aFleet, int aControl)
{
  aFleet.Control(aControl).Kill();
  aFleet.RemoveData(aControl);
  aFleet.Control(aControl).Start();
}

Reply
ApplyModel(Fleet& aFleet,
           const char* aModel,
           std::uint64_t aBaseVersion,
           const char* aChangeId)
{
  return aFleet.ApplyModels({ "chat", aModel }, aBaseVersion, aChangeId);
}

} // namespace

// Guards against two concurrent changes of the same base version that are both
// reported as accepted.
TEST_CASE("of changes with an equal base version exactly one is accepted",
          "[control-race]")
{
  Fleet fleet("control-race", 71, {});
  std::atomic<int> won{ 0 };
  std::atomic<int> conflicts{ 0 };
  constexpr int kRounds = 20;
  for (std::uint64_t base = 1; base <= kRounds; ++base) {
    std::vector<std::thread> operators;
    for (int i = 0; i < 4; ++i) {
      operators.emplace_back([&, i] {
        std::string id = std::to_string(base) + "-" + std::to_string(i);
        Reply reply = ApplyModel(fleet, ("m" + id).c_str(), base, id.c_str());
        won += reply.status == 200 ? 1 : 0;
        conflicts += reply.status == 409 ? 1 : 0;
      });
    }
    for (auto& thread : operators) {
      thread.join();
    }
  }
  fleet.AddReportValue("won", won);
  fleet.AddReportValue("conflicts", conflicts);
  REQUIRE(won == kRounds);
  REQUIRE(conflicts == 3 * kRounds);
  REQUIRE(fleet.ReadAdminJson("/admin/config/history").as_array().size() ==
          kRounds + 1);
}

// Guards against a change that is applied twice, or refused as a conflict with
// itself, when it is resent after the first answer was lost.
TEST_CASE("a resent change gets its first result", "[control-resent]")
{
  Fleet fleet("control-resent", 72, {});
  REQUIRE(ApplyModel(fleet, "one", 1, "a").status == 200);
  REQUIRE(ApplyModel(fleet, "two", 2, "b").status == 200);
  Reply first = ApplyModel(fleet, "one", 1, "a");
  REQUIRE(first.status == 200);
  REQUIRE(first.body.find("\"version\":2") != std::string::npos);
  REQUIRE(ApplyModel(fleet, "late", 1, "c").status == 409);
  REQUIRE(ApplyModel(fleet, "late", 1, "c").status == 409);
  for (int i = 0; i < 3; ++i) {
    fleet.SendAdminRequest("POST",
                           "/admin/topups",
                           { { "change_id", "paid-once" },
                             { "workspace", "w1" },
                             { "tokens", 500 } });
  }
  std::int64_t paid = fleet.ReadBudget().paid - fleet.Options().paid;
  fleet.AddReportValue("paid_by_3_resends", paid);
  REQUIRE(paid == 500);
}

// Guards against accepted changes that are lost or applied twice when the
// leader is killed.
TEST_CASE("no change is lost when the leader is killed", "[control-killed]")
{
  Fleet fleet("control-killed", 73, MakeReplicatedOptions());
  TopUpClient changes(fleet);
  LoadGenerator load(fleet, {});
  for (int i = 0; i < 3; ++i) {
    int leader = RequireLeader(fleet);
    std::this_thread::sleep_for(500ms);
    fleet.Control(leader).Kill();
    ReportDuration(fleet, "outage_ms", WaitForProgress(changes));
    fleet.Control(leader).Start();
    std::this_thread::sleep_for(1s);
  }
  load.Stop();
  int accepted = changes.Stop();
  REQUIRE(load.Count(ChatOutcome::WrongContent) == 0);
  REQUIRE(fleet.WaitUntilSettled());
  REQUIRE(fleet.ReadBudget().spent == load.CompletedTokens());
  CheckChanges(fleet, accepted);
}

// Guards against an isolated leader that still accepts changes or answers
// reads.
TEST_CASE("an isolated leader accepts nothing", "[control-isolated]")
{
  Fleet fleet("control-isolated", 74, MakeReplicatedOptions());
  CheckIsolation(fleet, "block");
}

// Guards against a leader that stays the leader under an asymmetric partition:
// it receives nothing but still sends heartbeats ("deaf"), or it receives
// messages while its own are lost ("mute").
TEST_CASE("a leader isolated in one direction accepts nothing",
          "[control-one-way]")
{
  const char* fault = GENERATE("mute", "deaf");
  Fleet fleet("control-one-way", 75, MakeReplicatedOptions());
  CheckIsolation(fleet, fault);
}

// Guards against an instance that votes with an empty disk, and against the
// loss of entries that were stored only on the lost disk and one other.
TEST_CASE("no change is lost when a disk is lost and another right after",
          "[control-disk]")
{
  Fleet fleet("control-disk", 76, MakeReplicatedOptions());
  TopUpClient changes(fleet);
  WaitForProgress(changes);
  LoseDisk(fleet, 0);
  WaitForProgress(changes);
  REQUIRE(fleet.WaitForFullQuorum());
  LoseDisk(fleet, 1);
  WaitForProgress(changes);
  REQUIRE(fleet.WaitForFullQuorum());
  fleet.Control(2).Kill();
  ReportDuration(fleet, "outage_ms", WaitForProgress(changes));
  int accepted = changes.Stop();
  CheckChanges(fleet, accepted);
}

// Guards against changes that are missing from the stored snapshot and log.
TEST_CASE("all changes are kept over a restart of every instance",
          "[control-restart]")
{
  Fleet fleet("control-restart", 77, MakeReplicatedOptions());
  constexpr std::uint64_t kChanges = 400;
  for (std::uint64_t i = 1; i <= kChanges; ++i) {
    std::string id = "m" + std::to_string(i);
    REQUIRE(ApplyModel(fleet, id.c_str(), i, id.c_str()).status == 200);
  }
  for (int i = 0; i < 3; ++i) {
    fleet.Control(i).Kill();
  }
  for (int i = 0; i < 3; ++i) {
    fleet.Control(i).Start();
  }
  RequireLeader(fleet);
  auto current = fleet.ReadAdminJson("/admin/config");
  fleet.AddReportValue("changes", kChanges);
  REQUIRE(current.at("version") == kChanges + 1);
  REQUIRE(ApplyModel(fleet, "late", kChanges, "late").status == 409);
  REQUIRE(fleet.WaitUntilReady(0));
}

} // namespace lycheestand::faults
