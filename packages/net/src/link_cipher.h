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

// Encrypts and authenticates the frames of one link. Usage: send Challenge(),
// pass the peer's challenge to StartSending and send the result, pass the
// peer's stream header to StartReceiving; then encrypt and decrypt frames in
// order.
class LinkCipher
{
public:
  // Bytes that encryption adds to a frame's body.
  static constexpr std::size_t kOverhead =
    crypto_secretstream_xchacha20poly1305_ABYTES;

  LinkCipher(const FleetKey& aKey, bool aIsDialer);

  // Returns this side's random challenge.
  std::string Challenge() const;

  // Derives the keys of both directions from the challenges and returns this
  // side's stream header.
  std::string StartSending(const ChallengeBytes& aPeer);

  // Starts decryption with the peer's stream header.
  void StartReceiving(const HeaderBytes& aHeader);

  std::string Encrypt(const std::string& aBody);

  // Returns the body, or nothing if authentication fails: the peer has another
  // fleet key, or the frame is damaged, repeated or out of order.
  std::optional<std::string> Decrypt(const std::string& aEncrypted);

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
