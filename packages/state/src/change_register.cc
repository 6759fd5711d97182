#include <lycheestand/state.h>

namespace lycheestand::state {

const ChangeRecord*
ChangeRegister::Find(const ChangeId& aChange) const
{
  auto found = this->records.find(aChange);
  return found == this->records.end() ? nullptr : &found->second;
}

void
ChangeRegister::Add(const ChangeId& aChange, Command aCommand, Outcome aOutcome)
{
  this->records.emplace(
    aChange, ChangeRecord{ std::move(aCommand), std::move(aOutcome) });
  this->order.push_back(aChange);
  if (this->order.size() > kMaxChanges) {
    this->records.erase(this->order.front());
    this->order.pop_front();
  }
}

} // namespace lycheestand::state
