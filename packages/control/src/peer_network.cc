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
  , announcementTimeout(aSettings.heartbeatInterval * kAnnouncementKeepAlives)
  , dialer(std::move(aDialer))
  , plan(aSettings.instance)
{
  for (const auto& member : aSettings.control) {
    this->configured[member.instance] = member.peer;
  }
  this->UpdateTargets();
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
    return open.size() == 1 ? Change::Connected : Change::None;
  }
  if (std::erase(open, aLink.task) > 0) {
    this->plan.LinkDown(aLink.instance, now);
  }
  if (!open.empty()) {
    return Change::None;
  }
  this->links.erase(aLink.instance);
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
  std::string announcement =
    this->members.voters.empty()
      ? plain
      : wire::Encode(MakeAnnouncement(this->self, aLeader, this->members));
  for (const auto& [instance, open] : this->links) {
    const auto& body = this->members.Find(instance) ? plain : announcement;
    for (const auto& link : open) {
      this->task.send(link, net::LinkSend{ body });
    }
  }
}

void
PeerNetwork::OpenLinks()
{
  bool isMember = this->members.Find(this->self).has_value();
  for (auto& [instance, address] :
       this->plan.TakeDue(net::Now(this->task.GetRuntime()), isMember)) {
    this->task.send(this->dialer, DialPeer{ instance, address });
  }
}

void
PeerNetwork::SetMembers(const consensus::Configuration& aMembers)
{
  this->members = aMembers;
  this->UpdateTargets();
}

void
PeerNetwork::HandleKeepAlive(const wire::Replication& aMessage)
{
  auto announced = ReadAnnouncement(aMessage);
  if (!announced) {
    return;
  }
  if (!aMessage.leader.Get().empty()) {
    this->announcedLeader = aMessage.leader;
    this->announcedAt = net::Now(this->task.GetRuntime());
  }
  if (*announced != this->announcedMembers) {
    this->announcedMembers = std::move(*announced);
    this->UpdateTargets();
  }
}

InstanceId
PeerNetwork::AnnouncedLeader() const
{
  auto age = net::Now(this->task.GetRuntime()) - this->announcedAt;
  return age < this->announcementTimeout ? this->announcedLeader : InstanceId();
}

// The addresses in the settings go first: this instance may reach others by
// addresses that only it uses.
void
PeerNetwork::UpdateTargets()
{
  auto targets = this->configured;
  for (const auto* known : { &this->members, &this->announcedMembers }) {
    for (const auto& [instance, location] : known->locations) {
      targets.emplace(instance, location.address);
    }
  }
  this->plan.SetTargets(std::move(targets));
}

std::vector<wire::ControlEntry>
PeerNetwork::Group() const
{
  const auto& group =
    this->members.Find(this->self) ? this->members : this->announcedMembers;
  std::vector<wire::ControlEntry> out;
  for (const auto& [instance, location] : group.locations) {
    out.push_back({ instance, location.address });
  }
  return out;
}

} // namespace lycheestand::control
