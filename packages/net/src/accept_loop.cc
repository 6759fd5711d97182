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
  , endpoint(this->acceptor.local_endpoint())
  , isFull(std::move(aIsFull))
  , accept(std::move(aAccept))
{
  this->acceptor.non_blocking(true);
}

void
AcceptLoop::Resume()
{
  if (!this->isListening || this->isWaiting || this->isFull()) {
    return;
  }
  this->isWaiting = true;
  this->acceptor.async_wait(
    boost::asio::ip::tcp::acceptor::wait_read,
    boost::asio::bind_executor(
      this->task.Executor(), [this](boost::system::error_code aError) {
        this->isWaiting = false;
        // After an abort the socket may have been opened again meanwhile.
        if (aError == boost::asio::error::operation_aborted) {
          this->Resume();
        } else {
          this->AcceptWaiting();
        }
      }));
}

void
AcceptLoop::SetListening(bool aIsListening)
{
  this->shouldListen = aIsListening;
  if (this->isClosed || aIsListening == this->isListening) {
    return;
  }
  if (!aIsListening) {
    // Connections that wait would be reset, and their callers would not know
    // whether their requests ran.
    this->AcceptWaiting();
    this->isListening = false;
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
  } else {
    this->Reopen();
  }
}

void
AcceptLoop::Reopen()
{
  try {
    this->acceptor = boost::asio::ip::tcp::acceptor(*this->task.GetRuntime().io,
                                                    this->endpoint);
    this->acceptor.non_blocking(true);
    this->isListening = true;
    this->Resume();
  } catch (const boost::system::system_error& error) {
    Log(LogLevel::Warning,
        "can't listen again",
        { { "event", "accept_failed" }, { "reason", error.code().message() } });
    this->task.After(kAcceptRetryDelay,
                     [this] { this->SetListening(this->shouldListen); });
  }
}

void
AcceptLoop::Close()
{
  this->isClosed = true;
  this->isListening = false;
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
}

// Accepts all connections that wait. If each turn of the task accepted one, a
// busy process would accept hardly any.
void
AcceptLoop::AcceptWaiting()
{
  boost::system::error_code error;
  while (this->isListening && !error && !this->isFull()) {
    Socket socket(*this->task.GetRuntime().io);
    this->acceptor.accept(socket, error);
    if (!error) {
      this->accept(std::move(socket));
    }
  }
  if (!this->isListening || !error ||
      error == boost::asio::error::would_block) {
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
