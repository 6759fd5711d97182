#ifndef LYCHEESTAND_TEST_STANDINS_PROXY_LINK_H
#define LYCHEESTAND_TEST_STANDINS_PROXY_LINK_H

// One listen->target pair of the fault-injecting proxy.

#include <array>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/write.hpp>
#include <lycheestand/net.h>
#include <set>

namespace lycheestand::standins {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

// Faults in force on a link. Forward is from the caller to the target.
struct LinkFaults
{
  // Open connections are closed and new ones refused.
  bool isCut = false;
  // Bytes are held in that direction. They are delivered after the fault, as
  // TCP resends what a partition has lost.
  bool holdsForward = false;
  bool holdsBackward = false;
  Duration delay{};
  // Closes a connection after so many bytes from its target; 0 for never.
  std::size_t closeAfter = 0;
  // Connections that closeAfter still applies to.
  int closeTimes = 0;
};

// Counts of a link, for the test.
struct LinkCounts
{
  std::uint64_t accepted = 0;
  std::uint64_t forwardBytes = 0;
  std::uint64_t backwardBytes = 0;
  std::uint64_t closedMidStream = 0;
};

// What the connections of a link share; used only inside the proxy's task.
struct LinkState
{
  net::IoTask* task = nullptr;
  Address target;
  LinkFaults faults;
  LinkCounts counts;
};

// One connection through the proxy.
class ProxyConnection : public std::enable_shared_from_this<ProxyConnection>
{
public:
  ProxyConnection(std::shared_ptr<LinkState> aState, tcp::socket aCaller)
    : state(std::move(aState))
    , caller(std::move(aCaller))
    , target(*this->state->task->GetRuntime().io)
  {
    this->forward = { &this->caller, &this->target, true };
    this->backward = { &this->target, &this->caller, false };
  }

  bool IsClosed() const { return this->isClosed; }

  // Connects, or goes on with what was held, as the faults allow.
  void Advance()
  {
    const auto& faults = this->state->faults;
    if (this->isClosed) {
      return;
    }
    if (faults.isCut) {
      this->Close();
      return;
    }
    if (!this->isConnecting) {
      // A handshake needs both directions.
      if (!faults.holdsForward && !faults.holdsBackward) {
        this->Connect();
      }
      return;
    }
    if (this->isConnected) {
      this->Resume(this->forward);
      this->Resume(this->backward);
    }
  }

  void Close()
  {
    this->isClosed = true;
    ErrorCode ignored;
    this->caller.close(ignored);
    this->target.close(ignored);
  }

private:
  // One direction. It holds at most one piece, which was read or not.
  struct Pump
  {
    tcp::socket* from = nullptr;
    tcp::socket* to = nullptr;
    bool isForward = false;
    bool isWaiting = true;
    std::size_t size = 0;
    bool isEnded = false;
    std::array<char, 16384> bytes;
  };

  template<class Handler>
  auto Bind(Handler aHandler)
  {
    return asio::bind_executor(
      this->state->task->Executor(),
      [self = this->shared_from_this(),
       handler = std::move(aHandler)](const ErrorCode& aError, auto... aRest) {
        if (!self->isClosed) {
          handler(aError, aRest...);
        }
      });
  }

  void Connect()
  {
    this->isConnecting = true;
    const auto& address = this->state->target;
    this->target.async_connect(
      { asio::ip::make_address(address.host), address.port },
      this->Bind([this](const ErrorCode& aError) {
        if (aError) {
          this->Close();
          return;
        }
        ErrorCode ignored;
        this->caller.set_option(tcp::no_delay(true), ignored);
        this->target.set_option(tcp::no_delay(true), ignored);
        this->isConnected = true;
        this->Advance();
      }));
  }

  bool Holds(const Pump& aPump) const
  {
    const auto& faults = this->state->faults;
    return aPump.isForward ? faults.holdsForward : faults.holdsBackward;
  }

  void Resume(Pump& aPump)
  {
    if (!aPump.isWaiting || this->Holds(aPump)) {
      return;
    }
    aPump.isWaiting = false;
    if (aPump.isEnded) {
      this->Close();
    } else if (aPump.size > 0) {
      this->Write(aPump);
    } else {
      this->Read(aPump);
    }
  }

