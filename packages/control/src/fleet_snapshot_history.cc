#include "fleet_snapshot_history.h"

#include <algorithm>

namespace lycheestand::control {

void
FleetSnapshotHistory::Add(Revision aRevision,
                          std::shared_ptr<const std::string> aDocument)
{
  this->snapshots.push_back({ aRevision, std::move(aDocument) });
  this->patches.clear();
  if (this->snapshots.size() > kMaxSnapshots) {
    this->snapshots.pop_front();
  }
}

Revision
FleetSnapshotHistory::Current() const
{
  return this->snapshots.empty() ? Revision(0)
                                 : this->snapshots.back().revision;
}

// Patches are cached: most routers have the second latest revision, and get the
// same patch.
wire::ConfigPush
FleetSnapshotHistory::MakePush(Revision aFrom, bool aAcceptsPatches)
{
  const Snapshot& newest = this->snapshots.back();
  auto from = std::find_if(
    this->snapshots.begin(),
    this->snapshots.end(),
    [aFrom](const Snapshot& aSnapshot) { return aSnapshot.revision == aFrom; });
  if (!aAcceptsPatches) {
    return { newest.revision, Revision(0), *newest.document, "" };
  }
  bool isKnown = from != this->snapshots.end();
  Revision base = isKnown ? aFrom : Revision(0);
  auto [patch, isNew] = this->patches.try_emplace(base);
  if (isNew) {
    patch->second = settings::MakeSnapshotPatch(
      isKnown ? *from->document : std::string_view(), *newest.document);
  }
  return { newest.revision, base, "", patch->second };
}

} // namespace lycheestand::control
