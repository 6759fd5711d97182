#ifndef LYCHEESTAND_STATE_H
#define LYCHEESTAND_STATE_H

// The replicated state of control: a set of controllers that apply commands
// in log order. Pure: the same commands give the same state everywhere.

#include <cstdint>
#include <deque>
#include <functional>
#include <lycheestand/core.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace lycheestand::state {

// ---------------------------------------------------------------- commands

// Creates a workspace with an empty budget.
struct CreateWorkspace
{
  ChangeId change;
  WorkspaceId workspace;

  friend bool operator==(const CreateWorkspace&,
                         const CreateWorkspace&) = default;
};

// Adds prepaid tokens to a budget.
struct TopUpBudget
{
  ChangeId change;
  WorkspaceId workspace;
  Tokens tokens;

  friend bool operator==(const TopUpBudget&, const TopUpBudget&) = default;
};

// Lets the holder of a bearer key act for a workspace at a site.
struct CreateKey
{
  ChangeId change;
  KeyId key;
  KeyHash hash;
  WorkspaceId workspace;
  SiteId site;

  friend bool operator==(const CreateKey&, const CreateKey&) = default;
};

// Ends a key.
struct RevokeKey
{
  ChangeId change;
  KeyId key;

  friend bool operator==(const RevokeKey&, const RevokeKey&) = default;
};

// Puts a configuration document in force if its base is the current version.
struct ApplyConfiguration
{
  ChangeId change;
  ConfigVersion base;
  std::string document;
  // Workspaces that the document names, with their first prepaid tokens.
  std::vector<std::pair<WorkspaceId, Tokens>> workspaces;

  friend bool operator==(const ApplyConfiguration&,
                         const ApplyConfiguration&) = default;
};

// Puts a table of routes in force unless the one held has its version or a
// higher one. Each budget's paid tokens are raised to the amount named.
struct ReplaceRoutes
{
  ConfigVersion version;
  // As the operator sent it; routers read it.
  std::string document;
  std::vector<std::pair<WorkspaceId, Tokens>> prepaid;

  friend bool operator==(const ReplaceRoutes&, const ReplaceRoutes&) = default;
};

// Begins a router process's session and closes its instance's earlier one.
struct RegisterSession
{
  InstanceId instance;
  SessionId session;

  friend bool operator==(const RegisterSession&,
                         const RegisterSession&) = default;
};

// Closes the session of an instance that an operator removed.
struct CloseSession
{
  ChangeId change;
  InstanceId instance;

  friend bool operator==(const CloseSession&, const CloseSession&) = default;
};

// Sets tokens of a budget aside for one session.
struct GrantTokens
{
  SessionId session;
  // Number of the request in its session; a resent one gets its first reply.
  std::uint64_t request = 0;
  WorkspaceId workspace;
  Tokens minimum;
  Tokens wanted;
  // No request waits for the tokens, so most of what is free is kept for those
  // that do.
  bool isAhead = false;

  friend bool operator==(const GrantTokens&, const GrantTokens&) = default;
};

// Tokens that one workspace's requests spent, and tokens given back.
struct Usage
{
  WorkspaceId workspace;
  Tokens spent;
  Tokens returned;
  std::uint32_t requests = 0;

  friend bool operator==(const Usage&, const Usage&) = default;
};

// A numbered batch of usage; each number counts once.
struct ReportUsage
{
  SessionId session;
  BatchNumber batch;
  std::vector<Usage> entries;

  friend bool operator==(const ReportUsage&, const ReportUsage&) = default;
};

// A step of a call that must run at most once.
struct RecordOperation
{
  SessionId session;
  std::uint64_t request = 0;
  WorkspaceId workspace;
  OperationKey key;
  BodyHash bodyHash;
  OperationPhase phase = OperationPhase::Begin;
  StoredAnswer answer;

  friend bool operator==(const RecordOperation&,
                         const RecordOperation&) = default;
};

// Orders an engine to load something or to change its version or role.
struct OrderEngine
{
  ChangeId change;
  EndpointId endpoint;
  OrderKind kind = OrderKind::LoadModel;
  std::string argument;

  friend bool operator==(const OrderEngine&, const OrderEngine&) = default;
};

// Records that an engine has answered an order.
struct ConfirmOrder
{
  EndpointId endpoint;
  FencingNumber number;

  friend bool operator==(const ConfirmOrder&, const ConfirmOrder&) = default;
};

