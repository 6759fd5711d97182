#include "replica_pool.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <fcntl.h>
#include <future>
#include <optional>
#include <set>

namespace lycheestand::faults {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using asio::ip::tcp;

namespace {

constexpr std::uint16_t kReplicaPort = 8080;
constexpr std::uint16_t kListPort = 8223;
constexpr const char* kDefaultVersion = "v1";

// Receive buffer of a replica that answers before it reads the body, and the
// one with which it reads the rest. The small one is below a segment of the
// loopback device, and long requests are read too slowly with it.
constexpr int kSmallReceiveBuffer = 16 * 1024;
constexpr int kLargeReceiveBuffer = 1024 * 1024;

// Returns a listening socket that the processes of the fleet don't inherit:
// they would keep it open when the replica has closed it.
tcp::acceptor
Listen(asio::io_context& aIo, const std::string& aIp, std::uint16_t aPort)
{
  tcp::acceptor acceptor(aIo, { asio::ip::make_address(aIp), aPort });
  ::fcntl(acceptor.native_handle(), F_SETFD, FD_CLOEXEC);
  return acceptor;
}

std::string
ToLower(std::string aText)
{
  std::transform(
    aText.begin(), aText.end(), aText.begin(), [](unsigned char aChar) {
      return static_cast<char>(std::tolower(aChar));
    });
  return aText;
}

} // namespace

std::string
ReplicaRequest::Header(const std::string& aName) const
{
  auto found = this->headers.find(aName);
  return found == this->headers.end() ? "" : found->second;
}

// One replica: a listening socket and its connections.
class ReplicaPool::Replica : public std::enable_shared_from_this<Replica>
{
public:
  Replica(ReplicaPool& aPool,
          int aNumber,
          std::string aIp,
          std::string aVersion = kDefaultVersion)
    : pool(aPool)
    , number(aNumber)
    , ip(std::move(aIp))
    , version(std::move(aVersion))
    , acceptor(aPool.io)
    , timer(aPool.io)
  {
  }

  void Start();
  void Start(const std::string& aVersion);
  void Crash();
  void Stop();
  void Drain() { this->state = "draining"; }
  void Remove();
  bool IsListed() const { return this->isListed; }
  void Silence(Duration aTime)
  {
    this->silentUntil = std::max(this->silentUntil, Clock::now() + aTime);
  }
  Clock::time_point SilentUntil() const { return this->silentUntil; }

  // Returns the entry for the platform's list. Each start has an id of its own.
  json::object Entry(const std::string& aService) const
  {
    return { { "id", this->Id() },
             { "service", aService },
             { "address", this->ip + ":" + std::to_string(kReplicaPort) },
             { "zone", "z" + std::to_string(this->number % 3 + 1) },
             { "state", this->state },
             { "version", this->version } };
  }

  std::string Id() const
  {
    return "i-" + std::to_string(this->number) + "-" +
           std::to_string(this->starts);
  }

  int Number() const { return this->number; }
  ReplicaAnswer Choose(ReplicaRequest aRequest)
  {
    aRequest.instance = this->Id();
    aRequest.version = this->version;
    return this->pool.answer(this->number, aRequest);
  }
  asio::io_context& Io() { return this->pool.io; }
  bool AnswersEarly() const { return this->pool.answersEarly; }
  void Forget(const std::shared_ptr<Connection>& aConnection)
  {
    this->connections.erase(aConnection);
  }

private:
  void Accept();

  ReplicaPool& pool;
  int number;
  std::string ip;
  std::string version;
  std::string state = "ready";
  bool isListed = true;
  tcp::acceptor acceptor;
  asio::steady_timer timer;
  std::set<std::shared_ptr<Connection>> connections;
  int starts = 0;
  Clock::time_point silentUntil{};
};

// A connection to a replica, which serves one request at a time.
class ReplicaPool::Connection : public std::enable_shared_from_this<Connection>
{
public:
  Connection(std::shared_ptr<Replica> aReplica, tcp::socket aSocket)
    : replica(std::move(aReplica))
    , socket(std::move(aSocket))
    , timer(this->replica->Io())
    , answersEarly(this->replica->AnswersEarly())
  {
    beast::error_code ignored;
    this->socket.set_option(tcp::no_delay(true), ignored);
    if (this->answersEarly) {
      this->socket.set_option(
        asio::socket_base::receive_buffer_size(kSmallReceiveBuffer), ignored);
    }
  }

