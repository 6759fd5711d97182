#include <lycheestand/state.h>

namespace lycheestand::state {

// Optimistic concurrency control: of several changes with the same base, the
// first in the log is accepted, and the base of the others is then outdated.
Outcome
ConfigurationHistory::Apply(const ApplyConfiguration& aCommand)
{
  if (aCommand.base != this->Current()) {
    return Rejected{ Rejection::VersionConflict };
  }
  ConfigVersion next(this->Current().Get() + 1);
  this->records.push_back({ next, aCommand.change, aCommand.document });
  if (this->records.size() > kMaxVersions) {
    this->records.pop_front();
  }
  return ConfigurationApplied{ next };
}

ConfigVersion
ConfigurationHistory::Current() const
{
  return this->records.empty() ? ConfigVersion(0)
                               : this->records.back().version;
}

} // namespace lycheestand::state
