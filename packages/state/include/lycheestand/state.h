#ifndef LYCHEESTAND_STATE_H
#define LYCHEESTAND_STATE_H

// The replicated state machine of the control plane: a set of controllers that
// apply committed commands in log order. It is deterministic and does no I/O,
// so every replica that applies the same commands reaches the same state.

#include <cstdint>
#include <deque>
#include <functional>
#include <lycheestand/core.h>
#include <lycheestand/stream_register.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace lycheestand::state {

// ---------------------------------------------------------------- commands

// Commands with a change id come from operators. A command that is resent with
// its change id is not applied again and returns its first outcome; a different
// command with that id is rejected with ChangeIdReused.

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

// Authorizes the holder of a bearer key to act for a workspace at a site.
struct CreateKey
{
  ChangeId change;
  KeyId key;
  KeyHash hash;
  WorkspaceId workspace;
  SiteId site;

  friend bool operator==(const CreateKey&, const CreateKey&) = default;
};

struct RevokeKey
{
  ChangeId change;
  KeyId key;

  friend bool operator==(const RevokeKey&, const RevokeKey&) = default;
};

// Activates a configuration document if its base is the current version.
struct ApplyConfiguration
{
  ChangeId change;
  ConfigVersion base;
  std::string document;
  // Workspaces that the document names, with their initial prepaid tokens.
  std::vector<std::pair<WorkspaceId, Tokens>> workspaces;

  friend bool operator==(const ApplyConfiguration&,
                         const ApplyConfiguration&) = default;
};

// Replaces the route table if the version is higher than that of the current
// table. Also raises the paid tokens of each listed budget to the given amount;
// a budget that already has more keeps it.
struct ReplaceRoutes
{
  ConfigVersion version;
  // The table as the operator sent it; it is parsed by routers only.
  std::string document;
  std::vector<std::pair<WorkspaceId, Tokens>> prepaid;

  friend bool operator==(const ReplaceRoutes&, const ReplaceRoutes&) = default;
};

// Opens the session of a router process and closes the previous session of its
// instance, if there is one.
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

// Reserves tokens of a budget for one session.
struct GrantTokens
{
  SessionId session;
  // Number of the request in its session. A resent request has the same number
  // and gets its first reply.
  std::uint64_t request = 0;
  WorkspaceId workspace;
  // Fewer tokens than this are not granted.
  Tokens minimum;
  // More tokens than this are not granted; at least the minimum.
  Tokens wanted;
  // True if the router prefetches the tokens and no request waits for them.
  // Such a grant is smaller and leaves a reserve for waiting requests.
  bool isPrefetch = false;
  // True if the session serves nearly all requests of the workspace, or those
  // of its zone. Such a session may prefetch more. Commands in logs of older
  // builds have false, so their grants keep their sizes.
  bool isMainUser = false;

  friend bool operator==(const GrantTokens&, const GrantTokens&) = default;
};

// Tokens that a workspace's requests spent, and granted tokens that the session
// returns unspent.
struct Usage
{
  WorkspaceId workspace;
  Tokens spent;
  Tokens returned;
  std::uint32_t requests = 0;

  friend bool operator==(const Usage&, const Usage&) = default;
};

// A batch of usage. The batches of a session are numbered from 1 without gaps,
// and each number is counted once.
struct ReportUsage
{
  SessionId session;
  BatchNumber batch;
  std::vector<Usage> entries;

  friend bool operator==(const ReportUsage&, const ReportUsage&) = default;
};

// A phase of a service call that must run at most once.
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

// Orders an engine to load a model or adapter, or to change its version or
// role.
struct OrderEngine
{
  ChangeId change;
  EndpointId endpoint;
  OrderKind kind = OrderKind::LoadModel;
  std::string argument;

  friend bool operator==(const OrderEngine&, const OrderEngine&) = default;
};

// Records that an engine has accepted an order, or has rejected it because it
// has one with a higher fencing number. The order needs no more attempts then.
struct ConfirmOrder
{
  EndpointId endpoint;
  FencingNumber number;

  friend bool operator==(const ConfirmOrder&, const ConfirmOrder&) = default;
};

