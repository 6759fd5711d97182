#include <lycheestand/core.h>

namespace lycheestand {

const char*
ToString(ExecutionState aState)
{
  switch (aState) {
    case ExecutionState::NotRun:
      return "not_run";
    case ExecutionState::Ran:
      return "ran";
    case ExecutionState::Unknown:
      break;
  }
  return "unknown";
}

} // namespace lycheestand
