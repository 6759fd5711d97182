#ifndef LYCHEESTAND_ROUTER_SRC_MESSAGES_H
#define LYCHEESTAND_ROUTER_SRC_MESSAGES_H

// Messages between a router's tasks.

#include <caf/allowed_unsafe_message_type.hpp>
#include <lycheestand/budget.h>
#include <lycheestand/core.h>
#include <lycheestand/limits.h>
#include <lycheestand/membership.h>
#include <lycheestand/net.h>
#include <lycheestand/quarantine.h>
#include <lycheestand/router.h>
#include <lycheestand/routes.h>
#include <lycheestand/routing.h>
#include <lycheestand/settings.h>
#include <lycheestand/streams.h>
#include <lycheestand/wire.h>
#include <memory>
#include <set>

namespace lycheestand::router {

using budget::Ticket;

// Returns a ticket that is unique in this process.
Ticket
NextTicket();

// ------------------------------------------------------------ control link

// To the control link: sends a message to control; without a link the message
// is dropped.
struct ToControl
{
  wire::Message message;
};

// From the control link to the controllers: the link to the control leader is
// open. Messages without an answer must be sent again.
struct ControlUp
{};

// From the control link to the controllers: the link to the control leader is
// lost.
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

// To the overload controller: a connection to an endpoint was opened, or timed
// out, after this time.
struct ConnectTime
{
  Duration time{};
};

// To the overload controller, every 50 ms: how long the process's tasks wait
// before they run.
struct TaskDelay
{
  Duration delay{};
};

// To the control link: reports to control that this router is leaving.
struct SetLeaving
{};

// To the control link: reports to control whether this router is overloaded.
struct SetOverloaded
{
  bool isOverloaded = false;
};

// ------------------------------------------------------------ configuration

// Requests the configuration; the answer is ActiveConfiguration.
struct GetConfiguration
{};

// The active configuration. Both pointers are null while the configuration is
// not confirmed as current.
struct ActiveConfiguration
{
  std::shared_ptr<const settings::FleetSnapshot> snapshot;
  // Null if no route table is active.
  std::shared_ptr<const routes::RouteTable> table;
  // The last time at which control has confirmed both as current.
  TimePoint confirmedAt{};
};

// To the control link: a pushed configuration could not be applied; control
// must send the full configuration.
struct RequestFullConfiguration
{};

// ------------------------------------------------------------ budgets

// Requests a reservation; the answer is ReserveReply.
struct Reserve
{
  budget::Claim claim;
};
struct ReserveReply
{
  Tokens tokens;
  std::optional<budget::Refusal> refusal;
  // If refused: the time after which tokens may be available.
  Duration retryAfter{};
};

// Ends a reservation with the tokens that were spent, or withdraws its claim.
struct Settle
{
  Ticket ticket;
  Tokens spent;
};

// To the budget controller: the router is stopping, and no claims arrive once
// this time has passed.
struct SetBudgetHorizon
{
  Duration horizon{};
};

// Returns all grants to control. The answer is true once none is held.
struct ReturnGrants
{};

// An allocator and its address for links.
struct AllocatorAddress
{
  InstanceId instance;
  Address address;

