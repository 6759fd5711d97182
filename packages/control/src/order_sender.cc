#include "operator_reads.h"
#include "tasks.h"

#include <boost/json.hpp>
#include <caf/send.hpp>

// Sends orders to engines while this instance leads. Orders of one engine are
// sent one at a time, in the order of their numbers, each over a new
// connection. Engines that check the number refuse what an earlier leader sends
// late. For engines that ignore it, what is in force is read back again and
// again, and all orders are sent anew when it differs, so that a late order of
// an earlier leader does not stay.

namespace lycheestand::control {

namespace json = boost::json;

namespace {

constexpr Duration kSendInterval = std::chrono::milliseconds(500);
constexpr Duration kReadBackInterval = std::chrono::seconds(3);
constexpr Duration kCallTimeout = std::chrono::seconds(5);

// Returns whether an engine's report shows that an order is in force.
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
  void Start() override { this->RunPeriodically(); }

private:
  using Orders = state::OrderRegister::Orders;

  void RunPeriodically()
  {
    this->After(kSendInterval, [this] {
      this->Run();
      this->RunPeriodically();
    });
  }

  // The orders are read after a quorum has confirmed the lead, so an instance
  // that was cut off sends nothing.
  void Run()
  {
    this->request(this->replica, caf::infinite, FindOrders{})
      .then([this](const OrdersFound& aFound) {
        if (aFound.byEndpoint.empty()) {
          return;
        }
        this->request(this->fleet, caf::infinite, FindEndpoints{})
          .then([this, found = aFound](const EndpointList& aList) {
            this->SendDue(found, aList);
          });
      });
  }

  void SendDue(const OrdersFound& aFound, const EndpointList& aList)
  {
    auto now = net::Now(this->GetRuntime());
    for (const auto& endpoint : aList.endpoints) {
      auto orders = aFound.byEndpoint.find(endpoint.endpoint);
      if (orders == aFound.byEndpoint.end() ||
          this->busy.contains(endpoint.endpoint)) {
        continue;
      }
      bool isOpen = std::any_of(
        orders->second.begin(), orders->second.end(), [](const auto& aEntry) {
          return !aEntry.second.confirmed;
        });
      TimePoint& readBackAt = this->nextReadBack[endpoint.endpoint];
      if (isOpen) {
        this->busy.insert(endpoint.endpoint);
        this->SendFrom(endpoint, orders->second, orders->second.begin()->first);
      } else if (now >= readBackAt) {
        readBackAt = now + kReadBackInterval;
        this->busy.insert(endpoint.endpoint);
        this->ReadBack(endpoint, orders->second);
      }
    }
  }

  // Sends the order with the number, then the later ones.
  void SendFrom(const membership::Endpoint& aEndpoint,
                const Orders& aOrders,
                FencingNumber aNumber)
  {
    auto next = aOrders.lower_bound(aNumber);
    if (next == aOrders.end()) {
      this->busy.erase(aEndpoint.endpoint);
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
                CallLimits(),
                [this, aEndpoint, aOrders, number = number](
                  const Result<net::HttpResponse, net::CallFailure>& aResult) {
                  this->HandleAnswer(aEndpoint, aOrders, number, aResult);
                });
  }

  // A refusal means that the engine has a newer order: this instance no longer
  // leads, or an older order of several is sent again and is in force.
  void HandleAnswer(const membership::Endpoint& aEndpoint,
                    const Orders& aOrders,
                    FencingNumber aNumber,
                    const Result<net::HttpResponse, net::CallFailure>& aResult)
  {
    bool isAnswered = aResult.has_value() && (aResult.value().status == 200 ||
                                              aResult.value().status == 409);
    if (!isAnswered) {
      net::Log(net::LogLevel::Warning,
               "an engine did not take an order",
               { { "endpoint", aEndpoint.endpoint.Get() },
                 { "fencing", std::to_string(aNumber.Get()) } });
      this->busy.erase(aEndpoint.endpoint);
      return;
    }
    if (!aOrders.at(aNumber).confirmed) {
      // Nobody waits for the answer: an order that stays open is sent again.
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
      CallLimits(),
      [this, aEndpoint, aOrders](
        const Result<net::HttpResponse, net::CallFailure>& aResult) {
        if (aResult.has_value() && !this->Matches(aResult.value(), aOrders)) {
          net::Log(net::LogLevel::Warning,
                   "an engine is not as ordered; sending its orders again",
                   { { "endpoint", aEndpoint.endpoint.Get() } });
          this->SendFrom(aEndpoint, aOrders, aOrders.begin()->first);
        } else {
          this->busy.erase(aEndpoint.endpoint);
        }
      });
  }

  bool Matches(const net::HttpResponse& aResponse, const Orders& aOrders) const
  {
    json::error_code error;
    json::value report = json::parse(aResponse.body, error);
    return !error &&
           std::all_of(aOrders.begin(), aOrders.end(), [&](const auto& aEntry) {
             return IsInForce(report, aEntry.second);
           });
  }

  static net::CallOptions CallLimits()
  {
    net::CallOptions options;
    options.idleTimeout = kCallTimeout;
    options.reuseConnection = false;
    return options;
  }

  caf::actor replica;
  caf::actor fleet;
  // Engines with a call in progress.
  std::set<EndpointId> busy;
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
