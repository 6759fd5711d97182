#include <lycheestand/core.h>

namespace lycheestand {

const char*
ToString(RanState aState)
{
  switch (aState) {
    case RanState::NotRun:
      return "not_run";
    case RanState::Ran:
      return "ran";
    case RanState::Unknown:
      break;
  }
  return "unknown";
}

} // namespace lycheestand
