#ifndef LYCHEESTAND_STORAGE_SRC_FILES_H
#define LYCHEESTAND_STORAGE_SRC_FILES_H

#include <lycheestand/storage.h>

namespace lycheestand::storage {

// Returns the error of a file operation that gave a negative errno.
StorageError
FileError(const std::string& aPath, const char* aAction, int aError);

// Writes all bytes; a file may take fewer at a time.
StorageResult<void>
WriteFully(const FileHooks& aHooks,
           const std::string& aPath,
           int aFile,
           std::string_view aBytes);

// Syncs a file or folder by its path.
StorageResult<void>
SyncPath(const FileHooks& aHooks, const std::string& aPath);

// Writes a whole file: new file, sync, rename, sync of the folder.
StorageResult<void>
ReplaceFile(const FileHooks& aHooks,
            const std::string& aFolder,
            const std::string& aName,
            std::string_view aBytes);

} // namespace lycheestand::storage

#endif
