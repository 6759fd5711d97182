#include <lycheestand/state.h>

namespace lycheestand::state {

Outcome
OperationRegister::Record(const RecordOperation& aCommand)
{
  return aCommand.phase == OperationPhase::Begin ? this->Begin(aCommand)
                                                 : this->End(aCommand);
}

// Only Started allows the router to forward the call. A resent Begin of the
// same request gets Started again: the router resends it only while it has not
// forwarded the call.
Outcome
OperationRegister::Begin(const RecordOperation& aCommand)
{
  Key key{ aCommand.workspace, aCommand.key };
  auto found = this->operations.find(key);
  if (found == this->operations.end()) {
    this->operations.emplace(key,
                             Operation{ aCommand.session,
                                        aCommand.request,
                                        aCommand.bodyHash,
                                        OperationState::InProgress,
                                        {} });
    return OperationRecorded{ OperationState::Started, {} };
  }
  const Operation& operation = found->second;
  if (operation.bodyHash != aCommand.bodyHash) {
    return OperationRecorded{ OperationState::BodyDiffers, {} };
  }
  bool isResent = operation.session == aCommand.session &&
                  operation.request == aCommand.request;
  if (operation.state == OperationState::InProgress && isResent) {
    return OperationRecorded{ OperationState::Started, {} };
  }
  return OperationRecorded{ operation.state, operation.answer };
}

// Only the request that began an operation may end it. It may do so even after
// its session was closed and the operation was marked Unknown, since its router
// knows the result.
Outcome
OperationRegister::End(const RecordOperation& aCommand)
{
  auto found = this->operations.find({ aCommand.workspace, aCommand.key });
  if (found == this->operations.end()) {
    return OperationRecorded{ OperationState::Refused, {} };
  }
  Operation& operation = found->second;
  if (operation.session != aCommand.session ||
      operation.request != aCommand.request) {
    return OperationRecorded{ OperationState::Refused, {} };
  }
  bool isOpen = operation.state == OperationState::InProgress ||
                operation.state == OperationState::Unknown;
  if (!isOpen) {
    return OperationRecorded{ operation.state, {} };
  }
  if (aCommand.phase == OperationPhase::Abort) {
    this->operations.erase(found);
    return OperationRecorded{ OperationState::Ended, {} };
  }
  if (aCommand.phase == OperationPhase::Unknown) {
    operation.state = OperationState::Unknown;
    return OperationRecorded{ OperationState::Unknown, {} };
  }
  operation.state = OperationState::Completed;
  operation.answer = aCommand.answer;
  this->answered[aCommand.workspace].push_back(aCommand.key);
  this->DropOldAnswers(aCommand.workspace);
  return OperationRecorded{ OperationState::Completed, {} };
}

void
OperationRegister::DropOldAnswers(const WorkspaceId& aWorkspace)
{
  auto& order = this->answered[aWorkspace];
  while (order.size() > kMaxAnswersPerWorkspace) {
    auto found = this->operations.find({ aWorkspace, order.front() });
    if (found != this->operations.end()) {
      found->second.state = OperationState::Ended;
      found->second.answer = {};
    }
    order.pop_front();
  }
}

void
OperationRegister::CloseSession(SessionId aSession)
{
  for (auto& [key, operation] : this->operations) {
    if (operation.session == aSession &&
        operation.state == OperationState::InProgress) {
      operation.state = OperationState::Unknown;
    }
  }
}

} // namespace lycheestand::state
