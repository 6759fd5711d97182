#ifndef LYCHEESTAND_CONTROL_SRC_SNAPSHOT_HISTORY_H
#define LYCHEESTAND_CONTROL_SRC_SNAPSHOT_HISTORY_H

#include "messages.h"

#include <deque>
#include <map>

namespace lycheestand::control {

// Keeps recent snapshots of what routers must have in force, and makes the
// smallest push for a router that has one of them.
class SnapshotHistory
{
public:
  // Snapshots kept; a router that is further behind gets the whole newest one.
  static constexpr std::size_t kKept = 64;

  void Add(Revision aRevision, std::shared_ptr<const std::string> aDocument);

  Revision Current() const;

  // Returns the push for a router that has a revision, 0 for none. There must
  // be a snapshot.
  wire::ConfigPush MakePush(Revision aFrom);

private:
  struct Kept
  {
    Revision revision;
    std::shared_ptr<const std::string> document;
  };

  std::deque<Kept> kept;
  // Patches to the newest snapshot, by the revision that they start from.
  std::map<Revision, std::string> patches;
};

} // namespace lycheestand::control

#endif
