#include "disk_codec.h"
#include "entry_codec.h"
#include "replication_codec.h"

#include <catch2/catch.hpp>

using namespace lycheestand;
using namespace lycheestand::control;

namespace {

// Members, entries and an envelope for messages of the log.
class CodecFixture
{
public:
  consensus::Message Wrap(consensus::MessageBody aBody) const
  {
    return { GroupId(3), this->from, this->to, Term(8), std::move(aBody) };
  }

  // Returns the body after the way over the wire.
  template<class Body>
  Body Carry(const Body& aBody) const
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
  consensus::Configuration members{ { from }, { to } };
  std::vector<consensus::Entry> entries{
    { Term(7), LogIndex(5), consensus::Empty{} },
    { Term(7), LogIndex(6), consensus::CommandBytes{ std::string("\0x", 2) } },
    { Term(8), LogIndex(7), members }
  };
};

} // namespace

// Guards against entries that differ between members.
TEST_CASE_METHOD(CodecFixture, "entries and members survive the wire")
{
  auto append = this->Carry(consensus::AppendRequest{
    LogIndex(4), Term(6), LogIndex(3), this->entries });
  CHECK(append.previousIndex == LogIndex(4));
  CHECK(append.previousTerm == Term(6));
  CHECK(append.commit == LogIndex(3));
  CHECK(append.entries == this->entries);

  auto piece = this->Carry(consensus::SnapshotRequest{
    LogIndex(9), Term(7), this->members, 300, true, "bytes" });
  CHECK(piece.members == this->members);
  CHECK(piece.offset == 300);
  CHECK(piece.isLast);
  CHECK(piece.piece == "bytes");
}

// Guards against a refusal that is taken for a grant, or a pre-vote for a vote.
TEST_CASE_METHOD(CodecFixture, "votes and answers survive the wire")
{
  for (bool flag : { false, true }) {
    CHECK(this->Carry(consensus::VoteRequest{ flag }).isPreVote == flag);
    auto reply = this->Carry(consensus::VoteReply{ flag, !flag });
    CHECK(reply.isPreVote == flag);
    CHECK(reply.granted == !flag);
    auto answer = this->Carry(consensus::AppendReply{ flag, LogIndex(4) });
    CHECK(answer.accepted == flag);
    CHECK(answer.index == LogIndex(4));
    CHECK(this->Carry(consensus::JoinRequest{ flag }).mayForm == flag);
  }
  CHECK(this->Carry(consensus::HeartbeatRequest{ 5, LogIndex(2) }).round == 5);
  CHECK(this->Carry(consensus::HeartbeatReply{ 6 }).round == 6);
  CHECK(this->Carry(consensus::SnapshotReply{ LogIndex(9), 7 }).offset == 7);
}

// Guards against a gap in the log, and against members made of other text.
TEST_CASE_METHOD(CodecFixture, "malformed messages are dropped")
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

// Guards against a snapshot that is stored before entries that it must follow.
TEST_CASE_METHOD(CodecFixture, "a later snapshot begins another batch")
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
  auto restored = ToRestored(contents);
  REQUIRE(restored);
  CHECK(restored->entries == this->entries);
  CHECK(restored->snapshot->members == this->members);
}
