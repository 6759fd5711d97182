#include <lycheestand/streams.h>

namespace lycheestand::streams {

namespace {

bool
NeedsAdmission(const membership::Endpoint& aEndpoint)
{
  return aEndpoint.isService && !aEndpoint.version.Get().empty();
}

Versions
FindListed(const std::vector<membership::Endpoint>& aEndpoints)
{
  Versions listed;
  for (const auto& endpoint : aEndpoints) {
    if (NeedsAdmission(endpoint)) {
      listed[ServiceName(endpoint.serves)].insert(endpoint.version);
    }
  }
  return listed;
}

} // namespace

std::vector<ServiceName>
FindMixedServices(const Versions& aVersions)
{
  std::vector<ServiceName> services;
  for (const auto& [service, versions] : aVersions) {
    if (versions.size() > 1) {
      services.push_back(service);
    }
  }
  return services;
}

bool
NeedsRecord(const Versions& aAdmitted,
            const ServiceName& aService,
            const SoftwareVersion& aVersion)
{
  auto found = aAdmitted.find(aService);
  return found != aAdmitted.end() &&
         (found->second.size() > 1 || !found->second.contains(aVersion));
}

void
VersionTracker::Clear()
{
  this->admitted.clear();
  this->retiring.clear();
  this->missingSince.clear();
}

void
VersionTracker::SetAdmitted(Versions aVersions)
{
  this->admitted = std::move(aVersions);
  std::erase_if(this->retiring, [this](const auto& aVersion) {
    auto found = this->admitted.find(aVersion.first);
    return found == this->admitted.end() ||
           !found->second.contains(aVersion.second);
  });
}

void
VersionTracker::BeginRetirement(const ServiceName& aService,
                                const SoftwareVersion& aVersion)
{
  this->retiring.emplace(aService, aVersion);
}

// Routers may have had endpoints of a version in their view until the first
// reading without it, however long ago the reading before that was.
VersionChanges
VersionTracker::Read(const std::vector<membership::Endpoint>& aEndpoints,
                     TimePoint aNow)
{
  VersionChanges changes;
  Versions listed = FindListed(aEndpoints);
  for (const auto& [service, versions] : listed) {
    auto found = this->admitted.find(service);
    std::size_t count =
      found == this->admitted.end() ? 0 : found->second.size();
    for (const auto& version : versions) {
      if (!this->IsAdmitted(service, version)) {
        bool isExcluded = ++count > this->maxVersions;
        auto& change = isExcluded ? changes.excluded : changes.toAdmit;
        change[service].insert(version);
      }
    }
  }
  decltype(this->missingSince) missing;
  for (const auto& [service, versions] : this->admitted) {
    for (const auto& version : versions) {
      auto found = listed.find(service);
      if (found != listed.end() && found->second.contains(version)) {
        continue;
      }
      std::pair key(service, version);
      auto known = this->missingSince.find(key);
      TimePoint since =
        known == this->missingSince.end() ? aNow : known->second;
      missing.emplace(key, since);
      if (aNow - since >= kRetireAfter) {
        changes.toRetire[service].insert(version);
      }
    }
  }
  this->missingSince = std::move(missing);
  return changes;
}

std::vector<membership::Endpoint>
VersionTracker::SelectAdmitted(
  const std::vector<membership::Endpoint>& aEndpoints) const
{
  std::vector<membership::Endpoint> selected;
  for (const auto& endpoint : aEndpoints) {
    if (!NeedsAdmission(endpoint) ||
        this->IsAdmitted(ServiceName(endpoint.serves), endpoint.version)) {
      selected.push_back(endpoint);
    }
  }
  return selected;
}

bool
VersionTracker::IsAdmitted(const ServiceName& aService,
                           const SoftwareVersion& aVersion) const
{
  auto found = this->admitted.find(aService);
  return found != this->admitted.end() && found->second.contains(aVersion) &&
         !this->retiring.contains({ aService, aVersion });
}

} // namespace lycheestand::streams
