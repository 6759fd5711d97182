#include <lycheestand/state.h>

namespace lycheestand::state {

namespace {

// Returns whether a newer order for the same engine replaces an older one. An
// engine holds several models and adapters, but has one version and one role.
bool
IsReplacedBy(const Order& aOlder, const OrderEngine& aNewer)
{
  if (aOlder.kind != aNewer.kind) {
    return false;
  }
  bool isExclusive =
    aNewer.kind == OrderKind::SetVersion || aNewer.kind == OrderKind::SetRole;
  return isExclusive || aOlder.argument == aNewer.argument;
}

} // namespace

Outcome
OrderRegister::Record(const OrderEngine& aCommand)
{
  Orders& orders = this->byEndpoint[aCommand.endpoint];
  std::erase_if(orders, [&](const auto& aEntry) {
    return IsReplacedBy(aEntry.second, aCommand);
  });
  FencingNumber number(this->nextNumber++);
  orders.emplace(number, Order{ aCommand.kind, aCommand.argument, false });
  return OrderAccepted{ number };
}

// A confirmation of an order that a newer one has replaced is ignored.
Outcome
OrderRegister::Confirm(const ConfirmOrder& aCommand)
{
  auto endpoint = this->byEndpoint.find(aCommand.endpoint);
  if (endpoint != this->byEndpoint.end()) {
    auto order = endpoint->second.find(aCommand.number);
    if (order != endpoint->second.end()) {
      order->second.confirmed = true;
    }
  }
  return Done{};
}

} // namespace lycheestand::state
