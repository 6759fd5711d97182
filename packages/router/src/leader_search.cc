#include "leader_search.h"

#include <algorithm>

// Attempts overlap: an instance that does not answer holds up no other. If they
// were made one after the other, a few silent instances would keep a router
// from the leader, and so from new configurations, for seconds.

namespace lycheestand::router {

LeaderSearch::LeaderSearch(std::vector<settings::ControlMember> aMembers,
                           std::size_t aFirst)
  : members(std::move(aMembers))
  , next(aFirst)
{
}

void
LeaderSearch::SetMembers(std::vector<settings::ControlMember> aMembers)
{
  InstanceId current = this->members[this->next].instance;
  this->members = std::move(aMembers);
  auto found = std::find_if(
    this->members.begin(), this->members.end(), [&](const auto& aMember) {
      return aMember.instance == current;
    });
  this->next = found == this->members.end()
                 ? 0
                 : static_cast<std::size_t>(found - this->members.begin());
}

void
LeaderSearch::SetHint(const InstanceId& aLeader)
{
  this->hint = aLeader;
}

const settings::ControlMember*
LeaderSearch::Next()
{
  const auto* hinted = this->Find(this->hint);
  this->hint = InstanceId();
  if (hinted != nullptr && !this->IsDialing(hinted->instance)) {
    return this->Begin(*hinted);
  }
  for (std::size_t i = 0; i < this->members.size(); ++i) {
    const auto& member = this->members[this->next];
    this->next = (this->next + 1) % this->members.size();
    if (!this->IsDialing(member.instance)) {
      return this->Begin(member);
    }
  }
  return nullptr;
}

void
LeaderSearch::AttemptEnded(const InstanceId& aInstance)
{
  this->dialing.erase(aInstance);
}

const settings::ControlMember*
LeaderSearch::Find(const InstanceId& aInstance) const
{
  auto found = std::find_if(
    this->members.begin(), this->members.end(), [&](const auto& aMember) {
      return aMember.instance == aInstance;
    });
  return found == this->members.end() ? nullptr : &*found;
}

const settings::ControlMember*
LeaderSearch::Begin(const settings::ControlMember& aMember)
{
  this->dialing.insert(aMember.instance);
  return &aMember;
}

} // namespace lycheestand::router
