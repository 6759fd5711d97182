#ifndef LYCHEESTAND_CONSENSUS_H
#define LYCHEESTAND_CONSENSUS_H

// Replicated log of one group: election, replication, snapshots, reads and
// membership. Pure: each input returns the effects that its host carries out.

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

// One disk of one instance. An instance that lost its disk is another member.
struct Member
{
  InstanceId instance;
  DiskId disk;

  friend bool operator==(const Member&, const Member&) = default;
  friend auto operator<=>(const Member&, const Member&) = default;
};

// The members of a group. Learners receive the log and do not count.
struct Configuration
{
  std::set<Member> voters;
  std::set<Member> learners;

  // Returns the member of an instance, voter or learner, if there is one.
  std::optional<Member> Find(const InstanceId& aInstance) const;

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

// Entry that a new leader commits to learn what is committed.
struct Empty
{
  friend bool operator==(const Empty&, const Empty&) = default;
};
// Entry that carries an encoded command.
struct CommandBytes
{
  std::string bytes;

  friend bool operator==(const CommandBytes&, const CommandBytes&) = default;
};

// A change of members is in force once it is in the log.
using EntryBody = std::variant<Empty, CommandBytes, Configuration>;

struct Entry
{
  Term term;
  LogIndex index;
  EntryBody body;

  friend bool operator==(const Entry&, const Entry&) = default;
};

// The state after an entry, in place of the log up to it.
struct Snapshot
{
  LogIndex index;
  Term term;
  Configuration members;
  std::shared_ptr<const std::string> data;
};

// What a member must remember besides its log.
struct HardState
{
  GroupId group;
  DiskId disk;
  Term term;
  std::optional<Member> vote;
  // The disk was formatted as one of the first members'.
  bool mayForm = false;

  friend bool operator==(const HardState&, const HardState&) = default;
};

// ---------------------------------------------------------------- messages

struct VoteRequest
{
  // A pre-vote asks whether an election could be won, and changes no term.
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
  // Last index that agrees and is durable, or from which to try again.
  LogIndex index;
};
struct HeartbeatRequest
{
  // Number of the read round.
  std::uint64_t round = 0;
  LogIndex commit;
};
struct HeartbeatReply
{
  std::uint64_t round = 0;
};
// A piece of a snapshot.
struct SnapshotRequest
{
  LogIndex lastIndex;
  Term lastTerm;
  Configuration members;
  std::uint64_t offset = 0;
  bool isLast = false;
  std::string piece;
};
struct SnapshotReply
{
  LogIndex lastIndex;
  // Bytes received so far.
  std::uint64_t offset = 0;
};
// Sent by an instance that no configuration known to it names.
struct JoinRequest
{
  // The sender was formatted and has no log yet.
  bool mayForm = false;
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
  // The disk is zero in a JoinRequest, whose sender does not know it.
  Member to;
  Term term;
  MessageBody body;
};

// ---------------------------------------------------------------- effects

// What to make durable, in the order of the numbers. An entry replaces those
// from its index on.
struct Write
{
  std::uint64_t number = 0;
  std::optional<HardState> state;
  std::vector<Entry> entries;
  std::optional<Snapshot> snapshot;
  // The log on disk does not agree with the snapshot and must be dropped.
  bool discardLog = false;
};

enum class Role
{
  Follower,
  PreCandidate,
  Candidate,
  Leader
};

using ReadId = StrongType<struct ReadIdTag, std::uint64_t>;

// What the host does after an input, in any order but this: a snapshot is
// installed before committed entries are applied, and these before reads.
struct Effects
{
  std::vector<Message> messages;
  std::optional<Write> write;
  // State received from the leader, which replaces the state machine.
  std::optional<Snapshot> install;
  std::vector<Entry> committed;
  // Reads that may run now, and reads that this instance cannot answer.
  std::vector<ReadId> confirmed;
  std::vector<ReadId> failed;
  // The role or the known leader has changed.
  bool roleChanged = false;
};

// ---------------------------------------------------------------- node

struct Options
{
  GroupId group;
  InstanceId self;
  // All instances that may be members.
  std::vector<InstanceId> instances;
  // An election starts after one to two times this time without a leader; after
  // a start, or the end of the leader's link, sooner.
  Duration electionTimeout = std::chrono::milliseconds(1000);
  Duration heartbeatInterval = std::chrono::milliseconds(150);
  std::size_t maxAppendBytes = 512 * 1024;
  // Entries sent to a follower ahead of its answers.
  std::uint64_t maxEntriesAhead = 4096;
  std::size_t snapshotPieceBytes = 1024 * 1024;
  // Entries kept before the snapshot for followers that are a little behind.
  std::uint64_t keptEntries = 1024;
};

// What was read from the disk at start.
struct Restored
{
  HardState state;
  std::optional<Snapshot> snapshot;
  std::vector<Entry> entries;
};

// The log in memory: entries after a base that is known by index and term.
class Log
{
public:
  void Reset(LogIndex aIndex, Term aTerm);
  LogIndex First() const;
  LogIndex Last() const;
  // Returns the term of an entry or of the base, if it is known.
  std::optional<Term> TermAt(LogIndex aIndex) const;
  const Entry& At(LogIndex aIndex) const;
  void Append(Entry aEntry);
  // Drops the entries from an index on.
  void TruncateFrom(LogIndex aIndex);
  // Drops the entries up to an index, which becomes the base.
  void CompactTo(LogIndex aIndex);

private:
  LogIndex baseIndex;
  Term baseTerm;
  std::deque<Entry> entries;
};

// One member's part in a group's replicated log.
class Node
{
public:
  Node(Options aOptions,
       Restored aRestored,
       RandomSource aRandom,
       TimePoint aNow);

