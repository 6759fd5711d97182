#ifndef LYCHEESTAND_ROUTER_SRC_LEADER_SEARCH_H
#define LYCHEESTAND_ROUTER_SRC_LEADER_SEARCH_H

#include <lycheestand/settings.h>
#include <set>

namespace lycheestand::router {

// Decides which control instance to dial next while the leader is searched.
class LeaderSearch
{
public:
  // aFirst is the index of the member to begin with.
  LeaderSearch(std::vector<settings::ControlMember> aMembers,
               std::size_t aFirst);

  const std::vector<settings::ControlMember>& Members() const
  {
    return this->members;
  }

  // Replaces the members; there is at least one.
  void SetMembers(std::vector<settings::ControlMember> aMembers);

  // Sets the leader that a refusal named; it is dialed next. An empty or
  // unknown id is ignored.
  void SetHint(const InstanceId& aLeader);

  // Returns the member to dial next, or null while all are being dialed.
  const settings::ControlMember* Next();

  // An attempt to reach an instance has ended.
  void AttemptEnded(const InstanceId& aInstance);

private:
  const settings::ControlMember* Find(const InstanceId& aInstance) const;
  const settings::ControlMember* Begin(const settings::ControlMember& aMember);
  bool IsDialing(const InstanceId& aInstance) const
  {
    return this->dialing.contains(aInstance);
  }

  std::vector<settings::ControlMember> members;
  std::size_t next;
  InstanceId hint;
  std::set<InstanceId> dialing;
};

} // namespace lycheestand::router

#endif
