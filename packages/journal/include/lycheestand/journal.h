#ifndef LYCHEESTAND_JOURNAL_H
#define LYCHEESTAND_JOURNAL_H

// Encoding of replicated commands and of whole-state snapshots.

#include <lycheestand/core.h>
#include <lycheestand/state.h>
#include <string>
#include <string_view>

namespace lycheestand::journal {

// Why bytes are not a command or a snapshot.
enum class JournalError
{
  Malformed,
  // The buffer is well formed, but a value in it can't have been encoded.
  InvalidValue
};

// Returns the bytes of one log record's payload.
std::string
EncodeCommand(const state::Command& aCommand);

// Returns the command in the bytes; any input is safe.
Result<state::Command, JournalError>
DecodeCommand(std::string_view aBytes);

// Returns the bytes of the whole state.
std::string
EncodeSnapshot(const state::StateMachine& aMachine);

// Returns the state in the bytes, which behaves as the encoded one did; any
// input is safe.
Result<state::StateMachine, JournalError>
DecodeSnapshot(std::string_view aBytes);

} // namespace lycheestand::journal

#endif
