#include <catch2/catch.hpp>
#include <limits>
#include <lycheestand/state.h>
#include <random>

using namespace lycheestand;
using namespace lycheestand::state;

namespace {

// A state machine with one prepaid workspace and one router session.
class LedgerFixture
{
public:
  LedgerFixture()
  {
    this->machine.Apply(CreateWorkspace{ ChangeId("c1"), this->workspace });
    this->machine.Apply(
      TopUpBudget{ ChangeId("c2"), this->workspace, Tokens(1000) });
    this->machine.Apply(RegisterSession{ InstanceId("r1"), SessionId(1) });
  }

  TokensGranted Grant(std::uint64_t aSession, std::uint64_t aRequest)
  {
    return std::get<TokensGranted>(
      this->machine.Apply(GrantTokens{ SessionId(aSession),
                                       aRequest,
                                       this->workspace,
                                       Tokens(10),
                                       Tokens(10) }));
  }

  Outcome ApplyDocument(const char* aChange,
                        const WorkspaceId& aWorkspace,
                        Tokens aTokens)
  {
    return this->machine.Apply(
      ApplyConfiguration{ ChangeId(aChange),
                          this->machine.Configuration().Current(),
                          "{}",
                          { { aWorkspace, aTokens } } });
  }

  const Budget& BudgetOf(const WorkspaceId& aWorkspace) const
  {
    return *this->machine.Budgets().Find(aWorkspace);
  }

  WorkspaceId workspace{ "cascadia" };
  StateMachine machine;
};

constexpr auto kMaxAmount = std::numeric_limits<std::int64_t>::max();
constexpr auto kMinAmount = std::numeric_limits<std::int64_t>::min();

} // namespace

// Guards against replicated state that grows with every restart of a router.
TEST_CASE_METHOD(LedgerFixture, "A closed session's grant records are dropped")
{
  for (std::uint64_t session = 1; session < 50; ++session) {
    this->machine.Apply(
      RegisterSession{ InstanceId("r1"), SessionId(session) });
    REQUIRE(this->Grant(session, 1).tokens == Tokens(10));
    REQUIRE(this->machine.Budgets().CachedReplyCount() == 1);
  }
  this->machine.Apply(CloseSession{ ChangeId("c3"), InstanceId("r1") });
  REQUIRE(this->machine.Budgets().CachedReplyCount() == 0);
}

// Guards against granting tokens for a delayed request after a later one of the
// same session: its router no longer waits for the reply and would neither use
// nor return them.
TEST_CASE_METHOD(LedgerFixture, "A delayed older grant request gets no tokens")
{
  this->Grant(1, 4);
  this->Grant(1, 5);
  REQUIRE(this->Grant(1, 4).tokens == Tokens(0));
  REQUIRE(this->BudgetOf(this->workspace).Outstanding() == Tokens(20));
  REQUIRE(this->Grant(1, 5).tokens == Tokens(10));
  REQUIRE(this->BudgetOf(this->workspace).Outstanding() == Tokens(20));
}

// Guards against treating a first request with number zero as a resent one.
TEST_CASE_METHOD(LedgerFixture, "A session's first request may be number zero")
{
  REQUIRE(this->Grant(1, 0).tokens == Tokens(10));
}

// Guards against two processes that share one session's grants.
TEST_CASE_METHOD(LedgerFixture, "A session belongs to one instance")
{
  REQUIRE(
    this->machine.Apply(RegisterSession{ InstanceId("r2"), SessionId(1) }) ==
    Outcome(Rejected{ Rejection::AlreadyExists }));
}

// Guards against initial tokens that are not paid because an operator created
// the workspace before the document, or paid again by a later document.
TEST_CASE_METHOD(LedgerFixture, "A workspace's initial tokens are paid once")
{
  this->ApplyDocument("d1", this->workspace, Tokens(0));
  this->ApplyDocument("d2", this->workspace, Tokens(500));
  this->ApplyDocument("d3", this->workspace, Tokens(500));
  REQUIRE(this->BudgetOf(this->workspace).paid == Tokens(1500));
  WorkspaceId named("named");
  this->ApplyDocument("d4", named, Tokens(70));
  REQUIRE(this->machine.Apply(CreateWorkspace{ ChangeId("c3"), named }) ==
          Outcome(Rejected{ Rejection::AlreadyExists }));
  this->ApplyDocument("d5", named, Tokens(80));
  REQUIRE(this->BudgetOf(named).paid == Tokens(70));
}

// Guards against activating a document whose tokens can't be paid.
TEST_CASE_METHOD(LedgerFixture, "A document with an invalid amount is rejected")
{
  for (std::int64_t tokens : { std::int64_t(-1), kMinAmount, kMaxAmount }) {
    std::string change = "d" + std::to_string(tokens);
    REQUIRE(
      this->ApplyDocument(change.c_str(), WorkspaceId("new"), Tokens(tokens)) ==
      Outcome(Rejected{ Rejection::InvalidAmount }));
  }
  REQUIRE(this->machine.Budgets().Find(WorkspaceId("new")) == nullptr);
  REQUIRE(this->machine.Configuration().Current() == ConfigVersion(0));
}

// Guards against a document fingerprint that differs between builds: replicas
// of different builds would answer a resent change differently.
TEST_CASE_METHOD(LedgerFixture,
                 "A resent document is distinguished from a different one")
{
  ApplyConfiguration change{
    ChangeId("d"), ConfigVersion(0), R"({"a":1})", {}
  };
  Outcome first = this->machine.Apply(change);
  REQUIRE(this->machine.Apply(change) == first);
  change.document = R"({"a":2})";
  REQUIRE(this->machine.Apply(change) ==
          Outcome(Rejected{ Rejection::ChangeIdReused }));
  REQUIRE(DocumentFingerprint(R"({"a":1})") ==
          "7:3c8c141663acf5a1b6b7137162fa70fb");
}

// Guards against sums that overflow on hostile amounts and would let a session
// hold or report more than was paid.
TEST_CASE_METHOD(LedgerFixture, "Extreme amounts don't break budget invariants")
{
  std::mt19937_64 random(7);
  auto amount = [&] {
    const std::int64_t edges[] = {
      kMaxAmount,     kMinAmount, kMaxAmount / 2 + 1,
      kMaxAmount - 1, -1,         std::int64_t(1) << 60
    };
    auto pick = random() % 12;
    return Tokens(pick < 6 ? edges[pick]
                           : static_cast<std::int64_t>(random() % 400));
  };
  for (std::uint64_t i = 1; i < 20000; ++i) {
    BatchNumber batch(
      this->machine.Sessions().Find(SessionId(1))->lastBatch.Get() + 1);
    std::vector<Command> commands{
      TopUpBudget{ ChangeId(std::to_string(i)), this->workspace, amount() },
      GrantTokens{ SessionId(1), i, this->workspace, amount(), amount() },
      ReportUsage{ SessionId(1),
                   batch,
                   { { this->workspace, amount(), amount(), 1 },
                     { this->workspace, amount(), amount(), 1 } } }
    };
    this->machine.Apply(commands[random() % commands.size()]);
    const Budget& budget = this->BudgetOf(this->workspace);
    REQUIRE(budget.paid <= BudgetLedger::kMaxPaid);
    REQUIRE(budget.spent >= Tokens(0));
    REQUIRE(budget.Outstanding() >= Tokens(0));
    REQUIRE(budget.Free() >= Tokens(0));
    REQUIRE(budget.spent + budget.Outstanding() + budget.Free() == budget.paid);
  }
  REQUIRE(this->BudgetOf(this->workspace).spent > Tokens(0));
}
