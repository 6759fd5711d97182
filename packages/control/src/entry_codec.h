#ifndef LYCHEESTAND_CONTROL_SRC_ENTRY_CODEC_H
#define LYCHEESTAND_CONTROL_SRC_ENTRY_CODEC_H

// Encodes log entries as a kind and a payload. Messages and records on disk use
// the same encoding.

#include <lycheestand/consensus.h>
#include <string_view>

namespace lycheestand::control {

// Encodes the group's members as JSON.
std::string
EncodeMembers(const consensus::Configuration& aMembers);

// Decodes the group's members; returns nothing if the text is malformed.
// Untrusted input is safe.
std::optional<consensus::Configuration>
DecodeMembers(std::string_view aText);

// Returns the number that stands for the type of the body.
std::uint8_t
KindOf(const consensus::EntryBody& aBody);

std::string
EncodePayload(const consensus::EntryBody& aBody);

// Decodes an entry's body; returns nothing if the kind is unknown or the
// payload is malformed. Untrusted input is safe.
std::optional<consensus::EntryBody>
DecodePayload(std::uint8_t aKind, const std::string& aPayload);

} // namespace lycheestand::control

#endif
