#ifndef LYCHEESTAND_CONTROL_SRC_ENTRY_CODEC_H
#define LYCHEESTAND_CONTROL_SRC_ENTRY_CODEC_H

// Log entries as a kind and a payload, for messages and for the disk.

#include <lycheestand/consensus.h>
#include <string_view>

namespace lycheestand::control {

// Returns the members as JSON.
std::string
EncodeMembers(const consensus::Configuration& aMembers);

// Returns the members in a text; any input is safe.
std::optional<consensus::Configuration>
DecodeMembers(std::string_view aText);

std::uint8_t
KindOf(const consensus::EntryBody& aBody);

std::string
EncodePayload(const consensus::EntryBody& aBody);

// Returns the entry's body; any input is safe.
std::optional<consensus::EntryBody>
DecodePayload(std::uint8_t aKind, const std::string& aPayload);

} // namespace lycheestand::control

#endif