  void Read(Pump& aPump)
  {
    aPump.from->async_read_some(
      asio::buffer(aPump.bytes),
      this->Bind([this, &aPump](const ErrorCode& aError, std::size_t aSize) {
        aPump.size = aSize;
        aPump.isEnded = aError.failed();
        auto delay = this->state->faults.delay;
        if (delay == Duration{}) {
          aPump.isWaiting = true;
          this->Resume(aPump);
          return;
        }
        this->state->task->After(
          delay, [this, self = this->shared_from_this(), &aPump] {
            aPump.isWaiting = true;
            if (!this->isClosed) {
              this->Resume(aPump);
            }
          });
      }));
  }

  void Write(Pump& aPump)
  {
    auto& counts = this->state->counts;
    (aPump.isForward ? counts.forwardBytes : counts.backwardBytes) +=
      aPump.size;
    bool isLast = !aPump.isForward && this->IsLastPiece(aPump);
    asio::async_write(
      *aPump.to,
      asio::buffer(aPump.bytes.data(), aPump.size),
      this->Bind([this, &aPump, isLast](const ErrorCode& aError, std::size_t) {
        if (aError || isLast) {
          this->Close();
          return;
        }
        aPump.size = 0;
        aPump.isWaiting = true;
        this->Resume(aPump);
      }));
  }

  // Shortens the piece at which a connection is to be closed.
  bool IsLastPiece(Pump& aPump)
  {
    auto& faults = this->state->faults;
    this->fromTarget += aPump.size;
    if (faults.closeAfter == 0 || faults.closeTimes == 0 ||
        this->fromTarget < faults.closeAfter) {
      return false;
    }
    aPump.size -= std::min(aPump.size, this->fromTarget - faults.closeAfter);
    --faults.closeTimes;
    ++this->state->counts.closedMidStream;
    return true;
  }

  std::shared_ptr<LinkState> state;
  tcp::socket caller;
  tcp::socket target;
  Pump forward;
  Pump backward;
  std::size_t fromTarget = 0;
  bool isConnecting = false;
  bool isConnected = false;
  bool isClosed = false;
};

// Accepts the connections of one link.
class ProxyLink
{
public:
  ProxyLink(net::IoTask& aTask, const Address& aListen, const Address& aTarget)
    : state(std::make_shared<LinkState>(LinkState{ &aTask, aTarget }))
    , endpoint(asio::ip::make_address(aListen.host), aListen.port)
    , acceptor(*aTask.GetRuntime().io, this->endpoint)
  {
    this->Accept();
  }

  const LinkCounts& Counts() const { return this->state->counts; }
  const LinkFaults& Faults() const { return this->state->faults; }

  void SetFaults(const LinkFaults& aFaults)
  {
    this->state->faults = aFaults;
    if (aFaults.isCut && this->acceptor.is_open()) {
      this->acceptor.close();
    } else if (!aFaults.isCut && !this->acceptor.is_open()) {
      this->acceptor =
        tcp::acceptor(*this->state->task->GetRuntime().io, this->endpoint);
      this->Accept();
    }
    auto all = this->connections;
    for (const auto& connection : all) {
      connection->Advance();
    }
  }

private:
  void Accept()
  {
    this->acceptor.async_accept(asio::bind_executor(
      this->state->task->Executor(),
      [this](const ErrorCode& aError, tcp::socket aSocket) {
        if (aError == asio::error::operation_aborted) {
          return;
        }
        if (!aError) {
          ++this->state->counts.accepted;
          std::erase_if(this->connections, [](const auto& aConnection) {
            return aConnection->IsClosed();
          });
          auto connection =
            std::make_shared<ProxyConnection>(this->state, std::move(aSocket));
          this->connections.insert(connection);
          connection->Advance();
        }
        this->Accept();
      }));
  }

  std::shared_ptr<LinkState> state;
  tcp::endpoint endpoint;
  tcp::acceptor acceptor;
  std::set<std::shared_ptr<ProxyConnection>> connections;
};

} // namespace lycheestand::standins

#endif
