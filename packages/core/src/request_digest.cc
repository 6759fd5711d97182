#include <array>
#include <charconv>
#include <lycheestand/core.h>

namespace lycheestand {

namespace {

constexpr int kBase = 16;
constexpr std::size_t kDigits = 16;

} // namespace

std::string
ToString(RequestDigest aDigest)
{
  std::array<char, kDigits> digits{};
  auto end = std::to_chars(
    digits.data(), digits.data() + digits.size(), aDigest.Get(), kBase);
  std::string text(digits.data(), end.ptr);
  return std::string(kDigits - text.size(), '0') + text;
}

std::optional<RequestDigest>
ParseRequestDigest(const std::string& aText)
{
  std::uint64_t value = 0;
  const char* end = aText.data() + aText.size();
  auto parsed = std::from_chars(aText.data(), end, value, kBase);
  bool isWhole = parsed.ec == std::errc() && parsed.ptr == end;
  return isWhole && aText.size() == kDigits
           ? std::optional(RequestDigest(value))
           : std::nullopt;
}

} // namespace lycheestand
