#include <lycheestand/state.h>

namespace lycheestand::state {

namespace {

// Returns the change id of an operators' command, if it has one.
const ChangeId*
FindChangeId(const Command& aCommand)
{
  return std::visit(
    [](const auto& aBody) -> const ChangeId* {
      if constexpr (requires { aBody.change; }) {
        return &aBody.change;
      } else {
        return nullptr;
      }
    },
    aCommand);
}

// Returns the command as it is kept to recognise a resent one. The document of
// a configuration change is in the history, so only its length is kept here.
Command
ToKeptCommand(const Command& aCommand)
{
  Command kept = aCommand;
  if (auto* apply = std::get_if<ApplyConfiguration>(&kept)) {
    apply->document = std::to_string(std::hash<std::string>{}(apply->document));
  }
  return kept;
}

} // namespace

const char*
ToString(Rejection aRejection)
{
  switch (aRejection) {
    case Rejection::UnknownWorkspace:
      return "unknown_workspace";
    case Rejection::AlreadyExists:
      return "already_exists";
    case Rejection::UnknownKey:
      return "unknown_key";
    case Rejection::VersionConflict:
      return "version_conflict";
    case Rejection::ChangeIdReused:
      return "change_id_reused";
    case Rejection::UnknownSession:
      return "unknown_session";
    case Rejection::SessionClosed:
      return "session_closed";
    case Rejection::InvalidAmount:
      return "invalid_amount";
    case Rejection::BatchOutOfOrder:
      break;
  }
  return "batch_out_of_order";
}

// A resent change gets its first outcome, whatever has happened since.
Outcome
StateMachine::Apply(const Command& aCommand)
{
  const ChangeId* change = FindChangeId(aCommand);
  if (change == nullptr) {
    return this->ApplyOnce(aCommand);
  }
  Command kept = ToKeptCommand(aCommand);
  if (const ChangeRecord* record = this->changes.Find(*change)) {
    return record->command == kept ? record->outcome
                                   : Rejected{ Rejection::ChangeIdReused };
  }
  Outcome outcome = this->ApplyOnce(aCommand);
  this->changes.Keep(*change, std::move(kept), outcome);
  return outcome;
}

Outcome
StateMachine::ApplyOnce(const Command& aCommand)
{
  return std::visit([this](const auto& aBody) { return this->Handle(aBody); },
                    aCommand);
}

Outcome
StateMachine::Handle(const CreateWorkspace& aCommand)
{
  Outcome outcome = this->workspaces.Create(aCommand.workspace);
  if (std::holds_alternative<Done>(outcome)) {
    this->budgets.Open(aCommand.workspace);
    this->AdvanceRevision();
  }
  return outcome;
}

Outcome
StateMachine::Handle(const TopUpBudget& aCommand)
{
  return this->budgets.TopUp(aCommand.workspace, aCommand.tokens);
}

Outcome
StateMachine::Handle(const CreateKey& aCommand)
{
  Outcome outcome = this->workspaces.CreateKey(aCommand);
  if (std::holds_alternative<Done>(outcome)) {
    this->AdvanceRevision();
  }
  return outcome;
}

Outcome
StateMachine::Handle(const RevokeKey& aCommand)
{
  Outcome outcome = this->workspaces.RevokeKey(aCommand.key);
  if (std::holds_alternative<Done>(outcome)) {
    this->AdvanceRevision();
  }
  return outcome;
}

// A workspace's first tokens count once, when a document first names it; later
// documents that repeat them add nothing.
Outcome
StateMachine::Handle(const ApplyConfiguration& aCommand)
{
  Outcome outcome = this->configuration.Apply(aCommand);
  if (!std::holds_alternative<ConfigurationApplied>(outcome)) {
    return outcome;
  }
  for (const auto& [workspace, tokens] : aCommand.workspaces) {
    if (!this->workspaces.Contains(workspace)) {
      this->workspaces.Create(workspace);
      this->budgets.Open(workspace);
      if (tokens > Tokens(0)) {
        this->budgets.TopUp(workspace, tokens);
      }
    }
  }
  this->AdvanceRevision();
  return outcome;
}

Outcome
StateMachine::Handle(const RegisterSession& aCommand)
{
  if (const Session* known = this->sessions.Find(aCommand.session)) {
    if (known->closed) {
      return Rejected{ Rejection::SessionClosed };
    }
    return Done{};
  }
  if (auto closed = this->sessions.Register(aCommand)) {
    this->operations.CloseSession(*closed);
  }
  return Done{};
}

Outcome
StateMachine::Handle(const CloseSession& aCommand)
{
  auto closed = this->sessions.Close(aCommand.instance);
  if (!closed) {
    return Rejected{ Rejection::UnknownSession };
  }
  this->operations.CloseSession(*closed);
  return Done{};
}

Outcome
StateMachine::Handle(const GrantTokens& aCommand)
{
  const Session* session = this->sessions.Find(aCommand.session);
  if (session == nullptr) {
    return Rejected{ Rejection::UnknownSession };
  }
  if (session->closed) {
    return Rejected{ Rejection::SessionClosed };
  }
  return this->budgets.Grant(aCommand);
}

// A closed session may still report: what it spent and what it gives back are
// the truth about tokens that are charged to it until then.
Outcome
StateMachine::Handle(const ReportUsage& aCommand)
{
  const Session* session = this->sessions.Find(aCommand.session);
  if (session == nullptr) {
    return Rejected{ Rejection::UnknownSession };
  }
  if (aCommand.batch <= session->lastBatch) {
    return Done{};
  }
  if (aCommand.batch.Get() != session->lastBatch.Get() + 1) {
    return Rejected{ Rejection::BatchOutOfOrder };
  }
  if (!this->budgets.IsCovered(aCommand)) {
    return Rejected{ Rejection::InvalidAmount };
  }
  this->budgets.Count(aCommand);
  this->sessions.CountBatch(aCommand.session, aCommand.batch);
  return Done{};
}

Outcome
StateMachine::Handle(const RecordOperation& aCommand)
{
  const Session* session = this->sessions.Find(aCommand.session);
  if (session == nullptr) {
    return Rejected{ Rejection::UnknownSession };
  }
  if (session->closed && aCommand.phase == OperationPhase::Begin) {
    return Rejected{ Rejection::SessionClosed };
  }
  return this->operations.Record(aCommand);
}

Outcome
StateMachine::Handle(const OrderEngine& aCommand)
{
  return this->orders.Record(aCommand);
}

Outcome
StateMachine::Handle(const ConfirmOrder& aCommand)
{
  return this->orders.Confirm(aCommand);
}

void
StateMachine::AdvanceRevision()
{
  this->revision = Revision(this->revision.Get() + 1);
}

} // namespace lycheestand::state
