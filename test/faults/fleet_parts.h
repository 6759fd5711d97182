#ifndef LYCHEESTAND_TEST_FAULTS_FLEET_PARTS_H
#define LYCHEESTAND_TEST_FAULTS_FLEET_PARTS_H

// Shared by the parts of the fleet: its keys and the names of its processes.

#include <filesystem>
#include <string>

namespace lycheestand::faults {

inline constexpr const char* kOperatorKey = "operator-key-of-the-fault-tests";
inline constexpr const char* kCallerKey = "caller-key-of-the-fault-tests";
inline constexpr const char* kFleetKey =
  "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

// Tests run from the build folder, beside the programs that they start.
inline std::string
Program(const char* aName)
{
  return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / aName)
    .string();
}

inline std::string
Numbered(const char* aPrefix, int aIndex)
{
  return aPrefix + std::to_string(aIndex);
}

} // namespace lycheestand::faults

#endif