using Command = std::variant<CreateWorkspace,
                             TopUpBudget,
                             CreateKey,
                             RevokeKey,
                             ApplyConfiguration,
                             RegisterSession,
                             CloseSession,
                             GrantTokens,
                             ReportUsage,
                             RecordOperation,
                             OrderEngine,
                             ConfirmOrder,
                             ReplaceRoutes>;

// ---------------------------------------------------------------- outcomes

// Why a command changed nothing.
enum class Rejection : std::uint8_t
{
  UnknownWorkspace,
  AlreadyExists,
  UnknownKey,
  VersionConflict,
  ChangeIdReused,
  UnknownSession,
  SessionClosed,
  InvalidAmount,
  BatchOutOfOrder
};

// Returns a stable code for operators, such as "version_conflict".
const char*
ToString(Rejection aRejection);

struct Done
{
  friend bool operator==(const Done&, const Done&) = default;
};
struct Rejected
{
  Rejection reason = Rejection::UnknownWorkspace;

  friend bool operator==(const Rejected&, const Rejected&) = default;
};
struct ConfigurationApplied
{
  ConfigVersion version;

  friend bool operator==(const ConfigurationApplied&,
                         const ConfigurationApplied&) = default;
};
struct BudgetToppedUp
{
  Tokens paid;

  friend bool operator==(const BudgetToppedUp&,
                         const BudgetToppedUp&) = default;
};
struct TokensGranted
{
  GrantId grant;
  // Zero when the budget has no room for the minimum.
  Tokens tokens;
  // True when no return of other routers' grants could make room.
  bool exhausted = false;
  // True when the session holds most of what open sessions hold.
  bool holdsMost = false;

  friend bool operator==(const TokensGranted&, const TokensGranted&) = default;
};
struct OperationRecorded
{
  OperationState state = OperationState::Refused;
  StoredAnswer answer;

  friend bool operator==(const OperationRecorded&,
                         const OperationRecorded&) = default;
};

struct OrderAccepted
{
  FencingNumber number;

  friend bool operator==(const OrderAccepted&, const OrderAccepted&) = default;
};

using Outcome = std::variant<Done,
                             Rejected,
                             ConfigurationApplied,
                             BudgetToppedUp,
                             TokensGranted,
                             OperationRecorded,
                             OrderAccepted>;

// ---------------------------------------------------------------- controllers

// A workspace's bearer key as control knows it.
struct KeyRecord
{
  KeyHash hash;
  WorkspaceId workspace;
  SiteId site;

  friend bool operator==(const KeyRecord&, const KeyRecord&) = default;
};

// Owns the workspaces and their keys.
class WorkspaceController
{
public:
  Outcome Create(const WorkspaceId& aWorkspace);
  Outcome CreateKey(const state::CreateKey& aCommand);
  Outcome RevokeKey(const KeyId& aKey);

  // Records that a document's first tokens for the workspace are counted;
  // returns false when an earlier document's were.
  bool MarkFunded(const WorkspaceId& aWorkspace);

  bool Contains(const WorkspaceId& aWorkspace) const;
  const std::set<WorkspaceId>& Workspaces() const { return this->workspaces; }
  const std::map<KeyId, KeyRecord>& Keys() const { return this->keys; }

  friend bool operator==(const WorkspaceController&,
                         const WorkspaceController&) = default;

private:
  friend struct SnapshotAccess;
  std::set<WorkspaceId> workspaces;
  std::set<WorkspaceId> funded;
  std::map<KeyId, KeyRecord> keys;
};

// One budget: paid tokens and where they are.
struct Budget
{
  Tokens paid;
  Tokens spent;
  // Granted and not yet reported, by session, closed sessions included.
  std::map<SessionId, Tokens> outstanding;
  std::uint64_t requests = 0;

  // Returns what no session holds.
  Tokens Free() const;

  // Returns the sum over all sessions.
  Tokens Outstanding() const;

  friend bool operator==(const Budget&, const Budget&) = default;
};

// Last grant to an open session for a workspace, to answer a resent request.
struct LastGrant
{
  std::uint64_t request = 0;
  TokensGranted reply;

  friend bool operator==(const LastGrant&, const LastGrant&) = default;
};

// Owns all budgets. Keeps spent + outstanding <= paid for each of them.
class BudgetLedger
{
public:
  // Most that can be paid into one budget, so that no sum can overflow.
  static constexpr Tokens kMostPaid{ std::int64_t(1) << 60 };

