#include "state_format.h"
#include "tasks.h"
#include "zone_orders.h"

#include <boost/json.hpp>

// The operators' interface: JSON over HTTP. Every change to the replicated
// state has a change id chosen by the client, so that the client can resend the
// request if the response was lost. The outcome is stored with the change id,
// so a rejected change must be corrected and sent with a new id.

namespace lycheestand::control {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxIdBytes = 128;

struct OperatorTasks
{
  caf::actor replica;
  caf::actor fleet;
  caf::actor quarantine;
};

void
SendResponse(const net::ExchangePtr& aExchange,
             unsigned aStatus,
             std::string aBody)
{
  aExchange->Respond(
    { aStatus, { { "Content-Type", "application/json" } }, std::move(aBody) });
}

void
SendError(const net::ExchangePtr& aExchange,
          unsigned aStatus,
          const char* aCode,
          const std::string& aMessage,
          ExecutionState aRan = ExecutionState::NotRun,
          const InstanceId& aLeader = {})
{
  json::object error{ { "code", aCode },
                      { "message", aMessage },
                      { "ran", ToString(aRan) } };
  if (!aLeader.Get().empty()) {
    error["leader"] = aLeader.Get();
  }
  SendResponse(
    aExchange, aStatus, json::serialize(json::object{ { "error", error } }));
}

// Reads fields of the JSON object in a request body and keeps the first error.
class BodyReader
{
public:
  explicit BodyReader(const std::string& aText)
  {
    json::error_code error;
    json::value parsed = json::parse(aText, error);
    if (error || !parsed.is_object()) {
      this->problem = "the body must be a JSON object";
      return;
    }
    this->object = parsed.get_object();
  }

  std::string Id(const char* aName)
  {
    std::string text = this->Text(aName);
    if (this->problem.empty() && (text.empty() || text.size() > kMaxIdBytes)) {
      this->problem = "/" + std::string(aName) +
                      " must be a string of 1 to 128 bytes, not of " +
                      std::to_string(text.size());
    }
    return text;
  }

  std::string Text(const char* aName)
  {
    const auto* value = this->object.if_contains(aName);
    if (value == nullptr || !value->is_string()) {
      this->Fail(aName, "must be a string");
      return "";
    }
    return std::string(value->get_string());
  }

  std::int64_t Integer(const char* aName)
  {
    const auto* value = this->object.if_contains(aName);
    if (value == nullptr || !value->is_int64()) {
      this->Fail(aName, "must be an integer");
      return 0;
    }
    return value->get_int64();
  }

  const std::string& Problem() const { return this->problem; }

private:
  void Fail(const char* aName, const char* aMessage)
  {
    if (this->problem.empty()) {
      this->problem = "/" + std::string(aName) + " " + aMessage;
    }
  }

