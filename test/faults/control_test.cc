// Control: no accepted change is lost, made twice or taken back, whatever
// happens to control instances.

#include "fleet.h"

#include <catch2/catch.hpp>
#include <csignal>

namespace lycheestand::faults {

namespace {

// Operator that tops the budget up by one token again and again. It resends a
// change with its id until it is answered, so each is made exactly once.
class Operator
{
public:
  explicit Operator(Fleet& aFleet)
    : fleet(aFleet)
    , thread([this] { this->Run(); })
  {
  }

  ~Operator() { this->Stop(); }

  // Returns how many changes were accepted.
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
      Reply reply = this->fleet.Operate(
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
MakeReplicated()
{
  FleetOptions options;
  options.controls = 3;
  options.engines = 1;
  return options;
}

// Waits until further changes are accepted; returns how long it took.
Duration
WaitForProgress(const Operator& aOperator)
{
  auto begin = Clock::now();
  int before = aOperator.Accepted();
  REQUIRE(WaitFor(30s, [&] { return aOperator.Accepted() >= before + 3; }));
  return Clock::now() - begin;
}

void
NoteOutage(Fleet& aFleet, const char* aName, Duration aTime)
{
  aFleet.Figure(aName, std::chrono::duration_cast<Milliseconds>(aTime).count());
}

// Compares the accepted changes with what is paid, and serves a request.
void
CheckChanges(Fleet& aFleet, int aAccepted)
{
  std::int64_t made = aFleet.ReadBudget().paid - aFleet.Options().paid;
  aFleet.Figure("accepted", aAccepted);
  aFleet.Figure("made", made);
  REQUIRE(aAccepted > 0);
  REQUIRE(made == aAccepted);
  ChatRequest request;
  request.content = "end";
  REQUIRE(WaitFor(
    20s, [&] { return aFleet.Chat(0, request).ending == Ending::Whole; }));
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

// Isolates the leader while changes go on, and checks that it accepts none.
void
CheckIsolation(Fleet& aFleet, const std::string& aFault)
{
  Operator changes(aFleet);
  int leader = RequireLeader(aFleet);
  aFleet.IsolateControl(leader, aFault);
  NoteOutage(aFleet, "outage_ms", WaitForProgress(changes));
  Reply alone = aFleet.OperateAt(
    leader,
    "POST",
    "/admin/topups",
    { { "change_id", "isolated" }, { "workspace", "w1" }, { "tokens", 1000 } });
  Reply read = aFleet.OperateAt(leader, "GET", "/admin/workspaces");
  REQUIRE(alone.status != 200);
  REQUIRE(read.status != 200);
  aFleet.IsolateControl(leader, "heal");
  WaitForProgress(changes);
  int accepted = changes.Stop();
  CheckChanges(aFleet, accepted);
}

// Loses an instance's disk and starts it again with an empty one.
void
LoseDisk(Fleet& aFleet, int aControl)
{
  aFleet.Control(aControl).Kill();
  aFleet.RemoveData(aControl);
  aFleet.Control(aControl).Start();
}

Reply
Apply(Fleet& aFleet, const char* aModel, std::uint64_t aBase, const char* aId)
{
  return aFleet.ApplyModels({ "chat", aModel }, aBase, aId);
}

} // namespace

// Guards against two operators who both believe that their change of the same
// version was accepted.
TEST_CASE("of changes with an equal base version exactly one wins",
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
        Reply reply = Apply(fleet, ("m" + id).c_str(), base, id.c_str());
        won += reply.status == 200 ? 1 : 0;
        conflicts += reply.status == 409 ? 1 : 0;
      });
    }
    for (auto& thread : operators) {
      thread.join();
    }
  }
  fleet.Figure("won", won);
  fleet.Figure("conflicts", conflicts);
  REQUIRE(won == kRounds);
  REQUIRE(conflicts == 3 * kRounds);
  REQUIRE(fleet.Read("/admin/config/history").as_array().size() == kRounds + 1);
}