  void Open(const WorkspaceId& aWorkspace);
  Outcome TopUp(const WorkspaceId& aWorkspace, Tokens aTokens);

  // Raises what is paid to an amount; a lower one changes nothing.
  void RaiseTo(const WorkspaceId& aWorkspace, Tokens aPaid);
  // The sessions that are closed return nothing.
  Outcome Grant(const GrantTokens& aCommand,
                const std::function<bool(SessionId)>& aIsOpen);

  // Returns whether every entry is covered by what the session holds.
  bool IsCovered(const ReportUsage& aCommand) const;
  void Count(const ReportUsage& aCommand);

  // Forgets the session's last grants: a closed session gets no more replies.
  void CloseSession(SessionId aSession);

  const Budget* Find(const WorkspaceId& aWorkspace) const;
  const std::map<WorkspaceId, Budget>& Budgets() const { return this->budgets; }

  // Returns how many replies are kept for resent requests.
  std::size_t KeptReplies() const { return this->lastGrants.size(); }

  friend bool operator==(const BudgetLedger&, const BudgetLedger&) = default;

private:
  friend struct SnapshotAccess;
  std::map<WorkspaceId, Budget> budgets;
  std::map<std::pair<SessionId, WorkspaceId>, LastGrant> lastGrants;
  std::uint64_t nextGrant = 1;
};

// One accepted configuration document.
struct ConfigurationRecord
{
  ConfigVersion version;
  ChangeId change;
  std::string document;

  friend bool operator==(const ConfigurationRecord&,
                         const ConfigurationRecord&) = default;
};

// Owns the configuration and its history.
class ConfigurationHistory
{
public:
  // Versions kept for operators; older ones are dropped.
  static constexpr std::size_t kKeptVersions = 100;

  Outcome Apply(const ApplyConfiguration& aCommand);

  ConfigVersion Current() const;
  const std::deque<ConfigurationRecord>& Records() const
  {
    return this->records;
  }

  friend bool operator==(const ConfigurationHistory&,
                         const ConfigurationHistory&) = default;

private:
  friend struct SnapshotAccess;
  std::deque<ConfigurationRecord> records;
};

// Owns the table of routes in force; the highest version wins.
class RouteRegister
{
public:
  // Returns whether the table was replaced.
  bool Replace(const ReplaceRoutes& aCommand);

  ConfigVersion Version() const { return this->version; }
  const std::string& Document() const { return this->document; }

  friend bool operator==(const RouteRegister&, const RouteRegister&) = default;

private:
  friend struct SnapshotAccess;
  ConfigVersion version;
  std::string document;
};

// A call that must run at most once.
struct Operation
{
  SessionId session;
  std::uint64_t request = 0;
  BodyHash bodyHash;
  OperationState state = OperationState::InProgress;
  StoredAnswer answer;

  friend bool operator==(const Operation&, const Operation&) = default;
};

// Owns the intents and kept answers of calls that must not run twice.
class OperationRegister
{
public:
  // Answers kept for each workspace; of an older one only the fact that it ran
  // is kept, so that it still never runs again.
  static constexpr std::size_t kKeptAnswers = 10000;

  Outcome Record(const RecordOperation& aCommand);

  // Marks the session's calls in progress as unknown.
  void CloseSession(SessionId aSession);

  using Key = std::pair<WorkspaceId, OperationKey>;
  const std::map<Key, Operation>& Operations() const
  {
    return this->operations;
  }

  friend bool operator==(const OperationRegister&,
                         const OperationRegister&) = default;

private:
  friend struct SnapshotAccess;

  Outcome Begin(const RecordOperation& aCommand);
  Outcome End(const RecordOperation& aCommand);
  void DropOldAnswers(const WorkspaceId& aWorkspace);

  std::map<Key, Operation> operations;
  std::map<WorkspaceId, std::deque<OperationKey>> answered;
};

// One router process's session.
struct Session
{
  InstanceId instance;
  BatchNumber lastBatch;
  bool closed = false;

  friend bool operator==(const Session&, const Session&) = default;
};

// Owns the sessions of router processes.
class SessionController
{
public:
  // Registers a session; returns the earlier session that it closed, if any.
  std::optional<SessionId> Register(const RegisterSession& aCommand);
  std::optional<SessionId> Close(const InstanceId& aInstance);

