#include "files.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <unistd.h>

namespace lycheestand::storage {

namespace {

// Converts the result of a system call: -1 becomes the negative errno.
int
ToErrnoResult(int aResult)
{
  return aResult < 0 ? -errno : aResult;
}

int
ReadAll(const std::string& aPath, std::string& aBytes)
{
  int file = ::open(aPath.c_str(), O_RDONLY | O_CLOEXEC);
  if (file < 0) {
    return -errno;
  }
  aBytes.clear();
  char buffer[65536];
  ssize_t count = 0;
  while ((count = ::read(file, buffer, sizeof(buffer))) > 0) {
    aBytes.append(buffer, static_cast<std::size_t>(count));
  }
  int result = ToErrnoResult(static_cast<int>(count));
  ::close(file);
  return result;
}

int
List(const std::string& aPath, std::vector<std::string>& aNames)
{
  std::error_code error;
  for (const auto& item : std::filesystem::directory_iterator(aPath, error)) {
    aNames.push_back(item.path().filename().string());
  }
  return -error.value();
}

int
MakeFolder(const std::string& aPath)
{
  std::error_code error;
  std::filesystem::create_directories(aPath, error);
  return -error.value();
}

} // namespace

FileHooks
SystemFileHooks()
{
  FileHooks hooks;
  hooks.openAppend = [](const std::string& aPath) {
    return ToErrnoResult(
      ::open(aPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600));
  };
  hooks.openRead = [](const std::string& aPath) {
    return ToErrnoResult(::open(aPath.c_str(), O_RDONLY | O_CLOEXEC));
  };
  hooks.write = [](int aFile, std::string_view aBytes) -> std::int64_t {
    auto count = ::write(aFile, aBytes.data(), aBytes.size());
    return count < 0 ? -errno : count;
  };
  hooks.sync = [](int aFile) { return ToErrnoResult(::fsync(aFile)); };
  hooks.close = [](int aFile) { ::close(aFile); };
  hooks.lock = [](int aFile) {
    return ToErrnoResult(::flock(aFile, LOCK_EX | LOCK_NB));
  };
  hooks.rename = [](const std::string& aFrom, const std::string& aTo) {
    return ToErrnoResult(::rename(aFrom.c_str(), aTo.c_str()));
  };
  hooks.truncate = [](const std::string& aPath, std::uint64_t aBytes) {
    return ToErrnoResult(::truncate(aPath.c_str(), static_cast<off_t>(aBytes)));
  };
  hooks.remove = [](const std::string& aPath) {
    return ToErrnoResult(::unlink(aPath.c_str()));
  };
  hooks.makeFolder = MakeFolder;
  hooks.readAll = ReadAll;
  hooks.list = List;
  return hooks;
}

StorageError
FileError(const std::string& aPath, const char* aAction, int aError)
{
  int number = -aError;
  bool isFull = number == ENOSPC || number == EDQUOT;
  return { isFull ? ErrorKind::DiskFull : ErrorKind::Io,
           aPath + ": can't " + aAction + ": " + std::strerror(number) };
}

StorageError
SyncError(const std::string& aPath, int aError)
{
  StorageError error = FileError(aPath, "sync", aError);
  error.kind = ErrorKind::Io;
  return error;
}

StorageResult<void>
WriteFully(const FileHooks& aHooks,
           const std::string& aPath,
           int aFile,
           std::string_view aBytes)
{
  while (!aBytes.empty()) {
    auto count = aHooks.write(aFile, aBytes);
    if (count == -EINTR) {
      continue;
    }
    if (count <= 0) {
      return FileError(
        aPath, "write", count == 0 ? -EIO : static_cast<int>(count));
    }
    aBytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return boost::outcome_v2::success();
}

StorageResult<void>
SyncPath(const FileHooks& aHooks, const std::string& aPath)
{
  int file = aHooks.openRead(aPath);
  if (file < 0) {
    return FileError(aPath, "open", file);
  }
  int synced = aHooks.sync(file);
  aHooks.close(file);
  if (synced < 0) {
    return SyncError(aPath, synced);
  }
  return boost::outcome_v2::success();
}

// The old file stays in place until the new one is complete. Syncing the folder
// makes the rename durable.
StorageResult<void>
ReplaceFile(const FileHooks& aHooks,
            const std::string& aFolder,
            const std::string& aName,
            std::string_view aBytes)
{
  std::string path = aFolder + "/" + aName;
  std::string temporary = path + ".new";
  aHooks.remove(temporary);
  int file = aHooks.openAppend(temporary);
  if (file < 0) {
    return FileError(temporary, "create", file);
  }
  auto written = WriteFully(aHooks, temporary, file, aBytes);
  int synced = written.has_value() ? aHooks.sync(file) : 0;
  aHooks.close(file);
  if (written.has_error()) {
    return written;
  }
  if (synced < 0) {
    return SyncError(temporary, synced);
  }
  int renamed = aHooks.rename(temporary, path);
  if (renamed < 0) {
    return FileError(path, "rename", renamed);
  }
  return SyncPath(aHooks, aFolder);
}

} // namespace lycheestand::storage
