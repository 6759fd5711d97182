#ifndef LYCHEESTAND_TEST_FAULTS_HTTP_CLIENT_H
#define LYCHEESTAND_TEST_FAULTS_HTTP_CLIENT_H

// A blocking HTTP client with a timeout per request.

#include "process.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <map>
#include <optional>

namespace lycheestand::faults {

// A request to send.
struct Call
{
  std::string method = "GET";
  std::string target;
  std::map<std::string, std::string> headers;
  std::string body;
  Duration timeout = 20s;
  // If set, the request is sent in pieces of this size, with a pause before
  // each further one.
  std::size_t pieceBytes = 0;
  Duration piecePause{};
  // Pause before each read of the response.
  Duration readPause{};
  // Called with the body received so far after each read; the client
  // disconnects when it returns false.
  std::function<bool(const std::string&)> onBody;
};

// The response, complete or not.
struct Reply
{
  // 0 if no response header was received.
  unsigned status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
  // True if the whole message was received as its HTTP framing states; false if
  // the connection ended early.
  bool isComplete = false;
  bool isTimeout = false;
  bool isConnected = false;
  // The whole request was written to the connection.
  bool isSent = false;
  // Why the response is not complete.
  std::string error;
};

// A client with one connection, which is reused while the server keeps it alive
// and opened again after an incomplete response.
class HttpClient
{
public:
  explicit HttpClient(Address aAddress);

  // Sends a request and reads its response; failures are reported in the Reply.
  Reply Send(const Call& aCall);

  // Returns whether a connection is kept for the next request.
  bool IsConnected() const { return this->stream.has_value(); }
  // Closes the kept connection if the server has closed it.
  void DropClosed();

private:
  bool Connect(Duration aTimeout);
  void Exchange(const Call& aCall, Reply& aReply);
  boost::beast::error_code WritePieces(
    const Call& aCall,
    const boost::beast::http::request<boost::beast::http::string_body>&
      aRequest);

  Address address;
  boost::asio::io_context io;
  std::optional<boost::beast::tcp_stream> stream;
  boost::beast::flat_buffer buffer;
};

// Sends a request on a new connection.
Reply
Send(const Address& aAddress, const Call& aCall);

// Sends bytes on a new connection and keeps it open until aIsDone is set.
// Returns early if the other side closes it before it has read all of them.
void
SendPart(const Address& aAddress,
         const std::string& aBytes,
         const std::atomic<bool>& aIsDone);

} // namespace lycheestand::faults

#endif
