#include <catch2/catch.hpp>
#include <lycheestand/state.h>

using namespace lycheestand;
using namespace lycheestand::state;

namespace {

// A register with one engine.
class OrderFixture
{
public:
  FencingNumber Order(OrderKind aKind, const char* aArgument)
  {
    auto outcome =
      this->orders.Record({ ChangeId("c"), this->engine, aKind, aArgument });
    return std::get<OrderAccepted>(outcome).number;
  }

  EndpointId engine{ "e1" };
  OrderRegister orders;
};

} // namespace

// Guards against an old order that an engine takes for the newer one.
TEST_CASE_METHOD(OrderFixture, "Later orders have higher fencing numbers")
{
  auto first = this->Order(OrderKind::SetVersion, "1");
  auto second = this->Order(OrderKind::SetVersion, "2");
  REQUIRE(first < second);
  REQUIRE(this->orders.ByEndpoint().at(this->engine).size() == 1);
}

// Guards against a model that is no longer ordered after another one was.
TEST_CASE_METHOD(OrderFixture, "An engine is ordered to hold several models")
{
  this->Order(OrderKind::LoadModel, "a");
  this->Order(OrderKind::LoadModel, "b");
  REQUIRE(this->orders.ByEndpoint().at(this->engine).size() == 2);
}

// Guards against a late answer to an old order that confirms the newer one.
TEST_CASE_METHOD(OrderFixture, "A replaced order's answer confirms nothing")
{
  auto first = this->Order(OrderKind::SetRole, "prefill");
  auto second = this->Order(OrderKind::SetRole, "decode");
  this->orders.Confirm({ this->engine, first });
  REQUIRE_FALSE(
    this->orders.ByEndpoint().at(this->engine).at(second).confirmed);
  this->orders.Confirm({ this->engine, second });
  REQUIRE(this->orders.ByEndpoint().at(this->engine).at(second).confirmed);
}
