// Benchmarks a fleet of real processes on this machine and prints one table.
// Absolute values depend on the machine, so compare ratios and slopes. No test
// depends on the results.

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
         const std::string& aQuantity,
         double aValue,
         const std::string& aUnit,
         const std::string& aGoal)
{
  std::ostringstream value;
  value << std::setprecision(4) << aValue;
  std::cout << "| " << std::left << std::setw(10) << aSection << " | "
            << std::setw(58) << aQuantity << " | " << std::right
            << std::setw(10) << value.str() << " | " << std::left
            << std::setw(14) << aUnit << " | " << std::setw(10) << aGoal << " |"
            << std::endl;
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

// Runs the named section, or all if the name is empty; returns false if one
// failed.
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
  TCLAP::CmdLine line("Benchmarks a fleet on this machine");
  TCLAP::ValueArg<std::string> section(
    "s", "section", "run only this section", false, "", "name", line);
  line.parse(aCount, aArguments);
  if (sodium_init() < 0) {
    return 3;
  }
  return lycheestand::bench::RunSections(section.getValue()) ? 0 : 1;
}
