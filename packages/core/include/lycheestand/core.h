#ifndef LYCHEESTAND_CORE_H
#define LYCHEESTAND_CORE_H

// Types that all packages share: strong types for ids and units, results,
// addresses, and enums that appear in several protocols.

#include <boost/outcome.hpp>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <ostream>
#include <string>
#include <utility>

namespace lycheestand {

// Wraps a Rep in a distinct type. Values with different tags do not convert to
// each other, so that, for example, a site id can't be passed as a workspace
// id. Construction from a Rep is explicit.
template<class Tag, class Rep>
class StrongType
{
public:
  using RepType = Rep;

  StrongType() = default;
  explicit StrongType(Rep aValue)
    : value(std::move(aValue))
  {
  }

  const Rep& Get() const { return this->value; }

  friend bool operator==(const StrongType&, const StrongType&) = default;
  friend auto operator<=>(const StrongType&, const StrongType&) = default;

private:
  Rep value{};
};

// A strongly typed signed integer amount of one unit. Unlike ids, amounts of
// the same unit can be added and subtracted. Overflow is not checked.
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
operator<<(std::ostream& aOut, const StrongType<Tag, Rep>& aValue)
{
  return aOut << aValue.Get();
}

template<class Tag>
std::ostream&
operator<<(std::ostream& aOut, const Quantity<Tag>& aValue)
{
  return aOut << aValue.Get();
}

using WorkspaceId = StrongType<struct WorkspaceIdTag, std::string>;
using SiteId = StrongType<struct SiteIdTag, std::string>;
using KeyId = StrongType<struct KeyIdTag, std::string>;
// Hexadecimal hash of a bearer key. Only the hash is stored, never the key.
using KeyHash = StrongType<struct KeyHashTag, std::string>;
using InstanceId = StrongType<struct InstanceIdTag, std::string>;
using ZoneId = StrongType<struct ZoneIdTag, std::string>;
using EndpointId = StrongType<struct EndpointIdTag, std::string>;
using ModelName = StrongType<struct ModelNameTag, std::string>;
using ServiceName = StrongType<struct ServiceNameTag, std::string>;
using RequestId = StrongType<struct RequestIdTag, std::string>;
using ChangeId = StrongType<struct ChangeIdTag, std::string>;
// Value of the Idempotency-Key header of a call that must run at most once.
using OperationKey = StrongType<struct OperationKeyTag, std::string>;
// Hexadecimal hash of a request body; see net::HashBody.
using BodyHash = StrongType<struct BodyHashTag, std::string>;

// Identifies one run of a router process; a restarted router gets a new id.
using SessionId = StrongType<struct SessionIdTag, std::uint64_t>;
using GrantId = StrongType<struct GrantIdTag, std::uint64_t>;
using BatchNumber = StrongType<struct BatchNumberTag, std::uint64_t>;
// Version of the configuration document that operators apply.
using ConfigVersion = StrongType<struct ConfigVersionTag, std::uint64_t>;
// Increases with every change that routers must apply: to the configuration,
// workspaces or keys.
using Revision = StrongType<struct RevisionTag, std::uint64_t>;
using ViewVersion = StrongType<struct ViewVersionTag, std::uint64_t>;
using LogIndex = StrongType<struct LogIndexTag, std::uint64_t>;
using Term = StrongType<struct TermTag, std::uint64_t>;
using GroupId = StrongType<struct GroupIdTag, std::uint32_t>;
// Identifies one data folder. It is generated when the folder is created, so a
// replacement for a lost disk has a different id.
using DiskId = StrongType<struct DiskIdTag, std::uint64_t>;
// Number of an order to an engine. An engine rejects an order whose number is
// lower than that of an order that it has.
using FencingNumber = StrongType<struct FencingNumberTag, std::uint64_t>;

// Requests a second.
using RequestRate = StrongType<struct RequestRateTag, double>;

// When an endpoint's process started, in Unix milliseconds by the endpoint's
// clock; 0 if it does not say. Another value at the same id means another
// process. It is only compared for equality.
using StartTime = StrongType<struct StartTimeTag, std::uint64_t>;

// Identifies a part of a prompt that several requests may share.
using PromptPartId = StrongType<struct PromptPartIdTag, std::uint64_t>;

// Identifies requests of one caller with the same path, prompt and body.
using RequestDigest = StrongType<struct RequestDigestTag, std::uint64_t>;

// Version of the software that an endpoint runs; empty if it names none.
using SoftwareVersion = StrongType<struct SoftwareVersionTag, std::string>;

// Identifies a stream of events over all requests with which its caller takes
// it up again.
using StreamId = StrongType<struct StreamIdTag, std::uint64_t>;

// Returns the 16 hexadecimal digits that logs and operators use.
std::string
ToString(RequestDigest aDigest);

// Parses what ToString returns; nothing if the text has another form.
std::optional<RequestDigest>
ParseRequestDigest(const std::string& aText);

// A number of prompt or output tokens, the unit of budgets.
using Tokens = Quantity<struct TokensTag>;

// Monotonic time of the runtime's clock (net::Now). Code without I/O takes the
// current time as an argument, so that tests control it.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using Milliseconds = std::chrono::milliseconds;

// Returns the duration in seconds.
inline double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

// A value of type T or an error of type E, which each layer defines. value()
// throws if there is an error.
template<class T, class E>
using Result = boost::outcome_v2::checked<T, E>;

// A host and TCP port. Connecting and listening require `host` to be a numeric
// IP address.
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

// Parses "host:port" with a port in 1..65535; the host is not checked. Returns
// a message that describes the problem if the text is not valid.
Result<Address, std::string>
ParseAddress(const std::string& aText);

// Whether a request that failed was executed. Reported to the caller, who
// decides from it whether a retry is safe.
enum class ExecutionState
{
  // Certainly not executed; a retry can't execute it twice.
  NotRun,
  Ran,
  // Possibly executed.
  Unknown
};

// Returns the name that error bodies use: "not_run", "ran" or "unknown".
const char*
ToString(ExecutionState aState);

// The response to a service call with an idempotency key. It is stored and
// returned when the call is repeated with the same key.
struct StoredAnswer
{
  std::uint32_t status = 0;
  std::string contentType;
  std::string body;

