#include "pack.h"

#include <algorithm>
#include <lycheestand/journal.h>

// Converts between the state machine and its generated FlatBuffers types.
// Decoding checks the invariants of the controllers, so that a damaged snapshot
// is rejected.

namespace lycheestand::state {

// Saves and restores the private state of the controllers. Restore() throws
// InvalidField.
struct SnapshotAccess
{
  using Snapshot = journal::fb::SnapshotT;

  static void Save(const WorkspaceController& aFrom, Snapshot& aTo);
  static void Save(const BudgetLedger& aFrom, Snapshot& aTo);
  static void Save(const ConfigurationHistory& aFrom, Snapshot& aTo);
  static void Save(const OperationRegister& aFrom, Snapshot& aTo);
  static void Save(const SessionController& aFrom, Snapshot& aTo);
  static void Save(const ChangeRegister& aFrom, Snapshot& aTo);
  static void Save(const OrderRegister& aFrom, Snapshot& aTo);
  static void Save(const EvacuationRegister& aFrom, Snapshot& aTo);
  static void Save(const StreamRegister& aFrom, Snapshot& aTo);
  static void Save(const StateMachine& aFrom, Snapshot& aTo);

  static void Restore(const Snapshot& aFrom, WorkspaceController& aTo);
  static void Restore(const Snapshot& aFrom, BudgetLedger& aTo);
  static void Restore(const Snapshot& aFrom, ConfigurationHistory& aTo);
  static void Restore(const Snapshot& aFrom, OperationRegister& aTo);
  static void Restore(const Snapshot& aFrom, SessionController& aTo);
  static void Restore(const Snapshot& aFrom, ChangeRegister& aTo);
  static void Restore(const Snapshot& aFrom, OrderRegister& aTo);
  static void Restore(const Snapshot& aFrom, EvacuationRegister& aTo);
  static void Restore(const Snapshot& aFrom, StreamRegister& aTo);
  static void Restore(const Snapshot& aFrom, StateMachine& aTo);

private:
  static std::vector<std::uint64_t> SelectStreams(
    const StreamRegister::Records& aRecords,
    StreamRegister::VersionNumber aNumber);
  static void RestoreStreams(const std::vector<std::uint64_t>& aCurrent,
                             const std::vector<std::uint64_t>& aOlder,
                             StreamRegister::VersionNumber aNumber,
                             StreamRegister::Service& aTo);
};

namespace {

using journal::CheckedEnum;
using journal::InvalidField;
using journal::Pack;
using journal::Unpack;
using journal::UnpackAnswer;
namespace fb = journal::fb;

void
Require(bool aHolds)
{
  if (!aHolds) {
    throw InvalidField{};
  }
}

// Appends an empty table to a list and returns it.
template<class Table>
Table&
Append(std::vector<std::unique_ptr<Table>>& aList)
{
  return *aList.emplace_back(std::make_unique<Table>());
}

// Inserts an entry; throws InvalidField if the key exists.
template<class Map, class Key, class Value>
Value&
InsertNew(Map& aMap, Key aKey, Value aValue)
{
  auto [position, isNew] = aMap.emplace(std::move(aKey), std::move(aValue));
  Require(isNew);
  return position->second;
}

// Subtracts each amount from the paid tokens instead of adding the amounts up,
// so that no sum can overflow.
void
CheckBudget(const Budget& aBudget)
{
  Require(aBudget.paid >= Tokens(0) && aBudget.spent >= Tokens(0) &&
          aBudget.spent <= aBudget.paid);
  Tokens rest = aBudget.paid - aBudget.spent;
  for (const auto& [session, tokens] : aBudget.outstanding) {
    Require(tokens > Tokens(0) && tokens <= rest);
    rest -= tokens;
  }
}

} // namespace

void
SnapshotAccess::Save(const WorkspaceController& aFrom, Snapshot& aTo)
{
  for (const auto& workspace : aFrom.workspaces) {
    aTo.workspaces.push_back(workspace.Get());
  }
  for (const auto& workspace : aFrom.funded) {
    aTo.funded.push_back(workspace.Get());
  }
  for (const auto& [id, record] : aFrom.keys) {
    auto& key = Append(aTo.keys);
    key.id = id.Get();
    key.hash = record.hash.Get();
    key.workspace = record.workspace.Get();
    key.site = record.site.Get();
  }
}

void
SnapshotAccess::Restore(const Snapshot& aFrom, WorkspaceController& aTo)
{
  for (const auto& workspace : aFrom.workspaces) {
    Require(aTo.workspaces.insert(WorkspaceId(workspace)).second);
  }
  for (const auto& workspace : aFrom.funded) {
    Require(aTo.workspaces.contains(WorkspaceId(workspace)));
    Require(aTo.funded.insert(WorkspaceId(workspace)).second);
  }
  for (const auto& key : aFrom.keys) {
    WorkspaceId workspace(key->workspace);
    Require(aTo.workspaces.contains(workspace));
    InsertNew(aTo.keys,
              KeyId(key->id),
              KeyRecord{ KeyHash(key->hash), workspace, SiteId(key->site) });
  }
}

void
SnapshotAccess::Save(const BudgetLedger& aFrom, Snapshot& aTo)
{
  for (const auto& [workspace, budget] : aFrom.budgets) {
    auto& entry = Append(aTo.budgets);
    entry.workspace = workspace.Get();
    entry.paid = budget.paid.Get();
    entry.spent = budget.spent.Get();
    entry.requests = budget.requests;
    for (const auto& [session, tokens] : budget.outstanding) {
      auto& holding = Append(entry.outstanding);
      holding.session = session.Get();
      holding.tokens = tokens.Get();
    }
  }
  for (const auto& [key, last] : aFrom.lastGrants) {
    auto& entry = Append(aTo.last_grants);
    entry.session = key.first.Get();
    entry.workspace = key.second.Get();
    entry.request = last.request;
    entry.reply = std::make_unique<fb::TokensGrantedT>(Pack(last.reply));
  }
  aTo.next_grant = aFrom.nextGrant;
}

void
SnapshotAccess::Restore(const Snapshot& aFrom, BudgetLedger& aTo)
{
  for (const auto& entry : aFrom.budgets) {
    Budget& budget =
      InsertNew(aTo.budgets, WorkspaceId(entry->workspace), Budget{});
    budget.paid = Tokens(entry->paid);
    budget.spent = Tokens(entry->spent);
    budget.requests = entry->requests;
    for (const auto& holding : entry->outstanding) {
      InsertNew(budget.outstanding,
                SessionId(holding->session),
                Tokens(holding->tokens));
    }
    CheckBudget(budget);
  }
  for (const auto& entry : aFrom.last_grants) {
    Require(entry->reply != nullptr);
    InsertNew(
      aTo.lastGrants,
      std::pair(SessionId(entry->session), WorkspaceId(entry->workspace)),
      LastGrant{ entry->request, Unpack(*entry->reply) });
  }
  aTo.nextGrant = aFrom.next_grant;
}

void
SnapshotAccess::Save(const ConfigurationHistory& aFrom, Snapshot& aTo)
{
  for (const auto& record : aFrom.records) {
    auto& entry = Append(aTo.configurations);
    entry.version = record.version.Get();
    entry.change = record.change.Get();
    entry.document = record.document;
  }
}

void
SnapshotAccess::Restore(const Snapshot& aFrom, ConfigurationHistory& aTo)
{
  for (const auto& entry : aFrom.configurations) {
    // Versions are consecutive. The history may begin with any of them.
    Require(entry->version != 0);
    Require(aTo.records.empty() ||
            entry->version == aTo.records.back().version.Get() + 1);
    aTo.records.push_back({ ConfigVersion(entry->version),
                            ChangeId(entry->change),
                            entry->document });
  }
}

void
SnapshotAccess::Save(const OperationRegister& aFrom, Snapshot& aTo)
{
  for (const auto& [key, operation] : aFrom.operations) {
    auto& entry = Append(aTo.operations);
    entry.workspace = key.first.Get();
    entry.key = key.second.Get();
    entry.session = operation.session.Get();
    entry.request = operation.request;
    entry.body_hash = operation.bodyHash.Get();
    entry.state = static_cast<fb::OperationState>(operation.state);
    entry.answer = Pack(operation.answer);
  }
  for (const auto& [workspace, order] : aFrom.answered) {
    auto& entry = Append(aTo.answered);
    entry.workspace = workspace.Get();
    for (const auto& key : order) {
      entry.keys.push_back(key.Get());
    }
  }
}

void
SnapshotAccess::Restore(const Snapshot& aFrom, OperationRegister& aTo)
{
  for (const auto& entry : aFrom.operations) {
    InsertNew(
      aTo.operations,
      std::pair(WorkspaceId(entry->workspace), OperationKey(entry->key)),
      Operation{ SessionId(entry->session),
                 entry->request,
                 BodyHash(entry->body_hash),
                 CheckedEnum(entry->state, OperationState::Refused),
                 UnpackAnswer(entry->answer.get()) });
  }
  for (const auto& entry : aFrom.answered) {
    auto& order = InsertNew(
      aTo.answered, WorkspaceId(entry->workspace), std::deque<OperationKey>{});
    for (const auto& key : entry->keys) {
      order.push_back(OperationKey(key));
    }
  }
}

void
SnapshotAccess::Save(const SessionController& aFrom, Snapshot& aTo)
{
  for (const auto& [id, session] : aFrom.sessions) {
    auto& entry = Append(aTo.sessions);
    entry.id = id.Get();
    entry.instance = session.instance.Get();
    entry.last_batch = session.lastBatch.Get();
    entry.closed = session.closed;
  }
}

void
SnapshotAccess::Restore(const Snapshot& aFrom, SessionController& aTo)
{
  for (const auto& entry : aFrom.sessions) {
    InstanceId instance(entry->instance);
    InsertNew(
      aTo.sessions,
      SessionId(entry->id),
      Session{ instance, BatchNumber(entry->last_batch), entry->closed });
    if (!entry->closed) {
      InsertNew(aTo.current, instance, SessionId(entry->id));
    }
  }
}

void
SnapshotAccess::Save(const ChangeRegister& aFrom, Snapshot& aTo)
{
  for (const auto& id : aFrom.order) {
    const ChangeRecord& record = aFrom.records.at(id);
    auto& entry = Append(aTo.changes);
    entry.id = id.Get();
    entry.command = std::make_unique<fb::CommandT>(Pack(record.command));
    entry.outcome = std::make_unique<fb::OutcomeT>(Pack(record.outcome));
  }
}

void
SnapshotAccess::Restore(const Snapshot& aFrom, ChangeRegister& aTo)
{
  for (const auto& entry : aFrom.changes) {
    Require(entry->command != nullptr && entry->outcome != nullptr);
    ChangeId id(entry->id);
    InsertNew(aTo.records,
              id,
              ChangeRecord{ Unpack(*entry->command), Unpack(*entry->outcome) });
    aTo.order.push_back(id);
  }
}

void
SnapshotAccess::Save(const OrderRegister& aFrom, Snapshot& aTo)
{
  for (const auto& [endpoint, orders] : aFrom.byEndpoint) {
    for (const auto& [number, order] : orders) {
      auto& entry = Append(aTo.orders);
      entry.endpoint = endpoint.Get();
      entry.number = number.Get();
      entry.kind = static_cast<fb::OrderKind>(order.kind);
      entry.argument = order.argument;
      entry.confirmed = order.confirmed;
    }
  }
  aTo.next_order = aFrom.nextNumber;
}

void
SnapshotAccess::Restore(const Snapshot& aFrom, OrderRegister& aTo)
{
  for (const auto& entry : aFrom.orders) {
    Require(entry->number < aFrom.next_order);
    InsertNew(aTo.byEndpoint[EndpointId(entry->endpoint)],
              FencingNumber(entry->number),
              Order{ CheckedEnum(entry->kind, OrderKind::SetRole),
                     entry->argument,
                     entry->confirmed });
  }
  // Snapshots of versions without engine orders have no next number.
  aTo.nextNumber = std::max<std::uint64_t>(aFrom.next_order, 1);
}

void
SnapshotAccess::Save(const EvacuationRegister& aFrom, Snapshot& aTo)
{
  for (const auto& [zone, evacuation] : aFrom.evacuations) {
    auto& entry = Append(aTo.evacuations);
    entry.zone = zone.Get();
    entry.revision = evacuation.revision.Get();
    entry.change = evacuation.change.Get();
  }
}

// Snapshots of versions without evacuations have no entries.
void
SnapshotAccess::Restore(const Snapshot& aFrom, EvacuationRegister& aTo)
{
  for (const auto& entry : aFrom.evacuations) {
    InsertNew(aTo.evacuations,
              ZoneId(entry->zone),
              Evacuation{ Revision(entry->revision), ChangeId(entry->change) });
  }
}

// Sorted, so that equal states have equal snapshots.
std::vector<std::uint64_t>
SnapshotAccess::SelectStreams(const StreamRegister::Records& aRecords,
                              StreamRegister::VersionNumber aNumber)
{
  std::vector<std::uint64_t> streams;
  for (const auto& [stream, number] : aRecords) {
    if (number == aNumber) {
      streams.push_back(stream.Get());
    }
  }
  std::sort(streams.begin(), streams.end());
  return streams;
}

void
SnapshotAccess::Save(const StreamRegister& aFrom, Snapshot& aTo)
{
  constexpr auto kAmbiguous = StreamRegister::kAmbiguous;
  for (const auto& [name, service] : aFrom.services) {
    auto& entry = Append(aTo.streams);
    entry.service = name.Get();
    for (const auto& [version, number] : service.versions) {
      auto& saved = Append(entry.versions);
      saved.version = version.Get();
      saved.number = number;
      saved.current = SelectStreams(service.current, number);
      saved.older = SelectStreams(service.older, number);
    }
    entry.ambiguous_current = SelectStreams(service.current, kAmbiguous);
    entry.ambiguous_older = SelectStreams(service.older, kAmbiguous);
  }
  aTo.version_changes = aFrom.versionChanges;
}

// Adds the records of one version, or of two, to a service. No stream may have
// a record already.
void
SnapshotAccess::RestoreStreams(const std::vector<std::uint64_t>& aCurrent,
                               const std::vector<std::uint64_t>& aOlder,
                               StreamRegister::VersionNumber aNumber,
                               StreamRegister::Service& aTo)
{
  for (std::uint64_t stream : aCurrent) {
    Require(aTo.FindRecord(StreamId(stream)) == nullptr);
    aTo.current.emplace(StreamId(stream), aNumber);
  }
  for (std::uint64_t stream : aOlder) {
    Require(aTo.FindRecord(StreamId(stream)) == nullptr);
    aTo.older.emplace(StreamId(stream), aNumber);
  }
}

// Snapshots of builds without versions have no entries.
void
SnapshotAccess::Restore(const Snapshot& aFrom, StreamRegister& aTo)
{
  std::size_t current = 0;
  std::size_t older = 0;
  for (const auto& entry : aFrom.streams) {
    auto& service = InsertNew(
      aTo.services, ServiceName(entry->service), StreamRegister::Service{});
    Require(entry->versions.size() <= StreamRegister::kMaxVersions);
    std::set<StreamRegister::VersionNumber> numbers{
      StreamRegister::kAmbiguous
    };
    for (const auto& saved : entry->versions) {
      Require(!saved->version.empty() && numbers.insert(saved->number).second);
      InsertNew(
        service.versions, SoftwareVersion(saved->version), saved->number);
      RestoreStreams(saved->current, saved->older, saved->number, service);
    }
    RestoreStreams(entry->ambiguous_current,
                   entry->ambiguous_older,
                   StreamRegister::kAmbiguous,
                   service);
    Require(!service.IsEmpty());
    current += service.current.size();
    older += service.older.size();
  }
  Require(current <= StreamRegister::kMaxRecords &&
          older <= StreamRegister::kMaxRecords);
  aTo.versionChanges = aFrom.version_changes;
}

void
SnapshotAccess::Save(const StateMachine& aFrom, Snapshot& aTo)
{
  aTo.revision = aFrom.revision.Get();
  Save(aFrom.workspaces, aTo);
  Save(aFrom.budgets, aTo);
  Save(aFrom.configuration, aTo);
  Save(aFrom.operations, aTo);
  Save(aFrom.sessions, aTo);
  Save(aFrom.changes, aTo);
  Save(aFrom.orders, aTo);
  Save(aFrom.evacuations, aTo);
  Save(aFrom.streams, aTo);
  aTo.routes_version = aFrom.routes.version.Get();
  aTo.routes_document = aFrom.routes.document;
}

void
SnapshotAccess::Restore(const Snapshot& aFrom, StateMachine& aTo)
{
  aTo.revision = Revision(aFrom.revision);
  Restore(aFrom, aTo.workspaces);
  Restore(aFrom, aTo.budgets);
  Restore(aFrom, aTo.configuration);
  Restore(aFrom, aTo.operations);
  Restore(aFrom, aTo.sessions);
  Restore(aFrom, aTo.changes);
  Restore(aFrom, aTo.orders);
  Restore(aFrom, aTo.evacuations);
  Restore(aFrom, aTo.streams);
  aTo.routes.version = ConfigVersion(aFrom.routes_version);
  aTo.routes.document = aFrom.routes_document;
}

} // namespace lycheestand::state

