#ifndef LYCHEESTAND_CONTROL_SRC_PEER_NETWORK_H
#define LYCHEESTAND_CONTROL_SRC_PEER_NETWORK_H

#include "dial_plan.h"
#include "messages.h"
#include "replication_codec.h"

#include <map>
#include <vector>

namespace lycheestand::control {

// The links of one control instance with the others, and the addresses that it
// knows: from its settings, from the replicated log, and from keep-alives of
// other instances. Used only inside the task that owns it.
class PeerNetwork
{
public:
  // aDialer is the task that opens links. It sends PeerLink to aTask.
  PeerNetwork(net::IoTask& aTask,
              const settings::ProcessSettings& aSettings,
              caf::actor aDialer);

  // Returns whether the first link with the instance has opened, or the last
  // one has closed.
  enum class Change
  {
    None,
    Connected,
    Disconnected
  };
  Change HandleLink(const PeerLink& aLink);

  // Sends a message if there is a link with the instance.
  void Send(const InstanceId& aTo, const wire::Replication& aMessage);

  // Sends a keep-alive on all links. Instances that are not members are told of
  // the members and the leader.
  void SendKeepAlives(const InstanceId& aLeader);

  // Opens the links that are due.
  void OpenLinks();

  // Sets the members of the group by the replicated log.
  void SetMembers(const consensus::Configuration& aMembers);

  // Handles a keep-alive of another instance.
  void HandleKeepAlive(const wire::Replication& aMessage);

  // Returns the leader of which other instances told lately; empty if unknown.
  InstanceId AnnouncedLeader() const;

  // Returns the members of the group that other processes can reach.
  std::vector<wire::ControlEntry> Group() const;

  std::size_t LinkCount() const { return this->links.size(); }

private:
  void UpdateTargets();

  net::IoTask& task;
  InstanceId self;
  Duration announcementTimeout;
  caf::actor dialer;
  std::map<InstanceId, Address> configured;
  consensus::Configuration members;
  consensus::Configuration announcedMembers;
  InstanceId announcedLeader;
  TimePoint announcedAt{};
  // Newest link last. An old one may still be open at this side.
  std::map<InstanceId, std::vector<caf::actor>> links;
  DialPlan plan;
};

} // namespace lycheestand::control

#endif
