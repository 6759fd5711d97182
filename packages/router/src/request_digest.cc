#include "request_digest.h"

#include <array>
#include <cstring>
#include <sodium.h>

namespace lycheestand::router {

namespace {

class Hasher
{
public:
  Hasher()
  {
    crypto_generichash_init(
      &this->state, nullptr, 0, crypto_generichash_BYTES_MIN);
  }

  void Add(std::uint64_t aNumber)
  {
    crypto_generichash_update(&this->state,
                              reinterpret_cast<const unsigned char*>(&aNumber),
                              sizeof(aNumber));
  }

  // The length goes first, so that the end of one field can't be taken for the
  // beginning of the next.
  void Add(std::string_view aText)
  {
    this->Add(static_cast<std::uint64_t>(aText.size()));
    crypto_generichash_update(
      &this->state,
      reinterpret_cast<const unsigned char*>(aText.data()),
      aText.size());
  }

  std::uint64_t Finish()
  {
    std::array<unsigned char, crypto_generichash_BYTES_MIN> bytes{};
    crypto_generichash_final(&this->state, bytes.data(), bytes.size());
    std::uint64_t digest = 0;
    std::memcpy(&digest, bytes.data(), sizeof(digest));
    return digest;
  }

private:
  crypto_generichash_state state{};
};

} // namespace

RequestDigest
ComputeDigest(const RequestIdentity& aIdentity)
{
  Hasher hasher;
  hasher.Add(aIdentity.workspace.Get());
  hasher.Add(aIdentity.host);
  hasher.Add(aIdentity.target);
  hasher.Add(aIdentity.method);
  hasher.Add(aIdentity.body);
  for (const auto& prefix : aIdentity.prefix) {
    hasher.Add(prefix.hash.Get());
  }
  return RequestDigest(hasher.Finish());
}

StreamId
ComputeStreamId(const WorkspaceId& aWorkspace,
                const ServiceName& aService,
                const RequestId& aRequest)
{
  Hasher hasher;
  hasher.Add(aWorkspace.Get());
  hasher.Add(aService.Get());
  hasher.Add(aRequest.Get());
  return StreamId(hasher.Finish());
}

RandomSource
MakeStreamSource(const WorkspaceId& aWorkspace, const RequestId& aRequest)
{
  Hasher hasher;
  hasher.Add(aWorkspace.Get());
  hasher.Add(aRequest.Get());
  return [number = hasher.Finish()](std::uint64_t aBound) {
    return aBound == 0 ? number : number % aBound;
  };
}

} // namespace lycheestand::router
