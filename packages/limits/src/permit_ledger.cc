#include <algorithm>
#include <limits>
#include <lycheestand/limits.h>

namespace lycheestand::limits {

namespace {

// Permits that accumulate while none are taken, in seconds of the rate. A short
// burst is let through; the sum over any longer time stays near the rate.
constexpr double kBurstSeconds = 0.5;

// The same for a cold endpoint, which crashes above one and a half times its
// rate in any one second. The rest of that half is for permits that are used
// late and for routers without control.
constexpr double kColdBurstSeconds = 0.1;

// Shortest wait that is told to a router whose request was denied, so that it
// does not ask again at once.
constexpr Duration kMinWait = std::chrono::milliseconds(50);

// Wait that is told for an endpoint that takes no requests at all.
constexpr Duration kMaxWait = std::chrono::seconds(1);

// Longest wait that is told for a cold endpoint because other routers were told
// earlier times. A longer one would leave permits unused.
constexpr Duration kMaxColdQueue = std::chrono::milliseconds(500);

constexpr Duration kUnusedTime = std::chrono::minutes(1);

double
BurstOf(std::optional<RequestRate> aRate, double aSeconds)
{
  return aRate ? std::max(1.0, aRate->Get() * aSeconds)
               : std::numeric_limits<double>::infinity();
}

} // namespace

double
PermitLedger::Account::Rate() const
{
  double none = std::numeric_limits<double>::infinity();
  return std::min(this->named ? this->named->Get() : none,
                  this->cold ? this->cold->Get() : none);
}

double
PermitLedger::Account::Burst() const
{
  return std::min(BurstOf(this->named, kBurstSeconds),
                  BurstOf(this->cold, kColdBurstSeconds));
}

// Also drops the permits above the burst of a limit that has become lower.
void
PermitLedger::Account::Accumulate(TimePoint aNow, TimePoint aColdFrom)
{
  TimePoint from =
    this->cold ? std::max(this->updatedAt, aColdFrom) : this->updatedAt;
  if (this->named || this->cold) {
    double added = this->Rate() * ToSeconds(std::max(Duration(0), aNow - from));
    this->permits = std::min(this->Burst(), this->permits + added);
  }
  this->updatedAt = aNow;
}

PermitLedger::Account&
PermitLedger::FindOrAdd(const EndpointId& aEndpoint, TimePoint aNow)
{
  Account added;
  added.updatedAt = aNow;
  added.usedAt = aNow;
  Account& account = this->accounts.try_emplace(aEndpoint, added).first->second;
  // Permits up to now accumulate at the old rate.
  account.Accumulate(aNow, this->coldFrom);
  return account;
}

bool
PermitLedger::Set(const EndpointId& aEndpoint,
                  std::optional<RequestRate> aLimit,
                  TimePoint aNow)
{
  if (!aLimit && !this->accounts.contains(aEndpoint)) {
    return false;
  }
  Account& account = this->FindOrAdd(aEndpoint, aNow);
  bool isChanged = account.named != aLimit;
  account.named = aLimit;
  account.usedAt = aNow;
  if (!account.named && !account.cold) {
    this->accounts.erase(aEndpoint);
  }
  return isChanged;
}

bool
PermitLedger::SetCold(const Limits& aCold, TimePoint aNow)
{
  bool isChanged = false;
  for (const auto& [endpoint, rate] : aCold) {
    Account& account = this->FindOrAdd(endpoint, aNow);
    isChanged |= account.cold != rate;
    account.cold = rate;
  }
  for (auto& [endpoint, account] : this->accounts) {
    if (account.cold && !aCold.contains(endpoint)) {
      account.Accumulate(aNow, this->coldFrom);
      account.cold.reset();
      account.usedAt = aNow;
      isChanged = true;
    }
  }
  std::erase_if(this->accounts, [](const auto& aAccount) {
    return !aAccount.second.named && !aAccount.second.cold;
  });
  return isChanged;
}

bool
PermitLedger::AddKnown(const EndpointId& aEndpoint,
                       RequestRate aLimit,
                       TimePoint aNow)
{
  auto found = this->accounts.find(aEndpoint);
  bool isNamed = found != this->accounts.end() && found->second.named;
  return !isNamed && this->Set(aEndpoint, aLimit, aNow);
}

PermitGrant
PermitLedger::Take(const EndpointId& aEndpoint,
                   unsigned aWanted,
                   TimePoint aNow)
{
  auto found = this->accounts.find(aEndpoint);
  if (found == this->accounts.end()) {
    return { aWanted, {} };
  }
  Account& account = found->second;
  double rate = account.Rate();
  account.Accumulate(aNow, this->coldFrom);
  account.usedAt = aNow;
  PermitGrant grant;
  grant.granted = std::min(aWanted, static_cast<unsigned>(account.permits));
  account.permits -= grant.granted;
  if (grant.granted < aWanted) {
    double seconds = rate > 0 ? (1 - account.permits) / rate : 0;
    auto wait = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
    grant.wait = rate > 0 ? std::max(kMinWait, wait) : kMaxWait;
    if (account.cold && rate > 0) {
      grant.wait += std::max(Duration(0), this->coldFrom - aNow);
      grant.wait = account.Queue(grant.wait, aNow);
    }
  }
  return grant;
}

// Many endpoints are cold at the same time, and each of many routers would ask
// for the next permit of each of them. Every denied router is told a time of
// its own instead.
Duration
PermitLedger::Account::Queue(Duration aWait, TimePoint aNow)
{
  auto interval = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(1 / this->Rate()));
  TimePoint turn = std::min(this->lastTurn + interval, aNow + kMaxColdQueue);
  this->lastTurn = std::max(turn, aNow + aWait);
  return this->lastTurn - aNow;
}

bool
PermitLedger::RemoveUnused(TimePoint aNow)
{
  bool isChanged = false;
  for (auto& [endpoint, account] : this->accounts) {
    if (account.named && aNow - account.usedAt > kUnusedTime) {
      account.named.reset();
      isChanged = true;
    }
  }
  std::erase_if(this->accounts, [](const auto& aAccount) {
    return !aAccount.second.named && !aAccount.second.cold;
  });
  return isChanged;
}

Limits
PermitLedger::CurrentLimits() const
{
  Limits out;
  for (const auto& [endpoint, account] : this->accounts) {
    if (account.named) {
      out[endpoint] = *account.named;
    }
  }
  return out;
}

Limits
PermitLedger::ColdLimits() const
{
  Limits out;
  for (const auto& [endpoint, account] : this->accounts) {
    if (account.cold) {
      out[endpoint] = *account.cold;
    }
  }
  return out;
}

} // namespace lycheestand::limits
