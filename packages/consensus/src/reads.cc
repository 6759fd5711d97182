#include <lycheestand/consensus.h>

// Linearizable reads: a read is confirmed when a quorum has replied to a round
// of heartbeats that started after the read arrived. This shows that no other
// leader had been elected when the round started.

namespace lycheestand::consensus {

Effects
Node::Read(ReadId aRead)
{
  if (this->role != Role::Leader) {
    this->effects.failedReads.push_back(aRead);
    return this->TakeEffects();
  }
  this->queuedReads.push_back(aRead);
  this->StartReadRound();
  return this->TakeEffects();
}

bool
Node::HasCommittedInTerm() const
{
  return this->commit >= this->firstIndexOfTerm;
}

// Reads that arrive during a round share the next one. A new leader knows the
// commit index only once an entry of its own term is committed.
void
Node::StartReadRound()
{
  if (this->isRoundOpen || this->queuedReads.empty() ||
      !this->HasCommittedInTerm()) {
    return;
  }
  ++this->round;
  this->isRoundOpen = true;
  this->roundReads = std::move(this->queuedReads);
  this->queuedReads.clear();
  for (const auto& [member, peer] : this->progress) {
    this->SendNow(
      member,
      HeartbeatRequest{ this->round, std::min(this->commit, peer.match) });
  }
  this->CompleteReads();
}

void
Node::CompleteReads()
{
  if (!this->isRoundOpen) {
    return;
  }
  std::set<Member> acked{ this->self };
  for (const auto& [member, peer] : this->progress) {
    if (peer.ackedRound >= this->round) {
      acked.insert(member);
    }
  }
  if (!this->IsQuorum(acked)) {
    return;
  }
  this->isRoundOpen = false;
  this->effects.confirmedReads.insert(this->effects.confirmedReads.end(),
                                      this->roundReads.begin(),
                                      this->roundReads.end());
  this->roundReads.clear();
  this->StartReadRound();
}

void
Node::FailReads()
{
  for (auto* reads : { &this->roundReads, &this->queuedReads }) {
    this->effects.failedReads.insert(
      this->effects.failedReads.end(), reads->begin(), reads->end());
    reads->clear();
  }
  this->isRoundOpen = false;
}

} // namespace lycheestand::consensus
