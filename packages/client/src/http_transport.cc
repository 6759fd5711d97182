#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <lycheestand/client.h>

namespace lycheestand::client {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = boost::asio::ip::tcp;

// The largest responses are the configuration history and dumps.
constexpr std::size_t kMaxResponseBytes = 256 * 1024 * 1024;

// A connection for one request. Beast applies timeouts only to asynchronous
// operations, so each step is started asynchronously and the I/O context is run
// until it ends.
class SingleRequestConnection
{
public:
  explicit SingleRequestConnection(Duration aTimeout)
    : stream(this->io)
  {
    this->stream.expires_after(aTimeout);
  }

  Result<AdminResponse, SendFailure> Send(const Address& aAddress,
                                          const AdminRequest& aRequest)
  {
    boost::system::error_code error;
    auto host = boost::asio::ip::make_address(aAddress.host, error);
    if (error || !this->Connect({ host, aAddress.port })) {
      return SendFailure::NotSent;
    }
    http::request<http::string_body> request;
    request.method_string(aRequest.method);
    request.target(aRequest.target);
    request.version(11);
    request.set(http::field::host, ToString(aAddress));
    request.set(http::field::authorization, "Bearer " + aRequest.bearer);
    request.set(http::field::content_type, "application/json");
    request.set(http::field::connection, "close");
    request.body() = aRequest.body;
    request.prepare_payload();
    return this->Exchange(request);
  }

private:
  bool Connect(const Tcp::endpoint& aEndpoint)
  {
    bool isOpen = false;
    this->stream.async_connect(
      aEndpoint, [&](boost::system::error_code aError) { isOpen = !aError; });
    this->RunToCompletion();
    return isOpen;
  }

  Result<AdminResponse, SendFailure> Exchange(
    const http::request<http::string_body>& aRequest)
  {
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMaxResponseBytes);
    bool isRead = false;
    http::async_write(this->stream,
                      aRequest,
                      [&](boost::system::error_code aError, std::size_t) {
                        if (aError) {
                          return;
                        }
                        http::async_read(
                          this->stream,
                          buffer,
                          parser,
                          [&](boost::system::error_code aReadError,
                              std::size_t) { isRead = !aReadError; });
                      });
    this->RunToCompletion();
    if (!isRead) {
      return SendFailure::NoAnswer;
    }
    return AdminResponse{ parser.get().result_int(),
                          std::move(parser.get().body()) };
  }

  void RunToCompletion()
  {
    this->io.restart();
    this->io.run();
  }

  boost::asio::io_context io;
  beast::tcp_stream stream;
};

} // namespace

Transport
MakeHttpTransport(Duration aTimeout)
{
  return [aTimeout](const Address& aAddress, const AdminRequest& aRequest) {
    return SingleRequestConnection(aTimeout).Send(aAddress, aRequest);
  };
}

} // namespace lycheestand::client
