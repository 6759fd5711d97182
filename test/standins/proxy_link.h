#ifndef LYCHEESTAND_TEST_STANDINS_PROXY_LINK_H
#define LYCHEESTAND_TEST_STANDINS_PROXY_LINK_H

// A link of the fault-injecting proxy: a listening address and its target.

#include <array>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/write.hpp>
#include <lycheestand/net.h>
#include <set>

namespace lycheestand::standins {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

// Active faults of a link. Forward is from the caller to the target.
struct LinkFaults
{
  // Open connections are closed and new ones refused.
  bool isCut = false;
  // Bytes in that direction are held and delivered after the fault, as TCP
  // retransmits after a partition.
  bool holdsForward = false;
  bool holdsBackward = false;
  Duration delay{};
  // Bytes from the target after which a connection is closed; 0 for never.
  std::size_t closeAfterBytes = 0;
  // Number of connections that closeAfterBytes still applies to.
  int remainingCloses = 0;
};

// Counters of a link.
struct LinkCounts
{
  std::uint64_t accepted = 0;
  std::uint64_t forwardBytes = 0;
  std::uint64_t backwardBytes = 0;
  std::uint64_t closedMidStream = 0;
};

// State shared by the connections of a link; accessed only by the proxy's task.
struct LinkState
{
  net::IoTask* task = nullptr;
  Address target;
  LinkFaults faults;
  LinkCounts counts;
};

// A connection through the proxy.
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

  // Closes, connects, or resumes held transfers, as the active faults require.
  void ApplyFaults()
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
  // One direction of the connection. It alternates between a read and a write;
  // isIdle while neither is pending.
  struct Relay
  {
    tcp::socket* from = nullptr;
    tcp::socket* to = nullptr;
    bool isForward = false;
    bool isIdle = true;
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
        this->ApplyFaults();
      }));
  }

  bool IsHeld(const Relay& aRelay) const
  {
    const auto& faults = this->state->faults;
    return aRelay.isForward ? faults.holdsForward : faults.holdsBackward;
  }

  void Resume(Relay& aRelay)
  {
    if (!aRelay.isIdle || this->IsHeld(aRelay)) {
      return;
    }
    aRelay.isIdle = false;
    if (aRelay.isEnded) {
      this->Close();
    } else if (aRelay.size > 0) {
      this->Write(aRelay);
    } else {
      this->Read(aRelay);
    }
  }

  void Read(Relay& aRelay)
  {
    aRelay.from->async_read_some(
      asio::buffer(aRelay.bytes),
      this->Bind([this, &aRelay](const ErrorCode& aError, std::size_t aSize) {
        aRelay.size = aSize;
        aRelay.isEnded = aError.failed();
        auto delay = this->state->faults.delay;
        if (delay == Duration{}) {
          aRelay.isIdle = true;
          this->Resume(aRelay);
          return;
        }
        this->state->task->After(
          delay, [this, self = this->shared_from_this(), &aRelay] {
            aRelay.isIdle = true;
            if (!this->isClosed) {
              this->Resume(aRelay);
            }
          });
      }));
  }

  void Write(Relay& aRelay)
  {
    auto& counts = this->state->counts;
    (aRelay.isForward ? counts.forwardBytes : counts.backwardBytes) +=
      aRelay.size;
    bool isLast = !aRelay.isForward && this->TruncateAtCloseLimit(aRelay);
    asio::async_write(
      *aRelay.to,
      asio::buffer(aRelay.bytes.data(), aRelay.size),
      this->Bind([this, &aRelay, isLast](const ErrorCode& aError, std::size_t) {
        if (aError || isLast) {
          this->Close();
          return;
        }
        aRelay.size = 0;
        aRelay.isIdle = true;
        this->Resume(aRelay);
      }));
  }

  // Counts a chunk from the target. If it reaches the close limit, shortens it
  // to the limit and returns true; the connection is closed after it.
  bool TruncateAtCloseLimit(Relay& aRelay)
  {
    auto& faults = this->state->faults;
    this->bytesFromTarget += aRelay.size;
    if (faults.closeAfterBytes == 0 || faults.remainingCloses == 0 ||
        this->bytesFromTarget < faults.closeAfterBytes) {
      return false;
    }
    aRelay.size -=
      std::min(aRelay.size, this->bytesFromTarget - faults.closeAfterBytes);
    --faults.remainingCloses;
    ++this->state->counts.closedMidStream;
    return true;
  }

  std::shared_ptr<LinkState> state;
  tcp::socket caller;
  tcp::socket target;
  Relay forward;
  Relay backward;
  std::size_t bytesFromTarget = 0;
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
      connection->ApplyFaults();
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
          connection->ApplyFaults();
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
