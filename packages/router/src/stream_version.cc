#include "forward.h"
#include "request_digest.h"

namespace lycheestand::router {

namespace {

// Retry-After of a request to take up a stream about which control could not be
// asked; another router may know the stream.
constexpr double kUnknownVersionRetrySeconds = 0.5;

constexpr const char* kVersionUnknown = "version_unknown";
constexpr const char* kNoEndpointOfVersion = "no_endpoint_of_version";

// Returns the stream that the request takes up; nothing if the caller does not
// name it.
std::optional<StreamId>
ResumedStream(const Request& aRequest, const RoutedCall& aCall)
{
  if (!aCall.description.resumes) {
    return std::nullopt;
  }
  return ComputeStreamId(
    aRequest.workspace, aCall.service, *aCall.description.resumes);
}

void
ReportNotResumed(const Request& aRequest,
                 const char* aReason,
                 const std::string& aMessage)
{
  net::LogFields fields{ { "event", "stream_not_resumed" },
                         { "request", aRequest.id.Get() },
                         { "workspace", aRequest.workspace.Get() },
                         { "reason", aReason } };
  if (aRequest.streamVersion) {
    fields.emplace_back("version", aRequest.streamVersion->Get());
  }
  const auto* routed = std::get_if<RoutedCall>(&aRequest.call);
  if (routed != nullptr) {
    fields.emplace_back("service", routed->service.Get());
    if (routed->description.resumes) {
      fields.emplace_back("resumes", routed->description.resumes->Get());
    }
  }
  net::Log(net::LogLevel::Info, aMessage, fields);
  net::Metrics()
    .GetCounter("lycheestand_streams_not_resumed_total",
                "reason=\"" + std::string(aReason) + "\"")
    .Add();
}

void
RefuseUnknownVersion(const RequestPtr& aRequest, bool aIsCertain)
{
  const char* message =
    aIsCertain
      ? "it is not known which version of software has begun the stream"
      : "control could not be asked which version of software has begun the "
        "stream";
  ReportNotResumed(*aRequest, kVersionUnknown, message);
  Refuse(aRequest,
         { 503,
           kVersionUnknown,
           message,
           ExecutionState::NotRun,
           aIsCertain ? 0 : kUnknownVersionRetrySeconds });
}

// Goes on if an endpoint of the stream's version is left. The request would
// otherwise wait for its budget in vain.
void
CheckVersion(const RequestPtr& aRequest, Next aNext)
{
  routing::Query query;
  query.serves = std::get<RoutedCall>(aRequest->call).service.Get();
  query.isService = true;
  query.version = aRequest->streamVersion;
  aRequest->exchange->Task()
    .request(aRequest->controllers.endpoint,
             caf::infinite,
             LacksVersion{ std::move(query) })
    .then([aRequest, next = std::move(aNext)](bool aLacksVersion) {
      if (aRequest->isFinished) {
        return;
      }
      if (!aLacksVersion) {
        next();
        return;
      }
      aRequest->lacksVersion = true;
      ReportLackOfVersion(*aRequest);
      RefuseNoEndpointOfVersion(aRequest);
    });
}

} // namespace

// Streams at endpoints of several versions do not fit together. A stream
// without a last event is a new one, whatever the caller says that it resumes.
Filter
MakeFindStream()
{
  return [](const RequestPtr& aRequest, Next aNext) {
    const auto& call = std::get<RoutedCall>(aRequest->call);
    if (!call.description.lastEvent) {
      aNext();
      return;
    }
    aRequest->isFindingStream = true;
    aRequest->exchange->Task()
      .request(aRequest->controllers.stream,
               caf::infinite,
               FindStream{ aRequest->ticket,
                           call.service,
                           ResumedStream(*aRequest, call) })
      .then([aRequest, next = std::move(aNext)](const FindStreamReply& aReply) {
        if (aRequest->isFinished) {
          return;
        }
        aRequest->isFindingStream = false;
        aRequest->streamVersion = aReply.version;
        if (aReply.version) {
          CheckVersion(aRequest, next);
        } else if (aReply.isAnyVersion) {
          next();
        } else {
          RefuseUnknownVersion(aRequest, aReply.isCertain);
        }
      });
  };
}

void
BeginStream(const RequestPtr& aRequest)
{
  if (aRequest->streamVersion) {
    return;
  }
  aRequest->streamVersion = aRequest->attempt.version;
  const auto* routed = std::get_if<RoutedCall>(&aRequest->call);
  if (routed == nullptr || !routed->route->isResumable ||
      routed->description.lastEvent) {
    return;
  }
  aRequest->exchange->Task().send(
    aRequest->controllers.stream,
    StreamBegan{
      routed->service,
      ComputeStreamId(aRequest->workspace, routed->service, aRequest->id),
      *aRequest->streamVersion });
}

void
ReportLackOfVersion(const Request& aRequest)
{
  if (aRequest.lacksVersion) {
    ReportNotResumed(aRequest,
                     kNoEndpointOfVersion,
                     "no endpoint is left of the version of software that has "
                     "begun the stream");
  }
}

// There is no Retry-After: a version that has left does not come back soon.
void
RefuseNoEndpointOfVersion(const RequestPtr& aRequest)
{
  Refuse(aRequest,
         { 503,
           kNoEndpointOfVersion,
           "no endpoint has the version of software that has begun the stream",
           ExecutionState::NotRun });
}

} // namespace lycheestand::router
