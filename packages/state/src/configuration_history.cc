#include <lycheestand/state.h>

namespace lycheestand::state {

// Of several changes with an equal base the log orders one first; the others
// then name a base that is no longer current.
Outcome
ConfigurationHistory::Apply(const ApplyConfiguration& aCommand)
{
  if (aCommand.base != this->Current()) {
    return Rejected{ Rejection::VersionConflict };
  }
  ConfigVersion next(this->Current().Get() + 1);
  this->records.push_back({ next, aCommand.change, aCommand.document });
  if (this->records.size() > kKeptVersions) {
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
