#ifndef LYCHEESTAND_CONTROL_SRC_VERSION_GATE_H
#define LYCHEESTAND_CONTROL_SRC_VERSION_GATE_H

#include "stream_support.h"

namespace lycheestand::control {

// How a reading of the platform's list is passed on.
enum class Delivery
{
  // Not yet.
  Wait,
  // All endpoints, with their versions removed.
  Unversioned,
  // The endpoints whose versions are admitted.
  Versioned
};

// Keeps a leader from committing commands about streams while a member of the
// control group may be of an earlier build, which stops at them.
class VersionGate
{
public:
  // Maximum time for which endpoints are held back, or passed on without
  // versions, until all versions of the list are admitted. Shorter than the
  // time for which the fleet controller waits for the list.
  static constexpr Duration kMaxAdmissionWait = std::chrono::seconds(4);

  // This instance has become the leader.
  void Reset(TimePoint aNow);

  // aHasVersions: the replicated state has a version of software.
  void Update(StreamSupport aSupport, bool aHasVersions);

  // Returns whether commands about streams may be proposed.
  bool IsOpen() const;

  // Decides how a reading is passed on. aIsIncomplete: versions in it are not
  // admitted.
  Delivery Decide(bool aIsIncomplete, TimePoint aNow);

  bool HasDelivered() const { return this->delivered != Delivery::Wait; }

private:
  Delivery DecideIncomplete(bool aMayWait) const;

  StreamSupport support = StreamSupport::Unknown;
  bool hasVersions = false;
  TimePoint waitingSince{};
  // How the last reading was passed on.
  Delivery delivered = Delivery::Wait;
};

} // namespace lycheestand::control

#endif
