#ifndef LYCHEESTAND_CORE_H
#define LYCHEESTAND_CORE_H

// Strong types for ids and units, results, and the hooks that vary behaviour.

#include <boost/outcome.hpp>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <limits>
#include <ostream>
#include <string>
#include <utility>

namespace lycheestand {

// A value of type Rep that does not convert to another tag's type.
template<class Tag, class Rep>
class Strong
{
public:
  using RepType = Rep;

  Strong() = default;
  explicit Strong(Rep aValue)
    : value(std::move(aValue))
  {
  }

  // Returns the wrapped value.
  const Rep& Get() const { return this->value; }

  friend bool operator==(const Strong&, const Strong&) = default;
  friend auto operator<=>(const Strong&, const Strong&) = default;

private:
  Rep value{};
};

// A strong integer that can be added and subtracted: a unit, not an id.
template<class Tag>
class Quantity
{
public:
  constexpr Quantity() = default;
  constexpr explicit Quantity(std::int64_t aValue)
    : value(aValue)
  {
  }

  // Returns the number of units.
  constexpr std::int64_t Get() const { return this->value; }

  constexpr Quantity& operator+=(Quantity aOther)
  {
    this->value += aOther.value;
    return *this;
  }
  constexpr Quantity& operator-=(Quantity aOther)
  {
    this->value -= aOther.value;
    return *this;
  }
  friend constexpr Quantity operator+(Quantity aLeft, Quantity aRight)
  {
    return Quantity(aLeft.value + aRight.value);
  }
  friend constexpr Quantity operator-(Quantity aLeft, Quantity aRight)
  {
    return Quantity(aLeft.value - aRight.value);
  }
  friend constexpr bool operator==(Quantity, Quantity) = default;
  friend constexpr auto operator<=>(Quantity, Quantity) = default;

private:
  std::int64_t value = 0;
};

template<class Tag, class Rep>
std::ostream&
operator<<(std::ostream& aOut, const Strong<Tag, Rep>& aValue)
{
  return aOut << aValue.Get();
}

template<class Tag>
std::ostream&
operator<<(std::ostream& aOut, const Quantity<Tag>& aValue)
{
  return aOut << aValue.Get();
}

using WorkspaceId = Strong<struct WorkspaceIdTag, std::string>;
using SiteId = Strong<struct SiteIdTag, std::string>;
using KeyId = Strong<struct KeyIdTag, std::string>;
// Hexadecimal hash of a bearer key; the key itself is never kept.
using KeyHash = Strong<struct KeyHashTag, std::string>;
using InstanceId = Strong<struct InstanceIdTag, std::string>;
using ZoneId = Strong<struct ZoneIdTag, std::string>;
using EndpointId = Strong<struct EndpointIdTag, std::string>;
using ModelName = Strong<struct ModelNameTag, std::string>;
using ServiceName = Strong<struct ServiceNameTag, std::string>;
using RequestId = Strong<struct RequestIdTag, std::string>;
using ChangeId = Strong<struct ChangeIdTag, std::string>;
// The Idempotency-Key of a call that must not run twice.
using OperationKey = Strong<struct OperationKeyTag, std::string>;
using BodyHash = Strong<struct BodyHashTag, std::string>;

// One life of a router process; a new process has a new session.
using SessionId = Strong<struct SessionIdTag, std::uint64_t>;
using GrantId = Strong<struct GrantIdTag, std::uint64_t>;
using BatchNumber = Strong<struct BatchNumberTag, std::uint64_t>;
// Version of the configuration document that operators apply.
using ConfigVersion = Strong<struct ConfigVersionTag, std::uint64_t>;
// Counts every change that routers must have in force: configuration,
// workspaces and keys.
using Revision = Strong<struct RevisionTag, std::uint64_t>;
using ViewVersion = Strong<struct ViewVersionTag, std::uint64_t>;
using LogIndex = Strong<struct LogIndexTag, std::uint64_t>;
using Term = Strong<struct TermTag, std::uint64_t>;
using GroupId = Strong<struct GroupIdTag, std::uint32_t>;
// Made when a data folder is created; a lost disk gets a new one.
using DiskId = Strong<struct DiskIdTag, std::uint64_t>;
using FencingNumber = Strong<struct FencingNumberTag, std::uint64_t>;

// Prompt and output tokens; what a budget is counted in.
using Tokens = Quantity<struct TokensTag>;

// A point on the runtime's clock; pure code receives it as a value.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using Milliseconds = std::chrono::milliseconds;

// Returns a time in seconds, for arithmetic with rates.
inline double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

// A value of type T or a layer's own error of type E.
template<class T, class E>
using Result = boost::outcome_v2::checked<T, E>;

// An IP address and TCP port of a process.
struct Address
{
  std::string host;
  std::uint16_t port = 0;

  friend bool operator==(const Address&, const Address&) = default;
  friend auto operator<=>(const Address&, const Address&) = default;
};

// Returns "host:port".
std::string
ToString(const Address& aAddress);

// Returns the address in "host:port", or a message that names what is wrong.
Result<Address, std::string>
ParseAddress(const std::string& aText);

// What a caller can rely on when its request was not answered in full.
enum class RanState
{
  NotRun,
  Ran,
  Unknown
};

// Returns "not_run", "ran" or "unknown".
const char*
ToString(RanState aState);

// The answer of a service call that must not run twice, kept for replay.
struct StoredAnswer
{
  std::uint32_t status = 0;
  std::string contentType;
  std::string body;

  friend bool operator==(const StoredAnswer&, const StoredAnswer&) = default;
};

// What an engine is ordered to do.
enum class OrderKind : std::uint8_t
{
  LoadModel,
  LoadAdapter,
  SetVersion,
  SetRole
};

// What a router asks of the operation register.
enum class OperationPhase : std::uint8_t
{
  // Record the intent; the call may be forwarded only after Started.
  Begin,
  // Keep the answer.
  Complete,
  // The call was provably not sent; a retry may run it.
  Abort,
  // The call may have run; it is never run again.
  Unknown
};

// What the operation register answers.
enum class OperationState : std::uint8_t
{
  Started,
  InProgress,
  Completed,
  BodyDiffers,
  Unknown,
  Ended,
  Refused
};

// Returns a number in [0, aBound); tests supply a seeded one.
using RandomSource = std::function<std::uint64_t(std::uint64_t aBound)>;

} // namespace lycheestand

template<class Tag, class Rep>
struct std::hash<lycheestand::Strong<Tag, Rep>>
{
  std::size_t operator()(
    const lycheestand::Strong<Tag, Rep>& aValue) const noexcept
  {
    return std::hash<Rep>{}(aValue.Get());
  }
};

#endif
