#ifndef LYCHEESTAND_REVIEW_HARNESS_H
#define LYCHEESTAND_REVIEW_HARNESS_H

// Test harness of the review's scripts: starts the processes of the deploy file
// on loopback addresses and has stand-ins for replicas, the platform's list of
// replicas, clients and the operator. Uses only the C and C++ libraries.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;
namespace fs = std::filesystem;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

// ---------------------------------------------------------------- record

inline Clock::time_point gStart = Clock::now();
inline std::mutex gRecordMutex;
inline FILE* gRecord = nullptr;

inline long
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               gStart)
    .count();
}

// Writes a line with the time in milliseconds to record.txt.
inline void
Record(const char* aFormat, ...)
{
  std::lock_guard lock(gRecordMutex);
  if (gRecord == nullptr) {
    return;
  }
  std::fprintf(gRecord, "%7ld ", NowMs());
  va_list arguments;
  va_start(arguments, aFormat);
  std::vfprintf(gRecord, aFormat, arguments);
  va_end(arguments);
  std::fprintf(gRecord, "\n");
  std::fflush(gRecord);
}

// ---------------------------------------------------------------- sockets

struct Endpoint
{
  std::string ip;
  int port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in
ToSockaddr(const Endpoint& aAt)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aAt.port));
  ::inet_pton(AF_INET, aAt.ip.c_str(), &address.sin_addr);
  return address;
}

inline int
Listen(const Endpoint& aAt)
{
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  auto address = ToSockaddr(aAt);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      ::listen(fd, 512) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

// Returns a connected socket, or -1.
inline int
Connect(const Endpoint& aAt, int aTimeoutMs = 1000)
{
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) {
    return -1;
  }
  auto address = ToSockaddr(aAt);
  int result =
    ::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  if (result != 0 && errno == EINPROGRESS) {
    pollfd wait{ fd, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof(error);
    if (::poll(&wait, 1, aTimeoutMs) == 1 &&
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
        error == 0) {
      result = 0;
    }
  }
  if (result != 0) {
    ::close(fd);
    return -1;
  }
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return fd;
}

inline bool
SendAll(int aFd, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    auto count = ::send(
      aFd, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

// Reads what is there into a buffer; returns false at the end, on an error and
// at the deadline.
inline bool
ReadSome(int aFd, std::string& aBuffer, Clock::time_point aUntil)
{
  auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                aUntil - Clock::now())
                .count();
  pollfd wait{ aFd, POLLIN, 0 };
  if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left)) != 1) {
    return false;
  }
  char bytes[16384];
  auto count = ::recv(aFd, bytes, sizeof(bytes), 0);
  if (count <= 0) {
    return false;
  }
  aBuffer.append(bytes, static_cast<std::size_t>(count));
  return true;
}

// ---------------------------------------------------------------- HTTP

using Headers = std::map<std::string, std::string>;

inline std::string
Lower(std::string aText)
{
  for (auto& c : aText) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return aText;
}

struct Message
{
  std::string first; // request line or status line
  Headers headers;   // names in lower case
  std::string body;
  std::string Header(const std::string& aName) const
  {
    auto found = this->headers.find(aName);
    return found == this->headers.end() ? "" : found->second;
  }
  std::string Word(int aIndex) const
  {
    std::istringstream in(this->first);
    std::string word;
    for (int i = 0; i <= aIndex; ++i) {
      word.clear();
      in >> word;
    }
    return word;
  }
};

// Takes a head from a buffer; returns false if it is not complete.
inline bool
TakeHead(std::string& aBuffer, Message& aOut)
{
  auto end = aBuffer.find("\r\n\r\n");
  if (end == std::string::npos) {
    return false;
  }
  std::istringstream lines(aBuffer.substr(0, end));
  aBuffer.erase(0, end + 4);
  std::getline(lines, aOut.first);
  if (!aOut.first.empty() && aOut.first.back() == '\r') {
    aOut.first.pop_back();
  }
  for (std::string line; std::getline(lines, line);) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    auto colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    auto value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    aOut.headers[Lower(line.substr(0, colon))] = value;
  }
  return true;
}

