#include <algorithm>
#include <lycheestand/consensus.h>

// Members: forming the group, and replacing a member that lost its disk.

namespace lycheestand::consensus {

namespace {

// Entries that a learner may lack when it becomes a voter. Under load it never
// has all of them; what it lacks is held by a quorum without it.
constexpr std::uint64_t kCatchUpEntries = 256;

// Election timeouts for which a request to join counts; it is repeated twice
// in each.
constexpr int kJoinTimeouts = 3;

} // namespace

// Sets the members by the newest entry that changed them.
void
Node::UpdateMembers()
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

// Follows the members with what the leader knows of them.
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
        peer.lastHeard = this->now;
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
  bool mayForm = this->state.mayForm && this->log.Last() == LogIndex(0);
  for (const auto& instance : this->options.instances) {
    if (instance != this->self.instance) {
      this->SendNow({ instance, DiskId(0) }, JoinRequest{ mayForm });
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
  this->joiners[aMessage.from.instance] = { aMessage.from.disk,
                                            aRequest.mayForm,
                                            this->now };
  this->ConsiderMembers();
  this->FormGroup();
}

// Only the first instance writes the first members, and only when all of them
// are formatted and have no log, so that there is one first entry.
void
Node::FormGroup()
{
  const auto& instances = this->options.instances;
  if (!this->state.mayForm || this->log.Last() != LogIndex(0) ||
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
    auto joiner = this->joiners.find(instance);
    if (joiner == this->joiners.end() || !joiner->second.mayForm ||
        this->now - joiner->second.lastHeard >=
          this->options.electionTimeout * kJoinTimeouts) {
      return;
    }
    first.voters.insert({ instance, joiner->second.disk });
  }
  if (this->state.term == Term(0)) {
    this->BecomeFollower(Term(1), std::nullopt);
  }
  this->AppendToLog({ Term(1), LogIndex(1), std::move(first) });
  // No other member can start the first election.
  this->electionDue = this->now;
}

// Changes the members by one at a time, each after the one before is
// committed. A new leader waits for an entry of its own term, because an
// uncommitted change of an earlier leader may still be in other logs.
void
Node::ConsiderMembers()
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
    return aMember == this->self ||
           (peer != this->progress.end() &&
            this->now - peer->second.lastHeard < this->options.electionTimeout);
  };
  for (const auto& [instance, joiner] : this->joiners) {
    Member joining{ instance, joiner.disk };
    auto present = this->members.Find(instance);
    if (present == joining || this->now - joiner.lastHeard >=
                                this->options.electionTimeout * kJoinTimeouts) {
      continue;
    }
    if (!present) {
      next.learners.insert(joining);
      return next;
    }
    // The old disk is gone once it is silent; it is removed first.
    if (!isLive(*present)) {
      next.voters.erase(*present);
      next.learners.erase(*present);
      return next;
    }
  }
  for (const auto& learner : this->members.learners) {
    const auto& peer = this->progress.at(learner);
    if (isLive(learner) && peer.match >= this->membersIndex &&
        peer.match.Get() + kCatchUpEntries >= this->commit.Get()) {
      next.learners.erase(learner);
      next.voters.insert(learner);
      return next;
    }
  }
  return std::nullopt;
}

} // namespace lycheestand::consensus