  friend bool operator==(const AllocatorAddress&,
                         const AllocatorAddress&) = default;
};

// To the peer links: the allocators to which links must be open.
struct SetAllocatorLinks
{
  std::vector<AllocatorAddress> needed;
};

// To the peer links: an allocator has not replied, so its link is opened again.
struct AllocatorSilent
{
  InstanceId allocator;
};

// To the peer links: send a message to an allocator, or to the router whose
// session has borrowed tokens from this one. Without a link the message is
// dropped.
struct ToAllocator
{
  InstanceId allocator;
  wire::Message message;
};
struct ToBorrower
{
  SessionId session;
  wire::Message message;
};

// From the peer links to the budget controller: the link to an allocator's
// process is open, or lost.
struct AllocatorUp
{
  InstanceId allocator;
  SessionId session;
};
struct AllocatorDown
{
  InstanceId allocator;
};

// From the peer links to the budget controller: a message from an allocator, or
// from a router that borrows from this one.
struct FromAllocator
{
  InstanceId allocator;
  wire::Message message;
};
struct FromBorrower
{
  SessionId session;
  wire::Message message;
};

// To the budget controller: the task that owns the peer links.
struct SetPeerLinks
{
  caf::actor links;
};

// ------------------------------------------------------------ quarantine

// To the quarantine controller: an endpoint broke off while it worked on a
// request. It may have crashed.
struct CrashSuspected
{
  EndpointId endpoint;
  Address address;
  std::vector<PromptPartId> parts;
  RequestDigest digest;
};

// To the quarantine controller: a request has succeeded.
struct RequestSucceeded
{
  std::vector<PromptPartId> parts;
  RequestDigest digest;
};

// Asks whether a request may be forwarded; the answer is CheckRequestReply.
struct CheckRequest
{
  std::vector<PromptPartId> parts;
  RequestDigest digest;
  // It is forwarded now if it may be. Of a request on trial, one copy at a time
  // may.
  bool isForwarding = false;
};
struct CheckRequestReply
{
  bool hasQuarantinedPart = false;
  quarantine::RequestVerdict verdict = quarantine::RequestVerdict::Accepted;
};

// ------------------------------------------------------------ streams

// To the stream controller: an endpoint of a version has begun a stream that
// its caller may take up again.
struct StreamBegan
{
  ServiceName service;
  StreamId stream;
  SoftwareVersion version;
};

// Asks which version of software has begun a stream; the answer is
// FindStreamReply.
struct FindStream
{
  Ticket ticket;
  ServiceName service;
  // Empty if the caller does not say which stream it takes up.
  std::optional<StreamId> stream;
};
struct FindStreamReply
{
  // The stream may go on at any version.
  bool isAnyVersion = false;
  // Empty if it is not known.
  std::optional<SoftwareVersion> version;
  // False if control could not be asked in time.
  bool isCertain = false;
};

// Withdraws a request to find a stream.
struct CancelFindStream
{
  Ticket ticket;
};

// Who knows which versions have begun the streams of other routers.
enum class StreamSource
{
  // Nobody, since there is no link to control.
  None,
  Control,
  // Control of an earlier version, which knows no versions.
  Unrecorded
};

// To the stream controller: the link to control is open, or lost.
struct StreamSourceChanged
{
  StreamSource source = StreamSource::None;
};

// ------------------------------------------------------------ operations

// Records one step of a call that must run at most once; the answer is
// OperationStepReply.
struct SubmitOperationStep
{
  wire::OperationRequest request;
};
struct OperationStepReply
{
  OperationState state = OperationState::Refused;
  StoredAnswer answer;
};

// Runs a call whose Begin step was answered with Started, and records how it
// ended even if the caller disconnects. The answer is RunOperationReply.
struct RunOperation
{
  std::uint64_t operation = 0;
  WorkspaceId workspace;
  OperationKey key;
  Address address;
  net::HttpRequest request;
  Duration timeout{};
  // Sent to this task if the endpoint breaks off.
  caf::actor quarantine;
  CrashSuspected suspicion;
};
struct RunOperationReply
{
  // The service's answer, if there is one; otherwise `ran` tells whether the
  // call ran.
  std::optional<StoredAnswer> answer;
  ExecutionState ran = ExecutionState::Unknown;
};

// Asks whether no call is running and control has acknowledged every step.
struct IsIdle
{};

// Returns the number for a new operation, unique in this process.
std::uint64_t
NextOperationNumber();

// ------------------------------------------------------------ endpoints

// Requests an endpoint; the answer is ChooseEndpointReply, without an endpoint
// if none can take the request or the retry budget is used up. A retry excludes
// the endpoints already tried and may be answered after a backoff delay.
struct ChooseEndpoint
{
  Ticket ticket;
  routing::Query query;
  // Limit of requests in flight at one endpoint.
  unsigned maxInFlight = 0;
  // Attempts of the request that reached an endpoint. Above 0, this attempt is
  // counted against the retry budget.
  unsigned attempts = 0;
};
struct ChooseEndpointReply
{
  std::optional<EndpointId> endpoint;
  // Without an endpoint: the time after which one that can serve the request
  // takes requests again; zero if that is not known.
  Duration freeAfter{};
  Address address;
  routing::ChoiceBasis basis;
  // The endpoint has named a limit.
  bool isLimited = false;
  SoftwareVersion version;
  // Without an endpoint: none of the query's version is listed.
  bool lacksVersion = false;
};

// Asks whether none of the listed endpoints that are not leaving has the
// query's version; the answer is true or false.
struct LacksVersion
{
  routing::Query query;
};

// An endpoint reported its load in an answer.
struct LoadReported
{
  EndpointId endpoint;
  routing::LoadReport report;
};

// A time of the current attempt: until its answer, which is a success, or the
// mean gap between the last events of its stream.
struct CallTimed
{
  Ticket ticket;
  routing::TimedPart part = routing::TimedPart::Answer;
  Duration time{};
};

// An endpoint announced in an answer that it is leaving.
struct EndpointLeaving
{
  EndpointId endpoint;
};

// An endpoint has refused a request and wants none for this time.
struct EndpointBlocked
{
  EndpointId endpoint;
  Duration time{};
};

// An answer names the rate of requests that its endpoint takes from the whole
// fleet, or names none although the endpoint was limited.
struct EndpointAnswered
{
  EndpointId endpoint;
  std::optional<RequestRate> limit;
  // When the answered request was sent.
  TimePoint sentAt{};
};

// To the endpoint controller: the availability zones whose endpoints get no
// requests.
struct SetEvacuatedZones
{
  std::set<ZoneId> zones;
};

// An answer says that its endpoint is cold for a time. The limit is the one of
// its service.
struct EndpointCold
{
  EndpointId endpoint;
  RequestRate limit;
  Duration remaining{};
};

// Says whether control decides which copy of a request on trial is forwarded.
struct TrialSourceChanged
{
  bool isControl = false;
};

// Says where permits for limited endpoints come from now.
struct PermitSourceChanged
{
  limits::PermitSource source = limits::PermitSource::Local;
};

// Tells how a call to an endpoint ended; also cancels a choice in progress.
struct CallFinished
{
  Ticket ticket;
  routing::Outcome outcome = routing::Outcome::Abandoned;
};

// ------------------------------------------------------------ admission

// Requests admission; the answer is AdmitReply.
struct Admit
{
  routing::AdmissionRequest request;
  routing::AdmissionOptions options;
};
struct AdmitReply
{
  std::optional<routing::AdmissionRefusal> refusal;
};

// Releases a request's admission or removes the request from the queue.
struct ReleaseAdmission
{
  Ticket ticket;
};

// From the endpoint controller: how many requests the endpoints of each pool
// can take at a time, by pool name.
struct CapacityChanged
{
  std::map<std::string, unsigned> pools;
};

// Returns the name of the admission pool for a model or service.
std::string
PoolName(const std::string& aServes, bool aIsService);

// Converts a ticket to the request number that the routing package uses.
inline routing::RequestNumber
ToRequestNumber(Ticket aTicket)
{
  return routing::RequestNumber(aTicket.Get());
}

// ------------------------------------------------------------ membership

// Requests the body of the answer to GET /v1/entry; the answer is JSON text.
struct GetEntry
{};

// Requests the router addresses for callers in an availability zone; the answer
// holds them and how long they may be cached.
struct GetEntryAddresses
{
  ZoneId zone;
};

// To the controllers: the newest view of the fleet.
struct ViewChanged
{
  std::shared_ptr<const membership::View> view;
};

// Requests a controller's state; the answer is JSON text.
struct DumpState
{};

// The tasks that own a router's state.
struct Controllers
{
  caf::actor configuration;
  caf::actor budget;
  caf::actor operation;
  caf::actor endpoint;
  caf::actor admission;
  caf::actor membership;
  caf::actor overload;
  caf::actor quarantine;
  caf::actor stream;
  caf::actor link;
};

} // namespace lycheestand::router

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::ToControl)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::ControlUp)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::ControlDown)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::FromControl)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::SetMembers)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::ConnectTime)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::TaskDelay)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::SetLeaving)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::SetOverloaded)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::GetConfiguration)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::ActiveConfiguration)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::RequestFullConfiguration)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::Reserve)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::ReserveReply)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::Settle)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::SetBudgetHorizon)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::ReturnGrants)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::SetAllocatorLinks)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::AllocatorSilent)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::ToAllocator)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::ToBorrower)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::AllocatorUp)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::AllocatorDown)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::FromAllocator)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::FromBorrower)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::SetPeerLinks)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::SubmitOperationStep)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::OperationStepReply)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::RunOperation)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::RunOperationReply)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::IsIdle)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::ChooseEndpoint)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::ChooseEndpointReply)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::LacksVersion)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::CallFinished)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::EndpointLeaving)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::EndpointBlocked)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::EndpointAnswered)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::SetEvacuatedZones)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::EndpointCold)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::TrialSourceChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::PermitSourceChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::StreamBegan)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::FindStream)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::FindStreamReply)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::CancelFindStream)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::StreamSourceChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::CrashSuspected)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::RequestSucceeded)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::CheckRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::CheckRequestReply)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::Admit)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::AdmitReply)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::ReleaseAdmission)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::CapacityChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::CallTimed)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::LoadReported)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::GetEntryAddresses)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::EntryAddresses)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::GetEntry)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::ViewChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::router::DumpState)

#endif