// Answer that a client has got.
struct Answer
{
  unsigned status = 0; // 0: none
  Headers headers;
  std::string body;
  bool isWhole = false;
  long ms = 0;
};

// A client's connection.
class Caller
{
public:
  explicit Caller(Endpoint aAt)
    : at(std::move(aAt))
  {
  }
  ~Caller() { this->Close(); }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  void Close()
  {
    if (this->fd >= 0) {
      ::close(this->fd);
      this->fd = -1;
    }
    this->buffer.clear();
  }
  bool IsOpen() const { return this->fd >= 0; }
  bool Open(int aTimeoutMs = 1000)
  {
    if (this->fd < 0) {
      this->fd = Connect(this->at, aTimeoutMs);
    }
    return this->fd >= 0;
  }

  bool Send(const std::string& aMethod,
            const std::string& aTarget,
            const Headers& aHeaders,
            const std::string& aBody = "")
  {
    std::string text = aMethod + " " + aTarget + " HTTP/1.1\r\n";
    for (const auto& [name, value] : aHeaders) {
      text += name + ": " + value + "\r\n";
    }
    if (!aBody.empty() || aMethod == "POST" || aMethod == "PUT") {
      text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
    }
    return SendAll(this->fd, text + "\r\n" + aBody);
  }

  bool SendBytes(const std::string& aBytes) { return SendAll(this->fd, aBytes); }

  // Reads an answer. aOnBody is called with the body so far after each read and
  // returns whether to go on; if it returns false, the answer is left.
  Answer Read(int aTimeoutMs,
              const std::function<bool(const std::string&)>& aOnBody = {})
  {
    auto begin = Clock::now();
    auto until = begin + std::chrono::milliseconds(aTimeoutMs);
    Answer out;
    Message head;
    bool isOpen = true;
    while (!TakeHead(this->buffer, head)) {
      if (!ReadSome(this->fd, this->buffer, until)) {
        isOpen = false;
        break;
      }
    }
    auto finish = [&] {
      out.ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                 Clock::now() - begin)
                 .count();
      bool isKept = out.isWhole && Lower(out.headers["connection"]) != "close";
      if (!isKept) {
        this->Close();
      }
      return out;
    };
    if (!isOpen) {
      return finish();
    }
    out.status = static_cast<unsigned>(std::atoi(head.Word(1).c_str()));
    out.headers = head.headers;
    bool isChunked = Lower(head.Header("transfer-encoding")) == "chunked";
    std::size_t length =
      static_cast<std::size_t>(std::atoll(head.Header("content-length").c_str()));
    while (true) {
      if (isChunked) {
        while (true) {
          auto line = this->buffer.find("\r\n");
          if (line == std::string::npos) {
            break;
          }
          auto size = std::strtoul(this->buffer.c_str(), nullptr, 16);
          if (this->buffer.size() < line + 2 + size + 2) {
            break;
          }
          out.body += this->buffer.substr(line + 2, size);
          this->buffer.erase(0, line + 2 + size + 2);
          if (size == 0) {
            out.isWhole = true;
            return finish();
          }
        }
      } else if (this->buffer.size() >= length) {
        out.body = this->buffer.substr(0, length);
        this->buffer.erase(0, length);
        out.isWhole = true;
        return finish();
      }
      if ((aOnBody && !aOnBody(out.body)) ||
          !ReadSome(this->fd, this->buffer, until)) {
        return finish();
      }
    }
  }

private:
  Endpoint at;
  int fd = -1;
  std::string buffer;
};

// ---------------------------------------------------------------- servers

// A connection at a stand-in server.
struct Connection
{
  int fd = -1;
  bool Write(const std::string& aBytes) const { return SendAll(this->fd, aBytes); }
  // Returns whether the other side has closed its connection.
  bool IsClosed() const
  {
    pollfd wait{ this->fd, POLLIN, 0 };
    if (::poll(&wait, 1, 0) <= 0) {
      return false;
    }
    char byte = 0;
    return ::recv(this->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0 ||
           (wait.revents & (POLLERR | POLLHUP)) != 0;
  }
};

// HTTP server with a thread for each connection. The handler returns whether
// the connection is kept.
class Server
{
public:
  using Handler = std::function<bool(const Message&, Connection&)>;