  void Read()
  {
    this->parser.emplace();
    this->parser->body_limit(boost::none);
    this->ReadMore();
  }

  void Close()
  {
    beast::error_code ignored;
    this->timer.cancel();
    this->socket.close(ignored);
    this->replica->Forget(this->shared_from_this());
  }

private:
  // Reads in parts, so that the system's buffer fills while the replica is
  // silent.
  void ReadMore()
  {
    auto self = this->shared_from_this();
    this->WhenAwake([self] {
      http::async_read_some(self->socket,
                            self->buffer,
                            *self->parser,
                            [self](beast::error_code aError, std::size_t) {
                              self->WhenAwake(
                                [self, aError] { self->HandleRead(aError); });
                            });
    });
  }

  void HandleRead(beast::error_code aError)
  {
    if (aError) {
      this->Close();
    } else if (this->parser->is_done() ||
               (this->answersEarly && this->parser->is_header_done())) {
      this->Handle();
    } else {
      this->ReadMore();
    }
  }

  // Runs the next step at once, or when the replica is no longer silent.
  void WhenAwake(std::function<void()> aStep)
  {
    auto until = this->replica->SilentUntil();
    if (Clock::now() >= until) {
      aStep();
      return;
    }
    auto self = this->shared_from_this();
    this->timer.expires_at(until);
    this->timer.async_wait(
      [self, step = std::move(aStep)](beast::error_code aError) {
        if (!aError) {
          self->WhenAwake(step);
        }
      });
  }

  void Handle()
  {
    const auto& message = this->parser->get();
    ReplicaRequest read;
    read.method = std::string(message.method_string());
    read.target = std::string(message.target());
    for (const auto& field : message) {
      read.headers[ToLower(std::string(field.name_string()))] =
        std::string(field.value());
    }
    read.body = message.body();
    std::string unasked = std::move(this->answer.nextHead);
    this->answer = this->replica->Choose(read);
    if (!unasked.empty()) {
      this->answer.pieces.insert(this->answer.pieces.begin(), unasked);
    }
    this->nextPiece = 0;
    this->WriteNext();
  }

  void WriteNext()
  {
    auto self = this->shared_from_this();
    bool isLast = this->nextPiece >= this->answer.pieces.size();
    if (isLast && this->answer.endless.empty()) {
      this->End();
      return;
    }
    this->timer.expires_after(this->answer.pause);
    this->timer.async_wait([self](beast::error_code aError) {
      if (!aError) {
        self->WhenAwake([self] { self->WritePiece(); });
      }
    });
  }

  void WritePiece()
  {
    auto self = this->shared_from_this();
    const auto& pieces = this->answer.pieces;
    asio::async_write(
      this->socket,
      asio::buffer(this->nextPiece < pieces.size() ? pieces[this->nextPiece]
                                                   : this->answer.endless),
      [self](beast::error_code aError, std::size_t) {
        self->WhenAwake([self, aError] { self->HandleWritten(aError); });
      });
  }

  void HandleWritten(beast::error_code aError)
  {
    if (aError) {
      this->Close();
    } else {
      ++this->nextPiece;
      this->WriteNext();
    }
  }

  void End()
  {
    beast::error_code ignored;
    switch (this->answer.end) {
      case ReplicaAnswer::End::Keep:
        this->SkipRest([self = this->shared_from_this()] { self->Read(); });
        return;
      case ReplicaAnswer::End::CloseAfterRequest:
        this->socket.shutdown(tcp::socket::shutdown_send, ignored);
        this->SkipRest([self = this->shared_from_this()] { self->Close(); });
        return;
      case ReplicaAnswer::End::Close:
        this->socket.shutdown(tcp::socket::shutdown_send, ignored);
        this->Close();
        return;
      case ReplicaAnswer::End::Reset:
        this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
        this->Close();
        return;
      case ReplicaAnswer::End::Crash:
        this->replica->Crash();
    }
  }

