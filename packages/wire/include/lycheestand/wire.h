#ifndef LYCHEESTAND_WIRE_H
#define LYCHEESTAND_WIRE_H

// Messages between routers and control instances, between control instances and
// between routers, with their encoding. Every message is the body of one frame.

#include <lycheestand/core.h>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lycheestand::wire {

// Protocol version; control refuses a peer that has a different one.
inline constexpr std::uint32_t kProtocolVersion = 1;

// First message on a link, sent by the router or control instance that opened
// it, to control or to a router that lends tokens.
struct Hello
{
  InstanceId instance;
  ZoneId zone;
  SessionId session;
  Address callerAddress;
  std::uint32_t protocol = kProtocolVersion;
  // True on a link between two control instances.
  bool isControl = false;
  // Revision of the fleet snapshot that the router already has; 0 for none.
  Revision revision;
  // False for a router of an earlier version, which needs whole snapshots.
  bool acceptsPatches = false;
  // False for a router of an earlier version, which knows no QuarantineState.
  bool acceptsQuarantine = false;
  // False for a router of an earlier version, which knows no LimitState.
  bool acceptsLimits = false;
  // Address at which the router lends tokens to other routers; without a host
  // if it does not.
  Address peerAddress;
  // False for a router of an earlier version.
  bool acceptsPartialLimits = false;
  // False for a router of an earlier version, which knows no StreamServices.
  bool acceptsStreamServices = false;
};

// An instance of the control group.
struct ControlEntry
{
  InstanceId instance;
  // Address at which it accepts links.
  Address address;

  friend bool operator==(const ControlEntry&, const ControlEntry&) = default;
};

// Reply to a router's Hello. A refusal has a reason, and names the leader when
// it is known.
struct Welcome
{
  bool accepted = false;
  // Instance id of the leader; empty when the router is accepted or the leader
  // is not known.
  std::string leader;
  std::string reason;
  // The control group as far as the sender knows it.
  std::vector<ControlEntry> control;
  // False for control of an earlier version, which knows no CrashReport.
  bool tracksCrashes = false;
  // False for control of an earlier version, which knows no PermitRequest.
  bool grantsPermits = false;
  // Session of a router that lends tokens; control sends none.
  SessionId session;
  // False for control of an earlier version, which knows no TrialRequest.
  bool grantsTrials = false;
  // False for control of an earlier version, which knows no StreamReport.
  bool recordsStreams = false;
};

// Sent by a router once per heartbeat interval (1 s by default).
struct Heartbeat
{
  // Send time by the router's clock. Control echoes it in HeartbeatAck and does
  // not interpret it.
  std::chrono::nanoseconds sentAt{};
  // Revision and view version that the router has.
  Revision revision;
  ViewVersion viewVersion;
  // Number of requests in flight.
  std::uint32_t inFlight = 0;
  bool leaving = false;
  // The router is not ready for more callers.
  bool overloaded = false;
};

// Reply to a heartbeat, sent after a quorum has confirmed that the sender is
// still the leader. The confirmation starts after the heartbeat has arrived.
struct HeartbeatAck
{
  // The heartbeat's sentAt.
  std::chrono::nanoseconds sentAt{};
  // Current revision of the replicated state.
  Revision revision;
  // The control group, if it has changed since the router was last told of it.
  std::vector<ControlEntry> control;
};

// The fleet snapshot, or the changes to it: the configuration, the route table
// and the key hashes with their workspaces and sites, as JSON.
struct ConfigPush
{
  Revision revision;
  // Revision that the patch applies to; 0 if it applies to an empty text.
  Revision base;
  // The whole snapshot; empty if there is a patch.
  std::string document;
  // Patch by settings::MakeSnapshotPatch.
  std::string patch;
};

// A router instance in a ViewPush.
struct InstanceEntry
{
  InstanceId instance;
  ZoneId zone;
  // Address at which the router serves callers.
  Address callerAddress;
  // Quantized number of requests in flight.
  std::uint32_t inFlight = 0;
  bool leaving = false;
  // False when the router is suspected to have failed.
  bool alive = false;
  // Address at which the router lends tokens; without a host if it does not.
  Address peerAddress;
  // The router is not ready for more callers.
  bool overloaded = false;

  friend bool operator==(const InstanceEntry&, const InstanceEntry&) = default;
};

