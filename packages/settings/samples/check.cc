// Checks a configuration document that is read from standard input.

#include <iostream>
#include <iterator>
#include <lycheestand/settings.h>

using namespace lycheestand::settings;

int
main()
{
  std::string text{ std::istreambuf_iterator<char>(std::cin), {} };
  auto fleet = ParseFleetSettings(text);
  if (fleet.has_error()) {
    std::cout << ToString(fleet.error()) << "\n";
    return 1;
  }
  std::cout << fleet.value().models.size() << " models, "
            << fleet.value().workspaces.size() << " workspaces\n";
}
