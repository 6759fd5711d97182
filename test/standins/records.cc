// Stand-in for the booking-and-records service. It counts the executions of
// each Idempotency-Key, so that a test can find calls that ran twice.

#include "standin.h"

#include <boost/json.hpp>
#include <map>
#include <tclap/CmdLine.h>

namespace lycheestand::standins {

namespace json = boost::json;

namespace {

struct RecordsOptions
{
  Duration delay{};
  // Number of first calls that are executed but not answered.
  int unansweredRuns = 0;
};

struct ServiceCall
{
  net::HttpRequest request;
};

// Response to a call; closesConnection drops the connection instead.
struct ServiceAnswer
{
  net::HttpResponse response;
  bool closesConnection = false;
};

} // namespace

} // namespace lycheestand::standins

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::standins::ServiceCall)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::standins::ServiceAnswer)

namespace lycheestand::standins {

namespace {

// Task that owns the execution counts.
class Records : public net::IoTask
{
public:
  Records(caf::actor_config& aConfig,
          net::Runtime aRuntime,
          RecordsOptions aOptions)
    : net::IoTask(aConfig, aRuntime)
    , options(aOptions)
    , instance(net::MakeRandomSource()(1000000))
  {
  }

protected:
  caf::message_handler Handlers() override
  {
    return { [this](ServiceCall& aCall) {
      return this->Answer(aCall.request);
    } };
  }

private:
  ServiceAnswer Answer(const net::HttpRequest& aRequest)
  {
    const std::string& target = aRequest.target;
    if (aRequest.method == "POST" &&
        (target == "/visits" || target == "/orders")) {
      return this->Execute(aRequest);
    }
    if (target == "/leave" && aRequest.method == "POST") {
      this->isLeaving = true;
      return Json(200, json::object{});
    }
    if (target.starts_with("/units/")) {
      ++this->lookups;
      return Json(200, { { "unit", target.substr(7) }, { "hardness_dh", 21 } });
    }
    if (target == "/executions") {
      return Json(200, this->executions);
    }
    if (target == "/load") {
      return Json(200,
                  { { "running", 0 },
                    { "queued", 0 },
                    { "slots", 64 },
                    { "cache_tokens", 0 },
                    { "leaving", this->isLeaving },
                    { "models", json::array{} },
                    { "age_ms", 0 } });
    }
    return { { 404, {}, "" } };
  }

  // Each execution has a unique answer, so that a test can tell a replayed
  // answer from a second execution.
  ServiceAnswer Execute(const net::HttpRequest& aRequest)
  {
    if (this->isLeaving) {
      return { { 503, { { "X-Endpoint-Leaving", "true" } }, "" } };
    }
    auto key =
      net::FindHeader(aRequest.headers, "Idempotency-Key").value_or("-");
    auto& count = this->executions[key];
    count = count.is_null() ? 1 : count.as_int64() + 1;
    std::cout << "ran " << key << std::endl;
    ServiceAnswer answer = Json(
      201,
      { { "record",
          std::to_string(this->instance) + "-" + std::to_string(++this->runs) },
        { "key", key } });
    answer.closesConnection = this->options.unansweredRuns-- > 0;
    return answer;
  }

  static ServiceAnswer Json(unsigned aStatus, const json::object& aBody)
  {
    return { { aStatus,
               { { "Content-Type", "application/json" } },
               json::serialize(aBody) } };
  }

  RecordsOptions options;
  std::uint64_t instance;
  json::object executions;
  std::uint64_t runs = 0;
  std::uint64_t lookups = 0;
  bool isLeaving = false;
};

void
HandleExchange(const caf::actor& aRecords,
               Duration aDelay,
               const net::ExchangePtr& aExchange)
{
  aExchange->Task()
    .request(aRecords, caf::infinite, ServiceCall{ aExchange->Request() })
    .then([aDelay, aExchange](ServiceAnswer& aAnswer) {
      auto delay = aExchange->Request().method == "POST" ? aDelay : Duration{};
      if (auto id =
            net::FindHeader(aExchange->Request().headers, "X-Request-Id")) {
        aAnswer.response.headers.emplace_back("X-Request-Id", *id);
      }
      aExchange->Task().After(delay, [aExchange, answer = aAnswer] {
        if (answer.closesConnection) {
          aExchange->Abort();
        } else {
          aExchange->Respond(answer.response);
        }
      });
    });
}

} // namespace

} // namespace lycheestand::standins

int
main(int aCount, char** aArguments)
{
  using namespace lycheestand;
  TCLAP::CmdLine line("Stand-in for the booking-and-records service");
  TCLAP::ValueArg<std::string> address(
    "a", "address", "host:port", true, "", "address", line);
  TCLAP::ValueArg<int> delay("",
                             "delay-ms",
                             "delay of each answer after its execution",
                             false,
                             0,
                             "ms",
                             line);
  TCLAP::ValueArg<int> fail(
    "",
    "fail-after-run",
    "number of first calls that are executed but not answered",
    false,
    0,
    "n",
    line);
  line.parse(aCount, aArguments);
  standins::RecordsOptions options{ std::chrono::milliseconds(delay.getValue()),
                                    fail.getValue() };
  return standins::RunStandin(
    "records",
    ParseAddress(address.getValue()).value(),
    [options](const net::Runtime& aRuntime,
              const caf::actor&) -> net::HttpHandler {
      auto records =
        aRuntime.system->spawn<standins::Records>(aRuntime, options);
      return [records, options](const net::ExchangePtr& aExchange) {
        standins::HandleExchange(records, options.delay, aExchange);
      };
    });
}