  const Session* Find(SessionId aSession) const;
  const std::map<SessionId, Session>& Sessions() const
  {
    return this->sessions;
  }

  // Records that a batch of the session has been counted.
  void CountBatch(SessionId aSession, BatchNumber aBatch);

  friend bool operator==(const SessionController&,
                         const SessionController&) = default;

private:
  friend struct SnapshotAccess;
  std::map<SessionId, Session> sessions;
  std::map<InstanceId, SessionId> current;
};

// One order that an engine must follow.
struct Order
{
  OrderKind kind = OrderKind::LoadModel;
  std::string argument;
  // Set once the engine has answered it.
  bool confirmed = false;

  friend bool operator==(const Order&, const Order&) = default;
};

// Owns the orders to engines. Numbers rise in log order, so an order with a
// higher number is newer whichever instance sends it.
class OrderRegister
{
public:
  using Orders = std::map<FencingNumber, Order>;

  Outcome Record(const OrderEngine& aCommand);
  Outcome Confirm(const ConfirmOrder& aCommand);

  // Orders of each endpoint that no newer one replaces.
  const std::map<EndpointId, Orders>& ByEndpoint() const
  {
    return this->byEndpoint;
  }

  friend bool operator==(const OrderRegister&, const OrderRegister&) = default;

private:
  friend struct SnapshotAccess;
  std::map<EndpointId, Orders> byEndpoint;
  std::uint64_t nextNumber = 1;
};

// Returns a document's length and hash, the same in every build.
std::string
DocumentFingerprint(const std::string& aDocument);

// An operators' change that has been applied, to answer it when it is resent.
struct ChangeRecord
{
  Command command;
  Outcome outcome;

  friend bool operator==(const ChangeRecord&, const ChangeRecord&) = default;
};

// Owns the outcomes of operators' changes by their change ids.
class ChangeRegister
{
public:
  // Changes kept; at 22,000 changes a day this is more than two days.
  static constexpr std::size_t kKeptChanges = 50000;

  const ChangeRecord* Find(const ChangeId& aChange) const;
  void Keep(const ChangeId& aChange, Command aCommand, Outcome aOutcome);

  friend bool operator==(const ChangeRegister&,
                         const ChangeRegister&) = default;

private:
  friend struct SnapshotAccess;
  std::map<ChangeId, ChangeRecord> records;
  std::deque<ChangeId> order;
};

// All controllers of one group; applies the commands of its log.
class StateMachine
{
public:
  // Applies one committed command.
  Outcome Apply(const Command& aCommand);

  // Counts the changes that routers must have in force.
  Revision CurrentRevision() const { return this->revision; }

  const WorkspaceController& Workspaces() const { return this->workspaces; }
  const BudgetLedger& Budgets() const { return this->budgets; }
  const ConfigurationHistory& Configuration() const
  {
    return this->configuration;
  }
  const OperationRegister& Operations() const { return this->operations; }
  const SessionController& Sessions() const { return this->sessions; }
  const OrderRegister& Orders() const { return this->orders; }
  const RouteRegister& Routes() const { return this->routes; }

  friend bool operator==(const StateMachine&, const StateMachine&) = default;

private:
  friend struct SnapshotAccess;

  Outcome ApplyOnce(const Command& aCommand);
  Outcome Handle(const CreateWorkspace& aCommand);
  Outcome Handle(const TopUpBudget& aCommand);
  Outcome Handle(const CreateKey& aCommand);
  Outcome Handle(const RevokeKey& aCommand);
  Outcome Handle(const ApplyConfiguration& aCommand);
  Outcome Handle(const RegisterSession& aCommand);
  Outcome Handle(const CloseSession& aCommand);
  Outcome Handle(const GrantTokens& aCommand);
  Outcome Handle(const ReportUsage& aCommand);
  Outcome Handle(const RecordOperation& aCommand);
  Outcome Handle(const OrderEngine& aCommand);
  Outcome Handle(const ConfirmOrder& aCommand);
  Outcome Handle(const ReplaceRoutes& aCommand);

  // Releases what is kept only for an open session.
  void EndSession(SessionId aSession);
  void AdvanceRevision();

  Revision revision;
  WorkspaceController workspaces;
  BudgetLedger budgets;
  ConfigurationHistory configuration;
  OperationRegister operations;
  SessionController sessions;
  ChangeRegister changes;
  OrderRegister orders;
  RouteRegister routes;
};

} // namespace lycheestand::state

#endif
