#include "daemon.h"

#include <cstdlib>
#include <iostream>
#include <tclap/CmdLine.h>

namespace {

using namespace lycheestand;

// Runs a process on the users' platform, or only checks its settings file.
int
RunPlatform(std::string aPath, bool aOnlyCheck)
{
  const char* environmentPath = std::getenv(platform::kSettingsVariable);
  if (aPath.empty() && environmentPath != nullptr) {
    aPath = environmentPath;
  }
  auto node = platform::LoadNodeSettings(aPath);
  if (node.has_error()) {
    std::cerr << "lycheestandd: " << settings::ToString(node.error()) << "\n";
    return 2;
  }
  return aOnlyCheck ? 0 : daemon::RunOnPlatform(node.value());
}

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    TCLAP::CmdLine line("lycheestandd: router and control daemon of a "
                        "lycheestand fleet",
                        ' ',
                        daemon::kVersion);
    TCLAP::ValueArg<std::string> file(
      "s", "settings", "JSON settings file", false, "", "file", line);
    TCLAP::SwitchArg platformSwitch("p",
                                    "platform",
                                    "read the settings of the users' platform "
                                    "from --settings or, if it isn't given, "
                                    "from the file that "
                                    "LYCHEESTAND_NODE_FILE names",
                                    line,
                                    false);
    TCLAP::SwitchArg check(
      "c", "check", "check the settings and exit", line, false);
    TCLAP::SwitchArg format("f",
                            "format",
                            "create the data folder of one of the first "
                            "control instances and exit",
                            line,
                            false);
    line.parse(aCount, aArguments);
    if (platformSwitch.getValue()) {
      return RunPlatform(file.getValue(), check.getValue());
    }
    auto settings = settings::LoadProcessSettings(file.getValue());
    if (settings.has_error()) {
      std::cerr << "lycheestandd: " << settings::ToString(settings.error())
                << "\n";
      return 2;
    }
    if (format.getValue()) {
      return daemon::Format(settings.value());
    }
    return check.getValue() ? 0 : daemon::Run(settings.value());
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "lycheestandd: " << error.error() << " " << error.argId()
              << "\n";
    return 2;
  }
}