  Server(Endpoint aAt, Handler aHandler)
    : at(std::move(aAt))
    , handler(std::move(aHandler))
  {
  }
  ~Server() { this->Stop(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  bool Start()
  {
    this->listener = Listen(this->at);
    if (this->listener < 0) {
      return false;
    }
    this->isRunning = true;
    this->acceptor = std::thread([this] { this->Accept(); });
    return true;
  }

  // Ends as a process that crashes: all connections are closed, new ones are
  // refused.
  void Stop()
  {
    if (!this->isRunning.exchange(false)) {
      return;
    }
    ::shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    ::close(this->listener);
    std::vector<std::thread> ending;
    {
      std::lock_guard lock(this->mutex);
      for (int fd : this->open) {
        ::shutdown(fd, SHUT_RDWR);
      }
      ending.swap(this->threads);
    }
    for (auto& thread : ending) {
      thread.join();
    }
  }

  bool IsRunning() const { return this->isRunning; }
  const Endpoint& At() const { return this->at; }

private:
  void Accept()
  {
    while (this->isRunning) {
      int fd = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (this->isRunning) {
          std::this_thread::sleep_for(5ms);
        }
        continue;
      }
      int one = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      std::lock_guard lock(this->mutex);
      if (!this->isRunning) {
        ::close(fd);
        return;
      }
      this->open.insert(fd);
      this->threads.emplace_back([this, fd] { this->Serve(fd); });
    }
  }

  void Serve(int aFd)
  {
    Connection connection{ aFd };
    std::string buffer;
    bool isKept = true;
    while (isKept && this->isRunning) {
      Message request;
      bool isOpen = true;
      auto until = Clock::now() + 120s;
      while (isOpen && !TakeHead(buffer, request)) {
        isOpen = ReadSome(aFd, buffer, until);
      }
      auto length = static_cast<std::size_t>(
        std::atoll(request.Header("content-length").c_str()));
      while (isOpen && buffer.size() < length) {
        isOpen = ReadSome(aFd, buffer, until);
      }
      if (!isOpen) {
        break;
      }
      request.body = buffer.substr(0, length);
      buffer.erase(0, length);
      isKept = this->handler(request, connection);
    }
    std::lock_guard lock(this->mutex);
    this->open.erase(aFd);
    ::close(aFd);
  }

  Endpoint at;
  Handler handler;
  int listener = -1;
  std::atomic<bool> isRunning{ false };
  std::thread acceptor;
  std::mutex mutex;
  std::set<int> open;
  std::vector<std::thread> threads;
};

// ---------------------------------------------------------------- fleet

// Addresses of one test: 127.x.y.1 to 127.x.y.254.
inline std::string
ReserveNetwork()
{
  for (int i = 0; i < 200; ++i) {
    int number = (::getpid() + i * 37) % 40000;
    std::string network = "127." + std::to_string(60 + number / 250) + "." +
                          std::to_string(1 + number % 250) + ".";
    int probe = Listen({ network + "1", 8229 });
    if (probe >= 0) {
      ::close(probe);
      return network;
    }
  }
  return "";
}

// Settings of a small deployment; the defaults are those of kalkki-fleet.
struct Deployment
{
  int machines = 3;
  int memoryMb = 260;
  int maxFds = 4100;
  // Of these, 200 are reserved.
  int reservedFds = 200;
};

constexpr int kFrontPort = 8227;
constexpr int kReadyPort = 8220;
constexpr int kControlPort = 8229;
constexpr int kDirectoryPort = 8224;
constexpr int kListPort = 8223;
constexpr int kReplicaPort = 8080;

class Fleet
{
public:
  explicit Fleet(Deployment aDeployment = {})
    : deployment(aDeployment)
    , network(ReserveNetwork())
  {
    std::string pattern =
      (fs::temp_directory_path() / "lycheestand-review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) != nullptr) {
      this->folder = pattern;
    }
  }
  ~Fleet()
  {
    for (auto& [name, id] : this->processes) {
      ::kill(id, SIGKILL);
      ::waitpid(id, nullptr, 0);
    }
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr) {
      fs::remove_all(this->folder, ignored);
    } else {
      std::fprintf(stderr, "logs in %s\n", this->folder.c_str());
    }
  }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  bool IsUsable() const { return !this->network.empty() && !this->folder.empty(); }
  std::string Ip(int aNumber) const { return this->network + std::to_string(aNumber); }
  std::string MachineIp(int aMachine) const { return this->Ip(10 + aMachine); }
  Endpoint Front(int aMachine) const { return { this->MachineIp(aMachine), kFrontPort }; }
  Endpoint List() const { return { this->Ip(2), kListPort }; }
  Endpoint Replica(int aNumber) const { return { this->Ip(100 + aNumber), kReplicaPort }; }

