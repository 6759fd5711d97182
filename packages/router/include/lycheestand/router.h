#ifndef LYCHEESTAND_ROUTER_H
#define LYCHEESTAND_ROUTER_H

// The router role: serves callers through a filter chain, with controllers for
// configuration, budgets, operations, endpoints and membership.

#include <functional>
#include <lycheestand/core.h>
#include <lycheestand/discovery.h>
#include <lycheestand/net.h>
#include <lycheestand/routes.h>
#include <lycheestand/routing.h>
#include <lycheestand/settings.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lycheestand::router {

// ---------------------------------------------------------------- protocol

// What a caller says of a request, whatever its headers are called.
struct CallDescription
{
  std::string host;
  // The caller's own id of this attempt.
  RequestId id;
  std::optional<std::string> key;
  // Time for which the caller waits for the answer.
  std::optional<Milliseconds> patience;
  // The stream goes on after this event.
  std::optional<std::uint64_t> lastEvent;
  // Zero if the call is not for a model.
  Tokens promptTokens;
  Tokens maxOutput;
  // Beginnings of the prompt, from short to long. The last one is the request's
  // or its session's own.
  std::vector<routing::PromptPrefix> prefix;
};

// What the router tells an endpoint beside the caller's request.
struct AttemptDescription
{
  // Another endpoint at the same address must not run the request.
  EndpointId endpoint;
  // Time for which the router waits for the answer.
  std::optional<Milliseconds> patience;
  // Empty if the request needs no key.
  WorkspaceId workspace;
  std::optional<std::uint64_t> lastEvent;
  // From 0, served first, to 9.
  std::optional<unsigned> urgency;
};

// What the head of an endpoint's answer says.
struct AnswerDescription
{
  // The request has not run and will not run later.
  bool isNotRun = false;
  // Another endpoint has the address now.
  bool isOtherEndpoint = false;
  // The answer carries the endpoint's signature.
  bool isSigned = false;
  // The body is not in the form that was asked for.
  bool isEncoded = false;
  // Id of the request that the answer belongs to, if it is named.
  std::optional<RequestId> id;
  std::optional<routing::LoadReport> load;
};

// How callers and endpoints speak of requests that a table of routes serves.
struct RouteProtocol
{
  std::function<Result<routes::RouteTable, std::string>(const std::string&)>
    readTable;
  std::function<Result<CallDescription, std::string>(const net::HttpRequest&)>
    readCall;
  std::function<net::HttpRequest(const net::HttpRequest&,
                                 const AttemptDescription&)>
    writeAttempt;
  std::function<AnswerDescription(const net::CallHead&)> readAnswer;
  // Returns the headers that do not concern only one connection.
  std::function<net::Headers(const net::Headers&)> keepEndToEnd;
};

// Addresses for callers, and how long they may be kept.
struct Entries
{
  std::vector<Address> addresses;
  Duration keepTime{};
};

// ---------------------------------------------------------------- router

// A running router.
class Router
{
public:
  virtual ~Router() = default;

  // Begins a graceful stop; aStopped runs when all requests have ended and
  // what they spent is reported.
  virtual void Drain(std::function<void()> aStopped) = 0;

  // Sets the control instances through which the leader is found.
  virtual void SetControl(std::vector<settings::ControlMember> aMembers) = 0;

  // Sets what runs when a stop that control asked for is complete.
  virtual void OnDrainRequest(std::function<void()> aStopped) = 0;

  // Tells aDone, in the task, whether this router takes requests.
  virtual void AskReady(net::IoTask& aTask,
                        std::function<void(bool)> aDone) = 0;

  // Passes the addresses for callers in a zone to aDone, in the task.
  virtual void FindEntries(net::IoTask& aTask,
                           const ZoneId& aZone,
                           std::function<void(const Entries&)> aDone) = 0;

  // Passes the state as JSON, without secrets, to aDone.
  virtual void Dump(net::IoTask& aTask,
                    std::function<void(std::string)> aDone) = 0;
};

// Starts a router; returns why it can't start. With a protocol it serves
// requests by the table of routes instead of the project's own interface.
Result<std::unique_ptr<Router>, std::string>
StartRouter(const net::Runtime& aRuntime,
            caf::actor aPool,
            const settings::ProcessSettings& aSettings,
            const net::FleetKey& aKey,
            std::optional<RouteProtocol> aProtocol = std::nullopt);

} // namespace lycheestand::router

#endif
