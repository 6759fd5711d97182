#ifndef LYCHEESTAND_BENCH_LOAD_MIX_H
#define LYCHEESTAND_BENCH_LOAD_MIX_H

// What the two users' callers send.

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

inline constexpr std::size_t kCallKinds = 5;

// Returns the kind's name in reports.
const char*
ToString(CallKind aKind);

// One call to make.
struct PlannedCall
{
  CallKind kind = CallKind::Chat;
  net::HttpRequest request;
};

// Makes a seeded sequence of calls in the proportions of a user.
class Mix
{
public:
  // aName is "kalkki", "cascadia", "chat" (streamed chat alone) or "lookup".
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
  std::string Text(std::size_t aBytes, std::uint64_t aSeed) const;

  std::string model;
  std::string service;
  std::mt19937_64 random;
  std::discrete_distribution<std::size_t> kinds;
  std::uint64_t count = 0;
  std::uint64_t seed;
};

} // namespace lycheestand::bench

#endif