  std::string Settings(int aMachine, const std::string& aRole, bool aBootstrap)
  {
    bool isControl = aRole == "control";
    auto ip = this->MachineIp(aMachine);
    auto at = [&](int aPort) { return "\"" + ip + ":" + std::to_string(aPort) + "\""; };
    std::string zone = std::string("fi-south-") + static_cast<char>('a' + (aMachine - 1) % 3);
    std::string seeds;
    for (int i = 1; i <= 3; ++i) {
      seeds += (i > 1 ? "," : "") + std::string("\"") + this->MachineIp(i) + ":" +
               std::to_string(kControlPort) + "\"";
    }
    std::ostringstream out;
    out << "{\"nodeName\":\"front-" << zone << "-" << aMachine << "\",\"role\":\"" << aRole
        << "\",\"machineClass\":\"front\",\"serves\":"
        << (isControl ? "[\"control\"]" : "[\"front\",\"directory\"]") << ",\"ip\":\"" << ip
        << "\",\"zone\":\"" << zone
        << "\",\"region\":\"fi-south\",\"zones\":{\"fi-south-a\":\"fi-south\",\"fi-south-b\":"
           "\"fi-south\",\"fi-south-c\":\"fi-south\"},\"listen\":{";
    if (isControl) {
      out << "\"control\":" << at(kControlPort);
    } else {
      out << "\"front\":" << at(kFrontPort) << ",\"ready\":" << at(kReadyPort)
          << ",\"directory\":" << at(kDirectoryPort);
    }
    out << "},\"internalPorts\":[7340,7355],\"seeds\":[" << seeds
        << "],\"bootstrap\":" << (aBootstrap ? "true" : "false")
        << ",\"inFaultBudget\":true,\"limits\":{\"cpuShare\":0.45,\"cores\":1,\"memoryMb\":"
        << this->deployment.memoryMb << ",\"maxFds\":" << this->deployment.maxFds
        << ",\"linkMbps\":1000.0,\"diskMb\":64}";
    if (isControl) {
      out << ",\"dataDir\":\"" << (this->folder / ("data" + std::to_string(aMachine))).string()
          << "\"";
      fs::create_directories(this->folder / ("data" + std::to_string(aMachine)));
    }
    out << ",\"discovery\":\"cloud_api\",\"entry\":\"directory\",\"heartbeatMs\":1200,"
           "\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\","
           "\"engine\",\"stream\",\"tenants\"],\"faultTolerance\":{\"machines\":1,\"zones\":0,"
           "\"regions\":0},\"bounds\":{\"seedLagS\":3,\"addrReuseS\":2,\"contactWindowMs\":3000,"
           "\"ackTimeoutMs\":4000,\"catchUpS\":4,\"drainMs\":3000,\"graceS\":8,"
           "\"lossSlackMs\":200,\"configApplyMs\":2000,\"rollbackSlackMs\":250,"
           "\"maxSkewMs\":5000,\"strictRevoke\":false,\"revokeMs\":5000,"
           "\"retryBudgetRatio\":0.2,\"retryWindowS\":10,\"retrySlack\":60,\"recoveryS\":12,"
           "\"passMs\":120,\"retryAfterS\":8.1,\"settle_ms\":1500,\"ttl_max_s\":5},"
           "\"configMode\":\"highest\",\"cloud\":{\"address\":\""
        << this->List().Text() << "\",\"ratePerS\":42.0,\"duties\":[],\"maxLagMs\":800}}";
    return out.str();
  }

