#include <algorithm>
#include <lycheestand/limits.h>

namespace lycheestand::limits {

namespace {

// Permits that accumulate while none are taken, in seconds of the rate. A short
// burst is let through; the sum over any longer time stays near the rate.
constexpr double kBurstSeconds = 0.5;

// Shortest wait that is told to a router whose request was denied, so that it
// does not ask again at once.
constexpr Duration kMinWait = std::chrono::milliseconds(50);

// Wait that is told for an endpoint that takes no requests at all.
constexpr Duration kMaxWait = std::chrono::seconds(1);

constexpr Duration kUnusedTime = std::chrono::minutes(1);

double
BurstOf(RequestRate aRate)
{
  return std::max(1.0, aRate.Get() * kBurstSeconds);
}

} // namespace

bool
PermitLedger::Set(const EndpointId& aEndpoint,
                  std::optional<RequestRate> aLimit,
                  TimePoint aNow)
{
  if (!aLimit) {
    return this->accounts.erase(aEndpoint) > 0;
  }
  auto [found, isNew] =
    this->accounts.try_emplace(aEndpoint, Account{ *aLimit, 0, aNow, aNow });
  if (!isNew) {
    // Permits up to now accumulate at the old rate.
    this->Take(aEndpoint, 0, aNow);
  }
  bool isChanged = isNew || found->second.rate != *aLimit;
  found->second.rate = *aLimit;
  return isChanged;
}

bool
PermitLedger::AddKnown(const EndpointId& aEndpoint,
                       RequestRate aLimit,
                       TimePoint aNow)
{
  return !this->accounts.contains(aEndpoint) &&
         this->Set(aEndpoint, aLimit, aNow);
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
  double rate = account.rate.Get();
  account.permits =
    std::min(BurstOf(account.rate),
             account.permits + rate * ToSeconds(aNow - account.updatedAt));
  account.updatedAt = aNow;
  account.usedAt = aNow;
  PermitGrant grant;
  grant.granted = std::min(aWanted, static_cast<unsigned>(account.permits));
  account.permits -= grant.granted;
  if (grant.granted < aWanted) {
    double seconds = rate > 0 ? (1 - account.permits) / rate : 0;
    auto wait = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
    grant.wait = rate > 0 ? std::max(kMinWait, wait) : kMaxWait;
  }
  return grant;
}

bool
PermitLedger::RemoveUnused(TimePoint aNow)
{
  return std::erase_if(this->accounts, [aNow](const auto& aAccount) {
           return aNow - aAccount.second.usedAt > kUnusedTime;
         }) > 0;
}

Limits
PermitLedger::CurrentLimits() const
{
  Limits out;
  for (const auto& [endpoint, account] : this->accounts) {
    out[endpoint] = account.rate;
  }
  return out;
}

} // namespace lycheestand::limits
