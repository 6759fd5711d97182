#include "daemon.h"

#include <algorithm>

namespace lycheestand::daemon {

namespace {

constexpr std::string_view kBearer = "Bearer ";

void
Respond(const net::ExchangePtr& aExchange,
        unsigned aStatus,
        const char* aType,
        std::string aBody)
{
  aExchange->Respond(
    { aStatus, { { "Content-Type", aType } }, std::move(aBody) });
}

// Returns whether the request has an operator's key as its bearer token.
bool
IsOperator(const std::vector<KeyHash>& aHashes,
           const net::HttpRequest& aRequest)
{
  auto header = net::FindHeader(aRequest.headers, "Authorization");
  if (!header || !header->starts_with(kBearer)) {
    return false;
  }
  KeyHash hash = net::HashKey(header->substr(kBearer.size()));
  return std::find(aHashes.begin(), aHashes.end(), hash) != aHashes.end();
}

void
RespondWithDump(const net::ExchangePtr& aExchange,
                router::Router* aRouter,
                control::Control* aControl)
{
  auto finish = [aExchange](const std::string& aRouterState,
                            const std::string& aControlState) {
    Respond(aExchange,
            200,
            "application/json",
            "{\"router\":" + aRouterState + ",\"control\":" + aControlState +
              "}");
  };
  auto dumpControl = [aExchange, aControl, finish](std::string aRouterState) {
    if (aControl == nullptr) {
      finish(aRouterState, "null");
      return;
    }
    aControl->Dump(
      aExchange->Task(),
      [finish, state = std::move(aRouterState)](
        const std::string& aControlState) { finish(state, aControlState); });
  };
  if (aRouter == nullptr) {
    dumpControl("null");
  } else {
    aRouter->Dump(aExchange->Task(), dumpControl);
  }
}

} // namespace

// The limits of a caller's header and body do not apply: a configuration may be
// larger.
net::HttpServerOptions
MakeServerOptions(const settings::ProcessSettings& aSettings,
                  const caf::actor& aBuffers)
{
  // Connections that are left for callers are worth more than these.
  constexpr std::size_t kConnectionsDivisor = 4;
  net::HttpServerOptions options;
  options.buffers = aBuffers;
  options.maxConnections =
    std::max<std::size_t>(aSettings.maxConnections / kConnectionsDivisor, 1);
  options.headerTimeout = aSettings.headerTimeout;
  options.requestTimeout = aSettings.requestTimeout;
  return options;
}

Result<caf::actor, std::string>
StartAdminServer(const net::Runtime& aRuntime,
                 caf::actor aPool,
                 const settings::ProcessSettings& aSettings,
                 const caf::actor& aBuffers,
                 router::Router* aRouter,
                 control::Control* aControl)
{
  net::HttpHandler operators =
    aControl == nullptr ? net::HttpHandler() : aControl->OperatorHandler();
  auto handle = [=, hashes = aSettings.operatorKeyHashes](
                  const net::ExchangePtr& aExchange) {
    const std::string& target = aExchange->Request().target;
    if (target == "/metrics") {
      Respond(
        aExchange, 200, "text/plain; version=0.0.4", net::Metrics().Render());
    } else if (target == "/healthz") {
      Respond(aExchange, 200, "text/plain", "ok\n");
    } else if (!IsOperator(hashes, aExchange->Request())) {
      Respond(aExchange,
              401,
              "application/json",
              R"({"error":{"code":"invalid_key","message":"the Authorization )"
              R"(header needs an operator's bearer key","ran":"not_run"}})");
    } else if (target == "/dump") {
      RespondWithDump(aExchange, aRouter, aControl);
    } else if (operators) {
      operators(aExchange);
    } else {
      Respond(
        aExchange,
        404,
        "application/json",
        R"({"error":{"code":"not_found","message":"this instance isn't )"
        R"(control; use a control instance's address","ran":"not_run"}})");
    }
  };
  return net::SpawnHttpServer(aRuntime,
                              std::move(aPool),
                              aSettings.adminAddress,
                              MakeServerOptions(aSettings, aBuffers),
                              handle);
}

} // namespace lycheestand::daemon
