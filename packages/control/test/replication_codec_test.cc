#include "disk_codec.h"
#include "entry_codec.h"
#include "replication_codec.h"

#include <catch2/catch.hpp>

using namespace lycheestand;
using namespace lycheestand::control;

namespace {

// Provides members, log entries and a message header.
class ReplicationCodecFixture
{
public:
  consensus::Message Wrap(consensus::MessageBody aBody) const
  {
    return { GroupId(3), this->from, this->to, Term(8), std::move(aBody) };
  }

  // Encodes a message with the body and decodes it. Checks the header and
  // returns the decoded body.
  template<class Body>
  Body RoundTrip(const Body& aBody) const
  {
    auto decoded = wire::Decode(wire::Encode(ToWire(this->Wrap(aBody))));
    auto back =
      FromWire(std::get<wire::Replication>(decoded.value()), this->to.instance);
    REQUIRE(back);
    CHECK(back->group == GroupId(3));
    CHECK(back->from == this->from);
    CHECK(back->to == this->to);
    CHECK(back->term == Term(8));
    return std::get<Body>(back->body);
  }

  consensus::Member from{ InstanceId("c1"), DiskId(~std::uint64_t(0)) };
  consensus::Member to{ InstanceId("c2"), DiskId(17) };
  consensus::Configuration members{
    { from },
    { to },
    { { InstanceId("c1"), { { "10.1.0.3", 7340 }, ZoneId("z1") } } }
  };
  std::vector<consensus::Entry> entries{
    { Term(7), LogIndex(5), consensus::NoOp{} },
    { Term(7), LogIndex(6), consensus::CommandBytes{ std::string("\0x", 2) } },
    { Term(8), LogIndex(7), members }
  };
};

} // namespace

// Fails if a new instance can't be reached, or can't find the group, because
// its location or that of the members is lost on the way.
TEST_CASE_METHOD(ReplicationCodecFixture,
                 "locations and the leader are equal after decoding")
{
  auto join = this->RoundTrip(
    consensus::JoinRequest{ true, { { "10.1.0.9", 7340 }, ZoneId("z2") } });
  CHECK(join.mayBootstrap);
  CHECK(join.location.address == Address{ "10.1.0.9", 7340 });
  CHECK(join.location.zone == ZoneId("z2"));

  auto decoded = wire::Decode(wire::Encode(MakeAnnouncement(
    this->from.instance, { this->to.instance, this->members })));
  const auto& keepAlive = std::get<wire::Replication>(decoded.value());
  CHECK(keepAlive.leader == this->to.instance);
  auto announced = ReadAnnouncement(keepAlive);
  REQUIRE(announced);
  CHECK(announced->leader == this->to.instance);
  CHECK(announced->members == this->members);
  CHECK_FALSE(ReadAnnouncement(MakeKeepAlive(this->from.instance)));
  CHECK_FALSE(FromWire(keepAlive, this->to.instance));
}

// Fails if a control instance can't read the log of an earlier version, whose
// members have no locations.
TEST_CASE("members without locations are decoded")
{
  auto members = DecodeMembers(R"({"voters":[["c1","7"]],"learners":[]})");
  REQUIRE(members);
  CHECK(members->voters.size() == 1);
  CHECK(members->locations.empty());
  CHECK_FALSE(
    DecodeMembers(R"({"voters":[],"learners":[],"locations":{"c1":["x"]}})"));
}

// Fails if encoding changes an entry or the member list, so that the logs of
// two members would differ.
TEST_CASE_METHOD(
  ReplicationCodecFixture,
  "log entries and members are equal after encoding and decoding")
{
  auto append = this->RoundTrip(consensus::AppendRequest{
    LogIndex(4), Term(6), LogIndex(3), this->entries });
  CHECK(append.previousIndex == LogIndex(4));
  CHECK(append.previousTerm == Term(6));
  CHECK(append.commit == LogIndex(3));
  CHECK(append.entries == this->entries);

  auto chunk = this->RoundTrip(consensus::SnapshotRequest{
    LogIndex(9), Term(7), this->members, 300, true, "bytes" });
  CHECK(chunk.members == this->members);
  CHECK(chunk.offset == 300);
  CHECK(chunk.isLast);
  CHECK(chunk.chunk == "bytes");
}

