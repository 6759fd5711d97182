// Callers that the operators don't control: they send without end, don't read,
// or keep connections that they don't use.

#include "platform_fleet.h"
#include "replica_pool.h"

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <mutex>
#include <optional>
#include <thread>

namespace lycheestand::faults {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr Duration kCrowdServeTime = 30s;

constexpr int kControlMachine = 1;
constexpr int kRouterMachine = 2;

// Ports of a platform machine, see platform_fleet.cc.
constexpr std::uint16_t kEntryPort = 8224;
constexpr std::uint16_t kControlPort = 8229;
constexpr std::uint16_t kRouterAdminPort = 9464;
constexpr std::uint16_t kControlAdminPort = 9465;

// The settings say less memory than the smallest machine has, so that a small
// crowd reaches the limits that follow from it.
constexpr int kSettingsMegabytes = 32;
// The smallest machine of the users has 88 MB for a process.
constexpr std::size_t kMaxMemory = 88 * std::size_t(1'000'000);
// A process whose settings name so little memory must not open more.
constexpr int kMaxDescriptors = 1300;

// Sizes of crowds. A large crowd has more connections than the descriptors that
// a process may have open.
constexpr int kCrowd = 64;
constexpr int kMediumCrowd = 400;
constexpr int kLargeCrowd = 1500;
// 64 callers that send as much have more than a machine's memory.
constexpr std::size_t kEndlessBytes = 2'000'000;
// A body within the size limit of 4 MiB.
constexpr std::size_t kLargeBodyBytes = 4'000'000;

constexpr Duration kCrowdTime = 12s;
constexpr Duration kRoundPause = 10ms;

// What each caller of a crowd does.
struct CallerPlan
{
  // Sent in order, at most roundBytes each 10 ms.
  std::string bytes;
  std::size_t roundBytes = 64 * 1024;
  // Bytes of the answers that are read each 10 ms.
  std::size_t readBytes = 0;
};

// Callers that each have one connection, which they keep until the destructor
// or until the other side closes it. They don't connect again.
class Crowd
{
public:
  Crowd(const Address& aAddress, int aCallers, CallerPlan aPlan)
    : plan(std::move(aPlan))
  {
    for (int i = 0; i < aCallers; ++i) {
      this->callers.emplace_back(this->io);
    }
    this->endpoint = { asio::ip::make_address(aAddress.host), aAddress.port };
    this->thread = std::thread([this] { this->Run(); });
  }

  ~Crowd()
  {
    this->isStopped = true;
    this->thread.join();
  }

  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  // Returns whether every caller has sent all of its bytes or has lost its
  // connection.
  bool HasSent() const { return this->hasSent; }

private:
  struct Caller
  {
    explicit Caller(asio::io_context& aIo)
      : socket(aIo)
    {
    }

    tcp::socket socket;
    std::size_t sent = 0;
  };

  void Run()
  {
    while (!this->isStopped) {
      bool isSending = false;
      for (auto& caller : this->callers) {
        this->Step(caller);
        isSending = isSending || (caller.socket.is_open() &&
                                  caller.sent < this->plan.bytes.size());
      }
      this->isConnected = true;
      this->hasSent = !isSending;
      std::this_thread::sleep_for(kRoundPause);
    }
  }

  void Step(Caller& aCaller)
  {
    boost::system::error_code error;
    if (!this->isConnected) {
      aCaller.socket.open(tcp::v4(), error);
      // Little of an answer fits into the system's buffers.
      aCaller.socket.set_option(asio::socket_base::receive_buffer_size(4096),
                                error);
      aCaller.socket.non_blocking(true, error);
      aCaller.socket.connect(this->endpoint, error);
      return;
    }
    if (!aCaller.socket.is_open()) {
      return;
    }
    auto rest =
      std::min(this->plan.roundBytes, this->plan.bytes.size() - aCaller.sent);
    if (rest > 0) {
      aCaller.sent += aCaller.socket.write_some(
        asio::buffer(this->plan.bytes.data() + aCaller.sent, rest), error);
      this->CloseOnError(aCaller, error);
    }
    if (this->plan.readBytes > 0 && aCaller.socket.is_open()) {
      std::string answer(this->plan.readBytes, '\0');
      aCaller.socket.read_some(asio::buffer(answer), error);
      this->CloseOnError(aCaller, error);
    }
  }

  void CloseOnError(Caller& aCaller, boost::system::error_code aError)
  {
    if (aError && aError != asio::error::would_block &&
        aError != asio::error::try_again &&
        aError != asio::error::not_connected) {
      aCaller.socket.close(aError);
    }
  }

