#include "peer_directory.h"

namespace lycheestand::control {

PeerDirectory::PeerDirectory(InstanceId aSelf, Duration aLeaderTimeout)
  : self(std::move(aSelf))
  , leaderTimeout(aLeaderTimeout)
{
}

void
PeerDirectory::SetConfigured(std::map<InstanceId, Address> aConfigured)
{
  this->configured = std::move(aConfigured);
}

void
PeerDirectory::SetMembers(const consensus::Configuration& aMembers)
{
  this->members = aMembers;
}

// An announcement of an instance that is not a member is passed on from a
// member, and may be older than what a member has announced to this instance.
// It only adds addresses.
void
PeerDirectory::Record(const InstanceId& aFrom,
                      const Announcement& aAnnouncement,
                      TimePoint aNow)
{
  this->announcements[aFrom] = aAnnouncement.members;
  if (!aAnnouncement.members.Find(aFrom)) {
    return;
  }
  this->announcedMembers = aAnnouncement.members;
  if (!aAnnouncement.leader.Get().empty()) {
    this->announcedLeader = aAnnouncement.leader;
    this->announcedAt = aNow;
  }
}

void
PeerDirectory::Forget(const InstanceId& aFrom)
{
  this->announcements.erase(aFrom);
}

// The addresses in the settings go first: this instance may reach others by
// addresses that only it uses.
std::map<InstanceId, Address>
PeerDirectory::Addresses() const
{
  auto addresses = this->configured;
  auto add = [&addresses](const consensus::Configuration& aKnown) {
    for (const auto& [instance, location] : aKnown.locations) {
      addresses.emplace(instance, location.address);
    }
  };
  add(this->members);
  add(this->announcedMembers);
  for (const auto& [instance, announced] : this->announcements) {
    add(announced);
  }
  return addresses;
}

const consensus::Configuration&
PeerDirectory::Group() const
{
  return this->IsMember() ? this->members : this->announcedMembers;
}

bool
PeerDirectory::IsMember() const
{
  return this->members.Find(this->self).has_value();
}

// A new instance may know only instances that are not members, so these pass on
// what they know of the members. They name no leader: two of them would keep
// each other believing in a leader that is gone.
std::optional<Announcement>
PeerDirectory::Announce(const InstanceId& aLeader) const
{
  if (!this->members.voters.empty()) {
    return Announcement{ aLeader, this->members };
  }
  if (!this->announcedMembers.voters.empty()) {
    return Announcement{ InstanceId(), this->announcedMembers };
  }
  return std::nullopt;
}

InstanceId
PeerDirectory::AnnouncedLeader(TimePoint aNow) const
{
  return aNow - this->announcedAt < this->leaderTimeout ? this->announcedLeader
                                                        : InstanceId();
}

} // namespace lycheestand::control
