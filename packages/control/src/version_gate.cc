#include "version_gate.h"

namespace lycheestand::control {

void
VersionGate::Reset(TimePoint aNow)
{
  *this = {};
  this->waitingSince = aNow;
}

void
VersionGate::Update(StreamSupport aSupport, bool aHasVersions)
{
  this->support = aSupport;
  this->hasVersions = aHasVersions;
}

// If the replicated state has a version, all members apply such a command
// anyway.
bool
VersionGate::IsOpen() const
{
  return this->hasVersions || this->support == StreamSupport::Complete;
}

Delivery
VersionGate::Decide(bool aIsIncomplete, TimePoint aNow)
{
  bool mayWait = aNow - this->waitingSince < kMaxAdmissionWait;
  auto decided =
    aIsIncomplete ? this->DecideIncomplete(mayWait) : Delivery::Versioned;
  if (decided == Delivery::Unversioned && !this->hasVersions) {
    this->waitingSince = aNow;
  }
  if (decided != Delivery::Wait) {
    this->delivered = decided;
  }
  return decided;
}

// Routers that have the endpoints without versions keep them until the
// versions are admitted: they would have none in between.
Delivery
VersionGate::DecideIncomplete(bool aMayWait) const
{
  if (!this->hasVersions && this->support == StreamSupport::Missing) {
    return Delivery::Unversioned;
  }
  if (this->delivered == Delivery::Wait && aMayWait) {
    return Delivery::Wait;
  }
  if (!this->IsOpen()) {
    return Delivery::Unversioned;
  }
  bool isOpening = this->delivered == Delivery::Unversioned &&
                   (!this->hasVersions || aMayWait);
  return isOpening ? Delivery::Unversioned : Delivery::Versioned;
}

} // namespace lycheestand::control
