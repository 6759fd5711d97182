#ifndef LYCHEESTAND_CONTROL_SRC_MESSAGES_H
#define LYCHEESTAND_CONTROL_SRC_MESSAGES_H

// Messages between a control instance's tasks.

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

// Commits and applies a command; the answer is ProposalResult.
struct Propose
{
  state::Command command;
};
struct ProposalResult
{
  // None if this instance does not lead, or lost the lead before it learnt
  // whether the command was committed.
  std::optional<state::Outcome> outcome;
  // The leader, when it is known.
  InstanceId leader;
  // True if the command may still be committed.
  bool isUnknown = false;
};

// Confirms with a quorum that this instance leads; the answer is Confirmation.
struct ConfirmLeadership
{};
struct Confirmation
{
  bool isLeader = false;
  InstanceId leader;
  Revision revision;
};

// Runs a function on the current state after a confirmation; the answer is
// QueryResult.
struct Query
{
  std::function<std::string(const state::StateMachine&)> read;
};
struct QueryResult
{
  // None if this instance does not lead.
  std::optional<std::string> text;
  InstanceId leader;
};

// From the replica: the lead was won or lost.
struct LeadershipChanged
{
  bool isLeader = false;
  InstanceId leader;
};

// From the replica: routers must have this in force.
struct RevisionChanged
{
  Revision revision;
  std::shared_ptr<const std::string> document;
};

// Asks which sessions hold tokens of a workspace; the answer is Holders.
struct FindHolders
{
  WorkspaceId workspace;
};
struct Holders
{
  // The largest holder first.
  std::vector<std::pair<Tokens, SessionId>> byTokens;
};

// A link with another control instance is open, or closed when task is null.
struct PeerLink
{
  InstanceId instance;
  caf::actor task;
};
struct PeerMessage
{
  InstanceId instance;
  wire::Replication message;
};

// The platform's newest list of endpoints.
struct EndpointList
{
  std::vector<membership::Endpoint> endpoints;
};

// Reads the table of routes after a confirmation; the answer is RoutesFound.
struct FindRoutes
{};
struct RoutesFound
{
  // None if this instance does not lead.
  std::optional<state::RouteRegister> routes;
  InstanceId leader;
};

// Asks for the orders to engines after a confirmation; none if this instance
// does not lead. The answer is OrdersFound.
struct FindOrders
{};
struct OrdersFound
{
  std::map<EndpointId, state::OrderRegister::Orders> byEndpoint;
};

// To the fleet controller: this task reads the platform's list.
struct UseListReader
{
  caf::actor reader;
};

// Asks for the newest EndpointList.
struct FindEndpoints
{};

// Ask for the fleet's instances or endpoints as JSON text.
struct ListInstances
{};
struct ListEndpoints
{};

// Asks an instance to leave; the answer is whether it is connected.
struct DrainInstance
{
  InstanceId instance;
};

// To the replica: log where the tokens of the largest budgets are.
struct LogBudgets
{};

// Asks a task for its state as JSON text.
struct DumpState
{};

} // namespace lycheestand::control

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::Propose)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::ProposalResult)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::ConfirmLeadership)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::Confirmation)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::Query)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::QueryResult)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::LeadershipChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::RevisionChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::FindHolders)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::Holders)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::PeerLink)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::PeerMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::EndpointList)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::FindRoutes)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::RoutesFound)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::FindOrders)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::OrdersFound)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::UseListReader)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::FindEndpoints)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::ListInstances)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::ListEndpoints)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::DrainInstance)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::LogBudgets)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::control::DumpState)

#endif