// Fails if a rejection is decoded as a grant, or a pre-vote as a vote.
TEST_CASE_METHOD(ReplicationCodecFixture,
                 "votes and replies are equal after encoding and decoding")
{
  for (bool flag : { false, true }) {
    CHECK(this->RoundTrip(consensus::VoteRequest{ flag }).isPreVote == flag);
    auto reply = this->RoundTrip(consensus::VoteReply{ flag, !flag });
    CHECK(reply.isPreVote == flag);
    CHECK(reply.granted == !flag);
    auto answer = this->RoundTrip(consensus::AppendReply{ flag, LogIndex(4) });
    CHECK(answer.accepted == flag);
    CHECK(answer.index == LogIndex(4));
    CHECK(this->RoundTrip(consensus::JoinRequest{ flag }).mayBootstrap == flag);
  }
  CHECK(this->RoundTrip(consensus::HeartbeatRequest{ 5, LogIndex(2) }).round ==
        5);
  CHECK(this->RoundTrip(consensus::HeartbeatReply{ 6 }).round == 6);
  CHECK(this->RoundTrip(consensus::SnapshotReply{ LogIndex(9), 7 }).offset ==
        7);
}

// Fails if the decoder accepts an append request whose entries leave a gap in
// the log, or a malformed member list.
TEST_CASE_METHOD(ReplicationCodecFixture,
                 "malformed messages and entries are rejected")
{
  auto gap = ToWire(this->Wrap(consensus::AppendRequest{
    LogIndex(3), Term(6), LogIndex(3), this->entries }));
  CHECK_FALSE(FromWire(gap, this->to.instance));
  CHECK_FALSE(FromWire(MakeKeepAlive(InstanceId("c1")), this->to.instance));
  for (const char* text : { "",
                            "{}",
                            "[]",
                            R"({"voters":[["c1"]],"learners":[]})",
                            R"({"voters":[["c1","x"]],"learners":[]})",
                            R"({"voters":[],"learners":0})" }) {
    CHECK_FALSE(DecodeMembers(text));
    CHECK_FALSE(DecodePayload(2, text));
  }
  CHECK_FALSE(DecodePayload(99, ""));
}

// Fails if a snapshot joins a batch with earlier writes. Storage writes a
// batch's snapshot before its records, so it would precede entries that it must
// follow.
TEST_CASE_METHOD(ReplicationCodecFixture,
                 "a write with a snapshot starts a new batch")
{
  std::deque<consensus::Write> writes(3);
  writes[0].entries = { this->entries[0] };
  writes[1].entries = { this->entries[1], this->entries[2] };
  writes[2].snapshot = consensus::Snapshot{
    LogIndex(7), Term(8), this->members, std::make_shared<std::string>("s")
  };
  auto first = TakeBatch(writes);
  CHECK(first.records.size() == 3);
  CHECK_FALSE(first.snapshot);
  REQUIRE(writes.size() == 1);
  storage::StoreContents contents;
  contents.records = first.records;
  contents.snapshot = TakeBatch(writes).snapshot;
  CHECK(writes.empty());
  auto recovered = ToRecoveredState(contents);
  REQUIRE(recovered);
  CHECK(recovered->entries == this->entries);
  CHECK(recovered->snapshot->members == this->members);
}

// Fails if a leader takes instances of this build for ones of an earlier build,
// or the other way round. A message of an earlier build has no such field.
TEST_CASE_METHOD(ReplicationCodecFixture,
                 "messages tell that the instance applies stream commands")
{
  auto check = [](const wire::Replication& aMessage) {
    auto decoded = wire::Decode(wire::Encode(aMessage));
    REQUIRE(decoded.has_value());
    return std::get<wire::Replication>(decoded.value()).appliesStreamCommands;
  };
  CHECK(check(MakeKeepAlive(InstanceId("c1"))));
  CHECK(check(MakeAnnouncement(InstanceId("c1"), Announcement())));
  CHECK(check(ToWire(this->Wrap(consensus::HeartbeatReply{ 6 }))));
  CHECK(check(ToWire(this->Wrap(consensus::VoteReply{ false, true }))));
  CHECK_FALSE(check(wire::Replication()));
}
