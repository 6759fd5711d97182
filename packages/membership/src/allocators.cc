#include <algorithm>
#include <lycheestand/membership.h>

namespace lycheestand::membership {

namespace {

// Routers that share an allocator. More would be a large part of the work of a
// router with a tenth of a core; fewer would split budgets into parts that do
// not cover large requests.
constexpr std::size_t kRoutersPerAllocator = 8;

// FNV-1a rather than std::hash, because all routers must compute the same value
// in every build.
std::uint64_t
Hash(const std::string& aFirst, const std::string& aSecond)
{
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  auto add = [&hash](unsigned char aByte) {
    hash = (hash ^ aByte) * 0x100000001b3ULL;
  };
  std::for_each(aFirst.begin(), aFirst.end(), add);
  add(0);
  std::for_each(aSecond.begin(), aSecond.end(), add);
  hash ^= hash >> 32;
  hash *= 0x9E3779B97F4A7C15ULL;
  return hash ^ (hash >> 29);
}

} // namespace

Allocators::Allocators(const std::vector<Instance>& aInstances,
                       const std::set<std::string>& aControlHosts)
{
  for (const auto& entry : aInstances) {
    if (entry.alive && !entry.leaving && !entry.peerAddress.host.empty() &&
        !aControlHosts.contains(entry.peerAddress.host)) {
      this->zones[entry.zone].emplace_back(entry.instance, entry.peerAddress);
    }
  }
  for (auto& [zone, members] : this->zones) {
    std::size_t count =
      (members.size() + kRoutersPerAllocator - 1) / kRoutersPerAllocator;
    std::sort(members.begin(),
              members.end(),
              [](const auto& aLeft, const auto& aRight) {
                return Hash("", aLeft.first.Get()) >
                       Hash("", aRight.first.Get());
              });
    members.resize(count);
  }
}

std::optional<InstanceId>
Allocators::Find(const ZoneId& aZone, const WorkspaceId& aWorkspace) const
{
  auto found = this->zones.find(aZone);
  if (found == this->zones.end()) {
    return std::nullopt;
  }
  auto rank = [&](const auto& aMember) {
    return Hash(aWorkspace.Get(), aMember.first.Get());
  };
  return std::max_element(found->second.begin(),
                          found->second.end(),
                          [&](const auto& aLeft, const auto& aRight) {
                            return rank(aLeft) < rank(aRight);
                          })
    ->first;
}

std::vector<ZoneId>
Allocators::Zones() const
{
  std::vector<ZoneId> out;
  for (const auto& [zone, members] : this->zones) {
    out.push_back(zone);
  }
  return out;
}

std::vector<std::pair<InstanceId, Address>>
Allocators::InZone(const ZoneId& aZone) const
{
  auto found = this->zones.find(aZone);
  return found == this->zones.end()
           ? std::vector<std::pair<InstanceId, Address>>{}
           : found->second;
}

} // namespace lycheestand::membership
