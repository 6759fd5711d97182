#include "accept_loop.h"

#include <boost/asio/bind_executor.hpp>

namespace lycheestand::net {

namespace {

constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(100);

} // namespace

AcceptLoop::AcceptLoop(IoTask& aTask,
                       boost::asio::ip::tcp::acceptor aAcceptor,
                       std::function<bool()> aIsFull,
                       std::function<void(Socket)> aAccept)
  : task(aTask)
  , acceptor(std::move(aAcceptor))
  , isFull(std::move(aIsFull))
  , accept(std::move(aAccept))
{
  this->acceptor.non_blocking(true);
}

void
AcceptLoop::Resume()
{
  if (this->isClosed || this->isWaiting || this->isFull()) {
    return;
  }
  this->isWaiting = true;
  this->acceptor.async_wait(
    boost::asio::ip::tcp::acceptor::wait_read,
    boost::asio::bind_executor(
      this->task.Executor(), [this](boost::system::error_code aError) {
        this->isWaiting = false;
        if (aError != boost::asio::error::operation_aborted) {
          this->AcceptWaiting();
        }
      }));
}

void
AcceptLoop::Close()
{
  this->isClosed = true;
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
}

// Accepts all connections that wait. If each turn of the task accepted one, a
// busy process would accept hardly any.
void
AcceptLoop::AcceptWaiting()
{
  boost::system::error_code error;
  while (!this->isClosed && !error && !this->isFull()) {
    Socket socket(*this->task.GetRuntime().io);
    this->acceptor.accept(socket, error);
    if (!error) {
      this->accept(std::move(socket));
    }
  }
  if (!error || error == boost::asio::error::would_block) {
    this->Resume();
    return;
  }
  // The connection stays in the queue, for example if there are too many open
  // files, so an immediate attempt would fail again.
  Log(LogLevel::Warning,
      "can't accept a connection",
      { { "event", "accept_failed" }, { "reason", error.message() } });
  this->task.After(kAcceptRetryDelay, [this] { this->Resume(); });
}

} // namespace lycheestand::net
