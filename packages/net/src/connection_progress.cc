#include "connection_progress.h"

namespace lycheestand::net {

namespace {

// While others lack memory, a connection must move kProgressBytes in
// kNoProgressTime or lose its memory: 2 kB a second, less than the slowest
// sound callers.
constexpr std::size_t kProgressBytes = 4 * 1024;
constexpr Duration kNoProgressTime = std::chrono::seconds(2);

// A whole request may take this many times HttpServerOptions::requestTimeout
// and a second for each kBytesPerSecond. Slower requests would hold their
// connections for hours.
constexpr int kWholeRequestTimeouts = 3;
constexpr std::size_t kBytesPerSecond = 16 * 1024;

} // namespace

void
ConnectionProgress::Restart(TimePoint aNow)
{
  this->lastProgress = aNow;
  this->progressBytes = 0;
}

void
ConnectionProgress::RecordBytes(std::size_t aBytes, TimePoint aNow)
{
  this->progressBytes += aBytes;
  if (this->progressBytes >= kProgressBytes) {
    this->Restart(aNow);
  }
}

void
ConnectionProgress::RecordReceived(bool aIsFirst, TimePoint aNow)
{
  this->lastReceivedAt = aNow;
  if (aIsFirst) {
    this->requestStartedAt = aNow;
    this->Restart(aNow);
  }
}

bool
ConnectionProgress::IsRequestLate(bool aHasHeader,
                                  std::size_t aReceived,
                                  const HttpServerOptions& aOptions,
                                  TimePoint aNow) const
{
  auto elapsed = aNow - this->requestStartedAt;
  if (!aHasHeader) {
    return elapsed >= aOptions.headerTimeout;
  }
  auto whole = aOptions.requestTimeout * kWholeRequestTimeouts +
               std::chrono::seconds(aReceived / kBytesPerSecond);
  return aNow - this->lastReceivedAt >= aOptions.requestTimeout ||
         elapsed >= whole;
}

bool
ConnectionProgress::IsStalled(TimePoint aNow) const
{
  return this->SinceProgress(aNow) >= kNoProgressTime;
}

} // namespace lycheestand::net
