#include "secret_file.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <lycheestand/net.h>
#include <unistd.h>

namespace lycheestand::client {

namespace {

// Length of "ly-", which precedes the random digits of a bearer key.
constexpr std::size_t kKeyPrefixLength = 3;

constexpr std::size_t kChangeIdDigits = 24;

} // namespace

// The mode is set at creation, because a chmod afterwards would leave a moment
// in which others can open the file.
std::string
WriteSecretFile(const std::string& aPath, const std::string& aText)
{
  int file =
    ::open(aPath.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600);
  if (file < 0) {
    return aPath + ": can't create the file: " + std::strerror(errno);
  }
  bool isWritten = ::write(file, aText.data(), aText.size()) ==
                     static_cast<ssize_t>(aText.size()) &&
                   ::fsync(file) == 0;
  std::string error =
    isWritten ? "" : aPath + ": can't write the file: " + std::strerror(errno);
  ::close(file);
  return error;
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
  return net::GenerateKey().substr(kKeyPrefixLength);
}

std::string
MakeChangeId()
{
  return "ch-" + net::GenerateKey().substr(kKeyPrefixLength, kChangeIdDigits);
}

} // namespace lycheestand::client
