#include <catch2/catch.hpp>
#include <lycheestand/state.h>

using namespace lycheestand;
using namespace lycheestand::state;

namespace {

// A state machine with one workspace, a budget and two router sessions.
class StateMachineFixture
{
public:
  StateMachineFixture()
  {
    this->machine.Apply(CreateWorkspace{ ChangeId("c1"), this->workspace });
    this->machine.Apply(
      TopUpBudget{ ChangeId("c2"), this->workspace, Tokens(1000) });
    this->machine.Apply(RegisterSession{ InstanceId("r1"), SessionId(1) });
    this->machine.Apply(RegisterSession{ InstanceId("r2"), SessionId(2) });
  }

  TokensGranted Grant(SessionId aSession,
                      std::uint64_t aRequest,
                      Tokens aMinimum,
                      Tokens aWanted)
  {
    return std::get<TokensGranted>(this->machine.Apply(
      GrantTokens{ aSession, aRequest, this->workspace, aMinimum, aWanted }));
  }

  OperationState Begin(SessionId aSession,
                       std::uint64_t aRequest,
                       const char* aBody)
  {
    RecordOperation begin{ aSession,
                           aRequest,
                           this->workspace,
                           OperationKey("visit-1"),
                           BodyHash(aBody),
                           OperationPhase::Begin,
                           {} };
    return std::get<OperationRecorded>(this->machine.Apply(begin)).state;
  }

  WorkspaceId workspace{ "kalkki" };
  StateMachine machine;
};

} // namespace

// Guards against granting tokens again when a reply was lost: the first grant
// would stay outstanding without a user.
TEST_CASE_METHOD(StateMachineFixture, "A resent grant request counts once")
{
  auto first = this->Grant(SessionId(1), 1, Tokens(100), Tokens(200));
  auto second = this->Grant(SessionId(1), 1, Tokens(100), Tokens(200));
  REQUIRE(first == second);
  REQUIRE(this->machine.Budgets().Find(this->workspace)->Outstanding() ==
          first.tokens);
}

// Guards against grants to several sessions that together exceed the budget.
TEST_CASE_METHOD(StateMachineFixture, "Grants never exceed the paid tokens")
{
  Tokens sum;
  for (std::uint64_t request = 1; request < 50; ++request) {
    SessionId session(1 + request % 2);
    sum += this->Grant(session, request, Tokens(30), Tokens(500)).tokens;
  }
  REQUIRE(sum <= Tokens(1000));
  REQUIRE(this->machine.Budgets().Find(this->workspace)->Free() >= Tokens(0));
}

// Guards against counting usage twice when a batch is resent after its reply
// was lost.
TEST_CASE_METHOD(StateMachineFixture, "A usage batch counts once")
{
  this->Grant(SessionId(1), 1, Tokens(100), Tokens(200));
  ReportUsage report{ SessionId(1),
                      BatchNumber(1),
                      { { this->workspace, Tokens(40), Tokens(10), 1 } } };
  REQUIRE(std::holds_alternative<Done>(this->machine.Apply(report)));
  REQUIRE(std::holds_alternative<Done>(this->machine.Apply(report)));
  const Budget* budget = this->machine.Budgets().Find(this->workspace);
  REQUIRE(budget->spent == Tokens(40));
  REQUIRE(budget->requests == 1);
}

// Guards against adding a top-up twice when it is resent after its reply was
// lost.
TEST_CASE_METHOD(StateMachineFixture, "A resent top-up counts once")
{
  TopUpBudget topUp{ ChangeId("t"), this->workspace, Tokens(500) };
  this->machine.Apply(topUp);
  this->machine.Apply(topUp);
  REQUIRE(this->machine.Budgets().Find(this->workspace)->paid == Tokens(1500));
  topUp.tokens = Tokens(600);
  REQUIRE(this->machine.Apply(topUp) ==
          Outcome(Rejected{ Rejection::ChangeIdReused }));
}

