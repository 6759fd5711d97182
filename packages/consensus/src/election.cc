#include <algorithm>
#include <lycheestand/consensus.h>

// Terms, elections with pre-vote, and the leader's check of its quorum.

namespace lycheestand::consensus {

namespace {

// The election timeout is divided by this after a start and after the
// connection to the leader has closed. A pre-vote cannot depose a leader that
// others are in contact with, so an early one costs only a few messages.
constexpr int kEarlyElectionDivisor = 4;

} // namespace

bool
Node::IsVoter() const
{
  return this->members.voters.contains(this->self);
}

bool
Node::IsQuorum(const std::set<Member>& aMembers) const
{
  auto counted = std::count_if(
    this->members.voters.begin(),
    this->members.voters.end(),
    [&](const Member& aVoter) { return aMembers.contains(aVoter); });
  return static_cast<std::size_t>(counted) > this->members.voters.size() / 2;
}

bool
Node::HasLiveLeader() const
{
  return this->role == Role::Leader ||
         (this->leader && !this->isLeaderDisconnected &&
          this->now - this->lastLeaderContact < this->options.electionTimeout);
}

void
Node::ResetElectionTimer()
{
  auto base = this->options.electionTimeout;
  if (!this->hasSeenLeader) {
    base /= kEarlyElectionDivisor;
  }
  this->electionDue = this->now + this->DrawElectionDelay(base);
}

Duration
Node::DrawElectionDelay(Duration aBase)
{
  auto extra = this->random(static_cast<std::uint64_t>(aBase.count()));
  return aBase + Duration(extra);
}

void
Node::SetRole(Role aRole, std::optional<Member> aLeader)
{
  bool lostLeadership = this->role == Role::Leader && aRole != Role::Leader;
  this->effects.roleChanged |= this->role != aRole || this->leader != aLeader;
  this->role = aRole;
  this->leader = std::move(aLeader);
  if (lostLeadership) {
    this->progress.clear();
    this->FailReads();
  }
}

// Deferred messages belong to the old term and are discarded with it. An
// acknowledgement among them may be for entries that a new leader replaces, so
// it must not be sent.
void
Node::BecomeFollower(Term aTerm, std::optional<Member> aLeader)
{
  if (aTerm > this->state.term) {
    this->state.term = aTerm;
    this->state.vote.reset();
    this->deferredMessages.clear();
    this->SaveState();
  }
  this->SetRole(Role::Follower, std::move(aLeader));
  this->ResetElectionTimer();
}

void
Node::RecordLeaderContact(const Member& aLeader)
{
  if (this->role != Role::Follower || this->leader != aLeader) {
    this->BecomeFollower(this->state.term, aLeader);
  }
  this->hasSeenLeader = true;
  this->isLeaderDisconnected = false;
  this->lastLeaderContact = this->now;
  this->ResetElectionTimer();
}

void
Node::HandleConnect(const InstanceId& aPeer)
{
  this->connected.insert(aPeer);
}

// The leader stays known until the election starts, so that a connection that
// is reset and reopened in the meantime causes no election.
Effects
Node::HandleDisconnect(TimePoint aNow, const InstanceId& aPeer)
{
  this->now = aNow;
  this->connected.erase(aPeer);
  if (this->role == Role::Follower && this->leader &&
      this->leader->instance == aPeer) {
    auto delay = this->DrawElectionDelay(this->options.electionTimeout /
                                         kEarlyElectionDivisor);
    this->electionDue = std::min(this->electionDue, this->now + delay);
    this->isLeaderDisconnected = true;
  }
  return this->TakeEffects();
}

// The vote of this member for itself counts, and the vote requests are sent,
// only once that vote is durable: after a restart this member must not vote for
// another candidate in the same term.
void
Node::StartElection(bool aIsPreVote)
{
  this->votes.clear();
  this->SetRole(aIsPreVote ? Role::PreCandidate : Role::Candidate,
                std::nullopt);
  this->ResetElectionTimer();
  VoteRequest request{ aIsPreVote,
                       this->log.Last(),
                       *this->log.TermAt(this->log.Last()) };
  if (!aIsPreVote) {
    this->state.term = Term(this->state.term.Get() + 1);
    this->state.vote = this->self;
    this->deferredMessages.clear();
    this->SaveState();
    this->ownVoteWrite = this->lastWriteNumber;
  }
  for (const auto& voter : this->members.voters) {
    if (voter == this->self) {
      continue;
    }
    if (aIsPreVote) {
      this->SendNow(voter, Term(this->state.term.Get() + 1), request);
    } else {
      this->SendAfterPersist(voter, request);
    }
  }
  if (aIsPreVote) {
    this->CountVote(this->self);
  }
}

void
Node::CountVote(const Member& aVoter)
{
  this->votes.insert(aVoter);
  if (!this->IsQuorum(this->votes)) {
    return;
  }
  if (this->role == Role::PreCandidate) {
    this->StartElection(false);
  } else if (this->role == Role::Candidate) {
    this->BecomeLeader();
  }
}

void
Node::BecomeLeader()
{
  this->SetRole(Role::Leader, this->self);
  this->progress.clear();
  this->UpdateProgress();
  this->quorumCheckDue = this->now + this->options.electionTimeout;
  this->heartbeatDue = this->now + this->options.heartbeatInterval;
  this->isRoundOpen = false;
  this->firstIndexOfTerm = LogIndex(this->log.Last().Get() + 1);
  this->AppendToLog({ this->state.term, this->firstIndexOfTerm, NoOp{} });
  this->SendAppends();
}

// Steps down if a quorum was not in contact during the last election timeout,
// so that a partitioned leader stops serving requests.
void
Node::CheckQuorum()
{
  if (this->now < this->quorumCheckDue) {
    return;
  }
  this->quorumCheckDue = this->now + this->options.electionTimeout;
  std::set<Member> reachable{ this->self };
  for (const auto& [member, peer] : this->progress) {
    if (this->now - peer.lastContact < this->options.electionTimeout) {
      reachable.insert(member);
    }
  }
  if (!this->IsQuorum(reachable)) {
    this->BecomeFollower(this->state.term, std::nullopt);
  }
}

bool
Node::AcceptTerm(const Message& aMessage)
{
  if (aMessage.term > this->state.term) {
    return this->AcceptNewerTerm(aMessage);
  }
  if (aMessage.term < this->state.term) {
    this->RejectOlderTerm(aMessage);
    return false;
  }
  return true;
}

bool
Node::AcceptNewerTerm(const Message& aMessage)
{
  if (const auto* request = std::get_if<VoteRequest>(&aMessage.body)) {
    // A member that returns from a partition must not depose a leader that the
    // others are in contact with.
    if (this->HasLiveLeader()) {
      return false;
    }
    if (request->isPreVote) {
      return true;
    }
  }
  if (const auto* reply = std::get_if<VoteReply>(&aMessage.body)) {
    // A granted pre-vote carries the term that the election would have.
    if (reply->isPreVote && reply->granted) {
      return true;
    }
  }
  this->BecomeFollower(aMessage.term, std::nullopt);
  return true;
}

// Tells a leader or a pre-candidate with an older term about the current term.
void
Node::RejectOlderTerm(const Message& aMessage)
{
  const auto* vote = std::get_if<VoteRequest>(&aMessage.body);
  if (vote != nullptr && vote->isPreVote) {
    this->SendAfterPersist(aMessage.from, VoteReply{ true, false });
  } else if (std::holds_alternative<AppendRequest>(aMessage.body) ||
             std::holds_alternative<HeartbeatRequest>(aMessage.body) ||
             std::holds_alternative<SnapshotRequest>(aMessage.body)) {
    this->SendAfterPersist(aMessage.from, AppendReply{ false, this->commit });
  }
}

bool
Node::IsUpToDate(const VoteRequest& aRequest) const
{
  Term ownTerm = *this->log.TermAt(this->log.Last());
  return aRequest.lastTerm > ownTerm ||
         (aRequest.lastTerm == ownTerm &&
          aRequest.lastIndex >= this->log.Last());
}

// The configuration of this member may be older than the candidate's, so the
// vote does not depend on it. The candidate counts only votes of voters in its
// own configuration.
void
Node::Handle(const Message& aMessage, const VoteRequest& aRequest)
{
  bool upToDate = this->IsUpToDate(aRequest);
  if (aRequest.isPreVote) {
    bool granted =
      upToDate && aMessage.term > this->state.term && !this->HasLiveLeader();
    this->SendNow(aMessage.from,
                  granted ? aMessage.term : this->state.term,
                  VoteReply{ true, granted });
    return;
  }
  bool granted =
    upToDate && (!this->state.vote || *this->state.vote == aMessage.from);
  if (granted) {
    if (!this->state.vote) {
      this->state.vote = aMessage.from;
      this->SaveState();
    }
    this->ResetElectionTimer();
  }
  this->SendAfterPersist(aMessage.from, VoteReply{ false, granted });
}

void
Node::Handle(const Message& aMessage, const VoteReply& aReply)
{
  bool isExpected = aReply.isPreVote
                      ? this->role == Role::PreCandidate &&
                          aMessage.term.Get() == this->state.term.Get() + 1
                      : this->role == Role::Candidate;
  if (isExpected && aReply.granted) {
    this->CountVote(aMessage.from);
  }
}

} // namespace lycheestand::consensus
