#include "simulated_disk.h"

#include <algorithm>
#include <cerrno>

namespace lycheestand::storage {

namespace {

constexpr std::size_t kSectorBytes = 512;

} // namespace

FileHooks
SimulatedDisk::Hooks()
{
  FileHooks hooks;
  hooks.openAppend = [this](const std::string& aPath) {
    auto& file = this->names[NameOf(aPath)];
    if (!file) {
      file = std::make_shared<File>();
      this->unsyncedNames.push_back(
        { NameChange::Kind::Create, NameOf(aPath), "", file });
    }
    return this->Open(file);
  };
  hooks.openRead = [this](const std::string& aPath) {
    auto found = this->names.find(NameOf(aPath));
    return this->Open(found == this->names.end() ? nullptr : found->second);
  };
  hooks.write = [this](int aFile, std::string_view aBytes) -> std::int64_t {
    auto file = this->open.at(aFile);
    Change change{ file->bytes.size(), std::string(aBytes) };
    Apply(file->bytes, change);
    file->unsynced.push_back(std::move(change));
    this->CountOperation();
    return static_cast<std::int64_t>(aBytes.size());
  };
  hooks.sync = [this](int aFile) {
    this->CountOperation();
    if (auto file = this->open.at(aFile)) {
      this->SyncFile(file);
    } else {
      this->unsyncedNames.clear();
      this->syncedNames = this->names;
    }
    return 0;
  };
  hooks.close = [this](int aFile) { this->open.erase(aFile); };
  hooks.lock = [](int) { return 0; };
  hooks.rename = [this](const std::string& aFrom, const std::string& aTo) {
    NameChange change{
      NameChange::Kind::Rename, NameOf(aFrom), NameOf(aTo), nullptr
    };
    Apply(this->names, change);
    this->unsyncedNames.push_back(std::move(change));
    this->CountOperation();
    return 0;
  };
  hooks.truncate = [this](const std::string& aPath, std::uint64_t aBytes) {
    auto file = this->names.at(NameOf(aPath));
    Change change{ static_cast<std::size_t>(aBytes), "", true };
    Apply(file->bytes, change);
    file->unsynced.push_back(std::move(change));
    this->CountOperation();
    return 0;
  };
  hooks.remove = [this](const std::string& aPath) {
    if (this->names.erase(NameOf(aPath)) == 0) {
      return -ENOENT;
    }
    this->unsyncedNames.push_back(
      { NameChange::Kind::Remove, NameOf(aPath), "", nullptr });
    this->CountOperation();
    return 0;
  };
  hooks.makeFolder = [](const std::string&) { return 0; };
  hooks.readAll = [this](const std::string& aPath, std::string& aBytes) {
    auto found = this->names.find(NameOf(aPath));
    if (found == this->names.end()) {
      return -ENOENT;
    }
    aBytes = found->second->bytes;
    return 0;
  };
  hooks.list = [this](const std::string&, std::vector<std::string>& aNames) {
    for (const auto& [name, file] : this->names) {
      aNames.push_back(name);
    }
    return 0;
  };
  return hooks;
}

void
SimulatedDisk::CloseAll()
{
  this->open.clear();
  this->operationsLeft = -1;
}

void
SimulatedDisk::LosePower()
{
  this->CloseAll();
  for (const auto& change : this->unsyncedNames) {
    if (this->TossCoin()) {
      Apply(this->syncedNames, change);
    }
  }
  this->unsyncedNames.clear();
  this->names = this->syncedNames;
  for (auto& [name, file] : this->names) {
    this->LoseWrites(*file);
  }
}

std::string
SimulatedDisk::NameOf(const std::string& aPath)
{
  return aPath.substr(aPath.rfind('/') + 1);
}

void
SimulatedDisk::Apply(std::string& aBytes, const Change& aChange)
{
  if (aChange.isTruncation) {
    aBytes.resize(aChange.offset);
    return;
  }
  aBytes.resize(std::max(aBytes.size(), aChange.offset + aChange.bytes.size()));
  aBytes.replace(aChange.offset, aChange.bytes.size(), aChange.bytes);
}

void
SimulatedDisk::Apply(Names& aNames, const NameChange& aChange)
{
  switch (aChange.kind) {
    case NameChange::Kind::Create:
      aNames[aChange.name] = aChange.file;
      break;
    case NameChange::Kind::Rename: {
      auto moved = aNames.extract(aChange.name);
      if (!moved.empty()) {
        aNames[aChange.newName] = moved.mapped();
      }
      break;
    }
    case NameChange::Kind::Remove:
      aNames.erase(aChange.name);
      break;
  }
}

int
SimulatedDisk::Open(FilePtr aFile)
{
  this->open[this->nextDescriptor] = std::move(aFile);
  return this->nextDescriptor++;
}

void
SimulatedDisk::CountOperation()
{
  if (this->operationsLeft > 0 && --this->operationsLeft == 0) {
    throw ProcessKilled();
  }
}

void
SimulatedDisk::SyncFile(const FilePtr& aFile)
{
  aFile->syncedBytes = aFile->bytes;
  aFile->unsynced.clear();
  auto created = std::find_if(
    this->unsyncedNames.begin(),
    this->unsyncedNames.end(),
    [&aFile](const NameChange& aChange) { return aChange.file == aFile; });
  if (created != this->unsyncedNames.end()) {
    Apply(this->syncedNames, *created);
    this->unsyncedNames.erase(created);
  }
}

void
SimulatedDisk::LoseWrites(File& aFile)
{
  std::string left = aFile.syncedBytes;
  for (const auto& change : aFile.unsynced) {
    switch (this->random() % 3) {
      case 0:
        Apply(left, change);
        break;
      case 1:
        this->ApplySectors(left, change);
        break;
      default:
        break;
    }
  }
  aFile = { left, left, {} };
}

// Applies a random part of the sectors of a write.
void
SimulatedDisk::ApplySectors(std::string& aBytes, const Change& aChange)
{
  std::size_t done = 0;
  while (done < aChange.bytes.size()) {
    std::size_t start = aChange.offset + done;
    std::size_t size = std::min(kSectorBytes - start % kSectorBytes,
                                aChange.bytes.size() - done);
    if (this->TossCoin()) {
      Apply(aBytes, { start, aChange.bytes.substr(done, size) });
    }
    done += size;
  }
}

} // namespace lycheestand::storage
