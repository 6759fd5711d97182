#include "net_fixture.h"

using namespace lycheestand;
using namespace lycheestand::net;

namespace {

// Replies to each number with a text and counts the numbers.
class AnsweringTask : public IoTask
{
public:
  AnsweringTask(caf::actor_config& aConfig, Runtime aRuntime, int* aCount)
    : IoTask(aConfig, aRuntime)
    , count(aCount)
  {
  }

protected:
  caf::message_handler Handlers() override
  {
    return { [this](int) {
      ++*this->count;
      return std::string("answer");
    } };
  }

private:
  int* count;
};

// Sends a number as a plain message, so that it does not expect the reply.
class SendingTask : public IoTask
{
public:
  SendingTask(caf::actor_config& aConfig, Runtime aRuntime, caf::actor aTarget)
    : IoTask(aConfig, aRuntime)
    , target(std::move(aTarget))
  {
  }

  void on_exit() override { this->target = nullptr; }

protected:
  void Start() override { this->send(this->target, 1); }

private:
  caf::actor target;
};

} // namespace

// The sender rejects the unexpected reply with an error. If that error
// terminated the replying task, one such message would stop the replica of a
// control instance.
TEST_CASE_METHOD(NetFixture,
                 "An unexpected reply does not terminate the task that sent it")
{
  int count = 0;
  auto answering = this->system.spawn<AnsweringTask>(this->runtime, &count);
  this->started.push_back(answering);
  for (int sent = 1; sent <= 3; ++sent) {
    this->started.push_back(
      this->system.spawn<SendingTask>(this->runtime, answering));
    this->RunUntil([&] { return count == sent; });
    this->Advance(std::chrono::seconds(1));
  }
}
