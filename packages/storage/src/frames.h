#ifndef LYCHEESTAND_STORAGE_SRC_FRAMES_H
#define LYCHEESTAND_STORAGE_SRC_FRAMES_H

#include <lycheestand/storage.h>

namespace lycheestand::storage {

// A checked piece of a file: length, mark, checksum, body. All numbers are
// little-endian.
inline constexpr std::size_t kFrameHeaderBytes = 16;

// Returns a body with its header.
std::string
Frame(const std::string& aBody);

// Returns the body of the frame at an offset, if it is whole and its checksum
// agrees; any input is safe.
std::optional<std::string_view>
FindFrame(std::string_view aBytes, std::size_t aOffset);

// Bodies of the three kinds of frames, and back; any input is safe.
std::string
EncodeRecord(const Record& aRecord);
std::optional<Record>
DecodeRecord(std::string_view aBody);

std::string
EncodeState(const HardState& aState);
std::optional<HardState>
DecodeState(std::string_view aBody);

// A snapshot and the first segment that holds entries after it.
struct SnapshotFile
{
  SnapshotRecord snapshot;
  std::uint64_t firstSegment = 1;
};
std::string
EncodeSnapshot(const SnapshotFile& aFile);
std::optional<SnapshotFile>
DecodeSnapshot(std::string_view aBody);

} // namespace lycheestand::storage

#endif
