#ifndef LYCHEESTAND_TEST_FAULTS_HTTP_CLIENT_H
#define LYCHEESTAND_TEST_FAULTS_HTTP_CLIENT_H

// A blocking HTTP client for the test's callers, with a time limit per call.

#include "process.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <map>
#include <optional>

namespace lycheestand::faults {

// One request.
struct Call
{
  std::string method = "GET";
  std::string target;
  std::map<std::string, std::string> headers;
  std::string body;
  Duration limit = 20s;
  // Sees the body so far after each piece; false makes the caller disconnect.
  std::function<bool(const std::string&)> onBody;
};

// What came back.
struct Reply
{
  // 0 when no head came.
  unsigned status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
  // The answer ended as HTTP says; not when it broke off.
  bool isComplete = false;
  bool isTimeout = false;
  bool isConnected = false;
};

// One connection, kept for further calls while the server allows it.
class HttpClient
{
public:
  explicit HttpClient(Address aAddress);

  Reply Send(const Call& aCall);

private:
  bool Connect(Duration aLimit);
  void Exchange(const Call& aCall, Reply& aReply);

  Address address;
  boost::asio::io_context io;
  std::optional<boost::beast::tcp_stream> stream;
  boost::beast::flat_buffer buffer;
};

// Sends one request on a new connection.
Reply
Send(const Address& aAddress, const Call& aCall);

} // namespace lycheestand::faults

#endif
