#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <lycheestand/client.h>

namespace lycheestand::client {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = boost::asio::ip::tcp;

// Largest answer: a history of configurations or a dump.
constexpr std::size_t kMaxAnswerBytes = 256 * 1024 * 1024;

// One connection for one request. Beast's timeouts hold for asynchronous
// operations only, so each step is started and run to its end here.
class OneRequest
{
public:
  explicit OneRequest(Duration aTimeout)
    : stream(this->io)
  {
    this->stream.expires_after(aTimeout);
  }

  Result<AdminAnswer, SendFailure> Send(const Address& aAddress,
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
    this->RunAll();
    return isOpen;
  }

  Result<AdminAnswer, SendFailure> Exchange(
    const http::request<http::string_body>& aRequest)
  {
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMaxAnswerBytes);
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
    this->RunAll();
    if (!isRead) {
      return SendFailure::NoAnswer;
    }
    return AdminAnswer{ parser.get().result_int(),
                        std::move(parser.get().body()) };
  }

  void RunAll()
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
    return OneRequest(aTimeout).Send(aAddress, aRequest);
  };
}

} // namespace lycheestand::client
