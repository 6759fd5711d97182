#ifndef LYCHEESTAND_TEST_FAULTS_PROCESS_H
#define LYCHEESTAND_TEST_FAULTS_PROCESS_H

// Processes, folders and addresses of one fault test.

#include <chrono>
#include <filesystem>
#include <functional>
#include <lycheestand/core.h>
#include <string>
#include <sys/types.h>
#include <vector>

namespace lycheestand::faults {

using namespace std::chrono_literals;

// Waits until a condition holds; returns whether it did within the limit.
bool
WaitFor(Duration aLimit, const std::function<bool()>& aCondition);

// A folder and a loopback address that no other running test uses. The
// address differs from 127.0.0.1, which outgoing connections have, so that
// their ports never collide with those of the test's processes.
class TestPlace
{
public:
  TestPlace();
  ~TestPlace();
  TestPlace(const TestPlace&) = delete;
  TestPlace& operator=(const TestPlace&) = delete;

  // Returns an address with the next free port.
  Address NextAddress();

  const std::filesystem::path& Folder() const { return this->folder; }

  // Keeps the folder, for the logs of a failed test.
  void Keep() { this->isKept = true; }

private:
  std::string host;
  std::uint16_t nextPort;
  int guard = -1;
  std::filesystem::path folder;
  bool isKept = false;
};

// A process that the test started; it is killed by its id at the end.
class Process
{
public:
  Process(std::string aName,
          std::filesystem::path aLog,
          std::vector<std::string> aCommand);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Start();
  // Sends a signal if the process runs.
  void Signal(int aSignal) const;
  // Kills the process at once and waits for its end.
  void Kill();
  // Returns the exit code once the process has ended by itself, or -1.
  int WaitForExit(Duration aLimit);
  bool IsRunning() const { return this->id > 0; }

  const std::string& Name() const { return this->name; }
  // Returns all that the process has written, over all its lives.
  std::string Log() const;
  // Returns the last lines, for a failed test.
  std::string LogTail() const;

private:
  std::string name;
  std::filesystem::path log;
  std::vector<std::string> command;
  pid_t id = 0;
};

} // namespace lycheestand::faults

#endif