  CallerPlan plan;
  tcp::endpoint endpoint;
  asio::io_context io;
  std::vector<Caller> callers;
  bool isConnected = false;
  std::atomic<bool> hasSent{ false };
  std::atomic<bool> isStopped{ false };
  std::thread thread;
};

int
CountDescriptors(pid_t aProcess)
{
  std::error_code error;
  std::filesystem::directory_iterator files(
    "/proc/" + std::to_string(aProcess) + "/fd", error);
  return static_cast<int>(std::distance(files, {}));
}

// Repeats a text until it has at least this many bytes.
std::string
Repeat(const std::string& aText, std::size_t aBytes)
{
  std::string out;
  while (out.size() < aBytes) {
    out += aText;
  }
  return out;
}

std::string
MakeCrowdHead(const std::string& aTarget, const std::string& aMore)
{
  return "POST " + aTarget +
         " HTTP/1.1\r\nHost: h.example\r\nX-Key: k\r\nX-Request-Id: crowd\r\n" +
         aMore;
}

std::string
MakeEndlessTrailers(const std::string& aTarget)
{
  return MakeCrowdHead(aTarget, "Transfer-Encoding: chunked\r\n\r\n") +
         "2\r\n{}\r\n0\r\n" +
         Repeat("X-T: " + std::string(1000, 't') + "\r\n", kEndlessBytes);
}

// One control instance, one router, and replicas that answer with "sound" or,
// below "/once/large", with 1 MB.
class UntrustedClientsFixture
{
public:
  UntrustedClientsFixture()
    : pool(
        { this->fleet.MachineIp(101), this->fleet.MachineIp(102) },
        this->fleet.MachineIp(120),
        "llm",
        2s,
        [](int, const ReplicaRequest& aRequest) {
          bool isLarge = aRequest.target.find("large") != std::string::npos;
          return ReplicaAnswer{ { MakeAnswer(
            200, aRequest, isLarge ? std::string(1'000'000, 'x') : "sound") } };
        })
  {
    MachineOptions options;
    options.seeds = { kControlMachine };
    options.bootstrap = true;
    options.memoryMb = kSettingsMegabytes;
    options.listAddress = this->pool.ListAddress();
    this->fleet.StartControl(kControlMachine, options);
    this->fleet.StartRouter(kRouterMachine, options);
    json::array routes{ MakeEngineRoute("safe", "safe", false),
                        MakeEngineRoute("once", "unsafe", false) };
    auto document = MakeEngineDocument(routes, 100'000'000);
    REQUIRE(WaitFor(kCrowdServeTime, [this, &document] {
      return this->fleet.PutDocument(kControlMachine, document) == 200;
    }));
    REQUIRE(WaitFor(kCrowdServeTime, [this] { return this->IsServed(); }));
  }

  // Lets a crowd act on an address. The processes must stay alive within their
  // bounds, and answer an ordinary request while the crowd still holds its
  // connections.
  void Endure(const Address& aAddress, int aCallers, CallerPlan aPlan)
  {
    Crowd crowd(aAddress, aCallers, std::move(aPlan));
    WaitFor(kCrowdTime, [this, &crowd] {
      this->Measure();
      return crowd.HasSent();
    });
    WaitFor(2s, [this] {
      this->Measure();
      return false;
    });
    CHECK(WaitFor(kCrowdServeTime, [this] {
      this->Measure();
      return this->IsServed();
    }));
    for (const Address& address : this->OtherAddresses()) {
      INFO(ToString(address));
      CHECK(WaitFor(kCrowdServeTime, [&address] { return Answers(address); }));
    }
    this->Measure();
    WARN("memory " << this->maxMemory / 1000 << " kB, descriptors "
                   << this->maxDescriptors);
    CHECK(this->areAlive);
    CHECK(this->maxMemory < kMaxMemory);
    CHECK(this->maxDescriptors < kMaxDescriptors);
  }

  Address CallerAddress() { return this->fleet.CallerAddress(kRouterMachine); }

  Address RouterAddress(std::uint16_t aPort) const
  {
    return { this->fleet.MachineIp(kRouterMachine), aPort };
  }

  Address ControlAddress(std::uint16_t aPort) const
  {
    return { this->fleet.MachineIp(kControlMachine), aPort };
  }

private:
  // Returns whether a caller's ordinary request is answered.
  bool IsServed()
  {
    Call call;
    call.method = "POST";
    call.target = "/safe/1";
    call.headers = { { "Host", "h.example" },
                     { "X-Request-Id", "q" + std::to_string(++this->requests) },
                     { "X-Key", "k" } };
    call.body = "{}";
    call.timeout = 5s;
    return Send(this->CallerAddress(), call).status == 200;
  }

  std::vector<Address> OtherAddresses() const
  {
    return { this->RouterAddress(kEntryPort),
             this->RouterAddress(kRouterAdminPort),
             this->ControlAddress(kControlPort),
             this->ControlAddress(kControlAdminPort) };
  }

  // Returns whether a server gives any complete answer.
  static bool Answers(const Address& aAddress)
  {
    Call call;
    call.target = "/healthz";
    call.timeout = 5s;
    return Send(aAddress, call).isComplete;
  }

  void Measure()
  {
    for (int machine : { kControlMachine, kRouterMachine }) {
      const auto& process = this->fleet.Machine(machine);
      std::size_t memory = process.ResidentBytes();
      this->areAlive = this->areAlive && memory > 0;
      this->maxMemory = std::max(this->maxMemory, memory);
      this->maxDescriptors =
        std::max(this->maxDescriptors, CountDescriptors(process.Id()));
    }
  }

