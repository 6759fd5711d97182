#ifndef LYCHEESTAND_ROUTER_SRC_MESSAGES_H
#define LYCHEESTAND_ROUTER_SRC_MESSAGES_H

// Messages between a router's tasks.

#include <caf/allowed_unsafe_message_type.hpp>
#include <lycheestand/budget.h>
#include <lycheestand/core.h>
#include <lycheestand/membership.h>
#include <lycheestand/net.h>
#include <lycheestand/router.h>
#include <lycheestand/routes.h>
#include <lycheestand/routing.h>
#include <lycheestand/settings.h>
#include <lycheestand/wire.h>
#include <memory>
#include <set>

namespace lycheestand::router {

using budget::Ticket;

// Returns a ticket that no other request of this process has.
Ticket
NextTicket();

// ------------------------------------------------------------ control link

// To the control link: send to control, or drop if there is no link.
struct ToControl
{
  wire::Message message;
};

// From the control link to the controllers: a link with the leader is open;
// what is unanswered must be sent again.
struct ControlUp
{};

// From the control link to the controllers: the link with the leader is lost.
struct ControlDown
{};

// From the control link to a controller: a message from control.
struct FromControl
{
  wire::Message message;
};

// To the control link: the control instances to connect to.
struct SetMembers
{
  std::vector<settings::ControlMember> members;
};

// To the control link: report that this router is leaving.
struct SetLeaving
{};

// ------------------------------------------------------------ configuration

// Asks for the configuration; the answer is ConfigurationInForce.
struct GetConfiguration
{};

// The configuration, or none while it is not confirmed as current.
struct ConfigurationInForce
{
  std::shared_ptr<const settings::FleetSnapshot> snapshot;
  // Null if no table of routes is in force.
  std::shared_ptr<const routes::RouteTable> table;
};

// To the control link: a push could not be applied; the whole configuration is
// needed.
struct ConfigurationLost
{};

// ------------------------------------------------------------ budgets

// Asks for a reservation; the answer is ReserveReply.
struct Reserve
{
  budget::Claim claim;
};
struct ReserveReply
{
  Tokens tokens;
  std::optional<budget::Refusal> refusal;
};

// Ends a reservation or withdraws its claim.
struct Settle
{
  Ticket ticket;
  Tokens spent;
};

// To the budget controller: claims will come only for this time.
struct ExpectClaims
{
  Duration time{};
};

// Returns all grants and answers with true once nothing is held.
struct ReturnGrants
{};

// ------------------------------------------------------------ operations

// A step of a call that must run at most once; the answer is OperationAnswer.
struct Operate
{
  wire::OperationRequest request;
};
struct OperationAnswer
{
  OperationState state = OperationState::Refused;
  StoredAnswer answer;
};

// Runs a call whose Begin was answered with Started, and records how it ended,
// whether or not the caller stays. The answer is OperationRun.
struct RunOperation
{
  std::uint64_t operation = 0;
  WorkspaceId workspace;
  OperationKey key;
  Address address;
  net::HttpRequest request;
  Duration timeout{};
};
struct OperationRun
{
  // The service's answer, or none with what is known of the call.
  std::optional<StoredAnswer> answer;
  ExecutionState ran = ExecutionState::Unknown;
};

// Asks whether no call is running and control has every step.
struct IsIdle
{};

// Returns a number for a new operation in this session.
std::uint64_t
NextOperationNumber();

// ------------------------------------------------------------ endpoints

// Asks for an endpoint; the answer is EndpointChosen. A retry, which excludes
// the endpoints that were tried, is answered after a pause if the retry budget
// allows it.
struct ChooseEndpoint
{
  Ticket ticket;
  routing::Query query;
  unsigned maxInFlight = 0;
  // Endpoints that the request has reached; above 0 it takes from the retry
  // budget.
  unsigned arrivals = 0;
};
struct EndpointChosen
{
  std::optional<EndpointId> endpoint;
  Address address;
  routing::ChoiceBasis basis;
};

// An endpoint's answer said how loaded it is.
struct LoadLearnt
{
  EndpointId endpoint;
  routing::LoadReport report;
};

// How a call to an endpoint ended; also withdraws a choice in progress.
struct CallFinished
{
  Ticket ticket;
  routing::Outcome outcome = routing::Outcome::Abandoned;
  // The endpoint said that it is leaving.
  bool leaving = false;
};

// ------------------------------------------------------------ admission

// Asks for a turn; the answer is AdmitReply.
struct Admit
{
  routing::Ask ask;
  routing::AdmissionOptions options;
};
struct AdmitReply
{
  std::optional<routing::AdmissionRefusal> refusal;
};

// Ends a turn or withdraws what waits for one.
struct ReleaseTurn
{
  Ticket ticket;
};

// From the endpoint controller: requests that the endpoints of each pool take.
struct CapacityChanged
{
  std::map<std::string, unsigned> pools;
};

// Returns the name under which admission counts a model's or service's
// requests.
std::string
PoolName(const std::string& aServes, bool aIsService);

// Returns a ticket as the routing package knows it.
inline routing::RequestNumber
ToNumber(Ticket aTicket)
{
  return routing::RequestNumber(aTicket.Get());
}

// ------------------------------------------------------------ membership

// Asks for the answer to GET /v1/entry, as JSON text.
struct GetEntry
{};

// Asks for the addresses for callers in a zone; the answer is Entries.
struct FindEntriesIn
{
  ZoneId zone;
};

// Tells a controller about the newest view.
struct ViewChanged
{
  std::shared_ptr<const membership::View> view;
};

// Asks a controller for its state as JSON text.
struct DumpState
{};

// The tasks of a router.
struct Controllers
{
  caf::actor configuration;
  caf::actor budget;
  caf::actor operation;
  caf::actor endpoint;
  caf::actor admission;
  caf::actor membership;
  caf::actor link;
};

} // namespace lycheestand::router

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::ToControl)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::ControlUp)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::ControlDown)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::FromControl)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::SetMembers)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::SetLeaving)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::GetConfiguration)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::ConfigurationInForce)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::ConfigurationLost)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::Reserve)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::ReserveReply)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::Settle)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::ExpectClaims)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::ReturnGrants)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::Operate)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::OperationAnswer)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::RunOperation)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::OperationRun)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::IsIdle)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::ChooseEndpoint)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::EndpointChosen)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::CallFinished)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::Admit)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::AdmitReply)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::ReleaseTurn)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::CapacityChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::LoadLearnt)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::FindEntriesIn)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::Entries)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::GetEntry)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::ViewChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::DumpState)

#endif
