#ifndef LYCHEESTAND_CONSENSUS_H
#define LYCHEESTAND_CONSENSUS_H

// Raft consensus for one group: elections with pre-vote, log replication,
// snapshots, linearizable reads and membership changes. The code does no I/O
// and starts no threads: each input to a Node returns Effects, which the
// calling code, the host, carries out.

#include <deque>
#include <lycheestand/core.h>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace lycheestand::consensus {

// ---------------------------------------------------------------- log

// A member is an instance together with its disk. An instance whose disk was
// replaced is a different member.
struct Member
{
  InstanceId instance;
  DiskId disk;

  friend bool operator==(const Member&, const Member&) = default;
  friend auto operator<=>(const Member&, const Member&) = default;
};

// Where an instance runs and how others reach it.
struct Location
{
  Address address;
  ZoneId zone;

  friend bool operator==(const Location&, const Location&) = default;
};

// The members of a group. Learners receive the log, but they start no elections
// and do not count towards a quorum.
struct Configuration
{
  std::set<Member> voters;
  std::set<Member> learners;
  // Locations of the members that have told theirs.
  std::map<InstanceId, Location> locations;

  // Returns the member of an instance, voter or learner, if there is one.
  std::optional<Member> Find(const InstanceId& aInstance) const;
  // Returns whether the member is a voter or a learner.
  bool Contains(const Member& aMember) const;
  // Removes a member with its location.
  void Remove(const Member& aMember);

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

// No-op entry that a new leader appends: once it is committed, the leader knows
// the commit index.
struct NoOp
{
  friend bool operator==(const NoOp&, const NoOp&) = default;
};

// Entry with an encoded command for the state machine.
struct CommandBytes
{
  std::string bytes;

  friend bool operator==(const CommandBytes&, const CommandBytes&) = default;
};

// A Configuration takes effect as soon as it is in the log, committed or not.
using EntryBody = std::variant<NoOp, CommandBytes, Configuration>;

struct Entry
{
  Term term;
  LogIndex index;
  EntryBody body;

  friend bool operator==(const Entry&, const Entry&) = default;
};

// The encoded state machine after the entry at index, which replaces the log up
// to and including that entry.
struct Snapshot
{
  LogIndex index;
  Term term;
  Configuration members;
  std::shared_ptr<const std::string> data;
};

// Persistent state of a member besides its log and snapshot.
struct HardState
{
  GroupId group;
  DiskId disk;
  Term term;
  std::optional<Member> vote;
  // The disk was formatted for an initial member, so its instance may take part
  // in bootstrapping the group.
  bool mayBootstrap = false;

