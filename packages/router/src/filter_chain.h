#ifndef LYCHEESTAND_ROUTER_SRC_FILTER_CHAIN_H
#define LYCHEESTAND_ROUTER_SRC_FILTER_CHAIN_H

// The chain of filters that process a caller's request.

#include "messages.h"

#include <functional>
#include <memory>
#include <vector>

namespace lycheestand::router {

// A call to a model, with the parsed parts that filters need.
struct ChatCall
{
  ModelName model;
  // The caller's body; the output limit and other fields are set in it before
  // it is sent to an engine.
  std::string body;
  bool stream = false;
  // Upper bound of the prompt's tokens.
  Tokens maxPromptTokens;
  // Output limit of the caller or, if it set none, of the model.
  Tokens maxOutput;
  // Least output for which the call is worth forwarding.
  Tokens minOutput;
  // The caller set an output limit.
  bool hasOutputLimit = false;
  // Prefixes of the prompt, from shortest to longest.
  std::vector<routing::PromptPrefix> prefix;
  routing::Priority priority = routing::Priority::Interactive;
};

// A call to a plain service.
struct ServiceCall
{
  ServiceName service;
  // Path below the service's prefix, with the query.
  std::string target;
  // The call may run more than once. If not, `key` is set.
  bool repeatable = false;
  std::optional<OperationKey> key;
  Milliseconds timeout{};
};

// A request for the list of models.
struct ListModels
{};

// A request that is served by a route table. Its body is forwarded unchanged.
struct RoutedCall
{
  std::shared_ptr<const RouteProtocol> protocol;
  CallDescription description;
  std::shared_ptr<const routes::RouteTable> table;
  // Points into `table`; null until the route is known.
  const routes::Route* route = nullptr;
  ServiceName service;
  Tokens tokensPerEvent{ 1 };
  // Priority of the workspace, if the request needs a key.
  std::optional<unsigned> workspacePriority;
  // Time at which an incomplete request is ended.
  TimePoint abortAt{};
};

// Tokens that a request used. FinishRequest settles its reservation with them.
struct Usage
{
  Tokens promptTokens;
  Tokens outputTokens;
  Tokens Total() const { return this->promptTokens + this->outputTokens; }
};

// One attempt of a request at an endpoint.
struct EndpointAttempt
{
  // Identifies the attempt in messages to the endpoint controller.
  Ticket ticket;
  EndpointId endpoint;
  Address address;
  // Version of its software when it was chosen.
  SoftwareVersion version;
  // The endpoint has named a limit.
  bool isLimited = false;
  // True while an endpoint is being chosen or is called.
  bool isAssigned = false;
  net::CallHandle upstream;
  TimePoint startedAt{};
  // Basis of the choice, for the log.
  routing::ChoiceBasis basis;
};

// State of one caller's request while it passes the chain. Owned by the
// connection's task.
struct Request
{
  net::ExchangePtr exchange;
  Controllers controllers;
  RequestId id;
  // Identifies the request in messages to the controllers.
  Ticket ticket;
  TimePoint startedAt;
  // net::SuspendedTime at that time.
  Duration suspendedAtStart{};
  std::shared_ptr<const settings::FleetSnapshot> snapshot;
  KeyHash keyHash;
  WorkspaceId workspace;
  SiteId site;
  std::variant<std::monostate, ChatCall, ServiceCall, ListModels, RoutedCall>
    call;
  // Set by the CheckQuarantine filter.
  std::optional<RequestDigest> digest;
  // The request is on trial or on probation: one copy at a time is forwarded,
  // to find out whether it crashes its endpoint.
  bool isOnTrial = false;
  // Time by which the answer must begin, if there is a limit.
  std::optional<TimePoint> deadline;
  // Set by the Admit filter; true while the request is queued or admitted.
  bool holdsAdmission = false;
  // Set by the Reserve filter. hasClaim is true while a claim waits or a
  // reservation is held.
  Tokens reserved;
  bool hasClaim = false;
  // Set by the Forward filter.
  Usage usage;
  // The current attempt, or the last one if none is in progress.
  EndpointAttempt attempt;
  // An earlier attempt whose endpoint has fallen silent. It is kept while
  // another endpoint is tried.
  std::optional<EndpointAttempt> silentAttempt;
  // Whether the request ran at any endpoint that was tried.
  ExecutionState ran = ExecutionState::NotRun;
  std::set<EndpointId> triedEndpoints;
  // Attempts that reached an endpoint.
  unsigned attempts = 0;
  // ChooseEndpointReply::freeAfter and lacksVersion of the last choice.
  Duration endpointFreeAfter{};
  bool lacksVersion = false;
  // True while the stream controller looks for the stream that is taken up.
  bool isFindingStream = false;
  // Version that began the stream. All later attempts must be at endpoints of
  // this version.
  std::optional<SoftwareVersion> streamVersion;
  // Number of the recorded operation, for a call that must run at most once.
  std::uint64_t operation = 0;
  // FinishRequest must abort the operation.
  bool isOperationOpen = false;
  bool isFinished = false;
  // For the log: when the answer began, the status of the answer or 0, and the
  // outcome if the request did not end with an answer.
  std::optional<TimePoint> answerStartedAt;
  unsigned status = 0;
  const char* outcome = "";
  // Set if the caller closed its connection before the answer was complete.
  std::optional<budget::CallerExit> exit;
};

using RequestPtr = std::shared_ptr<Request>;

// Continues with the next filter.
using Next = std::function<void()>;

// Processes one aspect of a request, then either calls Next or answers the
// request.
using Filter = std::function<void(const RequestPtr&, Next)>;

// Runs filters in order.
class FilterChain
{
public:
  explicit FilterChain(std::vector<Filter> aFilters)
    : filters(std::make_shared<std::vector<Filter>>(std::move(aFilters)))
  {
  }

