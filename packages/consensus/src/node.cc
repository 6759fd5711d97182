#include <algorithm>
#include <lycheestand/consensus.h>

// Inputs of a node, pending writes, and messages that are sent after a write.

namespace lycheestand::consensus {

namespace {

// Returns whether the message is a reply. Replies count towards quorums, so
// they are accepted only from members of this node's configuration.
bool
IsReply(const MessageBody& aBody)
{
  return std::holds_alternative<VoteReply>(aBody) ||
         std::holds_alternative<AppendReply>(aBody) ||
         std::holds_alternative<HeartbeatReply>(aBody) ||
         std::holds_alternative<SnapshotReply>(aBody);
}

} // namespace

std::optional<Member>
Configuration::Find(const InstanceId& aInstance) const
{
  for (const auto* members : { &this->voters, &this->learners }) {
    for (const auto& member : *members) {
      if (member.instance == aInstance) {
        return member;
      }
    }
  }
  return std::nullopt;
}

bool
Configuration::Contains(const Member& aMember) const
{
  return this->voters.contains(aMember) || this->learners.contains(aMember);
}

void
Configuration::Remove(const Member& aMember)
{
  this->voters.erase(aMember);
  this->learners.erase(aMember);
  this->locations.erase(aMember.instance);
}

Node::Node(Options aOptions,
           RecoveredState aRecovered,
           RandomSource aRandom,
           TimePoint aNow)
  : options(std::move(aOptions))
  , random(std::move(aRandom))
  , self{ this->options.self, aRecovered.state.disk }
  , state(std::move(aRecovered.state))
  , now(aNow)
  , joinDue(aNow)
{
  if (aRecovered.snapshot) {
    this->snapshot = std::move(*aRecovered.snapshot);
    this->log.Reset(this->snapshot.index, this->snapshot.term);
  }
  for (auto& entry : aRecovered.entries) {
    this->log.Append(std::move(entry));
  }
  this->commit = this->snapshot.index;
  this->delivered = this->snapshot.index;
  this->deliveredMembers = this->snapshot.members;
  this->durable = this->log.Last();
  this->ReloadMembers();
  this->ResetElectionTimer();
  if (this->IsVoter() && this->members.voters.size() == 1) {
    // No other voter can be the leader.
    this->electionDue = this->now;
  }
}

Effects
Node::Tick(TimePoint aNow)
{
  this->now = aNow;
  if (this->role == Role::Leader) {
    this->CheckQuorum();
  } else if (this->IsVoter() && this->now >= this->electionDue) {
    this->StartElection(true);
  }
  if (this->role == Role::Leader && this->now >= this->heartbeatDue) {
    this->heartbeatDue = this->now + this->options.heartbeatInterval;
    this->SendHeartbeats();
    this->ProposeNextConfiguration();
  }
  if (this->now >= this->joinDue) {
    this->joinDue = this->now + this->options.electionTimeout / 2;
    this->SendJoin();
    this->BootstrapGroup();
  }
  return this->TakeEffects();
}

Effects
Node::Receive(TimePoint aNow, const Message& aMessage)
{
  this->now = aNow;
  if (aMessage.group != this->state.group ||
      aMessage.from.instance == this->self.instance) {
    return this->TakeEffects();
  }
  if (const auto* join = std::get_if<JoinRequest>(&aMessage.body)) {
    this->Handle(aMessage, *join);
    return this->TakeEffects();
  }
  // A message to another disk of this instance is not for this member, and a
  // reply from another disk of a member's instance is not from that member.
  if (aMessage.to != this->self ||
      (IsReply(aMessage.body) && !this->members.Contains(aMessage.from))) {
    return this->TakeEffects();
  }
  if (this->AcceptTerm(aMessage)) {
    std::visit([&](const auto& aBody) { this->Handle(aMessage, aBody); },
               aMessage.body);
  }
  return this->TakeEffects();
}

std::pair<std::optional<LogIndex>, Effects>
Node::Propose(std::string aCommand)
{
  if (this->role != Role::Leader) {
    return { std::nullopt, this->TakeEffects() };
  }
  LogIndex index(this->log.Last().Get() + 1);
  this->AppendToLog(
    { this->state.term, index, CommandBytes{ std::move(aCommand) } });
  this->SendAppends();
  return { index, this->TakeEffects() };
}

Effects
Node::CompleteWrites(std::uint64_t aNumber)
{
  while (!this->pendingWrites.empty() &&
         this->pendingWrites.front().number <= aNumber) {
    this->durable =
      std::max(this->durable, this->pendingWrites.front().lastIndex);
    this->pendingWrites.pop_front();
  }
  while (!this->deferredMessages.empty() &&
         this->deferredMessages.front().afterWrite <= aNumber) {
    this->effects.messages.push_back(
      std::move(this->deferredMessages.front().message));
    this->deferredMessages.pop_front();
  }
  if (this->role == Role::Candidate && this->ownVoteWrite <= aNumber) {
    this->CountVote(this->self);
  }
  if (this->role == Role::Leader) {
    this->AdvanceCommit();
  }
  return this->TakeEffects();
}

Effects
Node::TakeEffects()
{
  this->DeliverCommitted();
  Effects out = std::move(this->effects);
  this->effects = {};
  return out;
}

void
Node::SendNow(const Member& aTo, MessageBody aBody)
{
  this->SendNow(aTo, this->state.term, std::move(aBody));
}

void
Node::SendNow(const Member& aTo, Term aTerm, MessageBody aBody)
{
  this->effects.messages.push_back(
    { this->state.group, this->self, aTo, aTerm, std::move(aBody) });
}

// Sends a message once all writes so far are durable, because the message
// implies that they are.
void
Node::SendAfterPersist(const Member& aTo, MessageBody aBody)
{
  if (this->pendingWrites.empty()) {
    this->SendNow(aTo, std::move(aBody));
    return;
  }
  this->deferredMessages.push_back({ this->lastWriteNumber,
                                     { this->state.group,
                                       this->self,
                                       aTo,
                                       this->state.term,
                                       std::move(aBody) } });
}

// Returns the write of this input's effects; creates it if there is none yet.
Write&
Node::CurrentWrite()
{
  if (!this->effects.write) {
    this->effects.write.emplace();
    this->effects.write->number = ++this->lastWriteNumber;
    this->pendingWrites.push_back({ this->lastWriteNumber, this->log.Last() });
  }
  return *this->effects.write;
}

void
Node::SaveState()
{
  this->CurrentWrite().state = this->state;
}

void
Node::AppendToLog(Entry aEntry)
{
  this->CurrentWrite().entries.push_back(aEntry);
  if (const auto* changed = std::get_if<Configuration>(&aEntry.body)) {
    this->members = *changed;
    this->membersIndex = aEntry.index;
    this->UpdateProgress();
  }
  this->log.Append(std::move(aEntry));
  this->pendingWrites.back().lastIndex = this->log.Last();
}

// A pending write may contain entries that are removed here. They must not
// count as durable when that write completes.
void
Node::TruncateLog(LogIndex aIndex)
{
  LogIndex last(aIndex.Get() - 1);
  this->log.TruncateFrom(aIndex);
  this->durable = std::min(this->durable, last);
  for (auto& write : this->pendingWrites) {
    write.lastIndex = std::min(write.lastIndex, last);
  }
  if (this->membersIndex >= aIndex) {
    this->ReloadMembers();
  }
}

void
Node::DeliverCommitted()
{
  while (this->delivered < this->commit) {
    this->delivered = LogIndex(this->delivered.Get() + 1);
    const Entry& entry = this->log.At(this->delivered);
    if (const auto* changed = std::get_if<Configuration>(&entry.body)) {
      this->deliveredMembers = *changed;
    }
    this->effects.committed.push_back(entry);
  }
}

} // namespace lycheestand::consensus
