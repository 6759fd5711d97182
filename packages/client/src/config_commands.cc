#include "command_line.h"

namespace lycheestand::client {

namespace json = boost::json;

namespace {

// The arguments of commands that read a base file and site overlays.
class DocumentOptions
{
public:
  explicit DocumentOptions(CommandLine& aLine)
    : base("base", "base file", true, "", "base.json", aLine.Line())
    , sites("",
            "site",
            "overlay file of a site; may be repeated",
            false,
            "name=overlay.json",
            aLine.Line())
  {
  }

  // Returns the merged document; throws CommandError if a file is invalid.
  std::string Read() const
  {
    auto base = ValueOrThrow(settings::ReadSource(this->base.getValue()));
    std::vector<settings::SiteOverlay> overlays;
    for (const auto& text : this->sites.getValue()) {
      auto [name, path] = SplitAssignment("--site", text);
      overlays.push_back(
        { SiteId(name), ValueOrThrow(settings::ReadSource(path)) });
    }
    return ValueOrThrow(settings::MergeOverlays(base, overlays));
  }

private:
  TCLAP::UnlabeledValueArg<std::string> base;
  TCLAP::MultiArg<std::string> sites;
};

ExitCode
Check(CommandLine& aLine, const Arguments& aArguments)
{
  DocumentOptions options(aLine);
  aLine.AddJsonOption();
  aLine.Parse(aArguments);
  auto fleet = ValueOrThrow(settings::ParseFleetSettings(options.Read()));
  if (aLine.WantsJson()) {
    aLine.Out() << json::serialize(
                     json::object{ { "ok", true },
                                   { "models", fleet.models.size() },
                                   { "services", fleet.services.size() },
                                   { "workspaces", fleet.workspaces.size() },
                                   { "sites", fleet.sites.size() } })
                << "\n";
  } else {
    aLine.Out() << "ok: " << fleet.models.size() << " models, "
                << fleet.services.size() << " services, "
                << fleet.workspaces.size() << " workspaces, "
                << fleet.sites.size() << " sites\n";
  }
  return ExitCode::Done;
}

ExitCode
Apply(CommandLine& aLine, const Arguments& aArguments)
{
  DocumentOptions options(aLine);
  TCLAP::ValueArg<std::int64_t> version(
    "",
    "base-version",
    "version in force that the change replaces; 0 if there is none",
    true,
    0,
    "version",
    aLine.Line());
  aLine.AddFleetOptions();
  aLine.AddChangeOption();
  aLine.Parse(aArguments);
  std::string document = options.Read();
  FleetClient client = aLine.Connect();
  json::object body{ { "change_id", aLine.PrintChangeId() },
                     { "base_version", version.getValue() },
                     { "document", document } };
  auto response =
    ValueOrThrow(client.SendToLeader("POST", "/admin/config", body));
  aLine.Out() << "accepted as version " << FormatCell(response, "version")
              << "\n";
  return ExitCode::Done;
}

// Returns the record of a version, or of the version in force if aVersion is
// negative.
json::value
FindRecord(FleetClient& aClient, std::int64_t aVersion)
{
  if (aVersion < 0) {
    return ValueOrThrow(aClient.SendToLeader("GET", "/admin/config"));
  }
  json::value history =
    ValueOrThrow(aClient.SendToLeader("GET", "/admin/config/history"));
  for (auto& record : history.as_array()) {
    if (FormatCell(record, "version") == std::to_string(aVersion)) {
      return record;
    }
  }
  throw CommandError{ { ExitCode::Refused,
                        "version " + std::to_string(aVersion) +
                          " is not in the history; see \"lycheestand config "
                          "history\"" } };
}

ExitCode
Show(CommandLine& aLine, const Arguments& aArguments)
{
  TCLAP::ValueArg<std::int64_t> version(
    "",
    "at",
    "a version in the history; the version in force if not given",
    false,
    -1,
    "version",
    aLine.Line());
  aLine.AddFleetOptions();
  aLine.AddJsonOption();
  aLine.Parse(aArguments);
  FleetClient client = aLine.Connect();
  json::value record = FindRecord(client, version.getValue());
  std::string document = FormatCell(record, "document");
  if (aLine.WantsJson()) {
    record.as_object()["document"] = json::parse(document);
    aLine.Out() << json::serialize(record) << "\n";
  } else {
    aLine.Out() << "version " << FormatCell(record, "version") << ", change id "
                << FormatCell(record, "change_id") << "\n"
                << ValueOrThrow(settings::FormatPretty(document));
  }
  return ExitCode::Done;
}

ExitCode
Diff(CommandLine& aLine, const Arguments& aArguments)
{
  DocumentOptions options(aLine);
  aLine.AddFleetOptions();
  aLine.AddJsonOption();
  aLine.Parse(aArguments);
  std::string document = options.Read();
  FleetClient client = aLine.Connect();
  json::value record = FindRecord(client, -1);
  auto differences = ValueOrThrow(
    settings::DiffDocuments(FormatCell(record, "document"), document));
  if (aLine.WantsJson()) {
    json::array out;
    for (const auto& item : differences) {
      out.push_back({ { "pointer", item.pointer },
                      { "before", item.before },
                      { "after", item.after } });
    }
    aLine.Out() << json::serialize(
                     json::object{ { "base_version", record.at("version") },
                                   { "differences", out } })
                << "\n";
  } else {
    aLine.Out() << "compared with version " << FormatCell(record, "version")
                << ": " << differences.size() << " differences\n";
    for (const auto& item : differences) {
      if (!item.before.empty()) {
        aLine.Out() << "- " << item.pointer << ": " << item.before << "\n";
      }
      if (!item.after.empty()) {
        aLine.Out() << "+ " << item.pointer << ": " << item.after << "\n";
      }
    }
  }
  return differences.empty() ? ExitCode::Done : ExitCode::Differs;
}

ExitCode
History(CommandLine& aLine, const Arguments& aArguments)
{
  aLine.AddFleetOptions();
  aLine.AddJsonOption();
  aLine.Parse(aArguments);
  FleetClient client = aLine.Connect();
  json::value records =
    ValueOrThrow(client.SendToLeader("GET", "/admin/config/history"));
  if (!aLine.WantsJson()) {
    PrintRows(aLine.Out(), records, { "version", "change_id" });
    return ExitCode::Done;
  }
  for (auto& record : records.as_array()) {
    record.as_object()["document"] =
      json::parse(FormatCell(record, "document"));
  }
  aLine.Out() << json::serialize(records) << "\n";
  return ExitCode::Done;
}

} // namespace

std::vector<Command>
ConfigCommands()
{
  return {
    { "config check", "Check a base file and site overlays", Check },
    { "config apply",
      "Apply a base file and site overlays to the fleet",
      Apply },
    { "config show", "Show the configuration in force", Show },
    { "config diff", "Compare files with the version in force", Diff },
    { "config history", "List the versions in the history", History },
  };
}

} // namespace lycheestand::client