// A model engine or service replica from the platform's endpoint list.
struct EndpointEntry
{
  EndpointId endpoint;
  ZoneId zone;
  Address address;
  // Name of the model or service.
  std::string serves;
  bool isService = false;
  bool leaving = false;
  StartTime startTime;
  bool isCold = false;
  SoftwareVersion version;

  friend bool operator==(const EndpointEntry&, const EndpointEntry&) = default;
};

// The routers and endpoints known to control, or the changes to them.
struct ViewPush
{
  ViewVersion version;
  // Version that the changes apply to; 0 if the view is complete. Each leader
  // counts its own versions, so those of different links are not comparable.
  ViewVersion base;
  std::vector<InstanceEntry> instances;
  std::vector<EndpointEntry> endpoints;
  std::vector<InstanceId> removedInstances;
  std::vector<EndpointId> removedEndpoints;
};

// Requests tokens from a workspace's budget. Routers pick the request number;
// the reply repeats it.
struct GrantRequest
{
  std::uint64_t request = 0;
  WorkspaceId workspace;
  // A smaller grant is of no use to the router.
  Tokens minimum;
  // More tokens than this are not granted.
  Tokens wanted;
  // True for a prefetch: no caller's request waits for the tokens.
  bool isPrefetch = false;
  // True if the router serves nearly all requests of the workspace, or those of
  // its zone.
  bool isMainUser = false;
};

// Reply to GrantRequest. The router may spend the tokens; 0 means that nothing
// was granted.
struct GrantReply
{
  std::uint64_t request = 0;
  WorkspaceId workspace;
  GrantId grant;
  Tokens tokens;
  // True when the budget is used up, rather than granted to other routers.
  bool exhausted = false;
  // True when this router holds at least twice as many tokens of the budget as
  // all other open sessions together.
  bool holdsTokenMajority = false;
  // True when the sender is a router without contact with control.
  bool isLenderOffline = false;
};

// Asks a router to return unused tokens, so that another router can have them.
struct Recall
{
  WorkspaceId workspace;
  Tokens tokens;
};

// Tokens that the requests of one workspace spent, and granted tokens that the
// router returns.
struct UsageEntry
{
  WorkspaceId workspace;
  Tokens spent;
  Tokens returned;
  std::uint32_t requests = 0;
};

// A numbered batch of usage. Control applies each batch number of a session
// once, so a batch can be resent.
struct UsageReport
{
  BatchNumber batch;
  std::vector<UsageEntry> entries;
};

// Reply to UsageReport: the batch has been committed.
struct UsageAck
{
  BatchNumber batch;
};

// Records a phase of a service call that must run at most once.
struct OperationRequest
{
  std::uint64_t request = 0;
  WorkspaceId workspace;
  OperationKey key;
  BodyHash bodyHash;
  OperationPhase phase = OperationPhase::Begin;
  StoredAnswer answer;
};

// Reply to OperationRequest.
struct OperationReply
{
  std::uint64_t request = 0;
  // Phase of the OperationRequest that this replies to.
  OperationPhase phase = OperationPhase::Begin;
  OperationState state = OperationState::Refused;
  StoredAnswer answer;
};

// Asks a router to stop gracefully.
struct Drain
{};

// An endpoint crashed while it worked on a request with these parts in its
// prompt, or on these requests.
struct CrashReport
{
  EndpointId endpoint;
  std::vector<PromptPartId> parts;
  // Time since the crash.
  Milliseconds age{};
  std::vector<RequestDigest> digests;
};

// Requests with these parts, which control suspects, have succeeded, or these
// requests.
struct PartSuccess
{
  std::vector<PromptPartId> parts;
  std::vector<RequestDigest> digests;
};

// A request that crashes endpoints, or may do so.
struct RequestRecord
{
  RequestDigest digest;
  // A quarantine::RequestState.
  std::uint8_t state = 0;
  std::uint32_t crashes = 0;
  // Time until the state ends.
  Milliseconds remaining{};
  // Time of the latest quarantine.
  Milliseconds length{};

  friend bool operator==(const RequestRecord&, const RequestRecord&) = default;
};

// From control: parts that are suspected to crash endpoints, and those with
// which no request is forwarded. From a router that has connected: what an
// earlier leader has told it.
struct QuarantineState
{
  std::vector<PromptPartId> suspects;
  std::vector<PromptPartId> quarantined;
  // Requests that have not succeeded since a crash.
  std::vector<RequestDigest> suspectRequests;
  std::vector<RequestRecord> requests;
};

