#include "replica_state.h"

#include <algorithm>
#include <boost/json.hpp>

namespace lycheestand::control {

namespace json = boost::json;

namespace {

// A snapshot is made after this many entries, unless the commands since the
// last snapshot are smaller than that snapshot. So the cost of snapshots stays
// proportional to that of the log, and a restart reads at most about twice the
// size of the state.
constexpr std::uint64_t kMinEntriesPerSnapshot = 256;

constexpr std::size_t kMaxLoggedBudgets = 16;

json::array
FormatMembers(const std::set<consensus::Member>& aMembers)
{
  json::array out;
  for (const auto& member : aMembers) {
    out.push_back({ { "instance", member.instance.Get() },
                    { "disk", std::to_string(member.disk.Get()) } });
  }
  return out;
}

const char*
RoleName(consensus::Role aRole)
{
  switch (aRole) {
    case consensus::Role::Follower:
      return "follower";
    case consensus::Role::PreCandidate:
      return "pre_candidate";
    case consensus::Role::Candidate:
      return "candidate";
    case consensus::Role::Leader:
      break;
  }
  return "leader";
}

} // namespace

bool
ReplicaState::Install(const consensus::Snapshot& aSnapshot)
{
  auto decoded = journal::DecodeSnapshot(*aSnapshot.data);
  if (decoded.has_error()) {
    return false;
  }
  this->machine = std::move(decoded.value());
  this->applied = aSnapshot.index;
  this->bytesSinceSnapshot = 0;
  this->snapshotBytes = aSnapshot.data->size();
  return true;
}

Result<std::optional<state::Outcome>, std::string>
ReplicaState::Apply(const consensus::Entry& aEntry)
{
  using R = Result<std::optional<state::Outcome>, std::string>;
  this->applied = aEntry.index;
  const auto* command = std::get_if<consensus::CommandBytes>(&aEntry.body);
  if (command == nullptr) {
    return R(std::optional<state::Outcome>());
  }
  this->bytesSinceSnapshot += command->bytes.size();
  auto decoded = journal::DecodeCommand(command->bytes);
  if (decoded.has_error()) {
    return R(boost::outcome_v2::in_place_type<std::string>,
             "entry " + std::to_string(aEntry.index.Get()) +
               " of the log can't be decoded");
  }
  return R(std::optional(this->machine.Apply(decoded.value())));
}

std::string
ReplicaState::MakeSnapshot()
{
  std::string data = journal::EncodeSnapshot(this->machine);
  this->bytesSinceSnapshot = 0;
  this->snapshotBytes = data.size();
  return data;
}

bool
ReplicaState::ShouldCompact(LogIndex aSnapshotIndex) const
{
  return this->applied.Get() >= aSnapshotIndex.Get() + kMinEntriesPerSnapshot &&
         this->bytesSinceSnapshot >= this->snapshotBytes;
}

std::string
ReplicaState::FormatFleetSnapshot() const
{
  std::map<KeyHash, settings::CallerKey> keys;
  for (const auto& [id, record] : this->machine.Workspaces().Keys()) {
    keys[record.hash] = { record.workspace, record.site };
  }
  const auto& records = this->machine.Configuration().Records();
  return settings::FormatFleetSnapshot(
    records.empty() ? "" : records.back().document,
    keys,
    this->machine.Routes().Document(),
    this->machine.Evacuations().Zones());
}

TokenHolders
ReplicaState::FindTokenHolders(const WorkspaceId& aWorkspace) const
{
  TokenHolders holders;
  if (const auto* budget = this->machine.Budgets().Find(aWorkspace)) {
    for (const auto& [session, tokens] : budget->outstanding) {
      holders.byTokens.emplace_back(tokens, session);
    }
  }
  std::sort(holders.byTokens.rbegin(), holders.byTokens.rend());
  return holders;
}

void
LogLargestBudgets(const state::StateMachine& aMachine)
{
  struct BudgetSummary
  {
    Tokens held;
    Tokens unreported;
    const WorkspaceId* workspace = nullptr;
    const state::Budget* budget = nullptr;
  };
  std::vector<BudgetSummary> summaries;
  for (const auto& [workspace, budget] : aMachine.Budgets().Budgets()) {
    BudgetSummary summary{ Tokens(0), Tokens(0), &workspace, &budget };
    for (const auto& [session, tokens] : budget.outstanding) {
      const auto* known = aMachine.Sessions().Find(session);
      bool isOpen = known != nullptr && !known->closed;
      (isOpen ? summary.held : summary.unreported) += tokens;
    }
    summaries.push_back(summary);
  }
  auto count = std::min(summaries.size(), kMaxLoggedBudgets);
  std::partial_sort(
    summaries.begin(),
    summaries.begin() + static_cast<std::ptrdiff_t>(count),
    summaries.end(),
    [](const BudgetSummary& aLeft, const BudgetSummary& aRight) {
      return aLeft.held + aLeft.unreported > aRight.held + aRight.unreported;
    });
  for (std::size_t i = 0; i < count; ++i) {
    const BudgetSummary& summary = summaries[i];
    net::Log(
      net::LogLevel::Info,
      "budget",
      { { "event", "budget" },
        { "workspace", summary.workspace->Get() },
        { "paid", std::to_string(summary.budget->paid.Get()) },
        { "spent", std::to_string(summary.budget->spent.Get()) },
        { "held", std::to_string(summary.held.Get()) },
        { "unreported", std::to_string(summary.unreported.Get()) },
        { "holders", std::to_string(summary.budget->outstanding.size()) } });
  }
}

std::string
FormatReplicaStatus(const consensus::Node& aNode,
                    const ReplicaState& aState,
                    std::size_t aLinks)
{
  auto leader = aNode.Leader();
  return json::serialize(
    json::object{ { "role", RoleName(aNode.CurrentRole()) },
                  { "leader", leader ? leader->instance.Get() : "" },
                  { "disk", std::to_string(aNode.Self().disk.Get()) },
                  { "term", aNode.CurrentTerm().Get() },
                  { "commit", aNode.CommitIndex().Get() },
                  { "applied", aState.Applied().Get() },
                  { "last", aNode.LastIndex().Get() },
                  { "snapshot", aNode.SnapshotIndex().Get() },
                  { "links", aLinks },
                  { "voters", FormatMembers(aNode.Members().voters) },
                  { "learners", FormatMembers(aNode.Members().learners) } });
}

} // namespace lycheestand::control
