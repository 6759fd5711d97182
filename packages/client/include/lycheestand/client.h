#ifndef LYCHEESTAND_CLIENT_H
#define LYCHEESTAND_CLIENT_H

// The operators' client: commands that read and change a fleet through the
// admin interface of its control instances.

#include <functional>
#include <lycheestand/core.h>
#include <lycheestand/settings.h>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace lycheestand::client {

inline constexpr const char* kVersion = "0.1.0";

// Exit codes of the program; docs/OPERATIONS.md lists them.
enum class ExitCode
{
  Done = 0,
  // "config diff" found a difference.
  Differs = 1,
  // Wrong options, or a file with an error; nothing was sent.
  Usage = 2,
  // Another change with the same base version won.
  Conflict = 3,
  // Control refused: the change was not made.
  Refused = 4,
  // No control instance that leads could be reached; nothing was changed.
  Unavailable = 5,
  // The answer was lost and the change may have been made.
  Unknown = 6,
  // The operator's key was not accepted.
  Unauthorized = 7
};

// One HTTP request to an admin address.
struct AdminRequest
{
  std::string method;
  std::string target;
  std::string bearer;
  std::string body;
};

struct AdminAnswer
{
  unsigned status = 0;
  std::string body;
};

// Why a request got no answer.
enum class SendFailure
{
  // No connection: the request did not run.
  NotSent,
  // The request may have run.
  NoAnswer
};

// Sends one request and waits for its answer for a limited time.
using Transport =
  std::function<Result<AdminAnswer, SendFailure>(const Address&,
                                                 const AdminRequest&)>;

// What the commands need from outside; tests supply their own.
struct Environment
{
  Transport send;
  std::function<TimePoint()> now;
  std::function<void(Duration)> wait;
  // Returns a new change id.
  std::function<std::string()> makeChangeId;
  std::ostream* out = nullptr;
  std::ostream* err = nullptr;
};

// Returns a transport over HTTP with the time limit for each request.
Transport
MakeHttpTransport(Duration aTimeout);

// Returns an environment with the real clock, network and random source.
Environment
MakeEnvironment();

// Runs one command line, without the program's name; returns its exit code.
int
Run(const Environment& aEnvironment,
    const std::vector<std::string>& aArguments);

} // namespace lycheestand::client

#endif
