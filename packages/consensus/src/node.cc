#include <algorithm>
#include <lycheestand/consensus.h>

// Inputs of a node, and the bookkeeping of writes and of messages that wait
// for them.

namespace lycheestand::consensus {

namespace {

// Returns whether only a member of the sender's own configuration may be
// counted for this message.
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

Node::Node(Options aOptions,
           Restored aRestored,
           RandomSource aRandom,
           TimePoint aNow)
  : options(std::move(aOptions))
  , random(std::move(aRandom))
  , self{ this->options.self, aRestored.state.disk }
  , state(std::move(aRestored.state))
  , now(aNow)
  , joinDue(aNow)
{
  if (aRestored.snapshot) {
    this->snapshot = std::move(*aRestored.snapshot);
    this->log.Reset(this->snapshot.index, this->snapshot.term);
  }
  for (auto& entry : aRestored.entries) {
    this->log.Append(std::move(entry));
  }
  this->commit = this->snapshot.index;
  this->delivered = this->snapshot.index;
  this->deliveredMembers = this->snapshot.members;
  this->durable = this->log.Last();
  this->UpdateMembers();
  this->ResetElectionTimer();
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
    this->ConsiderMembers();
  }
  if (this->now >= this->joinDue) {
    this->joinDue = this->now + this->options.electionTimeout / 2;
    this->SendJoin();
    this->FormGroup();
  }
  return this->Finish();
}

Effects
Node::Receive(TimePoint aNow, const Message& aMessage)
{
  this->now = aNow;
  if (aMessage.group != this->state.group ||
      aMessage.from.instance == this->self.instance) {
    return this->Finish();
  }
  if (const auto* join = std::get_if<JoinRequest>(&aMessage.body)) {
    this->Handle(aMessage, *join);
    return this->Finish();
  }
  // What was sent to another disk of this instance is not for this member, and
  // what another disk of a member answers is not that member's answer.
  if (aMessage.to != this->self ||
      (IsReply(aMessage.body) &&
       !this->members.voters.contains(aMessage.from) &&
       !this->members.learners.contains(aMessage.from))) {
    return this->Finish();
  }
  if (this->AcceptTerm(aMessage)) {
    std::visit([&](const auto& aBody) { this->Handle(aMessage, aBody); },
               aMessage.body);
  }
  return this->Finish();
}

std::pair<std::optional<LogIndex>, Effects>
Node::Propose(std::string aCommand)
{
  if (this->role != Role::Leader) {
    return { std::nullopt, this->Finish() };
  }
  LogIndex index(this->log.Last().Get() + 1);
  this->AppendToLog(
    { this->state.term, index, CommandBytes{ std::move(aCommand) } });
  this->SendAppends();
  return { index, this->Finish() };
}

Effects
Node::Persisted(std::uint64_t aNumber)
{
  while (!this->pendingWrites.empty() &&
         this->pendingWrites.front().number <= aNumber) {
    this->durable =
      std::max(this->durable, this->pendingWrites.front().lastIndex);
    this->pendingWrites.pop_front();
  }
  while (!this->held.empty() && this->held.front().afterWrite <= aNumber) {
    this->effects.messages.push_back(std::move(this->held.front().message));
    this->held.pop_front();
  }
  if (this->role == Role::Candidate && this->ownVoteWrite <= aNumber) {
    this->CountVote(this->self);
  }
  if (this->role == Role::Leader) {
    this->AdvanceCommit();
  }
  return this->Finish();
}

Effects
Node::Finish()
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

// Sends a message that promises something durable once all writes so far are.
void
Node::SendDurable(const Member& aTo, MessageBody aBody)
{
  if (this->pendingWrites.empty()) {
    this->SendNow(aTo, std::move(aBody));
    return;
  }
  this->held.push_back({ this->lastWrite,
                         { this->state.group,
                           this->self,
                           aTo,
                           this->state.term,
                           std::move(aBody) } });
}

Write&
Node::NextWrite()
{
  if (!this->effects.write) {
    this->effects.write.emplace();
    this->effects.write->number = ++this->lastWrite;
    this->pendingWrites.push_back({ this->lastWrite, this->log.Last() });
  }
  return *this->effects.write;
}

void
Node::SaveState()
{
  this->NextWrite().state = this->state;
}

void
Node::AppendToLog(Entry aEntry)
{
  this->NextWrite().entries.push_back(aEntry);
  if (const auto* changed = std::get_if<Configuration>(&aEntry.body)) {
    this->members = *changed;
    this->membersIndex = aEntry.index;
    this->UpdateProgress();
  }
  this->log.Append(std::move(aEntry));
  this->pendingWrites.back().lastIndex = this->log.Last();
}

// A write that is still pending may hold entries that are replaced here; they
// do not count as durable once it completes.
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
    this->UpdateMembers();
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
