#ifndef LYCHEESTAND_ROUTER_SRC_FILTER_CHAIN_H
#define LYCHEESTAND_ROUTER_SRC_FILTER_CHAIN_H

// The chain of filters that a caller's request passes.

#include "messages.h"

#include <functional>
#include <memory>
#include <vector>

namespace lycheestand::router {

// What kind of call a request is, with the parsed parts that filters need.
struct ChatCall
{
  ModelName model;
  // The body to send to an engine; limits are added before forwarding.
  std::string body;
  bool stream = false;
  Tokens promptBound;
  // Output limit that the caller named, or the model's.
  Tokens maxOutput;
  Tokens minOutput;
  bool namesLimit = false;
  // Beginnings of the prompt, from short to long.
  std::vector<routing::PrefixPart> prefix;
  routing::Priority priority = routing::Priority::Interactive;
};

struct ServiceCall
{
  ServiceName service;
  // Path below the service's prefix, with the query.
  std::string target;
  bool repeatable = false;
  std::optional<OperationKey> key;
  Milliseconds timeout{};
};

struct ListModels
{};

// A request that a table of routes serves. It is passed on as it is.
struct RoutedCall
{
  std::shared_ptr<const RouteProtocol> protocol;
  CallDescription description;
  std::shared_ptr<const routes::RouteTable> table;
  // Points into the table.
  const routes::Route* route = nullptr;
  ServiceName service;
  Tokens tokensPerEvent{ 1 };
  std::optional<unsigned> workspacePriority;
  // Time by which the request is given up.
  TimePoint giveUpAt{};
};

// How forwarding ended, for the Settle filter.
struct Usage
{
  Tokens promptTokens;
  Tokens outputTokens;
  Tokens Total() const { return this->promptTokens + this->outputTokens; }
};

// One caller's request on its way through the chain. Lives in the connection's
// task.
struct Request
{
  net::ExchangePtr exchange;
  Controllers controllers;
  RequestId id;
  Ticket ticket;
  TimePoint startedAt;
  std::shared_ptr<const settings::FleetSnapshot> snapshot;
  KeyHash keyHash;
  WorkspaceId workspace;
  SiteId site;
  std::variant<std::monostate, ChatCall, ServiceCall, ListModels, RoutedCall>
    call;
  // Time by which the answer must begin, if the caller names one.
  std::optional<TimePoint> deadline;
  // Set by Admit; true while it waits for its turn or holds it.
  bool hasTurn = false;
  // Set by Reserve.
  Tokens reserved;
  bool hasClaim = false;
  // Set by Forward.
  Usage usage;
  net::CallHandle upstream;
  // What may have happened at the endpoints that were tried.
  ExecutionState ran = ExecutionState::NotRun;
  std::set<EndpointId> tried;
  // Endpoints that the request was sent to.
  unsigned arrivals = 0;
  EndpointId endpoint;
  // True while an endpoint is being chosen or is called.
  bool isAssigned = false;
  // Number of the recorded operation, for a call that must not run twice.
  std::uint64_t operation = 0;
  bool isOperationOpen = false;
  bool isFinished = false;
  // For the log: when the current attempt and the answer began, the status of
  // the answer or 0, and how the request ended if not by an answer.
  routing::ChoiceBasis basis;
  TimePoint attemptAt{};
  std::optional<TimePoint> answerAt;
  unsigned status = 0;
  const char* outcome = "";
};

using RequestPtr = std::shared_ptr<Request>;

// Continues with the next filter.
using Next = std::function<void()>;

// Handles its part of a request, then calls Next or answers.
using Filter = std::function<void(const RequestPtr&, Next)>;

// Runs the filters in order.
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
    // A reply to a filter may come after the caller has left.
    if (aIndex < aFilters->size() && !aRequest->isFinished) {
      (*aFilters)[aIndex](aRequest, [aFilters, aIndex, aRequest] {
        RunFrom(aFilters, aIndex + 1, aRequest);
      });
    }
  }

  Filters filters;
};

// An answer that is not the caller's result.
struct Refusal
{
  unsigned status = 500;
  const char* code = "";
  std::string message;
  ExecutionState ran = ExecutionState::NotRun;
  // Seconds after which a retry may help; 0 for no such hint.
  double retryAfter = 0;
};

// Answers with a refusal and ends the request.
void
Refuse(const RequestPtr& aRequest, const Refusal& aRefusal);

// Refuses because the configuration is not confirmed as current.
void
RefuseUnconfirmed(const RequestPtr& aRequest);

// Releases whatever the request holds; safe to call more than once.
void
FinishRequest(const RequestPtr& aRequest);

// The first filter for requests that a table of routes serves: finds the route
// and the workspace of the key. aMayBegin tells whether a request that may take
// this long can still be finished before the process ends.
Filter
MakeMatchRoute(std::shared_ptr<const RouteProtocol> aProtocol,
               std::function<bool(Duration)> aMayBegin);

// The filters, in their order.
Filter
MakeAuthenticate();
Filter
MakeDescribe();
Filter
MakeAdmit();
Filter
MakeOperation();
Filter
MakeReserve();
Filter
MakeRecheck();
Filter
MakeForward();

} // namespace lycheestand::router

#endif
