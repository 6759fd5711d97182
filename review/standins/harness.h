// Parts that the scripts of the cases share: machines that run the project's
// program on loopback addresses, and small stand-ins for replicas, the
// platform's list, clients and the operator. Standard library and POSIX only.
#ifndef REVIEW_STANDINS_HARNESS_H
#define REVIEW_STANDINS_HARNESS_H

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point kStart = Clock::now();

inline double Seconds()
{
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

inline void Sleep(double aSeconds)
{
  std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
}

// ---------------------------------------------------------------- record

inline std::mutex gRecordMutex;
inline FILE* gRecord = nullptr;

__attribute__((format(printf, 1, 2))) inline void Record(const char* aFormat, ...)
{
  std::lock_guard lock(gRecordMutex);
  va_list args;
  va_start(args, aFormat);
  std::fprintf(gRecord, "%8.3f ", Seconds());
  std::vfprintf(gRecord, aFormat, args);
  std::fputc('\n', gRecord);
  std::fflush(gRecord);
  va_end(args);
}

// ---------------------------------------------------------------- sockets

constexpr int kFrontPort = 18227;
constexpr int kReadyPort = 18220;
constexpr int kControlPort = 18229;
constexpr int kDirectoryPort = 18224;
constexpr int kInternalPort = 17340;
constexpr int kReplicaPort = 18080;
constexpr int kListPort = 18223;

// Every machine has a loopback address of its own: 127.A.B.N. A and B are drawn
// from the process id, so that runs beside each other don't meet.
inline std::string Ip(int aNumber)
{
  int pid = getpid();
  return "127." + std::to_string(20 + pid / 200 % 200) + "." +
         std::to_string(20 + pid % 200) + "." + std::to_string(aNumber);
}

inline sockaddr_in ToAddress(const std::string& aIp, int aPort)
{
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aIp.c_str(), &out.sin_addr);
  return out;
}

inline int Connect(const std::string& aIp, int aPort)
{
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in to = ToAddress(aIp, aPort);
  if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
    close(fd);
    return -1;
  }
  int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

inline int Listen(const std::string& aIp, int aPort)
{
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  sockaddr_in at = ToAddress(aIp, aPort);
  if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || listen(fd, 256) != 0) {
    std::perror(("listen on " + aIp).c_str());
    std::exit(2);
  }
  return fd;
}

