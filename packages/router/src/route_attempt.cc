#include "route_attempt.h"

#include <sstream>

namespace lycheestand::router {

namespace {

// Retry-After when all endpoints are busy, and when none is known.
constexpr double kBusyRetrySeconds = 0.2;
constexpr double kNoEndpointRetrySeconds = 0.5;

// Longest time for opening a connection. Endpoints are a few milliseconds away,
// and one that is down does not answer at all.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);

// Margin by which a call's idle timeout exceeds the route's timeout, so that
// the request is ended by the latter.
constexpr Duration kTimeoutMargin = std::chrono::seconds(1);

// Number of endpoints that could not be reached after which a request is
// refused.
constexpr std::size_t kMaxUnreachedEndpoints = 3;

// Largest number of a priority, and so the lowest priority, that endpoints
// accept.
constexpr unsigned kMaxPriority = 9;

routing::Query
MakeQuery(const RoutedCall& aCall)
{
  routing::Query query;
  query.serves = aCall.service.Get();
  query.isService = true;
  query.prefix = aCall.description.prefix;
  query.promptTokens = aCall.description.promptTokens;
  return query;
}

// Returns the ids in hexadecimal, separated by commas.
std::string
FormatParts(const std::vector<PromptPartId>& aParts)
{
  std::ostringstream out;
  const char* separator = "";
  for (auto part : aParts) {
    out << separator << std::hex << part.Get();
    separator = ",";
  }
  return out.str();
}

std::optional<unsigned>
PriorityOf(const RoutedCall& aCall)
{
  if (aCall.description.promptTokens == Tokens(0)) {
    return std::nullopt;
  }
  unsigned rank = aCall.workspacePriority.value_or(aCall.route->priority);
  return std::min(rank, kMaxPriority);
}

net::HttpRequest
MakeRequest(const Request& aRequest,
            const RoutedCall& aCall,
            std::optional<std::uint64_t> aLastEvent,
            TimePoint aNow)
{
  AttemptDescription attempt;
  attempt.endpoint = aRequest.attempt.endpoint;
  attempt.workspace = aRequest.workspace;
  attempt.lastEvent = aLastEvent;
  attempt.priority = PriorityOf(aCall);
  attempt.timeout = std::max(
    Milliseconds(1),
    std::chrono::duration_cast<Milliseconds>(*aRequest.deadline - aNow));
  return aCall.protocol->writeAttempt(aRequest.exchange->Request(), attempt);
}

} // namespace

// A request that must run at most once gets a new connection: if a reused one
// broke, it would be unknown whether the request ran.
net::CallOptions
MakeCallOptions(const routes::Route& aRoute)
{
  net::CallOptions options;
  options.connectTimeout = kConnectTimeout;
  options.idleTimeout = aRoute.timeout + kTimeoutMargin;
  options.reuseConnection = aRoute.isRepeatable;
  if (aRoute.isStream) {
    options.maxBodyBytes.reset();
  }
  return options;
}

void
StartAttempt(const RequestPtr& aRequest,
             std::optional<std::uint64_t> aLastEvent,
             net::CallOptions aOptions,
             net::CallObserver aObserver,
             std::function<void()> aOnNoEndpoint)
{
  const auto& call = std::get<RoutedCall>(aRequest->call);
  ChooseAndCall(
    aRequest,
    MakeQuery(call),
    [aRequest, &call, aLastEvent, aOptions, aObserver](
      const Address& aAddress) {
      auto& task = aRequest->exchange->Task();
      auto now = net::Now(task.GetRuntime());
      aRequest->attempt.upstream =
        task.StartCall(aAddress,
                       MakeRequest(*aRequest, call, aLastEvent, now),
                       aOptions,
                       aObserver);
    },
    std::move(aOnNoEndpoint));
}

bool
CanRetry(const Request& aRequest)
{
  const auto& call = std::get<RoutedCall>(aRequest.call);
  return aRequest.attempts < call.route->maxAttempts &&
         aRequest.triedEndpoints.size() <
           aRequest.attempts + kMaxUnreachedEndpoints;
}

routing::Outcome
OutcomeOf(const AnswerDescription& aAnswer, unsigned aStatus)
{
  if (aAnswer.isNotRun) {
    return routing::Outcome::Busy;
  }
  return aStatus >= 500 ? routing::Outcome::Failed
                        : routing::Outcome::Succeeded;
}

// Bytes that an endpoint sent after an earlier answer on the same connection
// may look like the answer to this request; only the request's id distinguishes
// them.
bool
IsAnswerTo(const AnswerDescription& aAnswer,
           const RequestId& aRequest,
           unsigned aStatus)
{
  bool isSuccess = aStatus < 300;
  bool isWhole = aAnswer.isSigned && !aAnswer.isEncoded;
  return aAnswer.id == aRequest && (!isSuccess || isWhole);
}

namespace {

void
ReportCold(const RequestPtr& aRequest, Duration aRemaining)
{
  const auto& call = std::get<RoutedCall>(aRequest->call);
  const auto* service = call.table->Find(call.service);
  if (aRemaining > Duration(0) && service != nullptr &&
      service->coldRate > RequestRate(0)) {
    aRequest->exchange->Task().send(aRequest->controllers.endpoint,
                                    EndpointCold{ aRequest->attempt.endpoint,
                                                  service->coldRate,
                                                  aRemaining });
  }
}

} // namespace

std::optional<AnswerDescription>
ReadAnswerHead(const RequestPtr& aRequest, const net::CallHead& aHead)
{
  const auto& call = std::get<RoutedCall>(aRequest->call);
  auto answer = call.protocol->readAnswer(aHead);
  if (!IsAnswerTo(answer, call.description.id, aHead.status)) {
    return std::nullopt;
  }
  if (answer.isLeaving || answer.isFromOtherEndpoint) {
    SetEndpointLeaving(aRequest);
  }
  if (answer.blockTime && !answer.isFromOtherEndpoint) {
    BlockEndpoint(aRequest, *answer.blockTime);
  }
  bool endsLimit = aRequest->attempt.isLimited && aHead.status < 300;
  if ((answer.limit || endsLimit) && !answer.isFromOtherEndpoint) {
    aRequest->exchange->Task().send(
      aRequest->controllers.endpoint,
      EndpointAnswered{ aRequest->attempt.endpoint,
                        answer.limit,
                        aRequest->attempt.startedAt });
  }
  if (!answer.isFromOtherEndpoint) {
    ReportCold(aRequest, answer.coldRemaining);
  }
  // What a failing endpoint says of its speed doesn't count.
  if (answer.load && aHead.status >= 300) {
    answer.load->pace.reset();
  }
  if (answer.load && !answer.isFromOtherEndpoint) {
    aRequest->exchange->Task().send(
      aRequest->controllers.endpoint,
      LoadReported{ aRequest->attempt.endpoint, *answer.load });
  }
  return answer;
}

void
EndAttempt(const RequestPtr& aRequest,
           routing::Outcome aOutcome,
           const std::string& aReason)
{
  auto now = net::Now(aRequest->exchange->Task().GetRuntime());
  if (aOutcome != routing::Outcome::Succeeded) {
    const auto& call = std::get<RoutedCall>(aRequest->call);
    net::Log(
      net::LogLevel::Info,
      "attempt ended",
      { { "event", "attempt" },
        { "request", aRequest->id.Get() },
        { "endpoint", aRequest->attempt.endpoint.Get() },
        { "version", aRequest->attempt.version.Get() },
        { "attempt", std::to_string(aRequest->attempts) },
        { "ms", net::FormatMilliseconds(now - aRequest->attempt.startedAt) },
        { "parts", FormatParts(call.description.parts) },
        { "digest", ToString(*aRequest->digest) },
        { "reason", aReason } });
  }
  aRequest->attempt.upstream = {};
  ReleaseEndpoint(aRequest, aOutcome);
}

void
EndFailedAttempt(const RequestPtr& aRequest,
                 net::CallFailure aFailure,
                 const std::string& aReason)
{
  RecordFailure(aRequest, aFailure);
  if (aFailure == net::CallFailure::NotSent) {
    --aRequest->attempts;
  }
  EndAttempt(aRequest,
             routing::Outcome::Failed,
             std::string(net::ToString(aFailure)) + ": " + aReason);
}

void
RefuseRouted(const RequestPtr& aRequest, const std::string& aReason)
{
  ReportLackOfVersion(*aRequest);
  if (aRequest->ran != ExecutionState::NotRun) {
    Refuse(aRequest,
           { 502, "endpoint_failed", aReason, ExecutionState::Unknown });
    return;
  }
  if (aRequest->lacksVersion) {
    RefuseNoEndpointOfVersion(aRequest);
    return;
  }
  bool wasBusy = !aRequest->triedEndpoints.empty();
  Refuse(
    aRequest,
    { 503,
      wasBusy ? "endpoints_busy" : "no_endpoint",
      aReason,
      ExecutionState::NotRun,
      RetryAfterNoEndpoint(
        *aRequest, wasBusy ? kBusyRetrySeconds : kNoEndpointRetrySeconds) });
}

void
ForwardRouted(const RequestPtr& aRequest)
{
  if (std::get<RoutedCall>(aRequest->call).route->isStream) {
    ForwardEvents(aRequest);
  } else {
    ForwardBuffered(aRequest);
  }
}

} // namespace lycheestand::router
