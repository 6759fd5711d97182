#ifndef LYCHEESTAND_BENCH_FLEET_SECTIONS_H
#define LYCHEESTAND_BENCH_FLEET_SECTIONS_H

// The sections of the benchmark. Each starts its own fleet and prints its rows.

#include <string>

namespace lycheestand::bench {

// Prints one row of the table: the measured quantity, its value, its unit and
// the goal for it.
void
PrintRow(const std::string& aSection,
         const std::string& aQuantity,
         double aValue,
         const std::string& aUnit,
         const std::string& aGoal = "");

// Measures the latency that a router adds to a call, compared with a direct
// call to the engine.
void
MeasureOverhead();

// Measures the requests per second of one router by its number of threads.
void
MeasureThroughput();

// Measures a router's memory per open stream and its CPU time per streamed
// chat.
void
MeasureStreams();

// Measures CPU time, memory and link traffic of an idle control leader and an
// idle router by the number of routers.
void
MeasureNodes();

// Measures the cost of replicated commands, and the leader's memory per
// workspace.
void
MeasureCommands();

// Measures the time until all routers apply a configuration change, and its
// cost.
void
MeasureChanges();

// Measures latency and refusals at 80% of the engines' capacity.
void
MeasureCapacity();

// Measures overspend and refusals while a router is partitioned from control.
void
MeasurePartition();

} // namespace lycheestand::bench

#endif
