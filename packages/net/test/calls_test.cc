#include "net_fixture.h"

using namespace lycheestand;
using namespace lycheestand::net;
using namespace std::chrono_literals;

namespace {

// A task that makes calls, and what became of them.
class CallFixture : public NetFixture
{
public:
  CallFixture()
  {
    auto task = this->system.spawn<CallerTask>(this->runtime, this->pool);
    this->started.push_back(task);
    this->caller = caf::actor_cast<caf::actor>(task);
  }

  // Runs a function inside the calling task.
  void RunInTask(const std::function<void(IoTask&)>& aRun)
  {
    auto* task = dynamic_cast<IoTask*>(
      caf::actor_cast<caf::abstract_actor*>(this->caller));
    caf::anon_send(this->caller,
                   Work{ std::make_shared<std::function<void()>>(
                     [task, aRun] { aRun(*task); }) });
  }

  void Fetch(const Address& aAddress, CallOptions aOptions = {})
  {
    this->RunInTask([this, aAddress, aOptions](IoTask& aTask) {
      aTask.Fetch(aAddress,
                  { "GET", "/", {}, "" },
                  aOptions,
                  [this](Result<HttpResponse, CallFailure> aResult) {
                    this->results.push_back(std::move(aResult));
                  });
    });
  }

  caf::actor caller;
  std::vector<Result<HttpResponse, CallFailure>> results;
};

} // namespace

// Guards against an answer that is handed to another call of the same task.
TEST_CASE_METHOD(CallFixture, "Calls in parallel get their own answers")
{
  int count = 0;
  auto address = this->Serve([&](const ExchangePtr& aExchange) {
    // Earlier requests are answered later.
    int number = count++;
    aExchange->Task().After(std::chrono::milliseconds(1000 - 100 * number),
                            [aExchange, target = aExchange->Request().target] {
                              aExchange->Respond({ 200, {}, target });
                            });
  });
  std::map<std::string, std::string> answers;
  this->RunInTask([&](IoTask& aTask) {
    for (int i = 0; i < 8; ++i) {
      std::string target = "/" + std::to_string(i);
      aTask.Fetch(address,
                  { "GET", target, {}, "" },
                  {},
                  [&answers, target](Result<HttpResponse, CallFailure> aDone) {
                    answers[target] = aDone.value().body;
                  });
    }
  });
  this->PumpUntil([&] {
    this->Advance(500ms);
    return answers.size() == 8;
  });
  for (const auto& [target, body] : answers) {
    REQUIRE(target == body);
  }
}

// Guards against a refusal that says not_run although bytes were sent.
TEST_CASE_METHOD(CallFixture, "A refused connection counts as not sent")
{
  this->Fetch(FreeAddress());
  this->PumpUntil([&] { return !this->results.empty(); });
  REQUIRE(this->results[0].error() == CallFailure::NotSent);
}

// Guards against a call without answer that is taken for one that did not run.
TEST_CASE_METHOD(CallFixture, "A closed connection after sending is no answer")
{
  auto address =
    this->Serve([](const ExchangePtr& aExchange) { aExchange->Abort(); });
  this->Fetch(address);
  this->PumpUntil([&] { return !this->results.empty(); });
  REQUIRE(this->results[0].error() == CallFailure::NoAnswer);
}

// Guards against a broken answer that is taken for a whole one.
TEST_CASE_METHOD(CallFixture, "A cut answer counts as interrupted")
{
  auto address = this->Serve([](const ExchangePtr& aExchange) {
    aExchange->StartStream(200, {});
    aExchange->WriteStream("part", [aExchange] { aExchange->Abort(); });
  });
  this->Fetch(address);
  this->PumpUntil([&] { return !this->results.empty(); });
  REQUIRE(this->results[0].error() == CallFailure::Interrupted);
}

// Guards against a request that waits for ever for a frozen endpoint.
TEST_CASE_METHOD(CallFixture, "A silent endpoint ends the call after a timeout")
{
  auto address = this->Serve([](const ExchangePtr&) {});
  CallOptions options;
  options.idleTimeout = 3s;
  this->Fetch(address, options);
  this->PumpUntil([&] {
    this->Advance(500ms);
    return !this->results.empty();
  });
  REQUIRE(this->results[0].error() == CallFailure::NoAnswer);
}
