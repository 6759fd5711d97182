#include "command_line.h"

namespace lycheestand::client {

namespace json = boost::json;

namespace {

const std::vector<const char*> kBudgetColumns{
  "workspace", "paid", "spent", "granted", "free", "unreported", "requests"
};

// Returns a command that prints a JSON array from control as a table.
std::function<ExitCode(CommandLine&, const Arguments&)>
MakeListCommand(const char* aTarget, std::vector<const char*> aColumns)
{
  return [aTarget, columns = std::move(aColumns)](CommandLine& aLine,
                                                  const Arguments& aArguments) {
    aLine.AddFleetOptions();
    aLine.AddJsonOption();
    aLine.Parse(aArguments);
    FleetClient client = aLine.Connect();
    json::value rows = ValueOrThrow(client.SendToLeader("GET", aTarget));
    if (aLine.WantsJson()) {
      aLine.Out() << json::serialize(rows) << "\n";
    } else {
      PrintRows(aLine.Out(), rows, columns);
    }
    return ExitCode::Done;
  };
}

// Returns the rows in which the member aName has the value aValue.
json::array
FilterRows(const json::value& aRows,
           const char* aName,
           const std::string& aValue)
{
  json::array out;
  for (const auto& row : aRows.as_array()) {
    if (FormatCell(row, aName) == aValue) {
      out.push_back(row);
    }
  }
  return out;
}

json::value
FindBudget(FleetClient& aClient, const std::string& aWorkspace)
{
  json::value all =
    ValueOrThrow(aClient.SendToLeader("GET", "/admin/workspaces"));
  json::array found = FilterRows(all, "workspace", aWorkspace);
  if (found.empty()) {
    throw CommandError{ { ExitCode::Refused,
                          "unknown_workspace: there is no workspace \"" +
                            aWorkspace +
                            "\"; see \"lycheestand workspace list\"" } };
  }
  return found.front();
}

ExitCode
CreateWorkspace(CommandLine& aLine, const Arguments& aArguments)
{
  TCLAP::UnlabeledValueArg<std::string> workspace(
    "workspace", "name", true, "", "workspace", aLine.Line());
  aLine.AddFleetOptions();
  aLine.AddChangeOption();
  aLine.Parse(aArguments);
  FleetClient client = aLine.Connect();
  ValueOrThrow(client.SendToLeader("POST",
                                   "/admin/workspaces",
                                   { { "change_id", aLine.PrintChangeId() },
                                     { "workspace", workspace.getValue() } }));
  aLine.Out() << "created workspace " << workspace.getValue() << "\n";
  return ExitCode::Done;
}

ExitCode
ShowWorkspace(CommandLine& aLine, const Arguments& aArguments)
{
  TCLAP::UnlabeledValueArg<std::string> workspace(
    "workspace", "name", true, "", "workspace", aLine.Line());
  aLine.AddFleetOptions();
  aLine.AddJsonOption();
  aLine.Parse(aArguments);
  FleetClient client = aLine.Connect();
  json::value budget = FindBudget(client, workspace.getValue());
  json::array keys =
    FilterRows(ValueOrThrow(client.SendToLeader("GET", "/admin/keys")),
               "workspace",
               workspace.getValue());
  if (aLine.WantsJson()) {
    budget.as_object()["keys"] = keys;
    aLine.Out() << json::serialize(budget) << "\n";
  } else {
    PrintRows(aLine.Out(), json::array{ budget }, kBudgetColumns);
    aLine.Out() << "\n";
    PrintRows(aLine.Out(), keys, { "key", "site" });
  }
  return ExitCode::Done;
}

ExitCode
TopUp(CommandLine& aLine, const Arguments& aArguments)
{
  TCLAP::UnlabeledValueArg<std::string> workspace(
    "workspace", "name", true, "", "workspace", aLine.Line());
  TCLAP::UnlabeledValueArg<std::int64_t> tokens(
    "tokens", "tokens to add", true, 0, "tokens", aLine.Line());
  aLine.AddFleetOptions();
  aLine.AddChangeOption();
  aLine.Parse(aArguments);
  FleetClient client = aLine.Connect();
  auto response =
    ValueOrThrow(client.SendToLeader("POST",
                                     "/admin/topups",
                                     { { "change_id", aLine.PrintChangeId() },
                                       { "workspace", workspace.getValue() },
                                       { "tokens", tokens.getValue() } }));
  aLine.Out() << "paid in all: " << FormatCell(response, "paid") << " tokens\n";
  return ExitCode::Done;
}

ExitCode
ShowBudget(CommandLine& aLine, const Arguments& aArguments)
{
  // This is an option because TCLAP rejects any positional argument that is
  // added after an optional one, even if it belongs to another command line.
  TCLAP::ValueArg<std::string> workspace("w",
                                         "workspace",
                                         "only this workspace",
                                         false,
                                         "",
                                         "workspace",
                                         aLine.Line());
  aLine.AddFleetOptions();
  aLine.AddJsonOption();
  aLine.Parse(aArguments);
  FleetClient client = aLine.Connect();
  json::value rows =
    workspace.isSet()
      ? json::value(json::array{ FindBudget(client, workspace.getValue()) })
      : ValueOrThrow(client.SendToLeader("GET", "/admin/workspaces"));
  if (aLine.WantsJson()) {
    aLine.Out() << json::serialize(rows) << "\n";
  } else {
    PrintRows(aLine.Out(), rows, kBudgetColumns);
  }
  return ExitCode::Done;
}

ExitCode
DrainInstance(CommandLine& aLine, const Arguments& aArguments)
{
  TCLAP::UnlabeledValueArg<std::string> instance(
    "name", "instance", true, "", "instance", aLine.Line());
  aLine.AddFleetOptions();
  aLine.Parse(aArguments);
  FleetClient client = aLine.Connect();
  ValueOrThrow(client.SendToLeader(
    "POST", "/admin/instances/drain", { { "instance", instance.getValue() } }));
  aLine.Out() << instance.getValue() << " is leaving\n";
  return ExitCode::Done;
}

ExitCode
RemoveInstance(CommandLine& aLine, const Arguments& aArguments)
{
  TCLAP::UnlabeledValueArg<std::string> instance(
    "name", "instance", true, "", "instance", aLine.Line());
  aLine.AddFleetOptions();
  aLine.AddChangeOption();
  aLine.Parse(aArguments);
  FleetClient client = aLine.Connect();
  ValueOrThrow(client.SendToLeader("POST",
                                   "/admin/instances/remove",
                                   { { "change_id", aLine.PrintChangeId() },
                                     { "instance", instance.getValue() } }));
  aLine.Out() << "closed the session of " << instance.getValue() << "\n";
  return ExitCode::Done;
}

// Returns a command that orders or revokes the evacuation of a zone.
std::function<ExitCode(CommandLine&, const Arguments&)>
MakeZoneCommand(const char* aTarget, const char* aResult)
{
  return [aTarget, aResult](CommandLine& aLine, const Arguments& aArguments) {
    TCLAP::UnlabeledValueArg<std::string> zone(
      "zone", "availability zone", true, "", "zone", aLine.Line());
    aLine.AddFleetOptions();
    aLine.AddChangeOption();
    aLine.Parse(aArguments);
    FleetClient client = aLine.Connect();
    ValueOrThrow(client.SendToLeader(
      "POST",
      aTarget,
      { { "change_id", aLine.PrintChangeId() }, { "zone", zone.getValue() } }));
    aLine.Out() << "zone " << zone.getValue() << " is " << aResult << "\n";
    return ExitCode::Done;
  };
}

ExitCode
LiftQuarantine(CommandLine& aLine, const Arguments& aArguments)
{
  TCLAP::UnlabeledValueArg<std::string> digest(
    "digest", "digest of the request", true, "", "digest", aLine.Line());
  aLine.AddFleetOptions();
  aLine.Parse(aArguments);
  FleetClient client = aLine.Connect();
  ValueOrThrow(client.SendToLeader(
    "POST", "/admin/quarantine/lift", { { "digest", digest.getValue() } }));
  aLine.Out() << "request " << digest.getValue() << " is no longer refused\n";
  return ExitCode::Done;
}

ExitCode
Dump(CommandLine& aLine, const Arguments& aArguments)
{
  TCLAP::UnlabeledValueArg<std::string> instance(
    "name", "instance", true, "", "instance", aLine.Line());
  aLine.AddFleetOptions();
  aLine.AddJsonOption();
  aLine.Parse(aArguments);
  FleetClient client = aLine.Connect();
  std::string state =
    json::serialize(ValueOrThrow(client.Dump(InstanceId(instance.getValue()))));
  auto pretty = settings::FormatPretty(state);
  aLine.Out() << (aLine.WantsJson() || pretty.has_error() ? state + "\n"
                                                          : pretty.value());
  return ExitCode::Done;
}

ExitCode
ShowStatus(CommandLine& aLine, const Arguments& aArguments)
{
  aLine.AddFleetOptions();
  aLine.AddJsonOption();
  aLine.Parse(aArguments);
  FleetClient client = aLine.Connect();
  json::array control;
  json::value fleet;
  bool isRefused = false;
  for (const auto& state : client.QueryControlInstances()) {
    control.push_back({ { "instance", state.instance.Get() },
                        { "admin", ToString(state.admin) },
                        { "state", state.state } });
    isRefused |= state.state == "refused";
    if (!state.status.is_null()) {
      fleet = state.status;
    }
  }
  if (aLine.WantsJson()) {
    aLine.Out() << json::serialize(
                     json::object{ { "control", control }, { "fleet", fleet } })
                << "\n";
  } else {
    PrintRows(aLine.Out(), control, { "instance", "admin", "state" });
    if (fleet.is_object()) {
      aLine.Out() << "\n";
      for (const auto& member : fleet.get_object()) {
        std::string name(member.key());
        aLine.Out() << name << ": " << FormatCell(fleet, name.c_str()) << "\n";
      }
    }
  }
  if (fleet.is_null()) {
    return isRefused ? ExitCode::Unauthorized : ExitCode::Unavailable;
  }
  return ExitCode::Done;
}

} // namespace

std::vector<Command>
FleetCommands()
{
  return {
    { "workspace create", "Create a workspace", CreateWorkspace },
    { "workspace list",
      "List the workspaces",
      MakeListCommand("/admin/workspaces", { "workspace", "paid", "free" }) },
    { "workspace show", "Show a workspace's budget and keys", ShowWorkspace },
    { "budget topup", "Add prepaid tokens to a budget", TopUp },
    { "budget show", "Show budgets in tokens", ShowBudget },
    { "instance list",
      "List the routers that control knows",
      MakeListCommand(
        "/admin/instances",
        { "instance", "zone", "address", "in_flight", "alive", "leaving" }) },
    { "instance drain", "Stop a router gracefully", DrainInstance },
    { "instance remove",
      "Close the session of a router that won't return",
      RemoveInstance },
    { "endpoint list",
      "List the endpoints that control knows",
      MakeListCommand(
        "/admin/endpoints",
        { "endpoint", "kind", "serves", "zone", "address", "leaving" }) },
    { "zone evacuate",
      "Send no more requests to the endpoints of an availability zone",
      MakeZoneCommand("/admin/zones/evacuate", "evacuated") },
    { "zone restore",
      "Revoke the evacuation of an availability zone",
      MakeZoneCommand("/admin/zones/restore", "restored") },
    { "zone list",
      "List the evacuated availability zones",
      MakeListCommand("/admin/zones/evacuated",
                      { "zone", "revision", "change_id" }) },
    { "quarantine list",
      "List the requests that crash endpoints, or may do so",
      MakeListCommand("/admin/quarantine",
                      { "digest", "state", "crashes", "remaining_s" }) },
    { "quarantine lift",
      "Serve a request again that was refused",
      LiftQuarantine },
    { "dump", "Print the state of an instance", Dump },
    { "status", "Show the control instances and the fleet", ShowStatus },
  };
}

} // namespace lycheestand::client
