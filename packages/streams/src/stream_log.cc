#include <algorithm>
#include <lycheestand/streams.h>

namespace lycheestand::streams {

namespace {

using StreamsByOrigin =
  std::map<std::pair<ServiceName, SoftwareVersion>, std::vector<StreamId>>;

std::vector<StreamBatch>
ToBatches(StreamsByOrigin aStreams)
{
  std::vector<StreamBatch> batches;
  for (auto& [origin, streams] : aStreams) {
    batches.push_back({ origin.first, origin.second, std::move(streams) });
  }
  return batches;
}

} // namespace

void
StreamLog::Begin(const ServiceName& aService,
                 StreamId aStream,
                 const SoftwareVersion& aVersion,
                 TimePoint aNow)
{
  this->DropOld(aNow);
  auto origin = this->origins.try_emplace({ aService, aVersion }, 0).first;
  Entry entry{ aStream, aNow, origin };
  auto [known, isNew] = this->numbers.try_emplace(aStream, 0);
  if (!isNew) {
    const auto& last = this->entries[known->second - this->firstNumber];
    entry.isAmbiguous = last.isAmbiguous || last.origin != origin;
  }
  known->second = this->firstNumber + this->entries.size();
  ++origin->second;
  this->entries.push_back(entry);
  if (this->entries.size() > this->options.maxStreams) {
    this->DropFirst();
  }
}

KnownStream
StreamLog::Find(StreamId aStream, TimePoint aNow) const
{
  auto found = this->numbers.find(aStream);
  if (found == this->numbers.end()) {
    return {};
  }
  const auto& entry = this->entries[found->second - this->firstNumber];
  if (this->IsExpired(entry, aNow)) {
    return {};
  }
  KnownStream known{ true, {} };
  if (!entry.isAmbiguous) {
    known.version = entry.origin->first.second;
  }
  return known;
}

void
StreamLog::ReportAgain()
{
  this->nextReport = this->firstNumber;
}

std::vector<StreamBatch>
StreamLog::TakeReports(std::size_t aMaxStreams, TimePoint aNow)
{
  this->DropOld(aNow);
  StreamsByOrigin taken;
  std::size_t count = 0;
  const auto end = this->firstNumber + this->entries.size();
  for (; this->nextReport < end && count < aMaxStreams; ++this->nextReport) {
    const auto& entry = this->entries[this->nextReport - this->firstNumber];
    const auto& origin = entry.origin->first;
    // The replicated state has no records without a version.
    if (!origin.second.Get().empty()) {
      taken[origin].push_back(entry.stream);
      ++count;
    }
  }
  return ToBatches(std::move(taken));
}

std::vector<StreamBatch>
StreamLog::Collect(const ServiceName& aService, TimePoint aNow) const
{
  StreamsByOrigin found;
  for (const auto& entry : this->entries) {
    const auto& origin = entry.origin->first;
    if (origin.first == aService && !this->IsExpired(entry, aNow)) {
      found[origin].push_back(entry.stream);
    }
  }
  return ToBatches(std::move(found));
}

void
StreamLog::Clear()
{
  this->entries.clear();
  this->origins.clear();
  this->numbers.clear();
  this->nextReport = this->firstNumber;
}

void
StreamLog::DropOld(TimePoint aNow)
{
  while (!this->entries.empty() &&
         this->IsExpired(this->entries.front(), aNow)) {
    this->DropFirst();
  }
}

void
StreamLog::DropFirst()
{
  const auto& first = this->entries.front();
  auto known = this->numbers.find(first.stream);
  if (known->second == this->firstNumber) {
    this->numbers.erase(known);
  }
  if (--first.origin->second == 0) {
    this->origins.erase(first.origin);
  }
  this->entries.pop_front();
  ++this->firstNumber;
  this->nextReport = std::max(this->nextReport, this->firstNumber);
}

} // namespace lycheestand::streams