namespace lycheestand::journal {

namespace {

constexpr flatbuffers::uoffset_t kMaxTableDepth = 64;

// Returns the verifier's limit of tables for a buffer of this size. A table has
// at least four bytes, so the limit never rejects an encoded state. The
// library's default limit of a million tables would, at the target size.
flatbuffers::uoffset_t
MaxTables(std::size_t aBytes)
{
  constexpr std::size_t kBytesPerTable = 4;
  return static_cast<flatbuffers::uoffset_t>(aBytes / kBytesPerTable + 1);
}

} // namespace

std::string
EncodeSnapshot(const state::StateMachine& aMachine)
{
  fb::SnapshotT snapshot;
  state::SnapshotAccess::Save(aMachine, snapshot);
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(fb::Snapshot::Pack(builder, &snapshot));
  return CopyBuffer(builder);
}

Result<state::StateMachine, JournalError>
DecodeSnapshot(std::string_view aBytes)
{
  if (aBytes.size() >= FLATBUFFERS_MAX_BUFFER_SIZE) {
    return JournalError::Malformed;
  }
  flatbuffers::Verifier verifier(
    reinterpret_cast<const std::uint8_t*>(aBytes.data()),
    aBytes.size(),
    kMaxTableDepth,
    MaxTables(aBytes.size()));
  if (!verifier.VerifyBuffer<fb::Snapshot>(nullptr)) {
    return JournalError::Malformed;
  }
  fb::SnapshotT snapshot;
  flatbuffers::GetRoot<fb::Snapshot>(aBytes.data())->UnPackTo(&snapshot);
  try {
    state::StateMachine machine;
    state::SnapshotAccess::Restore(snapshot, machine);
    return machine;
  } catch (const InvalidField&) {
    return JournalError::InvalidValue;
  }
}

} // namespace lycheestand::journal
