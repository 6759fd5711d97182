#include <algorithm>
#include <lycheestand/consensus.h>

// Membership: bootstrapping the group, and replacing a member whose disk was
// lost.

namespace lycheestand::consensus {

namespace {

// A learner is promoted to voter when it lacks at most this many committed
// entries. Under load it never has all of them; a quorum without it holds the
// missing ones.
constexpr std::uint64_t kMaxLearnerLagEntries = 256;

// Election timeouts after which a join request expires. It is repeated twice in
// each election timeout.
constexpr int kJoinExpiryElectionTimeouts = 3;

} // namespace

// Sets the members to the newest configuration in the log, or else to that of
// the snapshot.
void
Node::ReloadMembers()
{
  this->members = this->snapshot.members;
  this->membersIndex = LogIndex(0);
  for (auto index = this->log.Last();
       index > this->snapshot.index && index >= this->log.First();
       index = LogIndex(index.Get() - 1)) {
    const auto* found = std::get_if<Configuration>(&this->log.At(index).body);
    if (found != nullptr) {
      this->members = *found;
      this->membersIndex = index;
      return;
    }
  }
}

// Adds and removes Progress records so that they match the current members.
void
Node::UpdateProgress()
{
  if (this->role != Role::Leader) {
    return;
  }
  std::erase_if(this->progress, [this](const auto& aPeer) {
    return !this->members.voters.contains(aPeer.first) &&
           !this->members.learners.contains(aPeer.first);
  });
  for (const auto* list : { &this->members.voters, &this->members.learners }) {
    for (const auto& member : *list) {
      if (member != this->self && !this->progress.contains(member)) {
        Progress& peer = this->progress[member];
        peer.next = LogIndex(this->log.Last().Get() + 1);
        peer.lastContact = this->now;
      }
    }
  }
}

void
Node::SendJoin()
{
  if (this->members.voters.contains(this->self) ||
      this->members.learners.contains(this->self)) {
    return;
  }
  bool mayBootstrap =
    this->state.mayBootstrap && this->log.Last() == LogIndex(0);
  for (const auto& instance : this->options.instances) {
    if (instance != this->self.instance) {
      this->SendNow({ instance, DiskId(0) }, JoinRequest{ mayBootstrap });
    }
  }
}

void
Node::Handle(const Message& aMessage, const JoinRequest& aRequest)
{
  const auto& known = this->options.instances;
  if (std::find(known.begin(), known.end(), aMessage.from.instance) ==
      known.end()) {
    return;
  }
  this->pendingJoins[aMessage.from.instance] = { aMessage.from.disk,
                                                 aRequest.mayBootstrap,
                                                 this->now };
  this->ProposeNextConfiguration();
  this->BootstrapGroup();
}

// Only the instance with the lowest id writes the initial configuration, and
// only when all instances are formatted and have empty logs, so that there is
// one first entry.
void
Node::BootstrapGroup()
{
  const auto& instances = this->options.instances;
  if (!this->state.mayBootstrap || this->log.Last() != LogIndex(0) ||
      *std::min_element(instances.begin(), instances.end()) !=
        this->self.instance) {
    return;
  }
  Configuration first;
  for (const auto& instance : instances) {
    if (instance == this->self.instance) {
      first.voters.insert(this->self);
      continue;
    }
    auto pendingJoin = this->pendingJoins.find(instance);
    if (pendingJoin == this->pendingJoins.end() ||
        !pendingJoin->second.mayBootstrap ||
        this->now - pendingJoin->second.lastContact >=
          this->options.electionTimeout * kJoinExpiryElectionTimeouts) {
      return;
    }
    first.voters.insert({ instance, pendingJoin->second.disk });
  }
  if (this->state.term == Term(0)) {
    this->BecomeFollower(Term(1), std::nullopt);
  }
  this->AppendToLog({ Term(1), LogIndex(1), std::move(first) });
  // No other member can start the first election.
  this->electionDue = this->now;
}

// Changes one member at a time, each change after the previous one is
// committed. A new leader first commits an entry of its own term, because an
// uncommitted change by an earlier leader may still be in other logs.
void
Node::ProposeNextConfiguration()
{
  if (this->role != Role::Leader || !this->HasCommittedInTerm() ||
      this->membersIndex > this->commit) {
    return;
  }
  if (auto next = this->NextConfiguration()) {
    LogIndex index(this->log.Last().Get() + 1);
    this->AppendToLog({ this->state.term, index, std::move(*next) });
    this->SendAppends();
    this->AdvanceCommit();
  }
}

std::optional<Configuration>
Node::NextConfiguration() const
{
  Configuration next = this->members;
  auto isLive = [this](const Member& aMember) {
    auto peer = this->progress.find(aMember);
    return aMember == this->self || (peer != this->progress.end() &&
                                     this->now - peer->second.lastContact <
                                       this->options.electionTimeout);
  };
  for (const auto& [instance, pendingJoin] : this->pendingJoins) {
    Member newMember{ instance, pendingJoin.disk };
    auto present = this->members.Find(instance);
    if (present == newMember ||
        this->now - pendingJoin.lastContact >=
          this->options.electionTimeout * kJoinExpiryElectionTimeouts) {
      continue;
    }
    if (!present) {
      next.learners.insert(newMember);
      return next;
    }
    // The member with the old disk is removed first, once there has been no
    // contact with it for an election timeout.
    if (!isLive(*present)) {
      next.voters.erase(*present);
      next.learners.erase(*present);
      return next;
    }
  }
  for (const auto& learner : this->members.learners) {
    const auto& peer = this->progress.at(learner);
    if (isLive(learner) && peer.match >= this->membersIndex &&
        peer.match.Get() + kMaxLearnerLagEntries >= this->commit.Get()) {
      next.learners.erase(learner);
      next.voters.insert(learner);
      return next;
    }
  }
  return std::nullopt;
}

} // namespace lycheestand::consensus