// Guards against a change that is made twice, or answered with a conflict with
// itself, when the operator lost the first answer.
TEST_CASE("a resent change gets its first result", "[control-resent]")
{
  Fleet fleet("control-resent", 72, {});
  REQUIRE(Apply(fleet, "one", 1, "a").status == 200);
  REQUIRE(Apply(fleet, "two", 2, "b").status == 200);
  Reply first = Apply(fleet, "one", 1, "a");
  REQUIRE(first.status == 200);
  REQUIRE(first.body.find("\"version\":2") != std::string::npos);
  REQUIRE(Apply(fleet, "late", 1, "c").status == 409);
  REQUIRE(Apply(fleet, "late", 1, "c").status == 409);
  for (int i = 0; i < 3; ++i) {
    fleet.Operate("POST",
                  "/admin/topups",
                  { { "change_id", "paid-once" },
                    { "workspace", "w1" },
                    { "tokens", 500 } });
  }
  std::int64_t paid = fleet.ReadBudget().paid - fleet.Options().paid;
  fleet.Figure("paid_by_3_resends", paid);
  REQUIRE(paid == 500);
}

// Guards against accepted changes that are lost or made twice when the leader
// dies.
TEST_CASE("no change is lost when the leader dies", "[control-killed]")
{
  Fleet fleet("control-killed", 73, MakeReplicated());
  Operator changes(fleet);
  Crowd crowd(fleet, {});
  for (int i = 0; i < 3; ++i) {
    int leader = RequireLeader(fleet);
    std::this_thread::sleep_for(500ms);
    fleet.Control(leader).Kill();
    NoteOutage(fleet, "outage_ms", WaitForProgress(changes));
    fleet.Control(leader).Start();
    std::this_thread::sleep_for(1s);
  }
  crowd.Stop();
  int accepted = changes.Stop();
  REQUIRE(crowd.Count(Ending::Wrong) == 0);
  REQUIRE(fleet.WaitUntilSettled());
  REQUIRE(fleet.ReadBudget().spent == crowd.Told());
  CheckChanges(fleet, accepted);
}

// Guards against a leader that still accepts or answers when it is cut off.
TEST_CASE("an isolated leader accepts nothing", "[control-isolated]")
{
  Fleet fleet("control-isolated", 74, MakeReplicated());
  CheckIsolation(fleet, "block");
}

// Guards against a leader that hears nothing but still sends heartbeats, or
// that hears the others but is not heard.
TEST_CASE("a leader isolated one way accepts nothing", "[control-one-way]")
{
  const char* fault = GENERATE("mute", "deaf");
  Fleet fleet("control-one-way", 75, MakeReplicated());
  CheckIsolation(fleet, fault);
}

// Guards against an instance that votes with an empty disk, and against losing
// what only the lost disk and one other held.
TEST_CASE("no change is lost when a disk is lost and another right after",
          "[control-disk]")
{
  Fleet fleet("control-disk", 76, MakeReplicated());
  Operator changes(fleet);
  WaitForProgress(changes);
  LoseDisk(fleet, 0);
  WaitForProgress(changes);
  REQUIRE(fleet.WaitForFullQuorum());
  LoseDisk(fleet, 1);
  WaitForProgress(changes);
  REQUIRE(fleet.WaitForFullQuorum());
  fleet.Control(2).Kill();
  NoteOutage(fleet, "outage_ms", WaitForProgress(changes));
  int accepted = changes.Stop();
  CheckChanges(fleet, accepted);
}

// Guards against a snapshot or log that does not hold all changes.
TEST_CASE("all changes are there after a restart of every instance",
          "[control-restart]")
{
  Fleet fleet("control-restart", 77, MakeReplicated());
  constexpr std::uint64_t kChanges = 400;
  for (std::uint64_t i = 1; i <= kChanges; ++i) {
    std::string id = "m" + std::to_string(i);
    REQUIRE(Apply(fleet, id.c_str(), i, id.c_str()).status == 200);
  }
  for (int i = 0; i < 3; ++i) {
    fleet.Control(i).Kill();
  }
  for (int i = 0; i < 3; ++i) {
    fleet.Control(i).Start();
  }
  RequireLeader(fleet);
  auto current = fleet.Read("/admin/config");
  fleet.Figure("changes", kChanges);
  REQUIRE(current.at("version") == kChanges + 1);
  REQUIRE(Apply(fleet, "late", kChanges, "late").status == 409);
  REQUIRE(fleet.WaitUntilReady(0));
}

} // namespace lycheestand::faults
