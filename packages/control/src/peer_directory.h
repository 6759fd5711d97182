#ifndef LYCHEESTAND_CONTROL_SRC_PEER_DIRECTORY_H
#define LYCHEESTAND_CONTROL_SRC_PEER_DIRECTORY_H

#include <lycheestand/consensus.h>
#include <lycheestand/core.h>
#include <map>
#include <optional>

namespace lycheestand::control {

// What a control instance tells others of the group.
struct Announcement
{
  // Empty if the sender is not a member or knows no leader.
  InstanceId leader;
  consensus::Configuration members;
};

// What one control instance knows of the group and of the addresses of other
// instances: from its settings, from the replicated log, and from
// announcements.
class PeerDirectory
{
public:
  // An announced leader is believed for aLeaderTimeout.
  PeerDirectory(InstanceId aSelf, Duration aLeaderTimeout);

  // Replaces the addresses from the settings.
  void SetConfigured(std::map<InstanceId, Address> aConfigured);

  // Sets the members of the group by the replicated log.
  void SetMembers(const consensus::Configuration& aMembers);

  // Records the newest announcement of an instance.
  void Record(const InstanceId& aFrom,
              const Announcement& aAnnouncement,
              TimePoint aNow);

  // Drops the announcement of an instance to which there is no link any more.
  void Forget(const InstanceId& aFrom);

  // Returns the addresses of all known instances.
  std::map<InstanceId, Address> Addresses() const;

  // Returns the members by the replicated log, or else as a member last
  // announced them.
  const consensus::Configuration& Group() const;

  // Returns whether this instance is a member.
  bool IsMember() const;

  // Returns what this instance announces to instances that are not members,
  // given the leader that it knows by the replicated log; nothing if it knows
  // no members.
  std::optional<Announcement> Announce(const InstanceId& aLeader) const;

  // Returns the leader that a member has announced lately; empty if unknown.
  InstanceId AnnouncedLeader(TimePoint aNow) const;

private:
  InstanceId self;
  Duration leaderTimeout;
  std::map<InstanceId, Address> configured;
  consensus::Configuration members;
  consensus::Configuration announcedMembers;
  // The members that each linked instance has announced last.
  std::map<InstanceId, consensus::Configuration> announcements;
  InstanceId announcedLeader;
  TimePoint announcedAt{};
};

} // namespace lycheestand::control

#endif
