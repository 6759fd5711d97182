#ifndef LYCHEESTAND_WIRE_H
#define LYCHEESTAND_WIRE_H

// Typed messages between the project's processes and their encoding.

#include <lycheestand/core.h>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lycheestand::wire {

// Version of the protocol; peers with another version are refused.
inline constexpr std::uint32_t kProtocolVersion = 1;

// First message on a link from a router or a control instance.
struct Hello
{
  InstanceId instance;
  ZoneId zone;
  SessionId session;
  Address callerAddress;
  std::uint32_t protocol = kProtocolVersion;
  // True on a link between two control instances.
  bool isControl = false;
  // Revision that the router has from an earlier link; 0 for none.
  Revision revision;
};

// Answer to Hello; a refusal names the leader when it is known.
struct Welcome
{
  bool accepted = false;
  std::string leader;
  std::string reason;
};

// Sent by a router once a second.
struct Heartbeat
{
  // The router's clock at sending; only the router compares it.
  std::chrono::nanoseconds sentAt{};
  Revision revision;
  ViewVersion viewVersion;
  std::uint32_t inFlight = 0;
  bool leaving = false;
};

// Sent once a quorum has confirmed the leader after the heartbeat arrived.
struct HeartbeatAck
{
  std::chrono::nanoseconds sentAt{};
  Revision revision;
};

// The configuration, workspaces and key hashes in force, as JSON.
struct ConfigPush
{
  Revision revision;
  // Revision that the document is a merge patch to; 0 if it is whole.
  Revision base;
  std::string document;
};

// A router as other routers see it.
struct InstanceEntry
{
  InstanceId instance;
  ZoneId zone;
  Address callerAddress;
  std::uint32_t inFlight = 0;
  bool leaving = false;
  bool alive = false;

  friend bool operator==(const InstanceEntry&, const InstanceEntry&) = default;
};

// A model engine or service replica from the platform's list.
struct EndpointEntry
{
  EndpointId endpoint;
  ZoneId zone;
  Address address;
  std::string serves;
  bool isService = false;
  bool leaving = false;

  friend bool operator==(const EndpointEntry&, const EndpointEntry&) = default;
};

// The routers and endpoints known to control, or what changed in them.
struct ViewPush
{
  ViewVersion version;
  // Version that the changes apply to; 0 if the view is whole. Versions count
  // on one link only.
  ViewVersion base;
  std::vector<InstanceEntry> instances;
  std::vector<EndpointEntry> endpoints;
  std::vector<InstanceId> removedInstances;
  std::vector<EndpointId> removedEndpoints;
};

// Asks for tokens of a workspace's budget.
struct GrantRequest
{
  std::uint64_t request = 0;
  WorkspaceId workspace;
  Tokens minimum;
  Tokens wanted;
  // No request waits for the tokens.
  bool isPrefetch = false;
};

// Tokens that the router may now spend; none when tokens is 0.
struct GrantReply
{
  std::uint64_t request = 0;
  WorkspaceId workspace;
  GrantId grant;
  Tokens tokens;
  // True when the budget itself is used up, not only granted elsewhere.
  bool exhausted = false;
  // True when this router holds most of what routers hold of the budget.
  bool holdsMost = false;
};

// Asks a router to return tokens that it does not need.
struct Recall
{
  WorkspaceId workspace;
  Tokens tokens;
};

// Tokens spent and given back by one workspace's requests.
struct UsageEntry
{
  WorkspaceId workspace;
  Tokens spent;
  Tokens returned;
  std::uint32_t requests = 0;
};

// A numbered batch of usage; control counts each number once.
struct UsageReport
{
  BatchNumber batch;
  std::vector<UsageEntry> entries;
};

// The batch is durable.
struct UsageAck
{
  BatchNumber batch;
};

// A step of a call that must run at most once.
struct OperationRequest
{
  std::uint64_t request = 0;
  WorkspaceId workspace;
  OperationKey key;
  BodyHash bodyHash;
  OperationPhase phase = OperationPhase::Begin;
  StoredAnswer answer;
};

// The register's answer to an OperationRequest.
struct OperationReply
{
  std::uint64_t request = 0;
  // The step that this answers.
  OperationPhase phase = OperationPhase::Begin;
  OperationState state = OperationState::Refused;
  StoredAnswer answer;
};

// Asks a router to leave: a planned, graceful stop.
struct Drain
{};

// One record of the replicated log in transit.
struct LogRecord
{
  Term term;
  LogIndex index;
  std::uint8_t kind = 0;
  std::string payload;
};

// A message of the replicated log; the kind says which fields are used.
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
                             Replication>;

// Why bytes are not a message.
enum class WireError
{
  Malformed,
  UnknownMessage,
  InvalidValue
};

// Returns the bytes of one frame's body.
std::string
Encode(const Message& aMessage);

// Returns the message in the bytes; any input is safe.
Result<Message, WireError>
Decode(std::string_view aBytes);

} // namespace lycheestand::wire

#endif
