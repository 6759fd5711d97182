#include <algorithm>
#include <bit>
#include <lycheestand/settings.h>
#include <memory>
#include <zstd.h>

// Control sends a router the difference to the snapshot that the router has: at
// 22,000 changes a day, whole snapshots of half a megabyte would exceed the
// 11 KB/s that a machine may use for control. The difference is a Zstandard
// frame of the new text, with the old text as the data that came before it. So
// a change is small wherever it is in the text.

namespace lycheestand::settings {

namespace {

constexpr int kCompressionLevel = 3;

// Covers two snapshots of the largest size.
constexpr int kMaxWindowLog = 25;
static_assert((std::size_t(1) << kMaxWindowLog) >= 2 * kMaxSnapshotBytes);

// Smallest window that the library takes.
constexpr int kMinWindowLog = 10;

Result<std::string, SettingsError>
MakeError(const std::string& aMessage)
{
  return SettingsError{ "", "", aMessage, "", "" };
}

} // namespace

std::string
MakeSnapshotPatch(std::string_view aFrom, std::string_view aTo)
{
  std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> context(
    ZSTD_createCCtx(), &ZSTD_freeCCtx);
  auto set = [&context](ZSTD_cParameter aParameter, int aValue) {
    ZSTD_CCtx_setParameter(context.get(), aParameter, aValue);
  };
  int windowLog = std::bit_width(aFrom.size() + aTo.size());
  set(ZSTD_c_compressionLevel, kCompressionLevel);
  set(ZSTD_c_windowLog, std::clamp(windowLog, kMinWindowLog, kMaxWindowLog));
  set(ZSTD_c_enableLongDistanceMatching, 1);
  set(ZSTD_c_checksumFlag, 1);
  ZSTD_CCtx_refPrefix(context.get(), aFrom.data(), aFrom.size());
  std::string patch(ZSTD_compressBound(aTo.size()), '\0');
  // Can't fail: the buffer has the size that the library asks for.
  auto size = ZSTD_compress2(
    context.get(), patch.data(), patch.size(), aTo.data(), aTo.size());
  patch.resize(ZSTD_isError(size) != 0 ? 0 : size);
  return patch;
}

// The frame has a checksum of the new text, so a patch that is applied to
// another text than it was made for is an error.
Result<std::string, SettingsError>
ApplySnapshotPatch(std::string_view aFrom, std::string_view aPatch)
{
  auto textSize = ZSTD_getFrameContentSize(aPatch.data(), aPatch.size());
  if (textSize == ZSTD_CONTENTSIZE_ERROR ||
      textSize == ZSTD_CONTENTSIZE_UNKNOWN || textSize > kMaxSnapshotBytes) {
    return MakeError("the patch is malformed, or its result is too large");
  }
  std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> context(
    ZSTD_createDCtx(), &ZSTD_freeDCtx);
  ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, kMaxWindowLog);
  ZSTD_DCtx_refPrefix(context.get(), aFrom.data(), aFrom.size());
  std::string text(textSize, '\0');
  auto size = ZSTD_decompressDCtx(
    context.get(), text.data(), text.size(), aPatch.data(), aPatch.size());
  if (ZSTD_isError(size) != 0 || size != text.size()) {
    return MakeError(std::string("the patch can't be applied: ") +
                     ZSTD_getErrorName(size));
  }
  return Result<std::string, SettingsError>(
    boost::outcome_v2::in_place_type<std::string>, std::move(text));
}

} // namespace lycheestand::settings
