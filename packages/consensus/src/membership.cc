#include <algorithm>
#include <lycheestand/consensus.h>

// Membership: bootstrapping the group, and replacing members that were lost.

namespace lycheestand::consensus {

namespace {

// A learner is promoted to voter when it lacks at most this many committed
// entries. Under load it never has all of them; a quorum without it holds the
// missing ones.
constexpr std::uint64_t kMaxLearnerLagEntries = 256;

// Election timeouts after which a join request expires. It is repeated twice in
// each election timeout.
constexpr int kJoinExpiryElectionTimeouts = 3;

// Election timeouts without contact after which a learner replaces a voter. A
// restart takes less.
constexpr int kVoterExpiryElectionTimeouts = 4;

// Election timeouts without contact after which a learner is removed. It joins
// again if it returns.
constexpr int kLearnerExpiryElectionTimeouts = 20;

} // namespace

namespace {

void
SetLocation(Configuration& aMembers,
            const InstanceId& aInstance,
            const Location& aLocation)
{
  if (!aLocation.address.host.empty()) {
    aMembers.locations[aInstance] = aLocation;
  }
}

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
    return !this->members.Contains(aPeer.first);
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

// A member that was removed while it was out of contact does not learn of it
// from its own log. So a member that hears of no leader asks, too.
void
Node::SendJoin()
{
  if (this->members.Contains(this->self) && this->HasLiveLeader()) {
    return;
  }
  bool mayBootstrap =
    this->state.mayBootstrap && this->log.Last() == LogIndex(0);
  for (const auto& instance : this->connected) {
    this->SendNow({ instance, DiskId(0) },
                  JoinRequest{ mayBootstrap, this->options.location });
  }
}

void
Node::Handle(const Message& aMessage, const JoinRequest& aRequest)
{
  this->pendingJoins[aMessage.from.instance] = {
    aMessage.from.disk, aRequest.mayBootstrap, aRequest.location, this->now
  };
  this->ProposeNextConfiguration();
  this->BootstrapGroup();
}

// Only the instance with the lowest id writes the initial configuration, and
// only when all instances are formatted and have empty logs, so that there is
// one first entry.
void
Node::BootstrapGroup()
{
  const auto& founders = this->options.founders;
  if (!this->state.mayBootstrap || this->log.Last() != LogIndex(0) ||
      founders.empty() ||
      *std::min_element(founders.begin(), founders.end()) !=
        this->self.instance) {
    return;
  }
  Configuration first;
  for (const auto& instance : founders) {
    if (instance == this->self.instance) {
      first.voters.insert(this->self);
      SetLocation(first, instance, this->options.location);
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
    SetLocation(first, instance, pendingJoin->second.location);
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

// A voter whose disk is lost is removed at once. One that is only out of
// contact still has its log, and the group may need it if further disks are
// lost, so it is removed only after another instance has become a voter in its
// place.
std::optional<Configuration>
Node::NextConfiguration() const
{
  Configuration next = this->members;
  bool isChanged =
    this->RemoveOne(next) || this->PromoteOne(next) || this->AddOne(next);
  return isChanged && this->HasLiveQuorum(next) ? std::optional(std::move(next))
                                                : std::nullopt;
}

// Returns whether a configuration could be committed now. Without this check, a
// change could make a group depend on members that are lost.
bool
Node::HasLiveQuorum(const Configuration& aMembers) const
{
  return this->CountLive(aMembers.voters) > aMembers.voters.size() / 2;
}

std::size_t
Node::CountLive(const std::set<Member>& aMembers) const
{
  return static_cast<std::size_t>(
    std::count_if(aMembers.begin(), aMembers.end(), [&](const Member& aMember) {
      return this->IsLive(aMember);
    }));
}

bool
Node::IsLive(const Member& aMember) const
{
  auto peer = this->progress.find(aMember);
  return aMember == this->self ||
         (peer != this->progress.end() &&
          this->now - peer->second.lastContact < this->options.electionTimeout);
}

// Returns whether a member was out of contact for a number of election
// timeouts.
bool
Node::IsExpired(const Member& aMember, int aElectionTimeouts) const
{
  return aMember != this->self &&
         this->now - this->progress.at(aMember).lastContact >=
           this->options.electionTimeout * aElectionTimeouts;
}

std::set<Member>
Node::LostVoters() const
{
  std::set<Member> lost;
  if (this->role != Role::Leader) {
    return lost;
  }
  for (const auto& voter : this->members.voters) {
    if (this->IsExpired(voter, kVoterExpiryElectionTimeouts)) {
      lost.insert(voter);
    }
  }
  return lost;
}

// Returns whether the instance of a member has joined with another disk. The
// member with the old disk is then gone for good.
bool
Node::IsReplaced(const Member& aMember) const
{
  auto join = this->pendingJoins.find(aMember.instance);
  return join != this->pendingJoins.end() &&
         join->second.disk != aMember.disk &&
         this->now - join->second.lastContact <
           this->options.electionTimeout * kJoinExpiryElectionTimeouts;
}

ZoneId
Node::ZoneOf(const Member& aMember) const
{
  auto found = this->members.locations.find(aMember.instance);
  return found == this->members.locations.end() ? ZoneId() : found->second.zone;
}

std::size_t
Node::CountVotersIn(const ZoneId& aZone) const
{
  const auto& voters = this->members.voters;
  return static_cast<std::size_t>(
    std::count_if(voters.begin(), voters.end(), [&](const Member& aVoter) {
      return this->ZoneOf(aVoter) == aZone;
    }));
}

// Returns the learner to promote next: live, caught up, and in the availability
// zone with the fewest voters.
std::optional<Member>
Node::FindPromotable() const
{
  std::optional<Member> best;
  for (const auto& learner : this->members.learners) {
    const auto& peer = this->progress.at(learner);
    bool isCaughtUp =
      peer.match >= this->membersIndex &&
      peer.match.Get() + kMaxLearnerLagEntries >= this->commit.Get();
    if (this->IsLive(learner) && isCaughtUp &&
        (!best || this->CountVotersIn(this->ZoneOf(learner)) <
                    this->CountVotersIn(this->ZoneOf(*best)))) {
      best = learner;
    }
  }
  return best;
}

// Removes a member that is gone, or makes a surplus voter a learner. Returns
// whether it did.
bool
Node::RemoveOne(Configuration& aNext) const
{
  const auto& voters = this->members.voters;
  bool isTooLarge = voters.size() > this->options.maxVoters;
  for (const auto& voter : voters) {
    if ((this->IsReplaced(voter) && !this->IsLive(voter)) ||
        (isTooLarge && this->IsExpired(voter, kVoterExpiryElectionTimeouts))) {
      aNext.Remove(voter);
      return true;
    }
  }
  for (const auto& learner : this->members.learners) {
    if ((this->IsReplaced(learner) && !this->IsLive(learner)) ||
        this->IsExpired(learner, kLearnerExpiryElectionTimeouts)) {
      aNext.Remove(learner);
      return true;
    }
  }
  if (!isTooLarge || this->CountLive(voters) < voters.size()) {
    return false;
  }
  auto surplus = *this->FindInLargestZone();
  aNext.voters.erase(surplus);
  aNext.learners.insert(surplus);
  return true;
}

// Returns a voter, other than this member, of the availability zone with the
// most voters.
std::optional<Member>
Node::FindInLargestZone() const
{
  std::optional<Member> found;
  for (const auto& voter : this->members.voters) {
    if (voter != this->self &&
        (!found || this->CountVotersIn(this->ZoneOf(voter)) >
                     this->CountVotersIn(this->ZoneOf(*found)))) {
      found = voter;
    }
  }
  return found;
}

// Makes a learner a voter if there are too few voters, if a voter is out of
// contact, or if the learner's availability zone has at least two voters less
// than another one. In the last two cases the group is too large until
// RemoveOne has removed a voter.
bool
Node::PromoteOne(Configuration& aNext) const
{
  const auto& voters = this->members.voters;
  auto learner = this->FindPromotable();
  if (!learner || voters.size() > this->options.maxVoters) {
    return false;
  }
  bool hasExpired =
    std::any_of(voters.begin(), voters.end(), [this](const Member& aVoter) {
      return this->IsExpired(aVoter, kVoterExpiryElectionTimeouts);
    });
  auto crowded = this->FindInLargestZone();
  bool isUneven = crowded && this->CountLive(voters) == voters.size() &&
                  this->CountVotersIn(this->ZoneOf(*crowded)) >
                    this->CountVotersIn(this->ZoneOf(*learner)) + 1;
  if (voters.size() == this->options.maxVoters && !hasExpired && !isUneven) {
    return false;
  }
  aNext.learners.erase(*learner);
  aNext.voters.insert(*learner);
  return true;
}

// An instance whose old disk is still a member has to wait until that member is
// removed.
bool
Node::AddOne(Configuration& aNext) const
{
  for (const auto& [instance, join] : this->pendingJoins) {
    bool isPending =
      this->now - join.lastContact <
      this->options.electionTimeout * kJoinExpiryElectionTimeouts;
    if (isPending && !this->members.Find(instance)) {
      aNext.learners.insert({ instance, join.disk });
      SetLocation(aNext, instance, join.location);
      return true;
    }
  }
  return false;
}

} // namespace lycheestand::consensus
