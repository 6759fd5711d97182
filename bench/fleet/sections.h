#ifndef LYCHEESTAND_BENCH_FLEET_SECTIONS_H
#define LYCHEESTAND_BENCH_FLEET_SECTIONS_H

// The parts of the bench; each starts its own fleet and prints its rows.

#include <string>

namespace lycheestand::bench {

// Prints one row of the table: what was measured, its value and its goal.
void
PrintRow(const std::string& aSection,
         const std::string& aWhat,
         double aValue,
         const std::string& aUnit,
         const std::string& aGoal = "");

// Latency that a router adds to a call, against calling the engine.
void
MeasureOverhead();

// Requests a second of one router by its number of threads.
void
MeasureThroughput();

// Memory and processor time of a router for open streams and tokens.
void
MeasureStreams();

// Processor time, memory and bytes of control for the number of routers.
void
MeasureNodes();

// Cost of replicated commands, and of budgets kept.
void
MeasureCommands();

// Time until a configuration change is in force, and its cost.
void
MeasureChanges();

// Latency and refusals at 80% of the engines' capacity.
void
MeasureCapacity();

// Overspend and refusals while a router is cut off from control.
void
MeasurePartition();

} // namespace lycheestand::bench

#endif