  void Run(const RequestPtr& aRequest) const
  {
    RunFrom(this->filters, 0, aRequest);
  }

private:
  using Filters = std::shared_ptr<std::vector<Filter>>;

  static void RunFrom(const Filters& aFilters,
                      std::size_t aIndex,
                      const RequestPtr& aRequest)
  {
    // A controller's reply may arrive after the caller has disconnected.
    if (aIndex < aFilters->size() && !aRequest->isFinished) {
      (*aFilters)[aIndex](aRequest, [aFilters, aIndex, aRequest] {
        RunFrom(aFilters, aIndex + 1, aRequest);
      });
    }
  }

  Filters filters;
};

// An error answer.
struct Refusal
{
  // HTTP status.
  unsigned status = 500;
  const char* code = "";
  std::string message;
  ExecutionState ran = ExecutionState::NotRun;
  // Retry-After in seconds; 0 to send none.
  double retryAfter = 0;
};

// Answers with a refusal, then calls FinishRequest.
void
Refuse(const RequestPtr& aRequest, const Refusal& aRefusal);

// Refuses a request because the configuration is not confirmed as current.
void
RefuseUnconfirmed(const RequestPtr& aRequest);

// Refuses a request because a controller does not reply.
void
RefuseWithoutReply(const RequestPtr& aRequest);

// Releases all resources of a request; repeated calls have no effect.
void
FinishRequest(const RequestPtr& aRequest);

// Calls FinishRequest for a request whose connection has ended before the
// answer was complete.
void
EndDisconnected(const RequestPtr& aRequest, net::Disconnect aHow);

// Returns the parts of the prompt that other requests may share.
std::vector<PromptPartId>
PartsOf(const Request& aRequest);

// Calls aDone with what is known of the request as a cause of crashes; with
// aIsForwarding, the request is forwarded now if it may be. aDone does not run
// if the request ends meanwhile.
void
CheckQuarantine(const RequestPtr& aRequest,
                bool aIsForwarding,
                std::function<void(const CheckRequestReply&)> aDone);

// Returns whether the request may be sent to one more endpoint.
bool
MayForward(const Request& aRequest, const CheckRequestReply& aReply);

// Refuses a request that did not run, because of MayForward.
void
RefuseQuarantined(const RequestPtr& aRequest, const CheckRequestReply& aReply);

// Returns the report that the endpoint of the current attempt broke off and may
// have crashed.
CrashSuspected
MakeSuspicion(const Request& aRequest);

// Sends the report of MakeSuspicion.
void
ReportBrokenAttempt(const Request& aRequest);

// Reports that the request has succeeded, so that it and its parts are not
// blamed for crashes.
void
ReportSuccess(const Request& aRequest);

// The first filter for requests that are served by a route table: parses what
// the request says of itself.
Filter
MakeReadCall(std::shared_ptr<const RouteProtocol> aProtocol);

// Refuses a request unless aAccepts returns true; for an overloaded process.
Filter
MakeShedLoad(std::function<bool()> aAccepts);

// Finds the route of a request that is served by a route table, and the
// workspace that owns the key. Says that there is no such route or key only if
// control has confirmed the table within aChangeApplyTime. aMayAccept returns
// whether a request that may take this long, and that may be repeated or not,
// is accepted although the process may be about to end.
Filter
MakeMatchRoute(Duration aChangeApplyTime,
               std::function<bool(Duration, bool)> aMayAccept);

// Refuses a request that may crash endpoints.
Filter
MakeCheckQuarantine();

// Finds out which version of software has begun a stream that is taken up, and
// refuses the request if that is not known or no endpoint of it is left.
Filter
MakeFindStream();

// The filters of the project's own interface, in order, after ShedLoad;
// CheckQuarantine follows ParseCall. CheckQuarantine, Reserve, Recheck and
// Forward also follow MatchRoute.
Filter
MakeAuthenticate();
Filter
MakeParseCall();
Filter
MakeAdmit();
Filter
MakeRecordOperation();
Filter
MakeReserve();
Filter
MakeRecheck();
Filter
MakeForward();

} // namespace lycheestand::router

#endif