inline bool WriteAll(int aFd, const std::string& aBytes)
{
  std::size_t done = 0;
  while (done < aBytes.size()) {
    ssize_t count = send(aFd, aBytes.data() + done, aBytes.size() - done, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    done += static_cast<std::size_t>(count);
  }
  return true;
}

// Closes a connection with a reset.
inline void Reset(int aFd)
{
  linger option{ 1, 0 };
  setsockopt(aFd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
  close(aFd);
}

// Returns whether the peer has closed or reset the connection.
inline bool IsPeerGone(int aFd)
{
  char byte = 0;
  ssize_t count = recv(aFd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

// ---------------------------------------------------------------- HTTP

inline std::string Lower(std::string aText)
{
  for (char& c : aText) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return aText;
}

using Headers = std::map<std::string, std::string>; // names in lower case

// Reads HTTP messages from a connection, one after the other.
class Reader
{
public:
  explicit Reader(int aFd)
    : fd(aFd)
  {
  }

  enum class Result { Whole, Closed, Broken, Timeout, Malformed };

  // Reads the first line and the headers.
  Result ReadHead(std::string& aFirst, Headers& aHeaders, double aTimeout)
  {
    double end = Seconds() + aTimeout;
    std::size_t at = 0;
    while ((at = this->buffer.find("\r\n\r\n")) == std::string::npos) {
      Result more = this->More(end);
      if (more != Result::Whole) {
        return more == Result::Closed && !this->buffer.empty() ? Result::Broken : more;
      }
    }
    std::istringstream lines(this->buffer.substr(0, at));
    this->buffer.erase(0, at + 4);
    std::getline(lines, aFirst);
    if (!aFirst.empty() && aFirst.back() == '\r') {
      aFirst.pop_back();
    }
    aHeaders.clear();
    for (std::string line; std::getline(lines, line);) {
      auto colon = line.find(':');
      if (colon == std::string::npos) {
        return Result::Malformed;
      }
      auto begin = line.find_first_not_of(" \t", colon + 1);
      std::string value = begin == std::string::npos ? "" : line.substr(begin);
      while (!value.empty() && (value.back() == '\r' || value.back() == ' ')) {
        value.pop_back();
      }
      aHeaders[Lower(line.substr(0, colon))] = value;
    }
    return Result::Whole;
  }

  // Reads a body with a length or in chunks; aSink gets each part as it arrives.
  Result ReadBody(const Headers& aHeaders,
                  bool aHasNoBody,
                  double aTimeout,
                  const std::function<void(const std::string&)>& aSink,
                  bool aMayEndWithConnection)
  {
    double end = Seconds() + aTimeout;
    if (aHasNoBody) {
      return Result::Whole;
    }
    auto encoding = aHeaders.find("transfer-encoding");
    if (encoding != aHeaders.end() && Lower(encoding->second) == "chunked") {
      while (true) {
        std::string line;
        Result read = this->ReadLine(line, end);
        if (read != Result::Whole) {
          return read;
        }
        std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
        std::string chunk;
        read = this->ReadExactly(size + 2, chunk, end);
        if (read != Result::Whole) {
          return read;
        }
        if (size == 0) {
          return Result::Whole;
        }
        aSink(chunk.substr(0, size));
      }
    }
    auto length = aHeaders.find("content-length");
    if (length != aHeaders.end()) {
      std::string body;
      Result read = this->ReadExactly(std::strtoul(length->second.c_str(), nullptr, 10), body, end);
      if (read == Result::Whole) {
        aSink(body);
      }
      return read;
    }
    if (!aMayEndWithConnection) {
      return Result::Whole;
    }
    while (true) {
      if (!this->buffer.empty()) {
        aSink(std::exchange(this->buffer, {}));
      }
      Result more = this->More(end);
      if (more != Result::Whole) {
        return more == Result::Closed ? Result::Whole : more;
      }
    }
  }

  // Bytes that were received after the last message.
  const std::string& Rest() const { return this->buffer; }

private:
  Result More(double aEnd)
  {
    double left = aEnd - Seconds();
    pollfd wait{ this->fd, POLLIN, 0 };
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left * 1000) + 1) <= 0) {
      return Result::Timeout;
    }
    char bytes[16384];
    ssize_t count = recv(this->fd, bytes, sizeof bytes, 0);
    if (count <= 0) {
      return count == 0 ? Result::Closed : Result::Broken;
    }
    this->buffer.append(bytes, static_cast<std::size_t>(count));
    return Result::Whole;
  }

  Result ReadLine(std::string& aLine, double aEnd)
  {
    std::size_t at = 0;
    while ((at = this->buffer.find("\r\n")) == std::string::npos) {
      Result more = this->More(aEnd);
      if (more != Result::Whole) {
        return more == Result::Closed ? Result::Broken : more;
      }
    }
    aLine = this->buffer.substr(0, at);
    this->buffer.erase(0, at + 2);
    return Result::Whole;
  }

  Result ReadExactly(std::size_t aSize, std::string& aOut, double aEnd)
  {
    while (this->buffer.size() < aSize) {
      Result more = this->More(aEnd);
      if (more != Result::Whole) {
        return more == Result::Closed ? Result::Broken : more;
      }
    }
    aOut = this->buffer.substr(0, aSize);
    this->buffer.erase(0, aSize);
    return Result::Whole;
  }

  int fd;
  std::string buffer;
};

struct Answer
{
  int status = 0; // 0: no whole answer
  Headers headers;
  std::string body;
  Reader::Result end = Reader::Result::Closed;
};

// Reads an answer. A 204 and a 304 have no body.
inline Answer ReadAnswer(Reader& aReader,
                         double aTimeout,
                         const std::function<void(const std::string&)>& aSink = {})
{
  Answer out;
  std::string first;
  out.end = aReader.ReadHead(first, out.headers, aTimeout);
  if (out.end != Reader::Result::Whole) {
    return out;
  }
  if (first.rfind("HTTP/1.1 ", 0) != 0) {
    out.end = Reader::Result::Malformed;
    out.body = first;
    return out;
  }
  out.status = std::atoi(first.c_str() + 9);
  out.end = aReader.ReadBody(
    out.headers,
    out.status == 204 || out.status == 304,
    aTimeout,
    [&](const std::string& aPart) {
      out.body += aPart;
      if (aSink) {
        aSink(aPart);
      }
    },
    true);
  return out;
}

struct Request
{
  std::string method;
  std::string target;
  Headers headers;
  std::string body;

  std::string Header(const std::string& aName) const
  {
    auto found = this->headers.find(aName);
    return found == this->headers.end() ? "" : found->second;
  }
};

// Sends one request on a new connection and reads the answer; status 0 if there
// is none.
inline Answer Call(const std::string& aIp,
                   int aPort,
                   const std::string& aMethod,
                   const std::string& aTarget,
                   const std::string& aHeaders,
                   const std::string& aBody,
                   double aTimeout)
{
  int fd = Connect(aIp, aPort);
  if (fd < 0) {
    return {};
  }
  std::string length = aMethod == "GET" ? "" : "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  WriteAll(fd, aMethod + " " + aTarget + " HTTP/1.1\r\n" + aHeaders + length + "\r\n" + aBody);
  Reader reader(fd);
  Answer answer = ReadAnswer(reader, aTimeout);
  close(fd);
  if (answer.end != Reader::Result::Whole) {
    answer.status = 0;
  }
  return answer;
}

// An HTTP server with a thread for each connection. aHandle writes the answer
// and returns whether the connection is kept.
class Server
{
public:
  using Handle = std::function<bool(int aFd, const Request&)>;

  Server(const std::string& aIp, int aPort, Handle aHandle)
    : listener(Listen(aIp, aPort))
    , handle(std::move(aHandle))
  {
    std::thread([this] { this->Accept(); }).detach();
  }

  // Closes all connections and the listening socket, as the end of the process
  // does.
  void Stop()
  {
    std::lock_guard lock(this->mutex);
    this->isStopped = true;
    shutdown(this->listener, SHUT_RDWR);
    for (int fd : this->open) {
      shutdown(fd, SHUT_RDWR);
    }
  }

private:
  void Accept()
  {
    while (true) {
      int fd = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
      std::lock_guard lock(this->mutex);
      if (fd < 0 || this->isStopped) {
        close(fd);
        close(this->listener);
        return;
      }
      int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      this->open.push_back(fd);
      std::thread([this, fd] { this->Serve(fd); }).detach();
    }
  }

  void Serve(int aFd)
  {
    Reader reader(aFd);
    Request request;
    std::string first;
    while (reader.ReadHead(first, request.headers, 60) == Reader::Result::Whole) {
      std::istringstream words(first);
      words >> request.method >> request.target;
      request.body.clear();
      auto read = reader.ReadBody(
        request.headers, false, 10, [&](const std::string& aPart) { request.body += aPart; }, false);
      if (read != Reader::Result::Whole || !this->handle(aFd, request)) {
        break;
      }
    }
    std::lock_guard lock(this->mutex);
    std::erase(this->open, aFd);
    close(aFd);
  }

  int listener;
  Handle handle;
  std::mutex mutex;
  std::vector<int> open;
  bool isStopped = false;
};

inline std::string Plain(int aStatus, const std::string& aHeaders, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " x\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

inline std::string Chunk(const std::string& aText)
{
  std::ostringstream out;
  out << std::hex << aText.size() << "\r\n" << aText << "\r\n";
  return out.str();
}

// ---------------------------------------------------------------- platform list

// The platform's list of replicas. Entries are JSON texts.
class PlatformList
{
public:
  explicit PlatformList(int aMachine)
    : address(Ip(aMachine))
    , server(address, kListPort, [this](int aFd, const Request&) {
      std::string body;
      {
        std::lock_guard lock(this->mutex);
        for (const auto& entry : this->entries) {
          body += (body.empty() ? "" : ",") + entry;
        }
      }
      ++this->reads;
      return WriteAll(aFd,
                      Plain(200, "Content-Type: application/json\r\n",
                            "{\"instances\":[" + body + "],\"next\":null}"));
    })
  {
  }

  static std::string Entry(const std::string& aId,
                           const std::string& aService,
                           const std::string& aIp,
                           const std::string& aZone,
                           const std::string& aState)
  {
    return "{\"service\":\"" + aService + "\",\"address\":\"" + aIp + ":" +
           std::to_string(kReplicaPort) + "\",\"zone\":\"" + aZone +
           "\",\"version\":\"v1\",\"slots\":64,\"state\":\"" + aState +
           "\",\"coldRemainingMs\":0,\"stage\":\"both\",\"models\":[{\"name\":\"m\","
           "\"version\":1,\"adapters\":[]}],\"id\":\"" + aId + "\"}";
  }

  void Set(std::vector<std::string> aEntries)
  {
    std::lock_guard lock(this->mutex);
    this->entries = std::move(aEntries);
  }

  std::string Address() const { return this->address + ":" + std::to_string(kListPort); }
  int Reads() const { return this->reads; }

private:
  std::string address;
  std::mutex mutex;
  std::vector<std::string> entries;
  std::atomic<int> reads{ 0 };
  Server server;
};

// ---------------------------------------------------------------- machines

// A process of the system with its settings file.
class Machine
{
public:
  // aNumber: of the machine, from 1; its zone is one of three in turn.
  Machine(const std::string& aFolder,
          int aNumber,
          bool aIsControl,
          bool aHasDisk,
          const std::string& aList)
    : folder(aFolder)
    , number(aNumber)
    , isControl(aIsControl)
    , hasDisk(aHasDisk)
    , list(aList)
    , name((aIsControl ? "control-" : "front-") + std::to_string(aNumber))
  {
  }

  ~Machine() { this->Kill(); }

  std::string Ip() const { return review::Ip(this->number); }
  const std::string& Name() const { return this->name; }

  // Writes the settings file with these seeds (numbers of machines).
  void WriteSettings(const std::vector<int>& aSeeds, bool aBootstrap) const
  {
    std::string seeds;
    for (int seed : aSeeds) {
      seeds += (seeds.empty() ? "\"" : ",\"") + review::Ip(seed) + ":" + std::to_string(kControlPort) + "\"";
    }
    auto at = [this](int aPort) { return "\"" + this->Ip() + ":" + std::to_string(aPort) + "\""; };
    std::string zone = std::string("fi-south-") + static_cast<char>('a' + (this->number - 1) % 3);
    std::string data = this->DataFolder();
    if (this->hasDisk) {
      mkdir(data.c_str(), 0700);
    }
    std::string text = "{\"nodeName\":\"" + this->name + "\",\"role\":\"" +
      (this->isControl ? "control" : "router") + "\",\"machineClass\":\"front\",\"serves\":" +
      (this->isControl ? "[\"control\"]" : "[\"front\",\"directory\"]") + ",\"ip\":\"" + this->Ip() +
      "\",\"zone\":\"" + zone + "\",\"region\":\"fi-south\",\"zones\":{\"fi-south-a\":\"fi-south\","
      "\"fi-south-b\":\"fi-south\",\"fi-south-c\":\"fi-south\"},\"listen\":{" +
      (this->isControl ? "\"control\":" + at(kControlPort)
                       : "\"front\":" + at(kFrontPort) + ",\"ready\":" + at(kReadyPort) +
                           ",\"directory\":" + at(kDirectoryPort)) +
      "},\"internalPorts\":[" + std::to_string(kInternalPort) + "," + std::to_string(kInternalPort + 15) +
      "],\"seeds\":[" + seeds + "],\"bootstrap\":" + (aBootstrap ? "true" : "false") +
      ",\"inFaultBudget\":" + (this->hasDisk ? "true" : "false") +
      ",\"limits\":{\"cpuShare\":0.45,\"cores\":1,\"memoryMb\":260,\"maxFds\":4100,\"linkMbps\":1000.0,"
      "\"diskMb\":64}" + (this->isControl && this->hasDisk ? ",\"dataDir\":\"" + data + "\"" : "") +
      ",\"discovery\":\"cloud_api\",\"entry\":\"directory\",\"heartbeatMs\":1200,\"contracts\":[\"base\","
      "\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\"],"
      "\"faultTolerance\":{\"machines\":1,\"zones\":0,\"regions\":0},\"bounds\":{\"seedLagS\":3,"
      "\"addrReuseS\":2,\"contactWindowMs\":3000,\"ackTimeoutMs\":4000,\"catchUpS\":4,\"drainMs\":3000,"
      "\"graceS\":8,\"lossSlackMs\":200,\"configApplyMs\":2000,\"rollbackSlackMs\":250,\"maxSkewMs\":5000,"
      "\"strictRevoke\":false,\"revokeMs\":5000,\"retryBudgetRatio\":0.2,\"retryWindowS\":10,"
      "\"retrySlack\":60,\"recoveryS\":12,\"passMs\":120,\"retryAfterS\":8.1,\"settle_ms\":1500,"
      "\"ttl_max_s\":5},\"configMode\":\"highest\",\"cloud\":{\"address\":\"" + this->list +
      "\",\"ratePerS\":42.0,\"duties\":[],\"maxLagMs\":800}}";
    std::ofstream(this->SettingsFile()) << text;
  }

  // Starts the process with these seeds.
  void Start(const std::vector<int>& aSeeds, bool aBootstrap)
  {
    this->WriteSettings(aSeeds, aBootstrap);
    std::string file = this->SettingsFile();
    std::string log = this->folder + "/" + this->name + ".log";
    this->pid = fork();
    if (this->pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(out, 1);
      dup2(out, 2);
      setenv("LYCHEESTAND_NODE_FILE", file.c_str(), 1);
      execl("target/lycheestandd", "target/lycheestandd", "--platform", nullptr);
      _exit(127);
    }
    Record("machine %s: started", this->name.c_str());
  }

  void Signal(int aSignal)
  {
    if (this->pid > 0) {
      kill(this->pid, aSignal);
    }
  }

  void Kill()
  {
    if (this->pid > 0) {
      kill(this->pid, SIGKILL);
      waitpid(this->pid, nullptr, 0);
      this->pid = -1;
    }
  }

  // Empties the disk; the process must not be running.
  void LoseDisk() const
  {
    std::string remove = "rm -rf " + this->DataFolder();
    int ignored = std::system(remove.c_str());
    static_cast<void>(ignored);
  }

  // Returns whether the process has ended by itself.
  bool HasEnded()
  {
    if (this->pid > 0 && waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
      this->pid = -1;
    }
    return this->pid <= 0;
  }

  bool IsReady() const
  {
    return !this->isControl &&
           Call(this->Ip(), kReadyPort, "GET", "/ready", "Host: x\r\n", "", 1).status == 200;
  }

private:
  std::string SettingsFile() const { return this->folder + "/" + this->name + ".json"; }
  std::string DataFolder() const { return this->folder + "/data-" + std::to_string(this->number); }

  std::string folder;
  int number;
  bool isControl;
  bool hasDisk;
  std::string list;
  std::string name;
  pid_t pid = -1;
};

// ---------------------------------------------------------------- operator

// Sends a call of the operator's API to the nodes in turn, follows a 307 twice,
// and moves on after a failure, until aTimeout has passed. Returns the answer.
inline Answer CallControl(const std::vector<std::string>& aIps,
                          const std::string& aMethod,
                          const std::string& aBody,
                          double aTimeout)
{
  double end = Seconds() + aTimeout;
  double pause = 0.1;
  for (std::size_t i = 0;; ++i) {
    std::string ip = aIps[i % aIps.size()];
    Answer answer;
    for (int hop = 0; hop < 3; ++hop) {
      answer = Call(ip, kControlPort, aMethod, "/config",
                    "Host: x\r\nContent-Type: application/json\r\n", aBody, 1);
      if (answer.status != 307) {
        break;
      }
      std::string location = answer.headers["location"];
      auto begin = location.find("//");
      auto stop = location.find(':', begin);
      ip = location.substr(begin + 2, stop - begin - 2);
    }
    if ((answer.status >= 200 && answer.status < 300) ||
        (answer.status >= 400 && answer.status < 500 && answer.status != 408 && answer.status != 429)) {
      return answer;
    }
    if (Seconds() + pause >= end) {
      return {};
    }
    Sleep(pause);
    pause = std::min(1.0, pause * 1.5);
  }
}

// Temporary folder, record and time limit of a case. Ends with the exit code.
struct Case
{
  std::string folder;
  bool hasTrouble;

  explicit Case(const char* aRecord)
  {
    std::signal(SIGPIPE, SIG_IGN);
    gRecord = std::fopen(aRecord, "w");
    const char* trouble = std::getenv("TROUBLE");
    this->hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    char name[] = "/tmp/review-XXXXXX";
    if (gRecord == nullptr || mkdtemp(name) == nullptr || access("target/lycheestandd", X_OK) != 0) {
      std::fprintf(stderr, "can't run: no record, folder or target/lycheestandd\n");
      std::exit(2);
    }
    this->folder = name;
    Record("TROUBLE=%d", this->hasTrouble ? 1 : 0);
  }

  // The processes end with this one (PR_SET_PDEATHSIG).
  [[noreturn]] void End(int aCode, const std::string& aWhy) const
  {
    Record("result %d: %s", aCode, aWhy.c_str());
    std::printf("%d: %s\n", aCode, aWhy.c_str());
    std::fflush(stdout);
    if (std::getenv("KEEP") == nullptr) {
      std::string remove = "rm -rf " + this->folder;
      int ignored = std::system(remove.c_str());
      static_cast<void>(ignored);
    } else {
      std::printf("logs in %s\n", this->folder.c_str());
    }
    std::fflush(stdout);
    _exit(aCode);
  }
};

inline std::string NewId()
{
  static std::atomic<unsigned> next{ 1 };
  char text[20];
  std::snprintf(text, sizeof text, "%08x%08x", static_cast<unsigned>(getpid()), next++);
  return text;
}

} // namespace review

#endif
