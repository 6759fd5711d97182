#ifndef LYCHEESTAND_BENCH_LOAD_MIX_H
#define LYCHEESTAND_BENCH_LOAD_MIX_H

// The calls that the load generator sends, in the proportions of the two users.

#include <cstdint>
#include <lycheestand/net.h>
#include <random>
#include <string>

namespace lycheestand::bench {

enum class CallKind
{
  Summary,
  Explanation,
  Chat,
  Booking,
  Lookup
};

inline constexpr std::size_t kCallKindCount = 5;

// Returns the name of the kind in reports.
const char*
ToString(CallKind aKind);

// A call that is ready to send.
struct PlannedCall
{
  CallKind kind = CallKind::Chat;
  net::HttpRequest request;
};

// Generates a pseudo-random sequence of calls; the same seed gives the same
// sequence.
class Mix
{
public:
  // aName is "kalkki", "cascadia", "chat" (only streamed chats) or "lookup"
  // (only service lookups).
  Mix(const std::string& aName,
      std::string aModel,
      std::string aService,
      std::uint64_t aSeed);

  PlannedCall Next();

private:
  net::HttpRequest MakeChat(const std::string& aPrompt,
                            int aMaxTokens,
                            bool aStream,
                            const char* aPriority) const;
  std::string MakeText(std::size_t aBytes, std::uint64_t aSeed) const;

  std::string model;
  std::string service;
  std::mt19937_64 random;
  std::discrete_distribution<std::size_t> kinds;
  std::uint64_t count = 0;
  std::uint64_t seed;
};

} // namespace lycheestand::bench

#endif
