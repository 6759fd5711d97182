#include <lycheestand/consensus.h>

// Reads that a quorum confirms: a round of heartbeats that started after the
// read arrived shows that no other leader had been elected by then.

namespace lycheestand::consensus {

Effects
Node::Read(ReadId aRead)
{
  if (this->role != Role::Leader) {
    this->effects.failed.push_back(aRead);
    return this->Finish();
  }
  this->waitingReads.push_back(aRead);
  this->StartReadRound();
  return this->Finish();
}

bool
Node::HasCommittedInTerm() const
{
  return this->commit >= this->firstOfTerm;
}

// Reads that arrive while a round is open share the next one. A new leader
// knows what is committed only once an entry of its own term is.
void
Node::StartReadRound()
{
  if (this->isRoundOpen || this->waitingReads.empty() ||
      !this->HasCommittedInTerm()) {
    return;
  }
  ++this->round;
  this->isRoundOpen = true;
  this->roundReads = std::move(this->waitingReads);
  this->waitingReads.clear();
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
  this->effects.confirmed.insert(this->effects.confirmed.end(),
                                 this->roundReads.begin(),
                                 this->roundReads.end());
  this->roundReads.clear();
  this->StartReadRound();
}

void
Node::FailReads()
{
  for (auto* reads : { &this->roundReads, &this->waitingReads }) {
    this->effects.failed.insert(
      this->effects.failed.end(), reads->begin(), reads->end());
    reads->clear();
  }
  this->isRoundOpen = false;
}

} // namespace lycheestand::consensus
