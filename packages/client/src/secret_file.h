#ifndef LYCHEESTAND_CLIENT_SRC_SECRET_FILE_H
#define LYCHEESTAND_CLIENT_SRC_SECRET_FILE_H

#include <lycheestand/core.h>
#include <string>

namespace lycheestand::client {

// Creates a file that only its owner can read. Returns an error message, or an
// empty string on success. Fails if the file exists; it is then unchanged.
std::string
WriteSecretFile(const std::string& aPath, const std::string& aText);

// Returns a new bearer key.
std::string
MakeBearerKey();

// Returns the hash by which control identifies a bearer key.
KeyHash
HashBearerKey(const std::string& aKey);

// Returns a fleet key: 64 random hexadecimal digits.
std::string
MakeFleetKey();

// Returns a new random id for a change.
std::string
MakeChangeId();

} // namespace lycheestand::client

#endif
