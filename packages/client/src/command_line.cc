#include "command_line.h"

#include <algorithm>
#include <fstream>

namespace lycheestand::client {

namespace {

constexpr const char* kDefaultFile = "lycheestand.json";

// Default of --timeout-ms; long enough for an election and a few retries.
constexpr int kDefaultTimeoutMs = 15000;

// Writes help to the environment's stream; TCLAP's own class writes to
// std::cout.
class HelpOutput : public TCLAP::StdOutput
{
public:
  explicit HelpOutput(std::ostream& aOut)
    : out(aOut)
  {
  }

  // NOLINTBEGIN(readability-identifier-naming): overrides of TCLAP.
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
                          aPath +
                            ": can't read the operator's key; the file must "
                            "exist and contain the key" } };
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
              "admin address of a control instance; may be repeated",
              false,
              "name=host:port",
              aLine)
    , instances("",
                "instance",
                "admin address of another instance, for dump; may be repeated",
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
    , timeout("",
              "timeout-ms",
              "time limit of all attempts of a request (default 15000)",
              false,
              kDefaultTimeoutMs,
              "ms",
              aLine)
  {
  }

  TCLAP::ValueArg<std::string> file;
  TCLAP::MultiArg<std::string> control;
  TCLAP::MultiArg<std::string> instances;
  TCLAP::ValueArg<std::string> keyFile;
  TCLAP::ValueArg<int> timeout;
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
    "id of the change; to resend a change whose response was lost, give "
    "the id that was printed",
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
                          error.error() + " " + error.argId() + "; run \"" +
                            this->name + " --help\" for the options" } };
  }
}

settings::ClientSettings
CommandLine::ReadSettings() const
{
  settings::ClientSettings settings;
  if (this->fleet->file.isSet()) {
    settings =
      ValueOrThrow(settings::LoadClientSettings(this->fleet->file.getValue()));
  } else if (std::ifstream(kDefaultFile)) {
    settings = ValueOrThrow(settings::LoadClientSettings(kDefaultFile));
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
        "no control instance or no operator's key file is given; use "
        "--client, or --control and --operator-key-file" }
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
           Milliseconds(this->fleet->timeout.getValue()) };
}

bool
CommandLine::WantsJson() const
{
  return this->json && this->json->getValue();
}

std::string
CommandLine::PrintChangeId() const
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
                            "\" must be of the form NAME=VALUE" } };
  }
  return { aText.substr(0, equals), aText.substr(equals + 1) };
}

void
PrintTable(std::ostream& aOut,
           const std::vector<std::string>& aHeaders,
           const std::vector<std::vector<std::string>>& aRows)
{
  std::vector<std::size_t> widths;
  for (const auto& header : aHeaders) {
    widths.push_back(header.size());
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
  write(aHeaders);
  for (const auto& row : aRows) {
    write(row);
  }
}

std::string
FormatCell(const boost::json::value& aRow, const char* aName)
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
        rows.back().push_back(FormatCell(row, name));
      }
    }
  }
  PrintTable(aOut, { aNames.begin(), aNames.end() }, rows);
}

} // namespace lycheestand::client
