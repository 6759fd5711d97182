#include <algorithm>
#include <lycheestand/consensus.h>

// Log compaction, and transfer of snapshots to members that need entries which
// are no longer in the log.

namespace lycheestand::consensus {

Effects
Node::Compact(std::string aData)
{
  if (this->delivered <= this->snapshot.index) {
    return this->TakeEffects();
  }
  this->snapshot = { this->delivered,
                     *this->log.TermAt(this->delivered),
                     this->deliveredMembers,
                     std::make_shared<const std::string>(std::move(aData)) };
  this->CurrentWrite().snapshot = this->snapshot;
  if (this->snapshot.index.Get() > this->options.trailingEntries) {
    this->log.CompactTo(
      LogIndex(this->snapshot.index.Get() - this->options.trailingEntries));
  }
  return this->TakeEffects();
}

void
Node::SendSnapshotChunk(const Member& aTo, Progress& aProgress)
{
  const Snapshot& source = *aProgress.outgoingSnapshot;
  const std::string& data = *source.data;
  std::size_t offset =
    std::min<std::size_t>(aProgress.outgoingOffset, data.size());
  SnapshotRequest request{ source.index, source.term, source.members,
                           offset,       false,       {} };
  request.chunk = data.substr(offset, this->options.snapshotChunkBytes);
  request.isLast = offset + request.chunk.size() == data.size();
  this->SendNow(aTo, std::move(request));
}

void
Node::Handle(const Message& aMessage, const SnapshotReply& aReply)
{
  auto* peer = this->FindProgress(aMessage.from);
  if (peer == nullptr) {
    return;
  }
  peer->lastContact = this->now;
  if (peer->outgoingSnapshot &&
      peer->outgoingSnapshot->index == aReply.lastIndex &&
      peer->outgoingOffset != aReply.offset) {
    peer->hasRepliedSinceHeartbeat = true;
    peer->outgoingOffset = aReply.offset;
    this->SendSnapshotChunk(aMessage.from, *peer);
  }
}

void
Node::Handle(const Message& aMessage, const SnapshotRequest& aRequest)
{
  this->RecordLeaderContact(aMessage.from);
  if (aRequest.lastIndex <= this->commit) {
    this->SendAfterPersist(aMessage.from, AppendReply{ true, this->commit });
    return;
  }
  bool isSameSnapshot = this->incomingSnapshot.index == aRequest.lastIndex &&
                        this->incomingSnapshot.term == aRequest.lastTerm;
  if (!isSameSnapshot) {
    this->incomingSnapshot = {
      aRequest.lastIndex, aRequest.lastTerm, aRequest.members, nullptr
    };
    this->incomingData.clear();
  }
  bool isNextChunk = aRequest.offset == this->incomingData.size();
  if (isNextChunk) {
    this->incomingData += aRequest.chunk;
  }
  if (!isNextChunk || !aRequest.isLast) {
    this->SendNow(
      aMessage.from,
      SnapshotReply{ aRequest.lastIndex, this->incomingData.size() });
    return;
  }
  Snapshot complete = std::move(this->incomingSnapshot);
  complete.data =
    std::make_shared<const std::string>(std::move(this->incomingData));
  this->incomingSnapshot = {};
  this->incomingData.clear();
  this->InstallSnapshot(std::move(complete));
  this->SendAfterPersist(aMessage.from, AppendReply{ true, this->commit });
}

void
Node::InstallSnapshot(Snapshot aSnapshot)
{
  if (this->log.TermAt(aSnapshot.index) == aSnapshot.term) {
    // The log already has these entries, which are committed: only the commit
    // index advances.
    this->CommitTo(aSnapshot.index);
    return;
  }
  this->snapshot = std::move(aSnapshot);
  this->log.Reset(this->snapshot.index, this->snapshot.term);
  this->commit = this->snapshot.index;
  this->delivered = this->snapshot.index;
  this->deliveredMembers = this->snapshot.members;
  this->durable = LogIndex(0);
  for (auto& write : this->pendingWrites) {
    write.lastIndex = LogIndex(0);
  }
  Write& write = this->CurrentWrite();
  write.snapshot = this->snapshot;
  write.discardLog = true;
  this->effects.snapshotToInstall = this->snapshot;
  this->ReloadMembers();
}

} // namespace lycheestand::consensus
