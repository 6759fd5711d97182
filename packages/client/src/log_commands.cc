#include "command_line.h"
#include "request_timeline.h"

#include <fstream>
#include <iostream>

namespace lycheestand::client {

namespace {

ExitCode
RunExplain(CommandLine& aLine, const Arguments& aArguments)
{
  TCLAP::UnlabeledValueArg<std::string> request(
    "request", "id of the request", true, "", "request-id");
  TCLAP::UnlabeledMultiArg<std::string> files(
    "files",
    "log files of the processes, in the JSON format; standard input if none "
    "is given",
    false,
    "file");
  aLine.Line().add(request);
  aLine.Line().add(files);
  aLine.Parse(aArguments);
  std::vector<LogLine> lines;
  for (const auto& path : files.getValue()) {
    std::ifstream file(path);
    if (!file) {
      throw CommandError{ { ExitCode::Usage,
                            "can't read the log file " + path } };
    }
    auto fileLines = ReadLogLines(file);
    lines.insert(lines.end(), fileLines.begin(), fileLines.end());
  }
  if (files.getValue().empty()) {
    lines = ReadLogLines(std::cin);
  }
  auto timeline = BuildRequestTimeline(std::move(lines), request.getValue());
  if (timeline.empty()) {
    throw CommandError{ { ExitCode::Usage,
                          "no log line in the JSON format names the request " +
                            request.getValue() } };
  }
  for (const auto& text : timeline) {
    aLine.Out() << text << "\n";
  }
  return ExitCode::Done;
}

} // namespace

std::vector<Command>
LogCommands()
{
  return {
    { "explain", "Show what happened to a request, from log files", RunExplain }
  };
}

} // namespace lycheestand::client
