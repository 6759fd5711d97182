#include <catch2/catch.hpp>
#include <lycheestand/limits.h>

using namespace lycheestand;
using namespace lycheestand::limits;

namespace {

// A ledger with one endpoint that takes 4 requests a second.
class PermitLedgerFixture
{
public:
  PermitLedgerFixture()
  {
    this->ledger.Set(this->endpoint, RequestRate(4), this->now);
  }

  void Advance(Duration aTime) { this->now += aTime; }

  PermitGrant Take(unsigned aWanted)
  {
    return this->ledger.Take(this->endpoint, aWanted, this->now);
  }

  EndpointId endpoint{ "e" };
  TimePoint now{ std::chrono::hours(1) };
  PermitLedger ledger;
};

} // namespace

// Guards against a new leader that gives out permits which an earlier one has
// given out already.
TEST_CASE_METHOD(PermitLedgerFixture, "a new ledger begins without permits")
{
  auto grant = this->Take(1);
  CHECK(grant.granted == 0);
  CHECK(grant.wait == std::chrono::milliseconds(250));
}

// Guards against more requests than the limit, however they are asked for.
TEST_CASE_METHOD(PermitLedgerFixture,
                 "the permits of any time stay near the rate")
{
  unsigned granted = 0;
  for (int i = 0; i < 4000; ++i) {
    this->Advance(std::chrono::milliseconds(1));
    granted += this->Take(3).granted;
  }
  CHECK(granted >= 15);
  CHECK(granted <= 16);
}

// Guards against a long pause after which all permits of that time are used at
// once.
TEST_CASE_METHOD(PermitLedgerFixture, "few permits accumulate in a pause")
{
  this->Advance(std::chrono::seconds(30));
  CHECK(this->Take(100).granted == 2);
}

// Guards against a limit below one request in the time of a burst that lets
// nothing through.
TEST_CASE_METHOD(PermitLedgerFixture, "a small rate grants single permits")
{
  this->ledger.Set(this->endpoint, RequestRate(0.2), this->now);
  this->Advance(std::chrono::seconds(5));
  CHECK(this->Take(2).granted == 1);
  this->Advance(std::chrono::seconds(1));
  CHECK(this->Take(1).granted == 0);
}

// Guards against a division by zero, and against any request, when an endpoint
// takes none.
TEST_CASE_METHOD(PermitLedgerFixture, "a rate of zero grants nothing")
{
  this->ledger.Set(this->endpoint, RequestRate(0), this->now);
  this->Advance(std::chrono::seconds(60));
  auto grant = this->Take(1);
  CHECK(grant.granted == 0);
  CHECK(grant.wait == std::chrono::seconds(1));
}

// Guards against endpoints that stay limited after they have said otherwise,
// and against limits that nobody uses and that are kept for ever.
TEST_CASE_METHOD(PermitLedgerFixture, "a limit ends")
{
  CHECK(this->ledger.Set(this->endpoint, std::nullopt, this->now));
  CHECK(this->Take(100).granted == 100);
  CHECK(this->ledger.AddKnown(this->endpoint, RequestRate(1), this->now));
  CHECK_FALSE(this->ledger.AddKnown(this->endpoint, RequestRate(2), this->now));
  CHECK(this->ledger.CurrentLimits().at(this->endpoint) == RequestRate(1));
  this->Advance(std::chrono::minutes(2));
  CHECK(this->ledger.RemoveUnused(this->now));
  CHECK(this->ledger.CurrentLimits().empty());
}
