#ifndef LYCHEESTAND_CLIENT_SRC_SECRET_FILE_H
#define LYCHEESTAND_CLIENT_SRC_SECRET_FILE_H

#include <lycheestand/core.h>
#include <string>

namespace lycheestand::client {

// Writes a new file that only its owner can read; returns what went wrong, or
// nothing. A file that exists is left as it is.
std::string
WriteSecret(const std::string& aPath, const std::string& aText);

// Returns a new bearer key.
std::string
MakeBearerKey();

// Returns the hash under which control knows a bearer key.
KeyHash
HashBearerKey(const std::string& aKey);

// Returns 64 random hexadecimal digits.
std::string
MakeFleetKey();

// Returns a new id for a change.
std::string
MakeChangeId();

} // namespace lycheestand::client

#endif
