#include "dial_plan.h"

namespace lycheestand::control {

namespace {

constexpr Duration kRedialDelay = std::chrono::milliseconds(100);

// Time without a link after which the member with the higher id opens it.
constexpr Duration kTakeoverDelay = std::chrono::milliseconds(1000);

} // namespace

DialPlan::DialPlan(InstanceId aSelf)
  : self(std::move(aSelf))
{
}

void
DialPlan::SetTargets(std::map<InstanceId, Address> aTargets)
{
  this->targets = std::move(aTargets);
  this->targets.erase(this->self);
}

void
DialPlan::LinkUp(const InstanceId& aInstance)
{
  ++this->peers[aInstance].links;
}

void
DialPlan::LinkDown(const InstanceId& aInstance, TimePoint aNow)
{
  Peer& peer = this->peers[aInstance];
  --peer.links;
  peer.lastChange = aNow;
}

void
DialPlan::DialEnded(const InstanceId& aInstance, TimePoint aNow)
{
  Peer& peer = this->peers[aInstance];
  peer.isDialing = false;
  peer.lastChange = aNow;
}

std::vector<std::pair<InstanceId, Address>>
DialPlan::TakeDue(TimePoint aNow, bool aIsMember)
{
  std::vector<std::pair<InstanceId, Address>> due;
  for (const auto& [instance, address] : this->targets) {
    auto [found, isNew] = this->peers.try_emplace(instance);
    Peer& peer = found->second;
    if (isNew) {
      peer.lastChange = aNow - kRedialDelay;
    }
    bool isOwnTurn = !aIsMember || this->self < instance;
    auto delay = isOwnTurn ? kRedialDelay : kTakeoverDelay;
    if (peer.links == 0 && !peer.isDialing && aNow - peer.lastChange >= delay) {
      peer.isDialing = true;
      due.emplace_back(instance, address);
    }
  }
  return due;
}

} // namespace lycheestand::control