  // Reads the rest of a request that was answered early, and goes on.
  void SkipRest(const std::function<void()>& aNext)
  {
    if (this->parser->is_done()) {
      aNext();
      return;
    }
    beast::error_code ignored;
    this->socket.set_option(
      asio::socket_base::receive_buffer_size(kLargeReceiveBuffer), ignored);
    auto self = this->shared_from_this();
    http::async_read_some(this->socket,
                          this->buffer,
                          *this->parser,
                          [self, aNext](beast::error_code aError, std::size_t) {
                            if (aError) {
                              self->Close();
                            } else {
                              self->SkipRest(aNext);
                            }
                          });
  }

  std::shared_ptr<Replica> replica;
  tcp::socket socket;
  asio::steady_timer timer;
  bool answersEarly;
  beast::flat_buffer buffer;
  std::optional<http::request_parser<http::string_body>> parser;
  ReplicaAnswer answer;
  std::size_t nextPiece = 0;
};

void
ReplicaPool::Replica::Start()
{
  ++this->starts;
  this->acceptor = Listen(this->pool.io, this->ip, kReplicaPort);
  this->Accept();
}

void
ReplicaPool::Replica::Start(const std::string& aVersion)
{
  this->version = aVersion;
  this->state = "ready";
  this->isListed = true;
  this->Start();
}

void
ReplicaPool::Replica::Remove()
{
  this->timer.cancel();
  this->isListed = false;
  this->Stop();
}

void
ReplicaPool::Replica::Accept()
{
  auto self = this->shared_from_this();
  this->acceptor.async_accept(
    [self](beast::error_code aError, tcp::socket aSocket) {
      if (aError) {
        return;
      }
      auto connection = std::make_shared<Connection>(self, std::move(aSocket));
      self->connections.insert(connection);
      connection->Read();
      self->Accept();
    });
}

void
ReplicaPool::Replica::Stop()
{
  beast::error_code ignored;
  this->acceptor.close(ignored);
  auto open = std::move(this->connections);
  this->connections.clear();
  for (const auto& connection : open) {
    connection->Close();
  }
}

void
ReplicaPool::Replica::Crash()
{
  if (!this->isListed) {
    return;
  }
  this->Stop();
  auto self = this->shared_from_this();
  this->timer.expires_after(this->pool.downTime);
  this->timer.async_wait([self](beast::error_code aError) {
    if (!aError && self->isListed) {
      self->Start();
    }
  });
}

// Serves the platform's list. It shows a replica that has crashed until it is
// back under another id, as the platform's does for some seconds.
class ReplicaPool::ListServer : public std::enable_shared_from_this<ListServer>
{
public:
  ListServer(ReplicaPool& aPool, const std::string& aIp, std::string aService)
    : pool(aPool)
    , service(std::move(aService))
    , acceptor(Listen(aPool.io, aIp, kListPort))
  {
  }

  Address GetAddress() const
  {
    return { this->acceptor.local_endpoint().address().to_string(), kListPort };
  }

  void Accept()
  {
    auto self = this->shared_from_this();
    this->acceptor.async_accept(
      [self](beast::error_code aError, tcp::socket aSocket) {
        if (!aError) {
          self->Answer(std::make_shared<tcp::socket>(std::move(aSocket)));
          self->Accept();
        }
      });
  }

private:
  void Answer(const std::shared_ptr<tcp::socket>& aSocket)
  {
    auto buffer = std::make_shared<beast::flat_buffer>();
    auto request = std::make_shared<http::request<http::string_body>>();
    auto self = this->shared_from_this();
    http::async_read(
      *aSocket,
      *buffer,
      *request,
      [self, aSocket, buffer, request](beast::error_code aError, std::size_t) {
        if (aError) {
          return;
        }
        auto text = std::make_shared<std::string>(self->Format());
        asio::async_write(*aSocket,
                          asio::buffer(*text),
                          [aSocket, text](beast::error_code, std::size_t) {});
      });
  }

