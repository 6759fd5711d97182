#ifndef LYCHEESTAND_TEST_FAULTS_FLEET_INTERNAL_H
#define LYCHEESTAND_TEST_FAULTS_FLEET_INTERNAL_H

// Keys and process names that the source files of the Fleet class share.

#include <filesystem>
#include <string>

namespace lycheestand::faults {

inline constexpr const char* kOperatorKey = "operator-key-of-the-fault-tests";
inline constexpr const char* kCallerKey = "caller-key-of-the-fault-tests";
inline constexpr const char* kFleetKey =
  "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

// Returns the path of a program in the folder of the running executable.
inline std::string
ProgramPath(const char* aName)
{
  return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / aName)
    .string();
}

inline std::string
NumberedName(const char* aPrefix, int aIndex)
{
  return aPrefix + std::to_string(aIndex);
}

} // namespace lycheestand::faults

#endif
