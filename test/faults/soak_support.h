#ifndef LYCHEESTAND_TEST_FAULTS_SOAK_SUPPORT_H
#define LYCHEESTAND_TEST_FAULTS_SOAK_SUPPORT_H

// Options, random choices and reports of the soaks.

#include "http_client.h"

#include <lycheestand/core.h>
#include <random>

namespace lycheestand::faults {

// Returns a number that an environment variable sets.
int
ReadOption(const char* aVariable, int aDefault);

bool
IsChance(std::mt19937& aRandom, unsigned aPercent);

// Returns a time from aMinMs milliseconds to less than aMaxMs.
Duration
RandomTime(std::mt19937& aRandom, unsigned aMinMs, unsigned aMaxMs);

// Returns a space and the code of a refusal, or nothing.
std::string
CodeOf(const Reply& aReply);

} // namespace lycheestand::faults

#endif