  friend bool operator==(const HardState&, const HardState&) = default;
};

// ---------------------------------------------------------------- messages

struct VoteRequest
{
  // A pre-vote asks whether the sender could win an election, without a change
  // of term at either side.
  bool isPreVote = false;
  LogIndex lastIndex;
  Term lastTerm;
};
struct VoteReply
{
  bool isPreVote = false;
  bool granted = false;
};
struct AppendRequest
{
  LogIndex previousIndex;
  Term previousTerm;
  LogIndex commit;
  std::vector<Entry> entries;
};
struct AppendReply
{
  bool accepted = false;
  // If accepted, the last index that matches the leader's log and is durable;
  // otherwise the previousIndex that the leader should try next.
  LogIndex index;
};
struct HeartbeatRequest
{
  // Number of the latest read round; 0 before the first.
  std::uint64_t round = 0;
  LogIndex commit;
};
struct HeartbeatReply
{
  std::uint64_t round = 0;
};
// One chunk of a snapshot.
struct SnapshotRequest
{
  LogIndex lastIndex;
  Term lastTerm;
  Configuration members;
  // Position of the chunk in the snapshot, in bytes.
  std::uint64_t offset = 0;
  bool isLast = false;
  std::string chunk;
};
struct SnapshotReply
{
  LogIndex lastIndex;
  // Bytes received so far.
  std::uint64_t offset = 0;
};
// Sent by an instance whose current disk is not in its newest configuration, or
// that hears of no leader and so may have been removed.
struct JoinRequest
{
  // The sender may take part in bootstrapping: its HardState allows it and its
  // log is empty.
  bool mayBootstrap = false;
  Location location;
};

using MessageBody = std::variant<VoteRequest,
                                 VoteReply,
                                 AppendRequest,
                                 AppendReply,
                                 HeartbeatRequest,
                                 HeartbeatReply,
                                 SnapshotRequest,
                                 SnapshotReply,
                                 JoinRequest>;

struct Message
{
  GroupId group;
  Member from;
  // The disk is 0 in a JoinRequest, whose sender does not know the
  // receiver's disk.
  Member to;
  Term term;
  MessageBody body;
};

// ---------------------------------------------------------------- effects

// Data to persist. Writes must be persisted in the order of their numbers. An
// entry replaces all stored entries with the same or a higher index.
struct Write
{
  std::uint64_t number = 0;
  std::optional<HardState> state;
  std::vector<Entry> entries;
  std::optional<Snapshot> snapshot;
  // The stored log conflicts with the snapshot and must be deleted.
  bool discardLog = false;
};

enum class Role
{
  Follower,
  PreCandidate,
  Candidate,
  Leader
};

// Chosen by the host for each read.
using ReadId = StrongType<struct ReadIdTag, std::uint64_t>;

// What the host must do after an input. The order is free, except that a
// snapshot is installed before committed entries are applied, and these are
// applied before confirmed reads run.
struct Effects
{
  std::vector<Message> messages;
  std::optional<Write> write;
  // Snapshot received from the leader; it replaces the state machine's state.
  std::optional<Snapshot> snapshotToInstall;
  // Entries to apply, in the order of their indices.
  std::vector<Entry> committed;
  // Reads that may run now, and reads that failed because this member does not
  // lead.
  std::vector<ReadId> confirmedReads;
  std::vector<ReadId> failedReads;
  // The role of this member or its known leader has changed.
  bool roleChanged = false;
};

// ---------------------------------------------------------------- node

struct Options
{
  GroupId group;
  InstanceId self;
  // Where this instance runs; other members get it with the configuration.
  Location location;
  // The instances that form a new group. Any other instance joins later.
  std::vector<InstanceId> founders;
  // Number of voters that the group has while enough instances are live.
  // Further members stay learners and replace voters that are lost.
  std::size_t maxVoters = 5;
  // An election starts after one to two times this period without contact from
  // a leader. The delay is shorter after a start and after the connection to
  // the leader has closed.
  Duration electionTimeout = std::chrono::milliseconds(1000);
  Duration heartbeatInterval = std::chrono::milliseconds(150);
  // Approximate size of an append at which no more entries are added to it.
  std::size_t maxAppendBytes = 512 * 1024;
  std::size_t snapshotChunkBytes = 1024 * 1024;
  // Entries up to the snapshot that stay in memory, so that a follower that
  // lags slightly needs no snapshot.
  std::uint64_t trailingEntries = 1024;
};

// Persistent state as read from disk at startup.
struct RecoveredState
{
  HardState state;
  std::optional<Snapshot> snapshot;
  std::vector<Entry> entries;
};

// The log in memory: the entries after a base, which is an index and its term.
class Log
{
public:
  // Removes all entries and sets the base.
  void Reset(LogIndex aIndex, Term aTerm);
  // Returns the index after the base, whether or not there is an entry.
  LogIndex First() const;
  // Returns the index of the last entry, or of the base if there is none.
  LogIndex Last() const;
  // Returns the term of the entry or base at an index; empty if the index is
  // outside the log.
  std::optional<Term> TermAt(LogIndex aIndex) const;
  // The index must be from First() to Last().
  const Entry& At(LogIndex aIndex) const;
  // The index of the entry must be Last() + 1.
  void Append(Entry aEntry);
  // Removes the entries from an index on.
  void TruncateFrom(LogIndex aIndex);
  // Removes the entries up to an index, which becomes the base.
  void CompactTo(LogIndex aIndex);

private:
  LogIndex baseIndex;
  Term baseTerm;
  std::deque<Entry> entries;
};

// The Raft state machine of one member of a group. Not thread-safe. Each input
// returns the effects that the host must carry out.
class Node
{
public:
  Node(Options aOptions,
       RecoveredState aRecovered,
       RandomSource aRandom,
       TimePoint aNow);

  // Handles timeouts. The host must call it at least once in each heartbeat
  // interval.
  Effects Tick(TimePoint aNow);

  // Handles a message from another instance. Messages for another group are
  // ignored, as are those for another disk of this instance, except
  // JoinRequest.
  Effects Receive(TimePoint aNow, const Message& aMessage);

