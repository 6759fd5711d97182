#include "frames.h"

#include <xxhash.h>

namespace lycheestand::storage {

namespace {

// "LYC1": tells frames from other bytes, such as zeroes of a torn tail.
constexpr std::uint32_t kMark = 0x3143594c;

template<class Number>
void
Put(std::string& aOut, Number aValue)
{
  for (std::size_t i = 0; i < sizeof(Number); ++i) {
    aOut.push_back(static_cast<char>(aValue >> (8 * i)));
  }
}

void
PutText(std::string& aOut, const std::string& aText)
{
  Put(aOut, static_cast<std::uint64_t>(aText.size()));
  aOut += aText;
}

// Takes numbers and texts from the front of bytes; remembers a failure.
class Taker
{
public:
  explicit Taker(std::string_view aBytes)
    : bytes(aBytes)
  {
  }

  template<class Number>
  Number Take()
  {
    if (this->bytes.size() < sizeof(Number)) {
      this->isShort = true;
      return 0;
    }
    Number value = 0;
    for (std::size_t i = 0; i < sizeof(Number); ++i) {
      auto byte = static_cast<Number>(static_cast<unsigned char>(bytes[i]));
      value = static_cast<Number>(value | (byte << (8 * i)));
    }
    this->bytes.remove_prefix(sizeof(Number));
    return value;
  }

  std::string TakeText()
  {
    auto size = this->Take<std::uint64_t>();
    if (size > this->bytes.size()) {
      this->isShort = true;
      return "";
    }
    std::string text(this->bytes.substr(0, size));
    this->bytes.remove_prefix(size);
    return text;
  }

  std::string_view Rest() const { return this->bytes; }
  bool IsShort() const { return this->isShort; }
  bool IsWhole() const { return !this->isShort && this->bytes.empty(); }

private:
  std::string_view bytes;
  bool isShort = false;
};

std::uint64_t
Checksum(std::string_view aBody)
{
  return XXH64(aBody.data(), aBody.size(), aBody.size());
}

} // namespace

std::string
Frame(const std::string& aBody)
{
  std::string out;
  out.reserve(kFrameHeaderBytes + aBody.size());
  Put(out, static_cast<std::uint32_t>(aBody.size()));
  Put(out, kMark);
  Put(out, Checksum(aBody));
  out += aBody;
  return out;
}

std::optional<std::string_view>
FindFrame(std::string_view aBytes, std::size_t aOffset)
{
  if (aBytes.size() < kFrameHeaderBytes ||
      aOffset > aBytes.size() - kFrameHeaderBytes) {
    return std::nullopt;
  }
  Taker header(aBytes.substr(aOffset));
  auto length = header.Take<std::uint32_t>();
  auto mark = header.Take<std::uint32_t>();
  auto checksum = header.Take<std::uint64_t>();
  if (mark != kMark || header.Rest().size() < length) {
    return std::nullopt;
  }
  auto body = header.Rest().substr(0, length);
  return Checksum(body) == checksum ? std::optional(body) : std::nullopt;
}

std::string
EncodeRecord(const Record& aRecord)
{
  std::string out;
  Put(out, aRecord.index.Get());
  Put(out, aRecord.term.Get());
  Put(out, aRecord.kind);
  return out + aRecord.payload;
}

std::optional<Record>
DecodeRecord(std::string_view aBody)
{
  Taker taker(aBody);
  Record record;
  record.index = LogIndex(taker.Take<std::uint64_t>());
  record.term = Term(taker.Take<std::uint64_t>());
  record.kind = taker.Take<std::uint8_t>();
  record.payload = std::string(taker.Rest());
  return taker.IsShort() || record.index == LogIndex(0)
           ? std::nullopt
           : std::optional(std::move(record));
}

std::string
EncodeState(const HardState& aState)
{
  std::string out;
  Put(out, aState.group.Get());
  Put(out, aState.disk.Get());
  Put(out, aState.term.Get());
  Put(out, static_cast<std::uint8_t>(aState.hasVote));
  PutText(out, aState.voteInstance.Get());
  Put(out, aState.voteDisk.Get());
  Put(out, static_cast<std::uint8_t>(aState.mayBootstrap));
  return out;
}

std::optional<HardState>
DecodeState(std::string_view aBody)
{
  Taker taker(aBody);
  HardState state;
  state.group = GroupId(taker.Take<std::uint32_t>());
  state.disk = DiskId(taker.Take<std::uint64_t>());
  state.term = Term(taker.Take<std::uint64_t>());
  state.hasVote = taker.Take<std::uint8_t>() != 0;
  state.voteInstance = InstanceId(taker.TakeText());
  state.voteDisk = DiskId(taker.Take<std::uint64_t>());
  state.mayBootstrap = taker.Take<std::uint8_t>() != 0;
  return taker.IsWhole() ? std::optional(std::move(state)) : std::nullopt;
}

std::string
EncodeSnapshot(const SnapshotFile& aFile)
{
  std::string out;
  Put(out, aFile.firstSegment);
  Put(out, aFile.snapshot.index.Get());
  Put(out, aFile.snapshot.term.Get());
  PutText(out, aFile.snapshot.members);
  PutText(out, aFile.snapshot.data);
  return out;
}

std::optional<SnapshotFile>
DecodeSnapshot(std::string_view aBody)
{
  Taker taker(aBody);
  SnapshotFile file;
  file.firstSegment = taker.Take<std::uint64_t>();
  file.snapshot.index = LogIndex(taker.Take<std::uint64_t>());
  file.snapshot.term = Term(taker.Take<std::uint64_t>());
  file.snapshot.members = taker.TakeText();
  file.snapshot.data = taker.TakeText();
  return taker.IsWhole() ? std::optional(std::move(file)) : std::nullopt;
}

} // namespace lycheestand::storage
