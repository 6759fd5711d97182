#include "frame_generated.h"

#include <lycheestand/wire.h>
#include <memory>

// Converts between the message structs and the generated FlatBuffers types.
// Every table has one Pack and one Unpack. Decode verifies the buffer before it
// unpacks any field.

namespace lycheestand::wire {

namespace {

// Thrown by Unpack for a field that passes the FlatBuffers verifier but has an
// invalid value. Decode catches it.
struct InvalidField
{};

std::vector<std::uint8_t>
ToBytes(const std::string& aText)
{
  return { aText.begin(), aText.end() };
}

std::string
ToText(const std::vector<std::uint8_t>& aBytes)
{
  return { aBytes.begin(), aBytes.end() };
}

std::string
PackAddress(const Address& aAddress)
{
  return aAddress.host.empty() ? std::string() : ToString(aAddress);
}

Address
UnpackAddress(const std::string& aText)
{
  if (aText.empty()) {
    return {};
  }
  auto address = ParseAddress(aText);
  if (address.has_error()) {
    throw InvalidField{};
  }
  return address.value();
}

template<class E>
E
CheckedEnum(std::uint8_t aValue, E aLast)
{
  if (aValue > static_cast<std::uint8_t>(aLast)) {
    throw InvalidField{};
  }
  return static_cast<E>(aValue);
}

fb::HelloT
Pack(const Hello& aIn)
{
  fb::HelloT out;
  out.instance = aIn.instance.Get();
  out.zone = aIn.zone.Get();
  out.session = aIn.session.Get();
  out.caller_address = PackAddress(aIn.callerAddress);
  out.protocol = aIn.protocol;
  out.is_control = aIn.isControl;
  out.revision = aIn.revision.Get();
  out.accepts_patches = aIn.acceptsPatches;
  out.accepts_quarantine = aIn.acceptsQuarantine;
  out.accepts_limits = aIn.acceptsLimits;
  out.peer_address = PackAddress(aIn.peerAddress);
  out.accepts_partial_limits = aIn.acceptsPartialLimits;
  out.accepts_stream_services = aIn.acceptsStreamServices;
  return out;
}

Hello
Unpack(const fb::HelloT& aIn)
{
  return { InstanceId(aIn.instance),
           ZoneId(aIn.zone),
           SessionId(aIn.session),
           UnpackAddress(aIn.caller_address),
           aIn.protocol,
           aIn.is_control,
           Revision(aIn.revision),
           aIn.accepts_patches,
           aIn.accepts_quarantine,
           aIn.accepts_limits,
           UnpackAddress(aIn.peer_address),
           aIn.accepts_partial_limits,
           aIn.accepts_stream_services };
}

fb::ControlEntryT
Pack(const ControlEntry& aIn)
{
  fb::ControlEntryT out;
  out.instance = aIn.instance.Get();
  out.address = PackAddress(aIn.address);
  return out;
}

ControlEntry
Unpack(const fb::ControlEntryT& aIn)
{
  return { InstanceId(aIn.instance), UnpackAddress(aIn.address) };
}

RequestRate
UnpackRate(double aPerSecond)
{
  if (!(aPerSecond >= 0)) {
    throw InvalidField{};
  }
  return RequestRate(aPerSecond);
}

fb::EndpointLimitT
Pack(const EndpointLimit& aIn)
{
  fb::EndpointLimitT out;
  out.endpoint = aIn.endpoint.Get();
  out.per_second = aIn.rate.Get();
  return out;
}

EndpointLimit
Unpack(const fb::EndpointLimitT& aIn)
{
  return { EndpointId(aIn.endpoint), UnpackRate(aIn.per_second) };
}

fb::RequestRecordT
Pack(const RequestRecord& aIn)
{
  fb::RequestRecordT out;
  out.digest = aIn.digest.Get();
  out.state = aIn.state;
  out.crashes = aIn.crashes;
  out.remaining_ms = static_cast<std::uint64_t>(aIn.remaining.count());
  out.length_ms = static_cast<std::uint64_t>(aIn.length.count());
  return out;
}

// Longer times would overflow when they are added to the current time.
Milliseconds
UnpackQuarantineTime(std::uint64_t aMilliseconds)
{
  constexpr std::uint64_t kMax =
    Milliseconds(std::chrono::hours(24 * 365)).count();
  if (aMilliseconds > kMax) {
    throw InvalidField{};
  }
  return Milliseconds(aMilliseconds);
}

RequestRecord
Unpack(const fb::RequestRecordT& aIn)
{
  return { RequestDigest(aIn.digest),
           aIn.state,
           aIn.crashes,
           UnpackQuarantineTime(aIn.remaining_ms),
           UnpackQuarantineTime(aIn.length_ms) };
}

fb::HeartbeatT
Pack(const Heartbeat& aIn)
{
  fb::HeartbeatT out;
  out.sent_at = aIn.sentAt.count();
  out.revision = aIn.revision.Get();
  out.view_version = aIn.viewVersion.Get();
  out.in_flight = aIn.inFlight;
  out.leaving = aIn.leaving;
  out.overloaded = aIn.overloaded;
  return out;
}

Heartbeat
Unpack(const fb::HeartbeatT& aIn)
{
  return { std::chrono::nanoseconds(aIn.sent_at),
           Revision(aIn.revision),
           ViewVersion(aIn.view_version),
           aIn.in_flight,
           aIn.leaving,
           aIn.overloaded };
}

fb::ConfigPushT
Pack(const ConfigPush& aIn)
{
  fb::ConfigPushT out;
  out.revision = aIn.revision.Get();
  out.base = aIn.base.Get();
  out.document = aIn.document;
  out.patch = ToBytes(aIn.patch);
  return out;
}

ConfigPush
Unpack(const fb::ConfigPushT& aIn)
{
  return {
    Revision(aIn.revision), Revision(aIn.base), aIn.document, ToText(aIn.patch)
  };
}

fb::InstanceEntryT
Pack(const InstanceEntry& aIn)
{
  fb::InstanceEntryT out;
  out.instance = aIn.instance.Get();
  out.zone = aIn.zone.Get();
  out.caller_address = PackAddress(aIn.callerAddress);
  out.in_flight = aIn.inFlight;
  out.leaving = aIn.leaving;
  out.alive = aIn.alive;
  out.peer_address = PackAddress(aIn.peerAddress);
  out.overloaded = aIn.overloaded;
  return out;
}

InstanceEntry
Unpack(const fb::InstanceEntryT& aIn)
{
  return { InstanceId(aIn.instance),
           ZoneId(aIn.zone),
           UnpackAddress(aIn.caller_address),
           aIn.in_flight,
           aIn.leaving,
           aIn.alive,
           UnpackAddress(aIn.peer_address),
           aIn.overloaded };
}

fb::EndpointEntryT
Pack(const EndpointEntry& aIn)
{
  fb::EndpointEntryT out;
  out.endpoint = aIn.endpoint.Get();
  out.zone = aIn.zone.Get();
  out.address = PackAddress(aIn.address);
  out.serves = aIn.serves;
  out.is_service = aIn.isService;
  out.leaving = aIn.leaving;
  out.start_time = aIn.startTime.Get();
  out.is_cold = aIn.isCold;
  out.version = aIn.version.Get();
  return out;
}

EndpointEntry
Unpack(const fb::EndpointEntryT& aIn)
{
  return { EndpointId(aIn.endpoint),
           ZoneId(aIn.zone),
           UnpackAddress(aIn.address),
           aIn.serves,
           aIn.is_service,
           aIn.leaving,
           StartTime(aIn.start_time),
           aIn.is_cold,
           SoftwareVersion(aIn.version) };
}

fb::UsageEntryT
Pack(const UsageEntry& aIn)
{
  fb::UsageEntryT out;
  out.workspace = aIn.workspace.Get();
  out.spent = aIn.spent.Get();
  out.returned = aIn.returned.Get();
  out.requests = aIn.requests;
  return out;
}

UsageEntry
Unpack(const fb::UsageEntryT& aIn)
{
  return { WorkspaceId(aIn.workspace),
           Tokens(aIn.spent),
           Tokens(aIn.returned),
           aIn.requests };
}

fb::LogEntryT
Pack(const LogRecord& aIn)
{
  fb::LogEntryT out;
  out.term = aIn.term.Get();
  out.index = aIn.index.Get();
  out.kind = aIn.kind;
  out.payload = ToBytes(aIn.payload);
  return out;
}

LogRecord
Unpack(const fb::LogEntryT& aIn)
{
  return { Term(aIn.term), LogIndex(aIn.index), aIn.kind, ToText(aIn.payload) };
}

template<class Table, class Value>
std::vector<std::unique_ptr<Table>>
PackList(const std::vector<Value>& aIn)
{
  std::vector<std::unique_ptr<Table>> out;
  out.reserve(aIn.size());
  for (const auto& value : aIn) {
    out.push_back(std::make_unique<Table>(Pack(value)));
  }
  return out;
}

template<class Value, class Table>
std::vector<Value>
UnpackList(const std::vector<std::unique_ptr<Table>>& aIn)
{
  std::vector<Value> out;
  out.reserve(aIn.size());
  for (const auto& table : aIn) {
    out.push_back(Unpack(*table));
  }
  return out;
}

template<class Id>
std::vector<std::string>
PackIds(const std::vector<Id>& aIn)
{
  std::vector<std::string> out;
  for (const auto& id : aIn) {
    out.push_back(id.Get());
  }
  return out;
}

template<class Id>
std::vector<Id>
UnpackIds(const std::vector<std::string>& aIn)
{
  std::vector<Id> out;
  for (const auto& id : aIn) {
    out.emplace_back(id);
  }
  return out;
}

fb::WelcomeT
Pack(const Welcome& aIn)
{
  fb::WelcomeT out;
  out.accepted = aIn.accepted;
  out.leader = aIn.leader;
  out.reason = aIn.reason;
  out.control = PackList<fb::ControlEntryT>(aIn.control);
  out.tracks_crashes = aIn.tracksCrashes;
  out.grants_permits = aIn.grantsPermits;
  out.session = aIn.session.Get();
  out.grants_trials = aIn.grantsTrials;
  out.records_streams = aIn.recordsStreams;
  return out;
}

Welcome
Unpack(const fb::WelcomeT& aIn)
{
  return { aIn.accepted,
           aIn.leader,
           aIn.reason,
           UnpackList<ControlEntry>(aIn.control),
           aIn.tracks_crashes,
           aIn.grants_permits,
           SessionId(aIn.session),
           aIn.grants_trials,
           aIn.records_streams };
}

fb::HeartbeatAckT
Pack(const HeartbeatAck& aIn)
{
  fb::HeartbeatAckT out;
  out.sent_at = aIn.sentAt.count();
  out.revision = aIn.revision.Get();
  out.control = PackList<fb::ControlEntryT>(aIn.control);
  return out;
}

HeartbeatAck
Unpack(const fb::HeartbeatAckT& aIn)
{
  return { std::chrono::nanoseconds(aIn.sent_at),
           Revision(aIn.revision),
           UnpackList<ControlEntry>(aIn.control) };
}

fb::ViewPushT
Pack(const ViewPush& aIn)
{
  fb::ViewPushT out;
  out.version = aIn.version.Get();
  out.instances = PackList<fb::InstanceEntryT>(aIn.instances);
  out.endpoints = PackList<fb::EndpointEntryT>(aIn.endpoints);
  out.base = aIn.base.Get();
  out.removed_instances = PackIds(aIn.removedInstances);
  out.removed_endpoints = PackIds(aIn.removedEndpoints);
  return out;
}

ViewPush
Unpack(const fb::ViewPushT& aIn)
{
  return { ViewVersion(aIn.version),
           ViewVersion(aIn.base),
           UnpackList<InstanceEntry>(aIn.instances),
           UnpackList<EndpointEntry>(aIn.endpoints),
           UnpackIds<InstanceId>(aIn.removed_instances),
           UnpackIds<EndpointId>(aIn.removed_endpoints) };
}

fb::GrantRequestT
Pack(const GrantRequest& aIn)
{
  fb::GrantRequestT out;
  out.request = aIn.request;
  out.workspace = aIn.workspace.Get();
  out.minimum = aIn.minimum.Get();
  out.wanted = aIn.wanted.Get();
  out.ahead = aIn.isPrefetch;
  out.main_user = aIn.isMainUser;
  return out;
}

GrantRequest
Unpack(const fb::GrantRequestT& aIn)
{
  return { aIn.request,         WorkspaceId(aIn.workspace),
           Tokens(aIn.minimum), Tokens(aIn.wanted),
           aIn.ahead,           aIn.main_user };
}

fb::GrantReplyT
Pack(const GrantReply& aIn)
{
  fb::GrantReplyT out;
  out.request = aIn.request;
  out.workspace = aIn.workspace.Get();
  out.grant = aIn.grant.Get();
  out.tokens = aIn.tokens.Get();
  out.exhausted = aIn.exhausted;
  out.most_held = aIn.holdsTokenMajority;
  out.lender_offline = aIn.isLenderOffline;
  return out;
}

GrantReply
Unpack(const fb::GrantReplyT& aIn)
{
  return { aIn.request,        WorkspaceId(aIn.workspace),
           GrantId(aIn.grant), Tokens(aIn.tokens),
           aIn.exhausted,      aIn.most_held,
           aIn.lender_offline };
}

fb::RecallT
Pack(const Recall& aIn)
{
  fb::RecallT out;
  out.workspace = aIn.workspace.Get();
  out.tokens = aIn.tokens.Get();
  return out;
}

Recall
Unpack(const fb::RecallT& aIn)
{
  return { WorkspaceId(aIn.workspace), Tokens(aIn.tokens) };
}

fb::UsageReportT
Pack(const UsageReport& aIn)
{
  fb::UsageReportT out;
  out.batch = aIn.batch.Get();
  out.entries = PackList<fb::UsageEntryT>(aIn.entries);
  return out;
}

UsageReport
Unpack(const fb::UsageReportT& aIn)
{
  return { BatchNumber(aIn.batch), UnpackList<UsageEntry>(aIn.entries) };
}

fb::UsageAckT
Pack(const UsageAck& aIn)
{
  fb::UsageAckT out;
  out.batch = aIn.batch.Get();
  return out;
}

UsageAck
Unpack(const fb::UsageAckT& aIn)
{
  return { BatchNumber(aIn.batch) };
}

fb::OperationRequestT
Pack(const OperationRequest& aIn)
{
  fb::OperationRequestT out;
  out.request = aIn.request;
  out.workspace = aIn.workspace.Get();
  out.key = aIn.key.Get();
  out.body_hash = aIn.bodyHash.Get();
  out.phase = static_cast<fb::OperationPhase>(aIn.phase);
  out.status = aIn.answer.status;
  out.content_type = aIn.answer.contentType;
  out.answer = ToBytes(aIn.answer.body);
  return out;
}

OperationRequest
Unpack(const fb::OperationRequestT& aIn)
{
  return { aIn.request,
           WorkspaceId(aIn.workspace),
           OperationKey(aIn.key),
           BodyHash(aIn.body_hash),
           CheckedEnum(static_cast<std::uint8_t>(aIn.phase),
                       OperationPhase::Unknown),
           { aIn.status, aIn.content_type, ToText(aIn.answer) } };
}

fb::OperationReplyT
Pack(const OperationReply& aIn)
{
  fb::OperationReplyT out;
  out.request = aIn.request;
  out.phase = static_cast<fb::OperationPhase>(aIn.phase);
  out.state = static_cast<fb::OperationState>(aIn.state);
  out.status = aIn.answer.status;
  out.content_type = aIn.answer.contentType;
  out.answer = ToBytes(aIn.answer.body);
  return out;
}

OperationReply
Unpack(const fb::OperationReplyT& aIn)
{
  return {
    aIn.request,
    CheckedEnum(static_cast<std::uint8_t>(aIn.phase), OperationPhase::Unknown),
    CheckedEnum(static_cast<std::uint8_t>(aIn.state), OperationState::Refused),
    { aIn.status, aIn.content_type, ToText(aIn.answer) }
  };
}

fb::DrainT
Pack(const Drain&)
{
  return {};
}

Drain
Unpack(const fb::DrainT&)
{
  return {};
}

template<class Id>
std::vector<std::uint64_t>
PackNumbers(const std::vector<Id>& aIds)
{
  std::vector<std::uint64_t> out;
  out.reserve(aIds.size());
  for (auto id : aIds) {
    out.push_back(id.Get());
  }
  return out;
}

template<class Id>
std::vector<Id>
UnpackNumbers(const std::vector<std::uint64_t>& aIds)
{
  return { aIds.begin(), aIds.end() };
}

fb::CrashReportT
Pack(const CrashReport& aIn)
{
  fb::CrashReportT out;
  out.endpoint = aIn.endpoint.Get();
  out.parts = PackNumbers(aIn.parts);
  out.age_ms = static_cast<std::uint32_t>(aIn.age.count());
  out.digests = PackNumbers(aIn.digests);
  return out;
}

CrashReport
Unpack(const fb::CrashReportT& aIn)
{
  return { EndpointId(aIn.endpoint),
           UnpackNumbers<PromptPartId>(aIn.parts),
           Milliseconds(aIn.age_ms),
           UnpackNumbers<RequestDigest>(aIn.digests) };
}

fb::PartSuccessT
Pack(const PartSuccess& aIn)
{
  fb::PartSuccessT out;
  out.parts = PackNumbers(aIn.parts);
  out.digests = PackNumbers(aIn.digests);
  return out;
}

PartSuccess
Unpack(const fb::PartSuccessT& aIn)
{
  return { UnpackNumbers<PromptPartId>(aIn.parts),
           UnpackNumbers<RequestDigest>(aIn.digests) };
}

fb::QuarantineStateT
Pack(const QuarantineState& aIn)
{
  fb::QuarantineStateT out;
  out.suspects = PackNumbers(aIn.suspects);
  out.quarantined = PackNumbers(aIn.quarantined);
  out.suspect_requests = PackNumbers(aIn.suspectRequests);
  out.requests = PackList<fb::RequestRecordT>(aIn.requests);
  return out;
}

QuarantineState
Unpack(const fb::QuarantineStateT& aIn)
{
  return { UnpackNumbers<PromptPartId>(aIn.suspects),
           UnpackNumbers<PromptPartId>(aIn.quarantined),
           UnpackNumbers<RequestDigest>(aIn.suspect_requests),
           UnpackList<RequestRecord>(aIn.requests) };
}

fb::LimitReportT
Pack(const LimitReport& aIn)
{
  fb::LimitReportT out;
  out.endpoint = aIn.endpoint.Get();
  out.is_limited = aIn.limit.has_value();
  out.per_second = aIn.limit.value_or(RequestRate()).Get();
  out.is_observed = aIn.isObserved;
  out.is_cold = aIn.isCold;
  out.cold_ms = static_cast<std::uint32_t>(aIn.coldRemaining.count());
  return out;
}

LimitReport
Unpack(const fb::LimitReportT& aIn)
{
  LimitReport out;
  out.endpoint = EndpointId(aIn.endpoint);
  if (aIn.is_limited) {
    out.limit = UnpackRate(aIn.per_second);
  }
  out.isObserved = aIn.is_observed;
  out.isCold = aIn.is_cold;
  out.coldRemaining = Milliseconds(aIn.cold_ms);
  return out;
}

fb::LimitStateT
Pack(const LimitState& aIn)
{
  fb::LimitStateT out;
  out.limits = PackList<fb::EndpointLimitT>(aIn.limits);
  out.cold_limits = PackList<fb::EndpointLimitT>(aIn.coldLimits);
  out.is_partial = aIn.isPartial;
  return out;
}

LimitState
Unpack(const fb::LimitStateT& aIn)
{
  return { UnpackList<EndpointLimit>(aIn.limits),
           UnpackList<EndpointLimit>(aIn.cold_limits),
           aIn.is_partial };
}

fb::PermitRequestT
Pack(const PermitRequest& aIn)
{
  fb::PermitRequestT out;
  out.endpoint = aIn.endpoint.Get();
  out.count = aIn.count;
  return out;
}

PermitRequest
Unpack(const fb::PermitRequestT& aIn)
{
  return { EndpointId(aIn.endpoint), aIn.count };
}

fb::PermitReplyT
Pack(const PermitReply& aIn)
{
  fb::PermitReplyT out;
  out.endpoint = aIn.endpoint.Get();
  out.granted = aIn.granted;
  out.wait_ms = static_cast<std::uint32_t>(aIn.wait.count());
  return out;
}

PermitReply
Unpack(const fb::PermitReplyT& aIn)
{
  return { EndpointId(aIn.endpoint), aIn.granted, Milliseconds(aIn.wait_ms) };
}

fb::TrialRequestT
Pack(const TrialRequest& aIn)
{
  fb::TrialRequestT out;
  out.digest = aIn.digest.Get();
  return out;
}

TrialRequest
Unpack(const fb::TrialRequestT& aIn)
{
  return { RequestDigest(aIn.digest) };
}

fb::TrialReplyT
Pack(const TrialReply& aIn)
{
  fb::TrialReplyT out;
  out.digest = aIn.digest.Get();
  out.granted = aIn.granted;
  return out;
}

TrialReply
Unpack(const fb::TrialReplyT& aIn)
{
  return { RequestDigest(aIn.digest), aIn.granted };
}

fb::StreamServicesT
Pack(const StreamServices& aIn)
{
  fb::StreamServicesT out;
  out.services = PackIds(aIn.services);
  return out;
}

StreamServices
Unpack(const fb::StreamServicesT& aIn)
{
  return { UnpackIds<ServiceName>(aIn.services) };
}

fb::StreamReportT
Pack(const StreamReport& aIn)
{
  fb::StreamReportT out;
  out.service = aIn.service.Get();
  out.version = aIn.version.Get();
  out.streams = PackNumbers(aIn.streams);
  return out;
}

StreamReport
Unpack(const fb::StreamReportT& aIn)
{
  return { ServiceName(aIn.service),
           SoftwareVersion(aIn.version),
           UnpackNumbers<StreamId>(aIn.streams) };
}

fb::StreamQueryT
Pack(const StreamQuery& aIn)
{
  fb::StreamQueryT out;
  out.query = aIn.query;
  out.service = aIn.service.Get();
  out.has_stream = aIn.stream.has_value();
  out.stream = aIn.stream.value_or(StreamId()).Get();
  return out;
}

StreamQuery
Unpack(const fb::StreamQueryT& aIn)
{
  StreamQuery out{ aIn.query, ServiceName(aIn.service), {} };
  if (aIn.has_stream) {
    out.stream = StreamId(aIn.stream);
  }
  return out;
}

fb::StreamReplyT
Pack(const StreamReply& aIn)
{
  fb::StreamReplyT out;
  out.query = aIn.query;
  out.is_known = aIn.version.has_value();
  out.version = aIn.version.value_or(SoftwareVersion()).Get();
  return out;
}

StreamReply
Unpack(const fb::StreamReplyT& aIn)
{
  StreamReply out{ aIn.query, {} };
  if (aIn.is_known) {
    out.version = SoftwareVersion(aIn.version);
  }
  return out;
}

fb::ReplicationT
Pack(const Replication& aIn)
{
  fb::ReplicationT out;
  out.group = aIn.group.Get();
  out.kind = aIn.kind;
  out.from = aIn.from.Get();
  out.from_disk = aIn.fromDisk.Get();
  out.to_disk = aIn.toDisk.Get();
  out.term = aIn.term.Get();
  out.last_index = aIn.lastIndex.Get();
  out.last_term = aIn.lastTerm.Get();
  out.commit = aIn.commit.Get();
  out.granted = aIn.granted;
  out.round = aIn.round;
  out.entries = PackList<fb::LogEntryT>(aIn.entries);
  out.snapshot = ToBytes(aIn.snapshot);
  out.address = PackAddress(aIn.address);
  out.zone = aIn.zone.Get();
  out.leader = aIn.leader.Get();
  out.applies_stream_commands = aIn.appliesStreamCommands;
  return out;
}

Replication
Unpack(const fb::ReplicationT& aIn)
{
  Replication out;
  out.group = GroupId(aIn.group);
  out.kind = aIn.kind;
  out.from = InstanceId(aIn.from);
  out.fromDisk = DiskId(aIn.from_disk);
  out.toDisk = DiskId(aIn.to_disk);
  out.term = Term(aIn.term);
  out.lastIndex = LogIndex(aIn.last_index);
  out.lastTerm = Term(aIn.last_term);
  out.commit = LogIndex(aIn.commit);
  out.granted = aIn.granted;
  out.round = aIn.round;
  out.entries = UnpackList<LogRecord>(aIn.entries);
  out.snapshot = ToText(aIn.snapshot);
  out.address = UnpackAddress(aIn.address);
  out.zone = ZoneId(aIn.zone);
  out.leader = InstanceId(aIn.leader);
  out.appliesStreamCommands = aIn.applies_stream_commands;
  return out;
}

// Unpacks the table that the union holds.
Message
UnpackBody(fb::BodyUnion& aBody)
{
  switch (aBody.type) {
    case fb::Body::Hello:
      return Unpack(*aBody.AsHello());
    case fb::Body::Welcome:
      return Unpack(*aBody.AsWelcome());
    case fb::Body::Heartbeat:
      return Unpack(*aBody.AsHeartbeat());
    case fb::Body::HeartbeatAck:
      return Unpack(*aBody.AsHeartbeatAck());
    case fb::Body::ConfigPush:
      return Unpack(*aBody.AsConfigPush());
    case fb::Body::ViewPush:
      return Unpack(*aBody.AsViewPush());
    case fb::Body::GrantRequest:
      return Unpack(*aBody.AsGrantRequest());
    case fb::Body::GrantReply:
      return Unpack(*aBody.AsGrantReply());
    case fb::Body::Recall:
      return Unpack(*aBody.AsRecall());
    case fb::Body::UsageReport:
      return Unpack(*aBody.AsUsageReport());
    case fb::Body::UsageAck:
      return Unpack(*aBody.AsUsageAck());
    case fb::Body::OperationRequest:
      return Unpack(*aBody.AsOperationRequest());
    case fb::Body::OperationReply:
      return Unpack(*aBody.AsOperationReply());
    case fb::Body::Drain:
      return Unpack(*aBody.AsDrain());
    case fb::Body::Replication:
      return Unpack(*aBody.AsReplication());
    case fb::Body::CrashReport:
      return Unpack(*aBody.AsCrashReport());
    case fb::Body::PartSuccess:
      return Unpack(*aBody.AsPartSuccess());
    case fb::Body::QuarantineState:
      return Unpack(*aBody.AsQuarantineState());
    case fb::Body::LimitReport:
      return Unpack(*aBody.AsLimitReport());
    case fb::Body::LimitState:
      return Unpack(*aBody.AsLimitState());
    case fb::Body::PermitRequest:
      return Unpack(*aBody.AsPermitRequest());
    case fb::Body::PermitReply:
      return Unpack(*aBody.AsPermitReply());
    case fb::Body::TrialRequest:
      return Unpack(*aBody.AsTrialRequest());
    case fb::Body::TrialReply:
      return Unpack(*aBody.AsTrialReply());
    case fb::Body::StreamServices:
      return Unpack(*aBody.AsStreamServices());
    case fb::Body::StreamReport:
      return Unpack(*aBody.AsStreamReport());
    case fb::Body::StreamQuery:
      return Unpack(*aBody.AsStreamQuery());
    case fb::Body::StreamReply:
      return Unpack(*aBody.AsStreamReply());
    case fb::Body::NONE:
      break;
  }
  throw InvalidField{};
}

} // namespace

std::string
Encode(const Message& aMessage)
{
  fb::FrameT frame;
  std::visit([&](const auto& aBody) { frame.body.Set(Pack(aBody)); }, aMessage);
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(fb::Frame::Pack(builder, &frame));
  return { reinterpret_cast<const char*>(builder.GetBufferPointer()),
           builder.GetSize() };
}

Result<Message, WireError>
Decode(std::string_view aBytes)
{
  flatbuffers::Verifier verifier(
    reinterpret_cast<const std::uint8_t*>(aBytes.data()), aBytes.size());
  if (!fb::VerifyFrameBuffer(verifier)) {
    return WireError::Malformed;
  }
  fb::FrameT frame;
  fb::GetFrame(aBytes.data())->UnPackTo(&frame);
  if (frame.body.type == fb::Body::NONE || frame.body.value == nullptr) {
    return WireError::UnknownMessage;
  }
  try {
    return UnpackBody(frame.body);
  } catch (const InvalidField&) {
    return WireError::InvalidValue;
  }
}

} // namespace lycheestand::wire
