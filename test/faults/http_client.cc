#include "http_client.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <sstream>
#include <sys/socket.h>
#include <thread>

namespace lycheestand::faults {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t kSlowReadBytes = 16 * 1024;

// Starts an asynchronous operation and runs the context until it completes.
template<class Start>
beast::error_code
RunOperation(boost::asio::io_context& aIo, const Start& aStart)
{
  beast::error_code result;
  aStart([&](beast::error_code aError, auto...) { result = aError; });
  aIo.restart();
  aIo.run();
  return result;
}

} // namespace

HttpClient::HttpClient(Address aAddress)
  : address(std::move(aAddress))
{
}

bool
HttpClient::Connect(Duration aTimeout)
{
  this->stream.emplace(this->io);
  this->buffer.clear();
  this->stream->expires_after(aTimeout);
  auto error = RunOperation(this->io, [&](auto aDone) {
    this->stream->async_connect(
      { boost::asio::ip::make_address(this->address.host), this->address.port },
      aDone);
  });
  if (error) {
    this->stream.reset();
    return false;
  }
  return true;
}

Reply
HttpClient::Send(const Call& aCall)
{
  Reply reply;
  if (!this->stream && !this->Connect(aCall.timeout)) {
    return reply;
  }
  reply.isConnected = true;
  this->stream->expires_after(aCall.timeout);
  this->Exchange(aCall, reply);
  return reply;
}

void
HttpClient::DropClosed()
{
  if (!this->stream) {
    return;
  }
  auto& socket = this->stream->socket();
  char byte = 0;
  auto received =
    ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (received == 0 || (received < 0 && errno != EAGAIN)) {
    this->stream.reset();
  }
}

beast::error_code
HttpClient::WritePieces(const Call& aCall,
                        const http::request<http::string_body>& aRequest)
{
  std::ostringstream text;
  text << aRequest.base() << aRequest.body();
  const std::string bytes = text.str();
  beast::error_code error;
  for (std::size_t sent = 0; !error && sent < bytes.size();
       sent += aCall.pieceBytes) {
    if (sent > 0) {
      std::this_thread::sleep_for(aCall.piecePause);
    }
    error = RunOperation(this->io, [&](auto aDone) {
      boost::asio::async_write(
        *this->stream,
        boost::asio::buffer(
          std::string_view(bytes).substr(sent, aCall.pieceBytes)),
        aDone);
    });
  }
  return error;
}

void
HttpClient::Exchange(const Call& aCall, Reply& aReply)
{
  http::request<http::string_body> request;
  request.method_string(aCall.method);
  request.target(aCall.target);
  request.version(11);
  request.set(http::field::host, ToString(this->address));
  for (const auto& [name, value] : aCall.headers) {
    request.set(name, value);
  }
  request.body() = aCall.body;
  request.prepare_payload();
  beast::error_code error;
  if (aCall.pieceBytes > 0) {
    error = this->WritePieces(aCall, request);
  } else {
    error = RunOperation(this->io, [&](auto aDone) {
      http::async_write(*this->stream, request, aDone);
    });
  }
  aReply.isSent = !error;
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  bool isAborted = false;
  if (aCall.readPause > Duration(0)) {
    // Otherwise a read takes some hundred bytes.
    this->buffer.reserve(kSlowReadBytes);
  }
  while (!error && !parser.is_done() && !isAborted) {
    std::this_thread::sleep_for(aCall.readPause);
    error = RunOperation(this->io, [&](auto aDone) {
      http::async_read_some(*this->stream, this->buffer, parser, aDone);
    });
    isAborted = aCall.onBody && parser.is_header_done() &&
                !aCall.onBody(parser.get().body());
  }
  aReply.isTimeout = error == beast::error::timeout;
  aReply.isComplete = !error && parser.is_done();
  aReply.error = error ? error.message() : "";
  if (parser.is_header_done()) {
    aReply.status = parser.get().result_int();
    for (const auto& field : parser.get()) {
      aReply.headers[std::string(field.name_string())] = field.value();
    }
    aReply.body = parser.get().body();
  }
  if (!aReply.isComplete || !parser.keep_alive()) {
    this->stream.reset();
  }
}

Reply
Send(const Address& aAddress, const Call& aCall)
{
  return HttpClient(aAddress).Send(aCall);
}

void
SendPart(const Address& aAddress,
         const std::string& aBytes,
         const std::atomic<bool>& aIsDone)
{
  constexpr Duration kCheckInterval = 20ms;
  boost::asio::io_context io;
  boost::asio::ip::tcp::socket socket(io);
  boost::system::error_code error;
  socket.connect(
    { boost::asio::ip::make_address(aAddress.host), aAddress.port }, error);
  socket.non_blocking(true, error);
  std::size_t sent = 0;
  while (!aIsDone) {
    sent += socket.write_some(
      boost::asio::buffer(aBytes.data() + sent, aBytes.size() - sent), error);
    if (error && error != boost::asio::error::would_block) {
      return;
    }
    if (error || sent == aBytes.size()) {
      std::this_thread::sleep_for(kCheckInterval);
    }
  }
}

} // namespace lycheestand::faults