  // Starts a role's process as the deploy file says.
  bool Start(int aMachine, const std::string& aRole, bool aBootstrap = false)
  {
    auto name = aRole + std::to_string(aMachine);
    auto file = (this->folder / (name + ".json")).string();
    std::ofstream(file) << this->Settings(aMachine, aRole, aBootstrap);
    auto log = (this->folder / (name + ".log")).string();
    int descriptors = this->deployment.maxFds - this->deployment.reservedFds;
    pid_t id = ::fork();
    if (id == 0) {
      // It must not outlive the test, however that ends.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(out, 1);
      ::dup2(out, 2);
      // The descriptors that the deployment gives a process, if the machine has
      // as many.
      rlimit limit{};
      ::getrlimit(RLIMIT_NOFILE, &limit);
      limit.rlim_cur = std::min(limit.rlim_max, static_cast<rlim_t>(descriptors));
      if (::setrlimit(RLIMIT_NOFILE, &limit) != 0) {
        std::_Exit(126);
      }
      ::setenv("LYCHEESTAND_NODE_FILE", file.c_str(), 1);
      ::execl("target/lycheestandd", "target/lycheestandd", "--platform", nullptr);
      std::_Exit(127);
    }
    if (id < 0) {
      return false;
    }
    this->processes[name] = id;
    Record("started %s, process %d", name.c_str(), static_cast<int>(id));
    return true;
  }

  bool StartAll()
  {
    bool isStarted = true;
    for (int i = 1; i <= this->deployment.machines; ++i) {
      isStarted = isStarted && (i > 3 || this->Start(i, "control", true)) &&
                  this->Start(i, "router", true);
    }
    return isStarted;
  }

  void Kill(const std::string& aName)
  {
    auto found = this->processes.find(aName);
    if (found != this->processes.end()) {
      ::kill(found->second, SIGKILL);
      ::waitpid(found->second, nullptr, 0);
      this->processes.erase(found);
      Record("killed %s", aName.c_str());
    }
  }

  void Signal(const std::string& aName, int aSignal)
  {
    ::kill(this->processes.at(aName), aSignal);
    Record("sent signal %d to %s", aSignal, aName.c_str());
  }

  // Returns whether a process has ended by itself.
  bool HasEnded(const std::string& aName) const
  {
    return ::waitpid(this->processes.at(aName), nullptr, WNOHANG) != 0;
  }

  // Sends a configuration as the operator does: to any machine, following
  // redirects, until it is acknowledged.
  bool Put(const std::string& aDocument, int aTimeoutMs = 20000)
  {
    auto until = Clock::now() + std::chrono::milliseconds(aTimeoutMs);
    for (int next = 0; Clock::now() < until; ++next) {
      Endpoint at{ this->MachineIp(1 + next % 3), kControlPort };
      for (int hop = 0; hop < 3; ++hop) {
        Caller caller(at);
        if (!caller.Open(500) ||
            !caller.Send("PUT",
                         "/config",
                         { { "Host", at.Text() }, { "Content-Type", "application/json" } },
                         aDocument)) {
          break;
        }
        auto answer = caller.Read(1000);
        if (answer.status == 200) {
          Record("configuration acknowledged by %s", at.Text().c_str());
          return true;
        }
        auto location = answer.headers["location"];
        if (answer.status != 307 || location.rfind("http://", 0) != 0) {
          break;
        }
        auto host = location.substr(7, location.find('/', 7) - 7);
        at = { host.substr(0, host.find(':')), std::atoi(host.substr(host.find(':') + 1).c_str()) };
      }
      std::this_thread::sleep_for(200ms);
    }
    return false;
  }

