#ifndef LYCHEESTAND_NET_TEST_NET_FIXTURE_H
#define LYCHEESTAND_NET_TEST_NET_FIXTURE_H

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <caf/actor_system_config.hpp>
#include <caf/scheduler/test_coordinator.hpp>
#include <caf/send.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <lycheestand/net.h>
#include <optional>
#include <sodium.h>
#include <thread>

namespace lycheestand::net {

// Runs tasks on a simulated clock that advances only when the test says so.
class NetFixture
{
public:
  NetFixture()
    : system(Configure(this->config))
    , runtime{ &this->system, &this->io }
    , pool(SpawnConnectionPool(this->runtime))
  {
    REQUIRE(sodium_init() >= 0);
  }

  ~NetFixture()
  {
    for (const auto& task : this->started) {
      caf::anon_send_exit(task, caf::exit_reason::kill);
    }
    caf::anon_send_exit(this->pool, caf::exit_reason::kill);
    this->pool = nullptr;
    this->started.clear();
    for (int i = 0; i < 20; ++i) {
      this->io.poll();
      this->Coordinator().run();
      this->io.restart();
    }
    this->system.await_actors_before_shutdown(false);
  }

  // Runs I/O and tasks until the condition holds; fails the test after at least
  // 10 seconds of real time.
  void RunUntil(const std::function<bool()>& aCondition)
  {
    for (int i = 0; i < 20000; ++i) {
      this->io.poll();
      this->io.restart();
      this->Coordinator().run();
      if (aCondition()) {
        return;
      }
      std::this_thread::sleep_for(std::chrono::microseconds(500));
    }
    FAIL("the condition was not met within the time limit");
  }

  // Advances the clock in steps of 500 ms, so that periodic checks run in
  // order.
  void Advance(Duration aTime)
  {
    constexpr Duration kStep = std::chrono::milliseconds(500);
    for (Duration done{}; done < aTime; done += kStep) {
      this->Coordinator().advance_time(kStep);
      this->io.poll();
      this->io.restart();
      this->Coordinator().run();
    }
  }

  caf::scheduler::test_coordinator& Coordinator()
  {
    return dynamic_cast<caf::scheduler::test_coordinator&>(
      this->system.scheduler());
  }

  // Returns a local address with a port that was free when it was checked.
  static Address FreeAddress()
  {
    boost::asio::io_context probe;
    boost::asio::ip::tcp::acceptor acceptor(
      probe, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    return { "127.0.0.1", acceptor.local_endpoint().port() };
  }

  // Starts an HTTP server and returns its address.
  Address Serve(HttpHandler aHandler, HttpServerOptions aOptions = {})
  {
    Address address = FreeAddress();
    auto server = SpawnHttpServer(
      this->runtime, this->pool, address, aOptions, std::move(aHandler));
    REQUIRE(server.has_value());
    this->started.push_back(server.value());
    return address;
  }

  caf::actor_system_config config;
  boost::asio::io_context io;
  caf::actor_system system;
  Runtime runtime;
  caf::actor pool;
  std::vector<caf::actor> started;

private:
  static caf::actor_system_config& Configure(caf::actor_system_config& aConfig)
  {
    aConfig.set("scheduler.policy", caf::atom("testing"));
    return aConfig;
  }
};

// An endpoint with a plain socket that can send any bytes at any time.
class RawEndpoint
{
public:
  // aReceiveBuffer limits the bytes that the system takes for the endpoint
  // while it does not read.
  explicit RawEndpoint(std::optional<int> aReceiveBuffer = {})
    : acceptor(this->io, boost::asio::ip::tcp::v4())
    , socket(this->io)
  {
    // Accepted connections inherit the size. It must be set before they are
    // opened, since a window that was announced does not shrink.
    if (aReceiveBuffer) {
      this->acceptor.set_option(
        boost::asio::socket_base::receive_buffer_size(*aReceiveBuffer));
    }
    this->acceptor.bind({ boost::asio::ip::make_address("127.0.0.1"), 0 });
    this->acceptor.listen();
    this->acceptor.non_blocking(true);
  }

  Address GetAddress() const
  {
    return { "127.0.0.1", this->acceptor.local_endpoint().port() };
  }

  // Accepts a pending connection; returns false if there is none.
  bool Accept()
  {
    boost::system::error_code error;
    boost::asio::ip::tcp::socket next(this->io);
    this->acceptor.accept(next, error);
    if (!error) {
      this->socket = std::move(next);
    }
    return !error;
  }

  void Send(const std::string& aText)
  {
    boost::asio::write(this->socket, boost::asio::buffer(aText));
  }

  // Returns whether the bytes that were received on the connection contain a
  // text.
  bool HasReceived(const std::string& aText)
  {
    this->ReadAvailable();
    return this->received.find(aText) != std::string::npos;
  }

  // Returns whether bytes have arrived on the connection; reads none of them.
  bool HasUnread() const { return this->socket.available() > 0; }

  // Returns whether the other side has closed the connection.
  bool IsClosed()
  {
    this->ReadAvailable();
    return this->readError != boost::asio::error::would_block;
  }

  void Close() { this->socket.close(); }

  // Ends the endpoint's side of the connection; it can still read.
  void CloseSendingSide()
  {
    this->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
  }

  // Closes the connection with a reset.
  void Reset()
  {
    this->socket.set_option(boost::asio::socket_base::linger(true, 0));
    this->socket.close();
  }

  // Returns the number of bytes received on all connections.
  std::size_t CountReceived()
  {
    this->ReadAvailable();
    return this->received.size();
  }

private:
  void ReadAvailable()
  {
    std::array<char, 4096> bytes{};
    this->socket.non_blocking(true);
    this->readError = {};
    while (!this->readError) {
      auto size =
        this->socket.read_some(boost::asio::buffer(bytes), this->readError);
      this->received.append(bytes.data(), size);
    }
  }

  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::ip::tcp::socket socket;
  std::string received;
  boost::system::error_code readError;
};

// An HTTP client with a plain socket, for tests of the exact bytes on the
// connection.
class RawCaller
{
public:
  explicit RawCaller(const Address& aAddress)
    : socket(this->io)
  {
    this->socket.connect(
      { boost::asio::ip::make_address(aAddress.host), aAddress.port });
    this->socket.non_blocking(true);
  }

  void Send(const std::string& aText)
  {
    boost::asio::write(this->socket, boost::asio::buffer(aText));
  }

  // Sends what can be sent at once; returns the number of bytes.
  std::size_t SendSome(std::string_view aText)
  {
    boost::system::error_code ignored;
    return this->socket.write_some(
      boost::asio::buffer(aText.data(), aText.size()), ignored);
  }

  // Reads the available bytes; returns all bytes received so far.
  const std::string& Received()
  {
    char bytes[4096];
    boost::system::error_code error;
    for (;;) {
      std::size_t count =
        this->socket.read_some(boost::asio::buffer(bytes), error);
      if (error) {
        this->isClosed = error != boost::asio::error::would_block;
        return this->text;
      }
      this->text.append(bytes, count);
    }
  }

  bool IsClosed()
  {
    this->Received();
    return this->isClosed;
  }

  void Close() { this->socket.close(); }

  // Closes the connection with a reset.
  void Reset()
  {
    this->socket.set_option(boost::asio::socket_base::linger(true, 0));
    this->socket.close();
  }

private:
  boost::asio::io_context io;
  boost::asio::ip::tcp::socket socket;
  std::string text;
  bool isClosed = false;
};

// A task that a test uses to make calls.
class CallerTask : public IoTask
{
public:
  using IoTask::IoTask;
};

} // namespace lycheestand::net

#endif
