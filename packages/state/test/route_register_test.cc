#include <catch2/catch.hpp>
#include <lycheestand/state.h>

using namespace lycheestand;
using namespace lycheestand::state;

namespace {

// A state machine whose budget is set by route tables.
class RouteRegisterFixture
{
public:
  Outcome Replace(std::uint64_t aVersion,
                  const std::string& aDocument,
                  std::int64_t aPrepaid)
  {
    return this->machine.Apply(
      ReplaceRoutes{ ConfigVersion(aVersion),
                     aDocument,
                     { { this->workspace, Tokens(aPrepaid) } } });
  }

  TokensGranted Grant(SessionId aSession,
                      std::uint64_t aRequest,
                      std::int64_t aMinimum,
                      std::int64_t aWanted,
                      bool aIsPrefetch)
  {
    return std::get<TokensGranted>(
      this->machine.Apply(GrantTokens{ aSession,
                                       aRequest,
                                       this->workspace,
                                       Tokens(aMinimum),
                                       Tokens(aWanted),
                                       aIsPrefetch }));
  }

  WorkspaceId workspace{ "kalkki" };
  StateMachine machine;
};

} // namespace

// Guards against a late older table that replaces a newer one, and against
// rejecting a table that is resent.
TEST_CASE_METHOD(RouteRegisterFixture,
                 "The highest version of the route table wins")
{
  CHECK(this->Replace(7, "seven", 100) ==
        Outcome(ConfigurationApplied{ ConfigVersion(7) }));
  auto revision = this->machine.CurrentRevision();
  CHECK(this->Replace(5, "five", 900) ==
        Outcome(ConfigurationApplied{ ConfigVersion(7) }));
  CHECK(this->Replace(7, "other", 900) ==
        Outcome(ConfigurationApplied{ ConfigVersion(7) }));
  CHECK(this->machine.Routes().Document() == "seven");
  CHECK(this->machine.CurrentRevision() == revision);
  CHECK(this->machine.Budgets().Find(this->workspace)->paid == Tokens(100));
}

// Guards against a prepaid amount that is added to the budget again by a later
// table, or that reduces the budget.
TEST_CASE_METHOD(RouteRegisterFixture,
                 "A route table raises budgets but never lowers them")
{
  this->Replace(1, "a", 1000);
  this->Replace(2, "b", 1500);
  CHECK(this->machine.Budgets().Find(this->workspace)->paid == Tokens(1500));
  this->Replace(3, "c", 200);
  CHECK(this->machine.Budgets().Find(this->workspace)->paid == Tokens(1500));
}

// Guards against prefetches that leave no tokens for a request that waits for
// them.
TEST_CASE_METHOD(RouteRegisterFixture, "A prefetch leaves a reserve")
{
  this->Replace(1, "a", 1600);
  this->machine.Apply(RegisterSession{ InstanceId("r1"), SessionId(1) });
  std::uint64_t request = 1;
  Tokens last(1);
  for (int i = 0; i < 200; ++i) {
    last = this->Grant(SessionId(1), request++, 1, 1600, true).tokens;
  }
  CHECK(last == Tokens(0));
  const auto* budget = this->machine.Budgets().Find(this->workspace);
  CHECK(budget->Free() >= Tokens(100));
  CHECK(this->Grant(SessionId(1), request, 50, 50, false).tokens == Tokens(50));
}

// Guards against requests that wait for tokens of a process that has ended: the
// budget must be reported as exhausted instead.
TEST_CASE_METHOD(RouteRegisterFixture,
                 "Tokens of a closed session are not expected back")
{
  this->Replace(1, "a", 1000);
  this->machine.Apply(RegisterSession{ InstanceId("r1"), SessionId(1) });
  this->machine.Apply(RegisterSession{ InstanceId("r2"), SessionId(2) });
  this->Grant(SessionId(1), 1, 900, 900, false);
  CHECK_FALSE(this->Grant(SessionId(2), 1, 200, 200, false).exhausted);
  this->machine.Apply(RegisterSession{ InstanceId("r1"), SessionId(3) });
  CHECK(this->Grant(SessionId(2), 2, 200, 200, false).exhausted);
}

// Guards against a session that prefetches a large part of a low budget: the
// workspace loses these tokens when the router is killed.
TEST_CASE_METHOD(RouteRegisterFixture,
                 "Prefetches from a low budget are limited per session")
{
  SessionId session(5);
  this->machine.Apply(RegisterSession{ InstanceId("router"), session });
  this->Replace(1, "one", 1600);
  // Spend half of the budget, so that less than half of it is left.
  std::uint64_t request = 1;
  std::int64_t taken = 0;
  while (taken < 800) {
    taken += this->Grant(session, request++, 1, 100, false).tokens.Get();
  }
  ReportUsage usage{ session, BatchNumber(1), {} };
  usage.entries.push_back({ this->workspace, Tokens(taken), Tokens(0), 1 });
  REQUIRE(std::holds_alternative<Done>(this->machine.Apply(usage)));
  std::int64_t held = 0;
  for (int i = 0; i < 50; ++i) {
    held += this->Grant(session, request++, 1, 1000, true).tokens.Get();
  }
  // Free tokens beyond the reserve, which is a sixteenth of the paid tokens.
  std::int64_t left = 1600 - taken - 100;
  CHECK(held > left / 8);
  CHECK(held <= left / 4);
}
