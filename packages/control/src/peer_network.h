#ifndef LYCHEESTAND_CONTROL_SRC_PEER_NETWORK_H
#define LYCHEESTAND_CONTROL_SRC_PEER_NETWORK_H

#include "dial_plan.h"
#include "messages.h"
#include "peer_directory.h"
#include "replication_codec.h"
#include "stream_support.h"

#include <map>
#include <vector>

namespace lycheestand::control {

// The links of one control instance with the others, which it opens to all
// addresses in its directory. Used only inside the task that owns it.
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

  // Sends a keep-alive on all links; to instances that are not members, it
  // announces what this one knows of the group. aLeader is the leader by the
  // replicated log.
  void SendKeepAlives(const InstanceId& aLeader);

  // Opens the links that are due.
  void OpenLinks();

  // Replaces the addresses from the settings.
  void SetConfigured(const std::vector<settings::ControlMember>& aControl);

  // Sets the members of the group by the replicated log.
  void SetMembers(const consensus::Configuration& aMembers);

  // Handles what a message tells about the instance that has sent it.
  void HandleMessage(const InstanceId& aFrom,
                     const wire::Replication& aMessage);

  // Returns whether all members that this instance has contact with are known
  // to apply the commands about streams.
  StreamSupport FindStreamSupport(
    const consensus::Configuration& aMembers) const;

  // Returns the leader that a member has announced lately; empty if unknown.
  InstanceId AnnouncedLeader() const;

  // Returns the members of the group that other processes can reach.
  std::vector<wire::ControlEntry> Group() const;

  // Returns the addresses of all instances that this one knows.
  std::map<InstanceId, Address> Known() const
  {
    return this->directory.Addresses();
  }

  std::size_t LinkCount() const { return this->links.size(); }

private:
  void UpdateTargets();

  net::IoTask& task;
  InstanceId self;
  caf::actor dialer;
  PeerDirectory directory;
  // Newest link last. An old one may still be open at this side.
  std::map<InstanceId, std::vector<caf::actor>> links;
  DialPlan plan;
  StreamSupportTracker streamSupport;
};

} // namespace lycheestand::control

#endif