  PlatformFleet fleet{ "untrusted-clients" };
  ReplicaPool pool;
  int requests = 0;
  bool areAlive = true;
  std::size_t maxMemory = 0;
  int maxDescriptors = 0;
};

} // namespace

// Guards against trailers that are kept until the memory is full.
TEST_CASE_METHOD(UntrustedClientsFixture,
                 "endless trailers don't fill the memory",
                 "[endless-trailers]")
{
  this->Endure(
    this->CallerAddress(), kCrowd, { MakeEndlessTrailers("/once/1") });
}

// The entry port, control's port and the admin addresses have the same server,
// with other settings.
TEST_CASE_METHOD(UntrustedClientsFixture,
                 "endless trailers at the entry port don't fill the memory",
                 "[endless-trailers-entry]")
{
  this->Endure(this->RouterAddress(kEntryPort),
               kCrowd,
               { MakeEndlessTrailers("/directory") });
}

TEST_CASE_METHOD(UntrustedClientsFixture,
                 "endless trailers at control's port don't fill the memory",
                 "[endless-trailers-control]")
{
  this->Endure(this->ControlAddress(kControlPort),
               kCrowd,
               { MakeEndlessTrailers("/config") });
}

TEST_CASE_METHOD(UntrustedClientsFixture,
                 "endless trailers at an admin address don't fill the memory",
                 "[endless-trailers-admin]")
{
  this->Endure(this->ControlAddress(kControlAdminPort),
               kCrowd,
               { MakeEndlessTrailers("/metrics") });
}

// Guards against the extensions of a chunk, which are part of no body and no
// header.
TEST_CASE_METHOD(UntrustedClientsFixture,
                 "endless chunk extensions don't fill the memory",
                 "[endless-extensions]")
{
  this->Endure(
    this->CallerAddress(),
    kCrowd,
    { MakeCrowdHead("/once/1", "Transfer-Encoding: chunked\r\n\r\n") + "2" +
      Repeat(";a=bbbbbbbb", kEndlessBytes) });
}

// Guards against callers that occupy connections with a header that does not
// end.
TEST_CASE_METHOD(UntrustedClientsFixture,
                 "headers sent one byte at a time leave others a connection",
                 "[slow-headers]")
{
  CallerPlan plan{ MakeCrowdHead("/once/1", Repeat("X-H: h\r\n", 8'000)) };
  plan.roundBytes = 1;
  this->Endure(this->CallerAddress(), kMediumCrowd, std::move(plan));
}

// Guards against fields that each take far more memory than their bytes.
TEST_CASE_METHOD(UntrustedClientsFixture,
                 "many small header fields don't fill the memory",
                 "[small-fields]")
{
  this->Endure(this->CallerAddress(),
               kMediumCrowd,
               { MakeCrowdHead("/once/1", "Content-Length: 100\r\n") +
                 Repeat("a:\r\n", 16'000) + "\r\n{" });
}

// Guards against answers that wait for a caller which sends requests and reads
// nothing.
TEST_CASE_METHOD(UntrustedClientsFixture,
                 "pipelined requests without a reader don't fill the memory",
                 "[unread-pipeline]")
{
  this->Endure(this->RouterAddress(kRouterAdminPort),
               kMediumCrowd,
               { Repeat("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n", 40'000) });
}

// Guards against large answers that are read slowly.
TEST_CASE_METHOD(UntrustedClientsFixture,
                 "answers that are read slowly don't fill the memory",
                 "[slow-readers]")
{
  CallerPlan plan{ MakeCrowdHead("/once/large",
                                 "Content-Length: 2\r\n\r\n{}") };
  plan.readBytes = 10;
  this->Endure(this->CallerAddress(), kMediumCrowd, std::move(plan));
}

// Guards against connections that keep the buffers of their last request.
TEST_CASE_METHOD(UntrustedClientsFixture,
                 "idle connections give their buffers back",
                 "[idle-buffers]")
{
  constexpr std::size_t kBodyBytes = 200'000;
  CallerPlan plan{ MakeCrowdHead("/once/1",
                                 "Content-Length: " +
                                   std::to_string(kBodyBytes) + "\r\n\r\n") +
                   std::string(kBodyBytes, 'x') };
  plan.readBytes = 4096;
  this->Endure(this->CallerAddress(), kMediumCrowd, std::move(plan));
}

// Guards against connections that take all descriptors of a process.
TEST_CASE_METHOD(UntrustedClientsFixture,
                 "half-open connections leave others a connection",
                 "[half-open]")
{
  this->Endure(this->CallerAddress(), kLargeCrowd, { "POST /once/1" });
}

// Guards against memory for bodies that are announced and not sent.
TEST_CASE_METHOD(UntrustedClientsFixture,
                 "bodies that never come take no memory",
                 "[absent-bodies]")
{
  this->Endure(
    this->CallerAddress(),
    kMediumCrowd,
    { MakeCrowdHead("/once/1",
                    "Content-Length: " + std::to_string(kLargeBodyBytes) +
                      "\r\n\r\n{") });
}

} // namespace lycheestand::faults
