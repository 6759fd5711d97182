#ifndef LYCHEESTAND_CLIENT_SRC_COMMAND_LINE_H
#define LYCHEESTAND_CLIENT_SRC_COMMAND_LINE_H

// Options that all commands share, and the form of their output.

#include "fleet_client.h"

#include <memory>
#include <tclap/CmdLine.h>

namespace lycheestand::client {

// Raised by commands; Run prints it and returns its exit code.
struct CommandError
{
  CommandFailure failure;
};

// Returns the value, or throws the failure as CommandError.
template<class T>
T
Require(CommandResult<T> aResult)
{
  if (aResult.has_error()) {
    throw CommandError{ aResult.error() };
  }
  return std::move(aResult.value());
}

// Returns the value, or throws the error of a file with a wrong value.
template<class T>
T
Require(Result<T, settings::SettingsError> aResult)
{
  if (aResult.has_error()) {
    throw CommandError{ { ExitCode::Usage,
                          settings::ToString(aResult.error()) } };
  }
  return std::move(aResult.value());
}

// One command's options. A command adds its own arguments to Line(), then
// calls Parse.
class CommandLine
{
public:
  CommandLine(const Environment& aEnvironment,
              const std::string& aName,
              const std::string& aSummary);

  TCLAP::CmdLine& Line() { return this->line; }

  // Adds the options of commands that talk to control.
  void AddFleetOptions();
  void AddJsonOption();
  void AddChangeOption();

  // Reads the arguments; throws CommandError.
  void Parse(const std::vector<std::string>& aArguments);

  // Returns a client from the client file and the options.
  FleetClient Connect() const;

  bool WantsJson() const;

  // Returns the change id that was given or made, and prints it, so that the
  // change can be resent after this process has ended without an answer.
  std::string StartChange() const;

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

// The name and value of an option of the form NAME=VALUE.
std::pair<std::string, std::string>
SplitAssignment(const std::string& aOption, const std::string& aText);

// Writes rows in columns as wide as their widest cell.
void
PrintTable(std::ostream& aOut,
           const std::vector<std::string>& aHeads,
           const std::vector<std::vector<std::string>>& aRows);

// Returns a member's value as a table shows it.
std::string
Cell(const boost::json::value& aRow, const char* aName);

// Writes a JSON array of objects as a table of the named members.
void
PrintRows(std::ostream& aOut,
          const boost::json::value& aRows,
          const std::vector<const char*>& aNames);

using Arguments = std::vector<std::string>;

// One command; it parses its own arguments.
struct Command
{
  const char* name;
  const char* summary;
  std::function<ExitCode(CommandLine&, const Arguments&)> run;
};

// The commands of each source.
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
