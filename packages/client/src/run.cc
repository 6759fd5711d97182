#include "command_line.h"
#include "secret_file.h"

#include <iostream>
#include <thread>

namespace lycheestand::client {

namespace {

// Time limit of one request; a lost response is detected after it.
constexpr Duration kRequestTimeout = std::chrono::seconds(5);

std::vector<Command>
AllCommands()
{
  std::vector<Command> all = ConfigCommands();
  for (const auto& group : { FleetCommands(), KeyCommands(), LogCommands() }) {
    all.insert(all.end(), group.begin(), group.end());
  }
  return all;
}

// Prints the commands of a group, or all if aGroup is empty; returns their
// number.
std::size_t
PrintHelp(std::ostream& aOut,
          const std::vector<Command>& aCommands,
          const std::string& aGroup)
{
  std::vector<std::vector<std::string>> rows;
  for (const auto& command : aCommands) {
    if (aGroup.empty() || std::string(command.name).starts_with(aGroup + " ")) {
      rows.push_back({ command.name, command.summary });
    }
  }
  if (!rows.empty()) {
    aOut << "lycheestand " << kVersion
         << ": client for operators of a lycheestand fleet\n\n";
    PrintTable(aOut, { "COMMAND", "PURPOSE" }, rows);
    aOut << "\n\"lycheestand COMMAND --help\" lists a command's options.\n";
  }
  return rows.size();
}

// Returns the command that the first one or two arguments name, and removes
// them from aArguments. Returns null if there is no such command.
const Command*
TakeCommand(const std::vector<Command>& aCommands, Arguments& aArguments)
{
  std::string name;
  for (std::size_t words = 1; words <= 2 && words <= aArguments.size();
       ++words) {
    name += (words == 1 ? "" : " ") + aArguments[words - 1];
    for (const auto& command : aCommands) {
      if (name == command.name) {
        aArguments.erase(aArguments.begin(),
                         aArguments.begin() +
                           static_cast<std::ptrdiff_t>(words));
        return &command;
      }
    }
  }
  return nullptr;
}

// Handles a command line that names no command.
ExitCode
RunWithoutCommand(const Environment& aEnvironment,
                  const std::vector<Command>& aCommands,
                  const Arguments& aArguments)
{
  std::string first = aArguments.empty() ? "" : aArguments.front();
  std::string last = aArguments.empty() ? "" : aArguments.back();
  if (last == "--version") {
    *aEnvironment.out << "lycheestand " << kVersion << "\n";
    return ExitCode::Done;
  }
  bool wantsHelp = last == "--help" || last == "-h";
  std::string group = first.starts_with("-") ? "" : first;
  if (wantsHelp && PrintHelp(*aEnvironment.out, aCommands, group) > 0) {
    return ExitCode::Done;
  }
  *aEnvironment.err << "lycheestand: "
                    << (group.empty() ? "no command is given"
                                      : "unknown command: " + group)
                    << "; run \"lycheestand --help\" for the list\n";
  return ExitCode::Usage;
}

ExitCode
RunCommand(const Environment& aEnvironment,
           const Command& aCommand,
           const Arguments& aArguments)
{
  try {
    CommandLine line(aEnvironment, aCommand.name, aCommand.summary);
    return aCommand.run(line, aArguments);
  } catch (const TCLAP::ExitException&) {
    // TCLAP has printed the text of --help or --version.
    return ExitCode::Done;
  } catch (const CommandError& error) {
    *aEnvironment.err << "lycheestand: " << error.failure.message << "\n";
    return error.failure.code;
  } catch (const std::exception& error) {
    *aEnvironment.err << "lycheestand: unexpected response from control: "
                      << error.what() << "\n";
    return ExitCode::Unavailable;
  }
}

} // namespace

Environment
MakeEnvironment()
{
  return { MakeHttpTransport(kRequestTimeout),
           [] { return Clock::now(); },
           [](Duration aTime) { std::this_thread::sleep_for(aTime); },
           MakeChangeId,
           &std::cout,
           &std::cerr };
}

int
Run(const Environment& aEnvironment, const Arguments& aArguments)
{
  const std::vector<Command> commands = AllCommands();
  Arguments arguments = aArguments;
  const Command* command = TakeCommand(commands, arguments);
  return static_cast<int>(
    command == nullptr ? RunWithoutCommand(aEnvironment, commands, arguments)
                       : RunCommand(aEnvironment, *command, arguments));
}

} // namespace lycheestand::client
