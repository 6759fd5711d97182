#ifndef LYCHEESTAND_JOURNAL_H
#define LYCHEESTAND_JOURNAL_H

// Encodes replicated commands and snapshots of the whole state, with
// FlatBuffers (journal.fbs).

#include <lycheestand/core.h>
#include <lycheestand/state.h>
#include <string>
#include <string_view>

namespace lycheestand::journal {

// Why bytes could not be decoded.
enum class JournalError
{
  // The bytes are not a valid FlatBuffers buffer of this type.
  Malformed,
  // The buffer is valid, but a field has a value that is never encoded.
  InvalidValue
};

// Returns the encoded command, which is the payload of a log entry.
std::string
EncodeCommand(const state::Command& aCommand);

// Decodes a command. Accepts arbitrary bytes.
Result<state::Command, JournalError>
DecodeCommand(std::string_view aBytes);

// Returns the encoded state.
std::string
EncodeSnapshot(const state::StateMachine& aMachine);

// Decodes a state machine, which equals the encoded one. Accepts arbitrary
// bytes and checks the invariants of the controllers.
Result<state::StateMachine, JournalError>
DecodeSnapshot(std::string_view aBytes);

} // namespace lycheestand::journal

#endif