// Orders or revokes the evacuation of an availability zone, whose endpoints
// then get no requests. An order of the users' platform has an empty change id
// and is not deduplicated: it changes nothing if it is already in force.
struct SetZoneEvacuation
{
  ChangeId change;
  ZoneId zone;
  bool isEvacuated = true;
  // The zone is named by the settings or by an instance or endpoint in the view
  // of the leader that proposed the command.
  bool isKnown = true;
  // The zones with endpoints in that view.
  std::set<ZoneId> zonesWithEndpoints;

  friend bool operator==(const SetZoneEvacuation&,
                         const SetZoneEvacuation&) = default;
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
                             ReplaceRoutes,
                             SetZoneEvacuation,
                             AdmitVersion,
                             RetireVersion,
                             RecordStreams,
                             AgeStreams>;

// ---------------------------------------------------------------- outcomes

// Why a command was rejected. A rejected command changes nothing.
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
  BatchOutOfOrder,
  UnknownZone,
  // The zone is the only one that has endpoints and is not evacuated.
  LastZone,
  // The service has the maximum number of versions.
  TooManyVersions
};

// Returns the error code that operators see, such as "version_conflict".
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
  // Zero if too few tokens are free for the minimum.
  Tokens tokens;
  // True if the minimum could not be granted even if all other open sessions
  // returned what they hold.
  bool exhausted = false;
  // True if the session holds at least twice what all other open sessions hold
  // together.
  bool holdsTokenMajority = false;

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
                             OrderAccepted,
                             StreamsRecorded>;

// ---------------------------------------------------------------- controllers

// A workspace's bearer key. Only its hash is stored.
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
  // Rejects an existing workspace with AlreadyExists.
  Outcome Create(const WorkspaceId& aWorkspace);

  // Rejects an unknown workspace, and a key whose id or hash exists.
  Outcome CreateKey(const state::CreateKey& aCommand);

  // Rejects an unknown key.
  Outcome RevokeKey(const KeyId& aKey);

  // Records that a configuration document has paid the workspace's initial
  // tokens; returns false if an earlier document already has.
  bool MarkFunded(const WorkspaceId& aWorkspace);

  bool Contains(const WorkspaceId& aWorkspace) const;
  const std::set<WorkspaceId>& Workspaces() const { return this->workspaces; }
  const std::map<KeyId, KeyRecord>& Keys() const { return this->keys; }

  friend bool operator==(const WorkspaceController&,
                         const WorkspaceController&) = default;

private:
  friend struct SnapshotAccess;
  std::set<WorkspaceId> workspaces;
  // Workspaces whose initial tokens are paid.
  std::set<WorkspaceId> funded;
  std::map<KeyId, KeyRecord> keys;
};

// The prepaid budget of a workspace. Each paid token is spent, outstanding or
// free.
struct Budget
{
  Tokens paid;
  Tokens spent;
  // Granted tokens that were neither reported as spent nor returned, by
  // session. Includes closed sessions, which may still report them.
  std::map<SessionId, Tokens> outstanding;
  std::uint64_t requests = 0;

  // Returns the tokens that are neither spent nor outstanding.
  Tokens Free() const;

  // Returns the sum of the outstanding tokens of all sessions.
  Tokens Outstanding() const;

  friend bool operator==(const Budget&, const Budget&) = default;
};

// The last reply to an open session for a workspace, kept so that a resent
// request gets the same reply.
struct LastGrant
{
  std::uint64_t request = 0;
  TokensGranted reply;

  friend bool operator==(const LastGrant&, const LastGrant&) = default;
};

// Owns all budgets. Invariant of each budget: spent + outstanding <= paid.
class BudgetLedger
{
public:
  // Limit of the tokens paid into one budget, so that no sum can overflow.
  static constexpr Tokens kMaxPaid{ std::int64_t(1) << 60 };

  // Creates an empty budget unless the workspace has one.
  void Open(const WorkspaceId& aWorkspace);

  // Adds paid tokens; returns the new amount, or rejects an unknown workspace,
  // an amount that is not positive and one that exceeds kMaxPaid in sum.
  Outcome TopUp(const WorkspaceId& aWorkspace, Tokens aTokens);

  // Raises the paid tokens to an amount; a lower amount changes nothing. The
  // caller checks that the amount is at most kMaxPaid.
  void RaisePaidTo(const WorkspaceId& aWorkspace, Tokens aPaid);

