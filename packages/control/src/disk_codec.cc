#include "disk_codec.h"

#include "entry_codec.h"

namespace lycheestand::control {

namespace {

storage::HardState
ToDisk(const consensus::HardState& aState)
{
  storage::HardState out;
  out.group = aState.group;
  out.disk = aState.disk;
  out.term = aState.term;
  out.hasVote = aState.vote.has_value();
  if (aState.vote) {
    out.voteInstance = aState.vote->instance;
    out.voteDisk = aState.vote->disk;
  }
  out.mayBootstrap = aState.mayBootstrap;
  return out;
}

storage::SnapshotRecord
ToDisk(const consensus::Snapshot& aSnapshot)
{
  return { aSnapshot.index,
           aSnapshot.term,
           EncodeMembers(aSnapshot.members),
           *aSnapshot.data };
}

consensus::HardState
FromDisk(const storage::HardState& aState)
{
  consensus::HardState out;
  out.group = aState.group;
  out.disk = aState.disk;
  out.term = aState.term;
  if (aState.hasVote) {
    out.vote = consensus::Member{ aState.voteInstance, aState.voteDisk };
  }
  out.mayBootstrap = aState.mayBootstrap;
  return out;
}

} // namespace

std::optional<consensus::RecoveredState>
ToRecoveredState(storage::StoreContents aContents)
{
  consensus::RecoveredState out;
  out.state = FromDisk(aContents.state);
  if (auto& snapshot = aContents.snapshot) {
    auto members = DecodeMembers(snapshot->members);
    if (!members) {
      return std::nullopt;
    }
    out.snapshot = consensus::Snapshot{ snapshot->index,
                                        snapshot->term,
                                        std::move(*members),
                                        std::make_shared<const std::string>(
                                          std::move(snapshot->data)) };
  }
  for (const auto& record : aContents.records) {
    auto body = DecodePayload(record.kind, record.payload);
    if (!body) {
      return std::nullopt;
    }
    out.entries.push_back({ record.term, record.index, std::move(*body) });
  }
  return out;
}

// Storage writes the snapshot of a batch before its records, so a batch may
// have a snapshot only in its first write.
storage::Batch
TakeBatch(std::deque<consensus::Write>& aWrites)
{
  storage::Batch batch;
  bool isFirst = true;
  while (!aWrites.empty() && (isFirst || !aWrites.front().snapshot)) {
    const consensus::Write& write = aWrites.front();
    if (write.state) {
      batch.state = ToDisk(*write.state);
    }
    if (write.snapshot) {
      batch.snapshot = ToDisk(*write.snapshot);
      batch.discardLog = write.discardLog;
    }
    for (const auto& entry : write.entries) {
      batch.records.push_back({ entry.index,
                                entry.term,
                                KindOf(entry.body),
                                EncodePayload(entry.body) });
    }
    aWrites.pop_front();
    isFirst = false;
  }
  return batch;
}

} // namespace lycheestand::control
