#ifndef LYCHEESTAND_NET_SRC_LINK_CIPHER_H
#define LYCHEESTAND_NET_SRC_LINK_CIPHER_H

#include <array>
#include <lycheestand/net.h>
#include <optional>
#include <sodium.h>

namespace lycheestand::net {

using ChallengeBytes = std::array<unsigned char, 32>;
using HeaderBytes =
  std::array<unsigned char, crypto_secretstream_xchacha20poly1305_HEADERBYTES>;

// Proves the fleet key to a peer and encrypts the frames of one link.
class LinkCipher
{
public:
  // Bytes that encryption adds to a frame.
  static constexpr std::size_t kOverhead =
    crypto_secretstream_xchacha20poly1305_ABYTES;

  LinkCipher(const FleetKey& aKey, bool aIsDialer);

  // Returns this side's random challenge.
  std::string Challenge() const;

  // Derives both directions' keys and returns this side's stream header.
  std::string Begin(const ChallengeBytes& aPeer);

  // Takes the peer's stream header.
  void Accept(const HeaderBytes& aHeader);

  std::string Encrypt(const std::string& aBody);

  // Returns the body, or nothing if the peer does not hold the fleet key.
  std::optional<std::string> Decrypt(const std::string& aSealed);

private:
  FleetKey key;
  bool isDialer;
  ChallengeBytes challenge{};
  std::array<unsigned char, 32> receiveKey{};
  crypto_secretstream_xchacha20poly1305_state sendState{};
  crypto_secretstream_xchacha20poly1305_state receiveState{};
};

} // namespace lycheestand::net

#endif
