#include "replication_codec.h"

#include "entry_codec.h"

namespace lycheestand::control {

namespace {

// Values of wire::Replication::kind. They are part of the protocol and must not
// change.
enum Kind : std::uint8_t
{
  KeepAlive = 0,
  PreVote = 1,
  PreVoteReply = 2,
  Vote = 3,
  VoteReply = 4,
  Append = 5,
  AppendReply = 6,
  Heartbeat = 7,
  HeartbeatReply = 8,
  SnapshotChunk = 9,
  SnapshotReply = 10,
  Join = 11
};

void
Pack(wire::Replication& aOut, const consensus::VoteRequest& aIn)
{
  aOut.kind = aIn.isPreVote ? PreVote : Vote;
  aOut.lastIndex = aIn.lastIndex;
  aOut.lastTerm = aIn.lastTerm;
}

void
Pack(wire::Replication& aOut, const consensus::VoteReply& aIn)
{
  aOut.kind = aIn.isPreVote ? PreVoteReply : VoteReply;
  aOut.granted = aIn.granted;
}

void
Pack(wire::Replication& aOut, const consensus::AppendRequest& aIn)
{
  aOut.kind = Append;
  aOut.lastIndex = aIn.previousIndex;
  aOut.lastTerm = aIn.previousTerm;
  aOut.commit = aIn.commit;
  for (const auto& entry : aIn.entries) {
    aOut.entries.push_back({ entry.term,
                             entry.index,
                             KindOf(entry.body),
                             EncodePayload(entry.body) });
  }
}

void
Pack(wire::Replication& aOut, const consensus::AppendReply& aIn)
{
  aOut.kind = AppendReply;
  aOut.granted = aIn.accepted;
  aOut.lastIndex = aIn.index;
}

void
Pack(wire::Replication& aOut, const consensus::HeartbeatRequest& aIn)
{
  aOut.kind = Heartbeat;
  aOut.round = aIn.round;
  aOut.commit = aIn.commit;
}

void
Pack(wire::Replication& aOut, const consensus::HeartbeatReply& aIn)
{
  aOut.kind = HeartbeatReply;
  aOut.round = aIn.round;
}

// The members are encoded as the only entry of the message.
void
Pack(wire::Replication& aOut, const consensus::SnapshotRequest& aIn)
{
  aOut.kind = SnapshotChunk;
  aOut.lastIndex = aIn.lastIndex;
  aOut.lastTerm = aIn.lastTerm;
  aOut.round = aIn.offset;
  aOut.granted = aIn.isLast;
  aOut.snapshot = aIn.chunk;
  aOut.entries.push_back(
    { aIn.lastTerm, aIn.lastIndex, 0, EncodeMembers(aIn.members) });
}

void
Pack(wire::Replication& aOut, const consensus::SnapshotReply& aIn)
{
  aOut.kind = SnapshotReply;
  aOut.lastIndex = aIn.lastIndex;
  aOut.round = aIn.offset;
}

void
Pack(wire::Replication& aOut, const consensus::JoinRequest& aIn)
{
  aOut.kind = Join;
  aOut.granted = aIn.mayBootstrap;
  aOut.address = aIn.location.address;
  aOut.zone = aIn.location.zone;
}

// Returns nothing unless the entries follow the previous index without a gap.
std::optional<consensus::MessageBody>
UnpackAppend(const wire::Replication& aIn)
{
  consensus::AppendRequest out{ aIn.lastIndex, aIn.lastTerm, aIn.commit, {} };
  std::uint64_t index = aIn.lastIndex.Get();
  for (const auto& record : aIn.entries) {
    auto body = DecodePayload(record.kind, record.payload);
    if (!body || record.index.Get() != ++index) {
      return std::nullopt;
    }
    out.entries.push_back({ record.term, record.index, std::move(*body) });
  }
  return out;
}

std::optional<consensus::MessageBody>
UnpackSnapshot(const wire::Replication& aIn)
{
  if (aIn.entries.size() != 1) {
    return std::nullopt;
  }
  auto members = DecodeMembers(aIn.entries.front().payload);
  if (!members) {
    return std::nullopt;
  }
  return consensus::SnapshotRequest{
    aIn.lastIndex, aIn.lastTerm, *members, aIn.round, aIn.granted, aIn.snapshot
  };
}

std::optional<consensus::MessageBody>
Unpack(const wire::Replication& aIn)
{
  switch (aIn.kind) {
    case PreVote:
    case Vote:
      return consensus::VoteRequest{ aIn.kind == PreVote,
                                     aIn.lastIndex,
                                     aIn.lastTerm };
    case PreVoteReply:
    case VoteReply:
      return consensus::VoteReply{ aIn.kind == PreVoteReply, aIn.granted };
    case Append:
      return UnpackAppend(aIn);
    case AppendReply:
      return consensus::AppendReply{ aIn.granted, aIn.lastIndex };
    case Heartbeat:
      return consensus::HeartbeatRequest{ aIn.round, aIn.commit };
    case HeartbeatReply:
      return consensus::HeartbeatReply{ aIn.round };
    case SnapshotChunk:
      return UnpackSnapshot(aIn);
    case SnapshotReply:
      return consensus::SnapshotReply{ aIn.lastIndex, aIn.round };
    case Join:
      return consensus::JoinRequest{ aIn.granted, { aIn.address, aIn.zone } };
    default:
      return std::nullopt;
  }
}

} // namespace

wire::Replication
MakeKeepAlive(const InstanceId& aFrom)
{
  wire::Replication out;
  out.kind = KeepAlive;
  out.from = aFrom;
  out.appliesStreamCommands = true;
  return out;
}

// The members are encoded as the only entry of the message.
wire::Replication
MakeAnnouncement(const InstanceId& aFrom, const Announcement& aAnnouncement)
{
  wire::Replication out = MakeKeepAlive(aFrom);
  out.leader = aAnnouncement.leader;
  out.entries.push_back(
    { Term(), LogIndex(), 0, EncodeMembers(aAnnouncement.members) });
  return out;
}

std::optional<Announcement>
ReadAnnouncement(const wire::Replication& aMessage)
{
  if (aMessage.kind != KeepAlive || aMessage.entries.size() != 1) {
    return std::nullopt;
  }
  auto members = DecodeMembers(aMessage.entries.front().payload);
  return members
           ? std::optional(Announcement{ aMessage.leader, std::move(*members) })
           : std::nullopt;
}

wire::Replication
ToWire(const consensus::Message& aMessage)
{
  wire::Replication out;
  out.group = aMessage.group;
  out.from = aMessage.from.instance;
  out.fromDisk = aMessage.from.disk;
  out.toDisk = aMessage.to.disk;
  out.term = aMessage.term;
  out.appliesStreamCommands = true;
  std::visit([&](const auto& aBody) { Pack(out, aBody); }, aMessage.body);
  return out;
}

std::optional<consensus::Message>
FromWire(const wire::Replication& aMessage, const InstanceId& aSelf)
{
  auto body = Unpack(aMessage);
  if (!body) {
    return std::nullopt;
  }
  return consensus::Message{ aMessage.group,
                             { aMessage.from, aMessage.fromDisk },
                             { aSelf, aMessage.toDisk },
                             aMessage.term,
                             std::move(*body) };
}

} // namespace lycheestand::control