  friend bool operator==(const StoredAnswer&, const StoredAnswer&) = default;
};

// An administrative command for an inference engine.
enum class OrderKind : std::uint8_t
{
  LoadModel,
  LoadAdapter,
  SetVersion,
  SetRole
};

// What a router tells the operation register about a call with an idempotency
// key.
enum class OperationPhase : std::uint8_t
{
  // Registers the call before it is forwarded. It may be forwarded only if the
  // reply is OperationState::Started.
  Begin,
  // Stores the response.
  Complete,
  // The call was certainly not sent; a retry may run it.
  Abort,
  // The call may have run, so it must not be run again.
  Unknown
};

// The operation register's reply to an OperationPhase.
enum class OperationState : std::uint8_t
{
  // The call is registered and may be forwarded.
  Started,
  // An earlier call with the same key is in progress.
  InProgress,
  // The call ran; its response is stored.
  Completed,
  // The key was used before for a request with another body.
  BodyDiffers,
  // The call may have run, so it must not be run again.
  Unknown,
  // The call ran, but its response is no longer stored. Also the reply to
  // OperationPhase::Abort.
  Ended,
  // The call was not registered, or was begun by another request.
  Refused
};

// Returns a random number in [0, aBound). Tests pass a generator with a fixed
// seed.
using RandomSource = std::function<std::uint64_t(std::uint64_t aBound)>;

} // namespace lycheestand

template<class Tag, class Rep>
struct std::hash<lycheestand::StrongType<Tag, Rep>>
{
  std::size_t operator()(
    const lycheestand::StrongType<Tag, Rep>& aValue) const noexcept
  {
    return std::hash<Rep>{}(aValue.Get());
  }
};

#endif
