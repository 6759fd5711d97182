#include <array>
#include <cinttypes>
#include <cstdio>
#include <lycheestand/state.h>
#include <xxhash.h>

namespace lycheestand::state {

namespace {

// Returns the command's change id; null if it is not an operator's command, or
// is an order of the users' platform, which has no change id.
const ChangeId*
FindChangeId(const Command& aCommand)
{
  return std::visit(
    [](const auto& aBody) -> const ChangeId* {
      using Body = std::decay_t<decltype(aBody)>;
      if constexpr (std::is_same_v<Body, SetZoneEvacuation>) {
        return aBody.change.Get().empty() ? nullptr : &aBody.change;
      } else if constexpr (requires { aBody.change; }) {
        return &aBody.change;
      } else {
        return nullptr;
      }
    },
    aCommand);
}

// Returns the form of a command that is stored to recognize a resent one. The
// document of a configuration change is already in the history, so only its
// fingerprint is stored. What a leader knew when it proposed the evacuation of
// a zone differs when the command is resent.
Command
ToStoredCommand(const Command& aCommand)
{
  Command stored = aCommand;
  if (auto* apply = std::get_if<ApplyConfiguration>(&stored)) {
    apply->document = DocumentFingerprint(apply->document);
  } else if (auto* evacuation = std::get_if<SetZoneEvacuation>(&stored)) {
    evacuation->isKnown = true;
    evacuation->zonesWithEndpoints.clear();
  }
  return stored;
}

// Returns whether the initial tokens of each workspace are a valid amount.
bool
HasValidAmounts(const ApplyConfiguration& aCommand)
{
  for (const auto& [workspace, tokens] : aCommand.workspaces) {
    if (tokens < Tokens(0) || tokens > BudgetLedger::kMaxPaid) {
      return false;
    }
  }
  return true;
}

} // namespace

// The fingerprint is part of the replicated state, so it must be the same in
// every build. std::hash does not guarantee that.
std::string
DocumentFingerprint(const std::string& aDocument)
{
  XXH128_hash_t hash = XXH3_128bits(aDocument.data(), aDocument.size());
  std::array<char, 33> digits{};
  std::snprintf(digits.data(),
                digits.size(),
                "%016" PRIx64 "%016" PRIx64,
                std::uint64_t(hash.high64),
                std::uint64_t(hash.low64));
  return std::to_string(aDocument.size()) + ":" + digits.data();
}

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
    case Rejection::UnknownZone:
      return "unknown_zone";
    case Rejection::LastZone:
      return "last_zone";
    case Rejection::TooManyVersions:
      return "too_many_versions";
    case Rejection::BatchOutOfOrder:
      break;
  }
  return "batch_out_of_order";
}

// A resent change returns its first outcome, even if the state has changed
// since.
Outcome
StateMachine::Apply(const Command& aCommand)
{
  const ChangeId* change = FindChangeId(aCommand);
  if (change == nullptr) {
    return this->Dispatch(aCommand);
  }
  Command stored = ToStoredCommand(aCommand);
  if (const ChangeRecord* record = this->changes.Find(*change)) {
    return record->command == stored ? record->outcome
                                     : Rejected{ Rejection::ChangeIdReused };
  }
  Outcome outcome = this->Dispatch(aCommand);
  this->changes.Add(*change, std::move(stored), outcome);
  return outcome;
}

Outcome
StateMachine::Dispatch(const Command& aCommand)
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

// A workspace's initial tokens are paid once, by the first document that gives
// it any, whether that document or an operator created the workspace. Later
// documents add nothing. One invalid amount rejects the whole change; otherwise
// a workspace could be active without its tokens.
Outcome
StateMachine::Handle(const ApplyConfiguration& aCommand)
{
  if (!HasValidAmounts(aCommand)) {
    return Rejected{ Rejection::InvalidAmount };
  }
  Outcome outcome = this->configuration.Apply(aCommand);
  if (!std::holds_alternative<ConfigurationApplied>(outcome)) {
    return outcome;
  }
  for (const auto& [workspace, tokens] : aCommand.workspaces) {
    if (!this->workspaces.Contains(workspace)) {
      this->workspaces.Create(workspace);
      this->budgets.Open(workspace);
    }
    if (tokens > Tokens(0) && this->workspaces.MarkFunded(workspace)) {
      this->budgets.TopUp(workspace, tokens);
    }
  }
  this->AdvanceRevision();
  return outcome;
}

// A session id belongs to one instance: two processes with the same id would
// spend and report the same grants.
Outcome
StateMachine::Handle(const RegisterSession& aCommand)
{
  if (const Session* known = this->sessions.Find(aCommand.session)) {
    if (known->instance != aCommand.instance) {
      return Rejected{ Rejection::AlreadyExists };
    }
    if (known->closed) {
      return Rejected{ Rejection::SessionClosed };
    }
    return Done{};
  }
  if (auto closed = this->sessions.Register(aCommand)) {
    this->EndSession(*closed);
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
  this->EndSession(*closed);
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
  return this->budgets.Grant(aCommand, [this](SessionId aSession) {
    const Session* known = this->sessions.Find(aSession);
    return known != nullptr && !known->closed;
  });
}

// A closed session may still report usage. Until it does, its granted tokens
// stay outstanding, and only its process knows how many were spent.
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
  this->budgets.ApplyUsage(aCommand);
  this->sessions.SetLastBatch(aCommand.session, aCommand.batch);
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

// A table that is not newer changes nothing and returns the current version, so
// that a resent or reordered change is not rejected.
Outcome
StateMachine::Handle(const ReplaceRoutes& aCommand)
{
  for (const auto& [workspace, tokens] : aCommand.prepaid) {
    if (tokens < Tokens(0) || tokens > BudgetLedger::kMaxPaid) {
      return Rejected{ Rejection::InvalidAmount };
    }
  }
  if (this->routes.Replace(aCommand)) {
    for (const auto& [workspace, tokens] : aCommand.prepaid) {
      if (!this->workspaces.Contains(workspace)) {
        this->workspaces.Create(workspace);
        this->budgets.Open(workspace);
      }
      this->budgets.RaisePaidTo(workspace, tokens);
    }
    this->AdvanceRevision();
  }
  return ConfigurationApplied{ this->routes.Version() };
}

// A command that changes nothing keeps the revision, so that nothing is sent to
// routers.
Outcome
StateMachine::Handle(const SetZoneEvacuation& aCommand)
{
  bool wasEvacuated = this->evacuations.Contains(aCommand.zone);
  Outcome outcome = this->evacuations.Set(aCommand, this->NextRevision());
  if (this->evacuations.Contains(aCommand.zone) != wasEvacuated) {
    this->AdvanceRevision();
  }
  return outcome;
}

Outcome
StateMachine::Handle(const AdmitVersion& aCommand)
{
  if (!this->streams.Admit(aCommand)) {
    return Rejected{ Rejection::TooManyVersions };
  }
  return Done{};
}

Outcome
StateMachine::Handle(const RetireVersion& aCommand)
{
  this->streams.Retire(aCommand);
  return Done{};
}

Outcome
StateMachine::Handle(const RecordStreams& aCommand)
{
  return this->streams.Record(aCommand);
}

Outcome
StateMachine::Handle(const AgeStreams&)
{
  return this->streams.Age();
}

void
StateMachine::EndSession(SessionId aSession)
{
  this->operations.CloseSession(aSession);
  this->budgets.CloseSession(aSession);
}

void
StateMachine::AdvanceRevision()
{
  this->revision = this->NextRevision();
}

} // namespace lycheestand::state