  // Reports that a connection to an instance has opened. This member asks the
  // connected instances to let it join the group.
  void HandleConnect(const InstanceId& aPeer);

  // Reports that the connection to an instance has closed, possibly because its
  // process ended.
  Effects HandleDisconnect(TimePoint aNow, const InstanceId& aPeer);

  // Appends a command and returns its index; empty if this member does not
  // lead. The entry may still be replaced until it is in Effects::committed.
  std::pair<std::optional<LogIndex>, Effects> Propose(std::string aCommand);

  // Requests a linearizable read. The id is returned in the effects of this or
  // a later input, among the confirmed or the failed reads.
  Effects Read(ReadId aRead);

  // Reports that the write with this number and all earlier ones are durable.
  Effects CompleteWrites(std::uint64_t aNumber);

  // Replaces the log up to the last entry in Effects::committed by a snapshot
  // with the given state. The host must have applied that entry. Does nothing
  // if no entry was committed since the last snapshot.
  Effects Compact(std::string aData);

  // Returns whether this member leads and has committed an entry of its own
  // term, so that it knows all earlier committed entries.
  bool IsReady() const
  {
    return this->role == Role::Leader && this->HasCommittedInTerm();
  }

  Role CurrentRole() const { return this->role; }
  Term CurrentTerm() const { return this->state.term; }
  const Member& Self() const { return this->self; }
  // Returns the leader of the current term; empty if it is not known.
  std::optional<Member> Leader() const { return this->leader; }
  LogIndex CommitIndex() const { return this->commit; }
  LogIndex LastIndex() const { return this->log.Last(); }
  LogIndex SnapshotIndex() const { return this->snapshot.index; }
  const Configuration& Members() const { return this->members; }
  // Returns the voters that this leader has not heard from for so long that a
  // learner may replace them; empty if this member does not lead.
  std::set<Member> LostVoters() const;
  const Log& Entries() const { return this->log; }

private:
  // Replication state that a leader keeps for another member.
  struct Progress
  {
    // Last index known to match the leader's log and to be durable there.
    LogIndex match;
    // Index of the next entry to send.
    LogIndex next;
    // An append awaits its reply. Entries that arrive meanwhile are sent
    // together in the next one.
    bool isAwaitingReply = false;
    // A reply to an append, or one that continues a snapshot transfer, has
    // arrived since the last heartbeat.
    bool hasRepliedSinceHeartbeat = false;
    std::uint64_t ackedRound = 0;
    TimePoint lastContact;
    // Snapshot being sent, and the offset of its current chunk.
    std::optional<Snapshot> outgoingSnapshot;
    std::uint64_t outgoingOffset = 0;
  };

  // A write that is not yet durable, and the last log index after it.
  struct PendingWrite
  {
    std::uint64_t number = 0;
    LogIndex lastIndex;
  };

  // A message that is sent only once a write is durable.
  struct DeferredMessage
  {
    std::uint64_t afterWrite = 0;
    Message message;
  };

  // Effects and writes.
  Effects TakeEffects();
  void SendNow(const Member& aTo, MessageBody aBody);
  void SendNow(const Member& aTo, Term aTerm, MessageBody aBody);
  void SendAfterPersist(const Member& aTo, MessageBody aBody);
  Write& CurrentWrite();
  void SaveState();
  void AppendToLog(Entry aEntry);
  void TruncateLog(LogIndex aIndex);
  void DeliverCommitted();

  // Election.
  bool IsVoter() const;
  bool IsQuorum(const std::set<Member>& aMembers) const;
  bool HasLiveLeader() const;
  void ResetElectionTimer();
  // Returns a random duration from one to two times a base.
  Duration DrawElectionDelay(Duration aBase);
  void BecomeFollower(Term aTerm, std::optional<Member> aLeader);
  void StartElection(bool aIsPreVote);
  void BecomeLeader();
  void CheckQuorum();
  bool AcceptTerm(const Message& aMessage);
  bool AcceptNewerTerm(const Message& aMessage);
  void RejectOlderTerm(const Message& aMessage);
  void SetRole(Role aRole, std::optional<Member> aLeader);
  void RecordLeaderContact(const Member& aLeader);
  void CountVote(const Member& aVoter);
  bool IsUpToDate(const VoteRequest& aRequest) const;
  void Handle(const Message& aMessage, const VoteRequest& aRequest);
  void Handle(const Message& aMessage, const VoteReply& aReply);

