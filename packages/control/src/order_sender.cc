#include "state_format.h"
#include "tasks.h"

#include <boost/json.hpp>
#include <caf/send.hpp>

// Sends orders to engines while this instance is the leader. The orders of one
// engine are sent one at a time, in ascending order of their fencing numbers,
// each over a new connection. Engines that check the fencing number reject a
// delayed order from an earlier leader. Other engines may apply it, so the
// state of every engine is read back periodically, and all its orders are sent
// again when the state differs from them.

namespace lycheestand::control {

namespace json = boost::json;

namespace {

constexpr Duration kOrderSendInterval = std::chrono::milliseconds(500);
constexpr Duration kReadBackInterval = std::chrono::seconds(3);
constexpr Duration kEngineCallTimeout = std::chrono::seconds(5);

// Returns whether an order is in force according to the engine's state report.
bool
IsInForce(const json::value& aReport, const state::Order& aOrder)
{
  json::error_code error;
  auto contains = [&](const char* aPointer) {
    const auto* list = aReport.find_pointer(aPointer, error);
    if (list == nullptr || !list->is_array()) {
      return false;
    }
    const auto& items = list->get_array();
    return std::find(items.begin(),
                     items.end(),
                     json::value(aOrder.argument)) != items.end();
  };
  auto equals = [&](const char* aPointer) {
    const auto* value = aReport.find_pointer(aPointer, error);
    return value != nullptr && *value == json::value(aOrder.argument);
  };
  switch (aOrder.kind) {
    case OrderKind::LoadModel:
      return contains("/models");
    case OrderKind::LoadAdapter:
      return contains("/adapters");
    case OrderKind::SetVersion:
      return equals("/version");
    case OrderKind::SetRole:
      break;
  }
  return equals("/role");
}

class OrderSender : public net::IoTask
{
public:
  OrderSender(caf::actor_config& aConfig,
              net::Runtime aRuntime,
              caf::actor aPool,
              caf::actor aReplica,
              caf::actor aFleet)
    : net::IoTask(aConfig, aRuntime, std::move(aPool))
    , replica(std::move(aReplica))
    , fleet(std::move(aFleet))
  {
  }

protected:
  void Start() override { this->SendOrdersPeriodically(); }

private:
  using Orders = state::OrderRegister::Orders;

  void SendOrdersPeriodically()
  {
    this->After(kOrderSendInterval, [this] {
      this->SendOrders();
      this->SendOrdersPeriodically();
    });
  }

  // GetOrders returns orders only after a quorum has confirmed the leadership,
  // so a partitioned former leader sends nothing.
  void SendOrders()
  {
    this->request(this->replica, caf::infinite, GetOrders{})
      .then([this](const OrdersResult& aFound) {
        if (aFound.byEndpoint.empty()) {
          return;
        }
        this->request(this->fleet, caf::infinite, GetEndpoints{})
          .then([this, found = aFound](const EndpointList& aList) {
            this->SendToEndpoints(found, aList);
          });
      });
  }

  void SendToEndpoints(const OrdersResult& aFound, const EndpointList& aList)
  {
    auto now = net::Now(this->GetRuntime());
    for (const auto& endpoint : aList.endpoints) {
      auto orders = aFound.byEndpoint.find(endpoint.endpoint);
      if (orders == aFound.byEndpoint.end() ||
          this->endpointsInProgress.contains(endpoint.endpoint)) {
        continue;
      }
      bool hasUnconfirmed = std::any_of(
        orders->second.begin(), orders->second.end(), [](const auto& aEntry) {
          return !aEntry.second.confirmed;
        });
      TimePoint& readBackAt = this->nextReadBack[endpoint.endpoint];
      if (hasUnconfirmed) {
        this->endpointsInProgress.insert(endpoint.endpoint);
        this->SendFrom(endpoint, orders->second, orders->second.begin()->first);
      } else if (now >= readBackAt) {
        readBackAt = now + kReadBackInterval;
        this->endpointsInProgress.insert(endpoint.endpoint);
        this->ReadBack(endpoint, orders->second);
      }
    }
  }

