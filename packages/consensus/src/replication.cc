#include <algorithm>
#include <lycheestand/consensus.h>

// Replication of the log and commitment of its entries.

namespace lycheestand::consensus {

namespace {

// Returns about how many bytes an entry takes in a message.
std::size_t
SizeOf(const Entry& aEntry)
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
  this->HearLeader(aMessage.from);
  // All before the first kept entry is committed here, so it agrees.
  bool isKnown = aRequest.previousIndex.Get() + 1 < this->log.First().Get();
  if (!isKnown &&
      this->log.TermAt(aRequest.previousIndex) != aRequest.previousTerm) {
    this->SendNow(
      aMessage.from,
      AppendReply{ false, this->FindConflict(aRequest.previousIndex) });
    return;
  }
  this->MergeEntries(aRequest.entries);
  LogIndex agreed(aRequest.previousIndex.Get() + aRequest.entries.size());
  this->CommitTo(std::min(aRequest.commit, agreed));
  this->SendDurable(aMessage.from, AppendReply{ true, agreed });
}

// Returns the index up to which the leader should try next.
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
  this->HearLeader(aMessage.from);
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
  peer->lastHeard = this->now;
  peer->isProbing = false;
  peer->advanced = true;
  if (aReply.accepted) {
    peer->match = std::max(peer->match, aReply.index);
    peer->next = std::max(peer->next, LogIndex(peer->match.Get() + 1));
    peer->isReplicating = true;
    if (peer->sending && peer->match >= peer->sending->index) {
      peer->sending.reset();
      peer->next = LogIndex(peer->match.Get() + 1);
    }
    this->AdvanceCommit();
    this->ConsiderMembers();
  } else if (aReply.index >= peer->match) {
    peer->isReplicating = false;
    peer->next = LogIndex(std::min(aReply.index, this->log.Last()).Get() + 1);
  }
  // A change of members may have moved the progress.
  if (auto* current = this->FindProgress(aMessage.from)) {
    this->SendAppend(aMessage.from, *current);
  }
}

void
Node::Handle(const Message& aMessage, const HeartbeatReply& aReply)
{
  if (auto* peer = this->FindProgress(aMessage.from)) {
    peer->lastHeard = this->now;
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
    bytes += SizeOf(request.entries.back());
  }
  return request;
}

// Sends what a member lacks. Until it is known where the logs agree, one
// message at a time; after that ahead of the answers.
void
Node::SendAppend(const Member& aTo, Progress& aProgress)
{
  auto isAhead = [this, &aProgress] {
    return aProgress.isReplicating &&
           aProgress.next.Get() >
             aProgress.match.Get() + this->options.maxEntriesAhead;
  };
  while (!aProgress.sending && !aProgress.isProbing && !isAhead() &&
         aProgress.next <= this->log.Last()) {
    if (aProgress.next < this->log.First()) {
      aProgress.sending = this->snapshot;
      aProgress.sendingOffset = 0;
      this->SendSnapshotPiece(aTo, aProgress);
      return;
    }
    AppendRequest request = this->MakeAppend(aProgress.next);
    if (aProgress.isReplicating) {
      aProgress.next = LogIndex(aProgress.next.Get() + request.entries.size());
    } else {
      aProgress.isProbing = true;
    }
    this->SendNow(aTo, std::move(request));
  }
}

void
Node::SendAppends()
{
  for (auto& [member, peer] : this->progress) {
    this->SendAppend(member, peer);
  }
}

// Repeats what was not answered in a heartbeat interval, unless the member is
// silent altogether.
void
Node::Resend(const Member& aTo, Progress& aProgress)
{
  bool isSilent =
    this->now - aProgress.lastHeard >= this->options.electionTimeout;
  if (!aProgress.advanced && !isSilent) {
    if (aProgress.sending) {
      this->SendSnapshotPiece(aTo, aProgress);
    } else if (aProgress.match < this->log.Last()) {
      aProgress.isProbing = false;
      aProgress.isReplicating = false;
      aProgress.next =
        std::min(aProgress.next, LogIndex(aProgress.match.Get() + 1));
    }
  }
  aProgress.advanced = false;
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

// Commits what a quorum has made durable. Entries of earlier terms are
// committed only along with one of this term.
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
  LogIndex agreed = matches[(matches.size() - 1) / 2];
  if (agreed > this->commit && this->log.TermAt(agreed) == this->state.term) {
    this->CommitTo(agreed);
    this->StartReadRound();
    this->ConsiderMembers();
  }
}

} // namespace lycheestand::consensus
