#include "secret_file.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <lycheestand/net.h>
#include <unistd.h>

namespace lycheestand::client {

namespace {

// Characters before the random digits of a bearer key ("ly-").
constexpr std::size_t kKeyPrefix = 3;

constexpr std::size_t kChangeDigits = 24;

} // namespace

// The mode is set when the file is created, so that its content is never
// readable by others, not even for a moment.
std::string
WriteSecret(const std::string& aPath, const std::string& aText)
{
  int file =
    ::open(aPath.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600);
  if (file < 0) {
    return aPath + ": can't be created: " + std::strerror(errno);
  }
  bool isWritten = ::write(file, aText.data(), aText.size()) ==
                     static_cast<ssize_t>(aText.size()) &&
                   ::fsync(file) == 0;
  std::string problem =
    isWritten ? "" : aPath + ": can't be written: " + std::strerror(errno);
  ::close(file);
  return problem;
}

std::string
MakeBearerKey()
{
  return net::GenerateKey();
}

KeyHash
HashBearerKey(const std::string& aKey)
{
  return net::HashKey(aKey);
}

std::string
MakeFleetKey()
{
  return net::GenerateKey().substr(kKeyPrefix);
}

std::string
MakeChangeId()
{
  return "ch-" + net::GenerateKey().substr(kKeyPrefix, kChangeDigits);
}

} // namespace lycheestand::client
