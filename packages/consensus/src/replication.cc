#include <algorithm>
#include <lycheestand/consensus.h>

// Log replication, and the advance of the commit index.

namespace lycheestand::consensus {

namespace {

// Returns the approximate size of an entry in a message, in bytes.
std::size_t
EstimateSize(const Entry& aEntry)
{
  constexpr std::size_t kEntryOverhead = 64;
  const auto* command = std::get_if<CommandBytes>(&aEntry.body);
  return kEntryOverhead + (command == nullptr ? 0 : command->bytes.size());
}

} // namespace

// ---------------------------------------------------------------- follower

void
Node::Handle(const Message& aMessage, const AppendRequest& aRequest)
{
  this->RecordLeaderContact(aMessage.from);
  // Entries before the first one in the log are committed, so they match.
  bool isKnown = aRequest.previousIndex.Get() + 1 < this->log.First().Get();
  if (!isKnown &&
      this->log.TermAt(aRequest.previousIndex) != aRequest.previousTerm) {
    this->SendNow(
      aMessage.from,
      AppendReply{ false, this->FindConflict(aRequest.previousIndex) });
    return;
  }
  this->MergeEntries(aRequest.entries);
  LogIndex lastMatch(aRequest.previousIndex.Get() + aRequest.entries.size());
  this->CommitTo(std::min(aRequest.commit, lastMatch));
  this->SendAfterPersist(aMessage.from, AppendReply{ true, lastMatch });
}

// Returns the previousIndex that the leader should try next.
LogIndex
Node::FindConflict(LogIndex aPrevious) const
{
  if (this->log.Last() < aPrevious) {
    return this->log.Last();
  }
  LogIndex index = aPrevious;
  auto term = this->log.TermAt(index);
  while (index > this->commit && index >= this->log.First() &&
         this->log.TermAt(index) == term) {
    index = LogIndex(index.Get() - 1);
  }
  return index;
}

void
Node::MergeEntries(const std::vector<Entry>& aEntries)
{
  for (const auto& entry : aEntries) {
    if (entry.index < this->log.First() ||
        this->log.TermAt(entry.index) == entry.term) {
      continue;
    }
    if (entry.index <= this->log.Last()) {
      this->TruncateLog(entry.index);
    }
    this->AppendToLog(entry);
  }
}

void
Node::CommitTo(LogIndex aIndex)
{
  this->commit = std::max(this->commit, std::min(aIndex, this->log.Last()));
}

void
Node::Handle(const Message& aMessage, const HeartbeatRequest& aRequest)
{
  this->RecordLeaderContact(aMessage.from);
  this->CommitTo(aRequest.commit);
  this->SendNow(aMessage.from, HeartbeatReply{ aRequest.round });
}

// ---------------------------------------------------------------- leader

Node::Progress*
Node::FindProgress(const Member& aMember)
{
  auto found = this->progress.find(aMember);
  return this->role == Role::Leader && found != this->progress.end()
           ? &found->second
           : nullptr;
}

void
Node::Handle(const Message& aMessage, const AppendReply& aReply)
{
  auto* peer = this->FindProgress(aMessage.from);
  if (peer == nullptr) {
    return;
  }
  peer->lastContact = this->now;
  peer->isAwaitingReply = false;
  peer->hasRepliedSinceHeartbeat = true;
  if (aReply.accepted) {
    peer->match = std::max(peer->match, aReply.index);
    peer->next = LogIndex(peer->match.Get() + 1);
    if (peer->outgoingSnapshot &&
        peer->match >= peer->outgoingSnapshot->index) {
      peer->outgoingSnapshot.reset();
    }
    this->AdvanceCommit();
    this->ProposeNextConfiguration();
  } else if (aReply.index >= peer->match) {
    peer->next = LogIndex(std::min(aReply.index, this->log.Last()).Get() + 1);
  }
  // A membership change above may have removed the Progress of this member.
  if (auto* current = this->FindProgress(aMessage.from)) {
    this->SendAppend(aMessage.from, *current);
  }
}

void
Node::Handle(const Message& aMessage, const HeartbeatReply& aReply)
{
  if (auto* peer = this->FindProgress(aMessage.from)) {
    peer->lastContact = this->now;
    peer->ackedRound = std::max(peer->ackedRound, aReply.round);
    this->CompleteReads();
  }
}

AppendRequest
Node::MakeAppend(LogIndex aNext) const
{
  LogIndex previous(aNext.Get() - 1);
  AppendRequest request{
    previous, *this->log.TermAt(previous), this->commit, {}
  };
  std::size_t bytes = 0;
  for (auto index = aNext;
       index <= this->log.Last() && bytes < this->options.maxAppendBytes;
       index = LogIndex(index.Get() + 1)) {
    request.entries.push_back(this->log.At(index));
    bytes += EstimateSize(request.entries.back());
  }
  return request;
}

// Sends the entries that a member lacks, unless an append awaits its reply. A
// message for each entry would take most of a busy leader's time.
void
Node::SendAppend(const Member& aTo, Progress& aProgress)
{
  if (aProgress.outgoingSnapshot || aProgress.isAwaitingReply ||
      aProgress.next > this->log.Last()) {
    return;
  }
  if (aProgress.next < this->log.First()) {
    aProgress.outgoingSnapshot = this->snapshot;
    aProgress.outgoingOffset = 0;
    this->SendSnapshotChunk(aTo, aProgress);
    return;
  }
  aProgress.isAwaitingReply = true;
  this->SendNow(aTo, this->MakeAppend(aProgress.next));
}

void
Node::SendAppends()
{
  for (auto& [member, peer] : this->progress) {
    this->SendAppend(member, peer);
  }
}

// Resends an append or a snapshot chunk that got no reply for a heartbeat
// interval, unless there was no contact with the member for an election
// timeout.
void
Node::Resend(const Member& aTo, Progress& aProgress)
{
  bool isOutOfContact =
    this->now - aProgress.lastContact >= this->options.electionTimeout;
  if (!aProgress.hasRepliedSinceHeartbeat && !isOutOfContact) {
    if (aProgress.outgoingSnapshot) {
      this->SendSnapshotChunk(aTo, aProgress);
    } else {
      aProgress.isAwaitingReply = false;
    }
  }
  aProgress.hasRepliedSinceHeartbeat = false;
  this->SendAppend(aTo, aProgress);
}

void
Node::SendHeartbeats()
{
  for (auto& [member, peer] : this->progress) {
    this->SendNow(
      member,
      HeartbeatRequest{ this->round, std::min(this->commit, peer.match) });
    this->Resend(member, peer);
  }
}

// Commits the entries that are durable on a quorum. Entries of earlier terms
// are committed only together with an entry of the current term.
void
Node::AdvanceCommit()
{
  std::vector<LogIndex> matches;
  for (const auto& voter : this->members.voters) {
    if (voter == this->self) {
      matches.push_back(this->durable);
    } else if (const auto* peer = this->FindProgress(voter)) {
      matches.push_back(peer->match);
    }
  }
  std::sort(matches.begin(), matches.end());
  LogIndex durableOnQuorum = matches[(matches.size() - 1) / 2];
  if (durableOnQuorum > this->commit &&
      this->log.TermAt(durableOnQuorum) == this->state.term) {
    this->CommitTo(durableOnQuorum);
    this->StartReadRound();
    this->ProposeNextConfiguration();
  }
}

} // namespace lycheestand::consensus