  // Sends the first order whose number is at least aNumber, then the later
  // ones.
  void SendFrom(const membership::Endpoint& aEndpoint,
                const Orders& aOrders,
                FencingNumber aNumber)
  {
    auto next = aOrders.lower_bound(aNumber);
    if (next == aOrders.end()) {
      this->endpointsInProgress.erase(aEndpoint.endpoint);
      return;
    }
    const auto& [number, order] = *next;
    json::object body{ { "kind", ToString(order.kind) },
                       { "argument", order.argument },
                       { "fencing", number.Get() } };
    this->Fetch(aEndpoint.address,
                { "POST",
                  "/orders",
                  { { "Content-Type", "application/json" } },
                  json::serialize(body) },
                MakeCallOptions(),
                [this, aEndpoint, aOrders, number = number](
                  const Result<net::HttpResponse, net::CallFailure>& aResult) {
                  this->HandleResponse(aEndpoint, aOrders, number, aResult);
                });
  }

  // Status 409 means that the engine has an order with a higher number: this
  // instance is no longer the leader, or an older order was sent again. The
  // order needs no more attempts in either case.
  void HandleResponse(
    const membership::Endpoint& aEndpoint,
    const Orders& aOrders,
    FencingNumber aNumber,
    const Result<net::HttpResponse, net::CallFailure>& aResult)
  {
    bool isDelivered = aResult.has_value() && (aResult.value().status == 200 ||
                                               aResult.value().status == 409);
    if (!isDelivered) {
      net::Log(net::LogLevel::Warning,
               "an engine did not accept an order; it will be sent again",
               { { "endpoint", aEndpoint.endpoint.Get() },
                 { "fencing", std::to_string(aNumber.Get()) } });
      this->endpointsInProgress.erase(aEndpoint.endpoint);
      return;
    }
    if (!aOrders.at(aNumber).confirmed) {
      // The response is not needed: an order that stays unconfirmed is sent
      // again.
      caf::anon_send(
        this->replica,
        Propose{ state::ConfirmOrder{ aEndpoint.endpoint, aNumber } });
    }
    this->SendFrom(aEndpoint, aOrders, FencingNumber(aNumber.Get() + 1));
  }

  void ReadBack(const membership::Endpoint& aEndpoint, const Orders& aOrders)
  {
    this->Fetch(
      aEndpoint.address,
      { "GET", "/orders", {}, "" },
      MakeCallOptions(),
      [this, aEndpoint, aOrders](
        const Result<net::HttpResponse, net::CallFailure>& aResult) {
        if (aResult.has_value() &&
            !this->AreInForce(aResult.value(), aOrders)) {
          net::Log(
            net::LogLevel::Warning,
            "the state of an engine differs from its orders; sending all "
            "of them again",
            { { "endpoint", aEndpoint.endpoint.Get() } });
          this->SendFrom(aEndpoint, aOrders, aOrders.begin()->first);
        } else {
          this->endpointsInProgress.erase(aEndpoint.endpoint);
        }
      });
  }

  bool AreInForce(const net::HttpResponse& aResponse,
                  const Orders& aOrders) const
  {
    json::error_code error;
    json::value report = json::parse(aResponse.body, error);
    return !error &&
           std::all_of(aOrders.begin(), aOrders.end(), [&](const auto& aEntry) {
             return IsInForce(report, aEntry.second);
           });
  }

  static net::CallOptions MakeCallOptions()
  {
    net::CallOptions options;
    options.idleTimeout = kEngineCallTimeout;
    options.totalTimeout = kEngineCallTimeout;
    options.reuseConnection = false;
    return options;
  }

  caf::actor replica;
  caf::actor fleet;
  // Engines with a request in progress.
  std::set<EndpointId> endpointsInProgress;
  std::map<EndpointId, TimePoint> nextReadBack;
};

} // namespace

caf::actor
SpawnOrderSender(const net::Runtime& aRuntime,
                 caf::actor aPool,
                 caf::actor aReplica,
                 caf::actor aFleet)
{
  return aRuntime.system->spawn<OrderSender>(
    aRuntime, std::move(aPool), std::move(aReplica), std::move(aFleet));
}

} // namespace lycheestand::control
