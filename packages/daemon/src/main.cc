#include "daemon.h"

#include <iostream>
#include <tclap/CmdLine.h>

int
main(int aCount, char** aArguments)
{
  using namespace lycheestand;
  try {
    TCLAP::CmdLine line("lycheestandd: router and control daemon of a "
                        "lycheestand fleet",
                        ' ',
                        daemon::kVersion);
    TCLAP::ValueArg<std::string> file(
      "s", "settings", "JSON settings file", true, "", "file", line);
    TCLAP::SwitchArg check(
      "c", "check", "check the settings and exit", line, false);
    TCLAP::SwitchArg format("f",
                            "format",
                            "create the data folder of one of the first "
                            "control instances and exit",
                            line,
                            false);
    line.parse(aCount, aArguments);
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
