// Stand-in for the platform's weight store: serves GET /weights/NAME at a rate
// limit that all downloads share.

#include "standin.h"

#include <tclap/CmdLine.h>

namespace lycheestand::standins {

namespace {

// Requests the delay after which a chunk may be sent, in units of Duration.
struct ReserveBytes
{
  std::int64_t bytes = 0;
};

} // namespace

} // namespace lycheestand::standins

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::standins::ReserveBytes)

namespace lycheestand::standins {

namespace {

constexpr std::int64_t kChunkBytes = 64 * 1024;

// Rate limiter that serves downloads in the order of their requests.
class RateLimiter : public net::IoTask
{
public:
  RateLimiter(caf::actor_config& aConfig,
              net::Runtime aRuntime,
              std::int64_t aBytesPerSecond)
    : net::IoTask(aConfig, aRuntime)
    , bytesPerSecond(aBytesPerSecond)
  {
  }

protected:
  caf::message_handler Handlers() override
  {
    return { [this](ReserveBytes& aReserve) {
      auto now = net::Now(this->GetRuntime());
      this->nextSendTime = std::max(this->nextSendTime, now) +
                           std::chrono::microseconds(aReserve.bytes * 1000000 /
                                                     this->bytesPerSecond);
      return static_cast<std::int64_t>((this->nextSendTime - now).count());
    } };
  }

private:
  std::int64_t bytesPerSecond;
  TimePoint nextSendTime{};
};

// Sends the remaining bytes of a file chunk by chunk.
void
SendRemaining(const caf::actor& aLimiter,
              const net::ExchangePtr& aExchange,
              std::int64_t aRemaining)
{
  if (aRemaining == 0) {
    aExchange->EndStream();
    return;
  }
  auto size = std::min(aRemaining, kChunkBytes);
  aExchange->Task()
    .request(aLimiter, caf::infinite, ReserveBytes{ size })
    .then([=](std::int64_t aWait) {
      aExchange->Task().After(Duration(aWait), [=] {
        aExchange->WriteStream(
          std::string(static_cast<std::size_t>(size), 'w'),
          [=] { SendRemaining(aLimiter, aExchange, aRemaining - size); });
      });
    });
}

} // namespace

} // namespace lycheestand::standins

int
main(int aCount, char** aArguments)
{
  using namespace lycheestand;
  TCLAP::CmdLine line("Stand-in for the weight store");
  TCLAP::ValueArg<std::string> address(
    "a", "address", "host:port", true, "", "address", line);
  TCLAP::ValueArg<std::int64_t> size(
    "", "size-bytes", "size of each file", false, 1 << 24, "n", line);
  TCLAP::ValueArg<std::int64_t> rate("",
                                     "bytes-per-second",
                                     "rate of all downloads together",
                                     false,
                                     1 << 24,
                                     "n",
                                     line);
  line.parse(aCount, aArguments);
  return standins::RunStandin(
    "weights",
    ParseAddress(address.getValue()).value(),
    [&](const net::Runtime& aRuntime, const caf::actor&) -> net::HttpHandler {
      auto limiter = aRuntime.system->spawn<standins::RateLimiter>(
        aRuntime, rate.getValue());
      return
        [limiter, bytes = size.getValue()](const net::ExchangePtr& aExchange) {
          if (!aExchange->Request().target.starts_with("/weights/")) {
            aExchange->Respond({ 404, {}, "" });
            return;
          }
          aExchange->StartStream(
            200, { { "Content-Type", "application/octet-stream" } });
          standins::SendRemaining(limiter, aExchange, bytes);
        };
    });
}
