#include "accept_loop.h"
#include "link_cipher.h"

#include <array>
#include <atomic>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <caf/send.hpp>
#include <deque>

namespace lycheestand::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

constexpr std::size_t kLengthBytes = 4;

// Number of timeout checks within one timeout; a timeout is noticed at most a
// fifth of it late.
constexpr int kTimeoutChecksPerLimit = 5;

LinkId
NextLinkId()
{
  static std::atomic<std::uint64_t> next{ 1 };
  return LinkId(next.fetch_add(1));
}

// Returns the 4-byte little-endian length of a frame.
std::array<unsigned char, kLengthBytes>
EncodeLength(std::size_t aLength)
{
  std::array<unsigned char, kLengthBytes> out{};
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    out[i] = static_cast<unsigned char>(aLength >> (8 * i));
  }
  return out;
}

std::size_t
DecodeLength(const std::array<unsigned char, kLengthBytes>& aBytes)
{
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length |= static_cast<std::size_t>(aBytes[i]) << (8 * i);
  }
  return length;
}

// Owns one TCP connection between two processes of the fleet. Both sides send a
// challenge, then a stream header, then encrypted frames. Each frame follows
// its length; the first one is empty and only proves the fleet key.
class Link : public IoTask
{
public:
  Link(caf::actor_config& aConfig,
       Runtime aRuntime,
       FleetKey aKey,
       LinkOptions aOptions,
       caf::actor aUser,
       LinkId aId,
       std::shared_ptr<tcp::socket> aSocket,
       Address aAddress)
    : IoTask(aConfig, aRuntime)
    , options(aOptions)
    , user(std::move(aUser))
    , id(aId)
    , socket(std::move(*aSocket))
    , address(std::move(aAddress))
    , isDialer(!this->socket.is_open())
    , cipher(aKey, this->isDialer)
  {
  }

  void on_exit() override
  {
    ErrorCode ignored;
    this->socket.close(ignored);
    this->send(this->user, LinkDown{ this->id, this->reason });
  }

protected:
  void Start() override
  {
    this->lastReceived = Now(this->GetRuntime());
    this->ScheduleTimeoutCheck();
    if (this->isDialer) {
      this->Connect();
    } else {
      this->SendChallenge();
    }
  }

  caf::message_handler Handlers() override
  {
    return {
      [this](LinkSend& aSend) { this->Send(aSend.body); },
      [this](LinkClose) { this->Fail("this process closed the link"); },
    };
  }

private:
  void ScheduleTimeoutCheck()
  {
    auto limit =
      this->isUp ? this->options.idleTimeout : this->options.connectTimeout;
    this->After(limit / kTimeoutChecksPerLimit, [this, limit] {
      if (Now(this->GetRuntime()) - this->lastReceived >= limit) {
        this->Fail("the peer sent no frame within the timeout");
        return;
      }
      this->ScheduleTimeoutCheck();
    });
  }

  void Connect()
  {
    ErrorCode error;
    auto ip = asio::ip::make_address(this->address.host, error);
    if (error) {
      this->Fail("\"" + this->address.host + "\" is not an IP address");
      return;
    }
    this->socket.async_connect(
      { ip, this->address.port },
      asio::bind_executor(this->Executor(), [this](ErrorCode aError) {
        if (aError) {
          this->Fail(aError.message());
          return;
        }
        this->SendChallenge();
      }));
  }

  // Sends this side's challenge and reads the peer's challenge.
  void SendChallenge()
  {
    ErrorCode ignored;
    this->socket.set_option(tcp::no_delay(true), ignored);
    this->Enqueue(this->cipher.Challenge());
    asio::async_read(this->socket,
                     asio::buffer(this->peerChallenge),
                     asio::bind_executor(this->Executor(),
                                         [this](ErrorCode aError, std::size_t) {
                                           if (aError) {
                                             this->Fail(aError.message());
                                             return;
                                           }
                                           this->SendProof();
                                         }));
  }

  // Sends the stream header and an empty frame, which prove that this side
  // holds the fleet key.
  void SendProof()
  {
    this->Enqueue(this->cipher.StartSending(this->peerChallenge));
    this->EnqueueFrame("");
    asio::async_read(this->socket,
                     asio::buffer(this->peerHeader),
                     asio::bind_executor(
                       this->Executor(), [this](ErrorCode aError, std::size_t) {
                         if (aError) {
                           this->Fail(aError.message());
                           return;
                         }
                         this->cipher.StartReceiving(this->peerHeader);
                         this->ReadLength();
                       }));
  }

  void ReadLength()
  {
    asio::async_read(
      this->socket,
      asio::buffer(this->lengthBytes),
      asio::bind_executor(
        this->Executor(), [this](ErrorCode aError, std::size_t) {
          if (aError) {
            this->Fail(aError.message());
            return;
          }
          std::size_t length = DecodeLength(this->lengthBytes);
          if (length > this->options.maxFrameBytes + LinkCipher::kOverhead) {
            this->Fail(
              "the peer sent a frame that is larger than the size limit");
            return;
          }
          this->ReadFrame(length);
        }));
  }

  void ReadFrame(std::size_t aLength)
  {
    this->incoming.resize(aLength);
    asio::async_read(this->socket,
                     asio::buffer(this->incoming),
                     asio::bind_executor(this->Executor(),
                                         [this](ErrorCode aError, std::size_t) {
                                           if (aError) {
                                             this->Fail(aError.message());
                                             return;
                                           }
                                           this->HandleFrame();
                                         }));
  }

