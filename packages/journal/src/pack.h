#ifndef LYCHEESTAND_JOURNAL_PACK_H
#define LYCHEESTAND_JOURNAL_PACK_H

// Conversion of commands and outcomes, shared by both codecs.

#include "journal_generated.h"

#include <lycheestand/state.h>
#include <memory>
#include <string>
#include <vector>

namespace lycheestand::journal {

// Raised inside the codecs for a field that verifies but has no valid value.
struct InvalidField
{};

// Returns the enumerator, or raises InvalidField for a number past the last.
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

// Returns a buffer's finished bytes.
std::string
TakeBytes(const flatbuffers::FlatBufferBuilder& aBuilder);

std::unique_ptr<fb::AnswerT>
Pack(const StoredAnswer& aIn);

// A missing table is an empty answer.
StoredAnswer
UnpackAnswer(const fb::AnswerT* aIn);

fb::CommandT
Pack(const state::Command& aIn);

state::Command
Unpack(fb::CommandT& aIn);

fb::TokensGrantedT
Pack(const state::TokensGranted& aIn);

state::TokensGranted
Unpack(const fb::TokensGrantedT& aIn);

fb::OutcomeT
Pack(const state::Outcome& aIn);

state::Outcome
Unpack(fb::OutcomeT& aIn);

} // namespace lycheestand::journal

#endif
