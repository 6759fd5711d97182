#include "command_line.h"

#include <algorithm>
#include <fstream>

namespace lycheestand::client {

namespace {

constexpr const char* kDefaultFile = "lycheestand.json";

// Default of --timeout-ms: an election and a few retries fit.
constexpr int kDefaultPatienceMs = 15000;

// Writes help where the environment says; TCLAP's own form writes to
// std::cout.
class HelpOutput : public TCLAP::StdOutput
{
public:
  explicit HelpOutput(std::ostream& aOut)
    : out(aOut)
  {
  }

  // NOLINTBEGIN(readability-identifier-naming): names that TCLAP calls.
  void usage(TCLAP::CmdLineInterface& aLine) override
  {
    this->out << aLine.getMessage() << "\n\nUsage:\n";
    this->_shortUsage(aLine, this->out);
    this->out << "\nArguments and options:\n";
    this->_longUsage(aLine, this->out);
  }
  void version(TCLAP::CmdLineInterface&) override
  {
    this->out << "lycheestand " << kVersion << "\n";
  }
  // NOLINTEND(readability-identifier-naming)

private:
  std::ostream& out;
};

settings::AdminAddress
ReadAdminOption(const std::string& aOption, const std::string& aText)
{
  auto [name, value] = SplitAssignment(aOption, aText);
  auto address = ParseAddress(value);
  if (address.has_error()) {
    throw CommandError{ { ExitCode::Usage, aOption + ": " + address.error() } };
  }
  return { InstanceId(name), address.value() };
}

std::string
ReadBearer(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::string key;
  if (!(file >> key)) {
    throw CommandError{ { ExitCode::Usage,
                          aPath + ": can't read the operator's key" } };
  }
  return key;
}

} // namespace

struct CommandLine::FleetOptions
{
  explicit FleetOptions(TCLAP::CmdLine& aLine)
    : file("c",
           "client",
           "client file (default: " + std::string(kDefaultFile) +
             ", if it exists)",
           false,
           "",
           "file",
           aLine)
    , control("",
              "control",
              "a control instance's admin address; may be repeated",
              false,
              "name=host:port",
              aLine)
    , instances("",
                "instance",
                "another instance's admin address, for dumps; may be repeated",
                false,
                "name=host:port",
                aLine)
    , keyFile("k",
              "operator-key-file",
              "file with the operator's key",
              false,
              "",
              "file",
              aLine)
    , patience("",
               "timeout-ms",
               "longest time for all attempts (default 15000)",
               false,
               kDefaultPatienceMs,
               "ms",
               aLine)
  {
  }