  // Grants tokens to a session that the caller has checked to be open.
  // `aIsOpen` tells whether another session is open: only an open one can still
  // return tokens for a later grant.
  Outcome Grant(const GrantTokens& aCommand,
                const std::function<bool(SessionId)>& aIsOpen);

  // Returns whether the session holds enough tokens for all entries together.
  bool IsCovered(const ReportUsage& aCommand) const;

  // Moves the reported tokens from the session to spent and free. The report
  // must be covered.
  void ApplyUsage(const ReportUsage& aCommand);

  // Drops the session's last replies, since a closed session gets no more
  // grants.
  void CloseSession(SessionId aSession);

  const Budget* Find(const WorkspaceId& aWorkspace) const;
  const std::map<WorkspaceId, Budget>& Budgets() const { return this->budgets; }

  // Returns how many replies are cached for resent requests.
  std::size_t CachedReplyCount() const { return this->lastGrants.size(); }

  friend bool operator==(const BudgetLedger&, const BudgetLedger&) = default;

private:
  friend struct SnapshotAccess;
  std::map<WorkspaceId, Budget> budgets;
  std::map<std::pair<SessionId, WorkspaceId>, LastGrant> lastGrants;
  std::uint64_t nextGrant = 1;
};

// An accepted configuration document.
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
  // Number of versions kept for operators to look up; older ones are dropped.
  static constexpr std::size_t kMaxVersions = 100;

  // Appends the document as the next version, or rejects it with
  // VersionConflict if its base is not the current version.
  Outcome Apply(const ApplyConfiguration& aCommand);

  // Returns 0 if no document was accepted yet.
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

// Owns the current route table. The highest version wins.
class RouteRegister
{
public:
  // Replaces the table if the new version is higher; returns whether it did.
  bool Replace(const ReplaceRoutes& aCommand);

  ConfigVersion Version() const { return this->version; }
  const std::string& Document() const { return this->document; }

  friend bool operator==(const RouteRegister&, const RouteRegister&) = default;

private:
  friend struct SnapshotAccess;
  ConfigVersion version;
  std::string document;
};

// An evacuation that is in force.
struct Evacuation
{
  // Revision at which it was ordered.
  Revision revision;
  // Empty if the users' platform ordered it.
  ChangeId change;

  friend bool operator==(const Evacuation&, const Evacuation&) = default;
};

// Owns the evacuations of availability zones.
class EvacuationRegister
{
public:
  // Records an order or revocation that takes effect at aRevision. Returns
  // Done, also if it is already in force, or rejects an unknown or last zone.
  Outcome Set(const SetZoneEvacuation& aCommand, Revision aRevision);

  bool Contains(const ZoneId& aZone) const
  {
    return this->evacuations.contains(aZone);
  }
  const std::map<ZoneId, Evacuation>& Evacuations() const
  {
    return this->evacuations;
  }

  // Returns the evacuated zones.
  std::set<ZoneId> Zones() const;

  friend bool operator==(const EvacuationRegister&,
                         const EvacuationRegister&) = default;

private:
  friend struct SnapshotAccess;

  bool IsLast(const SetZoneEvacuation& aCommand) const;

  std::map<ZoneId, Evacuation> evacuations;
};

// The record of a service call that must run at most once.
struct Operation
{
  SessionId session;
  std::uint64_t request = 0;
  BodyHash bodyHash;
  OperationState state = OperationState::InProgress;
  StoredAnswer answer;

  friend bool operator==(const Operation&, const Operation&) = default;
};

// Owns the records and stored answers of service calls that must run at most
// once.
class OperationRegister
{
public:
  // Maximum number of stored answers of a workspace. When there are more, the
  // oldest operation loses its answer but keeps its record, so that it still
  // never runs again.
  static constexpr std::size_t kMaxAnswersPerWorkspace = 10000;

  // Returns OperationRecorded. The router may forward the call only after a
  // Begin that returned Started.
  Outcome Record(const RecordOperation& aCommand);

  // Marks the session's operations in progress as Unknown.
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
  // Keys of the operations with a stored answer, oldest first.
  std::map<WorkspaceId, std::deque<OperationKey>> answered;
};

