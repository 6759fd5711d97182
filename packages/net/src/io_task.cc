#include "calls.h"

#include <caf/send.hpp>
#include <chrono>
#include <ctime>

namespace lycheestand::net {

TimePoint
Now(const Runtime& aRuntime)
{
  return aRuntime.system->clock().now();
}

// CLOCK_BOOTTIME counts the time of a suspension and CLOCK_MONOTONIC does not.
Duration
SuspendedTime()
{
  auto read = [](clockid_t aClock) {
    timespec time{};
    clock_gettime(aClock, &time);
    return std::chrono::seconds(time.tv_sec) +
           std::chrono::nanoseconds(time.tv_nsec);
  };
  return std::chrono::duration_cast<Duration>(read(CLOCK_BOOTTIME) -
                                              read(CLOCK_MONOTONIC));
}

void
ActorExecutor::Post(std::shared_ptr<std::function<void()>> aRun) const
{
  caf::anon_send(this->owner, PostedHandler{ std::move(aRun) });
}

struct IoTask::ActiveCall
{
  CallObserver observer;
  // Set once a connection has accepted the call.
  caf::actor connection;
};

IoTask::IoTask(caf::actor_config& aConfig, Runtime aRuntime, caf::actor aPool)
  : caf::event_based_actor(aConfig)
  , runtime(aRuntime)
  , pool(std::move(aPool))
{
  // CAF returns an error to the sender of a message that the receiver does not
  // handle, such as an unexpected response, and by default the error terminates
  // the sender. A task must survive it.
  this->set_error_handler([](caf::scheduled_actor*, caf::error&) {
    Log(LogLevel::Error,
        "a task received an error in reply to a message that it sent");
  });
}

IoTask::~IoTask() = default;

caf::behavior
IoTask::make_behavior()
{
  this->Start();
  return this->Handlers().or_else(caf::message_handler{
    [](PostedHandler& aHandler) { (*aHandler.run)(); },
    [this](CallEvent& aEvent) { this->HandleCallEvent(aEvent); },
  });
}

ActorExecutor
IoTask::Executor()
{
  return { this->runtime.io, caf::actor_cast<caf::actor>(this) };
}

void
IoTask::After(Duration aDelay, std::function<void()> aRun)
{
  this->delayed_send(
    this,
    aDelay,
    PostedHandler{ std::make_shared<std::function<void()>>(std::move(aRun)) });
}

CallHandle
IoTask::StartCall(const Address& aAddress,
                  HttpRequest aRequest,
                  CallOptions aOptions,
                  CallObserver aObserver)
{
  std::uint64_t id = this->nextCall++;
  auto call = std::make_shared<ActiveCall>();
  call->observer = std::move(aObserver);
  this->calls.emplace(id, std::move(call));
  this->send(this->pool,
             CallStart{ caf::actor_cast<caf::actor>(this),
                        id,
                        aAddress,
                        std::move(aRequest),
                        aOptions });
  return { this, id };
}

CallHandle
IoTask::Fetch(const Address& aAddress,
              HttpRequest aRequest,
              CallOptions aOptions,
              FetchCallback aDone)
{
  auto response = std::make_shared<HttpResponse>();
  auto handle = std::make_shared<CallHandle>();
  CallObserver observer;
  observer.onHead = [response](const CallHead& aHead) {
    response->status = aHead.status;
    response->headers = aHead.headers;
  };
  observer.onBody = [response, handle](const std::string& aChunk) {
    response->body += aChunk;
    handle->Continue();
  };
  observer.onEnd = [response, aDone] { aDone(std::move(*response)); };
  observer.onFailure = [aDone](CallFailure aFailure, const std::string&) {
    aDone(aFailure);
  };
  *handle = this->StartCall(
    aAddress, std::move(aRequest), aOptions, std::move(observer));
  return *handle;
}

void
IoTask::HandleCallEvent(CallEvent& aEvent)
{
  auto found = this->calls.find(aEvent.id);
  if (found == this->calls.end()) {
    // The call was cancelled before a connection accepted it.
    if (auto* accepted = std::get_if<CallAccepted>(&aEvent.event)) {
      this->send(accepted->connection, CallCancel{ aEvent.id });
    }
    return;
  }
  auto call = found->second;
  if (auto* accepted = std::get_if<CallAccepted>(&aEvent.event)) {
    call->connection = accepted->connection;
  } else if (auto* head = std::get_if<CallHead>(&aEvent.event)) {
    call->observer.onHead(*head);
  } else if (auto* chunk = std::get_if<CallBodyChunk>(&aEvent.event)) {
    call->observer.onBody(std::move(chunk->body));
  } else if (std::holds_alternative<CallSilent>(aEvent.event)) {
    if (call->observer.onSilent) {
      call->observer.onSilent();
    }
  } else if (std::holds_alternative<CallEnded>(aEvent.event)) {
    this->calls.erase(found);
    call->observer.onEnd();
  } else if (auto* failed = std::get_if<CallFailed>(&aEvent.event)) {
    this->calls.erase(found);
    call->observer.onFailure(failed->failure, failed->reason);
  }
}

void
CallHandle::Continue() const
{
  auto found = this->task->calls.find(this->id);
  if (found != this->task->calls.end()) {
    this->task->send(found->second->connection, CallContinue{ this->id });
  }
}

void
CallHandle::Cancel() const
{
  if (this->task == nullptr) {
    return;
  }
  auto found = this->task->calls.find(this->id);
  if (found == this->task->calls.end()) {
    return;
  }
  if (found->second->connection) {
    this->task->send(found->second->connection, CallCancel{ this->id });
  }
  this->task->calls.erase(found);
}

const char*
ToString(CallFailure aFailure)
{
  switch (aFailure) {
    case CallFailure::NotSent:
      return "not sent";
    case CallFailure::NoAnswer:
      return "no answer";
    case CallFailure::Interrupted:
      break;
  }
  return "interrupted";
}

} // namespace lycheestand::net
