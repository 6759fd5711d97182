#include "command_line.h"

namespace lycheestand::client {

namespace json = boost::json;

namespace {

// The arguments of commands that read a base file and overlays.
class DocumentOptions
{
public:
  explicit DocumentOptions(CommandLine& aLine)
    : base("base", "base file", true, "", "base.json", aLine.Line())
    , sites("",
            "site",
            "overlay of one site; may be repeated",
            false,
            "name=overlay.json",
            aLine.Line())
  {
  }

  // Returns the checked document.
  std::string Read() const
  {
    auto base = Require(settings::ReadSource(this->base.getValue()));
    std::vector<settings::SiteOverlay> overlays;
    for (const auto& text : this->sites.getValue()) {
      auto [name, path] = SplitAssignment("--site", text);
      overlays.push_back({ SiteId(name), Require(settings::ReadSource(path)) });
    }
    return Require(settings::MergeOverlays(base, overlays));
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
  auto fleet = Require(settings::ParseFleetSettings(options.Read()));
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
    "version that the change is based on; 0 for the first",
    true,
    0,
    "version",
    aLine.Line());
  aLine.AddFleetOptions();
  aLine.AddChangeOption();
  aLine.Parse(aArguments);
  std::string document = options.Read();
  FleetClient client = aLine.Connect();
  json::object body{ { "change_id", aLine.StartChange() },
                     { "base_version", version.getValue() },
                     { "document", document } };
  auto answer = Require(client.Ask("POST", "/admin/config", body));
  aLine.Out() << "accepted as version " << Cell(answer, "version") << "\n";
  return ExitCode::Done;
}

// Returns the record of a version, or of the one in force.
json::value
FindRecord(FleetClient& aClient, std::int64_t aVersion)
{
  if (aVersion < 0) {
    return Require(aClient.Ask("GET", "/admin/config"));
  }
  json::value history = Require(aClient.Ask("GET", "/admin/config/history"));
  for (auto& record : history.as_array()) {
    if (Cell(record, "version") == std::to_string(aVersion)) {
      return record;
    }
  }
  throw CommandError{ { ExitCode::Refused,
                        "version " + std::to_string(aVersion) +
                          " is not in the history" } };
}

ExitCode
Show(CommandLine& aLine, const Arguments& aArguments)
{
  TCLAP::ValueArg<std::int64_t> version(
    "", "at", "a version of the history", false, -1, "version", aLine.Line());
  aLine.AddFleetOptions();
  aLine.AddJsonOption();
  aLine.Parse(aArguments);
  FleetClient client = aLine.Connect();
  json::value record = FindRecord(client, version.getValue());
  std::string document = Cell(record, "document");
  if (aLine.WantsJson()) {
    record.as_object()["document"] = json::parse(document);
    aLine.Out() << json::serialize(record) << "\n";
  } else {
    aLine.Out() << "version " << Cell(record, "version") << ", change id "
                << Cell(record, "change_id") << "\n"
                << Require(settings::FormatPretty(document));
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
  auto differences =
    Require(settings::DiffDocuments(Cell(record, "document"), document));
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
    aLine.Out() << "compared with version " << Cell(record, "version") << ": "
                << differences.size() << " differences\n";
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
  json::value records = Require(client.Ask("GET", "/admin/config/history"));
  if (!aLine.WantsJson()) {
    PrintRows(aLine.Out(), records, { "version", "change_id" });
    return ExitCode::Done;
  }
  for (auto& record : records.as_array()) {
    record.as_object()["document"] = json::parse(Cell(record, "document"));
  }
  aLine.Out() << json::serialize(records) << "\n";
  return ExitCode::Done;
}

} // namespace

std::vector<Command>
ConfigCommands()
{
  return {
    { "config check", "Check a base file and overlays", Check },
    { "config apply", "Put a base file and overlays in force", Apply },
    { "config show", "Show the configuration in force", Show },
    { "config diff", "Compare files with the version in force", Diff },
    { "config history", "List the kept versions", History },
  };
}

} // namespace lycheestand::client