// From a router: an endpoint names the rate of requests that it takes from the
// whole fleet, or has stopped to, or is cold and has the limit of its service.
struct LimitReport
{
  EndpointId endpoint;
  std::optional<RequestRate> limit;
  // False for a limit that the router knows from an earlier leader.
  bool isObserved = false;
  // The limit is that of a cold endpoint.
  bool isCold = false;
  // Time for which an endpoint that was observed stays cold.
  Milliseconds coldRemaining{};
};

// An endpoint that takes at most this rate from the whole fleet.
struct EndpointLimit
{
  EndpointId endpoint;
  RequestRate rate;
};

// From control: all endpoints that name a limit, and the cold ones that have
// one. An endpoint may be in both lists; the lower limit counts.
struct LimitState
{
  std::vector<EndpointLimit> limits;
  std::vector<EndpointLimit> coldLimits;
  // The cold limits are added to those that the router knows, and the others
  // are not told: a new leader does not know all limits yet.
  bool isPartial = false;
};

// A router asks for permits to send requests to a limited endpoint.
struct PermitRequest
{
  EndpointId endpoint;
  std::uint32_t count = 0;
};

struct PermitReply
{
  EndpointId endpoint;
  std::uint32_t granted = 0;
  // If fewer were granted than requested: the time until the next permit.
  Milliseconds wait{};
};

// A router asks whether it may forward a copy of a request on trial.
struct TrialRequest
{
  RequestDigest digest;
};

struct TrialReply
{
  RequestDigest digest;
  bool granted = false;
};

// From control: all services that several versions of software serve, or have
// served lately. Routers report more often while there are any.
struct StreamServices
{
  std::vector<ServiceName> services;
};

// From a router: streams that endpoints of this version have begun. A report
// may be repeated.
struct StreamReport
{
  ServiceName service;
  SoftwareVersion version;
  std::vector<StreamId> streams;
};

// A router asks which version has begun a stream. Routers pick the number; the
// reply repeats it.
struct StreamQuery
{
  std::uint64_t query = 0;
  ServiceName service;
  // Empty if the caller does not say which stream it takes up.
  std::optional<StreamId> stream;
};

// Reply to StreamQuery, sent after a quorum has confirmed that the sender is
// still the leader.
struct StreamReply
{
  std::uint64_t query = 0;
  // Empty if it is not known.
  std::optional<SoftwareVersion> version;
};

// One entry of the replicated log.
struct LogRecord
{
  Term term;
  LogIndex index;
  std::uint8_t kind = 0;
  std::string payload;
};

// A consensus message between control instances. The kind determines which
// fields are used.
struct Replication
{
  GroupId group;
  std::uint8_t kind = 0;
  InstanceId from;
  DiskId fromDisk;
  DiskId toDisk;
  Term term;
  LogIndex lastIndex;
  Term lastTerm;
  LogIndex commit;
  bool granted = false;
  std::uint64_t round = 0;
  std::vector<LogRecord> entries;
  std::string snapshot;
  // Where an instance that asks to join runs.
  Address address;
  ZoneId zone;
  // Leader that the sender knows; only in a keep-alive.
  InstanceId leader;
  // False for an instance of an earlier version, which stops at a command about
  // streams.
  bool appliesStreamCommands = false;
};

using Message = std::variant<Hello,
                             Welcome,
                             Heartbeat,
                             HeartbeatAck,
                             ConfigPush,
                             ViewPush,
                             GrantRequest,
                             GrantReply,
                             Recall,
                             UsageReport,
                             UsageAck,
                             OperationRequest,
                             OperationReply,
                             Drain,
                             Replication,
                             CrashReport,
                             PartSuccess,
                             QuarantineState,
                             LimitReport,
                             LimitState,
                             PermitRequest,
                             PermitReply,
                             TrialRequest,
                             TrialReply,
                             StreamServices,
                             StreamReport,
                             StreamQuery,
                             StreamReply>;

// Reasons for which Decode fails.
enum class WireError
{
  // The bytes are not a valid buffer of the schema.
  Malformed,
  // The message type is missing or not known to this version.
  UnknownMessage,
  // A field's value is out of range or can't be parsed.
  InvalidValue
};

// Encodes a message as the body of one frame.
std::string
Encode(const Message& aMessage);

// Decodes the body of one frame. Untrusted input is safe: bytes that are not a
// valid message give an error.
Result<Message, WireError>
Decode(std::string_view aBytes);

} // namespace lycheestand::wire

#endif
