#include "process.h"

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace lycheestand::faults {

namespace {

constexpr std::uint16_t kFirstPort = 35000;
constexpr int kAddressCount = 250;
constexpr std::size_t kLogTailBytes = 3000;

// Returns a socket that listens on the address, or -1 if the address is in use
// by another test. The open socket marks the address as taken.
int
ReserveAddress(const std::string& aHost)
{
  int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(kFirstPort);
  ::inet_pton(AF_INET, aHost.c_str(), &address.sin_addr);
  if (::bind(listener,
             reinterpret_cast<sockaddr*>(&address),
             sizeof(address)) == 0 &&
      ::listen(listener, 1) == 0) {
    return listener;
  }
  ::close(listener);
  return -1;
}

} // namespace

bool
WaitFor(Duration aTimeout, const std::function<bool()>& aCondition)
{
  auto end = Clock::now() + aTimeout;
  while (!aCondition()) {
    if (Clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(20ms);
  }
  return true;
}

TestEnvironment::TestEnvironment()
  : nextPort(kFirstPort + 1)
{
  for (int i = 0; i < kAddressCount && this->reservationSocket < 0; ++i) {
    this->host =
      "127.35." + std::to_string((::getpid() + i) % kAddressCount) + ".1";
    this->reservationSocket = ReserveAddress(this->host);
  }
  std::string pattern =
    (std::filesystem::temp_directory_path() / "lycheestand-faults-XXXXXX")
      .string();
  if (this->reservationSocket < 0 || ::mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error(
      "can't reserve a loopback address in 127.35.0.0/16 or create a "
      "temporary folder for the test");
  }
  this->folder = pattern;
}

TestEnvironment::~TestEnvironment()
{
  ::close(this->reservationSocket);
  if (!this->keepsFolder) {
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
  }
}

Address
TestEnvironment::NextAddress()
{
  return { this->host, this->nextPort++ };
}

std::string
TestEnvironment::MachineIp(int aNumber) const
{
  return this->host.substr(0, this->host.rfind('.') + 1) +
         std::to_string(aNumber + 1);
}

Process::Process(std::string aName,
                 std::filesystem::path aLog,
                 std::vector<std::string> aCommand)
  : name(std::move(aName))
  , log(std::move(aLog))
  , command(std::move(aCommand))
{
  this->Start();
}

Process::~Process()
{
  this->Kill();
}

void
Process::Start()
{
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  ::posix_spawn_file_actions_addopen(&actions,
                                     STDOUT_FILENO,
                                     this->log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND,
                                     0600);
  ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::vector<char*> arguments;
  for (auto& argument : this->command) {
    arguments.push_back(argument.data());
  }
  arguments.push_back(nullptr);
  int error = ::posix_spawn(
    &this->id, arguments[0], &actions, nullptr, arguments.data(), environ);
  ::posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    this->id = 0;
    throw std::runtime_error("can't spawn " + this->command[0] +
                             ": posix_spawn returned error " +
                             std::to_string(error));
  }
}

std::size_t
Process::ResidentBytes() const
{
  std::ifstream file("/proc/" + std::to_string(this->id) + "/statm");
  std::size_t pages = 0;
  std::size_t residentPages = 0;
  file >> pages >> residentPages;
  return residentPages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

void
Process::Signal(int aSignal) const
{
  if (this->id > 0) {
    ::kill(this->id, aSignal);
  }
}

void
Process::Kill()
{
  if (this->id > 0) {
    ::kill(this->id, SIGKILL);
    ::waitpid(this->id, nullptr, 0);
    this->id = 0;
  }
}

int
Process::WaitForExit(Duration aTimeout)
{
  int status = 0;
  bool ended = WaitFor(aTimeout, [&] {
    return this->id > 0 && ::waitpid(this->id, &status, WNOHANG) == this->id;
  });
  if (!ended) {
    return -1;
  }
  this->id = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

std::string
Process::Log() const
{
  std::ifstream file(this->log);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string
Process::LogTail() const
{
  std::string text = this->Log();
  return text.size() > kLogTailBytes ? text.substr(text.size() - kLogTailBytes)
                                     : text;
}

} // namespace lycheestand::faults