  void HandleFrame()
  {
    auto body = this->cipher.Decrypt(this->incoming);
    if (!body) {
      this->Fail(
        "a frame failed authentication; check that both processes use the same "
        "fleet key");
      return;
    }
    this->lastReceived = Now(this->GetRuntime());
    this->received.Add(kLengthBytes + this->incoming.size());
    if (!this->isUp) {
      this->isUp = true;
      this->send(this->user,
                 LinkUp{ this->id, caf::actor_cast<caf::actor>(this) });
    } else {
      this->send(this->user, LinkFrame{ this->id, std::move(*body) });
    }
    this->ReadLength();
  }

  void Send(const std::string& aBody)
  {
    if (this->queuedBytes + aBody.size() > this->options.maxQueuedBytes) {
      this->Fail("the send queue is full because the peer does not read");
      return;
    }
    this->EnqueueFrame(aBody);
  }

  void EnqueueFrame(const std::string& aBody)
  {
    std::string encrypted = this->cipher.Encrypt(aBody);
    auto length = EncodeLength(encrypted.size());
    this->Enqueue(std::string(length.begin(), length.end()) + encrypted);
  }

  void Enqueue(std::string aBytes)
  {
    this->queuedBytes += aBytes.size();
    this->sent.Add(aBytes.size());
    this->writes.push_back(std::move(aBytes));
    if (this->writes.size() == 1) {
      this->WriteNext();
    }
  }

  void WriteNext()
  {
    asio::async_write(
      this->socket,
      asio::buffer(this->writes.front()),
      asio::bind_executor(this->Executor(),
                          [this](ErrorCode aError, std::size_t) {
                            if (aError) {
                              this->Fail(aError.message());
                              return;
                            }
                            this->queuedBytes -= this->writes.front().size();
                            this->writes.pop_front();
                            if (!this->writes.empty()) {
                              this->WriteNext();
                            }
                          }));
  }

  void Fail(const std::string& aReason)
  {
    this->reason = aReason;
    this->quit();
  }

  LinkOptions options;
  caf::actor user;
  LinkId id;
  tcp::socket socket;
  Address address;
  bool isDialer;
  LinkCipher cipher;
  ChallengeBytes peerChallenge{};
  HeaderBytes peerHeader{};
  std::array<unsigned char, kLengthBytes> lengthBytes{};
  std::string incoming;
  std::deque<std::string> writes;
  std::size_t queuedBytes = 0;
  bool isUp = false;
  TimePoint lastReceived;
  std::string reason;
  Counter sent = Metrics().GetCounter("lycheestand_link_sent_bytes_total");
  Counter received =
    Metrics().GetCounter("lycheestand_link_received_bytes_total");
};

// Accepts links from other processes of the fleet.
class LinkServer : public IoTask
{
public:
  LinkServer(caf::actor_config& aConfig,
             Runtime aRuntime,
             FleetKey aKey,
             LinkOptions aOptions,
             caf::actor aUser,
             std::shared_ptr<tcp::acceptor> aAcceptor)
    : IoTask(aConfig, aRuntime)
    , key(std::move(aKey))
    , options(aOptions)
    , user(std::move(aUser))
    , acceptLoop(
        *this,
        std::move(*aAcceptor),
        [] { return false; },
        [this](tcp::socket aSocket) { this->Accept(std::move(aSocket)); })
  {
  }

  void on_exit() override { this->acceptLoop.Close(); }

protected:
  void Start() override { this->acceptLoop.Resume(); }

  caf::message_handler Handlers() override
  {
    return { [this](StopListening) { this->acceptLoop.Close(); } };
  }

private:
  void Accept(tcp::socket aSocket)
  {
    this->GetRuntime().system->spawn<Link>(
      this->GetRuntime(),
      this->key,
      this->options,
      this->user,
      NextLinkId(),
      std::make_shared<tcp::socket>(std::move(aSocket)),
      Address{});
  }

  FleetKey key;
  LinkOptions options;
  caf::actor user;
  AcceptLoop acceptLoop;
};

} // namespace

LinkId
OpenLink(const Runtime& aRuntime,
         const FleetKey& aKey,
         const Address& aAddress,
         LinkOptions aOptions,
         caf::actor aUser)
{
  LinkId id = NextLinkId();
  auto socket = std::make_shared<tcp::socket>(*aRuntime.io);
  auto& system = *aRuntime.system;
  if (aOptions.hasThread) {
    system.spawn<Link, caf::detached>(
      aRuntime, aKey, aOptions, std::move(aUser), id, socket, aAddress);
  } else {
    system.spawn<Link>(
      aRuntime, aKey, aOptions, std::move(aUser), id, socket, aAddress);
  }
  return id;
}

Result<caf::actor, std::string>
SpawnLinkServer(const Runtime& aRuntime,
                const FleetKey& aKey,
                const Address& aAddress,
                LinkOptions aOptions,
                caf::actor aUser)
{
  using R = Result<caf::actor, std::string>;
  try {
    auto acceptor = std::make_shared<tcp::acceptor>(
      *aRuntime.io,
      tcp::endpoint(asio::ip::make_address(aAddress.host), aAddress.port));
    return aRuntime.system->spawn<LinkServer>(
      aRuntime, aKey, aOptions, std::move(aUser), std::move(acceptor));
  } catch (const boost::system::system_error& error) {
    return R(boost::outcome_v2::in_place_type<std::string>,
             "can't listen on " + ToString(aAddress) + ": " +
               error.code().message());
  }
}

} // namespace lycheestand::net
