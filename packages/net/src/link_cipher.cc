#include "link_cipher.h"

#include <fstream>

// Both sides send a challenge of 32 random bytes. The key of each direction is
// a hash, keyed with the fleet key, of both challenges and the direction; this
// prevents replay and reflection of recorded traffic. A side proves that it
// holds the fleet key by its first frame, which must decrypt.

namespace lycheestand::net {

namespace {

using StreamKey = std::array<unsigned char, 32>;

StreamKey
DeriveKey(const FleetKey& aKey,
          const ChallengeBytes& aDialer,
          const ChallengeBytes& aAcceptor,
          unsigned char aDirection)
{
  std::string text(aDialer.begin(), aDialer.end());
  text.append(aAcceptor.begin(), aAcceptor.end());
  text.push_back(static_cast<char>(aDirection));
  StreamKey out{};
  crypto_generichash(
    out.data(),
    out.size(),
    reinterpret_cast<const unsigned char*>(text.data()),
    text.size(),
    reinterpret_cast<const unsigned char*>(aKey.Bytes().data()),
    aKey.Bytes().size());
  return out;
}

} // namespace

Result<FleetKey, std::string>
FleetKey::Load(const std::string& aPath)
{
  using R = Result<FleetKey, std::string>;
  std::ifstream file(aPath);
  std::string text;
  if (!(file >> text)) {
    return R(boost::outcome_v2::in_place_type<std::string>,
             "can't read the fleet key from file " + aPath);
  }
  std::string bytes(crypto_generichash_KEYBYTES, '\0');
  std::size_t length = 0;
  int failed = sodium_hex2bin(reinterpret_cast<unsigned char*>(bytes.data()),
                              bytes.size(),
                              text.data(),
                              text.size(),
                              nullptr,
                              &length,
                              nullptr);
  if (failed != 0 || length != bytes.size()) {
    return R(boost::outcome_v2::in_place_type<std::string>,
             "the fleet key file " + aPath +
               " must contain exactly 64 hexadecimal digits");
  }
  return FleetKey(std::move(bytes));
}

FleetKey
FleetKey::ForTrustedNetwork()
{
  return FleetKey(std::string(crypto_generichash_KEYBYTES, '\0'));
}

LinkCipher::LinkCipher(const FleetKey& aKey, bool aIsDialer)
  : key(aKey)
  , isDialer(aIsDialer)
{
  randombytes_buf(this->challenge.data(), this->challenge.size());
}

std::string
LinkCipher::Challenge() const
{
  return { this->challenge.begin(), this->challenge.end() };
}

std::string
LinkCipher::StartSending(const ChallengeBytes& aPeer)
{
  const auto& dialer = this->isDialer ? this->challenge : aPeer;
  const auto& acceptor = this->isDialer ? aPeer : this->challenge;
  auto fromDialer = DeriveKey(this->key, dialer, acceptor, 'd');
  auto fromAcceptor = DeriveKey(this->key, dialer, acceptor, 'a');
  const auto& sendKey = this->isDialer ? fromDialer : fromAcceptor;
  this->receiveKey = this->isDialer ? fromAcceptor : fromDialer;
  HeaderBytes header{};
  crypto_secretstream_xchacha20poly1305_init_push(
    &this->sendState, header.data(), sendKey.data());
  return { header.begin(), header.end() };
}

void
LinkCipher::StartReceiving(const HeaderBytes& aHeader)
{
  crypto_secretstream_xchacha20poly1305_init_pull(
    &this->receiveState, aHeader.data(), this->receiveKey.data());
}

std::string
LinkCipher::Encrypt(const std::string& aBody)
{
  std::string out(aBody.size() + kOverhead, '\0');
  crypto_secretstream_xchacha20poly1305_push(
    &this->sendState,
    reinterpret_cast<unsigned char*>(out.data()),
    nullptr,
    reinterpret_cast<const unsigned char*>(aBody.data()),
    aBody.size(),
    nullptr,
    0,
    crypto_secretstream_xchacha20poly1305_TAG_MESSAGE);
  return out;
}

std::optional<std::string>
LinkCipher::Decrypt(const std::string& aEncrypted)
{
  if (aEncrypted.size() < kOverhead) {
    return std::nullopt;
  }
  std::string out(aEncrypted.size() - kOverhead, '\0');
  unsigned char tag = 0;
  int failed = crypto_secretstream_xchacha20poly1305_pull(
    &this->receiveState,
    reinterpret_cast<unsigned char*>(out.data()),
    nullptr,
    &tag,
    reinterpret_cast<const unsigned char*>(aEncrypted.data()),
    aEncrypted.size(),
    nullptr,
    0);
  if (failed != 0) {
    return std::nullopt;
  }
  return out;
}

} // namespace lycheestand::net
