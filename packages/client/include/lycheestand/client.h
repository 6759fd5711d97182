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
  // Invalid option or file; nothing was sent.
  Usage = 2,
  // Another change with the same base version was applied first.
  Conflict = 3,
  // Control refused the request, or has no such workspace or version; nothing
  // was changed.
  Refused = 4,
  // No control leader could be reached; nothing was changed.
  Unavailable = 5,
  // The response was lost; the change may have been made.
  Unknown = 6,
  // Control rejected the operator's key.
  Unauthorized = 7
};

// One HTTP request to an admin address.
struct AdminRequest
{
  std::string method;
  std::string target;
  // The operator's key, sent as a bearer token.
  std::string bearer;
  std::string body;
};

struct AdminResponse
{
  unsigned status = 0;
  std::string body;
};

// Why a request has no response.
enum class SendFailure
{
  // No connection; the request did not run.
  NotSent,
  // The connection failed or timed out later; the request may have run.
  NoAnswer
};

// Sends one request and waits for its response up to a time limit.
using Transport =
  std::function<Result<AdminResponse, SendFailure>(const Address&,
                                                   const AdminRequest&)>;

// External dependencies of the commands; tests replace them.
struct Environment
{
  Transport send;
  std::function<TimePoint()> now;
  // Blocks for a time.
  std::function<void(Duration)> wait;
  // Returns a new change id.
  std::function<std::string()> makeChangeId;
  std::ostream* out = nullptr;
  std::ostream* err = nullptr;
};

// Returns a transport over HTTP. aTimeout limits each request from connecting
// to the end of the response.
Transport
MakeHttpTransport(Duration aTimeout);

// Returns an environment with the system clock, the network, random change ids
// and the standard streams.
Environment
MakeEnvironment();

// Runs the command in aArguments, which don't include the program's name.
// Returns the exit code; errors are written to the environment's err.
int
Run(const Environment& aEnvironment,
    const std::vector<std::string>& aArguments);

} // namespace lycheestand::client

#endif
