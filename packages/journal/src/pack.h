#ifndef LYCHEESTAND_JOURNAL_PACK_H
#define LYCHEESTAND_JOURNAL_PACK_H

// Converts commands and outcomes to and from their generated FlatBuffers types.
// Shared by the codecs of commands and snapshots.

#include "journal_generated.h"

#include <lycheestand/state.h>
#include <memory>
#include <string>
#include <vector>

namespace lycheestand::journal {

// Thrown inside the codecs if a field has an invalid value in a buffer that
// passed verification. The public functions catch it.
struct InvalidField
{};

// Returns the enumerator; throws InvalidField for a number above that of the
// last enumerator, `aLast`.
template<class To, class From>
To
CheckedEnum(From aValue, To aLast)
{
  auto number = static_cast<std::uint8_t>(aValue);
  if (number > static_cast<std::uint8_t>(aLast)) {
    throw InvalidField{};
  }
  return static_cast<To>(number);
}

// Returns the bytes of a finished buffer.
std::string
CopyBuffer(const flatbuffers::FlatBufferBuilder& aBuilder);

std::unique_ptr<fb::AnswerT>
Pack(const StoredAnswer& aIn);

// A null pointer stands for a missing table and gives an empty answer.
StoredAnswer
UnpackAnswer(const fb::AnswerT* aIn);

fb::CommandT
Pack(const state::Command& aIn);

// Throws InvalidField.
state::Command
Unpack(fb::CommandT& aIn);

fb::TokensGrantedT
Pack(const state::TokensGranted& aIn);

state::TokensGranted
Unpack(const fb::TokensGrantedT& aIn);

fb::OutcomeT
Pack(const state::Outcome& aIn);

// Throws InvalidField.
state::Outcome
Unpack(fb::OutcomeT& aIn);

} // namespace lycheestand::journal

#endif
