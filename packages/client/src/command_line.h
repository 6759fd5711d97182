#ifndef LYCHEESTAND_CLIENT_SRC_COMMAND_LINE_H
#define LYCHEESTAND_CLIENT_SRC_COMMAND_LINE_H

// Options shared by the commands, and table output.

#include "fleet_client.h"

#include <memory>
#include <tclap/CmdLine.h>

namespace lycheestand::client {

// Thrown by commands; Run prints the message and returns the exit code.
struct CommandError
{
  CommandFailure failure;
};

// Returns the value, or throws CommandError with the failure.
template<class T>
T
ValueOrThrow(CommandResult<T> aResult)
{
  if (aResult.has_error()) {
    throw CommandError{ aResult.error() };
  }
  return std::move(aResult.value());
}

// Returns the value, or throws CommandError with the error in a file.
template<class T>
T
ValueOrThrow(Result<T, settings::SettingsError> aResult)
{
  if (aResult.has_error()) {
    throw CommandError{ { ExitCode::Usage,
                          settings::ToString(aResult.error()) } };
  }
  return std::move(aResult.value());
}

// The options of one command. A command adds its own arguments to Line(), then
// calls Parse, then reads them.
class CommandLine
{
public:
  CommandLine(const Environment& aEnvironment,
              const std::string& aName,
              const std::string& aSummary);

  TCLAP::CmdLine& Line() { return this->line; }

  // Adds the options of commands that send requests to control. Connect needs
  // them.
  void AddFleetOptions();
  void AddJsonOption();
  void AddChangeOption();

  // Parses the arguments; throws CommandError if they are invalid.
  void Parse(const std::vector<std::string>& aArguments);

  // Returns a client with the settings of the client file; options take
  // precedence. Throws CommandError.
  FleetClient Connect() const;

  bool WantsJson() const;

  // Prints and returns the change id: the one of --change-id, or a new one. The
  // operator needs it to resend the change if the response is lost.
  std::string PrintChangeId() const;

  const Environment& Env() const { return this->environment; }
  std::ostream& Out() const { return *this->environment.out; }

private:
  struct FleetOptions;

  settings::ClientSettings ReadSettings() const;

  const Environment& environment;
  std::string name;
  TCLAP::CmdLine line;
  std::unique_ptr<TCLAP::StdOutput> output;
  std::shared_ptr<FleetOptions> fleet;
  std::unique_ptr<TCLAP::SwitchArg> json;
  std::unique_ptr<TCLAP::ValueArg<std::string>> change;
};

// Splits an option's value of the form NAME=VALUE; throws CommandError if it
// has another form.
std::pair<std::string, std::string>
SplitAssignment(const std::string& aOption, const std::string& aText);

// Writes a table; each column is as wide as its widest cell.
void
PrintTable(std::ostream& aOut,
           const std::vector<std::string>& aHeaders,
           const std::vector<std::vector<std::string>>& aRows);

// Returns the text of a row's member in a table; "-" if it is missing.
std::string
FormatCell(const boost::json::value& aRow, const char* aName);

// Writes a JSON array of objects as a table with the named members as columns.
void
PrintRows(std::ostream& aOut,
          const boost::json::value& aRows,
          const std::vector<const char*>& aNames);

using Arguments = std::vector<std::string>;

// A command. Its function adds its arguments to the command line and parses
// them.
struct Command
{
  const char* name;
  const char* summary;
  std::function<ExitCode(CommandLine&, const Arguments&)> run;
};

// The commands of each source file.
std::vector<Command>
ConfigCommands();
std::vector<Command>
FleetCommands();
std::vector<Command>
KeyCommands();
std::vector<Command>
LogCommands();

} // namespace lycheestand::client

#endif