  // Time has passed; called at least every heartbeat interval.
  Effects Tick(TimePoint aNow);

  Effects Receive(TimePoint aNow, const Message& aMessage);

  // The link to an instance has ended; its process may have, too.
  Effects LosePeer(TimePoint aNow, const InstanceId& aPeer);

  // Appends a command; returns its index, or nothing on a member that does not
  // lead.
  std::pair<std::optional<LogIndex>, Effects> Propose(std::string aCommand);

  // Asks to confirm that a read may run; the effects tell when.
  Effects Read(ReadId aRead);

  // The write with this number and all before it are durable.
  Effects Persisted(std::uint64_t aNumber);

  // Replaces the log up to the last applied entry by the state after it.
  Effects Compact(std::string aData);

  // Returns whether this member leads and knows all that was committed before.
  bool IsReady() const
  {
    return this->role == Role::Leader && this->HasCommittedInTerm();
  }

  Role CurrentRole() const { return this->role; }
  Term CurrentTerm() const { return this->state.term; }
  const Member& Self() const { return this->self; }
  // Returns the leader of the current term, if it is known.
  std::optional<Member> Leader() const { return this->leader; }
  LogIndex CommitIndex() const { return this->commit; }
  LogIndex LastIndex() const { return this->log.Last(); }
  LogIndex SnapshotIndex() const { return this->snapshot.index; }
  const Configuration& Members() const { return this->members; }
  const Log& Entries() const { return this->log; }

private:
  // What a leader knows of another member.
  struct Progress
  {
    LogIndex match;
    LogIndex next;
    // False until the member's log is known to agree up to match.
    bool isReplicating = false;
    // An append was sent to learn where the logs agree.
    bool isProbing = false;
    // Something was answered since the last heartbeat.
    bool advanced = false;
    std::uint64_t ackedRound = 0;
    TimePoint lastHeard;
    // Snapshot being sent.
    std::optional<Snapshot> sending;
    std::uint64_t sendingOffset = 0;
  };

  // Writes not yet durable, with the last log index after each.
  struct PendingWrite
  {
    std::uint64_t number = 0;
    LogIndex lastIndex;
  };

  // Messages that may leave only after a write.
  struct HeldMessage
  {
    std::uint64_t afterWrite = 0;
    Message message;
  };

  // Effects and writes.
  Effects Finish();
  void SendNow(const Member& aTo, MessageBody aBody);
  void SendNow(const Member& aTo, Term aTerm, MessageBody aBody);
  void SendDurable(const Member& aTo, MessageBody aBody);
  Write& NextWrite();
  void SaveState();
  void AppendToLog(Entry aEntry);
  void TruncateLog(LogIndex aIndex);
  void DeliverCommitted();

  // Election.
  bool IsVoter() const;
  bool IsQuorum(const std::set<Member>& aMembers) const;
  bool HasLiveLeader() const;
  void ResetElectionTimer();
  // Returns one to two times a base, drawn at random.
  Duration DrawElectionDelay(Duration aBase);
  void BecomeFollower(Term aTerm, std::optional<Member> aLeader);
  void StartElection(bool aIsPreVote);
  void BecomeLeader();
  void CheckQuorum();
  bool AcceptTerm(const Message& aMessage);
  bool AcceptNewerTerm(const Message& aMessage);
  void RefuseOlderTerm(const Message& aMessage);
  void SetRole(Role aRole, std::optional<Member> aLeader);
  void HearLeader(const Member& aLeader);
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
  void SendSnapshotPiece(const Member& aTo, Progress& aProgress);
  void InstallSnapshot(Snapshot aSnapshot);

  // Reads.
  void StartReadRound();
  void CompleteReads();
  void FailReads();
  bool HasCommittedInTerm() const;

  // Members.
  void Handle(const Message& aMessage, const JoinRequest& aRequest);
  void SendJoin();
  void FormGroup();
  void ConsiderMembers();
  std::optional<Configuration> NextConfiguration() const;
  void UpdateMembers();
  void UpdateProgress();

  Options options;
  RandomSource random;
  Member self;
  HardState state;
  Log log;
  Snapshot snapshot;
  // Members by the newest entry in the log, and by the newest delivered one.
  Configuration members;
  Configuration deliveredMembers;
  // Index of the entry that made the members; 0 if a snapshot did.
  LogIndex membersIndex;

  TimePoint now;
  Role role = Role::Follower;
  std::optional<Member> leader;
  TimePoint lastHeardLeader;
  // A leader was heard since this process started.
  bool hasHeardLeader = false;
  // The leader's link has ended since it was last heard.
  bool isLeaderLinkLost = false;
  TimePoint electionDue;
  TimePoint heartbeatDue;
  TimePoint quorumCheckDue;
  std::set<Member> votes;

  LogIndex commit;
  LogIndex delivered;
  LogIndex durable;
  LogIndex firstOfTerm;
  std::map<Member, Progress> progress;

  std::uint64_t round = 0;
  bool isRoundOpen = false;
  std::vector<ReadId> roundReads;
  std::vector<ReadId> waitingReads;

  // Instances that ask to join, with the disk that they have now.
  struct Joiner
  {
    DiskId disk;
    bool mayForm = false;
    TimePoint lastHeard;
  };
  std::map<InstanceId, Joiner> joiners;
  TimePoint joinDue;

  // Snapshot being received.
  Snapshot receiving;
  std::string received;

  std::uint64_t lastWrite = 0;
  // The write that makes the vote for itself durable.
  std::uint64_t ownVoteWrite = 0;
  std::deque<PendingWrite> pendingWrites;
  std::deque<HeldMessage> held;
  Effects effects;
};

} // namespace lycheestand::consensus

#endif
