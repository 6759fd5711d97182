#include "frames.h"

#include <xxhash.h>

namespace lycheestand::storage {

namespace {

// "LYC1": distinguishes frames from other bytes, such as the zeroes that a torn
// write leaves at the end of a file.
constexpr std::uint32_t kFrameMagic = 0x3143594c;

constexpr std::uint64_t kBatchMark = 0;

template<class Number>
void
AppendNumber(std::string& aOut, Number aValue)
{
  for (std::size_t i = 0; i < sizeof(Number); ++i) {
    aOut.push_back(static_cast<char>(aValue >> (8 * i)));
  }
}

void
AppendString(std::string& aOut, const std::string& aText)
{
  AppendNumber(aOut, static_cast<std::uint64_t>(aText.size()));
  aOut += aText;
}

// Reads numbers and strings from the front of a byte string. A read past the
// end returns an empty value and sets IsTruncated().
class ByteReader
{
public:
  explicit ByteReader(std::string_view aBytes)
    : bytes(aBytes)
  {
  }

  template<class Number>
  Number Read()
  {
    if (this->bytes.size() < sizeof(Number)) {
      this->isTruncated = true;
      return 0;
    }
    Number value = 0;
    for (std::size_t i = 0; i < sizeof(Number); ++i) {
      auto byte =
        static_cast<Number>(static_cast<unsigned char>(this->bytes[i]));
      value = static_cast<Number>(value | (byte << (8 * i)));
    }
    this->bytes.remove_prefix(sizeof(Number));
    return value;
  }

  std::string ReadString()
  {
    auto size = this->Read<std::uint64_t>();
    if (size > this->bytes.size()) {
      this->isTruncated = true;
      return "";
    }
    std::string text(this->bytes.substr(0, size));
    this->bytes.remove_prefix(size);
    return text;
  }

  std::string_view Remaining() const { return this->bytes; }
  bool IsTruncated() const { return this->isTruncated; }
  bool IsFullyRead() const { return !this->isTruncated && this->bytes.empty(); }

private:
  std::string_view bytes;
  bool isTruncated = false;
};

std::uint64_t
Checksum(std::string_view aBody)
{
  return XXH64(aBody.data(), aBody.size(), aBody.size());
}

std::string
EncodeRecord(const Record& aRecord)
{
  std::string out;
  AppendNumber(out, aRecord.index.Get());
  AppendNumber(out, aRecord.term.Get());
  AppendNumber(out, aRecord.kind);
  return out + aRecord.payload;
}

std::optional<Record>
DecodeRecord(std::string_view aBody)
{
  ByteReader reader(aBody);
  Record record;
  record.index = LogIndex(reader.Read<std::uint64_t>());
  record.term = Term(reader.Read<std::uint64_t>());
  record.kind = reader.Read<std::uint8_t>();
  record.payload = std::string(reader.Remaining());
  return reader.IsTruncated() || record.index == LogIndex(0)
           ? std::nullopt
           : std::optional(std::move(record));
}

} // namespace

std::string
EncodeFrame(const std::string& aBody)
{
  std::string out;
  out.reserve(kFrameHeaderBytes + aBody.size());
  AppendNumber(out, static_cast<std::uint32_t>(aBody.size()));
  AppendNumber(out, kFrameMagic);
  AppendNumber(out, Checksum(aBody));
  out += aBody;
  return out;
}

std::optional<std::string_view>
DecodeFrame(std::string_view aBytes, std::size_t aOffset)
{
  if (aBytes.size() < kFrameHeaderBytes ||
      aOffset > aBytes.size() - kFrameHeaderBytes) {
    return std::nullopt;
  }
  ByteReader header(aBytes.substr(aOffset));
  auto length = header.Read<std::uint32_t>();
  auto magic = header.Read<std::uint32_t>();
  auto checksum = header.Read<std::uint64_t>();
  if (magic != kFrameMagic || header.Remaining().size() < length) {
    return std::nullopt;
  }
  auto body = header.Remaining().substr(0, length);
  return Checksum(body) == checksum ? std::optional(body) : std::nullopt;
}

// A frame with several records is one unit for its checksum, so a power loss
// leaves the whole batch or none of it. Index 0, which no record has, marks it;
// a single record has no mark.
std::string
EncodeRecords(const std::vector<Record>& aRecords)
{
  if (aRecords.size() == 1) {
    return EncodeRecord(aRecords.front());
  }
  std::string out;
  AppendNumber(out, kBatchMark);
  for (const auto& record : aRecords) {
    AppendString(out, EncodeRecord(record));
  }
  return out;
}

std::optional<std::vector<Record>>
DecodeRecords(std::string_view aBody)
{
  ByteReader reader(aBody);
  if (reader.Read<std::uint64_t>() != kBatchMark) {
    auto record = DecodeRecord(aBody);
    return record ? std::optional(std::vector{ std::move(*record) })
                  : std::nullopt;
  }
  std::vector<Record> records;
  while (!reader.Remaining().empty()) {
    auto record = DecodeRecord(reader.ReadString());
    if (reader.IsTruncated() || !record) {
      return std::nullopt;
    }
    records.push_back(std::move(*record));
  }
  return records.empty() ? std::nullopt : std::optional(std::move(records));
}

std::string
EncodeState(const HardState& aState)
{
  std::string out;
  AppendNumber(out, aState.group.Get());
  AppendNumber(out, aState.disk.Get());
  AppendNumber(out, aState.term.Get());
  AppendNumber(out, static_cast<std::uint8_t>(aState.hasVote));
  AppendString(out, aState.voteInstance.Get());
  AppendNumber(out, aState.voteDisk.Get());
  AppendNumber(out, static_cast<std::uint8_t>(aState.mayBootstrap));
  return out;
}

std::optional<HardState>
DecodeState(std::string_view aBody)
{
  ByteReader reader(aBody);
  HardState state;
  state.group = GroupId(reader.Read<std::uint32_t>());
  state.disk = DiskId(reader.Read<std::uint64_t>());
  state.term = Term(reader.Read<std::uint64_t>());
  state.hasVote = reader.Read<std::uint8_t>() != 0;
  state.voteInstance = InstanceId(reader.ReadString());
  state.voteDisk = DiskId(reader.Read<std::uint64_t>());
  state.mayBootstrap = reader.Read<std::uint8_t>() != 0;
  return reader.IsFullyRead() ? std::optional(std::move(state)) : std::nullopt;
}

std::string
EncodeSnapshot(const SnapshotFile& aFile)
{
  std::string out;
  AppendNumber(out, aFile.firstSegment);
  AppendNumber(out, aFile.snapshot.index.Get());
  AppendNumber(out, aFile.snapshot.term.Get());
  AppendString(out, aFile.snapshot.members);
  AppendString(out, aFile.snapshot.data);
  return out;
}

std::optional<SnapshotFile>
DecodeSnapshot(std::string_view aBody)
{
  ByteReader reader(aBody);
  SnapshotFile file;
  file.firstSegment = reader.Read<std::uint64_t>();
  file.snapshot.index = LogIndex(reader.Read<std::uint64_t>());
  file.snapshot.term = Term(reader.Read<std::uint64_t>());
  file.snapshot.members = reader.ReadString();
  file.snapshot.data = reader.ReadString();
  return reader.IsFullyRead() ? std::optional(std::move(file)) : std::nullopt;
}

} // namespace lycheestand::storage
