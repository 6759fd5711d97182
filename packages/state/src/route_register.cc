#include <lycheestand/state.h>

namespace lycheestand::state {

bool
RouteRegister::Replace(const ReplaceRoutes& aCommand)
{
  if (aCommand.version <= this->version) {
    return false;
  }
  this->version = aCommand.version;
  this->document = aCommand.document;
  return true;
}

} // namespace lycheestand::state
