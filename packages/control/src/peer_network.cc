#include "peer_network.h"

namespace lycheestand::control {

namespace {

// Keep-alives without one that tells of a leader, after which the last one that
// did is no longer believed.
constexpr int kAnnouncementKeepAlives = 4;

} // namespace

PeerNetwork::PeerNetwork(net::IoTask& aTask,
                         const settings::ProcessSettings& aSettings,
                         caf::actor aDialer)
  : task(aTask)
  , self(aSettings.instance)
  , dialer(std::move(aDialer))
  , directory(aSettings.instance,
              aSettings.heartbeatInterval * kAnnouncementKeepAlives)
  , plan(aSettings.instance)
  , streamSupport(aSettings.instance, net::Now(aTask.GetRuntime()))
{
  this->SetConfigured(aSettings.control);
}

PeerNetwork::Change
PeerNetwork::HandleLink(const PeerLink& aLink)
{
  auto now = net::Now(this->task.GetRuntime());
  if (aLink.isOutgoing && !aLink.isUp) {
    this->plan.DialEnded(aLink.instance, now);
  }
  if (aLink.task == nullptr) {
    return Change::None;
  }
  auto& open = this->links[aLink.instance];
  if (aLink.isUp) {
    open.push_back(aLink.task);
    this->plan.LinkUp(aLink.instance);
    this->streamSupport.LinkUp(aLink.instance);
    return open.size() == 1 ? Change::Connected : Change::None;
  }
  if (std::erase(open, aLink.task) > 0) {
    this->plan.LinkDown(aLink.instance, now);
  }
  if (!open.empty()) {
    return Change::None;
  }
  this->links.erase(aLink.instance);
  this->directory.Forget(aLink.instance);
  this->streamSupport.ContactLost(aLink.instance, now);
  this->UpdateTargets();
  return Change::Disconnected;
}

void
PeerNetwork::Send(const InstanceId& aTo, const wire::Replication& aMessage)
{
  auto found = this->links.find(aTo);
  if (found != this->links.end()) {
    this->task.send(found->second.back(),
                    net::LinkSend{ wire::Encode(aMessage) });
  }
}

void
PeerNetwork::SendKeepAlives(const InstanceId& aLeader)
{
  std::string plain = wire::Encode(MakeKeepAlive(this->self));
  std::string announcement = plain;
  auto announced = this->directory.Announce(aLeader);
  if (announced) {
    announcement = wire::Encode(MakeAnnouncement(this->self, *announced));
  }
  for (const auto& [instance, open] : this->links) {
    bool isMember = announced && announced->members.Find(instance);
    const auto& body = isMember ? plain : announcement;
    for (const auto& link : open) {
      this->task.send(link, net::LinkSend{ body });
    }
  }
}

void
PeerNetwork::OpenLinks()
{
  for (auto& [instance, address] : this->plan.TakeDue(
         net::Now(this->task.GetRuntime()), this->directory.IsMember())) {
    this->task.send(this->dialer, DialPeer{ instance, address });
  }
}

void
PeerNetwork::SetConfigured(const std::vector<settings::ControlMember>& aControl)
{
  std::map<InstanceId, Address> configured;
  for (const auto& member : aControl) {
    configured[member.instance] = member.peer;
  }
  this->directory.SetConfigured(std::move(configured));
  this->UpdateTargets();
}

void
PeerNetwork::SetMembers(const consensus::Configuration& aMembers)
{
  this->directory.SetMembers(aMembers);
  this->UpdateTargets();
}

// A message that was on its way when the link closed is ignored; Forget would
// not run for it.
void
PeerNetwork::HandleMessage(const InstanceId& aFrom,
                           const wire::Replication& aMessage)
{
  if (!this->links.contains(aFrom)) {
    return;
  }
  this->streamSupport.Record(aFrom, aMessage.appliesStreamCommands);
  auto announced = ReadAnnouncement(aMessage);
  if (announced) {
    this->directory.Record(
      aFrom, *announced, net::Now(this->task.GetRuntime()));
    this->UpdateTargets();
  }
}

StreamSupport
PeerNetwork::FindStreamSupport(const consensus::Configuration& aMembers) const
{
  return this->streamSupport.Find(aMembers, net::Now(this->task.GetRuntime()));
}

InstanceId
PeerNetwork::AnnouncedLeader() const
{
  return this->directory.AnnouncedLeader(net::Now(this->task.GetRuntime()));
}

void
PeerNetwork::UpdateTargets()
{
  this->plan.SetTargets(this->directory.Addresses());
}

std::vector<wire::ControlEntry>
PeerNetwork::Group() const
{
  std::vector<wire::ControlEntry> out;
  for (const auto& [instance, location] : this->directory.Group().locations) {
    out.push_back({ instance, location.address });
  }
  return out;
}

} // namespace lycheestand::control
