#ifndef LYCHEESTAND_ROUTER_H
#define LYCHEESTAND_ROUTER_H

// The router role: handles callers' requests in a chain of filters and keeps
// its state in controllers for configuration, budgets, operations, endpoints,
// admission and membership.

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

// A caller's request, independent of the names of its headers.
struct CallDescription
{
  std::string host;
  // Id that the caller gave this attempt.
  RequestId id;
  // The caller's key, if it sent one.
  std::optional<std::string> key;
  // Time that the caller waits for the answer.
  std::optional<Milliseconds> timeout;
  // The stream resumes after the event with this id.
  std::optional<std::uint64_t> lastEvent;
  // Id of the request that brought the first event of this stream.
  std::optional<RequestId> resumes;
  // Zero if the call is not to a model.
  Tokens promptTokens;
  // Maximum number of output tokens.
  Tokens maxOutput;
  // Prefixes of the prompt, from shortest to longest. The last one belongs to
  // this request or its session only.
  std::vector<routing::PromptPrefix> prefix;
  // The parts of the prompt that other requests may share, in their order.
  std::vector<PromptPartId> parts;
};

// What the router adds to the caller's request when it calls an endpoint.
struct AttemptDescription
{
  // The endpoint that must run the request; another endpoint that now has its
  // address must not.
  EndpointId endpoint;
  // Time that the router waits for the answer.
  std::optional<Milliseconds> timeout;
  // Empty if the request needs no key.
  WorkspaceId workspace;
  // The stream resumes after the event with this id.
  std::optional<std::uint64_t> lastEvent;
  // 0 is the highest priority, 9 the lowest.
  std::optional<unsigned> priority;
};

// The status line and headers of an endpoint's answer, independent of the names
// of its headers.
struct AnswerDescription
{
  // The endpoint did not run the request and will not run it later.
  bool isNotRun = false;
  // The answer is from another endpoint that now has the address.
  bool isFromOtherEndpoint = false;
  // The endpoint is leaving.
  bool isLeaving = false;
  // The endpoint has refused the request and wants none for this time.
  std::optional<Duration> blockTime;
  // The answer carries the endpoint's signature.
  bool isSigned = false;
  // The body has a content encoding, so it is not in the requested form.
  bool isEncoded = false;
  // Id of the request that the answer belongs to, if the answer names it.
  std::optional<RequestId> id;
  std::optional<routing::LoadReport> load;
  // Rate of requests that the endpoint takes from all routers together.
  std::optional<RequestRate> limit;
  // Time for which the endpoint stays cold; zero if it does not say.
  Duration coldRemaining{};
};

// The encoding of requests that are served by a route table, as hooks. All
// hooks must be set. readTable and readCall return what is wrong with a
// malformed input.
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
  // Returns the headers that apply beyond one connection.
  std::function<net::Headers(const net::Headers&)> selectEndToEndHeaders;
};

// Router addresses for callers, and how long a caller may cache them.
struct EntryAddresses
{
  std::vector<Address> addresses;
  Duration cacheTime{};
};

// ---------------------------------------------------------------- router

// A running router.
class Router
{
public:
  virtual ~Router() = default;

  // Starts a graceful stop. aStopped runs once all requests have ended and
  // their usage is reported, or the time limits of the stop have passed. Only
  // the first call has an effect.
  virtual void Drain(std::function<void()> aStopped) = 0;

  // Sets the control instances that are tried to find the leader.
  virtual void SetControl(std::vector<settings::ControlMember> aMembers) = 0;

  // Sets the function that runs when a stop requested by control is complete.
  virtual void OnDrainRequest(std::function<void()> aStopped) = 0;

  // Calls aDone, in the task, with whether this router accepts requests.
  virtual void CheckReadiness(net::IoTask& aTask,
                              std::function<void(bool)> aDone) = 0;

  // Calls aDone, in the task, with the router addresses for callers in an
  // availability zone; there are none if they could not be determined.
  virtual void FindEntryAddresses(
    net::IoTask& aTask,
    const ZoneId& aZone,
    std::function<void(const EntryAddresses&)> aDone) = 0;

  // Calls aDone, in the task, with the state as JSON, without secrets.
  virtual void Dump(net::IoTask& aTask,
                    std::function<void(std::string)> aDone) = 0;
};

// Starts a router, or returns why it can't start. aBuffers divides the memory
// of the process's servers. With a protocol the router serves requests by the
// route table instead of the project's own interface.
Result<std::unique_ptr<Router>, std::string>
StartRouter(const net::Runtime& aRuntime,
            const settings::ProcessSettings& aSettings,
            const net::FleetKey& aKey,
            caf::actor aBuffers,
            std::optional<RouteProtocol> aProtocol = std::nullopt);

} // namespace lycheestand::router

#endif
