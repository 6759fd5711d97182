#ifndef LYCHEESTAND_NET_SRC_ACCEPT_LOOP_H
#define LYCHEESTAND_NET_SRC_ACCEPT_LOOP_H

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <lycheestand/net.h>

namespace lycheestand::net {

// Accepts the connections of a listening socket inside a task, which owns it.
class AcceptLoop
{
public:
  using Socket = boost::asio::ip::tcp::socket;

  // aAccept gets each accepted connection. While aIsFull returns true, none is
  // accepted until the next call of Resume.
  AcceptLoop(IoTask& aTask,
             boost::asio::ip::tcp::acceptor aAcceptor,
             std::function<bool()> aIsFull,
             std::function<void(Socket)> aAccept);

  // Accepts connections from now on; has no effect if it does already.
  void Resume();

  // Closes the listening socket, so that new connections are refused, or opens
  // it again at the same address.
  void SetListening(bool aIsListening);

  // Closes the listening socket for good.
  void Close();

private:
  void AcceptWaiting();
  void Reopen();

  IoTask& task;
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::ip::tcp::endpoint endpoint;
  std::function<bool()> isFull;
  std::function<void(Socket)> accept;
  bool isWaiting = false;
  // The last argument of SetListening, and whether the socket is open.
  bool shouldListen = true;
  bool isListening = true;
  bool isClosed = false;
};

} // namespace lycheestand::net

#endif
