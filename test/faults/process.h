#ifndef LYCHEESTAND_TEST_FAULTS_PROCESS_H
#define LYCHEESTAND_TEST_FAULTS_PROCESS_H

// Starts child processes and reserves folders and addresses for a fault test.

#include <chrono>
#include <filesystem>
#include <functional>
#include <lycheestand/core.h>
#include <string>
#include <sys/types.h>
#include <vector>

namespace lycheestand::faults {

using namespace std::chrono_literals;

// Polls a condition until it holds or the timeout expires; returns whether it
// held. Throws what the condition throws.
bool
WaitFor(Duration aTimeout, const std::function<bool()>& aCondition);

// A temporary folder and a loopback address that no other running test uses.
// The address is never 127.0.0.1, the source address of outgoing connections,
// so their ephemeral ports can't collide with the ports of the test's
// processes. The constructor throws std::runtime_error if none is free.
class TestEnvironment
{
public:
  TestEnvironment();
  ~TestEnvironment();
  TestEnvironment(const TestEnvironment&) = delete;
  TestEnvironment& operator=(const TestEnvironment&) = delete;

  // Returns the test's address with a port that it has not returned before.
  Address NextAddress();

  // Returns the IP address of a simulated machine, by its number from 1 to 250.
  // No other running test uses it, so its processes may use any port.
  std::string MachineIp(int aNumber) const;

  const std::filesystem::path& Folder() const { return this->folder; }

  // Keeps the folder after destruction, for the logs of a failed test.
  void KeepFolder() { this->keepsFolder = true; }

private:
  std::string host;
  std::uint16_t nextPort;
  int reservationSocket = -1;
  std::filesystem::path folder;
  bool keepsFolder = false;
};

// A child process with its output appended to a log file. The constructor
// starts it and the destructor kills it with SIGKILL.
class Process
{
public:
  Process(std::string aName,
          std::filesystem::path aLog,
          std::vector<std::string> aCommand);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Starts the process again after it has ended. Throws std::runtime_error if
  // it can't be spawned.
  void Start();
  // Returns the memory that the process uses, or 0 if it isn't running.
  std::size_t ResidentBytes() const;
  // Sends a signal; has no effect if the process isn't running.
  void Signal(int aSignal) const;
  // Sends SIGKILL and waits until the process has ended.
  void Kill();
  // Waits for the process to exit. Returns its exit code, or -1 on timeout or
  // if a signal ended it.
  int WaitForExit(Duration aTimeout);
  pid_t Id() const { return this->id; }
  bool IsRunning() const { return this->id > 0; }

  const std::string& Name() const { return this->name; }
  // Returns all output of the process, including that of earlier starts.
  std::string Log() const;
  // Returns the end of the log, for the report of a failed test.
  std::string LogTail() const;

private:
  std::string name;
  std::filesystem::path log;
  std::vector<std::string> command;
  pid_t id = 0;
};

} // namespace lycheestand::faults

#endif
