// Measures a fleet of real processes on this machine and prints one table. The
// figures are for ratios and slopes; they decide no test.

#include "sections.h"

#include <functional>
#include <iomanip>
#include <iostream>
#include <sodium.h>
#include <tclap/CmdLine.h>
#include <vector>

namespace lycheestand::bench {

void
PrintRow(const std::string& aSection,
         const std::string& aWhat,
         double aValue,
         const std::string& aUnit,
         const std::string& aGoal)
{
  std::ostringstream value;
  value << std::setprecision(4) << aValue;
  std::cout << "| " << std::left << std::setw(10) << aSection << " | "
            << std::setw(58) << aWhat << " | " << std::right << std::setw(10)
            << value.str() << " | " << std::left << std::setw(14) << aUnit
            << " | " << std::setw(10) << aGoal << " |" << std::endl;
}

namespace {

struct Section
{
  const char* name;
  std::function<void()> run;
};

std::vector<Section>
Sections()
{
  return { { "overhead", MeasureOverhead }, { "throughput", MeasureThroughput },
           { "streams", MeasureStreams },   { "nodes", MeasureNodes },
           { "commands", MeasureCommands }, { "changes", MeasureChanges },
           { "capacity", MeasureCapacity }, { "partition", MeasurePartition } };
}

// Runs the sections with the name, or all; returns whether none failed.
bool
RunSections(const std::string& aName)
{
  bool passed = true;
  for (const auto& section : Sections()) {
    if (!aName.empty() && aName != section.name) {
      continue;
    }
    try {
      section.run();
    } catch (const std::exception& error) {
      passed = false;
      std::cout << section.name << ": " << error.what() << std::endl;
    }
  }
  return passed;
}

} // namespace

} // namespace lycheestand::bench

int
main(int aCount, char** aArguments)
{
  TCLAP::CmdLine line("Measures a fleet on this machine");
  TCLAP::ValueArg<std::string> section(
    "s", "section", "only this section", false, "", "name", line);
  line.parse(aCount, aArguments);
  if (sodium_init() < 0) {
    return 3;
  }
  return lycheestand::bench::RunSections(section.getValue()) ? 0 : 1;
}