  // Waits until a router says that it is ready.
  bool WaitReady(int aMachine, int aTimeoutMs = 20000)
  {
    auto until = Clock::now() + std::chrono::milliseconds(aTimeoutMs);
    while (Clock::now() < until) {
      Caller caller({ this->MachineIp(aMachine), kReadyPort });
      if (caller.Open(300) && caller.Send("GET", "/ready", { { "Host", "ready" } }) &&
          caller.Read(1000).status == 200) {
        return true;
      }
      std::this_thread::sleep_for(100ms);
    }
    return false;
  }

  fs::path Folder() const { return this->folder; }

private:
  Deployment deployment;
  std::string network;
  fs::path folder;
  std::map<std::string, pid_t> processes;
};

// The platform's list of replicas, in one page.
class ReplicaList
{
public:
  struct Entry
  {
    std::string id;
    std::string service;
    std::string address;
    std::string zone = "fi-south-a";
    std::string version = "v1";
    std::string state = "ready";
    int slots = 16;
    long long born = 0;
  };

  explicit ReplicaList(const Endpoint& aAt)
    : server(aAt, [this](const Message& aRequest, Connection& aConnection) {
      return this->Handle(aRequest, aConnection);
    })
  {
  }
  bool Start() { return this->server.Start(); }

  void Set(const Entry& aEntry)
  {
    std::lock_guard lock(this->mutex);
    this->entries[aEntry.id] = aEntry;
  }
  void Remove(const std::string& aId)
  {
    std::lock_guard lock(this->mutex);
    this->entries.erase(aId);
  }

private:
  bool Handle(const Message&, Connection& aConnection)
  {
    std::ostringstream out;
    {
      std::lock_guard lock(this->mutex);
      out << "{\"instances\":[";
      const char* separator = "";
      for (const auto& [id, entry] : this->entries) {
        out << separator << "{\"service\":\"" << entry.service << "\",\"address\":\""
            << entry.address << "\",\"zone\":\"" << entry.zone << "\",\"version\":\""
            << entry.version << "\",\"slots\":" << entry.slots << ",\"state\":\"" << entry.state
            << "\",\"coldRemainingMs\":0,\"stage\":\"both\",\"models\":[{\"name\":\"m\","
               "\"version\":1,\"adapters\":[]}],\"born\":"
            << entry.born << ",\"id\":\"" << id << "\"}";
        separator = ",";
      }
      out << "],\"next\":null}";
    }
    auto body = out.str();
    return aConnection.Write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body);
  }

  std::mutex mutex;
  std::map<std::string, Entry> entries;
  Server server;
};

inline long long
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

// Bytes of a replica's answer with a length.
inline std::string
MakeAnswer(const std::string& aStatus,
           const Message& aRequest,
           const std::string& aBody,
           const std::string& aMoreHeaders = "")
{
  return "HTTP/1.1 " + aStatus + "\r\nX-Request-Id: " + aRequest.Header("x-request-id") +
         "\r\nX-Response-Seal: seal." + aRequest.Header("x-request-id") + "\r\n" + aMoreHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

inline std::string
MakeChunk(const std::string& aText)
{
  char size[32];
  std::snprintf(size, sizeof(size), "%zx\r\n", aText.size());
  return size + aText + "\r\n";
}

// Opens record.txt and returns whether the disruption is left out.
inline bool
BeginCase(int aCount, char** aArguments)
{
  ::signal(SIGPIPE, SIG_IGN);
  gRecord = std::fopen(aCount > 1 ? aArguments[1] : "record.txt", "w");
  const char* trouble = std::getenv("TROUBLE");
  bool isCalm = trouble != nullptr && std::string(trouble) == "0";
  Record("TROUBLE=%s", isCalm ? "0" : "1");
  return isCalm;
}

inline int
EndCase(int aResult, const std::string& aText)
{
  Record("result %d: %s", aResult, aText.c_str());
  std::printf("%s\n", aText.c_str());
  return aResult;
}

} // namespace review

#endif