  std::string Format() const
  {
    json::array entries;
    for (const auto& replica : this->pool.replicas) {
      if (!replica->IsListed()) {
        continue;
      }
      json::object entry = replica->Entry(this->service);
      if (this->pool.entryMembers) {
        for (auto& member : this->pool.entryMembers(replica->Number())) {
          entry.insert_or_assign(member.key(), member.value());
          if (member.value().is_null()) {
            entry.erase(member.key());
          }
        }
      }
      entries.push_back(std::move(entry));
    }
    std::string body = json::serialize(
      json::object{ { "instances", entries }, { "next", nullptr } });
    return "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  ReplicaPool& pool;
  std::string service;
  tcp::acceptor acceptor;
};

ReplicaPool::ReplicaPool(const std::vector<std::string>& aReplicaIps,
                         const std::string& aListIp,
                         const std::string& aService,
                         Duration aDownTime,
                         Answer aAnswer)
  : work(this->io.get_executor())
  , downTime(aDownTime)
  , answer(std::move(aAnswer))
{
  for (const auto& ip : aReplicaIps) {
    auto number = static_cast<int>(this->replicas.size());
    this->replicas.push_back(std::make_shared<Replica>(*this, number, ip));
    this->replicas.back()->Start();
  }
  this->list = std::make_shared<ListServer>(*this, aListIp, aService);
  this->list->Accept();
  this->thread = std::thread([this] { this->io.run(); });
}

ReplicaPool::~ReplicaPool()
{
  this->io.stop();
  this->thread.join();
  for (const auto& replica : this->replicas) {
    replica->Stop();
  }
}

void
ReplicaPool::Silence(int aReplica, Duration aTime)
{
  asio::post(this->io, [this, aReplica, aTime] {
    this->replicas.at(static_cast<std::size_t>(aReplica))->Silence(aTime);
  });
}

int
ReplicaPool::Add(const std::string& aIp, const std::string& aVersion)
{
  std::promise<int> added;
  asio::post(this->io, [&] {
    auto number = static_cast<int>(this->replicas.size());
    this->replicas.push_back(
      std::make_shared<Replica>(*this, number, aIp, aVersion));
    this->replicas.back()->Start();
    added.set_value(number);
  });
  return added.get_future().get();
}

void
ReplicaPool::Change(int aReplica, const std::function<void(Replica&)>& aChange)
{
  std::promise<void> changed;
  asio::post(this->io, [&] {
    aChange(*this->replicas.at(static_cast<std::size_t>(aReplica)));
    changed.set_value();
  });
  changed.get_future().get();
}

void
ReplicaPool::Drain(int aReplica)
{
  this->Change(aReplica, [](Replica& aChanged) { aChanged.Drain(); });
}

void
ReplicaPool::Kill(int aReplica)
{
  this->Change(aReplica, [](Replica& aChanged) { aChanged.Crash(); });
}

void
ReplicaPool::Remove(int aReplica)
{
  this->Change(aReplica, [](Replica& aChanged) { aChanged.Remove(); });
}

void
ReplicaPool::Start(int aReplica, const std::string& aVersion)
{
  this->Change(aReplica,
               [&aVersion](Replica& aChanged) { aChanged.Start(aVersion); });
}

void
ReplicaPool::AnswerEarly()
{
  asio::post(this->io, [this] { this->answersEarly = true; });
}

void
ReplicaPool::SetEntryMembers(
  std::function<boost::json::object(int aReplica)> aHook)
{
  asio::post(this->io, [this, hook = std::move(aHook)]() mutable {
    this->entryMembers = std::move(hook);
  });
}

Address
ReplicaPool::ListAddress() const
{
  return this->list->GetAddress();
}

} // namespace lycheestand::faults