  json::object object;
  std::string problem;
};

void
SendNotLeader(const net::ExchangePtr& aExchange, const InstanceId& aLeader)
{
  SendError(aExchange,
            503,
            "not_leader",
            "this instance is not the leader, or no quorum confirmed it in "
            "time; send the request to the leader",
            ExecutionState::NotRun,
            aLeader);
}

unsigned
HttpStatusOf(state::Rejection aReason)
{
  switch (aReason) {
    case state::Rejection::UnknownWorkspace:
    case state::Rejection::UnknownKey:
    case state::Rejection::UnknownSession:
    case state::Rejection::UnknownZone:
      return 404;
    case state::Rejection::InvalidAmount:
      return 400;
    default:
      return 409;
  }
}

std::string
FormatOutcome(const state::Outcome& aOutcome)
{
  json::object out{ { "ok", true } };
  if (const auto* applied =
        std::get_if<state::ConfigurationApplied>(&aOutcome)) {
    out["version"] = applied->version.Get();
  } else if (const auto* paid = std::get_if<state::BudgetToppedUp>(&aOutcome)) {
    out["paid"] = paid->paid.Get();
  } else if (const auto* order = std::get_if<state::OrderAccepted>(&aOutcome)) {
    out["fencing"] = order->number.Get();
  }
  return json::serialize(out);
}

// Responds with the result of a change. aProblem says why it was rejected, if
// more is known than the reason's code.
void
SendResult(const net::ExchangePtr& aExchange,
           const ProposalResult& aResult,
           const std::string& aProblem = "")
{
  if (!aResult.outcome) {
    SendError(aExchange,
              503,
              "not_leader",
              "this instance is not the leader, or did not learn in time "
              "whether the change was committed; resend the change with the "
              "same change id to the leader",
              aResult.isUnknown ? ExecutionState::Unknown
                                : ExecutionState::NotRun,
              aResult.leader);
  } else if (const auto* rejected =
               std::get_if<state::Rejected>(&*aResult.outcome)) {
    SendError(aExchange,
              HttpStatusOf(rejected->reason),
              ToString(rejected->reason),
              (aProblem.empty() ? "" : aProblem + "; ") +
                "the change was rejected and has no effect; send the corrected "
                "change with a new change id");
  } else {
    SendResponse(aExchange, 200, FormatOutcome(*aResult.outcome));
  }
}

void
ProposeChange(const OperatorTasks& aTasks,
              const net::ExchangePtr& aExchange,
              state::Command aCommand)
{
  aExchange->Task()
    .request(aTasks.replica, kQuorumTimeout, Propose{ std::move(aCommand) })
    .then([aExchange](
            const ProposalResult& aResult) { SendResult(aExchange, aResult); },
          [aExchange](const caf::error&) {
            SendResult(aExchange, { std::nullopt, {}, true });
          });
}

// Proposes the command, or sends the body's error if there is one.
void
ProposeIfValid(const OperatorTasks& aTasks,
               const net::ExchangePtr& aExchange,
               const BodyReader& aReader,
               state::Command aCommand)
{
  if (!aReader.Problem().empty()) {
    SendError(aExchange, 400, "invalid_request", aReader.Problem());
    return;
  }
  ProposeChange(aTasks, aExchange, std::move(aCommand));
}

void
ApplyConfig(const OperatorTasks& aTasks, const net::ExchangePtr& aExchange)
{
  BodyReader reader(aExchange->Request().body);
  state::ApplyConfiguration command;
  command.change = ChangeId(reader.Id("change_id"));
  command.base =
    ConfigVersion(static_cast<std::uint64_t>(reader.Integer("base_version")));
  command.document = reader.Text("document");
  if (reader.Problem().empty()) {
    auto parsed = settings::ParseFleetSettings(command.document);
    if (parsed.has_error()) {
      SendError(aExchange,
                400,
                "invalid_configuration",
                settings::ToString(parsed.error()));
      return;
    }
    for (const auto& [id, workspace] : parsed.value().workspaces) {
      command.workspaces.emplace_back(id, workspace.firstTokens);
    }
  }
  ProposeIfValid(aTasks, aExchange, reader, std::move(command));
}

void
CreateWorkspace(const OperatorTasks& aTasks, const net::ExchangePtr& aExchange)
{
  BodyReader reader(aExchange->Request().body);
  state::CreateWorkspace command;
  command.change = ChangeId(reader.Id("change_id"));
  command.workspace = WorkspaceId(reader.Id("workspace"));
  ProposeIfValid(aTasks, aExchange, reader, std::move(command));
}

void
TopUp(const OperatorTasks& aTasks, const net::ExchangePtr& aExchange)
{
  BodyReader reader(aExchange->Request().body);
  state::TopUpBudget command;
  command.change = ChangeId(reader.Id("change_id"));
  command.workspace = WorkspaceId(reader.Id("workspace"));
  command.tokens = Tokens(reader.Integer("tokens"));
  ProposeIfValid(aTasks, aExchange, reader, std::move(command));
}

void
CreateKey(const OperatorTasks& aTasks, const net::ExchangePtr& aExchange)
{
  BodyReader reader(aExchange->Request().body);
  state::CreateKey command;
  command.change = ChangeId(reader.Id("change_id"));
  command.key = KeyId(reader.Id("key"));
  command.hash = KeyHash(reader.Id("hash"));
  command.workspace = WorkspaceId(reader.Id("workspace"));
  command.site = SiteId(reader.Text("site"));
  ProposeIfValid(aTasks, aExchange, reader, std::move(command));
}

void
RevokeKey(const OperatorTasks& aTasks, const net::ExchangePtr& aExchange)
{
  BodyReader reader(aExchange->Request().body);
  state::RevokeKey command;
  command.change = ChangeId(reader.Id("change_id"));
  command.key = KeyId(reader.Id("key"));
  ProposeIfValid(aTasks, aExchange, reader, std::move(command));
}

void
RemoveInstance(const OperatorTasks& aTasks, const net::ExchangePtr& aExchange)
{
  BodyReader reader(aExchange->Request().body);
  state::CloseSession command;
  command.change = ChangeId(reader.Id("change_id"));
  command.instance = InstanceId(reader.Id("instance"));
  ProposeIfValid(aTasks, aExchange, reader, std::move(command));
}

void
OrderEngine(const OperatorTasks& aTasks, const net::ExchangePtr& aExchange)
{
  BodyReader reader(aExchange->Request().body);
  state::OrderEngine command;
  command.change = ChangeId(reader.Id("change_id"));
  command.endpoint = EndpointId(reader.Id("endpoint"));
  command.argument = reader.Id("argument");
  auto kind = ParseOrderKind(reader.Text("kind"));
  if (!kind) {
    SendError(aExchange,
              400,
              "invalid_request",
              "/kind must be load_model, load_adapter, set_version or "
              "set_role");
    return;
  }
  command.kind = *kind;
  ProposeIfValid(aTasks, aExchange, reader, std::move(command));
}

void
SetZoneEvacuation(const OperatorTasks& aTasks,
                  const net::ExchangePtr& aExchange,
                  bool aIsEvacuated)
{
  BodyReader reader(aExchange->Request().body);
  state::SetZoneEvacuation command;
  command.change = ChangeId(reader.Id("change_id"));
  command.zone = ZoneId(reader.Id("zone"));
  command.isEvacuated = aIsEvacuated;
  if (!reader.Problem().empty()) {
    SendError(aExchange, 400, "invalid_request", reader.Problem());
    return;
  }
  ProposeZoneOrder(aExchange->Task(),
                   aTasks.replica,
                   aTasks.fleet,
                   std::move(command),
                   [aExchange](const ZoneOrderResult& aResult) {
                     SendResult(aExchange, aResult.proposal, aResult.problem);
                   });
}

void
EvacuateZone(const OperatorTasks& aTasks, const net::ExchangePtr& aExchange)
{
  SetZoneEvacuation(aTasks, aExchange, true);
}

void
RestoreZone(const OperatorTasks& aTasks, const net::ExchangePtr& aExchange)
{
  SetZoneEvacuation(aTasks, aExchange, false);
}

void
Drain(const OperatorTasks& aTasks, const net::ExchangePtr& aExchange)
{
  BodyReader reader(aExchange->Request().body);
  InstanceId instance(reader.Id("instance"));
  if (!reader.Problem().empty()) {
    SendError(aExchange, 400, "invalid_request", reader.Problem());
    return;
  }
  aExchange->Task()
    .request(aTasks.fleet, caf::infinite, DrainInstance{ instance })
    .then([aExchange, instance](bool aFound) {
      if (aFound) {
        SendResponse(aExchange, 200, R"({"ok":true})");
      } else {
        SendError(aExchange,
                  404,
                  "unknown_instance",
                  "no router with instance id \"" + instance.Get() +
                    "\" is connected to this control instance");
      }
    });
}

void
QueryState(const OperatorTasks& aTasks,
           const net::ExchangePtr& aExchange,
           std::function<std::string(const state::StateMachine&)> aRead)
{
  aExchange->Task()
    .request(aTasks.replica, kQuorumTimeout, Query{ std::move(aRead) })
    .then(
      [aExchange](const QueryResult& aResult) {
        if (aResult.text) {
          SendResponse(aExchange, 200, *aResult.text);
        } else {
          SendNotLeader(aExchange, aResult.leader);
        }
      },
      [aExchange](const caf::error&) { SendNotLeader(aExchange, {}); });
}

// Calls aRun if a quorum confirms that this instance is the leader; otherwise
// sends an error.
void
RunAtLeader(const OperatorTasks& aTasks,
            const net::ExchangePtr& aExchange,
            std::function<void()> aRun)
{
  aExchange->Task()
    .request(aTasks.replica, kQuorumTimeout, ConfirmLeadership{})
    .then(
      [aExchange,
       run = std::move(aRun)](const LeadershipConfirmation& aConfirmation) {
        if (aConfirmation.isLeader) {
          run();
        } else {
          SendNotLeader(aExchange, aConfirmation.leader);
        }
      },
      [aExchange](const caf::error&) { SendNotLeader(aExchange, {}); });
}

// Requests JSON text from a task that has it only while this instance is the
// leader.
template<class Message>
void
QueryLeader(const OperatorTasks& aTasks,
            const net::ExchangePtr& aExchange,
            const caf::actor& aTask,
            Message aMessage)
{
  RunAtLeader(aTasks, aExchange, [aExchange, aTask, aMessage] {
    aExchange->Task()
      .request(aTask, caf::infinite, aMessage)
      .then([aExchange](std::string& aBody) {
        SendResponse(aExchange, 200, std::move(aBody));
      });
  });
}

// It needs no change id: a lifted entry can only be lifted again if the request
// has crashed further endpoints.
void
LiftEntry(const OperatorTasks& aTasks, const net::ExchangePtr& aExchange)
{
  BodyReader reader(aExchange->Request().body);
  std::string text = reader.Text("digest");
  auto digest = ParseRequestDigest(text);
  if (!reader.Problem().empty() || !digest) {
    SendError(aExchange,
              400,
              "invalid_request",
              reader.Problem().empty()
                ? "/digest must be 16 hexadecimal digits in lower case"
                : reader.Problem());
    return;
  }
  RunAtLeader(aTasks, aExchange, [aTasks, aExchange, digest = *digest] {
    aExchange->Task()
      .request(aTasks.quarantine, caf::infinite, LiftQuarantine{ digest })
      .then([aExchange, digest](bool aIsLifted) {
        if (aIsLifted) {
          SendResponse(aExchange, 200, R"({"ok":true})");
        } else {
          SendError(aExchange,
                    404,
                    "unknown_digest",
                    "request " + ToString(digest) +
                      " is neither held nor quarantined nor on probation");
        }
      });
  });
}

struct HttpRoute
{
  const char* method;
  const char* path;
  std::function<void(const OperatorTasks&, const net::ExchangePtr&)> handler;
};

std::vector<HttpRoute>
MakeHttpRoutes()
{
  auto read = [](auto aFormat) {
    return [aFormat](const OperatorTasks& aTasks,
                     const net::ExchangePtr& aExchange) {
      QueryState(aTasks, aExchange, aFormat);
    };
  };
  return {
    { "POST", "/admin/config", ApplyConfig },
    { "GET", "/admin/config", read(FormatConfiguration) },
    { "GET", "/admin/config/history", read(FormatConfigurationHistory) },
    { "POST", "/admin/workspaces", CreateWorkspace },
    { "GET", "/admin/workspaces", read(FormatWorkspaces) },
    { "POST", "/admin/topups", TopUp },
    { "POST", "/admin/keys", CreateKey },
    { "GET", "/admin/keys", read(FormatKeys) },
    { "POST", "/admin/keys/revoke", RevokeKey },
    { "POST", "/admin/instances/remove", RemoveInstance },
    { "POST", "/admin/instances/drain", Drain },
    { "POST", "/admin/orders", OrderEngine },
    { "GET", "/admin/orders", read(FormatOrders) },
    { "POST", "/admin/zones/evacuate", EvacuateZone },
    { "POST", "/admin/zones/restore", RestoreZone },
    { "GET", "/admin/zones/evacuated", read(FormatEvacuations) },
    { "GET", "/admin/status", read(FormatStatus) },
    { "GET",
      "/admin/instances",
      [](const OperatorTasks& aTasks, const net::ExchangePtr& aExchange) {
        QueryLeader(aTasks, aExchange, aTasks.fleet, ListInstances{});
      } },
    { "GET",
      "/admin/endpoints",
      [](const OperatorTasks& aTasks, const net::ExchangePtr& aExchange) {
        QueryLeader(aTasks, aExchange, aTasks.fleet, ListEndpoints{});
      } },
    { "GET",
      "/admin/quarantine",
      [](const OperatorTasks& aTasks, const net::ExchangePtr& aExchange) {
        QueryLeader(aTasks, aExchange, aTasks.quarantine, ListQuarantine{});
      } },
    { "POST", "/admin/quarantine/lift", LiftEntry },
  };
}

} // namespace

net::HttpHandler
MakeOperatorHandler(caf::actor aReplica,
                    caf::actor aFleet,
                    caf::actor aQuarantine)
{
  OperatorTasks tasks{ std::move(aReplica),
                       std::move(aFleet),
                       std::move(aQuarantine) };
  return [tasks, routes = MakeHttpRoutes()](const net::ExchangePtr& aExchange) {
    const auto& request = aExchange->Request();
    for (const auto& route : routes) {
      if (request.method == route.method && request.target == route.path) {
        route.handler(tasks, aExchange);
        return;
      }
    }
    SendError(aExchange,
              404,
              "not_found",
              "no handler for " + request.method + " " + request.target);
  };
}

} // namespace lycheestand::control
