#include <lycheestand/net.h>
#include <sodium.h>

namespace lycheestand::net {

namespace {

// Size of a generated key and of a hash.
constexpr std::size_t kKeyBytes = 32;

std::string
ToHex(const std::string& aBytes)
{
  std::string out(aBytes.size() * 2 + 1, '\0');
  sodium_bin2hex(out.data(),
                 out.size(),
                 reinterpret_cast<const unsigned char*>(aBytes.data()),
                 aBytes.size());
  out.pop_back();
  return out;
}

std::string
HashToHex(std::string_view aText)
{
  std::string out(kKeyBytes, '\0');
  crypto_generichash(reinterpret_cast<unsigned char*>(out.data()),
                     out.size(),
                     reinterpret_cast<const unsigned char*>(aText.data()),
                     aText.size(),
                     nullptr,
                     0);
  return ToHex(out);
}

} // namespace

// Keys are 256 random bits, so a fast hash can't be reversed by brute force. A
// slow password hash would only delay every request.
KeyHash
HashKey(std::string_view aKey)
{
  return KeyHash(HashToHex(aKey));
}

std::string
GenerateKey()
{
  std::string bytes(kKeyBytes, '\0');
  randombytes_buf(bytes.data(), bytes.size());
  return "ly-" + ToHex(bytes);
}

BodyHash
HashBody(std::string_view aBody)
{
  return BodyHash(HashToHex(aBody));
}

RandomSource
MakeRandomSource()
{
  return [](std::uint64_t aBound) -> std::uint64_t {
    std::uint64_t value = 0;
    randombytes_buf(&value, sizeof(value));
    return aBound == 0 ? value : value % aBound;
  };
}

} // namespace lycheestand::net
