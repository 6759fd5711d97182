#include <lycheestand/state.h>

namespace lycheestand::state {

Outcome
WorkspaceController::Create(const WorkspaceId& aWorkspace)
{
  if (!this->workspaces.insert(aWorkspace).second) {
    return Rejected{ Rejection::AlreadyExists };
  }
  return Done{};
}

Outcome
WorkspaceController::CreateKey(const state::CreateKey& aCommand)
{
  if (!this->Contains(aCommand.workspace)) {
    return Rejected{ Rejection::UnknownWorkspace };
  }
  for (const auto& [id, record] : this->keys) {
    if (id == aCommand.key || record.hash == aCommand.hash) {
      return Rejected{ Rejection::AlreadyExists };
    }
  }
  this->keys.emplace(
    aCommand.key,
    KeyRecord{ aCommand.hash, aCommand.workspace, aCommand.site });
  return Done{};
}

Outcome
WorkspaceController::RevokeKey(const KeyId& aKey)
{
  if (this->keys.erase(aKey) == 0) {
    return Rejected{ Rejection::UnknownKey };
  }
  return Done{};
}

bool
WorkspaceController::MarkFunded(const WorkspaceId& aWorkspace)
{
  return this->funded.insert(aWorkspace).second;
}

bool
WorkspaceController::Contains(const WorkspaceId& aWorkspace) const
{
  return this->workspaces.contains(aWorkspace);
}

} // namespace lycheestand::state
