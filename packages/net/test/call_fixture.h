#ifndef LYCHEESTAND_NET_TEST_CALL_FIXTURE_H
#define LYCHEESTAND_NET_TEST_CALL_FIXTURE_H

#include "net_fixture.h"

namespace lycheestand::net {

// Makes calls from a task and records their results.
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
                   PostedHandler{ std::make_shared<std::function<void()>>(
                     [task, aRun] { aRun(*task); }) });
  }

  void Fetch(const Address& aAddress,
             CallOptions aOptions = {},
             Headers aHeaders = {})
  {
    this->Send(aAddress, { "GET", "/", std::move(aHeaders), "" }, aOptions);
  }

  void Send(const Address& aAddress,
            const HttpRequest& aRequest,
            CallOptions aOptions = {})
  {
    this->RunInTask([this, aAddress, aRequest, aOptions](IoTask& aTask) {
      aTask.Fetch(aAddress,
                  aRequest,
                  aOptions,
                  [this](Result<HttpResponse, CallFailure> aResult) {
                    this->results.push_back(std::move(aResult));
                  });
    });
  }

  caf::actor caller;
  std::vector<Result<HttpResponse, CallFailure>> results;
};

} // namespace lycheestand::net

#endif
