#include <lycheestand/state.h>

namespace lycheestand::state {

// Numbers are reused, so that they fit into the few bytes of a record.
StreamRegister::VersionNumber
StreamRegister::Service::FreeNumber() const
{
  std::set<VersionNumber> used{ kAmbiguous };
  for (const auto& [version, number] : this->versions) {
    used.insert(number);
  }
  VersionNumber free = 0;
  while (used.contains(free)) {
    ++free;
  }
  return free;
}

const StreamRegister::VersionNumber*
StreamRegister::Service::FindRecord(StreamId aStream) const
{
  for (const Records* records : { &this->current, &this->older }) {
    auto found = records->find(aStream);
    if (found != records->end()) {
      return &found->second;
    }
  }
  return nullptr;
}

void
StreamRegister::Service::MakeAmbiguous(VersionNumber aNumber)
{
  for (Records* records : { &this->current, &this->older }) {
    for (auto& [stream, number] : *records) {
      if (number == aNumber) {
        number = kAmbiguous;
      }
    }
  }
}

bool
StreamRegister::Service::IsEmpty() const
{
  return this->versions.empty() && this->current.empty() && this->older.empty();
}

bool
StreamRegister::Admit(const AdmitVersion& aCommand)
{
  if (aCommand.version.Get().empty()) {
    return true;
  }
  Service& service = this->services[aCommand.service];
  if (service.versions.contains(aCommand.version)) {
    return true;
  }
  if (service.versions.size() >= kMaxVersions) {
    return false;
  }
  service.versions[aCommand.version] = service.FreeNumber();
  ++this->versionChanges;
  return true;
}

// A router that was out of contact may have begun a stream at the version just
// now. Its record is kept, so that the stream is not taken for one of the
// versions that are left.
void
StreamRegister::Retire(const RetireVersion& aCommand)
{
  auto service = this->services.find(aCommand.service);
  if (service == this->services.end()) {
    return;
  }
  auto& versions = service->second.versions;
  auto retired = versions.find(aCommand.version);
  if (retired == versions.end()) {
    return;
  }
  ++this->versionChanges;
  service->second.MakeAmbiguous(retired->second);
  versions.erase(retired);
  if (service->second.IsEmpty()) {
    this->services.erase(service);
  }
}

StreamsRecorded
StreamRegister::Record(const RecordStreams& aCommand)
{
  StreamsRecorded result;
  std::size_t used = 0;
  for (const auto& [name, service] : this->services) {
    used += service.current.size();
  }
  std::size_t free = kMaxRecords - used;
  for (const auto& batch : aCommand.batches) {
    auto found = this->services.find(batch.service);
    if (found == this->services.end()) {
      continue;
    }
    const auto& versions = found->second.versions;
    auto version = versions.find(batch.version);
    bool isAdmitted = version != versions.end();
    if (isAdmitted && versions.size() < 2) {
      continue;
    }
    VersionNumber number = isAdmitted ? version->second : kAmbiguous;
    for (StreamId stream : batch.streams) {
      RecordStream(found->second, stream, number, free, result);
    }
  }
  result.total = this->RecordCount();
  return result;
}

// A repeated record moves to the current generation, so that it lives as long
// as a new one. If that generation is full, it stays in the older one.
void
StreamRegister::RecordStream(Service& aService,
                             StreamId aStream,
                             VersionNumber aNumber,
                             std::size_t& aFree,
                             StreamsRecorded& aResult)
{
  auto current = aService.current.find(aStream);
  if (current != aService.current.end()) {
    if (current->second != aNumber) {
      current->second = kAmbiguous;
    }
    return;
  }
  auto older = aService.older.find(aStream);
  bool isNew = older == aService.older.end();
  if (!isNew && older->second != aNumber) {
    older->second = kAmbiguous;
  }
  if (aFree == 0) {
    aResult.dropped += isNew ? 1 : 0;
    return;
  }
  --aFree;
  aResult.added += isNew ? 1 : 0;
  aService.current.emplace(aStream, isNew ? aNumber : older->second);
  if (!isNew) {
    aService.older.erase(older);
  }
}

StreamsRecorded
StreamRegister::Age()
{
  for (auto& [name, service] : this->services) {
    service.older = std::move(service.current);
    service.current = {};
  }
  std::erase_if(this->services,
                [](const auto& aService) { return aService.second.IsEmpty(); });
  StreamsRecorded result;
  result.total = this->RecordCount();
  return result;
}

std::optional<SoftwareVersion>
StreamRegister::Find(const ServiceName& aService,
                     const std::optional<StreamId>& aStream) const
{
  auto found = this->services.find(aService);
  if (found == this->services.end()) {
    return SoftwareVersion();
  }
  const Service& service = found->second;
  const VersionNumber* record =
    aStream ? service.FindRecord(*aStream) : nullptr;
  if (record == nullptr) {
    if (service.versions.empty()) {
      return SoftwareVersion();
    }
    return service.versions.size() == 1
             ? std::optional(service.versions.begin()->first)
             : std::nullopt;
  }
  for (const auto& [version, number] : service.versions) {
    if (number == *record) {
      return version;
    }
  }
  return std::nullopt;
}

StreamRegister::Versions
StreamRegister::AllVersions() const
{
  Versions all;
  for (const auto& [name, service] : this->services) {
    for (const auto& [version, number] : service.versions) {
      all[name].insert(version);
    }
  }
  return all;
}

std::size_t
StreamRegister::RecordCount() const
{
  std::size_t count = 0;
  for (const auto& [name, service] : this->services) {
    count += service.current.size() + service.older.size();
  }
  return count;
}

} // namespace lycheestand::state
