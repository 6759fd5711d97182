#include <boost/asio/bind_executor.hpp>
#include <lycheestand/net.h>

namespace lycheestand::net {

namespace {

using ErrorCode = boost::system::error_code;

struct ConnectAttempt
{
  boost::asio::ip::tcp::socket socket;
  bool isDone = false;
};

ConnectResult
ToConnectResult(ErrorCode aError)
{
  if (!aError) {
    return ConnectResult::Connected;
  }
  return aError == boost::asio::error::connection_refused
           ? ConnectResult::Refused
           : ConnectResult::Failed;
}

} // namespace

void
IoTask::TryConnect(const Address& aAddress,
                   Duration aTimeout,
                   std::function<void(ConnectResult aResult)> aDone)
{
  ErrorCode error;
  auto ip = boost::asio::ip::make_address(aAddress.host, error);
  if (error) {
    aDone(ConnectResult::Failed);
    return;
  }
  auto attempt = std::make_shared<ConnectAttempt>(
    ConnectAttempt{ boost::asio::ip::tcp::socket(*this->runtime.io) });
  auto finish = [attempt, done = std::move(aDone)](ConnectResult aResult) {
    if (!attempt->isDone) {
      attempt->isDone = true;
      ErrorCode ignored;
      attempt->socket.close(ignored);
      done(aResult);
    }
  };
  attempt->socket.async_connect(
    { ip, aAddress.port },
    boost::asio::bind_executor(this->Executor(), [finish](ErrorCode aError) {
      finish(ToConnectResult(aError));
    }));
  this->After(aTimeout, [finish] { finish(ConnectResult::Failed); });
}

} // namespace lycheestand::net
