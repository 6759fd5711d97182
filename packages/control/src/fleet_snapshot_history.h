#ifndef LYCHEESTAND_CONTROL_SRC_FLEET_SNAPSHOT_HISTORY_H
#define LYCHEESTAND_CONTROL_SRC_FLEET_SNAPSHOT_HISTORY_H

#include "messages.h"

#include <deque>
#include <map>

namespace lycheestand::control {

// Stores the latest fleet snapshots, so that a router which has one of them can
// be sent only the changes.
class FleetSnapshotHistory
{
public:
  // A router that is further behind gets the whole snapshot.
  static constexpr std::size_t kMaxSnapshots = 64;

  void Add(Revision aRevision, std::shared_ptr<const std::string> aDocument);

  // Returns the latest revision, or 0 if there is none.
  Revision Current() const;

  // Returns the push for a router that has revision aFrom, or 0 for none. At
  // least one snapshot must have been added.
  wire::ConfigPush MakePush(Revision aFrom, bool aAcceptsPatches);

private:
  struct Snapshot
  {
    Revision revision;
    std::shared_ptr<const std::string> document;
  };

  std::deque<Snapshot> snapshots;
  // Patches to the latest snapshot, by the revision that they apply to; 0 for
  // an empty text.
  std::map<Revision, std::string> patches;
};

} // namespace lycheestand::control

#endif