  TCLAP::ValueArg<std::string> file;
  TCLAP::MultiArg<std::string> control;
  TCLAP::MultiArg<std::string> instances;
  TCLAP::ValueArg<std::string> keyFile;
  TCLAP::ValueArg<int> patience;
};

CommandLine::CommandLine(const Environment& aEnvironment,
                         const std::string& aName,
                         const std::string& aSummary)
  : environment(aEnvironment)
  , name("lycheestand " + aName)
  , line(aSummary, ' ', kVersion)
  , output(std::make_unique<HelpOutput>(*aEnvironment.out))
{
  this->line.setExceptionHandling(false);
  this->line.setOutput(this->output.get());
}

void
CommandLine::AddFleetOptions()
{
  this->fleet = std::make_shared<FleetOptions>(this->line);
}

void
CommandLine::AddJsonOption()
{
  this->json = std::make_unique<TCLAP::SwitchArg>(
    "", "json", "print JSON", this->line, false);
}

void
CommandLine::AddChangeOption()
{
  this->change = std::make_unique<TCLAP::ValueArg<std::string>>(
    "",
    "change-id",
    "id of the change; resend a change whose answer was lost with its id",
    false,
    "",
    "id",
    this->line);
}

void
CommandLine::Parse(const std::vector<std::string>& aArguments)
{
  std::vector<std::string> arguments{ this->name };
  arguments.insert(arguments.end(), aArguments.begin(), aArguments.end());
  try {
    this->line.parse(arguments);
  } catch (const TCLAP::ArgException& error) {
    throw CommandError{ { ExitCode::Usage,
                          error.error() + " " + error.argId() + "; try \"" +
                            this->name + " --help\"" } };
  }
}

settings::ClientSettings
CommandLine::ReadSettings() const
{
  settings::ClientSettings settings;
  if (this->fleet->file.isSet()) {
    settings =
      Require(settings::LoadClientSettings(this->fleet->file.getValue()));
  } else if (std::ifstream(kDefaultFile)) {
    settings = Require(settings::LoadClientSettings(kDefaultFile));
  }
  if (this->fleet->control.isSet()) {
    settings.control.clear();
    for (const auto& text : this->fleet->control.getValue()) {
      settings.control.push_back(ReadAdminOption("--control", text));
    }
  }
  for (const auto& text : this->fleet->instances.getValue()) {
    settings.instances.insert(settings.instances.begin(),
                              ReadAdminOption("--instance", text));
  }
  if (this->fleet->keyFile.isSet()) {
    settings.operatorKeyFile = this->fleet->keyFile.getValue();
  }
  if (settings.control.empty() || settings.operatorKeyFile.empty()) {
    throw CommandError{
      { ExitCode::Usage,
        "no control instance or operator's key is named; use --client, or "
        "--control and --operator-key-file" }
    };
  }
  return settings;
}

FleetClient
CommandLine::Connect() const
{
  auto settings = this->ReadSettings();
  std::string bearer = ReadBearer(settings.operatorKeyFile);
  return { this->environment,
           std::move(settings),
           std::move(bearer),
           Milliseconds(this->fleet->patience.getValue()) };
}

bool
CommandLine::WantsJson() const
{
  return this->json && this->json->getValue();
}

std::string
CommandLine::StartChange() const
{
  std::string id = this->change->isSet() ? this->change->getValue()
                                         : this->environment.makeChangeId();
  this->Out() << "change id: " << id << std::endl;
  return id;
}

std::pair<std::string, std::string>
SplitAssignment(const std::string& aOption, const std::string& aText)
{
  auto equals = aText.find('=');
  if (equals == std::string::npos || equals == 0) {
    throw CommandError{ { ExitCode::Usage,
                          aOption + ": \"" + aText +
                            "\" is not of the form NAME=VALUE" } };
  }
  return { aText.substr(0, equals), aText.substr(equals + 1) };
}

void
PrintTable(std::ostream& aOut,
           const std::vector<std::string>& aHeads,
           const std::vector<std::vector<std::string>>& aRows)
{
  std::vector<std::size_t> widths;
  for (const auto& head : aHeads) {
    widths.push_back(head.size());
  }
  for (const auto& row : aRows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  auto write = [&](const std::vector<std::string>& aRow) {
    for (std::size_t i = 0; i < aRow.size(); ++i) {
      bool isLast = i + 1 == aRow.size();
      aOut << aRow[i]
           << (isLast ? "\n"
                      : std::string(widths[i] - aRow[i].size() + 2, ' '));
    }
  };
  write(aHeads);
  for (const auto& row : aRows) {
    write(row);
  }
}

std::string
Cell(const boost::json::value& aRow, const char* aName)
{
  const auto* value =
    aRow.is_object() ? aRow.get_object().if_contains(aName) : nullptr;
  if (value == nullptr) {
    return "-";
  }
  if (value->is_bool()) {
    return value->get_bool() ? "yes" : "no";
  }
  return value->is_string() ? std::string(value->get_string())
                            : boost::json::serialize(*value);
}

void
PrintRows(std::ostream& aOut,
          const boost::json::value& aRows,
          const std::vector<const char*>& aNames)
{
  std::vector<std::vector<std::string>> rows;
  if (aRows.is_array()) {
    for (const auto& row : aRows.get_array()) {
      rows.emplace_back();
      for (const char* name : aNames) {
        rows.back().push_back(Cell(row, name));
      }
    }
  }
  PrintTable(aOut, { aNames.begin(), aNames.end() }, rows);
}

} // namespace lycheestand::client
