#include "caller_flood.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>

namespace lycheestand::faults {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

// One request on its own connection. It ends by itself: with the first bytes of
// an answer, with the connection, or when the caller's patience ends.
class FloodRequest : public std::enable_shared_from_this<FloodRequest>
{
public:
  FloodRequest(asio::io_context& aIo, std::string aText, FloodResult& aResult)
    : socket(aIo)
    , timer(aIo)
    , text(std::move(aText))
    , result(aResult)
  {
  }

  void Start(const tcp::endpoint& aEndpoint, Duration aPatience)
  {
    auto self = this->shared_from_this();
    this->timer.expires_after(aPatience);
    this->timer.async_wait([self](ErrorCode aError) {
      if (!aError) {
        self->End(self->result.gaveUp);
      }
    });
    this->socket.async_connect(aEndpoint, [self](ErrorCode aError) {
      if (aError) {
        self->End(self->result.refused);
      } else {
        self->Write();
      }
    });
  }

private:
  void Write()
  {
    auto self = this->shared_from_this();
    asio::async_write(this->socket,
                      asio::buffer(this->text),
                      [self](ErrorCode aError, std::size_t) {
                        if (aError) {
                          self->End(self->result.refused);
                        } else {
                          self->Read();
                        }
                      });
  }

  void Read()
  {
    auto self = this->shared_from_this();
    this->socket.async_read_some(
      asio::buffer(this->answer), [self](ErrorCode aError, std::size_t) {
        self->End(aError ? self->result.refused : self->result.answered);
      });
  }

  void End(int& aCount)
  {
    if (!this->isEnded) {
      this->isEnded = true;
      ++aCount;
      ErrorCode ignored;
      this->timer.cancel();
      this->socket.close(ignored);
    }
  }

  tcp::socket socket;
  asio::steady_timer timer;
  std::string text;
  FloodResult& result;
  std::array<char, 256> answer{};
  bool isEnded = false;
};

} // namespace

CallerFlood::CallerFlood(const Address& aAddress,
                         const std::string& aTarget,
                         int aRequestsPerSecond,
                         Duration aPatience)
  : endpoint(asio::ip::make_address(aAddress.host), aAddress.port)
  , target(aTarget)
  , interval(std::chrono::nanoseconds(1s) / aRequestsPerSecond)
  , patience(aPatience)
  , timer(this->io)
{
  this->timer.expires_after(0s);
  this->SendNext();
  this->thread = std::thread([this] { this->io.run(); });
}

CallerFlood::~CallerFlood()
{
  this->Stop();
}

FloodResult
CallerFlood::Stop()
{
  if (this->thread.joinable()) {
    this->io.stop();
    this->thread.join();
  }
  return this->result;
}

// The timer's expiry is advanced rather than set anew, so that requests that
// are late do not lower the rate.
void
CallerFlood::SendNext()
{
  this->timer.async_wait([this](ErrorCode aError) {
    if (aError) {
      return;
    }
    std::string text = "GET " + this->target +
                       " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: f" +
                       std::to_string(++this->sent) + "\r\n\r\n";
    std::make_shared<FloodRequest>(this->io, std::move(text), this->result)
      ->Start(this->endpoint, this->patience);
    this->timer.expires_at(this->timer.expiry() + this->interval);
    this->SendNext();
  });
}

} // namespace lycheestand::faults
