#include "state_format.h"

#include <boost/json.hpp>

namespace lycheestand::control {

namespace json = boost::json;

namespace {

json::object
FormatRecord(const state::ConfigurationRecord& aRecord)
{
  return { { "version", aRecord.version.Get() },
           { "change_id", aRecord.change.Get() },
           { "document", aRecord.document } };
}

// Returns the tokens that closed sessions held and did not report as spent or
// returned.
Tokens
SumUnreported(const state::StateMachine& aMachine, const state::Budget& aBudget)
{
  Tokens sum;
  for (const auto& [id, tokens] : aBudget.outstanding) {
    const auto* session = aMachine.Sessions().Find(id);
    if (session == nullptr || session->closed) {
      sum += tokens;
    }
  }
  return sum;
}

} // namespace

std::string
FormatConfiguration(const state::StateMachine& aMachine)
{
  const auto& records = aMachine.Configuration().Records();
  if (records.empty()) {
    return R"({"version":0,"change_id":"","document":"{}"})";
  }
  return json::serialize(FormatRecord(records.back()));
}

std::string
FormatConfigurationHistory(const state::StateMachine& aMachine)
{
  json::array out;
  for (const auto& record : aMachine.Configuration().Records()) {
    out.push_back(FormatRecord(record));
  }
  return json::serialize(out);
}

std::string
FormatWorkspaces(const state::StateMachine& aMachine)
{
  json::array out;
  for (const auto& [id, budget] : aMachine.Budgets().Budgets()) {
    Tokens unreported = SumUnreported(aMachine, budget);
    out.push_back({ { "workspace", id.Get() },
                    { "paid", budget.paid.Get() },
                    { "spent", budget.spent.Get() },
                    { "granted", (budget.Outstanding() - unreported).Get() },
                    { "unreported", unreported.Get() },
                    { "free", budget.Free().Get() },
                    { "requests", budget.requests } });
  }
  return json::serialize(out);
}

std::string
FormatKeys(const state::StateMachine& aMachine)
{
  json::array out;
  for (const auto& [id, record] : aMachine.Workspaces().Keys()) {
    out.push_back({ { "key", id.Get() },
                    { "workspace", record.workspace.Get() },
                    { "site", record.site.Get() } });
  }
  return json::serialize(out);
}

const char*
ToString(OrderKind aKind)
{
  switch (aKind) {
    case OrderKind::LoadModel:
      return "load_model";
    case OrderKind::LoadAdapter:
      return "load_adapter";
    case OrderKind::SetVersion:
      return "set_version";
    case OrderKind::SetRole:
      break;
  }
  return "set_role";
}

std::optional<OrderKind>
ParseOrderKind(const std::string& aName)
{
  for (OrderKind kind : { OrderKind::LoadModel,
                          OrderKind::LoadAdapter,
                          OrderKind::SetVersion,
                          OrderKind::SetRole }) {
    if (aName == ToString(kind)) {
      return kind;
    }
  }
  return std::nullopt;
}

std::string
FormatOrders(const state::StateMachine& aMachine)
{
  json::array out;
  for (const auto& [endpoint, orders] : aMachine.Orders().ByEndpoint()) {
    for (const auto& [number, order] : orders) {
      out.push_back({ { "endpoint", endpoint.Get() },
                      { "fencing", number.Get() },
                      { "kind", ToString(order.kind) },
                      { "argument", order.argument },
                      { "confirmed", order.confirmed } });
    }
  }
  return json::serialize(out);
}

std::string
FormatEvacuations(const state::StateMachine& aMachine)
{
  json::array out;
  for (const auto& [zone, evacuation] : aMachine.Evacuations().Evacuations()) {
    out.push_back({ { "zone", zone.Get() },
                    { "revision", evacuation.revision.Get() },
                    { "change_id", evacuation.change.Get() } });
  }
  return json::serialize(out);
}

std::string
FormatStatus(const state::StateMachine& aMachine)
{
  std::size_t open = 0;
  for (const auto& [id, session] : aMachine.Sessions().Sessions()) {
    open += session.closed ? 0 : 1;
  }
  json::array evacuated;
  for (const auto& zone : aMachine.Evacuations().Zones()) {
    evacuated.push_back(json::value(zone.Get()));
  }
  return json::serialize(json::object{
    { "configuration_version", aMachine.Configuration().Current().Get() },
    { "revision", aMachine.CurrentRevision().Get() },
    { "workspaces", aMachine.Workspaces().Workspaces().size() },
    { "keys", aMachine.Workspaces().Keys().size() },
    { "open_sessions", open },
    { "operations", aMachine.Operations().Operations().size() },
    { "evacuated_zones", std::move(evacuated) } });
}

} // namespace lycheestand::control