// Guards against accepting concurrent changes of two operators, of which the
// second would overwrite the first unseen.
TEST_CASE_METHOD(StateMachineFixture,
                 "Only one of two changes with the same base is accepted")
{
  ApplyConfiguration first{ ChangeId("a"), ConfigVersion(0), "{}", {} };
  ApplyConfiguration second{ ChangeId("b"), ConfigVersion(0), "{}", {} };
  REQUIRE(this->machine.Apply(first) ==
          Outcome(ConfigurationApplied{ ConfigVersion(1) }));
  REQUIRE(this->machine.Apply(second) ==
          Outcome(Rejected{ Rejection::VersionConflict }));
  REQUIRE(this->machine.Apply(first) ==
          Outcome(ConfigurationApplied{ ConfigVersion(1) }));
}

// Guards against running a call again, for example a booking, when the client
// retries it at another router after the first router died.
TEST_CASE_METHOD(StateMachineFixture,
                 "A call begun by a dead router is not started again")
{
  REQUIRE(this->Begin(SessionId(1), 1, "h") == OperationState::Started);
  REQUIRE(this->Begin(SessionId(2), 1, "h") == OperationState::InProgress);
  REQUIRE(this->Begin(SessionId(2), 2, "other") == OperationState::BodyDiffers);
  this->machine.Apply(RegisterSession{ InstanceId("r1"), SessionId(3) });
  REQUIRE(this->Begin(SessionId(2), 3, "h") == OperationState::Unknown);
}

// Guards against a replaced process that resumes, registers again and closes
// the session of its replacement.
TEST_CASE_METHOD(StateMachineFixture, "A closed session can't register again")
{
  this->machine.Apply(RegisterSession{ InstanceId("r1"), SessionId(3) });
  REQUIRE(
    this->machine.Apply(RegisterSession{ InstanceId("r1"), SessionId(1) }) ==
    Outcome(Rejected{ Rejection::SessionClosed }));
  REQUIRE_FALSE(this->machine.Sessions().Find(SessionId(3))->closed);
}

// Guards against replicas that apply a log of an older build with other grant
// sizes than those that its routers got: their reports would be rejected.
TEST_CASE("Only a main user's prefetch takes more than before")
{
  StateMachine machine;
  WorkspaceId workspace("kalkki");
  machine.Apply(CreateWorkspace{ ChangeId("create"), workspace });
  machine.Apply(TopUpBudget{ ChangeId("pay"), workspace, Tokens(16000) });
  machine.Apply(RegisterSession{ InstanceId("r"), SessionId(1) });
  std::uint64_t request = 0;
  auto prefetch = [&](bool aIsMainUser) {
    auto outcome = machine.Apply(GrantTokens{ SessionId(1),
                                              ++request,
                                              workspace,
                                              Tokens(1),
                                              Tokens(16000),
                                              true,
                                              aIsMainUser });
    return std::get<TokensGranted>(outcome).tokens;
  };
  // An eighth of what is free beyond the reserve of 1,000, and half of it.
  CHECK(prefetch(false) == Tokens(1875));
  CHECK(prefetch(true) == Tokens(6562));
}

// Guards against a recall that depends on one holder, which may be suspended or
// use all that it holds.
TEST_CASE("Tokens are recalled from several holders, the largest first")
{
  std::vector<TokenHolder> holders{ { SessionId(1), Tokens(10) },
                                    { SessionId(2), Tokens(1000) },
                                    { SessionId(3), Tokens(400) },
                                    { SessionId(4), Tokens(800) } };
  CHECK(PlanRecall(holders, Tokens(100)) ==
        std::vector<TokenHolder>{ { SessionId(2), Tokens(300) },
                                  { SessionId(4), Tokens(300) },
                                  { SessionId(3), Tokens(300) },
                                  { SessionId(1), Tokens(10) } });
  CHECK(PlanRecall(holders, Tokens(20)).size() == 4);
  CHECK(PlanRecall({}, Tokens(100)).empty());
}