// The session of one router process.
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
  // Opens a session with a new id; returns the previous session of the instance
  // if this closed one.
  std::optional<SessionId> Register(const RegisterSession& aCommand);

  // Closes the open session of an instance; returns it if there was one.
  std::optional<SessionId> Close(const InstanceId& aInstance);

  const Session* Find(SessionId aSession) const;
  const std::map<SessionId, Session>& Sessions() const
  {
    return this->sessions;
  }

  // Records the number of the last batch that was counted for the session.
  void SetLastBatch(SessionId aSession, BatchNumber aBatch);

  friend bool operator==(const SessionController&,
                         const SessionController&) = default;

private:
  friend struct SnapshotAccess;
  // Open and closed sessions.
  std::map<SessionId, Session> sessions;
  // The open session of each instance.
  std::map<InstanceId, SessionId> current;
};

// An order to an engine.
struct Order
{
  OrderKind kind = OrderKind::LoadModel;
  std::string argument;
  // True once the engine has accepted or rejected it; see ConfirmOrder.
  bool confirmed = false;

  friend bool operator==(const Order&, const Order&) = default;
};

// Owns the orders to engines. Fencing numbers rise in log order, so an order
// with a higher number is newer, whichever instance sends it.
class OrderRegister
{
public:
  using Orders = std::map<FencingNumber, Order>;

  // Adds an order, drops those that it replaces and returns its number.
  Outcome Record(const OrderEngine& aCommand);

  // Marks an order as confirmed. Always returns Done.
  Outcome Confirm(const ConfirmOrder& aCommand);

  // Returns the orders of each endpoint that no newer order replaces.
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

// Returns the length and a hash of a document. The result is the same in every
// build.
std::string
DocumentFingerprint(const std::string& aDocument);

// An operator's command and its outcome, which may be a rejection.
struct ChangeRecord
{
  Command command;
  Outcome outcome;

  friend bool operator==(const ChangeRecord&, const ChangeRecord&) = default;
};

// Deduplicates the commands of operators by their change ids.
class ChangeRegister
{
public:
  // Number of stored changes; at 22,000 changes a day they cover more than two
  // days.
  static constexpr std::size_t kMaxChanges = 50000;

  const ChangeRecord* Find(const ChangeId& aChange) const;
  void Add(const ChangeId& aChange, Command aCommand, Outcome aOutcome);

  friend bool operator==(const ChangeRegister&,
                         const ChangeRegister&) = default;

private:
  friend struct SnapshotAccess;
  std::map<ChangeId, ChangeRecord> records;
  // Oldest first.
  std::deque<ChangeId> order;
};

// All controllers of one replication group. Applies the commands of its log.
class StateMachine
{
public:
  // Applies one committed command. Must be called in log order.
  Outcome Apply(const Command& aCommand);

  // Returns the number of changes so far that routers must take over:
  // configurations, route tables, workspaces, keys and evacuations.
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
  const EvacuationRegister& Evacuations() const { return this->evacuations; }
  const StreamRegister& Streams() const { return this->streams; }

  friend bool operator==(const StateMachine&, const StateMachine&) = default;

private:
  friend struct SnapshotAccess;

  Outcome Dispatch(const Command& aCommand);
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
  Outcome Handle(const SetZoneEvacuation& aCommand);
  Outcome Handle(const AdmitVersion& aCommand);
  Outcome Handle(const RetireVersion& aCommand);
  Outcome Handle(const RecordStreams& aCommand);
  Outcome Handle(const AgeStreams& aCommand);

  // Updates the controllers that keep data for open sessions only.
  void EndSession(SessionId aSession);
  void AdvanceRevision();
  Revision NextRevision() const { return Revision(this->revision.Get() + 1); }

  Revision revision;
  WorkspaceController workspaces;
  BudgetLedger budgets;
  ConfigurationHistory configuration;
  OperationRegister operations;
  SessionController sessions;
  ChangeRegister changes;
  OrderRegister orders;
  RouteRegister routes;
  EvacuationRegister evacuations;
  StreamRegister streams;
};

// ------------------------------------------------------------ recalls

// A session that holds tokens of a budget, or the tokens to recall from it.
struct TokenHolder
{
  SessionId session;
  Tokens tokens;

  friend bool operator==(const TokenHolder&, const TokenHolder&) = default;
};

// Returns what to recall from the holders that can be reached, for a grant of
// at least aMinimum tokens.
std::vector<TokenHolder>
PlanRecall(std::vector<TokenHolder> aHolders, Tokens aMinimum);

} // namespace lycheestand::state

#endif
