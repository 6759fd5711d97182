#ifndef LYCHEESTAND_STORAGE_SRC_FILES_H
#define LYCHEESTAND_STORAGE_SRC_FILES_H

#include <lycheestand/storage.h>

namespace lycheestand::storage {

// Returns the error for a file operation that returned the negative errno
// `aError`; `aAction` is the verb for the message, such as "open".
StorageError
FileError(const std::string& aPath, const char* aAction, int aError);

// Returns the error for a failed sync. It is never DiskFull: the page cache may
// have dropped the data, so the sync must not be tried again.
StorageError
SyncError(const std::string& aPath, int aError);

// Writes all bytes, with several calls if the file accepts fewer at a time.
StorageResult<void>
WriteFully(const FileHooks& aHooks,
           const std::string& aPath,
           int aFile,
           std::string_view aBytes);

// Syncs a file or folder by its path.
StorageResult<void>
SyncPath(const FileHooks& aHooks, const std::string& aPath);

// Replaces a file atomically: writes and syncs a temporary file, renames it and
// syncs the folder.
StorageResult<void>
ReplaceFile(const FileHooks& aHooks,
            const std::string& aFolder,
            const std::string& aName,
            std::string_view aBytes);

} // namespace lycheestand::storage

#endif
