#include "snapshot_history.h"

#include <algorithm>

namespace lycheestand::control {

void
SnapshotHistory::Add(Revision aRevision,
                     std::shared_ptr<const std::string> aDocument)
{
  this->kept.push_back({ aRevision, std::move(aDocument) });
  this->patches.clear();
  if (this->kept.size() > kKept) {
    this->kept.pop_front();
  }
}

Revision
SnapshotHistory::Current() const
{
  return this->kept.empty() ? Revision(0) : this->kept.back().revision;
}

// Most routers have the revision before the newest, so a patch is made once and
// sent to all of them.
wire::ConfigPush
SnapshotHistory::MakePush(Revision aFrom)
{
  const Kept& newest = this->kept.back();
  auto from = std::find_if(
    this->kept.begin(), this->kept.end(), [aFrom](const Kept& aKept) {
      return aKept.revision == aFrom;
    });
  if (from == this->kept.end()) {
    return { newest.revision, Revision(0), *newest.document };
  }
  auto [patch, isNew] = this->patches.try_emplace(aFrom);
  if (isNew) {
    patch->second =
      settings::MakeSnapshotPatch(*from->document, *newest.document);
  }
  return { newest.revision, aFrom, patch->second };
}

} // namespace lycheestand::control
