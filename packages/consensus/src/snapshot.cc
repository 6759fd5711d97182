#include <algorithm>
#include <lycheestand/consensus.h>

// Compaction of the log, and transfer of snapshots to members that need
// entries that are no longer in it.

namespace lycheestand::consensus {

Effects
Node::Compact(std::string aData)
{
  if (this->delivered <= this->snapshot.index) {
    return this->Finish();
  }
  this->snapshot = { this->delivered,
                     *this->log.TermAt(this->delivered),
                     this->deliveredMembers,
                     std::make_shared<const std::string>(std::move(aData)) };
  this->NextWrite().snapshot = this->snapshot;
  if (this->snapshot.index.Get() > this->options.keptEntries) {
    this->log.CompactTo(
      LogIndex(this->snapshot.index.Get() - this->options.keptEntries));
  }
  return this->Finish();
}

void
Node::SendSnapshotPiece(const Member& aTo, Progress& aProgress)
{
  const Snapshot& source = *aProgress.sending;
  const std::string& data = *source.data;
  std::size_t offset =
    std::min<std::size_t>(aProgress.sendingOffset, data.size());
  SnapshotRequest request{ source.index, source.term, source.members,
                           offset,       false,       {} };
  request.piece = data.substr(offset, this->options.snapshotPieceBytes);
  request.isLast = offset + request.piece.size() == data.size();
  this->SendNow(aTo, std::move(request));
}

void
Node::Handle(const Message& aMessage, const SnapshotReply& aReply)
{
  auto* peer = this->FindProgress(aMessage.from);
  if (peer == nullptr) {
    return;
  }
  peer->lastHeard = this->now;
  if (peer->sending && peer->sending->index == aReply.lastIndex &&
      peer->sendingOffset != aReply.offset) {
    peer->advanced = true;
    peer->sendingOffset = aReply.offset;
    this->SendSnapshotPiece(aMessage.from, *peer);
  }
}

void
Node::Handle(const Message& aMessage, const SnapshotRequest& aRequest)
{
  this->HearLeader(aMessage.from);
  if (aRequest.lastIndex <= this->commit) {
    this->SendDurable(aMessage.from, AppendReply{ true, this->commit });
    return;
  }
  bool isSame = this->receiving.index == aRequest.lastIndex &&
                this->receiving.term == aRequest.lastTerm;
  if (!isSame) {
    this->receiving = {
      aRequest.lastIndex, aRequest.lastTerm, aRequest.members, nullptr
    };
    this->received.clear();
  }
  bool isNext = aRequest.offset == this->received.size();
  if (isNext) {
    this->received += aRequest.piece;
  }
  if (!isNext || !aRequest.isLast) {
    this->SendNow(aMessage.from,
                  SnapshotReply{ aRequest.lastIndex, this->received.size() });
    return;
  }
  Snapshot whole = std::move(this->receiving);
  whole.data = std::make_shared<const std::string>(std::move(this->received));
  this->receiving = {};
  this->received.clear();
  this->InstallSnapshot(std::move(whole));
  this->SendDurable(aMessage.from, AppendReply{ true, this->commit });
}

void
Node::InstallSnapshot(Snapshot aSnapshot)
{
  if (this->log.TermAt(aSnapshot.index) == aSnapshot.term) {
    // The log has these entries already; they are committed.
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
  Write& write = this->NextWrite();
  write.snapshot = this->snapshot;
  write.discardLog = true;
  this->effects.install = this->snapshot;
  this->UpdateMembers();
}

} // namespace lycheestand::consensus
