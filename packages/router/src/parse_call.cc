#include "chat_protocol.h"

#include <boost/json.hpp>

namespace lycheestand::router {

namespace {

constexpr std::string_view kServicesPrefix = "/services/";

// Longest Idempotency-Key that is stored.
constexpr std::size_t kMaxKeyBytes = 255;

void
RefuseNotFound(const RequestPtr& aRequest, const std::string& aMessage)
{
  Refuse(aRequest, { 404, "not_found", aMessage });
}

void
ParseChatRequest(const RequestPtr& aRequest, const Next& aNext)
{
  auto parsed = ParseChatCall(aRequest->exchange->Request().body);
  if (parsed.has_error()) {
    Refuse(aRequest, { 400, "invalid_request", parsed.error() });
    return;
  }
  ChatCall call = std::move(parsed.value());
  const auto& settings = aRequest->snapshot->settings;
  auto model = settings.ModelFor(aRequest->site, call.model);
  if (!model ||
      !settings.AllowsModel(aRequest->workspace, aRequest->site, call.model)) {
    RefuseNotFound(aRequest,
                   "model \"" + call.model.Get() +
                     "\" is not available to this key");
    return;
  }
  if (!call.hasOutputLimit) {
    call.maxOutput = model->maxOutput;
  }
  call.maxOutput = std::min(call.maxOutput, model->maxOutput);
  // A limit that the caller sets is part of its request and is not reduced.
  // Without one, the answer may be cut down to the model's minimum when the
  // budget runs out.
  call.minOutput = call.hasOutputLimit
                     ? call.maxOutput
                     : std::min(model->minOutput, call.maxOutput);
  aRequest->call = std::move(call);
  aNext();
}

const settings::ServiceRoute*
FindRoute(const settings::ServiceSettings& aService,
          const std::string& aMethod,
          const std::string& aTarget)
{
  for (const auto& route : aService.routes) {
    if (route.method == aMethod && aTarget.starts_with(route.pathPrefix)) {
      return &route;
    }
  }
  return nullptr;
}

void
ParseServiceRequest(const RequestPtr& aRequest, const Next& aNext)
{
  const auto& http = aRequest->exchange->Request();
  std::string rest = http.target.substr(kServicesPrefix.size());
  std::size_t slash = rest.find('/');
  ServiceName name(rest.substr(0, slash));
  const auto& settings = aRequest->snapshot->settings;
  auto service = settings.services.find(name);
  if (slash == std::string::npos || service == settings.services.end() ||
      !settings.AllowsService(aRequest->workspace, aRequest->site, name)) {
    RefuseNotFound(
      aRequest, "service \"" + name.Get() + "\" is not available to this key");
    return;
  }
  ServiceCall call;
  call.service = name;
  call.target = rest.substr(slash);
  call.timeout = settings.ServiceTimeoutFor(aRequest->site, service->second);
  const auto* route = FindRoute(service->second, http.method, call.target);
  if (route == nullptr) {
    RefuseNotFound(
      aRequest, "the service has no route " + http.method + " " + call.target);
    return;
  }
  call.repeatable = route->repeatable;
  if (auto key = net::FindHeader(http.headers, "Idempotency-Key")) {
    call.key = OperationKey(*key);
  }
  bool isKeyUsable = call.key && !call.key->Get().empty() &&
                     call.key->Get().size() <= kMaxKeyBytes;
  if (!call.repeatable && !isKeyUsable) {
    Refuse(
      aRequest,
      { 400,
        "idempotency_key_required",
        "this call must run at most once; it needs an Idempotency-Key header "
        "of 1 to 255 bytes" });
    return;
  }
  aRequest->call = std::move(call);
  aNext();
}

void
AnswerModels(const RequestPtr& aRequest)
{
  boost::json::array models;
  const auto& settings = aRequest->snapshot->settings;
  for (const auto& [name, model] : settings.models) {
    if (settings.AllowsModel(aRequest->workspace, aRequest->site, name)) {
      models.push_back({ { "id", name.Get() },
                         { "object", "model" },
                         { "owned_by", "lycheestand" } });
    }
  }
  boost::json::object body{ { "object", "list" }, { "data", models } };
  aRequest->exchange->Respond({ 200,
                                { { "Content-Type", "application/json" } },
                                boost::json::serialize(body) });
  FinishRequest(aRequest);
}

void
AnswerEntry(const RequestPtr& aRequest)
{
  aRequest->exchange->Task()
    .request(aRequest->controllers.membership, caf::infinite, GetEntry{})
    .then([aRequest](std::string& aBody) {
      aRequest->exchange->Respond(
        { 200, { { "Content-Type", "application/json" } }, std::move(aBody) });
      FinishRequest(aRequest);
    });
}

} // namespace

Filter
MakeParseCall()
{
  return [](const RequestPtr& aRequest, const Next& aNext) {
    const auto& http = aRequest->exchange->Request();
    if (http.method == "POST" && http.target == "/v1/chat/completions") {
      ParseChatRequest(aRequest, aNext);
    } else if (http.method == "GET" && http.target == "/v1/models") {
      AnswerModels(aRequest);
    } else if (http.method == "GET" && http.target == "/v1/entry") {
      AnswerEntry(aRequest);
    } else if (http.target.starts_with(kServicesPrefix)) {
      ParseServiceRequest(aRequest, aNext);
    } else {
      RefuseNotFound(aRequest, "no such path: " + http.target);
    }
  };
}

} // namespace lycheestand::router
