#include <catch2/catch.hpp>
#include <lycheestand/state.h>

using namespace lycheestand;
using namespace lycheestand::state;

namespace {

// An order register and one engine.
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

// Guards against an engine that accepts a delayed old order as the newer one.
TEST_CASE_METHOD(OrderFixture, "Later orders have higher fencing numbers")
{
  auto first = this->Order(OrderKind::SetVersion, "1");
  auto second = this->Order(OrderKind::SetVersion, "2");
  REQUIRE(first < second);
  REQUIRE(this->orders.ByEndpoint().at(this->engine).size() == 1);
}

// Guards against dropping the order to load one model when another model is
// ordered.
TEST_CASE_METHOD(OrderFixture,
                 "Orders to load different models don't replace each other")
{
  this->Order(OrderKind::LoadModel, "a");
  this->Order(OrderKind::LoadModel, "b");
  REQUIRE(this->orders.ByEndpoint().at(this->engine).size() == 2);
}

// Guards against a late answer to a replaced order that confirms the newer one.
TEST_CASE_METHOD(OrderFixture, "Confirming a replaced order has no effect")
{
  auto first = this->Order(OrderKind::SetRole, "prefill");
  auto second = this->Order(OrderKind::SetRole, "decode");
  this->orders.Confirm({ this->engine, first });
  REQUIRE_FALSE(
    this->orders.ByEndpoint().at(this->engine).at(second).confirmed);
  this->orders.Confirm({ this->engine, second });
  REQUIRE(this->orders.ByEndpoint().at(this->engine).at(second).confirmed);
}
