#ifndef LYCHEESTAND_CONTROL_SRC_MESSAGES_H
#define LYCHEESTAND_CONTROL_SRC_MESSAGES_H

// Messages between the tasks of a control instance.

#include "stream_support.h"

#include <caf/allowed_unsafe_message_type.hpp>
#include <lycheestand/core.h>
#include <lycheestand/discovery.h>
#include <lycheestand/net.h>
#include <lycheestand/settings.h>
#include <lycheestand/state.h>
#include <lycheestand/wire.h>
#include <memory>
#include <optional>

namespace lycheestand::control {

// Time in which a quorum confirms a command or a read unless disks or links are
// stalled. Callers of the platform give up after about 1 s and ask again.
constexpr Duration kQuorumTimeout = std::chrono::milliseconds(2500);

// Requests that a command be committed and applied; the response is
// ProposalResult.
struct Propose
{
  state::Command command;
};
struct ProposalResult
{
  // Empty if this instance is not the leader, or lost leadership before it
  // learned whether the command was committed.
  std::optional<state::Outcome> outcome;
  // The leader, if it is known.
  InstanceId leader;
  // True if there is no outcome and the command may still be committed.
  bool isUnknown = false;
};

// Requests a confirmation by a quorum that this instance is still the leader;
// the response is LeadershipConfirmation.
struct ConfirmLeadership
{};
struct LeadershipConfirmation
{
  bool isLeader = false;
  // The leader, if it is known.
  InstanceId leader;
  // The current revision of the replicated state.
  Revision revision;
};

// Requests a linearizable read: the replica runs the function on its state
// after a quorum has confirmed its leadership. The response is QueryResult.
struct Query
{
  std::function<std::string(const state::StateMachine&)> read;
};
struct QueryResult
{
  // Return value of the function; empty if this instance is not the leader.
  std::optional<std::string> text;
  InstanceId leader;
};

// Sent by the replica when this instance has become the leader and can serve
// requests, has lost leadership, or has learned of another leader.
struct LeadershipChanged
{
  bool isLeader = false;
  InstanceId leader;
};

// Sent by a leader's replica when the fleet snapshot, which routers must apply,
// has a new revision.
struct RevisionChanged
{
  Revision revision;
  // The fleet snapshot as JSON.
  std::shared_ptr<const std::string> document;
};

// Requests the sessions that hold tokens of a workspace; the response is
// TokenHolders.
struct FindTokenHolders
{
  WorkspaceId workspace;
};
struct TokenHolders
{
  // In descending order of tokens.
  std::vector<std::pair<Tokens, SessionId>> byTokens;
};

// Sent to the fleet controller when the instances of the control group, or what
// is known of their addresses, have changed.
struct GroupChanged
{
  std::vector<wire::ControlEntry> group;
};

// Replaces the addresses of other control instances in the settings.
struct SetPeers
{
  std::vector<settings::ControlMember> control;
};

// Tells the task that opens links to open one to a control instance. The answer
// is PeerLink.
struct DialPeer
{
  InstanceId instance;
  Address address;
};
// A link with another control instance has opened or closed.
struct PeerLink
{
  InstanceId instance;
  // Null if the link could not be opened.
  caf::actor task;
  bool isUp = false;
  // This side opened the link, because of a DialPeer.
  bool isOutgoing = false;
};
// A consensus message that has arrived from another control instance.
struct PeerMessage
{
  InstanceId instance;
  wire::Replication message;
};

// The endpoints in the platform's list, as last read.
struct EndpointList
{
  std::vector<membership::Endpoint> endpoints;
};

// Requests a linearizable read of the route table; the response is
// RoutesResult.
struct GetRoutes
{};
struct RoutesResult
{
  // Empty if this instance is not the leader.
  std::optional<state::RouteRegister> routes;
  InstanceId leader;
};

// Requests a linearizable read of the orders to engines; the response is
// OrdersResult.
struct GetOrders
{};
struct OrdersResult
{
  // Empty if this instance is not the leader.
  std::map<EndpointId, state::OrderRegister::Orders> byEndpoint;
};

// Sent to the fleet controller when routers must know other requests or parts
// that may crash endpoints.
struct QuarantineChanged
{
  wire::QuarantineState state;
};

// Requests what the quarantine controller knows of requests that crash
// endpoints; the response is JSON text. It is complete only at the leader.
struct ListQuarantine
{};

// Asks the quarantine controller to release a request; the response is a bool,
// false if it is neither held nor quarantined nor on probation.
struct LiftQuarantine
{
  RequestDigest digest;
};

// To the quarantine controller: a router asks to forward a copy of a request on
// trial.
struct RequestTrial
{
  net::LinkId link;
  wire::TrialRequest request;
};

// Tells the fleet controller which task finds what crashes endpoints.
struct SetQuarantineController
{
  caf::actor controller;
};

// To the fleet controller: the limits that routers must know. In the first
// second of a leader they are partial.
struct LimitsChanged
{
  wire::LimitState state;
};
// To the fleet controller: the endpoints of the last reading of the list, with
// the ones that are cold. It is sent after the LimitsChanged that has their
// limits.
struct EndpointsChecked
{
  std::vector<membership::Endpoint> endpoints;
};
// To the fleet controller: a revision that it has passed to the limit
// controller. It is sent after the LimitsChanged that the revision causes.
struct RevisionChecked
{
  RevisionChanged changed;
};
struct SetLimitController
{
  caf::actor controller;
};

// To the limit controller: a router asks for permits.
struct RequestPermits
{
  net::LinkId link;
  wire::PermitRequest request;
};

// To the fleet controller: a message for the router with this link. It is
// dropped if the link is closed.
struct SendToRouter
{
  net::LinkId link;
  wire::Message message;
};

// To the stream controller, by way of the fleet controller: the versions of
// software in the replicated state, sent by a leader's replica when they or the
// support have changed and when it has become the leader.
struct StreamVersionsChanged
{
  state::StreamRegister::Versions versions;
  // Number of records of streams.
  std::size_t records = 0;
  // Whether the control group applies the commands about streams.
  StreamSupport support = StreamSupport::Unknown;
};
// To the fleet controller: the services whose streams routers must report. It
// is sent before the EndpointsAdmitted that has the endpoints.
struct StreamServicesChanged
{
  wire::StreamServices services;
};
// To the fleet controller: the endpoints whose versions may serve.
struct EndpointsAdmitted
{
  std::vector<membership::Endpoint> endpoints;
  // False if the list has not been read since this instance became the leader.
  bool isRead = false;
};
struct SetStreamController
{
  caf::actor controller;
};

// To the stream controller: a router asks which version has begun a stream.
struct QueryStream
{
  net::LinkId link;
  wire::StreamQuery query;
};

// Requests a linearizable read of which version has begun a stream; the
// response is FoundStream.
struct FindStream
{
  ServiceName service;
  std::optional<StreamId> stream;
};
struct FoundStream
{
  bool isLeader = false;
  // Empty if it is not known.
  std::optional<SoftwareVersion> version;
};

// Tells the fleet controller which task reads the platform's endpoint list.
struct SetListReader
{
  caf::actor reader;
};

// Requests the platform's endpoints; the response is EndpointList.
struct GetEndpoints
{};

// Request the fleet's instances or endpoints; the response is JSON text.
struct ListInstances
{};
struct ListEndpoints
{};

// Requests the availability zones that the fleet controller knows; the response
// is KnownZones. A new leader responds once it has read the platform's endpoint
// list and, if it does not know the zone, once it knows all instances, or after
// a time limit.
struct GetZones
{
  ZoneId zone;
};
struct KnownZones
{
  bool isLeader = false;
  // The leader, if it is known.
  InstanceId leader;
  // Zones of the settings, and of the instances and endpoints in the view.
  std::set<ZoneId> known;
  std::set<ZoneId> withEndpoints;
  // False if a new leader may not know all instances and endpoints yet.
  bool isComplete = false;
};

// Asks a router instance to stop gracefully; the response is a bool, false if
// the instance is not connected.
struct DrainInstance
{
  InstanceId instance;
};

// Tells the replica to log the budgets with the most outstanding tokens.
struct LogBudgets
{};

// Requests a task's state for debugging; the response is JSON text.
struct DumpState
{};

} // namespace lycheestand::control

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::Propose)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::ProposalResult)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::ConfirmLeadership)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::LeadershipConfirmation)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::Query)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::QueryResult)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::LeadershipChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::RevisionChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::FindTokenHolders)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::TokenHolders)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::GroupChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::SetPeers)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::DialPeer)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::PeerLink)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::PeerMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::EndpointList)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::GetRoutes)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::RoutesResult)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::GetOrders)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::OrdersResult)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::QuarantineChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::ListQuarantine)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::LiftQuarantine)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::RequestTrial)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::SetQuarantineController)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::LimitsChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::EndpointsChecked)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::RevisionChecked)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::SetLimitController)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::RequestPermits)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::SendToRouter)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::StreamVersionsChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::StreamServicesChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::EndpointsAdmitted)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::SetStreamController)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::QueryStream)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::FindStream)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::FoundStream)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::wire::StreamReport)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::wire::LimitReport)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::wire::CrashReport)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::wire::PartSuccess)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::wire::QuarantineState)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::SetListReader)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::GetEndpoints)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::ListInstances)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::ListEndpoints)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::GetZones)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::KnownZones)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::DrainInstance)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::LogBudgets)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::DumpState)

#endif
