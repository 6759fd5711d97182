#ifndef LYCHEESTAND_STORAGE_SRC_FRAMES_H
#define LYCHEESTAND_STORAGE_SRC_FRAMES_H

#include <lycheestand/storage.h>

namespace lycheestand::storage {

// A frame is a body with a header of 16 bytes: length (4), magic number (4) and
// checksum (8). All numbers are little-endian.
inline constexpr std::size_t kFrameHeaderBytes = 16;

// Returns the frame of a body.
std::string
EncodeFrame(const std::string& aBody);

// Returns the body of the frame at an offset, or nothing if the frame is
// incomplete or its checksum is wrong. Accepts arbitrary bytes.
std::optional<std::string_view>
DecodeFrame(std::string_view aBytes, std::size_t aOffset);

// Encode and decode the bodies of the three kinds of frames. The decoders
// accept arbitrary bytes and return nothing if they are malformed.

// The records of a batch, of which there is at least one.
std::string
EncodeRecords(const std::vector<Record>& aRecords);
std::optional<std::vector<Record>>
DecodeRecords(std::string_view aBody);

std::string
EncodeState(const HardState& aState);
std::optional<HardState>
DecodeState(std::string_view aBody);

// The contents of the snapshot file: the snapshot and the number of the first
// segment that holds entries after it.
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