  // Replication.
  void Handle(const Message& aMessage, const AppendRequest& aRequest);
  void Handle(const Message& aMessage, const AppendReply& aReply);
  void Handle(const Message& aMessage, const HeartbeatRequest& aRequest);
  void Handle(const Message& aMessage, const HeartbeatReply& aReply);
  Progress* FindProgress(const Member& aMember);
  void MergeEntries(const std::vector<Entry>& aEntries);
  void CommitTo(LogIndex aIndex);
  void SendAppend(const Member& aTo, Progress& aProgress);
  AppendRequest MakeAppend(LogIndex aNext) const;
  void Resend(const Member& aTo, Progress& aProgress);
  void SendAppends();
  void SendHeartbeats();
  LogIndex FindConflict(LogIndex aPrevious) const;
  void AdvanceCommit();

  // Snapshots.
  void Handle(const Message& aMessage, const SnapshotRequest& aRequest);
  void Handle(const Message& aMessage, const SnapshotReply& aReply);
  void SendSnapshotChunk(const Member& aTo, Progress& aProgress);
  void InstallSnapshot(Snapshot aSnapshot);

  // Reads.
  void StartReadRound();
  void CompleteReads();
  void FailReads();
  bool HasCommittedInTerm() const;

  // Members.
  void Handle(const Message& aMessage, const JoinRequest& aRequest);
  void SendJoin();
  void BootstrapGroup();
  void ProposeNextConfiguration();
  std::optional<Configuration> NextConfiguration() const;
  bool HasLiveQuorum(const Configuration& aMembers) const;
  std::size_t CountLive(const std::set<Member>& aMembers) const;
  bool IsLive(const Member& aMember) const;
  bool IsExpired(const Member& aMember, int aElectionTimeouts) const;
  bool IsReplaced(const Member& aMember) const;
  std::optional<Member> FindPromotable() const;
  std::optional<Member> FindInLargestZone() const;
  std::size_t CountVotersIn(const ZoneId& aZone) const;
  ZoneId ZoneOf(const Member& aMember) const;
  bool RemoveOne(Configuration& aNext) const;
  bool PromoteOne(Configuration& aNext) const;
  bool AddOne(Configuration& aNext) const;
  void ReloadMembers();
  void UpdateProgress();

  Options options;
  RandomSource random;
  Member self;
  HardState state;
  Log log;
  Snapshot snapshot;
  // Configuration of the newest configuration entry in the log, and of the
  // newest delivered one.
  Configuration members;
  Configuration deliveredMembers;
  // Index of the entry with the current members; 0 if they are from a snapshot.
  LogIndex membersIndex;

  TimePoint now;
  Role role = Role::Follower;
  std::optional<Member> leader;
  TimePoint lastLeaderContact;
  // A leader has been in contact since this process started.
  bool hasSeenLeader = false;
  // The connection to the leader has closed since the last contact with it.
  bool isLeaderDisconnected = false;
  TimePoint electionDue;
  TimePoint heartbeatDue;
  TimePoint quorumCheckDue;
  std::set<Member> votes;

  LogIndex commit;
  // Last index handed to the host in Effects::committed.
  LogIndex delivered;
  // Last index that is durable on this member's disk.
  LogIndex durable;
  LogIndex firstIndexOfTerm;
  std::map<Member, Progress> progress;

  // A read round is a set of heartbeats that confirms the reads that were
  // queued when it started.
  std::uint64_t round = 0;
  bool isRoundOpen = false;
  std::vector<ReadId> roundReads;
  std::vector<ReadId> queuedReads;

  // Last join request of an instance, with its current disk.
  struct PendingJoin
  {
    DiskId disk;
    bool mayBootstrap = false;
    Location location;
    TimePoint lastContact;
  };
  std::map<InstanceId, PendingJoin> pendingJoins;
  TimePoint joinDue;
  // Instances to which there is a connection.
  std::set<InstanceId> connected;

  // Snapshot being received.
  Snapshot incomingSnapshot;
  std::string incomingData;

  std::uint64_t lastWriteNumber = 0;
  // Number of the write that makes this member's vote for itself durable.
  std::uint64_t ownVoteWrite = 0;
  std::deque<PendingWrite> pendingWrites;
  std::deque<DeferredMessage> deferredMessages;
  Effects effects;
};

} // namespace lycheestand::consensus

#endif
