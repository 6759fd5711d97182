#include <lycheestand/state.h>

namespace lycheestand::state {

// Closed sessions are kept. Otherwise a process that hung and was replaced
// could register its session again and close the one of its replacement.
std::optional<SessionId>
SessionController::Register(const RegisterSession& aCommand)
{
  std::optional<SessionId> closed = this->Close(aCommand.instance);
  this->sessions.emplace(aCommand.session,
                         Session{ aCommand.instance, BatchNumber(0), false });
  this->current[aCommand.instance] = aCommand.session;
  return closed;
}

std::optional<SessionId>
SessionController::Close(const InstanceId& aInstance)
{
  auto found = this->current.find(aInstance);
  if (found == this->current.end()) {
    return std::nullopt;
  }
  SessionId closed = found->second;
  this->sessions[closed].closed = true;
  this->current.erase(found);
  return closed;
}

const Session*
SessionController::Find(SessionId aSession) const
{
  auto found = this->sessions.find(aSession);
  return found == this->sessions.end() ? nullptr : &found->second;
}

void
SessionController::SetLastBatch(SessionId aSession, BatchNumber aBatch)
{
  this->sessions[aSession].lastBatch = aBatch;
}

} // namespace lycheestand::state
